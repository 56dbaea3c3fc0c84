//! The messages by which an entry asks the leader for its configuration lease.

use crate::name::{NodeId, TeamName};
use crate::process::EntryInstance;
use crate::quantity::{Revision, Term};
use crate::request::TeamReport;
use crate::request::allowance::TeamTarget;
use crate::version::Delta;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Asks the leader for a configuration lease.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LeaseCall {
    /// The entry process that asks.
    pub instance: EntryInstance,
    /// The revision that it has applied.
    pub revision: Revision,
    /// Whether the leader should answer at once although nothing changed.
    pub is_urgent: bool,
    /// Whether the entry is about to stop and gives its units back.
    pub is_leaving: bool,
    /// Whether `reports` names every team rather than those that changed.
    pub is_full_report: bool,
    /// What the entry holds and uses, by team.
    pub reports: BTreeMap<TeamName, TeamReport>,
    /// The last targets that the entry has applied.
    pub targets_seen: TargetsVersion,
}

/// Numbers what a leader tells one entry about its allowances.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TargetsVersion {
    /// The leader's term.
    pub term: Term,
    /// Counts within the term.
    pub sequence: u64,
}

/// The answer to a [`LeaseCall`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum LeaseAnswer {
    /// The lease is granted from when the call was sent.
    Granted(Box<GrantedLease>),
    /// The process does not lead.
    NotLeader {
        /// The leader, where it is known.
        leader: Option<NodeId>,
    },
}

/// A granted lease.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GrantedLease {
    /// How long the lease lasts.
    pub lease: Duration,
    /// What the entry lacks of the configuration.
    pub delta: Delta,
    /// What the entry may start.
    pub targets: TargetsDelta,
    /// Whether the leader needs the reports of every team with the next call.
    pub needs_full_report: bool,
    /// The revision that is in force on every entry.
    pub in_force: Revision,
}

/// What changed of an entry's targets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetsDelta {
    /// The version reached.
    pub version: TargetsVersion,
    /// Whether `changed` names every team.
    pub is_full: bool,
    /// Targets that are new or different.
    pub changed: BTreeMap<TeamName, TeamTarget>,
    /// Teams that no longer have a target.
    pub removed: Vec<TeamName>,
}
