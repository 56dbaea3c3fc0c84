//! What a job still needs, and what it brings.

use super::Engine;
use crate::job::id::{JobId, QueueId, StepId};
use crate::job::plan::Queue;
use crate::job::state::Job;
use std::collections::BTreeMap;

/// The part of a job's worth that does not depend on its size, in percent.
const FIXED_WORTH_PERCENT: u64 = 30;

/// The most that a job is worth, against the mean of its queue, in percent.
const MAX_WORTH_PERCENT: u64 = 400;

/// The weight of one job in the mean of its queue.
const MEAN_WEIGHT: f64 = 0.05;

/// What one occurrence of a job still needs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Outlook {
    /// Its objective from the moment that it was due, in milliseconds.
    pub(super) objective_ms: u64,
    /// The longest chain of work that is left, in milliseconds.
    pub(super) remaining_ms: u64,
    /// The work that is left for each percent of its worth, in core-microseconds.
    pub(super) cost_per_worth: u64,
}

/// The mean work of the jobs of each queue, in core-milliseconds.
#[derive(Debug, Default)]
pub(super) struct MeanWork {
    by_queue: BTreeMap<QueueId, f64>,
}

impl MeanWork {
    pub(super) fn note(&mut self, queue: &QueueId, work: u64) {
        let mean = self.by_queue.entry(queue.clone()).or_insert(work as f64);
        *mean += (work as f64 - *mean) * MEAN_WEIGHT;
    }

    fn of(&self, queue: &QueueId) -> u64 {
        self.by_queue.get(queue).map_or(1, |mean| (*mean as u64).max(1))
    }
}

impl Engine {
    /// What one occurrence of a job still needs, by what has been learnt.
    pub(super) fn outlook(
        &self,
        id: JobId,
        job: &Job,
        number: u32,
        queue: Option<&Queue>,
    ) -> Outlook {
        let Some(occurrence) =
            usize::try_from(number).ok().and_then(|at| job.occurrences().get(at))
        else {
            return Outlook::default();
        };
        let mut whole_ends = Vec::with_capacity(occurrence.steps.len());
        let mut rest_ends = Vec::with_capacity(occurrence.steps.len());
        let (mut work, mut rest) = (0_u64, 0_u64);
        for (step_number, (step, spec)) in (0..).zip(occurrence.steps.iter().zip(&job.spec.steps)) {
            let step_id = StepId { job: id, occurrence: number, step: step_number };
            let time_ms = self.durations.expect_ms(&job.queue, &step_id, spec);
            let latest = |ends: &[u64]| {
                let end = |on: &u32| usize::try_from(*on).ok().and_then(|on| ends.get(on));
                spec.depends_on.iter().filter_map(end).copied().max().unwrap_or(0)
            };
            whole_ends.push(latest(&whole_ends) + time_ms);
            let is_waiting = !step.waiting().is_empty();
            let left_ms = if step.is_done() {
                0
            } else if is_waiting {
                time_ms
            } else {
                time_ms / 2
            };
            rest_ends.push(latest(&rest_ends) + left_ms);
            let one = spec.demand.cpu_millis.saturating_mul(time_ms) / 1_000;
            let waiting = u64::try_from(step.waiting().len()).unwrap_or(u64::MAX);
            work = work.saturating_add(one.saturating_mul(u64::from(spec.count)));
            rest = rest.saturating_add(one.saturating_mul(waiting));
        }
        let chain_ms = whole_ends.into_iter().max().unwrap_or(0);
        let stretch = queue.map_or(1_000, |queue| queue.stretch_per_mille);
        let grace_ms = queue.map_or(0, |queue| queue.target_latency_ms);
        let mean = self.mean_work.of(&job.queue);
        let sized = (100 - FIXED_WORTH_PERCENT).saturating_mul(work) / mean;
        let worth = (FIXED_WORTH_PERCENT + sized).min(MAX_WORTH_PERCENT);
        Outlook {
            objective_ms: chain_ms.saturating_mul(stretch) / 1_000 + grace_ms,
            remaining_ms: rest_ends.into_iter().max().unwrap_or(0),
            cost_per_worth: rest.saturating_mul(1_000) / worth,
        }
    }
}
