//! The leader's records of all backend servers, with an index by VM.

use super::server::Server;
use crate::clock::Uptime;
use crate::job::id::{MachineId, ServerId};
use crate::job::state::ServerRecord;
use std::collections::btree_map::{Iter, IterMut, Values};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// The records by backend server. A VM may have several for a moment, when a new incarnation has
/// another ID than the one before.
#[derive(Debug, Default)]
pub(super) struct Servers {
    by_id: BTreeMap<ServerId, Server>,
    by_machine: BTreeMap<MachineId, BTreeSet<ServerId>>,
}

impl Servers {
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(super) fn contains_key(&self, id: &ServerId) -> bool {
        self.by_id.contains_key(id)
    }

    pub(super) fn get(&self, id: &ServerId) -> Option<&Server> {
        self.by_id.get(id)
    }

    /// Returns a record to be changed. Its VM is changed by [`Self::set_record`] only.
    pub(super) fn get_mut(&mut self, id: &ServerId) -> Option<&mut Server> {
        self.by_id.get_mut(id)
    }

    pub(super) fn iter(&self) -> Iter<'_, ServerId, Server> {
        self.by_id.iter()
    }

    pub(super) fn iter_mut(&mut self) -> IterMut<'_, ServerId, Server> {
        self.by_id.iter_mut()
    }

    pub(super) fn values(&self) -> Values<'_, ServerId, Server> {
        self.by_id.values()
    }

    /// The backend servers on a VM.
    pub(super) fn on_machine(&self, machine: &MachineId) -> impl Iterator<Item = &Server> {
        let ids = self.by_machine.get(machine).into_iter().flatten();
        ids.filter_map(|id| self.by_id.get(id))
    }

    pub(super) fn insert(&mut self, id: ServerId, server: Server) {
        self.remove(&id);
        self.add_to_machine(&id, &server.record);
        self.by_id.insert(id, server);
    }

    pub(super) fn remove(&mut self, id: &ServerId) -> Option<Server> {
        let server = self.by_id.remove(id)?;
        self.remove_from_machine(id, &server.record);
        Some(server)
    }

    /// Adopts a newer record of the same incarnation.
    pub(super) fn set_record(&mut self, id: &ServerId, record: &ServerRecord) {
        let Some(server) = self.by_id.get_mut(id) else { return };
        let before = std::mem::replace(&mut server.record, record.clone());
        self.remove_from_machine(id, &before);
        self.add_to_machine(id, record);
    }

    /// Replaces the incarnation of a backend server.
    pub(super) fn replace_incarnation(
        &mut self,
        id: &ServerId,
        record: &ServerRecord,
        now: Uptime,
        fence: u64,
    ) {
        let Some(server) = self.by_id.get_mut(id) else { return };
        let before = server.record.clone();
        server.replace_incarnation(record, now, fence);
        self.remove_from_machine(id, &before);
        self.add_to_machine(id, record);
    }

    fn add_to_machine(&mut self, id: &ServerId, record: &ServerRecord) {
        if let Some(machine) = &record.machine {
            self.by_machine.entry(machine.clone()).or_default().insert(id.clone());
        }
    }

    fn remove_from_machine(&mut self, id: &ServerId, record: &ServerRecord) {
        let Some(machine) = &record.machine else { return };
        let Some(ids) = self.by_machine.get_mut(machine) else { return };
        ids.remove(id);
        if ids.is_empty() {
            self.by_machine.remove(machine);
        }
    }
}

impl Index<&ServerId> for Servers {
    type Output = Server;

    fn index(&self, id: &ServerId) -> &Server {
        &self.by_id[id]
    }
}

impl<'a> IntoIterator for &'a Servers {
    type IntoIter = Iter<'a, ServerId, Server>;
    type Item = (&'a ServerId, &'a Server);

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl<'a> IntoIterator for &'a mut Servers {
    type IntoIter = IterMut<'a, ServerId, Server>;
    type Item = (&'a ServerId, &'a mut Server);

    fn into_iter(self) -> Self::IntoIter {
        self.iter_mut()
    }
}
