//! Labels of objects, which selectors match.

pub use crate::name::{LabelKey, LabelValue};

use std::collections::BTreeMap;

/// The labels of an object, ordered by key.
pub type Labels = BTreeMap<LabelKey, LabelValue>;
