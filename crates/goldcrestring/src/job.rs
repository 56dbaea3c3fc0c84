//! Durable jobs: what callers hand in, where its tasks run, and what became of them.
//!
//! [`JobState`] is replicated by the log; [`Engine`] runs on the leader, takes events with the time
//! and says what to propose and which calls to make. Neither holds a socket, a disk or a clock.

pub mod command;
pub mod engine;
pub mod id;
pub mod plan;
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
