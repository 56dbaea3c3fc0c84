//! The messages exchanged between an entry and the leader to renew a configuration lease.

use crate::name::{NodeId, TeamName};
use crate::process::EntryInstance;
use crate::quantity::{Revision, Term};
use crate::request::TeamReport;
use crate::request::allowance::TeamTarget;
use crate::version::Delta;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A request for a configuration lease.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LeaseRequest {
    /// The entry process that requests the lease.
    pub instance: EntryInstance,
    /// The revision that the entry has applied.
    pub revision: Revision,
    /// Whether the leader should respond immediately even if nothing has changed.
    pub is_urgent: bool,
    /// Whether the entry is shutting down and returns the units granted to it.
    pub is_leaving: bool,
    /// Whether `reports` contains every team rather than only those that changed.
    pub is_full_report: bool,
    /// The entry's allowance and usage, by team.
    pub reports: BTreeMap<TeamName, TeamReport>,
    /// The version of the targets that the entry has applied.
    pub targets_seen: TargetsVersion,
}

/// The version of the allowance targets sent to one entry.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TargetsVersion {
    /// The leader's term.
    pub term: Term,
    /// The sequence number within the term.
    pub sequence: u64,
}

/// The response to a [`LeaseRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum LeaseResponse {
    /// The lease is granted, starting when the request was sent.
    Granted(Box<GrantedLease>),
    /// The process is not the leader.
    NotLeader {
        /// The leader, if known.
        leader: Option<NodeId>,
    },
}

/// A granted lease.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GrantedLease {
    /// The duration of the lease.
    pub lease: Duration,
    /// The configuration changes since the entry's revision.
    pub delta: Delta,
    /// The changes of the entry's allowance targets.
    pub targets: TargetsDelta,
    /// Whether the next request must contain the reports of every team.
    pub needs_full_report: bool,
    /// The revision that is in force on every entry.
    pub in_force: Revision,
}

/// The difference between two versions of an entry's targets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetsDelta {
    /// The version after applying the difference.
    pub version: TargetsVersion,
    /// Whether `changed` contains every team.
    pub is_full: bool,
    /// New and changed targets.
    pub changed: BTreeMap<TeamName, TeamTarget>,
    /// Teams that no longer have a target.
    pub removed: Vec<TeamName>,
}
