//! The replicated record of one incarnation of a backend server.

use crate::job::id::{DataCentreId, MachineId, PoolId, ServerIncarnation};
use crate::job::resources::Resources;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// One incarnation of a backend server, as announced by itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerRecord {
    /// The incarnation.
    #[serde(rename = "life")]
    pub incarnation: ServerIncarnation,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The pool that it serves.
    pub pool: PoolId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The VM that it runs on, if announced.
    pub machine: Option<MachineId>,
    /// Its labels, including its kind and its rack.
    pub labels: BTreeSet<Arc<str>>,
    /// Its capacity.
    pub capacity: Resources,
    /// Whether it accepts no new tasks because it is about to leave.
    pub is_draining: bool,
    /// The sequence number of the latest announcement.
    pub sequence: u64,
    /// The number of the last recorded end.
    #[serde(rename = "noted_end")]
    pub recorded_end: u64,
    /// Whether the incarnation has answered a call, but not announced itself yet. Its labels and its
    /// capacity are unknown, and nothing starts there.
    #[serde(default)]
    pub is_provisional: bool,
    /// Whether calls for an earlier incarnation under the same ID may have set leases that still last. A
    /// record of an earlier version does not tell, so that it counts as one of those.
    #[serde(default = "has_predecessor_by_default")]
    pub has_predecessor: bool,
}

const fn has_predecessor_by_default() -> bool {
    true
}

impl ServerRecord {
    /// Whether a label has the form of a rack name, `r` with two numbers.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::job::state::ServerRecord;
    ///
    /// assert!(ServerRecord::is_rack("r1-3"));
    /// assert!(!ServerRecord::is_rack("a"));
    /// ```
    pub fn is_rack(label: &str) -> bool {
        let rest = label.strip_prefix('r').unwrap_or_default();
        let mut parts = rest.split('-');
        let is_number = |part: Option<&str>| part.is_some_and(|part| part.parse::<u32>().is_ok());
        is_number(parts.next()) && is_number(parts.next()) && parts.next().is_none()
    }

    /// The rack of the backend server, if a label names one.
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.labels.iter().find(|label| Self::is_rack(label))
    }

    /// Whether two records are equal, apart from `sequence`, `recorded_end` and `has_predecessor`.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation
            && self.address == other.address
            && self.pool == other.pool
            && self.data_centre == other.data_centre
            && self.machine == other.machine
            && self.labels == other.labels
            && self.capacity == other.capacity
            && self.is_draining == other.is_draining
            && self.is_provisional == other.is_provisional
    }

    /// The provisional record of a later incarnation at the same address.
    ///
    /// What the earlier one announced about itself does not hold for the later one.
    #[must_use]
    pub fn next_incarnation(&self, started_at_ms: u64) -> Self {
        Self {
            incarnation: ServerIncarnation { id: self.incarnation.id.clone(), started_at_ms },
            labels: BTreeSet::new(),
            capacity: Resources::default(),
            is_draining: false,
            sequence: 0,
            recorded_end: 0,
            is_provisional: true,
            has_predecessor: true,
            ..self.clone()
        }
    }

    /// Applies an announcement of the same incarnation, unless it is older.
    pub(super) fn update(&mut self, newer: &Self) {
        let is_older = newer.sequence < self.sequence;
        if newer.is_provisional || (is_older && !self.is_provisional) {
            return;
        }
        let Self { recorded_end, has_predecessor, .. } = *self;
        // Draining can't be revoked within an incarnation.
        let is_draining = self.is_draining || newer.is_draining;
        *self = Self { is_draining, recorded_end, has_predecessor, ..newer.clone() };
    }
}
