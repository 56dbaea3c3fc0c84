//! The processes, links and simulated backend servers of one run.

use crate::history::{History, Outage, PlanChange, ProcessEnd, Run};
use goldcrestring_fakes::link::Link;
use goldcrestring_platform_stand_in::fleet::Process;
use goldcrestring_platform_stand_in::{
    EndKind, FakeWorker, FakeWorkerSettings, Fleet, FleetSettings, operator,
};
use goldcrestring_wire::client::{Client, Reuse};
use goldcrestring_wire::codec;
use goldcrestring_wire::http::{HttpRequest, HttpResponse, Method};
use goldcrestring_wire::job_message::{LeaderResponse, path};
use goldcrestring_wire::runtime::sleep;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The host of all queues.
pub const HOST: &str = "quotes.example";

/// The path prefixes of the queues.
pub const QUEUES: [&str; 2] = ["/q/", "/s/"];

/// The keys of the only team.
pub const KEYS: [&str; 2] = ["key-1", "key-2"];

/// The data centre of each simulated backend server.
const DATA_CENTRES: [&str; 6] = ["dc-a", "dc-a", "dc-b", "dc-b", "dc-c", "dc-c"];

/// The number of simulated backend servers.
pub const SERVERS: usize = DATA_CENTRES.len();

/// Timeout of an operator's call.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit for an operator's call to succeed; only bounds a hang.
const OPERATOR_LIMIT: Duration = Duration::from_secs(120);

/// Delay before an operator repeats a call.
const OPERATOR_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval between checks whether a process has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Timeout of a connection that shows whether a process listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Time limit for the end of a process after SIGTERM; only bounds a hang.
const EXIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Which process a fault hits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Target {
    Leader,
    Process(usize),
}

/// What a link does to the data that it relays.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkState {
    Open,
    /// Requests arrive, responses are held back.
    ResponsesHeld,
    /// Requests are held back.
    RequestsHeld,
    Closed,
}

struct ProcessSlot {
    process: Process,
    is_stopped_on_purpose: bool,
    /// Whether it is a spare that has not been started, or a replica that was removed for good.
    is_out_of_service: bool,
}

/// The plan in force, as far as the operator knows.
struct OperatorState {
    version: u64,
}

/// A fleet of processes with its links and backend servers.
pub struct System {
    origin: Instant,
    /// The number of replicas at the start; spares come after the entries.
    pub replicas: usize,
    logs: Option<PathBuf>,
    pub caller_addresses: Vec<SocketAddr>,
    pub operator_addresses: Vec<SocketAddr>,
    control_addresses: Vec<SocketAddr>,
    peer_addresses: Vec<SocketAddr>,
    slots: Vec<Mutex<ProcessSlot>>,
    /// The links by the processes that they connect; empty if the processes connect directly.
    links: BTreeMap<(usize, usize), Link>,
    /// The current life of each backend server.
    servers: Vec<Mutex<Arc<FakeWorker>>>,
    /// All lives of backend servers.
    lives: Mutex<Vec<Arc<FakeWorker>>>,
    client: Client,
    operator: smol::lock::Mutex<OperatorState>,
    /// Held during an outage: the outages of one data centre would end each other.
    outage: smol::lock::Mutex<()>,
    history: Mutex<History>,
    _fleet: Fleet,
}

/// Returns the replica that the process with this log runs.
fn replica_in(log: &str) -> Option<String> {
    let line = log.lines().rfind(|line| line.contains("event=started "))?;
    field_of(line, "replica=").map(ToOwned::to_owned)
}

/// Returns the last membership in a log: its position and its voters.
fn voters_in(log: &str) -> Option<(u64, BTreeSet<String>)> {
    let line = log.lines().rfind(|line| line.contains("event=membership "))?;
    let voters = field_of(line, "voters=")?.split(',').map(ToOwned::to_owned).collect();
    Some((field_of(line, "index=")?.parse().ok()?, voters))
}

fn field_of<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split_whitespace().find_map(|field| field.strip_prefix(name))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl System {
    /// Starts the processes and backend servers.
    pub fn start(daemon: &Path, settings: &FleetSettings) -> io::Result<Self> {
        let origin = Instant::now();
        let mut fleet = Fleet::start_with(daemon, settings)?;
        let peer_addresses = fleet.peer_addresses.iter().chain(&fleet.entry_peer_addresses);
        let peer_addresses: Vec<_> =
            peer_addresses.chain(&fleet.spare_peer_addresses).copied().collect();
        let mut links = BTreeMap::new();
        if settings.is_linked {
            for (from, caller) in peer_addresses.iter().enumerate() {
                for (to, target) in peer_addresses.iter().enumerate() {
                    if from != to {
                        // A process calls its peers at the port that it listens on itself.
                        let address = SocketAddr::new(target.ip(), caller.port());
                        let link = smol::block_on(Link::start_at(address, *target))?;
                        links.insert((from, to), link);
                    }
                }
            }
        }
        let running = std::mem::take(&mut fleet.replicas);
        let running = running.into_iter().chain(std::mem::take(&mut fleet.entries));
        let processes = running.map(|process| (process, false));
        let spares = std::mem::take(&mut fleet.spares).into_iter().map(|process| (process, true));
        let slot = |(process, is_out_of_service)| {
            let is_stopped_on_purpose = is_out_of_service;
            Mutex::new(ProcessSlot { process, is_stopped_on_purpose, is_out_of_service })
        };
        let replicas = usize::from(settings.replicas);
        let system = Self {
            origin,
            replicas,
            logs: settings.logs.clone(),
            caller_addresses: fleet.caller_addresses.clone(),
            operator_addresses: fleet.operator_addresses.clone(),
            control_addresses: fleet.control_addresses.clone(),
            peer_addresses,
            slots: processes.chain(spares).map(slot).collect(),
            links,
            servers: Vec::new(),
            lives: Mutex::default(),
            client: Client::default(),
            operator: smol::lock::Mutex::new(OperatorState { version: 0 }),
            outage: smol::lock::Mutex::new(()),
            history: Mutex::new(History { first_entry: replicas, ..History::default() }),
            _fleet: fleet,
        };
        let servers = (0..SERVERS).map(|number| {
            let settings = FakeWorkerSettings {
                id: format!("i-{number}"),
                zone: DATA_CENTRES[number].to_owned(),
                control: system.control_addresses.clone(),
                ..FakeWorkerSettings::default()
            };
            Ok(Mutex::new(system.start_server(settings)?))
        });
        let servers = servers.collect::<io::Result<_>>()?;
        Ok(Self { servers, ..system })
    }

    fn start_server(&self, settings: FakeWorkerSettings) -> io::Result<Arc<FakeWorker>> {
        let server = smol::block_on(FakeWorker::start_with(settings))?;
        lock(&self.lives).push(Arc::clone(&server));
        Ok(server)
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Returns the number of processes.
    pub fn processes(&self) -> usize {
        self.slots.len()
    }

    pub fn record(&self, record: impl FnOnce(&mut History)) {
        record(&mut lock(&self.history));
    }

    /// Returns the history with the runs of all backend servers.
    pub fn history(&self) -> History {
        let mut history = lock(&self.history).clone();
        let since_start = |at: Instant| at.saturating_duration_since(self.origin);
        for server in lock(&self.lives).iter() {
            for run in server.runs() {
                let parts: Vec<_> = run.task.split('.').collect();
                let number = |at: usize| parts.get(at).and_then(|part| part.parse::<u32>().ok());
                history.runs.push(Run {
                    server: server.settings().id.clone(),
                    data_centre: server.settings().zone.clone(),
                    job: parts[0].to_owned(),
                    step: number(2).unwrap_or(u32::MAX) as usize,
                    index: number(3).unwrap_or(u32::MAX),
                    attempt: run.attempt,
                    payload: run.payload,
                    started_at: since_start(run.started_at),
                    is_late: run.is_late,
                    ended_at: run.end.as_ref().map(|end| since_start(end.at)),
                    is_done: run.end.as_ref().is_some_and(|end| end.kind == EndKind::Done),
                    is_acknowledged: run
                        .end
                        .as_ref()
                        .is_some_and(|end| end.acknowledged_at.is_some() && !end.has_lapsed_since),
                });
            }
        }
        history.runs.sort_by_key(|run| run.started_at);
        history
    }

    /// Returns the names of the running tasks.
    pub fn running(&self) -> Vec<String> {
        self.servers.iter().flat_map(|server| lock(server).running()).collect()
    }

    /// Returns the process that a fault hits; without a leader, one of the replicas.
    pub fn resolve(&self, target: Target) -> usize {
        match target {
            Target::Process(process) => process,
            Target::Leader => smol::block_on(self.leader()).unwrap_or(0),
        }
    }

    /// Returns the replicas that are in service, spares included.
    pub fn replicas_in_service(&self) -> Vec<usize> {
        let entries = self.replicas..self.replicas + self.caller_addresses.len();
        let is_in_service = |process: &usize| !lock(&self.slots[*process]).is_out_of_service;
        let replicas = (0..self.processes()).filter(|process| !entries.contains(process));
        replicas.filter(is_in_service).collect()
    }

    /// Returns whether the voters are exactly the replicas in service, as far as the logs tell.
    pub fn are_all_voters(&self) -> bool {
        let logs = self.logs.as_ref().expect("a folder for logs");
        let log_of = |process| {
            let path = logs.join(format!("node-{}.log", process + 1));
            std::fs::read_to_string(path).unwrap_or_default()
        };
        let logs: Vec<_> = self.replicas_in_service().into_iter().map(log_of).collect();
        let replicas = logs.iter().map(|log| replica_in(log)).collect::<Option<BTreeSet<_>>>();
        let latest = logs.iter().filter_map(|log| voters_in(log)).max_by_key(|(index, _)| *index);
        latest.is_some_and(|(_, voters)| replicas == Some(voters))
    }

    /// Checks that the plan in force is the last acknowledged one. The read is repeated until a replica that
    /// knows the leader answers it.
    ///
    /// # Errors
    ///
    /// Fails if another plan is in force.
    pub fn check_plan(&self) -> Result<(), String> {
        let request = HttpRequest::new(Method::Get, "/api/Config.Get");
        let response = smol::block_on(self.call_as_operator(&request));
        let plan: serde_json::Value = serde_json::from_slice(&response.body).unwrap_or_default();
        let acknowledged = smol::block_on(self.operator.lock()).version;
        if plan["version"].as_u64() == Some(acknowledged) {
            Ok(())
        } else {
            Err(format!("LOST: plan {acknowledged} was acknowledged, the plan is {plan}"))
        }
    }

    /// Returns the replica that leads, if there is one.
    pub async fn leader(&self) -> Option<usize> {
        for number in self.replicas_in_service() {
            let address = self.peer_addresses[number];
            let request = HttpRequest::peer(path::LEADER, codec::encode(&()).ok()?);
            let timeout = Duration::from_millis(100);
            let called = self.client.call(address, request, timeout, Reuse::Never).await;
            let Ok(response) = called else { continue };
            let response = codec::decode::<LeaderResponse>(&response.body);
            if response.is_ok_and(|response| response.is_leading) {
                return Some(number);
            }
        }
        None
    }

    /// Ends a process without notice.
    pub fn kill(&self, process: usize) {
        let mut slot = lock(&self.slots[process]);
        self.report_if_ended(&mut slot, process);
        slot.is_stopped_on_purpose = true;
        let from = self.now();
        slot.process.kill();
        let until = self.now();
        self.record(|history| history.process_ends.push(ProcessEnd { process, from, until }));
    }

    /// Asks a process to shut down and waits for its end.
    pub fn terminate(&self, process: usize) {
        {
            let mut slot = lock(&self.slots[process]);
            self.report_if_ended(&mut slot, process);
            slot.is_stopped_on_purpose = true;
            let _ = slot.process.terminate();
        }
        let since = Instant::now();
        let mut from = self.now();
        loop {
            // An exit closes the connections some time before the process is gone. The listener is
            // closed before the connections, since it was opened first.
            let probed_at = self.now();
            if self.is_listening(process) {
                from = probed_at;
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
            let mut slot = lock(&self.slots[process]);
            if !slot.process.is_running() {
                let until = self.now();
                self.record(|history| {
                    history.process_ends.push(ProcessEnd { process, from, until });
                });
                return;
            }
            if !slot.is_stopped_on_purpose {
                return;
            }
            if since.elapsed() > EXIT_TIMEOUT {
                let detail = format!("process {process} does not end after SIGTERM");
                self.record(|history| history.unexpected_ends.push(detail));
                return;
            }
        }
    }

    /// Whether an entry's listener is open; a suspended process counts.
    fn is_listening(&self, process: usize) -> bool {
        let address =
            process.checked_sub(self.replicas).and_then(|entry| self.caller_addresses.get(entry));
        address.is_some_and(|address| {
            let connected = TcpStream::connect_timeout(address, PROBE_TIMEOUT);
            !connected.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
        })
    }

    /// Puts a spare into service and starts it.
    pub fn start_spare(&self, process: usize) {
        lock(&self.slots[process]).is_out_of_service = false;
        self.restart(process);
    }

    /// Removes a replica for good, with or without notice.
    pub fn remove(&self, process: usize, is_planned: bool) {
        lock(&self.slots[process]).is_out_of_service = true;
        if is_planned {
            self.terminate(process);
        } else {
            self.kill(process);
        }
    }

    /// Ends a process without notice and clears its disk.
    pub fn lose_disk(&self, process: usize) {
        self.kill(process);
        lock(&self.slots[process]).process.lose_disk().expect("an empty data folder");
    }

    /// Starts a process unless it is running or out of service.
    pub fn restart(&self, process: usize) {
        let mut slot = lock(&self.slots[process]);
        if slot.is_out_of_service {
            return;
        }
        self.report_if_ended(&mut slot, process);
        if !slot.process.is_running() {
            slot.process.restart().expect("the daemon starts");
        }
        slot.is_stopped_on_purpose = false;
    }

    fn report_if_ended(&self, slot: &mut ProcessSlot, process: usize) {
        if !slot.is_stopped_on_purpose && !slot.process.is_running() {
            let detail = format!("process {process}, found at {:?}", self.now());
            self.record(|history| history.unexpected_ends.push(detail));
        }
    }

    pub fn suspend(&self, process: usize) {
        let _ = lock(&self.slots[process]).process.freeze();
    }

    pub fn resume(&self, process: usize) {
        let _ = lock(&self.slots[process]).process.thaw();
    }

    /// Sets the links from one process to another; nothing happens if they connect directly.
    pub fn set_link(&self, from: usize, to: usize, state: LinkState) {
        let Some(link) = self.links.get(&(from, to)) else { return };
        match state {
            LinkState::Open => link.set_blocked(false, false),
            LinkState::ResponsesHeld => link.set_blocked(false, true),
            LinkState::RequestsHeld => link.set_blocked(true, false),
            LinkState::Closed => link.set_blocked(true, true),
        }
    }

    /// Closes the connections from one process to another.
    pub fn close_connections(&self, from: usize, to: usize) {
        if let Some(link) = self.links.get(&(from, to)) {
            link.close_connections();
        }
    }

    pub fn has_links(&self) -> bool {
        !self.links.is_empty()
    }

    fn server(&self, number: usize) -> Arc<FakeWorker> {
        Arc::clone(&lock(&self.servers[number]))
    }

    /// Ends a backend server without notice.
    pub fn crash_server(&self, number: usize) {
        smol::block_on(self.server(number).crash());
    }

    /// Lets a backend server announce that it leaves, and waits for its end.
    pub fn remove_server(&self, number: usize) {
        smol::block_on(self.server(number).leave());
    }

    /// Starts a backend server again if it is gone, at its address if that is free.
    pub fn restart_server(&self, number: usize, id: Option<String>) {
        let mut current = lock(&self.servers[number]);
        if !current.is_gone() {
            return;
        }
        let mut settings = current.settings().clone();
        settings.id = id.unwrap_or(settings.id);
        let address = current.address();
        let same_address = FakeWorkerSettings { address, ..settings.clone() };
        let started = self.start_server(same_address).or_else(|_| self.start_server(settings));
        *current = started.expect("a backend server starts");
    }

    pub fn set_order_delay(&self, number: usize, delay: Option<Duration>) {
        self.server(number).set_order_delay(delay);
    }

    /// Puts a plan with these keys and queues in force, repeating the call until it succeeds.
    pub async fn replace_plan(&self, keys: &BTreeSet<usize>, queues: &BTreeSet<usize>) {
        let mut state = self.operator.lock().await;
        state.version += 1;
        let key_names: Vec<_> = keys.iter().map(|key| KEYS[*key]).collect();
        let prefixes: Vec<_> = queues.iter().map(|queue| QUEUES[*queue]).collect();
        let request = operator::configure_queues(state.version, HOST, &key_names, &prefixes);
        let (keys, queues) = (keys.clone(), queues.clone());
        let sent_at = self.now();
        let plan = PlanChange { keys, queues, sent_at, acknowledged_at: None };
        self.record(|history| history.plans.push(plan));
        self.call_as_operator(&request).await;
        let acknowledged_at = Some(self.now());
        self.record(|history| {
            if let Some(plan) = history.plans.last_mut() {
                plan.acknowledged_at = acknowledged_at;
            }
        });
    }

    /// Takes a data centre out of service for a while, unless one is out already.
    pub async fn evacuate(&self, data_centre: &str, duration: Duration) {
        let Some(_outage) = self.outage.try_lock() else { return };
        self.call_as_operator(&operator::evacuate(data_centre, true)).await;
        let acknowledged_at = self.now();
        sleep(duration).await;
        let outage = Outage {
            data_centre: data_centre.to_owned(),
            acknowledged_at,
            back_sent_at: Some(self.now()),
        };
        self.record(|history| history.outages.push(outage));
        self.call_as_operator(&operator::evacuate(data_centre, false)).await;
    }

    /// Repeats a call at all replicas in turn until it succeeds.
    async fn call_as_operator(&self, request: &HttpRequest) -> HttpResponse {
        let since = Instant::now();
        let mut attempt = 0;
        loop {
            assert!(since.elapsed() < OPERATOR_LIMIT, "{} has no answer", request.path);
            let address = self.control_addresses[attempt % self.control_addresses.len()];
            attempt += 1;
            let called =
                self.client.call(address, request.clone(), OPERATOR_TIMEOUT, Reuse::Never).await;
            if let Some(response) = called.ok().filter(HttpResponse::is_success) {
                return response;
            }
            sleep(OPERATOR_RETRY_DELAY).await;
        }
    }

    /// Ends all faults.
    pub fn heal(&self) {
        for link in self.links.values() {
            link.set_blocked(false, false);
        }
        for process in 0..self.processes() {
            self.resume(process);
            self.restart(process);
        }
        for number in 0..SERVERS {
            self.set_order_delay(number, None);
            self.restart_server(number, None);
        }
    }

    /// Records processes that have ended although nobody told them to.
    pub fn check_processes(&self) {
        for (process, slot) in self.slots.iter().enumerate() {
            self.report_if_ended(&mut lock(slot), process);
        }
    }
}
