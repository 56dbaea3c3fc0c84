//! Where a task may run.

use super::Engine;
use super::server::Server;
use crate::clock::Uptime;
use crate::job::id::{PoolId, StepId, TeamId};
use crate::job::resources::Resources;
use crate::job::spec::StepSpec;
use crate::job::state::{Job, JobState};
use std::time::Duration;

/// How long an order may be unanswered before its backend server gets no new starts.
const SILENT_ORDER: Duration = Duration::from_millis(120);

/// What one placement has to respect.
pub(super) struct Demand<'a> {
    pub(super) step: StepId,
    pub(super) spec: &'a StepSpec,
    pub(super) pool: &'a PoolId,
}

/// A team that so many more tasks would take over its limit.
pub(super) struct OverLimit {
    pub(super) team: TeamId,
    pub(super) used: Resources,
    pub(super) limit: Resources,
}

impl Engine {
    /// Whether so many more tasks of a step would take the team of its job over its limit.
    pub(super) fn over_limit(
        &self,
        job: &Job,
        spec: &StepSpec,
        count: u64,
        state: &JobState,
    ) -> Option<OverLimit> {
        let team = job.team.as_ref()?;
        let limit = state.plan()?.team(team)?.limit;
        let used = self.used_by_team.get(team).copied().unwrap_or_default();
        let is_over = !used.saturating_add(&spec.demand.saturating_mul(count)).is_within(&limit);
        is_over.then(|| OverLimit { team: team.clone(), used, limit })
    }

    /// Whether the rules let anything start on a backend server at all.
    pub(super) fn may_start_on(&self, server: &Server, state: &JobState) -> bool {
        let record = &server.record;
        let is_out = state.data_centres_out_of_service().contains(&record.data_centre);
        let is_closing = record.machine.as_ref().is_some_and(|machine| self.is_closing(machine));
        !record.is_draining && server.left_at.is_none() && !is_out && !is_closing
    }

    /// Whether a backend server may be given something now.
    pub(super) fn is_open(&self, now: Uptime, server: &Server, state: &JobState) -> bool {
        let is_silent = |sent_at: &Uptime| now.saturating_sub(*sent_at) > SILENT_ORDER;
        !server.is_failing
            && server.answered_at.is_some()
            && now >= server.refused_until
            && !server.lanes.values().any(is_silent)
            && self.may_start_on(server, state)
    }

    /// Whether a backend server may run a task but for its room.
    pub(super) fn suits(&self, demand: &Demand<'_>, server: &Server) -> bool {
        let spec = demand.spec;
        let has_label =
            spec.required_label.as_ref().is_none_or(|label| server.record.labels.contains(label));
        let has_spread = || {
            let place = (demand.step, server.record.incarnation.id.clone());
            let count = self.spread.get(&place).copied().unwrap_or(0);
            count < spec.max_per_server
        };
        server.record.pool == *demand.pool
            && has_label
            && (spec.max_per_server == 0 || has_spread())
    }
}
