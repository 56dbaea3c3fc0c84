//! Deterministic simulation of a leader, relays, backend servers and their links.

use crate::faults::{Faults, Mutation};
use crate::model::{Call, Event, RelayProcess, SERVERS, Sender, Server, ms, owner_of, parts};
use goldcrestring::job::engine::{Action, CallId, OrderResponse, PollReport, Target};
use goldcrestring::job::relay::{Batch, CallOutcome, CallResult, Gate, Outbox, Relays};
use goldcrestring::job::{ServerId, TaskId};
use goldcrestring::name::NodeId;
use goldcrestring::quantity::Term;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

const RELAYS: usize = 4;
const LEASE: Duration = ms(3_600);
const POLL_WAIT_MS: u64 = 800;
const CALL_TIMEOUT: Duration = ms(500);
const RETRY_DELAY: Duration = ms(150);
const BATCH_TIMEOUT: Duration = ms(400);
const RESULTS_TIMEOUT: Duration = ms(300);
const COLLECTING: Duration = ms(2);
const TICK: Duration = ms(50);

/// The longest time from the decision of a call to its sending by a relay: the leader's queue, the
/// way to the relay, the wait there.
const MAX_RELAYED_AGE: Duration = ms(300 + 600 + 300);

/// The longest time from the decision of a call to its sending by the leader.
const MAX_DIRECT_AGE: Duration = ms(600);

/// The longest time from the decision of a call to its result, beyond its timeout.
const MAX_RESULT_DELAY: Duration = ms(800);

/// The time before faults begin.
const CALM: Duration = ms(3_000);

/// A leader, its relays and backend servers, checked while they run.
pub(crate) struct Sim {
    random: SmallRng,
    faults: Faults,
    mutation: Option<Mutation>,
    now: Duration,
    term: Term,
    leader: Relays,
    is_flush_scheduled: bool,
    relays: Vec<RelayProcess>,
    servers: [Server; SERVERS],
    /// Calls of this term without a result.
    calls: BTreeMap<CallId, Call>,
    decided_at: BTreeMap<CallId, Duration>,
    next_call: u64,
    events: BTreeMap<(Duration, u64), Event>,
    next_event: u64,
    next_fault_at: Duration,
    /// The number of calls that relays sent.
    pub(crate) relayed: usize,
    /// The number of calls that the leader made instead of a relay.
    pub(crate) repeated: usize,
}

impl Sim {
    pub(crate) fn new(seed: u64, faults: Faults, mutation: Option<Mutation>) -> Self {
        let mut sim = Self {
            random: SmallRng::seed_from_u64(seed),
            faults,
            mutation,
            now: ms(100_000),
            term: Term::default(),
            leader: Relays::new(mutation.map(Mutation::settings).unwrap_or_default()),
            is_flush_scheduled: false,
            relays: (0..RELAYS).map(RelayProcess::new).collect(),
            servers: std::array::from_fn(|_| Server::default()),
            calls: BTreeMap::new(),
            decided_at: BTreeMap::new(),
            next_call: 0,
            events: BTreeMap::new(),
            next_event: 0,
            next_fault_at: Duration::ZERO,
            relayed: 0,
            repeated: 0,
        };
        sim.next_fault_at = sim.now + CALM;
        sim.start_term();
        for server in &mut sim.servers {
            server.lease_until = sim.now + LEASE;
        }
        sim
    }

    pub(crate) fn run(&mut self, duration_ms: u64) {
        let end = self.now + ms(duration_ms);
        while self.now < end {
            let next_tick = self.now + TICK;
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > next_tick {
                    break;
                }
                self.now = self.now.max(entry.key().0);
                let event = entry.remove();
                self.handle(event);
                self.settle();
            }
            self.now = next_tick;
            self.tick();
        }
    }

    fn tick(&mut self) {
        if self.now >= self.next_fault_at {
            self.inject_fault();
        }
        self.leader.tick(self.now);
        self.settle();
        self.send_polls();
        if self.random.random_bool(0.6) {
            let server = self.random.random_range(0..SERVERS);
            self.decide(server, false);
        }
        self.flush();
        for call in self.calls.values() {
            let age = self.now - call.decided_at;
            assert!(age <= call.timeout + MAX_RESULT_DELAY, "a call has no result after {age:?}");
        }
        for (number, server) in self.servers.iter().enumerate() {
            assert!(server.lease_until > self.now, "the lease of server {number} has run out");
        }
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.events.insert((at, self.next_event), event);
        self.next_event += 1;
    }

    fn delay(&mut self) -> Duration {
        ms(if self.random.random_bool(0.02) {
            self.random.random_range(20..250)
        } else {
            self.random.random_range(1..6)
        })
    }

    /// Whether a message of a relay is lost.
    fn is_lost(&mut self) -> bool {
        self.faults == Faults::Relays && self.random.random_bool(0.01)
    }

    /// Begins a term: another engine, which has no calls and polls everyone at once.
    fn start_term(&mut self) {
        self.term = self.term.next();
        self.calls.clear();
        let members = self.relays.iter().map(|relay| relay.id.clone()).collect();
        self.leader.set_members(self.now, Some(self.term), members);
        for server in &mut self.servers {
            server.pending_poll = None;
            server.next_poll_at = self.now;
            server.is_failing = false;
        }
        for relay in 0..RELAYS {
            let at = self.now + ms(self.random.random_range(0..400));
            self.at(at, Event::TermKnown { relay, term: self.term });
        }
    }

    fn inject_fault(&mut self) {
        let duration = ms(self.random.random_range(50..6_000));
        let until = self.now + duration;
        if self.faults == Faults::DirectPaths {
            // Each server is first reached by the leader alone, then by the relays alone.
            for server in 0..SERVERS {
                if self.random.random_bool(0.5) {
                    for relay in &mut self.relays {
                        relay.cut_from_server_until[server] = self.now + ms(1_500);
                    }
                    let cut_from = self.now + ms(3_500);
                    self.servers[server].cut_from_leader = cut_from..cut_from + duration;
                }
            }
            self.next_fault_at = until + ms(6_000);
            return;
        }
        self.next_fault_at = self.now + ms(self.random.random_range(100..1_500));
        let number = self.random.random_range(0..RELAYS);
        let server = self.random.random_range(0..SERVERS);
        let kind = self.random.random_range(0..8);
        let relay = &mut self.relays[number];
        match kind {
            0 | 1 => relay.suspended_until = until,
            2 => relay.cut_from_leader_until = until,
            3 => relay.cut_from_server_until[server] = until,
            4 => relay.cut_from_server_until = [until; SERVERS],
            5 => relay.slow_until = until,
            6 => {
                relay.life += 1;
                relay.gate = Gate::default();
                relay.outbox = Outbox::default();
                relay.known_term = Term::default();
                relay.down_until = self.now + duration / 20;
                relay.suspended_until = Duration::ZERO;
                if self.random.random_bool(0.5) {
                    relay.clock_zero = self.now;
                }
            }
            _ => self.start_term(),
        }
    }

    /// Polls the backend servers that are due.
    fn send_polls(&mut self) {
        for server in 0..SERVERS {
            let state = &self.servers[server];
            if state.pending_poll.is_none() && self.now >= state.next_poll_at {
                self.decide(server, true);
            }
        }
    }

    /// Decides a call, and hands it to a relay or makes it.
    fn decide(&mut self, server: usize, is_poll: bool) {
        let call = CallId::new(self.term, self.next_call);
        self.next_call += 1;
        let target = Target {
            server: ServerId::from(format!("i-{server}")),
            address: ([127, 0, 0, 1], u16::try_from(server).expect("few servers")).into(),
        };
        let fence = self.term.get();
        let action = if is_poll {
            let state = &mut self.servers[server];
            state.pending_poll = Some(call);
            let lease_until = u64::try_from((self.now + LEASE).as_millis()).expect("a short test");
            let lease_until_ms = (!state.is_failing).then_some(lease_until);
            // A backend server that does not respond is asked for an answer at once.
            let wait = if state.is_failing { Duration::ZERO } else { ms(POLL_WAIT_MS) };
            let timeout = wait + CALL_TIMEOUT;
            Action::Poll { call, target, fence, recorded_end: 0, lease_until_ms, wait, timeout }
        } else {
            let task: TaskId = "5c0e7a21d94b36f8.0.1.17".parse().expect("a task");
            Action::Stop { call, target, fence, task, attempt: 1, timeout: CALL_TIMEOUT }
        };
        let (_, _, timeout) = parts(&action);
        self.calls.insert(call, Call { server, timeout, is_poll, decided_at: self.now });
        self.decided_at.insert(call, self.now);
        if let Some(action) = self.leader.submit(self.now, action) {
            self.call_directly(action);
        } else {
            self.schedule_flush();
        }
    }

    fn schedule_flush(&mut self) {
        if !std::mem::replace(&mut self.is_flush_scheduled, true) {
            self.at(self.now + COLLECTING, Event::Flush);
        }
    }

    fn flush(&mut self) {
        let term = self.term;
        for (id, number, batch) in self.leader.take_batches(self.now) {
            let relay = self.relays.iter().position(|relay| relay.id == id).expect("a relay");
            let process = &self.relays[relay];
            let timeout_at = self.now + BATCH_TIMEOUT;
            let is_cut = self.now < process.cut_from_leader_until;
            let is_unreachable = is_cut || self.now < process.down_until;
            self.at(
                timeout_at,
                Event::BatchFails { relay, number, is_not_sent: is_unreachable, term },
            );
            if !is_unreachable && !self.is_lost() {
                let at = self.now + self.delay();
                self.at(at, Event::Batch { relay, number, batch });
            }
        }
        self.settle();
    }

    /// Carries out what the relays' state asks of the leader.
    fn settle(&mut self) {
        let output = self.leader.take_output();
        for result in output.results {
            self.end_call(result);
        }
        for action in output.direct {
            self.repeated += 1;
            if self.mutation != Some(Mutation::NothingRepeated) {
                self.call_directly(action);
            }
        }
        if self.leader.has_queued() {
            self.schedule_flush();
        }
    }

    fn call_directly(&mut self, action: Action) {
        let (call, server, timeout) = parts(&action);
        let age = self.now - self.decided_at[&call];
        assert!(age <= MAX_DIRECT_AGE, "the leader sends a call after {age:?}");
        let sender = Sender::Leader;
        if !self.servers[server].cut_from_leader.contains(&self.now) {
            let at = self.now + self.delay();
            self.at(at, Event::Call { sender, sent_at: self.now, action });
        } else {
            self.at(self.now + timeout, Event::End { sender, action, is_answered: false });
        }
    }

    /// Gives the engine the result of a call, which must be its first; only the report of a poll may
    /// come again or late, as its ends still count.
    fn end_call(&mut self, result: CallResult) {
        if result.call.term() != self.term {
            return;
        }
        let Some(call) = self.calls.remove(&result.call) else {
            let is_report = matches!(result.outcome, CallOutcome::Poll(Some(_)));
            assert!(is_report, "a call gets one result");
            return;
        };
        let server = &mut self.servers[call.server];
        if !call.is_poll || server.pending_poll != Some(result.call) {
            return;
        }
        server.pending_poll = None;
        match result.outcome {
            CallOutcome::Poll(Some(_)) => {
                server.is_failing = false;
                server.next_poll_at = self.now;
            }
            CallOutcome::Dropped => server.next_poll_at = self.now,
            CallOutcome::Poll(None) | CallOutcome::Order(_) => {
                server.is_failing = true;
                server.next_poll_at = self.now + RETRY_DELAY;
            }
        }
        if self.now >= server.next_poll_at {
            self.decide(call.server, true);
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some((relay, life)) = owner_of(&event) {
            let process = &self.relays[relay];
            if life.is_some_and(|life| life != process.life) {
                return;
            }
            if self.now < process.down_until {
                return;
            }
            if self.now < process.suspended_until {
                let at = process.suspended_until;
                self.at(at, event);
                return;
            }
        }
        match event {
            Event::Batch { relay, number, batch } => self.receive(relay, number, batch),
            Event::Ack { relay, number, ack, term } => {
                if term == self.term {
                    let id = self.relays[relay].id.clone();
                    self.leader.handle_ack(self.now, &id, number, ack);
                }
            }
            Event::BatchFails { relay, number, is_not_sent, term } => {
                if term == self.term {
                    let id = self.relays[relay].id.clone();
                    self.leader.handle_failure(self.now, &id, number, is_not_sent);
                }
            }
            Event::Make { relay, life, received_at, action } => {
                self.make(relay, life, received_at, action);
            }
            Event::Call { sender, sent_at, action } => self.serve(sender, sent_at, action),
            Event::End { sender, action, is_answered } => self.end(sender, &action, is_answered),
            Event::TakeResults { relay, life, leader } => {
                if let Some(results) = self.relays[relay].outbox.take(&leader) {
                    let event = Event::SendResults { relay, life, leader, results, tries: 1 };
                    self.at(self.now, event);
                }
            }
            Event::SendResults { relay, life, leader, results, tries } => {
                self.send_results(relay, life, leader, results, tries);
            }
            Event::Results { results } => {
                if self.mutation == Some(Mutation::EveryResultCounts) {
                    for result in results.clone() {
                        self.end_call(result);
                    }
                }
                self.leader.handle_results(self.now, results);
            }
            Event::Flush => {
                self.is_flush_scheduled = false;
                self.flush();
            }
            Event::TermKnown { relay, term } => self.learn_term(relay, term),
        }
    }

    fn learn_term(&mut self, relay: usize, term: Term) {
        let process = &mut self.relays[relay];
        process.known_term = process.known_term.max(term);
        if self.mutation != Some(Mutation::EarlierTermSent) {
            process.gate.note_term(term);
        }
    }

    fn receive(&mut self, relay: usize, number: u64, mut batch: Batch) {
        self.learn_term(relay, batch.term);
        let process = &mut self.relays[relay];
        let uptime = self.now - process.clock_zero;
        let term = batch.term;
        match self.mutation {
            Some(Mutation::LateCallsSent) => batch.made_after = None,
            Some(Mutation::EarlierTermSent) => process.gate = Gate::default(),
            _ => {}
        }
        let ack = process.gate.receive(uptime, &batch, false);
        let life = process.life;
        let is_cut = self.now < process.cut_from_leader_until;
        if ack.is_accepted {
            for action in batch.actions {
                let lag = ms(self.random.random_range(0..4));
                let slow = if self.now < self.relays[relay].slow_until { 40 } else { 1 };
                let event = Event::Make { relay, life, received_at: uptime, action };
                self.at(self.now + lag * slow, event);
            }
        }
        // An acknowledgement may also come after the leader has given up, or twice.
        for _ in 0..self.random.random_range(1..3) {
            if !is_cut && !self.is_lost() {
                let at = self.now + self.delay();
                self.at(at, Event::Ack { relay, number, ack, term });
            }
        }
    }

    /// Makes a call on a relay, unless it is too late.
    fn make(&mut self, number: usize, life: u64, received_at: Duration, action: Action) {
        let (call, server, timeout) = parts(&action);
        let relay = &self.relays[number];
        let is_cut = self.now < relay.cut_from_server_until[server];
        let uptime = self.now - relay.clock_zero;
        let is_age_ignored = self.mutation == Some(Mutation::LateCallsSent);
        let judged_at = if is_age_ignored { received_at } else { uptime };
        if !relay.gate.may_send(judged_at, call.term(), received_at) {
            self.add_result(number, CallResult { call, outcome: CallOutcome::Dropped });
            return;
        }
        let known_term = relay.known_term;
        assert!(call.term() >= known_term, "{call:?} is sent although {known_term:?} is known");
        let age = self.now - self.decided_at[&call];
        assert!(age <= MAX_RELAYED_AGE, "a relay sends a call after {age:?}");
        self.relayed += 1;
        let sender = Sender::Relay { relay: number, life };
        if !is_cut && !self.is_lost() {
            let at = self.now + self.delay();
            self.at(at, Event::Call { sender, sent_at: self.now, action });
        } else {
            self.at(self.now + timeout, Event::End { sender, action, is_answered: false });
        }
    }

    /// Carries out a call on its backend server.
    fn serve(&mut self, sender: Sender, sent_at: Duration, action: Action) {
        let (_, number, timeout) = parts(&action);
        let server = &mut self.servers[number];
        let (Action::Poll { fence, .. } | Action::Stop { fence, .. }) = &action else {
            unreachable!("only polls and stops are decided")
        };
        let is_current = *fence >= server.fence;
        server.fence = server.fence.max(*fence);
        let mut wait = Duration::ZERO;
        if let Action::Poll { lease_until_ms, .. } = &action {
            let lease_until = lease_until_ms.map_or(Duration::ZERO, ms);
            if is_current {
                server.lease_until = server.lease_until.max(lease_until);
            }
            if lease_until_ms.is_some() {
                wait = ms(self.random.random_range(0..POLL_WAIT_MS));
            }
        }
        let at = self.now + wait + self.delay();
        let is_answered = at <= sent_at + timeout;
        let at = at.min(sent_at + timeout);
        self.at(at, Event::End { sender, action, is_answered });
    }

    /// Ends a call at its sender.
    fn end(&mut self, sender: Sender, action: &Action, is_answered: bool) {
        let (call, _, _) = parts(action);
        let outcome = match action {
            Action::Poll { .. } => CallOutcome::Poll(is_answered.then(PollReport::default)),
            _ if is_answered => CallOutcome::Order(OrderResponse::Done { clock_ms: 1 }),
            _ => CallOutcome::Order(OrderResponse::Lost),
        };
        let result = CallResult { call, outcome };
        match sender {
            Sender::Leader => {
                if !is_answered && self.mutation != Some(Mutation::NoReturnToRelay) {
                    self.leader.handle_direct_failure(action);
                }
                self.end_call(result);
            }
            Sender::Relay { relay, .. } => self.add_result(relay, result),
        }
    }

    fn add_result(&mut self, relay: usize, result: CallResult) {
        // Each term has a leader of its own.
        let leader: NodeId = format!("t-{}", result.call.term().get()).parse().expect("a name");
        let process = &mut self.relays[relay];
        if process.outbox.add(&leader, result) {
            let life = process.life;
            self.at(self.now + COLLECTING, Event::TakeResults { relay, life, leader });
        }
    }

    fn send_results(
        &mut self,
        relay: usize,
        life: u64,
        leader: NodeId,
        results: Vec<CallResult>,
        tries: u32,
    ) {
        let process = &self.relays[relay];
        let is_lost = self.now < process.cut_from_leader_until;
        let mut delay = self.delay();
        if !is_lost {
            // A message whose response is lost comes again.
            for _ in 0..self.random.random_range(1..3) {
                let at = self.now + self.delay();
                self.at(at, Event::Results { results: results.clone() });
            }
        } else if tries < 2 {
            let at = self.now + RESULTS_TIMEOUT;
            self.at(at, Event::SendResults { relay, life, leader, results, tries: tries + 1 });
            return;
        } else {
            delay = RESULTS_TIMEOUT;
        }
        self.relays[relay].gate.finish(results.len());
        self.at(self.now + delay, Event::TakeResults { relay, life, leader });
    }
}
