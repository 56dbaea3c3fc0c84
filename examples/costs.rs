//! The processor time that the processes of a fleet spend on a job, a task and an idle backend server.
//!
//! `cargo run --release --example costs` starts three replicas and one entry for each figure and reads
//! what the kernel says of their processor time before and after. Callers and backend servers are
//! stand-ins in this process and are not counted.

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

/// Callers at once.
const CALLERS: u32 = 8;

/// Jobs whose acceptance is measured; nothing of them can start.
const JOBS: u32 = 4_000;

/// Jobs whose tasks are run, and the tasks of each.
const RUN_JOBS: u32 = 250;
const TASKS: u32 = 16;

const WORKERS: u8 = 8;

/// Backend servers that have nothing to do, and for how long.
const IDLE_WORKERS: u8 = 50;
const IDLE: Duration = Duration::from_secs(10);

/// The time between two announcements of a stand-in.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(500);

const PATIENCE: Duration = Duration::from_secs(120);
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
    println!("| figure | entry | leader | each follower |");
    println!("|---|---|---|---|");
    smol::block_on(async {
        job_accepted(&daemon).await?;
        task_run(&daemon).await?;
        idle_server(&daemon).await
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
    Ok(folder.ok_or("no folder of programs")?.join("release/goldcrestringd"))
}

/// Jobs come in while no backend server is there.
async fn job_accepted(daemon: &Path) -> Result<()> {
    let fleet = start(daemon, 210).await?;
    let before = Times::of(&fleet);
    submit_all(&fleet, JOBS, 1).await?;
    before.report("us per job accepted", &fleet, JOBS);
    Ok(())
}

/// Jobs come in and their tasks run; the acceptance of the jobs is part of the figure.
async fn task_run(daemon: &Path) -> Result<()> {
    let fleet = start(daemon, 211).await?;
    let _workers = workers(&fleet, WORKERS).await?;
    let before = Times::of(&fleet);
    submit_all(&fleet, RUN_JOBS, TASKS).await?;
    let client = Client::default();
    let completed = client::state_body("completed");
    for number in 0..RUN_JOBS {
        until(&client, &fleet, &client::read(HOST, &id(number), KEY), |response| {
            response.body == completed
        })
        .await?;
    }
    before.report("us per task started, ended and noted", &fleet, RUN_JOBS * TASKS);
    Ok(())
}

/// Backend servers announce themselves and are looked at, with nothing to do.
async fn idle_server(daemon: &Path) -> Result<()> {
    let fleet = start(daemon, 212).await?;
    let _workers = workers(&fleet, IDLE_WORKERS).await?;
    sleep(Duration::from_secs(2)).await;
    let before = Times::of(&fleet);
    sleep(IDLE).await;
    let announcements = IDLE.as_millis() / ANNOUNCEMENT_INTERVAL.as_millis();
    let count = u32::try_from(announcements)? * u32::from(IDLE_WORKERS);
    before.report("us per announcement, with the looks at the server", &fleet, count);
    Ok(())
}

/// The processor time of each process.
struct Times {
    entry: Duration,
    replicas: Vec<Duration>,
}

impl Times {
    fn of(fleet: &Fleet) -> Self {
        let replicas = fleet.replicas.iter().map(Process::processor_time);
        Self {
            entry: fleet.entry.processor_time().unwrap_or_default(),
            replicas: replicas.map(Option::unwrap_or_default).collect(),
        }
    }

    /// Prints what was used since; the replica that used most is the leader.
    fn report(&self, figure: &str, fleet: &Fleet, count: u32) {
        let now = Self::of(fleet);
        let each = |used: Duration| (used / count).as_micros();
        let used = now.replicas.iter().zip(&self.replicas).map(|(now, before)| *now - *before);
        let mut used: Vec<_> = used.collect();
        used.sort();
        let leader = used.pop().unwrap_or_default();
        let others = used.iter().sum::<Duration>() / u32::try_from(used.len().max(1)).unwrap_or(1);
        let entry = now.entry - self.entry;
        println!("| {figure} | {} | {} | {} |", each(entry), each(leader), each(others));
    }
}

async fn start(daemon: &Path, net: u8) -> Result<Arc<Fleet>> {
    let fleet = Arc::new(Fleet::start(daemon, net)?);
    let plan = operator::configure(1, HOST, &[KEY]);
    let since = Instant::now();
    while !fleet
        .control
        .iter()
        .any(|at| fleet.call(*at, plan.clone()).is_some_and(|response| response.is_success()))
    {
        if since.elapsed() > PATIENCE {
            return Err("the fleet takes no plan".into());
        }
        sleep(Duration::from_millis(100)).await;
    }
    Ok(fleet)
}

async fn workers(fleet: &Fleet, count: u8) -> Result<Vec<Arc<FakeWorker>>> {
    let mut workers = Vec::new();
    for number in 0..count {
        let id = format!("i-{number}");
        workers.push(FakeWorker::start(&id, "dc-a", fleet.control.clone()).await?);
    }
    Ok(workers)
}

fn id(number: u32) -> String {
    format!("{number:016x}")
}

/// Hands in jobs, several at once.
async fn submit_all(fleet: &Arc<Fleet>, jobs: u32, tasks: u32) -> Result<()> {
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let fleet = Arc::clone(fleet);
        callers.push(spawn(async move {
            let client = Client::default();
            let steps = [JobStep { count: tasks, ..JobStep::default() }];
            for number in (caller..jobs).step_by(usize::try_from(CALLERS).unwrap_or(1)) {
                let request = client::submit(HOST, &id(number), KEY, "1", &steps);
                until(&client, &fleet, &request, HttpResponse::is_success)
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

/// Repeats a call until its answer is as wanted.
async fn until(
    client: &Client,
    fleet: &Fleet,
    request: &HttpRequest,
    want: impl Fn(&HttpResponse) -> bool,
) -> Result<()> {
    let since = Instant::now();
    while since.elapsed() < PATIENCE {
        let response =
            client.call(fleet.callers, request.clone(), CALL_TIMEOUT, Reuse::Allowed).await;
        if response.is_ok_and(|response| want(&response)) {
            return Ok(());
        }
        sleep(Duration::from_millis(20)).await;
    }
    Err(format!("{} {} is not answered as wanted", request.method, request.path).into())
}
