//! What this entry may start for each team.
//!
//! The entry keeps a ceiling per team, at most the units granted to it. To give units back it
//! first lowers the ceiling and keeps it low until it sees a newer grant; only then does the
//! leader commit the lower grant. So units are never counted in two places.

use crate::name::TeamName;
use crate::process::allowance_table::Grant;
use crate::quantity::Revision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What the leader tells an entry about one team.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamTarget {
    /// The committed grant.
    pub grant: Grant,
    /// What the leader wants the entry to hold.
    pub target_units: u32,
}

/// What an entry tells the leader about one team.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamReport {
    /// The revision of the grant that the ceiling refers to.
    pub grant_revision: Revision,
    /// The most that the entry will have running until it sees a newer grant.
    pub ceiling_units: u32,
    /// The tasks running.
    pub running: u32,
    /// The most tasks running or waiting since the last report.
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

/// The allowances of this entry.
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
    /// Takes all that the leader says; a team that it does not name may start nothing more.
    pub fn update_all(&mut self, targets: BTreeMap<TeamName, TeamTarget>) {
        let named = |team: &&TeamName| targets.contains_key(*team);
        let unnamed: Vec<_> = self.teams.keys().filter(|team| !named(team)).cloned().collect();
        self.update(targets, &unnamed);
    }

    /// Takes what changed of what the leader says; a removed team may start nothing more.
    ///
    /// The caller hands over what the leader says in the order in which the leader said it.
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

    /// Lowers every ceiling to what runs, as an entry that stops does.
    pub fn release_unused(&mut self) {
        for allowance in self.teams.values_mut() {
            allowance.target_units = 0;
            allowance.lower_to_target();
        }
    }

    /// Takes one unit for a task; returns whether there was one.
    pub fn try_start(&mut self, team: &TeamName) -> bool {
        let allowance = self.teams.entry(team.clone()).or_default();
        let is_allowed = allowance.running < allowance.ceiling_units;
        allowance.running += u32::from(is_allowed);
        allowance.note_peak();
        is_allowed
    }

    /// Gives a unit back once its task has ended for certain.
    pub fn finish(&mut self, team: &TeamName) {
        if let Some(allowance) = self.teams.get_mut(team) {
            allowance.running = allowance.running.saturating_sub(1);
            allowance.lower_to_target();
        }
    }

    /// Notes that a task waits for a unit, or no longer waits.
    pub fn record_waiting(&mut self, team: &TeamName, is_waiting: bool) {
        let allowance = self.teams.entry(team.clone()).or_default();
        if is_waiting {
            allowance.waiting += 1;
        } else {
            allowance.waiting = allowance.waiting.saturating_sub(1);
        }
        allowance.note_peak();
    }

    /// The tasks of a team that run from this entry.
    pub fn running(&self, team: &TeamName) -> u32 {
        self.teams.get(team).map_or(0, |allowance| allowance.running)
    }

    /// The most tasks of a team that this entry may have running.
    pub fn ceiling(&self, team: &TeamName) -> u32 {
        self.teams.get(team).map_or(0, |allowance| allowance.ceiling_units)
    }

    /// The report for the leader; starts a new period for the peak of demand.
    pub fn report(&mut self) -> BTreeMap<TeamName, TeamReport> {
        let report = |(team, allowance): (&TeamName, &mut TeamAllowance)| {
            let report = allowance.report();
            allowance.peak_demand = 0;
            allowance.note_peak();
            (team.clone(), report)
        };
        self.teams.iter_mut().map(report).collect()
    }
}

impl TeamAllowance {
    fn update(&mut self, target: TeamTarget) {
        // The caller orders answers, so another revision is a later one, or none when the grant was
        // ended while this entry was away.
        if target.grant.revision != self.grant.revision {
            self.grant = target.grant;
            self.ceiling_units = target.grant.units;
        }
        self.target_units = target.target_units;
        self.lower_to_target();
    }

    /// Lowers the ceiling as far as running tasks allow; each that ends allows more.
    fn lower_to_target(&mut self) {
        let lowest = self.target_units.max(self.running);
        self.ceiling_units = self.ceiling_units.min(lowest);
    }

    fn note_peak(&mut self) {
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
