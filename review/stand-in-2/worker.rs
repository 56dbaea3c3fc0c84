//! A worker of the platform, as its protocol describes it.
//!
//! The first word of a job's `spec` is the work of a task in milliseconds; a task without it lasts. With
//! `lasts HOW MS`, the first run of a task ends by itself in that way after that time, and later ones last.

use crate::http::{self, Request};
use crate::record::Record;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// `max_hold_ms` of the small site.
const MAX_HOLD_MS: u64 = 6_000;

/// How long the connection of an unanswered order stays open.
const SILENCE: Duration = Duration::from_millis(2_000);

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// What a worker says of itself.
#[derive(Clone)]
pub struct About {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub machine: String,
    pub cpu: u64,
    pub control: Vec<SocketAddr>,
}

struct Run {
    attempt: u64,
    /// When and how it ends by itself.
    own_end: Option<(Instant, &'static str)>,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    finished: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    /// The highest attempt of each task that was stopped or ended here.
    over: BTreeMap<String, u64>,
    /// The tasks that it has started, in order.
    starts: Vec<String>,
    /// The orders that were left unanswered.
    held_back: Vec<Request>,
}

/// The life of a worker that is reached at an address.
type AtAddress = Arc<Mutex<Option<Arc<Worker>>>>;

pub struct Worker {
    pub about: About,
    address: SocketAddr,
    at_address: AtAddress,
    born_ms: u128,
    started: Instant,
    state: Mutex<State>,
    /// Whether it has ended, with all that ran on it.
    is_gone: AtomicBool,
    /// Whether it is cut off.
    is_cut: AtomicBool,
    /// Whether it leaves the next start unanswered.
    holds_back: AtomicBool,
    record: Arc<Record>,
}

impl Worker {
    pub fn start(about: About, record: &Arc<Record>) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let at_address = Arc::new(Mutex::new(None));
        let worker = Self::new(about, address, &at_address, record);
        *at_address.lock().unwrap_or_else(PoisonError::into_inner) = Some(Arc::clone(&worker));
        worker.begin();
        http::serve(listener, move |request| {
            let worker = at_address.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let Some(worker): Option<Arc<Self>> = worker else {
                thread::sleep(SILENCE);
                return (http::NO_ANSWER, Vec::new());
            };
            let (status, answer) = worker.handle(&request);
            if worker.is_gone() {
                (http::NO_ANSWER, Vec::new())
            } else {
                (status, answer.into_bytes())
            }
        });
        Ok(worker)
    }

    /// Cuts the worker off: nothing reaches it, and nothing of it gets out.
    pub fn cut_off(&self) {
        *self.at_address.lock().unwrap_or_else(PoisonError::into_inner) = None;
        self.is_cut.store(true, Ordering::Relaxed);
        self.record.line(&format!("{} is cut off", self.about.id));
    }

    /// Lets everything through again.
    pub fn heal(self: &Arc<Self>) {
        *self.at_address.lock().unwrap_or_else(PoisonError::into_inner) = Some(Arc::clone(self));
        self.is_cut.store(false, Ordering::Relaxed);
        self.record.line(&format!("{} is no longer cut off", self.about.id));
    }

    /// Starts again under the same id and at the same address, still cut off.
    pub fn start_again(&self) -> Arc<Self> {
        let worker = Self::new(self.about.clone(), self.address, &self.at_address, &self.record);
        worker.is_cut.store(true, Ordering::Relaxed);
        worker.state().held_back.append(&mut self.state().held_back);
        worker.begin();
        worker
    }

    /// Carries out what was held back.
    pub fn carry_out(&self) {
        let held_back = std::mem::take(&mut self.state().held_back);
        for request in held_back {
            let (status, answer) = self.handle(&request);
            self.record.say(&format!(
                "{} carries out a late order: {} -> {status} {answer}",
                self.about.id, request.body
            ));
        }
    }

    fn new(
        about: About,
        address: SocketAddr,
        at_address: &AtAddress,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Arc::new(Self {
            about,
            address,
            at_address: Arc::clone(at_address),
            born_ms: since.as_millis(),
            started: Instant::now(),
            state: Mutex::new(State { next_end: 1, ..State::default() }),
            is_gone: AtomicBool::new(false),
            is_cut: AtomicBool::new(false),
            holds_back: AtomicBool::new(false),
            record: Arc::clone(record),
        })
    }

    fn begin(self: &Arc<Self>) {
        self.record.line(&format!("{} starts, born {}", self.about.id, self.born_ms));
        let beating = Arc::clone(self);
        thread::spawn(move || beating.beat());
    }

    /// Leaves the next order to start a task unanswered, to be carried out late.
    pub fn hold_back(&self) {
        self.holds_back.store(true, Ordering::Relaxed);
    }

    /// Whether it holds an order back.
    pub fn has_held_back(&self) -> bool {
        !self.state().held_back.is_empty()
    }

    /// The tasks that it has started so far.
    pub fn starts(&self) -> Vec<String> {
        self.state().starts.clone()
    }

    /// The tasks at work.
    pub fn running(&self) -> Vec<String> {
        let mut state = self.state();
        self.end_due(&mut state);
        state.running.keys().cloned().collect()
    }

    /// Ends the worker with all that runs on it.
    pub fn end_life(&self) {
        self.is_gone.store(true, Ordering::Relaxed);
        self.state().running.clear();
        self.record.line(&format!("{} has ended", self.about.id));
    }

    fn is_gone(&self) -> bool {
        self.is_gone.load(Ordering::Relaxed)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }

    /// Extends the lease of all that runs, up to `max_hold_ms`; it never shortens.
    fn extend(&self, state: &mut State, expires_ms: u64) {
        let until_ms = expires_ms.min(self.clock_ms() + MAX_HOLD_MS);
        state.lease_until_ms = state.lease_until_ms.max(until_ms);
    }

    /// Ends what is done, and everything if the lease has lapsed.
    fn end_due(&self, state: &mut State) {
        let now = Instant::now();
        let has_lapsed = self.clock_ms() > state.lease_until_ms;
        let ended: Vec<_> = state
            .running
            .iter()
            .filter_map(|(task, run)| {
                let own_end = run.own_end.filter(|(at, _)| now >= *at).map(|(_, how)| how);
                let how = own_end.or_else(|| has_lapsed.then_some("lapsed"))?;
                Some((task.clone(), run.attempt, how))
            })
            .collect();
        for (task, attempt, how) in ended {
            self.end(state, &task, attempt, how);
        }
    }

    fn end(&self, state: &mut State, task: &str, attempt: u64, how: &'static str) {
        state.running.remove(task);
        let number = state.next_end;
        state.next_end += 1;
        state.finished.push((number, task.to_owned(), attempt, how));
        let over = state.over.entry(task.to_owned()).or_default();
        *over = attempt.max(*over);
        let text = format!("{} ended {task} run {attempt}: {how}", self.about.id);
        self.record.line_of(job_of(task), &text);
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        if self.is_gone() {
            return (http::NO_ANSWER, String::new());
        }
        let expected = request.header("x-goldcrestring-expect-instance");
        if expected.is_some_and(|expected| expected != self.about.id) {
            return (421, String::new());
        }
        let is_start = request.path == "/api/run-start";
        if is_start && self.holds_back.swap(false, Ordering::Relaxed) {
            self.record.line(&format!("{} leaves unanswered: {}", self.about.id, request.body));
            self.state().held_back.push(request.clone());
            thread::sleep(SILENCE);
            return (http::NO_ANSWER, String::new());
        }
        let body = &request.body;
        let fence = http::number(body, "fence").unwrap_or(0);
        {
            let mut state = self.state();
            self.end_due(&mut state);
            if fence < state.fence {
                return self.refuse("fence");
            }
            state.fence = fence;
        }
        let task = http::text(body, "task").unwrap_or_default();
        let attempt = http::number(body, "attempt").unwrap_or(0);
        match request.path.as_str() {
            "/api/run-start" => self.run_start(body, task, attempt),
            "/api/run-stop" => {
                let mut state = self.state();
                let known = state.running.get(&task).map(|run| run.attempt);
                if known.is_some_and(|known| known <= attempt) {
                    self.end(&mut state, &task, attempt, "stopped");
                }
                let over = state.over.entry(task).or_default();
                *over = attempt.max(*over);
                drop(state);
                self.accept()
            }
            "/api/hold" => self.hold(body),
            "/api/pace" => self.accept(),
            _ => (404, String::new()),
        }
    }

    fn run_start(&self, body: &str, task: String, attempt: u64) -> (u16, String) {
        let expires_ms = http::number(body, "expires_ms").unwrap_or(0);
        let spec = http::text(body, "spec").unwrap_or_default();
        let mut state = self.state();
        if expires_ms <= self.clock_ms() {
            drop(state);
            return self.refuse("late");
        }
        self.extend(&mut state, expires_ms);
        if state.running.get(&task).is_some_and(|run| run.attempt == attempt) {
            drop(state);
            return self.accept();
        }
        if state.over.get(&task).is_some_and(|over| *over >= attempt) {
            drop(state);
            return self.refuse("old");
        }
        let now = Instant::now();
        let words: Vec<_> = spec.split(' ').collect();
        let milliseconds = |text: &str| text.parse().ok().map(Duration::from_millis);
        let own_end = match words.as_slice() {
            ["lasts", how, time_ms] if attempt == 1 => {
                let how = if *how == "done" { "done" } else { "failed" };
                milliseconds(time_ms).map(|time| (now + time, how))
            }
            [work_ms, ..] => milliseconds(work_ms).map(|work| (now + work, "done")),
            [] => None,
        };
        state.starts.push(task.clone());
        let text = format!("{} starts {task} run {attempt}", self.about.id);
        self.record.line_of(job_of(&task), &text);
        state.running.insert(task, Run { attempt, own_end });
        drop(state);
        self.accept()
    }

    fn hold(&self, body: &str) -> (u16, String) {
        {
            let mut state = self.state();
            let cursor = http::number(body, "ack_cursor").unwrap_or(0);
            state.finished.retain(|(number, ..)| *number > cursor);
            let expires_ms = http::number(body, "expires_ms").unwrap_or(0);
            self.extend(&mut state, expires_ms);
        }
        let until =
            Instant::now() + Duration::from_millis(http::number(body, "wait_ms").unwrap_or(0));
        loop {
            let mut state = self.state();
            self.end_due(&mut state);
            if !state.finished.is_empty() || Instant::now() >= until {
                break;
            }
            drop(state);
            thread::sleep(Duration::from_millis(5));
        }
        let state = self.state();
        let running = state.running.iter();
        let running: Vec<_> =
            running.map(|(task, run)| format!("[\"{task}\",{},\"\",100,0]", run.attempt)).collect();
        let finished = state.finished.iter().take(500);
        let finished: Vec<_> = finished
            .map(|(number, task, attempt, how)| {
                format!("[{number},\"{task}\",{attempt},\"{how}\",\"\"]")
            })
            .collect();
        let answer = format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.clock_ms(),
            self.born_ms,
            running.join(","),
            finished.join(",")
        );
        (200, answer)
    }

    fn accept(&self) -> (u16, String) {
        (200, format!("{{\"clock_ms\":{}}}", self.clock_ms()))
    }

    fn refuse(&self, reason: &str) -> (u16, String) {
        (409, format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", self.clock_ms()))
    }

    fn beat(&self) {
        let about = &self.about;
        let path = format!("/api/Instances.Heartbeat/{}", about.id);
        let mut first = 0;
        for number in 1_u64.. {
            if self.is_gone() {
                return;
            }
            if self.is_cut.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(100));
                continue;
            }
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
                 \"state\":\"ready\",\"cold_left_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":262144,\
                 \"gpu\":0}},\"labels\":[\"a\",\"r1-1\"],\"machine\":\"{}\",\"clock_ms\":{},\
                 \"born\":{},\"seq_no\":{number}}}",
                about.service,
                self.address,
                about.zone,
                about.cpu,
                about.machine,
                self.clock_ms(),
                self.born_ms
            );
            for offset in 0..about.control.len() {
                let at = (first + offset) % about.control.len();
                let timeout = Duration::from_secs(1);
                let answer = http::call(about.control[at], "POST", &path, &[], &body, timeout);
                if self.is_cut.load(Ordering::Relaxed) {
                    break;
                }
                if answer.is_ok_and(|(status, _)| (200..300).contains(&status)) {
                    first = at;
                    break;
                }
            }
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }
}

/// The job of a task.
pub fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or_default()
}
