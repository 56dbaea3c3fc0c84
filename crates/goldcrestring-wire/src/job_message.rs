//! Messages between the processes of a fleet that runs jobs.

use derive_more::Display;
use goldcrestring::job::command::PlanDocument;
use goldcrestring::job::relay::{Ack, Batch, CallResult};
use goldcrestring::job::state::{JobPhase, ServerRecord};
use goldcrestring::job::view::{JobFilter, JobSummary, JobView};
use goldcrestring::job::{
    DataCentreId, JobId, JobSpec, MachineId, QueueId, ServerId, ServerIncarnation, TeamId,
};
use goldcrestring::name::NodeId;
use goldcrestring::request::leader_call::CallEffect;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Paths of the requests between processes.
pub mod path {
    /// Carries a [`super::JobRequest`].
    pub const JOB: &str = "/peer/v1/job";
    /// Carries several [`super::JobRequest`]s from a follower; each has a [`super::JobResponse`] of the
    /// same position.
    pub const JOBS: &str = "/peer/v1/jobs";
    /// Carries a [`super::FleetRequest`].
    pub const FLEET: &str = "/peer/v1/fleet";
    /// Carries a [`super::OperatorRequest`].
    pub const OPERATOR: &str = "/peer/v1/operator";
    /// Requests a [`super::LeaderResponse`].
    pub const LEADER: &str = "/peer/v1/leader";
    /// Carries a [`super::RelayBatch`] from the leader to a relay.
    pub const RELAY: &str = "/peer/v1/relay";
    /// Carries [`super::RelayResults`] from a relay to the leader.
    pub const RELAY_RESULTS: &str = "/peer/v1/relay-results";
}

/// The operation that a caller requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobVerb {
    /// Submits a job.
    Submit(Arc<JobSpec>),
    /// Reads the progress of a job, or the number of pending jobs of a queue.
    Read,
    /// Cancels a job.
    Cancel,
    /// The submitted job is malformed; the text describes the problem.
    Malformed(String),
}

impl JobVerb {
    /// What executing the operation does.
    pub const fn effect(&self) -> CallEffect {
        match self {
            Self::Submit(_) | Self::Cancel => CallEffect::Change,
            Self::Read | Self::Malformed(_) => CallEffect::Read,
        }
    }
}

/// A caller's request, as an entry forwards it to the leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRequest {
    /// The request number in the logs.
    pub request: u64,
    /// The host name of the request.
    pub host: String,
    /// The path: the queue's prefix followed by the job id.
    pub path: String,
    /// The caller's key.
    pub key: Option<String>,
    /// The requested operation.
    pub verb: JobVerb,
}

impl JobRequest {
    /// Returns the job that the request submits, or `None` if it submits none.
    pub fn submitted_job(&self) -> Option<JobId> {
        const ID_DIGITS: usize = 16;
        let is_submission = matches!(self.verb, JobVerb::Submit(_));
        let suffix = self.path.get(self.path.len().checked_sub(ID_DIGITS)?..)?;
        suffix.parse().ok().filter(|_| is_submission)
    }
}

/// The progress of a job, as reported to its caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum JobProgress {
    /// No task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// The job has ended in the given phase.
    Ended(JobPhase),
}

/// The response to a [`JobRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobResponse {
    /// The job is stored in the replicated log.
    Accepted,
    /// The progress of the job.
    Progress(JobProgress),
    /// The number of the queue's jobs without a started task.
    Pending(usize),
    /// The job is cancelled or had already ended.
    Cancelled,
    /// The job does not exist.
    UnknownJob,
    /// The queue does not exist.
    UnknownQueue,
    /// The caller's key is unknown.
    UnknownKey,
    /// The request is malformed; the text describes the problem.
    Malformed(String),
    /// The request was not executed and never will be.
    NotRun {
        /// The reason.
        reason: NotRunReason,
    },
    /// It is unknown whether the request was executed.
    Unknown,
    /// Another process is the leader.
    NotLeader {
        /// The leader, if known.
        leader: Option<NodeId>,
    },
}

/// Why a request was not executed.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum NotRunReason {
    /// No plan has been applied yet.
    #[display("no plan has been applied yet")]
    NoPlan,
    /// Fewer replicas store the log than the fault tolerance requires.
    #[display("too few replicas store the log")]
    TooFewReplicas,
    /// No leader could be reached.
    #[display("no leader could be reached")]
    NoLeader,
    /// The leader is overloaded.
    #[display("the leader is overloaded")]
    Overloaded,
    /// The sender may have replaced the request by a newer one.
    #[display("a newer request may have replaced this one")]
    MaybeReplaced,
    /// The record of jobs has no room for another one.
    #[display("the record of jobs is full")]
    RecordFull,
    /// The queue was removed or renamed while the job was being stored; another attempt finds its
    /// successor, if there is one.
    #[display("the queue was removed or renamed")]
    QueueRemoved,
}

/// A request of an operator or backend server, as a replica forwards it to the leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetRequest {
    /// Replaces the plan.
    Plan(Arc<PlanDocument>),
    /// Reads the plan.
    ReadPlan,
    /// Takes a data centre out of service, or returns it to service.
    DataCentre {
        /// The data centre.
        id: DataCentreId,
        /// Whether the data centre is out of service: no task may start there.
        is_out: bool,
        /// The revision of the data centre that the receiving replica knew, which the order follows.
        #[serde(default)]
        after: Option<u64>,
    },
    /// Starts a maintenance wave over a set of VMs.
    Wave {
        /// The number of the wave.
        number: u64,
        /// The VMs.
        machines: BTreeSet<MachineId>,
        /// The maximum number of VMs down at the same time.
        cap: u32,
        /// The time until the wave should be complete, in milliseconds.
        deadline_ms: u64,
    },
    /// Reads the state of a maintenance wave.
    ReadWave(u64),
    /// A backend server announces itself.
    Announce(Box<ServerRecord>),
    /// A backend server deregisters.
    #[serde(rename = "Farewell")]
    Deregister(ServerId),
    /// A follower has answered announcements of these incarnations, which said nothing new.
    Announced(Vec<ServerIncarnation>),
}

/// The response to a [`FleetRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetResponse {
    /// The request was executed; a change that must persist is stored in the replicated log.
    Done,
    /// The document of the current plan.
    Document(Arc<str>),
    /// The state of a maintenance wave.
    Wave {
        /// Whether the maintenance of all its VMs has begun.
        is_completed: bool,
    },
    /// The requested item does not exist.
    NotFound,
    /// The request is invalid; the text describes the problem.
    Invalid(String),
    /// The request can't be served at present.
    Unavailable(NotRunReason),
    /// Another process is the leader.
    NotLeader {
        /// The leader, if known.
        leader: Option<NodeId>,
    },
}

/// A job as an operator submits it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorJob {
    /// The queue.
    pub queue: QueueId,
    /// The team; `None` for a queue that is open to all.
    #[serde(default)]
    pub team: Option<TeamId>,
    /// The specification of the job.
    pub spec: JobSpec,
}

/// A page of jobs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobList {
    /// The jobs in order of their ids; the next page starts after the last one.
    pub jobs: Vec<JobSummary>,
}

/// An explanation of the scheduling state of a job's tasks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobExplanation {
    /// The term of the responding leader.
    pub term: u64,
    /// The number of the plan in use; zero if there is none.
    pub plan: u64,
    /// The findings, step by step.
    pub findings: Vec<String>,
}

/// An operator's request about jobs, as a process forwards it to the leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OperatorRequest {
    /// Submits a job for a team.
    Submit {
        /// The job id, chosen by the operator.
        id: JobId,
        /// The job.
        job: Box<OperatorJob>,
    },
    /// Reads the state of a job.
    Read(JobId),
    /// Lists jobs.
    List(JobFilter),
    /// Cancels a job.
    Cancel(JobId),
    /// Explains the scheduling state of a job's tasks.
    Explain(JobId),
}

impl OperatorRequest {
    /// What executing the request does.
    pub const fn effect(&self) -> CallEffect {
        match self {
            Self::Submit { .. } | Self::Cancel(_) => CallEffect::Change,
            Self::Read(_) | Self::List(_) | Self::Explain(_) => CallEffect::Read,
        }
    }
}

/// The response to an [`OperatorRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OperatorResponse {
    /// The job is stored in the replicated log.
    Accepted,
    /// The job is cancelled or had already ended.
    Cancelled,
    /// The state of the job.
    Job(Box<JobView>),
    /// A page of jobs.
    Jobs(JobList),
    /// An explanation of the scheduling state of the tasks.
    Explanation(JobExplanation),
    /// The job does not exist.
    UnknownJob,
    /// The plan does not contain the queue.
    UnknownQueue,
    /// The plan does not contain the team, or no team is given and the queue is not open to all.
    UnknownTeam,
    /// The id belongs to another job.
    IdTaken,
    /// The job is invalid; the text describes the problem.
    Invalid(String),
    /// The request was not executed and never will be.
    NotRun(NotRunReason),
    /// It is unknown whether the request was executed.
    Unknown,
    /// Another process is the leader.
    NotLeader {
        /// The leader, if known.
        leader: Option<NodeId>,
    },
}

/// A replica's view of the leader and the replica set.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderResponse {
    /// The leader, if known.
    pub leader: Option<NodeId>,
    /// Whether the responding process is the leader and holds a valid lease.
    pub is_leading: bool,
    /// All replicas.
    pub replicas: BTreeSet<NodeId>,
}

/// A batch of calls to backend servers that a relay makes for the leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayBatch {
    /// The leader, which receives the results.
    pub leader: NodeId,
    /// The calls.
    pub batch: Batch,
}

/// The response to a [`RelayBatch`].
pub type RelayAck = Ack;

/// The results of calls that a relay made.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayResults {
    /// The relay.
    pub relay: NodeId,
    /// The results.
    pub results: Vec<CallResult>,
}
