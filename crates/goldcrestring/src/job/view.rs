//! Summaries of jobs for operators.

use super::id::{JobId, QueueId, TeamId};
use super::state::{Job, JobPhase, JobState, Step};
use serde::{Deserialize, Serialize};

/// The maximum number of jobs in one page of a list.
pub const MAX_JOBS_PER_PAGE: usize = 1_000;

/// The number of tasks in each phase.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskCounts {
    /// Neither assigned nor done.
    pub waiting: usize,
    /// Assigned to a backend server and possibly running.
    pub assigned: usize,
    /// Done.
    pub done: usize,
}

impl TaskCounts {
    /// Counts the tasks of a step.
    pub(super) fn of(step: &Step) -> Self {
        let size = |count: u32| usize::try_from(count).unwrap_or(usize::MAX);
        let (waiting, assigned) = (size(step.waiting().len()), step.assigned().count());
        let done = size(step.task_count()).saturating_sub(waiting + assigned);
        Self { waiting, assigned, done }
    }

    /// Counts the tasks of all occurrences of a job.
    fn of_job(job: &Job) -> Self {
        let recorded = job.recorded_occurrences().flat_map(|(_, occurrence)| &occurrence.steps);
        let recorded = recorded.map(Self::of).fold(Self::default(), Self::plus);
        let tasks = job.spec.steps.iter().map(|step| u64::from(step.count)).sum::<u64>();
        let (unstarted, finished) = job.unrecorded_occurrences();
        let all = |occurrences: u32| {
            let tasks = u64::from(occurrences).saturating_mul(tasks);
            usize::try_from(tasks).unwrap_or(usize::MAX)
        };
        recorded.plus(Self { waiting: all(unstarted), assigned: 0, done: all(finished) })
    }

    const fn plus(self, other: Self) -> Self {
        Self {
            waiting: self.waiting.saturating_add(other.waiting),
            assigned: self.assigned.saturating_add(other.assigned),
            done: self.done.saturating_add(other.done),
        }
    }
}

/// The summary of one job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSummary {
    /// Its ID, as 16 hexadecimal digits.
    pub id: String,
    /// Its queue.
    pub queue: QueueId,
    /// The team whose key was presented.
    pub team: Option<TeamId>,
    /// Its phase.
    pub phase: JobPhase,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_at_ms: u64,
    /// When it ended, in milliseconds since 1970; zero while it is active.
    pub ended_at_ms: u64,
    /// The number of its tasks in each phase, over all occurrences.
    pub tasks: TaskCounts,
}

impl JobSummary {
    /// Summarizes a job.
    pub fn of(id: JobId, job: &Job) -> Self {
        Self {
            id: id.to_string(),
            queue: job.queue.clone(),
            team: job.team.clone(),
            phase: job.phase,
            accepted_at_ms: job.accepted_at_ms,
            ended_at_ms: job.ended_at_ms,
            tasks: TaskCounts::of_job(job),
        }
    }
}

/// The summary of one step of one occurrence.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StepSummary {
    /// The occurrence, from zero.
    pub occurrence: u32,
    /// The step, from zero.
    pub step: u32,
    /// The number of its tasks in each phase.
    pub tasks: TaskCounts,
    /// The number of failed attempts of all its tasks.
    pub failures: u32,
}

/// The maximum number of steps that are shown of one job.
pub const MAX_STEPS_SHOWN: usize = 1_000;

/// One job with its steps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobView {
    /// The summary of the job.
    pub summary: JobSummary,
    /// Its steps, for each occurrence in turn that is not finished, at most [`MAX_STEPS_SHOWN`]; for
    /// a job that is not scheduled, all of them.
    pub steps: Vec<StepSummary>,
}

impl JobView {
    /// Summarizes a job and its steps.
    pub fn of(id: JobId, job: &Job) -> Self {
        let steps = job.unfinished_occurrences().flat_map(|(number, occurrence)| {
            (0..).zip(&occurrence.steps).map(move |(step, state)| StepSummary {
                occurrence: number,
                step,
                tasks: TaskCounts::of(state),
                failures: state.failures(),
            })
        });
        let steps = steps.take(MAX_STEPS_SHOWN);
        Self { summary: JobSummary::of(id, job), steps: steps.collect() }
    }
}

/// A filter for lists of jobs; a field that is `None` does not restrict the list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobFilter {
    /// Jobs of this queue.
    pub queue: Option<QueueId>,
    /// Jobs of this team.
    pub team: Option<TeamId>,
    /// Jobs in this phase.
    pub phase: Option<JobPhase>,
    /// Jobs with a higher ID: for the next page, the last ID of the previous one.
    pub after: Option<JobId>,
}

impl JobFilter {
    /// Lists the selected jobs in the order of their IDs, at most [`MAX_JOBS_PER_PAGE`].
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::job::view::JobFilter;
    /// use goldcrestring::job::{JobCommand, JobSpec, JobState, StepSpec};
    /// use std::sync::Arc;
    ///
    /// let mut state = JobState::default();
    /// let steps = vec![StepSpec { count: 2, ..StepSpec::default() }];
    /// let spec = Arc::new(JobSpec { steps, ..JobSpec::default() });
    /// let id = "5c0e7a21d94b36f8".parse()?;
    /// state.apply(&JobCommand::Submit { id, queue: "quotes".into(), team: None, spec, at_ms: 1 });
    ///
    /// let listed = JobFilter::default().list(&state);
    /// assert_eq!((listed[0].id.as_str(), listed[0].tasks.waiting), ("5c0e7a21d94b36f8", 2));
    /// let others = JobFilter { queue: Some("other".into()), ..JobFilter::default() };
    /// assert!(others.list(&state).is_empty());
    /// # Ok::<(), goldcrestring::job::id::IdError>(())
    /// ```
    pub fn list(&self, state: &JobState) -> Vec<JobSummary> {
        let is_selected = |(id, job): &(&JobId, &Job)| {
            self.queue.as_ref().is_none_or(|queue| job.queue == *queue)
                && self.team.as_ref().is_none_or(|team| job.team.as_ref() == Some(team))
                && self.phase.is_none_or(|phase| job.phase == phase)
                && self.after.is_none_or(|after| **id > after)
        };
        let selected = state.jobs().filter(is_selected).take(MAX_JOBS_PER_PAGE);
        selected.map(|(id, job)| JobSummary::of(*id, job)).collect()
    }
}
