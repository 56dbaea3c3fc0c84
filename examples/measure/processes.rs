//! Measures the cost of daemon processes on loopback.

use crate::Result;
use crate::report::{Report, Series, format_figure};
use goldcrestring::request::RequestOutcome;
use goldcrestring_fakes::caller::outcome_of;
use goldcrestring_fakes::cluster::{Cluster, ClusterSettings, Deployment, vm};
use goldcrestring_wire::client::{Client, Reuse};
use goldcrestring_wire::header;
use goldcrestring_wire::http::{HttpRequest, Method};
use goldcrestring_wire::runtime::{sleep, spawn};
use hdrhistogram::Histogram;
use smol::Task;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The latencies of one task in microseconds, or its error.
type Latencies = std::result::Result<Vec<u64>, String>;

const IDLE_PERIOD: Duration = Duration::from_secs(8);
const CHANGE_COUNT: usize = 200;
const REQUEST_COUNT: usize = 3_000;
const CALLER_COUNT: usize = 8;

/// Measures every figure that requires daemon processes.
pub(crate) fn measure(report: &mut Report) -> Result<()> {
    report.begin("processes");
    let daemon = build_daemon()?;
    goldcrestring_wire::runtime::start(3)?;
    smol::block_on(async {
        measure_idle(report, &daemon).await?;
        measure_commits(report, &daemon).await?;
        measure_requests(report, &daemon).await
    })
}

fn build_daemon() -> Result<PathBuf> {
    let mut command = Command::new(env!("CARGO"));
    command.args(["build", "--release", "--quiet", "--package", "goldcrestringd"]);
    if !command.current_dir(env!("CARGO_MANIFEST_DIR")).status()?.success() {
        return Err("the daemon can't be built".into());
    }
    let example = std::env::current_exe()?;
    let target = example.ancestors().nth(3).ok_or("the target folder can't be determined")?;
    Ok(target.join("release").join("goldcrestringd"))
}

/// Measures CPU time, memory and peer traffic of idle processes by the number of processes.
async fn measure_idle(report: &mut Report, daemon: &PathBuf) -> Result<()> {
    let mut leader_bytes = Vec::new();
    let mut leader_cpu_percent = Vec::new();
    let mut rows = Vec::new();
    for nodes in [3, 5, 8, 12, 17_usize] {
        report.progress(&format!("{nodes} idle processes"));
        let mut settings = ClusterSettings::new(daemon);
        settings.voters = nodes.min(5);
        settings.entries = nodes - settings.voters;
        settings.has_links = true;
        let cluster = Cluster::start(settings).await?;
        cluster.put(vec![vm("vm-1", "pool", "dc-1")]).await?;
        sleep(Duration::from_secs(3)).await;
        let leader = cluster.leader().await?;
        let last = cluster.nodes.keys().next_back().cloned().unwrap_or_default();
        let other = if last == leader { "entry-1".to_owned() } else { last };
        let before = [usage(&cluster, &leader)?, usage(&cluster, &other)?];
        sleep(IDLE_PERIOD).await;
        let after = [usage(&cluster, &leader)?, usage(&cluster, &other)?];
        for (role, before, after) in
            [("leader", &before[0], &after[0]), ("entry", &before[1], &after[1])]
        {
            let seconds = IDLE_PERIOD.as_secs_f64();
            let cpu_percent = (after.cpu_time - before.cpu_time).as_secs_f64() / seconds * 100.0;
            let peer_kilobytes_per_s =
                (after.peer_bytes - before.peer_bytes) as f64 / seconds / 1e3;
            if role == "leader" {
                leader_bytes.push((nodes as f64, peer_kilobytes_per_s));
                leader_cpu_percent.push((nodes as f64, cpu_percent));
            }
            rows.push(vec![
                nodes.to_string(),
                role.to_owned(),
                format_figure(cpu_percent),
                format_figure(after.resident_bytes / 1e6),
                format_figure(peer_kilobytes_per_s),
            ]);
        }
    }
    let heading = ["processes", "role", "processor, % of a core", "memory, MB", "kB/s with peers"];
    report.table("idle", &heading, &rows);
    for (name, cost_unit, points) in [
        ("leader-idle-bytes", "kB/s", leader_bytes),
        ("leader-idle-processor", "% of a core", leader_cpu_percent),
    ] {
        let (size_unit, target_size) = ("processes", 17.0);
        report.series(&Series { name, size_unit, cost_unit, target_size, points })?;
    }
    Ok(())
}

struct Usage {
    cpu_time: Duration,
    resident_bytes: f64,
    peer_bytes: u64,
}

fn usage(cluster: &Cluster, name: &str) -> Result<Usage> {
    let id = cluster.process_id(name).ok_or("the process is not running")?;
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks: u64 = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
    let statm = std::fs::read_to_string(format!("/proc/{id}/statm"))?;
    let pages: f64 = statm.split(' ').nth(1).unwrap_or("0").parse()?;
    Ok(Usage {
        cpu_time: Duration::from_millis(ticks * 10),
        resident_bytes: pages * 4_096.0,
        peer_bytes: cluster.peer_bytes(name),
    })
}

/// Measures the latency and rate of commits, and the time until a change is in force.
async fn measure_commits(report: &mut Report, daemon: &PathBuf) -> Result<()> {
    let mut rows = Vec::new();
    for voters in [3, 5] {
        let mut settings = ClusterSettings::new(daemon);
        settings.voters = voters;
        settings.entries = 8 - voters;
        let cluster = Arc::new(Cluster::start(settings).await?);
        for operators in [1, 8, 64, 256_usize] {
            report.progress(&format!("commits of {operators} operators on {voters} replicas"));
            let (latency, rate) = commit_many(&cluster, operators).await?;
            rows.push(vec![
                voters.to_string(),
                operators.to_string(),
                format_figure(rate),
                quantile_ms(&latency, 0.5),
                quantile_ms(&latency, 0.99),
            ]);
        }
        let mut times = Histogram::<u64>::new(3)?;
        for number in 0..30 {
            let started = Instant::now();
            let revision = cluster.label("vm/vm-0", "round", &number.to_string()).await?;
            while cluster.status("entry-7").await?["in_force"].as_u64() < Some(revision.get()) {
                sleep(Duration::from_millis(1)).await;
            }
            times.record(elapsed_us(started))?;
        }
        rows.push(vec![
            voters.to_string(),
            "in force on 8 processes".to_owned(),
            String::new(),
            quantile_ms(&times, 0.5),
            quantile_ms(&times, 0.99),
        ]);
    }
    let heading = ["replicas", "operators at once", "commits/s", "p50 ms", "p99 ms"];
    report.table("commits", &heading, &rows);
    Ok(())
}

async fn commit_many(cluster: &Arc<Cluster>, operators: usize) -> Result<(Histogram<u64>, f64)> {
    let started = Instant::now();
    let each = (CHANGE_COUNT * 4 / operators).clamp(8, CHANGE_COUNT);
    let mut tasks = Vec::new();
    for operator in 0..operators {
        let cluster = Arc::clone(cluster);
        tasks.push(spawn(async move {
            let mut times = Vec::new();
            for _ in 0..each {
                let started = Instant::now();
                let name = format!("vm-{operator}");
                let accepted = cluster.put(vec![vm(&name, "pool", "dc-1")]).await;
                accepted.map_err(|error| error.to_string())?;
                times.push(elapsed_us(started));
            }
            Ok::<_, String>(times)
        }));
    }
    let latency = collect_latencies(tasks).await?;
    let rate = (operators * each) as f64 / started.elapsed().as_secs_f64();
    Ok((latency, rate))
}

/// Compares requests through an entry with requests sent directly to a fake backend server.
async fn measure_requests(report: &mut Report, daemon: &PathBuf) -> Result<()> {
    report.progress("requests through an entry");
    let mut settings = ClusterSettings::new(daemon);
    settings.entries = 1;
    let cluster = Cluster::start(settings).await?;
    let deployment = Deployment::start(&cluster, 3, 64, Duration::ZERO, 1_000).await?;
    // Waits for the end of the slow start of backend servers (10 s).
    sleep(Duration::from_secs(11)).await;
    let entry = cluster.address("entry-4");
    let mut rows = Vec::new();
    for callers in [1, CALLER_COUNT] {
        let direct = send_many(callers, Target::Direct(deployment.servers[0].address())).await?;
        for queue in ["previews", "orders"] {
            let key = deployment.bakers.clone();
            let via_entry = send_many(callers, Target::Entry { entry, queue, key }).await?;
            let added = |quantile: f64| {
                let via_entry = via_entry.0.value_at_quantile(quantile) as f64;
                format_figure((via_entry - direct.0.value_at_quantile(quantile) as f64) / 1e3)
            };
            rows.push(vec![
                queue.to_owned(),
                callers.to_string(),
                format_figure(direct.1),
                format_figure(via_entry.1),
                added(0.5),
                added(0.99),
            ]);
        }
    }
    let heading = [
        "queue",
        "callers",
        "requests/s direct",
        "requests/s through the entry",
        "added p50 ms",
        "added p99 ms",
    ];
    report.table("requests", &heading, &rows);
    Ok(())
}

#[derive(Clone)]
enum Target {
    Direct(SocketAddr),
    Entry { entry: SocketAddr, queue: &'static str, key: String },
}

async fn send_many(callers: usize, target: Target) -> Result<(Histogram<u64>, f64)> {
    let started = Instant::now();
    let mut tasks = Vec::new();
    for _ in 0..callers {
        let target = target.clone();
        tasks.push(spawn(async move {
            let client = Client::default();
            let mut times = Vec::new();
            for _ in 0..REQUEST_COUNT / callers {
                let started = Instant::now();
                send(&client, &target).await?;
                times.push(elapsed_us(started));
            }
            Ok::<_, String>(times)
        }));
    }
    let latency = collect_latencies(tasks).await?;
    let rate = (REQUEST_COUNT / callers * callers) as f64 / started.elapsed().as_secs_f64();
    Ok((latency, rate))
}

async fn send(client: &Client, target: &Target) -> std::result::Result<(), String> {
    let request_timeout = Duration::from_secs(5);
    let (address, request) = match target {
        Target::Direct(address) => (*address, HttpRequest::new(Method::Get, "/fake/ping")),
        Target::Entry { entry, queue, key } => {
            let path = format!("/v1/queues/{queue}/requests");
            (*entry, HttpRequest::new(Method::Post, path).bearer(key).body("body"))
        }
    };
    let response = client.call(address, request, request_timeout, Reuse::Allowed).await;
    match (target, outcome_of(&response)) {
        (Target::Direct(_), _) | (_, RequestOutcome::Completed) => Ok(()),
        (_, outcome) => {
            let reason =
                response.ok().and_then(|response| response.headers.get(header::REASON).cloned());
            Err(format!("{outcome}: {reason:?}"))
        }
    }
}

/// Collects the latencies of all tasks, in microseconds.
async fn collect_latencies(tasks: Vec<Task<Latencies>>) -> Result<Histogram<u64>> {
    let mut latency = Histogram::new(3)?;
    for task in tasks {
        for time in task.await? {
            latency.record(time)?;
        }
    }
    Ok(latency)
}

fn elapsed_us(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX)
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> String {
    format_figure(histogram.value_at_quantile(quantile) as f64 / 1e3)
}
