//! Expected durations of tasks, learned by queue and image.
//!
//! Callers' estimates are rough, so a linear regression of observed durations on estimates, both on
//! a logarithmic scale, corrects them.

use crate::job::id::{QueueId, StepId};
use crate::job::spec::StepSpec;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The weight of the caller's estimate as the prior, in tasks.
const PRIOR_TASKS: f64 = 4.0;

/// The maximum total weight of a regression, in tasks; beyond it, older observations decay.
const MAX_WEIGHT_TASKS: f64 = 400.0;

/// The sums of a regression of durations on estimates, both as logarithms of milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Regression {
    weight: f64,
    estimates: f64,
    durations: f64,
    estimates_squared: f64,
    products: f64,
}

impl Regression {
    /// Adds an estimate and a duration, both as logarithms of milliseconds.
    fn add(&mut self, estimate: f64, duration: f64) {
        if self.weight > MAX_WEIGHT_TASKS {
            let decay = MAX_WEIGHT_TASKS / self.weight;
            self.weight *= decay;
            self.estimates *= decay;
            self.durations *= decay;
            self.estimates_squared *= decay;
            self.products *= decay;
        }
        self.weight += 1.0;
        self.estimates += estimate;
        self.durations += duration;
        self.estimates_squared += estimate * estimate;
        self.products += estimate * duration;
    }

    /// Predicts the logarithm of a duration from that of an estimate.
    fn predict(&self, estimate: f64) -> f64 {
        if self.weight < 1.0 {
            return estimate;
        }
        let mean_estimate = self.estimates / self.weight;
        let mean_duration = self.durations / self.weight;
        let variance = self.estimates_squared / self.weight - mean_estimate * mean_estimate;
        let covariance = self.products / self.weight - mean_estimate * mean_duration;
        // Estimates that hardly vary don't determine a slope.
        let slope = if variance > 0.01 { (covariance / variance).clamp(0.0, 1.0) } else { 0.0 };
        let learned = mean_duration + slope * (estimate - mean_estimate);
        let confidence = self.weight / (self.weight + PRIOR_TASKS);
        confidence * learned + (1.0 - confidence) * estimate
    }
}

/// Observed durations of tasks.
#[derive(Debug, Default)]
pub(super) struct Durations {
    by_image: BTreeMap<(QueueId, Arc<str>), Regression>,
    /// The mean duration of each step's completed tasks, in milliseconds, and their number.
    by_step: BTreeMap<StepId, (f64, f64)>,
}

impl Durations {
    /// Records the duration of a task.
    pub(super) fn record(
        &mut self,
        queue: &QueueId,
        id: &StepId,
        spec: &StepSpec,
        duration: Duration,
    ) {
        let duration_ms = duration.as_secs_f64() * 1_000.0;
        let key = (queue.clone(), Arc::clone(&spec.image));
        let regression = self.by_image.entry(key).or_default();
        regression.add(ln_ms(spec.estimate_ms), duration_ms.max(1.0).ln());
        let (mean_ms, count) = self.by_step.entry(*id).or_default();
        *count += 1.0;
        *mean_ms += (duration_ms - *mean_ms) / *count;
    }

    /// Forgets the durations of a step that is done.
    pub(super) fn remove(&mut self, id: &StepId) {
        self.by_step.remove(id);
    }

    /// The expected duration of a task of a step, in milliseconds.
    pub(super) fn expected_ms(&self, queue: &QueueId, id: &StepId, spec: &StepSpec) -> u64 {
        if let Some((mean_ms, _)) = self.by_step.get(id) {
            return *mean_ms as u64;
        }
        let key = (queue.clone(), Arc::clone(&spec.image));
        let estimate = ln_ms(spec.estimate_ms);
        let expected = self.by_image.get(&key).map_or(estimate, |known| known.predict(estimate));
        expected.exp() as u64
    }
}

fn ln_ms(ms: u64) -> f64 {
    (ms.max(1) as f64).ln()
}

#[cfg(test)]
mod tests;
