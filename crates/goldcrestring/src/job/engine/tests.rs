//! Tests of when the engine runs a scheduling round, and of its indexes of backend servers.

use super::{
    Action, Engine, EngineSettings, ListedRun, OrderResponse, PendingCall, PollReport, Uptime,
};
use crate::job::command::{EndKind, JobCommand, PlanDocument, RunEnd};
use crate::job::id::{Attempt, ServerId, ServerIncarnation, TaskId};
use crate::job::plan::{FleetPlan, Pool, Queue};
use crate::job::resources::Resources;
use crate::job::spec::{JobSpec, StepSpec};
use crate::job::state::{JobState, ServerRecord};
use crate::quantity::Term;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

const WALL_MS: u64 = 1_700_000_000_000;
const SERVERS: u32 = 6;
const EVENTS: u32 = 3_000;

/// A leader with backend servers that answer at random.
struct Fleet {
    random: SmallRng,
    state: JobState,
    engine: Engine,
    now: Uptime,
    actions: Vec<Action>,
    running: BTreeMap<ServerId, BTreeSet<(TaskId, Attempt)>>,
    finished: BTreeMap<ServerId, Vec<RunEnd>>,
    jobs: u32,
    starts: usize,
    skipped_rounds: usize,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut state = JobState::default();
        state.apply(&plan());
        for number in 0..SERVERS {
            state.apply(&JobCommand::Server(Box::new(record(number))));
        }
        let now = Duration::from_secs(100);
        let engine = Engine::new(now, Term::new(1), EngineSettings::default(), &state);
        Self {
            random: SmallRng::seed_from_u64(seed),
            state,
            engine,
            now,
            actions: Vec::new(),
            running: BTreeMap::new(),
            finished: BTreeMap::new(),
            jobs: 0,
            starts: 0,
            skipped_rounds: 0,
        }
    }

    /// Handles one random event, and commits what is proposed.
    fn step(&mut self) {
        self.now += Duration::from_millis(self.random.random_range(0..6));
        if self.random.random_ratio(1, 500) {
            self.restart_server();
        }
        match self.random.random_range(0..10) {
            0 => self.submit(),
            1 | 2 => self.end_run(),
            _ => self.answer_call(),
        }
        self.check_skipped_round();
        self.check_indexes();
        self.advance();
        self.check_indexes();
    }

    /// The indexes must contain each backend server without a pending poll or with queued orders, and
    /// each backend server must count its best-effort runs.
    fn check_indexes(&self) {
        for (id, server) in &self.engine.servers {
            let runs = server.runs.iter().filter_map(|task| self.engine.runs.get(task));
            let best_effort = runs.filter(|run| run.is_best_effort).count();
            assert_eq!(server.best_effort, best_effort, "best-effort runs of {id}");
            let sum = |is_counted: fn(&super::Run) -> bool| {
                let runs = server.runs.iter().filter_map(|task| self.engine.runs.get(task));
                let counted = runs.filter(|run| is_counted(run));
                let none = Resources::default();
                counted.fold(none, |sum, run| sum.saturating_add(&run.reservation))
            };
            assert_eq!(server.used, sum(|_| true), "use of {id}");
            assert_eq!(server.used_by_long_running, sum(|run| run.is_long_running), "{id}");
            assert_eq!(server.pending_poll.is_none(), self.engine.unpolled.contains(id), "{id}");
            let has_orders = !server.queued_orders.is_empty();
            assert!(!has_orders || self.engine.with_orders.contains(id), "orders for {id}");
        }
    }

    /// If no round is due, a round must not start anything.
    fn check_skipped_round(&mut self) {
        if self.engine.is_schedule_due || self.now >= self.engine.next_tick_at {
            return;
        }
        let commands = self.engine.output.commands.len();
        self.engine.schedule(self.now, WALL_MS, &self.state);
        assert_eq!(self.engine.output.commands[commands..], [], "at {:?}", self.now);
        self.skipped_rounds += 1;
    }

    fn advance(&mut self) {
        loop {
            self.engine.advance(self.now, WALL_MS, &self.state);
            let output = self.engine.take_output();
            self.actions.extend(output.actions);
            if output.commands.is_empty() {
                return;
            }
            for command in output.commands {
                self.apply(&command);
            }
        }
    }

    fn apply(&mut self, command: &JobCommand) {
        self.starts += usize::from(matches!(command, JobCommand::Start { .. }));
        let outcome = self.state.apply(command);
        self.engine.handle_applied(self.now, command, &outcome, &self.state);
        self.check_skipped_round();
    }

    /// Replaces the incarnation of a backend server.
    fn restart_server(&mut self) {
        let number = self.random.random_range(0..SERVERS);
        let mut record = record(number);
        let known = &self.state.servers()[&record.incarnation.id];
        record.incarnation.started_at_ms = known.incarnation.started_at_ms + 1;
        self.running.remove(&record.incarnation.id);
        self.finished.remove(&record.incarnation.id);
        self.apply(&JobCommand::Server(Box::new(record)));
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let cpu_millis = self.random.random_range(1..12) * 250;
        let demand = Resources { cpu_millis, memory_mb: 100, accelerators: 0 };
        let step = |depends_on| StepSpec {
            count: 3,
            demand,
            estimate_ms: 500,
            depends_on,
            is_best_effort: self.jobs.is_multiple_of(4),
            is_long_running: self.jobs.is_multiple_of(50) && self.jobs < 400,
            ..StepSpec::default()
        };
        let spec = JobSpec { steps: vec![step(vec![]), step(vec![0])], ..JobSpec::default() };
        self.apply(&JobCommand::Submit {
            id: format!("{:016x}", self.jobs).parse().expect("16 digits"),
            queue: "quotes".into(),
            team: None,
            spec: Arc::new(spec),
            at_ms: WALL_MS,
        });
    }

    fn end_run(&mut self) {
        let server = ServerId::from(format!("i-{}", self.random.random_range(0..SERVERS)).as_str());
        let Some((task, attempt)) = self.running.entry(server.clone()).or_default().pop_first()
        else {
            return;
        };
        let kind = if self.random.random_bool(0.8) { EndKind::Done } else { EndKind::Failed };
        let finished = self.finished.entry(server).or_default();
        let number = u64::try_from(finished.len()).expect("few ends") + 1;
        finished.push(RunEnd { number, task: Some(task), attempt, kind, checkpoint: None });
    }

    /// Answers a random call; some fail.
    fn answer_call(&mut self) {
        if self.actions.is_empty() {
            return;
        }
        let at = self.random.random_range(0..self.actions.len());
        let is_lost = self.random.random_bool(0.02);
        match self.actions.swap_remove(at) {
            Action::Poll { call, target, .. } => {
                let report = (!is_lost).then(|| self.report(&target.server));
                self.engine.handle_poll_response(self.now, call, report, &self.state);
            }
            Action::Start { call, target, task, attempt, .. } => {
                let server = target.server;
                if !is_lost {
                    self.running.entry(server).or_default().insert((task, attempt));
                }
                self.answer_order(call, is_lost);
            }
            Action::Stop { call, .. } | Action::Pace { call, .. } => {
                self.answer_order(call, is_lost);
            }
            _ => {}
        }
    }

    fn answer_order(&mut self, call: super::CallId, is_lost: bool) {
        assert!(!matches!(self.engine.calls.get(&call), Some(PendingCall::Poll { .. })));
        let done = OrderResponse::Done { clock_ms: 0 };
        let response = if is_lost { OrderResponse::Lost } else { done };
        self.engine.handle_order_response(self.now, call, response);
    }

    fn report(&self, server: &ServerId) -> PollReport {
        let running = self.running.get(server).into_iter().flatten();
        let listed = |(task, attempt): &(TaskId, Attempt)| ListedRun {
            task: *task,
            attempt: *attempt,
            percent: 10,
            metric: 0,
        };
        PollReport {
            started_at_ms: self.state.servers()[server].incarnation.started_at_ms,
            clock_ms: u64::try_from(self.now.as_millis()).expect("a short test"),
            running: running.map(listed).collect(),
            finished: self.finished.get(server).cloned().unwrap_or_default(),
            is_partial: false,
        }
    }
}

fn plan() -> JobCommand {
    let queue = Queue {
        name: "quotes".into(),
        host: "quotes.example".into(),
        prefix: "/".into(),
        pool: "studio".into(),
        priority: 0,
        max_attempts: 3,
        stretch_per_mille: 1_600,
        target_latency_ms: 600,
        timeout_ms: 3_000,
        is_open: true,
        advice: None,
    };
    let pool = Pool { name: "studio".into(), enforces_capacity: true, is_standby: false };
    let plan = FleetPlan::new(1, vec![queue], vec![pool], Vec::new()).expect("a valid plan");
    JobCommand::Plan(Arc::new(PlanDocument { plan, document: "{}".into() }))
}

fn record(number: u32) -> ServerRecord {
    ServerRecord {
        incarnation: ServerIncarnation {
            id: format!("i-{number}").as_str().into(),
            started_at_ms: 1,
        },
        address: ([127, 0, 0, 1], 9_000).into(),
        pool: "studio".into(),
        data_centre: "dc-a".into(),
        machine: Some(format!("m-{number}").into()),
        labels: BTreeSet::new(),
        capacity: Resources { cpu_millis: 4_000, memory_mb: 16_000, accelerators: 0 },
        is_draining: false,
        sequence: 1,
        recorded_end: 0,
        is_provisional: false,
        has_predecessor: false,
    }
}

/// Guards against an event that lets a task start, but after which no round is due, against a backend
/// server that is missing from the index of those to be polled or sent orders, and against best-effort
/// runs that are not counted, so that their pace is not adjusted.
#[test]
fn a_round_that_is_not_due_would_start_nothing_and_the_indexes_are_complete() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(seed);
        for _ in 0..EVENTS {
            fleet.step();
        }
        assert!(fleet.starts > 300, "seed {seed}: {} starts", fleet.starts);
        assert!(fleet.skipped_rounds > 300, "seed {seed}: {} skipped", fleet.skipped_rounds);
    }
}

/// A poll that a lost relay never sent must not count against its backend server: it would get no
/// starts, and its lease would not be extended.
#[test]
fn a_dropped_poll_is_made_again_at_once() {
    let mut fleet = Fleet::new(1);
    fleet.advance();
    let polls = |actions: &[Action]| -> BTreeMap<ServerId, super::CallId> {
        let polls = actions.iter().filter_map(|action| match action {
            Action::Poll { call, target, .. } => Some((target.server.clone(), *call)),
            _ => None,
        });
        polls.collect()
    };
    let first = polls(&fleet.actions);
    let (server, call) = first.first_key_value().expect("a poll");
    fleet.actions.clear();
    fleet.engine.handle_dropped(fleet.now, *call);
    fleet.check_indexes();
    assert!(!fleet.engine.servers[server].is_failing);
    fleet.advance();
    let second = polls(&fleet.actions);
    assert_eq!(second.keys().collect::<Vec<_>>(), [server]);
    assert_ne!(second[server], *call);
    fleet.engine.handle_dropped(fleet.now, *call);
    assert!(fleet.engine.servers[server].pending_poll.is_some(), "a result of an earlier call");
}
