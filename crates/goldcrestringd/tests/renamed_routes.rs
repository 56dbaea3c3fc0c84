//! Jobs whose route operators give another name, on a fleet of separate processes.

use goldcrestring_platform_stand_in::{FakeWorker, Fleet, JobStep, QUEUE_PREFIX, client, operator};
use goldcrestring_wire::codec;
use goldcrestring_wire::http::{HttpResponse, Method};
use goldcrestring_wire::job_message::JobList;
use goldcrestring_wire::runtime;
use std::path::Path;

const HOST: &str = "quotes.example";

const KEY: &str = "key-1";

const BATCH: &str = "00000000000000a1";

const LONG_RUNNING: &str = "00000000000000a2";

fn configure(fleet: &Fleet, version: u64, name: &str) {
    let request = operator::configure_routes(version, HOST, &[KEY], &[(name, QUEUE_PREFIX)]);
    fleet.call_until(&fleet.control_addresses, &request, HttpResponse::is_success);
}

fn submit(fleet: &Fleet, id: &str, payload: &str, steps: &[JobStep]) {
    let request = client::submit(HOST, id, KEY, payload, steps);
    fleet.call_until(&[fleet.caller_address], &request, HttpResponse::is_success);
}

/// Waits until a job has a state; fails if it is unknown.
fn wait_for_state(fleet: &Fleet, id: &str, state: &str) {
    let body = client::state_body(state);
    let request = client::read(HOST, id, KEY);
    fleet.call_until(&[fleet.caller_address], &request, |response| {
        assert_ne!(response.status, 410, "job {id} is unknown");
        response.body == body
    });
}

fn pending(fleet: &Fleet) -> Option<u64> {
    let request = client::read_from(QUEUE_PREFIX, HOST, "", KEY);
    let counted = |response: &HttpResponse| client::pending(&response.body).is_some();
    client::pending(&fleet.call_until(&[fleet.caller_address], &request, counted).body)
}

/// Returns the number of jobs that operators see in a queue.
fn listed(fleet: &Fleet, queue: &str) -> usize {
    let path = format!("/v1/jobs?queue={queue}");
    let request = Fleet::operator_request(Method::Get, &path);
    let response = fleet.call_until(&fleet.operator_addresses, &request, HttpResponse::is_success);
    let list: JobList = codec::decode_json(&response.body).expect("a list of jobs");
    list.jobs.len()
}

/// Regression: a caller whose job was accepted got 410 once the job's route had another name.
#[test]
fn jobs_of_a_renamed_route_are_read_counted_listed_resent_and_cancelled() {
    let _ = runtime::start(2);
    let daemon = Path::new(env!("CARGO_BIN_EXE_goldcrestringd"));
    let fleet = Fleet::start(daemon, 14).expect("a fleet");
    configure(&fleet, 1, "r-orders");
    let batch = [JobStep { count: 2, ..JobStep::default() }];
    let long_running = [JobStep { count: 1, is_long_running: true, ..JobStep::default() }];
    submit(&fleet, BATCH, "100", &batch);
    submit(&fleet, LONG_RUNNING, "lasts", &long_running);

    configure(&fleet, 2, "r-sales");
    wait_for_state(&fleet, BATCH, "queued");
    wait_for_state(&fleet, LONG_RUNNING, "queued");
    assert_eq!(pending(&fleet), Some(2));
    submit(&fleet, BATCH, "100", &batch);
    assert_eq!(listed(&fleet, "r-sales"), 2);

    let started = FakeWorker::start("i-1", "dc-a", fleet.control_addresses.clone());
    let server = smol::block_on(started).expect("a simulated backend server");
    wait_for_state(&fleet, BATCH, "completed");
    wait_for_state(&fleet, LONG_RUNNING, "running");

    configure(&fleet, 3, "r-shop");
    wait_for_state(&fleet, BATCH, "completed");
    wait_for_state(&fleet, LONG_RUNNING, "running");
    assert_eq!(pending(&fleet), Some(0));
    submit(&fleet, BATCH, "100", &batch);
    let cancel = client::cancel(HOST, LONG_RUNNING, KEY);
    fleet.call_until(&[fleet.caller_address], &cancel, HttpResponse::is_success);
    wait_for_state(&fleet, LONG_RUNNING, "cancelled");
    assert_eq!(listed(&fleet, "r-shop"), 2);
    let batch_starts = server.starts().iter().filter(|(task, _)| task.starts_with(BATCH)).count();
    assert_eq!(batch_starts, 2, "a resend ran the job again");
}
