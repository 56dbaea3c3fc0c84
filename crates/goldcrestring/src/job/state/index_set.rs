//! Sets of indices that are mostly contiguous.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A set of indices, stored as ranges: its size depends on the number of gaps, not of indices.
///
/// # Examples
///
/// ```
/// use goldcrestring::job::state::IndexSet;
///
/// let mut waiting = IndexSet::below(1_000_000);
/// waiting.remove(2);
/// assert_eq!((waiting.len(), waiting.contains(2)), (999_999, false));
/// assert_eq!(waiting.iter().take(3).collect::<Vec<_>>(), [0, 1, 3]);
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct IndexSet {
    /// The end of each range, exclusive, by its start. Ranges neither overlap nor touch.
    ranges: BTreeMap<u32, u32>,
    len: u32,
}

impl IndexSet {
    /// The empty set.
    pub const fn new() -> Self {
        Self { ranges: BTreeMap::new(), len: 0 }
    }

    /// The indices from zero up to `end`, exclusive.
    pub fn below(end: u32) -> Self {
        let ranges = if end == 0 { BTreeMap::new() } else { BTreeMap::from([(0, end)]) };
        Self { ranges, len: end }
    }

    /// The number of indices.
    pub const fn len(&self) -> u32 {
        self.len
    }

    /// Whether the set has no indices.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether the set has an index.
    pub fn contains(&self, index: u32) -> bool {
        self.range_at(index).is_some()
    }

    /// The indices, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> {
        self.ranges.iter().flat_map(|(start, end)| *start..*end)
    }

    /// Adds an index; returns whether it is new.
    pub fn insert(&mut self, index: u32) -> bool {
        // The end of a range is exclusive, so the highest number can't be in one.
        if index == u32::MAX || self.contains(index) {
            return false;
        }
        let after = self.ranges.remove(&(index + 1));
        let end = after.unwrap_or(index + 1);
        match self.ranges.range_mut(..index).next_back() {
            Some((_, before)) if *before == index => *before = end,
            _ => {
                self.ranges.insert(index, end);
            }
        }
        self.len += 1;
        true
    }

    /// Removes an index; returns whether the set had it.
    pub fn remove(&mut self, index: u32) -> bool {
        let Some((start, end)) = self.range_at(index) else { return false };
        if start == index {
            self.ranges.remove(&start);
        } else {
            self.ranges.insert(start, index);
        }
        if index + 1 < end {
            self.ranges.insert(index + 1, end);
        }
        self.len -= 1;
        if self.len == 0 {
            // An empty map may keep a node.
            self.ranges = BTreeMap::new();
        }
        true
    }

    /// The range that contains an index.
    fn range_at(&self, index: u32) -> Option<(u32, u32)> {
        let (start, end) = self.ranges.range(..=index).next_back()?;
        (index < *end).then_some((*start, *end))
    }
}

impl FromIterator<u32> for IndexSet {
    fn from_iter<I: IntoIterator<Item = u32>>(indices: I) -> Self {
        let mut set = Self::default();
        for index in indices {
            set.insert(index);
        }
        set
    }
}

#[cfg(test)]
mod tests;
