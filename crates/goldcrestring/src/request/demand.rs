//! Division of a team's upper limit among the entries.
//!
//! Each entry gets the units it demands, or a max-min fair share if the demand exceeds the limit.
//! The remaining units are divided equally, so that an entry can start a burst of tasks without
//! waiting for the leader.

use crate::process::allowance_table::EntryInstance;
use std::collections::BTreeMap;

/// How far a share may deviate from its target before units are moved without demand, in percent of
/// the limit.
const HYSTERESIS_PERCENT: u64 = 25;

/// The units that one entry process holds and demands.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// The units held.
    pub held_units: u32,
    /// The peak number of running and waiting tasks.
    pub wanted_units: u32,
}

/// Divides a limit among the entry processes.
///
/// The shares add up to the limit, or there are none if there is no entry process.
///
/// # Examples
///
/// ```
/// use goldcrestring::process::EntryInstance;
/// use goldcrestring::quantity::BootId;
/// use goldcrestring::request::demand::{Demand, divide};
///
/// let busy = EntryInstance { node: "entry-1".parse()?, boot: BootId::new(1) };
/// let idle = EntryInstance { node: "entry-2".parse()?, boot: BootId::new(1) };
/// let demands = [
///     (busy.clone(), Demand { held_units: 5, wanted_units: 20 }),
///     (idle.clone(), Demand { held_units: 5, wanted_units: 0 }),
/// ];
/// let divided = divide(10, &demands.into());
/// assert_eq!((divided[&busy], divided[&idle]), (10, 0));
/// # Ok::<(), goldcrestring::name::NameError>(())
/// ```
pub fn divide(
    limit: u32,
    demands: &BTreeMap<EntryInstance, Demand>,
) -> BTreeMap<EntryInstance, u32> {
    let mut shares: BTreeMap<_, _> = demands.keys().map(|key| (key.clone(), 0)).collect();
    let mut unassigned = limit;
    let mut by_demand: Vec<_> = demands.iter().collect();
    by_demand.sort_by_key(|(_, demand)| demand.wanted_units);
    for (position, (instance, demand)) in by_demand.iter().enumerate() {
        let remaining = u32::try_from(by_demand.len() - position).unwrap_or(u32::MAX);
        let share = demand.wanted_units.min(unassigned / remaining);
        unassigned -= share;
        shares.insert((*instance).clone(), share);
    }
    distribute_evenly(unassigned, &mut shares);
    shares
}

/// Returns whether units should be moved to reach the targets.
///
/// This is the case if an entry demands more than it holds and would get more, if the held units
/// don't add up to the limit, or if a share deviates too far from its target.
pub fn should_rebalance(
    demands: &BTreeMap<EntryInstance, Demand>,
    targets: &BTreeMap<EntryInstance, u32>,
    limit: u32,
) -> bool {
    let held: u64 = demands.values().map(|demand| u64::from(demand.held_units)).sum();
    if held != u64::from(limit) {
        return true;
    }
    demands.iter().any(|(instance, demand)| {
        let target = targets.get(instance).copied().unwrap_or(0);
        let is_short = demand.wanted_units > demand.held_units && target > demand.held_units;
        let difference = u64::from(target.abs_diff(demand.held_units));
        let is_unbalanced = difference * 100 > u64::from(limit) * HYSTERESIS_PERCENT;
        is_short || is_unbalanced
    })
}

fn distribute_evenly(units: u32, shares: &mut BTreeMap<EntryInstance, u32>) {
    let Ok(count) = u32::try_from(shares.len()) else {
        return;
    };
    if count == 0 {
        return;
    }
    let (each, remainder) = (units / count, units % count);
    for (position, share) in (0_u32..).zip(shares.values_mut()) {
        *share += each + u32::from(position < remainder);
    }
}
