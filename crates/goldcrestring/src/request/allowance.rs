//! The allowance of each team at one entry: how many of the team's tasks the entry may run at once.
//!
//! The entry keeps a ceiling per team, which never exceeds the units granted to it. To return
//! units, the entry first lowers the ceiling and doesn't raise it again until it receives a newer
//! grant; only then does the leader commit the lower grant. Units are therefore never available to
//! two entries at once.

use crate::name::TeamName;
use crate::process::allowance_table::Grant;
use crate::quantity::Revision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The leader's target for one team at one entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamTarget {
    /// The committed grant.
    pub grant: Grant,
    /// The number of units that the entry should hold.
    pub target_units: u32,
}

/// An entry's report to the leader about one team.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamReport {
    /// The revision of the grant to which the ceiling applies.
    pub grant_revision: Revision,
    /// The maximum number of tasks that the entry will run until it receives a newer grant.
    pub ceiling_units: u32,
    /// The number of running tasks.
    pub running: u32,
    /// The maximum number of running and waiting tasks since the last report.
    pub peak_demand: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct TeamAllowance {
    grant: Grant,
    target_units: u32,
    ceiling_units: u32,
    running: u32,
    waiting: u32,
    peak_demand: u32,
}

/// The allowances of all teams at one entry.
///
/// # Examples
///
/// ```
/// use goldcrestring::process::Grant;
/// use goldcrestring::quantity::Revision;
/// use goldcrestring::request::EntryAllowances;
/// use goldcrestring::request::allowance::TeamTarget;
///
/// let team = "bakers".parse()?;
/// let grant = Grant { units: 1, revision: Revision::new(4) };
/// let mut allowances = EntryAllowances::default();
/// allowances.update([(team, TeamTarget { grant, target_units: 1 })].into(), &[]);
/// let team = "bakers".parse()?;
/// assert!(allowances.try_start(&team));
/// assert!(!allowances.try_start(&team));
/// allowances.finish(&team);
/// assert!(allowances.try_start(&team));
/// # Ok::<(), goldcrestring::name::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct EntryAllowances {
    teams: BTreeMap<TeamName, TeamAllowance>,
}

impl EntryAllowances {
    /// Applies a full set of targets; a team without a target may start no more tasks.
    pub fn update_all(&mut self, targets: BTreeMap<TeamName, TeamTarget>) {
        let has_target = |team: &&TeamName| targets.contains_key(*team);
        let removed: Vec<_> = self.teams.keys().filter(|team| !has_target(team)).cloned().collect();
        self.update(targets, &removed);
    }

    /// Applies changed targets; a removed team may start no more tasks.
    ///
    /// Changes must be applied in the order in which the leader sent them.
    pub fn update(&mut self, changed: BTreeMap<TeamName, TeamTarget>, removed: &[TeamName]) {
        for team in removed {
            if let Some(allowance) = self.teams.get_mut(team) {
                allowance.target_units = 0;
                allowance.lower_to_target();
            }
        }
        for (team, target) in changed {
            self.teams.entry(team).or_default().update(target);
        }
        self.teams.retain(|_, allowance| !allowance.is_idle_without_grant());
    }

    /// Lowers every ceiling to the number of running tasks, for an entry that shuts down.
    pub fn release_unused(&mut self) {
        for allowance in self.teams.values_mut() {
            allowance.target_units = 0;
            allowance.lower_to_target();
        }
    }

    /// Acquires a unit for a task and returns whether one was available.
    pub fn try_start(&mut self, team: &TeamName) -> bool {
        let allowance = self.teams.entry(team.clone()).or_default();
        let is_allowed = allowance.running < allowance.ceiling_units;
        allowance.running += u32::from(is_allowed);
        allowance.update_peak();
        is_allowed
    }

    /// Releases the unit of a task once the task is certain to have ended.
    pub fn finish(&mut self, team: &TeamName) {
        if let Some(allowance) = self.teams.get_mut(team) {
            allowance.running = allowance.running.saturating_sub(1);
            allowance.lower_to_target();
        }
    }

    /// Records that a request starts or stops waiting.
    pub fn record_waiting(&mut self, team: &TeamName, is_waiting: bool) {
        let allowance = self.teams.entry(team.clone()).or_default();
        if is_waiting {
            allowance.waiting += 1;
        } else {
            allowance.waiting = allowance.waiting.saturating_sub(1);
        }
        allowance.update_peak();
    }

    /// Returns the number of a team's tasks that this entry runs.
    pub fn running(&self, team: &TeamName) -> u32 {
        self.teams.get(team).map_or(0, |allowance| allowance.running)
    }

    /// Returns the maximum number of a team's tasks that this entry may run.
    pub fn ceiling(&self, team: &TeamName) -> u32 {
        self.teams.get(team).map_or(0, |allowance| allowance.ceiling_units)
    }

    /// Returns the report for the leader and resets the peak demand.
    pub fn report(&mut self) -> BTreeMap<TeamName, TeamReport> {
        let report = |(team, allowance): (&TeamName, &mut TeamAllowance)| {
            let report = allowance.report();
            allowance.peak_demand = 0;
            allowance.update_peak();
            (team.clone(), report)
        };
        self.teams.iter_mut().map(report).collect()
    }
}

impl TeamAllowance {
    fn update(&mut self, target: TeamTarget) {
        // Responses are applied in order, so a different revision is newer, or zero if the grant
        // was removed while this entry was disconnected.
        if target.grant.revision != self.grant.revision {
            self.grant = target.grant;
            self.ceiling_units = target.grant.units;
        }
        self.target_units = target.target_units;
        self.lower_to_target();
    }

    /// Lowers the ceiling towards the target, but not below the number of running tasks.
    fn lower_to_target(&mut self) {
        let min_ceiling = self.target_units.max(self.running);
        self.ceiling_units = self.ceiling_units.min(min_ceiling);
    }

    fn update_peak(&mut self) {
        self.peak_demand = self.peak_demand.max(self.running + self.waiting);
    }

    const fn report(&self) -> TeamReport {
        TeamReport {
            grant_revision: self.grant.revision,
            ceiling_units: self.ceiling_units,
            running: self.running,
            peak_demand: self.peak_demand,
        }
    }

    const fn is_idle_without_grant(&self) -> bool {
        self.grant.units == 0 && self.running == 0 && self.waiting == 0 && self.ceiling_units == 0
    }
}
