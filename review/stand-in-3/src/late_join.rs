//! A machine of the core loses its disk twice while another one is frozen.

use crate::Outcome;
use crate::support::{Answer, Deployment, Route, note, pause, send};
use goldcrestring_wire::client::{Client, Reuse};
use goldcrestring_wire::codec;
use goldcrestring_wire::http::{HttpRequest, Method};
use goldcrestring_wire::job_message::{LeaderResponse, path};
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

const PREFIX: &str = "/orders/";
const JOB: &str = "00000000000000d1";

/// How long the frozen machine stands still.
const FREEZE: Duration = Duration::from_millis(6_500);

/// How long a machine that loses its disk is down.
const DOWN: f64 = 0.7;

pub fn play(daemon: &Path, has_trouble: bool) -> Result<Outcome, String> {
    let mut deployment = Deployment::start(daemon, 235, 3, &[Route::new("r-orders", PREFIX)])?;
    deployment.submit(PREFIX, JOB, "100", 1)?;
    pause(2.0);
    let leader = find_leader(&deployment)?;
    let [frozen, wiped, other] = [1, 2, 3].map(|offset| (leader + offset) % 5);
    note(&format!("leader: machine {leader}; frozen: {frozen}; wiped twice: {wiped}"));
    let since = Instant::now();
    if has_trouble {
        signal(deployment.fleet.replicas[frozen].freeze(), "freeze")?;
        note(&format!("machine {frozen} freezes"));
    }
    pause(0.3);
    for _ in 0..2 {
        deployment.fleet.replicas[wiped].kill();
        empty_disk(&deployment, wiped).map_err(|error| error.to_string())?;
        pause(DOWN);
        signal(deployment.fleet.replicas[wiped].restart(), "restart")?;
        note(&format!("machine {wiped} is back with an empty disk"));
        pause(2.2);
    }
    pause(FREEZE.saturating_sub(since.elapsed()).as_secs_f64());
    if has_trouble {
        signal(deployment.fleet.replicas[frozen].thaw(), "thaw")?;
        note(&format!("machine {frozen} wakes"));
    }
    // More than catch_up_s after the last machine is back.
    pause(8.0);
    deployment.reconfigure(2, &[Route { timeout_ms: 2_900, ..Route::new("r-orders", PREFIX) }])?;
    if deployment.read(0, PREFIX, JOB).status != 200 {
        return Err("the job can't be read before the final fault".to_owned());
    }
    note(&format!("final fault: machines {leader} and {other} lose their disks, all others power"));
    for replica in &mut deployment.fleet.replicas {
        replica.kill();
    }
    for machine in [leader, other] {
        empty_disk(&deployment, machine).map_err(|error| error.to_string())?;
    }
    pause(1.0);
    for replica in &mut deployment.fleet.replicas {
        signal(replica.restart(), "restart")?;
    }
    note("all machines are back");
    // recovery_s
    pause(12.0);
    Ok(judge(&deployment))
}

/// Whether the acknowledged configuration and the accepted job are gone: no machine and no entry answers with
/// them for some seconds.
fn judge(deployment: &Deployment) -> Outcome {
    let since = Instant::now();
    let (mut has_config, mut has_job) = (false, false);
    while since.elapsed() < Duration::from_secs(10) && !(has_config && has_job) {
        for address in &deployment.fleet.control_addresses {
            let request = HttpRequest::new(Method::Get, "/api/Config.Get");
            let Answer { status, body } =
                smol::block_on(send(*address, request, Duration::from_secs(1)));
            note(&format!("operator: GET /api/Config.Get at {address}: {status}"));
            has_config |= status == 200 && body.contains("\"version\":2");
        }
        has_job |= deployment.read(0, PREFIX, JOB).status == 200;
        pause(0.5);
    }
    if has_config && has_job {
        return Outcome::Held;
    }
    note(&format!("LOST: configuration read back: {has_config}, accepted job answered: {has_job}"));
    Outcome::Broken
}

/// Asks the replicas which of them leads.
fn find_leader(deployment: &Deployment) -> Result<usize, String> {
    for (machine, address) in deployment.fleet.peer_addresses.iter().enumerate() {
        let body = codec::encode(&()).map_err(|error| error.to_string())?;
        let request = HttpRequest::peer(path::LEADER, body);
        let client = Client::default();
        let called = client.call(*address, request, Duration::from_secs(1), Reuse::Never);
        let Ok(response) = smol::block_on(called) else { continue };
        let response = codec::decode::<LeaderResponse>(&response.body);
        if response.is_ok_and(|response| response.is_leading) {
            return Ok(machine);
        }
    }
    Err("no replica leads".to_owned())
}

/// Gives a machine an empty disk, as the platform does; `bootstrap` is false from then on.
fn empty_disk(deployment: &Deployment, machine: usize) -> io::Result<()> {
    let Some(folder) = deployment.fleet.token_file.parent() else { return Ok(()) };
    let data = folder.join(format!("data-{}", machine + 1));
    std::fs::remove_dir_all(&data)?;
    std::fs::create_dir(&data)?;
    let settings = folder.join(format!("settings-{}.yaml", machine + 1));
    let text = std::fs::read_to_string(&settings)?;
    std::fs::write(&settings, text.replace("\"is_founding\":true", "\"is_founding\":false"))
}

fn signal(result: io::Result<()>, what: &str) -> Result<(), String> {
    result.map_err(|error| format!("{what}: {error}"))
}
