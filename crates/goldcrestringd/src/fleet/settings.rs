//! Settings of a fleet process, loaded from YAML and validated.

use crate::settings::is_valid_token;
use derive_more::{Display, Error};
use goldcrestring::job::EngineSettings;
use goldcrestring::name::NodeId;
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// An error from loading the settings.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("{}: {problem}", path.display())]
pub(crate) struct FleetSettingsError {
    /// Path of the settings or token file.
    path: PathBuf,
    /// Description of the problem, with the line if known.
    problem: String,
}

/// Result of loading the settings.
pub(crate) type Result<T> = std::result::Result<T, FleetSettingsError>;

/// Settings of one process.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub(crate) struct FleetSettings {
    /// IP address of this process, which is also its name among its peers.
    pub(crate) node: IpAddr,
    /// Name of this process for operators and the platform.
    pub(crate) label: String,
    /// Listen address for callers.
    pub(crate) callers: Option<SocketAddr>,
    /// Listen address for health checks of the load balancer.
    pub(crate) health: Option<SocketAddr>,
    /// Listen address for operators and backend servers.
    pub(crate) control: Option<SocketAddr>,
    /// Listen address for the operator API for jobs.
    #[serde(default)]
    pub(crate) operators: Option<SocketAddr>,
    /// Path of the file with the operators' token; required if `operators` is set.
    #[serde(default)]
    pub(crate) operator_token_file: Option<PathBuf>,
    /// Port for calls between processes; the same on all of them.
    pub(crate) peer_port: u16,
    /// Control addresses of replicas through which a process finds the others.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Whether this is the first start of a new cluster; its seeds are then the initial voters.
    #[serde(rename = "is_founding")]
    pub(crate) is_bootstrapping: bool,
    /// Data folder of this process's replica, if it has one.
    pub(crate) data_folder: Option<PathBuf>,
    /// Number of replicas that may fail at the same time.
    #[serde(rename = "failures_borne")]
    pub(crate) tolerated_failures: usize,
    /// Interval between announcements of a backend server, in milliseconds.
    pub(crate) announcement_interval_ms: u64,
    /// Maximum lease that a backend server grants, in milliseconds.
    pub(crate) max_lease_ms: u64,
    /// Address of the adviser for queues.
    pub(crate) adviser: Option<SocketAddr>,
    /// Address of the platform's API for VMs.
    pub(crate) machines: Option<SocketAddr>,
    /// Minimum time from the last order of one leader for VMs to the first of the next leader, in
    /// milliseconds.
    #[serde(rename = "upkeep_lease_ms")]
    pub(crate) maintenance_handover_ms: u64,
    /// Duration of a VM's maintenance, in seconds.
    #[serde(rename = "upkeep_s")]
    pub(crate) maintenance_duration_s: f64,
    /// Time for which an ended job stays stored and can be read, in seconds.
    pub(crate) retention_s: f64,
    /// Memory that this process may use, in MB.
    #[serde(default = "default_memory_mb")]
    pub(crate) memory_mb: u64,
    /// Share of the memory that the records of jobs may take, in percent; jobs beyond it are refused.
    #[serde(default = "default_max_record_percent")]
    pub(crate) max_record_percent: u64,
    /// Number of backend servers above which the leader hands its calls to them to other replicas.
    #[serde(default = "default_relay_above_servers")]
    pub(crate) relay_above_servers: usize,
    /// Maximum duration of a graceful shutdown, in seconds.
    #[serde(rename = "stop_s")]
    pub(crate) stop_timeout_s: f64,
}

impl FleetSettings {
    /// Loads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, if a field is missing, unknown or malformed, or if fields
    /// contradict each other.
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
            return Err(
                "callers or control must be set: without both, the process serves no requests",
            );
        }
        if self.control.is_some() && self.data_folder.is_none() {
            return Err("data_folder must be set if control is set: it stores the replica's log");
        }
        if self.operators.is_some() && self.operator_token_file.is_none() {
            return Err("operator_token_file must be set if operators is set");
        }
        if self.seeds.is_empty() {
            return Err("seeds must contain the address of at least one replica");
        }
        if self.memory_mb == 0 || !(1..=100).contains(&self.max_record_percent) {
            return Err("memory_mb must be above zero, max_record_percent between 1 and 100");
        }
        if self.announcement_interval_ms == 0 || self.max_lease_ms == 0 {
            return Err("announcement_interval_ms and max_lease_ms must be above zero");
        }
        Ok(())
    }

    /// Returns the operators' token, or `None` if the operator API is disabled.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, or if its token has fewer than 16 characters or any that is
    /// not printable ASCII.
    pub(crate) fn operator_token(&self) -> Result<Option<String>> {
        let Some(path) = &self.operator_token_file else { return Ok(None) };
        let error = |problem: String| FleetSettingsError { path: path.clone(), problem };
        let text = std::fs::read_to_string(path).map_err(|io| error(io.to_string()))?;
        let token = text.trim();
        if !is_valid_token(token) {
            return Err(error(
                "must contain at least 16 printable ASCII characters and no spaces".to_owned(),
            ));
        }
        Ok(Some(token.to_owned()))
    }

    /// Returns the name of this process, or `None` if its address is not a valid name.
    pub(crate) fn node_id(&self) -> Option<NodeId> {
        node_id(self.node)
    }

    /// Returns the replicas that the seeds refer to.
    pub(crate) fn seed_nodes(&self) -> Vec<NodeId> {
        self.seeds.iter().filter_map(|seed| node_id(seed.ip())).collect()
    }

    /// Returns a process's address for calls between processes, or `None` if its name is not an IP
    /// address.
    pub(crate) fn peer_address(&self, node: &NodeId) -> Option<SocketAddr> {
        Some(SocketAddr::new(node.as_str().parse().ok()?, self.peer_port))
    }

    /// Returns the target number of voters of the replicated log.
    pub(crate) const fn target_voters(&self) -> usize {
        2 * self.tolerated_failures + 1
    }

    /// Returns the settings of the scheduling engine.
    pub(crate) fn engine(&self) -> EngineSettings {
        let defaults = EngineSettings::default();
        let seconds = |seconds: f64| Duration::from_secs_f64(seconds.clamp(0.0, MAX_SECONDS));
        EngineSettings {
            lease: defaults.lease.min(Duration::from_millis(self.max_lease_ms)),
            max_lease: Duration::from_millis(self.max_lease_ms),
            announcement_interval: Duration::from_millis(self.announcement_interval_ms),
            maintenance_handover: Duration::from_millis(self.maintenance_handover_ms)
                + HANDOVER_MARGIN,
            maintenance_duration: seconds(self.maintenance_duration_s),
            retention: seconds(self.retention_s),
            max_record_bytes: self.max_record_bytes(),
            ..defaults
        }
    }

    /// Returns the memory that the records of jobs may take, in bytes.
    pub(crate) const fn max_record_bytes(&self) -> u64 {
        self.memory_mb.saturating_mul(1 << 20).saturating_mul(self.max_record_percent) / 100
    }

    /// Returns the maximum duration of a graceful shutdown.
    pub(crate) fn stop_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.stop_timeout_s.clamp(0.0, MAX_SECONDS))
    }
}

const fn default_memory_mb() -> u64 {
    256
}

const fn default_max_record_percent() -> u64 {
    12
}

const fn default_relay_above_servers() -> usize {
    100
}

/// Maximum duration in the settings, in seconds.
const MAX_SECONDS: f64 = 86_400.0;

/// Safety margin added to `maintenance_handover_ms`.
const HANDOVER_MARGIN: Duration = Duration::from_millis(500);

/// Returns the name of a process, which is its address as text, or `None` for an IPv6 address,
/// whose colons are not allowed in names.
pub(crate) fn node_id(address: IpAddr) -> Option<NodeId> {
    address.to_string().parse().ok()
}
