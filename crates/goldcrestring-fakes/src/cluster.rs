//! A cluster of daemon processes on loopback.

mod address;
mod deployment;
mod objects;
mod prepare;

pub use deployment::{Deployment, QUEUE_TIMEOUT};
pub use objects::{data_centre, idempotent_queue, key, open_queue, pool, queue, team, vm};

use self::address::ReservedAddress;
use self::prepare::{CLUSTER_NAME, PEER_TOKEN};
use crate::backend_server::{BackendServer, BackendServerSettings};
use crate::caller::{Caller, CallerRequest};
use crate::link::Link;
use derive_more::{Display, Error, From};
use goldcrestring::quantity::Revision;
use goldcrestring::request::RequestOutcome;
use goldcrestring::version::{Change, Edit, Object, ObjectRef};
use goldcrestring_wire::client::{CallError, Client, Reuse};
use goldcrestring_wire::codec::{self, CodecError};
use goldcrestring_wire::http::{HttpRequest, HttpResponse, Method};
use goldcrestring_wire::message::OperatorChangeResponse;
use goldcrestring_wire::runtime::sleep;
use rustix::process::{Pid, Signal, kill_process};
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;
use uuid::Uuid;

/// The operators' bearer token in test clusters.
pub const OPERATOR_TOKEN: &str = "operator-token-of-tests";

/// The backend servers' bearer token in test clusters.
pub const BACKEND_TOKEN: &str = "backend-token-of-tests";

const CALL_TIMEOUT: Duration = Duration::from_secs(8);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long to wait for a condition; a cluster may start slowly on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Why an operation on a cluster failed.
#[derive(Debug, Display, Error, From)]
pub enum ClusterError {
    /// An operation of the operating system failed.
    #[display("{_0}")]
    Io(io::Error),
    /// A request failed.
    #[display("{_0}")]
    Call(CallError),
    /// A message can't be encoded or decoded.
    #[display("{_0}")]
    Codec(CodecError),
    /// A request was rejected.
    #[display("rejected with status {status}: {body}")]
    #[from(skip)]
    Rejected {
        /// The status code.
        status: u16,
        /// The body.
        body: String,
    },
    /// An expected process, state or condition did not become available in time.
    #[display("not available in time: {expected}")]
    #[from(skip)]
    Unavailable {
        /// The expected process, state or condition.
        expected: String,
    },
}

/// The result type of this module.
pub type Result<T> = std::result::Result<T, ClusterError>;

/// Settings of a cluster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClusterSettings {
    /// The path of the daemon's executable.
    pub daemon: PathBuf,
    /// The number of voting replicas.
    pub voters: usize,
    /// The number of spare replicas.
    pub spares: usize,
    /// The number of processes without a replica.
    pub entries: usize,
    /// Whether peers connect through links that can be blocked.
    pub has_links: bool,
    /// The number of log entries after which a snapshot is written.
    pub snapshot_entries: usize,
    /// How long a voter may be unreachable before a spare replaces it.
    pub replace_voter_after: Duration,
}

impl ClusterSettings {
    /// Creates settings with three voters and no other processes.
    pub fn new(daemon: impl Into<PathBuf>) -> Self {
        Self {
            daemon: daemon.into(),
            voters: 3,
            spares: 0,
            entries: 0,
            has_links: false,
            snapshot_entries: 2_000,
            replace_voter_after: Duration::from_secs(30),
        }
    }
}

/// A process of a cluster.
pub struct ClusterNode {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The folder with its settings, log and data.
    pub folder: PathBuf,
    has_replica: bool,
    child: Option<Child>,
    /// Keeps the port while the process is not running.
    _reserved: ReservedAddress,
}

/// A cluster of processes, which are killed when it is dropped.
pub struct Cluster {
    /// The processes by name.
    pub nodes: BTreeMap<String, ClusterNode>,
    /// The links from one process to another, if the cluster has links.
    pub links: BTreeMap<(String, String), Link>,
    settings: ClusterSettings,
    client: Client,
    folder: TempDir,
}

impl Cluster {
    /// Creates a cluster whose processes are not started yet.
    ///
    /// # Errors
    ///
    /// A [`ClusterError`] if its files can't be written or a replica can't be initialised.
    pub async fn new(settings: ClusterSettings) -> Result<Self> {
        let mut cluster = Self {
            nodes: BTreeMap::new(),
            links: BTreeMap::new(),
            client: Client::default(),
            folder: TempDir::new()?,
            settings,
        };
        cluster.prepare().await?;
        let names: Vec<_> = cluster.nodes.keys().cloned().collect();
        for name in names.iter().take(cluster.settings.voters) {
            cluster.init_replica(name)?;
        }
        Ok(cluster)
    }

    /// Starts a cluster and waits until the health check of every process succeeds.
    ///
    /// # Errors
    ///
    /// A [`ClusterError`] if a process does not start.
    pub async fn start(settings: ClusterSettings) -> Result<Self> {
        let mut cluster = Self::new(settings).await?;
        let names: Vec<_> = cluster.nodes.keys().cloned().collect();
        for name in &names {
            cluster.spawn(name)?;
        }
        cluster.wait_all_healthy().await?;
        Ok(cluster)
    }

    /// Returns the folder of the cluster, with its token files.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the address of a process.
    ///
    /// # Panics
    ///
    /// If the process does not exist.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.nodes[name].address
    }

    /// Returns the addresses of all processes.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes.values().map(|node| node.address).collect()
    }

    /// Kills a process with SIGKILL.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        if let Some(mut child) = self.node(name)?.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Stops a process with SIGTERM and waits until it has exited.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub async fn stop(&mut self, name: &str) -> Result<ExitStatus> {
        self.signal(name, Signal::TERM)?;
        let started = Instant::now();
        loop {
            let node = self.node(name)?;
            let Some(child) = &mut node.child else { return Err(unavailable("a running process")) };
            if let Some(status) = child.try_wait()? {
                node.child = None;
                return Ok(status);
            }
            if started.elapsed() > WAIT_TIMEOUT {
                return Err(unavailable("the end of the process"));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Suspends a process with SIGSTOP.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn suspend(&mut self, name: &str) -> Result<()> {
        self.signal(name, Signal::STOP)
    }

    /// Resumes a suspended process with SIGCONT.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn resume(&mut self, name: &str) -> Result<()> {
        self.signal(name, Signal::CONT)
    }

    /// Clears the data folder of a stopped process, which simulates a replaced disk.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn clear_data(&mut self, name: &str) -> Result<()> {
        let data = self.node(name)?.folder.join("data");
        std::fs::remove_dir_all(&data)?;
        std::fs::create_dir(&data)?;
        Ok(())
    }

    /// Starts a stopped process.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn spawn(&mut self, name: &str) -> Result<()> {
        let daemon = self.settings.daemon.clone();
        let node = self.node(name)?;
        let log = File::options().create(true).append(true).open(node.folder.join("log"))?;
        let child = Command::new(daemon)
            .arg("--settings")
            .arg(node.folder.join("settings.yaml"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        node.child = Some(child);
        Ok(())
    }

    /// Returns the log of a process.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn log(&self, name: &str) -> Result<String> {
        let folder =
            &self.nodes.get(name).ok_or_else(|| unavailable("a process of this name"))?.folder;
        Ok(std::fs::read_to_string(folder.join("log"))?)
    }

    /// Blocks or unblocks every link from and to a process in both directions.
    pub fn isolate(&self, name: &str, is_blocked: bool) {
        for ((from, to), link) in &self.links {
            if from == name || to == name {
                link.set_blocked(is_blocked, is_blocked);
            }
        }
    }

    /// Returns the operating system's id of a process; `None` if it is not running.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        Some(self.nodes.get(name)?.child.as_ref()?.id())
    }

    /// Returns the number of bytes exchanged between a process and its peers over links.
    pub fn peer_bytes(&self, name: &str) -> u64 {
        let is_end = |(from, to): &(String, String)| from == name || to == name;
        self.links.iter().filter(|(ends, _)| is_end(ends)).map(|(_, link)| link.bytes()).sum()
    }

    /// Waits until the health check of a process succeeds.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Unavailable`] if it does not succeed in time.
    pub async fn wait_healthy(&self, name: &str) -> Result<()> {
        let address = self.address(name);
        let what = format!("a successful health check of {name}");
        self.wait_for(&what, async || {
            let request = HttpRequest::new(Method::Get, "/healthz");
            let response = self.client.call(address, request, CALL_TIMEOUT, Reuse::Never).await;
            response.is_ok_and(|response| response.status == 200)
        })
        .await
    }

    /// Waits until the health check of every process succeeds.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Unavailable`] if one does not succeed in time.
    pub async fn wait_all_healthy(&self) -> Result<()> {
        for name in self.nodes.keys() {
            self.wait_healthy(name).await?;
        }
        Ok(())
    }

    /// Waits until a condition holds.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Unavailable`] if it does not hold in time.
    pub async fn wait_for(&self, what: &str, condition: impl AsyncFn() -> bool) -> Result<()> {
        let started = Instant::now();
        while !condition().await {
            if started.elapsed() > WAIT_TIMEOUT {
                return Err(unavailable(what));
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Makes a change through the given process and returns the revision of the change.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Rejected`] with the problem document if the change is rejected.
    pub async fn change_through(&self, name: &str, change: &Change) -> Result<Revision> {
        let body = codec::encode_json(change)?;
        let request = HttpRequest::json(Method::Put, "/v1/objects", body);
        let response = self.call_as_operator(self.address(name), request).await?;
        Ok(codec::decode_json::<OperatorChangeResponse>(&response.body)?.revision)
    }

    /// Makes a change with a new id through the first process that accepts it.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Rejected`] with the problem document if the change is rejected.
    pub async fn change(&self, edits: Vec<Edit>) -> Result<Revision> {
        let change_id = format!("change-{}", Uuid::now_v7());
        let change_id = change_id.parse().map_err(|_| unavailable("a valid change id"))?;
        let change = Change { change_id, expected_revision: None, edits };
        let mut last_error = unavailable("a running process");
        for (name, node) in &self.nodes {
            if node.child.is_none() {
                continue;
            }
            match self.change_through(name, &change).await {
                Ok(revision) => return Ok(revision),
                Err(error @ ClusterError::Rejected { status: 400..=499, .. }) => return Err(error),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// Creates or replaces objects.
    ///
    /// # Errors
    ///
    /// See [`Cluster::change`].
    pub async fn put(&self, objects: Vec<Object>) -> Result<Revision> {
        self.change(objects.into_iter().map(Edit::Put).collect()).await
    }

    /// Sets a label of an object.
    ///
    /// # Errors
    ///
    /// See [`Cluster::change`].
    ///
    /// # Panics
    ///
    /// If the reference, key or value is malformed.
    pub async fn label(&self, object: &str, key: &str, value: &str) -> Result<Revision> {
        let object: ObjectRef = object.parse().expect("a reference to an object");
        let key = key.parse().expect("a label key");
        let value = value.parse().expect("a label value");
        let edit = Edit::Label {
            object,
            set: [(key, value)].into(),
            remove: std::collections::BTreeSet::new(),
        };
        self.change(vec![edit]).await
    }

    /// Waits until a process reports a revision as in force.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Unavailable`] if it is not in force in time.
    pub async fn wait_in_force(&self, name: &str, revision: Revision) -> Result<()> {
        let what = format!("revision {revision} in force");
        self.wait_for(&what, async || {
            let status = self.status(name).await;
            status.is_ok_and(|status| status["in_force"].as_u64() >= Some(revision.get()))
        })
        .await
    }

    /// Returns the status that a process reports for itself.
    ///
    /// # Errors
    ///
    /// A [`ClusterError`] if the request fails.
    pub async fn status(&self, name: &str) -> Result<serde_json::Value> {
        let request = HttpRequest::new(Method::Get, "/v1/status");
        let response = self.call_as_operator(self.address(name), request).await?;
        let all: Vec<serde_json::Value> = codec::decode_json(&response.body)?;
        let own = all.into_iter().find(|status| status["node"] == name);
        Ok(own.ok_or_else(|| unavailable("its own status"))?["status"].clone())
    }

    /// Returns the name of the leader.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Unavailable`] if no leader is elected in time.
    pub async fn leader(&self) -> Result<String> {
        let started = Instant::now();
        while started.elapsed() < WAIT_TIMEOUT {
            for (name, node) in &self.nodes {
                if node.child.is_none() || !node.has_replica {
                    continue;
                }
                let status = self.status(name).await;
                if status.is_ok_and(|status| status["replica"]["is_leader"] == true) {
                    return Ok(name.clone());
                }
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(unavailable("a leader"))
    }

    /// Sends a request with the operators' token.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Rejected`] with the problem document if the response is not successful.
    pub async fn call_as_operator(
        &self,
        address: SocketAddr,
        request: HttpRequest,
    ) -> Result<HttpResponse> {
        self.call(address, request.bearer(OPERATOR_TOKEN)).await
    }

    async fn call(&self, address: SocketAddr, request: HttpRequest) -> Result<HttpResponse> {
        let response = self.client.call(address, request, CALL_TIMEOUT, Reuse::Never).await?;
        if response.is_success() {
            return Ok(response);
        }
        let body = String::from_utf8_lossy(&response.body).into_owned();
        Err(ClusterError::Rejected { status: response.status, body })
    }

    /// Sends a request to a process as its peers do.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Rejected`] if the response is not successful.
    pub async fn call_as_peer(&self, name: &str, request: HttpRequest) -> Result<HttpResponse> {
        let request = request.bearer(&format!("{CLUSTER_NAME}.{PEER_TOKEN}"));
        self.call(self.address(name), request).await
    }

    /// Starts a fake backend server that announces itself to every process.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    ///
    /// # Panics
    ///
    /// If a name is malformed.
    pub async fn start_backend_server(
        &self,
        vm: &str,
        data_centre: &str,
        slots: u32,
        task_duration: Duration,
    ) -> Result<BackendServer> {
        let settings = BackendServerSettings {
            vm: vm.parse().expect("a VM's id"),
            listen: "127.0.0.1:0".parse().expect("an address"),
            data_centre: data_centre.parse().expect("a data centre's name"),
            rack: "rack-1".parse().expect("a rack's name"),
            slots,
            task_duration,
            entries: self.addresses(),
            token: BACKEND_TOKEN.to_owned(),
            max_interval: Duration::from_millis(500),
        };
        Ok(BackendServer::start(settings).await?)
    }

    /// Sends requests to each entry until it has completed one.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Unavailable`] if an entry does not complete a request in time.
    pub async fn wait_until_serving(
        &self,
        caller: &Caller,
        request: &CallerRequest<'_>,
    ) -> Result<()> {
        for address in self.addresses() {
            self.wait_for("a completed request", async || {
                let result = caller.send(address, request).await;
                crate::caller::outcome_of(&result) == RequestOutcome::Completed
            })
            .await?;
        }
        Ok(())
    }

    fn signal(&mut self, name: &str, signal: Signal) -> Result<()> {
        if let Some(child) = &self.node(name)?.child {
            kill_process(Pid::from_child(child), signal).map_err(io::Error::from)?;
        }
        Ok(())
    }

    fn node(&mut self, name: &str) -> Result<&mut ClusterNode> {
        self.nodes.get_mut(name).ok_or_else(|| unavailable("a process of this name"))
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for node in self.nodes.values_mut() {
            if let Some(child) = &mut node.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        // The logs of the processes explain why a test failed.
        if std::thread::panicking() {
            self.folder.disable_cleanup(true);
            eprintln!("the logs of the cluster are kept in {}", self.folder.path().display());
        }
    }
}

fn unavailable(expected: &str) -> ClusterError {
    ClusterError::Unavailable { expected: expected.to_owned() }
}
