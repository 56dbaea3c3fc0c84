//! The leader's record of one run of a task.

use crate::clock::Uptime;
use crate::job::id::{Attempt, ServerIncarnation, TaskId, TeamId};
use crate::job::resources::Resources;
use crate::job::state::Job;
use std::sync::Arc;

/// The phase of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunPhase {
    /// The start is proposed but not committed.
    Proposed,
    /// The start order is queued or pending.
    Ordered,
    /// The backend server has accepted the start.
    Running,
    /// The run is being stopped.
    Stopping,
    /// The release is proposed.
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
    /// When the last order was answered; polls sent later list the run or its end.
    pub(super) order_answered_at: Option<Uptime>,
    /// Whether a start was sent and not answered.
    pub(super) has_unanswered_start: bool,
    pub(super) start_tries: u32,
    /// When to repeat the order.
    pub(super) retry_at: Option<Uptime>,
    pub(super) is_long_running: bool,
    pub(super) is_best_effort: bool,
    pub(super) is_checkpointed: bool,
    pub(super) target_ms: u64,
    pub(super) percent: u64,
    pub(super) metric: u64,
    /// The pace of a best-effort task, in percent.
    pub(super) pace: u8,
    /// Whether the backend server is known to apply the pace.
    pub(super) is_pace_known: bool,
    pub(super) started_at: Uptime,
    /// Whether the run started without a checkpoint.
    pub(super) is_full_run: bool,
    /// The adviser's ticket, if the queue requires one.
    pub(super) ticket: Option<Arc<str>>,
}

impl Run {
    /// Creates a run of a job's task; `None` if the job has no such step.
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
            order_answered_at: None,
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
            is_full_run: job
                .step(task.step.occurrence, task.step.step)
                .is_some_and(|step| step.next_checkpoint(task.index).is_none()),
        })
    }

    /// Whether a long-running task is serving.
    pub(super) fn is_serving(&self) -> bool {
        self.phase == RunPhase::Running && self.percent >= SERVING_PERCENT
    }
}

/// The pace of an unthrottled task, in percent.
pub(super) const FULL_PACE: u8 = 100;

/// The progress from which a long-running task serves, in percent.
const SERVING_PERCENT: u64 = 100;
