//! Index of the steps with tasks to start.
//!
//! In a burst most active jobs have all their tasks running, or none that may start yet. A round looks
//! only at the steps in this index; a job is looked at again when a command has changed it, or when an
//! occurrence of it becomes due.

use crate::job::id::JobId;
use crate::job::state::{Job, JobPhase, JobState, OccurrenceLimits};
use std::collections::{BTreeMap, BTreeSet};

/// A step of one occurrence, by number.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct StepNumber {
    pub(super) occurrence: u32,
    pub(super) step: u32,
}

/// The steps with waiting tasks and no unfinished dependencies, of occurrences that are due.
#[derive(Debug, Default)]
pub(super) struct ReadyIndex {
    steps: BTreeMap<JobId, Vec<StepNumber>>,
    /// The jobs to be looked at again.
    changed: BTreeSet<JobId>,
    /// The jobs to be looked at again once an occurrence is due, in milliseconds since 1970.
    due: BTreeSet<(u64, JobId)>,
}

impl ReadyIndex {
    /// Creates the index of a new leader, which has looked at no job yet.
    pub(super) fn new(state: &JobState) -> Self {
        let changed = state.active_jobs().map(|(id, _)| *id).collect();
        Self { changed, ..Self::default() }
    }

    /// Marks a job that a command may have changed.
    pub(super) fn mark(&mut self, id: &JobId) {
        self.changed.insert(*id);
    }

    /// Looks at the jobs that have changed or have an occurrence that became due.
    pub(super) fn refresh(&mut self, wall_ms: u64, limits: OccurrenceLimits, state: &JobState) {
        while let Some((due_ms, id)) = self.due.first().copied().filter(|(at, _)| *at <= wall_ms) {
            self.due.remove(&(due_ms, id));
            self.changed.insert(id);
        }
        for id in std::mem::take(&mut self.changed) {
            let job = state.job(&id).filter(|job| job.phase == JobPhase::Active);
            let steps = job.map(|job| self.look_at(&id, job, wall_ms, limits)).unwrap_or_default();
            if steps.is_empty() {
                self.steps.remove(&id);
            } else {
                self.steps.insert(id, steps);
            }
        }
    }

    /// Returns the ready steps of a job and notes when its next occurrence is due.
    fn look_at(
        &mut self,
        id: &JobId,
        job: &Job,
        wall_ms: u64,
        limits: OccurrenceLimits,
    ) -> Vec<StepNumber> {
        if let Some(due_ms) = job.next_due_at_ms(wall_ms) {
            self.due.insert((due_ms, *id));
        }
        let mut ready = Vec::new();
        for (number, occurrence) in job.due_occurrences(wall_ms, limits) {
            for (step_number, (step, spec)) in
                (0..).zip(occurrence.steps.iter().zip(&job.spec.steps))
            {
                if !step.waiting().is_empty() && occurrence.is_ready(spec) {
                    ready.push(StepNumber { occurrence: number, step: step_number });
                }
            }
        }
        ready
    }

    /// The jobs with ready steps.
    pub(super) fn jobs(&self) -> impl Iterator<Item = (&JobId, &Vec<StepNumber>)> {
        self.steps.iter()
    }
}
