//! The leader's engine: polls backend servers, starts and stops tasks, and schedules maintenance.
//!
//! An [`Engine`] lasts for one term. The process passes it events with the current time, carries
//! out the [`Action`]s while the leader's lease is valid, and proposes the commands.

mod advice;
mod announcements;
mod capacity;
mod durations;
mod expiry;
mod explain;
mod maintenance;
mod message;
mod open_servers;
mod order_delay;
mod orders;
mod pace;
mod placement;
mod polling;
mod ready;
mod retention;
mod run;
mod schedule;
mod server;
mod servers;
mod settings;
#[cfg(test)]
mod tests;
mod value;

pub use explain::{Finding, Reason, Responsiveness};
pub use message::{
    Action, AdviceResponse, CallId, EngineEvent, ListedMachine, ListedRun, MachinePage,
    MachineResponse, OrderResponse, PollReport, RefusalReason, Target,
};
pub use settings::EngineSettings;

use crate::clock::Uptime;
use crate::job::command::{EndKind, JobCommand, ReleaseReason};
use crate::job::id::{
    Attempt, JobId, MachineId, ServerId, ServerIncarnation, StepId, TaskId, TeamId,
};
use crate::job::resources::Resources;
use crate::job::state::{Job, JobOutcome, JobPhase, JobState, Task, TaskPhase};
use crate::quantity::Term;
use ready::ReadyIndex;
use run::{Run, RunPhase};
use server::Server;
use servers::Servers;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The maximum interval between two scheduling rounds, however large the fleet is.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// The part of a fencing token that numbers the incarnations within a term, in bits. Terms up to 2^29
/// keep the token within the integers that JSON numbers represent exactly.
const GENERATION_BITS: u32 = 24;

/// The highest number of an incarnation within a term; further ones share it.
const MAX_GENERATION: u64 = (1 << GENERATION_BITS) - 1;

/// Commands, calls and log events that the engine hands to the process.
#[derive(Debug, Default)]
pub struct Output {
    /// Commands to propose, in order.
    pub commands: Vec<JobCommand>,
    /// Calls to make, in order.
    pub actions: Vec<Action>,
    /// Events to log.
    pub events: Vec<EngineEvent>,
}

/// The purpose of a call that has not been answered yet.
#[derive(Clone, Debug, Eq, PartialEq)]
enum PendingCall {
    Poll { server: ServerId },
    Start { server: ServerId, task: TaskId, attempt: Attempt },
    Stop { server: ServerId, task: TaskId, attempt: Attempt },
    Pace { server: ServerId, task: TaskId, attempt: Attempt },
    Maintain { wave: u64, machine: MachineId },
    Move { machine: MachineId },
    ListMachines,
    Advise { step: StepId, servers: Vec<ServerIncarnation> },
}

/// Schedules tasks, maintenance and capacity on the leader.
///
/// # Examples
///
/// ```
/// use goldcrestring::job::{Engine, EngineSettings, JobState};
/// use goldcrestring::quantity::Term;
/// use std::time::Duration;
///
/// let state = JobState::default();
/// let settings = EngineSettings::default();
/// let mut engine = Engine::new(Duration::ZERO, Term::new(1), settings, &state);
/// engine.advance(Duration::from_secs(1), 0, &state);
/// assert!(engine.take_output().commands.is_empty());
/// ```
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    term: Term,
    elected_at: Uptime,
    servers: Servers,
    /// The backend servers without a pending poll; may contain removed ones.
    unpolled: BTreeSet<ServerId>,
    /// The backend servers with queued orders; may contain removed ones and ones without orders.
    with_orders: BTreeSet<ServerId>,
    /// The steps with tasks to start.
    ready: ReadyIndex,
    runs: BTreeMap<TaskId, Run>,
    /// The resources that the runs of each team use.
    used_by_team: BTreeMap<TeamId, Resources>,
    /// The number of runs of each step on each backend server.
    runs_per_server: BTreeMap<(StepId, ServerId), u32>,
    calls: BTreeMap<CallId, PendingCall>,
    next_call_number: u64,
    /// The generation of the incarnation that was noted last; see [`Engine::next_fence`].
    last_generation: u64,
    /// Polls that count as unanswered, and when each was sent. Their reports may still arrive and list
    /// ends.
    abandoned_polls: BTreeMap<CallId, (ServerIncarnation, Uptime)>,
    output: Output,
    maintenance: maintenance::MaintenanceState,
    advice: advice::AdviceState,
    capacity: capacity::CapacityState,
    durations: durations::Durations,
    mean_work: value::MeanWork,
    order_delay: order_delay::OrderDelay,
    /// The time since which a long-running task has found no free capacity.
    unplaced_since: BTreeMap<TaskId, Uptime>,
    /// Whether the next call of [`Engine::advance`] runs a scheduling round. Set by each event that
    /// may let a task start, such as a new job, freed capacity or a backend server that responds
    /// again; what only time changes waits for the next tick.
    is_schedule_due: bool,
    retention: retention::Retention,
    next_tick_at: Uptime,
    /// The earliest time of the next scheduling round. A round walks over all backend servers, so that a
    /// larger fleet has fewer of them; each then takes more tasks.
    next_round_at: Uptime,
    /// The wall-clock time of the last advance, in milliseconds since 1970.
    wall_ms: u64,
}

impl Engine {
    /// Creates the engine of a leader that was elected at `now`.
    pub fn new(now: Uptime, term: Term, settings: EngineSettings, state: &JobState) -> Self {
        let mut engine = Self {
            settings,
            term,
            elected_at: now,
            servers: Servers::default(),
            unpolled: BTreeSet::new(),
            with_orders: BTreeSet::new(),
            ready: ReadyIndex::new(state),
            runs: BTreeMap::new(),
            used_by_team: BTreeMap::new(),
            runs_per_server: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call_number: 0,
            last_generation: 0,
            abandoned_polls: BTreeMap::new(),
            output: Output::default(),
            maintenance: maintenance::MaintenanceState::default(),
            advice: advice::AdviceState::default(),
            capacity: capacity::CapacityState::default(),
            durations: durations::Durations::default(),
            mean_work: value::MeanWork::default(),
            order_delay: order_delay::OrderDelay::default(),
            unplaced_since: BTreeMap::new(),
            is_schedule_due: true,
            retention: retention::Retention::new(now),
            next_tick_at: now,
            next_round_at: now,
            wall_ms: 0,
        };
        for record in state.servers().values() {
            let id = &record.incarnation.id;
            let fence = engine.next_fence();
            engine.servers.insert(id.clone(), Server::inherited(record, now, fence));
            engine.unpolled.insert(id.clone());
        }
        engine.recover_runs(now, state);
        engine
    }

    /// Adds the runs that earlier leaders may have started.
    fn recover_runs(&mut self, now: Uptime, state: &JobState) {
        for (id, job) in state.jobs() {
            for (occurrence, steps) in job.recorded_occurrences() {
                for (number, step) in (0..).zip(&steps.steps) {
                    for (index, task) in step.assigned() {
                        let step = StepId { job: *id, occurrence, step: number };
                        self.recover_run(now, TaskId { step, index }, job, task);
                    }
                }
            }
        }
    }

    /// Adds the run of an assigned task.
    fn recover_run(&mut self, now: Uptime, id: TaskId, job: &Job, task: &Task) {
        let TaskPhase::Assigned(incarnation) = &task.phase else { return };
        let Some(mut run) = Run::of(job, &id, task.attempt, incarnation) else { return };
        run.phase = RunPhase::Running;
        run.order_answered_at = Some(now);
        run.is_pace_known = false;
        if let Some(server) = self.servers.get_mut(&incarnation.id)
            && server.incarnation() != incarnation
        {
            // The start may still reach the later incarnation.
            server.is_unfenced = true;
        }
        self.add_run(id, run);
        if job.phase != JobPhase::Active || task.has_result {
            self.stop_run(&id);
        }
    }

    /// Returns the output that has accumulated since the last call.
    pub fn take_output(&mut self) -> Output {
        std::mem::take(&mut self.output)
    }

    /// Handles all timers that are due: leases, polls, orders, starts and maintenance.
    ///
    /// `wall_ms` is the wall-clock time in milliseconds since 1970; occurrences are due by it.
    pub fn advance(&mut self, now: Uptime, wall_ms: u64, state: &JobState) {
        self.wall_ms = wall_ms;
        if now >= self.next_tick_at {
            self.next_tick_at = now + self.settings.tick_interval;
            self.is_schedule_due = true;
            self.release_expired(now);
            self.settle_restarted(now);
            self.remove_inactive_servers(now, state);
            self.plan_maintenance(now, state);
            self.plan_capacity(now, state);
            self.retry_orders(now);
            self.adjust_pace(now);
            self.report_order_delay(now);
            self.plan_retention(now, state);
        }
        if self.is_schedule_due && now >= self.next_round_at {
            self.is_schedule_due = false;
            self.next_round_at = now + self.round_interval();
            self.schedule(now, wall_ms, state);
        }
        self.send_polls(now, state);
        self.send_orders(now, state);
    }

    /// When [`Engine::advance`] has a scheduling round to run, if one is due.
    pub fn next_round_at(&self) -> Option<Uptime> {
        self.is_schedule_due.then_some(self.next_round_at)
    }

    /// The minimum interval between two rounds. The cost of a round grows with the fleet, and what waits
    /// for it as well, so that the interval grows with the square.
    fn round_interval(&self) -> Duration {
        let servers = u32::try_from(self.servers.len()).unwrap_or(u32::MAX);
        let interval = self.settings.round_interval_at_1000 * servers / 1_000 * servers / 1_000;
        interval.min(MAX_ROUND_INTERVAL)
    }

    /// Handles a command that has been applied to the state.
    pub fn handle_applied(
        &mut self,
        now: Uptime,
        command: &JobCommand,
        outcome: &JobOutcome,
        state: &JobState,
    ) {
        // A start that was accepted changes neither the free capacity nor what waits.
        if !matches!(outcome, JobOutcome::Started(true)) {
            self.is_schedule_due = true;
        }
        match command {
            JobCommand::Start { task, attempt, .. } => {
                self.ready.mark(&task.step.job);
                self.handle_start_committed(task, *attempt, *outcome == JobOutcome::Started(true));
            }
            JobCommand::RunsEnded { server, ends, .. } => {
                for end in ends {
                    let Some(task) = end.task else { continue };
                    self.ready.mark(&task.step.job);
                    let is_current =
                        |run: &Run| run.attempt == end.attempt && run.incarnation.id == server.id;
                    if self.runs.get(&task).is_some_and(is_current) {
                        self.record_duration(now, &task, end.kind, state);
                        self.remove_run(&task);
                    } else if end.kind == EndKind::Done {
                        self.stop_superfluous_runs(&task, state);
                    }
                    self.stop_runs_of_ended_job(&task.step.job, state);
                }
                let pause = self.order_delay.poll_pause();
                if let Some(known) = self.servers.get_mut(&server.id) {
                    known.next_poll_at = now + pause;
                }
            }
            JobCommand::Release { task, attempt, .. } => {
                self.ready.mark(&task.step.job);
                if self.runs.get(task).is_some_and(|run| run.attempt == *attempt) {
                    self.remove_run(task);
                }
            }
            JobCommand::Cancel { id, .. } => {
                self.ready.mark(id);
                self.stop_runs_of_ended_job(id, state);
            }
            JobCommand::Server(record) => self.update_server(now, &record.incarnation.id, state),
            JobCommand::ServerSettled(incarnation) => {
                self.update_server(now, &incarnation.id, state);
            }
            JobCommand::ServerGone(incarnation)
                if !state.servers().contains_key(&incarnation.id) =>
            {
                self.servers.remove(&incarnation.id);
            }
            JobCommand::Submit { id, queue, spec, .. } => {
                self.ready.mark(id);
                self.record_arrival(queue, spec, outcome, state);
            }
            JobCommand::MaintenanceOrdered { wave, machine } => {
                self.handle_maintenance_committed(*wave, machine);
            }
            JobCommand::MaintenanceStarted { machine, .. } => self.record_down(now, machine),
            JobCommand::RetentionTick => self.retention.handle_tick(now),
            JobCommand::Forget(_) => self.retention.handle_removal(),
            _ => {}
        }
    }

    /// Records the duration of a batch run that completed without resuming from a checkpoint.
    fn record_duration(&mut self, now: Uptime, task: &TaskId, kind: EndKind, state: &JobState) {
        let Some(run) = self.runs.get(task) else { return };
        let is_full_run = kind == EndKind::Done
            && !run.is_long_running
            && run.is_full_run
            && run.started_at != Uptime::ZERO;
        let Some((job, step)) = state.step(&task.step) else { return };
        let Some(spec) = job.step_spec(task.step.step).filter(|_| is_full_run) else { return };
        let duration = now.saturating_sub(run.started_at);
        self.durations.record(&job.queue, &task.step, spec, duration);
        if step.is_done() {
            self.durations.remove(&task.step);
        }
    }

    /// Proposes the release of a run that is known not to run and not to start later.
    fn release(&mut self, task: &TaskId, reason: ReleaseReason) {
        let Some(run) = self.runs.get_mut(task) else { return };
        if run.phase == RunPhase::Releasing {
            return;
        }
        run.phase = RunPhase::Releasing;
        let command = JobCommand::Release { task: *task, attempt: run.attempt, reason };
        self.output.commands.push(command);
    }

    /// Stops the runs of a job, unless the job is active.
    fn stop_runs_of_ended_job(&mut self, id: &JobId, state: &JobState) {
        if state.job(id).is_some_and(|job| job.phase == JobPhase::Active) {
            return;
        }
        for task in self.tasks_with_runs(id) {
            self.stop_run(&task);
        }
    }

    /// Stops the later runs of a task that an earlier run has completed, and of its gang.
    fn stop_superfluous_runs(&mut self, completed: &TaskId, state: &JobState) {
        let Some((_, step)) = state.step(&completed.step) else { return };
        for task in self.tasks_with_runs(&completed.step.job) {
            if task.step == completed.step && step.is_completed(task.index) {
                self.stop_run(&task);
            }
        }
    }

    /// The tasks of a job that have a run.
    fn tasks_with_runs(&self, id: &JobId) -> Vec<TaskId> {
        let first = StepId { job: *id, occurrence: 0, step: 0 };
        let from = TaskId { step: first, index: 0 };
        let tasks = self.runs.range(from..).map(|(task, _)| *task);
        tasks.take_while(|task| task.step.job == *id).collect()
    }

    /// Adds a run and counts its resources.
    fn add_run(&mut self, task: TaskId, run: Run) {
        if let Some(server) = self.servers.get_mut(&run.incarnation.id)
            && server.runs.insert(task)
        {
            server.reserve(&run);
        }
        if let Some(team) = &run.team {
            let used = self.used_by_team.entry(team.clone()).or_default();
            *used = used.saturating_add(&run.demand);
        }
        *self.runs_per_server.entry((task.step, run.incarnation.id.clone())).or_default() += 1;
        self.runs.insert(task, run);
    }

    /// Removes a run and frees its resources.
    fn remove_run(&mut self, task: &TaskId) {
        let Some(run) = self.runs.remove(task) else { return };
        if let Some(server) = self.servers.get_mut(&run.incarnation.id)
            && server.runs.remove(task)
        {
            server.free_reservation(&run);
        }
        if let Some(used) = run.team.as_ref().and_then(|team| self.used_by_team.get_mut(team)) {
            *used = used.saturating_sub(&run.demand);
        }
        let key = (task.step, run.incarnation.id);
        if let Some(count) = self.runs_per_server.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.runs_per_server.remove(&key);
            }
        }
    }

    /// The fencing token for calls to an incarnation that this leader has noted just now.
    ///
    /// Within a term, later incarnations get higher tokens: a backend server that is back under its ID
    /// takes calls that were meant for its earlier incarnation until it has seen a higher token.
    fn next_fence(&mut self) -> u64 {
        self.last_generation = (self.last_generation + 1).min(MAX_GENERATION);
        (self.term.get() << GENERATION_BITS) | self.last_generation
    }

    /// Registers a pending call and returns its ID.
    fn register_call(&mut self, call: PendingCall) -> CallId {
        let id = CallId { term: self.term, number: self.next_call_number };
        self.next_call_number += 1;
        self.calls.insert(id, call);
        id
    }

    /// Whether a VM takes no new tasks, because of maintenance or a move to another pool.
    fn is_cordoned(&self, machine: &MachineId) -> bool {
        self.maintenance.cordoned().contains(machine) || self.capacity.is_moving(machine)
    }
}
