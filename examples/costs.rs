//! Measures the CPU time that a fleet spends per job, per task and per idle backend server.
//!
//! `cargo run --release --example costs` starts three replicas and one entry for each figure and
//! compares their CPU time as reported by the kernel before and after the measurement. Callers and
//! backend servers are fakes that run in this process, so their CPU time is not included.
//!
//! `--only burst` measures only the burst of jobs on a large fleet.

use goldcrestring_platform_stand_in::fleet::Process;
use goldcrestring_platform_stand_in::{FakeWorker, Fleet, JobStep, client, operator};
use goldcrestring_wire::client::{Client, Reuse};
use goldcrestring_wire::http::{HttpRequest, HttpResponse};
use goldcrestring_wire::runtime::{sleep, spawn};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::sync::Arc;
use std::time::{Duration, Instant};

type Result<T> = std::result::Result<T, Box<dyn Error>>;

const HOST: &str = "quotes.example";
const KEY: &str = "key-1";

/// The number of concurrent callers.
const CALLER_COUNT: u32 = 8;

/// The number of jobs submitted to measure acceptance; none of their tasks can start.
const JOB_COUNT: u32 = 4_000;

/// The number of jobs whose tasks run, and the number of tasks per job.
const RUN_JOB_COUNT: u32 = 250;
const TASKS_PER_JOB: u32 = 16;

const WORKER_COUNT: u16 = 8;

/// The number of idle backend servers, and the length of the measurement.
const IDLE_WORKER_COUNT: u16 = 50;
const IDLE_PERIOD: Duration = Duration::from_secs(10);

/// A large fleet, and a burst of jobs that its backend servers can't run all at once.
const BURST_WORKER_COUNT: u16 = 350;
const BURST_JOB_COUNT: u32 = 3_000;
const BURST_TASKS_PER_JOB: u32 = 8;

/// The run time of each task of the burst, in milliseconds.
const BURST_TASK_MS: &str = "2500";

/// The interval between announcements of a fake backend server.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(500);

/// Whether replicas other than the leader call the backend servers.
#[derive(Clone, Copy)]
enum Relays {
    Off,
    On,
}

const WAIT_TIMEOUT: Duration = Duration::from_secs(120);
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    match goldcrestring_wire::runtime::start(2).map_err(Into::into).and_then(|()| run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("costs: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    let daemon = build_daemon()?;
    println!("| figure | entry | leader | other replicas |");
    println!("|---|---|---|---|");
    let is_burst_only = std::env::args().skip(1).eq(["--only", "burst"]);
    smol::block_on(async {
        if !is_burst_only {
            measure_job_acceptance(&daemon).await?;
            measure_task_run(&daemon).await?;
            measure_idle_servers(&daemon).await?;
        }
        measure_burst(&daemon, Relays::Off).await?;
        measure_burst(&daemon, Relays::On).await
    })
}

fn build_daemon() -> Result<PathBuf> {
    let mut command = Command::new(env!("CARGO"));
    command.args(["build", "--quiet", "--release", "--package", "goldcrestringd"]);
    if !command.current_dir(env!("CARGO_MANIFEST_DIR")).status()?.success() {
        return Err("the daemon can't be built".into());
    }
    let example = std::env::current_exe()?;
    let folder = example.parent().and_then(Path::parent).and_then(Path::parent);
    Ok(folder.ok_or("the target folder can't be determined")?.join("release/goldcrestringd"))
}

/// Submits jobs while there is no backend server.
async fn measure_job_acceptance(daemon: &Path) -> Result<()> {
    let fleet = start_fleet(daemon, 210).await?;
    let before = CpuTimes::of(&fleet);
    submit_all(&fleet, JOB_COUNT, 1, "1").await?;
    before.report("us per job accepted", &fleet, JOB_COUNT);
    Ok(())
}

/// Submits jobs and runs their tasks; the figure includes the acceptance of the jobs.
async fn measure_task_run(daemon: &Path) -> Result<()> {
    let fleet = start_fleet(daemon, 211).await?;
    let _workers = start_workers(&fleet, WORKER_COUNT).await?;
    let before = CpuTimes::of(&fleet);
    submit_all(&fleet, RUN_JOB_COUNT, TASKS_PER_JOB, "1").await?;
    wait_completed(&fleet, RUN_JOB_COUNT).await?;
    before.report("us per task started, ended and recorded", &fleet, RUN_JOB_COUNT * TASKS_PER_JOB);
    Ok(())
}

/// Submits jobs with more tasks than a large fleet runs at once, so that most wait; the figure
/// includes the acceptance of the jobs and the polls of all backend servers.
async fn measure_burst(daemon: &Path, relays: Relays) -> Result<()> {
    let (subnet, relay_above_servers, figure) = match relays {
        Relays::Off => (213, usize::MAX, "us per task of a burst on 350 servers, without relays"),
        Relays::On => (214, 0, "us per task of a burst on 350 servers, with relays"),
    };
    let fleet = Fleet::start_with_relays(daemon, subnet, relay_above_servers)?;
    let fleet = with_plan(fleet).await?;
    let _workers = start_workers(&fleet, BURST_WORKER_COUNT).await?;
    sleep(Duration::from_secs(2)).await;
    let before = CpuTimes::of(&fleet);
    submit_all(&fleet, BURST_JOB_COUNT, BURST_TASKS_PER_JOB, BURST_TASK_MS).await?;
    wait_completed(&fleet, BURST_JOB_COUNT).await?;
    let count = BURST_JOB_COUNT * BURST_TASKS_PER_JOB;
    before.report(figure, &fleet, count);
    Ok(())
}

/// Waits until all jobs are completed.
async fn wait_completed(fleet: &Fleet, jobs: u32) -> Result<()> {
    let client = Client::default();
    let completed = client::state_body("completed");
    for number in 0..jobs {
        call_until(&client, fleet, &client::read(HOST, &job_id(number), KEY), |response| {
            response.body == completed
        })
        .await?;
    }
    Ok(())
}

/// Lets idle backend servers announce themselves and be polled.
async fn measure_idle_servers(daemon: &Path) -> Result<()> {
    let fleet = start_fleet(daemon, 212).await?;
    let _workers = start_workers(&fleet, IDLE_WORKER_COUNT).await?;
    sleep(Duration::from_secs(2)).await;
    let before = CpuTimes::of(&fleet);
    sleep(IDLE_PERIOD).await;
    let announcements = IDLE_PERIOD.as_millis() / ANNOUNCEMENT_INTERVAL.as_millis();
    let count = u32::try_from(announcements)? * u32::from(IDLE_WORKER_COUNT);
    before.report("us per announcement, including the polls of the server", &fleet, count);
    Ok(())
}

/// The CPU time of each process.
struct CpuTimes {
    entry: Duration,
    replicas: Vec<Duration>,
}

impl CpuTimes {
    fn of(fleet: &Fleet) -> Self {
        let replicas = fleet.replicas.iter().map(Process::cpu_time);
        Self {
            entry: fleet.entries[0].cpu_time().unwrap_or_default(),
            replicas: replicas.map(Option::unwrap_or_default).collect(),
        }
    }

    /// Prints the CPU time used since `self`; the replica that used the most is taken as the
    /// leader.
    fn report(&self, figure: &str, fleet: &Fleet, count: u32) {
        let now = Self::of(fleet);
        let per_unit = |used: Duration| (used / count).as_micros();
        let used = now.replicas.iter().zip(&self.replicas).map(|(now, before)| *now - *before);
        let mut used: Vec<_> = used.collect();
        used.sort();
        let leader = used.pop().unwrap_or_default();
        let others: Vec<_> = used.into_iter().map(|used| per_unit(used).to_string()).collect();
        println!(
            "| {figure} | {} | {} | {} |",
            per_unit(now.entry - self.entry),
            per_unit(leader),
            others.join(", ")
        );
    }
}

async fn start_fleet(daemon: &Path, subnet: u8) -> Result<Arc<Fleet>> {
    with_plan(Fleet::start(daemon, subnet)?).await
}

/// Waits until the fleet has accepted a plan.
async fn with_plan(fleet: Fleet) -> Result<Arc<Fleet>> {
    let fleet = Arc::new(fleet);
    let plan = operator::configure(1, HOST, &[KEY]);
    let since = Instant::now();
    while !fleet
        .control_addresses
        .iter()
        .any(|at| fleet.call(*at, plan.clone()).is_some_and(|response| response.is_success()))
    {
        if since.elapsed() > WAIT_TIMEOUT {
            return Err("the fleet did not accept a plan in time".into());
        }
        sleep(Duration::from_millis(100)).await;
    }
    Ok(fleet)
}

async fn start_workers(fleet: &Fleet, count: u16) -> Result<Vec<Arc<FakeWorker>>> {
    let mut workers = Vec::new();
    for number in 0..count {
        let id = format!("i-{number}");
        workers.push(FakeWorker::start(&id, "dc-a", fleet.control_addresses.clone()).await?);
    }
    Ok(workers)
}

fn job_id(number: u32) -> String {
    format!("{number:016x}")
}

/// Submits jobs from several concurrent callers.
async fn submit_all(
    fleet: &Arc<Fleet>,
    jobs: u32,
    tasks: u32,
    payload: &'static str,
) -> Result<()> {
    let mut callers = Vec::new();
    for caller in 0..CALLER_COUNT {
        let fleet = Arc::clone(fleet);
        callers.push(spawn(async move {
            let client = Client::default();
            let steps = [JobStep { count: tasks, ..JobStep::default() }];
            for number in (caller..jobs).step_by(usize::try_from(CALLER_COUNT).unwrap_or(1)) {
                let request = client::submit(HOST, &job_id(number), KEY, payload, &steps);
                call_until(&client, &fleet, &request, HttpResponse::is_success)
                    .await
                    .map_err(|error| error.to_string())?;
            }
            std::result::Result::<(), String>::Ok(())
        }));
    }
    for caller in callers {
        caller.await?;
    }
    Ok(())
}

/// Repeats a request until its response satisfies a condition.
async fn call_until(
    client: &Client,
    fleet: &Fleet,
    request: &HttpRequest,
    is_expected: impl Fn(&HttpResponse) -> bool,
) -> Result<()> {
    let since = Instant::now();
    while since.elapsed() < WAIT_TIMEOUT {
        let response =
            client.call(fleet.caller_address, request.clone(), CALL_TIMEOUT, Reuse::Allowed).await;
        if response.is_ok_and(|response| is_expected(&response)) {
            return Ok(());
        }
        sleep(Duration::from_millis(20)).await;
    }
    Err(format!("{} {} did not get the expected response in time", request.method, request.path)
        .into())
}
