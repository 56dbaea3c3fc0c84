//! The thread that runs this process's replica.
//!
//! All events go through one channel. After each batch of events the thread writes and syncs what
//! changed, then sends answers, then applies what was committed.

use crate::log::event;
use crate::node::Node;
use crate::storage::{Storage, StorageError};
use goldcrestring::clock::Uptime;
use goldcrestring::process::consensus::{
    Consensus, ConsensusSettings, Effects, Request, Response, Restored,
};
use goldcrestring::process::leader::CallId;
use goldcrestring::process::{
    Command, ControlState, Leader, LogEntry, Outcome, Payload, ReplicaId, Snapshot,
};
use goldcrestring::quantity::{LogIndex, Term};
use goldcrestring::version::Change;
use goldcrestring_wire::codec;
use goldcrestring_wire::message::{
    ChangeAnswer, ConsensusAnswer, ConsensusCall, JoinCall, LeaseAnswer, LeaseCall, ReplicaStatus,
    path,
};
use goldcrestring_wire::runtime::spawn;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::Duration;

/// The time between two looks at the clock.
const TICK: Duration = Duration::from_millis(50);

/// The time between two looks at membership and dead entries.
const DUTY_INTERVAL: Duration = Duration::from_millis(200);

/// The time between two attempts of a new replica to be taken in.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// How long a request to another replica may take.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a snapshot may take on its way to another replica.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(20);

/// The most events handled before their effects are written.
const MAX_BATCH: usize = 2_048;

/// Where an answer goes; nobody may wait for it any more.
pub(crate) type Reply<T> = smol::channel::Sender<T>;

/// What the replica's thread is told.
pub(crate) enum ControlEvent {
    /// A request of another replica.
    Request(ConsensusCall, Reply<ConsensusAnswer>),
    /// The answer of another replica.
    Response { from: ReplicaId, sent_at: Uptime, response: Response },
    /// A request got no answer.
    Failure(ReplicaId),
    /// An operator's change.
    Change(Change, Reply<ChangeAnswer>),
    /// An entry asks for a lease.
    Lease(LeaseCall, Reply<LeaseAnswer>),
    /// A replica with a new disk asks to be taken in.
    Join(ReplicaId),
    /// Somebody asks for the replica's view.
    Status(Reply<ReplicaStatus>),
    /// The process is about to stop.
    Transfer(Reply<bool>),
}

/// Reaches the replica's thread.
pub(crate) struct ControlHandle {
    sender: Sender<ControlEvent>,
}

impl ControlHandle {
    /// A handle and the end that the thread reads.
    pub(crate) fn new() -> (Self, Receiver<ControlEvent>) {
        let (sender, receiver) = channel();
        (Self { sender }, receiver)
    }

    /// Tells the thread something; nothing happens when it has stopped.
    pub(crate) fn send(&self, event: ControlEvent) {
        let _ = self.sender.send(event);
    }

    /// Asks the thread something; `None` when it has stopped.
    pub(crate) async fn ask<T>(
        &self,
        question: impl FnOnce(Reply<T>) -> ControlEvent,
    ) -> Option<T> {
        let (reply, answer) = smol::channel::bounded(1);
        self.send(question(reply));
        answer.recv().await.ok()
    }
}

/// The replica and what surrounds it in its thread.
pub(crate) struct Control {
    node: Arc<Node>,
    consensus: Consensus,
    storage: Storage,
    state: ControlState,
    hard_state: goldcrestring::process::HardState,
    leader: Option<Leader>,
    last_term: Term,
    receiver: Receiver<ControlEvent>,
    changes: BTreeMap<LogIndex, (Term, Reply<ChangeAnswer>)>,
    answers: Vec<(Reply<ConsensusAnswer>, ConsensusAnswer)>,
    new_changes: Vec<(Change, Reply<ChangeAnswer>)>,
    lease_calls: BTreeMap<CallId, Reply<LeaseAnswer>>,
    next_duty: Uptime,
    next_join: Uptime,
}

impl Control {
    /// Starts the thread.
    pub(crate) fn start(
        node: Arc<Node>,
        id: ReplicaId,
        storage: Storage,
        restored: Restored,
        receiver: Receiver<ControlEvent>,
    ) -> Result<(), StorageError> {
        let now = node.now();
        let state = decode_state(&restored.snapshot)?;
        let settings =
            ConsensusSettings { seed: node.instance.boot.get(), ..ConsensusSettings::default() };
        let hard_state = restored.hard_state.clone();
        let control = Self {
            consensus: Consensus::new(id, settings, restored, now),
            node,
            storage,
            state,
            hard_state,
            leader: None,
            last_term: Term::ZERO,
            receiver,
            changes: BTreeMap::new(),
            answers: Vec::new(),
            new_changes: Vec::new(),
            lease_calls: BTreeMap::new(),
            next_duty: now,
            next_join: now,
        };
        let thread = std::thread::Builder::new().name("replica".to_owned());
        thread.spawn(move || control.run()).map_err(StorageError::Thread)?;
        Ok(())
    }

    fn run(mut self) {
        loop {
            match self.step() {
                Ok(true) => {}
                Ok(false) => return,
                Err(error) => {
                    // After a failed write nothing on this disk can be relied on in this process.
                    event!(error, "replica-stopped", problem = error);
                    return;
                }
            }
        }
    }

    fn step(&mut self) -> Result<bool, StorageError> {
        match self.receiver.recv_timeout(TICK) {
            Ok(event) => {
                self.take(event);
                for _ in 1..MAX_BATCH {
                    let Ok(event) = self.receiver.try_recv() else { break };
                    self.take(event);
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return Ok(false),
        }
        let now = self.node.now();
        self.propose_changes(now);
        self.consensus.tick(now);
        self.carry_out()?;
        self.note_leadership(now);
        self.do_duties(now);
        self.carry_out()?;
        self.answer_lease_calls();
        Ok(true)
    }

    /// Grants leases while no other replica can lead.
    fn answer_lease_calls(&mut self) {
        let now = self.node.now();
        let Some(leader) = &mut self.leader else { return };
        let is_lease_valid = self.consensus.leader_lease_until().is_some_and(|until| now < until);
        if !self.consensus.is_settled() || !is_lease_valid {
            return;
        }
        for (id, granted) in leader.answer(now, self.consensus.term(), &self.state) {
            if let Some(reply) = self.lease_calls.remove(&id) {
                let _ = reply.try_send(LeaseAnswer::Granted(Box::new(granted)));
            }
        }
        self.lease_calls.retain(|_, reply| !reply.is_closed());
    }

    fn take(&mut self, event: ControlEvent) {
        let now = self.node.now();
        match event {
            ControlEvent::Request(call, reply) => self.take_request(now, call, reply),
            ControlEvent::Response { from, sent_at, response } => {
                self.consensus.handle_response(now, sent_at, &from, response);
            }
            ControlEvent::Failure(to) => self.consensus.handle_failure(&to),
            ControlEvent::Change(change, reply) => self.new_changes.push((change, reply)),
            ControlEvent::Lease(call, reply) => match &mut self.leader {
                Some(leader) if self.consensus.is_leader() => {
                    self.lease_calls.insert(leader.take_call(now, call), reply);
                }
                _ => {
                    let leader = self.leader_node();
                    let _ = reply.try_send(LeaseAnswer::NotLeader { leader });
                }
            },
            ControlEvent::Join(replica) => {
                if let Some(leader) = &mut self.leader {
                    leader.take_join(replica);
                }
            }
            ControlEvent::Status(reply) => {
                let _ = reply.try_send(self.status());
            }
            ControlEvent::Transfer(reply) => {
                let target = self.consensus.transfer_leadership(now);
                let _ = reply.try_send(target.is_some());
            }
        }
    }

    fn take_request(&mut self, now: Uptime, call: ConsensusCall, reply: Reply<ConsensusAnswer>) {
        if call.to != *self.consensus.id() {
            let _ = reply.try_send(ConsensusAnswer::OtherReplica);
            return;
        }
        let response = self.consensus.handle_request(now, call.request);
        self.answers.push((reply, ConsensusAnswer::Response(response)));
    }

    fn propose_changes(&mut self, now: Uptime) {
        if self.new_changes.is_empty() {
            return;
        }
        let new_changes = std::mem::take(&mut self.new_changes);
        let (commands, replies): (Vec<_>, Vec<_>) =
            new_changes.into_iter().map(|(change, reply)| (Command::Change(change), reply)).unzip();
        let first = self.consensus.last_index().next();
        let term = self.consensus.term();
        match self.consensus.propose(now, commands) {
            Ok(_) => {
                let positions = (first.get()..).map(LogIndex::new);
                let waiting = positions.zip(replies.into_iter().map(|reply| (term, reply)));
                self.changes.extend(waiting);
            }
            Err(_) => {
                for reply in replies {
                    let leader = self.leader_node();
                    let _ = reply.try_send(ChangeAnswer::NotLeader { leader });
                }
            }
        }
    }

    /// Writes, sends and applies what the replica asks for, until it asks for nothing more.
    fn carry_out(&mut self) -> Result<(), StorageError> {
        loop {
            let effects = self.consensus.take_effects();
            let is_last = effects.committed.is_empty() && effects.append.is_empty();
            self.carry_out_once(effects)?;
            if is_last {
                break;
            }
        }
        for (reply, answer) in self.answers.drain(..) {
            let _ = reply.try_send(answer);
        }
        Ok(())
    }

    fn carry_out_once(&mut self, effects: Effects) -> Result<(), StorageError> {
        // A leader may send entries while it writes them; a vote must be on disk first.
        let is_write_first = effects.hard_state.is_some() || effects.install.is_some();
        let requests = if is_write_first {
            effects.requests
        } else {
            self.send(effects.requests);
            Vec::new()
        };
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
            self.consensus.persisted(last.index);
        }
        self.send(requests);
        for entry in effects.committed {
            self.apply(entry);
        }
        self.write_snapshot_when_due()
    }

    fn apply(&mut self, entry: LogEntry) {
        let waiting = self.changes.remove(&entry.index);
        let outcome = match &entry.payload {
            Payload::Command(command) => {
                let outcome = self.state.apply(entry.index, command);
                if let Some(leader) = &mut self.leader {
                    leader.note_applied(command);
                }
                log_outcome(&entry, command, &outcome);
                Some(outcome)
            }
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
        };
        if let Some((term, reply)) = waiting {
            let answer = match outcome {
                Some(Outcome::Change(outcome)) if term == entry.term => ChangeAnswer::Done(outcome),
                _ => ChangeAnswer::Lost,
            };
            let _ = reply.try_send(answer);
        }
    }

    fn write_snapshot_when_due(&mut self) -> Result<(), StorageError> {
        let index = self.state.applied();
        if self.consensus.entries_after_snapshot() < self.node.settings.snapshot_entries {
            return Ok(());
        }
        if index < self.consensus.committed() {
            return Ok(());
        }
        let Some((term, membership)) = self.consensus.snapshot_header(index) else {
            return Ok(());
        };
        let Ok(state) = codec::encode(&self.state) else {
            return Ok(());
        };
        let bytes = state.len();
        let snapshot = Arc::new(Snapshot { index, term, membership, state });
        self.consensus.compact(Arc::clone(&snapshot));
        let entries = self.consensus.entries();
        self.storage.compact(&snapshot, &self.hard_state, &entries)?;
        event!(info, "snapshot-written", index = index, bytes = bytes);
        Ok(())
    }

    fn note_leadership(&mut self, now: Uptime) {
        let is_leader = self.consensus.is_leader();
        let term = self.consensus.term();
        let is_same = self.leader.is_some() == is_leader && (!is_leader || self.last_term == term);
        if is_same {
            return;
        }
        if self.leader.take().is_some() {
            let leader = self.leader_node();
            for reply in std::mem::take(&mut self.lease_calls).into_values() {
                let _ = reply.try_send(LeaseAnswer::NotLeader { leader: leader.clone() });
            }
            for (_, reply) in std::mem::take(&mut self.changes).into_values() {
                let _ = reply.try_send(ChangeAnswer::Lost);
            }
        }
        if is_leader {
            self.leader = Some(Leader::new(now));
            self.last_term = term;
        }
        event!(info, "leadership", is_leader = is_leader, term = term);
    }

    fn do_duties(&mut self, now: Uptime) {
        let is_due = now >= self.next_duty;
        if is_due {
            self.next_duty = now + DUTY_INTERVAL;
            self.join_when_absent(now);
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        if !self.consensus.is_settled() {
            return;
        }
        if is_due {
            leader.note_time(now);
            let wanted = self.node.settings.peers.values().filter(|peer| peer.is_voter).count();
            let replace_after = self.node.settings.replace_voter_after;
            let next = leader.plan_membership(now, &self.consensus, wanted, replace_after);
            if let Some(next) = next {
                let _ = self.consensus.propose_membership(now, next);
            }
        }
        let commands = leader.plan_commands(now, &self.state);
        if !commands.is_empty() {
            let _ = self.consensus.propose(now, commands);
        }
    }

    /// Asks to be taken in while no membership names this disk.
    fn join_when_absent(&mut self, now: Uptime) {
        if self.consensus.membership().contains(self.consensus.id()) || now < self.next_join {
            return;
        }
        self.next_join = now + JOIN_INTERVAL;
        let replicas = self.node.settings.peers.iter();
        let replicas = replicas.filter(|(_, peer)| peer.is_voter || peer.is_spare);
        for (peer, _) in replicas.filter(|(peer, _)| **peer != self.node.settings.node) {
            let node = Arc::clone(&self.node);
            let call = JoinCall { replica: self.consensus.id().clone() };
            let peer = peer.clone();
            spawn(async move {
                let asked = node.call_peer::<_, ()>(&peer, path::JOIN, &call, REQUEST_TIMEOUT);
                let _ = asked.await;
            })
            .detach();
        }
    }

    fn send(&self, requests: Vec<(ReplicaId, Request)>) {
        for (to, request) in requests {
            let node = Arc::clone(&self.node);
            let sent_at = node.now();
            let time = match request {
                Request::Snapshot(_) => SNAPSHOT_TIMEOUT,
                _ => REQUEST_TIMEOUT,
            };
            let call = ConsensusCall { to: to.clone(), request };
            spawn(async move {
                let answer = node.call_peer(&to.node, path::CONSENSUS, &call, time).await;
                let Some(control) = &node.control else { return };
                control.send(match answer {
                    Ok(ConsensusAnswer::Response(response)) => {
                        ControlEvent::Response { from: to, sent_at, response }
                    }
                    Ok(ConsensusAnswer::OtherReplica) | Err(_) => ControlEvent::Failure(to),
                });
            })
            .detach();
        }
    }

    fn leader_node(&self) -> Option<goldcrestring::name::NodeId> {
        self.consensus.leader().map(|replica| replica.node.clone())
    }

    fn status(&self) -> ReplicaStatus {
        let membership = self.consensus.membership();
        let names = |replicas: &std::collections::BTreeSet<ReplicaId>| {
            replicas.iter().map(ToString::to_string).collect()
        };
        ReplicaStatus {
            id: self.consensus.id().to_string(),
            term: self.consensus.term(),
            is_leader: self.consensus.is_leader(),
            committed: self.consensus.committed(),
            voters: names(&membership.voters),
            learners: names(&membership.learners),
        }
    }
}

fn decode_state(snapshot: &Snapshot) -> Result<ControlState, StorageError> {
    // The first snapshot of a new cluster carries no state.
    if snapshot.state.is_empty() {
        return Ok(ControlState::default());
    }
    codec::decode(&snapshot.state).map_err(|_| StorageError::Snapshot { index: snapshot.index })
}

fn log_outcome(entry: &LogEntry, command: &Command, outcome: &Outcome) {
    match (command, outcome) {
        (Command::Change(change), Outcome::Change(Ok(accepted))) => {
            event!(
                info,
                "change-accepted",
                change_id = change.change_id,
                revision = accepted.revision,
                edits = change.edits.len(),
            );
        }
        (Command::Change(change), Outcome::Change(Err(rejection))) => {
            event!(info, "change-rejected", change_id = change.change_id, reason = rejection);
        }
        (Command::Grants(_), Outcome::Grants { applied, refused }) => {
            event!(
                info,
                "allowances-moved",
                index = entry.index,
                applied = applied,
                refused = refused,
            );
        }
        (Command::Retire(instances), _) => {
            let names: Vec<_> = instances.iter().map(ToString::to_string).collect();
            event!(info, "entries-retired", index = entry.index, instances = names.join(","));
        }
        (_, Outcome::TaskBound(bound)) => {
            event!(info, "task-bound", index = entry.index, bound_ms = bound.as_millis());
        }
        _ => {}
    }
}
