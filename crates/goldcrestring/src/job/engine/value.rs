//! Forecasts of the remaining work, the objective and the value of jobs.

use super::Engine;
use crate::job::id::{JobId, QueueId, StepId};
use crate::job::plan::Queue;
use crate::job::state::Job;
use std::collections::BTreeMap;

/// The part of a job's value that does not depend on its size, in percent of the value of a job of
/// mean size.
const FIXED_VALUE_PERCENT: u64 = 30;

/// The maximum value of a job, in percent of the value of a job of mean size.
const MAX_VALUE_PERCENT: u64 = 400;

/// The weight of a new job in its queue's exponential moving mean.
const MEAN_WEIGHT: f64 = 0.05;

/// The forecast for one occurrence of a job.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct JobForecast {
    /// The objective: the time from when the occurrence is due until it should end, in
    /// milliseconds.
    pub(super) objective_ms: u64,
    /// The remaining critical path, in milliseconds.
    pub(super) remaining_ms: u64,
    /// The remaining work per percent of the job's value, in core-microseconds.
    pub(super) cost_per_value: u64,
}

/// The exponential moving mean of the work per job of each queue, in core-milliseconds.
#[derive(Debug, Default)]
pub(super) struct MeanWork {
    by_queue: BTreeMap<QueueId, f64>,
}

impl MeanWork {
    /// Records the work of a new job, in core-milliseconds.
    pub(super) fn record(&mut self, queue: &QueueId, work: u64) {
        let mean = self.by_queue.entry(queue.clone()).or_insert(work as f64);
        *mean += (work as f64 - *mean) * MEAN_WEIGHT;
    }

    /// The mean work of a queue's jobs, at least one; one for a queue without jobs.
    fn of(&self, queue: &QueueId) -> u64 {
        self.by_queue.get(queue).map_or(1, |mean| (*mean as u64).max(1))
    }
}

impl Engine {
    /// Forecasts one occurrence of a job from the expected durations of its tasks.
    pub(super) fn forecast(
        &self,
        id: JobId,
        job: &Job,
        occurrence_number: u32,
        queue: Option<&Queue>,
    ) -> JobForecast {
        let Some(occurrence) = job.occurrence(occurrence_number) else {
            return JobForecast::default();
        };
        let mut total_ends = Vec::with_capacity(occurrence.steps.len());
        let mut remaining_ends = Vec::with_capacity(occurrence.steps.len());
        let (mut work, mut remaining_work) = (0_u64, 0_u64);
        for (step_number, (step, spec)) in (0..).zip(occurrence.steps.iter().zip(&job.spec.steps)) {
            let step_id = StepId { job: id, occurrence: occurrence_number, step: step_number };
            let duration_ms = self.durations.expected_ms(&job.queue, &step_id, spec);
            let latest = |ends: &[u64]| {
                let end = |on: &u32| usize::try_from(*on).ok().and_then(|on| ends.get(on));
                spec.depends_on.iter().filter_map(end).copied().max().unwrap_or(0)
            };
            total_ends.push(latest(&total_ends).saturating_add(duration_ms));
            let is_waiting = !step.waiting().is_empty();
            let step_remaining_ms = if step.is_done() {
                0
            } else if is_waiting {
                duration_ms
            } else {
                duration_ms / 2
            };
            remaining_ends.push(latest(&remaining_ends).saturating_add(step_remaining_ms));
            let task_work = spec.demand.cpu_millis.saturating_mul(duration_ms) / 1_000;
            let waiting = u64::from(step.waiting().len());
            work = work.saturating_add(task_work.saturating_mul(u64::from(spec.count)));
            remaining_work = remaining_work.saturating_add(task_work.saturating_mul(waiting));
        }
        let critical_path_ms = total_ends.into_iter().max().unwrap_or(0);
        let stretch_per_mille = queue.map_or(1_000, |queue| queue.stretch_per_mille);
        let fixed_ms = queue.map_or(0, |queue| queue.target_latency_ms);
        let mean = self.mean_work.of(&job.queue);
        let size_part = (100 - FIXED_VALUE_PERCENT).saturating_mul(work) / mean;
        let value = (FIXED_VALUE_PERCENT + size_part).min(MAX_VALUE_PERCENT);
        JobForecast {
            objective_ms: (critical_path_ms.saturating_mul(stretch_per_mille) / 1_000)
                .saturating_add(fixed_ms),
            remaining_ms: remaining_ends.into_iter().max().unwrap_or(0),
            cost_per_value: remaining_work.saturating_mul(1_000) / value,
        }
    }
}
