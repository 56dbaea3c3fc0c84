//! The data folder of a replica: identity, snapshot and journal.
//!
//! A write is durable only once the file is synced and, for a new or renamed file, its directory
//! too.

mod append_retry;

use crate::log::event;
use crate::settings::Settings;
use append_retry::append_with_retry;
use derive_more::{Display, Error, From};
use goldcrestring::name::NodeId;
use goldcrestring::process::consensus::RestoredState;
use goldcrestring::process::journal::{self, JournalError, JournalRecord};
use goldcrestring::process::{HardState, LogEntry, Membership, ReplicaId, Snapshot};
use goldcrestring::quantity::{Incarnation, LogIndex};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Delay before a write to a full disk is retried.
const FULL_DISK_RETRY_DELAY: Duration = Duration::from_millis(100);

const DAMAGED_PREFIX: &str = "damaged-";
const IDENTITY_FILE: &str = "identity";
const JOURNAL_PREFIX: &str = "journal-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const TEMPORARY_SUFFIX: &str = ".tmp";

/// Incarnation of the initial voters of a new cluster.
const INITIAL_INCARNATION: Incarnation = Incarnation::new(1);

/// An error from using a data folder.
#[derive(Debug, Display, Error, From)]
pub(crate) enum StorageError {
    /// An I/O error.
    #[display("{}: {error}", path.display())]
    #[from(skip)]
    Io {
        /// Path of the file or directory.
        path: PathBuf,
        /// The error of the operating system.
        #[error(source)]
        error: io::Error,
    },
    /// The journal is corrupt, or a journal record or snapshot can't be encoded.
    #[display("{_0}")]
    Journal(JournalError),
    /// A snapshot is missing or corrupt.
    #[display("the journal's base snapshot at index {index} is missing or corrupt")]
    #[from(skip)]
    Snapshot {
        /// Log index of the snapshot.
        index: LogIndex,
    },
    /// The data folder is already initialized.
    #[display("{} is already initialized", path.display())]
    #[from(skip)]
    AlreadyInitialized {
        /// Path of the data folder.
        path: PathBuf,
    },
    /// The settings do not make this node a voter.
    #[display("only a node with the role of a voter can be initialized")]
    #[from(skip)]
    NotVoter,
    /// The replica's thread can't be started.
    #[display("can't start the replica thread: {_0}")]
    #[from(skip)]
    Thread(#[error(source)] io::Error),
    /// The random number generator failed.
    #[display("can't generate a random incarnation")]
    #[from(skip)]
    Randomness,
}

/// Result of using a data folder.
pub(crate) type Result<T> = std::result::Result<T, StorageError>;

/// Initializes the data folder of an initial voter of a new cluster.
///
/// # Errors
///
/// Fails if the node is not a voter, or if the data folder is already initialized or can't be
/// written.
pub(crate) fn init(settings: &Settings) -> Result<()> {
    let folder = settings.data_folder.as_ref().filter(|_| settings.own_peer().is_voter);
    let folder = folder.ok_or(StorageError::NotVoter)?;
    if folder.join(IDENTITY_FILE).exists() {
        return Err(StorageError::AlreadyInitialized { path: folder.clone() });
    }
    let voters = settings.peers.iter().filter(|(_, peer)| peer.is_voter);
    let voters = voters.map(|(node, _)| initial_replica_id(node)).collect();
    let membership = Membership { voters, ..Membership::default() };
    write_initial(folder, &initial_replica_id(&settings.node), &membership)
}

/// Initializes the data folder of an initial voter, unless it is already initialized.
///
/// # Errors
///
/// Fails if the data folder can't be written.
pub(crate) fn bootstrap(folder: &Path, id: &ReplicaId, membership: &Membership) -> Result<()> {
    if folder.join(IDENTITY_FILE).exists() {
        return Ok(());
    }
    write_initial(folder, id, membership)
}

/// Writes the files of an initial voter: an empty snapshot with the membership, a journal and the
/// identity.
fn write_initial(folder: &Path, id: &ReplicaId, membership: &Membership) -> Result<()> {
    let snapshot = Snapshot { membership: membership.clone(), ..Snapshot::default() };
    Storage::create(folder, &snapshot, &HardState::default(), &[], 1)?;
    write_atomically(folder, IDENTITY_FILE, id.incarnation.to_string().as_bytes())
}

/// Returns the replica id of an initial voter of a new cluster.
pub(crate) fn initial_replica_id(node: &NodeId) -> ReplicaId {
    ReplicaId { node: node.clone(), incarnation: INITIAL_INCARNATION }
}

/// Opens a data folder. If it is empty or corrupt, starts a new incarnation of the replica.
///
/// # Errors
///
/// Fails if the data folder can't be read or written, or if no random incarnation can be generated.
pub(crate) fn open(node: &NodeId, folder: &Path) -> Result<(ReplicaId, Storage, RestoredState)> {
    let identity = folder.join(IDENTITY_FILE);
    let incarnation = std::fs::read_to_string(&identity).ok();
    let incarnation = incarnation.and_then(|text| text.trim().parse::<Incarnation>().ok());
    if let Some(incarnation) = incarnation {
        match Storage::load(folder) {
            Ok((storage, restored)) => {
                let id = ReplicaId { node: node.clone(), incarnation };
                return Ok((id, storage, restored));
            }
            Err(error @ StorageError::Io { .. }) => return Err(error),
            Err(error) => {
                event!(error, "replica-damaged", problem = error, action = "rejoin-as-learner");
                quarantine(folder, incarnation)?;
            }
        }
    }
    start_new_incarnation(node, folder)
}

fn start_new_incarnation(
    node: &NodeId,
    folder: &Path,
) -> Result<(ReplicaId, Storage, RestoredState)> {
    // Journal files without an identity are left over from an interrupted quarantine.
    if file_names(folder)?.iter().any(|name| parse_number(name, JOURNAL_PREFIX).is_some()) {
        quarantine(folder, Incarnation::ZERO)?;
    }
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).map_err(|_| StorageError::Randomness)?;
    // Initial voters have incarnation 1; bit 32 keeps random incarnations distinct from it.
    let incarnation = Incarnation::new(u64::from_le_bytes(bytes) | 1 << 32);
    let id = ReplicaId { node: node.clone(), incarnation };
    let restored = RestoredState::default();
    let storage =
        Storage::create(folder, &restored.snapshot, &restored.hard_state, &restored.entries, 1)?;
    write_atomically(folder, IDENTITY_FILE, incarnation.to_string().as_bytes())?;
    event!(warn, "replica-new-incarnation", replica = id);
    Ok((id, storage, restored))
}

/// Moves the files of a corrupt replica to a subdirectory, where they are kept for analysis.
fn quarantine(folder: &Path, incarnation: Incarnation) -> Result<()> {
    let quarantine_folder = folder.join(format!("{DAMAGED_PREFIX}{incarnation}"));
    std::fs::create_dir_all(&quarantine_folder)
        .map_err(|error| io_error(&quarantine_folder, error))?;
    // The identity is moved first: without it, the data folder counts as empty even if the process
    // stops before all files are moved.
    let names = file_names(folder)?;
    let is_identity = |name: &&String| name.as_str() == IDENTITY_FILE;
    let (identity, others): (Vec<_>, Vec<_>) = names.iter().partition(is_identity);
    for name in identity.into_iter().chain(others) {
        if name.starts_with(DAMAGED_PREFIX) {
            continue;
        }
        std::fs::rename(folder.join(name), quarantine_folder.join(name))
            .map_err(|error| io_error(folder, error))?;
        sync_folder(folder)?;
    }
    Ok(())
}

/// The data folder of a replica, with its open journal.
#[derive(Debug)]
pub(crate) struct Storage {
    folder: PathBuf,
    journal: File,
    journal_path: PathBuf,
    journal_bytes: u64,
    /// Number of the open journal, which is part of its file name.
    sequence: u64,
}

impl Storage {
    /// Writes a snapshot and a new journal based on it.
    fn create(
        folder: &Path,
        snapshot: &Snapshot,
        hard_state: &HardState,
        entries: &[LogEntry],
        sequence: u64,
    ) -> Result<Self> {
        let mut framed = Vec::new();
        frame_snapshot(&mut framed, snapshot)?;
        write_atomically(folder, &snapshot_name(snapshot.index), &framed)?;
        let mut bytes = Vec::new();
        journal::append(&mut bytes, &JournalRecord::Base(snapshot.index))?;
        journal::append(&mut bytes, &JournalRecord::HardState(hard_state.clone()))?;
        for entry in entries {
            journal::append(&mut bytes, &JournalRecord::Entry(entry.clone()))?;
        }
        let name = journal_name(sequence);
        write_atomically(folder, &name, &bytes)?;
        let journal_path = folder.join(name);
        let journal = open_append(&journal_path)?;
        let journal_bytes = bytes.len() as u64;
        let folder = folder.to_owned();
        let storage = Self { folder, journal, journal_path, journal_bytes, sequence };
        storage.remove_obsolete(snapshot.index)?;
        Ok(storage)
    }

    /// Loads the latest journal and its snapshot, and cuts off an incomplete record at the
    /// journal's end.
    fn load(folder: &Path) -> Result<(Self, RestoredState)> {
        let sequences = file_names(folder)?;
        let sequences = sequences.iter().filter_map(|name| parse_number(name, JOURNAL_PREFIX));
        let sequence = sequences.max().ok_or(StorageError::Snapshot { index: LogIndex::ZERO })?;
        let journal_path = folder.join(journal_name(sequence));
        let bytes = std::fs::read(&journal_path).map_err(|error| io_error(&journal_path, error))?;
        let scan = journal::scan(&bytes)?;
        let journal = open_append(&journal_path)?;
        if scan.valid_bytes < bytes.len() {
            event!(
                warn,
                "journal-torn-tail",
                kept_bytes = scan.valid_bytes,
                cut_bytes = bytes.len() - scan.valid_bytes,
            );
            let length = scan.valid_bytes as u64;
            journal.set_len(length).map_err(|error| io_error(&journal_path, error))?;
            journal.sync_all().map_err(|error| io_error(&journal_path, error))?;
        }
        let restored = restore(folder, scan.records)?;
        let journal_bytes = scan.valid_bytes as u64;
        let folder = folder.to_owned();
        let storage = Self { folder, journal, journal_path, journal_bytes, sequence };
        storage.remove_obsolete(restored.snapshot.index)?;
        Ok((storage, restored))
    }

    /// Appends the hard state and entries to the journal and syncs it.
    ///
    /// Blocks while the disk is full.
    ///
    /// # Errors
    ///
    /// Fails if a record can't be encoded, or if writing or syncing fails for another reason than a
    /// full disk.
    pub(crate) fn append(
        &mut self,
        hard_state: Option<&HardState>,
        entries: &[LogEntry],
    ) -> Result<()> {
        let mut bytes = Vec::new();
        if let Some(hard_state) = hard_state {
            journal::append(&mut bytes, &JournalRecord::HardState(hard_state.clone()))?;
        }
        for entry in entries {
            journal::append(&mut bytes, &JournalRecord::Entry(entry.clone()))?;
        }
        if bytes.is_empty() {
            return Ok(());
        }
        let mut is_full = false;
        let wait_for_space = || {
            if !is_full {
                event!(error, "disk-full", action = "wait");
                is_full = true;
            }
            std::thread::sleep(FULL_DISK_RETRY_DELAY);
        };
        append_with_retry(&mut self.journal, self.journal_bytes, &bytes, wait_for_space)
            .map_err(|error| io_error(&self.journal_path, error))?;
        if is_full {
            event!(info, "disk-has-room");
        }
        self.journal_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Returns the size of the journal, in bytes.
    pub(crate) const fn journal_bytes(&self) -> u64 {
        self.journal_bytes
    }

    /// Writes a snapshot and starts a new journal with the entries after it.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot or a record can't be encoded, or if the files can't be written.
    pub(crate) fn compact(
        &mut self,
        snapshot: &Snapshot,
        hard_state: &HardState,
        entries: &[LogEntry],
    ) -> Result<()> {
        let sequence = self.sequence + 1;
        *self = Self::create(&self.folder, snapshot, hard_state, entries, sequence)?;
        Ok(())
    }

    /// Removes snapshots, journals and temporary files that the current journal does not need.
    fn remove_obsolete(&self, snapshot: LogIndex) -> Result<()> {
        for name in file_names(&self.folder)? {
            let is_obsolete = parse_number(&name, JOURNAL_PREFIX)
                .is_some_and(|at| at < self.sequence)
                || parse_number(&name, SNAPSHOT_PREFIX).is_some_and(|at| at != snapshot.get())
                || name.ends_with(TEMPORARY_SUFFIX);
            if is_obsolete {
                let path = self.folder.join(name);
                std::fs::remove_file(&path).map_err(|error| io_error(&path, error))?;
            }
        }
        sync_folder(&self.folder)
    }
}

/// Restores the state from the journal's records and its base snapshot. A later entry replaces
/// earlier ones from its index on.
fn restore(folder: &Path, records: Vec<JournalRecord>) -> Result<RestoredState> {
    let mut restored = RestoredState::default();
    let mut base = None;
    for record in records {
        match record {
            JournalRecord::Base(index) => base = Some(index),
            JournalRecord::HardState(hard_state) => restored.hard_state = hard_state,
            JournalRecord::Entry(entry) => {
                while restored.entries.last().is_some_and(|known| known.index >= entry.index) {
                    restored.entries.pop();
                }
                restored.entries.push(entry);
            }
        }
    }
    let index = base.ok_or(StorageError::Snapshot { index: LogIndex::ZERO })?;
    let bytes = std::fs::read(folder.join(snapshot_name(index))).unwrap_or_default();
    restored.snapshot = read_snapshot(&bytes).ok_or(StorageError::Snapshot { index })?;
    Ok(restored)
}

/// Appends a snapshot, preceded by its checksum.
fn frame_snapshot(bytes: &mut Vec<u8>, snapshot: &Snapshot) -> Result<()> {
    let body = rmp_serde::to_vec(snapshot)
        .map_err(|error| JournalError::Encode { problem: error.to_string() })?;
    bytes.extend_from_slice(&journal::checksum(&body));
    bytes.extend_from_slice(&body);
    Ok(())
}

/// Decodes a framed snapshot. Returns `None` if it is corrupt.
fn read_snapshot(bytes: &[u8]) -> Option<Snapshot> {
    let (checksum, body) = bytes.split_at_checked(4)?;
    if journal::checksum(body) != checksum {
        return None;
    }
    rmp_serde::from_slice(body).ok()
}

/// Writes a file atomically: writes and syncs a temporary file, renames it, and syncs the
/// directory.
fn write_atomically(folder: &Path, name: &str, bytes: &[u8]) -> Result<()> {
    let temporary = folder.join(format!("{name}{TEMPORARY_SUFFIX}"));
    let write = || {
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        std::fs::rename(&temporary, folder.join(name))
    };
    write().map_err(|error| io_error(&temporary, error))?;
    sync_folder(folder)
}

fn sync_folder(folder: &Path) -> Result<()> {
    let synced = File::open(folder).and_then(|file| file.sync_all());
    synced.map_err(|error| io_error(folder, error))
}

fn open_append(path: &Path) -> Result<File> {
    OpenOptions::new().append(true).open(path).map_err(|error| io_error(path, error))
}

fn file_names(folder: &Path) -> Result<Vec<String>> {
    let entries = std::fs::read_dir(folder).map_err(|error| io_error(folder, error))?;
    let names = entries.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
    Ok(names.collect())
}

fn journal_name(sequence: u64) -> String {
    format!("{JOURNAL_PREFIX}{sequence}")
}

fn snapshot_name(index: LogIndex) -> String {
    format!("{SNAPSHOT_PREFIX}{index}")
}

fn parse_number(name: &str, prefix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.parse().ok()
}

fn io_error(path: &Path, error: io::Error) -> StorageError {
    StorageError::Io { path: path.to_owned(), error }
}
