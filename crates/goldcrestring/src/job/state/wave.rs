//! Waves of upkeep.

use crate::job::id::MachineId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How far the upkeep of one VM is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MaintenancePhase {
    /// It is still to come.
    Due,
    /// The order is on its way, and may have been carried out.
    Ordered,
    /// It has begun.
    Down,
    /// The VM is back, or is none of the fleet any more.
    #[serde(rename = "Over")]
    Finished,
}

/// One wave: VMs that are due for upkeep, a few at a time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Wave {
    machines: BTreeMap<MachineId, MaintenancePhase>,
    /// The most VMs down at once.
    pub cap: u32,
    /// By when, in milliseconds since 1970.
    pub deadline_ms: u64,
}

impl Wave {
    pub(super) fn new(machines: &BTreeSet<MachineId>, cap: u32, deadline_ms: u64) -> Self {
        let machines = machines.iter().map(|machine| (machine.clone(), MaintenancePhase::Due));
        Self { machines: machines.collect(), cap, deadline_ms }
    }

    /// The VMs and how far each is.
    pub const fn machines(&self) -> &BTreeMap<MachineId, MaintenancePhase> {
        &self.machines
    }

    /// The number of VMs that are down or may be.
    pub fn down(&self) -> usize {
        let is_down = |upkeep: &&MaintenancePhase| {
            matches!(upkeep, MaintenancePhase::Ordered | MaintenancePhase::Down)
        };
        self.machines.values().filter(is_down).count()
    }

    /// Whether the upkeep of every VM has begun.
    pub fn is_completed(&self) -> bool {
        let has_begun = |upkeep: &MaintenancePhase| {
            matches!(upkeep, MaintenancePhase::Down | MaintenancePhase::Finished)
        };
        self.machines.values().all(has_begun)
    }

    pub(super) fn set(&mut self, machine: &MachineId, upkeep: MaintenancePhase) {
        if let Some(present) = self.machines.get_mut(machine) {
            *present = upkeep;
        }
    }
}
