//! Messages between the processes, and those of the operator interface.

use goldcrestring::connection::backend_server::KnownServer;
pub use goldcrestring::connection::lease_message::{
    GrantedLease, LeaseRequest, LeaseResponse, TargetsDelta, TargetsVersion,
};
use goldcrestring::name::NodeId;
use goldcrestring::process::ReplicaId;
use goldcrestring::process::consensus::{Request, Response};
use goldcrestring::process::idempotency::{
    Claim, ClaimResponse, Record, RecordKey, StoredResponse, TaskId,
};
use goldcrestring::quantity::{LogIndex, Revision, Term};
use goldcrestring::version::{Accepted, Change, Rejection};
use serde::{Deserialize, Serialize};
use std::time::SystemTime;

/// Paths of the requests between processes.
pub mod path {
    /// Carries a [`super::ConsensusRequest`].
    pub const CONSENSUS: &str = "/peer/v1/consensus";
    /// Carries a [`super::LeaseRequest`].
    pub const LEASE: &str = "/peer/v1/lease";
    /// Carries a [`super::ChangeRequest`].
    pub const CHANGE: &str = "/peer/v1/change";
    /// Carries a [`super::RecordRequest`].
    pub const RECORD: &str = "/peer/v1/record";
    /// Carries a [`super::JoinRequest`].
    pub const JOIN: &str = "/peer/v1/join";
    /// Asks a process which replica it runs; the response is a [`super::IdentityResponse`].
    pub const IDENTITY: &str = "/peer/v1/identity";
    /// Carries a [`super::ServersRequest`].
    pub const SERVERS: &str = "/peer/v1/servers";
    /// Carries a [`super::StatusRequest`].
    pub const STATUS: &str = "/peer/v1/status";
}

/// A consensus request, addressed to one incarnation of a replica.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ConsensusRequest {
    /// The addressed replica; another replica at the same address rejects the request.
    pub to: ReplicaId,
    /// The request.
    pub request: Request,
}

/// The response to a [`ConsensusRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ConsensusResponse {
    /// The replica's response.
    Response(Response),
    /// The process does not run the addressed replica.
    OtherReplica,
}

/// Requests that the leader append an operator's change to the log.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChangeRequest {
    /// The change.
    pub change: Change,
}

/// The response to a [`ChangeRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ChangeResponse {
    /// The change was committed with this outcome.
    Done(Result<Accepted, Rejection>),
    /// The process is not the leader.
    NotLeader {
        /// The leader, if known.
        leader: Option<NodeId>,
    },
    /// Leadership was lost before the outcome was known; a retry determines it.
    Lost,
}

/// A request to a holder of idempotency records.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum RecordRequest {
    /// Stores a claim.
    Claim {
        /// The key.
        key: RecordKey,
        /// The claim.
        claim: Claim,
    },
    /// Stores the response of a completed request.
    Complete {
        /// The key.
        key: RecordKey,
        /// The claim under which the request was executed.
        claim: Claim,
        /// The response.
        #[serde(rename = "answer")]
        response: StoredResponse,
    },
    /// Releases a claim if no task was sent under it.
    Release {
        /// The key.
        key: RecordKey,
        /// The task.
        task: TaskId,
    },
    /// Reads a record.
    Get {
        /// The key.
        key: RecordKey,
    },
    /// Reads a page of all records.
    Export {
        /// The last key of the previous page.
        after: Option<RecordKey>,
    },
    /// Transfers records before a planned shutdown.
    Import {
        /// The records.
        records: Vec<(RecordKey, Record)>,
    },
}

/// The response to a [`RecordRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum RecordResponse {
    /// The request was executed.
    Done,
    /// The response to a claim.
    Claim(ClaimResponse),
    /// The record of the key, if the holder has one.
    Record(Option<Box<Record>>),
    /// A page of records.
    Page {
        /// The records.
        records: Vec<(RecordKey, Record)>,
        /// The holder is authoritative for every key issued after this time.
        #[serde(rename = "vouches_from")]
        authoritative_from: SystemTime,
    },
    /// The holder has no record of the key, but its previous run may have had one.
    NotAuthoritative,
}

/// Requests that the leader add a replica to the membership.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct JoinRequest {
    /// The replica.
    pub replica: ReplicaId,
}

/// The response of a process that runs a replica to a query for its identity.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct IdentityResponse {
    /// The replica.
    pub replica: ReplicaId,
}

/// Requests the backend servers known to an entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServersRequest {}

/// The response to a [`ServersRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServersResponse {
    /// The backend servers.
    pub servers: Vec<KnownServer>,
    /// Whether the entry has completed discovery of the servers since its start.
    pub is_ready: bool,
}

/// Requests the status of a process.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct StatusRequest {}

/// The status of a process and its view of the cluster.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The responding process.
    pub node: String,
    /// Whether the process holds a configuration lease.
    pub has_lease: bool,
    /// The revision that the process has applied.
    pub revision: Revision,
    /// The highest revision that the process knows to be in force on every entry.
    pub in_force: Revision,
    /// The leader, if known.
    pub leader: Option<NodeId>,
    /// The number of known backend servers.
    pub backend_servers: usize,
    /// The number of waiting requests.
    pub waiting: usize,
    /// The status of the process's replica, if it has one.
    pub replica: Option<ReplicaStatus>,
}

/// The status of a replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaStatus {
    /// The replica's id.
    pub id: String,
    /// The current term.
    pub term: Term,
    /// Whether the replica is the leader.
    pub is_leader: bool,
    /// The index of the last committed log entry.
    pub committed: LogIndex,
    /// The voters.
    pub voters: Vec<String>,
    /// The learners.
    pub learners: Vec<String>,
}

/// The response to an operator's change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OperatorChangeResponse {
    /// The revision at which the change applies.
    pub revision: Revision,
}
