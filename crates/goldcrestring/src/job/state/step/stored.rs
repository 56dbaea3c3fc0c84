//! The forms in which snapshots store a step.

use super::{Step, Task, TaskPhase};
use crate::job::state::IndexSet;
use serde::Deserialize;
use std::collections::BTreeMap;

/// A step as stored.
#[derive(Deserialize)]
#[serde(untagged)]
pub(super) enum StoredStep {
    Current(CurrentStep),
    /// With a record of each task, as stored by earlier versions.
    Dense(DenseStep),
}

/// The fields of [`Step`], in the same order.
#[derive(Deserialize)]
pub(super) struct CurrentStep {
    count: u32,
    started: BTreeMap<u32, Task>,
    waiting: IndexSet,
    completed: u32,
    failures: u32,
    is_long_running: bool,
    is_gang: bool,
}

#[derive(Deserialize)]
pub(super) struct DenseStep {
    tasks: Vec<Task>,
    waiting: Vec<u32>,
    completed: u32,
    is_long_running: bool,
    is_gang: bool,
}

impl DenseStep {
    /// Returns tasks that earlier versions took as done to the waiting ones.
    fn restart_done_tasks(&mut self) {
        for (index, task) in (0..).zip(&mut self.tasks) {
            if task.phase == TaskPhase::Done {
                task.phase = TaskPhase::Waiting;
                self.waiting.push(index);
            }
            task.has_result = false;
        }
        self.completed = 0;
    }
}

impl From<StoredStep> for Step {
    fn from(stored: StoredStep) -> Self {
        match stored {
            StoredStep::Current(step) => Self {
                count: step.count,
                started: step.started,
                waiting: step.waiting,
                completed: step.completed,
                failures: step.failures,
                is_long_running: step.is_long_running,
                is_gang: step.is_gang,
            },
            StoredStep::Dense(mut step) => {
                if step.is_long_running {
                    step.restart_done_tasks();
                }
                let is_recorded = |task: &Task| {
                    let is_unstarted = task.phase == TaskPhase::Waiting && task.attempt == 0;
                    task.phase != TaskPhase::Done && !is_unstarted
                };
                Self {
                    count: u32::try_from(step.tasks.len()).unwrap_or(u32::MAX),
                    failures: step.tasks.iter().map(|task| task.failures).sum(),
                    started: (0..).zip(step.tasks).filter(|(_, task)| is_recorded(task)).collect(),
                    waiting: step.waiting.into_iter().collect(),
                    completed: step.completed,
                    is_long_running: step.is_long_running,
                    is_gang: step.is_gang,
                }
            }
        }
    }
}
