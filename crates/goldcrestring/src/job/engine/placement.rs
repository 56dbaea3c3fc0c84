//! Where a task may run, and where it runs best.

use super::Engine;
use super::server::Server;
use crate::clock::Uptime;
use crate::job::id::{PoolId, ServerId, StepId, TaskId};
use crate::job::spec::StepSpec;
use crate::job::state::JobState;
use std::collections::BTreeSet;
use std::time::Duration;

/// How long an order may be unanswered before its backend server gets no new starts.
const SILENT_ORDER: Duration = Duration::from_millis(120);

/// What one placement has to respect.
pub(super) struct Demand<'a> {
    pub(super) step: StepId,
    pub(super) spec: &'a StepSpec,
    pub(super) pool: &'a PoolId,
}

impl Engine {
    /// Whether the rules let anything start on a backend server at all.
    pub(super) fn may_start_on(&self, server: &Server, state: &JobState) -> bool {
        let record = &server.record;
        let is_out = state.data_centres_out().contains(&record.data_centre);
        let is_closing = record.machine.as_ref().is_some_and(|machine| self.is_closing(machine));
        !record.is_draining && server.left_at.is_none() && !is_out && !is_closing
    }

    /// The backend servers that may be given something now.
    pub(super) fn open_servers(&self, now: Uptime, state: &JobState) -> BTreeSet<ServerId> {
        let is_open = |server: &&Server| {
            let is_silent = |sent_at: &Uptime| now.saturating_sub(*sent_at) > SILENT_ORDER;
            !server.is_failing
                && server.answered_at.is_some()
                && now >= server.refused_until
                && !server.lanes.values().any(is_silent)
                && self.may_start_on(server, state)
        };
        let open = self.servers.values().filter(is_open);
        open.map(|server| server.record.life.id.clone()).collect()
    }

    /// The best backend server with room for one more task.
    pub(super) fn place(&self, demand: &Demand<'_>, open: &BTreeSet<ServerId>) -> Option<ServerId> {
        let fits = |server: &&Server| {
            self.suits(demand, server) && demand.spec.room().fits_in(&server.free())
        };
        let servers = open.iter().filter_map(|id| self.servers.get(id)).filter(fits);
        // Packed servers leave others empty, which can then serve another pool.
        let best = servers.max_by_key(|server| {
            let is_near = is_near(demand.spec, server);
            let lasting = self.lasting_on(server);
            let free = server.free().minus(&demand.spec.room());
            (is_near, lasting, std::cmp::Reverse(free.cpu_millis))
        });
        best.map(|server| server.record.life.id.clone())
    }

    /// Whether a backend server may run a task but for its room.
    pub(super) fn suits(&self, demand: &Demand<'_>, server: &Server) -> bool {
        let spec = demand.spec;
        let has_label =
            spec.required_label.as_ref().is_none_or(|label| server.record.labels.contains(label));
        let place = (demand.step, server.record.life.id.clone());
        let count = self.spread.get(&place).copied().unwrap_or(0);
        let has_spread = spec.max_per_server == 0 || count < spec.max_per_server;
        server.record.pool == *demand.pool && has_label && has_spread
    }

    /// The number of runs that last on a backend server.
    fn lasting_on(&self, server: &Server) -> usize {
        let is_lasting = |task: &&TaskId| self.runs.get(*task).is_some_and(|run| run.is_lasting);
        server.runs.iter().filter(is_lasting).count()
    }
}

/// Whether the data of a step is in the rack of a backend server.
fn is_near(spec: &StepSpec, server: &Server) -> bool {
    spec.data_rack.as_ref().is_none_or(|rack| server.record.labels.contains(rack))
}
