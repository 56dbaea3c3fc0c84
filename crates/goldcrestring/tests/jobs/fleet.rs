//! A leader's engine, the state and backend servers under one passed-in clock.

use crate::server::Server;
use goldcrestring::clock::Uptime;
use goldcrestring::job::command::PlanDocument;
use goldcrestring::job::engine::{
    Action, AdviceAnswer, CallId, Engine, EngineSettings, ListedMachine, MachineAnswer,
    MachinePage, OrderAnswer, PollReport,
};
use goldcrestring::job::id::StepId;
use goldcrestring::job::plan::{AdviserTiming, FleetPlan, Pool, Queue, Team};
use goldcrestring::job::state::{JobPhase, ServerRecord};
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

/// The wall clock at the start, in milliseconds since 1970.
const WALL_MS: u64 = 1_700_000_000_000;

const STEP: Duration = Duration::from_millis(5);

/// How long a commit takes.
const COMMIT: Duration = Duration::from_millis(15);

/// How long a call takes each way.
const TRANSIT: Duration = Duration::from_millis(2);

enum Event {
    Commit(Term, Vec<JobCommand>),
    Arrive(Term, Action),
    /// An order that an incarnation carries out late, without an answer.
    Late(u64, Action),
    Hold(Term, Action, Option<PollReport>),
    Order(Term, Action, OrderAnswer),
    Machine(Term, Action),
    Return(MachineId, PoolId),
}

/// What may go wrong with a call to a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallFaults {
    /// The share of orders that get no answer and are carried out late, in percent.
    pub late_percent: u32,
    /// The share of answers that are lost, in percent.
    pub lost_percent: u32,
}

pub struct Fleet {
    pub now: Uptime,
    pub state: JobState,
    pub engine: Option<Engine>,
    pub term: Term,
    pub servers: BTreeMap<ServerId, Server>,
    /// Incarnations that are over, with all that they ran.
    pub past: Vec<Server>,
    pub faults: CallFaults,
    /// How long each job's tasks work; `None` where they last.
    durations: BTreeMap<JobId, Option<Duration>>,
    events: BTreeMap<(Uptime, u64), Event>,
    next_event: u64,
    rng: SmallRng,
    /// Every moment at which a task ran twice.
    pub doubled: Vec<(Uptime, TaskId)>,
    /// Starts of tasks whose dependencies were not done.
    pub too_early: Vec<TaskId>,
    /// The most that the team had running.
    pub most_used: Resources,
    done: BTreeSet<TaskId>,
    /// Starts of tasks that had been done.
    pub redone: Vec<TaskId>,
    /// The pool of each VM, and whether it is up.
    pub machines: BTreeMap<MachineId, (PoolId, bool)>,
    /// The VMs whose upkeep has begun, in order.
    pub upkeeps: Vec<MachineId>,
    /// The VMs that are down for upkeep.
    pub in_upkeep: BTreeSet<MachineId>,
    next_life: u32,
    pub advice_calls: usize,
    /// Starts that carried a ticket.
    pub with_ticket: usize,
}

/// How long a VM is away for a move or an upkeep.
const AWAY: Duration = Duration::from_millis(1_500);

pub fn job_id(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("16 digits")
}

pub fn plan(number: u64, limit: Resources) -> JobCommand {
    plan_with(number, limit, None)
}

pub fn plan_with(number: u64, limit: Resources, advice: Option<AdviserTiming>) -> JobCommand {
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
    let plan = FleetPlan::new(number, vec![queue], pools, vec![team]).expect("valid");
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
            past: Vec::new(),
            faults: CallFaults::default(),
            durations: BTreeMap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            rng: SmallRng::seed_from_u64(seed),
            doubled: Vec::new(),
            too_early: Vec::new(),
            most_used: Resources::default(),
            done: BTreeSet::new(),
            redone: Vec::new(),
            machines: BTreeMap::new(),
            upkeeps: Vec::new(),
            in_upkeep: BTreeSet::new(),
            next_life: 1_000,
            advice_calls: 0,
            with_ticket: 0,
        };
        fleet.state.apply(&plan(1, Resources::default()));
        for number in 0..servers {
            fleet.add_server(number, 1);
        }
        fleet.elect();
        fleet
    }

    pub fn record(number: u32, started_at_ms: u64) -> ServerRecord {
        let rack: Arc<str> = format!("r1-{}", number / 2).into();
        ServerRecord {
            incarnation: ServerIncarnation { id: format!("i-{number}").into(), started_at_ms },
            address: format!("127.0.0.1:{}", 9_000 + number).parse().expect("address"),
            pool: "pool".into(),
            data_centre: format!("dc-{}", number % 3).into(),
            machine: Some(format!("m-{number}").into()),
            labels: BTreeSet::from(["a".into(), rack]),
            capacity: Resources { cpu_millis: 4_000, memory_mb: 8_000, accelerators: 0 },
            is_draining: false,
            sequence: 1,
            last_recorded_end: 0,
        }
    }

    /// Adds a backend server that earlier leaders knew.
    pub fn add_server(&mut self, number: u32, started_at_ms: u64) {
        let record = Self::record(number, started_at_ms);
        self.state.apply(&JobCommand::Server(Box::new(record.clone())));
        self.machines.insert(machine(number), (record.pool.clone(), true));
        self.servers.insert(record.incarnation.id.clone(), Server::new(record, self.now));
    }

    /// Adds a VM that is off.
    pub fn add_standby(&mut self, number: u32) {
        self.machines.insert(machine(number), ("standby".into(), true));
    }

    /// Lets another leader take over; what the last one proposed is lost.
    pub fn elect(&mut self) {
        self.term = self.term.next();
        let settings = EngineSettings::default();
        self.engine = Some(Engine::new(self.now, self.term, settings, &self.state));
    }

    pub fn submit(&mut self, number: u64, steps: Vec<StepSpec>, duration: Option<Duration>) {
        let id = job_id(number);
        self.durations.insert(id, duration);
        let spec = Arc::new(JobSpec { steps, ..JobSpec::default() });
        let team = Some("bakers".into());
        let at_ms = self.wall_ms();
        self.apply(&JobCommand::Submit { id, queue: "quotes".into(), team, spec, at_ms });
    }

    pub fn wall_ms(&self) -> u64 {
        WALL_MS + u64::try_from(self.now.as_millis()).expect("short")
    }

    /// Commits a command at once.
    pub fn apply(&mut self, command: &JobCommand) {
        let outcome = self.state.apply(command);
        if let Some(engine) = &mut self.engine {
            engine.handle_applied(self.now, command, &outcome, &self.state);
        }
    }

    /// Crashes a backend server; what it ran is gone.
    pub fn crash(&mut self, number: u32) {
        let id = ServerId::from(format!("i-{number}"));
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.is_up = false;
        server.running.clear();
    }

    /// Starts a crashed backend server again under the same id; it announces itself.
    pub fn restart(&mut self, number: u32, started_at_ms: u64) {
        let record = Self::record(number, started_at_ms);
        let reborn = Server::new(record.clone(), self.now);
        if let Some(old) = self.servers.insert(record.incarnation.id.clone(), reborn) {
            self.past.push(old);
        }
        self.announce(&record);
    }

    pub fn announce(&mut self, record: &ServerRecord) {
        let Some(engine) = &mut self.engine else { return };
        if let Some(command) = engine.handle_announcement(self.now, record, &self.state) {
            self.push(COMMIT, Event::Commit(self.term, vec![command]));
        }
    }

    pub fn server(&mut self, number: u32) -> &mut Server {
        self.servers.get_mut(&ServerId::from(format!("i-{number}"))).expect("a server")
    }

    pub fn phase(&self, number: u64) -> JobPhase {
        self.state.job(&job_id(number)).expect("a job").phase
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.step();
        }
    }

    /// Runs until the leader sends a start, and takes it off the network.
    pub fn next_start(&mut self) -> Action {
        loop {
            let is_start = |event: &Event| matches!(event, Event::Arrive(_, Action::Start { .. }));
            let found = self.events.iter().find(|(_, event)| is_start(event));
            if let Some(key) = found.map(|(key, _)| *key)
                && let Some(Event::Arrive(_, action)) = self.events.remove(&key)
            {
                return action;
            }
            self.run_for(STEP);
        }
    }

    /// Tells the leader that an order got no answer, once it has waited for one.
    pub fn lose(&mut self, action: Action) {
        let Action::Start { timeout, .. } = action else { return };
        self.push(timeout, Event::Order(self.term, action, OrderAnswer::Lost));
    }

    /// Whether a start is for the backend server of a number.
    pub fn is_for(&self, action: &Action, number: u32) -> bool {
        let id = ServerId::from(format!("i-{number}"));
        matches!(action, Action::Start { target, .. } if target.server == id)
    }

    /// Delivers an order whose answer nobody waits for any more.
    pub fn deliver(&mut self, action: &Action) {
        self.carry_out(action);
    }

    /// The number of backend servers on which a task runs.
    pub fn running(&self, task: &TaskId) -> usize {
        self.servers.values().filter(|server| server.running.contains_key(task)).count()
    }

    /// The number of tasks that run anywhere.
    pub fn running_in_all(&self) -> usize {
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
            if !output.commands.is_empty() {
                self.push(COMMIT, Event::Commit(self.term, output.commands));
            }
            for action in output.actions {
                self.push(TRANSIT, Event::Arrive(self.term, action));
            }
        }
        self.check();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Commit(term, commands) if term == self.term => {
                for command in commands {
                    self.apply(&command);
                }
            }
            Event::Commit(..) => {}
            Event::Arrive(term, action) => self.arrive(term, action),
            Event::Late(started_at_ms, action) => {
                if self.life_of(&action) == Some(started_at_ms) {
                    self.carry_out(&action);
                }
            }
            Event::Hold(term, action, report) => {
                let Action::Poll { call, .. } = action else { return };
                if let Some(engine) = self.engine.as_mut().filter(|_| term == self.term) {
                    engine.handle_poll_answer(self.now, call, report, &self.state);
                }
            }
            Event::Machine(term, action) => self.order_machine(term, action),
            Event::Return(machine, pool) => self.bring_back(&machine, pool),
            Event::Order(term, action, answer) => {
                let (Action::Start { call, .. }
                | Action::Stop { call, .. }
                | Action::Pace { call, .. }) = action
                else {
                    return;
                };
                if let Some(engine) = self.engine.as_mut().filter(|_| term == self.term) {
                    engine.handle_order_answer(self.now, call, answer);
                }
            }
        }
    }

    fn arrive(&mut self, term: Term, action: Action) {
        let is_late = self.rng.random_range(0..100) < self.faults.late_percent;
        let is_lost = self.rng.random_range(0..100) < self.faults.lost_percent;
        let late_by = Duration::from_millis(self.rng.random_range(2_000..8_000));
        match &action {
            Action::Poll { target, timeout, .. } => {
                let timeout = *timeout;
                let now = self.now;
                let server = self.servers.get_mut(&target.server);
                let server = server.filter(|server| server.is_up && server.is_reachable);
                let report = server.and_then(|server| server.hold(now, &action));
                match report.filter(|_| !is_lost) {
                    Some(report) => {
                        // The answer waits for an end; here it always waits a little.
                        let wait = Duration::from_millis(20);
                        self.push(wait, Event::Hold(term, action, Some(report)));
                    }
                    None => self.push(timeout, Event::Hold(term, action, None)),
                }
            }
            Action::Start { timeout, .. }
            | Action::Stop { timeout, .. }
            | Action::Pace { timeout, .. } => {
                let timeout = *timeout;
                if is_late {
                    self.push(timeout, Event::Order(term, action.clone(), OrderAnswer::Lost));
                    if let Some(started_at_ms) = self.life_of(&action) {
                        self.push(late_by, Event::Late(started_at_ms, action));
                    }
                    return;
                }
                let answer = self.carry_out(&action);
                match answer.filter(|_| !is_lost) {
                    Some(answer) => self.push(TRANSIT, Event::Order(term, action, answer)),
                    None => self.push(timeout, Event::Order(term, action, OrderAnswer::Lost)),
                }
            }
            Action::Maintain { .. } | Action::Move { .. } | Action::ListMachines { .. } => {
                self.push(TRANSIT, Event::Machine(term, action));
            }
            Action::Advise { call, servers, .. } => {
                let (call, servers) = (*call, servers.clone());
                self.advise(term, call, &servers);
            }
        }
    }

    /// Allows the first half of the backend servers, by name.
    fn advise(&mut self, term: Term, call: CallId, servers: &[ServerId]) {
        self.advice_calls += 1;
        let allowed = servers.iter().filter(|id| id.as_str() < "i-3");
        let allowed = allowed.map(|id| (id.clone(), Arc::from("ticket"))).collect();
        let valid = Duration::from_secs(3);
        if let Some(engine) = self.engine.as_mut().filter(|_| term == self.term) {
            engine.handle_advice_answer(self.now, call, Some(AdviceAnswer { allowed, valid }));
        }
    }

    /// Carries out an order for a VM, or lists all.
    fn order_machine(&mut self, term: Term, action: Action) {
        let (call, machine, to) = match action {
            Action::Maintain { call, machine, .. } => {
                self.upkeeps.push(machine.clone());
                (call, machine, None)
            }
            Action::Move { call, machine, pool, .. } => (call, machine, Some(pool)),
            Action::ListMachines { call, .. } => {
                let machines = self.listed();
                if let Some(engine) = self.engine.as_mut().filter(|_| term == self.term) {
                    engine.handle_machine_page(
                        self.now,
                        call,
                        Some(MachinePage { machines, next: None }),
                    );
                }
                return;
            }
            _ => return,
        };
        let Some((pool, is_up)) = self.machines.get_mut(&machine) else { return };
        let answer = if *is_up { MachineAnswer::Accepted } else { MachineAnswer::Busy };
        if *is_up {
            if to.is_none() {
                self.in_upkeep.insert(machine.clone());
            }
            *is_up = false;
            let pool = to.unwrap_or_else(|| pool.clone());
            for server in self.servers.values_mut() {
                if server.record.machine.as_ref() == Some(&machine) {
                    server.is_up = false;
                    server.running.clear();
                }
            }
            self.push(AWAY, Event::Return(machine, pool));
        }
        if let Some(engine) = self.engine.as_mut().filter(|_| term == self.term) {
            engine.handle_machine_answer(self.now, call, answer);
        }
    }

    /// Brings a VM up in a pool, with a new incarnation where the pool's VMs are on.
    fn bring_back(&mut self, id: &MachineId, pool: PoolId) {
        self.machines.insert(id.clone(), (pool.clone(), true));
        self.in_upkeep.remove(id);
        if pool.as_str() == "standby" {
            return;
        }
        self.next_life += 1;
        let number = self.next_life;
        let known = Self::record(number, u64::from(number));
        let record = ServerRecord { machine: Some(id.clone()), pool, ..known };
        self.servers.insert(record.incarnation.id.clone(), Server::new(record.clone(), self.now));
        self.announce(&record);
    }

    fn listed(&self) -> Vec<ListedMachine> {
        let listed = self.machines.iter().map(|(machine, (pool, is_up))| ListedMachine {
            machine: machine.clone(),
            pool: pool.clone(),
            is_up: *is_up,
            data_centre: "dc-0".into(),
            labels: BTreeSet::new(),
            capacity: Self::record(0, 1).capacity,
        });
        listed.collect()
    }

    /// The incarnation that an order has reached.
    fn life_of(&self, action: &Action) -> Option<u64> {
        let (Action::Start { target, .. } | Action::Stop { target, .. }) = action else {
            return None;
        };
        let server = self.servers.get(&target.server)?;
        (server.is_up && server.is_reachable).then_some(server.record.incarnation.started_at_ms)
    }

    fn carry_out(&mut self, action: &Action) -> Option<OrderAnswer> {
        let (Action::Start { target, task, .. }
        | Action::Stop { target, task, .. }
        | Action::Pace { target, task, .. }) = action
        else {
            return None;
        };
        let duration = self.durations.get(&task.step.job).copied().flatten();
        let job = self.state.job(&task.step.job)?;
        let spec = job.step_spec(task.step.step)?;
        // Worked out here, not asked of the code under test.
        let is_ready = spec.depends_on.iter().all(|before| {
            let step = StepId { step: *before, ..task.step };
            let count = job.spec.steps[usize::try_from(*before).expect("small")].count;
            (0..count).all(|index| self.done.contains(&TaskId { step, index }))
        });
        let room = spec.reservation();
        let now = self.now;
        let server = self.servers.get_mut(&target.server)?;
        if !server.is_up || !server.is_reachable {
            return None;
        }
        let starts = server.starts.len();
        let answer = server.order(now, action, duration, room);
        if server.starts.len() > starts {
            if matches!(action, Action::Start { ticket: Some(_), .. }) {
                self.with_ticket += 1;
            }
            if !is_ready {
                self.too_early.push(*task);
            }
            if self.done.contains(task) {
                self.redone.push(*task);
            }
        }
        Some(answer)
    }

    /// Checks what must hold at every moment.
    fn check(&mut self) {
        let mut seen = BTreeSet::new();
        let mut used = Resources::default();
        for server in self.servers.values().filter(|server| server.is_up) {
            for (task, run) in &server.running {
                used = used.saturating_add(&run.room);
                if !seen.insert(*task) {
                    self.doubled.push((self.now, *task));
                }
            }
        }
        if used.cpu_millis > self.most_used.cpu_millis {
            self.most_used = used;
        }
        for (id, job) in self.state.jobs() {
            for (number, step) in (0..).zip(&job.occurrences()[0].steps) {
                for (index, task) in (0..).zip(step.tasks()) {
                    if task.phase == goldcrestring::job::state::TaskPhase::Done {
                        let step = StepId { job: *id, occurrence: 0, step: number };
                        self.done.insert(TaskId { step, index });
                    }
                }
            }
        }
    }
}
