//! Moves of VMs to other pools, from the decision to the arrival.

use crate::clock::Uptime;
use crate::job::engine::message::{Action, EngineEvent, MachineResponse};
use crate::job::engine::{Engine, PendingCall};
use crate::job::id::{MachineId, PoolId, ServerId};
use crate::job::state::JobState;
use std::time::Duration;

/// How long a VM may take to drain, and again to come up in its new pool.
const MOVE_TIMEOUT: Duration = Duration::from_millis(6_000);

/// A VM that is moving to another pool.
#[derive(Clone, Debug)]
pub(super) struct Move {
    pub(super) to: PoolId,
    /// When the move was decided or, once it is ordered, when it was ordered.
    since: Uptime,
    /// Whether the move has been ordered, which requires that the VM is drained.
    is_ordered: bool,
    /// The backend server on the VM before the move; it is removed once the move is accepted.
    from: Option<ServerId>,
}

impl Engine {
    /// Starts a move: the VM takes no new tasks, and the move is ordered once it is empty.
    pub(super) fn start_move(&mut self, now: Uptime, machine: &MachineId, to: &PoolId) {
        let current = self.servers.on_machine(machine).next();
        let from = current.map(|server| server.incarnation().id.clone());
        let moving = Move { to: to.clone(), since: now, is_ordered: false, from };
        self.capacity.moves.insert(machine.clone(), moving);
    }

    /// Orders the moves whose VMs have been drained.
    pub(super) fn order_moves(&mut self, now: Uptime) {
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
            let call = self.register_call(PendingCall::Move { machine: machine.clone() });
            let fence = self.term.get();
            self.output.actions.push(Action::Move { call, fence, machine, pool });
        }
    }

    /// Handles the response to an order that moves a VM.
    pub(in crate::job::engine) fn handle_move_response(
        &mut self,
        now: Uptime,
        machine: &MachineId,
        response: MachineResponse,
    ) {
        let Some(moving) = self.capacity.moves.get(machine).cloned() else { return };
        let pool = Some(moving.to.clone());
        let machine_id = machine.clone();
        self.output.events.push(EngineEvent::MachineResponded {
            machine: machine_id,
            pool,
            response,
        });
        match response {
            MachineResponse::Accepted => {
                if let Some(listed) = self.capacity.listed.get_mut(machine) {
                    listed.pool = moving.to.clone();
                    listed.is_up = false;
                }
                let leaving = moving.from.as_ref().and_then(|id| self.servers.get_mut(id));
                if let Some(server) = leaving {
                    server.moved_at.get_or_insert(now);
                    let incarnation = server.incarnation().clone();
                    self.propose_removal(&incarnation);
                }
            }
            MachineResponse::Unknown => {
                self.capacity.refused.insert((machine.clone(), moving.to));
                self.capacity.moves.remove(machine);
            }
            MachineResponse::Busy | MachineResponse::Fenced | MachineResponse::Lost => {
                // The next announcement from the VM shows whether a lost order was carried out.
                self.capacity.moves.remove(machine);
                self.capacity.next_list_at = now;
            }
        }
    }

    /// Removes moves that have completed or timed out.
    pub(super) fn end_moves(&mut self, now: Uptime, state: &JobState) {
        let has_arrived = |machine: &MachineId, moving: &Move| {
            self.servers.on_machine(machine).any(|server| {
                server.record.pool == moving.to
                    && Some(&server.incarnation().id) != moving.from.as_ref()
                    && server.answered_at.is_some()
            })
        };
        let is_standby = |pool: &PoolId| {
            state.plan().and_then(|plan| plan.pool(pool)).is_some_and(|pool| pool.is_standby)
        };
        let ended: Vec<_> = self
            .capacity
            .moves
            .iter()
            .filter(|(machine, moving)| {
                // A VM on standby runs no backend server that could announce its arrival.
                let is_off = moving.is_ordered
                    && is_standby(&moving.to)
                    && now >= moving.since + MOVE_TIMEOUT / 3;
                has_arrived(machine, moving) || is_off || now >= moving.since + MOVE_TIMEOUT
            })
            .map(|(machine, moving)| (machine.clone(), moving.to.clone()))
            .collect();
        for (machine, to) in ended {
            self.capacity.moves.remove(&machine);
            if let Some(listed) = self.capacity.listed.get_mut(&machine) {
                listed.is_up = listed.pool == to;
            }
        }
    }
}
