//! A simulated fleet: a leader's engine, the replicated state and backend servers under one clock.

mod machines;

use crate::server::Server;
use goldcrestring::clock::Uptime;
use goldcrestring::job::command::PlanDocument;
use goldcrestring::job::engine::{
    Action, AdviceResponse, CallId, Engine, EngineEvent, EngineSettings, OrderResponse, Output,
    PollReport,
};
use goldcrestring::job::id::StepId;
use goldcrestring::job::plan::{AdviserTiming, FleetPlan, Pool, Queue, Team};
use goldcrestring::job::state::{JobPhase, ServerRecord, TaskPhase};
use goldcrestring::job::{
    JobCommand, JobId, JobSpec, JobState, MachineId, PoolId, Resources, ServerId,
    ServerIncarnation, StepSpec, TaskId,
};
use goldcrestring::quantity::Term;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Wall-clock time at the start of the simulation, in milliseconds since the Unix epoch.
const START_WALL_MS: u64 = 1_700_000_000_000;

const TICK: Duration = Duration::from_millis(5);

/// Time from proposing a command until it is committed, unless a test changes it.
const COMMIT_DELAY: Duration = Duration::from_millis(15);

/// One-way network delay of a call.
const NETWORK_DELAY: Duration = Duration::from_millis(2);

/// Number of occurrences of each job whose tasks are checked.
const CHECKED_OCCURRENCES: u32 = 100;

enum Event {
    Commit(Term, Vec<JobCommand>),
    Call(Term, Action),
    /// An order that arrives late at the incarnation with this start time; its response is lost.
    DelayedOrder(u64, Action),
    PollResponse(Term, Action, Option<PollReport>),
    OrderResponse(Term, Action, OrderResponse),
    MachineCall(Term, Action),
    VmUp(MachineId, PoolId),
}

/// Fault rates of calls to backend servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallFaults {
    /// Share of orders that are executed late and get no response, in percent.
    pub late_percent: u32,
    /// Share of responses that are lost, in percent.
    pub lost_percent: u32,
}

pub struct Fleet {
    pub now: Uptime,
    pub state: JobState,
    pub engine: Option<Engine>,
    pub term: Term,
    pub servers: BTreeMap<ServerId, Server>,
    /// Earlier incarnations of restarted backend servers.
    pub stopped_servers: Vec<Server>,
    pub faults: CallFaults,
    /// Whether backend servers refuse starts beyond their capacity.
    pub enforces_capacity: bool,
    /// Times at which a backend server ran more than its capacity.
    pub overloads: Vec<(Uptime, ServerId)>,
    /// Time from proposing a command until it is committed.
    pub commit_delay: Duration,
    /// Time for which reports wait at the leader before they are handled; those that wait for longer
    /// than the timeout of their call are handled after it.
    pub report_delay: Duration,
    /// Whether the clock of each restarted backend server starts anywhere.
    pub has_random_clocks: bool,
    /// Whether a late order is carried out by the next incarnation if the one it reached has ended.
    pub late_orders_survive: bool,
    /// How far the leader's wall clock is ahead, in milliseconds; behind if negative.
    pub wall_step_ms: i64,
    /// Run time of each job's tasks; `None` for long-running tasks.
    task_durations: BTreeMap<JobId, Option<Duration>>,
    events: BTreeMap<(Uptime, u64), Event>,
    next_event: u64,
    rng: SmallRng,
    /// Times at which two runs of a task were active.
    pub concurrent_runs: Vec<(Uptime, TaskId)>,
    /// Tasks that were started before their dependencies were done.
    pub early_starts: Vec<TaskId>,
    /// Peak resource usage of the team.
    pub peak_usage: Resources,
    /// Tasks that the replicated state has recorded as done.
    done: BTreeSet<TaskId>,
    /// Tasks that were started again after they were done.
    pub repeated_starts: Vec<TaskId>,
    /// Pool of each VM and whether the VM is up.
    pub machines: BTreeMap<MachineId, (PoolId, bool)>,
    /// VMs whose maintenance has begun, in order.
    pub maintenance_starts: Vec<MachineId>,
    /// VMs that are down for maintenance.
    pub in_maintenance: BTreeSet<MachineId>,
    next_server_number: u32,
    pub advice_calls: usize,
    /// Number of times that the leader suspected a restart of a backend server.
    pub suspected_restarts: usize,
    /// Number of starts that carried a ticket.
    pub starts_with_ticket: usize,
}

pub fn job_id(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("16 hexadecimal digits")
}

pub fn plan(number: u64, limit: Resources) -> JobCommand {
    plan_with_advice(number, limit, None)
}

pub fn plan_with_advice(
    number: u64,
    limit: Resources,
    advice: Option<AdviserTiming>,
) -> JobCommand {
    let queue = Queue {
        name: "quotes".into(),
        host: "quotes.example".into(),
        prefix: "/q/".into(),
        pool: "pool".into(),
        priority: 0,
        max_attempts: 3,
        stretch_per_mille: 1_600,
        target_latency_ms: 600,
        timeout_ms: 3_000,
        is_open: false,
        advice,
    };
    let pool =
        |name: &str, is_standby| Pool { name: name.into(), enforces_capacity: true, is_standby };
    let pools = vec![pool("pool", false), pool("other", false), pool("standby", true)];
    let keys = BTreeSet::from(["key".into()]);
    let team = Team { name: "bakers".into(), keys, weight: 1, limit };
    let plan = FleetPlan::new(number, vec![queue], pools, vec![team]).expect("a valid plan");
    JobCommand::Plan(Arc::new(PlanDocument { plan, document: "{}".into() }))
}

fn machine(number: u32) -> MachineId {
    format!("m-{number}").into()
}

pub fn step(count: u32, cpu_millis: u64) -> StepSpec {
    let demand = Resources { cpu_millis, memory_mb: 100, accelerators: 0 };
    StepSpec { count, demand, estimate_ms: 500, ..StepSpec::default() }
}

impl Fleet {
    pub fn new(seed: u64, servers: u32) -> Self {
        let mut fleet = Self {
            now: Duration::from_secs(100),
            state: JobState::default(),
            engine: None,
            term: Term::ZERO,
            servers: BTreeMap::new(),
            stopped_servers: Vec::new(),
            faults: CallFaults::default(),
            enforces_capacity: true,
            overloads: Vec::new(),
            commit_delay: COMMIT_DELAY,
            report_delay: Duration::ZERO,
            has_random_clocks: false,
            late_orders_survive: false,
            wall_step_ms: 0,
            task_durations: BTreeMap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            rng: SmallRng::seed_from_u64(seed),
            concurrent_runs: Vec::new(),
            early_starts: Vec::new(),
            peak_usage: Resources::default(),
            done: BTreeSet::new(),
            repeated_starts: Vec::new(),
            machines: BTreeMap::new(),
            maintenance_starts: Vec::new(),
            in_maintenance: BTreeSet::new(),
            next_server_number: 1_000,
            advice_calls: 0,
            suspected_restarts: 0,
            starts_with_ticket: 0,
        };
        fleet.state.apply(&plan(1, Resources::default()));
        for number in 0..servers {
            fleet.add_server(number, 1);
        }
        fleet.elect_leader();
        fleet
    }

    pub fn record(number: u32, started_at_ms: u64) -> ServerRecord {
        let rack: Arc<str> = format!("r1-{}", number / 2).into();
        ServerRecord {
            incarnation: ServerIncarnation { id: format!("i-{number}").into(), started_at_ms },
            address: format!("127.0.0.1:{}", 9_000 + number).parse().expect("a socket address"),
            pool: "pool".into(),
            data_centre: format!("dc-{}", number % 3).into(),
            machine: Some(format!("m-{number}").into()),
            labels: BTreeSet::from(["a".into(), rack]),
            capacity: Resources { cpu_millis: 4_000, memory_mb: 8_000, accelerators: 0 },
            is_draining: false,
            sequence: 1,
            recorded_end: 0,
            is_provisional: false,
            has_predecessor: false,
        }
    }

    /// Adds a backend server that is already in the replicated state.
    pub fn add_server(&mut self, number: u32, started_at_ms: u64) {
        let record = Self::record(number, started_at_ms);
        self.state.apply(&JobCommand::Server(Box::new(record.clone())));
        self.machines.insert(machine(number), (record.pool.clone(), true));
        self.servers.insert(record.incarnation.id.clone(), Server::new(record, self.now));
    }

    /// Adds a VM in the standby pool.
    pub fn add_standby_vm(&mut self, number: u32) {
        self.machines.insert(machine(number), ("standby".into(), true));
    }

    /// Starts a new term with a new engine; proposals and calls of the previous leader are dropped.
    pub fn elect_leader(&mut self) {
        self.term = self.term.next();
        let settings = EngineSettings::default();
        self.engine = Some(Engine::new(self.now, self.term, settings, &self.state));
    }

    pub fn submit(&mut self, number: u64, steps: Vec<StepSpec>, duration: Option<Duration>) {
        self.submit_spec(number, JobSpec { steps, ..JobSpec::default() }, duration);
    }

    pub fn submit_spec(&mut self, number: u64, spec: JobSpec, duration: Option<Duration>) {
        let id = job_id(number);
        self.task_durations.insert(id, duration);
        let spec = Arc::new(spec);
        let team = Some("bakers".into());
        let at_ms = self.wall_ms();
        self.apply(&JobCommand::Submit { id, queue: "quotes".into(), team, spec, at_ms });
    }

    pub fn wall_ms(&self) -> u64 {
        let elapsed_ms = u64::try_from(self.now.as_millis()).expect("milliseconds fit in u64");
        (START_WALL_MS + elapsed_ms).saturating_add_signed(self.wall_step_ms)
    }

    /// Commits and applies a command immediately.
    pub fn apply(&mut self, command: &JobCommand) {
        let outcome = self.state.apply(command);
        if let Some(engine) = &mut self.engine {
            engine.handle_applied(self.now, command, &outcome, &self.state);
        }
    }

    /// Crashes a backend server and ends its runs.
    pub fn crash(&mut self, number: u32) {
        let id = ServerId::from(format!("i-{number}"));
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.is_up = false;
        server.running.clear();
    }

    /// Restarts a crashed backend server under the same id and announces it.
    pub fn restart(&mut self, number: u32, started_at_ms: u64) {
        let record = Self::record(number, started_at_ms);
        self.restart_unannounced(&record);
        self.announce(&record);
    }

    /// Starts a crashed backend server again; the leader does not hear from it yet.
    pub fn restart_unannounced(&mut self, record: &ServerRecord) {
        let mut restarted = Server::new(record.clone(), self.now);
        if self.has_random_clocks {
            restarted.clock_start_ms = self.rng.random_range(0..10_000_000);
        }
        if let Some(old) = self.servers.insert(record.incarnation.id.clone(), restarted) {
            self.stopped_servers.push(old);
        }
    }

    pub fn announce(&mut self, record: &ServerRecord) {
        let Some(engine) = &mut self.engine else { return };
        if let Some(command) = engine.handle_announcement(self.now, record, &self.state) {
            self.push(self.commit_delay, Event::Commit(self.term, vec![command]));
        }
    }

    pub fn server(&mut self, number: u32) -> &mut Server {
        self.servers
            .get_mut(&ServerId::from(format!("i-{number}")))
            .expect("a known backend server")
    }

    pub fn phase(&self, number: u64) -> JobPhase {
        self.state.job(&job_id(number)).expect("a known job").phase
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.step();
        }
    }

    /// Runs until the leader sends a start order, and returns it instead of delivering it.
    pub fn intercept_start(&mut self) -> Action {
        loop {
            let is_start = |event: &Event| matches!(event, Event::Call(_, Action::Start { .. }));
            let found = self.events.iter().find(|(_, event)| is_start(event));
            if let Some(key) = found.map(|(key, _)| *key)
                && let Some(Event::Call(_, action)) = self.events.remove(&key)
            {
                return action;
            }
            self.run_for(TICK);
        }
    }

    /// Tells the leader, after the call timeout, that a start order got no response.
    pub fn time_out_start(&mut self, action: Action) {
        let Action::Start { timeout, .. } = action else { return };
        self.push(timeout, Event::OrderResponse(self.term, action, OrderResponse::Lost));
    }

    /// Returns whether a start order is addressed to the backend server with this number.
    pub fn is_addressed_to(&self, action: &Action, number: u32) -> bool {
        let id = ServerId::from(format!("i-{number}"));
        matches!(action, Action::Start { target, .. } if target.server == id)
    }

    /// Advances the leader's engine without carrying out what it puts out.
    pub fn advance_engine(&mut self) -> Output {
        let wall_ms = self.wall_ms();
        let engine = self.engine.as_mut().expect("a leader");
        engine.advance(self.now, wall_ms, &self.state);
        engine.take_output()
    }

    /// Delivers an order, whose response reaches the leader.
    pub fn complete_order(&mut self, action: Action) {
        if let Some(response) = self.execute(&action) {
            self.push(NETWORK_DELAY, Event::OrderResponse(self.term, action, response));
        }
    }

    /// Delivers an order and discards the response.
    pub fn deliver(&mut self, action: &Action) {
        self.execute(action);
    }

    /// Returns the number of backend servers on which a task runs.
    pub fn running(&self, task: &TaskId) -> usize {
        self.servers.values().filter(|server| server.running.contains_key(task)).count()
    }

    /// Returns the number of runs on all backend servers.
    pub fn running_in_total(&self) -> usize {
        self.servers.values().map(|server| server.running.len()).sum()
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.next_event += 1;
        self.events.insert((self.now + after, self.next_event), event);
    }

    fn step(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let event = entry.remove();
            self.handle(event);
        }
        for server in self.servers.values_mut() {
            server.tick(self.now);
        }
        let wall_ms = self.wall_ms();
        if let Some(engine) = &mut self.engine {
            engine.advance(self.now, wall_ms, &self.state);
            let output = engine.take_output();
            let suspects =
                |event: &&EngineEvent| matches!(event, EngineEvent::RestartSuspected { .. });
            self.suspected_restarts += output.events.iter().filter(suspects).count();
            if !output.commands.is_empty() {
                self.push(self.commit_delay, Event::Commit(self.term, output.commands));
            }
            for action in output.actions {
                self.push(NETWORK_DELAY, Event::Call(self.term, action));
            }
        }
        self.check_invariants();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Commit(term, commands) if term == self.term => {
                for command in commands {
                    self.apply(&command);
                }
            }
            Event::Commit(..) => {}
            Event::Call(term, action) => self.handle_action(term, action),
            Event::DelayedOrder(started_at_ms, action) => {
                let reached = self.reached_incarnation(&action);
                if reached == Some(started_at_ms) || (self.late_orders_survive && reached.is_some())
                {
                    self.execute(&action);
                }
            }
            Event::PollResponse(term, action, report) => {
                let Action::Poll { call, .. } = action else { return };
                if let Some(engine) = self.engine.as_mut().filter(|_| term == self.term) {
                    engine.handle_poll_response(self.now, call, report, &self.state);
                }
            }
            Event::MachineCall(term, action) => self.execute_machine_action(term, action),
            Event::VmUp(machine, pool) => self.start_vm(&machine, pool),
            Event::OrderResponse(term, action, response) => {
                let (Action::Start { call, .. }
                | Action::Stop { call, .. }
                | Action::Pace { call, .. }) = action
                else {
                    return;
                };
                if let Some(engine) = self.engine.as_mut().filter(|_| term == self.term) {
                    engine.handle_order_response(self.now, call, response);
                }
            }
        }
    }

    fn handle_action(&mut self, term: Term, action: Action) {
        let is_late = self.rng.random_range(0..100) < self.faults.late_percent;
        let is_lost = self.rng.random_range(0..100) < self.faults.lost_percent;
        let delay = Duration::from_millis(self.rng.random_range(2_000..8_000));
        match &action {
            Action::Poll { target, timeout, .. } => {
                let timeout = *timeout;
                let now = self.now;
                let server = self.servers.get_mut(&target.server);
                let server = server.filter(|server| server.is_up && server.is_reachable);
                let report = server.and_then(|server| server.poll(now, &action));
                match report.filter(|_| !is_lost) {
                    Some(report) => {
                        // A backend server may delay its response until a run ends; here the
                        // delay is constant.
                        let delay = Duration::from_millis(20) + self.report_delay;
                        if delay > timeout {
                            self.push(timeout, Event::PollResponse(term, action.clone(), None));
                        }
                        self.push(delay, Event::PollResponse(term, action, Some(report)));
                    }
                    None => self.push(timeout, Event::PollResponse(term, action, None)),
                }
            }
            Action::Start { timeout, .. }
            | Action::Stop { timeout, .. }
            | Action::Pace { timeout, .. } => {
                let timeout = *timeout;
                if is_late {
                    self.push(
                        timeout,
                        Event::OrderResponse(term, action.clone(), OrderResponse::Lost),
                    );
                    if let Some(started_at_ms) = self.reached_incarnation(&action) {
                        self.push(delay, Event::DelayedOrder(started_at_ms, action));
                    }
                    return;
                }
                let response = self.execute(&action);
                match response.filter(|_| !is_lost) {
                    Some(response) => {
                        self.push(NETWORK_DELAY, Event::OrderResponse(term, action, response));
                    }
                    None => {
                        self.push(timeout, Event::OrderResponse(term, action, OrderResponse::Lost));
                    }
                }
            }
            Action::Maintain { .. } | Action::Move { .. } | Action::ListMachines { .. } => {
                self.push(NETWORK_DELAY, Event::MachineCall(term, action));
            }
            Action::Advise { call, servers, .. } => {
                let (call, servers) = (*call, servers.clone());
                self.advise(term, call, &servers);
            }
        }
    }

    /// Allows the backend servers whose id is below `i-3`.
    fn advise(&mut self, term: Term, call: CallId, servers: &[ServerId]) {
        self.advice_calls += 1;
        let allowed = servers.iter().filter(|id| id.as_str() < "i-3");
        let allowed = allowed.map(|id| (id.clone(), Arc::from("ticket"))).collect();
        let valid_for = Duration::from_secs(3);
        if let Some(engine) = self.engine.as_mut().filter(|_| term == self.term) {
            engine.handle_advice_response(
                self.now,
                call,
                Some(AdviceResponse { allowed, valid_for }),
            );
        }
    }

    /// Returns the start time of the incarnation that an order reaches, in milliseconds; `None` if it
    /// reaches none.
    fn reached_incarnation(&self, action: &Action) -> Option<u64> {
        let (Action::Start { target, .. } | Action::Stop { target, .. }) = action else {
            return None;
        };
        let server = self.servers.get(&target.server)?;
        (server.is_up && server.is_reachable).then_some(server.record.incarnation.started_at_ms)
    }

    fn execute(&mut self, action: &Action) -> Option<OrderResponse> {
        let (Action::Start { target, task, .. }
        | Action::Stop { target, task, .. }
        | Action::Pace { target, task, .. }) = action
        else {
            return None;
        };
        let duration = self.task_durations.get(&task.step.job).copied().flatten();
        let job = self.state.job(&task.step.job)?;
        let spec = job.step_spec(task.step.step)?;
        // Computed from the simulation's own records, independently of the code under test.
        let is_ready = spec.depends_on.iter().all(|dependency| {
            let step = StepId { step: *dependency, ..task.step };
            let count = job.spec.steps
                [usize::try_from(*dependency).expect("step numbers fit in usize")]
            .count;
            (0..count).all(|index| self.done.contains(&TaskId { step, index }))
        });
        let reservation = spec.reservation();
        let now = self.now;
        let server = self.servers.get_mut(&target.server)?;
        if !server.is_up || !server.is_reachable {
            return None;
        }
        server.enforces_capacity = self.enforces_capacity;
        let starts = server.starts.len();
        let response = server.handle_order(now, action, duration, reservation);
        if server.starts.len() > starts {
            if matches!(action, Action::Start { ticket: Some(_), .. }) {
                self.starts_with_ticket += 1;
            }
            if !is_ready {
                self.early_starts.push(*task);
            }
            if self.done.contains(task) {
                self.repeated_starts.push(*task);
            }
        }
        Some(response)
    }

    /// Checks the invariants after every tick.
    fn check_invariants(&mut self) {
        let mut seen = BTreeSet::new();
        let mut used = Resources::default();
        for server in self.servers.values().filter(|server| server.is_up) {
            if !server.used().fits_in(&server.record.capacity) {
                self.overloads.push((self.now, server.record.incarnation.id.clone()));
            }
            for (task, run) in &server.running {
                used = used.saturating_add(&run.reservation);
                if !seen.insert(*task) {
                    self.concurrent_runs.push((self.now, *task));
                }
            }
        }
        if used.cpu_millis > self.peak_usage.cpu_millis {
            self.peak_usage = used;
        }
        for (id, job) in self.state.jobs() {
            let first = StepId { job: *id, occurrence: 0, step: 0 };
            let occurrences = 0..job.spec.occurrences().min(CHECKED_OCCURRENCES);
            let steps = occurrences.flat_map(|occurrence| {
                (0..).zip(&job.spec.steps).map(move |(step, spec)| (occurrence, step, spec.count))
            });
            for (occurrence, step, count) in steps {
                let step = StepId { occurrence, step, ..first };
                let tasks = (0..count).map(|index| TaskId { step, index });
                let is_done = |id: &TaskId| {
                    self.state.task(id).is_some_and(|task| task.phase == TaskPhase::Done)
                };
                self.done.extend(tasks.filter(is_done));
            }
        }
    }
}
