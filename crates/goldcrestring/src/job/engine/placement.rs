//! Rules on where a task may run.

use super::Engine;
use super::server::Server;
use crate::clock::Uptime;
use crate::job::id::{PoolId, StepId, TeamId};
use crate::job::resources::Resources;
use crate::job::spec::StepSpec;
use crate::job::state::{Job, JobState};
use std::time::Duration;

/// The time after which an unanswered order keeps its backend server from getting new starts.
pub(super) const OVERDUE_ORDER_THRESHOLD: Duration = Duration::from_millis(120);

/// The step of a task to be placed, with its constraints.
pub(super) struct PlacementRequest<'a> {
    pub(super) step: StepId,
    pub(super) spec: &'a StepSpec,
    pub(super) pool: &'a PoolId,
}

/// A team limit that more tasks would exceed.
pub(super) struct LimitExceeded {
    pub(super) team: TeamId,
    pub(super) used: Resources,
    pub(super) limit: Resources,
}

impl Engine {
    /// Returns the limit of the job's team, and its use, if `count` more tasks would exceed it.
    pub(super) fn exceeded_limit(
        &self,
        job: &Job,
        spec: &StepSpec,
        count: u64,
        state: &JobState,
    ) -> Option<LimitExceeded> {
        let team = job.team.as_ref()?;
        let limit = state.plan()?.team(team)?.limit;
        let used = self.used_by_team.get(team).copied().unwrap_or_default();
        let is_over = !used.saturating_add(&spec.demand.saturating_mul(count)).is_within(&limit);
        is_over.then(|| LimitExceeded { team: team.clone(), used, limit })
    }

    /// Whether tasks may start on a backend server, apart from its health and load.
    pub(super) fn may_start_on(&self, server: &Server, state: &JobState) -> bool {
        let record = &server.record;
        let is_out = state.data_centres_out_of_service().contains(&record.data_centre);
        let is_cordoned = record.machine.as_ref().is_some_and(|machine| self.is_cordoned(machine));
        !record.is_provisional
            && !record.is_draining
            && !server.is_leaving
            && server.moved_at.is_none()
            && !is_out
            && !is_cordoned
    }

    /// Whether a backend server accepts new tasks now.
    pub(super) fn is_open(&self, now: Uptime, server: &Server, state: &JobState) -> bool {
        let is_overdue = |sent_at: &Uptime| now.saturating_sub(*sent_at) > OVERDUE_ORDER_THRESHOLD;
        !server.is_failing
            && server.answered_at.is_some()
            && now >= server.backoff_until
            && !server.unanswered_orders.values().any(is_overdue)
            && self.may_start_on(server, state)
    }

    /// Whether a backend server meets all constraints of a task except free capacity.
    pub(super) fn meets_constraints(
        &self,
        request: &PlacementRequest<'_>,
        server: &Server,
    ) -> bool {
        let spec = request.spec;
        let has_label =
            spec.required_label.as_ref().is_none_or(|label| server.record.labels.contains(label));
        let is_below_max = || {
            let key = (request.step, server.record.incarnation.id.clone());
            let count = self.runs_per_server.get(&key).copied().unwrap_or(0);
            count < spec.max_per_server
        };
        server.record.pool == *request.pool
            && has_label
            && (spec.max_per_server == 0 || is_below_max())
    }
}
