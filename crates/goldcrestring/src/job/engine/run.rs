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
    /// The resources reserved on the backend server.
    pub(super) reservation: Resources,
    /// The resources counted against the team's limit.
    pub(super) demand: Resources,
    pub(super) team: Option<TeamId>,
    pub(super) phase: RunPhase,
    /// When the last order was answered; polls sent later list the run or its end.
    pub(super) order_answered_at: Option<Uptime>,
    /// Whether a start was sent and not answered.
    pub(super) has_unanswered_start: bool,
    /// The number of start orders sent.
    pub(super) start_tries: u32,
    /// When to repeat the start or stop order, if at all.
    pub(super) retry_at: Option<Uptime>,
    pub(super) is_long_running: bool,
    pub(super) is_best_effort: bool,
    pub(super) is_checkpointed: bool,
    /// The target for the tail latency of a serving task, in milliseconds; zero is none.
    pub(super) target_ms: u64,
    /// The last reported progress, in percent.
    pub(super) progress_percent: u64,
    /// The last reported tail latency of a serving task, in milliseconds.
    pub(super) metric: u64,
    /// The pace of a best-effort task, in percent of full speed.
    pub(super) pace_percent: u8,
    /// Whether the backend server is known to apply the pace.
    pub(super) is_pace_known: bool,
    /// When the start was last sent, or was proposed; zero for a run of an earlier leader.
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
            progress_percent: 0,
            metric: 0,
            pace_percent: FULL_PACE_PERCENT,
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
        self.phase == RunPhase::Running && self.progress_percent >= SERVING_PERCENT
    }
}

/// The pace of an unthrottled task, in percent.
pub(super) const FULL_PACE_PERCENT: u8 = 100;

/// The progress at which a long-running task starts to serve, in percent.
const SERVING_PERCENT: u64 = 100;
