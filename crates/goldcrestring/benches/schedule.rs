//! Measures one scheduling round for several fleet sizes. 10,000 tasks wait, and either all of them
//! fit or none.

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use goldcrestring::clock::Uptime;
use goldcrestring::job::command::PlanDocument;
use goldcrestring::job::engine::{Action, PollReport};
use goldcrestring::job::plan::{FleetPlan, Pool, Queue};
use goldcrestring::job::state::ServerRecord;
use goldcrestring::job::{
    Engine, EngineSettings, JobCommand, JobSpec, JobState, PoolId, Resources, ServerIncarnation,
    StepSpec,
};
use goldcrestring::quantity::Term;
use std::collections::BTreeSet;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

/// Backend servers in current deployments (50, 1,000) and in those expected within two years
/// (11,000).
const SERVERS: [u32; 3] = [50, 1_000, 11_000];

/// Backend servers per pool, from 11,000 backend servers in 131 pools.
const SERVERS_PER_POOL: u32 = 84;

const TASKS: u32 = 10_000;
const TASKS_PER_JOB: u32 = 8;
const WALL_MS: u64 = 1_700_000_000_000;

/// A leader that has polled all its backend servers, with waiting jobs.
struct Fleet {
    state: JobState,
    engine: Engine,
    now: Uptime,
}

impl Fleet {
    fn new(servers: u32, cpu_millis: u64) -> Self {
        let mut state = JobState::default();
        let pools = servers.div_ceil(SERVERS_PER_POOL);
        state.apply(&plan(pools));
        for number in 0..servers {
            state.apply(&JobCommand::Server(Box::new(record(number))));
        }
        let now = Duration::from_secs(100);
        let engine = Engine::new(now, Term::new(1), EngineSettings::default(), &state);
        let mut fleet = Self { state, engine, now };
        fleet.answer_polls();
        // Handle the timers that are due and send the next polls here, so that these are not part
        // of the measured round.
        fleet.now += Duration::from_millis(60);
        fleet.round();
        for number in 0..TASKS / TASKS_PER_JOB {
            fleet.submit(number, pools, cpu_millis);
        }
        fleet
    }

    /// Answers the polls that are due, one for each backend server.
    fn answer_polls(&mut self) {
        self.engine.advance(self.now, WALL_MS, &self.state);
        for action in self.engine.take_output().actions {
            if let Action::Poll { call, .. } = action {
                let report = PollReport {
                    started_at_ms: 1,
                    clock_ms: 5_000,
                    running: Vec::new(),
                    finished: Vec::new(),
                    is_partial: false,
                };
                self.engine.handle_poll_response(self.now, call, Some(report), &self.state);
            }
        }
    }

    fn submit(&mut self, number: u32, pools: u32, cpu_millis: u64) {
        let demand = Resources { cpu_millis, memory_mb: 100, accelerators: 0 };
        let step =
            StepSpec { count: TASKS_PER_JOB, demand, estimate_ms: 500, ..StepSpec::default() };
        let spec = Arc::new(JobSpec { steps: vec![step], ..JobSpec::default() });
        let id = format!("{number:016x}").parse().expect("16 digits");
        let queue = format!("queue-{}", number % pools).into();
        let command = JobCommand::Submit { id, queue, team: None, spec, at_ms: WALL_MS };
        let outcome = self.state.apply(&command);
        self.engine.handle_applied(self.now, &command, &outcome, &self.state);
    }

    /// Runs one scheduling round and returns the number of proposed commands.
    fn round(&mut self) -> usize {
        self.engine.advance(self.now, WALL_MS, &self.state);
        self.engine.take_output().commands.len()
    }
}

fn plan(pools: u32) -> JobCommand {
    let queue = |number: u32| Queue {
        name: format!("queue-{number}").into(),
        host: "quotes.example".into(),
        prefix: format!("/{number}/").into(),
        pool: pool_id(number),
        priority: 0,
        max_attempts: 3,
        stretch_per_mille: 1_600,
        target_latency_ms: 600,
        timeout_ms: 3_000,
        is_open: true,
        advice: None,
    };
    let pool = |number| Pool { name: pool_id(number), enforces_capacity: true, is_standby: false };
    let queues = (0..pools).map(queue).collect();
    let plan = FleetPlan::new(1, queues, (0..pools).map(pool).collect(), Vec::new());
    let plan = plan.expect("a valid plan");
    JobCommand::Plan(Arc::new(PlanDocument { plan, document: "{}".into() }))
}

fn pool_id(number: u32) -> PoolId {
    format!("pool-{number}").into()
}

fn record(number: u32) -> ServerRecord {
    ServerRecord {
        incarnation: ServerIncarnation { id: format!("i-{number}").into(), started_at_ms: 1 },
        address: ([127, 0, 0, 1], 9_000).into(),
        pool: pool_id(number / SERVERS_PER_POOL),
        data_centre: format!("dc-{}", number % 8).into(),
        machine: Some(format!("m-{number}").into()),
        labels: BTreeSet::from([format!("r-{}", number / 20).into()]),
        capacity: Resources { cpu_millis: 64_000, memory_mb: 256_000, accelerators: 0 },
        is_draining: false,
        sequence: 1,
        recorded_end: 0,
        is_provisional: false,
        has_predecessor: false,
    }
}

fn schedule(criterion: &mut Criterion) {
    for (name, cpu_millis) in [("room_for_all", 1_000), ("room_for_none", 1_000_000)] {
        let mut group = criterion.benchmark_group(name);
        group.sample_size(10);
        for servers in SERVERS {
            group.bench_function(BenchmarkId::from_parameter(servers), |bencher| {
                bencher.iter_batched_ref(
                    || Fleet::new(servers, cpu_millis),
                    |fleet| black_box(fleet.round()),
                    BatchSize::PerIteration,
                );
            });
        }
        group.finish();
    }
}

criterion_group!(benches, schedule);
criterion_main!(benches);
