//! Replicas, their membership, and the state that they persist.

use crate::name::NodeId;
use crate::process::command::Command;
use crate::quantity::{Incarnation, LogIndex, Term};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Identifies a replica; a node whose disk is replaced becomes a new replica.
///
/// # Examples
///
/// ```
/// use goldcrestring::process::ReplicaId;
/// use goldcrestring::quantity::Incarnation;
///
/// let old = ReplicaId { node: "entry-1".parse()?, incarnation: Incarnation::new(1) };
/// let new = ReplicaId { incarnation: Incarnation::new(2), ..old.clone() };
/// assert_ne!(old, new);
/// # Ok::<(), goldcrestring::name::NameError>(())
/// ```
#[derive(Clone, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{node}/{incarnation}")]
pub struct ReplicaId {
    /// The node name of the process.
    pub node: NodeId,
    /// The incarnation number of the disk.
    pub incarnation: Incarnation,
}

/// The voting and non-voting replicas.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// Replicas that count towards a quorum.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that receive the log but do not vote.
    pub learners: BTreeSet<ReplicaId>,
}

impl Membership {
    /// Returns the number of voters that form a majority.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::process::Membership;
    ///
    /// assert_eq!(Membership::default().quorum(), 1);
    /// ```
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns all replicas, voters first.
    pub fn replicas(&self) -> impl Iterator<Item = &ReplicaId> {
        self.voters.iter().chain(&self.learners)
    }

    /// Returns whether the replica is a voter or a learner.
    pub fn contains(&self, replica: &ReplicaId) -> bool {
        self.voters.contains(replica) || self.learners.contains(replica)
    }

    /// Returns whether the voters differ by at most one replica, so that majorities overlap.
    pub fn is_within_one_voter_of(&self, other: &Self) -> bool {
        self.voters.symmetric_difference(&other.voters).count() <= 1
    }
}

/// The payload of a log entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// No payload; appended by a leader at the start of its term.
    Empty,
    /// A new membership, which takes effect as soon as it is appended.
    Membership(Membership),
    /// A command for the replicated state machine.
    Command(Command),
}

/// An entry of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogEntry {
    /// The term of the leader that appended it.
    pub term: Term,
    /// The position in the log.
    pub index: LogIndex,
    /// The payload.
    pub payload: Payload,
}

/// The term and vote that a replica must persist before it responds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// The highest term observed.
    pub term: Term,
    /// The candidate that received the vote in that term.
    pub vote: Option<ReplicaId>,
}

/// A snapshot of the replicated state at one log position.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// The position of the last entry included in the state.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: Term,
    /// The membership at that entry.
    pub membership: Membership,
    /// The encoded state.
    #[serde(with = "bytes")]
    pub state: Vec<u8>,
}

/// Serializes the state as a byte string rather than as a sequence of integers.
mod bytes {
    use serde::de::{SeqAccess, Visitor};
    use serde::{Deserializer, Serializer};
    use std::fmt;

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        deserializer.deserialize_byte_buf(ByteVisitor)
    }

    struct ByteVisitor;

    impl<'de> Visitor<'de> for ByteVisitor {
        type Value = Vec<u8>;

        fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
            formatter.write_str("a byte string")
        }

        fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Self::Value, E> {
            Ok(bytes.to_vec())
        }

        fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Self::Value, E> {
            Ok(bytes)
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Self::Value, A::Error> {
            let mut bytes = Vec::new();
            while let Some(byte) = sequence.next_element()? {
                bytes.push(byte);
            }
            Ok(bytes)
        }
    }
}
