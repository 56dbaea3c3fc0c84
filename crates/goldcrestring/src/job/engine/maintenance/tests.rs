//! Tests of responses to orders that take VMs down for maintenance.

use super::super::{Action, CallId, Engine, EngineSettings, MachineResponse};
use crate::clock::Uptime;
use crate::job::command::JobCommand;
use crate::job::id::MachineId;
use crate::job::state::{JobState, MaintenancePhase};
use crate::quantity::Term;
use std::collections::BTreeSet;
use std::time::Duration;

const WALL_MS: u64 = 1_700_000_000_000;

const WAVE: u64 = 1;

/// A leader with a wave of one VM that is ordered down.
struct Leader {
    state: JobState,
    engine: Engine,
    now: Uptime,
}

impl Leader {
    fn new() -> Self {
        let mut state = JobState::default();
        let machines = BTreeSet::from([machine()]);
        let deadline_ms = WALL_MS + 100_000;
        state.apply(&JobCommand::Wave { number: WAVE, machines, cap: 1, deadline_ms });
        let now = Duration::from_secs(100);
        let engine = Engine::new(now, Term::new(1), EngineSettings::default(), &state);
        Self { state, engine, now: now + EngineSettings::default().maintenance_handover }
    }

    /// Applies the command that orders the VM down.
    fn order(&mut self) {
        let command = JobCommand::MaintenanceOrdered { wave: WAVE, machine: machine() };
        let outcome = self.state.apply(&command);
        self.engine.handle_applied(self.now, &command, &outcome, &self.state);
    }

    /// Runs until the engine sends an order for the VM.
    fn next_order(&mut self) -> CallId {
        for _ in 0..100 {
            self.engine.advance(self.now, WALL_MS, &self.state);
            let output = self.engine.take_output();
            let order = output.actions.iter().find_map(|action| match action {
                Action::Maintain { call, .. } => Some(*call),
                _ => None,
            });
            for command in &output.commands {
                self.state.apply(command);
            }
            if let Some(order) = order {
                return order;
            }
            self.now += Duration::from_millis(50);
        }
        panic!("no order for the VM");
    }

    /// Responds to an order and returns the phase of the VM.
    fn respond(&mut self, call: CallId, response: MachineResponse) -> MaintenancePhase {
        self.engine.handle_machine_response(self.now, call, response);
        for command in &self.engine.take_output().commands {
            self.state.apply(command);
        }
        self.state.waves()[&WAVE].machines()[&machine()]
    }
}

fn machine() -> MachineId {
    "m-0".into()
}

/// Guards against more VMs down than the cap of the wave: an order was carried out, its response was
/// lost, and the repeated order finds the VM down.
#[test]
fn a_repeated_order_that_finds_the_vm_down_does_not_make_it_due_again() {
    let mut leader = Leader::new();
    leader.order();
    let first = leader.next_order();
    assert_eq!(leader.respond(first, MachineResponse::Lost), MaintenancePhase::Ordered);
    let repeated = leader.next_order();
    assert_eq!(leader.respond(repeated, MachineResponse::Busy), MaintenancePhase::Ordered);
    assert_eq!(leader.state.waves()[&WAVE].down_count(), 1);
    let last = leader.next_order();
    assert_eq!(leader.respond(last, MachineResponse::Accepted), MaintenancePhase::Down);
}

/// Guards against the same after a change of the leader, which doesn't know of earlier orders.
#[test]
fn an_order_repeated_by_the_next_leader_does_not_make_the_vm_due_again() {
    let mut leader = Leader::new();
    leader.order();
    let elected_at = leader.now;
    leader.engine = Engine::new(elected_at, Term::new(2), EngineSettings::default(), &leader.state);
    let repeated = leader.next_order();
    assert_eq!(leader.respond(repeated, MachineResponse::Busy), MaintenancePhase::Ordered);
}

/// Guards against a VM that never goes down holding a place under the cap for ever.
#[test]
fn a_refusal_counts_once_no_earlier_order_can_keep_the_vm_down() {
    let mut leader = Leader::new();
    leader.order();
    let only = leader.next_order();
    assert_eq!(leader.respond(only, MachineResponse::Busy), MaintenancePhase::Due);

    let mut leader = Leader::new();
    leader.order();
    let first = leader.next_order();
    leader.respond(first, MachineResponse::Lost);
    for _ in 0..10 {
        let repeated = leader.next_order();
        if leader.respond(repeated, MachineResponse::Busy) == MaintenancePhase::Due {
            return;
        }
    }
    panic!("the VM is never due again");
}
