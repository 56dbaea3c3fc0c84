//! What all parts of a process of a fleet share, and its start.

use super::replica::{Replica, ReplicaHandle};
use super::settings::{FleetSettings, FleetSettingsError};
use super::{callers, control, leader_client, operators, peers, shutdown};
use crate::log::event;
use crate::storage::{self, StorageError};
use derive_more::{Display, Error, From};
use goldcrestring::clock::{Clock, Uptime};
use goldcrestring::name::NodeId;
use goldcrestring::process::{Membership, ReplicaId};
use goldcrestring_wire::client::{Client, ClientSettings};
use goldcrestring_wire::dialect::Dialect;
use goldcrestring_wire::runtime::{MachineClock, spawn};
use goldcrestring_wire::server::{ServerSettings, serve};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use smol::net::TcpListener;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The longest body of a peer; snapshots are the largest.
const MAX_PEER_BODY_BYTES: usize = 64 << 20;

/// The longest body of an operator or a backend server.
const MAX_CONTROL_BODY_BYTES: usize = 16 << 20;

/// The longest body of a caller.
const MAX_CALLER_BODY_BYTES: usize = 1 << 20;

/// Why the process could not start.
#[derive(Debug, Display, Error, From)]
pub(crate) enum FleetStartError {
    /// An address can't be used.
    #[display("{_0}")]
    Io(io::Error),
    /// The data folder can't be used.
    #[display("{_0}")]
    Storage(StorageError),
    /// A file that the settings name can't be used.
    #[display("{_0}")]
    Settings(FleetSettingsError),
    /// The metrics recorder can't be installed.
    #[display("{_0}")]
    Metrics(metrics_exporter_prometheus::BuildError),
    /// The settings' address is no name.
    #[display("the address of this process can't be its name")]
    #[from(skip)]
    Name,
}

/// The result of starting.
pub(crate) type Result<T> = std::result::Result<T, FleetStartError>;

/// What is known of who leads.
#[derive(Debug, Default)]
pub(crate) struct Leadership {
    /// The leader as last heard of.
    pub(crate) leader: Option<NodeId>,
    /// All replicas as last heard of.
    pub(crate) replicas: BTreeSet<NodeId>,
    /// When the leader last answered.
    pub(crate) last_contact_at: Option<Uptime>,
    /// Until when this process leads and nobody else can; `None` where it does not lead.
    pub(crate) leader_lease_until: Option<Uptime>,
}

/// What lives as long as the process.
pub(crate) struct FleetNode {
    pub(crate) id: NodeId,
    pub(crate) settings_path: PathBuf,
    settings: Mutex<Arc<FleetSettings>>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) client: Client,
    pub(crate) dialect: Arc<dyn Dialect>,
    /// What operators present; `None` where they are not served.
    pub(crate) operator_token: Option<String>,
    pub(crate) replica: Option<ReplicaHandle>,
    pub(crate) metrics: PrometheusHandle,
    pub(crate) is_stopping: AtomicBool,
    pub(crate) open_calls: AtomicUsize,
    next_request: AtomicU64,
    leadership: Mutex<Leadership>,
}

impl FleetNode {
    /// The settings in force.
    pub(crate) fn settings(&self) -> Arc<FleetSettings> {
        Arc::clone(&self.settings.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts new settings in force.
    pub(crate) fn set_settings(&self, settings: FleetSettings) {
        *self.settings.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(settings);
    }

    /// What is known of who leads.
    pub(crate) fn leadership(&self) -> MutexGuard<'_, Leadership> {
        self.leadership.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time since the machine booted.
    pub(crate) fn now(&self) -> Uptime {
        self.clock.uptime()
    }

    /// The calendar time, in milliseconds since 1970.
    pub(crate) fn unix_ms(&self) -> u64 {
        let since = self.clock.system_time().duration_since(std::time::UNIX_EPOCH);
        since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }

    /// Whether a planned stop is under way.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// A number for a call, unique within the process.
    pub(crate) fn next_request(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether this process leads and nobody else can at this moment.
    pub(crate) fn is_leading(&self) -> bool {
        let until = self.leadership().leader_lease_until;
        until.is_some_and(|until| self.now() < until)
    }

    /// All replicas that this process has heard of, the leader first.
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

/// Runs the process until it is told to stop.
pub(crate) async fn run(
    settings: FleetSettings,
    settings_path: PathBuf,
    dialect: Arc<dyn Dialect>,
) -> Result<()> {
    let id = settings.node_id().ok_or(FleetStartError::Name)?;
    let clock: Arc<dyn Clock> = Arc::new(MachineClock);
    let opened = match &settings.data_folder {
        Some(folder) => {
            if settings.is_founding && settings.seed_nodes().contains(&id) {
                let voters = settings.seed_nodes().iter().map(storage::first_replica).collect();
                let membership = Membership { voters, ..Membership::default() };
                storage::bootstrap(folder, &storage::first_replica(&id), &membership)?;
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
        dialect,
        operator_token: settings.operator_token()?,
        replica,
        metrics: PrometheusBuilder::new().install_recorder()?,
        is_stopping: AtomicBool::new(false),
        open_calls: AtomicUsize::new(0),
        next_request: AtomicU64::new(1),
        leadership: Mutex::new(Leadership::default()),
        settings: Mutex::new(Arc::new(settings)),
    });
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

/// How long opening a connection may take before another one is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

fn log_start(node: &FleetNode, replica: Option<&ReplicaId>) {
    let settings = node.settings();
    event!(
        info,
        "started",
        node = node.id,
        label = settings.label,
        replica = replica.map(ToString::to_string).unwrap_or_default(),
        is_founding = settings.is_founding,
    );
}

/// Opens the addresses that the settings give.
async fn listen(node: &Arc<FleetNode>) -> io::Result<()> {
    let settings = node.settings();
    if let Some(address) = settings.callers {
        listen_on(node, address, MAX_CALLER_BODY_BYTES, callers::answer).await?;
    }
    if let Some(address) = settings.health {
        listen_on(node, address, MAX_CALLER_BODY_BYTES, callers::answer_health).await?;
    }
    if let Some(address) = settings.control {
        listen_on(node, address, MAX_CONTROL_BODY_BYTES, control::answer).await?;
    }
    if let Some(address) = settings.operators {
        listen_on(node, address, MAX_CONTROL_BODY_BYTES, operators::answer).await?;
    }
    let peers = SocketAddr::new(settings.node, settings.peer_port);
    listen_on(node, peers, MAX_PEER_BODY_BYTES, peers::answer).await
}

async fn listen_on<F>(
    node: &Arc<FleetNode>,
    address: SocketAddr,
    max_body_bytes: usize,
    answer: fn(Arc<FleetNode>, goldcrestring_wire::http::Call) -> F,
) -> io::Result<()>
where
    F: Future<Output = goldcrestring_wire::http::Reply> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let settings = ServerSettings { max_body_bytes, ..ServerSettings::default() };
    let node = Arc::clone(node);
    let served = serve(listener, settings, move |call, _| answer(Arc::clone(&node), call));
    spawn(async move {
        if let Err(error) = served.await {
            event!(error, "listener-failed", address = address, problem = error);
        }
    })
    .detach();
    Ok(())
}
