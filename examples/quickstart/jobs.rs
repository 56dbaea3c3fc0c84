//! Jobs: a fleet of its own, a job of two steps, and the loss of a replica on the way.

use crate::{Control, Report, Result};
use goldcrestring_platform_stand_in::{FakeWorker, Fleet, operator};
use goldcrestring_wire::http::HttpResponse;
use goldcrestring_wire::runtime::sleep;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Tells the addresses of this fleet from those of others on the machine.
const NET: u8 = 200;
const WORKERS: u8 = 2;
const ID: &str = "00000000000000d1";
const TASKS: usize = 5;
const PATIENCE: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(100);

/// Plays a job and notes what became of it.
pub(crate) async fn play(programs: &Path, report: &mut Report) -> Result<()> {
    println!("starting a fleet for jobs: three replicas, one entry and two backend servers");
    let mut fleet = Fleet::start(&programs.join("goldcrestringd"), NET)?;
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let id = format!("i-{number}");
        workers.push(FakeWorker::start(&id, "dc-a", fleet.control.clone()).await?);
    }
    configure(&fleet).await?;
    let control = Control {
        program: programs.join("goldcrestctl"),
        servers: fleet.operators.clone(),
        token_file: fleet.token_file.clone(),
    };
    let job = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/objects/job.yaml");
    let job = job.to_str().ok_or("the path is not text")?;
    println!("{}", control.call(&["jobs", "submit", "--file", job, "--id", ID])?);
    wait_for(&control, &["jobs", "explain", ID], "running on").await?;
    println!("{}", control.call(&["jobs", "explain", ID])?);
    fleet.replicas[0].kill();
    let started = Instant::now();
    fleet.replicas[0].restart()?;
    wait_for(&control, &["jobs", "list", "--phase", "completed"], ID).await?;
    let elapsed = started.elapsed();
    println!("{}", control.call(&["jobs", "get", ID])?);
    let starts: usize = workers.iter().map(starts).sum();
    report.note(
        "each task of a job runs once, also when a replica is lost",
        format!("{starts} starts of {TASKS} tasks, completed {elapsed:.2?} after the kill"),
        starts == TASKS,
    );
    Ok(())
}

fn starts(worker: &Arc<FakeWorker>) -> usize {
    worker.starts().len()
}

async fn configure(fleet: &Fleet) -> Result<()> {
    let request = operator::configure(1, "quotes.example", &["key-1"]);
    let started = Instant::now();
    while started.elapsed() < PATIENCE {
        for address in &fleet.control {
            if fleet.call(*address, request.clone()).as_ref().is_some_and(HttpResponse::is_success)
            {
                return Ok(());
            }
        }
        sleep(PAUSE).await;
    }
    Err("the fleet takes no plan".into())
}

/// Repeats a command until what it prints holds a text.
async fn wait_for(control: &Control, arguments: &[&str], text: &str) -> Result<()> {
    let started = Instant::now();
    while started.elapsed() < PATIENCE {
        if control.call(arguments).is_ok_and(|printed| printed.contains(text)) {
            return Ok(());
        }
        sleep(PAUSE).await;
    }
    Err(format!("{arguments:?} did not show {text:?}").into())
}
