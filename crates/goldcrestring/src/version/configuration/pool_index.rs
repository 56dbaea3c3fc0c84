//! An index of pool selectors, to look up the pool of a VM.

use crate::name::PoolName;
use crate::version::label::{LabelKey, LabelValue, Labels};
use crate::version::object::Object;
use crate::version::selector::Selector;
use std::collections::BTreeMap;

/// Pools by a label that their selector requires, so that each VM is matched against few pools.
pub(super) struct PoolIndex<'a> {
    by_label: BTreeMap<(&'a LabelKey, &'a LabelValue), Vec<(PoolName, &'a Selector)>>,
    /// Pools whose selector requires no particular label.
    others: Vec<(PoolName, &'a Selector)>,
}

impl<'a> PoolIndex<'a> {
    pub(super) fn new(pools: impl Iterator<Item = (&'a Object, &'a Selector)>) -> Self {
        let mut index = Self { by_label: BTreeMap::new(), others: Vec::new() };
        for (pool, selector) in pools {
            let Ok(name) = pool.name.as_str().parse::<PoolName>() else { continue };
            match selector.required_label() {
                Some((key, values)) => {
                    for value in values {
                        let pools = index.by_label.entry((key, value)).or_default();
                        pools.push((name.clone(), selector));
                    }
                }
                None => index.others.push((name, selector)),
            }
        }
        index
    }

    pub(super) fn pool_of(&self, labels: &'a Labels) -> Option<&PoolName> {
        let by_label = labels.iter().filter_map(|label| self.by_label.get(&label)).flatten();
        let mut candidates = by_label.chain(&self.others);
        candidates.find(|(_, selector)| selector.matches(labels)).map(|(name, _)| name)
    }
}
