//! The thread that runs this process's replica.
//!
//! All events arrive through one channel. After each batch of events the thread writes and syncs
//! the changes, then sends the responses, then applies committed entries.

use crate::event_sender::EventSender;
use crate::log::event;
use crate::membership_health::MembershipHealth;
use crate::node::Node;
use crate::replicated_log::{LogHost, ReplicatedLog, ReplySender, SnapshotPolicy};
use crate::storage::{Storage, StorageError};
use goldcrestring::clock::Uptime;
use goldcrestring::process::consensus::{ConsensusSettings, Request, Response, RestoredState};
use goldcrestring::process::leader::LeaseRequestId;
use goldcrestring::process::{
    Command, CommandOutcome, ControlState, IdentityQuery, Leader, LogEntry, Payload, ReplicaId,
};
use goldcrestring::quantity::{LogIndex, Term};
use goldcrestring::version::Change;
use goldcrestring_wire::message::{
    ChangeResponse, ConsensusRequest, ConsensusResponse, IdentityResponse, JoinRequest,
    LeaseRequest, LeaseResponse, ReplicaStatus, path,
};
use goldcrestring_wire::runtime::spawn;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

/// Maximum time between two ticks of consensus.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between checks of the membership and of the entries' leases.
const PERIODIC_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between a replica's requests to join.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a request to another replica.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for sending a snapshot to another replica.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of events handled before their effects are written.
const MAX_BATCH_EVENTS: usize = 2_048;

/// An event for the replica's thread.
pub(crate) enum ReplicaEvent {
    /// A request from another replica.
    Request(ConsensusRequest, ReplySender<ConsensusResponse>),
    /// A response from another replica.
    Response { from: ReplicaId, sent_at: Uptime, response: Response },
    /// A request to a replica failed.
    Failure(ReplicaId),
    /// A configuration change from an operator.
    Change(Change, ReplySender<ChangeResponse>),
    /// A request for a configuration lease from an entry.
    Lease(LeaseRequest, ReplySender<LeaseResponse>),
    /// A request to join from a replica, which may be late.
    Join(ReplicaId),
    /// A request for this replica's identity.
    ReadIdentity(ReplySender<ReplicaId>),
    /// The replica that a queried node runs, or `None` if it did not respond.
    Identity(IdentityQuery, Option<ReplicaId>),
    /// A request for the replica's status.
    Status(ReplySender<ReplicaStatus>),
    /// A request to transfer leadership, because the process is shutting down.
    TransferLeadership(ReplySender<bool>),
}

/// Handle to the replica's thread.
pub(crate) type ReplicaHandle = EventSender<ReplicaEvent>;

/// State of the replica's thread: its log, its leader state and pending requests.
pub(crate) struct Replica {
    node: Arc<Node>,
    log: ReplicatedLog,
    leader: Option<Leader>,
    /// Term in which this replica last became leader.
    last_term: Term,
    receiver: Receiver<ReplicaEvent>,
    /// Changes waiting to be committed, by log index, with the term of their proposal.
    proposed_changes: BTreeMap<LogIndex, (Term, ReplySender<ChangeResponse>)>,
    /// Changes waiting to be proposed.
    new_changes: Vec<(Change, ReplySender<ChangeResponse>)>,
    lease_requests: BTreeMap<LeaseRequestId, ReplySender<LeaseResponse>>,
    next_periodic_at: Uptime,
    next_join_at: Uptime,
    membership_health: MembershipHealth,
}

impl Replica {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails if the restored snapshot can't be decoded or the thread can't be started.
    pub(crate) fn start(
        node: Arc<Node>,
        id: ReplicaId,
        storage: Storage,
        restored: RestoredState,
        receiver: Receiver<ReplicaEvent>,
    ) -> Result<(), StorageError> {
        let now = node.now();
        let settings =
            ConsensusSettings { seed: node.instance.boot.get(), ..ConsensusSettings::default() };
        let snapshot_policy = SnapshotPolicy::Entries(node.settings.snapshot_entries);
        let replica = Self {
            log: ReplicatedLog::new(id, settings, snapshot_policy, storage, restored, now)?,
            node,
            leader: None,
            last_term: Term::ZERO,
            receiver,
            proposed_changes: BTreeMap::new(),
            new_changes: Vec::new(),
            lease_requests: BTreeMap::new(),
            next_periodic_at: now,
            next_join_at: now,
            membership_health: MembershipHealth::default(),
        };
        let thread = std::thread::Builder::new().name("replica".to_owned());
        thread.spawn(move || replica.run()).map_err(StorageError::Thread)?;
        Ok(())
    }

    fn run(mut self) {
        loop {
            match self.step() {
                Ok(true) => {}
                Ok(false) => return,
                Err(error) => {
                    // After a failed write, this process can no longer rely on the contents of the
                    // disk.
                    event!(error, "replica-stopped", problem = error);
                    return;
                }
            }
        }
    }

    /// Handles one batch of events. Returns `false` once the event channel is closed.
    fn step(&mut self) -> Result<bool, StorageError> {
        match self.receiver.recv_timeout(TICK_INTERVAL) {
            Ok(event) => {
                self.handle_event(event);
                for _ in 1..MAX_BATCH_EVENTS {
                    let Ok(event) = self.receiver.try_recv() else { break };
                    self.handle_event(event);
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return Ok(false),
        }
        let now = self.node.now();
        self.propose_changes(now);
        self.log.consensus.tick(now);
        self.process_effects()?;
        self.update_leadership(now);
        self.run_periodic_tasks(now);
        self.process_effects()?;
        self.respond_to_lease_requests();
        Ok(true)
    }

    /// Responds to pending lease requests, as long as no other replica can be leader.
    fn respond_to_lease_requests(&mut self) {
        let now = self.node.now();
        let Some(leader) = &mut self.leader else { return };
        let is_lease_valid =
            self.log.consensus.leader_lease_until().is_some_and(|until| now < until);
        if !self.log.consensus.has_committed_in_term() || !is_lease_valid {
            return;
        }
        for (id, granted) in leader.respond(now, self.log.consensus.term(), &self.log.state) {
            if let Some(reply) = self.lease_requests.remove(&id) {
                let _ = reply.try_send(LeaseResponse::Granted(Box::new(granted)));
            }
        }
        self.lease_requests.retain(|_, reply| !reply.is_closed());
    }

    fn handle_event(&mut self, event: ReplicaEvent) {
        let now = self.node.now();
        match event {
            ReplicaEvent::Request(request, reply) => self.log.handle_request(now, request, reply),
            ReplicaEvent::Response { from, sent_at, response } => {
                self.log.consensus.handle_response(now, sent_at, &from, response);
            }
            ReplicaEvent::Failure(to) => self.log.consensus.handle_failure(&to),
            ReplicaEvent::Change(change, reply) => self.new_changes.push((change, reply)),
            ReplicaEvent::Lease(request, reply) => match &mut self.leader {
                Some(leader) if self.log.consensus.is_leader() => {
                    self.lease_requests.insert(leader.enqueue_request(now, request), reply);
                }
                _ => {
                    let leader = self.leader_node();
                    let _ = reply.try_send(LeaseResponse::NotLeader { leader });
                }
            },
            ReplicaEvent::Join(replica) => self.handle_join(now, &replica),
            ReplicaEvent::ReadIdentity(reply) => {
                let _ = reply.try_send(self.log.consensus.id().clone());
            }
            ReplicaEvent::Identity(query, replica) => self.handle_identity(query, replica),
            ReplicaEvent::Status(reply) => {
                let _ = reply.try_send(self.status());
            }
            ReplicaEvent::TransferLeadership(reply) => {
                let target = self.log.consensus.transfer_leadership(now);
                let _ = reply.try_send(target.is_some());
            }
        }
    }

    fn propose_changes(&mut self, now: Uptime) {
        if self.new_changes.is_empty() {
            return;
        }
        let new_changes = std::mem::take(&mut self.new_changes);
        let (commands, replies): (Vec<_>, Vec<_>) =
            new_changes.into_iter().map(|(change, reply)| (Command::Change(change), reply)).unzip();
        let first = self.log.consensus.last_index().next();
        let term = self.log.consensus.term();
        match self.log.consensus.propose(now, commands) {
            Ok(_) => {
                let indexes = (first.get()..).map(LogIndex::new);
                let proposed = indexes.zip(replies.into_iter().map(|reply| (term, reply)));
                self.proposed_changes.extend(proposed);
            }
            Err(_) => {
                for reply in replies {
                    let leader = self.leader_node();
                    let _ = reply.try_send(ChangeResponse::NotLeader { leader });
                }
            }
        }
    }

    fn process_effects(&mut self) -> Result<(), StorageError> {
        let mut host = Host {
            node: &self.node,
            leader: self.leader.as_mut(),
            proposed_changes: &mut self.proposed_changes,
        };
        self.log.process_effects(&mut host)
    }

    fn update_leadership(&mut self, now: Uptime) {
        let is_leader = self.log.consensus.is_leader();
        let term = self.log.consensus.term();
        let is_unchanged =
            self.leader.is_some() == is_leader && (!is_leader || self.last_term == term);
        if is_unchanged {
            return;
        }
        if self.leader.take().is_some() {
            let leader = self.leader_node();
            for reply in std::mem::take(&mut self.lease_requests).into_values() {
                let _ = reply.try_send(LeaseResponse::NotLeader { leader: leader.clone() });
            }
            for (_, reply) in std::mem::take(&mut self.proposed_changes).into_values() {
                let _ = reply.try_send(ChangeResponse::Lost);
            }
        }
        if is_leader {
            self.leader = Some(Leader::new(now));
            self.last_term = term;
        }
        event!(info, "leadership", is_leader = is_leader, term = term);
    }

    fn run_periodic_tasks(&mut self, now: Uptime) {
        let is_due = now >= self.next_periodic_at;
        if is_due {
            self.next_periodic_at = now + PERIODIC_INTERVAL;
            self.check_membership(now);
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        if !self.log.consensus.has_committed_in_term() {
            return;
        }
        if is_due {
            leader.refresh_live_entries(now);
            let target_voters = self.node.settings.target_voters();
            let replace_after = self.node.settings.replace_voter_after;
            let membership =
                leader.plan_membership(now, &self.log.consensus, target_voters, replace_after);
            if let Some(membership) = membership {
                let _ = self.log.consensus.propose_membership(now, membership);
            }
        }
        let commands = leader.plan_commands(now, &self.log.state);
        if !commands.is_empty() {
            let _ = self.log.consensus.propose(now, commands);
        }
    }

    /// Asks the node of a replica that wants to join which replica it runs.
    fn handle_join(&mut self, now: Uptime, replica: &ReplicaId) {
        let Some(leader) = &mut self.leader else { return };
        let membership = self.log.consensus.membership();
        let Some(query) = leader.handle_join_request(now, replica, membership) else { return };
        let node = Arc::clone(&self.node);
        spawn(async move {
            let call = node.call_peer::<_, IdentityResponse>(
                &query.node,
                path::IDENTITY,
                &(),
                REQUEST_TIMEOUT,
            );
            let answer = call.await.ok().map(|response| response.replica);
            if let Some(replica) = &node.replica {
                replica.send(ReplicaEvent::Identity(query, answer));
            }
        })
        .detach();
    }

    /// Handles the answer of a node that was asked which replica it runs.
    fn handle_identity(&mut self, query: IdentityQuery, replica: Option<ReplicaId>) {
        let Some(leader) = &mut self.leader else { return };
        let membership = self.log.consensus.membership();
        let node = query.node.clone();
        let name = replica.as_ref().map(ToString::to_string).unwrap_or_default();
        let decision = leader.handle_identity(query, replica, membership);
        event!(info, "join-decided", node = node, replica = name, decision = decision);
    }

    /// Reports the state of the membership, and requests to join if this replica may be absent from
    /// the leader's.
    fn check_membership(&mut self, now: Uptime) {
        let voters_wanted = self.node.settings.target_voters();
        let reason = self.membership_health.update(now, &self.log.consensus, voters_wanted);
        if reason.is_none() || now < self.next_join_at {
            return;
        }
        self.next_join_at = now + JOIN_INTERVAL;
        let replicas = self.node.settings.peers.iter();
        let replicas = replicas.filter(|(_, peer)| peer.is_voter || peer.is_spare);
        for (peer, _) in replicas.filter(|(peer, _)| **peer != self.node.settings.node) {
            let node = Arc::clone(&self.node);
            let request = JoinRequest { replica: self.log.consensus.id().clone() };
            let peer = peer.clone();
            spawn(async move {
                let call = node.call_peer::<_, ()>(&peer, path::JOIN, &request, REQUEST_TIMEOUT);
                let _ = call.await;
            })
            .detach();
        }
    }

    fn leader_node(&self) -> Option<goldcrestring::name::NodeId> {
        self.log.consensus.leader().map(|replica| replica.node.clone())
    }

    fn status(&self) -> ReplicaStatus {
        let membership = self.log.consensus.membership();
        let ids = |replicas: &std::collections::BTreeSet<ReplicaId>| {
            replicas.iter().map(ToString::to_string).collect()
        };
        ReplicaStatus {
            id: self.log.consensus.id().to_string(),
            term: self.log.consensus.term(),
            is_leader: self.log.consensus.is_leader(),
            committed: self.log.consensus.committed(),
            voters: ids(&membership.voters),
            learners: ids(&membership.learners),
        }
    }
}

/// Callbacks from the log into this thread.
struct Host<'a> {
    node: &'a Arc<Node>,
    leader: Option<&'a mut Leader>,
    proposed_changes: &'a mut BTreeMap<LogIndex, (Term, ReplySender<ChangeResponse>)>,
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
            let response = node.call_peer(&to.node, path::CONSENSUS, &message, timeout).await;
            let Some(replica) = &node.replica else { return };
            replica.send(match response {
                Ok(ConsensusResponse::Response(response)) => {
                    ReplicaEvent::Response { from: to, sent_at, response }
                }
                Ok(ConsensusResponse::OtherReplica) | Err(_) => ReplicaEvent::Failure(to),
            });
        })
        .detach();
    }

    fn on_applied(&mut self, _: &ControlState, entry: &LogEntry, outcome: Option<CommandOutcome>) {
        if let (Payload::Command(command), Some(outcome)) = (&entry.payload, &outcome) {
            if let Some(leader) = &mut self.leader {
                leader.record_applied(command);
            }
            log_outcome(entry, command, outcome);
        }
        let Some((term, reply)) = self.proposed_changes.remove(&entry.index) else { return };
        let response = match outcome {
            Some(CommandOutcome::Change(outcome)) if term == entry.term => {
                ChangeResponse::Done(outcome)
            }
            _ => ChangeResponse::Lost,
        };
        let _ = reply.try_send(response);
    }
}

fn log_outcome(entry: &LogEntry, command: &Command, outcome: &CommandOutcome) {
    match (command, outcome) {
        (Command::Change(change), CommandOutcome::Change(Ok(accepted))) => {
            event!(
                info,
                "change-accepted",
                change_id = change.change_id,
                revision = accepted.revision,
                edits = change.edits.len(),
            );
        }
        (Command::Change(change), CommandOutcome::Change(Err(rejection))) => {
            event!(info, "change-rejected", change_id = change.change_id, reason = rejection);
        }
        (Command::Grants(_), CommandOutcome::Grants { applied, refused }) => {
            event!(
                info,
                "allowances-moved",
                index = entry.index,
                applied = applied,
                refused = refused,
            );
        }
        (Command::Retire(instances), _) => {
            let ids: Vec<_> = instances.iter().map(ToString::to_string).collect();
            event!(info, "entries-retired", index = entry.index, instances = ids.join(","));
        }
        (_, CommandOutcome::TaskBound(bound)) => {
            event!(info, "task-bound", index = entry.index, bound_ms = bound.as_millis());
        }
        _ => {}
    }
}
