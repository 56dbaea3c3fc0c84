//! Which waiting tasks start next.
//!
//! Queues with a lower priority number go first; then tasks that last; then jobs that can still
//! meet their objective, those first that bring most for the processor time that they still need;
//! then those that are late but still bring a little; then the others in the order of their coming.

use super::Engine;
use super::open_room::OpenRoom;
use super::placement::Demand;
use super::run::Run;
use crate::clock::Uptime;
use crate::job::command::JobCommand;
use crate::job::id::{JobId, PoolId, ServerId, StepId, TaskId};
use crate::job::plan::{AdviserTiming, Queue};
use crate::job::resources::Resources;
use crate::job::spec::StepSpec;
use crate::job::state::{Job, JobState, Step};
use std::collections::{BTreeMap, BTreeSet};

/// Up to this multiple of its objective a job still brings a little.
const LATE_FACTOR: u64 = 3;

/// A step whose tasks wait for nothing but room.
struct Ready<'a> {
    id: StepId,
    job: &'a Job,
    spec: &'a StepSpec,
    step: &'a Step,
    queue: Option<&'a Queue>,
    pool: &'a PoolId,
}

impl Ready<'_> {
    /// Whether to look for room: a task that lasts makes room, and tickets are asked for before.
    fn may_find_room(&self, room: &OpenRoom) -> bool {
        self.spec.is_long_running
            || self.queue.is_some_and(|queue| queue.advice.is_some())
            || room.may_hold(self.pool, &self.spec.reservation())
    }
}

/// A step that may find room, and where it stands among the others.
struct Candidate<'a> {
    order: Order,
    id: StepId,
    job: &'a Job,
    spec: &'a StepSpec,
    step: &'a Step,
    pool: &'a PoolId,
    advice: Option<&'a AdviserTiming>,
}

impl Candidate<'_> {
    /// What a placement of one of its tasks has to respect.
    const fn demand(&self) -> Demand<'_> {
        Demand { step: self.id, spec: self.spec, pool: self.pool }
    }
}

/// The order of candidates; the lowest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Order {
    priority: u32,
    class: Class,
    /// The lowest goes first; the meaning depends on the class.
    rank: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Class {
    Lasting,
    InTime,
    Late,
    /// Too late to bring anything.
    Overdue,
}

impl Engine {
    /// Proposes starts while there is room.
    pub(super) fn schedule(&mut self, now: Uptime, wall_ms: u64, state: &JobState) {
        let ready = ready_steps(wall_ms, state);
        let mut room = OpenRoom::default();
        if !ready.is_empty() {
            room = self.open_room(now, state);
            if room.is_empty() {
                return;
            }
        }
        let candidates = self.candidates(wall_ms, &ready, &room);
        let mut refused: BTreeMap<&PoolId, Vec<Resources>> = BTreeMap::new();
        let mut starved = BTreeMap::new();
        for candidate in &candidates {
            if room.is_spent() {
                break;
            }
            let wanted = candidate.spec.reservation();
            let has_failed = refused
                .get(candidate.pool)
                .is_some_and(|rooms| rooms.iter().any(|smaller| smaller.fits_in(&wanted)));
            if has_failed {
                continue;
            }
            let advised = candidate.advice.map(|terms| {
                let demand = candidate.demand();
                let is_suitable = |id: &&ServerId| {
                    self.servers.get(*id).is_some_and(|server| self.suits(&demand, server))
                };
                let suitable = room.of_pool(candidate.pool).filter(is_suitable).cloned().collect();
                self.advised(now, candidate.id, terms, &suitable)
            });
            let within = advised.as_ref();
            let is_placed = if candidate.spec.is_gang {
                self.start_gang(now, candidate, &mut room, within, state)
            } else {
                self.start_tasks(now, candidate, &mut room, within, state)
            };
            if is_placed {
                continue;
            }
            if advised.is_some() {
                // Room elsewhere may be free; only the tickets are missing.
                continue;
            }
            if candidate.spec.is_long_running {
                self.reserve(now, candidate, &mut room, &mut starved);
            } else if is_plain(candidate.spec) {
                refused.entry(candidate.pool).or_default().push(wanted);
            }
        }
        if room.is_spent() {
            // What this round did not come to has waited on.
            self.is_schedule_due = true;
            self.starved_since.append(&mut starved);
        } else {
            self.starved_since = starved;
        }
        let advised = candidates.iter().filter(|candidate| candidate.advice.is_some());
        let waiting = advised.map(|candidate| candidate.id).collect();
        self.forget_advice(&waiting);
    }

    /// Starts the waiting tasks of a step; whether all found room.
    fn start_tasks(
        &mut self,
        now: Uptime,
        candidate: &Candidate<'_>,
        room: &mut OpenRoom,
        within: Option<&BTreeSet<ServerId>>,
        state: &JobState,
    ) -> bool {
        let demand = candidate.demand();
        for index in candidate.step.waiting() {
            let task = TaskId { step: candidate.id, index: *index };
            if self.runs.contains_key(&task) {
                continue;
            }
            if room.is_spent() || self.over_limit(candidate.job, candidate.spec, 1, state).is_some()
            {
                return true;
            }
            let Some(server) = self.place(&demand, room, within) else { return false };
            let attempt = candidate.step.next_attempt(*index);
            self.propose_start(now, candidate.job, task, attempt, &server);
            self.update_room(room, &server);
            room.count_starts(1);
        }
        true
    }

    /// Starts all members of a gang, or none.
    fn start_gang(
        &mut self,
        now: Uptime,
        candidate: &Candidate<'_>,
        room: &mut OpenRoom,
        within: Option<&BTreeSet<ServerId>>,
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
        if self.over_limit(candidate.job, candidate.spec, count, state).is_some() {
            return true;
        }
        for rack in self.gang_racks(candidate, room, within) {
            if self.start_members(now, candidate, &tasks, room, Some(&rack)) {
                return true;
            }
        }
        self.start_members(now, candidate, &tasks, room, within)
    }

    /// The racks to try for a gang before all backend servers, where its members are better together.
    fn gang_racks(
        &self,
        candidate: &Candidate<'_>,
        room: &OpenRoom,
        within: Option<&BTreeSet<ServerId>>,
    ) -> Vec<BTreeSet<ServerId>> {
        let mut racks: BTreeMap<_, BTreeSet<ServerId>> = BTreeMap::new();
        if candidate.spec.prefers_one_rack {
            let allowed = room.of_pool(candidate.pool);
            for id in allowed.filter(|id| within.is_none_or(|within| within.contains(*id))) {
                let rack = self.servers.get(id).and_then(|server| server.record.rack());
                if let Some(rack) = rack {
                    racks.entry(rack.clone()).or_default().insert(id.clone());
                }
            }
        }
        racks.into_values().collect()
    }

    fn start_members(
        &mut self,
        now: Uptime,
        candidate: &Candidate<'_>,
        tasks: &[TaskId],
        room: &mut OpenRoom,
        within: Option<&BTreeSet<ServerId>>,
    ) -> bool {
        let demand = candidate.demand();
        let attempt = candidate.step.next_attempt(0);
        let proposed = self.output.commands.len();
        let mut chosen = Vec::new();
        for task in tasks {
            let Some(server) = self.place(&demand, room, within) else {
                self.output.commands.truncate(proposed);
                for (started, server) in chosen {
                    self.remove_run(&started);
                    self.update_room(room, &server);
                }
                return false;
            };
            self.propose_start(now, candidate.job, *task, attempt, &server);
            self.update_room(room, &server);
            chosen.push((*task, server));
        }
        room.count_starts(tasks.len());
        true
    }

    fn update_room(&self, room: &mut OpenRoom, id: &ServerId) {
        if let Some(server) = self.servers.get(id) {
            room.update(id, server);
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

    /// Keeps the backend server that is nearest to having room free for a task that lasts.
    fn reserve(
        &mut self,
        now: Uptime,
        candidate: &Candidate<'_>,
        room: &mut OpenRoom,
        starved: &mut BTreeMap<TaskId, Uptime>,
    ) {
        let demand = candidate.demand();
        let unplaced = candidate
            .step
            .waiting()
            .iter()
            .map(|index| TaskId { step: candidate.id, index: *index })
            .find(|task| !self.runs.contains_key(task));
        let Some(task) = unplaced else { return };
        let since = self.starved_since.get(&task).copied().unwrap_or(now);
        starved.insert(task, since);
        let suitable = room
            .of_pool(candidate.pool)
            .filter(|id| self.servers.get(*id).is_some_and(|server| self.suits(&demand, server)));
        let nearest = suitable
            .max_by_key(|id| {
                let free = self.servers[*id].free();
                (free.memory_mb.min(candidate.spec.demand.memory_mb), free.cpu_millis)
            })
            .cloned();
        let Some(nearest) = nearest else { return };
        if now >= since + self.settings.preemption_delay {
            self.make_room(&nearest, &candidate.spec.reservation());
        }
        room.remove(candidate.pool, &nearest);
    }

    /// Stops what does not last on a backend server until the given room is free.
    fn make_room(&mut self, id: &ServerId, room: &Resources) {
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
            if room.fits_in(&free) {
                break;
            }
            free = free.saturating_add(&run.reservation);
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

/// The steps that are due and wait for nothing but room, job by job.
fn ready_steps(wall_ms: u64, state: &JobState) -> Vec<Ready<'_>> {
    let mut ready = Vec::new();
    let Some(plan) = state.plan() else { return ready };
    for (id, job) in state.active_jobs() {
        let queue = plan.queue(&job.queue);
        let pool = queue.map(|queue| &queue.pool).or(job.submission_pool.as_ref());
        let Some(pool) = pool else { continue };
        for (number, occurrence) in (0..).zip(job.occurrences()) {
            if job.spec.due_at_ms(number) > wall_ms {
                break;
            }
            for (step_number, (step, spec)) in
                (0..).zip(occurrence.steps.iter().zip(&job.spec.steps))
            {
                if !step.waiting().is_empty() && occurrence.is_ready(spec) {
                    let id = StepId { job: *id, occurrence: number, step: step_number };
                    ready.push(Ready { id, job, spec, step, queue, pool });
                }
            }
        }
    }
    ready
}

impl Engine {
    /// The steps that may find room, in their order.
    ///
    /// When much waits, most finds none: its order, which costs more than this look, is not worked out.
    fn candidates<'a>(
        &self,
        wall_ms: u64,
        ready: &[Ready<'a>],
        room: &OpenRoom,
    ) -> Vec<Candidate<'a>> {
        let may_start = ready.iter().filter(|ready| ready.may_find_room(room));
        let candidate = |ready: &Ready<'a>| {
            let order =
                self.order(wall_ms, ready.id.job, ready.job, ready.id.occurrence, ready.queue);
            let class = if ready.spec.is_long_running { Class::Lasting } else { order.class };
            Candidate {
                order: Order { class, ..order },
                id: ready.id,
                job: ready.job,
                spec: ready.spec,
                step: ready.step,
                pool: ready.pool,
                advice: ready.queue.and_then(|queue| queue.advice.as_ref()),
            }
        };
        let mut candidates: Vec<_> = may_start.map(candidate).collect();
        candidates.sort_by_key(|candidate| candidate.order);
        candidates
    }

    /// Where a job stands among the others that wait.
    fn order(
        &self,
        wall_ms: u64,
        id: JobId,
        job: &Job,
        number: u32,
        queue: Option<&Queue>,
    ) -> Order {
        let priority = queue.map_or(u32::MAX, |queue| queue.priority);
        let outlook = self.outlook(id, job, number, queue);
        let since_ms = job.spec.due_at_ms(number).max(job.accepted_at_ms);
        let ends_at_ms = wall_ms.saturating_add(outlook.remaining_ms);
        if ends_at_ms <= since_ms + outlook.objective_ms {
            Order { priority, class: Class::InTime, rank: outlook.cost_per_worth }
        } else if ends_at_ms <= since_ms + outlook.objective_ms * LATE_FACTOR {
            Order { priority, class: Class::Late, rank: outlook.cost_per_worth }
        } else {
            Order { priority, class: Class::Overdue, rank: since_ms }
        }
    }
}
