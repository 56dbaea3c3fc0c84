//! A fleet that runs jobs as separate processes: three replicas, one entry and stand-ins for backend
//! servers, on addresses of the loopback range.

use goldcrestring_platform_stand_in::{PlatformServer, StepShape, client, operator};
use goldcrestring_wire::client::{Client, Reuse};
use goldcrestring_wire::http::{Call, Reply};
use goldcrestring_wire::runtime;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long anything may take before the test gives up; far above every promise, since the machine
/// may be busy.
const PATIENCE: Duration = Duration::from_secs(60);

const HOST: &str = "quotes.example";

const KEY: &str = "key-1";

struct Process {
    child: Child,
    settings: PathBuf,
}

impl Process {
    fn start(settings: &Path) -> Child {
        Command::new(env!("CARGO_BIN_EXE_goldcrestringd"))
            .args(["--fleet", "--settings"])
            .arg(settings)
            .stdout(Stdio::null())
            .spawn()
            .expect("the daemon starts")
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn restart(&mut self) {
        self.child = Self::start(&self.settings);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

struct Fleet {
    _folder: tempfile::TempDir,
    replicas: Vec<Process>,
    _entry: Process,
    control: Vec<SocketAddr>,
    callers: SocketAddr,
    client: Client,
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address").port()
}

impl Fleet {
    /// `net` tells the fleets of different tests apart.
    fn start(net: u8) -> Self {
        let _ = runtime::start(2);
        let folder = tempfile::tempdir().expect("a folder");
        let (peer_port, port) = (free_port(), free_port());
        let address = |number: u8| SocketAddr::from(([127, 1, net, number], port));
        let control: Vec<_> = (1..=3).map(address).collect();
        let write = |number: u8| {
            let is_replica = number <= 3;
            let data = folder.path().join(format!("data-{number}"));
            std::fs::create_dir_all(&data).expect("a folder");
            let settings = json!({
                "node": format!("127.1.{net}.{number}"), "label": format!("node-{number}"),
                "callers": (!is_replica).then(|| address(number)),
                "health": Value::Null,
                "control": is_replica.then(|| address(number)),
                "peer_port": peer_port, "seeds": control, "is_founding": true,
                "data_folder": is_replica.then_some(data), "failures_borne": 1,
                "announcement_interval_ms": 500, "max_lease_ms": 6_000,
                "adviser": Value::Null, "machines": Value::Null, "upkeep_lease_ms": 3_000,
                "upkeep_s": 2.0, "retention_s": 120.0, "stop_s": 2.0,
            });
            let path = folder.path().join(format!("settings-{number}.yaml"));
            std::fs::write(&path, settings.to_string()).expect("settings");
            Process { child: Process::start(&path), settings: path }
        };
        let replicas = (1..=3).map(write).collect();
        let entry = write(4);
        let callers = address(4);
        let client = Client::default();
        Self { _folder: folder, replicas, _entry: entry, control, callers, client }
    }

    fn call(&self, address: SocketAddr, call: Call) -> Option<Reply> {
        let time = Duration::from_secs(3);
        smol::block_on(self.client.call(address, call, time, Reuse::Never)).ok()
    }

    /// Repeats a call at every address in turn until an answer is as wanted.
    fn until(&self, addresses: &[SocketAddr], call: &Call, want: impl Fn(&Reply) -> bool) -> Reply {
        let since = Instant::now();
        let mut last = None;
        while since.elapsed() < PATIENCE {
            for address in addresses {
                let reply = self.call(*address, call.clone());
                if let Some(reply) = reply.as_ref().filter(|reply| want(reply)) {
                    return reply.clone();
                }
                last = reply.or(last);
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        panic!("{} {}: last answer {last:?}", call.method, call.path);
    }

    fn configure(&self, version: u64, keys: &[&str]) {
        let call = operator::configure(version, HOST, keys);
        self.until(&self.control, &call, Reply::is_success);
    }

    fn submit(&self, id: &str, payload: &str, steps: &[StepShape]) {
        let call = client::submit(HOST, id, KEY, payload, steps);
        self.until(&[self.callers], &call, Reply::is_success);
    }

    fn until_state(&self, id: &str, state: &str) {
        let body = client::state_body(state);
        self.until(&[self.callers], &client::read(HOST, id, KEY), |reply| reply.body == body);
    }

    fn servers(&self, count: u8) -> Vec<Arc<PlatformServer>> {
        let start = |number| {
            let id = format!("i-{number}");
            let started = PlatformServer::start(&id, "dc-a", self.control.clone());
            smol::block_on(started).expect("a stand-in")
        };
        (0..count).map(start).collect()
    }
}

#[test]
fn a_job_runs_in_steps_and_keys_are_checked() {
    let fleet = Fleet::start(1);
    let servers = fleet.servers(2);
    fleet.configure(1, &[KEY]);
    let first = StepShape { count: 4, ..StepShape::default() };
    let steps = [first, StepShape { count: 2, after: vec![0], ..StepShape::default() }];
    let id = "00000000000000a1";
    fleet.submit(id, "100", &steps);
    // The same id again is the same job.
    fleet.submit(id, "100", &steps);
    fleet.until_state(id, "completed");
    let starts: Vec<_> = servers.iter().flat_map(|server| server.starts()).collect();
    assert_eq!(starts.len(), 6, "{starts:?}");
    let unknown = client::read(HOST, "00000000000000ff", KEY);
    fleet.until(&[fleet.callers], &unknown, |reply| reply.status == 410);
    let stranger = client::read(HOST, id, "stranger");
    fleet.until(&[fleet.callers], &stranger, |reply| reply.status == 401);
    fleet.configure(2, &["key-2"]);
    fleet.until(&[fleet.callers], &client::read(HOST, id, KEY), |reply| reply.status == 401);
}

#[test]
fn a_lost_leader_loses_no_job_and_runs_none_twice() {
    let mut fleet = Fleet::start(2);
    let servers = fleet.servers(2);
    fleet.configure(1, &[KEY]);
    let steps = [StepShape { count: 3, ..StepShape::default() }];
    let lasting = [StepShape { count: 1, is_lasting: true, ..StepShape::default() }];
    fleet.submit("00000000000000b0", "lasts", &lasting);
    for number in 0..3 {
        let id = format!("00000000000000b{}", number + 1);
        fleet.submit(&id, "1000", &steps);
        let replica = &mut fleet.replicas[number];
        replica.kill();
        replica.restart();
        fleet.until_state(&id, "completed");
    }
    let running: usize = servers.iter().map(|server| server.running().len()).sum();
    assert_eq!(running, 1, "what lasts runs once");
    let ends: BTreeSet<String> = servers
        .iter()
        .flat_map(|server| server.starts())
        .map(|(task, _)| task)
        .filter(|task| !task.starts_with("00000000000000b0"))
        .collect();
    assert_eq!(ends.len(), 9);
    let cancel = client::cancel(HOST, "00000000000000b0", KEY);
    fleet.until(&[fleet.callers], &cancel, Reply::is_success);
    fleet.until_state("00000000000000b0", "cancelled");
    let since = Instant::now();
    while servers.iter().any(|server| !server.running().is_empty()) {
        assert!(since.elapsed() < PATIENCE, "what was cancelled runs on");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn settings_are_checked_by_name() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("settings.yaml");
    std::fs::write(&path, "node: 127.0.0.1\nlabel: a\npeer_port: many\n").expect("a file");
    let checked = Command::new(env!("CARGO_BIN_EXE_goldcrestringd"))
        .args(["--fleet", "--check", "--settings"])
        .arg(&path)
        .output()
        .expect("the daemon runs");
    assert_eq!(checked.status.code(), Some(2));
    let problem = String::from_utf8_lossy(&checked.stderr);
    assert!(problem.contains("line 3"), "{problem}");
}
