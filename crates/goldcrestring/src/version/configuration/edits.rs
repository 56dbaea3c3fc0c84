//! The edits of one change before it is committed.

use super::Versioned;
use crate::version::change::{Edit, Rejection, Result};
use crate::version::object::{Object, ObjectRef};
use std::collections::BTreeMap;

/// Uncommitted edits on top of the stored objects; `None` marks a deleted object.
pub(super) struct Edits<'a> {
    stored: &'a BTreeMap<ObjectRef, Versioned>,
    pub(super) edited: BTreeMap<ObjectRef, Option<Object>>,
}

impl<'a> Edits<'a> {
    pub(super) fn new(stored: &'a BTreeMap<ObjectRef, Versioned>) -> Self {
        Self { stored, edited: BTreeMap::new() }
    }

    pub(super) fn apply(&mut self, edit: &Edit) -> Result<()> {
        let reference = edit.target();
        let next = match edit {
            Edit::Put(object) => Some(object.clone()),
            Edit::Delete(_) => {
                self.existing(&reference)?;
                None
            }
            Edit::Label { set, remove, .. } => {
                let mut object = self.existing(&reference)?;
                object.labels.extend(set.clone());
                object.labels.retain(|key, _| !remove.contains(key));
                Some(object)
            }
        };
        self.edited.insert(reference, next);
        Ok(())
    }

    fn existing(&self, reference: &ObjectRef) -> Result<Object> {
        let found = match self.edited.get(reference) {
            Some(edited) => edited.clone(),
            None => self.stored.get(reference).map(|versioned| versioned.object.clone()),
        };
        found.ok_or_else(|| Rejection::NotFound { object: reference.clone() })
    }
}
