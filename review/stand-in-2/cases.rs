//! The cases.

use crate::Verdict;
use crate::fleet::{Extra, Fleet};
use crate::http;
use crate::platform::Platform;
use crate::record::Record;
use crate::worker::{About, Worker, job_of};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// The service whose machines are off.
const SPARE: &str = "spare";

const HOST: &str = "shop.example";
const KEY: &str = "key-of-the-bakers";
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Bounds of the small site.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const IDLE: Duration = Duration::from_millis(3_000);

/// A route: its name, prefix, service and timeout.
type Route<'a> = (&'a str, &'a str, &'a str, u64);

fn config(version: u64, routes: &[Route<'_>], services: &[&str]) -> String {
    let routes = routes.iter().map(|(name, prefix, service, timeout_ms)| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\
             \"kind\":\"non_idempotent\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":600,\
             \"priority\":0,\"service\":\"{service}\",\"max_attempts\":4,\"stretch\":1.6,\"public\":false}}"
        )
    });
    let routes: Vec<_> = routes.collect();
    let services = services.iter().map(|service| {
        format!(
            "{{\"name\":\"{service}\",\"health_path\":\"/healthz\",\"max_conns\":64,\
             \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\
             \"enforces_capacity\":true,\"standby\":{}}}",
            *service == SPARE
        )
    });
    let services: Vec<_> = services.collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"bakers\",\"api_keys\":[\"{KEY}\"],\
         \"priority\":1,\"weight\":10,\"cap\":{{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// Sends a configuration until it is acknowledged.
fn replace(fleet: &Fleet, record: &Record, version: u64, body: &str) -> bool {
    let shown: String = body.chars().take(600).collect();
    record.line(&format!("operator sends version {version}, {} bytes: {shown}", body.len()));
    let answer = fleet.operate("POST", "/api/Config.Replace", body, 15);
    let status = answer.map(|(status, _)| status);
    record.line(&format!("version {version} answered: {status:?}"));
    status == Some(200)
}

fn client(front: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<(u16, String)> {
    let headers = [("Host", HOST), ("Api-Key", KEY), ("X-Goldcrestring-Timeout-Ms", "3000")];
    http::call(front, method, path, &headers, body, CALL_TIMEOUT)
}

/// The body of a job of one step.
fn job(work_ms: u64, count: u64, cpu: u64, more: &str) -> String {
    format!(
        "{{\"spec\":\"{work_ms} ms\",\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\"mem_mb\":64,\
         \"estimate_ms\":{work_ms}}}]{more}}}"
    )
}

fn worker(
    fleet: &Fleet,
    record: &Arc<Record>,
    number: usize,
    service: &str,
    cpu: u64,
) -> io::Result<Arc<Worker>> {
    let zone = ["southeast-a", "southeast-b", "southeast-c"][number % 3];
    let about = About {
        id: format!("i-{number:08x}"),
        service: service.to_owned(),
        zone: zone.to_owned(),
        machine: format!("m-{number:05x}"),
        cpu,
        control: fleet.control.clone(),
    };
    Worker::start(about, record)
}

/// Submits a job until it runs to its end, which shows that the deployment serves.
fn is_serving(fleet: &Fleet, record: &Record, prefix: &str) -> bool {
    let deadline = Instant::now() + Duration::from_secs(15);
    let path = format!("{prefix}{:016x}", 0xa000 + prefix.len());
    let body = job(50, 1, 500, "");
    while Instant::now() < deadline {
        let _ = client(fleet.fronts[0], "POST", &path, &body);
        let states = fleet.fronts.iter().map(|front| client(*front, "GET", &path, ""));
        let is_completed =
            |(status, text): (u16, String)| status == 200 && text.contains("completed");
        if states.into_iter().all(|state| state.is_ok_and(is_completed)) {
            record.line("the deployment serves");
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// A job scheduled each minute for some years.
pub fn large_job(record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let fleet = Fleet::start(record, &Extra::default())?;
    let _workers = (1..=3)
        .map(|number| worker(&fleet, record, number, "studio", 64_000))
        .collect::<io::Result<Vec<_>>>()?;
    let routes = [("r-plans", "/plans/", "studio", 3_000)];
    if !replace(&fleet, record, 1, &config(1, &routes, &["studio"]))
        || !is_serving(&fleet, record, "/plans/")
    {
        return Ok(Verdict::NotRun);
    }
    // Ordinary jobs before, which are asked for at the end.
    let ids: Vec<_> = (0..20).map(|number| format!("{:016x}", 0xb000 + number)).collect();
    for id in &ids {
        let answer =
            client(fleet.fronts[1], "POST", &format!("/plans/{id}"), &job(200, 2, 500, ""));
        record.line(&format!("POST {id}: {answer:?}"));
    }
    thread::sleep(Duration::from_secs(2));
    let times = if has_trouble { 3 * 365 * 24 * 60 } else { 60 };
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let more = format!(
        ",\"times\":{times},\"start_at_ms\":{},\"interval_ms\":60000",
        now.as_millis() + 60_000
    );
    let body = job(200, 1, 500, &more);
    record.say(&format!("client sends a job with {times} occurrences: {body}"));
    let answer = client(fleet.fronts[0], "POST", "/plans/000000000000cafe", &body);
    record.say(&format!("answer: {answer:?}"));
    thread::sleep(Duration::from_secs(30));
    let mut unanswered = 0;
    for id in &ids {
        let answer = client(fleet.fronts[1], "GET", &format!("/plans/{id}"), "");
        let is_known = matches!(&answer, Ok((200, _)));
        unanswered += usize::from(!is_known);
        record.line(&format!("GET {id}: {answer:?}"));
    }
    record.say(&format!("{unanswered} of {} earlier jobs are not shown 30 s later", ids.len()));
    let ends = fleet.core_ends();
    for (name, ends, peak_mb) in &ends {
        record.say(&format!(
            "{name}: ended {ends} times without a disruption, {peak_mb} MB at its peak"
        ));
    }
    let often = ends.iter().filter(|(_, ends, _)| *ends >= 3).count();
    // "on half of the core, processes end by themselves three times in the day"
    Ok(if often * 2 >= ends.len() { Verdict::Broken } else { Verdict::Held })
}

/// Routes are dropped while their clients hand jobs in.
pub fn dropped_route(record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    const STORMS: usize = 4;
    /// The changes of one `config_storm` of the site: 4 s, one each 0.33 s.
    const CHANGES: usize = 12;
    const GAP: Duration = Duration::from_millis(330);
    const PAUSE: Duration = Duration::from_secs(2);
    const CLIENTS: usize = 24;
    let fleet = Fleet::start(record, &Extra::default())?;
    let workers = (1..=4)
        .map(|number| worker(&fleet, record, number, "studio", 64_000))
        .collect::<io::Result<Vec<_>>>()?;
    let names: Vec<_> = (0..STORMS * CHANGES).map(|number| format!("r-{number}")).collect();
    let prefixes: Vec<_> =
        (0..STORMS * CHANGES).map(|number| format!("/season{number}/")).collect();
    let plan = |version: usize, dropped: usize, timeout_ms: u64| {
        let mut routes: Vec<Route<'_>> = vec![("r-plans", "/plans/", "studio", timeout_ms)];
        let kept = names.iter().zip(&prefixes).skip(dropped);
        routes.extend(kept.map(|(name, prefix)| (&**name, &**prefix, "studio", timeout_ms)));
        config(version as u64, &routes, &["studio"])
    };
    if !replace(&fleet, record, 1, &plan(1, 0, 3_000)) || !is_serving(&fleet, record, "/plans/") {
        return Ok(Verdict::NotRun);
    }
    record.keep_by_job();
    let is_over = Arc::new(AtomicBool::new(false));
    let storm = Arc::new(AtomicUsize::new(0));
    let accepted = Arc::new(Mutex::new(BTreeMap::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (is_over, storm) = (Arc::clone(&is_over), Arc::clone(&storm));
            let (accepted, record) = (Arc::clone(&accepted), Arc::clone(record));
            let (front, prefixes) = (fleet.fronts[number % 2], prefixes.clone());
            thread::spawn(move || {
                let body = job(100, 1, 500, "");
                for serial in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let at = storm.load(Ordering::Relaxed) * CHANGES + number / 2;
                    let id = format!("{:08x}{serial:08x}", number + 1);
                    let path = format!("{}{id}", prefixes[at]);
                    let answer = client(front, "POST", &path, &body);
                    let status = answer.map(|(status, _)| status);
                    record.line_of(&id, &format!("POST {path}: {status:?}"));
                    if matches!(status, Ok(200..300)) {
                        let mut accepted = accepted.lock().unwrap_or_else(PoisonError::into_inner);
                        accepted.insert(id, (Instant::now(), at));
                    }
                    thread::sleep(Duration::from_millis(15));
                }
            })
        })
        .collect();
    for number in 0..STORMS {
        storm.store(number, Ordering::Relaxed);
        thread::sleep(PAUSE);
        for change in number * CHANGES + 1..=(number + 1) * CHANGES {
            let (dropped, timeout_ms) =
                if has_trouble { (change, 3_000) } else { (0, 3_000 + change as u64) };
            let version = change + 1;
            if !replace(&fleet, record, version as u64, &plan(version, dropped, timeout_ms)) {
                return Ok(Verdict::NotRun);
            }
            thread::sleep(GAP);
        }
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    record.say("the clients have stopped; all that runs may end");
    thread::sleep(IDLE + IDLE + CONFIG_APPLY);
    let running: usize = workers.iter().map(|worker| worker.running().len()).sum();
    let started: BTreeSet<String> = workers
        .iter()
        .flat_map(|worker| worker.starts())
        .map(|task| job_of(&task).to_owned())
        .collect();
    let accepted = accepted.lock().unwrap_or_else(PoisonError::into_inner);
    let never: Vec<_> = accepted.keys().filter(|id| !started.contains(*id)).collect();
    for id in &never {
        let age = accepted[*id].0.elapsed().as_secs_f64();
        record.say(&format!("job {id}: accepted {age:.1} s ago, no task of it has ever started"));
    }
    // The last jobs of each route are shown as well, to compare.
    let mut last: BTreeMap<usize, Vec<_>> = BTreeMap::new();
    for (id, (at, route)) in accepted.iter() {
        let known = last.entry(*route).or_default();
        known.push((*at, id));
        known.sort_unstable_by(|one, other| other.cmp(one));
        known.truncate(3);
    }
    let last: BTreeSet<_> = last.values().flatten().map(|(_, id)| *id).collect();
    let others = record.write_jobs(|id| {
        let id = id.to_owned();
        never.contains(&&id) || last.contains(&id)
    });
    record.line(&format!(
        "{others} more jobs were sent: {} were accepted, and all of these started",
        accepted.len()
            - accepted.keys().filter(|id| never.contains(id) || last.contains(id)).count()
    ));
    record.say(&format!(
        "{} jobs accepted, {} of them never started; {running} tasks run on 4 workers of 64 cores",
        accepted.len(),
        never.len()
    ));
    Ok(if never.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Tasks that last end by themselves.
pub fn lasting_task(record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    /// The time from the last run of a task that lasts from which its turn counts as come.
    const AFTER_RUN: Duration = Duration::from_millis(6_000);
    const TASKS: usize = 3;
    let fleet = Fleet::start(record, &Extra::default())?;
    let workers = (1..=3)
        .map(|number| worker(&fleet, record, number, "studio", 64_000))
        .collect::<io::Result<Vec<_>>>()?;
    let before = config(1, &[("r-plans", "/plans/", "studio", 3_000)], &["studio"]);
    if !replace(&fleet, record, 1, &before) || !is_serving(&fleet, record, "/plans/") {
        return Ok(Verdict::NotRun);
    }
    let how = if has_trouble { "done" } else { "failed" };
    let path = "/plans/000000000000f001";
    let body = format!(
        "{{\"spec\":\"lasts {how} 2000\",\"steps\":[{{\"count\":{TASKS},\"cpu\":500,\"mem_mb\":64,\
         \"estimate_ms\":700,\"long_running\":true}}]}}"
    );
    record.say(&format!("client sends {path}: {body}"));
    let answer = client(fleet.fronts[0], "POST", path, &body);
    record.say(&format!("answer: {answer:?}"));
    if !matches!(answer, Ok((200..300, _))) {
        return Ok(Verdict::NotRun);
    }
    thread::sleep(Duration::from_secs(1));
    let running = || workers.iter().flat_map(|worker| worker.running()).collect::<BTreeSet<_>>();
    let at_work = running();
    if at_work.len() != TASKS {
        return Ok(Verdict::NotRun);
    }
    // The first runs end a second from now.
    thread::sleep(Duration::from_millis(1_500) + AFTER_RUN);
    let mut idle = at_work.clone();
    let until = Instant::now() + IDLE;
    while Instant::now() < until {
        let running = running();
        idle.retain(|task| !running.contains(task));
        thread::sleep(Duration::from_millis(20));
    }
    let state = client(fleet.fronts[1], "GET", path, "");
    record.say(&format!("GET {path}, which nobody has cancelled: {state:?}"));
    record.say(&format!(
        "{} of {TASKS} tasks that last had nothing running for 3 s, from 6 s after their runs ended {how}",
        idle.len()
    ));
    Ok(if idle.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// The platform's list of machines has an entry of another writer.
pub fn foreign_entry(record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    const TASKS: usize = 5;
    let platform = Platform::start(record, SPARE, has_trouble)?;
    let fleet = Fleet::start(record, &Extra { machines: Some(platform.address()) })?;
    platform.add_workers(9, "studio", 64_000, &fleet.control)?;
    let before = config(1, &[("r-plans", "/plans/", "studio", 3_000)], &["studio", SPARE]);
    if !replace(&fleet, record, 1, &before) || !is_serving(&fleet, record, "/plans/") {
        return Ok(Verdict::NotRun);
    }
    let deadline = Instant::now() + Duration::from_secs(30);
    while platform.workers().len() > 3 {
        if Instant::now() > deadline {
            return Ok(Verdict::NotRun);
        }
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(4));
    record.say(&format!(
        "{} of 9 workers are left, the other machines are off",
        platform.workers().len()
    ));
    let path = "/plans/000000000000f001";
    let body = format!(
        "{{\"spec\":\"lasts\",\"steps\":[{{\"count\":{TASKS},\"cpu\":5300,\"mem_mb\":31000,\
         \"estimate_ms\":700,\"long_running\":true,\"max_per_server\":1}}]}}"
    );
    record.say(&format!("client sends {path}: {body}"));
    let answer = client(fleet.fronts[0], "POST", path, &body);
    record.say(&format!("answer: {answer:?}"));
    if !matches!(answer, Ok((200..300, _))) {
        return Ok(Verdict::NotRun);
    }
    thread::sleep(Duration::from_secs(20));
    let mut idle: BTreeSet<_> =
        (0..TASKS).map(|index| format!("000000000000f001.0.0.{index}")).collect();
    let until = Instant::now() + IDLE;
    while Instant::now() < until {
        for worker in platform.workers() {
            for task in worker.running() {
                idle.remove(&task);
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.say(&format!(
        "{} of {TASKS} tasks that last have had nothing running for 3 s, 20 s after their job was accepted; \
         {} of 9 machines have a worker",
        idle.len(),
        platform.workers().len()
    ));
    Ok(if idle.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// A worker leaves an order unanswered and is cut off, crashes and starts again behind the cut, and carries
/// the order out.
pub fn late_order(record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    const WORKERS: usize = 8;
    const JOBS: usize = 24;
    /// `for_s` of the site's cuts of workers.
    const CUT: Duration = Duration::from_millis(5_500);
    /// How long after the order it is carried out: `applied_late` says 2 to 12 s.
    const LATE: Duration = Duration::from_millis(4_500);
    let fleet = Fleet::start(record, &Extra::default())?;
    let workers = (1..=WORKERS)
        .map(|number| worker(&fleet, record, number, "studio", 64_000))
        .collect::<io::Result<Vec<_>>>()?;
    let before = config(1, &[("r-plans", "/plans/", "studio", 3_000)], &["studio"]);
    if !replace(&fleet, record, 1, &before) || !is_serving(&fleet, record, "/plans/") {
        return Ok(Verdict::NotRun);
    }
    thread::sleep(Duration::from_secs(2));
    let submit = |number: usize| {
        let path = format!("/plans/{:016x}", 0xc000 + number);
        let answer = client(fleet.fronts[number % 2], "POST", &path, &job(30_000, 1, 500, ""));
        record.line(&format!("POST {path}: {answer:?}"));
        thread::sleep(Duration::from_millis(50));
    };
    submit(0);
    thread::sleep(Duration::from_secs(1));
    // The worker that has got the first of these jobs gets the next ones as well.
    let Some(cut) = workers.iter().find(|worker| !worker.running().is_empty()) else {
        return Ok(Verdict::NotRun);
    };
    (1..JOBS - 1).for_each(submit);
    if has_trouble {
        cut.hold_back();
    }
    submit(JOBS - 1);
    let since = Instant::now();
    if has_trouble && !cut.has_held_back() {
        return Ok(Verdict::NotRun);
    }
    record.say(&format!(
        "{} with {} tasks is cut off and crashes",
        cut.about.id,
        cut.running().len()
    ));
    cut.cut_off();
    cut.end_life();
    thread::sleep(Duration::from_millis(1_500));
    let again = cut.start_again();
    let mut twice = BTreeMap::new();
    let (mut is_late, mut is_cut) = (true, true);
    while since.elapsed() < CUT + Duration::from_secs(6) {
        if is_late && since.elapsed() >= LATE {
            is_late = false;
            again.carry_out();
        }
        if is_cut && since.elapsed() >= CUT {
            is_cut = false;
            again.heal();
        }
        let here = again.running();
        let now = Instant::now();
        for other in workers.iter().filter(|other| other.about.id != again.about.id) {
            for task in other.running().into_iter().filter(|task| here.contains(task)) {
                twice.entry(task).or_insert((now, now)).1 = now;
            }
        }
        thread::sleep(Duration::from_millis(2));
    }
    for (task, (first, last)) in &twice {
        let for_ms = (*last - *first).as_millis();
        record.say(&format!("{task} is at work on two workers that are up, for {for_ms} ms"));
    }
    record.say(&format!("{} tasks at work twice", twice.len()));
    Ok(if twice.is_empty() { Verdict::Held } else { Verdict::Broken })
}
