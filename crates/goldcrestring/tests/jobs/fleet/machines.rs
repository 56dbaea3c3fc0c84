//! The VMs of the simulated fleet, and the orders for them.

use super::{Event, Fleet};
use crate::server::Server;
use goldcrestring::job::engine::{Action, ListedMachine, MachinePage, MachineResponse};
use goldcrestring::job::state::ServerRecord;
use goldcrestring::job::{MachineId, PoolId};
use goldcrestring::quantity::Term;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time a VM is down for a move or for maintenance.
const VM_DOWNTIME: Duration = Duration::from_millis(1_500);

impl Fleet {
    /// Executes an order for a VM, or lists all VMs.
    pub(super) fn execute_machine_action(&mut self, term: Term, action: Action) {
        let (call, machine, to) = match action {
            Action::Maintain { call, machine, .. } => {
                self.maintenance_starts.push(machine.clone());
                (call, machine, None)
            }
            Action::Move { call, machine, pool, .. } => (call, machine, Some(pool)),
            Action::ListMachines { call, .. } => {
                let machines = self.machine_list();
                if let Some(engine) = self.engine.as_mut().filter(|_| term == self.term) {
                    engine.handle_machine_page(
                        call,
                        Some(MachinePage { machines, ..MachinePage::default() }),
                    );
                }
                return;
            }
            _ => return,
        };
        let Some((pool, is_up)) = self.machines.get_mut(&machine) else { return };
        let response = if *is_up { MachineResponse::Accepted } else { MachineResponse::Busy };
        if *is_up {
            if to.is_none() {
                self.in_maintenance.insert(machine.clone());
            }
            *is_up = false;
            let pool = to.unwrap_or_else(|| pool.clone());
            self.end_servers_on(&machine);
            self.push(VM_DOWNTIME, Event::VmUp(machine, pool));
        }
        if let Some(engine) = self.engine.as_mut().filter(|_| term == self.term) {
            engine.handle_machine_response(self.now, call, response);
        }
    }

    /// Brings a VM up in a pool and starts a backend server on it, except in the standby pool.
    pub(super) fn start_vm(&mut self, id: &MachineId, pool: PoolId) {
        self.machines.insert(id.clone(), (pool.clone(), true));
        self.in_maintenance.remove(id);
        // A test may have restarted the backend server that ran on the VM before.
        self.end_servers_on(id);
        if pool.as_str() == "standby" {
            return;
        }
        self.next_server_number += 1;
        let number = self.next_server_number;
        let template = Self::record(number, u64::from(number));
        let record = ServerRecord { machine: Some(id.clone()), pool, ..template };
        self.servers.insert(record.incarnation.id.clone(), Server::new(record.clone(), self.now));
        self.announce(&record);
    }

    /// Ends the backend servers on a VM, which runs one at a time.
    fn end_servers_on(&mut self, machine: &MachineId) {
        for server in self.servers.values_mut() {
            if server.record.machine.as_ref() == Some(machine) {
                server.is_up = false;
                server.running.clear();
            }
        }
    }

    fn machine_list(&self) -> Vec<ListedMachine> {
        let machines = self.machines.iter().map(|(machine, (pool, is_up))| ListedMachine {
            machine: machine.clone(),
            pool: pool.clone(),
            is_up: *is_up,
            data_centre: "dc-0".into(),
            labels: BTreeSet::new(),
            capacity: Self::record(0, 1).capacity,
        });
        machines.collect()
    }
}
