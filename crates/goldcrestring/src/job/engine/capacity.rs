//! Assignment of VMs to pools.
//!
//! The demand of a pool is the sum of its running, waiting and arriving work. Where the pools together
//! want more VMs than there are, `division` says how many each gets. VMs that a pool does not need move
//! to a pool with a shortage or to a standby pool, and return when demand rises. A VM moves only once it
//! is empty; VMs that run long-running tasks don't move.

mod division;
mod moves;

use self::division::{Level, Want, divide};
use self::moves::Move;
use super::message::{Action, CallId, EngineEvent, ListedMachine, MachinePage};
use super::schedule::Class;
use super::{Engine, PendingCall};
use crate::clock::Uptime;
use crate::job::id::{DataCentreId, MachineId, PoolId, QueueId, ServerId};
use crate::job::resources::Resources;
use crate::job::spec::JobSpec;
use crate::job::state::{JobOutcome, JobState, MaintenancePhase};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The maximum number of VMs that a pool wants, however much work its callers say there is.
const MAX_MACHINES: usize = 1 << 20;

/// The interval between two evaluations of demand.
const PLAN_INTERVAL: Duration = Duration::from_millis(150);

/// The interval between two reads of the list of VMs.
const LIST_INTERVAL: Duration = Duration::from_secs(6);

/// The window over which arrivals predict further arrivals.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(1_200);

/// A shorter window, which reacts sooner to a rise in arrivals.
const SHORT_ARRIVAL_WINDOW: Duration = Duration::from_millis(300);

/// How long a pool must need fewer VMs before it gives one to another pool.
const REASSIGN_DELAY: Duration = Duration::from_millis(800);

/// The share of a pool's VMs, in percent, by which it may fall short before it takes one from another
/// pool that has more than its part. Keeps small changes of demand from moving VMs to and fro.
const DIVISION_TOLERANCE_PERCENT: usize = 3;

/// How long a pool must need fewer VMs before one moves to standby. A move costs about as much as
/// one second of a VM, and a VM on standby is missing when demand returns.
const STANDBY_DELAY: Duration = Duration::from_secs(6);

/// The minimum interval between two capacity events for the log.
const LOG_INTERVAL: Duration = Duration::from_millis(1_000);

/// The utilization at which a pool's capacity is planned, in percent.
const TARGET_UTILIZATION_PERCENT: u64 = 75;

/// The number of VMs that each pool keeps beyond those over which its long-running tasks must be
/// spread.
const SPARE_VMS: usize = 1;

/// VMs, their moves, and the demand of the pools.
#[derive(Debug, Default)]
pub(super) struct CapacityState {
    moves: BTreeMap<MachineId, Move>,
    /// The VMs in the last complete list of the platform.
    listed: BTreeMap<MachineId, ListedMachine>,
    /// The pages received so far of the list that is being read.
    partial_list: Vec<ListedMachine>,
    next_list_at: Uptime,
    next_plan_at: Uptime,
    /// Arrived work by pool, in core-milliseconds, with its time of arrival.
    arrivals: BTreeMap<PoolId, Vec<(Uptime, u64)>>,
    /// Arrived work since the last evaluation, in core-milliseconds.
    new_arrivals: Vec<(PoolId, u64)>,
    /// When batch work first arrived since this leader was elected. Until it has observed demand
    /// for [`STANDBY_DELAY`], no VM moves to standby.
    demand_since: Option<Uptime>,
    /// The number of VMs above which a pool gives VMs to other pools.
    reassign_threshold: BTreeMap<PoolId, PeakHold>,
    /// The number of VMs above which a pool moves VMs to standby.
    standby_threshold: BTreeMap<PoolId, PeakHold>,
    next_log_at: Uptime,
    /// Moves that the platform rejected.
    refused: BTreeSet<(MachineId, PoolId)>,
}

impl CapacityState {
    /// Whether a VM is moving to another pool.
    pub(super) fn is_moving(&self, machine: &MachineId) -> bool {
        self.moves.contains_key(machine)
    }
}

/// Holds the peak of a value: follows a rise at once and a fall only after a delay.
#[derive(Clone, Copy, Debug, Default)]
struct PeakHold {
    value: usize,
    held_until: Uptime,
}

impl PeakHold {
    fn update(&mut self, now: Uptime, value: usize, delay: Duration) -> usize {
        if value >= self.value || now >= self.held_until {
            *self = Self { value, held_until: now + delay };
        }
        self.value
    }
}

/// Capacity and demand of one pool.
#[derive(Debug, Default)]
struct PoolUsage {
    /// The backend servers that respond and on which tasks may start.
    servers: Vec<ServerId>,
    /// The number of VMs that are moving to the pool.
    incoming: usize,
    /// The total capacity of `servers`.
    capacity: Resources,
    /// Reserved by runs of batch tasks.
    used: Resources,
    /// Reserved by runs of long-running tasks.
    long_running: Resources,
    /// Demanded by waiting tasks that are due and whose dependencies are done and that can meet their
    /// objective.
    waiting_in_time: Resources,
    /// Demanded by waiting tasks that are late and still worth something.
    waiting_late: Resources,
    /// Demanded by all other waiting tasks.
    waiting_overdue: Resources,
    /// The number of VMs over which long-running tasks must be spread.
    required_servers: usize,
}

/// A pool that has more VMs than its part.
struct Donor {
    pool: PoolId,
    /// The VMs that it may give; the last one first.
    machines: Vec<MachineId>,
}

impl Engine {
    /// Records the work of a newly submitted job, in core-milliseconds.
    pub(super) fn record_arrival(
        &mut self,
        queue: &QueueId,
        spec: &Arc<JobSpec>,
        outcome: &JobOutcome,
        state: &JobState,
    ) {
        let pool = state.plan().and_then(|plan| plan.queue(queue)).map(|queue| &queue.pool);
        let (Some(pool), JobOutcome::Submitted { is_new: true }) = (pool, outcome) else { return };
        let queue_id = queue;
        let batch_steps = spec.steps.iter().filter(|step| !step.is_long_running && spec.times == 0);
        let work = batch_steps.map(|step| {
            u64::from(step.count)
                .saturating_mul(step.reservation().cpu_millis)
                .saturating_mul(step.estimate_ms)
                / 1_000
        });
        let work = work.sum();
        if work > 0 {
            self.mean_work.record(queue_id, work);
        }
        self.capacity.new_arrivals.push((pool.clone(), work));
    }

    /// Evaluates the demand of all pools and moves VMs between them, at most once per
    /// [`PLAN_INTERVAL`].
    pub(super) fn plan_capacity(&mut self, now: Uptime, state: &JobState) {
        for (pool, work) in std::mem::take(&mut self.capacity.new_arrivals) {
            if work > 0 {
                self.capacity.demand_since.get_or_insert(now);
            }
            self.capacity.arrivals.entry(pool).or_default().push((now, work));
        }
        if now < self.capacity.next_plan_at {
            return;
        }
        self.capacity.next_plan_at = now + PLAN_INTERVAL;
        let Some(plan) = state.plan() else { return };
        let standby = plan.pools().find(|pool| pool.is_standby).map(|pool| pool.name.clone());
        let is_handover = now < self.elected_at + self.settings.maintenance_handover;
        if is_handover {
            return;
        }
        if now >= self.capacity.next_list_at {
            self.capacity.next_list_at = now + LIST_INTERVAL;
            self.list_machines(None);
        }
        self.end_moves(now, state);
        let mut pools = self.pool_usages(state);
        let wants = self.wanted_machines(now, &pools);
        let on_standby = self.machines_on_standby(standby.as_ref(), state);
        let available: usize =
            pools.values().map(|usage| usage.servers.len() + usage.incoming).sum();
        let wanted = divide(available + on_standby.len(), &wants);
        let is_scarce = wanted.values().sum::<usize>() < wants.values().map(Want::total).sum();
        let tolerance_percent = if is_scarce { DIVISION_TOLERANCE_PERCENT } else { 0 };
        self.scale_up(now, &mut pools, &wanted, tolerance_percent, on_standby, state);
        if let (Some(standby), Some(since)) = (&standby, self.capacity.demand_since) {
            if now >= since + STANDBY_DELAY {
                self.scale_down(now, &pools, standby, state);
            }
            self.retire_out_of_service(now, standby, state);
        }
        self.order_moves(now);
    }

    /// Requests one page of the list of VMs; `None` is the first page.
    fn list_machines(&mut self, page: Option<Arc<str>>) {
        let call = self.register_call(PendingCall::ListMachines);
        self.output.actions.push(Action::ListMachines { call, page });
    }

    /// Handles one page of the list of VMs; `None` if the call failed.
    pub fn handle_machine_page(&mut self, call: CallId, page: Option<MachinePage>) {
        if self.calls.remove(&call) != Some(PendingCall::ListMachines) {
            return;
        }
        let Some(page) = page else {
            self.capacity.partial_list.clear();
            return;
        };
        self.capacity.partial_list.extend(page.machines);
        if page.next.is_some() {
            self.list_machines(page.next);
            return;
        }
        let partial_list = std::mem::take(&mut self.capacity.partial_list);
        let mut counts: BTreeMap<PoolId, (usize, usize)> = BTreeMap::new();
        for listed in &partial_list {
            let (count, up) = counts.entry(listed.pool.clone()).or_default();
            *count += 1;
            *up += usize::from(listed.is_up);
        }
        for (pool, (count, up)) in counts {
            self.output.events.push(EngineEvent::MachinesListed { pool, count, up });
        }
        self.capacity.listed =
            partial_list.into_iter().map(|listed| (listed.machine.clone(), listed)).collect();
    }

    fn pool_usages(&self, state: &JobState) -> BTreeMap<PoolId, PoolUsage> {
        let mut pools: BTreeMap<PoolId, PoolUsage> = BTreeMap::new();
        let Some(plan) = state.plan() else { return pools };
        for pool in plan.pools().filter(|pool| !pool.is_standby) {
            pools.insert(pool.name.clone(), PoolUsage::default());
        }
        for (id, server) in &self.servers {
            let Some(usage) = pools.get_mut(&server.record.pool) else { continue };
            if server.is_failing || !self.may_start_on(server, state) {
                continue;
            }
            usage.servers.push(id.clone());
            usage.capacity = usage.capacity.saturating_add(&server.record.capacity);
            for run in server.runs.iter().filter_map(|task| self.runs.get(task)) {
                if run.is_long_running {
                    usage.long_running = usage.long_running.saturating_add(&run.reservation);
                } else {
                    usage.used = usage.used.saturating_add(&run.reservation);
                }
            }
        }
        for (machine, moving) in &self.capacity.moves {
            let has_arrived =
                self.servers.on_machine(machine).any(|server| server.record.pool == moving.to);
            if let Some(usage) = pools.get_mut(&moving.to)
                && !has_arrived
            {
                usage.incoming += 1;
            }
        }
        self.add_waiting(&mut pools, state);
        pools
    }

    /// Adds the waiting tasks and the spread of long-running ones to the usage of their pools.
    fn add_waiting(&self, pools: &mut BTreeMap<PoolId, PoolUsage>, state: &JobState) {
        let Some(plan) = state.plan() else { return };
        let limits = self.occurrence_limits(state);
        for (id, job) in state.active_jobs() {
            let queue = plan.queue(&job.queue);
            let pool = queue.map(|queue| &queue.pool).or(job.submission_pool.as_ref());
            let Some(usage) = pool.and_then(|pool| pools.get_mut(pool)) else { continue };
            for (number, occurrence) in job.due_occurrences(self.wall_ms, limits) {
                let mut class = None;
                for (step, spec) in occurrence.steps.iter().zip(&job.spec.steps) {
                    if spec.is_long_running {
                        let per_server = spec.max_per_server.max(1);
                        let required = spec.count.div_ceil(per_server);
                        usage.required_servers =
                            usage.required_servers.max(usize::try_from(required).unwrap_or(0));
                    }
                    if step.waiting().is_empty() || !occurrence.is_ready(spec) {
                        continue;
                    }
                    let class = *class.get_or_insert_with(|| {
                        self.job_class(self.wall_ms, *id, job, number, queue)
                    });
                    let count = u64::from(step.waiting().len());
                    let demand = spec.reservation().saturating_mul(count);
                    let waiting = match class {
                        _ if spec.is_long_running => &mut usage.waiting_in_time,
                        Class::LongRunning | Class::InTime => &mut usage.waiting_in_time,
                        Class::Late => &mut usage.waiting_late,
                        Class::Overdue => &mut usage.waiting_overdue,
                    };
                    *waiting = waiting.saturating_add(&demand);
                }
            }
        }
    }

    /// Returns the number of VMs that each pool wants; a fall in demand takes effect after
    /// [`REASSIGN_DELAY`].
    fn wanted_machines(
        &mut self,
        now: Uptime,
        pools: &BTreeMap<PoolId, PoolUsage>,
    ) -> BTreeMap<PoolId, Want> {
        let mut wants = BTreeMap::new();
        for (pool, usage) in pools {
            let arriving = self.arriving_cpu_millis(now, pool);
            let per_server = self.typical_capacity(usage);
            let minimum = usage.required_servers + SPARE_VMS;
            let in_time = usage.used.saturating_add(&usage.waiting_in_time);
            let late = in_time.saturating_add(&usage.waiting_late);
            let overdue = late.saturating_add(&usage.waiting_overdue);
            let needed = |demand: &Resources, arriving_cpu_millis: u64| {
                let batch = demand.cpu_millis.max(arriving_cpu_millis);
                let cpu = usage.long_running.cpu_millis.saturating_add(batch);
                let memory = usage.long_running.memory_mb.saturating_add(demand.memory_mb);
                let by_cpu = machines_needed(cpu, per_server.cpu_millis);
                by_cpu.max(machines_needed(memory, per_server.memory_mb))
            };
            let needed_in_time = needed(&in_time, arriving).max(minimum);
            let reassign_threshold =
                self.capacity.reassign_threshold.entry(pool.clone()).or_default();
            let held_in_time = reassign_threshold.update(now, needed_in_time, REASSIGN_DELAY);
            let want = Want::default()
                .up_to(Level::Minimum, minimum)
                .up_to(Level::InTime, held_in_time)
                .up_to(Level::Late, needed(&late, arriving))
                .up_to(Level::Overdue, needed(&overdue, arriving));
            wants.insert(pool.clone(), want);
            let standby_threshold =
                self.capacity.standby_threshold.entry(pool.clone()).or_default();
            if standby_threshold.value == 0 {
                *standby_threshold =
                    PeakHold { value: usage.servers.len(), held_until: now + STANDBY_DELAY };
            }
            standby_threshold.update(now, want.total(), STANDBY_DELAY);
            if now >= self.capacity.next_log_at {
                let waiting = usage
                    .waiting_in_time
                    .saturating_add(&usage.waiting_late)
                    .saturating_add(&usage.waiting_overdue);
                self.output.events.push(EngineEvent::Capacity {
                    pool: pool.clone(),
                    available: usage.servers.len(),
                    incoming: usage.incoming,
                    wanted: want.total(),
                    wanted_in_time: needed_in_time,
                    long_running_cpu_millis: usage.long_running.cpu_millis,
                    running_cpu_millis: usage.used.cpu_millis,
                    waiting_cpu_millis: waiting.cpu_millis,
                    arriving_cpu_millis: arriving,
                });
            }
        }
        if now >= self.capacity.next_log_at {
            self.capacity.next_log_at = now + LOG_INTERVAL;
        }
        wants
    }

    /// The processor demand of a pool if work keeps arriving at the recent rate, in thousandths of
    /// a core.
    fn arriving_cpu_millis(&mut self, now: Uptime, pool: &PoolId) -> u64 {
        let Some(arrivals) = self.capacity.arrivals.get_mut(pool) else { return 0 };
        arrivals.retain(|(at, _)| now < *at + ARRIVAL_WINDOW);
        let rate = |window: Duration| {
            let recent = arrivals.iter().filter(|(at, _)| now < *at + window);
            let work: u64 = recent.map(|(_, work)| work).sum();
            work.saturating_mul(1_000) / u64::try_from(window.as_millis()).unwrap_or(u64::MAX)
        };
        rate(ARRIVAL_WINDOW).max(rate(SHORT_ARRIVAL_WINDOW))
    }

    /// The mean capacity of a pool's backend servers; if it has none, that of any backend server.
    fn typical_capacity(&self, usage: &PoolUsage) -> Resources {
        let count = u64::try_from(usage.servers.len()).unwrap_or(u64::MAX);
        let each = |amount: u64| amount.checked_div(count);
        let typical = each(usage.capacity.cpu_millis).zip(each(usage.capacity.memory_mb));
        if let Some((cpu_millis, memory_mb)) = typical {
            return Resources { cpu_millis, memory_mb, ..Resources::default() };
        }
        let any = self.servers.values().next();
        any.map_or_else(Resources::default, |server| server.record.capacity)
    }

    /// Covers shortages with surplus VMs of other pools first, then with VMs on standby.
    fn scale_up(
        &mut self,
        now: Uptime,
        pools: &mut BTreeMap<PoolId, PoolUsage>,
        wanted: &BTreeMap<PoolId, usize>,
        tolerance_percent: usize,
        mut on_standby: Vec<MachineId>,
        state: &JobState,
    ) {
        let mut shortages: Vec<_> = pools
            .iter()
            .filter_map(|(pool, usage)| {
                let has = usage.servers.len() + usage.incoming;
                let shortage = wanted.get(pool)?.checked_sub(has)?;
                let is_worth_moves = shortage * 100 > has * tolerance_percent;
                is_worth_moves.then(|| (std::cmp::Reverse(shortage), pool.clone()))
            })
            .collect();
        if shortages.is_empty() {
            return;
        }
        shortages.sort();
        let mut donors = self.donors(pools, wanted);
        for (std::cmp::Reverse(shortage), pool) in shortages {
            for _ in 0..shortage {
                let found = self
                    .take_surplus(&mut donors, &pool, state)
                    .or_else(|| self.take_from_standby(&mut on_standby, &pool, state));
                let Some(machine) = found else { break };
                self.start_move(now, &machine, &pool);
                let servers = self.servers.on_machine(&machine);
                let moving: BTreeSet<_> =
                    servers.map(|server| server.incarnation().id.clone()).collect();
                for usage in pools.values_mut() {
                    usage.servers.retain(|id| !moving.contains(id));
                }
                if let Some(usage) = pools.get_mut(&pool) {
                    usage.incoming += 1;
                }
            }
        }
    }

    /// The pools with more VMs than wanted, with the VMs that they may give, most loaded first.
    fn donors(
        &self,
        pools: &BTreeMap<PoolId, PoolUsage>,
        wanted: &BTreeMap<PoolId, usize>,
    ) -> Vec<Donor> {
        let donors = pools.iter().filter_map(|(pool, usage)| {
            let wanted = wanted.get(pool).copied().unwrap_or(0);
            let surplus = usage.servers.len().checked_sub(wanted).filter(|surplus| *surplus > 0)?;
            let mut machines = self.idle_first(usage);
            machines.truncate(surplus);
            machines.reverse();
            Some(Donor { pool: pool.clone(), machines })
        });
        donors.collect()
    }

    /// Takes a VM from the donor that can still give most.
    fn take_surplus(
        &self,
        donors: &mut [Donor],
        to: &PoolId,
        state: &JobState,
    ) -> Option<MachineId> {
        loop {
            let donor = donors
                .iter_mut()
                .filter(|donor| donor.pool != *to && !donor.machines.is_empty())
                .max_by_key(|donor| donor.machines.len())?;
            let machine = donor.machines.pop()?;
            if self.may_move(&machine, to, state) {
                return Some(machine);
            }
        }
    }

    /// Moves surplus VMs to standby.
    fn scale_down(
        &mut self,
        now: Uptime,
        pools: &BTreeMap<PoolId, PoolUsage>,
        standby: &PoolId,
        state: &JobState,
    ) {
        for (pool, usage) in pools {
            let kept = self.capacity.standby_threshold.get(pool).map_or(0, |peak| peak.value);
            let surplus = (usage.servers.len() + usage.incoming).saturating_sub(kept);
            let machines = self.idle_first(usage).into_iter();
            let machines: Vec<_> =
                machines.filter(|machine| self.may_move(machine, standby, state)).collect();
            for machine in machines.into_iter().take(surplus) {
                self.start_move(now, &machine, standby);
            }
        }
    }

    /// Moves idle VMs of data centres that are out of service to standby.
    fn retire_out_of_service(&mut self, now: Uptime, standby: &PoolId, state: &JobState) {
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

    /// The VMs of a pool without long-running tasks, least loaded first.
    fn idle_first(&self, usage: &PoolUsage) -> Vec<MachineId> {
        let mut machines: Vec<_> = usage
            .servers
            .iter()
            .filter_map(|id| {
                let server = self.servers.get(id)?;
                let machine = server.record.machine.clone()?;
                let has_long_running = server
                    .runs
                    .iter()
                    .any(|task| self.runs.get(task).is_none_or(|run| run.is_long_running));
                (!has_long_running).then_some((server.used.cpu_millis, machine))
            })
            .collect();
        machines.sort();
        machines.into_iter().map(|(_, machine)| machine).collect()
    }

    /// The VMs on standby that are up, whose data centre is in service and that are not moving.
    fn machines_on_standby(&self, standby: Option<&PoolId>, state: &JobState) -> Vec<MachineId> {
        let Some(standby) = standby else { return Vec::new() };
        let is_out = |id: &DataCentreId| state.data_centres_out_of_service().contains(id);
        let listed = self.capacity.listed.values().rev().filter(|listed| {
            listed.pool == *standby
                && listed.is_up
                && !is_out(&listed.data_centre)
                && !self.is_cordoned(&listed.machine)
        });
        listed.map(|listed| listed.machine.clone()).collect()
    }

    /// Takes a VM on standby that may move to a pool.
    fn take_from_standby(
        &self,
        on_standby: &mut Vec<MachineId>,
        to: &PoolId,
        state: &JobState,
    ) -> Option<MachineId> {
        let may_move = |machine: &MachineId| self.may_move(machine, to, state);
        let found = on_standby.iter().rposition(may_move)?;
        Some(on_standby.remove(found))
    }

    /// Whether a VM is in a standby pool.
    pub(super) fn is_on_standby(&self, machine: &MachineId, state: &JobState) -> bool {
        let pool = self.capacity.listed.get(machine).map(|listed| &listed.pool);
        let pool = pool.and_then(|pool| state.plan()?.pool(pool));
        pool.is_some_and(|pool| pool.is_standby)
    }

    /// Whether a VM may move to a pool: it is neither cordoned nor in maintenance, and the platform
    /// has not rejected the move.
    fn may_move(&self, machine: &MachineId, to: &PoolId, state: &JobState) -> bool {
        let is_down = |phase: &MaintenancePhase| {
            matches!(phase, MaintenancePhase::Ordered | MaintenancePhase::Down)
        };
        let is_in_maintenance =
            state.waves().values().any(|wave| wave.machines().get(machine).is_some_and(is_down));
        !self.is_cordoned(machine)
            && !is_in_maintenance
            && !self.capacity.refused.contains(&(machine.clone(), to.clone()))
    }
}

/// The number of VMs needed for an amount of one resource at [`TARGET_UTILIZATION_PERCENT`].
fn machines_needed(amount: u64, per_machine: u64) -> usize {
    let planned = (per_machine.saturating_mul(TARGET_UTILIZATION_PERCENT) / 100).max(1);
    usize::try_from(amount.div_ceil(planned)).unwrap_or(MAX_MACHINES).min(MAX_MACHINES)
}
