//! Leader-based log replication with Raft (Ongaro and Ousterhout 2014, Ongaro 2014).
//!
//! [`Consensus`] performs no I/O and reads no clock. The process passes in the time, requests and
//! responses, and carries out the resulting [`Effects`]: first write, then send, then apply.
//! Pre-vote and the leader's quorum check follow sections 9.6 and 6.2 of Ongaro's thesis;
//! single-server membership changes follow chapter 4.

mod absence;
mod election;
mod log;
pub mod message;
mod replication;
#[cfg(test)]
mod tests;

pub use absence::JoinReason;
pub use message::{AppendRequest, Request, Response, SnapshotRequest, VoteRequest};

use crate::clock::Uptime;
use crate::process::command::Command;
use crate::process::replica::{HardState, LogEntry, Membership, Payload, ReplicaId, Snapshot};
use crate::quantity::{LogIndex, Term};
use derive_more::{Display, Error};
use log::Log;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Timing and batch-size settings of the replication.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConsensusSettings {
    /// The minimum time without contact from a leader before an election.
    pub election_timeout_min: Duration,
    /// The maximum time without contact from a leader before an election.
    pub election_timeout_max: Duration,
    /// The minimum time before a candidate that has not been elected asks for votes again.
    pub election_retry_min: Duration,
    /// The maximum time before a candidate that has not been elected asks for votes again.
    pub election_retry_max: Duration,
    /// The interval of heartbeats from an idle leader.
    pub heartbeat_interval: Duration,
    /// How long to wait for a response before the next request is sent to the same replica.
    pub request_timeout: Duration,
    /// The same for a snapshot, which is far larger than any other request.
    pub snapshot_timeout: Duration,
    /// The maximum number of entries in one request.
    pub max_batch_entries: usize,
    /// The seed for random election timeouts.
    pub seed: u64,
}

impl Default for ConsensusSettings {
    fn default() -> Self {
        Self {
            election_timeout_min: Duration::from_millis(800),
            election_timeout_max: Duration::from_millis(1_200),
            election_retry_min: Duration::from_millis(300),
            election_retry_max: Duration::from_millis(700),
            heartbeat_interval: Duration::from_millis(300),
            request_timeout: Duration::from_millis(500),
            snapshot_timeout: Duration::from_secs(20),
            max_batch_entries: 1_024,
            seed: 0,
        }
    }
}

/// The error returned when a proposal is rejected.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ProposeError {
    /// This replica is not the leader.
    #[display("this replica is not the leader")]
    NotLeader {
        /// The leader, if known.
        #[error(not(source))]
        leader: Option<ReplicaId>,
    },
    /// An earlier membership change has not been committed yet.
    #[display("another membership change is in progress")]
    MembershipPending,
    /// The leader has not committed an entry of its own term yet.
    #[display("the leader has not committed an entry of its term yet")]
    NotCommittedInTerm,
    /// The change would add or remove more than one voter, or would leave no voter.
    #[display("a membership change may add or remove only one voter and must keep at least one")]
    MultipleVoterChanges,
}

/// The result of a proposal.
pub type Result<T> = std::result::Result<T, ProposeError>;

/// The actions that the process must perform, in the order of the fields.
///
/// Append requests may be sent before the writes complete; votes and responses may not.
#[derive(Debug, Default)]
pub struct Effects {
    /// The term and vote to persist.
    pub hard_state: Option<HardState>,
    /// A snapshot to persist, which replaces the log and the state.
    pub install: Option<Arc<Snapshot>>,
    /// Entries to persist; an entry replaces any entries at and after its position.
    pub append: Vec<LogEntry>,
    /// Requests to send.
    pub requests: Vec<(ReplicaId, Request)>,
    /// Committed entries to apply to the state machine.
    pub committed: Vec<LogEntry>,
}

/// A leader's view of another replica.
#[derive(Clone, Debug)]
struct Progress {
    /// The position from which to send entries next.
    next: LogIndex,
    /// The last position known to match this leader's log.
    matched: LogIndex,
    /// Until when a response to the outstanding request is awaited.
    awaited_until: Option<Uptime>,
    /// The maximum number of entries in the next request. Grows while requests are answered in time
    /// and halves when one is not, as entries and the replica's speed vary widely.
    batch_entries: usize,
    /// The send time of the latest request that was answered.
    acknowledged_at: Option<Uptime>,
    last_sent_at: Option<Uptime>,
    /// Whether the last request failed.
    is_failing: bool,
    added_at: Uptime,
}

#[derive(Clone, Debug)]
struct Leadership {
    progress: BTreeMap<ReplicaId, Progress>,
    elected_at: Uptime,
    /// The position of the first entry of this term.
    first_index: LogIndex,
    /// When the current leadership transfer started, if there is one.
    transfer_since: Option<Uptime>,
}

#[derive(Clone, Debug)]
enum Role {
    Follower,
    PreCandidate { votes: BTreeSet<ReplicaId> },
    Candidate { votes: BTreeSet<ReplicaId> },
    Leader(Leadership),
}

/// The persistent state that a replica loads at startup.
#[derive(Clone, Debug, Default)]
pub struct RestoredState {
    /// The term and vote.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<LogEntry>,
}

/// A replica of the log.
///
/// # Examples
///
/// A single voter elects itself:
///
/// ```
/// use goldcrestring::process::consensus::{Consensus, ConsensusSettings, RestoredState};
/// use goldcrestring::process::{Membership, ReplicaId, Snapshot};
/// use goldcrestring::quantity::Incarnation;
/// use std::time::Duration;
///
/// let id = ReplicaId { node: "entry-1".parse()?, incarnation: Incarnation::new(1) };
/// let membership = Membership { voters: [id.clone()].into(), ..Membership::default() };
/// let snapshot = Snapshot { membership, ..Snapshot::default() };
/// let restored = RestoredState { snapshot, ..RestoredState::default() };
/// let settings = ConsensusSettings::default();
/// let mut replica = Consensus::new(id, settings, restored, Duration::ZERO);
/// replica.tick(Duration::from_secs(2));
/// assert!(replica.is_leader());
/// # Ok::<(), goldcrestring::name::NameError>(())
/// ```
#[derive(Debug)]
pub struct Consensus {
    id: ReplicaId,
    settings: ConsensusSettings,
    rng: SmallRng,
    hard_state: HardState,
    log: Log,
    snapshot: Arc<Snapshot>,
    membership: Membership,
    committed: LogIndex,
    /// The last position that this replica has persisted.
    durable: LogIndex,
    role: Role,
    leader: Option<ReplicaId>,
    last_leader_contact: Uptime,
    /// When the last message of a leader that held its lease was received.
    last_lease_contact: Option<Uptime>,
    election_deadline: Uptime,
    /// Whether the process is shutting down, so that this replica must not be elected.
    is_stopping: bool,
    last_tick: Uptime,
    effects: Effects,
}

impl Consensus {
    /// Creates a replica from its persistent state.
    pub fn new(
        id: ReplicaId,
        settings: ConsensusSettings,
        restored: RestoredState,
        now: Uptime,
    ) -> Self {
        let rng = SmallRng::seed_from_u64(settings.seed);
        let committed = restored.snapshot.index;
        let log = Log::new(&restored.snapshot, restored.entries);
        let membership = log.membership(&restored.snapshot.membership);
        let durable = log.last_index();
        let mut replica = Self {
            id,
            settings,
            rng,
            hard_state: restored.hard_state,
            log,
            snapshot: Arc::new(restored.snapshot),
            membership,
            committed,
            durable,
            role: Role::Follower,
            leader: None,
            // A restarted voter may have acknowledged a leader whose lease is still valid, so it
            // must not vote for another candidate yet.
            last_leader_contact: now,
            last_lease_contact: None,
            election_deadline: now,
            is_stopping: false,
            last_tick: now,
            effects: Effects::default(),
        };
        replica.reset_election_deadline(now);
        replica
    }

    /// Returns the id of this replica.
    pub const fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Returns whether this replica is the leader.
    pub const fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the time since the last message from a leader that held its lease; `None` if this replica
    /// leads or knows no leader.
    pub fn leader_contact_age(&self, now: Uptime) -> Option<Uptime> {
        let is_following = matches!(self.role, Role::Follower) && self.leader.is_some();
        let last = self.last_lease_contact.filter(|_| is_following)?;
        Some(now.saturating_sub(last))
    }

    /// Returns the leader of the current term, if known.
    pub const fn leader(&self) -> Option<&ReplicaId> {
        self.leader.as_ref()
    }

    /// Returns the current term.
    pub const fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the latest membership in the log.
    pub const fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the last committed position.
    pub const fn committed(&self) -> LogIndex {
        self.committed
    }

    /// Returns the last position in the log.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Returns the number of entries after the snapshot.
    pub fn entries_after_snapshot(&self) -> usize {
        self.log.len()
    }

    /// Returns the entries after the snapshot.
    pub fn entries(&self) -> Vec<LogEntry> {
        self.log.range(self.log.base_index().next(), self.log.last_index())
    }

    /// Returns when this replica became the leader, or `None` if it is not the leader.
    pub fn elected_at(&self) -> Option<Uptime> {
        Some(self.leadership()?.elected_at)
    }

    /// Returns whether this leader has committed an entry of its own term.
    ///
    /// Only then does its state include every entry committed in earlier terms.
    pub fn has_committed_in_term(&self) -> bool {
        self.leadership().is_some_and(|leadership| self.committed >= leadership.first_index)
    }

    /// Returns the time, on this leader's clock, until which no other replica can become leader.
    ///
    /// Voters reject other candidates for the minimum election timeout after each request from the
    /// leader. The lease therefore starts when the leader sent the requests that a majority has
    /// answered, and is shortened by the maximum clock drift.
    pub fn leader_lease_until(&self) -> Option<Uptime> {
        let leadership = self.leadership()?;
        if leadership.transfer_since.is_some() {
            return None;
        }
        let acknowledged_at = self.quorum_acknowledged_at()?;
        let margin = crate::clock::MAX_CLOCK_DRIFT_PER_MILLE;
        let timeout = self.settings.election_timeout_min;
        Some(acknowledged_at + timeout - timeout * margin / 1_000)
    }

    /// Returns the effects accumulated since the last call.
    pub fn take_effects(&mut self) -> Effects {
        std::mem::take(&mut self.effects)
    }

    /// Handles the passage of time: elections, heartbeats and the leader's quorum check.
    pub fn tick(&mut self, now: Uptime) {
        if self.is_leader() {
            self.tick_leader(now);
        } else if now >= self.election_deadline {
            self.start_pre_vote(now);
        }
    }

    /// Appends commands to the log and returns the position of the last one.
    ///
    /// # Errors
    ///
    /// Returns [`ProposeError::NotLeader`] if this replica is not the leader or is transferring its
    /// leadership.
    pub fn propose(&mut self, now: Uptime, commands: Vec<Command>) -> Result<LogIndex> {
        self.check_can_propose()?;
        for command in commands {
            self.append_to_log(Payload::Command(command));
        }
        self.send_appends(now);
        Ok(self.log.last_index())
    }

    /// Appends a new membership to the log.
    ///
    /// # Errors
    ///
    /// Returns [`ProposeError::NotLeader`] as [`Consensus::propose`] does,
    /// [`ProposeError::NotCommittedInTerm`] if an earlier term's entries may not be committed yet,
    /// [`ProposeError::MembershipPending`] if an earlier change is not committed yet, and
    /// [`ProposeError::MultipleVoterChanges`] if more than one voter would change or none would
    /// remain.
    pub fn propose_membership(&mut self, now: Uptime, membership: Membership) -> Result<LogIndex> {
        self.check_can_propose()?;
        if !self.has_committed_in_term() {
            return Err(ProposeError::NotCommittedInTerm);
        }
        if self.log.has_membership_after(self.committed) {
            return Err(ProposeError::MembershipPending);
        }
        if !membership.is_within_one_voter_of(&self.membership) || membership.voters.is_empty() {
            return Err(ProposeError::MultipleVoterChanges);
        }
        self.append_to_log(Payload::Membership(membership.clone()));
        self.adopt_membership(now, membership);
        self.send_appends(now);
        Ok(self.log.last_index())
    }

    /// Records that the log is persisted up to this position.
    pub fn mark_persisted(&mut self, index: LogIndex) {
        self.durable = self.durable.max(index.min(self.log.last_index()));
        if self.is_leader() {
            self.advance_commit();
        }
    }

    /// Handles a request from another replica.
    ///
    /// The response may be sent only after the effects are persisted.
    pub fn handle_request(&mut self, now: Uptime, request: Request) -> Response {
        match request {
            Request::Vote(request) => self.handle_vote_request(now, request),
            Request::Append(request) => self.handle_append(now, request),
            Request::Snapshot(request) => self.handle_snapshot(now, request),
            Request::TimeoutNow { term } => self.handle_timeout_now(now, term),
        }
    }

    /// Handles the response to a request that was sent at `sent_at`.
    pub fn handle_response(
        &mut self,
        now: Uptime,
        sent_at: Uptime,
        from: &ReplicaId,
        response: Response,
    ) {
        if response.term() > self.hard_state.term && !response.is_pre_vote_grant() {
            self.become_follower(now, response.term(), None);
            return;
        }
        match response {
            Response::Vote { is_pre_vote, term, is_granted } => {
                self.handle_vote_response(now, from, is_pre_vote, term, is_granted);
            }
            Response::Append { term, is_accepted, index } => {
                self.handle_append_response(now, sent_at, from, term, is_accepted, index);
            }
            Response::TimeoutNow { .. } => {}
        }
    }

    /// Handles the failure of a request to a replica, or the lack of a response.
    pub fn handle_failure(&mut self, to: &ReplicaId) {
        if let Some(progress) = self.progress_mut(to) {
            progress.record_failure();
        }
    }

    /// Replaces the log up to the snapshot's position with the snapshot.
    ///
    /// A snapshot that is not newer than the current one, or not yet committed, is ignored.
    pub fn compact(&mut self, snapshot: Arc<Snapshot>) {
        if snapshot.index <= self.snapshot.index || snapshot.index > self.committed {
            return;
        }
        self.log.compact(snapshot.index, snapshot.term);
        self.snapshot = snapshot;
    }

    /// Returns the term and membership for a snapshot at the given committed position, or `None` if
    /// the log does not contain it.
    pub fn snapshot_header(&self, index: LogIndex) -> Option<(Term, Membership)> {
        let membership = self.log.membership_at(index, &self.snapshot.membership);
        Some((self.log.term(index)?, membership))
    }

    fn check_can_propose(&self) -> Result<()> {
        match &self.role {
            Role::Leader(leadership) if leadership.transfer_since.is_none() => Ok(()),
            _ => Err(ProposeError::NotLeader {
                leader: self.leader.clone().filter(|leader| *leader != self.id),
            }),
        }
    }

    fn append_to_log(&mut self, payload: Payload) {
        let index = self.log.last_index().next();
        let entry = LogEntry { term: self.hard_state.term, index, payload };
        self.effects.append.push(entry.clone());
        self.log.push(entry);
    }

    fn adopt_membership(&mut self, now: Uptime, membership: Membership) {
        self.membership = membership;
        let next = self.log.last_index().next();
        let replicas: BTreeSet<_> = self.membership.replicas().cloned().collect();
        let id = self.id.clone();
        if let Role::Leader(leadership) = &mut self.role {
            leadership.progress.retain(|replica, _| replicas.contains(replica));
            for replica in replicas.into_iter().filter(|replica| *replica != id) {
                leadership.progress.entry(replica).or_insert_with(|| Progress::new(next, now));
            }
        }
    }

    const fn leadership(&self) -> Option<&Leadership> {
        match &self.role {
            Role::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    fn progress_mut(&mut self, replica: &ReplicaId) -> Option<&mut Progress> {
        match &mut self.role {
            Role::Leader(leadership) => leadership.progress.get_mut(replica),
            _ => None,
        }
    }

    fn become_follower(&mut self, now: Uptime, term: Term, leader: Option<ReplicaId>) {
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, vote: None });
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_deadline(now);
    }

    fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state.clone();
        self.effects.hard_state = Some(hard_state);
    }

    /// Waits for a leader, or for the candidate that was voted for, before the next election.
    fn reset_election_deadline(&mut self, now: Uptime) {
        let min = self.settings.election_timeout_min;
        let max = self.settings.election_timeout_max.max(min);
        self.election_deadline = now + self.rng.random_range(min..=max);
    }

    /// Waits for votes before the next attempt of this candidate. The loss of the leader has been noticed, so
    /// this takes less time than to notice it.
    fn reset_retry_deadline(&mut self, now: Uptime) {
        let min = self.settings.election_retry_min;
        let max = self.settings.election_retry_max.max(min);
        self.election_deadline = now + self.rng.random_range(min..=max);
    }

    fn commit_up_to(&mut self, to: LogIndex) {
        let to = to.min(self.log.last_index());
        if to <= self.committed {
            return;
        }
        let entries = self.log.range(self.committed.next(), to);
        self.effects.committed.extend(entries);
        self.committed = to;
    }
}

/// The maximum number of entries in the first request to a replica.
const INITIAL_BATCH_ENTRIES: usize = 64;

impl Progress {
    const fn new(next: LogIndex, now: Uptime) -> Self {
        Self {
            next,
            matched: LogIndex::ZERO,
            awaited_until: None,
            batch_entries: INITIAL_BATCH_ENTRIES,
            acknowledged_at: None,
            last_sent_at: None,
            is_failing: false,
            added_at: now,
        }
    }

    /// Records that the outstanding request failed or was not answered in time.
    fn record_failure(&mut self) {
        self.awaited_until = None;
        self.is_failing = true;
        self.batch_entries = (self.batch_entries / 2).max(1);
    }

    /// Records that the replica's log matches up to this position.
    fn record_match(&mut self, index: LogIndex, max_batch_entries: usize) {
        let new_entries = index.get().saturating_sub(self.matched.get());
        if usize::try_from(new_entries).is_ok_and(|count| count >= self.batch_entries) {
            let grown = self.batch_entries + (self.batch_entries / 8).max(1);
            self.batch_entries = grown.min(max_batch_entries);
        }
        self.matched = self.matched.max(index);
        self.next = self.matched.next();
    }
}
