//! How much of each team's upper limit each entry process holds.
//!
//! The table is replicated. The sum over the entry processes never rises above the limit, so the
//! limit holds whatever is lost, delayed or repeated between the leader and the entries.

use crate::name::{NodeId, TeamName};
use crate::process::command::GrantChange;
use crate::quantity::{BootId, Revision};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One run of an entry process, from start to end.
#[derive(Clone, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{node}/{boot}")]
pub struct EntryInstance {
    /// The process.
    pub node: NodeId,
    /// The number drawn at its start.
    pub boot: BootId,
}

/// What one entry process holds of one team's limit.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The most tasks that it may have running.
    pub units: u32,
    /// The revision that set the units.
    pub revision: Revision,
}

/// All grants, by team and entry process.
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
    /// Sets one grant; returns whether the change took effect.
    ///
    /// A change that expects another revision than the present one is void. One that raises the
    /// sum above `limit` is refused; lowering is always allowed.
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

    /// Ends all grants of entry processes that have nothing running any more.
    pub fn retire(&mut self, instances: &[EntryInstance]) {
        for grants in self.teams.values_mut() {
            grants.retain(|instance, _| !instances.contains(instance));
        }
        self.teams.retain(|_, grants| !grants.is_empty());
    }

    /// What an entry process holds of a team's limit; nothing where no grant was made.
    pub fn grant(&self, team: &TeamName, instance: &EntryInstance) -> Grant {
        let grants = self.teams.get(team);
        grants.and_then(|grants| grants.get(instance)).copied().unwrap_or_default()
    }

    /// The sum of the units granted of a team's limit.
    pub fn granted_units(&self, team: &TeamName) -> u64 {
        let grants = self.teams.get(team);
        grants.map_or(0, |grants| grants.values().map(|grant| u64::from(grant.units)).sum())
    }

    /// All entry processes that hold a grant.
    pub fn instances(&self) -> BTreeSet<EntryInstance> {
        self.teams.values().flat_map(BTreeMap::keys).cloned().collect()
    }

    /// The grants of one team.
    pub fn team_grants(&self, team: &TeamName) -> impl Iterator<Item = (&EntryInstance, &Grant)> {
        self.teams.get(team).into_iter().flatten()
    }

    /// The grants of one entry process.
    pub fn instance_grants(&self, instance: &EntryInstance) -> BTreeMap<TeamName, Grant> {
        let grants = self.teams.iter();
        grants.filter_map(|(team, by)| Some((team.clone(), *by.get(instance)?))).collect()
    }
}
