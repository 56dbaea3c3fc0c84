//! A heartbeat of another writer arrives that names the VM of a worker.

use crate::Outcome;
use crate::support::{Deployment, Route, note, pause, send};
use goldcrestring_platform_stand_in::{POOL, Run};
use goldcrestring_wire::http::{HttpRequest, HttpResponse, Method};
use goldcrestring_wire::runtime::spawn;
use goldcrestring_wire::server::{ServerSettings, serve};
use serde_json::json;
use smol::net::TcpListener;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime};

const PREFIX: &str = "/orders/";
const JOB: &str = "00000000000000a1";
const TASKS: u32 = 6;

/// How long each task works, in milliseconds.
const WORK_MS: &str = "12000";

pub fn play(daemon: &Path, has_trouble: bool) -> Result<Outcome, String> {
    let deployment = Deployment::start(daemon, 231, 3, &[Route::new("r-orders", PREFIX)])?;
    deployment.submit(PREFIX, JOB, WORK_MS, TASKS)?;
    deployment.wait_until("all tasks run", Duration::from_secs(20), |deployment| {
        let running: usize = deployment.workers.iter().map(|worker| worker.running().len()).sum();
        running == TASKS as usize
    })?;
    pause(1.0);
    let worker = deployment.workers.iter().find(|worker| !worker.running().is_empty());
    let machine = worker.map(|worker| format!("m-{}", worker.settings().id)).unwrap_or_default();
    if has_trouble {
        send_stray(&deployment, &machine)?;
    }
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(18) {
        pause(0.5);
    }
    let outcome = judge(&deployment);
    deployment.read(0, PREFIX, JOB);
    Ok(outcome)
}

/// Sends one heartbeat of another program on a VM: `slots` is of another type, and `clock_ms`, `labels`
/// and `version` are missing.
fn send_stray(deployment: &Deployment, machine: &str) -> Result<(), String> {
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let answer = |request: HttpRequest, _| async move {
        note(&format!("other program: {} {}: 404", request.method, request.path));
        HttpResponse::new(404)
    };
    spawn(async move {
        let _ = serve(listener, ServerSettings::default(), answer).await;
    })
    .detach();
    let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let born = born.map_err(|error| error.to_string())?.as_millis();
    let body = json!({
        "service": POOL, "address": address.to_string(), "zone": "zone-a", "slots": "eight",
        "state": "ready", "capacity": { "cpu": 8_000, "mem_mb": 16_384 }, "machine": machine,
        "born": u64::try_from(born).unwrap_or(0), "seq_no": 1,
    });
    let path = "/api/Instances.Heartbeat/x-probe";
    let request = HttpRequest::json(Method::Post, path, body.to_string().into_bytes());
    let control = deployment.fleet.control_addresses[0];
    let answer = smol::block_on(send(control, request, Duration::from_secs(1)));
    note(&format!("other writer: POST {path} {body}: {}", answer.status));
    Ok(())
}

/// Whether two runs of one task overlap, on workers that are up.
fn judge(deployment: &Deployment) -> Outcome {
    let mut runs: Vec<(String, Run)> = Vec::new();
    for worker in &deployment.workers {
        let id = &worker.settings().id;
        runs.extend(worker.runs().into_iter().map(|run| (id.clone(), run)));
    }
    runs.sort_by_key(|(_, run)| (run.task.clone(), run.started_at));
    let first = runs.iter().map(|(_, run)| run.started_at).min();
    let ms = |at: Instant| first.map_or(0, |first| (at - first).as_millis());
    for (worker, run) in &runs {
        let end =
            run.end.map_or("running".to_owned(), |end| format!("{:?} at {}", end.kind, ms(end.at)));
        let (task, attempt) = (&run.task, run.attempt);
        note(&format!(
            "run: {task} attempt {attempt} on {worker}: from {} ms, {end}",
            ms(run.started_at)
        ));
    }
    let mut outcome = Outcome::Held;
    for pair in runs.windows(2) {
        let [(first_worker, first), (second_worker, second)] = pair else { continue };
        let overlaps = first.end.is_none_or(|end| second.started_at < end.at);
        if first.task == second.task && overlaps {
            let task = &first.task;
            note(&format!("TWICE: {task} on {second_worker} while it runs on {first_worker}"));
            outcome = Outcome::Broken;
        }
    }
    outcome
}
