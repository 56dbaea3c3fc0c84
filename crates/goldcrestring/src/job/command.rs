//! Commands for the replicated job state.

use crate::job::id::{
    Attempt, DataCentreId, JobId, MachineId, QueueId, ServerIncarnation, TaskId, TeamId,
};
use crate::job::plan::FleetPlan;
use crate::job::spec::JobSpec;
use crate::job::state::ServerRecord;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// How a run of a task ended.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum EndKind {
    /// It did its work.
    #[display("done")]
    Done,
    /// It failed, through its own fault or that of its backend server.
    #[display("failed")]
    Failed,
    /// It was told to stop.
    #[display("stopped")]
    Stopped,
    /// Its lease ran out.
    #[display("lapsed")]
    #[serde(rename = "Lapsed")]
    LeaseExpired,
    /// Another member of its gang ended.
    #[display("broken")]
    #[serde(rename = "Broken")]
    GangMemberEnded,
    /// The other members of its gang did not come in time.
    #[display("alone")]
    #[serde(rename = "Alone")]
    GangIncomplete,
}

/// Why a task is taken to be running nowhere.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ReleaseReason {
    /// The backend server refused the start.
    #[display("refused")]
    Refused,
    /// The lease of the backend server has surely run out.
    #[display("lapsed")]
    #[serde(rename = "Lapsed")]
    LeaseExpired,
    /// The incarnation of the backend server is over.
    #[display("life-over")]
    #[serde(rename = "LifeOver")]
    IncarnationEnded,
    /// The backend server lists neither the run nor its end.
    #[display("not-listed")]
    NotListed,
}

/// The end of a run, as the backend server lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunEnd {
    /// The number within the incarnation of the backend server, from one.
    pub number: u64,
    /// The task; `None` where the name can't be read.
    pub task: Option<TaskId>,
    /// The number of the start.
    pub attempt: Attempt,
    /// How it ended.
    pub kind: EndKind,
    /// The checkpoint to resume from, where there is one.
    pub checkpoint: Option<Arc<str>>,
}

/// A plan with the document that it was read from.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlanDocument {
    /// The plan.
    pub plan: FleetPlan,
    /// What the operators sent.
    pub document: Arc<str>,
}

/// A command that the leader appends to the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobCommand {
    /// Replaces the plan, unless the present one has the same number or a higher one.
    Plan(Arc<PlanDocument>),
    /// Takes a job, unless it is known.
    Submit {
        /// The job.
        id: JobId,
        /// Its queue.
        queue: QueueId,
        /// Whose key came with it.
        team: Option<TeamId>,
        /// What it consists of.
        spec: Arc<JobSpec>,
        /// When it came, in milliseconds since 1970.
        at_ms: u64,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        id: JobId,
        /// When, in milliseconds since 1970.
        at_ms: u64,
    },
    /// Assigns a task to a backend server, before the order is sent.
    Start {
        /// The task.
        task: TaskId,
        /// The number of the start.
        attempt: Attempt,
        /// Where.
        server: ServerIncarnation,
    },
    /// Notes ends that a backend server lists.
    #[serde(rename = "Ends")]
    RunsEnded {
        /// The backend server.
        server: ServerIncarnation,
        /// The ends, by rising number.
        ends: Vec<RunEnd>,
        /// When, in milliseconds since 1970.
        at_ms: u64,
    },
    /// Notes that an assigned task runs nowhere.
    Release {
        /// The task.
        task: TaskId,
        /// The number of the start.
        attempt: Attempt,
        /// Why.
        reason: ReleaseReason,
    },
    /// Notes an incarnation of a backend server, or what changed about it.
    Server(Box<ServerRecord>),
    /// Forgets a backend server.
    ServerGone(ServerIncarnation),
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
        /// By when, in milliseconds since 1970.
        deadline_ms: u64,
    },
    /// Notes that an upkeep is about to be ordered.
    #[serde(rename = "UpkeepOrdered")]
    MaintenanceOrdered {
        /// The wave.
        wave: u64,
        /// The VM.
        machine: MachineId,
    },
    /// Notes that an upkeep has begun.
    #[serde(rename = "UpkeepBegun")]
    MaintenanceStarted {
        /// The wave.
        wave: u64,
        /// The VM.
        machine: MachineId,
    },
    /// Notes that a VM is back from its upkeep, or is none of the fleet any more.
    #[serde(rename = "UpkeepOver")]
    MaintenanceFinished {
        /// The wave.
        wave: u64,
        /// The VM.
        machine: MachineId,
    },
    /// Notes that an upkeep that was ordered did not begin.
    #[serde(rename = "UpkeepRefused")]
    MaintenanceRefused {
        /// The wave.
        wave: u64,
        /// The VM.
        machine: MachineId,
    },
    /// Forgets jobs that ended long ago.
    Forget(Vec<JobId>),
}
