//! Settings of the daemon, loaded from YAML and validated. Each error gives the field and the line
//! number.

use derive_more::{Display, Error};
use goldcrestring::name::{DataCentreName, NodeId};
use serde::Deserialize;
use serde_saphyr::Spanned;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// An error from loading the settings.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub(crate) enum SettingsError {
    /// The file can't be read.
    #[display("{}: {problem}", path.display())]
    Read {
        /// Path of the settings file.
        path: PathBuf,
        /// The error of the operating system.
        problem: String,
    },
    /// The file is malformed, or a field is missing, unknown or invalid.
    #[display("{}:{line}: {field}: {problem}", path.display())]
    Field {
        /// Path of the settings file.
        path: PathBuf,
        /// Line number, starting at 1; 0 if unknown.
        line: u64,
        /// Name of the field.
        field: String,
        /// Description of the problem.
        problem: String,
    },
}

/// Result of loading the settings.
pub(crate) type Result<T> = std::result::Result<T, SettingsError>;

/// A process of the cluster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Peer {
    /// Address that the process listens on.
    pub(crate) address: SocketAddr,
    /// Data centre that the process runs in.
    pub(crate) data_centre: DataCentreName,
    /// Whether the process is one of the initial voters of the replicated log.
    pub(crate) is_voter: bool,
    /// Whether the process may replace a failed voter.
    pub(crate) is_spare: bool,
}

/// Settings of one process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Settings {
    /// Name of the cluster. Calls from peers of another cluster are rejected.
    pub(crate) cluster: String,
    /// Name of this process.
    pub(crate) node: NodeId,
    /// Data folder of this process's replica, if it has one.
    pub(crate) data_folder: Option<PathBuf>,
    /// All processes of the cluster, including this one.
    pub(crate) peers: BTreeMap<NodeId, Peer>,
    /// Bearer token for calls between peers.
    pub(crate) peer_token: String,
    /// Bearer token for calls from operators.
    pub(crate) operator_token: String,
    /// Bearer token for calls from and to backend servers.
    pub(crate) backend_token: String,
    /// Number of threads that serve requests.
    pub(crate) threads: usize,
    /// Maximum size of a request body, in bytes.
    pub(crate) max_body_bytes: usize,
    /// Maximum time that a graceful shutdown waits for running requests.
    pub(crate) stop_timeout: Duration,
    /// Time without contact to a voter after which a spare replaces it.
    pub(crate) replace_voter_after: Duration,
    /// Number of log entries after the last snapshot at which the next one is written.
    pub(crate) snapshot_entries: usize,
}

impl Settings {
    /// Loads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the settings file or a token file can't be read, or if a field is invalid.
    pub(crate) fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Read {
            path: path.to_owned(),
            problem: error.to_string(),
        })?;
        Parser { path, text: &text }.parse()
    }

    /// Returns the peer entry of this process.
    pub(crate) fn own_peer(&self) -> &Peer {
        &self.peers[&self.node]
    }

    /// Returns the target number of voters of the replicated log.
    pub(crate) fn target_voters(&self) -> usize {
        self.peers.values().filter(|peer| peer.is_voter).count()
    }

    /// Returns the bearer token for calls between peers.
    ///
    /// It includes the cluster name, so that peers of another cluster are rejected even if they
    /// share the same token.
    pub(crate) fn peer_credential(&self) -> String {
        format!("{}.{}", self.cluster, self.peer_token)
    }

    /// Returns the data centre of each process, used to select the holders of idempotency records.
    pub(crate) fn data_centres(&self) -> BTreeMap<NodeId, DataCentreName> {
        let peers = self.peers.iter();
        peers.map(|(node, peer)| (node.clone(), peer.data_centre.clone())).collect()
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    cluster: Spanned<String>,
    node: Spanned<NodeId>,
    data_folder: Option<Spanned<PathBuf>>,
    peers: Vec<FilePeer>,
    peer_token_file: Spanned<PathBuf>,
    operator_token_file: Spanned<PathBuf>,
    backend_token_file: Spanned<PathBuf>,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    timing: Timing,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FilePeer {
    node: Spanned<NodeId>,
    address: Spanned<SocketAddr>,
    data_centre: DataCentreName,
    #[serde(default)]
    role: Role,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
enum Role {
    /// Serves requests and holds no replica.
    #[default]
    Entry,
    /// Also holds a replica that is one of the initial voters.
    Voter,
    /// Also holds a replica that may replace a failed voter.
    Spare,
}

#[derive(Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Limits {
    threads: Spanned<usize>,
    max_body_bytes: Spanned<usize>,
    snapshot_entries: Spanned<usize>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            threads: without_location(2),
            max_body_bytes: without_location(8 << 20),
            snapshot_entries: without_location(2_000),
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Timing {
    stop_timeout_ms: Spanned<u64>,
    replace_voter_after_ms: Spanned<u64>,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            stop_timeout_ms: without_location(10_000),
            replace_voter_after_ms: without_location(30_000),
        }
    }
}

/// Wraps a default value, which has no location in the file.
fn without_location<T>(value: T) -> Spanned<T> {
    let location = serde_saphyr::Location::UNKNOWN;
    Spanned { value, referenced: location, defined: location }
}

/// Parses and validates the text of a settings file.
struct Parser<'a> {
    path: &'a Path,
    text: &'a str,
}

impl Parser<'_> {
    fn parse(&self) -> Result<Settings> {
        let file: File =
            serde_saphyr::from_str(self.text).map_err(|error| self.parser_error(&error))?;
        let peers = self.peers(&file)?;
        let node = file.node.value.clone();
        if !peers.contains_key(&node) {
            return Err(self.error(&file.node, "node", "is not listed in peers"));
        }
        self.check_number(&file.limits.threads, "threads", 1..=64)?;
        self.check_number(&file.limits.max_body_bytes, "max_body_bytes", 1..=(64 << 20))?;
        self.check_number(&file.limits.snapshot_entries, "snapshot_entries", 10..=1_000_000)?;
        if file.cluster.value.parse::<NodeId>().is_err() {
            return Err(self.error(
                &file.cluster,
                "cluster",
                "must consist of a-z, 0-9, '-', '_' and '.'",
            ));
        }
        let data_folder = self.data_folder(&file, &peers[&node])?;
        Ok(Settings {
            cluster: file.cluster.value.clone(),
            node,
            data_folder,
            peer_token: self.token(&file.peer_token_file, "peer_token_file")?,
            operator_token: self.token(&file.operator_token_file, "operator_token_file")?,
            backend_token: self.token(&file.backend_token_file, "backend_token_file")?,
            peers,
            threads: file.limits.threads.value,
            max_body_bytes: file.limits.max_body_bytes.value,
            snapshot_entries: file.limits.snapshot_entries.value,
            stop_timeout: Duration::from_millis(file.timing.stop_timeout_ms.value),
            replace_voter_after: Duration::from_millis(file.timing.replace_voter_after_ms.value),
        })
    }

    fn peers(&self, file: &File) -> Result<BTreeMap<NodeId, Peer>> {
        let mut addresses = BTreeSet::new();
        let mut peers = BTreeMap::new();
        for peer in &file.peers {
            if !addresses.insert(peer.address.value) {
                return Err(self.error(
                    &peer.address,
                    "address",
                    "is already used by another peer",
                ));
            }
            let new_peer = Peer {
                address: peer.address.value,
                data_centre: peer.data_centre.clone(),
                is_voter: peer.role == Role::Voter,
                is_spare: peer.role == Role::Spare,
            };
            if peers.insert(peer.node.value.clone(), new_peer).is_some() {
                return Err(self.error(&peer.node, "node", "is already used by another peer"));
            }
        }
        if !peers.values().any(|peer| peer.is_voter) {
            return Err(self.error(&file.cluster, "peers", "must contain at least one voter"));
        }
        Ok(peers)
    }

    fn data_folder(&self, file: &File, own: &Peer) -> Result<Option<PathBuf>> {
        let has_replica = own.is_voter || own.is_spare;
        match &file.data_folder {
            None if has_replica => Err(self.error(
                &file.node,
                "data_folder",
                "is required: a voter or spare stores its replica there",
            )),
            None => Ok(None),
            Some(folder) if !has_replica => Err(self.error(
                folder,
                "data_folder",
                "must not be set: this node is neither a voter nor a spare",
            )),
            Some(folder) => {
                let path = self.resolve_path(&folder.value);
                if !path.is_dir() {
                    return Err(self.error(
                        folder,
                        "data_folder",
                        "does not exist or is not a directory",
                    ));
                }
                Ok(Some(path))
            }
        }
    }

    fn token(&self, file: &Spanned<PathBuf>, field: &str) -> Result<String> {
        let read = std::fs::read_to_string(self.resolve_path(&file.value));
        let text = read.map_err(|error| self.error(file, field, &error.to_string()))?;
        let token = text.trim();
        if !is_valid_token(token) {
            let problem = "must contain at least 16 printable ASCII characters and no spaces";
            return Err(self.error(file, field, problem));
        }
        Ok(token.to_owned())
    }

    fn check_number(
        &self,
        number: &Spanned<usize>,
        field: &str,
        range: std::ops::RangeInclusive<usize>,
    ) -> Result<()> {
        if range.contains(&number.value) {
            return Ok(());
        }
        let problem = format!("must be from {} to {}", range.start(), range.end());
        Err(self.error(number, field, &problem))
    }

    /// Resolves a path relative to the directory of the settings file.
    fn resolve_path(&self, path: &Path) -> PathBuf {
        self.path.parent().unwrap_or_else(|| Path::new(".")).join(path)
    }

    fn error<T>(&self, at: &Spanned<T>, field: &str, problem: &str) -> SettingsError {
        SettingsError::Field {
            path: self.path.to_owned(),
            line: at.referenced.line(),
            field: field.to_owned(),
            problem: problem.to_owned(),
        }
    }

    /// Converts a parser error into a single-line error that names the field.
    fn parser_error(&self, error: &serde_saphyr::Error) -> SettingsError {
        let line = error.location().map_or(0, |location| location.line());
        let index = usize::try_from(line).unwrap_or(0).saturating_sub(1);
        let source = self.text.lines().nth(index).unwrap_or("");
        let field = source.trim().trim_start_matches("- ").split(':').next().unwrap_or("");
        let message = error.to_string();
        let problem = message.lines().next().unwrap_or("").trim_start_matches("error: ");
        // The parser's message repeats the position, which `SettingsError` already includes.
        let problem = match problem.split_once(": ") {
            Some((position, problem)) if position.starts_with("line ") => problem,
            _ => problem,
        };
        SettingsError::Field {
            path: self.path.to_owned(),
            line,
            field: field.to_owned(),
            problem: problem.to_owned(),
        }
    }
}

/// Returns whether a text is a valid token: at least 16 printable ASCII characters, no spaces.
pub(crate) fn is_valid_token(text: &str) -> bool {
    text.len() >= 16 && text.bytes().all(|byte| byte.is_ascii_graphic())
}
