//! Which waiting tasks start next.
//!
//! Queues with a lower priority number go first; then tasks that last; then jobs that can still
//! meet their objective, by the time that is left; then the others in the order of their coming.

use super::Engine;
use super::placement::Demand;
use super::run::Run;
use crate::clock::Uptime;
use crate::job::command::JobCommand;
use crate::job::id::{PoolId, ServerId, StepId, TaskId};
use crate::job::plan::Queue;
use crate::job::resources::Resources;
use crate::job::spec::{JobSpec, StepSpec};
use crate::job::state::{Job, JobState, Step};
use std::collections::{BTreeMap, BTreeSet};

/// A step with tasks that wait.
struct Candidate<'a> {
    order: Order,
    id: StepId,
    job: &'a Job,
    spec: &'a StepSpec,
    step: &'a Step,
    pool: PoolId,
}

/// The order of candidates; the lowest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Order {
    priority: u32,
    class: Class,
    /// Milliseconds; the meaning depends on the class.
    by_ms: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Class {
    Lasting,
    InTime,
    Late,
}

impl Engine {
    /// Proposes starts while there is room.
    pub(super) fn schedule(&mut self, now: Uptime, wall_ms: u64, state: &JobState) {
        let mut open = self.open_servers(now, state);
        if open.is_empty() {
            return;
        }
        let mut candidates = candidates(wall_ms, state);
        candidates.sort_by_key(|candidate| candidate.order);
        let mut refused: BTreeMap<PoolId, Vec<Resources>> = BTreeMap::new();
        let mut starved = BTreeMap::new();
        for candidate in &candidates {
            let room = candidate.spec.room();
            let has_failed = refused
                .get(&candidate.pool)
                .is_some_and(|rooms| rooms.iter().any(|smaller| smaller.fits_in(&room)));
            if has_failed {
                continue;
            }
            let is_placed = if candidate.spec.is_gang {
                self.start_gang(now, candidate, &open, state)
            } else {
                self.start_tasks(now, candidate, &open, state)
            };
            if is_placed {
                continue;
            }
            if candidate.spec.is_lasting {
                self.reserve(now, candidate, &mut open, &mut starved);
            } else if is_plain(candidate.spec) {
                refused.entry(candidate.pool.clone()).or_default().push(room);
            }
        }
        self.starved_since = starved;
    }

    /// Starts the waiting tasks of a step; whether all found room.
    fn start_tasks(
        &mut self,
        now: Uptime,
        candidate: &Candidate<'_>,
        open: &BTreeSet<ServerId>,
        state: &JobState,
    ) -> bool {
        let demand =
            Demand { step: candidate.id, spec: candidate.spec, pool: &candidate.pool };
        for index in candidate.step.waiting() {
            let task = TaskId { step: candidate.id, index: *index };
            if self.runs.contains_key(&task) {
                continue;
            }
            if !self.has_allowance(candidate, 1, state) {
                return true;
            }
            let Some(server) = self.place(&demand, open) else { return false };
            let attempt = candidate.step.next_attempt(*index);
            self.propose_start(now, candidate.job, task, attempt, &server);
        }
        true
    }

    /// Starts all members of a gang, or none.
    fn start_gang(
        &mut self,
        now: Uptime,
        candidate: &Candidate<'_>,
        open: &BTreeSet<ServerId>,
        state: &JobState,
    ) -> bool {
        let members: Vec<_> = candidate.step.waiting().iter().copied().collect();
        let is_whole = members.len() == candidate.step.tasks().len();
        let tasks: Vec<_> =
            members.iter().map(|index| TaskId { step: candidate.id, index: *index }).collect();
        if !is_whole || tasks.iter().any(|task| self.runs.contains_key(task)) {
            return true;
        }
        let count = u64::from(candidate.spec.count);
        if !self.has_allowance(candidate, count, state) {
            return true;
        }
        for servers in self.gang_rooms(candidate.spec, open) {
            if self.start_members(now, candidate, &tasks, &servers) {
                return true;
            }
        }
        false
    }

    /// The sets of backend servers to try for a gang: each rack, then all.
    fn gang_rooms(&self, spec: &StepSpec, open: &BTreeSet<ServerId>) -> Vec<BTreeSet<ServerId>> {
        let mut rooms = Vec::new();
        if spec.prefers_one_rack {
            let mut racks: BTreeMap<_, BTreeSet<ServerId>> = BTreeMap::new();
            for id in open {
                let rack = self.servers.get(id).and_then(|server| server.record.rack());
                if let Some(rack) = rack {
                    racks.entry(rack.clone()).or_default().insert(id.clone());
                }
            }
            rooms.extend(racks.into_values());
        }
        rooms.push(open.clone());
        rooms
    }

    fn start_members(
        &mut self,
        now: Uptime,
        candidate: &Candidate<'_>,
        tasks: &[TaskId],
        servers: &BTreeSet<ServerId>,
    ) -> bool {
        let demand =
            Demand { step: candidate.id, spec: candidate.spec, pool: &candidate.pool };
        let attempt = candidate.step.next_attempt(0);
        let proposed = self.output.commands.len();
        for (number, task) in tasks.iter().enumerate() {
            let Some(server) = self.place(&demand, servers) else {
                self.output.commands.truncate(proposed);
                for started in &tasks[..number] {
                    self.remove_run(started);
                }
                return false;
            };
            self.propose_start(now, candidate.job, *task, attempt, &server);
        }
        true
    }

    fn propose_start(
        &mut self,
        now: Uptime,
        job: &Job,
        task: TaskId,
        attempt: u32,
        server: &ServerId,
    ) {
        let Some(life) = self.servers.get(server).map(|server| server.life().clone()) else {
            return;
        };
        let Some(mut run) = Run::of(job, &task, attempt, &life) else { return };
        run.started_at = now;
        self.add_run(task, run);
        self.output.commands.push(JobCommand::Start { task, attempt, server: life });
    }

    /// Whether the team of a job may have so many more of its tasks running.
    fn has_allowance(&self, candidate: &Candidate<'_>, count: u64, state: &JobState) -> bool {
        let Some(team) = &candidate.job.team else { return true };
        let limit = state.plan().and_then(|plan| plan.team(team)).map(|team| team.limit);
        let Some(limit) = limit else { return true };
        let one = candidate.spec.demand;
        let more = Resources {
            cpu_millis: one.cpu_millis.saturating_mul(count),
            memory_mb: one.memory_mb.saturating_mul(count),
            accelerators: one.accelerators.saturating_mul(count),
        };
        let used = self.used_by_team.get(team).copied().unwrap_or_default();
        used.plus(&more).is_within(&limit)
    }

    /// Keeps the backend server that is nearest to having room free for a task that lasts.
    fn reserve(
        &mut self,
        now: Uptime,
        candidate: &Candidate<'_>,
        open: &mut BTreeSet<ServerId>,
        starved: &mut BTreeMap<TaskId, Uptime>,
    ) {
        let demand =
            Demand { step: candidate.id, spec: candidate.spec, pool: &candidate.pool };
        let unplaced = candidate
            .step
            .waiting()
            .iter()
            .map(|index| TaskId { step: candidate.id, index: *index })
            .find(|task| !self.runs.contains_key(task));
        let Some(task) = unplaced else { return };
        let since = self.starved_since.get(&task).copied().unwrap_or(now);
        starved.insert(task, since);
        let suitable = open.iter().filter(|id| {
            self.servers.get(*id).is_some_and(|server| self.suits(&demand, server))
        });
        let nearest = suitable
            .max_by_key(|id| {
                let free = self.servers[*id].free();
                (free.memory_mb.min(candidate.spec.demand.memory_mb), free.cpu_millis)
            })
            .cloned();
        let Some(nearest) = nearest else { return };
        if now >= since + self.settings.preemption_pause {
            self.make_room(&nearest, &candidate.spec.room());
        }
        open.remove(&nearest);
    }

    /// Stops what does not last on a backend server until the given room is free.
    fn make_room(&mut self, id: &ServerId, room: &Resources) {
        let Some(server) = self.servers.get(id) else { return };
        let mut free = server.free();
        let mut stoppable: Vec<_> = server
            .runs
            .iter()
            .filter_map(|task| Some((*task, self.runs.get(task)?)))
            .filter(|(_, run)| !run.is_lasting)
            .collect();
        stoppable.sort_by_key(|(_, run)| {
            (!run.is_checkpointed, std::cmp::Reverse(run.started_at))
        });
        let mut stopped = Vec::new();
        for (task, run) in stoppable {
            if room.fits_in(&free) {
                break;
            }
            free = free.plus(&run.room);
            stopped.push(task);
        }
        if room.fits_in(&free) {
            for task in stopped {
                self.stop_run(&task);
            }
        }
    }
}

/// Whether a step that finds no room proves that larger ones find none either.
fn is_plain(spec: &StepSpec) -> bool {
    !spec.is_gang && spec.required_label.is_none() && spec.max_per_server == 0
}

fn candidates(wall_ms: u64, state: &JobState) -> Vec<Candidate<'_>> {
    let mut candidates = Vec::new();
    let Some(plan) = state.plan() else { return candidates };
    for (id, job) in state.active_jobs() {
        let queue = plan.queue(&job.queue);
        let pool = queue.map(|queue| &queue.pool).or(job.first_pool.as_ref());
        let Some(pool) = pool else { continue };
        for (number, occurrence) in (0..).zip(job.occurrences()) {
            let due_at_ms = job.spec.due_at_ms(number);
            if due_at_ms > wall_ms {
                break;
            }
            let since_ms = due_at_ms.max(job.accepted_at_ms);
            let order = order(wall_ms, queue, &job.spec, since_ms);
            for (step_number, step) in (0..).zip(&occurrence.steps) {
                let Some(spec) = job.step_spec(step_number) else { continue };
                if step.waiting().is_empty() || !occurrence.is_ready(spec) {
                    continue;
                }
                let class = if spec.is_lasting { Class::Lasting } else { order.class };
                candidates.push(Candidate {
                    order: Order { class, ..order },
                    id: StepId { job: *id, occurrence: number, step: step_number },
                    job,
                    spec,
                    step,
                    pool: pool.clone(),
                });
            }
        }
    }
    candidates
}

fn order(wall_ms: u64, queue: Option<&Queue>, spec: &JobSpec, since_ms: u64) -> Order {
    let priority = queue.map_or(u32::MAX, |queue| queue.priority);
    let chain_ms = longest_chain_ms(spec);
    let stretch = queue.map_or(1_000, |queue| queue.stretch_per_mille);
    let grace_ms = queue.map_or(0, |queue| queue.target_latency_ms);
    let objective_ms = chain_ms.saturating_mul(stretch) / 1_000 + grace_ms;
    let by_ms = since_ms.saturating_add(objective_ms);
    if wall_ms > by_ms {
        return Order { priority, class: Class::Late, by_ms: since_ms };
    }
    Order { priority, class: Class::InTime, by_ms }
}

/// The longest chain of dependent steps by their callers' estimates, in milliseconds.
pub(super) fn longest_chain_ms(spec: &JobSpec) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for step in &spec.steps {
        let end_of = |on: &u32| usize::try_from(*on).ok().and_then(|on| ends.get(on)).copied();
        let from = step.depends_on.iter().filter_map(end_of).max().unwrap_or(0);
        ends.push(from.saturating_add(step.estimate_ms));
    }
    ends.into_iter().max().unwrap_or(0)
}
