//! The requests and answers between replicas.

use crate::process::replica::{LogEntry, ReplicaId, Snapshot};
use crate::quantity::{LogIndex, Term};
use serde::{Deserialize, Serialize};

/// A request of one replica to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Request {
    /// Asks for a vote.
    Vote(VoteRequest),
    /// Carries entries, or none as a heartbeat.
    Append(AppendRequest),
    /// Carries a snapshot to a replica that lacks what was compacted.
    Snapshot(SnapshotRequest),
    /// Tells the receiver to stand for election at once.
    TimeoutNow {
        /// The sender's term.
        term: Term,
    },
}

/// Asks for a vote.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VoteRequest {
    /// Whether the candidate only asks if it could win.
    pub is_pre_vote: bool,
    /// Whether the leader asked the candidate to stand.
    pub is_transfer: bool,
    /// The term that the candidate stands for.
    pub term: Term,
    /// The candidate.
    pub candidate: ReplicaId,
    /// The candidate's last position.
    pub last_index: LogIndex,
    /// The term of the candidate's last entry.
    pub last_term: Term,
}

/// Carries entries that follow a known position.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AppendRequest {
    /// The leader's term.
    pub term: Term,
    /// The leader.
    pub leader: ReplicaId,
    /// The position before the entries.
    pub previous_index: LogIndex,
    /// The term at that position.
    pub previous_term: Term,
    /// The entries, in order and without gaps.
    pub entries: Vec<LogEntry>,
    /// The leader's committed position.
    pub committed: LogIndex,
}

/// Carries a snapshot.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SnapshotRequest {
    /// The leader's term.
    pub term: Term,
    /// The leader.
    pub leader: ReplicaId,
    /// The snapshot.
    pub snapshot: Snapshot,
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Response {
    /// Answers a vote request.
    Vote {
        /// Whether the request was a pre-vote.
        is_pre_vote: bool,
        /// The voter's term; for a granted pre-vote, the term asked for.
        term: Term,
        /// Whether the vote was granted.
        is_granted: bool,
    },
    /// Answers entries or a snapshot.
    Append {
        /// The follower's term.
        term: Term,
        /// Whether the follower's log now matches the leader's up to `index`.
        is_accepted: bool,
        /// The matching position, or the last one at which a match is still possible.
        index: LogIndex,
    },
    /// Answers the request to stand for election.
    TimeoutNow {
        /// The receiver's term.
        term: Term,
    },
}

impl Response {
    /// The term in the answer.
    pub const fn term(&self) -> Term {
        match self {
            Self::Vote { term, .. } | Self::Append { term, .. } | Self::TimeoutNow { term } => {
                *term
            }
        }
    }

    /// Whether the answer grants a pre-vote, whose term is ahead of both sides.
    pub const fn is_pre_vote_grant(&self) -> bool {
        matches!(self, Self::Vote { is_pre_vote: true, is_granted: true, .. })
    }
}
