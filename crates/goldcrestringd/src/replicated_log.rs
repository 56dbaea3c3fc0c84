//! A replica's log, storage and state machine.
//!
//! The effects of consensus are written to storage, then sent to other replicas, then applied.

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
use goldcrestring_wire::message::{ConsensusRequest, ConsensusResponse};
use std::sync::Arc;

/// Sending half of a channel for one reply. The receiver may have been dropped.
pub(crate) type ReplySender<T> = smol::channel::Sender<T>;

/// Result of writing to storage.
pub(crate) type Result<T> = std::result::Result<T, StorageError>;

/// When the journal is compacted into a snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SnapshotPolicy {
    /// After this number of entries.
    Entries(usize),
    /// After this journal size, in bytes.
    Bytes(u64),
}

/// Callbacks from the log into the thread that runs it.
pub(crate) trait LogHost {
    /// Sends a request to another replica.
    fn send(&self, to: ReplicaId, request: Request);

    /// Called after an entry has been applied. `outcome` is set if the entry carried a command.
    fn on_applied(
        &mut self,
        state: &ControlState,
        entry: &LogEntry,
        outcome: Option<CommandOutcome>,
    );
}

/// Log, storage and state machine of one replica.
///
/// The owner feeds events to `consensus` and then calls `process_effects`.
pub(crate) struct ReplicatedLog {
    /// The consensus state, including elections.
    pub(crate) consensus: Consensus,
    /// The state machine, up to the last applied entry.
    pub(crate) state: ControlState,
    storage: Storage,
    hard_state: HardState,
    /// Responses to send after the next effects are written.
    responses: Vec<(ReplySender<ConsensusResponse>, ConsensusResponse)>,
    snapshot_policy: SnapshotPolicy,
}

impl ReplicatedLog {
    /// Creates a log from the restored contents of the data folder.
    ///
    /// # Errors
    ///
    /// Fails if the restored snapshot can't be decoded.
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
        Ok(Self { consensus, state, storage, hard_state, responses: Vec::new(), snapshot_policy })
    }

    /// Handles a request from another replica. The response is sent after the next effects are
    /// written.
    pub(crate) fn handle_request(
        &mut self,
        now: Uptime,
        request: ConsensusRequest,
        reply: ReplySender<ConsensusResponse>,
    ) {
        if request.to != *self.consensus.id() {
            let _ = reply.try_send(ConsensusResponse::OtherReplica);
            return;
        }
        let response = self.consensus.handle_request(now, request.request);
        self.responses.push((reply, ConsensusResponse::Response(response)));
    }

    /// Writes, sends and applies pending effects until none are left, then sends the responses.
    ///
    /// # Errors
    ///
    /// Fails if storage can't be written, or if an installed snapshot can't be decoded. The replica
    /// must then stop.
    pub(crate) fn process_effects(&mut self, host: &mut impl LogHost) -> Result<()> {
        loop {
            let effects = self.consensus.take_effects();
            let is_last = effects.committed.is_empty() && effects.append.is_empty();
            self.process_effects_once(effects, host)?;
            if is_last {
                break;
            }
        }
        for (reply, response) in self.responses.drain(..) {
            let _ = reply.try_send(response);
        }
        Ok(())
    }

    fn process_effects_once(&mut self, effects: Effects, host: &mut impl LogHost) -> Result<()> {
        // A leader may send entries before they are written, but a vote must be persisted before it
        // is sent.
        let is_persisted_first = effects.hard_state.is_some() || effects.install.is_some();
        let (requests_before_write, requests_after_write) = if is_persisted_first {
            (Vec::new(), effects.requests)
        } else {
            (effects.requests, Vec::new())
        };
        for (to, request) in requests_before_write {
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
        for (to, request) in requests_after_write {
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
    // The initial snapshot of a new cluster carries no state.
    if snapshot.state.is_empty() {
        return Ok(ControlState::default());
    }
    codec::decode(&snapshot.state).map_err(|_| StorageError::Snapshot { index: snapshot.index })
}
