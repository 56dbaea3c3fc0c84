//! The replicated record of one job.

use super::occurrences::{Occurrence, OccurrenceLimits, Occurrences};
use super::step::Step;
use crate::job::id::{Attempt, PoolId, QueueId, ServerIncarnation, TaskId, TeamId};
use crate::job::plan::{Queue, QueueRoute};
use crate::job::spec::{JobSpec, StepSpec};
use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
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

/// The memory of a job besides its specification and its occurrences, in bytes, roughly.
const JOB_BYTES: u64 = 640;

/// One job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// Its queue, also after operators have given the queue another name.
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
    occurrences: Occurrences,
    /// The number of retention ticks at its end.
    #[serde(default)]
    pub(super) ended_at_tick: u64,
    /// The queue's route at the time of submission, by which callers ask for the job.
    #[serde(default)]
    pub(super) submission_route: Option<QueueRoute>,
}

impl Job {
    pub(super) fn new(
        queue: &QueueId,
        queue_settings: Option<&Queue>,
        team: Option<&TeamId>,
        spec: &Arc<JobSpec>,
        accepted_at_ms: u64,
    ) -> Self {
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
            occurrences: Occurrences::new(spec),
            ended_at_tick: 0,
            submission_route: queue_settings.map(Queue::route),
        }
    }

    /// The memory that the record of a new job takes, in bytes, roughly.
    pub(super) fn initial_bytes(spec: &JobSpec) -> u64 {
        let specification = spec.memory_bytes().saturating_add(JOB_BYTES);
        specification.saturating_add(Occurrences::initial_bytes(spec))
    }

    /// The memory that the record takes, in bytes, roughly; assigned tasks are not included.
    pub(super) fn record_bytes(&self) -> u64 {
        Self::initial_bytes(&self.spec).saturating_add(self.begun_bytes())
    }

    /// The part of [`Self::record_bytes`] that changes as occurrences begin and finish.
    pub(super) fn begun_bytes(&self) -> u64 {
        self.occurrences.begun_bytes()
    }

    /// Whether callers of the queue find this job: it is the queue's, or was submitted at the route that
    /// is the queue's now.
    pub fn is_found_in(&self, queue: &Queue) -> bool {
        self.queue == queue.name
            || self.submission_route.as_ref().is_some_and(|route| queue.is_at(route))
    }

    /// Whether any task has been assigned to a backend server.
    pub const fn has_started(&self) -> bool {
        self.has_started
    }

    /// One occurrence; `None` if the job has no such occurrence.
    pub fn occurrence(&self, number: u32) -> Option<&Occurrence> {
        self.occurrences.get(number)
    }

    /// The occurrences with a record of their own, with their numbers: those that have been begun
    /// and are not finished, and the only one of a job that is not scheduled.
    pub fn recorded_occurrences(&self) -> impl Iterator<Item = (u32, &Occurrence)> {
        self.occurrences.begun()
    }

    /// The occurrences that are not finished, with their numbers, in order; the only one of a job
    /// that is not scheduled also once it is.
    pub fn unfinished_occurrences(&self) -> impl Iterator<Item = (u32, &Occurrence)> {
        self.occurrences.unfinished()
    }

    /// The numbers of occurrences without a record of their own: those that have not been begun, and
    /// those that are finished.
    pub fn unrecorded_occurrences(&self) -> (u32, u32) {
        self.occurrences.unrecorded_counts()
    }

    /// The due occurrences that may start or continue now, with their numbers: all that have been
    /// begun, and as many others as `limits` allows. More follow as these make progress.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::job::state::OccurrenceLimits;
    /// use goldcrestring::job::{JobCommand, JobSpec, JobState, StepSpec};
    /// use std::sync::Arc;
    ///
    /// let steps = vec![StepSpec { count: 1, ..StepSpec::default() }];
    /// let spec = JobSpec { steps, times: 1_000_000, interval_ms: 10, ..JobSpec::default() };
    /// let id = "5c0e7a21d94b36f8".parse()?;
    /// let mut state = JobState::default();
    /// let spec = Arc::new(spec);
    /// state.apply(&JobCommand::Submit { id, queue: "quotes".into(), team: None, spec, at_ms: 1 });
    /// let job = state.job(&id).unwrap();
    /// let limits = OccurrenceLimits { max_unstarted: 64, ..OccurrenceLimits::default() };
    /// assert_eq!(job.due_occurrences(25, limits).count(), 3);
    /// assert_eq!(job.due_occurrences(u64::MAX, limits).count(), 64);
    /// # Ok::<(), goldcrestring::job::id::IdError>(())
    /// ```
    pub fn due_occurrences(
        &self,
        unix_ms: u64,
        limits: OccurrenceLimits,
    ) -> impl Iterator<Item = (u32, &Occurrence)> {
        let is_due = move |number: u32| self.spec.due_at_ms(number) <= unix_ms;
        let begun = self.occurrences.begun().filter(move |(number, _)| is_due(*number));
        let max_unstarted = limits.max_unstarted(&self.occurrences, self.spec.steps.len());
        let unstarted = self.occurrences.unstarted().take_while(move |(number, _)| is_due(*number));
        begun.chain(unstarted.take(max_unstarted))
    }

    /// When the next occurrence that is not due yet will be, in milliseconds since 1970.
    pub fn next_due_at_ms(&self, unix_ms: u64) -> Option<u64> {
        let next = self.spec.first_due_after(unix_ms)?;
        Some(self.spec.due_at_ms(next))
    }

    /// One step of one occurrence; `None` if the job has no such step.
    pub fn step(&self, occurrence: u32, step: u32) -> Option<&Step> {
        self.occurrences.get(occurrence)?.steps.get(usize::try_from(step).ok()?)
    }

    /// The specification of one step; `None` if the job has no such step.
    pub fn step_spec(&self, step: u32) -> Option<&StepSpec> {
        self.spec.steps.get(usize::try_from(step).ok()?)
    }

    /// Updates one step of one occurrence; `None` if the job has no such step.
    pub(super) fn update_step<T>(
        &mut self,
        occurrence: u32,
        step: u32,
        update: impl FnOnce(&mut Step) -> T,
    ) -> Option<T> {
        self.occurrences.update(occurrence, step, update)
    }

    pub(super) fn start(
        &mut self,
        task: &TaskId,
        attempt: Attempt,
        server: &ServerIncarnation,
    ) -> bool {
        let start = |step: &mut Step| step.start(task.index, attempt, server);
        let is_started = self.update_step(task.step.occurrence, task.step.step, start);
        let is_started = is_started.unwrap_or(false);
        self.has_started |= is_started;
        is_started
    }

    pub(super) fn is_all_done(&self) -> bool {
        self.occurrences.is_all_done()
    }

    pub(super) const fn end(&mut self, phase: JobPhase, at_ms: u64, tick: u64) {
        self.phase = phase;
        self.ended_at_ms = at_ms;
        self.ended_at_tick = tick;
    }
}
