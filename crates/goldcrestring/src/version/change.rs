//! Configuration changes requested by operators, and their results.

use crate::name::ObjectId;
use crate::quantity::Revision;
use crate::version::label::{LabelKey, Labels};
use crate::version::object::{Object, ObjectRef};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeSet;

/// Identifies a change, so that a retransmission can be distinguished from a new change.
pub type ChangeId = ObjectId;

/// A change of one or more objects, which is applied atomically.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The id of the change; a retransmission has the same id.
    pub change_id: ChangeId,
    /// The revision that the operator read; objects modified since then cause a conflict.
    #[serde(default)]
    pub expected_revision: Option<Revision>,
    /// The edits, in order.
    pub edits: Vec<Edit>,
}

impl Change {
    /// Returns the SHA-256 of the change, which detects reuse of its id for another change.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::version::Change;
    ///
    /// let change = Change { change_id: "a".parse()?, expected_revision: None, edits: Vec::new() };
    /// assert_eq!(change.digest(), change.clone().digest());
    /// # Ok::<(), goldcrestring::name::NameError>(())
    /// ```
    pub fn digest(&self) -> ChangeDigest {
        let bytes = rmp_serde::to_vec(self).expect("every change can be encoded");
        ChangeDigest(Sha256::digest(bytes).into())
    }
}

/// The SHA-256 of a change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeDigest([u8; 32]);

/// An edit of one object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum Edit {
    /// Creates or replaces an object.
    Put(Object),
    /// Sets and removes labels of an existing object.
    Label {
        /// The object.
        object: ObjectRef,
        /// The labels to set.
        #[serde(default)]
        set: Labels,
        /// The labels to remove.
        #[serde(default)]
        remove: BTreeSet<LabelKey>,
    },
    /// Deletes an existing object.
    Delete(ObjectRef),
}

impl Edit {
    /// Returns the object that the edit modifies.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::version::Edit;
    ///
    /// let edit = Edit::Delete("vm/vm-1".parse()?);
    /// assert_eq!(edit.target().to_string(), "vm/vm-1");
    /// # Ok::<(), goldcrestring::version::ReferenceError>(())
    /// ```
    pub fn target(&self) -> ObjectRef {
        match self {
            Self::Put(object) => object.reference(),
            Self::Label { object, .. } | Self::Delete(object) => object.clone(),
        }
    }
}

/// The result of an accepted change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Accepted {
    /// The revision at which the change was applied.
    pub revision: Revision,
}

/// The reason why a change was rejected.
#[derive(Clone, Debug, Deserialize, Display, Eq, Error, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "reason")]
pub enum Rejection {
    /// An object was modified after the revision that the operator read.
    #[display("{object} was modified at revision {actual}, after the expected revision {expected}")]
    Conflict {
        /// The object.
        object: ObjectRef,
        /// The revision that the operator read.
        expected: Revision,
        /// The revision that last modified the object.
        actual: Revision,
    },
    /// The change id has already been used for another change.
    #[display("change id {change_id} has already been used for another change")]
    ChangeIdReused {
        /// The id.
        change_id: ChangeId,
    },
    /// The change has no edits.
    #[display("a change must have at least one edit")]
    Empty,
    /// An edit refers to an object that does not exist.
    #[display("{object} does not exist")]
    NotFound {
        /// The object.
        object: ObjectRef,
    },
    /// A VM would belong to two pools.
    #[display("{vm} would belong to two pools: {first} and {second}")]
    TwoPools {
        /// The VM.
        vm: ObjectRef,
        /// The first pool whose selector matches the VM.
        first: ObjectRef,
        /// The second pool whose selector matches the VM.
        second: ObjectRef,
    },
    /// A key refers to a team that does not exist.
    #[display("{key} belongs to {team}, which does not exist")]
    UnknownTeam {
        /// The key.
        key: ObjectRef,
        /// The team.
        team: ObjectRef,
    },
    /// A field has an invalid value.
    #[display("{object}: {field} {problem}")]
    Field {
        /// The object.
        object: ObjectRef,
        /// The field.
        field: String,
        /// The reason why the value is invalid.
        problem: String,
    },
}

impl Rejection {
    /// Returns a machine-readable name of the reason.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::version::Rejection;
    ///
    /// assert_eq!(Rejection::Empty.kind(), "empty");
    /// ```
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Conflict { .. } => "conflict",
            Self::ChangeIdReused { .. } => "change-id-reused",
            Self::Empty => "empty",
            Self::NotFound { .. } => "not-found",
            Self::TwoPools { .. } => "two-pools",
            Self::UnknownTeam { .. } => "unknown-team",
            Self::Field { .. } => "field",
        }
    }
}

/// The result of applying a change.
pub type Result<T> = std::result::Result<T, Rejection>;
