//! Durable jobs: specifications, placement of their tasks, and results.
//!
//! [`JobState`] is replicated through the log. [`Engine`] runs on the leader, takes events with the
//! current time and returns commands to propose and calls to make. Neither uses a socket, a disk or
//! a clock.

pub mod announcement;
pub mod command;
pub mod engine;
pub mod front;
pub mod id;
pub mod lanes;
pub mod plan;
pub mod relay;
pub mod resources;
pub mod spec;
pub mod state;
pub mod view;

pub use command::{EndKind, JobCommand, ReleaseReason};
pub use engine::{Engine, EngineSettings};
pub use id::{
    Attempt, DataCentreId, JobId, MachineId, PoolId, QueueId, ServerId, ServerIncarnation, TaskId,
    TeamId,
};
pub use plan::{FleetPlan, PlanError};
pub use resources::Resources;
pub use spec::{JobSpec, StepSpec};
pub use state::JobState;
