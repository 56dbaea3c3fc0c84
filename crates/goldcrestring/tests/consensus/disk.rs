//! Simulated storage of a replica.

use goldcrestring::process::consensus::{Effects, RestoredState};
use goldcrestring::process::{HardState, LogEntry, Snapshot};

/// The state that survives a crash.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disk {
    pub(crate) hard_state: HardState,
    pub(crate) snapshot: Snapshot,
    pub(crate) entries: Vec<LogEntry>,
}

impl Disk {
    /// Writes effects; a torn write keeps only the first half of the entries.
    pub(crate) fn write(&mut self, effects: &Effects, is_torn: bool) {
        if let Some(hard_state) = &effects.hard_state {
            self.hard_state = hard_state.clone();
        }
        if let Some(snapshot) = &effects.install {
            self.snapshot = (**snapshot).clone();
            self.entries.clear();
        }
        let count = if is_torn { effects.append.len() / 2 } else { effects.append.len() };
        for entry in &effects.append[..count] {
            self.entries.retain(|known| known.index < entry.index);
            self.entries.push(entry.clone());
        }
    }

    pub(crate) fn restored(&self) -> RestoredState {
        RestoredState {
            hard_state: self.hard_state.clone(),
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        }
    }
}
