//! Order in which waiting tasks start.
//!
//! Queues with a lower priority number go first. Within a priority, long-running tasks go first.
//! Then come jobs that can still meet their objective, by highest value per processor time still
//! needed; then late jobs that still have some value, in the same order; then all others, by the
//! time since which they have been due.

use super::Engine;
#[cfg(doc)]
use super::EngineSettings;
use super::open_servers::OpenServers;
use super::placement::PlacementRequest;
use super::ready::StepNumber;
use super::run::Run;
use super::server::Server;
use crate::clock::Uptime;
use crate::job::command::JobCommand;
use crate::job::id::{JobId, PoolId, ServerId, StepId, TaskId};
use crate::job::plan::{AdviserTiming, Queue};
use crate::job::resources::Resources;
use crate::job::spec::StepSpec;
use crate::job::state::{Job, JobState, OccurrenceLimits, Step};
use std::collections::{BTreeMap, BTreeSet};

/// The multiple of its objective up to which a late job still has some value.
const LATE_FACTOR: u64 = 3;

/// A step that is due, has waiting tasks and has no unfinished dependencies.
struct ReadyStep<'a> {
    id: StepId,
    job: &'a Job,
    spec: &'a StepSpec,
    step: &'a Step,
    queue: Option<&'a Queue>,
    pool: &'a PoolId,
}

impl ReadyStep<'_> {
    /// Whether to try a placement. Long-running steps are always tried, as they may preempt, and so
    /// are steps that need tickets, as these are requested in advance.
    fn may_fit(&self, open: &OpenServers) -> bool {
        self.spec.is_long_running
            || self.queue.is_some_and(|queue| queue.advice.is_some())
            || open.may_fit(self.pool, &self.spec.reservation())
    }
}

/// A step for which a placement is tried, with its scheduling key.
struct Candidate<'a> {
    key: SchedulingKey,
    id: StepId,
    job: &'a Job,
    spec: &'a StepSpec,
    step: &'a Step,
    pool: &'a PoolId,
    advice: Option<&'a AdviserTiming>,
}

impl Candidate<'_> {
    /// The request to place one of its tasks.
    const fn placement_request(&self) -> PlacementRequest<'_> {
        PlacementRequest { step: self.id, spec: self.spec, pool: self.pool }
    }
}

/// The key by which candidates are sorted; the lowest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct SchedulingKey {
    priority: u32,
    class: Class,
    /// The cost per value of jobs in time or late; when overdue jobs were due, in milliseconds
    /// since 1970.
    rank: u64,
}

/// The class of a candidate within its priority; the first goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Class {
    LongRunning,
    /// Expected to meet the objective.
    InTime,
    /// Expected to miss the objective, but to end within [`LATE_FACTOR`] times the objective.
    Late,
    /// Expected to end after [`LATE_FACTOR`] times the objective.
    Overdue,
}

impl Engine {
    /// Runs a scheduling round: proposes starts while there is free capacity.
    pub(super) fn schedule(&mut self, now: Uptime, wall_ms: u64, state: &JobState) {
        self.ready.refresh(wall_ms, self.occurrence_limits(state), state);
        let ready = self.ready_steps(wall_ms, state);
        let mut open = OpenServers::default();
        if !ready.is_empty() {
            open = self.open_servers(now, state);
            if open.is_empty() {
                return;
            }
        }
        let candidates = self.candidates(wall_ms, &ready, &open);
        let mut unplaceable: BTreeMap<&PoolId, Vec<Resources>> = BTreeMap::new();
        let mut unplaced = BTreeMap::new();
        for candidate in &candidates {
            if open.has_reached_start_limit() {
                break;
            }
            let wanted = candidate.spec.reservation();
            let is_unplaceable = unplaceable
                .get(candidate.pool)
                .is_some_and(|failed| failed.iter().any(|smaller| smaller.fits_in(&wanted)));
            if is_unplaceable {
                continue;
            }
            let allowed = candidate.advice.map(|timing| {
                let request = candidate.placement_request();
                let is_suitable = |id: &&ServerId| {
                    self.servers
                        .get(id)
                        .is_some_and(|server| self.meets_constraints(&request, server))
                };
                let suitable = open.in_pool(candidate.pool).filter(is_suitable).cloned().collect();
                self.allowed_servers(now, candidate.id, timing, &suitable)
            });
            let within = allowed.as_ref();
            let is_placed = if candidate.spec.is_gang {
                self.start_gang(now, candidate, &mut open, within, state)
            } else {
                self.start_tasks(now, candidate, &mut open, within, state)
            };
            if is_placed {
                continue;
            }
            if allowed.is_some() {
                // The step may only lack tickets; other backend servers may have free capacity.
                continue;
            }
            if candidate.spec.is_long_running {
                self.reserve_server(now, candidate, &mut open, &mut unplaced);
            } else if is_unconstrained(candidate.spec) {
                unplaceable.entry(candidate.pool).or_default().push(wanted);
            }
        }
        if open.has_reached_start_limit() {
            // Tasks that this round did not reach keep the time since which they are unplaced.
            self.is_schedule_due = true;
            self.next_round_at = now;
            self.unplaced_since.append(&mut unplaced);
        } else {
            // A start changes the order of the steps, and so which backend servers the next round reserves.
            self.is_schedule_due |= open.has_starts() && !unplaced.is_empty();
            self.unplaced_since = unplaced;
        }
        let need_advice = candidates.iter().filter(|candidate| candidate.advice.is_some());
        let waiting = need_advice.map(|candidate| candidate.id).collect();
        self.retain_advice(&waiting);
    }

    /// How many due occurrences of one job are considered in this round.
    pub(super) fn occurrence_limits(&self, state: &JobState) -> OccurrenceLimits {
        if state.record_bytes() < self.settings.max_record_bytes {
            self.settings.occurrence_limits
        } else {
            OccurrenceLimits { max_unstarted: 1, max_waiting_steps: 0 }
        }
    }

    /// Whether `count` more runs would exceed [`EngineSettings::max_runs`].
    pub(super) fn has_reached_run_limit(&self, count: usize) -> bool {
        self.runs.len().saturating_add(count) > self.settings.max_runs
    }

    /// Starts the waiting tasks of a step on backend servers of `within`, if given; returns `false`
    /// if a task did not fit.
    fn start_tasks(
        &mut self,
        now: Uptime,
        candidate: &Candidate<'_>,
        open: &mut OpenServers,
        within: Option<&BTreeSet<ServerId>>,
        state: &JobState,
    ) -> bool {
        let request = candidate.placement_request();
        for index in candidate.step.waiting().iter() {
            let task = TaskId { step: candidate.id, index };
            if self.runs.contains_key(&task) {
                continue;
            }
            if open.has_reached_start_limit()
                || self.has_reached_run_limit(1)
                || self.exceeded_limit(candidate.job, candidate.spec, 1, state).is_some()
            {
                return true;
            }
            let Some(server) = self.place(&request, open, within) else { return false };
            let attempt = candidate.step.next_attempt(index);
            self.propose_start(now, candidate.job, task, attempt, &server);
            self.update_open_servers(open, &server);
            open.count_starts(1);
        }
        true
    }

    /// Starts all members of a gang on backend servers of `within`, if given, or none of them;
    /// returns `false` if they did not fit.
    fn start_gang(
        &mut self,
        now: Uptime,
        candidate: &Candidate<'_>,
        open: &mut OpenServers,
        within: Option<&BTreeSet<ServerId>>,
        state: &JobState,
    ) -> bool {
        let members = candidate.step.waiting();
        let is_complete = members.len() == candidate.step.task_count();
        let tasks: Vec<_> =
            members.iter().map(|index| TaskId { step: candidate.id, index }).collect();
        if !is_complete || tasks.iter().any(|task| self.runs.contains_key(task)) {
            return true;
        }
        let count = u64::from(candidate.spec.count);
        if self.has_reached_run_limit(tasks.len())
            || self.exceeded_limit(candidate.job, candidate.spec, count, state).is_some()
        {
            return true;
        }
        for rack in self.gang_racks(candidate, open, within) {
            if self.start_members(now, candidate, &tasks, open, Some(&rack)) {
                return true;
            }
        }
        self.start_members(now, candidate, &tasks, open, within)
    }

    /// The backend servers of each rack, to be tried for a gang before the whole pool; empty unless
    /// the step prefers one rack.
    fn gang_racks(
        &self,
        candidate: &Candidate<'_>,
        open: &OpenServers,
        within: Option<&BTreeSet<ServerId>>,
    ) -> Vec<BTreeSet<ServerId>> {
        let mut racks: BTreeMap<_, BTreeSet<ServerId>> = BTreeMap::new();
        if candidate.spec.prefers_one_rack {
            let servers = open.in_pool(candidate.pool);
            for id in servers.filter(|id| within.is_none_or(|within| within.contains(*id))) {
                let rack = self.servers.get(id).and_then(|server| server.record.rack());
                if let Some(rack) = rack {
                    racks.entry(rack.clone()).or_default().insert(id.clone());
                }
            }
        }
        racks.into_values().collect()
    }

    /// Starts the given members of a gang, or none; returns `false` if they did not fit.
    fn start_members(
        &mut self,
        now: Uptime,
        candidate: &Candidate<'_>,
        tasks: &[TaskId],
        open: &mut OpenServers,
        within: Option<&BTreeSet<ServerId>>,
    ) -> bool {
        let request = candidate.placement_request();
        let attempt = candidate.step.next_attempt(0);
        let proposed = self.output.commands.len();
        let mut chosen = Vec::new();
        for task in tasks {
            let Some(server) = self.place(&request, open, within) else {
                self.output.commands.truncate(proposed);
                for (started, server) in chosen {
                    self.remove_run(&started);
                    self.update_open_servers(open, &server);
                }
                return false;
            };
            self.propose_start(now, candidate.job, *task, attempt, &server);
            self.update_open_servers(open, &server);
            chosen.push((*task, server));
        }
        open.count_starts(tasks.len());
        true
    }

    fn update_open_servers(&self, open: &mut OpenServers, id: &ServerId) {
        if let Some(server) = self.servers.get(id) {
            open.update(id, server);
        }
    }

    fn propose_start(
        &mut self,
        now: Uptime,
        job: &Job,
        task: TaskId,
        attempt: u32,
        server: &ServerId,
    ) {
        let Some(incarnation) = self.servers.get(server).map(|server| server.incarnation().clone())
        else {
            return;
        };
        let Some(mut run) = Run::of(job, &task, attempt, &incarnation) else { return };
        run.started_at = now;
        run.ticket = self.ticket(now, &task.step, &incarnation);
        self.add_run(task, run);
        self.output.commands.push(JobCommand::Start { task, attempt, server: incarnation });
    }

    /// Reserves the suitable backend server with the most free capacity for a long-running task
    /// that does not fit: no other task starts there in this round. Preempts batch runs on it once
    /// the task has waited for the preemption delay.
    ///
    /// Reserves nothing where the task does not fit beside the long-running runs, which are not
    /// preempted, or if the other members of its gang would not fit: such a reservation may last
    /// until the job is cancelled.
    fn reserve_server(
        &mut self,
        now: Uptime,
        candidate: &Candidate<'_>,
        open: &mut OpenServers,
        unplaced: &mut BTreeMap<TaskId, Uptime>,
    ) {
        let request = candidate.placement_request();
        let first_unplaced = candidate
            .step
            .waiting()
            .iter()
            .map(|index| TaskId { step: candidate.id, index })
            .find(|task| !self.runs.contains_key(task));
        let Some(task) = first_unplaced else { return };
        let since = self.unplaced_since.get(&task).copied().unwrap_or(now);
        unplaced.insert(task, since);
        let wanted = candidate.spec.reservation();
        let suitable: Vec<_> = open
            .in_pool(candidate.pool)
            .filter_map(|id| Some((id, self.servers.get(id)?)))
            .filter(|(_, server)| self.meets_constraints(&request, server))
            .filter(|(_, server)| wanted.fits_in(&server.preemptible()))
            .collect();
        if candidate.spec.is_gang && !gang_may_fit(candidate.spec, &suitable) {
            return;
        }
        let most_free = suitable
            .into_iter()
            .max_by_key(|(_, server)| {
                let free = server.free();
                (free.memory_mb.min(candidate.spec.demand.memory_mb), free.cpu_millis)
            })
            .map(|(id, _)| id.clone());
        let Some(server) = most_free else { return };
        if now >= since + self.settings.preemption_delay {
            self.preempt(&server, &wanted);
        }
        open.remove(candidate.pool, &server);
    }

    /// Stops as many batch runs on a backend server as free the needed capacity, or none if all of
    /// them would not suffice.
    fn preempt(&mut self, id: &ServerId, needed: &Resources) {
        let Some(server) = self.servers.get(id) else { return };
        let mut free = server.free();
        let mut stoppable: Vec<_> = server
            .runs
            .iter()
            .filter_map(|task| Some((*task, self.runs.get(task)?)))
            .filter(|(_, run)| !run.is_long_running)
            .collect();
        stoppable.sort_by_key(|(_, run)| (!run.is_checkpointed, std::cmp::Reverse(run.started_at)));
        let mut stopped = Vec::new();
        for (task, run) in stoppable {
            if needed.fits_in(&free) {
                break;
            }
            free = free.saturating_add(&run.reservation);
            stopped.push(task);
        }
        if needed.fits_in(&free) {
            for task in stopped {
                self.stop_run(&task);
            }
        }
    }
}

/// Whether all members of a gang fit on these backend servers once their batch runs are gone.
fn gang_may_fit(spec: &StepSpec, servers: &[(&ServerId, &Server)]) -> bool {
    let wanted = spec.reservation();
    let max = if spec.max_per_server == 0 { u64::MAX } else { u64::from(spec.max_per_server) };
    let places = servers.iter().map(|(_, server)| wanted.times_in(&server.preemptible()).min(max));
    places.fold(0_u64, u64::saturating_add) >= u64::from(spec.count)
}

/// Whether only capacity restricts a step, so that if it does not fit, no larger one does.
fn is_unconstrained(spec: &StepSpec) -> bool {
    !spec.is_gang && spec.required_label.is_none() && spec.max_per_server == 0
}

impl Engine {
    /// The steps that are due, have waiting tasks and have no unfinished dependencies, by job.
    fn ready_steps<'a>(&self, wall_ms: u64, state: &'a JobState) -> Vec<ReadyStep<'a>> {
        let mut ready = Vec::new();
        let Some(plan) = state.plan() else { return ready };
        for (id, numbers) in self.ready.jobs() {
            let Some(job) = state.job(id) else { continue };
            let queue = plan.queue(&job.queue);
            let Some(pool) = queue.map(|queue| &queue.pool).or(job.submission_pool.as_ref()) else {
                continue;
            };
            for StepNumber { occurrence, step: step_number } in numbers {
                // The wall clock may have been set back since the occurrence was due.
                if job.spec.due_at_ms(*occurrence) > wall_ms {
                    continue;
                }
                let (Some(step), Some(spec)) =
                    (job.step(*occurrence, *step_number), job.step_spec(*step_number))
                else {
                    continue;
                };
                let id = StepId { job: *id, occurrence: *occurrence, step: *step_number };
                ready.push(ReadyStep { id, job, spec, step, queue, pool });
            }
        }
        ready
    }
}

impl Engine {
    /// The candidates among the ready steps, in scheduling order.
    ///
    /// Under load most steps don't fit; skipping them first is cheaper than computing their keys.
    fn candidates<'a>(
        &self,
        wall_ms: u64,
        ready: &[ReadyStep<'a>],
        open: &OpenServers,
    ) -> Vec<Candidate<'a>> {
        let may_start = ready.iter().filter(|ready| ready.may_fit(open));
        let candidate = |ready: &ReadyStep<'a>| {
            let key = self.scheduling_key(
                wall_ms,
                ready.id.job,
                ready.job,
                ready.id.occurrence,
                ready.queue,
            );
            let class = if ready.spec.is_long_running { Class::LongRunning } else { key.class };
            Candidate {
                key: SchedulingKey { class, ..key },
                id: ready.id,
                job: ready.job,
                spec: ready.spec,
                step: ready.step,
                pool: ready.pool,
                advice: ready.queue.and_then(|queue| queue.advice.as_ref()),
            }
        };
        let mut candidates: Vec<_> = may_start.map(candidate).collect();
        candidates.sort_by_key(|candidate| candidate.key);
        candidates
    }

    /// The class of one occurrence of a job of batch tasks.
    pub(super) fn job_class(
        &self,
        wall_ms: u64,
        id: JobId,
        job: &Job,
        occurrence: u32,
        queue: Option<&Queue>,
    ) -> Class {
        self.scheduling_key(wall_ms, id, job, occurrence, queue).class
    }

    /// Computes the scheduling key of one occurrence of a job.
    fn scheduling_key(
        &self,
        wall_ms: u64,
        id: JobId,
        job: &Job,
        occurrence: u32,
        queue: Option<&Queue>,
    ) -> SchedulingKey {
        let priority = queue.map_or(u32::MAX, |queue| queue.priority);
        let forecast = self.forecast(id, job, occurrence, queue);
        let since_ms = job.spec.due_at_ms(occurrence).max(job.accepted_at_ms);
        let ends_at_ms = wall_ms.saturating_add(forecast.remaining_ms);
        if ends_at_ms <= since_ms.saturating_add(forecast.objective_ms) {
            SchedulingKey { priority, class: Class::InTime, rank: forecast.cost_per_value }
        } else if ends_at_ms
            <= since_ms.saturating_add(forecast.objective_ms.saturating_mul(LATE_FACTOR))
        {
            SchedulingKey { priority, class: Class::Late, rank: forecast.cost_per_value }
        } else {
            SchedulingKey { priority, class: Class::Overdue, rank: since_ms }
        }
    }
}
