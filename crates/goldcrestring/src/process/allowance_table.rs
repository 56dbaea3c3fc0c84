//! The units of each team's upper limit that each entry process holds.
//!
//! The table is replicated. No change raises the sum over the entry processes above the limit, so
//! the limit holds even if messages between the leader and the entries are lost, delayed or
//! duplicated.

use crate::name::{NodeId, TeamName};
use crate::process::command::GrantChange;
use crate::quantity::{BootId, Revision};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One run of an entry process; a restarted process is another instance.
#[derive(Clone, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{node}/{boot}")]
pub struct EntryInstance {
    /// The node name of the process.
    pub node: NodeId,
    /// The boot id generated at its start.
    pub boot: BootId,
}

/// The part of one team's limit that is granted to one entry process.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The maximum number of tasks that the entry process may run at once.
    pub units: u32,
    /// The revision at which the units were set.
    pub revision: Revision,
}

/// The grants of all teams and entry processes.
///
/// # Examples
///
/// ```
/// use goldcrestring::process::{AllowanceTable, EntryInstance, GrantChange};
/// use goldcrestring::quantity::{BootId, Revision};
///
/// let instance = EntryInstance { node: "entry-1".parse()?, boot: BootId::new(7) };
/// let change = GrantChange {
///     team: "bakers".parse()?,
///     instance,
///     units: 5,
///     expected_revision: Revision::ZERO,
/// };
/// let mut table = AllowanceTable::default();
/// assert!(!table.set(Revision::new(1), 4, &change), "above the limit");
/// assert!(table.set(Revision::new(2), 5, &change));
/// assert_eq!(table.granted_units(&change.team), 5);
/// # Ok::<(), goldcrestring::name::NameError>(())
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllowanceTable {
    teams: BTreeMap<TeamName, BTreeMap<EntryInstance, Grant>>,
}

impl AllowanceTable {
    /// Sets one grant and returns whether the change took effect.
    ///
    /// The change is rejected if the grant's revision differs from the expected one, or if it
    /// raises the sum above `limit`. Lowering a grant is always allowed.
    pub fn set(&mut self, revision: Revision, limit: u32, change: &GrantChange) -> bool {
        let current = self.grant(&change.team, &change.instance);
        if current.revision != change.expected_revision {
            return false;
        }
        let others = self.granted_units(&change.team) - u64::from(current.units);
        let is_raise = change.units > current.units;
        if is_raise && others + u64::from(change.units) > u64::from(limit) {
            return false;
        }
        let grant = Grant { units: change.units, revision };
        let grants = self.teams.entry(change.team.clone()).or_default();
        grants.insert(change.instance.clone(), grant);
        true
    }

    /// Removes all grants of entry processes that no longer have tasks running.
    pub fn retire(&mut self, instances: &[EntryInstance]) {
        for grants in self.teams.values_mut() {
            grants.retain(|instance, _| !instances.contains(instance));
        }
        self.teams.retain(|_, grants| !grants.is_empty());
    }

    /// Returns the grant of an entry process for a team, or an empty grant if there is none.
    pub fn grant(&self, team: &TeamName, instance: &EntryInstance) -> Grant {
        let grants = self.teams.get(team);
        grants.and_then(|grants| grants.get(instance)).copied().unwrap_or_default()
    }

    /// Returns the total number of units granted for a team.
    pub fn granted_units(&self, team: &TeamName) -> u64 {
        let grants = self.teams.get(team);
        grants.map_or(0, |grants| grants.values().map(|grant| u64::from(grant.units)).sum())
    }

    /// Returns all entry processes that have a grant, even if it is empty.
    pub fn instances(&self) -> BTreeSet<EntryInstance> {
        self.teams.values().flat_map(BTreeMap::keys).cloned().collect()
    }

    /// Returns the grants of one team, ordered by entry process.
    pub fn team_grants(&self, team: &TeamName) -> impl Iterator<Item = (&EntryInstance, &Grant)> {
        self.teams.get(team).into_iter().flatten()
    }

    /// Returns the grants of one entry process, by team.
    pub fn instance_grants(&self, instance: &EntryInstance) -> BTreeMap<TeamName, Grant> {
        let grants = self.teams.iter();
        grants
            .filter_map(|(team, team_grants)| Some((team.clone(), *team_grants.get(instance)?)))
            .collect()
    }
}
