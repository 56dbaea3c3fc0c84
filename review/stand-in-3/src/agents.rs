//! Another program on the VMs of the workers sends heartbeats from before the first configuration on.

use crate::Outcome;
use crate::support::{Deployment, Route, note, pause, send};
use goldcrestring_wire::http::{HttpRequest, HttpResponse, Method};
use goldcrestring_wire::runtime::{sleep, spawn};
use goldcrestring_wire::server::{ServerSettings, serve};
use serde_json::json;
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, SystemTime};

const PREFIX: &str = "/orders/";
const JOB: &str = "00000000000000e1";
const TASKS: u32 = 4;

/// The interval between the heartbeats of the other program, that of the workers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

pub fn play(daemon: &Path, has_trouble: bool) -> Result<Outcome, String> {
    let deployment = Deployment::start_unconfigured(daemon, 236, 3)?;
    // Each worker has announced itself by then.
    pause(2.0);
    if has_trouble {
        for worker in &deployment.workers {
            let id = &worker.settings().id;
            start_agent(&deployment, id).map_err(|error| error.to_string())?;
        }
    }
    pause(2.0);
    deployment.configure_first(&[Route::new("r-orders", PREFIX)])?;
    deployment.submit(PREFIX, JOB, "500", TASKS)?;
    // finish_s after the end of the traffic, and the 3 s of the rule.
    pause(14.0 + 3.0);
    let starts: usize = deployment.workers.iter().map(|worker| worker.starts().len()).sum();
    let running: usize = deployment.workers.iter().map(|worker| worker.running().len()).sum();
    note(&format!("workers: {starts} starts, {running} tasks running now"));
    deployment.read(0, PREFIX, JOB);
    if starts == 0 {
        note("LOST: no task of the accepted job was ever started, and all workers are idle");
        return Ok(Outcome::Broken);
    }
    Ok(Outcome::Held)
}

/// Starts a program on a worker's VM that announces itself for a service that no configuration names.
fn start_agent(deployment: &Deployment, worker: &str) -> std::io::Result<()> {
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0"))?;
    let address = listener.local_addr()?;
    let answer = |_: HttpRequest, _| async { HttpResponse::new(404) };
    spawn(async move {
        let _ = serve(listener, ServerSettings::default(), answer).await;
    })
    .detach();
    let control = deployment.fleet.control_addresses.clone();
    let worker = worker.to_owned();
    spawn(async move { announce(&worker, address, &control).await }).detach();
    Ok(())
}

async fn announce(worker: &str, address: SocketAddr, control: &[SocketAddr]) {
    let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let born = born.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0));
    let path = format!("/api/Instances.Heartbeat/agent-{worker}");
    for sequence in 1_u64.. {
        let body = json!({
            "service": "disk-watch", "address": address.to_string(), "zone": "zone-a",
            "version": "v1", "slots": 1, "state": "ready", "cold_left_ms": 0,
            "capacity": { "cpu": 100, "mem_mb": 64, "gpu": 0 }, "labels": ["a", "r1-1"],
            "clock_ms": sequence, "born": born, "machine": format!("m-{worker}"),
            "seq_no": sequence,
        });
        for address in control {
            let request =
                HttpRequest::json(Method::Post, path.clone(), body.to_string().into_bytes());
            let answer = send(*address, request, Duration::from_secs(1)).await;
            if sequence <= 2 {
                note(&format!("agent: POST {path} {body} to {address}: {}", answer.status));
            }
            if answer.status == 200 {
                break;
            }
        }
        sleep(HEARTBEAT_INTERVAL).await;
    }
}
