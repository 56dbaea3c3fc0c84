//! What a replica does while it leads.

use super::{DUTY_INTERVAL, Replica};
use crate::log::event;
use goldcrestring::clock::Uptime;
use goldcrestring::job::Engine;
use goldcrestring::job::JobCommand;
use goldcrestring::job::state::JobPhase;
use goldcrestring::process::Leader;
use goldcrestring::quantity::Term;
use std::time::Duration;

/// How long a voter may be silent before a live learner takes its place.
const REPLACE_VOTER_AFTER: Duration = Duration::from_millis(2_500);

/// The most jobs that one command forgets.
const MAX_FORGOTTEN: usize = 256;

/// What lives for one term on the leader.
pub(super) struct Leading {
    pub(super) term: Term,
    pub(super) engine: Engine,
    pub(super) membership: Leader,
}

impl Replica {
    /// Starts and ends what lives for a term.
    pub(super) fn note_leadership(&mut self, now: Uptime) {
        let term = self.log.consensus.term();
        // Only with an entry of its own term committed does a leader know all earlier ones.
        let is_settled = self.log.consensus.is_leader()
            && self.log.consensus.has_committed_in_term()
            && self.log.state.applied() >= self.log.consensus.committed();
        let is_same = self.leading.as_ref().is_some_and(|leading| leading.term == term);
        if self.leading.is_some() && !(is_same && self.log.consensus.is_leader()) {
            self.leading = None;
            self.waiting.lose();
            event!(info, "leadership", is_leader = false, term = term);
        }
        if self.leading.is_none() && is_settled {
            let settings = self.node.settings().engine();
            let engine = Engine::new(now, term, settings, self.log.state.jobs());
            self.leading = Some(Leading { term, engine, membership: Leader::new(now) });
            event!(info, "leadership", is_leader = true, term = term);
        }
        self.share_leader(now);
    }

    /// Lets the rest of the process know who leads.
    fn share_leader(&self, now: Uptime) {
        let mut leadership = self.node.leadership();
        let lease = self.log.consensus.leader_lease_until();
        leadership.leading_until = lease.filter(|_| self.leading.is_some());
        if self.is_leading(now) {
            leadership.contact_at = Some(now);
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

    pub(super) fn do_duties(&mut self, now: Uptime) {
        if now < self.next_duty {
            return;
        }
        self.next_duty = now + DUTY_INTERVAL;
        self.join_when_absent(now);
        self.plan_membership(now);
        self.forget_jobs();
    }

    fn plan_membership(&mut self, now: Uptime) {
        let wanted = self.node.settings().voters_wanted();
        let Some(leading) = &mut self.leading else { return };
        let next = leading.membership.plan_membership(
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

    /// Forgets jobs that ended long ago.
    fn forget_jobs(&mut self) {
        if self.leading.is_none() {
            return;
        }
        let retention = self.node.settings().retention();
        let retention_ms = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
        let wall_ms = self.node.wall_ms();
        let is_over = |(_, job): &(&goldcrestring::job::JobId, &goldcrestring::job::state::Job)| {
            job.phase != JobPhase::Active && wall_ms > job.ended_at_ms.saturating_add(retention_ms)
        };
        let over: Vec<_> = self
            .log
            .state
            .jobs()
            .jobs()
            .filter(is_over)
            .map(|(id, _)| *id)
            .take(MAX_FORGOTTEN)
            .collect();
        if !over.is_empty() {
            self.waiting.add_own(JobCommand::Forget(over));
        }
    }
}
