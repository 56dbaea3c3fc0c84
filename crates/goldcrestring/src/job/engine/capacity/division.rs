//! Division of the fleet's VMs among pools that together want more than there are.
//!
//! Each pool says how many VMs it wants in total up to each [`Level`]. The levels are granted one after
//! the other, so that a backlog that is late anyway never keeps VMs from work of another pool that can
//! still be in time. A level that can't be granted whole is divided in proportion to what it adds.

use crate::job::id::PoolId;
use std::collections::BTreeMap;

/// How pressing a demand is; the first is granted first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Level {
    /// The VMs over which long-running tasks are spread, and the reserve.
    Minimum,
    /// Work that runs, arrives, or can meet its objective.
    InTime,
    /// Work that is late and still worth something.
    Late,
    /// All other work.
    Overdue,
}

impl Level {
    pub(super) const ALL: [Self; 4] = [Self::Minimum, Self::InTime, Self::Late, Self::Overdue];

    const fn index(self) -> usize {
        self as usize
    }
}

/// The VMs that a pool wants in total, up to each level.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Want([usize; Level::ALL.len()]);

impl Want {
    /// Sets the VMs wanted in total up to a level; no less than up to the level before.
    #[must_use]
    pub(super) const fn up_to(mut self, level: Level, machines: usize) -> Self {
        let mut at = level.index();
        while at < self.0.len() {
            if self.0[at] < machines {
                self.0[at] = machines;
            }
            at += 1;
        }
        self
    }

    /// The VMs wanted in total, over all levels.
    pub(super) fn total(&self) -> usize {
        self.0[Level::Overdue.index()]
    }

    /// The VMs that a level adds to those before it.
    fn added(&self, level: Level) -> usize {
        let before = level.index().checked_sub(1).map_or(0, |before| self.0[before]);
        self.0[level.index()] - before
    }
}

/// Divides `supply` VMs; returns the number for each pool, at most what it wants.
pub(super) fn divide(supply: usize, wants: &BTreeMap<PoolId, Want>) -> BTreeMap<PoolId, usize> {
    let mut granted: BTreeMap<PoolId, usize> = wants.keys().map(|pool| (pool.clone(), 0)).collect();
    let mut left = supply;
    for level in Level::ALL {
        let added: Vec<_> = wants.iter().map(|(pool, want)| (pool, want.added(level))).collect();
        let sum: usize = added.iter().map(|(_, added)| added).sum();
        let shares = if sum <= left { added } else { proportional(left, sum, &added) };
        for (pool, share) in shares {
            left -= share;
            if let Some(granted) = granted.get_mut(pool) {
                *granted += share;
            }
        }
    }
    granted
}

/// Divides `supply` in proportion to the demands, whose sum exceeds it; what rounding leaves goes to the
/// largest remainders.
fn proportional<'a>(
    supply: usize,
    sum: usize,
    demands: &[(&'a PoolId, usize)],
) -> Vec<(&'a PoolId, usize)> {
    let mut shares: Vec<_> =
        demands.iter().map(|(pool, demand)| (*pool, supply * demand / sum)).collect();
    let rest = supply - shares.iter().map(|(_, share)| share).sum::<usize>();
    let mut by_remainder: Vec<_> = (0..demands.len()).collect();
    by_remainder.sort_by_key(|at| std::cmp::Reverse(supply * demands[*at].1 % sum));
    for at in by_remainder.into_iter().take(rest) {
        shares[at].1 += 1;
    }
    shares
}

#[cfg(test)]
mod tests;
