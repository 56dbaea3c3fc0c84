//! Actions that the engine requests from the process, and the responses to them.

use crate::job::command::RunEnd;
use crate::job::id::{
    Attempt, DataCentreId, MachineId, PoolId, ServerId, ServerIncarnation, StepId, TaskId,
};
use crate::job::resources::Resources;
use crate::quantity::Term;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Identifies a call made by the engine of one term.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CallId {
    pub(super) term: Term,
    pub(super) number: u64,
}

impl CallId {
    /// Creates the ID of a call of a term.
    pub const fn new(term: Term, number: u64) -> Self {
        Self { term, number }
    }

    /// Returns the term of the engine that made the call.
    pub const fn term(self) -> Term {
        self.term
    }
}

/// The backend server to which a call is addressed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Its ID, which the call carries.
    pub server: ServerId,
    /// The address on which it listens.
    pub address: SocketAddr,
}

/// A call for the process to make.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Action {
    /// Polls a backend server, extends its lease and acknowledges ends.
    Poll {
        /// The call.
        call: CallId,
        /// The backend server.
        target: Target,
        /// The leader's term, as a fencing token.
        fence: u64,
        /// The number of the last recorded end that is to be acknowledged, zero for none; the backend
        /// server drops ends up to it.
        recorded_end: u64,
        /// The end of the lease on the backend server's clock, in milliseconds; `None` extends no
        /// lease.
        lease_until_ms: Option<u64>,
        /// How long the backend server may wait for an end before it responds.
        wait: Duration,
        /// The timeout of the call.
        timeout: Duration,
    },
    /// Starts a task.
    Start {
        /// The call.
        call: CallId,
        /// The backend server.
        target: Target,
        /// The leader's term, as a fencing token.
        fence: u64,
        /// The task.
        task: TaskId,
        /// The attempt number.
        attempt: Attempt,
        /// The payload of the job.
        payload: Arc<str>,
        /// The end of the lease on the backend server's clock, in milliseconds.
        lease_until_ms: u64,
        /// The checkpoint to resume from, if any.
        checkpoint: Option<Arc<str>>,
        /// The adviser's ticket, if the queue requires one.
        ticket: Option<Arc<str>>,
        /// The timeout of the call.
        timeout: Duration,
    },
    /// Stops a run.
    Stop {
        /// The call.
        call: CallId,
        /// The backend server.
        target: Target,
        /// The leader's term, as a fencing token.
        fence: u64,
        /// The task.
        task: TaskId,
        /// The attempt number.
        attempt: Attempt,
        /// The timeout of the call.
        timeout: Duration,
    },
    /// Limits the share of processor time that a run uses.
    Pace {
        /// The call.
        call: CallId,
        /// The backend server.
        target: Target,
        /// The leader's term, as a fencing token.
        fence: u64,
        /// The task.
        task: TaskId,
        /// The attempt number.
        attempt: Attempt,
        /// The share, in percent.
        percent: u8,
        /// The timeout of the call.
        timeout: Duration,
    },
    /// Takes a VM down for maintenance.
    Maintain {
        /// The call.
        call: CallId,
        /// The leader's term, as a fencing token.
        fence: u64,
        /// The wave.
        wave: u64,
        /// The VM.
        machine: MachineId,
    },
    /// Moves a VM to another pool.
    Move {
        /// The call.
        call: CallId,
        /// The leader's term, as a fencing token.
        fence: u64,
        /// The VM.
        machine: MachineId,
        /// The pool to move to.
        pool: PoolId,
    },
    /// Asks the adviser which backend servers may run a step.
    Advise {
        /// The call.
        call: CallId,
        /// The step.
        step: StepId,
        /// The backend servers.
        servers: Vec<ServerId>,
        /// The timeout of the call.
        timeout: Duration,
    },
    /// Reads one page of the list of VMs.
    ListMachines {
        /// The call.
        call: CallId,
        /// The token of the page; `None` for the first page.
        page: Option<Arc<str>>,
    },
}

/// Observations on which the engine bases its decisions, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineEvent {
    /// The platform responded to an order for a VM.
    MachineResponded {
        /// The VM.
        machine: MachineId,
        /// The pool to move to; `None` for maintenance.
        pool: Option<PoolId>,
        /// The response.
        response: MachineResponse,
    },
    /// The number of VMs that the platform lists in a pool.
    MachinesListed {
        /// The pool.
        pool: PoolId,
        /// The number of its VMs.
        count: usize,
        /// The number of its VMs that are up.
        up: usize,
    },
    /// A VM is back from maintenance.
    MachineReturned {
        /// The wave.
        wave: u64,
        /// The VM.
        machine: MachineId,
        /// The backend server whose response shows that the VM is back; `None` for a VM on standby.
        server: Option<ServerIncarnation>,
        /// The time since the order was known to be carried out.
        down_for: Duration,
    },
    /// The leases of a backend server that does not respond have expired; its runs are released.
    LeaseExpired {
        /// The backend server.
        server: ServerIncarnation,
        /// The number of its runs.
        runs: usize,
        /// The latest lease end that is known for it, on its own clock, in milliseconds.
        lease_until_ms: u64,
        /// The lowest time that its clock can show, in milliseconds; `None` if it was never read.
        clock_floor_ms: Option<u64>,
        /// How long this leader has known the incarnation.
        known_for: Duration,
        /// Whether an earlier leader knew the incarnation.
        is_inherited: bool,
    },
    /// An announcement names a pool that the plan does not have.
    AnnouncementIgnored {
        /// What announced itself.
        server: ServerIncarnation,
        /// The pool.
        pool: PoolId,
    },
    /// The clock in the response to an order is not that of the incarnation that the order was for.
    RestartSuspected {
        /// The incarnation that the order was for.
        server: ServerIncarnation,
        /// The clock in the response, in milliseconds.
        clock_ms: u64,
    },
    /// A backend server started again under its ID. Calls for the earlier incarnation may still reach
    /// the new one.
    IncarnationReplaced {
        /// The new incarnation.
        server: ServerIncarnation,
        /// When the earlier one started, in milliseconds since 1970.
        previous_started_at_ms: u64,
        /// The number of orders to the earlier one without a response.
        unanswered: usize,
        /// The number of runs that may have started on the new one, and are stopped there.
        carried_over: usize,
        /// The number of runs that ended with the earlier one.
        released: usize,
    },
    /// The delay of responses to orders since the last event of this kind, as seen by the engine:
    /// the network, the backend servers and the backlog of this process.
    OrderDelay {
        /// The number of responses.
        responses: u32,
        /// The mean delay.
        mean: Duration,
        /// The maximum delay.
        max: Duration,
        /// The number of orders that have not been sent yet.
        queued: usize,
    },
    /// The capacity and the demand of a pool.
    Capacity {
        /// The pool.
        pool: PoolId,
        /// The number of its VMs that accept new tasks.
        available: usize,
        /// The number of VMs that are moving to the pool.
        incoming: usize,
        /// The number of VMs that the pool wants for all its work.
        wanted: usize,
        /// The number of VMs that the pool wants for its work that can be in time.
        wanted_in_time: usize,
        /// Reserved by long-running tasks, in thousandths of a core.
        long_running_cpu_millis: u64,
        /// Reserved by batch tasks, in thousandths of a core.
        running_cpu_millis: u64,
        /// Demanded by waiting tasks, in thousandths of a core.
        waiting_cpu_millis: u64,
        /// Demanded by predicted arrivals, in thousandths of a core.
        arriving_cpu_millis: u64,
    },
}

/// The adviser's response for the backend servers in a call.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AdviceResponse {
    /// The tickets of the backend servers that may run the step.
    pub allowed: BTreeMap<ServerId, Arc<str>>,
    /// How long the tickets are valid after the response.
    pub valid_for: Duration,
}

/// One VM as listed by the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedMachine {
    /// The VM.
    pub machine: MachineId,
    /// Its pool.
    pub pool: PoolId,
    /// Whether it is neither down nor moving.
    pub is_up: bool,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its labels.
    pub labels: BTreeSet<Arc<str>>,
    /// Its capacity.
    pub capacity: Resources,
}

/// One page of the list of VMs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MachinePage {
    /// The VMs.
    pub machines: Vec<ListedMachine>,
    /// The number of entries that can't be read; they name no VM.
    pub malformed: usize,
    /// The token of the next page; `None` on the last one.
    pub next: Option<Arc<str>>,
}

/// One run as listed by a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedRun {
    /// The task.
    pub task: TaskId,
    /// The attempt number.
    pub attempt: Attempt,
    /// The progress, in percent; a long-running task is serving at 100 or more.
    pub percent: u64,
    /// The tail latency in milliseconds for a serving task, otherwise the number of processors in
    /// use.
    pub metric: u64,
}

/// The response of a backend server to a poll.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PollReport {
    /// When its incarnation started, in milliseconds since 1970; zero if it does not report this.
    pub started_at_ms: u64,
    /// Its monotonic clock, in milliseconds.
    pub clock_ms: u64,
    /// The runs in progress.
    pub running: Vec<ListedRun>,
    /// Ends that have not been acknowledged, in ascending order of their numbers.
    pub finished: Vec<RunEnd>,
    /// Whether the list of ends may be incomplete.
    pub is_partial: bool,
}

/// Why a backend server refused an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RefusalReason {
    /// The backend server has seen a higher fencing token.
    StaleFence,
    /// This run or a later one of the task has ended or been stopped there.
    Superseded,
    /// The lease in the order has expired.
    LeaseExpired,
    /// The backend server lacks free capacity.
    InsufficientCapacity,
    /// The ticket is missing or has expired.
    InvalidTicket,
    /// The backend server is unhealthy and has not carried out the order.
    Unhealthy,
    /// Another incarnation answered.
    OtherIncarnation,
    /// The backend server can't parse the order.
    Malformed,
}

/// The response to an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderResponse {
    /// The order was carried out.
    Done {
        /// The backend server's clock, in milliseconds.
        clock_ms: u64,
    },
    /// The order was refused.
    Refused(RefusalReason),
    /// The order was not sent: no byte left this process.
    NotSent,
    /// No complete response was received; the order may have been carried out.
    Lost,
}

/// The response to an order for a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineResponse {
    /// The order has been accepted, now or earlier.
    Accepted,
    /// The VM can't go down or move now.
    Busy,
    /// The VM or the wave is unknown.
    Unknown,
    /// The platform has seen an order with a higher fencing token.
    Fenced,
    /// No response was received; the order may have been carried out.
    Lost,
}
