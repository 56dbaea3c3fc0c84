//! Idempotency records, which ensure that a non-idempotent request runs at most once.
//!
//! Each idempotency key is assigned to three entries, its holders. An entry dispatches a request
//! only after a majority of the holders has recorded its claim, so two entries can't both dispatch
//! a request with the same key.
//!
//! A holder keeps its records in memory and loses them when it restarts. It then accepts a claim
//! only if it is authoritative for the key, that is, if it can rule out that its previous run held
//! another claim for it. This is the case if the key was issued after the holder started, or if the
//! holder has copied the records of both other holders and these are authoritative for the key
//! themselves. It copies them only after every claim that its previous run may have held has either
//! reached the other holders or timed out.
//!
//! Whether a key was issued after the start of a holder is certain only some seconds later, because
//! wall clocks differ. A holder that started before the cluster accepted any request has no such
//! delay: no previous run can have held a claim.

use crate::clock::Uptime;
use crate::name::{DataCentreName, NodeId, TeamName, VmId};
use crate::process::allowance_table::EntryInstance;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};
use uuid::Uuid;

/// The number of entries that hold the record of each key.
pub const HOLDERS_PER_KEY: usize = 3;

/// How long a key is valid after it was issued.
pub const KEY_VALIDITY: Duration = Duration::from_secs(600);

/// The maximum difference between the wall clocks of callers and entries.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(2);

/// The maximum time in which a majority of the holders must record a claim; if it takes longer, the
/// entry must not dispatch the request.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

/// The delay between a holder's start and when it copies the records of other holders.
///
/// By then, any claim held by its previous run has reached the other holders or timed out.
pub const COPY_DELAY: Duration = Duration::from_millis(600);

/// The delay between a holder's start and when it answers for new keys without copied records.
pub const NEW_KEYS_DELAY: Duration = MAX_CLOCK_SKEW.saturating_mul(2);

/// Identifies one run of a request on a backend server.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct TaskId(pub Uuid);

/// An idempotency key, scoped to a team.
#[derive(Clone, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{key}")]
pub struct RecordKey {
    /// The team, or `None` for a queue that is open to all callers.
    pub team: Option<TeamName>,
    /// The key, a version 7 UUID (RFC 9562), which contains its time of issue.
    pub key: Uuid,
}

impl RecordKey {
    /// Returns when the key was issued, or `None` if it is not a version 7 UUID.
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
    /// The task that runs the request.
    pub task: TaskId,
    /// The number of backend servers tried under this claim.
    pub attempt: u32,
    /// The SHA-256 of queue and body, which detects reuse of the key for another request.
    pub request_digest: [u8; 32],
    /// The entry process that made the claim.
    pub claimant: EntryInstance,
    /// The VM of the selected backend server.
    pub vm: VmId,
    /// The address of that server, for status queries about the task.
    pub address: std::net::SocketAddr,
}

/// A response that is stored to answer retransmitted requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The media type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// A holder's record of one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The first claim for the key.
    pub claim: Claim,
    /// The response, once known.
    #[serde(rename = "answer")]
    pub response: Option<StoredResponse>,
}

/// A holder's response to a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimResponse {
    /// The holder has recorded the claim.
    Held,
    /// An earlier claim for the key exists.
    Existing(Box<Record>),
    /// The holder can't determine whether its previous run held a claim for the key.
    #[serde(rename = "NotVouching")]
    NotAuthoritative,
}

/// The decision on a claim, based on the responses of the holders.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimDecision {
    /// A majority holds the claim, so the request may be dispatched.
    Held,
    /// An earlier claim for the key exists.
    Existing(Box<Record>),
    /// No majority of the holders responded in time.
    NoMajority,
    /// Restarted holders are not authoritative for the key.
    NotAuthoritative,
}

/// Decides on a claim from the responses of the holders, `None` for a holder that did not respond.
///
/// On any decision other than [`ClaimDecision::Held`], the request must not be dispatched and the
/// claim must be released.
///
/// # Examples
///
/// ```
/// use goldcrestring::process::idempotency::{
///     CLAIM_TIMEOUT, ClaimDecision, ClaimResponse, decide_claim,
/// };
/// use std::time::Duration;
///
/// let responses = vec![Some(ClaimResponse::Held), None, Some(ClaimResponse::Held)];
/// assert_eq!(decide_claim(responses.clone(), Duration::ZERO), ClaimDecision::Held);
/// assert_eq!(decide_claim(responses, CLAIM_TIMEOUT * 2), ClaimDecision::NoMajority);
/// ```
pub fn decide_claim(responses: Vec<Option<ClaimResponse>>, elapsed: Duration) -> ClaimDecision {
    let are_authoritative =
        !responses.iter().any(|response| matches!(response, Some(ClaimResponse::NotAuthoritative)));
    if is_held_by_majority(&responses) && elapsed <= CLAIM_TIMEOUT {
        return ClaimDecision::Held;
    }
    let records = responses.into_iter().filter_map(|response| match response {
        Some(ClaimResponse::Existing(record)) => Some(record),
        _ => None,
    });
    let latest = records.max_by_key(|record| (record.response.is_some(), record.claim.attempt));
    match latest {
        Some(record) => ClaimDecision::Existing(record),
        None if are_authoritative => ClaimDecision::NoMajority,
        None => ClaimDecision::NotAuthoritative,
    }
}

/// A holder's response to a lookup of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LookupResponse {
    /// The holder has this record.
    Found(Box<Record>),
    /// There is no record: the holder has never recorded a claim, or the claim was released.
    Absent,
    /// The holder has no record, but its previous run may have had one.
    NotAuthoritative,
}

/// What the holders know about an earlier run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EarlierRun {
    /// The most advanced record of the run.
    Recorded(Box<Record>),
    /// The claim was released, so the request was not run and won't be.
    Released,
    /// Too few holders responded to rule out that the run goes on.
    Unknown,
}

/// Determines the state of an earlier run from the responses of the holders, `None` for a holder
/// that did not respond.
///
/// A request is dispatched only after a majority of the holders has recorded its claim, so a claim
/// is released for certain only if a majority has no record of it.
///
/// # Examples
///
/// ```
/// use goldcrestring::process::idempotency::{EarlierRun, LookupResponse, decide_earlier_run};
///
/// let absent = Some(LookupResponse::Absent);
/// assert_eq!(decide_earlier_run(vec![absent.clone(), None, None]), EarlierRun::Unknown);
/// assert_eq!(decide_earlier_run(vec![absent.clone(), absent, None]), EarlierRun::Released);
/// ```
pub fn decide_earlier_run(responses: Vec<Option<LookupResponse>>) -> EarlierRun {
    let is_absent =
        |response: &&Option<LookupResponse>| matches!(response, Some(LookupResponse::Absent));
    let is_released = responses.iter().filter(is_absent).count() > responses.len() / 2;
    let records = responses.into_iter().filter_map(|response| match response {
        Some(LookupResponse::Found(record)) => Some(record),
        _ => None,
    });
    let latest = records.max_by_key(|record| (record.response.is_some(), record.claim.attempt));
    match latest {
        Some(record) => EarlierRun::Recorded(record),
        None if is_released => EarlierRun::Released,
        None => EarlierRun::Unknown,
    }
}

/// Returns whether a majority of the holders has recorded a claim.
///
/// The claim can then be decided without the other holders, one of which may never respond.
///
/// # Examples
///
/// ```
/// use goldcrestring::process::idempotency::{ClaimResponse, is_held_by_majority};
///
/// let held = Some(ClaimResponse::Held);
/// assert!(is_held_by_majority(&[held.clone(), None, held.clone()]));
/// assert!(!is_held_by_majority(&[held, None, Some(ClaimResponse::NotAuthoritative)]));
/// ```
pub fn is_held_by_majority(responses: &[Option<ClaimResponse>]) -> bool {
    let is_held = |response: &&Option<ClaimResponse>| matches!(response, Some(ClaimResponse::Held));
    responses.iter().filter(is_held).count() > responses.len() / 2
}

/// Returns the holders of a key, selected by rendezvous hashing (Thaler and Ravishankar 1998).
///
/// Entries in different data centres are preferred. All entries have the same configured list of
/// entries, so they select the same holders without coordination.
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

/// A record with its origin.
#[derive(Clone, Debug)]
struct HeldRecord {
    record: Record,
    /// Whether the claim was made to this run of the entry, rather than copied.
    ///
    /// A copied claim may never have reached a majority, while other holders hold a claim that did.
    /// A claim must therefore not be confirmed on the basis of a copy.
    is_claimed_here: bool,
}

/// The idempotency records held by one entry.
#[derive(Clone, Debug)]
pub struct RecordStore {
    started_at: SystemTime,
    /// Whether the cluster had accepted no request before `started_at`.
    is_in_new_cluster: bool,
    /// For each holder whose records were copied, the time of issue after which it is authoritative
    /// for keys.
    copied_from: BTreeMap<NodeId, SystemTime>,
    records: BTreeMap<RecordKey, HeldRecord>,
    by_stored_at: BTreeMap<(Uptime, RecordKey), ()>,
}

impl RecordStore {
    /// Creates an empty store for an entry that started at `started_at`.
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
            is_in_new_cluster: false,
            copied_from: BTreeMap::new(),
            records: BTreeMap::new(),
            by_stored_at: BTreeMap::new(),
        }
    }

    /// Returns whether the store is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Records a claim unless there is an earlier one.
    ///
    /// `other_holders` are the key's holders besides this entry.
    pub fn claim(
        &mut self,
        now: Uptime,
        key: &RecordKey,
        claim: &Claim,
        other_holders: &BTreeSet<NodeId>,
    ) -> ClaimResponse {
        if let Some(HeldRecord { record, is_claimed_here }) = self.records.get_mut(key) {
            let is_same = record.claim.task == claim.task && record.response.is_none();
            if !(is_same && *is_claimed_here) {
                return ClaimResponse::Existing(Box::new(record.clone()));
            }
            if claim.attempt >= record.claim.attempt {
                record.claim = claim.clone();
            }
            return ClaimResponse::Held;
        }
        if !self.is_authoritative_for(key, other_holders) {
            return ClaimResponse::NotAuthoritative;
        }
        let record = Record { claim: claim.clone(), response: None };
        self.insert(now, key.clone(), HeldRecord { record, is_claimed_here: true });
        ClaimResponse::Held
    }

    /// Stores the response of a task, to answer retransmitted requests.
    pub fn complete(
        &mut self,
        now: Uptime,
        key: &RecordKey,
        claim: &Claim,
        response: StoredResponse,
    ) {
        match self.records.get_mut(key) {
            Some(held) if held.record.claim.task == claim.task => {
                held.record.response = Some(response);
            }
            Some(_) => {}
            None => {
                let record = Record { claim: claim.clone(), response: Some(response) };
                self.insert(now, key.clone(), HeldRecord { record, is_claimed_here: false });
            }
        }
    }

    /// Removes the claim of a task that was never dispatched, unless the claim was copied.
    ///
    /// A copied claim may stand for another one, which a majority holds and which was copied later.
    pub fn release(&mut self, key: &RecordKey, task: TaskId) {
        let is_released = self.records.get(key).is_some_and(|held| {
            let record = &held.record;
            held.is_claimed_here && record.claim.task == task && record.response.is_none()
        });
        if is_released {
            self.records.remove(key);
        }
    }

    /// Returns the record of a key, if there is one.
    pub fn get(&self, key: &RecordKey) -> Option<&Record> {
        self.records.get(key).map(|held| &held.record)
    }

    /// Looks up the record of a key.
    ///
    /// `other_holders` are the key's holders besides this entry.
    pub fn lookup(&self, key: &RecordKey, other_holders: &BTreeSet<NodeId>) -> LookupResponse {
        match self.get(key) {
            Some(record) => LookupResponse::Found(Box::new(record.clone())),
            None if self.is_authoritative_for(key, other_holders) => LookupResponse::Absent,
            None => LookupResponse::NotAuthoritative,
        }
    }

    /// Removes the records of keys that have expired on every entry.
    pub fn expire(&mut self, now: Uptime) {
        let age = crate::clock::with_clock_drift_margin(KEY_VALIDITY + MAX_CLOCK_SKEW * 2);
        while let Some(entry) = self.by_stored_at.first_entry() {
            let (stored_at, key) = entry.key();
            if now < *stored_at + age {
                return;
            }
            self.records.remove(key);
            entry.remove();
        }
    }

    /// Returns up to `limit` records after a key, in order, for a restarted holder to import.
    pub fn export(&self, after: Option<&RecordKey>, limit: usize) -> Vec<(RecordKey, Record)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = after.map_or(Unbounded, Excluded);
        let range = self.records.range::<RecordKey, _>((from, Unbounded));
        range.take(limit).map(|(key, held)| (key.clone(), held.record.clone())).collect()
    }

    /// Imports records from another holder; a known response is never discarded.
    pub fn import(&mut self, now: Uptime, records: Vec<(RecordKey, Record)>) {
        for (key, record) in records {
            let held = HeldRecord { record, is_claimed_here: false };
            match self.records.get_mut(&key) {
                None => self.insert(now, key, held),
                Some(known)
                    if known.record.response.is_none() && held.record.response.is_some() =>
                {
                    *known = held;
                }
                Some(_) => {}
            }
        }
    }

    /// Notes that all records of another holder were copied.
    ///
    /// That holder is authoritative for keys issued after `authoritative_from`.
    pub fn mark_copied_from(&mut self, node: NodeId, authoritative_from: SystemTime) {
        self.copied_from.insert(node, authoritative_from);
    }

    /// Notes that the cluster had accepted no request when this entry started.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::process::idempotency::RecordStore;
    /// use std::collections::BTreeSet;
    /// use std::time::SystemTime;
    ///
    /// let started_at = SystemTime::UNIX_EPOCH;
    /// let mut store = RecordStore::new(started_at);
    /// assert!(store.authoritative_from(&BTreeSet::new()) > started_at);
    /// store.mark_new_cluster();
    /// assert_eq!(store.authoritative_from(&BTreeSet::new()), started_at);
    /// ```
    pub const fn mark_new_cluster(&mut self) {
        self.is_in_new_cluster = true;
    }

    /// Returns the time of issue after which this entry is authoritative for keys.
    ///
    /// `others` are the other holders of the keys; unless the records of all of them were copied,
    /// the time depends only on when this entry started.
    pub fn authoritative_from(&self, others: &BTreeSet<NodeId>) -> SystemTime {
        // Keys issued earlier may have run in a cluster that lost all its disks.
        let delay = if self.is_in_new_cluster { Duration::ZERO } else { NEW_KEYS_DELAY };
        let since_start = self.started_at + delay;
        let copied = others.iter().map(|other| self.copied_from.get(other).copied());
        let copied: Option<Vec<_>> = copied.collect();
        let since_copies = copied.and_then(|times| times.into_iter().max());
        since_copies.map_or(since_start, |time| time.min(since_start))
    }

    fn is_authoritative_for(&self, key: &RecordKey, other_holders: &BTreeSet<NodeId>) -> bool {
        let issued_at = key.issued_at().unwrap_or(SystemTime::UNIX_EPOCH);
        issued_at > self.authoritative_from(other_holders)
    }

    fn insert(&mut self, now: Uptime, key: RecordKey, held: HeldRecord) {
        self.by_stored_at.insert((now, key.clone()), ());
        self.records.insert(key, held);
    }
}
