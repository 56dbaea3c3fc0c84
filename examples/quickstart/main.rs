//! Runs a small but complete deployment on loopback and checks its guarantees.
//!
//! Starts three replicas, two more entries and six fake backend servers as separate
//! processes, sends callers' requests through them, withdraws a key, kills the leader, takes a data
//! centre out of service and back, and runs a job of two steps on a separate fleet. The exit code
//! is 1 if a guarantee is violated.

mod jobs;

use goldcrestring::request::RequestOutcome;
use goldcrestring_fakes::backend_server::{Run, max_concurrency};
use goldcrestring_fakes::caller::{Caller, CallerRequest, outcome_of};
use goldcrestring_fakes::cluster::{BACKEND_TOKEN, Cluster, ClusterSettings};
use goldcrestring_wire::client::{Client, Reuse};
use goldcrestring_wire::codec;
use goldcrestring_wire::header;
use goldcrestring_wire::http::{HttpRequest, Method};
use goldcrestring_wire::runtime::{sleep, spawn};
use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};
use uuid::Uuid;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

const REQUEST_COUNT: usize = 300;
const CONCURRENCY: usize = 30;
const BAKERS_LIMIT_TASKS: usize = 12;
const IN_FORCE_TARGET: Duration = Duration::from_secs(3);
const SETTLE_TIME: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<bool> {
    let programs = build_programs()?;
    goldcrestring_wire::runtime::start(2)?;
    smol::block_on(async {
        let mut quickstart = Quickstart::start(&programs).await?;
        quickstart.check_all().await?;
        jobs::run(&programs, &mut quickstart.report).await?;
        Ok(quickstart.report.print())
    })
}

/// Builds the executables and returns their folder.
fn build_programs() -> Result<PathBuf> {
    let mut command = Command::new(env!("CARGO"));
    command.args(["build", "--quiet", "--bins", "--workspace"]);
    let example = std::env::current_exe()?;
    let folder =
        example.parent().and_then(Path::parent).ok_or("the target folder can't be determined")?;
    if folder.ends_with("release") {
        command.arg("--release");
    }
    if !command.current_dir(env!("CARGO_MANIFEST_DIR")).status()?.success() {
        return Err("the programs can't be built".into());
    }
    Ok(folder.to_owned())
}

/// The checked guarantees and their results.
#[derive(Default)]
struct Report {
    rows: Vec<(String, String, bool)>,
}

impl Report {
    fn record(&mut self, guarantee: &str, result: String, is_met: bool) {
        println!("{} {guarantee}: {result}", if is_met { "ok    " } else { "FAILED" });
        self.rows.push((guarantee.to_owned(), result, is_met));
    }

    fn print(&self) -> bool {
        let failed = self.rows.iter().filter(|(_, _, is_met)| !is_met).count();
        println!("{} guarantees met, {failed} violated", self.rows.len() - failed);
        failed == 0
    }
}

struct Quickstart {
    cluster: Cluster,
    cli: OperatorCli,
    servers: Vec<Server>,
    caller: Arc<Caller>,
    client: Client,
    report: Report,
}

/// A fake backend server as a separate process.
struct Server {
    vm: String,
    data_centre: String,
    address: SocketAddr,
    child: Child,
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The operators' command-line tool.
struct OperatorCli {
    program: PathBuf,
    servers: Vec<SocketAddr>,
    token_file: PathBuf,
}

impl OperatorCli {
    fn call(&self, arguments: &[&str]) -> Result<String> {
        let mut command = Command::new(&self.program);
        for server in &self.servers {
            command.arg("--server").arg(server.to_string());
        }
        command.arg("--token-file").arg(&self.token_file).args(arguments);
        let output = command.output()?;
        if output.status.success() {
            return Ok(String::from_utf8(output.stdout)?.trim().to_owned());
        }
        Err(String::from_utf8_lossy(&output.stderr).into_owned().into())
    }
}

impl Quickstart {
    async fn start(programs: &Path) -> Result<Self> {
        println!("starting three replicas, two more entries and six backend servers");
        let mut settings = ClusterSettings::new(programs.join("goldcrestringd"));
        settings.entries = 2;
        let cluster = Cluster::start(settings).await?;
        let cli = OperatorCli {
            program: programs.join("goldcrestctl"),
            servers: cluster.addresses(),
            token_file: cluster.folder().join("operator.token"),
        };
        let objects =
            Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/objects/quickstart.yaml");
        let objects = objects.to_str().ok_or("the path is not valid UTF-8")?;
        println!("{}", cli.call(&["apply", "--file", objects, "--wait", "in-force"])?);
        let servers = start_servers(programs, &cluster)?;
        Ok(Self {
            cluster,
            cli,
            servers,
            caller: Arc::default(),
            client: Client::default(),
            report: Report::default(),
        })
    }

    async fn check_all(&mut self) -> Result<()> {
        let bakers = self.grant_key("bakers")?;
        let pharmacies = self.grant_key("pharmacies")?;
        let request = CallerRequest::new("quotes", &bakers, b"warm up");
        self.cluster.wait_until_serving(&self.caller, &request).await?;
        self.check_responses(&bakers).await?;
        self.check_idempotency(&bakers).await?;
        self.check_key_withdrawal(&pharmacies).await?;
        self.check_leader_loss(&bakers).await?;
        self.check_data_centre_evacuation(&bakers).await?;
        self.check_limit().await
    }

    fn grant_key(&self, team: &str) -> Result<String> {
        let name = format!("{team}-1");
        self.cli.call(&["keys", "grant", "--team", team, "--name", &name, "--wait", "in-force"])
    }

    async fn check_responses(&mut self, key: &str) -> Result<()> {
        let started = Instant::now();
        let outcomes = self.send(key, REQUEST_COUNT).await;
        let elapsed = started.elapsed();
        let completed = count(&outcomes, RequestOutcome::Completed);
        let is_matching = outcomes.iter().all(|(_, is_matching)| *is_matching);
        self.report.record(
            "each caller receives the complete response to its own request",
            format!("{completed} of {REQUEST_COUNT} completed in {elapsed:.2?}"),
            completed == REQUEST_COUNT && is_matching,
        );
        Ok(())
    }

    /// Sends requests through all entries; returns each outcome and whether the response matched
    /// the request.
    async fn send(&self, key: &str, requests: usize) -> Vec<(RequestOutcome, bool)> {
        let addresses = self.cluster.addresses();
        let mut senders = Vec::new();
        for sender in 0..CONCURRENCY {
            let caller = Arc::clone(&self.caller);
            let address = addresses[sender % addresses.len()];
            let key = key.to_owned();
            senders.push(spawn(async move {
                let mut outcomes = Vec::new();
                for number in 0..requests / CONCURRENCY {
                    let body = format!("request {sender}-{number}");
                    let result = caller
                        .send(address, &CallerRequest::new("quotes", &key, body.as_bytes()))
                        .await;
                    let outcome = outcome_of(&result);
                    let is_matching = outcome != RequestOutcome::Completed
                        || result.is_ok_and(|response| response.body == body.as_bytes());
                    outcomes.push((outcome, is_matching));
                }
                outcomes
            }));
        }
        let mut outcomes = Vec::new();
        for sender in senders {
            outcomes.extend(sender.await);
        }
        outcomes
    }

    async fn check_idempotency(&mut self, key: &str) -> Result<()> {
        let body = b"one order, sent three times";
        let mut request = CallerRequest::new("quotes", key, body);
        request.idempotency_key = Some(Uuid::now_v7());
        let mut replayed = 0;
        for address in self.cluster.addresses().into_iter().take(3) {
            let response = self.caller.send(address, &request).await?;
            replayed += usize::from(response.headers.contains_key(header::REPLAYED));
        }
        let runs = self.runs().await?;
        let runs = runs.values().flatten().filter(|run| run.body == body).count();
        self.report.record(
            "a non-idempotent request runs at most once",
            format!("sent to three entries, executions: {runs}, replayed responses: {replayed}"),
            runs == 1 && replayed == 2,
        );
        Ok(())
    }

    async fn check_key_withdrawal(&mut self, key: &str) -> Result<()> {
        let started = Instant::now();
        self.cli.call(&["keys", "withdraw", "pharmacies-1"])?;
        let elapsed = started.elapsed();
        let mut refused = 0;
        let addresses = self.cluster.addresses();
        for address in &addresses {
            let response =
                self.caller.send(*address, &CallerRequest::new("quotes", key, b"too late")).await?;
            refused += usize::from(response.status == 401);
        }
        let runs = self.runs().await?;
        let runs = runs.values().flatten().filter(|run| run.body == b"too late").count();
        self.report.record(
            "a withdrawn key stops working everywhere within 3 s",
            format!(
                "in force after {elapsed:.2?}, rejected by {refused} entries, executions: {runs}"
            ),
            elapsed < IN_FORCE_TARGET && refused == addresses.len() && runs == 0,
        );
        Ok(())
    }

    async fn check_leader_loss(&mut self, key: &str) -> Result<()> {
        let leader = self.cluster.leader().await?;
        self.cluster.kill(&leader)?;
        let started = Instant::now();
        let outcomes = self.send(key, REQUEST_COUNT).await;
        let object = "vm/vm-1";
        let label = ["label", object, "noted=yes", "--wait", "in-force"];
        self.cli.call(&label)?;
        let elapsed = started.elapsed();
        let completed = count(&outcomes, RequestOutcome::Completed);
        let unknown = count(&outcomes, RequestOutcome::Unknown);
        let refused = REQUEST_COUNT - completed - unknown;
        self.report.record(
            "the loss of the leader loses no accepted change and no response",
            format!(
                "{completed} completed, {refused} rejected as not run (those sent to the killed \
                 entry), {unknown} unknown; a change is in force {elapsed:.2?} after the kill"
            ),
            unknown == 0 && completed >= REQUEST_COUNT / 2,
        );
        self.cluster.spawn(&leader)?;
        self.cluster.wait_healthy(&leader).await?;
        Ok(())
    }

    async fn check_data_centre_evacuation(&mut self, key: &str) -> Result<()> {
        let out = ["label", "data-centre/dc-1", "service=out", "--wait", "in-force"];
        let started = Instant::now();
        self.cli.call(&out)?;
        let elapsed = started.elapsed();
        let before = self.runs_in("dc-1").await?;
        let outcomes = self.send(key, REQUEST_COUNT).await;
        let during = self.runs_in("dc-1").await? - before;
        let completed = count(&outcomes, RequestOutcome::Completed);
        self.report.record(
            "no task starts in a data centre out of service, and the others continue to serve",
            format!("in force after {elapsed:.2?}; {during} started there, {completed} completed"),
            during == 0 && completed == REQUEST_COUNT && elapsed < IN_FORCE_TARGET,
        );
        self.cli.call(&["label", "data-centre/dc-1", "service=in", "--wait", "in-force"])?;
        sleep(SETTLE_TIME).await;
        self.send(key, REQUEST_COUNT).await;
        let after = self.runs_in("dc-1").await? - before - during;
        self.report.record(
            "a data centre returned to service receives tasks again",
            format!("{after} tasks started there"),
            after > 0,
        );
        Ok(())
    }

    async fn check_limit(&mut self) -> Result<()> {
        let runs = self.runs().await?;
        let of_team = runs.into_values().flatten();
        let of_team: Vec<_> = of_team.filter(|run| run.team.as_deref() == Some("bakers")).collect();
        let max_running = max_concurrency(&of_team);
        self.report.record(
            "no team exceeds its upper limit of concurrent tasks across the fleet",
            format!("bakers had at most {max_running} of {BAKERS_LIMIT_TASKS} concurrent tasks"),
            max_running <= BAKERS_LIMIT_TASKS,
        );
        Ok(())
    }

    async fn runs_in(&self, data_centre: &str) -> Result<usize> {
        let runs = self.runs().await?;
        let servers = self.servers.iter().filter(|server| server.data_centre == data_centre);
        Ok(servers.map(|server| runs[&server.vm].len()).sum())
    }

    async fn runs(&self) -> Result<BTreeMap<String, Vec<Run>>> {
        let mut all = BTreeMap::new();
        for server in &self.servers {
            let request = HttpRequest::new(Method::Get, "/fake/runs");
            let response =
                self.client.call(server.address, request, CALL_TIMEOUT, Reuse::Never).await?;
            all.insert(server.vm.clone(), codec::decode_json(&response.body)?);
        }
        Ok(all)
    }
}

fn start_servers(programs: &Path, cluster: &Cluster) -> Result<Vec<Server>> {
    let token_file = cluster.folder().join("backend.token");
    std::fs::write(&token_file, BACKEND_TOKEN)?;
    let mut servers = Vec::new();
    for number in 0..6 {
        let vm = format!("vm-{}", number + 1);
        let data_centre = format!("dc-{}", number % 3 + 1);
        let address = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let mut command = Command::new(programs.join("goldcrestring-fake-backend-server"));
        command.args(["--vm", &vm, "--data-centre", &data_centre, "--rack", "rack-1"]);
        command.args(["--listen", &address.to_string()]).arg("--token-file").arg(&token_file);
        for entry in cluster.addresses() {
            command.args(["--entry", &entry.to_string()]);
        }
        let child = command.stdin(Stdio::null()).spawn()?;
        servers.push(Server { vm, data_centre, address, child });
    }
    Ok(servers)
}

fn count(outcomes: &[(RequestOutcome, bool)], expected: RequestOutcome) -> usize {
    outcomes.iter().filter(|(outcome, _)| *outcome == expected).count()
}
