//! Configuration leases: an entry starts work only while it holds one.
//!
//! (Gray and Cheriton 1989.) The entry times its lease from when it sent the request, the leader
//! from when it answered, so the leader's view always ends later than the entry's.

use crate::clock::{Uptime, with_clock_drift_margin};
use crate::process::allowance_table::EntryInstance;
use crate::quantity::Revision;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a lease lasts from when the entry sent its request.
pub const LEASE_DURATION: Duration = Duration::from_millis(1_500);

/// A lease as its entry holds it.
///
/// # Examples
///
/// ```
/// use goldcrestring::connection::HeldLease;
/// use std::time::Duration;
///
/// let mut lease = HeldLease::default();
/// assert!(!lease.is_valid(Duration::ZERO));
/// lease.renew(Duration::from_secs(5), Duration::from_secs(1));
/// assert!(lease.is_valid(Duration::from_millis(5_999)));
/// assert!(!lease.is_valid(Duration::from_secs(6)));
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HeldLease {
    expires_at: Option<Uptime>,
}

impl HeldLease {
    /// Notes the answer to a request that was sent at `sent_at`.
    pub fn renew(&mut self, sent_at: Uptime, duration: Duration) {
        self.expires_at = self.expires_at.max(Some(sent_at + duration));
    }

    /// Whether the entry may start work.
    pub fn is_valid(&self, now: Uptime) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
    }
}

#[derive(Clone, Copy, Debug)]
struct LeaseRecord {
    revision: Revision,
    expires_at: Uptime,
}

/// The leases that a leader has granted.
///
/// # Examples
///
/// ```
/// use goldcrestring::connection::LeaseTable;
/// use goldcrestring::quantity::Revision;
/// use std::time::Duration;
///
/// let table = LeaseTable::new(Duration::ZERO);
/// let later = Duration::from_secs(10);
/// assert_eq!(table.in_force(later, Revision::new(3)), Revision::new(3));
/// ```
#[derive(Clone, Debug)]
pub struct LeaseTable {
    /// Before this, entries may hold leases of an earlier leader.
    known_from: Uptime,
    granted: BTreeMap<EntryInstance, LeaseRecord>,
    last_seen: BTreeMap<EntryInstance, Uptime>,
}

impl LeaseTable {
    /// The table of a leader that was elected now.
    pub fn new(now: Uptime) -> Self {
        Self {
            known_from: now + with_clock_drift_margin(LEASE_DURATION),
            granted: BTreeMap::new(),
            last_seen: BTreeMap::new(),
        }
    }

    /// Notes a request of an entry that has applied the configuration up to `revision`.
    pub fn record_request(&mut self, now: Uptime, instance: &EntryInstance, revision: Revision) {
        self.last_seen.insert(instance.clone(), now);
        if let Some(granted) = self.granted.get_mut(instance) {
            granted.revision = granted.revision.max(revision);
        }
    }

    /// Notes a lease that is about to be granted.
    pub fn grant(&mut self, now: Uptime, instance: &EntryInstance, revision: Revision) {
        let expires_at = now + with_clock_drift_margin(LEASE_DURATION);
        let granted = LeaseRecord { revision, expires_at };
        let entry = self.granted.entry(instance.clone()).or_insert(granted);
        entry.expires_at = entry.expires_at.max(expires_at);
        self.last_seen.insert(instance.clone(), now);
    }

    /// The highest revision that no entry with a lease is behind; zero while that is not known.
    pub fn in_force(&self, now: Uptime, committed: Revision) -> Revision {
        if now < self.known_from {
            return Revision::ZERO;
        }
        let live = self.granted.values().filter(|granted| now < granted.expires_at);
        live.map(|granted| granted.revision).min().unwrap_or(committed).min(committed)
    }

    /// The entry processes that hold a lease.
    pub fn live(&self, now: Uptime) -> Vec<EntryInstance> {
        let live = self.granted.iter().filter(|(_, granted)| now < granted.expires_at);
        live.map(|(instance, _)| instance.clone()).collect()
    }

    /// When the leader last heard of an entry process, or when it could first have heard.
    pub fn last_seen(&self, instance: &EntryInstance) -> Uptime {
        self.last_seen.get(instance).copied().unwrap_or(self.known_from)
    }

    /// Forgets an entry process that is gone for good.
    pub fn forget(&mut self, instance: &EntryInstance) {
        self.granted.remove(instance);
        self.last_seen.remove(instance);
    }
}
