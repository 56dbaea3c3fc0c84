//! Leader-only state of a replica, and its periodic work.

use super::{PERIODIC_INTERVAL, Replica};
use crate::log::event;
use goldcrestring::clock::Uptime;
use goldcrestring::job::Engine;
use goldcrestring::job::JobCommand;
use goldcrestring::job::state::JobPhase;
use goldcrestring::process::Leader;
use goldcrestring::quantity::Term;
use std::time::Duration;

/// Time without contact after which a live learner replaces a voter.
const REPLACE_VOTER_AFTER: Duration = Duration::from_millis(2_500);

/// Maximum number of jobs removed by one command.
const MAX_FORGOTTEN_JOBS: usize = 256;

/// State that a leader keeps for one term.
pub(super) struct LeaderState {
    pub(super) term: Term,
    pub(super) engine: Engine,
    pub(super) membership: Leader,
}

impl Replica {
    /// Creates or drops the leader state when leadership or term changes.
    pub(super) fn update_leadership(&mut self, now: Uptime) {
        let term = self.log.consensus.term();
        // A leader knows all earlier entries only once an entry of its own term is committed.
        let is_settled = self.log.consensus.is_leader()
            && self.log.consensus.has_committed_in_term()
            && self.log.state.applied() >= self.log.consensus.committed();
        let is_same =
            self.leader_state.as_ref().is_some_and(|leader_state| leader_state.term == term);
        if self.leader_state.is_some() && !(is_same && self.log.consensus.is_leader()) {
            self.leader_state = None;
            self.pending.fail_all();
            event!(info, "leadership", is_leader = false, term = term);
        }
        if self.leader_state.is_none() && is_settled {
            let settings = self.node.settings().engine();
            let engine = Engine::new(now, term, settings, self.log.state.jobs());
            self.leader_state = Some(LeaderState { term, engine, membership: Leader::new(now) });
            event!(info, "leadership", is_leader = true, term = term);
        }
        self.publish_leadership(now);
    }

    /// Publishes the current leader to the rest of the process.
    fn publish_leadership(&self, now: Uptime) {
        let mut leadership = self.node.leadership();
        let lease = self.log.consensus.leader_lease_until();
        leadership.leader_lease_until = lease.filter(|_| self.leader_state.is_some());
        if self.is_leading(now) {
            leadership.last_contact_at = Some(now);
        }
        let leader = self.leader_node();
        if leader.is_some() && leadership.leader != leader {
            leadership.leader = leader;
        }
        let membership = self.log.consensus.membership();
        let count = membership.voters.len() + membership.learners.len();
        if leadership.replicas.len() != count {
            leadership.replicas =
                membership.replicas().map(|replica| replica.node.clone()).collect();
        }
    }

    pub(super) fn run_periodic_tasks(&mut self, now: Uptime) {
        if now < self.next_periodic_at {
            return;
        }
        self.next_periodic_at = now + PERIODIC_INTERVAL;
        self.join_if_absent(now);
        self.plan_membership(now);
        self.remove_expired_jobs();
    }

    fn plan_membership(&mut self, now: Uptime) {
        let wanted = self.node.settings().target_voters();
        let Some(leader_state) = &mut self.leader_state else { return };
        let next = leader_state.membership.plan_membership(
            now,
            &self.log.consensus,
            wanted,
            REPLACE_VOTER_AFTER,
        );
        let Some(next) = next else { return };
        if let Err(error) = self.log.consensus.propose_membership(now, next) {
            event!(info, "membership-waits", reason = error);
        }
    }

    /// Removes jobs that ended longer ago than the retention period.
    fn remove_expired_jobs(&mut self) {
        if self.leader_state.is_none() {
            return;
        }
        let retention = self.node.settings().retention();
        let retention_ms = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
        let unix_ms = self.node.unix_ms();
        let is_expired =
            |(_, job): &(&goldcrestring::job::JobId, &goldcrestring::job::state::Job)| {
                job.phase != JobPhase::Active
                    && unix_ms > job.ended_at_ms.saturating_add(retention_ms)
            };
        let expired: Vec<_> = self
            .log
            .state
            .jobs()
            .jobs()
            .filter(is_expired)
            .map(|(id, _)| *id)
            .take(MAX_FORGOTTEN_JOBS)
            .collect();
        if !expired.is_empty() {
            self.pending.add_internal(JobCommand::Forget(expired));
        }
    }
}
