//! Configuration leases (Gray and Cheriton 1989): an entry starts tasks only while it holds one.
//!
//! The entry measures its lease from when it sent the request and the leader from when it
//! responded, so the lease always expires on the leader after it has expired on the entry.

use crate::clock::{Uptime, with_clock_drift_margin};
use crate::process::allowance_table::EntryInstance;
use crate::quantity::Revision;
use std::collections::BTreeMap;
use std::time::Duration;

/// The duration of a lease, measured from when the entry sent its request.
pub const LEASE_DURATION: Duration = Duration::from_millis(1_500);

/// How long the leader delays its response to a lease request while nothing has changed.
///
/// Two such delays and two round trips fit into one lease, so an idle entry never loses its lease.
pub const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(650);

/// The time before the end of the lease at which a request without a response is repeated.
const REPEAT_MARGIN: Duration = Duration::from_millis(75);

/// A lease as tracked by the entry that holds it.
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
    /// Renews the lease from a request that was sent at `sent_at`.
    pub fn renew(&mut self, sent_at: Uptime, duration: Duration) {
        self.expires_at = self.expires_at.max(Some(sent_at + duration));
    }

    /// Returns whether the lease is valid and the entry may start tasks.
    pub fn is_valid(&self, now: Uptime) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
    }

    /// Returns how long to wait for a delayed response before an urgent request is sent.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::connection::HeldLease;
    /// use std::time::Duration;
    ///
    /// let mut lease = HeldLease::default();
    /// lease.renew(Duration::ZERO, Duration::from_millis(1_500));
    /// let wait = lease.time_until_repeat(Duration::from_millis(700));
    /// assert_eq!(wait, Duration::from_millis(725));
    /// ```
    pub fn time_until_repeat(&self, now: Uptime) -> Duration {
        self.expires_at.unwrap_or(now).saturating_sub(now + REPEAT_MARGIN)
    }
}

#[derive(Clone, Copy, Debug)]
struct LeaseRecord {
    revision: Revision,
    expires_at: Uptime,
}

/// The leases granted by a leader.
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
    /// The time until which entries may hold leases of an earlier leader.
    earlier_leases_until: Uptime,
    granted: BTreeMap<EntryInstance, LeaseRecord>,
    last_seen: BTreeMap<EntryInstance, Uptime>,
}

impl LeaseTable {
    /// Creates the lease table of a newly elected leader.
    pub fn new(now: Uptime) -> Self {
        Self {
            earlier_leases_until: now + with_clock_drift_margin(LEASE_DURATION),
            granted: BTreeMap::new(),
            last_seen: BTreeMap::new(),
        }
    }

    /// Records a request from an entry that has applied the configuration up to `revision`.
    pub fn record_request(&mut self, now: Uptime, instance: &EntryInstance, revision: Revision) {
        self.last_seen.insert(instance.clone(), now);
        if let Some(granted) = self.granted.get_mut(instance) {
            granted.revision = granted.revision.max(revision);
        }
    }

    /// Records a lease that is about to be granted to an entry that has applied `revision`.
    pub fn grant(&mut self, now: Uptime, instance: &EntryInstance, revision: Revision) {
        let expires_at = now + with_clock_drift_margin(LEASE_DURATION);
        let granted = LeaseRecord { revision, expires_at };
        let entry = self.granted.entry(instance.clone()).or_insert(granted);
        entry.expires_at = entry.expires_at.max(expires_at);
        self.last_seen.insert(instance.clone(), now);
    }

    /// Returns the highest revision applied by every entry that holds a lease.
    ///
    /// If no entry holds a lease, returns `committed`. Returns zero while entries may still hold
    /// leases of an earlier leader.
    pub fn in_force(&self, now: Uptime, committed: Revision) -> Revision {
        if now < self.earlier_leases_until {
            return Revision::ZERO;
        }
        let live = self.granted.values().filter(|granted| now < granted.expires_at);
        live.map(|granted| granted.revision).min().unwrap_or(committed).min(committed)
    }

    /// Returns the entry processes that hold a lease.
    pub fn live_entries(&self, now: Uptime) -> Vec<EntryInstance> {
        let live = self.granted.iter().filter(|(_, granted)| now < granted.expires_at);
        live.map(|(instance, _)| instance.clone()).collect()
    }

    /// Returns when an entry process last sent a request or was granted a lease.
    ///
    /// For a process unknown to this leader, returns when the leases of earlier leaders expire.
    pub fn last_seen(&self, instance: &EntryInstance) -> Uptime {
        self.last_seen.get(instance).copied().unwrap_or(self.earlier_leases_until)
    }

    /// Removes the lease of an entry process that has terminated.
    pub fn remove(&mut self, instance: &EntryInstance) {
        self.granted.remove(instance);
        self.last_seen.remove(instance);
    }
}
