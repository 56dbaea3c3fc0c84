//! Which VMs serve which pool.
//!
//! The demand of a pool is what runs, what waits, and what comes in: VMs that are not needed go to a
//! pool that lacks some, or to a standby pool, and come back when the demand does. A VM moves only
//! once it is empty, and never one that runs what lasts.

use super::message::{Action, CallId, EngineEvent, ListedMachine, MachineAnswer, MachinePage};
use super::{Engine, PendingCall};
use crate::clock::Uptime;
use crate::job::command::JobCommand;
use crate::job::id::{DataCentreId, MachineId, PoolId, QueueId, ServerId};
use crate::job::resources::Resources;
use crate::job::spec::JobSpec;
use crate::job::state::{JobOutcome, JobState, MaintenancePhase};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The time between two looks at the demand.
const CAPACITY_INTERVAL: Duration = Duration::from_millis(150);

/// The time between two readings of the list of VMs.
const LIST_INTERVAL: Duration = Duration::from_secs(6);

/// How long what came in counts as what will come in.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(1_200);

/// The shorter time that shows a rise sooner.
const RISE_WINDOW: Duration = Duration::from_millis(300);

/// How long a pool must need fewer VMs before it gives one up to another pool.
const LEND_DELAY: Duration = Duration::from_millis(800);

/// How long a pool must need fewer VMs before one goes to standby; a move costs about as much as a
/// second of a VM, and a VM on standby is missing when the demand comes back.
const STANDBY_DELAY: Duration = Duration::from_secs(6);

/// The time between two log lines on a pool.
const NOTE_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long a VM may take to become empty, and to come up elsewhere.
const MOVE_TIME: Duration = Duration::from_millis(6_000);

/// The share of a pool's processors that is planned for, in percent.
const PLANNED_USE_PERCENT: u64 = 75;

/// The VMs that each pool keeps beyond those that what lasts must be spread over.
const SPARE_VMS: usize = 1;

/// A VM on its way to another pool.
#[derive(Clone, Debug)]
struct Move {
    to: PoolId,
    since: Uptime,
    is_ordered: bool,
    /// The server that leaves; it is forgotten once the VM has moved.
    from: Option<ServerId>,
}

/// What the leader knows of VMs and of the demand.
#[derive(Debug, Default)]
pub(super) struct CapacityView {
    moves: BTreeMap<MachineId, Move>,
    listed: BTreeMap<MachineId, ListedMachine>,
    reading: Vec<ListedMachine>,
    next_list_at: Uptime,
    next_plan_at: Uptime,
    /// Work that came in, in core-milliseconds, by pool and time.
    arrivals: BTreeMap<PoolId, Vec<(Uptime, u64)>>,
    new_arrivals: Vec<(PoolId, u64)>,
    /// Whether work that ends by itself has come in since this leader was elected.
    has_seen_demand: bool,
    /// The VMs that each pool should have before it lends one, and before one goes to standby.
    lend_above: BTreeMap<PoolId, Held>,
    keep_above: BTreeMap<PoolId, Held>,
    next_note_at: Uptime,
    /// Pools that can't take a VM.
    refused: BTreeSet<(MachineId, PoolId)>,
}

impl CapacityView {
    /// Whether a VM is on its way to another pool.
    pub(super) fn is_moving(&self, machine: &MachineId) -> bool {
        self.moves.contains_key(machine)
    }
}

/// A number that rises at once and falls only after a time.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    number: usize,
    until: Uptime,
}

impl Held {
    fn update(&mut self, now: Uptime, number: usize, delay: Duration) -> usize {
        if number >= self.number || now >= self.until {
            *self = Self { number, until: now + delay };
        }
        self.number
    }
}

/// What one pool has and needs.
#[derive(Debug, Default)]
struct PoolView {
    servers: Vec<ServerId>,
    coming: usize,
    capacity: Resources,
    /// What runs and ends by itself.
    used: Resources,
    /// What lasts.
    lasting: Resources,
    waiting: Resources,
    /// The VMs that what lasts must be spread over.
    spread: usize,
}

impl Engine {
    /// Notes work that came in.
    pub(super) fn note_demand(
        &mut self,
        queue: &QueueId,
        spec: &Arc<JobSpec>,
        outcome: &JobOutcome,
        state: &JobState,
    ) {
        let pool = state.plan().and_then(|plan| plan.queue(queue)).map(|queue| &queue.pool);
        let (Some(pool), JobOutcome::Submitted { is_new: true }) = (pool, outcome) else { return };
        let queue_name = queue;
        let finite = spec.steps.iter().filter(|step| !step.is_long_running && spec.times == 0);
        let work = finite.map(|step| {
            u64::from(step.count)
                .saturating_mul(step.reservation().cpu_millis)
                .saturating_mul(step.estimate_ms)
                / 1_000
        });
        let work = work.sum();
        if work > 0 {
            self.mean_work.note(queue_name, work);
        }
        self.capacity.new_arrivals.push((pool.clone(), work));
    }

    /// Moves VMs to where the demand is.
    pub(super) fn plan_capacity(&mut self, now: Uptime, state: &JobState) {
        for (pool, work) in std::mem::take(&mut self.capacity.new_arrivals) {
            self.capacity.has_seen_demand |= work > 0;
            self.capacity.arrivals.entry(pool).or_default().push((now, work));
        }
        if now < self.capacity.next_plan_at {
            return;
        }
        self.capacity.next_plan_at = now + CAPACITY_INTERVAL;
        let Some(plan) = state.plan() else { return };
        let standby = plan.pools().find(|pool| pool.is_standby).map(|pool| pool.name.clone());
        let is_early = now < self.elected_at + self.settings.maintenance_handover;
        if is_early {
            return;
        }
        if now >= self.capacity.next_list_at {
            self.capacity.next_list_at = now + LIST_INTERVAL;
            self.list_machines(None);
        }
        self.end_moves(now, state);
        let mut pools = self.pool_views(state);
        let wanted = self.wanted(now, &pools);
        self.grow(now, &mut pools, &wanted, standby.as_ref(), state);
        if let Some(standby) = standby.as_ref().filter(|_| self.capacity.has_seen_demand) {
            self.shrink(now, &pools, standby, state);
            self.shelve(now, standby, state);
        }
        self.order_moves(now);
    }

    fn list_machines(&mut self, page: Option<Arc<str>>) {
        let call = self.call(PendingCall::ListMachines);
        self.output.actions.push(Action::ListMachines { call, page });
    }

    /// Takes a page of the list of VMs.
    pub fn handle_machine_page(&mut self, _now: Uptime, call: CallId, page: Option<MachinePage>) {
        if self.calls.remove(&call) != Some(PendingCall::ListMachines) {
            return;
        }
        let Some(page) = page else {
            self.capacity.reading.clear();
            return;
        };
        self.capacity.reading.extend(page.machines);
        if page.next.is_some() {
            self.list_machines(page.next);
            return;
        }
        let reading = std::mem::take(&mut self.capacity.reading);
        let mut counts: BTreeMap<PoolId, (usize, usize)> = BTreeMap::new();
        for listed in &reading {
            let (count, up) = counts.entry(listed.pool.clone()).or_default();
            *count += 1;
            *up += usize::from(listed.is_up);
        }
        for (pool, (count, up)) in counts {
            self.output.events.push(EngineEvent::Machines { pool, count, up });
        }
        self.capacity.listed =
            reading.into_iter().map(|listed| (listed.machine.clone(), listed)).collect();
    }

    fn pool_views(&self, state: &JobState) -> BTreeMap<PoolId, PoolView> {
        let mut pools: BTreeMap<PoolId, PoolView> = BTreeMap::new();
        let Some(plan) = state.plan() else { return pools };
        for pool in plan.pools().filter(|pool| !pool.is_standby) {
            pools.insert(pool.name.clone(), PoolView::default());
        }
        for (id, server) in &self.servers {
            let Some(view) = pools.get_mut(&server.record.pool) else { continue };
            if server.is_failing || !self.may_start_on(server, state) {
                continue;
            }
            view.servers.push(id.clone());
            view.capacity = view.capacity.saturating_add(&server.record.capacity);
            for run in server.runs.iter().filter_map(|task| self.runs.get(task)) {
                if run.is_long_running {
                    view.lasting = view.lasting.saturating_add(&run.reservation);
                } else {
                    view.used = view.used.saturating_add(&run.reservation);
                }
            }
        }
        for (machine, moving) in &self.capacity.moves {
            let is_here = self.servers.values().any(|server| {
                server.record.machine.as_ref() == Some(machine) && server.record.pool == moving.to
            });
            if let Some(view) = pools.get_mut(&moving.to)
                && !is_here
            {
                view.coming += 1;
            }
        }
        self.add_waiting(&mut pools, state);
        pools
    }

    fn add_waiting(&self, pools: &mut BTreeMap<PoolId, PoolView>, state: &JobState) {
        let Some(plan) = state.plan() else { return };
        for (_, job) in state.active_jobs() {
            let queue = plan.queue(&job.queue);
            let pool = queue.map(|queue| &queue.pool).or(job.submission_pool.as_ref());
            let Some(view) = pool.and_then(|pool| pools.get_mut(pool)) else { continue };
            for (number, occurrence) in (0..).zip(job.occurrences()) {
                if job.spec.due_at_ms(number) > self.wall_ms {
                    break;
                }
                for (step, spec) in occurrence.steps.iter().zip(&job.spec.steps) {
                    if spec.is_long_running {
                        let per_server = spec.max_per_server.max(1);
                        let spread = spec.count.div_ceil(per_server);
                        view.spread = view.spread.max(usize::try_from(spread).unwrap_or(0));
                    }
                    if !occurrence.is_ready(spec) {
                        continue;
                    }
                    let room = spec.reservation();
                    for _ in step.waiting() {
                        view.waiting = view.waiting.saturating_add(&room);
                    }
                }
            }
        }
    }

    /// The VMs that each pool should have; a higher number counts for a while.
    fn wanted(
        &mut self,
        now: Uptime,
        pools: &BTreeMap<PoolId, PoolView>,
    ) -> BTreeMap<PoolId, usize> {
        let mut wanted = BTreeMap::new();
        for (pool, view) in pools {
            let arriving = self.arriving(now, pool);
            let one = self.typical_capacity(view);
            let present = view.used.saturating_add(&view.waiting);
            let cpu = view.lasting.cpu_millis + present.cpu_millis.max(arriving);
            let memory = view.lasting.memory_mb + present.memory_mb;
            let by_cpu = needed(cpu, one.cpu_millis);
            let by_memory = needed(memory, one.memory_mb);
            let least = view.spread + SPARE_VMS;
            let need = by_cpu.max(by_memory).max(least);
            let held = self.capacity.lend_above.entry(pool.clone()).or_default();
            wanted.insert(pool.clone(), held.update(now, need, LEND_DELAY));
            let kept = self.capacity.keep_above.entry(pool.clone()).or_default();
            if kept.number == 0 {
                *kept = Held { number: view.servers.len(), until: now + STANDBY_DELAY };
            }
            kept.update(now, need, STANDBY_DELAY);
            if now >= self.capacity.next_note_at {
                self.output.events.push(EngineEvent::Capacity {
                    pool: pool.clone(),
                    has: view.servers.len(),
                    coming: view.coming,
                    wanted: need,
                    long_running_cpu_millis: view.lasting.cpu_millis,
                    running_cpu_millis: view.used.cpu_millis,
                    waiting_cpu_millis: view.waiting.cpu_millis,
                    arriving_cpu_millis: arriving,
                });
            }
        }
        if now >= self.capacity.next_note_at {
            self.capacity.next_note_at = now + NOTE_INTERVAL;
        }
        wanted
    }

    /// Processors that the work of the last moments needs if it goes on coming in, in thousandths.
    fn arriving(&mut self, now: Uptime, pool: &PoolId) -> u64 {
        let Some(arrivals) = self.capacity.arrivals.get_mut(pool) else { return 0 };
        arrivals.retain(|(at, _)| now < *at + ARRIVAL_WINDOW);
        let rate = |window: Duration| {
            let recent = arrivals.iter().filter(|(at, _)| now < *at + window);
            let work: u64 = recent.map(|(_, work)| work).sum();
            work.saturating_mul(1_000) / u64::try_from(window.as_millis()).unwrap_or(u64::MAX)
        };
        rate(ARRIVAL_WINDOW).max(rate(RISE_WINDOW))
    }

    fn typical_capacity(&self, view: &PoolView) -> Resources {
        let count = u64::try_from(view.servers.len()).unwrap_or(u64::MAX);
        let each = |amount: u64| amount.checked_div(count);
        let typical = each(view.capacity.cpu_millis).zip(each(view.capacity.memory_mb));
        if let Some((cpu_millis, memory_mb)) = typical {
            return Resources { cpu_millis, memory_mb, ..Resources::default() };
        }
        let any = self.servers.values().next();
        any.map_or_else(Resources::default, |server| server.record.capacity)
    }

    /// Gives pools that lack VMs those that others can spare, then those on standby.
    fn grow(
        &mut self,
        now: Uptime,
        pools: &mut BTreeMap<PoolId, PoolView>,
        wanted: &BTreeMap<PoolId, usize>,
        standby: Option<&PoolId>,
        state: &JobState,
    ) {
        let mut lacking: Vec<_> = pools
            .iter()
            .filter_map(|(pool, view)| {
                let has = view.servers.len() + view.coming;
                let lacks = wanted.get(pool)?.checked_sub(has)?;
                (lacks > 0).then(|| (std::cmp::Reverse(lacks), pool.clone()))
            })
            .collect();
        lacking.sort();
        for (std::cmp::Reverse(lacks), pool) in lacking {
            for _ in 0..lacks {
                let found = self
                    .spare_of_others(pools, wanted, &pool, state)
                    .or_else(|| self.on_standby(standby, &pool, state));
                let Some(machine) = found else { break };
                self.start_move(now, &machine, &pool);
                for view in pools.values_mut() {
                    let servers = &self.servers;
                    view.servers.retain(|id| {
                        servers
                            .get(id)
                            .is_some_and(|server| server.record.machine.as_ref() != Some(&machine))
                    });
                }
                if let Some(view) = pools.get_mut(&pool) {
                    view.coming += 1;
                }
            }
        }
    }

    /// Sends VMs that no pool needs to standby.
    fn shrink(
        &mut self,
        now: Uptime,
        pools: &BTreeMap<PoolId, PoolView>,
        standby: &PoolId,
        state: &JobState,
    ) {
        for (pool, view) in pools {
            let kept = self.capacity.keep_above.get(pool).map_or(0, |held| held.number);
            let surplus = (view.servers.len() + view.coming).saturating_sub(kept);
            for machine in self.movable(view, standby, state).into_iter().take(surplus) {
                self.start_move(now, &machine, standby);
            }
        }
    }

    /// Sends VMs of data centres where nothing may start to standby once they are empty.
    fn shelve(&mut self, now: Uptime, standby: &PoolId, state: &JobState) {
        let is_idle = |server: &&super::Server| {
            let record = &server.record;
            state.data_centres_out_of_service().contains(&record.data_centre)
                && server.runs.is_empty()
                && !server.is_failing
                && !record.is_draining
        };
        let idle: Vec<_> = self
            .servers
            .values()
            .filter(is_idle)
            .filter_map(|server| server.record.machine.clone())
            .filter(|machine| self.may_move(machine, standby, state))
            .collect();
        for machine in idle {
            self.start_move(now, &machine, standby);
        }
    }

    fn spare_of_others(
        &self,
        pools: &BTreeMap<PoolId, PoolView>,
        wanted: &BTreeMap<PoolId, usize>,
        to: &PoolId,
        state: &JobState,
    ) -> Option<MachineId> {
        let mut spare = Vec::new();
        for (pool, view) in pools.iter().filter(|(pool, _)| *pool != to) {
            let surplus = view.servers.len().saturating_sub(wanted.get(pool).copied().unwrap_or(0));
            if surplus > 0 {
                let machine = self.movable(view, to, state).into_iter().next();
                spare.extend(machine.map(|machine| (std::cmp::Reverse(surplus), machine)));
            }
        }
        spare.sort();
        spare.into_iter().next().map(|(_, machine)| machine)
    }

    /// The VMs of a pool that can go elsewhere, those that are empty soonest first.
    fn movable(&self, view: &PoolView, to: &PoolId, state: &JobState) -> Vec<MachineId> {
        let mut movable: Vec<_> = view
            .servers
            .iter()
            .filter_map(|id| {
                let server = self.servers.get(id)?;
                let machine = server.record.machine.clone()?;
                let has_lasting = server
                    .runs
                    .iter()
                    .any(|task| self.runs.get(task).is_none_or(|run| run.is_long_running));
                let is_free = !has_lasting && self.may_move(&machine, to, state);
                is_free.then_some((server.used.cpu_millis, machine))
            })
            .collect();
        movable.sort();
        movable.into_iter().map(|(_, machine)| machine).collect()
    }

    fn on_standby(
        &self,
        standby: Option<&PoolId>,
        to: &PoolId,
        state: &JobState,
    ) -> Option<MachineId> {
        let standby = standby?;
        let is_out = |id: &DataCentreId| state.data_centres_out_of_service().contains(id);
        self.capacity
            .listed
            .values()
            .find(|listed| {
                listed.pool == *standby
                    && listed.is_up
                    && !is_out(&listed.data_centre)
                    && self.may_move(&listed.machine, to, state)
            })
            .map(|listed| listed.machine.clone())
    }

    /// Whether a VM is in a pool whose VMs are off.
    pub(super) fn is_on_standby(&self, machine: &MachineId, state: &JobState) -> bool {
        let pool = self.capacity.listed.get(machine).map(|listed| &listed.pool);
        let pool = pool.and_then(|pool| state.plan()?.pool(pool));
        pool.is_some_and(|pool| pool.is_standby)
    }

    fn may_move(&self, machine: &MachineId, to: &PoolId, state: &JobState) -> bool {
        let is_down = |upkeep: &MaintenancePhase| {
            matches!(upkeep, MaintenancePhase::Ordered | MaintenancePhase::Down)
        };
        let is_in_upkeep =
            state.waves().values().any(|wave| wave.machines().get(machine).is_some_and(is_down));
        !self.is_closing(machine)
            && !is_in_upkeep
            && !self.capacity.refused.contains(&(machine.clone(), to.clone()))
    }

    fn start_move(&mut self, now: Uptime, machine: &MachineId, to: &PoolId) {
        let from = self
            .servers
            .iter()
            .find(|(_, server)| server.record.machine.as_ref() == Some(machine))
            .map(|(id, _)| id.clone());
        let moving = Move { to: to.clone(), since: now, is_ordered: false, from };
        self.capacity.moves.insert(machine.clone(), moving);
    }

    /// Orders the moves of VMs that are empty.
    fn order_moves(&mut self, now: Uptime) {
        let ready: Vec<_> = self
            .capacity
            .moves
            .iter()
            .filter(|(_, moving)| !moving.is_ordered)
            .filter(|(_, moving)| {
                let server = moving.from.as_ref().and_then(|id| self.servers.get(id));
                server.is_none_or(|server| server.runs.is_empty())
            })
            .map(|(machine, moving)| (machine.clone(), moving.to.clone()))
            .collect();
        for (machine, pool) in ready {
            if let Some(moving) = self.capacity.moves.get_mut(&machine) {
                moving.is_ordered = true;
                moving.since = now;
            }
            let call = self.call(PendingCall::Move { machine: machine.clone() });
            let fence = self.term.get();
            self.output.actions.push(Action::Move { call, fence, machine, pool });
        }
    }

    pub(super) fn note_move(&mut self, now: Uptime, machine: &MachineId, answer: MachineAnswer) {
        let Some(moving) = self.capacity.moves.get(machine).cloned() else { return };
        let pool = Some(moving.to.clone());
        let machine_id = machine.clone();
        self.output.events.push(EngineEvent::MachineAnswered { machine: machine_id, pool, answer });
        match answer {
            MachineAnswer::Accepted => {
                if let Some(listed) = self.capacity.listed.get_mut(machine) {
                    listed.pool = moving.to.clone();
                    listed.is_up = false;
                }
                let left = moving.from.as_ref().and_then(|id| self.servers.get_mut(id));
                if let Some(server) = left {
                    server.left_at.get_or_insert(now);
                    let incarnation = server.incarnation().clone();
                    self.output.commands.push(JobCommand::ServerGone(incarnation));
                }
            }
            MachineAnswer::Unknown => {
                self.capacity.refused.insert((machine.clone(), moving.to));
                self.capacity.moves.remove(machine);
            }
            MachineAnswer::Busy | MachineAnswer::Fenced | MachineAnswer::Lost => {
                // Whether a lost order was carried out shows in who announces itself next.
                self.capacity.moves.remove(machine);
                self.capacity.next_list_at = now;
            }
        }
    }

    /// Ends moves that have arrived, or that take too long.
    fn end_moves(&mut self, now: Uptime, state: &JobState) {
        let has_arrived = |machine: &MachineId, moving: &Move| {
            self.servers.iter().any(|(id, server)| {
                server.record.machine.as_ref() == Some(machine)
                    && server.record.pool == moving.to
                    && Some(id) != moving.from.as_ref()
                    && server.answered_at.is_some()
            })
        };
        let is_standby = |pool: &PoolId| {
            state.plan().and_then(|plan| plan.pool(pool)).is_some_and(|pool| pool.is_standby)
        };
        let over: Vec<_> = self
            .capacity
            .moves
            .iter()
            .filter(|(machine, moving)| {
                let is_off = moving.is_ordered
                    && is_standby(&moving.to)
                    && now >= moving.since + MOVE_TIME / 3;
                has_arrived(machine, moving) || is_off || now >= moving.since + MOVE_TIME
            })
            .map(|(machine, moving)| (machine.clone(), moving.to.clone()))
            .collect();
        for (machine, to) in over {
            self.capacity.moves.remove(&machine);
            if let Some(listed) = self.capacity.listed.get_mut(&machine) {
                listed.is_up = listed.pool == to;
            }
        }
    }
}

/// The number of VMs that an amount needs at the planned use.
fn needed(amount: u64, one: u64) -> usize {
    let planned = (one.saturating_mul(PLANNED_USE_PERCENT) / 100).max(1);
    usize::try_from(amount.div_ceil(planned)).unwrap_or(usize::MAX)
}
