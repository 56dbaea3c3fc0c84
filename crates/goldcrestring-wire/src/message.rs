//! The messages between our own processes, and those of the operators' calls.

use goldcrestring::connection::backend_server::KnownServer;
pub use goldcrestring::connection::lease_message::{
    GrantedLease, LeaseAnswer, LeaseCall, TargetsDelta, TargetsVersion,
};
use goldcrestring::name::NodeId;
use goldcrestring::process::ReplicaId;
use goldcrestring::process::consensus::{Request, Response};
use goldcrestring::process::idempotency::{
    Claim, ClaimAnswer, Record, RecordKey, StoredAnswer, TaskId,
};
use goldcrestring::quantity::{LogIndex, Revision, Term};
use goldcrestring::version::{Accepted, Change, Rejection};
use serde::{Deserialize, Serialize};
use std::time::SystemTime;

/// Paths of the calls between our own processes.
pub mod path {
    /// Carries a [`super::ConsensusCall`].
    pub const CONSENSUS: &str = "/peer/v1/consensus";
    /// Carries a [`super::LeaseCall`].
    pub const LEASE: &str = "/peer/v1/lease";
    /// Carries a [`super::ChangeCall`].
    pub const CHANGE: &str = "/peer/v1/change";
    /// Carries a [`super::RecordCall`].
    pub const RECORD: &str = "/peer/v1/record";
    /// Carries a [`super::JoinCall`].
    pub const JOIN: &str = "/peer/v1/join";
    /// Carries a [`super::ServersCall`].
    pub const SERVERS: &str = "/peer/v1/servers";
    /// Carries a [`super::StatusCall`].
    pub const STATUS: &str = "/peer/v1/status";
}

/// A request between replicas, addressed to one disk.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ConsensusCall {
    /// The replica meant; another one at the same address does not answer.
    pub to: ReplicaId,
    /// The request.
    pub request: Request,
}

/// The answer to a [`ConsensusCall`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ConsensusAnswer {
    /// The replica's answer.
    Response(Response),
    /// The process holds no such replica.
    OtherReplica,
}

/// Asks the leader to append an operator's change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChangeCall {
    /// The change.
    pub change: Change,
}

/// The answer to a [`ChangeCall`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ChangeAnswer {
    /// The change was committed and has this outcome.
    Done(Result<Accepted, Rejection>),
    /// The process does not lead.
    NotLeader {
        /// The leader, where it is known.
        leader: Option<NodeId>,
    },
    /// Leadership was lost before the outcome was known; a resend finds out.
    Lost,
}

/// Asks a holder about the record of one idempotency key, or for many records.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum RecordCall {
    /// Holds a claim.
    Claim {
        /// The key.
        key: RecordKey,
        /// The claim.
        claim: Claim,
    },
    /// Keeps an answer.
    Complete {
        /// The key.
        key: RecordKey,
        /// The claim under which the request ran.
        claim: Claim,
        /// The answer.
        answer: StoredAnswer,
    },
    /// Forgets a claim under which nothing was sent.
    Release {
        /// The key.
        key: RecordKey,
        /// The run.
        task: TaskId,
    },
    /// Asks for a record.
    Get {
        /// The key.
        key: RecordKey,
    },
    /// Asks for a page of all records.
    Export {
        /// The last key of the page before.
        after: Option<RecordKey>,
    },
    /// Hands over records at a planned stop.
    Import {
        /// The records.
        records: Vec<(RecordKey, Record)>,
    },
}

/// The answer to a [`RecordCall`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum RecordAnswer {
    /// The request was carried out.
    Done,
    /// The answer to a claim.
    Claim(ClaimAnswer),
    /// The record of the key, where one is held.
    Record(Option<Box<Record>>),
    /// A page of records.
    Page {
        /// The records.
        records: Vec<(RecordKey, Record)>,
        /// The time of issue from which on the holder answers for every key.
        vouches_from: SystemTime,
    },
}

/// Asks the leader to take a replica with a new disk in.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct JoinCall {
    /// The replica.
    pub replica: ReplicaId,
}

/// Asks an entry for the backend servers that it knows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServersCall {}

/// The answer to a [`ServersCall`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServersAnswer {
    /// The backend servers.
    pub servers: Vec<KnownServer>,
    /// Whether the entry has itself learned of the servers since its start.
    pub is_ready: bool,
}

/// Asks a process for its view.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct StatusCall {}

/// A process's view of the cluster.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The process that answers.
    pub node: String,
    /// Whether it holds a configuration lease.
    pub has_lease: bool,
    /// The revision that it has applied.
    pub revision: Revision,
    /// The revision in force on every entry, as last heard.
    pub in_force: Revision,
    /// The leader, where it is known.
    pub leader: Option<NodeId>,
    /// The number of backend servers that it knows.
    pub backend_servers: usize,
    /// The number of requests that wait.
    pub waiting: usize,
    /// Its replica's view, where it has one.
    pub replica: Option<ReplicaStatus>,
}

/// A replica's view.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaStatus {
    /// The replica.
    pub id: String,
    /// Its term.
    pub term: Term,
    /// Whether it leads.
    pub is_leader: bool,
    /// The last committed position.
    pub committed: LogIndex,
    /// The voters.
    pub voters: Vec<String>,
    /// The learners.
    pub learners: Vec<String>,
}

/// The answer to an operator's change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeReply {
    /// The revision at which the change applies.
    pub revision: Revision,
}
