//! Job specifications: steps of identical tasks, as submitted by callers.

use crate::job::resources::Resources;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The maximum number of tasks in one step.
pub const MAX_TASKS_PER_STEP: u32 = 10_000;

/// The maximum number of steps in one job.
pub const MAX_STEPS: usize = 1_000;

/// The maximum size of a job's payload, in bytes; four times the size that the interface
/// guarantees.
pub const MAX_PAYLOAD_BYTES: usize = 16_000;

/// Why a job specification is invalid.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum SpecError {
    /// The job has no steps or more than [`MAX_STEPS`].
    #[display("a job must have between 1 and {MAX_STEPS} steps")]
    StepCount,
    /// A step has no tasks or more than [`MAX_TASKS_PER_STEP`].
    #[display("step {step} has {count} tasks; between 1 and {MAX_TASKS_PER_STEP} are allowed")]
    TaskCount {
        /// The step.
        step: usize,
        /// The number of its tasks.
        count: u32,
    },
    /// A step depends on itself or on a later step.
    #[display("step {step} depends on step {on}, which is not an earlier step")]
    Dependency {
        /// The step.
        step: usize,
        /// The step that it depends on.
        on: u32,
    },
    /// The payload is longer than [`MAX_PAYLOAD_BYTES`].
    #[display("the payload is longer than {MAX_PAYLOAD_BYTES} bytes")]
    PayloadTooLong,
}

/// The result of validating a job.
pub type Result<T> = std::result::Result<T, SpecError>;

/// One step of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u32,
    /// The resources that one task needs.
    pub demand: Resources,
    /// The caller's rough estimate of the duration of one task, in milliseconds.
    pub estimate_ms: u64,
    /// The numbers of earlier steps, from zero, that must be done before this one starts.
    pub depends_on: Vec<u32>,
    /// Whether a task can resume from a checkpoint.
    pub is_checkpointed: bool,
    /// Whether the tasks must run concurrently, as a gang.
    pub is_gang: bool,
    /// Whether the tasks run faster within one rack.
    pub prefers_one_rack: bool,
    /// A label that the backend server must have, if any.
    pub required_label: Option<Arc<str>>,
    /// The rack that holds the input data, if any.
    pub data_rack: Option<Arc<str>>,
    /// The maximum number of tasks of the step on one backend server; zero is no limit.
    pub max_per_server: u32,
    /// Whether speculative copies of a task may run concurrently.
    pub may_have_copies: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "is_lasting")]
    pub is_long_running: bool,
    /// The image that the tasks run; tasks with the same image are expected to behave alike.
    pub image: Arc<str>,
    /// The target for the tail latency of a serving task, in milliseconds; zero is none.
    pub target_ms: u64,
    /// Whether the tasks use only processor time that others leave idle.
    #[serde(rename = "is_filling")]
    pub is_best_effort: bool,
    /// The disruption budget: how many tasks planned maintenance may make unavailable at once;
    /// `None` counts as one.
    #[serde(rename = "may_miss")]
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// The resources that one task reserves on its backend server; a best-effort task reserves no
    /// processor time.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::job::{Resources, StepSpec};
    ///
    /// let demand = Resources { cpu_millis: 500, memory_mb: 64, accelerators: 0 };
    /// let step = StepSpec { demand, is_best_effort: true, ..StepSpec::default() };
    /// assert_eq!(step.reservation().cpu_millis, 0);
    /// ```
    #[must_use]
    pub const fn reservation(&self) -> Resources {
        let cpu_millis = if self.is_best_effort { 0 } else { self.demand.cpu_millis };
        Resources { cpu_millis, ..self.demand }
    }
}

/// A job as specified by its caller.
///
/// # Examples
///
/// ```
/// use goldcrestring::job::{JobSpec, StepSpec};
///
/// let step = StepSpec { count: 3, ..StepSpec::default() };
/// let spec = JobSpec { steps: vec![step], ..JobSpec::default() };
/// assert!(spec.validate().is_ok());
/// assert!(JobSpec::default().validate().is_err());
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobSpec {
    /// The payload, passed to each task.
    pub payload: Arc<str>,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// The number of scheduled occurrences; zero is a single one that is due at once.
    pub times: u32,
    /// When the first occurrence is due, in milliseconds since 1970.
    pub start_at_ms: u64,
    /// The interval between the due times of two occurrences, in milliseconds.
    pub interval_ms: u64,
}

impl JobSpec {
    /// Validates what deserialization does not check.
    ///
    /// # Errors
    ///
    /// Returns a [`SpecError`] if the number of steps is out of range, the payload is too long, or
    /// a step has a number of tasks out of range or depends on itself or on a later step.
    pub fn validate(&self) -> Result<()> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(SpecError::StepCount);
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(SpecError::PayloadTooLong);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_TASKS_PER_STEP {
                return Err(SpecError::TaskCount { step: number, count: step.count });
            }
            let is_later = |on: &&u32| usize::try_from(**on).map_or(true, |on| on >= number);
            if let Some(on) = step.depends_on.iter().find(is_later) {
                return Err(SpecError::Dependency { step: number, on: *on });
            }
        }
        Ok(())
    }

    /// The number of occurrences, at least one.
    pub fn occurrences(&self) -> u32 {
        self.times.max(1)
    }

    /// The first occurrence that is due later than `unix_ms`, in milliseconds since 1970, if any.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::job::JobSpec;
    ///
    /// let spec = JobSpec { times: 3, start_at_ms: 50, interval_ms: 10, ..JobSpec::default() };
    /// assert_eq!([49, 50, 69, 70].map(|ms| spec.first_due_after(ms)), [Some(0), Some(1), Some(2), None]);
    /// ```
    pub fn first_due_after(&self, unix_ms: u64) -> Option<u32> {
        if self.times == 0 {
            return None;
        }
        let number = match unix_ms.checked_sub(self.start_at_ms) {
            None => 0,
            Some(since_ms) => since_ms.checked_div(self.interval_ms)?.checked_add(1)?,
        };
        u32::try_from(number).ok().filter(|number| *number < self.times)
    }

    /// The memory that the specification takes, in bytes, roughly.
    pub(super) fn memory_bytes(&self) -> u64 {
        let text = |text: &Option<Arc<str>>| text.as_ref().map_or(0, |text| text.len());
        let step_bytes = |step: &StepSpec| {
            size_of::<StepSpec>()
                + step.depends_on.len() * size_of::<u32>()
                + step.image.len()
                + text(&step.required_label)
                + text(&step.data_rack)
        };
        let steps: usize = self.steps.iter().map(step_bytes).sum();
        u64::try_from(size_of::<Self>() + self.payload.len() + steps).unwrap_or(u64::MAX)
    }

    /// When an occurrence is due, in milliseconds since 1970; zero means at once.
    pub fn due_at_ms(&self, occurrence: u32) -> u64 {
        if self.times == 0 {
            return 0;
        }
        self.start_at_ms.saturating_add(u64::from(occurrence).saturating_mul(self.interval_ms))
    }
}
