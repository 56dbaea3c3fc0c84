//! The leader's engine: it looks at backend servers, starts and stops tasks, and sees to upkeep.
//!
//! An [`Engine`] lasts for one term. The process hands it events with the time, carries out the
//! [`Action`]s while the leader's lease is valid, and proposes the commands.

mod advice;
mod announcements;
mod capacity;
mod durations;
mod explain;
mod holds;
mod lapse;
mod message;
mod open_room;
mod orders;
mod pace;
mod placement;
mod run;
mod schedule;
mod server;
mod settings;
mod upkeep;
mod worth;

pub use explain::{Finding, Reason, Responsiveness};
pub use message::{
    Action, AdviceAnswer, CallId, EngineEvent, ListedMachine, ListedRun, MachineAnswer,
    MachinePage, OrderAnswer, PollReport, RefusalReason, Target,
};
pub use settings::EngineSettings;

use crate::clock::Uptime;
use crate::job::command::{EndKind, JobCommand, ReleaseReason};
use crate::job::id::{
    Attempt, JobId, MachineId, ServerId, ServerIncarnation, StepId, TaskId, TeamId,
};
use crate::job::resources::Resources;
use crate::job::state::{JobOutcome, JobPhase, JobState, TaskPhase};
use crate::quantity::Term;
use run::{Run, RunPhase};
use server::Server;
use std::collections::BTreeMap;

/// What the process has to do.
#[derive(Debug, Default)]
pub struct Output {
    /// Commands to propose, in order.
    pub commands: Vec<JobCommand>,
    /// Calls to make.
    pub actions: Vec<Action>,
    /// What was seen, for the logs.
    pub events: Vec<EngineEvent>,
}

/// What a call that has not been answered was for.
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

/// The leader's engine.
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
    servers: BTreeMap<ServerId, Server>,
    runs: BTreeMap<TaskId, Run>,
    used_by_team: BTreeMap<TeamId, Resources>,
    /// The number of runs of a step on a backend server.
    spread: BTreeMap<(StepId, ServerId), u32>,
    calls: BTreeMap<CallId, PendingCall>,
    next_call: u64,
    output: Output,
    upkeep: upkeep::UpkeepView,
    advice: advice::AdviceView,
    capacity: capacity::CapacityView,
    durations: durations::Durations,
    mean_work: worth::MeanWork,
    /// Since when a task that lasts has found no room.
    starved_since: BTreeMap<TaskId, Uptime>,
    is_schedule_due: bool,
    next_tick: Uptime,
    wall_ms: u64,
}

impl Engine {
    /// An engine for a leader that was elected now.
    pub fn new(now: Uptime, term: Term, settings: EngineSettings, state: &JobState) -> Self {
        let mut engine = Self {
            settings,
            term,
            elected_at: now,
            servers: BTreeMap::new(),
            runs: BTreeMap::new(),
            used_by_team: BTreeMap::new(),
            spread: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            output: Output::default(),
            upkeep: upkeep::UpkeepView::default(),
            advice: advice::AdviceView::default(),
            capacity: capacity::CapacityView::default(),
            durations: durations::Durations::default(),
            mean_work: worth::MeanWork::default(),
            starved_since: BTreeMap::new(),
            is_schedule_due: true,
            next_tick: now,
            wall_ms: 0,
        };
        for record in state.servers().values() {
            engine.servers.insert(record.incarnation.id.clone(), Server::inherited(record, now));
        }
        engine.inherit_runs(now, state);
        engine
    }

    /// Takes over what earlier leaders may have started.
    fn inherit_runs(&mut self, now: Uptime, state: &JobState) {
        for (id, job) in state.jobs() {
            for (occurrence, steps) in (0..).zip(job.occurrences()) {
                for (number, step) in (0..).zip(&steps.steps) {
                    for (index, task) in (0..).zip(step.tasks()) {
                        let TaskPhase::Assigned(incarnation) = &task.phase else { continue };
                        let step = StepId { job: *id, occurrence, step: number };
                        let task_id = TaskId { step, index };
                        let Some(mut run) = Run::of(job, &task_id, task.attempt, incarnation)
                        else {
                            continue;
                        };
                        run.phase = RunPhase::Running;
                        run.settled_at = Some(now);
                        run.is_pace_known = false;
                        self.add_run(task_id, run);
                        if job.phase != JobPhase::Active {
                            self.stop_run(&task_id);
                        }
                    }
                }
            }
        }
    }

    /// Takes what there is to do since the last call.
    pub fn take_output(&mut self) -> Output {
        std::mem::take(&mut self.output)
    }

    /// Lets time pass and does what is due: leases, looks, orders, starts, upkeep.
    ///
    /// `wall_ms` is the calendar time in milliseconds since 1970, by which occurrences are due.
    pub fn advance(&mut self, now: Uptime, wall_ms: u64, state: &JobState) {
        self.wall_ms = wall_ms;
        if now >= self.next_tick {
            self.next_tick = now + self.settings.tick_interval;
            self.is_schedule_due = true;
            self.release_lapsed(now);
            self.forget_servers(now, state);
            self.plan_upkeep(now, state);
            self.plan_capacity(now, state);
            self.retry_orders(now);
            self.plan_pace(now);
        }
        if self.is_schedule_due {
            self.is_schedule_due = false;
            self.schedule(now, wall_ms, state);
        }
        self.pump_holds(now, state);
        self.pump_orders(now, state);
    }

    /// Notes that a command has been applied to the state.
    pub fn handle_applied(
        &mut self,
        now: Uptime,
        command: &JobCommand,
        outcome: &JobOutcome,
        state: &JobState,
    ) {
        self.is_schedule_due = true;
        match command {
            JobCommand::Start { task, attempt, .. } => {
                self.note_start(task, *attempt, *outcome == JobOutcome::Started(true));
            }
            JobCommand::RunsEnded { server, ends, .. } => {
                for end in ends {
                    let Some(task) = end.task else { continue };
                    let is_here =
                        |run: &Run| run.attempt == end.attempt && run.incarnation.id == server.id;
                    if self.runs.get(&task).is_some_and(is_here) {
                        self.note_time_taken(now, &task, end.kind, state);
                        self.remove_run(&task);
                    }
                    self.stop_runs_of_ended(&task.step.job, state);
                }
                if let Some(known) = self.servers.get_mut(&server.id) {
                    known.next_hold_at = now;
                }
            }
            JobCommand::Release { task, attempt, .. }
                if self.runs.get(task).is_some_and(|run| run.attempt == *attempt) =>
            {
                self.remove_run(task);
            }
            JobCommand::Cancel { id, .. } => self.stop_runs_of_ended(id, state),
            JobCommand::Server(record) => self.note_server(now, &record.incarnation.id, state),
            JobCommand::ServerGone(incarnation)
                if !state.servers().contains_key(&incarnation.id) =>
            {
                self.servers.remove(&incarnation.id);
            }
            JobCommand::Submit { queue, spec, .. } => {
                self.note_demand(queue, spec, outcome, state);
            }
            JobCommand::MaintenanceOrdered { wave, machine } => self.send_upkeep(*wave, machine),
            JobCommand::MaintenanceStarted { machine, .. } => self.note_upkeep_begun(now, machine),
            _ => {}
        }
    }

    /// Learns from a run that did its work from beginning to end.
    fn note_time_taken(&mut self, now: Uptime, task: &TaskId, kind: EndKind, state: &JobState) {
        let Some(run) = self.runs.get(task) else { return };
        let is_whole = kind == EndKind::Done && run.is_whole && run.started_at != Uptime::ZERO;
        let Some((job, step)) = state.step(&task.step) else { return };
        let Some(spec) = job.step_spec(task.step.step).filter(|_| is_whole) else { return };
        let taken = now.saturating_sub(run.started_at);
        self.durations.note(&job.queue, &task.step, spec, taken);
        if step.is_done() {
            self.durations.forget(&task.step);
        }
    }

    /// Releases a run whose start surely was not and will not be carried out.
    fn release(&mut self, task: &TaskId, reason: ReleaseReason) {
        let Some(run) = self.runs.get_mut(task) else { return };
        if run.phase == RunPhase::Releasing {
            return;
        }
        run.phase = RunPhase::Releasing;
        let command = JobCommand::Release { task: *task, attempt: run.attempt, reason };
        self.output.commands.push(command);
    }

    fn stop_runs_of_ended(&mut self, id: &JobId, state: &JobState) {
        if state.job(id).is_some_and(|job| job.phase == JobPhase::Active) {
            return;
        }
        for task in self.tasks_of(id) {
            self.stop_run(&task);
        }
    }

    fn tasks_of(&self, id: &JobId) -> Vec<TaskId> {
        let first = StepId { job: *id, occurrence: 0, step: 0 };
        let from = TaskId { step: first, index: 0 };
        let tasks = self.runs.range(from..).map(|(task, _)| *task);
        tasks.take_while(|task| task.step.job == *id).collect()
    }

    fn add_run(&mut self, task: TaskId, run: Run) {
        if let Some(server) = self.servers.get_mut(&run.incarnation.id) {
            server.used = server.used.saturating_add(&run.reservation);
            if server.runs.insert(task) {
                server.lasting += usize::from(run.is_long_running);
            }
        }
        if let Some(team) = &run.team {
            let used = self.used_by_team.entry(team.clone()).or_default();
            *used = used.saturating_add(&run.demand);
        }
        *self.spread.entry((task.step, run.incarnation.id.clone())).or_default() += 1;
        self.runs.insert(task, run);
    }

    fn remove_run(&mut self, task: &TaskId) {
        let Some(run) = self.runs.remove(task) else { return };
        if let Some(server) = self.servers.get_mut(&run.incarnation.id)
            && server.runs.remove(task)
        {
            server.used = server.used.saturating_sub(&run.reservation);
            server.lasting -= usize::from(run.is_long_running);
        }
        if let Some(used) = run.team.as_ref().and_then(|team| self.used_by_team.get_mut(team)) {
            *used = used.saturating_sub(&run.demand);
        }
        let place = (task.step, run.incarnation.id);
        if let Some(count) = self.spread.get_mut(&place) {
            *count -= 1;
            if *count == 0 {
                self.spread.remove(&place);
            }
        }
    }

    fn call(&mut self, call: PendingCall) -> CallId {
        let id = CallId { term: self.term, number: self.next_call };
        self.next_call += 1;
        self.calls.insert(id, call);
        id
    }

    /// Whether a VM is being emptied, for upkeep or for another pool.
    fn is_closing(&self, machine: &MachineId) -> bool {
        self.upkeep.closing().contains(machine) || self.capacity.is_moving(machine)
    }
}
