//! Jobs: runs a job of two steps on a separate fleet while a replica is killed.

use crate::{OperatorCli, Report, Result};
use goldcrestring_platform_stand_in::{FakeWorker, Fleet, operator};
use goldcrestring_wire::http::HttpResponse;
use goldcrestring_wire::runtime::sleep;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The third byte of the fleet's addresses; other fleets on the machine use other values.
const SUBNET: u8 = 200;
const WORKER_COUNT: u8 = 2;
const JOB_ID: &str = "00000000000000d1";
const TASK_COUNT: usize = 5;
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs a job and reports whether each task was started exactly once.
pub(crate) async fn run(programs: &Path, report: &mut Report) -> Result<()> {
    println!("starting a fleet for jobs: three replicas, one entry and two backend servers");
    let mut fleet = Fleet::start(&programs.join("goldcrestringd"), SUBNET)?;
    let mut workers = Vec::new();
    for number in 0..WORKER_COUNT {
        let id = format!("i-{number}");
        workers.push(FakeWorker::start(&id, "dc-a", fleet.control_addresses.clone()).await?);
    }
    configure(&fleet).await?;
    let cli = OperatorCli {
        program: programs.join("goldcrestctl"),
        servers: fleet.operator_addresses.clone(),
        token_file: fleet.token_file.clone(),
    };
    let job = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/objects/job.yaml");
    let job = job.to_str().ok_or("the path is not valid UTF-8")?;
    println!("{}", cli.call(&["jobs", "submit", "--file", job, "--id", JOB_ID])?);
    wait_for(&cli, &["jobs", "explain", JOB_ID], "running on").await?;
    println!("{}", cli.call(&["jobs", "explain", JOB_ID])?);
    fleet.replicas[0].kill();
    let started = Instant::now();
    fleet.replicas[0].restart()?;
    wait_for(&cli, &["jobs", "list", "--phase", "completed"], JOB_ID).await?;
    let elapsed = started.elapsed();
    println!("{}", cli.call(&["jobs", "get", JOB_ID])?);
    let starts: usize = workers.iter().map(starts).sum();
    report.record(
        "each task of a job is started exactly once despite the loss of a replica",
        format!("{starts} starts of {TASK_COUNT} tasks, completed {elapsed:.2?} after the kill"),
        starts == TASK_COUNT,
    );
    Ok(())
}

fn starts(worker: &Arc<FakeWorker>) -> usize {
    worker.starts().len()
}

async fn configure(fleet: &Fleet) -> Result<()> {
    let request = operator::configure(1, "quotes.example", &["key-1"]);
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        for address in &fleet.control_addresses {
            if fleet.call(*address, request.clone()).as_ref().is_some_and(HttpResponse::is_success)
            {
                return Ok(());
            }
        }
        sleep(POLL_INTERVAL).await;
    }
    Err("the fleet did not accept a plan in time".into())
}

/// Repeats a command until its output contains a text.
async fn wait_for(cli: &OperatorCli, arguments: &[&str], text: &str) -> Result<()> {
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        if cli.call(arguments).is_ok_and(|output| output.contains(text)) {
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(format!("the output of {arguments:?} did not contain {text:?} in time").into())
}
