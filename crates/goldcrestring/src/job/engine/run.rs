//! What the leader knows of one run of a task.

use crate::clock::Uptime;
use crate::job::id::{Attempt, ServerIncarnation, TaskId, TeamId};
use crate::job::resources::Resources;
use crate::job::state::Job;
use std::sync::Arc;

/// How far a run is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunPhase {
    /// The start is proposed, not yet committed.
    Proposed,
    /// The order waits or is on its way.
    Ordered,
    /// The backend server has taken the order.
    Running,
    /// It is being stopped.
    Stopping,
    /// Its release is proposed.
    Releasing,
}

/// One run of a task.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) attempt: Attempt,
    pub(super) incarnation: ServerIncarnation,
    pub(super) reservation: Resources,
    pub(super) demand: Resources,
    pub(super) team: Option<TeamId>,
    pub(super) phase: RunPhase,
    /// When the answer to the last order came; a look that left later lists the run or its end.
    pub(super) settled_at: Option<Uptime>,
    /// Whether a start was sent that got no answer.
    pub(super) has_unanswered_start: bool,
    pub(super) start_tries: u32,
    /// When to send the order again.
    pub(super) retry_at: Option<Uptime>,
    pub(super) is_long_running: bool,
    pub(super) is_best_effort: bool,
    pub(super) is_checkpointed: bool,
    pub(super) target_ms: u64,
    pub(super) percent: u64,
    pub(super) metric: u64,
    /// The share at which a filling task was told to work.
    pub(super) pace: u8,
    /// Whether the backend server is known to have been told.
    pub(super) is_pace_known: bool,
    pub(super) started_at: Uptime,
    /// Whether it began without a checkpoint.
    pub(super) is_whole: bool,
    /// The adviser's ticket, where the queue needs one.
    pub(super) ticket: Option<Arc<str>>,
}

impl Run {
    /// A run of a task of a job; `None` when the job has no such step.
    pub(super) fn of(
        job: &Job,
        task: &TaskId,
        attempt: Attempt,
        incarnation: &ServerIncarnation,
    ) -> Option<Self> {
        let spec = job.step_spec(task.step.step)?;
        Some(Self {
            attempt,
            incarnation: incarnation.clone(),
            reservation: spec.reservation(),
            demand: spec.demand,
            team: job.team.clone(),
            phase: RunPhase::Proposed,
            settled_at: None,
            has_unanswered_start: false,
            start_tries: 0,
            retry_at: None,
            is_long_running: spec.is_long_running,
            is_best_effort: spec.is_best_effort,
            is_checkpointed: spec.is_checkpointed,
            target_ms: spec.target_ms,
            percent: 0,
            metric: 0,
            pace: FULL_PACE,
            is_pace_known: true,
            started_at: Uptime::ZERO,
            ticket: None,
            is_whole: job
                .step(task.step.occurrence, task.step.step)
                .is_some_and(|step| step.next_checkpoint(task.index).is_none()),
        })
    }

    /// Whether a task that lasts serves.
    pub(super) fn is_at_work(&self) -> bool {
        self.phase == RunPhase::Running && self.percent >= AT_WORK_PERCENT
    }
}

/// The share at which a task works that nobody slowed down, in percent.
pub(super) const FULL_PACE: u8 = 100;

/// The progress from which on a task that lasts is at work.
const AT_WORK_PERCENT: u64 = 100;
