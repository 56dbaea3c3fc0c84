//! What the engine asks the process to do, and what it hears of it.

use crate::job::command::RunEnd;
use crate::job::id::{Attempt, DataCentreId, MachineId, PoolId, ServerId, StepId, TaskId};
use crate::job::resources::Resources;
use crate::quantity::Term;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Identifies a call of one term's engine.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallId {
    pub(super) term: Term,
    pub(super) number: u64,
}

/// The backend server that a call is meant for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Its id, which the call names.
    pub server: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A call that the process makes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Looks at a backend server, extends its lease, acknowledges ends.
    Poll {
        /// The call.
        call: CallId,
        /// The backend server.
        target: Target,
        /// The leader's term.
        fence: u64,
        /// Ends up to this number may be forgotten.
        last_recorded_end: u64,
        /// The end of the lease on the backend server's clock, in milliseconds.
        lease_until_ms: Option<u64>,
        /// How long the answer may wait for an end.
        wait: Duration,
        /// How long the call may take.
        timeout: Duration,
    },
    /// Starts a task.
    Start {
        /// The call.
        call: CallId,
        /// The backend server.
        target: Target,
        /// The leader's term.
        fence: u64,
        /// The task.
        task: TaskId,
        /// The number of the start.
        attempt: Attempt,
        /// What the task is handed.
        payload: Arc<str>,
        /// The end of the lease on the backend server's clock, in milliseconds.
        lease_until_ms: u64,
        /// What the run resumes from.
        checkpoint: Option<Arc<str>>,
        /// The adviser's ticket, where the queue needs one.
        ticket: Option<Arc<str>>,
        /// How long the call may take.
        timeout: Duration,
    },
    /// Stops a run.
    Stop {
        /// The call.
        call: CallId,
        /// The backend server.
        target: Target,
        /// The leader's term.
        fence: u64,
        /// The task.
        task: TaskId,
        /// The number of the start.
        attempt: Attempt,
        /// How long the call may take.
        timeout: Duration,
    },
    /// Sets the share at which a run works.
    Pace {
        /// The call.
        call: CallId,
        /// The backend server.
        target: Target,
        /// The leader's term.
        fence: u64,
        /// The task.
        task: TaskId,
        /// The number of the start.
        attempt: Attempt,
        /// The share, in percent.
        percent: u8,
        /// How long the call may take.
        timeout: Duration,
    },
    /// Takes a VM down for its upkeep.
    Maintain {
        /// The call.
        call: CallId,
        /// The leader's term.
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
        /// The leader's term.
        fence: u64,
        /// The VM.
        machine: MachineId,
        /// Where it goes.
        pool: PoolId,
    },
    /// Asks which backend servers may run a step.
    Advise {
        /// The call.
        call: CallId,
        /// The step.
        step: StepId,
        /// The backend servers.
        servers: Vec<ServerId>,
        /// How long the call may take.
        timeout: Duration,
    },
    /// Reads the list of VMs.
    ListMachines {
        /// The call.
        call: CallId,
        /// Where the next page begins.
        page: Option<Arc<str>>,
    },
}

/// What the engine saw when it decided, for the logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineEvent {
    /// What became of an order for a VM.
    MachineAnswered {
        /// The VM.
        machine: MachineId,
        /// Where it goes; `None` for upkeep.
        pool: Option<PoolId>,
        /// The answer.
        answer: MachineAnswer,
    },
    /// The list of VMs: how many each pool has, and how many of them are up.
    Machines {
        /// The pool.
        pool: PoolId,
        /// All its VMs.
        count: usize,
        /// Those that are up.
        up: usize,
    },
    /// A pool's demand and its VMs.
    Capacity {
        /// The pool.
        pool: PoolId,
        /// The VMs that may be given work.
        has: usize,
        /// The VMs on their way to it.
        coming: usize,
        /// The VMs that it should have.
        wanted: usize,
        /// Thousandths of a core of what lasts.
        long_running_cpu_millis: u64,
        /// Thousandths of a core of what runs and ends by itself.
        running_cpu_millis: u64,
        /// Thousandths of a core of what waits.
        waiting_cpu_millis: u64,
        /// Thousandths of a core that what comes in needs.
        arriving_cpu_millis: u64,
    },
}

/// Which of the backend servers named may run a step.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AdviceAnswer {
    /// The tickets of those that may.
    pub allowed: BTreeMap<ServerId, Arc<str>>,
    /// How long the tickets are valid.
    pub valid: Duration,
}

/// One VM as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedMachine {
    /// The VM.
    pub machine: MachineId,
    /// Its pool.
    pub pool: PoolId,
    /// Whether it is neither down nor on its way.
    pub is_up: bool,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its labels.
    pub labels: BTreeSet<Arc<str>>,
    /// What it has room for.
    pub capacity: Resources,
}

/// One page of the list of VMs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MachinePage {
    /// The VMs.
    pub machines: Vec<ListedMachine>,
    /// Where the next page begins; `None` on the last one.
    pub next: Option<Arc<str>>,
}

/// One run as a backend server lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedRun {
    /// The task.
    pub task: TaskId,
    /// The number of the start.
    pub attempt: Attempt,
    /// How much of the work is done, in percent; a task that lasts is at work from 100 on.
    pub percent: u64,
    /// The tail of a serving task's response time in milliseconds, else the processors in use.
    pub metric: u64,
}

/// What a backend server says of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PollReport {
    /// When its incarnation began, in milliseconds since 1970; zero where it does not say.
    pub started_at_ms: u64,
    /// Its steady clock, in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<ListedRun>,
    /// Ends that have not been acknowledged, by rising number.
    pub finished: Vec<RunEnd>,
    /// Whether there may be more ends than are listed.
    pub is_partial: bool,
}

/// Why a backend server refused an order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// It has seen a higher fence.
    StaleFence,
    /// This run or a later one has ended or been stopped there.
    Superseded,
    /// The end of the lease has passed.
    LeaseExpired,
    /// There is no room.
    InsufficientCapacity,
    /// The ticket is missing or has run out.
    InvalidTicket,
    /// It is not healthy, and has done nothing.
    Unhealthy,
    /// Another incarnation answered.
    OtherIncarnation,
    /// It can't read the order.
    Malformed,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// It was carried out; the backend server's clock in milliseconds.
    Done {
        /// The clock.
        clock_ms: u64,
    },
    /// It was refused.
    Refused(RefusalReason),
    /// No byte of it left.
    NotSent,
    /// It got no whole answer, and may have been carried out.
    Lost,
}

/// What became of an order for a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineAnswer {
    /// It was carried out, now or before.
    Accepted,
    /// The VM can't go down now.
    Busy,
    /// The VM or the wave is unknown.
    Unknown,
    /// Another holder has ordered since.
    Fenced,
    /// No answer; it may have been carried out.
    Lost,
}
