//! Configurations remove routes while clients hand jobs in.

use crate::Outcome;
use crate::support::{Deployment, Route, note, pause, send, submission};
use goldcrestring_wire::runtime::{sleep, spawn};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

const ROUTES: usize = 12;

/// The clients of each route; together they stay below the tenant's `weight` in jobs a second.
const CLIENTS: usize = 6;

/// The delay of the links between replicas: a commit then takes about as long as in the deployments of
/// the pages, where a sync takes 9 ms and a message 1.4 ms from zone to zone.
const LINK_DELAY: Duration = Duration::from_millis(6);

/// The pause of a client between two jobs.
const THINK_TIME: Duration = Duration::from_millis(40);

/// What the clients have been told, by job: all statuses in order.
type Answers = Arc<Mutex<BTreeMap<String, Vec<u16>>>>;

pub fn play(daemon: &Path, has_trouble: bool) -> Result<Outcome, String> {
    let prefix = |number: usize| format!("/orders-{number}/");
    let mut routes: Vec<_> =
        (0..ROUTES).map(|number| Route::new(&format!("r-{number}"), &prefix(number))).collect();
    let deployment = Deployment::start_with_links(daemon, 233, 3, &routes, Some(LINK_DELAY))?;
    deployment.submit(&prefix(0), "ffffffffffffffff", "1", 1)?;
    let answers = Answers::default();
    for step in 0..ROUTES {
        let is_over = Arc::new(AtomicBool::new(false));
        press(&deployment, step, &prefix(step), &answers, &is_over);
        pause(0.3);
        if has_trouble {
            routes.remove(0);
        } else {
            routes[0].timeout_ms -= 1;
        }
        deployment.reconfigure(2 + step as u64, &routes)?;
        pause(0.3);
        is_over.store(true, Ordering::Relaxed);
        pause(0.4);
    }
    note("the traffic ends");
    // finish_s after the end of the traffic, and the 3 s of the rule.
    pause(14.0 + 3.0);
    Ok(judge(&deployment, &answers))
}

/// Starts clients that hand jobs in, each one after the other, until the route is gone.
fn press(
    deployment: &Deployment,
    step: usize,
    prefix: &str,
    answers: &Answers,
    is_over: &Arc<AtomicBool>,
) {
    let entries = &deployment.fleet.caller_addresses;
    for client in 0..CLIENTS {
        let entry = entries[client % entries.len()];
        let prefix = prefix.to_owned();
        let (answers, is_over) = (Arc::clone(answers), Arc::clone(is_over));
        spawn(async move {
            for number in 0_u32.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("{step:04x}{client:04x}{number:08x}");
                let request = submission(&prefix, &id, "1", 1);
                let answer = send(entry, request, Duration::from_secs(3)).await;
                record(&answers, id, answer.status);
                if answer.status == 404 {
                    return;
                }
                sleep(THINK_TIME).await;
            }
        })
        .detach();
    }
}

fn record(answers: &Answers, id: String, status: u16) {
    let mut answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    answers.entry(id).or_default().push(status);
}

fn judge(deployment: &Deployment, answers: &Answers) -> Outcome {
    let answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    let mut starts: BTreeMap<String, usize> = BTreeMap::new();
    let mut running = 0;
    for worker in &deployment.workers {
        running += worker.running().len();
        for (task, _) in worker.starts() {
            let job = task.split('.').next().unwrap_or_default().to_owned();
            *starts.entry(job).or_default() += 1;
        }
    }
    let mut counts: BTreeMap<u16, usize> = BTreeMap::new();
    for statuses in answers.values() {
        for status in statuses {
            *counts.entry(*status).or_default() += 1;
        }
    }
    note(&format!("clients: answers by status {counts:?}"));
    note(&format!("workers: {} jobs started, {running} tasks running now", starts.len()));
    let is_accepted = |statuses: &Vec<u16>| statuses.contains(&200);
    let never_started: Vec<_> = answers
        .iter()
        .filter(|(id, statuses)| is_accepted(statuses) && !starts.contains_key(*id))
        .collect();
    for (id, statuses) in &never_started {
        note(&format!("LOST: job {id} was answered {statuses:?}, no task of it was ever started"));
    }
    if never_started.is_empty() { Outcome::Held } else { Outcome::Broken }
}
