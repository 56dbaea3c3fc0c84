//! Maintenance waves.

use crate::job::id::MachineId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The phase of the maintenance of one VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MaintenancePhase {
    /// Maintenance has not been ordered yet.
    Due,
    /// The order is being sent and may have been carried out.
    Ordered,
    /// Maintenance has started.
    Down,
    /// The VM is back, or no longer belongs to the fleet.
    #[serde(rename = "Over")]
    Finished,
}

/// A maintenance wave: VMs to be maintained, with a limit on how many are down at once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Wave {
    machines: BTreeMap<MachineId, MaintenancePhase>,
    /// The maximum number of VMs down at once.
    pub cap: u32,
    /// The deadline, in milliseconds since 1970.
    pub deadline_ms: u64,
}

impl Wave {
    pub(super) fn new(machines: &BTreeSet<MachineId>, cap: u32, deadline_ms: u64) -> Self {
        let machines = machines.iter().map(|machine| (machine.clone(), MaintenancePhase::Due));
        Self { machines: machines.collect(), cap, deadline_ms }
    }

    /// The VMs with their maintenance phases.
    pub const fn machines(&self) -> &BTreeMap<MachineId, MaintenancePhase> {
        &self.machines
    }

    /// The number of VMs that are down or, as their maintenance is ordered, may be.
    pub fn down_count(&self) -> usize {
        let is_down = |phase: &&MaintenancePhase| {
            matches!(phase, MaintenancePhase::Ordered | MaintenancePhase::Down)
        };
        self.machines.values().filter(is_down).count()
    }

    /// Whether the wave is completed: maintenance of every VM has started.
    pub fn is_completed(&self) -> bool {
        let has_started = |phase: &MaintenancePhase| {
            matches!(phase, MaintenancePhase::Down | MaintenancePhase::Finished)
        };
        self.machines.values().all(has_started)
    }

    pub(super) fn set(&mut self, machine: &MachineId, phase: MaintenancePhase) {
        if let Some(current) = self.machines.get_mut(machine) {
            *current = phase;
        }
    }
}
