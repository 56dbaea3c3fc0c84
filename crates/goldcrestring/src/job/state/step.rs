//! The replicated record of one step and its tasks.

mod stored;

use super::IndexSet;
use crate::job::command::{EndKind, RunEnd};
use crate::job::id::{Attempt, ServerIncarnation};
use crate::job::spec::StepSpec;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

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
    /// The number of the latest attempt; zero before the first and once the task is done.
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
    /// The attempts that have failed; members of a gang share them.
    #[serde(default, skip_serializing_if = "IndexSet::is_empty")]
    failed_attempts: IndexSet,
}

impl Task {
    /// A task without attempts.
    const fn new(phase: TaskPhase) -> Self {
        Self {
            attempt: 0,
            failures: 0,
            checkpoint: None,
            phase,
            has_result: false,
            failed_attempts: IndexSet::new(),
        }
    }

    const fn unstarted() -> Self {
        Self::new(TaskPhase::Waiting)
    }
}

/// All tasks that have not been assigned yet.
static UNSTARTED: Task = Task::unstarted();

/// All tasks that are done.
static DONE: Task = Task::new(TaskPhase::Done);

/// One step of one occurrence.
///
/// Only tasks that have been assigned and are not done have a record of their own, so that the size
/// of a step does not grow with the number of its tasks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "stored::StoredStep")]
pub struct Step {
    /// The number of tasks.
    count: u32,
    /// The tasks that have been assigned at least once and are not done.
    started: BTreeMap<u32, Task>,
    /// The tasks that are neither assigned nor done.
    waiting: IndexSet,
    /// The number of tasks that are done, or have a result.
    completed: u32,
    /// The number of failed attempts of all tasks.
    failures: u32,
    /// Whether its tasks run until the job is cancelled: they are never done, however a run ends.
    pub is_long_running: bool,
    is_gang: bool,
}

impl Step {
    /// The memory of a step without assigned tasks, in bytes, roughly: its fields and the node of
    /// its waiting tasks.
    pub(super) const MEMORY_BYTES: usize = size_of::<Self>() + 128;

    /// A step without attempts.
    pub(super) fn new(spec: &StepSpec) -> Self {
        Self::unstarted(spec.count, spec.is_long_running, spec.is_gang)
    }

    fn unstarted(count: u32, is_long_running: bool, is_gang: bool) -> Self {
        Self {
            count,
            started: BTreeMap::new(),
            waiting: IndexSet::below(count),
            completed: 0,
            failures: 0,
            is_long_running,
            is_gang,
        }
    }

    /// This step without attempts.
    pub(super) fn without_attempts(&self) -> Self {
        Self::unstarted(self.count, self.is_long_running, self.is_gang)
    }

    /// This step with all tasks done.
    pub(super) fn finished(&self) -> Self {
        let step = self.without_attempts();
        Self { waiting: IndexSet::default(), completed: self.count, ..step }
    }

    /// The number of tasks.
    pub const fn task_count(&self) -> u32 {
        self.count
    }

    /// A task by index.
    pub fn task(&self, index: u32) -> Option<&Task> {
        if index >= self.count {
            return None;
        }
        let unrecorded = if self.waiting.contains(index) { &UNSTARTED } else { &DONE };
        Some(self.started.get(&index).unwrap_or(unrecorded))
    }

    /// All tasks, in order.
    pub fn tasks(&self) -> impl Iterator<Item = &Task> {
        (0..self.count).filter_map(|index| self.task(index))
    }

    /// The tasks that are assigned to a backend server, with their indices.
    pub fn assigned(&self) -> impl Iterator<Item = (u32, &Task)> {
        let started = self.started.iter().map(|(index, task)| (*index, task));
        started.filter(|(_, task)| matches!(task.phase, TaskPhase::Assigned(_)))
    }

    /// The indices of the tasks that are neither assigned nor done.
    pub const fn waiting(&self) -> &IndexSet {
        &self.waiting
    }

    /// The number of failed attempts of all tasks.
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether a task has been completed, also if a later run of it is still assigned.
    pub fn is_completed(&self, index: u32) -> bool {
        self.task(index).is_some_and(|task| task.has_result || task.phase == TaskPhase::Done)
    }

    /// Whether all tasks are done.
    pub const fn is_done(&self) -> bool {
        self.completed >= self.count
    }

    /// Whether all tasks are done and none is assigned.
    pub(super) fn is_finished(&self) -> bool {
        self.is_done() && self.started.is_empty()
    }

    /// The number of the next attempt of a task; members of a gang share it.
    pub fn next_attempt(&self, index: u32) -> Attempt {
        let latest = if self.is_gang {
            self.started.values().map(|task| task.attempt).max()
        } else {
            self.task(index).map(|task| task.attempt)
        };
        latest.unwrap_or(0) + 1
    }

    /// The checkpoint from which the next attempt of a task resumes; members of a gang share it.
    pub fn next_checkpoint(&self, index: u32) -> Option<Arc<str>> {
        let index = if self.is_gang { 0 } else { index };
        self.task(index)?.checkpoint.clone()
    }

    /// Returns an assigned task to the waiting ones, unless an earlier run has completed it.
    pub(super) fn release(&mut self, index: u32) {
        let Some(task) = self.started.get_mut(&index) else { return };
        if !matches!(task.phase, TaskPhase::Assigned(_)) {
            return;
        }
        task.phase = TaskPhase::Waiting;
        if task.has_result {
            self.finish(index);
        } else {
            self.waiting.insert(index);
        }
    }

    /// Records that a run which was given up has completed its task, or its gang. Later runs stay
    /// assigned until they end.
    pub(super) fn complete_early(&mut self, index: u32) {
        for member in self.affected(index) {
            match self.started.get_mut(&member) {
                Some(task) if matches!(task.phase, TaskPhase::Assigned(_)) => {
                    if !task.has_result {
                        task.has_result = true;
                        self.completed += 1;
                    }
                }
                _ => self.finish(member),
            }
        }
    }

    /// Records that a run which was given up has failed. Later runs stay as they are.
    pub(super) fn fail_early(&mut self, index: u32, attempt: Attempt) {
        for member in self.affected(index) {
            self.record_attempt(member, None, Some(attempt));
        }
    }

    /// The tasks to which the completion, checkpoint or failure of one task applies: all members of its
    /// gang, or the task alone.
    const fn affected(&self, index: u32) -> Range<u32> {
        if self.is_gang { 0..self.count } else { index..index + 1 }
    }

    /// Ends the current run of a task.
    pub(super) fn end(&mut self, index: u32, end: &RunEnd) {
        self.release(index);
        let is_waiting = self.waiting.contains(index);
        if !self.is_gang && !is_waiting {
            return;
        }
        let failed_attempt = (end.kind == EndKind::Failed).then_some(end.attempt);
        for member in self.affected(index) {
            match end.kind {
                EndKind::Done if !self.is_long_running => self.finish(member),
                EndKind::Done
                | EndKind::Failed
                | EndKind::Stopped
                | EndKind::LeaseExpired
                | EndKind::GangMemberEnded
                | EndKind::GangIncomplete => {
                    self.record_attempt(member, end.checkpoint.as_ref(), failed_attempt);
                }
            }
        }
    }

    /// Records the checkpoint, or the failure, of an attempt of a task that is not done. A failure may be
    /// reported more than once, by each member of a gang or by a backend server that was forgotten.
    fn record_attempt(
        &mut self,
        index: u32,
        checkpoint: Option<&Arc<str>>,
        failed_attempt: Option<Attempt>,
    ) {
        if !self.started.contains_key(&index) && !self.waiting.contains(index) {
            return;
        }
        let task = self.started.entry(index).or_insert_with(Task::unstarted);
        if checkpoint.is_some() {
            task.checkpoint = checkpoint.cloned();
        }
        if failed_attempt.is_some_and(|attempt| task.failed_attempts.insert(attempt)) {
            task.failures = task.failures.saturating_add(1);
            self.failures = self.failures.saturating_add(1);
        }
    }

    /// Marks a task as done.
    fn finish(&mut self, index: u32) {
        let is_waiting = self.waiting.remove(index);
        let started = self.started.remove(&index);
        if self.started.is_empty() {
            // An empty map may keep a node.
            self.started = BTreeMap::new();
        }
        let is_new = is_waiting || started.is_some();
        if is_new && !started.is_some_and(|task| task.has_result) {
            self.completed += 1;
        }
    }

    /// Assigns a waiting task; returns `false` if it does not wait or the attempt is not a later
    /// one.
    pub(super) fn start(
        &mut self,
        index: u32,
        attempt: Attempt,
        server: &ServerIncarnation,
    ) -> bool {
        let is_later = self.task(index).is_some_and(|task| attempt > task.attempt);
        if !is_later || !self.waiting.remove(index) {
            return false;
        }
        let task = self.started.entry(index).or_insert_with(Task::unstarted);
        task.attempt = attempt;
        task.phase = TaskPhase::Assigned(server.clone());
        true
    }
}
