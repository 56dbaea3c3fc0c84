//! The `jobs` commands against a running fleet.

use goldcrestring_platform_stand_in::{FakeWorker, Fleet, operator};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

const TOOL: &str = env!("CARGO_BIN_EXE_goldcrestctl");

/// Time limit for each condition that a test waits for; far above the guaranteed times, since the
/// machine may be busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

const JOB_ID: &str = "00000000000000e1";

fn run(fleet: &Fleet, arguments: &[&str]) -> Output {
    let mut command = Command::new(TOOL);
    for server in &fleet.operator_addresses {
        command.args(["--server", &server.to_string()]);
    }
    command.arg("--token-file").arg(&fleet.token_file).args(arguments);
    command.output().expect("the tool runs")
}

/// Repeats a command until it succeeds and prints `text`; returns its standard output.
fn run_until(fleet: &Fleet, arguments: &[&str], text: &str) -> String {
    let since = Instant::now();
    loop {
        let output = run(fleet, arguments);
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        if output.status.success() && stdout.contains(text) {
            return stdout;
        }
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(since.elapsed() < WAIT_TIMEOUT, "{arguments:?}: {stdout}{error}");
        std::thread::sleep(Duration::from_millis(100));
    }
}

fn sample_path() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/objects/job.yaml")
}

#[test]
fn jobs_are_submitted_listed_explained_and_cancelled() {
    goldcrestring_wire::runtime::start(1).unwrap();
    let fleet = Fleet::start(&Path::new(TOOL).with_file_name("goldcrestringd"), 20).unwrap();
    let server = FakeWorker::start("i-0", "dc-a", fleet.control_addresses.clone());
    let _server = smol::block_on(server).unwrap();
    let plan = operator::configure(1, "quotes.example", &["key-1"]);
    let since = Instant::now();
    let accepts_plan = |address: &std::net::SocketAddr| {
        fleet.call(*address, plan.clone()).is_some_and(|response| response.is_success())
    };
    while !fleet.control_addresses.iter().any(accepts_plan) {
        assert!(since.elapsed() < WAIT_TIMEOUT, "the fleet accepted no plan in time");
        std::thread::sleep(Duration::from_millis(100));
    }
    let file = sample_path();
    let file = file.to_str().unwrap();
    let submit = ["jobs", "submit", "--file", file, "--id", JOB_ID];
    run_until(&fleet, &submit, &format!("{JOB_ID}  accepted"));
    run_until(&fleet, &["jobs", "list", "--phase", "completed", "--team", "bakers"], JOB_ID);
    let view = run_until(&fleet, &["jobs", "get", JOB_ID], "completed");
    assert!(view.contains("step 0: 0 waiting, 0 assigned, 4 done, 0 runs failed"), "{view}");
    run_until(&fleet, &["jobs", "explain", JOB_ID], "- occurrence 0, step 1: 1 tasks are done");
    run_until(&fleet, &["--output", "json", "jobs", "get", JOB_ID], "\"phase\": \"completed\"");
    run_until(&fleet, &["jobs", "cancel", JOB_ID], "cancelled");

    assert_eq!(run(&fleet, &["jobs", "get", "00000000000000ff"]).status.code(), Some(3));
    assert_ne!(run(&fleet, &["jobs", "get", "short"]).status.code(), Some(0));
    let missing = run(&fleet, &["jobs", "submit", "--file", "no-such-file.yaml"]);
    assert_eq!(missing.status.code(), Some(2));
}
