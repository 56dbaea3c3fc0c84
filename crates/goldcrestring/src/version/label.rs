//! Labels: the only thing by which operators steer.

pub use crate::name::{LabelKey, LabelValue};

use std::collections::BTreeMap;

/// The labels of one object, ordered by key.
pub type Labels = BTreeMap<LabelKey, LabelValue>;
