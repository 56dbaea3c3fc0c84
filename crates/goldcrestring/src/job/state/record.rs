//! The replicated record of one job.

use crate::job::command::{EndKind, RunEnd};
use crate::job::id::{Attempt, PoolId, QueueId, ServerIncarnation, TaskId, TeamId};
use crate::job::plan::Queue;
use crate::job::spec::{JobSpec, StepSpec};
use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The phase of a job.
///
/// # Examples
///
/// ```
/// use goldcrestring::job::state::JobPhase;
///
/// let phase: JobPhase = "cancelled".parse()?;
/// assert_eq!((phase, phase.to_string().as_str()), (JobPhase::Cancelled, "cancelled"));
/// # Ok::<(), derive_more::FromStrError>(())
/// ```
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, FromStr, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum JobPhase {
    /// The job waits or runs.
    #[display("active")]
    Active,
    /// All tasks are done.
    #[display("completed")]
    Completed,
    /// A task has used up its attempts.
    #[display("failed")]
    Failed,
    /// The job was cancelled.
    #[display("cancelled")]
    Cancelled,
}

/// The phase of a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TaskPhase {
    /// The task is neither assigned nor done.
    Waiting,
    /// The task may be running on this backend server.
    Assigned(ServerIncarnation),
    /// The task is done.
    Done,
}

/// One task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Task {
    /// The number of the latest attempt; zero before the first.
    pub attempt: Attempt,
    /// The number of failed attempts.
    pub failures: u32,
    /// The checkpoint from which the next attempt resumes, if any.
    pub checkpoint: Option<Arc<str>>,
    /// The phase of the task.
    pub phase: TaskPhase,
    /// Whether an earlier run has completed the task while a later one is assigned, which is to be
    /// stopped.
    #[serde(default)]
    pub has_result: bool,
}

/// One step of one occurrence.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    tasks: Vec<Task>,
    waiting: BTreeSet<u32>,
    done: u32,
    /// Whether its tasks run until the job is cancelled.
    #[serde(rename = "is_lasting")]
    pub is_long_running: bool,
    is_gang: bool,
}

impl Step {
    fn new(spec: &StepSpec) -> Self {
        let task = Task {
            attempt: 0,
            failures: 0,
            checkpoint: None,
            phase: TaskPhase::Waiting,
            has_result: false,
        };
        let count = usize::try_from(spec.count).unwrap_or(usize::MAX);
        Self {
            tasks: vec![task; count],
            waiting: (0..spec.count).collect(),
            done: 0,
            is_long_running: spec.is_long_running,
            is_gang: spec.is_gang,
        }
    }

    /// A task by index.
    pub fn task(&self, index: u32) -> Option<&Task> {
        self.tasks.get(usize::try_from(index).ok()?)
    }

    /// All tasks, in order.
    pub fn tasks(&self) -> &[Task] {
        &self.tasks
    }

    /// The indices of the tasks that are neither assigned nor done.
    pub const fn waiting(&self) -> &BTreeSet<u32> {
        &self.waiting
    }

    /// Whether a task has been completed, also if a later run of it is still assigned.
    pub fn is_completed(&self, index: u32) -> bool {
        self.task(index).is_some_and(|task| task.has_result || task.phase == TaskPhase::Done)
    }

    /// Whether all tasks are done.
    pub fn is_done(&self) -> bool {
        usize::try_from(self.done).is_ok_and(|done| done >= self.tasks.len())
    }

    /// The number of the next attempt of a task; members of a gang share it.
    pub fn next_attempt(&self, index: u32) -> Attempt {
        let latest = if self.is_gang {
            self.tasks.iter().map(|task| task.attempt).max()
        } else {
            self.task(index).map(|task| task.attempt)
        };
        latest.unwrap_or(0) + 1
    }

    /// The checkpoint from which the next attempt of a task resumes; members of a gang share it.
    pub fn next_checkpoint(&self, index: u32) -> Option<Arc<str>> {
        if self.is_gang {
            return self.tasks.first()?.checkpoint.clone();
        }
        self.task(index)?.checkpoint.clone()
    }

    fn task_mut(&mut self, index: u32) -> Option<&mut Task> {
        self.tasks.get_mut(usize::try_from(index).ok()?)
    }

    /// Returns an assigned task to the waiting ones, unless an earlier run has completed it.
    pub(super) fn release(&mut self, index: u32) {
        let is_assigned =
            self.task(index).is_some_and(|task| matches!(task.phase, TaskPhase::Assigned(_)));
        if is_assigned {
            self.waiting.insert(index);
            let Some(task) = self.task_mut(index) else { return };
            task.phase = TaskPhase::Waiting;
            if task.has_result {
                self.finish(index);
            }
        }
    }

    /// Records that a run which was given up has completed its task, or its gang. Later runs stay
    /// assigned until they end.
    pub(super) fn complete_early(&mut self, index: u32) {
        let members = if self.is_gang { 0..self.task_count() } else { index..index + 1 };
        for member in members {
            let Some(task) = self.task_mut(member) else { return };
            match task.phase {
                TaskPhase::Waiting => self.finish(member),
                TaskPhase::Assigned(_) if !task.has_result => {
                    task.has_result = true;
                    self.done += 1;
                }
                TaskPhase::Assigned(_) | TaskPhase::Done => {}
            }
        }
    }

    fn task_count(&self) -> u32 {
        u32::try_from(self.tasks.len()).unwrap_or(u32::MAX)
    }

    /// Ends the current run of a task.
    pub(super) fn end(&mut self, index: u32, end: &RunEnd) {
        if self.is_gang {
            self.end_gang(index, end);
            return;
        }
        self.release(index);
        let Some(task) = self.task_mut(index) else { return };
        if task.phase == TaskPhase::Done {
            return;
        }
        if end.checkpoint.is_some() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        match end.kind {
            EndKind::Done => self.finish(index),
            EndKind::Failed => task.failures += 1,
            EndKind::Stopped
            | EndKind::LeaseExpired
            | EndKind::GangMemberEnded
            | EndKind::GangIncomplete => {}
        }
    }

    /// Ends the run of one member of a gang. Its completion, checkpoint or failure applies to all
    /// members.
    fn end_gang(&mut self, index: u32, end: &RunEnd) {
        self.release(index);
        let all: Vec<_> = (0..).take(self.tasks.len()).collect();
        if end.kind == EndKind::Done {
            for member in all {
                self.finish(member);
            }
            return;
        }
        for member in all {
            let Some(task) = self.task_mut(member) else { continue };
            if end.checkpoint.is_some() {
                task.checkpoint.clone_from(&end.checkpoint);
            }
            if end.kind == EndKind::Failed {
                task.failures += 1;
            }
        }
    }

    /// Marks a task as done.
    fn finish(&mut self, index: u32) {
        self.waiting.remove(&index);
        let Some(task) = self.task_mut(index) else { return };
        if task.phase != TaskPhase::Done {
            task.phase = TaskPhase::Done;
            task.checkpoint = None;
            if !task.has_result {
                self.done += 1;
            }
        }
    }

    /// Assigns a waiting task; returns `false` if it does not wait or the attempt is not a later
    /// one.
    fn start(&mut self, index: u32, attempt: Attempt, server: &ServerIncarnation) -> bool {
        let Some(task) = self.task_mut(index) else { return false };
        if task.phase != TaskPhase::Waiting || attempt <= task.attempt {
            return false;
        }
        task.attempt = attempt;
        task.phase = TaskPhase::Assigned(server.clone());
        self.waiting.remove(&index);
        true
    }
}

/// One occurrence of a job's steps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Occurrence {
    /// The steps, in order.
    pub steps: Vec<Step>,
}

impl Occurrence {
    /// Whether all steps that `spec` depends on are done.
    pub fn is_ready(&self, spec: &StepSpec) -> bool {
        let is_done = |on: &u32| {
            usize::try_from(*on).is_ok_and(|on| self.steps.get(on).is_some_and(Step::is_done))
        };
        spec.depends_on.iter().all(is_done)
    }
}

/// One job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// Its queue.
    pub queue: QueueId,
    /// The team whose key was presented.
    pub team: Option<TeamId>,
    /// The specification.
    pub spec: Arc<JobSpec>,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_at_ms: u64,
    /// The phase of the job.
    pub phase: JobPhase,
    /// When it ended by the wall clock of the leader at that time, in milliseconds since 1970; zero while
    /// it is active.
    pub ended_at_ms: u64,
    /// The maximum number of failed attempts per task, from the queue at the time of submission.
    pub max_attempts: u32,
    /// The queue's pool at the time of submission; used once the queue is removed.
    #[serde(rename = "first_pool")]
    pub submission_pool: Option<PoolId>,
    has_started: bool,
    occurrences: Vec<Occurrence>,
    /// The number of retention ticks at its end.
    #[serde(default)]
    pub(super) ended_at_tick: u64,
}

impl Job {
    pub(super) fn new(
        queue: &QueueId,
        queue_settings: Option<&Queue>,
        team: Option<&TeamId>,
        spec: &Arc<JobSpec>,
        accepted_at_ms: u64,
    ) -> Self {
        let occurrence = Occurrence { steps: spec.steps.iter().map(Step::new).collect() };
        let count = usize::try_from(spec.occurrences()).unwrap_or(usize::MAX);
        Self {
            queue: queue.clone(),
            team: team.cloned(),
            spec: Arc::clone(spec),
            accepted_at_ms,
            phase: JobPhase::Active,
            ended_at_ms: 0,
            max_attempts: queue_settings.map_or(1, |queue| queue.max_attempts.max(1)),
            submission_pool: queue_settings.map(|queue| queue.pool.clone()),
            has_started: false,
            occurrences: vec![occurrence; count],
            ended_at_tick: 0,
        }
    }

    /// Whether any task has been assigned to a backend server.
    pub const fn has_started(&self) -> bool {
        self.has_started
    }

    /// The occurrences, in order.
    pub fn occurrences(&self) -> &[Occurrence] {
        &self.occurrences
    }

    /// One step of one occurrence; `None` if the job has no such step.
    pub fn step(&self, occurrence: u32, step: u32) -> Option<&Step> {
        let occurrence = self.occurrences.get(usize::try_from(occurrence).ok()?)?;
        occurrence.steps.get(usize::try_from(step).ok()?)
    }

    /// The specification of one step; `None` if the job has no such step.
    pub fn step_spec(&self, step: u32) -> Option<&StepSpec> {
        self.spec.steps.get(usize::try_from(step).ok()?)
    }

    pub(super) fn step_mut(&mut self, occurrence: u32, step: u32) -> Option<&mut Step> {
        let occurrence = self.occurrences.get_mut(usize::try_from(occurrence).ok()?)?;
        occurrence.steps.get_mut(usize::try_from(step).ok()?)
    }

    pub(super) fn start(
        &mut self,
        task: &TaskId,
        attempt: Attempt,
        server: &ServerIncarnation,
    ) -> bool {
        let step = self.step_mut(task.step.occurrence, task.step.step);
        let is_started = step.is_some_and(|step| step.start(task.index, attempt, server));
        self.has_started |= is_started;
        is_started
    }

    pub(super) fn is_all_done(&self) -> bool {
        self.occurrences.iter().all(|occurrence| occurrence.steps.iter().all(Step::is_done))
    }

    pub(super) const fn end(&mut self, phase: JobPhase, at_ms: u64, tick: u64) {
        self.phase = phase;
        self.ended_at_ms = at_ms;
        self.ended_at_tick = tick;
    }
}
