//! A cluster of daemons as separate processes on loopback.

mod deployment;
mod objects;
mod prepare;

pub use deployment::{Deployment, QUEUE_TIMEOUT};
pub use objects::{data_centre, idempotent_queue, key, open_queue, pool, queue, team, vm};

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

/// What operators present in clusters of this crate.
pub const OPERATOR_TOKEN: &str = "operator-token-of-tests";

/// What backend servers present in clusters of this crate.
pub const BACKEND_TOKEN: &str = "backend-token-of-tests";

const CALL_TIMEOUT: Duration = Duration::from_secs(8);
const POLL: Duration = Duration::from_millis(20);

/// The longest time that a cluster takes to become healthy on a busy machine.
const PATIENCE: Duration = Duration::from_secs(60);

/// Why a cluster could not do what a test asked for.
#[derive(Debug, Display, Error, From)]
pub enum ClusterError {
    /// The operating system refused.
    #[display("{_0}")]
    Io(io::Error),
    /// A call failed.
    #[display("{_0}")]
    Call(CallError),
    /// A message is malformed.
    #[display("{_0}")]
    Codec(CodecError),
    /// A call was refused.
    #[display("refused with status {status}: {body}")]
    #[from(skip)]
    Refused {
        /// The status code.
        status: u16,
        /// The body.
        body: String,
    },
    /// Something awaited did not come.
    #[display("did not come in time: {what}")]
    #[from(skip)]
    Timeout {
        /// What was awaited.
        what: String,
    },
}

/// The result of an action on a cluster.
pub type Result<T> = std::result::Result<T, ClusterError>;

/// The shape of a cluster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClusterSettings {
    /// The program of the daemon.
    pub daemon: PathBuf,
    /// The number of voting replicas.
    pub voters: usize,
    /// The number of spare replicas.
    pub spares: usize,
    /// The number of processes without a replica.
    pub entries: usize,
    /// Whether peers reach each other through links that can be cut.
    pub has_links: bool,
    /// After how many log entries a snapshot is written.
    pub snapshot_entries: usize,
    /// How long a voter may be silent before a spare takes its place.
    pub replace_voter_after: Duration,
}

impl ClusterSettings {
    /// Three voters and no more.
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
    /// Where it listens.
    pub address: SocketAddr,
    /// Its folder: settings, log and data.
    pub folder: PathBuf,
    has_replica: bool,
    child: Option<Child>,
}

/// A cluster of processes, which end with it.
pub struct Cluster {
    /// The processes by name.
    pub nodes: BTreeMap<String, ClusterNode>,
    /// Links from one process to another, where the cluster has them.
    pub links: BTreeMap<(String, String), Link>,
    settings: ClusterSettings,
    client: Client,
    folder: TempDir,
}

impl Cluster {
    /// Starts a cluster and waits until every process has a configuration lease.
    ///
    /// # Errors
    ///
    /// A [`ClusterError`] when a process does not start.
    pub async fn start(settings: ClusterSettings) -> Result<Self> {
        let mut cluster = Self {
            nodes: BTreeMap::new(),
            links: BTreeMap::new(),
            client: Client::default(),
            folder: TempDir::new()?,
            settings,
        };
        cluster.prepare().await?;
        let names: Vec<_> = cluster.nodes.keys().cloned().collect();
        for (position, name) in names.iter().enumerate() {
            if position < cluster.settings.voters {
                cluster.init_replica(name)?;
            }
        }
        for name in &names {
            cluster.spawn(name)?;
        }
        for name in &names {
            cluster.wait_healthy(name).await?;
        }
        Ok(cluster)
    }

    /// The folder of the cluster, with its tokens.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// The address of a process.
    ///
    /// # Panics
    ///
    /// When there is no such process.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.nodes[name].address
    }

    /// The addresses of all processes.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes.values().map(|node| node.address).collect()
    }

    /// Ends a process at once, as a crash does.
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

    /// Asks a process to stop and waits until it has.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub async fn stop(&mut self, name: &str) -> Result<ExitStatus> {
        self.signal(name, Signal::TERM)?;
        let started = Instant::now();
        loop {
            let node = self.node(name)?;
            let Some(child) = &mut node.child else { return Err(late("a running process")) };
            if let Some(status) = child.try_wait()? {
                node.child = None;
                return Ok(status);
            }
            if started.elapsed() > PATIENCE {
                return Err(late("the end of the process"));
            }
            sleep(POLL).await;
        }
    }

    /// Freezes a process.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn suspend(&mut self, name: &str) -> Result<()> {
        self.signal(name, Signal::STOP)
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn resume(&mut self, name: &str) -> Result<()> {
        self.signal(name, Signal::CONT)
    }

    /// Empties the data folder of a process that does not run, as a replaced disk is.
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

    /// Starts a process that does not run.
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

    /// What a process has logged so far.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn log(&self, name: &str) -> Result<String> {
        let folder = &self.nodes.get(name).ok_or_else(|| late("a process of this name"))?.folder;
        Ok(std::fs::read_to_string(folder.join("log"))?)
    }

    /// Cuts or mends every link from and to a process, in one or both directions.
    pub fn isolate(&self, name: &str, is_blocked: bool) {
        for ((from, to), link) in &self.links {
            if from == name || to == name {
                link.set_blocked(is_blocked, is_blocked);
            }
        }
    }

    /// The id of a process in the operating system, while it runs.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        Some(self.nodes.get(name)?.child.as_ref()?.id())
    }

    /// The bytes that a process has exchanged with its peers, where the cluster has links.
    pub fn peer_bytes(&self, name: &str) -> u64 {
        let of_node = |(from, to): &(String, String)| from == name || to == name;
        self.links.iter().filter(|(ends, _)| of_node(ends)).map(|(_, link)| link.bytes()).sum()
    }

    /// Waits until a process says that it may be sent work.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Timeout`] when it does not.
    pub async fn wait_healthy(&self, name: &str) -> Result<()> {
        let address = self.address(name);
        let what = format!("health of {name}");
        self.wait_for(&what, async || {
            let request = HttpRequest::new(Method::Get, "/healthz");
            let response = self.client.call(address, request, CALL_TIMEOUT, Reuse::Never).await;
            response.is_ok_and(|response| response.status == 200)
        })
        .await
    }

    /// Waits until a condition holds.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Timeout`] when it does not come to hold.
    pub async fn wait_for(&self, what: &str, condition: impl AsyncFn() -> bool) -> Result<()> {
        let started = Instant::now();
        while !condition().await {
            if started.elapsed() > PATIENCE {
                return Err(late(what));
            }
            sleep(POLL).await;
        }
        Ok(())
    }

    /// Makes a change through a process and returns its revision.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Refused`] with the problem when the change is not accepted.
    pub async fn change_through(&self, name: &str, change: &Change) -> Result<Revision> {
        let body = codec::encode_json(change)?;
        let request = HttpRequest::json(Method::Put, "/v1/objects", body);
        let response = self.call_as_operator(self.address(name), request).await?;
        Ok(codec::decode_json::<OperatorChangeResponse>(&response.body)?.revision)
    }

    /// Makes a change of its own through the first process that answers.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Refused`] with the problem when the change is not accepted.
    pub async fn change(&self, edits: Vec<Edit>) -> Result<Revision> {
        let change_id = format!("change-{}", Uuid::now_v7());
        let change_id = change_id.parse().map_err(|_| late("a valid change id"))?;
        let change = Change { change_id, expected_revision: None, edits };
        let mut last = late("a running process");
        for (name, node) in &self.nodes {
            if node.child.is_none() {
                continue;
            }
            match self.change_through(name, &change).await {
                Ok(revision) => return Ok(revision),
                Err(error @ ClusterError::Refused { status: 400..=499, .. }) => return Err(error),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Creates or replaces objects.
    ///
    /// # Errors
    ///
    /// As [`Cluster::change`].
    pub async fn put(&self, objects: Vec<Object>) -> Result<Revision> {
        self.change(objects.into_iter().map(Edit::Put).collect()).await
    }

    /// Sets one label.
    ///
    /// # Errors
    ///
    /// As [`Cluster::change`].
    ///
    /// # Panics
    ///
    /// When reference, key or value are malformed.
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

    /// Waits until a revision is in force, as a process knows it.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Timeout`] when it does not come into force.
    pub async fn wait_in_force(&self, name: &str, revision: Revision) -> Result<()> {
        let what = format!("revision {revision} in force");
        self.wait_for(&what, async || {
            let status = self.status(name).await;
            status.is_ok_and(|status| status["in_force"].as_u64() >= Some(revision.get()))
        })
        .await
    }

    /// What a process says of itself.
    ///
    /// # Errors
    ///
    /// A [`ClusterError`] when it does not answer.
    pub async fn status(&self, name: &str) -> Result<serde_json::Value> {
        let request = HttpRequest::new(Method::Get, "/v1/status");
        let response = self.call_as_operator(self.address(name), request).await?;
        let all: Vec<serde_json::Value> = codec::decode_json(&response.body)?;
        let own = all.into_iter().find(|status| status["node"] == name);
        Ok(own.ok_or_else(|| late("its own status"))?["status"].clone())
    }

    /// The name of the leading process.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Timeout`] when none leads.
    pub async fn leader(&self) -> Result<String> {
        let started = Instant::now();
        while started.elapsed() < PATIENCE {
            for (name, node) in &self.nodes {
                if node.child.is_none() || !node.has_replica {
                    continue;
                }
                let status = self.status(name).await;
                if status.is_ok_and(|status| status["replica"]["is_leader"] == true) {
                    return Ok(name.clone());
                }
            }
            sleep(POLL).await;
        }
        Err(late("a leader"))
    }

    /// Calls a process as an operator does.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Refused`] with the problem when the call does not succeed.
    pub async fn call_as_operator(
        &self,
        address: SocketAddr,
        request: HttpRequest,
    ) -> Result<HttpResponse> {
        let request = request.bearer(OPERATOR_TOKEN);
        let response = self.client.call(address, request, CALL_TIMEOUT, Reuse::Never).await?;
        if response.is_success() {
            return Ok(response);
        }
        let body = String::from_utf8_lossy(&response.body).into_owned();
        Err(ClusterError::Refused { status: response.status, body })
    }

    /// Starts a stand-in backend server that announces itself to every process.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    ///
    /// # Panics
    ///
    /// When a name is malformed.
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

    /// Sends requests to every entry until each has completed one.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Timeout`] when one does not.
    pub async fn wait_until_serving(
        &self,
        caller: &Caller,
        request: &CallerRequest<'_>,
    ) -> Result<()> {
        for address in self.addresses() {
            self.wait_for("a completed request", async || {
                let answer = caller.send(address, request).await;
                crate::caller::outcome_of(&answer) == RequestOutcome::Completed
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
        self.nodes.get_mut(name).ok_or_else(|| late("a process of this name"))
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
    }
}

fn late(what: &str) -> ClusterError {
    ClusterError::Timeout { what: what.to_owned() }
}
