//! Records by which a non-idempotent request runs at most once.
//!
//! Each idempotency key has three holders. An entry dispatches a request only after a majority of
//! them holds its claim, so two entries can't both dispatch for one key. A holder that restarted
//! empty answers for a key only when the key was issued after its start, or when it has copied the
//! records of both other holders and these answer for the key themselves. It copies them only after
//! every claim that its earlier run may have held has either reached the others or timed out.

use crate::clock::Uptime;
use crate::name::{DataCentreName, NodeId, TeamName, VmId};
use crate::process::allowance_table::EntryInstance;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};
use uuid::Uuid;

/// How many entries hold the record of each key.
pub const HOLDERS_PER_KEY: usize = 3;

/// How long a key stays valid after its issue.
pub const KEY_VALIDITY: Duration = Duration::from_secs(600);

/// How far the calendar clocks of callers and entries may differ.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(2);

/// How long a claim may take; an entry whose claim took longer must not dispatch.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

/// How long after its start a holder copies the records of others.
///
/// A claim that its earlier run held has by then reached the other holders or timed out.
pub const COPY_DELAY: Duration = Duration::from_millis(600);

/// Identifies one run of a request on a backend server.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct TaskId(pub Uuid);

/// An idempotency key within the team that uses it.
#[derive(Clone, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{key}")]
pub struct RecordKey {
    /// The team, or none on a queue open to all.
    pub team: Option<TeamName>,
    /// The key, a version 7 UUID (RFC 9562), which names its time of issue.
    pub key: Uuid,
}

impl RecordKey {
    /// When the key was issued; `None` when it is not a version 7 UUID.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::process::idempotency::RecordKey;
    /// use std::time::{Duration, SystemTime};
    /// use uuid::{NoContext, Timestamp, Uuid};
    ///
    /// let key = Uuid::new_v7(Timestamp::from_unix(NoContext, 5, 0));
    /// let issued_at = RecordKey { team: None, key }.issued_at();
    /// assert_eq!(issued_at, Some(SystemTime::UNIX_EPOCH + Duration::from_secs(5)));
    /// ```
    pub fn issued_at(&self) -> Option<SystemTime> {
        if self.key.get_version_num() != 7 {
            return None;
        }
        let (seconds, nanoseconds) = self.key.get_timestamp()?.to_unix();
        Some(SystemTime::UNIX_EPOCH + Duration::new(seconds, nanoseconds))
    }
}

/// A claim to run a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The run.
    pub task: TaskId,
    /// Counts the backend servers tried under this claim.
    pub attempt: u32,
    /// The SHA-256 of queue and body, by which another request under the same key is told apart.
    pub request_digest: [u8; 32],
    /// The entry process that claims.
    pub claimant: EntryInstance,
    /// The backend server chosen.
    pub vm: VmId,
    /// The address of that server, for questions about the task.
    pub address: std::net::SocketAddr,
}

/// An answer kept for resends.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// The status code.
    pub status: u16,
    /// The media type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// What a holder knows of one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The claim that came first.
    pub claim: Claim,
    /// The answer, once it is known.
    pub answer: Option<StoredAnswer>,
}

/// A holder's answer to a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimAnswer {
    /// The claim is held.
    Held,
    /// Another claim came first.
    Existing(Box<Record>),
    /// The holder can't tell whether an earlier run of it held a claim.
    #[serde(rename = "NotVouching")]
    NotAuthoritative,
}

/// What an entry makes of the holders' answers to its claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimDecision {
    /// A majority holds the claim: the request may be dispatched.
    Held,
    /// Another claim came first.
    Earlier(Box<Record>),
    /// No majority answered in time.
    NoMajority,
    /// Holders that restarted can't answer for the key.
    NotAuthoritative,
}

/// Decides about a claim from the holders' answers, `None` for a holder that gave none.
///
/// Anything but [`ClaimDecision::Held`] means that the request must not be dispatched and that the
/// claim is to be released.
///
/// # Examples
///
/// ```
/// use goldcrestring::process::idempotency::{CLAIM_TIMEOUT, ClaimAnswer, ClaimDecision, decide_claim};
/// use std::time::Duration;
///
/// let answers = vec![Some(ClaimAnswer::Held), None, Some(ClaimAnswer::Held)];
/// assert_eq!(decide_claim(answers.clone(), Duration::ZERO), ClaimDecision::Held);
/// assert_eq!(decide_claim(answers, CLAIM_TIMEOUT * 2), ClaimDecision::NoMajority);
/// ```
pub fn decide_claim(answers: Vec<Option<ClaimAnswer>>, elapsed: Duration) -> ClaimDecision {
    let held = answers.iter().filter(|answer| matches!(answer, Some(ClaimAnswer::Held))).count();
    let is_vouching =
        !answers.iter().any(|answer| matches!(answer, Some(ClaimAnswer::NotAuthoritative)));
    if held > answers.len() / 2 && elapsed <= CLAIM_TIMEOUT {
        return ClaimDecision::Held;
    }
    let records = answers.into_iter().filter_map(|answer| match answer {
        Some(ClaimAnswer::Existing(record)) => Some(record),
        _ => None,
    });
    let telling = records.max_by_key(|record| (record.answer.is_some(), record.claim.attempt));
    match telling {
        Some(record) => ClaimDecision::Earlier(record),
        None if is_vouching => ClaimDecision::NoMajority,
        None => ClaimDecision::NotAuthoritative,
    }
}

/// The holders of a key: the entries with the highest hash, in different data centres first.
///
/// This is rendezvous hashing (Thaler and Ravishankar 1998) over the entries of the settings, so
/// every entry names the same holders without asking.
///
/// # Examples
///
/// ```
/// use goldcrestring::process::idempotency::{RecordKey, holders};
/// use uuid::Uuid;
///
/// let entries = [
///     ("entry-1".parse()?, "dc-1".parse()?),
///     ("entry-2".parse()?, "dc-1".parse()?),
///     ("entry-3".parse()?, "dc-2".parse()?),
///     ("entry-4".parse()?, "dc-3".parse()?),
/// ];
/// let chosen = holders(&RecordKey { team: None, key: Uuid::nil() }, &entries.into());
/// assert_eq!(chosen.len(), 3);
/// assert!(chosen.contains(&"entry-3".parse()?));
/// # Ok::<(), goldcrestring::name::NameError>(())
/// ```
pub fn holders(key: &RecordKey, entries: &BTreeMap<NodeId, DataCentreName>) -> BTreeSet<NodeId> {
    let mut ranked: Vec<_> =
        entries.iter().map(|(node, dc)| (weight(key, node), node, dc)).collect();
    ranked.sort();
    let mut chosen = BTreeSet::new();
    let mut data_centres = BTreeSet::new();
    for (_, node, data_centre) in &ranked {
        if chosen.len() < HOLDERS_PER_KEY && data_centres.insert(*data_centre) {
            chosen.insert((*node).clone());
        }
    }
    for (_, node, _) in &ranked {
        if chosen.len() < HOLDERS_PER_KEY {
            chosen.insert((*node).clone());
        }
    }
    chosen
}

fn weight(key: &RecordKey, node: &NodeId) -> [u8; 8] {
    let mut hash = Sha256::new();
    hash.update(key.key.as_bytes());
    hash.update(node.as_str());
    let digest: [u8; 32] = hash.finalize().into();
    std::array::from_fn(|at| digest[at])
}

/// A record as one entry holds it.
#[derive(Clone, Debug)]
struct Held {
    record: Record,
    /// Whether the claim was made to this run of the entry.
    ///
    /// A copied claim may be one that never had a majority, while another one that did is held
    /// elsewhere. Its claimant is therefore told of it, but never that it is held.
    is_claimed_here: bool,
}

/// The records that one entry holds.
#[derive(Clone, Debug)]
pub struct RecordStore {
    started_at: SystemTime,
    /// From which time of issue on each copied holder answers for keys.
    copied_from: BTreeMap<NodeId, SystemTime>,
    records: BTreeMap<RecordKey, Held>,
    stored: BTreeMap<(Uptime, RecordKey), ()>,
}

impl RecordStore {
    /// An empty store of an entry that starts now.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::process::idempotency::RecordStore;
    /// use std::time::SystemTime;
    ///
    /// assert!(RecordStore::new(SystemTime::UNIX_EPOCH).is_empty());
    /// ```
    pub const fn new(started_at: SystemTime) -> Self {
        Self {
            started_at,
            copied_from: BTreeMap::new(),
            records: BTreeMap::new(),
            stored: BTreeMap::new(),
        }
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Holds a claim unless another one came first.
    ///
    /// `other_holders` are the key's holders besides this entry.
    pub fn claim(
        &mut self,
        now: Uptime,
        key: &RecordKey,
        claim: &Claim,
        other_holders: &BTreeSet<NodeId>,
    ) -> ClaimAnswer {
        if let Some(Held { record, is_claimed_here }) = self.records.get_mut(key) {
            let is_same = record.claim.task == claim.task && record.answer.is_none();
            if !(is_same && *is_claimed_here) {
                return ClaimAnswer::Existing(Box::new(record.clone()));
            }
            if claim.attempt >= record.claim.attempt {
                record.claim = claim.clone();
            }
            return ClaimAnswer::Held;
        }
        if !self.is_authoritative_for(key, other_holders) {
            return ClaimAnswer::NotAuthoritative;
        }
        let record = Record { claim: claim.clone(), answer: None };
        self.insert(now, key.clone(), Held { record, is_claimed_here: true });
        ClaimAnswer::Held
    }

    /// Keeps the answer of a run for resends.
    pub fn complete(&mut self, now: Uptime, key: &RecordKey, claim: &Claim, answer: StoredAnswer) {
        match self.records.get_mut(key) {
            Some(held) if held.record.claim.task == claim.task => held.record.answer = Some(answer),
            Some(_) => {}
            None => {
                let record = Record { claim: claim.clone(), answer: Some(answer) };
                self.insert(now, key.clone(), Held { record, is_claimed_here: false });
            }
        }
    }

    /// Forgets the claim of a run that never left its entry.
    pub fn release(&mut self, key: &RecordKey, task: TaskId) {
        let is_released = self
            .records
            .get(key)
            .is_some_and(|held| held.record.claim.task == task && held.record.answer.is_none());
        if is_released {
            self.records.remove(key);
        }
    }

    /// What is known of a key.
    pub fn get(&self, key: &RecordKey) -> Option<&Record> {
        self.records.get(key).map(|held| &held.record)
    }

    /// Forgets records of keys that every entry refuses by now.
    pub fn expire(&mut self, now: Uptime) {
        let age = crate::clock::with_clock_drift_margin(KEY_VALIDITY + MAX_CLOCK_SKEW * 2);
        while let Some(entry) = self.stored.first_entry() {
            let (stored_at, key) = entry.key();
            if now < *stored_at + age {
                return;
            }
            self.records.remove(key);
            entry.remove();
        }
    }

    /// Up to `limit` records after a key, for a holder that restarted.
    pub fn export(&self, after: Option<&RecordKey>, limit: usize) -> Vec<(RecordKey, Record)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = after.map_or(Unbounded, Excluded);
        let range = self.records.range::<RecordKey, _>((from, Unbounded));
        range.take(limit).map(|(key, held)| (key.clone(), held.record.clone())).collect()
    }

    /// Takes in records of another holder; a known answer is never lost.
    pub fn import(&mut self, now: Uptime, records: Vec<(RecordKey, Record)>) {
        for (key, record) in records {
            let held = Held { record, is_claimed_here: false };
            match self.records.get_mut(&key) {
                None => self.insert(now, key, held),
                Some(known) if known.record.answer.is_none() && held.record.answer.is_some() => {
                    *known = held;
                }
                Some(_) => {}
            }
        }
    }

    /// Notes that all records of another holder were copied, which answers for keys issued after
    /// `vouches_from`.
    pub fn mark_copied_from(&mut self, node: NodeId, vouches_from: SystemTime) {
        self.copied_from.insert(node, vouches_from);
    }

    /// The time of issue from which on this entry answers for every key.
    ///
    /// `others` are all other entries; where one was not copied, only the start counts.
    pub fn authoritative_from(&self, others: &BTreeSet<NodeId>) -> SystemTime {
        let since_start = self.started_at + MAX_CLOCK_SKEW * 2;
        let copied = others.iter().map(|other| self.copied_from.get(other).copied());
        let copied: Option<Vec<_>> = copied.collect();
        let since_copies = copied.and_then(|times| times.into_iter().max());
        since_copies.map_or(since_start, |time| time.min(since_start))
    }

    fn is_authoritative_for(&self, key: &RecordKey, other_holders: &BTreeSet<NodeId>) -> bool {
        let issued_at = key.issued_at().unwrap_or(SystemTime::UNIX_EPOCH);
        issued_at > self.authoritative_from(other_holders)
    }

    fn insert(&mut self, now: Uptime, key: RecordKey, held: Held) {
        self.stored.insert((now, key.clone()), ());
        self.records.insert(key, held);
    }
}
