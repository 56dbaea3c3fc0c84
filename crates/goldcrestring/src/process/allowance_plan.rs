//! The leader's plan for distributing the units of each team's upper limit among the entries.

use crate::name::TeamName;
use crate::process::allowance_table::{AllowanceTable, EntryInstance};
use crate::process::command::GrantChange;
use crate::process::control_state::ControlState;
use crate::request::allowance::{TeamReport, TeamTarget};
use crate::request::demand::{Demand, divide, should_rebalance};
use std::collections::{BTreeMap, BTreeSet};

/// The latest report of each entry process, by team.
pub type Reports = BTreeMap<EntryInstance, BTreeMap<TeamName, TeamReport>>;

/// The units of each team's limit that each entry process should hold.
pub type Targets = BTreeMap<TeamName, BTreeMap<EntryInstance, u32>>;

/// The target distribution and the grant changes that can be committed now.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AllowancePlan {
    /// The target units of each entry process, by team.
    pub targets: Targets,
    /// Grant changes that never raise the sum of a team's grants above its limit.
    pub changes: Vec<GrantChange>,
}

/// Computes the targets and the grant changes that are safe to commit now.
///
/// A grant is lowered only to a ceiling that its entry has reported, and raised only by units that
/// are not granted. `live` contains the entry processes that hold a lease; the grants of others
/// still count towards the limit.
///
/// # Examples
///
/// ```
/// use goldcrestring::process::ControlState;
/// use goldcrestring::process::allowance_plan::{Reports, plan};
///
/// let plan = plan(&ControlState::default(), &Reports::new(), &[].into());
/// assert!(plan.changes.is_empty());
/// ```
pub fn plan(
    state: &ControlState,
    reports: &Reports,
    live: &BTreeSet<EntryInstance>,
) -> AllowancePlan {
    let mut plan = AllowancePlan::default();
    for (team, spec) in state.configuration().teams() {
        let team_plan = TeamPlan {
            limit: spec.upper_limit_tasks,
            allowances: state.allowances(),
            reports,
            live,
            team: &team,
        };
        let targets = team_plan.targets();
        plan.changes.extend(team_plan.changes(&targets));
        plan.targets.insert(team, targets);
    }
    let planned: BTreeSet<_> =
        plan.changes.iter().map(|change| (&change.team, &change.instance)).collect();
    let returned: Vec<_> = returned_units(state, reports)
        .into_iter()
        .filter(|change| !planned.contains(&(&change.team, &change.instance)))
        .collect();
    plan.changes.extend(returned);
    plan
}

/// Returns the targets of one entry process, by team.
pub fn targets_for(
    allowances: &AllowanceTable,
    targets: &Targets,
    instance: &EntryInstance,
) -> BTreeMap<TeamName, TeamTarget> {
    let target = |(team, units): (&TeamName, &BTreeMap<EntryInstance, u32>)| {
        let grant = allowances.grant(team, instance);
        let target_units = units.get(instance).copied().unwrap_or(grant.units);
        (team.clone(), TeamTarget { grant, target_units })
    };
    targets.iter().map(target).collect()
}

struct TeamPlan<'a> {
    limit: u32,
    allowances: &'a AllowanceTable,
    reports: &'a Reports,
    live: &'a BTreeSet<EntryInstance>,
    team: &'a TeamName,
}

impl TeamPlan<'_> {
    fn targets(&self) -> BTreeMap<EntryInstance, u32> {
        let demands: BTreeMap<_, _> =
            self.live.iter().map(|instance| (instance.clone(), self.demand(instance))).collect();
        let available = self.limit.saturating_sub(self.units_without_lease());
        let held: u64 = demands.values().map(|demand| u64::from(demand.held_units)).sum();
        if held > u64::from(available) {
            return scale_down(available, demands);
        }
        let divided = divide(available, &demands);
        if should_rebalance(&demands, &divided, available) {
            return divided;
        }
        demands.into_iter().map(|(instance, demand)| (instance, demand.held_units)).collect()
    }

    fn demand(&self, instance: &EntryInstance) -> Demand {
        Demand {
            held_units: self.allowances.grant(self.team, instance).units,
            wanted_units: self.report(instance).map_or(0, |report| report.peak_demand),
        }
    }

    fn report(&self, instance: &EntryInstance) -> Option<&TeamReport> {
        self.reports.get(instance)?.get(self.team)
    }

    fn units_without_lease(&self) -> u32 {
        let grants = self.allowances.team_grants(self.team);
        let without_lease = grants.filter(|(instance, _)| !self.live.contains(instance));
        without_lease.map(|(_, grant)| grant.units).sum()
    }

    fn changes(&self, targets: &BTreeMap<EntryInstance, u32>) -> Vec<GrantChange> {
        let granted = self.allowances.granted_units(self.team);
        let mut free = u64::from(self.limit).saturating_sub(granted);
        let mut changes = Vec::new();
        for (instance, &target) in targets {
            let grant = self.allowances.grant(self.team, instance);
            let units = if target > grant.units {
                let raise = u64::from(target - grant.units).min(free);
                free -= raise;
                grant.units + u32::try_from(raise).unwrap_or(0)
            } else {
                self.reported_ceiling(instance).unwrap_or(grant.units).max(target)
            };
            if units != grant.units {
                changes.push(self.change(instance, units));
            }
        }
        changes
    }

    /// Returns the ceiling that an entry has reported, if it is below the current grant.
    fn reported_ceiling(&self, instance: &EntryInstance) -> Option<u32> {
        let grant = self.allowances.grant(self.team, instance);
        let report = self.report(instance)?;
        let is_current = report.grant_revision == grant.revision;
        Some(report.ceiling_units).filter(|&ceiling| is_current && ceiling < grant.units)
    }

    fn change(&self, instance: &EntryInstance, units: u32) -> GrantChange {
        GrantChange {
            team: self.team.clone(),
            instance: instance.clone(),
            units,
            expected_revision: self.allowances.grant(self.team, instance).revision,
        }
    }
}

/// Returns targets that reduce the granted units to a lowered limit.
///
/// The targets are based on the units held rather than on demand. If they followed demand that
/// moves between entries, each entry in turn would keep its units and the sum would not fall.
fn scale_down(
    available: u32,
    demands: BTreeMap<EntryInstance, Demand>,
) -> BTreeMap<EntryInstance, u32> {
    let demand_as_held = |(instance, demand): (EntryInstance, Demand)| {
        (instance, Demand { wanted_units: demand.held_units, ..demand })
    };
    divide(available, &demands.into_iter().map(demand_as_held).collect())
}

/// Returns changes that lower grants to the ceiling that their entry has reported, independent of
/// the targets.
///
/// This covers grants of deleted teams and of entries that are shutting down.
fn returned_units(state: &ControlState, reports: &Reports) -> Vec<GrantChange> {
    let mut changes = Vec::new();
    for (instance, reports) in reports {
        for (team, grant) in state.allowances().instance_grants(instance) {
            let report = reports.get(&team);
            let current = report.filter(|report| report.grant_revision == grant.revision);
            let Some(report) = current.filter(|report| report.ceiling_units < grant.units) else {
                continue;
            };
            changes.push(GrantChange {
                team,
                instance: instance.clone(),
                units: report.ceiling_units,
                expected_revision: grant.revision,
            });
        }
    }
    changes
}
