//! A fake backend server with fault injection.

use goldcrestring::clock::Clock;
use goldcrestring::connection::Announcement;
use goldcrestring::connection::backend_server::AnnouncementResponse;
use goldcrestring::name::{DataCentreName, RackName, VmId};
use goldcrestring::quantity::{BootId, Revision};
use goldcrestring_wire::client::{Client, Reuse};
use goldcrestring_wire::codec;
use goldcrestring_wire::header;
use goldcrestring_wire::http::{HttpRequest, HttpResponse, Method};
use goldcrestring_wire::runtime::{SystemClock, sleep, spawn};
use goldcrestring_wire::server::{ServerSettings, serve};
use serde::{Deserialize, Serialize};
use smol::net::TcpListener;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// How often the announcement loop checks for a change that must be announced immediately.
const CHANGE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Settings of a fake backend server.
#[derive(Clone, Debug)]
pub struct BackendServerSettings {
    /// The VM.
    pub vm: VmId,
    /// The address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// The data centre.
    pub data_centre: DataCentreName,
    /// The rack.
    pub rack: RackName,
    /// The maximum number of concurrent tasks.
    pub slots: u32,
    /// The run time of each task.
    pub task_duration: Duration,
    /// The entries to announce to at first; their responses replace the list.
    pub entries: Vec<SocketAddr>,
    /// The bearer token for announcements and tasks.
    pub token: String,
    /// The maximum interval between announcements, even if the entries ask for a longer one.
    pub max_interval: Duration,
}

/// An injected fault.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Runs the task and closes the connection without a response.
    DropResponse,
    /// Responds with the id of another task.
    MismatchedTask,
    /// Rejects every task and reports that it was not run.
    Reject,
}

/// Returns the maximum number of tasks that ran concurrently; a run without an end counts as still
/// running.
///
/// # Examples
///
/// ```
/// use goldcrestring_fakes::backend_server::{Run, max_concurrency};
/// use std::time::Duration;
///
/// let run = |start_ms, end_ms| Run {
///     task: String::new(),
///     team: None,
///     body: Vec::new(),
///     started_at: Duration::from_millis(start_ms),
///     ended_at: Some(Duration::from_millis(end_ms)),
/// };
/// assert_eq!(max_concurrency(&[run(0, 5), run(4, 9), run(9, 12)]), 2);
/// ```
pub fn max_concurrency(runs: &[Run]) -> usize {
    let mut changes: Vec<(Duration, i64)> = Vec::new();
    for run in runs {
        changes.push((run.started_at, 1));
        changes.extend(run.ended_at.map(|ended_at| (ended_at, -1)));
    }
    // At equal times, ends sort before starts.
    changes.sort_unstable();
    let mut running = 0_i64;
    let mut max_running = 0;
    for (_, change) in changes {
        running += change;
        max_running = max_running.max(running);
    }
    usize::try_from(max_running).unwrap_or(0)
}

/// A task run that the backend server started.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// The task.
    pub task: String,
    /// The team.
    pub team: Option<String>,
    /// The body of the request.
    pub body: Vec<u8>,
    /// The start time, as uptime of the machine.
    pub started_at: Duration,
    /// The end time, as uptime of the machine.
    pub ended_at: Option<Duration>,
}

#[derive(Default)]
struct State {
    running: u32,
    is_leaving: bool,
    is_announcing: bool,
    has_unannounced_change: bool,
    fault: Fault,
    rule_revision: Revision,
    runs: Vec<Run>,
    accepted: BTreeSet<String>,
    results: BTreeMap<String, Vec<u8>>,
    entries: Vec<SocketAddr>,
    sequence: u64,
}

/// A running fake backend server.
#[derive(Clone)]
pub struct BackendServer {
    settings: Arc<BackendServerSettings>,
    address: SocketAddr,
    boot: BootId,
    state: Arc<Mutex<State>>,
}

impl BackendServer {
    /// Starts a backend server on the executor of this process.
    ///
    /// # Errors
    ///
    /// The operating system's error if the address can't be bound.
    pub async fn start(settings: BackendServerSettings) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let boot = u64::try_from(SystemClock.uptime().as_nanos()).unwrap_or(0);
        let entries = settings.entries.clone();
        let server = Self {
            address: listener.local_addr()?,
            settings: Arc::new(settings),
            boot: BootId::new(boot),
            state: Arc::new(Mutex::new(State { is_announcing: true, entries, ..State::default() })),
        };
        let handler = server.clone();
        spawn(serve(listener, ServerSettings::default(), move |request, _| {
            let server = handler.clone();
            async move { server.handle(request).await }
        }))
        .detach();
        spawn(server.clone().announce_forever()).detach();
        Ok(server)
    }

    /// Returns the VM.
    pub fn vm(&self) -> &VmId {
        &self.settings.vm
    }

    /// Returns the address on which the server accepts tasks.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the task runs in order of their start.
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// Injects a fault from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.state().fault = fault;
    }

    /// Announces that the server is about to stop.
    pub fn leave(&self) {
        let mut state = self.state();
        state.is_leaving = true;
        state.has_unannounced_change = true;
    }

    /// Stops or resumes announcements.
    pub fn set_announcing(&self, is_announcing: bool) {
        self.state().is_announcing = is_announcing;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        let path = request.path.clone();
        let segments: Vec<_> = path.split('/').filter(|segment| !segment.is_empty()).collect();
        match (request.method, segments.as_slice()) {
            (Method::Post, ["v1", "tasks", task]) => self.run(task, request).await,
            (Method::Get, ["v1", "tasks", task]) => self.task_result(task),
            (Method::Get, ["fake", "runs"]) => {
                HttpResponse::json(200, codec::encode_json(&self.runs()).unwrap_or_default())
            }
            (Method::Post, ["fake", "leave"]) => {
                self.leave();
                HttpResponse::new(204)
            }
            _ => HttpResponse::new(404),
        }
    }

    async fn run(&self, task: &str, request: HttpRequest) -> HttpResponse {
        if let Err(reason) = self.admit(task, &request) {
            return self.not_run(task, reason);
        }
        let end_by = request.headers.get(header::END_BY_MS).and_then(|text| text.parse().ok());
        let end_by = end_by.map_or(Duration::MAX, Duration::from_millis);
        let remaining = end_by.saturating_sub(SystemClock.uptime());
        let is_timed_out = remaining < self.settings.task_duration;
        sleep(self.settings.task_duration.min(remaining)).await;
        let body = request.body;
        let mut state = self.state();
        state.running -= 1;
        if let Some(run) = state.runs.iter_mut().rev().find(|run| run.task == task) {
            run.ended_at = Some(SystemClock.uptime());
        }
        if is_timed_out {
            return self.task_response(task, 500, state.running);
        }
        state.results.insert(task.to_owned(), body.clone());
        let running = state.running;
        let fault = state.fault;
        drop(state);
        let response =
            self.task_response(task, 200, running).header(header::OUTCOME, "completed").body(body);
        match fault {
            // A panic in the handler closes the connection without a response.
            Fault::DropResponse => {
                std::panic::resume_unwind(Box::new("the response is dropped by an injected fault"))
            }
            Fault::MismatchedTask => response.header(header::TASK, "another-task"),
            Fault::None | Fault::Reject => response,
        }
    }

    fn admit(&self, task: &str, request: &HttpRequest) -> Result<(), &'static str> {
        let header = |name: &str| request.headers.get(name).map_or("", String::as_str);
        if request.bearer_token() != Some(&self.settings.token) {
            return Err("unauthorized");
        }
        if header(header::BOOT) != self.boot.to_string() {
            return Err("other-boot");
        }
        let now_ms = SystemClock.uptime().as_millis();
        if header(header::END_BY_MS).parse::<u128>().is_ok_and(|end_by_ms| now_ms >= end_by_ms) {
            return Err("too-late");
        }
        let revision: Revision = header(header::RULE_REVISION).parse().unwrap_or_default();
        let mut state = self.state();
        if revision < state.rule_revision {
            return Err("stale-revision");
        }
        state.rule_revision = revision;
        if state.is_leaving {
            return Err("leaving");
        }
        if state.fault == Fault::Reject {
            return Err("refused");
        }
        if state.running >= self.settings.slots {
            return Err("full");
        }
        if !state.accepted.insert(task.to_owned()) {
            return Err("seen-before");
        }
        state.running += 1;
        state.runs.push(Run {
            task: task.to_owned(),
            team: request.headers.get(header::TEAM).cloned(),
            body: request.body.clone(),
            started_at: SystemClock.uptime(),
            ended_at: None,
        });
        Ok(())
    }

    fn task_result(&self, task: &str) -> HttpResponse {
        let state = self.state();
        match state.results.get(task) {
            Some(body) => {
                let response = self.task_response(task, 200, state.running).body(body.clone());
                response.header(header::OUTCOME, "completed")
            }
            None if state.accepted.contains(task) => self.task_response(task, 202, state.running),
            None => self.task_response(task, 404, state.running),
        }
    }

    fn not_run(&self, task: &str, reason: &str) -> HttpResponse {
        let running = self.state().running;
        let response = self.task_response(task, 503, running).header(header::OUTCOME, "not-run");
        response.header(header::REASON, reason)
    }

    fn task_response(&self, task: &str, status: u16, running: u32) -> HttpResponse {
        HttpResponse::new(status)
            .header(header::TASK, task)
            .header(header::RUNNING, running.to_string())
    }

    async fn announce_forever(self) {
        let client = Client::default();
        loop {
            let interval = self.announce(&client).await.min(self.settings.max_interval);
            let until = SystemClock.uptime() + interval;
            while SystemClock.uptime() < until
                && !std::mem::take(&mut self.state().has_unannounced_change)
            {
                sleep(CHANGE_POLL_INTERVAL.min(interval)).await;
            }
        }
    }

    /// Announces the server to every entry and returns the time until the next announcement.
    async fn announce(&self, client: &Client) -> Duration {
        let mut interval = self.settings.max_interval;
        let (is_announcing, entries) = {
            let state = self.state();
            (state.is_announcing, state.entries.clone())
        };
        if !is_announcing {
            return interval;
        }
        for entry in entries {
            let Ok(body) = codec::encode_json(&self.announcement()) else { continue };
            let request = HttpRequest::json(Method::Post, "/v1/backend-servers", body);
            let request = request.bearer(&self.settings.token);
            let Ok(response) = client.call(entry, request, ANNOUNCE_TIMEOUT, Reuse::Allowed).await
            else {
                continue;
            };
            let Ok(accepted) = codec::decode_json::<AnnouncementResponse>(&response.body) else {
                continue;
            };
            interval = interval.min(Duration::from_millis(accepted.interval_ms));
            let mut state = self.state();
            state.rule_revision = state.rule_revision.max(accepted.rule_revision);
            state.entries = accepted.entries;
        }
        interval
    }

    fn announcement(&self) -> Announcement {
        let mut state = self.state();
        state.sequence += 1;
        Announcement {
            vm: self.settings.vm.clone(),
            boot: self.boot,
            sequence: state.sequence,
            uptime_ms: u64::try_from(SystemClock.uptime().as_millis()).unwrap_or(0),
            address: self.address,
            data_centre: self.settings.data_centre.clone(),
            rack: self.settings.rack.clone(),
            slots: self.settings.slots,
            running: state.running,
            is_leaving: state.is_leaving,
        }
    }
}
