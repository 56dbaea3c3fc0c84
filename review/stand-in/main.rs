//! Stand-ins of a client, an operator and workers, and the scripts of the cases.
//!
//! `case NAME RECORD` plays one case against the processes of the deploy file. It exits with 0 if the
//! rule held, 1 if it was broken, and 2 if the case could not run. With `TROUBLE=0` in the environment
//! the disruption is left out.

mod fleet;
mod http;
mod json;
mod record;
mod worker;

use fleet::Fleet;
use record::Record;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use worker::{Run, Runs, Worker};

const POOL: &str = "studio";

/// The most that a case may take.
const LIMIT: Duration = Duration::from_secs(110);

/// The time from a start of a worker to its first heartbeat, well under `heartbeat_ms`.
const FIRST_HEARTBEAT: Duration = Duration::from_millis(400);

/// Waits until a condition holds; whether it did in time.
pub fn wait(limit: Duration, mut is_met: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    loop {
        if is_met() {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// What a case needs.
struct Case {
    fleet: Fleet,
    record: Record,
    runs: Runs,
    has_trouble: bool,
}

/// The result of a case: whether the rule was broken; an error if it could not run.
type Outcome = Result<bool, &'static str>;

impl Case {
    fn worker(&self, id: &str, zone: &str) -> Arc<Worker> {
        Worker::new(id, zone, POOL, &self.fleet.control, &self.runs, &self.record)
    }

    fn configure(&self, version: u64) -> Result<(), &'static str> {
        self.configure_route(version, "r-1", 3_000)
    }

    /// Sends a configuration with one route, which has always the same place.
    fn configure_route(
        &self,
        version: u64,
        route: &str,
        timeout_ms: u64,
    ) -> Result<(), &'static str> {
        let body = format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"{route}\",\"host\":\"quotes.example\",\
             \"path_prefix\":\"/q/\",\"kind\":\"non_idempotent\",\"timeout_ms\":{timeout_ms},\
             \"target_latency_ms\":600,\"priority\":0,\"service\":\"{POOL}\",\"max_attempts\":3,\
             \"stretch\":1.6,\"public\":false}}],\"services\":[{{\"name\":\"{POOL}\",\
             \"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
             \"cold_start_s\":0.0,\"cold_per_s\":0.0,\"enforces_capacity\":true,\"standby\":false}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"bakers\",\
             \"api_keys\":[\"key-1\"],\"priority\":1,\"weight\":1,\
             \"cap\":{{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}}}]}}"
        );
        let is_acked = self.fleet.order("/api/Config.Replace", &body, 0);
        if is_acked { Ok(()) } else { Err("no configuration was acknowledged") }
    }

    /// Hands in a job; an error unless it is accepted.
    fn submit(&self, id: &str, spec: &str, steps: &str) -> Result<(), &'static str> {
        let body = format!("{{\"spec\":\"{spec}\",\"steps\":[{steps}]}}");
        match self.fleet.client("POST", &format!("/q/{id}"), &body) {
            Some((200, _)) => Ok(()),
            _ => Err("the job was not accepted"),
        }
    }

    fn all_runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no panic").clone()
    }

    /// Waits until `count` tasks run on a worker.
    fn runs_on(&self, worker: &Worker, count: usize, seconds: u64) -> bool {
        wait(Duration::from_secs(seconds), || worker.running().len() >= count)
    }

    /// A replica that doesn't lead and isn't among those given.
    fn follower(&self) -> Result<usize, &'static str> {
        let leader = self.fleet.leader().ok_or("no replica leads")?;
        self.record.line(&format!("replica {} leads", self.fleet.control[leader]));
        Ok((leader + 1) % self.fleet.control.len())
    }

    /// Rule TWICE: the longest time for which two runs of one task were at work at once.
    fn twice(&self) -> bool {
        let now = Instant::now();
        let runs = self.all_runs();
        let mut is_broken = false;
        for (at, one) in runs.iter().enumerate() {
            for other in &runs[at + 1..] {
                if one.task != other.task {
                    continue;
                }
                let end = |run: &Run| run.ended.map_or(now, |(at, _)| at);
                let from = one.started.max(other.started);
                let overlap = end(one).min(end(other)).saturating_duration_since(from);
                if overlap > Duration::from_millis(50) {
                    self.record.line(&format!(
                        "TWICE: {} ran for {} ms as attempt {} on {} and as attempt {} on {}",
                        one.task,
                        overlap.as_millis(),
                        one.attempt,
                        one.worker,
                        other.attempt,
                        other.worker
                    ));
                    is_broken = true;
                }
            }
        }
        is_broken
    }
}

/// A late `Deregister` of a worker's former life is taken for the life that runs now.
fn stale_deregister(case: &Case) -> Outcome {
    case.configure(1)?;
    let workers: Vec<_> = ["i-a1", "i-b2", "i-c3"].iter().map(|id| case.worker(id, "z-a")).collect();
    let follower = case.follower()?;
    for worker in &workers {
        worker.prefer(follower + 1);
        worker.start(&["a", "r1-1"], Duration::ZERO);
    }
    pause(3_000);
    let restarted = &workers[0];
    let node = case.fleet.control[follower];
    let next = case.fleet.control[(follower + 1) % case.fleet.control.len()];
    // Planned work: the worker drains, serves on, says that it leaves, ends, and starts again.
    if !restarted.drain() {
        return Err("the draining was not acknowledged");
    }
    pause(2_300);
    let frozen_at = Instant::now();
    if case.has_trouble {
        case.fleet.freeze(follower);
    }
    if !restarted.deregister(node) && !restarted.deregister(next) {
        case.record.line("Deregister was not acknowledged");
    }
    restarted.end("left");
    pause(300);
    restarted.prefer(follower + 1);
    restarted.start(&["a", "r1-1"], Duration::ZERO);
    // Each worker has room for one task.
    let step = "{\"count\":3,\"cpu\":5000,\"mem_mb\":1024,\"estimate_ms\":60000,\"long_running\":true}";
    case.submit("00000000000000a1", "lasts", step)?;
    for worker in &workers {
        if !case.runs_on(worker, 1, 8) {
            return Err("a worker has no task");
        }
    }
    // Room for one task more.
    let spare = case.worker("i-d4", "z-a");
    spare.prefer(follower + 1);
    spare.start(&["a", "r1-1"], Duration::ZERO);
    pause(500);
    if case.has_trouble {
        wait(Duration::from_millis(4_500).saturating_sub(frozen_at.elapsed()), || false);
        case.record.line(&format!("frozen for {} ms", frozen_at.elapsed().as_millis()));
        case.fleet.thaw(follower);
    }
    pause(8_000);
    Ok(case.twice())
}

/// A worker whose `Deregister` gets no acknowledgement runs on for a while, and what runs on it is
/// started elsewhere meanwhile.
fn unanswered_deregister(case: &Case) -> Outcome {
    case.configure(1)?;
    let ids: Vec<_> = (1..=8).map(|number| format!("i-a{number}")).collect();
    let workers: Vec<_> = ids.iter().map(|id| case.worker(id, "z-a")).collect();
    let leaving = &workers[0];
    leaving.start(&["a", "r1-1"], Duration::ZERO);
    pause(2_500);
    let step = "{\"count\":1,\"cpu\":5000,\"mem_mb\":1024,\"estimate_ms\":60000,\"long_running\":true}";
    case.submit("00000000000000b1", "lasts", step)?;
    if !case.runs_on(leaving, 1, 10) {
        return Err("the task doesn't run");
    }
    for other in &workers[1..] {
        other.start(&["a", "r1-1"], Duration::ZERO);
    }
    pause(2_500);
    if !leaving.drain() {
        return Err("the draining was not acknowledged");
    }
    pause(2_300);
    let node = case.fleet.control[case.follower()?];
    if case.has_trouble {
        // Packets pass one way only: nothing reaches the worker, what it sends arrives.
        leaving.set_deaf(true);
        let id = leaving.id.clone();
        case.record.line(&format!("worker {id} sends Deregister to {node}; no answer reaches it"));
        let path = format!("/api/Instances.Deregister/{id}");
        let _ = http::call(node, "POST", &path, &[], "", Duration::from_secs(1));
        pause(3_000);
        leaving.end("left without an acknowledgement");
    } else {
        let _ = leaving.deregister(node);
        leaving.end("left");
    }
    pause(5_000);
    Ok(case.twice())
}

/// The only worker with a label crashes while it drains, starts again under its id, and gets no work
/// any more.
fn reborn_draining(case: &Case) -> Outcome {
    case.configure(1)?;
    let ids: Vec<_> = (1..=8).map(|number| format!("i-a{number}")).collect();
    let workers: Vec<_> = ids.iter().map(|id| case.worker(id, "z-a")).collect();
    let restarted = &workers[0];
    restarted.start(&["a", "big", "r1-1"], Duration::ZERO);
    for worker in &workers[1..] {
        worker.start(&["a", "r1-1"], Duration::ZERO);
    }
    pause(3_000);
    // Planned work: the worker drains, ends and starts again.
    if !restarted.drain() {
        return Err("the draining was not acknowledged");
    }
    if case.has_trouble {
        pause(1_000);
        restarted.end("crash");
    } else {
        pause(2_300);
        let _ = restarted.deregister(case.fleet.control[0]);
        restarted.end("left");
    }
    pause(1_500);
    restarted.start(&["a", "big", "r1-1"], FIRST_HEARTBEAT);
    // Longer than `contact_ms` and `catch_up_s` after the crash.
    pause(8_000);
    let step = "{\"count\":2,\"cpu\":1000,\"mem_mb\":1024,\"estimate_ms\":1000,\"required_label\":\"big\"}";
    case.submit("00000000000000c1", "1000", step)?;
    // `finish_s` after the end of the traffic.
    let has_ended = wait(Duration::from_secs(14), || {
        case.all_runs().iter().filter(|run| matches!(run.ended, Some((_, "done")))).count() >= 2
    });
    let _ = case.fleet.client("GET", "/q/00000000000000c1", "");
    if !has_ended {
        let runs = case.all_runs().len();
        case.record.line(&format!(
            "LOST: 14 s after the job was accepted it has had {runs} runs, while {} is ready, answers and is empty",
            restarted.id
        ));
    }
    Ok(!has_ended)
}

/// A worker that starts again as another kind gets a task that needs a label of its former life.
fn reborn_other_kind(case: &Case) -> Outcome {
    case.configure(1)?;
    let ids: Vec<_> = (1..=8).map(|number| format!("i-a{number}")).collect();
    let workers: Vec<_> = ids.iter().map(|id| case.worker(id, "z-a")).collect();
    let changed = &workers[0];
    changed.start(&["a", "r1-1"], Duration::ZERO);
    for worker in &workers[1..] {
        worker.start(&["b", "r1-1"], Duration::ZERO);
    }
    pause(3_000);
    let step = "{\"count\":1,\"cpu\":5000,\"mem_mb\":1024,\"estimate_ms\":60000,\"required_label\":\"a\",\"long_running\":true}";
    case.submit("00000000000000d1", "lasts", step)?;
    if !case.runs_on(changed, 1, 10) {
        return Err("the task doesn't run");
    }
    pause(2_000);
    if case.has_trouble {
        changed.end("crash");
        pause(1_500);
        changed.start(&["b", "r1-1"], FIRST_HEARTBEAT);
    }
    pause(8_000);
    let mut is_broken = false;
    for run in case.all_runs() {
        if !run.labels.iter().any(|label| label == "a") {
            case.record.line(&format!(
                "ROUTE: {} attempt {} needs label a and was started on {} (born {}) with {:?}",
                run.task, run.attempt, run.worker, run.born, run.labels
            ));
            is_broken = true;
        }
    }
    Ok(is_broken)
}

/// A heartbeat of another writer, for a service that no configuration names, takes the place of the
/// worker on the same machine.
fn foreign_heartbeat(case: &Case) -> Outcome {
    case.configure(1)?;
    let workers: Vec<_> = ["i-a1", "i-b2"].iter().map(|id| case.worker(id, "z-a")).collect();
    workers[0].start(&["a", "r1-1"], Duration::ZERO);
    pause(3_000);
    let step = "{\"count\":1,\"cpu\":5000,\"mem_mb\":1024,\"estimate_ms\":60000,\"long_running\":true}";
    case.submit("00000000000000f1", "lasts", step)?;
    if !case.runs_on(&workers[0], 1, 10) {
        return Err("the task doesn't run");
    }
    workers[1].start(&["a", "r1-1"], Duration::ZERO);
    pause(3_000);
    if case.has_trouble {
        let foreign = std::net::TcpListener::bind("127.0.0.1:0").map_err(|_| "no free port")?;
        let address = foreign.local_addr().map_err(|_| "no address")?;
        let born = worker::unix_ms();
        let body = format!(
            "{{\"service\":\"disk-watch\",\"address\":\"{address}\",\"zone\":\"z-a\",\"version\":\"v1\",\
             \"slots\":1,\"state\":\"ready\",\"cold_left_ms\":0,\
             \"capacity\":{{\"cpu\":100,\"mem_mb\":64,\"gpu\":0}},\"labels\":[],\"clock_ms\":10,\
             \"born\":{born},\"machine\":\"m-i-a1\",\"seq_no\":1}}"
        );
        let node = case.fleet.control[0];
        let path = "/api/Instances.Heartbeat/x-77";
        let answer = http::call(node, "POST", path, &[], &body, Duration::from_secs(1));
        case.record.line(&format!("another writer sends {path} {body}: {answer:?}"));
        pause(6_000);
        drop(foreign);
    } else {
        pause(6_000);
    }
    Ok(case.twice())
}

/// A withdrawal of an evacuation that a frozen replica had not read is carried out after the next
/// evacuation of the zone was acknowledged.
fn stale_evacuation_finish(case: &Case) -> Outcome {
    case.configure(1)?;
    let inside = case.worker("i-a1", "z-a");
    let outside = case.worker("i-b2", "z-b");
    inside.start(&["a", "r1-1"], Duration::ZERO);
    outside.start(&["a", "r1-2"], Duration::ZERO);
    pause(3_000);
    let follower = case.follower()?;
    let (start, finish) = ("/api/Evacuate.Start/z-a", "/api/Evacuate.Finish/z-a");
    if !case.fleet.order(start, "", follower) {
        return Err("the evacuation was not acknowledged");
    }
    pause(3_000);
    let frozen_at = Instant::now();
    if case.has_trouble {
        case.fleet.freeze(follower);
    }
    // The order goes to the frozen replica, gets no answer for a second, and is sent to the next one.
    if !case.fleet.order(finish, "", follower) {
        return Err("the withdrawal was not acknowledged");
    }
    pause(1_500);
    if !case.fleet.order(start, "", follower + 1) {
        return Err("the second evacuation was not acknowledged");
    }
    let acked_at = Instant::now();
    pause(1_000);
    if case.has_trouble {
        case.record.line(&format!("frozen for {} ms", frozen_at.elapsed().as_millis()));
        case.fleet.thaw(follower);
    }
    // `evacuate_ms` and `contact_ms` after the last event.
    pause(6_000);
    let step = "{\"count\":12,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":500}";
    case.submit("00000000000000e1", "500", step)?;
    pause(4_000);
    let bound = acked_at + Duration::from_millis(5_000);
    let mut is_broken = false;
    for run in case.all_runs().iter().filter(|run| run.zone == "z-a" && run.started > bound) {
        case.record.line(&format!(
            "EVAC: {} started on {} in z-a {} ms after the evacuation was acknowledged",
            run.task,
            run.worker,
            (run.started - acked_at).as_millis()
        ));
        is_broken = true;
    }
    Ok(is_broken)
}

/// A new version drops a route and adds another one at the same place; the jobs accepted there are said
/// not to exist.
fn replaced_route(case: &Case) -> Outcome {
    case.configure_route(1, "r-1", 3_000)?;
    let worker = case.worker("i-a1", "z-a");
    worker.start(&["a", "r1-1"], Duration::ZERO);
    pause(3_000);
    let step = "{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":60000,\"long_running\":true}";
    let path = "/q/00000000000000f2";
    case.submit("00000000000000f2", "lasts", step)?;
    if !case.runs_on(&worker, 1, 10) {
        return Err("the task doesn't run");
    }
    pause(3_500);
    match case.fleet.client("GET", path, "") {
        Some((200, _)) => {}
        _ => return Err("the job's state can't be read"),
    }
    let route = if case.has_trouble { "r-2" } else { "r-1" };
    case.configure_route(2, route, 2_900)?;
    // Longer than `config_apply_ms`.
    pause(4_000);
    let read = case.fleet.client("GET", path, "");
    // The request for the job, once more, seconds after its 2xx.
    case.submit("00000000000000f2", "lasts", step)?;
    pause(3_500);
    let read_again = case.fleet.client("GET", path, "");
    let is_gone = |answer: &Option<(u16, String)>| matches!(answer, Some((410, _)));
    let is_broken = is_gone(&read) || is_gone(&read_again);
    if is_broken {
        case.record.line(&format!(
            "LOST: the job is accepted, not cancelled, and running ({:?}), and a GET is answered 410",
            worker.running()
        ));
    }
    Ok(is_broken)
}

/// One job that can never be done, as its tasks are larger than any worker, keeps all others from the
/// whole pool.
fn hopeless_job(case: &Case) -> Outcome {
    case.configure(1)?;
    let ids: Vec<_> = (1..=4).map(|number| format!("i-a{number}")).collect();
    let workers: Vec<_> = ids.iter().map(|id| case.worker(id, "z-a")).collect();
    for worker in &workers {
        worker.start(&["a", "r1-1"], Duration::ZERO);
    }
    pause(3_000);
    if case.has_trouble {
        // Each worker has 8000.
        let step = "{\"count\":1,\"cpu\":9000,\"mem_mb\":1024,\"estimate_ms\":60000,\"long_running\":true}";
        case.submit("0000000000000bad", "lasts", &[step; 4].join(","))?;
    }
    let step = "{\"count\":2,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":500}";
    for number in 0..20 {
        case.submit(&format!("00000000000009{number:02}"), "500", step)?;
        pause(50);
    }
    // `finish_s` after the end of the traffic.
    let is_done = |run: &&Run| matches!(run.ended, Some((_, "done")));
    let has_ended =
        wait(Duration::from_secs(14), || case.all_runs().iter().filter(is_done).count() >= 40);
    let _ = case.fleet.client("GET", "/q/0000000000000900", "");
    if !has_ended {
        let runs = case.all_runs().len();
        case.record.line(&format!(
            "LOST: 14 s after the last of 20 jobs was accepted, {runs} of their 40 tasks have been started; \
             4 workers are ready, answer and run {} tasks",
            workers.iter().map(|worker| worker.running().len()).sum::<usize>()
        ));
    }
    Ok(!has_ended)
}

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, name, record] = arguments.as_slice() else {
        eprintln!("case NAME RECORD");
        std::process::exit(2);
    };
    let record = Record::create(Path::new(record));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    record.line(&format!("case {name}, trouble {has_trouble}"));
    let play = match name.as_str() {
        "stale-deregister" => stale_deregister,
        "unanswered-deregister" => unanswered_deregister,
        "reborn-draining" => reborn_draining,
        "reborn-other-kind" => reborn_other_kind,
        "replaced-route" => replaced_route,
        "hopeless-job" => hopeless_job,
        "foreign-heartbeat" => foreign_heartbeat,
        "stale-evacuation-finish" => stale_evacuation_finish,
        _ => {
            record.line("no such case");
            std::process::exit(2);
        }
    };
    let late = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LIMIT);
        late.line("the case took too long");
        // The processes end with this one.
        std::process::exit(2);
    });
    let runs = Arc::new(Mutex::new(Vec::new()));
    let mut case = Case { fleet: Fleet::start(&record), record: record.clone(), runs, has_trouble };
    let outcome = play(&case);
    case.fleet.end();
    let code = match outcome {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(problem) => {
            record.line(&format!("the case could not run: {problem}"));
            2
        }
    };
    record.line(&format!("exit {code}"));
    std::process::exit(code);
}

