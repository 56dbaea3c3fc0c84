//! Maintenance of VMs: drains a VM within the disruption budgets of long-running tasks, then takes
//! it down.

#[cfg(test)]
mod tests;

use super::message::{Action, CallId, EngineEvent, MachineResponse};
use super::run::{Run, RunPhase};
use super::server::Server;
use super::{Engine, PendingCall};
use crate::clock::Uptime;
use crate::job::command::JobCommand;
use crate::job::id::{MachineId, StepId, TaskId};
use crate::job::state::{JobPhase, JobState, MaintenancePhase, Wave};
use std::collections::{BTreeMap, BTreeSet};

/// VMs under maintenance, as known to this leader.
#[derive(Debug, Default)]
pub(super) struct MaintenanceState {
    /// VMs that are being drained, and since when.
    draining: BTreeMap<MachineId, Uptime>,
    /// VMs on which no task may start.
    cordoned: BTreeSet<MachineId>,
    /// The time since which this leader has known that a VM is down.
    down_since: BTreeMap<MachineId, Uptime>,
    /// VMs whose maintenance is proposed and not committed. A proposal is lost only together with
    /// the term and thus with this engine.
    proposed: BTreeSet<MachineId>,
    /// The earliest time at which an order may be repeated.
    retry_at: BTreeMap<MachineId, Uptime>,
    /// VMs that an unanswered order may have taken down, and the time until which they may be.
    down_until: BTreeMap<MachineId, Uptime>,
}

impl MaintenanceState {
    /// The VMs on which no task may start.
    pub(super) const fn cordoned(&self) -> &BTreeSet<MachineId> {
        &self.cordoned
    }
}

impl Engine {
    /// Advances all waves: detects VMs that are back, repeats orders, selects and drains VMs, and
    /// orders maintenance of drained ones.
    pub(super) fn plan_maintenance(&mut self, now: Uptime, state: &JobState) {
        // A VM for which any leader has ordered maintenance may go down at any moment.
        self.maintenance.cordoned = ordered_machines(state);
        for (number, wave) in state.waves() {
            self.detect_returned(now, *number, wave, state);
            self.retry_maintenance_orders(now, *number, wave);
            self.select_machines(now, wave, state);
        }
        self.maintenance.cordoned.extend(self.maintenance.draining.keys().cloned());
        let draining: Vec<_> = self
            .maintenance
            .draining
            .iter()
            .map(|(machine, since)| (machine.clone(), *since))
            .collect();
        for machine in ordered_machines(state) {
            self.drain(now, &machine, self.elected_at, state);
        }
        for (machine, since) in draining {
            self.drain(now, &machine, since, state);
        }
        for (number, wave) in state.waves() {
            self.propose_maintenance(now, *number, wave);
        }
    }

    /// Detects VMs that respond again after their maintenance.
    fn detect_returned(&mut self, now: Uptime, number: u64, wave: &Wave, state: &JobState) {
        for (machine, phase) in wave.machines() {
            if *phase != MaintenancePhase::Down {
                continue;
            }
            let down_since = *self.maintenance.down_since.entry(machine.clone()).or_insert(now);
            let earliest_return = down_since + self.settings.maintenance_duration / 2;
            let has_answered =
                |server: &&Server| server.answered_at.is_some_and(|at| at > earliest_return);
            let answering = self.servers.on_machine(machine).find(has_answered);
            // A VM on standby runs no backend server that could respond.
            let is_back = answering.is_some()
                || (self.is_on_standby(machine, state)
                    && now >= down_since + self.settings.maintenance_duration + STANDBY_MARGIN);
            if is_back {
                self.maintenance.down_since.remove(machine);
                let machine = machine.clone();
                self.output.events.push(EngineEvent::MachineReturned {
                    wave: number,
                    machine: machine.clone(),
                    server: answering.map(|server| server.incarnation().clone()),
                    down_for: now - down_since,
                });
                self.output
                    .commands
                    .push(JobCommand::MaintenanceFinished { wave: number, machine });
            }
        }
    }

    /// Repeats unanswered orders, including those of earlier leaders.
    fn retry_maintenance_orders(&mut self, now: Uptime, number: u64, wave: &Wave) {
        if now < self.elected_at + self.settings.maintenance_handover {
            return;
        }
        let ordered = wave.machines().iter();
        let ordered = ordered.filter(|(_, phase)| **phase == MaintenancePhase::Ordered);
        for (machine, _) in ordered {
            let is_pending = self.calls.values().any(
                |call| matches!(call, PendingCall::Maintain { machine: known, .. } if known == machine),
            );
            let is_backing_off = self.maintenance.retry_at.get(machine).is_some_and(|at| now < *at);
            if !is_pending && !is_backing_off && self.runs_on(machine).is_empty() {
                let down_until = self.latest_return(now);
                self.maintenance.down_until.entry(machine.clone()).or_insert(down_until);
                self.take_down(number, machine);
            }
        }
    }

    /// Selects VMs to drain, up to the wave's cap, the cheapest to drain first.
    fn select_machines(&mut self, now: Uptime, wave: &Wave, state: &JobState) {
        let is_due =
            |machine: &MachineId| wave.machines().get(machine) == Some(&MaintenancePhase::Due);
        self.maintenance
            .draining
            .retain(|machine, _| !wave.machines().contains_key(machine) || is_due(machine));
        let cap = usize::try_from(wave.cap.max(1)).unwrap_or(usize::MAX);
        let draining =
            wave.machines().keys().filter(|id| self.maintenance.draining.contains_key(*id)).count();
        let mut free = cap.saturating_sub(draining);
        let mut due: Vec<_> = wave
            .machines()
            .iter()
            .filter(|(machine, phase)| {
                **phase == MaintenancePhase::Due
                    && !self.capacity.is_moving(machine)
                    && !self.maintenance.draining.contains_key(*machine)
                    && self.maintenance.retry_at.get(*machine).is_none_or(|at| now >= *at)
            })
            .map(|(machine, _)| (self.drain_cost(machine, state), machine.clone()))
            .collect();
        due.sort();
        for (_, machine) in due {
            if free == 0 {
                break;
            }
            free -= 1;
            self.maintenance.draining.insert(machine, now);
        }
    }

    /// The cost of draining a VM: the number of its runs, with long-running tasks weighted.
    fn drain_cost(&self, machine: &MachineId, state: &JobState) -> usize {
        const LONG_RUNNING_WEIGHT: usize = 100;
        let runs = self.runs_on(machine);
        let weight = |task: &TaskId| {
            let is_long_running = self.runs.get(task).is_some_and(|run| run.is_long_running);
            let is_active =
                state.job(&task.step.job).is_some_and(|job| job.phase == JobPhase::Active);
            if is_long_running && is_active { LONG_RUNNING_WEIGHT } else { 1 }
        };
        runs.iter().map(weight).sum()
    }

    /// The tasks with a run on a VM.
    fn runs_on(&self, machine: &MachineId) -> Vec<TaskId> {
        let servers = self.servers.on_machine(machine);
        servers.flat_map(|server| server.runs.iter().copied()).collect()
    }

    /// Stops long-running tasks as their disruption budgets allow, and batch tasks after a grace
    /// period, which is twice as long for those without checkpoints.
    fn drain(&mut self, now: Uptime, machine: &MachineId, since: Uptime, state: &JobState) {
        let grace = self.settings.drain_grace;
        for task in self.runs_on(machine) {
            let Some(run) = self.runs.get(&task) else { continue };
            if run.phase != RunPhase::Running {
                continue;
            }
            let is_grace_over = now >= since + grace;
            let may_stop = if run.is_long_running {
                self.may_interrupt(&task, run, state)
            } else {
                is_grace_over && (run.is_checkpointed || now >= since + grace * 2)
            };
            if may_stop {
                self.stop_run(&task);
            }
        }
    }

    /// Whether planned maintenance may make a long-running task unavailable now.
    pub(super) fn may_interrupt(&self, task: &TaskId, run: &Run, state: &JobState) -> bool {
        let Some((job, step)) = state.step(&task.step) else { return true };
        if job.phase != JobPhase::Active {
            return true;
        }
        let spec = job.step_spec(task.step.step);
        let budget = spec.and_then(|spec| spec.max_unavailable).unwrap_or(1);
        // The task itself counts as serving, since the last poll may be out of date.
        let others_unavailable = (0..step.task_count()).filter(|index| {
            let other = TaskId { step: task.step, index: *index };
            other != *task
                && !self.runs.get(&other).is_some_and(|run| self.is_confirmed_serving(run))
        });
        let others_unavailable = u32::try_from(others_unavailable.count()).unwrap_or(u32::MAX);
        others_unavailable < budget && self.has_alternative(&task.step, run, state)
    }

    /// Whether a run is serving on a backend server that responds.
    fn is_confirmed_serving(&self, run: &Run) -> bool {
        let server = self.servers.get(&run.incarnation.id);
        run.is_serving() && server.is_some_and(|server| !server.is_failing)
    }

    /// Whether another backend server meets the constraints of the task and has the total capacity
    /// for it.
    fn has_alternative(&self, step: &StepId, run: &Run, state: &JobState) -> bool {
        let Some(job) = state.job(&step.job) else { return true };
        let Some(spec) = job.step_spec(step.step) else { return true };
        let Some(own) = self.servers.get(&run.incarnation.id) else { return true };
        let request =
            super::placement::PlacementRequest { step: *step, spec, pool: &own.record.pool };
        self.servers.values().any(|server| {
            server.record.incarnation.id != own.record.incarnation.id
                && !server.is_failing
                && self.may_start_on(server, state)
                && self.meets_constraints(&request, server)
                && spec.reservation().fits_in(&server.record.capacity)
        })
    }

    /// Proposes maintenance of drained VMs, up to the wave's cap.
    fn propose_maintenance(&mut self, now: Uptime, number: u64, wave: &Wave) {
        if now < self.elected_at + self.settings.maintenance_handover {
            return;
        }
        let due = wave.machines().iter().filter(|(_, phase)| **phase == MaintenancePhase::Due);
        let (proposed, waiting): (Vec<_>, Vec<_>) = due
            .map(|(machine, _)| machine)
            .partition(|machine| self.maintenance.proposed.contains(*machine));
        let cap = usize::try_from(wave.cap.max(1)).unwrap_or(usize::MAX);
        let free = cap.saturating_sub(wave.down_count() + proposed.len());
        let is_drained = |machine: &&MachineId| {
            self.maintenance.draining.contains_key(*machine) && self.runs_on(machine).is_empty()
        };
        let drained: Vec<_> = waiting.into_iter().filter(is_drained).take(free).cloned().collect();
        for machine in drained {
            self.maintenance.proposed.insert(machine.clone());
            self.output.commands.push(JobCommand::MaintenanceOrdered { wave: number, machine });
        }
    }

    /// Handles a committed command to maintain a VM.
    pub(super) fn handle_maintenance_committed(&mut self, wave: u64, machine: &MachineId) {
        self.maintenance.proposed.remove(machine);
        self.maintenance.down_until.remove(machine);
        self.take_down(wave, machine);
    }

    /// Sends the order that takes a VM down for maintenance.
    fn take_down(&mut self, wave: u64, machine: &MachineId) {
        let call = self.register_call(PendingCall::Maintain { wave, machine: machine.clone() });
        self.output.actions.push(Action::Maintain {
            call,
            fence: self.term.get(),
            wave,
            machine: machine.clone(),
        });
    }

    /// Handles the response to an order for a VM.
    pub fn handle_machine_response(
        &mut self,
        now: Uptime,
        call: CallId,
        response: MachineResponse,
    ) {
        let (wave, machine) = match self.calls.remove(&call) {
            Some(PendingCall::Maintain { wave, machine }) => (wave, machine),
            Some(PendingCall::Move { machine }) => {
                self.handle_move_response(now, &machine, response);
                return;
            }
            _ => return,
        };
        let event =
            EngineEvent::MachineResponded { machine: machine.clone(), pool: None, response };
        self.output.events.push(event);
        let command = match response {
            MachineResponse::Accepted => {
                self.maintenance.retry_at.insert(machine.clone(), now + ACCEPTED_RETRY_DELAY);
                JobCommand::MaintenanceStarted { wave, machine }
            }
            MachineResponse::Unknown => JobCommand::MaintenanceFinished { wave, machine },
            MachineResponse::Busy => {
                self.maintenance.retry_at.insert(machine.clone(), now + BUSY_RETRY_DELAY);
                if self.maintenance.down_until.get(&machine).is_some_and(|until| now < *until) {
                    return;
                }
                self.maintenance.draining.remove(&machine);
                JobCommand::MaintenanceRefused { wave, machine }
            }
            MachineResponse::Fenced | MachineResponse::Lost => {
                let down_until = self.latest_return(now);
                self.maintenance.down_until.insert(machine.clone(), down_until);
                self.maintenance.retry_at.insert(machine, now + LOST_RETRY_DELAY);
                return;
            }
        };
        self.output.commands.push(command);
    }

    /// The time until which an order sent before `now` may keep its VM down.
    fn latest_return(&self, now: Uptime) -> Uptime {
        now + self.settings.maintenance_duration + DOWN_MARGIN
    }

    /// Records that maintenance of a VM has started.
    pub(super) fn record_down(&mut self, now: Uptime, machine: &MachineId) {
        self.maintenance.down_since.insert(machine.clone(), now);
        self.maintenance.draining.remove(machine);
    }
}

/// The VMs whose maintenance is ordered and may not have started.
fn ordered_machines(state: &JobState) -> BTreeSet<MachineId> {
    let all = state.waves().values().flat_map(Wave::machines);
    let ordered = all.filter(|(_, phase)| **phase == MaintenancePhase::Ordered);
    ordered.map(|(machine, _)| machine.clone()).collect()
}

/// The delay before an order is repeated whose acceptance has not been committed.
const ACCEPTED_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(1_000);

/// Added to the maintenance duration before a VM on standby counts as back.
const STANDBY_MARGIN: std::time::Duration = std::time::Duration::from_millis(500);

/// Added to the maintenance duration for the time until which an order may keep its VM down.
const DOWN_MARGIN: std::time::Duration = std::time::Duration::from_millis(500);

/// The delay before an order is repeated after the VM could not go down.
const BUSY_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(700);

/// The delay before an unanswered order is repeated.
const LOST_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(300);
