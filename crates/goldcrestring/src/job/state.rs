//! The replicated state of jobs, backend servers and maintenance waves.

mod index_set;
mod job_table;
mod occurrences;
mod queues;
mod record;
mod server;
mod step;
#[cfg(test)]
mod tests;
mod wave;

pub use index_set::IndexSet;
pub use occurrences::{Occurrence, OccurrenceLimits};
pub use record::{Job, JobPhase};
pub use server::ServerRecord;
pub use step::{Step, Task, TaskPhase};
pub use wave::{MaintenancePhase, Wave};

use crate::job::command::{EndKind, JobCommand, PlanDocument, RunEnd};
use crate::job::id::{
    Attempt, DataCentreId, JobId, QueueId, ServerId, ServerIncarnation, StepId, TaskId, TeamId,
};
use crate::job::plan::FleetPlan;
use crate::job::spec::JobSpec;
use job_table::JobTable;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The result of applying a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobOutcome {
    /// The outcome of [`JobCommand::Plan`].
    Plan {
        /// The number of the plan in force.
        in_force: u64,
        /// Whether the command's plan replaced the previous one.
        is_new: bool,
    },
    /// The job has been stored, or its ID was already known or cancelled.
    Submitted {
        /// Whether the ID was new, so that the job has been stored as active.
        is_new: bool,
    },
    /// The plan does not contain the job's queue any more, so the job has not been stored.
    QueueRemoved,
    /// The job has been cancelled, had ended before, or is unknown.
    Cancelled {
        /// Whether the job is known.
        is_known: bool,
    },
    /// Whether the task was assigned.
    Started(bool),
    /// The ends that have been applied because they belong to the current run of a task.
    Ended(Vec<RunEnd>),
    /// Whether the run was the task's current one and has been released.
    Released(bool),
    /// A newer order for the data centre has been applied, so that this one changed nothing.
    Superseded,
    /// The command has been applied; it has no result.
    #[serde(rename = "Noted")]
    Applied,
}

/// The memory of one cancelled ID, in bytes, roughly.
pub const CANCELLED_ID_BYTES: u64 = 48;

/// Jobs, backend servers, the plan, and maintenance waves.
///
/// # Examples
///
/// ```
/// use goldcrestring::job::{JobCommand, JobSpec, JobState, StepSpec};
/// use std::sync::Arc;
///
/// let mut state = JobState::default();
/// let steps = vec![StepSpec { count: 2, ..StepSpec::default() }];
/// let spec = Arc::new(JobSpec { steps, ..JobSpec::default() });
/// let id = "5c0e7a21d94b36f8".parse()?;
/// state.apply(&JobCommand::Submit { id, queue: "quotes".into(), team: None, spec, at_ms: 1 });
/// assert_eq!(state.job(&id).map(|job| job.has_started()), Some(false));
/// # Ok::<(), goldcrestring::job::id::IdError>(())
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobState {
    plan: Option<Arc<PlanDocument>>,
    jobs: JobTable,
    /// Jobs that have not ended.
    active: BTreeSet<JobId>,
    servers: BTreeMap<ServerId, ServerRecord>,
    #[serde(rename = "data_centres_out")]
    data_centres_out_of_service: BTreeSet<DataCentreId>,
    waves: BTreeMap<u64, Wave>,
    /// IDs that were cancelled before a job was submitted under them, with the number of retention ticks
    /// at that time. An attempt to submit the job may arrive later.
    #[serde(default)]
    cancelled_ids: BTreeMap<JobId, u64>,
    /// The number of retention ticks so far.
    #[serde(default)]
    retention_ticks: u64,
    /// The number of orders applied to each data centre.
    #[serde(default)]
    data_centre_revisions: BTreeMap<DataCentreId, u64>,
}

impl JobState {
    /// The plan in force with its document, if any.
    pub const fn plan_document(&self) -> Option<&Arc<PlanDocument>> {
        self.plan.as_ref()
    }

    /// The plan in force, if any.
    pub fn plan(&self) -> Option<&FleetPlan> {
        self.plan.as_ref().map(|document| &document.plan)
    }

    /// A job by ID.
    pub fn job(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// All retained jobs.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs.iter()
    }

    /// The memory that the record of a new job will take, in bytes, roughly.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::job::{JobCommand, JobSpec, JobState, StepSpec};
    /// use std::sync::Arc;
    ///
    /// let steps = vec![StepSpec { count: 2, ..StepSpec::default() }];
    /// let spec = Arc::new(JobSpec { steps, ..JobSpec::default() });
    /// let mut state = JobState::default();
    /// let (id, bytes) = ("5c0e7a21d94b36f8".parse()?, JobState::bytes_to_store(&spec));
    /// state.apply(&JobCommand::Submit { id, queue: "quotes".into(), team: None, spec, at_ms: 1 });
    /// assert_eq!(state.record_bytes(), bytes);
    /// # Ok::<(), goldcrestring::job::id::IdError>(())
    /// ```
    pub fn bytes_to_store(spec: &JobSpec) -> u64 {
        Job::initial_bytes(spec)
    }

    /// The memory that the records of jobs and cancelled IDs take, in bytes, roughly; assigned tasks
    /// are not included.
    pub fn record_bytes(&self) -> u64 {
        let cancelled = u64::try_from(self.cancelled_ids.len()).unwrap_or(u64::MAX);
        self.jobs.bytes().saturating_add(cancelled.saturating_mul(CANCELLED_ID_BYTES))
    }

    /// The jobs that have not ended.
    pub fn active_jobs(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.active.iter().filter_map(|id| self.jobs.get_key_value(id))
    }

    /// One step of a retained job.
    pub fn step(&self, id: &StepId) -> Option<(&Job, &Step)> {
        let job = self.jobs.get(&id.job)?;
        Some((job, job.step(id.occurrence, id.step)?))
    }

    /// One task of a retained job.
    pub fn task(&self, id: &TaskId) -> Option<&Task> {
        self.step(&id.step)?.1.task(id.index)
    }

    /// The backend servers by ID.
    pub const fn servers(&self) -> &BTreeMap<ServerId, ServerRecord> {
        &self.servers
    }

    /// The data centres that are out of service.
    pub const fn data_centres_out_of_service(&self) -> &BTreeSet<DataCentreId> {
        &self.data_centres_out_of_service
    }

    /// The number of orders applied to a data centre.
    pub fn data_centre_revision(&self, id: &DataCentreId) -> u64 {
        self.data_centre_revisions.get(id).copied().unwrap_or(0)
    }

    /// The maintenance waves by number.
    pub const fn waves(&self) -> &BTreeMap<u64, Wave> {
        &self.waves
    }

    /// The IDs that were cancelled before a job was submitted under them, with the number of retention
    /// ticks at that time.
    pub const fn cancelled_ids(&self) -> &BTreeMap<JobId, u64> {
        &self.cancelled_ids
    }

    /// Whether jobs have ended, or IDs have been cancelled, that are to expire.
    pub fn has_retained(&self) -> bool {
        self.jobs.len() > self.active.len() || !self.cancelled_ids.is_empty()
    }

    /// The ended jobs and the cancelled IDs whose retention period of `ticks` whole intervals is over.
    ///
    /// The first tick after an end may come at once, so that it ends no whole interval.
    pub fn expired(&self, ticks: u64) -> impl Iterator<Item = JobId> {
        let is_expired = move |at_tick: u64| self.retention_ticks.saturating_sub(at_tick) > ticks;
        let is_job_expired =
            move |job: &Job| job.phase != JobPhase::Active && is_expired(job.ended_at_tick);
        let jobs = self.jobs.iter().filter(move |(_, job)| is_job_expired(job));
        let cancelled = self.cancelled_ids.iter().filter(move |(_, tick)| is_expired(**tick));
        jobs.map(|(id, _)| *id).chain(cancelled.map(|(id, _)| *id))
    }

    /// Whether an announcement says nothing new: its incarnation is known with the same content, or from
    /// a later announcement.
    pub fn is_known_announcement(&self, record: &ServerRecord) -> bool {
        self.servers.get(&record.incarnation.id).is_some_and(|known| {
            known.incarnation == record.incarnation
                && !known.is_provisional
                && (record.sequence <= known.sequence || known.is_equivalent(record))
        })
    }

    /// Applies a command. Deterministic: the same commands in the same order result in the same
    /// state.
    pub fn apply(&mut self, command: &JobCommand) -> JobOutcome {
        match command {
            JobCommand::Plan(document) => self.replace_plan(document),
            JobCommand::Submit { id, queue, team, spec, at_ms } => {
                self.submit(*id, queue, team.as_ref(), spec, *at_ms)
            }
            JobCommand::Cancel { id, at_ms } => self.cancel(id, *at_ms),
            JobCommand::Start { task, attempt, server } => {
                JobOutcome::Started(self.start(task, *attempt, server))
            }
            JobCommand::RunsEnded { server, ends, at_ms } => self.record_ends(server, ends, *at_ms),
            JobCommand::Release { task, attempt, .. } => {
                let is_released = self.with_current_run(task, *attempt, Step::release).is_some();
                JobOutcome::Released(is_released)
            }
            JobCommand::Server(record) => {
                self.update_server(record);
                JobOutcome::Applied
            }
            JobCommand::ServerSettled(incarnation) => {
                let record = self.servers.get_mut(&incarnation.id);
                if let Some(record) = record.filter(|record| record.incarnation == *incarnation) {
                    record.has_predecessor = false;
                }
                JobOutcome::Applied
            }
            JobCommand::ServerGone(incarnation) => {
                if self
                    .servers
                    .get(&incarnation.id)
                    .is_some_and(|known| known.incarnation == *incarnation)
                {
                    self.servers.remove(&incarnation.id);
                }
                JobOutcome::Applied
            }
            JobCommand::DataCentre { id, is_out, after } => {
                self.set_data_centre(id, *is_out, *after)
            }
            JobCommand::Wave { number, machines, cap, deadline_ms } => {
                let wave = || Wave::new(machines, *cap, *deadline_ms);
                self.waves.entry(*number).or_insert_with(wave);
                JobOutcome::Applied
            }
            JobCommand::MaintenanceOrdered { wave, machine } => {
                self.set_maintenance(*wave, machine, MaintenancePhase::Ordered)
            }
            JobCommand::MaintenanceStarted { wave, machine } => {
                self.set_maintenance(*wave, machine, MaintenancePhase::Down)
            }
            JobCommand::MaintenanceFinished { wave, machine } => {
                self.set_maintenance(*wave, machine, MaintenancePhase::Finished)
            }
            JobCommand::MaintenanceRefused { wave, machine } => {
                self.set_maintenance(*wave, machine, MaintenancePhase::Due)
            }
            JobCommand::RetentionTick => {
                self.retention_ticks = self.retention_ticks.saturating_add(1);
                // A snapshot of an earlier version has wall-clock times in place of ticks.
                for tick in self.cancelled_ids.values_mut() {
                    *tick = (*tick).min(self.retention_ticks);
                }
                JobOutcome::Applied
            }
            JobCommand::Forget(ids) => {
                for id in ids {
                    if !self.active.contains(id) {
                        self.jobs.remove(id);
                    }
                    self.cancelled_ids.remove(id);
                }
                JobOutcome::Applied
            }
        }
    }

    fn replace_plan(&mut self, document: &Arc<PlanDocument>) -> JobOutcome {
        let current = self.plan().map(FleetPlan::number);
        let is_new = current.is_none_or(|current| document.plan.number() > current);
        if is_new {
            let previous = self.plan.replace(Arc::clone(document));
            self.follow_renamed_queues(previous.as_deref(), &document.plan);
        }
        JobOutcome::Plan { in_force: current.unwrap_or(0).max(document.plan.number()), is_new }
    }

    fn submit(
        &mut self,
        id: JobId,
        queue: &QueueId,
        team: Option<&TeamId>,
        spec: &Arc<JobSpec>,
        at_ms: u64,
    ) -> JobOutcome {
        if self.jobs.get(&id).is_some() {
            return JobOutcome::Submitted { is_new: false };
        }
        let settings = self.plan().and_then(|plan| plan.queue(queue));
        if settings.is_none() && self.plan.is_some() {
            // The plan was replaced after the request was checked. Without a queue no task could start.
            return JobOutcome::QueueRemoved;
        }
        let mut job = Job::new(queue, settings, team, spec, at_ms);
        if self.cancelled_ids.remove(&id).is_some() {
            job.end(JobPhase::Cancelled, at_ms, self.retention_ticks);
            self.jobs.insert(id, job);
            return JobOutcome::Submitted { is_new: false };
        }
        self.jobs.insert(id, job);
        self.active.insert(id);
        JobOutcome::Submitted { is_new: true }
    }

    fn cancel(&mut self, id: &JobId, at_ms: u64) -> JobOutcome {
        let tick = self.retention_ticks;
        let end = |job: &mut Job| {
            if job.phase == JobPhase::Active {
                job.end(JobPhase::Cancelled, at_ms, tick);
            }
        };
        let is_known = self.jobs.update(id, end).is_some();
        if is_known {
            self.active.remove(id);
        } else {
            self.cancelled_ids.entry(*id).or_insert(tick);
        }
        JobOutcome::Cancelled { is_known }
    }

    fn start(&mut self, task: &TaskId, attempt: Attempt, server: &ServerIncarnation) -> bool {
        let start =
            |job: &mut Job| job.phase == JobPhase::Active && job.start(task, attempt, server);
        self.jobs.update(&task.step.job, start).unwrap_or(false)
    }

    /// Calls `update` with the step of a task if `attempt` is the task's current run.
    fn with_current_run<T>(
        &mut self,
        id: &TaskId,
        attempt: Attempt,
        update: impl FnOnce(&mut Step, u32) -> T,
    ) -> Option<T> {
        let task = self.task(id)?;
        if task.attempt != attempt || !matches!(task.phase, TaskPhase::Assigned(_)) {
            return None;
        }
        let update = |step: &mut Step| update(step, id.index);
        let update = |job: &mut Job| job.update_step(id.step.occurrence, id.step.step, update);
        self.jobs.update(&id.step.job, update)?
    }

    /// Records the ends with a higher number than the last recorded one; returns those that apply.
    fn record_ends(
        &mut self,
        server: &ServerIncarnation,
        ends: &[RunEnd],
        at_ms: u64,
    ) -> JobOutcome {
        let Some(record) = self.servers.get_mut(&server.id) else {
            return JobOutcome::Ended(Vec::new());
        };
        if record.incarnation != *server {
            return JobOutcome::Ended(Vec::new());
        }
        let new: Vec<_> =
            ends.iter().filter(|end| end.number > record.recorded_end).cloned().collect();
        record.recorded_end = new.last().map_or(record.recorded_end, |end| end.number);
        let applied = new.into_iter().filter(|end| self.record_end(server, end, at_ms)).collect();
        JobOutcome::Ended(applied)
    }

    /// Records one end; returns whether it applies to a task.
    fn record_end(&mut self, server: &ServerIncarnation, end: &RunEnd, at_ms: u64) -> bool {
        let Some(id) = end.task else { return false };
        let Some((_, step)) = self.step(&id.step) else { return false };
        let Some(task) = step.task(id.index) else { return false };
        let is_assigned =
            matches!(&task.phase, TaskPhase::Assigned(incarnation) if incarnation.id == server.id);
        let is_current = task.attempt == end.attempt && is_assigned;
        // A run may have been given up before its end was reported; its work, or its failure, counts all
        // the same.
        let is_late = !is_current
            && matches!(end.kind, EndKind::Done | EndKind::Failed)
            && !step.is_long_running
            && end.attempt <= task.attempt
            && !step.is_completed(id.index);
        if !is_current && !is_late {
            return false;
        }
        let update = |step: &mut Step| {
            match end.kind {
                _ if is_current => step.end(id.index, end),
                EndKind::Failed => step.fail_early(id.index, end.attempt),
                _ => step.complete_early(id.index),
            }
            let failures = step.task(id.index).map_or(0, |task| task.failures);
            if step.is_long_running { 0 } else { failures }
        };
        let tick = self.retention_ticks;
        let phase = self.jobs.update(&id.step.job, |job| {
            let failures = job.update_step(id.step.occurrence, id.step.step, update).unwrap_or(0);
            if job.phase == JobPhase::Active {
                if end.kind == EndKind::Failed && failures >= job.max_attempts {
                    job.end(JobPhase::Failed, at_ms, tick);
                } else if end.kind == EndKind::Done && job.is_all_done() {
                    job.end(JobPhase::Completed, at_ms, tick);
                }
            }
            job.phase
        });
        if phase != Some(JobPhase::Active) {
            self.active.remove(&id.step.job);
        }
        true
    }

    fn update_server(&mut self, record: &ServerRecord) {
        match self.servers.get_mut(&record.incarnation.id) {
            Some(known) if known.incarnation == record.incarnation => known.update(record),
            Some(known) if known.incarnation.started_at_ms > record.incarnation.started_at_ms => {}
            known => {
                let has_predecessor = record.has_predecessor || known.is_some();
                let record = ServerRecord { has_predecessor, ..record.clone() };
                self.servers.insert(record.incarnation.id.clone(), record);
            }
        }
    }

    fn set_data_centre(
        &mut self,
        id: &DataCentreId,
        is_out: bool,
        after: Option<u64>,
    ) -> JobOutcome {
        let changes = self.data_centres_out_of_service.contains(id) != is_out;
        let is_superseded = after.is_some_and(|after| after != self.data_centre_revision(id));
        if changes && is_superseded {
            return JobOutcome::Superseded;
        }
        // An order that changes nothing counts as well: one before it must not undo what it confirms.
        *self.data_centre_revisions.entry(id.clone()).or_default() += 1;
        if is_out {
            self.data_centres_out_of_service.insert(id.clone());
        } else {
            self.data_centres_out_of_service.remove(id);
        }
        JobOutcome::Applied
    }

    fn set_maintenance(
        &mut self,
        number: u64,
        machine: &crate::job::id::MachineId,
        phase: MaintenancePhase,
    ) -> JobOutcome {
        if let Some(wave) = self.waves.get_mut(&number) {
            wave.set(machine, phase);
        }
        JobOutcome::Applied
    }
}
