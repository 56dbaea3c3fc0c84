//! A configuration gives the route of accepted jobs another name.

use crate::Outcome;
use crate::support::{Deployment, Route, note, pause};
use std::path::Path;
use std::time::Duration;

const PREFIX: &str = "/orders/";
const JOB: &str = "00000000000000b1";

/// How long the task works, in milliseconds.
const WORK_MS: &str = "15000";

pub fn play(daemon: &Path, has_trouble: bool) -> Result<Outcome, String> {
    let deployment = Deployment::start(daemon, 232, 3, &[Route::new("r-orders", PREFIX)])?;
    deployment.submit(PREFIX, JOB, WORK_MS, 2)?;
    let is_running = |deployment: &Deployment| {
        deployment.workers.iter().map(|worker| worker.running().len()).sum::<usize>() == 2
    };
    deployment.wait_until("both tasks run", Duration::from_secs(20), is_running)?;
    let before = deployment.read(0, PREFIX, JOB);
    if before.status != 200 {
        return Err("the job can't be read before the change".to_owned());
    }
    // The same place and service: one version removes the route and adds another in its place.
    let changed = if has_trouble {
        Route::new("r-orders-2", PREFIX)
    } else {
        Route { timeout_ms: 2_900, ..Route::new("r-orders", PREFIX) }
    };
    deployment.reconfigure(2, &[changed])?;
    // visible_ms after the acceptance and config_apply_ms after the acknowledgement.
    pause(5.0);
    let mut outcome = Outcome::Held;
    for round in 0..4 {
        let answer = deployment.read(round % 2, PREFIX, JOB);
        if answer.status == 410 {
            note("LOST: a job that was accepted and not cancelled is answered 410");
            outcome = Outcome::Broken;
        }
        pause(1.0);
    }
    pause(8.0);
    let after = deployment.read(0, PREFIX, JOB);
    if after.status == 410 {
        note("LOST: the job is answered 410 after its end, too");
        outcome = Outcome::Broken;
    }
    Ok(outcome)
}
