//! What is remembered of one incarnation of a backend server.

use crate::job::id::{DataCentreId, MachineId, PoolId, ServerIncarnation};
use crate::job::resources::Resources;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// One incarnation of a backend server, as it announced itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerRecord {
    /// The incarnation.
    #[serde(rename = "life")]
    pub incarnation: ServerIncarnation,
    /// Where it is called.
    pub address: SocketAddr,
    /// The pool that it serves.
    pub pool: PoolId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The VM that it runs on, where it says so.
    pub machine: Option<MachineId>,
    /// Its labels, among them its kind and its rack.
    pub labels: BTreeSet<Arc<str>>,
    /// What it has room for.
    pub capacity: Resources,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// The number of the announcement that said so.
    pub sequence: u64,
    /// The number of the last end that was noted.
    #[serde(rename = "noted_end")]
    pub last_recorded_end: u64,
}

impl ServerRecord {
    /// The rack: the label that names one, where there is one.
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

    /// The rack that the backend server stands in.
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.labels.iter().find(|label| Self::is_rack(label))
    }

    /// Whether the two say the same but for numbers that only grow.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        let last_recorded_end = self.last_recorded_end;
        let sequence = self.sequence;
        Self { last_recorded_end, sequence, ..other.clone() } == *self
    }

    /// Takes what a newer announcement of the same incarnation says.
    pub(super) fn update(&mut self, newer: &Self) {
        if newer.sequence < self.sequence {
            return;
        }
        let last_recorded_end = self.last_recorded_end;
        // An incarnation that has said that it leaves does not come back.
        let is_draining = self.is_draining || newer.is_draining;
        *self = Self { is_draining, last_recorded_end, ..newer.clone() };
    }
}
