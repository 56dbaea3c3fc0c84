//! How the leader divides a team's upper limit over the entries.
//!
//! Each entry gets what it asks for, by max-min fairness when that is too much, and an equal part
//! of what is left over, so that a burst on one entry starts without asking.

use crate::process::allowance_table::EntryInstance;
use std::collections::BTreeMap;

/// How far a target may be off before units move without need, in hundredths.
const HYSTERESIS_PERCENT: u32 = 25;

/// What one entry process holds and asks for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// The units that it holds.
    pub held_units: u32,
    /// The tasks that it has running or waiting at the peak.
    pub wanted_units: u32,
}

/// Divides a limit over the entry processes.
///
/// The sum of the result is the limit, or zero when there is no entry process.
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
    let mut rest = limit;
    let mut ascending: Vec<_> = demands.iter().collect();
    ascending.sort_by_key(|(_, demand)| demand.wanted_units);
    for (position, (instance, demand)) in ascending.iter().enumerate() {
        let remaining = u32::try_from(ascending.len() - position).unwrap_or(u32::MAX);
        let share = demand.wanted_units.min(rest / remaining);
        rest -= share;
        shares.insert((*instance).clone(), share);
    }
    spread(rest, &mut shares);
    shares
}

/// Whether the present division should give way to a new one.
///
/// It does when an entry wants more than it holds and would get some of it, when units are left
/// over, or when a share is far off.
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
        let difference = target.abs_diff(demand.held_units);
        let is_far_off = difference * 100 > limit * HYSTERESIS_PERCENT;
        is_short || is_far_off
    })
}

fn spread(rest: u32, shares: &mut BTreeMap<EntryInstance, u32>) {
    let Ok(count) = u32::try_from(shares.len()) else {
        return;
    };
    if count == 0 {
        return;
    }
    let (each, over) = (rest / count, rest % count);
    for (position, share) in (0_u32..).zip(shares.values_mut()) {
        *share += each + u32::from(position < over);
    }
}
