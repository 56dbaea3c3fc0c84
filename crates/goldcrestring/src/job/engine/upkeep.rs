//! Upkeep of VMs: a VM is emptied first, within the budgets of what lasts, then taken down.

use super::message::{Action, CallId, EngineEvent, MachineAnswer};
use super::run::{Run, RunPhase};
use super::{Engine, PendingCall};
use crate::clock::Uptime;
use crate::job::command::JobCommand;
use crate::job::id::{MachineId, ServerId, StepId, TaskId};
use crate::job::state::{JobPhase, JobState, MaintenancePhase, Wave};
use std::collections::{BTreeMap, BTreeSet};

/// What the leader knows of VMs that go down for upkeep.
#[derive(Debug, Default)]
pub(super) struct UpkeepView {
    /// VMs that are being emptied, and since when.
    emptying: BTreeMap<MachineId, Uptime>,
    /// VMs on which nothing starts.
    closing: BTreeSet<MachineId>,
    /// Since when a VM has been down, as far as this leader knows.
    down_since: BTreeMap<MachineId, Uptime>,
    /// When an order was last proposed.
    proposed_at: BTreeMap<MachineId, Uptime>,
    /// When to order again.
    retry_at: BTreeMap<MachineId, Uptime>,
}

impl UpkeepView {
    pub(super) const fn closing(&self) -> &BTreeSet<MachineId> {
        &self.closing
    }
}

impl Engine {
    /// Moves each wave on.
    pub(super) fn plan_upkeep(&mut self, now: Uptime, state: &JobState) {
        // A VM whose upkeep was ordered, by whichever leader, may go down at any moment.
        self.upkeep.closing = ordered_machines(state);
        for (number, wave) in state.waves() {
            self.note_returned(now, *number, wave, state);
            self.resume_orders(now, *number, wave);
            self.choose_next(now, wave, state);
        }
        self.upkeep.closing.extend(self.upkeep.emptying.keys().cloned());
        let emptying: Vec<_> =
            self.upkeep.emptying.iter().map(|(machine, since)| (machine.clone(), *since)).collect();
        for machine in ordered_machines(state) {
            self.empty(now, &machine, self.elected_at, state);
        }
        for (machine, since) in emptying {
            self.empty(now, &machine, since, state);
        }
        for (number, wave) in state.waves() {
            self.order_empty(now, *number, wave);
        }
    }

    /// Notes VMs that answer again some time after their upkeep began.
    fn note_returned(&mut self, now: Uptime, number: u64, wave: &Wave, state: &JobState) {
        for (machine, upkeep) in wave.machines() {
            if *upkeep != MaintenancePhase::Down {
                continue;
            }
            let down_since = *self.upkeep.down_since.entry(machine.clone()).or_insert(now);
            let back_from = down_since + self.settings.maintenance_duration / 2;
            let answers_again = self.servers.values().any(|server| {
                server.record.machine.as_ref() == Some(machine)
                    && server.answered_at.is_some_and(|at| at > back_from)
            });
            // A VM on standby runs no backend server that could answer.
            let is_back = answers_again
                || (self.is_on_standby(machine, state)
                    && now >= down_since + self.settings.maintenance_duration + STANDBY_MARGIN);
            if is_back {
                self.upkeep.down_since.remove(machine);
                let machine = machine.clone();
                self.output
                    .commands
                    .push(JobCommand::MaintenanceFinished { wave: number, machine });
            }
        }
    }

    /// Repeats orders that got no answer, also those of earlier leaders.
    fn resume_orders(&mut self, now: Uptime, number: u64, wave: &Wave) {
        if now < self.elected_at + self.settings.maintenance_handover {
            return;
        }
        let ordered = wave.machines().iter();
        let ordered = ordered.filter(|(_, upkeep)| **upkeep == MaintenancePhase::Ordered);
        for (machine, _) in ordered {
            let is_pending = self.calls.values().any(
                |call| matches!(call, PendingCall::Maintain { machine: known, .. } if known == machine),
            );
            let is_early = self.upkeep.retry_at.get(machine).is_some_and(|at| now < *at);
            if !is_pending && !is_early && self.runs_on(machine).is_empty() {
                self.send_upkeep(number, machine);
            }
        }
    }

    /// Chooses VMs to empty, no more than may be down at once.
    fn choose_next(&mut self, now: Uptime, wave: &Wave, state: &JobState) {
        let is_due =
            |machine: &MachineId| wave.machines().get(machine) == Some(&MaintenancePhase::Due);
        self.upkeep
            .emptying
            .retain(|machine, _| !wave.machines().contains_key(machine) || is_due(machine));
        let cap = usize::try_from(wave.cap.max(1)).unwrap_or(usize::MAX);
        let emptying =
            wave.machines().keys().filter(|id| self.upkeep.emptying.contains_key(*id)).count();
        let mut free = cap.saturating_sub(emptying);
        let mut due: Vec<_> = wave
            .machines()
            .iter()
            .filter(|(machine, upkeep)| {
                **upkeep == MaintenancePhase::Due
                    && !self.capacity.is_moving(machine)
                    && !self.upkeep.emptying.contains_key(*machine)
                    && self.upkeep.retry_at.get(*machine).is_none_or(|at| now >= *at)
            })
            .map(|(machine, _)| (self.load_of(machine, state), machine.clone()))
            .collect();
        due.sort();
        for (_, machine) in due {
            if free == 0 {
                break;
            }
            free -= 1;
            self.upkeep.emptying.insert(machine, now);
        }
    }

    /// How much there is to move before a VM can go down: tasks that last weigh most.
    fn load_of(&self, machine: &MachineId, state: &JobState) -> usize {
        const LASTING_WEIGHT: usize = 100;
        let runs = self.runs_on(machine);
        let weight = |task: &TaskId| {
            let is_long_running = self.runs.get(task).is_some_and(|run| run.is_long_running);
            let is_active =
                state.job(&task.step.job).is_some_and(|job| job.phase == JobPhase::Active);
            if is_long_running && is_active { LASTING_WEIGHT } else { 1 }
        };
        runs.iter().map(weight).sum()
    }

    fn runs_on(&self, machine: &MachineId) -> Vec<TaskId> {
        let is_here = |id: &ServerId| {
            self.servers
                .get(id)
                .is_some_and(|server| server.record.machine.as_ref() == Some(machine))
        };
        let servers = self.servers.iter().filter(|(id, _)| is_here(id));
        servers.flat_map(|(_, server)| server.runs.iter().copied()).collect()
    }

    /// Moves what lasts away, one task of a step at a time, and later stops what takes long.
    fn empty(&mut self, now: Uptime, machine: &MachineId, since: Uptime, state: &JobState) {
        let patience = self.settings.drain_grace;
        for task in self.runs_on(machine) {
            let Some(run) = self.runs.get(&task) else { continue };
            if run.phase != RunPhase::Running {
                continue;
            }
            let is_long = now >= since + patience;
            let may_stop = if run.is_long_running {
                self.may_interrupt(&task, run, state)
            } else {
                is_long && (run.is_checkpointed || now >= since + patience * 2)
            };
            if may_stop {
                self.stop_run(&task);
            }
        }
    }

    /// Whether planned work may make a task that lasts unavailable now.
    pub(super) fn may_interrupt(&self, task: &TaskId, run: &Run, state: &JobState) -> bool {
        let Some((job, step)) = state.step(&task.step) else { return true };
        if job.phase != JobPhase::Active {
            return true;
        }
        let spec = job.step_spec(task.step.step);
        let budget = spec.and_then(|spec| spec.max_unavailable).unwrap_or(1);
        // The task itself is taken to be at work: a look is always a little old.
        let others_away = (0..).zip(step.tasks()).filter(|(index, _)| {
            let other = TaskId { step: task.step, index: *index };
            other != *task && !self.runs.get(&other).is_some_and(|run| self.is_seen_at_work(run))
        });
        let others_away = u32::try_from(others_away.count()).unwrap_or(u32::MAX);
        others_away < budget && self.has_other_place(&task.step, run, state)
    }

    /// Whether a backend server that answers lists a run as at work.
    fn is_seen_at_work(&self, run: &Run) -> bool {
        let server = self.servers.get(&run.incarnation.id);
        run.is_at_work() && server.is_some_and(|server| !server.is_failing)
    }

    /// Whether a task would find room elsewhere at once.
    fn has_other_place(&self, step: &StepId, run: &Run, state: &JobState) -> bool {
        let Some(job) = state.job(&step.job) else { return true };
        let Some(spec) = job.step_spec(step.step) else { return true };
        let Some(own) = self.servers.get(&run.incarnation.id) else { return true };
        let demand = super::placement::Demand { step: *step, spec, pool: &own.record.pool };
        self.servers.values().any(|server| {
            server.record.incarnation.id != own.record.incarnation.id
                && !server.is_failing
                && self.may_start_on(server, state)
                && self.suits(&demand, server)
                && spec.reservation().fits_in(&server.record.capacity)
        })
    }

    /// Orders the upkeep of VMs that are empty.
    fn order_empty(&mut self, now: Uptime, number: u64, wave: &Wave) {
        if now < self.elected_at + self.settings.maintenance_handover {
            return;
        }
        let cap = usize::try_from(wave.cap.max(1)).unwrap_or(usize::MAX);
        let mut free = cap.saturating_sub(wave.down());
        let due: Vec<_> = wave
            .machines()
            .iter()
            .filter(|(_, upkeep)| **upkeep == MaintenancePhase::Due)
            .map(|(machine, _)| machine.clone())
            .filter(|machine| self.upkeep.emptying.contains_key(machine))
            .collect();
        for machine in due {
            if free == 0 {
                return;
            }
            if !self.runs_on(&machine).is_empty() {
                continue;
            }
            free -= 1;
            if !self.upkeep.is_proposed(now, &machine) {
                self.upkeep.proposed_at.insert(machine.clone(), now);
                self.output.commands.push(JobCommand::MaintenanceOrdered { wave: number, machine });
            }
        }
    }

    pub(super) fn send_upkeep(&mut self, wave: u64, machine: &MachineId) {
        let call = self.call(PendingCall::Maintain { wave, machine: machine.clone() });
        self.output.actions.push(Action::Maintain {
            call,
            fence: self.term.get(),
            wave,
            machine: machine.clone(),
        });
    }

    /// Takes the answer to an order for a VM.
    pub fn handle_machine_answer(&mut self, now: Uptime, call: CallId, answer: MachineAnswer) {
        let (wave, machine) = match self.calls.remove(&call) {
            Some(PendingCall::Maintain { wave, machine }) => (wave, machine),
            Some(PendingCall::Move { machine }) => {
                self.note_move(now, &machine, answer);
                return;
            }
            _ => return,
        };
        let note = EngineEvent::MachineAnswered { machine: machine.clone(), pool: None, answer };
        self.output.events.push(note);
        let command = match answer {
            MachineAnswer::Accepted => {
                self.upkeep.retry_at.insert(machine.clone(), now + PROPOSAL_TIME);
                JobCommand::MaintenanceStarted { wave, machine }
            }
            MachineAnswer::Unknown => JobCommand::MaintenanceFinished { wave, machine },
            MachineAnswer::Busy => {
                self.upkeep.retry_at.insert(machine.clone(), now + BUSY_PAUSE);
                self.upkeep.emptying.remove(&machine);
                JobCommand::MaintenanceRefused { wave, machine }
            }
            MachineAnswer::Fenced | MachineAnswer::Lost => {
                self.upkeep.retry_at.insert(machine, now + LOST_PAUSE);
                return;
            }
        };
        self.output.commands.push(command);
    }

    pub(super) fn note_upkeep_begun(&mut self, now: Uptime, machine: &MachineId) {
        self.upkeep.down_since.insert(machine.clone(), now);
        self.upkeep.emptying.remove(machine);
    }
}

/// The VMs whose upkeep is ordered and may not have begun.
fn ordered_machines(state: &JobState) -> BTreeSet<MachineId> {
    let all = state.waves().values().flat_map(Wave::machines);
    let ordered = all.filter(|(_, upkeep)| **upkeep == MaintenancePhase::Ordered);
    ordered.map(|(machine, _)| machine.clone()).collect()
}

impl UpkeepView {
    /// Whether the order for a VM has been proposed a moment ago.
    fn is_proposed(&self, now: Uptime, machine: &MachineId) -> bool {
        self.proposed_at.get(machine).is_some_and(|at| now < *at + PROPOSAL_TIME)
    }
}

/// The time within which a proposal is committed, or never.
const PROPOSAL_TIME: std::time::Duration = std::time::Duration::from_millis(1_000);

/// Added to the time that a VM on standby is taken to be down.
const STANDBY_MARGIN: std::time::Duration = std::time::Duration::from_millis(500);

/// The pause after a VM could not go down.
const BUSY_PAUSE: std::time::Duration = std::time::Duration::from_millis(700);

/// The pause after an order without an answer.
const LOST_PAUSE: std::time::Duration = std::time::Duration::from_millis(300);
