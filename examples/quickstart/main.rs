//! A whole small deployment on loopback: what happened against what was promised.
//!
//! Starts three control replicas, two further entries and six stand-in backend servers as separate
//! processes, sends callers' work through them, withdraws a key, kills the leading replica, takes a
//! data centre out and back, runs a job of two steps on a fleet of its own, and ends with exit code 1 if
//! a promise broke.

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

const REQUESTS: usize = 300;
const CONCURRENCY: usize = 30;
const BAKERS_LIMIT: usize = 12;
const IN_FORCE_TARGET: Duration = Duration::from_secs(3);
const SETTLE: Duration = Duration::from_secs(2);
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
        quickstart.play().await?;
        jobs::play(&programs, &mut quickstart.report).await?;
        Ok(quickstart.report.print())
    })
}

/// Builds the programs and returns their folder.
fn build_programs() -> Result<PathBuf> {
    let mut command = Command::new(env!("CARGO"));
    command.args(["build", "--quiet", "--bins", "--workspace"]);
    let example = std::env::current_exe()?;
    let folder = example.parent().and_then(Path::parent).ok_or("no folder of programs")?;
    if folder.ends_with("release") {
        command.arg("--release");
    }
    if !command.current_dir(env!("CARGO_MANIFEST_DIR")).status()?.success() {
        return Err("the programs can't be built".into());
    }
    Ok(folder.to_owned())
}

/// Promises and what became of them.
#[derive(Default)]
struct Report {
    rows: Vec<(String, String, bool)>,
}

impl Report {
    fn note(&mut self, promise: &str, happened: String, is_kept: bool) {
        println!("{} {promise}: {happened}", if is_kept { "kept  " } else { "BROKEN" });
        self.rows.push((promise.to_owned(), happened, is_kept));
    }

    fn print(&self) -> bool {
        let broken = self.rows.iter().filter(|(_, _, is_kept)| !is_kept).count();
        println!("{} promises kept, {broken} broken", self.rows.len() - broken);
        broken == 0
    }
}

struct Quickstart {
    cluster: Cluster,
    control: Control,
    servers: Vec<Server>,
    caller: Arc<Caller>,
    client: Client,
    report: Report,
}

/// A stand-in backend server as a process.
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

/// The command-line tool as operators use it.
struct Control {
    program: PathBuf,
    servers: Vec<SocketAddr>,
    token_file: PathBuf,
}

impl Control {
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
        let control = Control {
            program: programs.join("goldcrestctl"),
            servers: cluster.addresses(),
            token_file: cluster.folder().join("operator.token"),
        };
        let objects =
            Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/objects/quickstart.yaml");
        let objects = objects.to_str().ok_or("the path is not text")?;
        println!("{}", control.call(&["apply", "--file", objects, "--wait", "in-force"])?);
        let servers = start_servers(programs, &cluster)?;
        Ok(Self {
            cluster,
            control,
            servers,
            caller: Arc::default(),
            client: Client::default(),
            report: Report::default(),
        })
    }

    async fn play(&mut self) -> Result<()> {
        let bakers = self.grant("bakers")?;
        let pharmacies = self.grant("pharmacies")?;
        let request = CallerRequest::new("quotes", &bakers, b"warm up");
        self.cluster.wait_until_serving(&self.caller, &request).await?;
        self.serve_many(&bakers).await?;
        self.repeat_one(&bakers).await?;
        self.withdraw(&pharmacies).await?;
        self.kill_leader(&bakers).await?;
        self.take_data_centre_out_and_back(&bakers).await?;
        self.check_limit().await
    }

    fn grant(&self, team: &str) -> Result<String> {
        let name = format!("{team}-1");
        self.control.call(&["keys", "grant", "--team", team, "--name", &name, "--wait", "in-force"])
    }

    async fn serve_many(&mut self, key: &str) -> Result<()> {
        let started = Instant::now();
        let outcomes = self.send(key, REQUESTS).await;
        let elapsed = started.elapsed();
        let completed = count(&outcomes, RequestOutcome::Completed);
        let is_own = outcomes.iter().all(|(_, is_own)| *is_own);
        self.report.note(
            "each caller gets the whole answer to its own request",
            format!("{completed} of {REQUESTS} completed in {elapsed:.2?}"),
            completed == REQUESTS && is_own,
        );
        Ok(())
    }

    /// Sends requests over all entries; tells each outcome and whether the answer was its own.
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
                    let answer = caller
                        .send(address, &CallerRequest::new("quotes", &key, body.as_bytes()))
                        .await;
                    let outcome = outcome_of(&answer);
                    let is_own = outcome != RequestOutcome::Completed
                        || answer.is_ok_and(|response| response.body == body.as_bytes());
                    outcomes.push((outcome, is_own));
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

    async fn repeat_one(&mut self, key: &str) -> Result<()> {
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
        self.report.note(
            "a non-idempotent request runs at most once",
            format!("sent to three entries, ran {runs} time, answered again {replayed} times"),
            runs == 1 && replayed == 2,
        );
        Ok(())
    }

    async fn withdraw(&mut self, key: &str) -> Result<()> {
        let started = Instant::now();
        self.control.call(&["keys", "withdraw", "pharmacies-1"])?;
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
        self.report.note(
            "a withdrawn key stops working everywhere within 3 s",
            format!("in force after {elapsed:.2?}, refused by {refused} entries, ran {runs} times"),
            elapsed < IN_FORCE_TARGET && refused == addresses.len() && runs == 0,
        );
        Ok(())
    }

    async fn kill_leader(&mut self, key: &str) -> Result<()> {
        let leader = self.cluster.leader().await?;
        self.cluster.kill(&leader)?;
        let started = Instant::now();
        let outcomes = self.send(key, REQUESTS).await;
        let object = "vm/vm-1";
        let label = ["label", object, "noted=yes", "--wait", "in-force"];
        self.control.call(&label)?;
        let elapsed = started.elapsed();
        let completed = count(&outcomes, RequestOutcome::Completed);
        let unknown = count(&outcomes, RequestOutcome::Unknown);
        let refused = REQUESTS - completed - unknown;
        self.report.note(
            "the loss of the leading replica loses no accepted change and no answer",
            format!(
                "{completed} completed, {refused} refused as not run (those sent to the killed \
                 entry), {unknown} unknown; a change is in force {elapsed:.2?} after the kill"
            ),
            unknown == 0 && completed >= REQUESTS / 2,
        );
        self.cluster.spawn(&leader)?;
        self.cluster.wait_healthy(&leader).await?;
        Ok(())
    }

    async fn take_data_centre_out_and_back(&mut self, key: &str) -> Result<()> {
        let out = ["label", "data-centre/dc-1", "service=out", "--wait", "in-force"];
        let started = Instant::now();
        self.control.call(&out)?;
        let elapsed = started.elapsed();
        let before = self.runs_in("dc-1").await?;
        let outcomes = self.send(key, REQUESTS).await;
        let during = self.runs_in("dc-1").await? - before;
        let completed = count(&outcomes, RequestOutcome::Completed);
        self.report.note(
            "no task starts in a data centre taken out, and work goes on elsewhere",
            format!("in force after {elapsed:.2?}; {during} started there, {completed} completed"),
            during == 0 && completed == REQUESTS && elapsed < IN_FORCE_TARGET,
        );
        self.control.call(&["label", "data-centre/dc-1", "service=in", "--wait", "in-force"])?;
        sleep(SETTLE).await;
        self.send(key, REQUESTS).await;
        let after = self.runs_in("dc-1").await? - before - during;
        self.report.note(
            "a data centre brought back takes work again",
            format!("{after} tasks started there"),
            after > 0,
        );
        Ok(())
    }

    async fn check_limit(&mut self) -> Result<()> {
        let runs = self.runs().await?;
        let of_team = runs.into_values().flatten();
        let of_team: Vec<_> = of_team.filter(|run| run.team.as_deref() == Some("bakers")).collect();
        let most = max_concurrency(&of_team);
        self.report.note(
            "no team has more running across the fleet than its upper limit",
            format!("bakers had at most {most} of {BAKERS_LIMIT} running at once"),
            most <= BAKERS_LIMIT,
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

fn count(outcomes: &[(RequestOutcome, bool)], wanted: RequestOutcome) -> usize {
    outcomes.iter().filter(|(outcome, _)| *outcome == wanted).count()
}
