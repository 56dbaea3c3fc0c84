//! The thread that runs this process's replica and, on the leader, the scheduling engine.
//!
//! All events arrive through one channel. After each batch of events the thread writes and syncs
//! the changes, then sends the responses, then applies committed entries and runs the engine.

mod leader_state;
mod log_events;
mod operator_requests;
mod requests;

use super::calls;
use super::leader_client::call_peer;
use super::mailbox::{Mailbox, MailboxReceiver};
use super::membership::{forward_join, query_identity, request_join};
use super::node::FleetNode;
use super::relay;
use crate::log::event;
use crate::membership_health::MembershipHealth;
use crate::replicated_log::{LogHost, ReplicatedLog, ReplySender, SnapshotPolicy};
use crate::storage::{Storage, StorageError};
use goldcrestring::clock::Uptime;
use goldcrestring::job::DataCentreId;
use goldcrestring::job::announcement::AnnouncementDigest;
use goldcrestring::job::engine::{
    AdviceResponse, CallId, MachinePage, MachineResponse, OrderResponse, PollReport,
};
use goldcrestring::process::consensus::{ConsensusSettings, Request, Response, RestoredState};
use goldcrestring::process::{
    Command, CommandOutcome, ControlState, IdentityQuery, LogEntry, Payload, ReplicaId,
};
use goldcrestring::quantity::Term;
use goldcrestring_wire::job_message::{
    FleetRequest, FleetResponse, JobRequest, JobResponse, LeaderResponse, OperatorRequest,
    OperatorResponse,
};
use goldcrestring_wire::message::{ConsensusRequest, ConsensusResponse, path};
use goldcrestring_wire::runtime::spawn;
use leader_state::LeaderState;
use log_events::{log_action, log_applied, log_event};
use requests::PendingCommands;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

/// Maximum time between two ticks of consensus on the leader.
const LEADER_TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Maximum time between two ticks of consensus on followers.
const FOLLOWER_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between checks of the membership.
const PERIODIC_INTERVAL: Duration = Duration::from_millis(150);

/// Interval between checks of the relays' results.
const RELAY_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between a replica's requests to join.
const JOIN_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of a request to another replica.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for sending a snapshot to another replica.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(20);

/// Journal size at which the journal is compacted into a snapshot: a fifth of the replica's disk.
const SNAPSHOT_POLICY: SnapshotPolicy = SnapshotPolicy::Bytes(24 << 20);

/// An event for the replica's thread.
pub(crate) enum ReplicaEvent {
    /// A request from another replica.
    Request(ConsensusRequest, ReplySender<ConsensusResponse>),
    /// A response from another replica.
    Response { from: ReplicaId, sent_at: Uptime, response: Response },
    /// A request to a replica failed.
    Failure(ReplicaId),
    /// A request to join from a replica, which may be late.
    Join(ReplicaId),
    /// A request for this replica's identity.
    ReadIdentity(ReplySender<ReplicaId>),
    /// The replica that a queried node runs, or `None` if it did not respond.
    Identity(IdentityQuery, Option<ReplicaId>),
    /// A request from a caller.
    Job { request: JobRequest, received_at: Uptime, reply: ReplySender<JobResponse> },
    /// A request from an operator or a backend server.
    Fleet(FleetRequest, ReplySender<FleetResponse>),
    /// A request from an operator to the API for jobs.
    Operator(OperatorRequest, ReplySender<OperatorResponse>),
    /// The report of a backend server, or `None` if it did not respond.
    Poll(CallId, Option<PollReport>),
    /// The response to an order to start, stop or pace a task.
    Order(CallId, OrderResponse),
    /// A call to a backend server that was not sent in time.
    Dropped(CallId),
    /// The response to an order to maintain or move a VM.
    Machine(CallId, MachineResponse),
    /// The adviser's response, or `None` if it did not respond.
    Advice(CallId, Option<AdviceResponse>),
    /// A page of the platform's list of VMs, or `None` if the platform did not respond.
    Machines(CallId, Option<MachinePage>),
    /// A request for the revision of a data centre in this replica's state.
    DataCentreRevision(DataCentreId, ReplySender<u64>),
    /// A request for the current leader.
    Leader(ReplySender<LeaderResponse>),
    /// A request to transfer leadership, because the process is shutting down.
    TransferLeadership(ReplySender<bool>),
}

/// Handle to the replica's thread.
pub(crate) type ReplicaHandle = Mailbox;

/// State of the replica's thread: its log, its leader state and pending commands.
pub(crate) struct Replica {
    node: Arc<FleetNode>,
    log: ReplicatedLog,
    receiver: MailboxReceiver,
    pending: PendingCommands,
    leader_state: Option<LeaderState>,
    next_periodic_at: Uptime,
    /// The term for which relays are probed and used.
    relay_term: Option<Term>,
    next_relay_update_at: Uptime,
    next_join_at: Uptime,
    membership_health: MembershipHealth,
    /// Announcements that this follower has answered.
    announcements: AnnouncementDigest,
}

impl Replica {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails if the restored snapshot can't be decoded, the random number generator fails, or the
    /// thread can't be started.
    pub(crate) fn start(
        node: Arc<FleetNode>,
        id: ReplicaId,
        storage: Storage,
        restored: RestoredState,
        receiver: MailboxReceiver,
    ) -> Result<(), StorageError> {
        let now = node.now();
        let mut seed = [0; 8];
        getrandom::fill(&mut seed).map_err(|_| StorageError::Randomness)?;
        let seed = u64::from_le_bytes(seed);
        let settings = ConsensusSettings { seed, ..ConsensusSettings::default() };
        let replica = Self {
            log: ReplicatedLog::new(id, settings, SNAPSHOT_POLICY, storage, restored, now)?,
            node,
            receiver,
            pending: PendingCommands::default(),
            leader_state: None,
            next_periodic_at: now,
            relay_term: None,
            next_relay_update_at: now,
            next_join_at: now,
            membership_health: MembershipHealth::default(),
            announcements: AnnouncementDigest::default(),
        };
        let thread = std::thread::Builder::new().name("replica".to_owned());
        // Without this thread the process would answer nothing; started again, it recovers from its disk.
        thread
            .spawn(move || {
                if std::panic::catch_unwind(AssertUnwindSafe(|| replica.run())).is_err() {
                    event!(error, "replica-stopped", problem = "panic");
                    crate::log::flush();
                    std::process::exit(EXIT_PANIC);
                }
            })
            .map_err(StorageError::Thread)?;
        Ok(())
    }

    fn run(mut self) {
        loop {
            if let Err(error) = self.step() {
                // After a failed write, this process can no longer rely on the contents of the
                // disk.
                event!(error, "replica-stopped", problem = error);
                crate::log::flush();
                std::process::exit(EXIT_STORAGE);
            }
        }
    }

    /// Handles one batch of events.
    fn step(&mut self) -> Result<(), StorageError> {
        let tick = self.time_until_tick();
        for event in self.receiver.batch(tick, Arc::clone(&self.node.clock)) {
            self.handle_event(event);
        }
        let now = self.node.now();
        self.log.consensus.tick(now);
        self.update_leadership(now);
        self.update_relays(now);
        self.propose(now);
        self.process_effects()?;
        self.update_leadership(self.node.now());
        // Newly committed entries may allow more tasks to start; those starts are written with the
        // next batch.
        self.propose(self.node.now());
        self.run_periodic_tasks(now);
        self.process_effects()?;
        Ok(())
    }

    /// The time for which to wait for an event.
    fn time_until_tick(&self) -> Duration {
        if !self.log.consensus.is_leader() {
            return FOLLOWER_TICK_INTERVAL;
        }
        let round_at = self.leader_state.as_ref().and_then(|state| state.engine.next_round_at());
        let until_round = round_at.map(|at| at.saturating_sub(self.node.now()));
        until_round.map_or(LEADER_TICK_INTERVAL, |until| until.min(LEADER_TICK_INTERVAL))
    }

    fn handle_event(&mut self, event: ReplicaEvent) {
        let now = self.node.now();
        match event {
            ReplicaEvent::Request(request, reply) => self.log.handle_request(now, request, reply),
            ReplicaEvent::Response { from, sent_at, response } => {
                self.log.consensus.handle_response(now, sent_at, &from, response);
            }
            ReplicaEvent::Failure(to) => self.log.consensus.handle_failure(&to),
            ReplicaEvent::Join(replica) => self.handle_join(now, replica),
            ReplicaEvent::ReadIdentity(reply) => {
                let _ = reply.try_send(self.log.consensus.id().clone());
            }
            ReplicaEvent::Identity(query, replica) => self.handle_identity(query, replica),
            ReplicaEvent::Job { request, received_at, reply } => {
                self.handle_job(now, received_at, request, reply);
            }
            ReplicaEvent::Fleet(request, reply) => self.handle_fleet(now, request, reply),
            ReplicaEvent::Operator(request, reply) => self.handle_operator(now, request, reply),
            ReplicaEvent::Poll(call, report) => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.engine.handle_poll_response(
                        now,
                        call,
                        report,
                        self.log.state.jobs(),
                    );
                }
            }
            ReplicaEvent::Order(call, response) => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.engine.handle_order_response(now, call, response);
                }
            }
            ReplicaEvent::Dropped(call) => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.engine.handle_dropped(now, call);
                }
            }
            ReplicaEvent::Machine(call, response) => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.engine.handle_machine_response(now, call, response);
                }
            }
            ReplicaEvent::Advice(call, response) => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.engine.handle_advice_response(now, call, response);
                }
            }
            ReplicaEvent::Machines(call, page) => {
                if let Some(page) = page.as_ref().filter(|page| page.malformed > 0) {
                    event!(warn, "machines-unreadable", entries = page.malformed);
                }
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.engine.handle_machine_page(call, page);
                }
            }
            ReplicaEvent::DataCentreRevision(id, reply) => {
                let _ = reply.try_send(self.log.state.jobs().data_centre_revision(&id));
            }
            ReplicaEvent::Leader(reply) => {
                let membership = self.log.consensus.membership();
                let replicas = membership.replicas().map(|replica| replica.node.clone());
                let _ = reply.try_send(LeaderResponse {
                    leader: self.leader_node(),
                    is_leading: self.is_leading(now),
                    replicas: replicas.collect(),
                });
            }
            ReplicaEvent::TransferLeadership(reply) => {
                let target = self.log.consensus.transfer_leadership(now);
                let _ = reply.try_send(target.is_some());
            }
        }
    }

    /// Handles a replica's request to join; a follower forwards it to the leader.
    fn handle_join(&mut self, now: Uptime, replica: ReplicaId) {
        if let Some(leader_state) = &mut self.leader_state {
            let membership = self.log.consensus.membership();
            let query = leader_state.membership.handle_join_request(now, &replica, membership);
            if let Some(query) = query {
                query_identity(&self.node, query);
            }
        } else if let Some(leader) = self.remote_leader() {
            forward_join(&self.node, leader, replica);
        }
    }

    /// Handles the answer of a node that was asked which replica it runs.
    fn handle_identity(&mut self, query: IdentityQuery, replica: Option<ReplicaId>) {
        let Some(leader_state) = &mut self.leader_state else { return };
        let membership = self.log.consensus.membership();
        let node = query.node.clone();
        let name = replica.as_ref().map(ToString::to_string).unwrap_or_default();
        let decision = leader_state.membership.handle_identity(query, replica, membership);
        event!(info, "join-decided", node = node, replica = name, decision = decision);
    }

    /// Returns whether this replica is the leader, knows all committed entries, and holds a valid
    /// leader lease.
    fn is_leading(&self, now: Uptime) -> bool {
        self.leader_state.is_some()
            && self.log.consensus.leader_lease_until().is_some_and(|until| now < until)
    }

    /// Runs the engine, executes its actions, and proposes its commands together with the pending
    /// ones.
    fn propose(&mut self, now: Uptime) {
        if !self.is_leading(now) {
            return;
        }
        let Some(leader_state) = &mut self.leader_state else { return };
        let unix_ms = self.node.unix_ms();
        leader_state.engine.advance(now, unix_ms, self.log.state.jobs());
        let output = leader_state.engine.take_output();
        for event in &output.events {
            log_event(event);
        }
        for action in output.actions {
            log_action(&action);
            if let Some(action) = relay::submit(&self.node, now, action) {
                calls::execute(&self.node, action);
            }
        }
        let mut commands = self.pending.take_batch();
        commands.extend(output.commands);
        if commands.is_empty() {
            return;
        }
        match self.log.consensus.propose(now, vec![Command::Jobs(commands)]) {
            Ok(index) => self.pending.record_proposed(index, self.log.consensus.term()),
            Err(_) => self.pending.reject(self.log.consensus.leader().map(|id| id.node.clone())),
        }
    }

    fn process_effects(&mut self) -> Result<(), StorageError> {
        let mut host = Host {
            node: &self.node,
            leader_state: self.leader_state.as_mut(),
            pending: &mut self.pending,
        };
        self.log.process_effects(&mut host)
    }

    fn leader_node(&self) -> Option<goldcrestring::name::NodeId> {
        self.log.consensus.leader().map(|replica| replica.node.clone())
    }

    /// Reports the state of the membership, and requests to join if this replica may be absent from
    /// the leader's.
    fn check_membership(&mut self, now: Uptime) {
        let voters_wanted = self.node.settings().target_voters();
        let consensus = &self.log.consensus;
        let reason = self.membership_health.update(now, consensus, voters_wanted);
        if reason.is_some() && now >= self.next_join_at {
            self.next_join_at = now + JOIN_INTERVAL;
            request_join(&self.node, consensus.id());
        }
    }
}

/// The number of entries in a request to a replica.
const fn entry_count(request: &Request) -> usize {
    match request {
        Request::Append(append) => append.entries.len(),
        _ => 0,
    }
}

/// Exit code after a failed write to the data folder.
const EXIT_STORAGE: i32 = 4;

/// Exit code after a panic of the replica's thread.
const EXIT_PANIC: i32 = 5;

/// Callbacks from the log into this thread.
struct Host<'a> {
    node: &'a Arc<FleetNode>,
    leader_state: Option<&'a mut LeaderState>,
    pending: &'a mut PendingCommands,
}

impl LogHost for Host<'_> {
    fn send(&self, to: ReplicaId, request: Request) {
        let node = Arc::clone(self.node);
        let sent_at = node.now();
        let timeout = match request {
            Request::Snapshot(_) => SNAPSHOT_TIMEOUT,
            _ => REQUEST_TIMEOUT,
        };
        let message = ConsensusRequest { to: to.clone(), request };
        spawn(async move {
            let response = call_peer(&node, &to.node, path::CONSENSUS, &message, timeout).await;
            let Some(replica) = &node.replica else { return };
            replica.send(match response {
                Ok(ConsensusResponse::Response(response)) => {
                    ReplicaEvent::Response { from: to, sent_at, response }
                }
                Ok(ConsensusResponse::OtherReplica) => {
                    event!(info, "replica-unanswered", to = to, problem = "other incarnation");
                    ReplicaEvent::Failure(to)
                }
                Err(problem) => {
                    let entries = entry_count(&message.request);
                    event!(
                        info,
                        "replica-unanswered",
                        to = to,
                        entries = entries,
                        problem = problem
                    );
                    ReplicaEvent::Failure(to)
                }
            });
        })
        .detach();
    }

    fn on_applied(
        &mut self,
        state: &ControlState,
        entry: &LogEntry,
        outcome: Option<CommandOutcome>,
    ) {
        let (Payload::Command(Command::Jobs(commands)), Some(CommandOutcome::Jobs(outcomes))) =
            (&entry.payload, outcome)
        else {
            return;
        };
        if let Some(leader_state) = &mut self.leader_state {
            let now = self.node.now();
            for (command, outcome) in commands.iter().zip(&outcomes) {
                log_applied(entry.index, command, outcome);
                leader_state.engine.handle_applied(now, command, outcome, state.jobs());
            }
        }
        self.pending.complete(entry.index, entry.term, &outcomes);
    }
}
