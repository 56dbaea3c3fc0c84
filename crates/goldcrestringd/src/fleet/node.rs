//! Shared state of a fleet process and its startup.

use super::front::Front;
use super::relay::RelayState;
use super::replica::{Replica, ReplicaHandle};
use super::settings::{FleetSettings, FleetSettingsError};
use super::{callers, control, leader_client, operators, peers, shutdown};
use crate::log::event;
use crate::storage::{self, StorageError};
use derive_more::{Display, Error, From};
use goldcrestring::clock::{Clock, Uptime};
use goldcrestring::name::NodeId;
use goldcrestring::process::pause::{self, PauseDetector};
use goldcrestring::process::{Membership, ReplicaId};
use goldcrestring::quantity::Term;
use goldcrestring::request::RetryBudget;
use goldcrestring_wire::client::{Client, ClientSettings};
use goldcrestring_wire::http::{HttpRequest, HttpResponse};
use goldcrestring_wire::platform_adapter::PlatformAdapter;
use goldcrestring_wire::runtime::{SystemClock, sleep, spawn};
use goldcrestring_wire::server::{Peer, ServerSettings, serve};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use smol::net::TcpListener;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Maximum size of a request body from a peer, in bytes; snapshots are the largest.
const MAX_PEER_BODY_BYTES: usize = 64 << 20;

/// Maximum size of a request body from an operator or a backend server, in bytes.
const MAX_CONTROL_BODY_BYTES: usize = 16 << 20;

/// Maximum size of a request body from a caller, in bytes.
const MAX_CALLER_BODY_BYTES: usize = 1 << 20;

/// An error while starting the process.
#[derive(Debug, Display, Error, From)]
pub(crate) enum FleetStartError {
    /// An address can't be bound, or signals can't be handled.
    #[display("{_0}")]
    Io(io::Error),
    /// The data folder can't be opened, or the replica can't be started.
    #[display("{_0}")]
    Storage(StorageError),
    /// The file with the operators' token is invalid.
    #[display("{_0}")]
    Settings(FleetSettingsError),
    /// The metrics recorder can't be installed.
    #[display("{_0}")]
    Metrics(metrics_exporter_prometheus::BuildError),
    /// The node address in the settings is not a valid node name.
    #[display("the node address is not a valid node name")]
    #[from(skip)]
    Name,
}

/// Result of starting the process.
pub(crate) type Result<T> = std::result::Result<T, FleetStartError>;

/// This process's view of the leader.
#[derive(Debug, Default)]
pub(crate) struct Leadership {
    /// The last known leader.
    pub(crate) leader: Option<NodeId>,
    /// The last known replicas.
    pub(crate) replicas: BTreeSet<NodeId>,
    /// Followers that did not respond, with the time until which they get no calls.
    pub(crate) excluded_fronts: BTreeMap<NodeId, Uptime>,
    /// Time of the last response from the leader.
    pub(crate) last_contact_at: Option<Uptime>,
    /// End of this process's leader lease, until which no other replica can lead. `None` if this
    /// process is not the leader.
    pub(crate) leader_lease_until: Option<Uptime>,
    /// The highest term known to this process's replica.
    pub(crate) term: Term,
}

/// State that lives as long as the process.
pub(crate) struct FleetNode {
    pub(crate) id: NodeId,
    pub(crate) settings_path: PathBuf,
    settings: Mutex<Arc<FleetSettings>>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) client: Client,
    /// Parses and encodes the messages of the platform.
    pub(crate) adapter: Arc<dyn PlatformAdapter>,
    /// Bearer token for operators. `None` if the operator API is disabled.
    pub(crate) operator_token: Option<String>,
    /// Handle to this process's replica. `None` without a data folder.
    pub(crate) replica: Option<ReplicaHandle>,
    pub(crate) metrics: PrometheusHandle,
    /// Whether a graceful shutdown is in progress.
    pub(crate) is_stopping: AtomicBool,
    /// When a process that is stopping must have answered its callers.
    pub(crate) answer_by: Mutex<Option<Uptime>>,
    /// Number of calls from callers that are being handled.
    pub(crate) open_calls: AtomicUsize,
    next_request_number: AtomicU64,
    /// Calls handed to other replicas, or made for a leader.
    pub(crate) relay: RelayState,
    /// Requests that this follower hands to the leader.
    pub(crate) front: Front,
    retry_budget: Mutex<RetryBudget>,
    pauses: Mutex<PauseDetector>,
    leadership: Mutex<Leadership>,
}

impl FleetNode {
    /// Returns the current settings.
    pub(crate) fn settings(&self) -> Arc<FleetSettings> {
        Arc::clone(&self.settings.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the current settings.
    pub(crate) fn set_settings(&self, settings: FleetSettings) {
        *self.settings.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(settings);
    }

    /// Locks this process's view of the leader.
    pub(crate) fn leadership(&self) -> MutexGuard<'_, Leadership> {
        self.leadership.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the machine booted.
    pub(crate) fn now(&self) -> Uptime {
        self.clock.uptime()
    }

    /// Returns the wall-clock time, in milliseconds since the Unix epoch.
    pub(crate) fn unix_ms(&self) -> u64 {
        let since_epoch = self.clock.system_time().duration_since(std::time::UNIX_EPOCH);
        since_epoch.map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns whether a graceful shutdown is in progress.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Returns a request number that is unique within the process.
    pub(crate) fn next_request_number(&self) -> u64 {
        self.next_request_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns when this process must have answered its callers, if it is stopping.
    pub(crate) fn answer_by(&self) -> Option<Uptime> {
        *self.answer_by.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a call to the leader, which adds to the budget of repeated attempts.
    pub(crate) fn record_call(&self) {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner).record_request();
    }

    /// Returns whether another attempt of a call without an answer may be made. A leader that answers late
    /// must not get every call twice.
    pub(crate) fn try_retry(&self) -> bool {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner).try_retry()
    }

    /// Records that this process runs, and logs the pause that has just ended, if any.
    fn check_for_pause(&self) {
        let now = self.now();
        let paused = self.pauses.lock().unwrap_or_else(PoisonError::into_inner).check(now);
        if let Some(paused) = paused {
            event!(warn, "process-paused", time_ms = paused.as_millis());
        }
    }

    /// Returns whether a request that is read now may have waited while this process was paused.
    pub(crate) fn may_have_paused(&self) -> bool {
        let now = self.now();
        self.pauses.lock().unwrap_or_else(PoisonError::into_inner).is_uncertain(now)
    }

    /// Returns whether this process is the leader and holds a valid leader lease.
    pub(crate) fn is_leading(&self) -> bool {
        let until = self.leadership().leader_lease_until;
        until.is_some_and(|until| self.now() < until)
    }

    /// Returns all known replicas, the leader first.
    pub(crate) fn replicas(&self) -> Vec<NodeId> {
        let leadership = self.leadership();
        let mut nodes: Vec<_> = leadership.leader.iter().cloned().collect();
        let settings = self.settings();
        for node in leadership.replicas.iter().cloned().chain(settings.seed_nodes()) {
            if !nodes.contains(&node) {
                nodes.push(node);
            }
        }
        nodes
    }
}

/// Runs the process until it receives a termination signal.
///
/// # Errors
///
/// Fails if the process can't be started.
pub(crate) async fn run(
    settings: FleetSettings,
    settings_path: PathBuf,
    adapter: Arc<dyn PlatformAdapter>,
) -> Result<()> {
    let id = settings.node_id().ok_or(FleetStartError::Name)?;
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let started_at = clock.uptime();
    let opened = match &settings.data_folder {
        Some(folder) => {
            if settings.is_bootstrapping && settings.seed_nodes().contains(&id) {
                let voters =
                    settings.seed_nodes().iter().map(storage::initial_replica_id).collect();
                let membership = Membership { voters, ..Membership::default() };
                storage::bootstrap(folder, &storage::initial_replica_id(&id), &membership)?;
            }
            Some(storage::open(&id, folder)?)
        }
        None => None,
    };
    let (replica, receiver) = match opened {
        Some(opened) => {
            let (handle, receiver) = ReplicaHandle::new();
            (Some(handle), Some((opened, receiver)))
        }
        None => (None, None),
    };
    let node = Arc::new(FleetNode {
        id: id.clone(),
        settings_path,
        client: Client::new(ClientSettings {
            connect_timeout: CONNECT_TIMEOUT,
            ..ClientSettings::default()
        }),
        clock,
        adapter,
        operator_token: settings.operator_token()?,
        replica,
        metrics: PrometheusBuilder::new().install_recorder()?,
        is_stopping: AtomicBool::new(false),
        answer_by: Mutex::new(None),
        open_calls: AtomicUsize::new(0),
        next_request_number: AtomicU64::new(1),
        relay: RelayState::default(),
        front: Front::default(),
        retry_budget: Mutex::default(),
        pauses: Mutex::new(PauseDetector::new(started_at)),
        leadership: Mutex::new(Leadership::default()),
        settings: Mutex::new(Arc::new(settings)),
    });
    let watched = Arc::clone(&node);
    spawn(async move { check_for_pauses(&watched).await }).detach();
    listen(&node).await?;
    if let Some(((replica_id, storage, restored), receiver)) = receiver {
        log_start(&node, Some(&replica_id));
        Replica::start(Arc::clone(&node), replica_id, storage, restored, receiver)?;
    } else {
        log_start(&node, None);
        spawn(leader_client::track_leader(Arc::clone(&node))).detach();
    }
    shutdown::wait_and_stop(&node).await?;
    Ok(())
}

/// Checks for pauses until the process ends.
async fn check_for_pauses(node: &FleetNode) {
    loop {
        node.check_for_pause();
        sleep(pause::CHECK_INTERVAL).await;
    }
}

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

fn log_start(node: &FleetNode, replica: Option<&ReplicaId>) {
    let settings = node.settings();
    event!(
        info,
        "started",
        node = node.id,
        label = settings.label,
        replica = replica.map(ToString::to_string).unwrap_or_default(),
        is_founding = settings.is_bootstrapping,
    );
}

/// Binds the addresses in the settings and serves requests to them.
async fn listen(node: &Arc<FleetNode>) -> io::Result<()> {
    let settings = node.settings();
    if let Some(address) = settings.callers {
        let handler = |node, request, _| callers::handle(node, request);
        listen_on(node, address, MAX_CALLER_BODY_BYTES, handler).await?;
    }
    if let Some(address) = settings.health {
        let handler = |node, request, _| callers::handle_health(node, request);
        listen_on(node, address, MAX_CALLER_BODY_BYTES, handler).await?;
    }
    if let Some(address) = settings.control {
        listen_on(node, address, MAX_CONTROL_BODY_BYTES, control::handle).await?;
    }
    if let Some(address) = settings.operators {
        let handler = |node, request, _| operators::handle(node, request);
        listen_on(node, address, MAX_CONTROL_BODY_BYTES, handler).await?;
    }
    let peers = SocketAddr::new(settings.node, settings.peer_port);
    listen_on(node, peers, MAX_PEER_BODY_BYTES, |node, request, _| peers::handle(node, request))
        .await
}

async fn listen_on<F>(
    node: &Arc<FleetNode>,
    address: SocketAddr,
    max_body_bytes: usize,
    handler: fn(Arc<FleetNode>, HttpRequest, Peer) -> F,
) -> io::Result<()>
where
    F: Future<Output = HttpResponse> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let settings = ServerSettings { max_body_bytes, ..ServerSettings::default() };
    let node = Arc::clone(node);
    let handler = move |request, peer| handler(Arc::clone(&node), request, peer);
    let served = serve(listener, settings, handler);
    spawn(async move {
        if let Err(error) = served.await {
            event!(error, "listener-failed", address = address, problem = error);
        }
    })
    .detach();
    Ok(())
}
