//! Shared state of the process and its startup.

use crate::entry::Entry;
use crate::log::event;
use crate::replica::{Replica, ReplicaHandle};
use crate::settings::Settings;
use crate::{backends, dispatch, lease_client, records, shutdown, storage};
use derive_more::{Display, Error, From};
use goldcrestring::clock::{Clock, Uptime};
use goldcrestring::name::NodeId;
use goldcrestring::process::EntryInstance;
use goldcrestring::process::idempotency::RecordStore;
use goldcrestring::quantity::BootId;
use goldcrestring_wire::client::{CallError, Client, ClientSettings, Reuse};
use goldcrestring_wire::codec::{self, CodecError};
use goldcrestring_wire::http::HttpRequest;
use goldcrestring_wire::runtime::{SystemClock, sleep, spawn};
use goldcrestring_wire::server::{ServerSettings, serve};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::net::TcpListener;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Interval between housekeeping runs.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);

/// An error while starting the process.
#[derive(Debug, Display, Error, From)]
pub(crate) enum StartError {
    /// The listen address can't be bound, or signals can't be handled.
    #[display("{_0}")]
    Io(io::Error),
    /// The data folder can't be opened, or the replica can't be started.
    #[display("{_0}")]
    Storage(storage::StorageError),
    /// The metrics recorder can't be installed.
    #[display("{_0}")]
    Metrics(metrics_exporter_prometheus::BuildError),
    /// The random number generator failed.
    #[display("can't generate a random boot id")]
    #[from(skip)]
    Randomness,
}

/// An error from calling a peer.
#[derive(Debug, Display, Error, From)]
pub(crate) enum PeerError {
    /// The call failed.
    #[display("{_0}")]
    Call(CallError),
    /// The message could not be encoded or decoded.
    #[display("{_0}")]
    Codec(CodecError),
    /// The peer rejected the call.
    #[display("the peer rejected the call with status {status}")]
    #[from(skip)]
    Rejected {
        /// HTTP status code.
        status: u16,
    },
    /// The settings contain no such peer.
    #[display("the settings contain no such peer")]
    #[from(skip)]
    UnknownPeer,
}

/// State that lives as long as the process.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) client: Client,
    /// Identity of this run of the process.
    pub(crate) instance: EntryInstance,
    /// Handle to this process's replica. `None` without a data folder.
    pub(crate) replica: Option<ReplicaHandle>,
    pub(crate) metrics: PrometheusHandle,
    /// Wakes the lease client ahead of its next scheduled call.
    pub(crate) lease_wakeup: smol::channel::Sender<()>,
    /// Whether a graceful shutdown is in progress.
    pub(crate) is_stopping: AtomicBool,
    /// Whether the initial discovery of backend servers has finished or timed out.
    pub(crate) is_ready: AtomicBool,
    /// Whether this entry answers for idempotency keys as their holder, or the time for copying the
    /// records is over.
    pub(crate) has_records: AtomicBool,
    /// Number of requests from callers that are being handled.
    pub(crate) open_requests: AtomicUsize,
    entry: Mutex<Entry>,
    records: Mutex<RecordStore>,
    leader_hint: Mutex<Option<NodeId>>,
}

impl Node {
    /// Locks the state of the entry role.
    pub(crate) fn entry(&self) -> MutexGuard<'_, Entry> {
        self.entry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the idempotency records held by this process.
    pub(crate) fn records(&self) -> MutexGuard<'_, RecordStore> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the machine booted.
    pub(crate) fn now(&self) -> Uptime {
        self.clock.uptime()
    }

    /// Returns the last known leader.
    pub(crate) fn leader_hint(&self) -> Option<NodeId> {
        self.leader_hint.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sets the last known leader, or clears it.
    pub(crate) fn set_leader_hint(&self, leader: Option<NodeId>) {
        *self.leader_hint.lock().unwrap_or_else(PoisonError::into_inner) = leader;
    }

    /// Returns whether a graceful shutdown is in progress.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Sends a message to a peer and decodes its response.
    ///
    /// # Errors
    ///
    /// Fails if the settings do not contain the peer, if the call fails or is rejected, or if a
    /// message can't be encoded or decoded.
    pub(crate) async fn call_peer<Req: Serialize, Resp: DeserializeOwned>(
        &self,
        peer: &NodeId,
        path: &str,
        message: &Req,
        timeout: Duration,
    ) -> Result<Resp, PeerError> {
        let address = self.settings.peers.get(peer).ok_or(PeerError::UnknownPeer)?.address;
        let request = HttpRequest::peer(path, codec::encode(message)?)
            .bearer(&self.settings.peer_credential());
        let response = self.client.call(address, request, timeout, Reuse::Allowed).await?;
        if !response.is_success() {
            return Err(PeerError::Rejected { status: response.status });
        }
        Ok(codec::decode(&response.body)?)
    }

    /// Removes expired backend servers and idempotency records, starts waiting requests and updates
    /// the metrics.
    fn run_housekeeping(&self) {
        let now = self.now();
        let expired = {
            let mut entry = self.entry();
            let expired = entry.state.servers.expire(now);
            entry.start_waiting_requests(now);
            expired
        };
        for vm in expired {
            event!(warn, "backend-server-forgotten", vm = vm, reason = "lease-ran-out");
        }
        self.records().expire(now);
        let entry = self.entry();
        metrics::gauge!("goldcrestring_waiting_requests")
            .set(entry.state.admission.waiting() as f64);
        metrics::gauge!("goldcrestring_backend_servers").set(entry.state.servers.len() as f64);
        metrics::gauge!("goldcrestring_revision")
            .set(entry.state.configuration.revision().get() as f64);
        let has_lease = f64::from(u8::from(entry.state.lease.is_valid(now)));
        metrics::gauge!("goldcrestring_configuration_lease").set(has_lease);
    }
}

/// Runs the process until it receives a termination signal.
///
/// # Errors
///
/// Fails if the process can't be started.
pub(crate) async fn run(settings: Settings) -> Result<(), StartError> {
    let listener = TcpListener::bind(settings.own_peer().address).await?;
    let mut boot = [0; 8];
    getrandom::fill(&mut boot).map_err(|_| StartError::Randomness)?;
    let boot = BootId::new(u64::from_le_bytes(boot));
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let opened = match &settings.data_folder {
        Some(folder) => Some(storage::open(&settings.node, folder)?),
        None => None,
    };
    let (replica, receiver) = match opened {
        Some(opened) => {
            let (handle, receiver) = ReplicaHandle::new();
            (Some(handle), Some((opened, receiver)))
        }
        None => (None, None),
    };
    let (lease_wakeup, wakeups) = smol::channel::bounded(1);
    let node = Arc::new(Node {
        instance: EntryInstance { node: settings.node.clone(), boot },
        client: Client::new(ClientSettings::default()),
        replica,
        metrics: PrometheusBuilder::new().install_recorder()?,
        lease_wakeup,
        is_stopping: AtomicBool::new(false),
        is_ready: AtomicBool::new(false),
        has_records: AtomicBool::new(false),
        open_requests: AtomicUsize::new(0),
        entry: Mutex::new(Entry::new(boot.get())),
        records: Mutex::new(RecordStore::new(clock.system_time())),
        leader_hint: Mutex::new(None),
        clock,
        settings,
    });
    if let Some(((id, storage, restored), receiver)) = receiver {
        Replica::start(Arc::clone(&node), id, storage, restored, receiver)?;
    }
    start_tasks(&node, listener, wakeups);
    event!(
        info,
        "started",
        node = node.settings.node,
        boot = boot,
        address = node.settings.own_peer().address,
        data_centre = node.settings.own_peer().data_centre,
    );
    shutdown::wait_and_stop(&node).await?;
    Ok(())
}

fn start_tasks(node: &Arc<Node>, listener: TcpListener, wakeups: smol::channel::Receiver<()>) {
    let server = ServerSettings {
        max_body_bytes: node.settings.max_body_bytes.max(MIN_PEER_BODY_BYTES),
        ..ServerSettings::default()
    };
    let handler = Arc::clone(node);
    let served = serve(listener, server, move |request, _| {
        let node = Arc::clone(&handler);
        async move { dispatch::handle(&node, request).await }
    });
    spawn(async move {
        if let Err(error) = served.await {
            event!(error, "listener-failed", problem = error);
        }
    })
    .detach();
    spawn(lease_client::run(Arc::clone(node), wakeups)).detach();
    spawn(backends::copy_from_peers(Arc::clone(node))).detach();
    spawn(records::copy_from_peers(Arc::clone(node))).detach();
    spawn(records::end_copying(Arc::clone(node))).detach();
    let housekeeping_node = Arc::clone(node);
    spawn(async move {
        loop {
            housekeeping_node.run_housekeeping();
            sleep(HOUSEKEEPING_INTERVAL).await;
        }
    })
    .detach();
}

/// Lower bound of the server's body limit: peers send snapshots and pages of records, which may be
/// larger than any caller's request.
const MIN_PEER_BODY_BYTES: usize = 64 << 20;
