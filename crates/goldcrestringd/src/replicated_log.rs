//! A replica's log, disk and state: what the log asks for is written, then sent, then applied.

use crate::log::event;
use crate::storage::{Storage, StorageError};
use goldcrestring::clock::Uptime;
use goldcrestring::process::consensus::{
    Consensus, ConsensusSettings, Effects, Request, RestoredState,
};
use goldcrestring::process::{
    CommandOutcome, ControlState, HardState, LogEntry, Payload, ReplicaId, Snapshot,
};
use goldcrestring_wire::codec;
use goldcrestring_wire::message::{ConsensusAnswer, ConsensusCall};
use std::sync::Arc;

/// Where an answer goes; nobody may wait for it any more.
pub(crate) type ReplySender<T> = smol::channel::Sender<T>;

/// The result of writing.
pub(crate) type Result<T> = std::result::Result<T, StorageError>;

/// When a snapshot replaces the journal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SnapshotPolicy {
    /// After so many entries.
    Entries(usize),
    /// After so many bytes of the journal.
    Bytes(u64),
}

/// What the log needs of the process around it.
pub(crate) trait LogHost {
    /// Sends a request to another replica.
    fn send(&self, to: ReplicaId, request: Request);

    /// Notes that an entry has been applied; `outcome` where it carried a command.
    fn on_applied(
        &mut self,
        state: &ControlState,
        entry: &LogEntry,
        outcome: Option<CommandOutcome>,
    );
}

/// One replica's log, disk and state.
pub(crate) struct ReplicatedLog {
    /// The log and its elections.
    pub(crate) consensus: Consensus,
    /// The state as far as it is applied.
    pub(crate) state: ControlState,
    storage: Storage,
    hard_state: HardState,
    answers: Vec<(ReplySender<ConsensusAnswer>, ConsensusAnswer)>,
    snapshot_policy: SnapshotPolicy,
}

impl ReplicatedLog {
    /// Starts from what the disk holds.
    pub(crate) fn new(
        id: ReplicaId,
        settings: ConsensusSettings,
        snapshot_policy: SnapshotPolicy,
        storage: Storage,
        restored: RestoredState,
        now: Uptime,
    ) -> Result<Self> {
        let state = decode_state(&restored.snapshot)?;
        let hard_state = restored.hard_state.clone();
        let consensus = Consensus::new(id, settings, restored, now);
        Ok(Self { consensus, state, storage, hard_state, answers: Vec::new(), snapshot_policy })
    }

    /// Takes a request of another replica; its answer leaves with the next effects.
    pub(crate) fn handle_request(
        &mut self,
        now: Uptime,
        call: ConsensusCall,
        reply: ReplySender<ConsensusAnswer>,
    ) {
        if call.to != *self.consensus.id() {
            let _ = reply.try_send(ConsensusAnswer::OtherReplica);
            return;
        }
        let response = self.consensus.handle_request(now, call.request);
        self.answers.push((reply, ConsensusAnswer::Response(response)));
    }

    /// Writes, sends and applies what the log asks for, until it asks for nothing more.
    pub(crate) fn process_effects(&mut self, host: &mut impl LogHost) -> Result<()> {
        loop {
            let effects = self.consensus.take_effects();
            let is_last = effects.committed.is_empty() && effects.append.is_empty();
            self.process_effects_once(effects, host)?;
            if is_last {
                break;
            }
        }
        for (reply, answer) in self.answers.drain(..) {
            let _ = reply.try_send(answer);
        }
        Ok(())
    }

    fn process_effects_once(&mut self, effects: Effects, host: &mut impl LogHost) -> Result<()> {
        // A leader may send entries while it writes them; a vote must be on disk first.
        let is_persisted_first = effects.hard_state.is_some() || effects.install.is_some();
        let (before, after) = if is_persisted_first {
            (Vec::new(), effects.requests)
        } else {
            (effects.requests, Vec::new())
        };
        for (to, request) in before {
            host.send(to, request);
        }
        if let Some(hard_state) = &effects.hard_state {
            self.hard_state = hard_state.clone();
        }
        if let Some(snapshot) = &effects.install {
            self.storage.compact(snapshot, &self.hard_state, &effects.append)?;
            self.state = decode_state(snapshot)?;
            event!(info, "snapshot-installed", index = snapshot.index);
        } else {
            self.storage.append(effects.hard_state.as_ref(), &effects.append)?;
        }
        if let Some(last) = effects.append.last() {
            self.consensus.mark_persisted(last.index);
        }
        for (to, request) in after {
            host.send(to, request);
        }
        for entry in effects.committed {
            let outcome = self.apply(&entry);
            host.on_applied(&self.state, &entry, outcome);
        }
        self.write_snapshot_if_due()
    }

    fn apply(&mut self, entry: &LogEntry) -> Option<CommandOutcome> {
        match &entry.payload {
            Payload::Command(command) => Some(self.state.apply(entry.index, command)),
            Payload::Membership(membership) => {
                self.state.skip(entry.index);
                let voters: Vec<_> = membership.voters.iter().map(ToString::to_string).collect();
                event!(info, "membership", index = entry.index, voters = voters.join(","));
                None
            }
            Payload::Empty => {
                self.state.skip(entry.index);
                None
            }
        }
    }

    fn write_snapshot_if_due(&mut self) -> Result<()> {
        let index = self.state.applied();
        let is_due = match self.snapshot_policy {
            SnapshotPolicy::Entries(entries) => self.consensus.entries_after_snapshot() >= entries,
            SnapshotPolicy::Bytes(bytes) => self.storage.journal_bytes() >= bytes,
        };
        if !is_due || index < self.consensus.committed() {
            return Ok(());
        }
        let Some((term, membership)) = self.consensus.snapshot_header(index) else {
            return Ok(());
        };
        let state = match codec::encode(&self.state) {
            Ok(state) => state,
            Err(error) => {
                event!(error, "snapshot-failed", problem = error);
                return Ok(());
            }
        };
        let bytes = state.len();
        let snapshot = Arc::new(Snapshot { index, term, membership, state });
        self.consensus.compact(Arc::clone(&snapshot));
        let entries = self.consensus.entries();
        self.storage.compact(&snapshot, &self.hard_state, &entries)?;
        event!(info, "snapshot-written", index = index, bytes = bytes);
        Ok(())
    }
}

fn decode_state(snapshot: &Snapshot) -> Result<ControlState> {
    // The first snapshot of a new cluster carries no state.
    if snapshot.state.is_empty() {
        return Ok(ControlState::default());
    }
    codec::decode(&snapshot.state).map_err(|_| StorageError::Snapshot { index: snapshot.index })
}
