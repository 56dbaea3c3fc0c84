//! Changes that operators ask for, and what becomes of them.

use crate::name::ObjectId;
use crate::quantity::Revision;
use crate::version::label::{LabelKey, Labels};
use crate::version::object::{Object, ObjectRef};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeSet;

/// Identifies one change, so that a resend is told apart from a second change.
pub type ChangeId = ObjectId;

/// A change of one or more objects, made whole or not at all.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Identifies the change; a resend carries the same id.
    pub change_id: ChangeId,
    /// The revision that the operator read; objects touched since then cause a conflict.
    #[serde(default)]
    pub expected_revision: Option<Revision>,
    /// The edits, in order.
    pub edits: Vec<Edit>,
}

impl Change {
    /// The SHA-256 of the change, by which a resend is told from another change of the same id.
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
        let bytes = rmp_serde::to_vec(self).expect("a change has no value that cannot be encoded");
        ChangeDigest(Sha256::digest(bytes).into())
    }
}

/// The SHA-256 of a change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeDigest([u8; 32]);

/// One edit of one object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum Edit {
    /// Creates or replaces an object.
    Put(Object),
    /// Sets and removes labels of an object that exists.
    Label {
        /// The object.
        object: ObjectRef,
        /// Labels to set.
        #[serde(default)]
        set: Labels,
        /// Labels to remove.
        #[serde(default)]
        remove: BTreeSet<LabelKey>,
    },
    /// Deletes an object that exists.
    Delete(ObjectRef),
}

impl Edit {
    /// The object that the edit touches.
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

/// The answer to a change that was accepted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Accepted {
    /// The revision at which the change applies.
    pub revision: Revision,
}

/// Why a change was not accepted.
#[derive(Clone, Debug, Deserialize, Display, Eq, Error, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "reason")]
pub enum Rejection {
    /// An object was changed after the revision that the operator read.
    #[display("{object} was changed at revision {actual}, after the expected {expected}")]
    Conflict {
        /// The object.
        object: ObjectRef,
        /// The revision that the operator read.
        expected: Revision,
        /// The revision that last touched the object.
        actual: Revision,
    },
    /// The change id was used before with other content.
    #[display("change id {change_id} was used before for another change")]
    ChangeIdReused {
        /// The id.
        change_id: ChangeId,
    },
    /// The change has no edits.
    #[display("a change has at least one edit")]
    Empty,
    /// An edit names an object that does not exist.
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
        /// One pool whose selector chooses the VM.
        first: ObjectRef,
        /// Another pool whose selector chooses the VM.
        second: ObjectRef,
    },
    /// A key names a team that does not exist.
    #[display("{key} belongs to {team}, which does not exist")]
    UnknownTeam {
        /// The key.
        key: ObjectRef,
        /// The team.
        team: ObjectRef,
    },
    /// A field holds a value that makes no sense.
    #[display("{object}: {field} {problem}")]
    Field {
        /// The object.
        object: ObjectRef,
        /// The field.
        field: String,
        /// What is wrong with it.
        problem: String,
    },
}

impl Rejection {
    /// Names the sort of rejection for programs.
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

/// The result of a change.
pub type Result<T> = std::result::Result<T, Rejection>;
