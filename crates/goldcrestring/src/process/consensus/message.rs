//! The requests and responses exchanged between replicas.

use crate::process::replica::{LogEntry, ReplicaId, Snapshot};
use crate::quantity::{LogIndex, Term};
use serde::{Deserialize, Serialize};

/// A request from one replica to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Request {
    /// Requests a vote.
    Vote(VoteRequest),
    /// Replicates entries; without entries, serves as a heartbeat.
    Append(AppendRequest),
    /// Sends a snapshot to a replica that needs entries that were compacted.
    Snapshot(SnapshotRequest),
    /// Tells the receiver to start an election immediately.
    TimeoutNow {
        /// The sender's term.
        term: Term,
    },
}

/// A request for a vote.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VoteRequest {
    /// Whether this is a pre-vote, which does not change the voter's term.
    pub is_pre_vote: bool,
    /// Whether the election is part of a leadership transfer.
    pub is_transfer: bool,
    /// The term of the election.
    pub term: Term,
    /// The candidate.
    pub candidate: ReplicaId,
    /// The position of the candidate's last entry.
    pub last_index: LogIndex,
    /// The term of the candidate's last entry.
    pub last_term: Term,
}

/// A request to append entries after a given position.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AppendRequest {
    /// The leader's term.
    pub term: Term,
    /// The leader.
    pub leader: ReplicaId,
    /// The position that precedes the entries.
    pub previous_index: LogIndex,
    /// The term of the entry at that position.
    pub previous_term: Term,
    /// The entries, contiguous and in order.
    pub entries: Vec<LogEntry>,
    /// The leader's committed position.
    pub committed: LogIndex,
    /// Whether the leader held its lease, so that no other leader could commit.
    #[serde(default)]
    pub has_lease: bool,
}

/// A request to install a snapshot.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SnapshotRequest {
    /// The leader's term.
    pub term: Term,
    /// The leader.
    pub leader: ReplicaId,
    /// The snapshot.
    pub snapshot: Snapshot,
}

/// The response to a [`Request`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Response {
    /// The response to a vote request.
    Vote {
        /// Whether the request was a pre-vote.
        is_pre_vote: bool,
        /// The voter's term; for a granted pre-vote, the requested term.
        term: Term,
        /// Whether the vote was granted.
        is_granted: bool,
    },
    /// The response to an append or snapshot request.
    Append {
        /// The follower's term.
        term: Term,
        /// Whether the follower's log now matches the leader's up to `index`.
        is_accepted: bool,
        /// The matching position or, if not accepted, the last position that may still match.
        index: LogIndex,
    },
    /// The response to a request to start an election.
    TimeoutNow {
        /// The receiver's term.
        term: Term,
    },
}

impl Response {
    /// Returns the term in the response.
    pub const fn term(&self) -> Term {
        match self {
            Self::Vote { term, .. } | Self::Append { term, .. } | Self::TimeoutNow { term } => {
                *term
            }
        }
    }

    /// Returns whether this grants a pre-vote, whose term may be higher than that of both replicas.
    pub const fn is_pre_vote_grant(&self) -> bool {
        matches!(self, Self::Vote { is_pre_vote: true, is_granted: true, .. })
    }
}
