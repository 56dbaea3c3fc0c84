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
    /// The run completed its work.
    #[display("done")]
    Done,
    /// The run failed, through the task itself or through its backend server.
    #[display("failed")]
    Failed,
    /// The run was stopped by an order.
    #[display("stopped")]
    Stopped,
    /// The lease of the run expired.
    #[display("lapsed")]
    #[serde(rename = "Lapsed")]
    LeaseExpired,
    /// Another member of the gang ended.
    #[display("broken")]
    #[serde(rename = "Broken")]
    GangMemberEnded,
    /// The other members of the gang did not start in time.
    #[display("alone")]
    #[serde(rename = "Alone")]
    GangIncomplete,
}

/// Why an assigned task is known not to be running.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ReleaseReason {
    /// The backend server refused the start.
    #[display("refused")]
    Refused,
    /// The lease of the backend server has expired, clock drift included.
    #[display("lapsed")]
    #[serde(rename = "Lapsed")]
    LeaseExpired,
    /// The incarnation of the backend server has ended.
    #[display("life-over")]
    #[serde(rename = "LifeOver")]
    IncarnationEnded,
    /// The backend server lists neither the run nor its end.
    #[display("not-listed")]
    NotListed,
}

/// The end of a run, as listed by its backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunEnd {
    /// The sequence number of the end within the incarnation of the backend server, from one.
    pub number: u64,
    /// The task; `None` if its ID can't be parsed.
    pub task: Option<TaskId>,
    /// The attempt number.
    pub attempt: Attempt,
    /// How it ended.
    pub kind: EndKind,
    /// The checkpoint to resume from, if any.
    pub checkpoint: Option<Arc<str>>,
}

/// A plan with the document from which it was parsed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlanDocument {
    /// The plan.
    pub plan: FleetPlan,
    /// The document as sent by the operators.
    pub document: Arc<str>,
}

/// A command that the leader appends to the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobCommand {
    /// Replaces the plan, unless the plan in force has the same or a higher number.
    Plan(Arc<PlanDocument>),
    /// Stores a job, unless its ID is already known.
    Submit {
        /// The job.
        id: JobId,
        /// Its queue.
        queue: QueueId,
        /// The team whose key was presented.
        team: Option<TeamId>,
        /// The specification.
        spec: Arc<JobSpec>,
        /// When the job was submitted, in milliseconds since 1970.
        at_ms: u64,
    },
    /// Cancels a job, also one whose submission is applied later.
    Cancel {
        /// The job.
        id: JobId,
        /// When the job was cancelled, in milliseconds since 1970.
        at_ms: u64,
    },
    /// Assigns a task to a backend server, before the start order is sent.
    Start {
        /// The task.
        task: TaskId,
        /// The attempt number.
        attempt: Attempt,
        /// The backend server.
        server: ServerIncarnation,
    },
    /// Records run ends listed by a backend server.
    #[serde(rename = "Ends")]
    RunsEnded {
        /// The backend server.
        server: ServerIncarnation,
        /// The ends, in ascending order of their sequence numbers.
        ends: Vec<RunEnd>,
        /// When the ends were received, in milliseconds since 1970.
        at_ms: u64,
    },
    /// Records that an assigned task is not running and returns it to the waiting tasks.
    Release {
        /// The task.
        task: TaskId,
        /// The attempt number.
        attempt: Attempt,
        /// Why the task is not running.
        reason: ReleaseReason,
    },
    /// Adds an incarnation of a backend server, or updates its record.
    Server(Box<ServerRecord>),
    /// Removes a backend server.
    ServerGone(ServerIncarnation),
    /// Takes a data centre out of service, or back into service.
    DataCentre {
        /// The data centre.
        id: DataCentreId,
        /// Whether the data centre is out of service, so that no task may start there.
        is_out: bool,
        /// The revision of the data centre that the order follows; an order that follows an earlier
        /// one than the current has been overtaken and changes nothing. `None` follows any.
        #[serde(default)]
        after: Option<u64>,
    },
    /// Adds a maintenance wave.
    Wave {
        /// The number of the wave.
        number: u64,
        /// The VMs.
        machines: BTreeSet<MachineId>,
        /// The maximum number of VMs down at once.
        cap: u32,
        /// The deadline, in milliseconds since 1970.
        deadline_ms: u64,
    },
    /// Records that maintenance of a VM is about to be ordered.
    #[serde(rename = "UpkeepOrdered")]
    MaintenanceOrdered {
        /// The wave.
        wave: u64,
        /// The VM.
        machine: MachineId,
    },
    /// Records that maintenance of a VM has started.
    #[serde(rename = "UpkeepBegun")]
    MaintenanceStarted {
        /// The wave.
        wave: u64,
        /// The VM.
        machine: MachineId,
    },
    /// Records that a VM is back from maintenance, or no longer belongs to the fleet.
    #[serde(rename = "UpkeepOver")]
    MaintenanceFinished {
        /// The wave.
        wave: u64,
        /// The VM.
        machine: MachineId,
    },
    /// Records that ordered maintenance did not start.
    #[serde(rename = "UpkeepRefused")]
    MaintenanceRefused {
        /// The wave.
        wave: u64,
        /// The VM.
        machine: MachineId,
    },
    /// Removes jobs and cancelled IDs whose retention period is over.
    Forget(Vec<JobId>),
    /// Counts one interval of the retention period.
    RetentionTick,
    /// Leases that calls for an earlier incarnation may have set on a backend server have expired.
    ServerSettled(ServerIncarnation),
}
