//! Jobs on a fleet of separate processes: three replicas, one entry and simulated backend servers,
//! on loopback addresses.

use goldcrestring_platform_stand_in::fleet::WAIT_TIMEOUT;
use goldcrestring_platform_stand_in::{FakeWorker, JobStep, client, fleet, operator};
use goldcrestring_wire::codec;
use goldcrestring_wire::http::{HttpRequest, HttpResponse, Method};
use goldcrestring_wire::job_message::{JobExplanation, JobList};
use goldcrestring_wire::runtime;
use serde_json::json;
use std::collections::BTreeSet;
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

const HOST: &str = "quotes.example";

const KEY: &str = "key-1";

/// A running fleet, with shorthands for the calls of these tests.
struct Fleet {
    processes: fleet::Fleet,
}

impl std::ops::Deref for Fleet {
    type Target = fleet::Fleet;

    fn deref(&self) -> &fleet::Fleet {
        &self.processes
    }
}

impl Fleet {
    /// Starts a fleet. `subnet` keeps the addresses of concurrent tests apart.
    fn start(subnet: u8) -> Self {
        let _ = runtime::start(2);
        let daemon = Path::new(env!("CARGO_BIN_EXE_goldcrestringd"));
        Self { processes: fleet::Fleet::start(daemon, subnet).expect("a fleet") }
    }

    fn configure(&self, version: u64, keys: &[&str]) {
        let request = operator::configure(version, HOST, keys);
        self.call_until(&self.control_addresses, &request, HttpResponse::is_success);
    }

    fn submit(&self, id: &str, payload: &str, steps: &[JobStep]) {
        let request = client::submit(HOST, id, KEY, payload, steps);
        self.call_until(&[self.caller_address], &request, HttpResponse::is_success);
    }

    fn wait_for_state(&self, id: &str, state: &str) {
        let body = client::state_body(state);
        self.call_until(&[self.caller_address], &client::read(HOST, id, KEY), |response| {
            response.body == body
        });
    }

    fn start_servers(&self, count: u8) -> Vec<Arc<FakeWorker>> {
        let start = |number| {
            let id = format!("i-{number}");
            let started = FakeWorker::start(&id, "dc-a", self.control_addresses.clone());
            smol::block_on(started).expect("a simulated backend server")
        };
        (0..count).map(start).collect()
    }
}

#[test]
fn a_job_runs_in_steps_and_keys_are_checked() {
    let fleet = Fleet::start(1);
    let servers = fleet.start_servers(2);
    fleet.configure(1, &[KEY]);
    let first = JobStep { count: 4, ..JobStep::default() };
    let steps = [first, JobStep { count: 2, depends_on: vec![0], ..JobStep::default() }];
    let id = "00000000000000a1";
    fleet.submit(id, "100", &steps);
    // A resend with the same id creates no second job.
    fleet.submit(id, "100", &steps);
    fleet.wait_for_state(id, "completed");
    let starts: Vec<_> = servers.iter().flat_map(|server| server.starts()).collect();
    assert_eq!(starts.len(), 6, "{starts:?}");
    let unknown = client::read(HOST, "00000000000000ff", KEY);
    fleet.call_until(&[fleet.caller_address], &unknown, |response| response.status == 410);
    let wrong_key = client::read(HOST, id, "stranger");
    fleet.call_until(&[fleet.caller_address], &wrong_key, |response| response.status == 401);
    fleet.configure(2, &["key-2"]);
    fleet.call_until(&[fleet.caller_address], &client::read(HOST, id, KEY), |response| {
        response.status == 401
    });
}

#[test]
fn a_leader_crash_loses_no_job_and_runs_none_twice() {
    let mut fleet = Fleet::start(2);
    let servers = fleet.start_servers(2);
    fleet.configure(1, &[KEY]);
    let steps = [JobStep { count: 3, ..JobStep::default() }];
    let long_running = [JobStep { count: 1, is_long_running: true, ..JobStep::default() }];
    fleet.submit("00000000000000b0", "lasts", &long_running);
    for number in 0..3 {
        let id = format!("00000000000000b{}", number + 1);
        fleet.submit(&id, "1000", &steps);
        let replica = &mut fleet.processes.replicas[number];
        replica.kill();
        replica.restart().expect("the daemon starts");
        fleet.wait_for_state(&id, "completed");
    }
    let running: usize = servers.iter().map(|server| server.running().len()).sum();
    assert_eq!(running, 1, "the long-running task runs once");
    let started_tasks: BTreeSet<String> = servers
        .iter()
        .flat_map(|server| server.starts())
        .map(|(task, _)| task)
        .filter(|task| !task.starts_with("00000000000000b0"))
        .collect();
    assert_eq!(started_tasks.len(), 9);
    let cancel = client::cancel(HOST, "00000000000000b0", KEY);
    fleet.call_until(&[fleet.caller_address], &cancel, HttpResponse::is_success);
    fleet.wait_for_state("00000000000000b0", "cancelled");
    let since = Instant::now();
    while servers.iter().any(|server| !server.running().is_empty()) {
        assert!(since.elapsed() < WAIT_TIMEOUT, "cancelled tasks are still running");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// A relay that dies or is suspended while jobs run must cost no run and start none twice.
#[test]
fn a_lost_or_suspended_relay_costs_no_run() {
    let _ = runtime::start(2);
    let daemon = Path::new(env!("CARGO_BIN_EXE_goldcrestringd"));
    let processes = fleet::Fleet::start_with_relays(daemon, 4, 0).expect("a fleet");
    let mut fleet = Fleet { processes };
    let servers = fleet.start_servers(6);
    fleet.configure(1, &[KEY]);
    let long_running = [JobStep { count: 6, is_long_running: true, ..JobStep::default() }];
    fleet.submit("00000000000000e0", "lasts", &long_running);
    let steps = [JobStep { count: 20, ..JobStep::default() }];
    fleet.submit("00000000000000e1", "200", &steps);
    fleet.wait_for_state("00000000000000e1", "completed");
    // The process that makes calls for a leader is a relay; the leader makes none or few.
    let relay = |fleet: &Fleet| {
        let since = Instant::now();
        loop {
            let counts: Vec<_> = (0..fleet.peer_addresses.len())
                .filter_map(|number| Some((relayed_calls(fleet, number)?, number)))
                .collect();
            std::thread::sleep(Duration::from_millis(1_500));
            let growth = counts.iter().filter_map(|(before, number)| {
                Some((relayed_calls(fleet, *number)?.saturating_sub(*before), *number))
            });
            if let Some((_, number)) = growth.max().filter(|(calls, _)| *calls > 0) {
                return number;
            }
            assert!(since.elapsed() < WAIT_TIMEOUT, "no replica makes calls for the leader");
        }
    };
    for round in 0..4 {
        let number = relay(&fleet);
        let id = format!("00000000000000f{round}");
        fleet.submit(&id, "700", &steps);
        let is_killed = round % 2 == 0;
        if is_killed {
            fleet.processes.replicas[number].kill();
        } else {
            fleet.processes.replicas[number].freeze().expect("a signal");
        }
        fleet.wait_for_state(&id, "completed");
        // Longer than a lease, so that one that is not extended runs out.
        std::thread::sleep(Duration::from_secs(4));
        if is_killed {
            fleet.processes.replicas[number].restart().expect("the daemon starts");
        } else {
            fleet.processes.replicas[number].thaw().expect("a signal");
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    let lapsed: usize = servers.iter().map(|server| server.lapsed()).sum();
    assert_eq!(lapsed, 0, "runs whose lease was not extended");
    let running: usize = servers.iter().map(|server| server.running().len()).sum();
    assert_eq!(running, 6, "the long-running tasks run");
    let starts: Vec<_> = servers.iter().flat_map(|server| server.starts()).collect();
    let tasks: BTreeSet<_> = starts.iter().map(|(task, _)| task).collect();
    assert_eq!((starts.len(), tasks.len()), (106, 106), "each task starts once: {starts:?}");
}

/// Returns the number of calls that a replica has made for a leader; `None` if it does not respond.
fn relayed_calls(fleet: &Fleet, number: usize) -> Option<u64> {
    let request = HttpRequest::new(Method::Get, "/metrics");
    let response = fleet.call(fleet.peer_addresses[number], request)?;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let line = text.lines().find(|line| {
        line.starts_with("goldcrestring_backend_calls") && line.contains("path=\"relay\"")
    });
    line.map_or(Some(0), |line| line.rsplit(' ').next()?.parse().ok())
}

#[test]
fn operators_submit_list_explain_and_cancel_jobs() {
    let fleet = Fleet::start(3);
    let servers = fleet.start_servers(1);
    fleet.configure(1, &[KEY]);
    let call_operators_until =
        |request: &HttpRequest, is_wanted: &dyn Fn(&HttpResponse) -> bool| -> HttpResponse {
            let since = Instant::now();
            loop {
                let mut responses = fleet
                    .operator_addresses
                    .iter()
                    .filter_map(|address| fleet.call_as_operator(*address, request.clone()));
                if let Some(response) = responses.find(|response| is_wanted(response)) {
                    return response;
                }
                assert!(since.elapsed() < WAIT_TIMEOUT, "{} {}", request.method, request.path);
                std::thread::sleep(Duration::from_millis(100));
            }
        };
    let job = |team: &str, steps: serde_json::Value| {
        let body = json!({
            "queue": "r-1", "team": team, "spec": { "payload": "100", "steps": steps },
        });
        body.to_string().into_bytes()
    };
    let demand = json!({ "cpu_millis": 500, "memory_mb": 64 });
    let steps = json!([
        { "count": 2, "demand": demand, "is_lasting": true },
        { "count": 3, "demand": demand, "depends_on": [0] },
        { "count": 1, "demand": { "cpu_millis": 900_000 } },
    ]);
    let path = "/v1/jobs/00000000000000c1";
    let put = HttpRequest::json(Method::Put, path, job("bakers", steps));
    let no_token = fleet.call(fleet.operator_addresses[0], put.clone()).expect("a response");
    assert_eq!(no_token.status, 401);
    call_operators_until(&put, &HttpResponse::is_success);
    call_operators_until(&put, &HttpResponse::is_success);
    let is_running = |response: &HttpResponse| {
        let list = codec::decode_json::<JobList>(&response.body);
        list.is_ok_and(|list| list.jobs.len() == 1 && list.jobs[0].tasks.assigned == 2)
    };
    let mut list = HttpRequest::new(Method::Get, "/v1/jobs");
    list.query.insert("team".to_owned(), "bakers".to_owned());
    call_operators_until(&list, &is_running);
    list.query.insert("phase".to_owned(), "failed".to_owned());
    let empty_list = call_operators_until(&list, &HttpResponse::is_success);
    assert_eq!(empty_list.body, br#"{"jobs":[]}"#);

    let explain = HttpRequest::new(Method::Get, "/v1/explain/job/00000000000000c1");
    let response = call_operators_until(&explain, &HttpResponse::is_success);
    let explanation: JobExplanation = codec::decode_json(&response.body).expect("an explanation");
    assert_eq!(explanation.plan, 1);
    let text = explanation.findings.join("\n");
    assert!(text.contains("step 0: 1 tasks running on i-0, attempt 1"), "{text}");
    assert!(text.contains("step 1: 3 tasks wait for steps [0]"), "{text}");
    let finding = "step 2: 1 tasks wait for capacity: pool studio has 1 backend servers, \
                   1 accepting tasks, 1 suitable, 0 with enough free capacity";
    assert!(text.contains(finding), "{text}");

    let assert_refused = |path: &str, body, status, kind: &str| {
        let response =
            call_operators_until(&HttpRequest::json(Method::Put, path, body), &|response| {
                response.status == status
            });
        let text = String::from_utf8_lossy(&response.body).into_owned();
        assert!(text.contains(kind), "{text}");
    };
    let single_step = || json!([{ "count": 1 }]);
    assert_refused(
        "/v1/jobs/00000000000000c2",
        job("strangers", single_step()),
        404,
        "no-such-team",
    );
    assert_refused("/v1/jobs/00000000000000c1", job("bakers", single_step()), 409, "id-taken");
    assert_refused("/v1/jobs/c2", job("bakers", single_step()), 400, "malformed-name");
    assert_refused("/v1/jobs/00000000000000c2", job("bakers", json!([])), 422, "invalid-job");
    let unknown = json!([{ "count": 1, "size": 3 }]);
    assert_refused("/v1/jobs/00000000000000c2", job("bakers", unknown), 400, "malformed-job");
    call_operators_until(
        &HttpRequest::new(Method::Get, "/v1/jobs/00000000000000c2"),
        &|response| response.status == 404,
    );

    call_operators_until(&HttpRequest::new(Method::Delete, path), &HttpResponse::is_success);
    let view =
        call_operators_until(&HttpRequest::new(Method::Get, path), &HttpResponse::is_success);
    assert!(String::from_utf8_lossy(&view.body).contains("\"cancelled\""));
    let since = Instant::now();
    while servers.iter().any(|server| !server.running().is_empty()) {
        assert!(since.elapsed() < WAIT_TIMEOUT, "cancelled tasks are still running");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn invalid_fleet_settings_are_reported_with_the_line() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("settings.yaml");
    std::fs::write(&path, "node: 127.0.0.1\nlabel: a\npeer_port: many\n").expect("a file");
    let checked = Command::new(env!("CARGO_BIN_EXE_goldcrestringd"))
        .args(["--fleet", "--check", "--settings"])
        .arg(&path)
        .output()
        .expect("the daemon runs");
    assert_eq!(checked.status.code(), Some(2));
    let error = String::from_utf8_lossy(&checked.stderr);
    assert!(error.contains("line 3"), "{error}");
}
