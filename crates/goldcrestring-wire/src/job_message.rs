//! What the processes of a fleet that runs jobs say to each other.

use derive_more::Display;
use goldcrestring::job::command::PlanDocument;
use goldcrestring::job::state::{JobPhase, ServerRecord};
use goldcrestring::job::view::{JobFilter, JobSummary, JobView};
use goldcrestring::job::{DataCentreId, JobId, JobSpec, MachineId, QueueId, ServerId, TeamId};
use goldcrestring::name::NodeId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The paths of calls between processes.
pub mod path {
    /// Carries a [`super::JobRequest`].
    pub const JOB: &str = "/peer/v1/job";
    /// Carries a [`super::FleetRequest`].
    pub const FLEET: &str = "/peer/v1/fleet";
    /// Carries a [`super::OperatorRequest`].
    pub const OPERATOR: &str = "/peer/v1/operator";
    /// Asks who leads.
    pub const LEADER: &str = "/peer/v1/leader";
}

/// What a caller wants.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobVerb {
    /// Hands in a job.
    Submit(Arc<JobSpec>),
    /// Asks how far a job is, or how many wait.
    Read,
    /// Cancels a job.
    Cancel,
    /// What it hands in can't be read.
    Malformed(String),
}

/// A caller's call, as an entry passes it to the leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRequest {
    /// Identifies the call in the logs.
    pub request: u64,
    /// The host that the caller named.
    pub host: String,
    /// The path: that of a queue, with the job's id behind it.
    pub path: String,
    /// The key that came with it.
    pub key: Option<String>,
    /// What it wants.
    pub verb: JobVerb,
}

/// How far a job is, as its caller sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum JobProgress {
    /// No task has been started.
    Queued,
    /// A task has been started.
    Running,
    /// It has ended.
    Ended(JobPhase),
}

/// The answer to a [`JobRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobResponse {
    /// The job is stored.
    Accepted,
    /// How far the job is.
    Progress(JobProgress),
    /// The number of the queue's jobs of which no task has been started.
    Pending(usize),
    /// The job is cancelled, or had ended.
    Cancelled,
    /// No such job.
    UnknownJob,
    /// No such queue.
    UnknownQueue,
    /// The key is unknown.
    UnknownKey,
    /// The call can't be read.
    Malformed(String),
    /// The call was not carried out and never will be.
    NotRun {
        /// Why.
        reason: NotRunReason,
    },
    /// Nobody knows whether the call was carried out.
    Unknown,
    /// Another process leads.
    NotLeader {
        /// Which one, where it is known.
        leader: Option<NodeId>,
    },
}

/// Why a call was not carried out.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum NotRunReason {
    /// There is no plan yet.
    #[display("there is no plan yet")]
    NoPlan,
    /// Too few replicas hold the log.
    #[display("too few replicas hold the log")]
    TooFewReplicas,
    /// No leader could be reached.
    #[display("no leader could be reached")]
    NoLeader,
    /// The leader has more to do than it can.
    #[display("the leader has more to do than it can")]
    Overloaded,
}

/// What operators and backend servers say, as a replica passes it to the leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetRequest {
    /// Replaces the plan.
    Plan(Arc<PlanDocument>),
    /// Reads the plan.
    ReadPlan,
    /// Takes a data centre out, or back.
    DataCentre {
        /// The data centre.
        id: DataCentreId,
        /// Whether nothing may start there.
        is_out: bool,
    },
    /// Asks for upkeep of VMs.
    Wave {
        /// Its number.
        number: u64,
        /// The VMs.
        machines: BTreeSet<MachineId>,
        /// The most VMs down at once.
        cap: u32,
        /// The time until it should be over, in milliseconds.
        deadline_ms: u64,
    },
    /// Asks how far a wave is.
    ReadWave(u64),
    /// A backend server announces itself.
    Announce(Box<ServerRecord>),
    /// A backend server ends.
    #[serde(rename = "Farewell")]
    Deregister(ServerId),
}

/// The answer to a [`FleetRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetResponse {
    /// It is done, and stored where that was asked for.
    Done,
    /// The document of the plan in force.
    Document(Arc<str>),
    /// Whether the upkeep of all VMs of a wave has begun.
    Wave {
        /// Whether it has.
        is_completed: bool,
    },
    /// No such thing.
    NotFound,
    /// What was sent is invalid.
    Invalid(String),
    /// Nobody can say now.
    Unavailable(NotRunReason),
    /// Another process leads.
    NotLeader {
        /// Which one, where it is known.
        leader: Option<NodeId>,
    },
}

/// A job as operators write it down.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorJob {
    /// Its queue.
    pub queue: QueueId,
    /// The team; `None` for a queue open to all.
    #[serde(default)]
    pub team: Option<TeamId>,
    /// What it consists of.
    pub spec: JobSpec,
}

/// The jobs that an operator asked for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobList {
    /// The jobs, by id; the next page has those after the last.
    pub jobs: Vec<JobSummary>,
}

/// Why the tasks of a job are where they are.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobExplanation {
    /// The term of the leader that answers.
    pub term: u64,
    /// The number of the plan that it decides by; zero without a plan.
    pub plan: u64,
    /// What holds, step by step.
    pub findings: Vec<String>,
}

/// What operators want of jobs, as a process passes it to the leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OperatorRequest {
    /// Hands in a job for a team.
    Submit {
        /// The id that the operator chose.
        id: JobId,
        /// The job.
        job: Box<OperatorJob>,
    },
    /// Asks how far a job is.
    Read(JobId),
    /// Asks for jobs.
    List(JobFilter),
    /// Cancels a job.
    Cancel(JobId),
    /// Asks why the tasks of a job are where they are.
    Explain(JobId),
}

/// The answer to an [`OperatorRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OperatorResponse {
    /// The job is stored.
    Accepted,
    /// The job is cancelled, or had ended.
    Cancelled,
    /// How far the job is.
    Job(Box<JobView>),
    /// The jobs, by id.
    Jobs(JobList),
    /// Why tasks are where they are.
    Explanation(JobExplanation),
    /// No such job.
    UnknownJob,
    /// No such queue in the plan.
    UnknownQueue,
    /// No such team in the plan, or none where the queue is not open to all.
    UnknownTeam,
    /// Another job has the id.
    IdTaken,
    /// The job can't be taken.
    Invalid(String),
    /// The call was not carried out and never will be.
    NotRun(NotRunReason),
    /// Nobody knows whether the call was carried out.
    Unknown,
    /// Another process leads.
    NotLeader {
        /// Which one, where it is known.
        leader: Option<NodeId>,
    },
}

/// Who leads, as far as a replica knows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderResponse {
    /// The leader.
    pub leader: Option<NodeId>,
    /// Whether the process that answers leads and its lease is valid.
    pub is_leading: bool,
    /// All replicas.
    pub replicas: BTreeSet<NodeId>,
}
