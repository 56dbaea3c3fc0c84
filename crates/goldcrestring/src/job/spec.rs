//! What a caller hands in: a job of steps, each with tasks that are alike.

use crate::job::resources::Resources;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The most tasks that one step may have.
pub const MAX_TASKS_PER_STEP: u32 = 10_000;

/// The most steps that one job may have.
pub const MAX_STEPS: usize = 1_000;

/// The longest payload of a job, in bytes; four times what the interface promises to take.
pub const MAX_PAYLOAD_BYTES: usize = 16_000;

/// Why a job can't be taken.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum SpecError {
    /// The job has no steps or too many.
    #[display("a job has between 1 and {MAX_STEPS} steps")]
    Steps,
    /// A step has no tasks or too many.
    #[display("step {step} has {count} tasks; between 1 and {MAX_TASKS_PER_STEP} are possible")]
    Count {
        /// The step.
        step: usize,
        /// Its tasks.
        count: u32,
    },
    /// A step depends on itself or on a later one.
    #[display("step {step} depends on step {on}, which is not an earlier one")]
    Dependency {
        /// The step.
        step: usize,
        /// What it depends on.
        on: u32,
    },
    /// The payload is too long.
    #[display("the payload has more than {MAX_PAYLOAD_BYTES} bytes")]
    Payload,
}

/// The result of checking a job.
pub type Result<T> = std::result::Result<T, SpecError>;

/// One step of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u32,
    /// What one task needs.
    pub demand: Resources,
    /// The caller's rough estimate of one task's time, in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps whose tasks must all be done first.
    pub depends_on: Vec<u32>,
    /// Whether a task can resume from a checkpoint.
    pub is_checkpointed: bool,
    /// Whether the tasks work only all together.
    pub is_gang: bool,
    /// Whether the tasks are slower on more than one rack.
    pub prefers_one_rack: bool,
    /// A label that the backend server must have.
    pub required_label: Option<Arc<str>>,
    /// The rack that holds the data.
    pub data_rack: Option<Arc<str>>,
    /// The most tasks of the step on one backend server; zero is no bound.
    pub max_per_server: u32,
    /// Whether copies of a task may run at the same time.
    pub may_have_copies: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "is_lasting")]
    pub is_long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Arc<str>,
    /// The bound on the tail of a serving task's response time, in milliseconds; zero is none.
    pub target_ms: u64,
    /// Whether the tasks use processors that others leave idle.
    #[serde(rename = "is_filling")]
    pub is_best_effort: bool,
    /// How many tasks may be unavailable at once by planned work; `None` where nothing is promised.
    #[serde(rename = "may_miss")]
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// What one task takes away from its backend server's room.
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

/// A job as its caller describes it.
///
/// # Examples
///
/// ```
/// use goldcrestring::job::{JobSpec, StepSpec};
///
/// let step = StepSpec { count: 3, ..StepSpec::default() };
/// let spec = JobSpec { steps: vec![step], ..JobSpec::default() };
/// assert!(spec.check().is_ok());
/// assert!(JobSpec::default().check().is_err());
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobSpec {
    /// What the tasks are handed.
    pub payload: Arc<str>,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// How often the steps run; zero is once, at once.
    pub times: u32,
    /// When the first occurrence is due, in milliseconds since 1970.
    pub start_at_ms: u64,
    /// The time between two occurrences, in milliseconds.
    pub interval_ms: u64,
}

impl JobSpec {
    /// Checks what decoding can't.
    ///
    /// # Errors
    ///
    /// A [`SpecError`] that names the step.
    pub fn check(&self) -> Result<()> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(SpecError::Steps);
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(SpecError::Payload);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_TASKS_PER_STEP {
                return Err(SpecError::Count { step: number, count: step.count });
            }
            let is_later = |on: &&u32| usize::try_from(**on).map_or(true, |on| on >= number);
            if let Some(on) = step.depends_on.iter().find(is_later) {
                return Err(SpecError::Dependency { step: number, on: *on });
            }
        }
        Ok(())
    }

    /// The number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.times.max(1)
    }

    /// When an occurrence is due, in milliseconds since 1970; zero is at once.
    pub fn due_at_ms(&self, occurrence: u32) -> u64 {
        if self.times == 0 {
            return 0;
        }
        self.start_at_ms.saturating_add(u64::from(occurrence).saturating_mul(self.interval_ms))
    }
}
