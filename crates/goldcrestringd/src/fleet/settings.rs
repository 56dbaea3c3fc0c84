//! The settings of one process of a fleet: read from YAML and checked.

use crate::settings::is_valid_token;
use derive_more::{Display, Error};
use goldcrestring::job::EngineSettings;
use goldcrestring::name::NodeId;
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Why settings can't be used.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("{}: {problem}", path.display())]
pub(crate) struct FleetSettingsError {
    /// The file.
    path: PathBuf,
    /// What is wrong, with the line where there is one.
    problem: String,
}

/// The result of reading settings.
pub(crate) type Result<T> = std::result::Result<T, FleetSettingsError>;

/// The settings of one process.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub(crate) struct FleetSettings {
    /// This process's address, by which the others know it.
    pub(crate) node: IpAddr,
    /// This process's name towards operators and the platform.
    pub(crate) label: String,
    /// Where callers are served.
    pub(crate) callers: Option<SocketAddr>,
    /// Where the balancer asks whether callers may be sent.
    pub(crate) health: Option<SocketAddr>,
    /// Where operators and backend servers are served.
    pub(crate) control: Option<SocketAddr>,
    /// Where the product's own calls about jobs are served.
    #[serde(default)]
    pub(crate) operators: Option<SocketAddr>,
    /// The file with the operators' token; needed where `operators` is given.
    #[serde(default)]
    pub(crate) operator_token_file: Option<PathBuf>,
    /// The port for calls between processes; the same everywhere.
    pub(crate) peer_port: u16,
    /// Control addresses of some replicas.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Whether the cluster starts for the first time.
    pub(crate) is_founding: bool,
    /// The folder of this process's replica, where it has one.
    pub(crate) data_folder: Option<PathBuf>,
    /// How many replicas may be lost at once.
    pub(crate) failures_borne: usize,
    /// The time between two announcements of a backend server, in milliseconds.
    pub(crate) announcement_interval_ms: u64,
    /// The longest lease that a backend server grants, in milliseconds.
    pub(crate) max_lease_ms: u64,
    /// Where the adviser of queues is asked.
    pub(crate) adviser: Option<SocketAddr>,
    /// Where VMs are ordered.
    pub(crate) machines: Option<SocketAddr>,
    /// How long two holders that order VMs must be apart, in milliseconds.
    pub(crate) upkeep_lease_ms: u64,
    /// How long a VM is down for its upkeep, in seconds.
    pub(crate) upkeep_s: f64,
    /// How long an ended job is remembered, in seconds.
    pub(crate) retention_s: f64,
    /// How long a planned stop may take, in seconds.
    pub(crate) stop_s: f64,
}

impl FleetSettings {
    /// Reads and checks a file.
    pub(crate) fn load(path: &Path) -> Result<Self> {
        let error = |problem: String| FleetSettingsError { path: path.to_owned(), problem };
        let text = std::fs::read_to_string(path).map_err(|io| error(io.to_string()))?;
        let settings: Self =
            serde_saphyr::from_str(&text).map_err(|yaml| error(yaml.to_string()))?;
        settings.check().map_err(|problem| error(problem.to_owned()))?;
        Ok(settings)
    }

    fn check(&self) -> std::result::Result<(), &'static str> {
        if self.callers.is_none() && self.control.is_none() {
            return Err("callers or control must be given: the process would serve nobody");
        }
        if self.control.is_some() && self.data_folder.is_none() {
            return Err("data_folder must be given where control is: a replica keeps its log");
        }
        if self.operators.is_some() && self.operator_token_file.is_none() {
            return Err("operator_token_file must be given where operators is");
        }
        if self.seeds.is_empty() {
            return Err("seeds must name at least one replica");
        }
        if self.announcement_interval_ms == 0 || self.max_lease_ms == 0 {
            return Err("announcement_interval_ms and max_lease_ms must be above zero");
        }
        Ok(())
    }

    /// The operators' token, where operators are served.
    ///
    /// # Errors
    ///
    /// The file can't be read, or holds less than 16 printable ASCII characters.
    pub(crate) fn operator_token(&self) -> Result<Option<String>> {
        let Some(path) = &self.operator_token_file else { return Ok(None) };
        let error = |problem: String| FleetSettingsError { path: path.clone(), problem };
        let text = std::fs::read_to_string(path).map_err(|io| error(io.to_string()))?;
        let token = text.trim();
        if !is_valid_token(token) {
            return Err(error("must hold at least 16 printable ASCII characters".to_owned()));
        }
        Ok(Some(token.to_owned()))
    }

    /// The name of this process.
    pub(crate) fn node_id(&self) -> Option<NodeId> {
        node_id(self.node)
    }

    /// The replicas that the seeds name.
    pub(crate) fn seed_nodes(&self) -> Vec<NodeId> {
        self.seeds.iter().filter_map(|seed| node_id(seed.ip())).collect()
    }

    /// The address for calls between processes.
    pub(crate) fn peer_address(&self, node: &NodeId) -> Option<SocketAddr> {
        Some(SocketAddr::new(node.as_str().parse().ok()?, self.peer_port))
    }

    /// The number of voters that the replicated log is to have.
    pub(crate) const fn target_voters(&self) -> usize {
        2 * self.failures_borne + 1
    }

    /// The times of the engine.
    pub(crate) fn engine(&self) -> EngineSettings {
        let defaults = EngineSettings::default();
        let seconds = |seconds: f64| Duration::from_secs_f64(seconds.clamp(0.0, MAX_SECONDS));
        EngineSettings {
            lease: defaults.lease.min(Duration::from_millis(self.max_lease_ms)),
            announcement_interval: Duration::from_millis(self.announcement_interval_ms),
            maintenance_handover: Duration::from_millis(self.upkeep_lease_ms) + HANDOVER_MARGIN,
            maintenance_duration: seconds(self.upkeep_s),
            ..defaults
        }
    }

    /// How long an ended job is remembered.
    pub(crate) fn retention(&self) -> Duration {
        Duration::from_secs_f64(self.retention_s.clamp(0.0, MAX_SECONDS))
    }

    /// How long a planned stop may take.
    pub(crate) fn stop_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.stop_s.clamp(0.0, MAX_SECONDS))
    }
}

/// The longest time that settings can give, in seconds.
const MAX_SECONDS: f64 = 86_400.0;

/// Added to the time between two holders that order VMs.
const HANDOVER_MARGIN: Duration = Duration::from_millis(500);

/// The name of a process: its address as text.
pub(crate) fn node_id(address: IpAddr) -> Option<NodeId> {
    address.to_string().parse().ok()
}
