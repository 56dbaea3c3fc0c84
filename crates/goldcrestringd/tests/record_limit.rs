//! The record of jobs stays within its share of a replica's memory, on a fleet of separate processes.

use goldcrestring_platform_stand_in::{Fleet, FleetSettings, JobStep, client, fleet, operator};
use goldcrestring_wire::http::{HttpRequest, HttpResponse, Method};
use goldcrestring_wire::runtime;
use serde_json::json;
use std::path::Path;

const HOST: &str = "quotes.example";

const KEY: &str = "key-1";

/// The memory of a replica in the users' deployments.
const MEMORY_MB: u64 = 256;

/// Number of large jobs that would take several times the memory of a replica.
const MAX_JOBS: usize = 2_000;

fn id(number: usize) -> String {
    format!("{number:016x}")
}

/// The steps of a job, each after the one before.
fn steps(count: u32) -> Vec<JobStep> {
    let step = |number: u32| {
        let depends_on = number.checked_sub(1).into_iter().collect();
        JobStep { count: 10_000, depends_on, ..JobStep::default() }
    };
    (0..count).map(step).collect()
}

/// Submits jobs that no backend server runs until one is refused. Returns the number of accepted ones
/// and the refusal.
fn fill(fleet: &Fleet, payload: &str, steps: &[JobStep]) -> (usize, HttpResponse) {
    for number in 0..MAX_JOBS {
        let request = client::submit(HOST, &id(number), KEY, payload, steps);
        let is_final = |response: &HttpResponse| response.status != 504;
        let response = fleet.call_until(&[fleet.caller_address], &request, is_final);
        if !response.is_success() {
            return (number, response);
        }
    }
    panic!("{MAX_JOBS} jobs are accepted; peak memory {:?} MB", peak_memory_mb(fleet));
}

fn peak_memory_mb(fleet: &Fleet) -> Vec<u64> {
    fleet.replicas.iter().filter_map(fleet::Process::peak_memory_mb).collect()
}

fn assert_within_memory(fleet: &Fleet) {
    let peaks = peak_memory_mb(fleet);
    assert_eq!(peaks.len(), fleet.replicas.len(), "a replica has ended");
    assert!(peaks.iter().all(|peak| *peak < MEMORY_MB), "{peaks:?} MB");
}

/// Submits a job of the same size as an operator.
fn assert_operators_are_refused(fleet: &Fleet, payload: &str, steps: &[JobStep]) {
    let steps: Vec<_> = steps.iter().map(|step| json!({ "count": step.count })).collect();
    let spec = json!({ "payload": payload, "steps": steps });
    let body = json!({ "queue": "r-1", "team": "bakers", "spec": spec }).to_string();
    let path = format!("/v1/jobs/{}", id(MAX_JOBS + 1));
    let put = HttpRequest::json(Method::Put, &path, body.into_bytes());
    let refusal = fleet.call_as_operator(fleet.operator_addresses[0], put).expect("a response");
    let text = String::from_utf8_lossy(&refusal.body);
    assert_eq!(refusal.status, 503, "{text}");
    assert!(text.contains("the record of jobs is full"), "{text}");
}

fn start(subnet: u8, memory_mb: u64, retention_s: f64) -> Fleet {
    let _ = runtime::start(2);
    let daemon = Path::new(env!("CARGO_BIN_EXE_goldcrestringd"));
    let memory_mb = Some(memory_mb);
    let settings = FleetSettings { subnet, memory_mb, retention_s, ..FleetSettings::default() };
    let fleet = Fleet::start_with(daemon, &settings).expect("a fleet");
    let plan = operator::configure(1, HOST, &[KEY]);
    fleet.call_until(&fleet.control_addresses, &plan, HttpResponse::is_success);
    fleet
}

fn is_record_full(response: &HttpResponse) -> bool {
    response.status == 503
        && response.headers.contains_key("retry-after")
        && response.body == b"RecordFull"
}

/// Fills the record, then checks the limit: jobs beyond it are refused; those known are answered for and
/// cancelled, also after all replicas have started again; with room, jobs are accepted again.
fn check_limit(subnet: u8, payload: &str, steps: &[JobStep]) {
    let mut fleet = start(subnet, MEMORY_MB, 1.0);
    let (accepted, refusal) = fill(&fleet, payload, steps);
    assert!(is_record_full(&refusal), "{refusal:?}");
    assert!(accepted > 20, "{accepted} jobs fill the record");
    assert_within_memory(&fleet);
    assert_operators_are_refused(&fleet, payload, steps);

    for replica in &mut fleet.replicas {
        replica.kill();
    }
    for replica in &mut fleet.replicas {
        replica.restart().expect("a replica");
    }
    for number in [0, accepted - 1] {
        let read = client::read(HOST, &id(number), KEY);
        let queued = client::state_body("queued");
        fleet.call_until(&[fleet.caller_address], &read, |response| response.body == queued);
    }
    let refused = client::read(HOST, &id(accepted), KEY);
    fleet.call_until(&[fleet.caller_address], &refused, |response| response.status == 410);
    assert_within_memory(&fleet);

    for number in 0..accepted {
        let cancel = client::cancel(HOST, &id(number), KEY);
        fleet.call_until(&[fleet.caller_address], &cancel, HttpResponse::is_success);
    }
    let again = client::submit(HOST, &id(MAX_JOBS), KEY, "1", &self::steps(1));
    fleet.call_until(&[fleet.caller_address], &again, HttpResponse::is_success);
    assert_within_memory(&fleet);
    let metrics = HttpRequest::new(Method::Get, "/metrics");
    fleet.call_until(&fleet.peer_addresses, &metrics, |response| {
        String::from_utf8_lossy(&response.body).contains("goldcrestring_job_record_bytes")
    });
}

/// Guards against replicas that run out of memory, at each start anew, after many jobs each of which is
/// allowed.
#[test]
fn jobs_of_many_steps_beyond_the_record_limit_are_refused() {
    check_limit(61, &"x".repeat(4_000), &steps(1_000));
}

/// The same with large payloads, which a replica also holds in its snapshot and in the entries since then.
#[test]
fn jobs_with_large_payloads_beyond_the_record_limit_are_refused() {
    check_limit(62, &"x".repeat(16_000), &steps(1));
}

/// Guards against a record that is filled by cancelled IDs of which no job is known. Known jobs are still
/// cancelled.
#[test]
fn ids_without_a_job_beyond_the_record_limit_are_not_cancelled() {
    let fleet = start(63, 1, 120.0);
    fill(&fleet, &"x".repeat(16_000), &steps(1));
    let cancel = |number| client::cancel(HOST, &id(number), KEY);
    let callers = [fleet.caller_address];
    let is_final = |response: &HttpResponse| response.status != 504;
    let refused = (0..MAX_JOBS).map(|number| MAX_JOBS + number).find(|number| {
        let response = fleet.call_until(&callers, &cancel(*number), is_final);
        assert!(response.status == 410 || is_record_full(&response), "{response:?}");
        response.status == 503
    });
    let refused = refused.expect("a refusal");
    fleet.call_until(&callers, &cancel(0), HttpResponse::is_success);
    // An ID that has been cancelled takes no more room.
    fleet.call_until(&callers, &cancel(refused - 1), |response| response.status == 410);
    fleet.call_until(&callers, &cancel(refused), is_record_full);
}
