//! State that a replica has only as the leader, and periodic tasks.

use super::{PERIODIC_INTERVAL, RELAY_INTERVAL, REQUEST_TIMEOUT, Replica};
use crate::fleet::leader_client::call_peer;
use crate::fleet::relay;
use crate::log::event;
use goldcrestring::clock::Uptime;
use goldcrestring::job::Engine;
use goldcrestring::process::Leader;
use goldcrestring::process::leader::REPLACE_VOTER_AFTER;
use goldcrestring::quantity::Term;
use goldcrestring_wire::job_message::{FleetRequest, FleetResponse, path};
use goldcrestring_wire::runtime::spawn;
use std::sync::Arc;

/// State that a leader keeps for one term.
pub(super) struct LeaderState {
    pub(super) term: Term,
    pub(super) engine: Engine,
    /// Tracks replicas and plans changes of the membership.
    pub(super) membership: Leader,
}

impl Replica {
    /// Creates or drops the leader state when leadership or term changes.
    pub(super) fn update_leadership(&mut self, now: Uptime) {
        let term = self.log.consensus.term();
        // A new leader knows which earlier entries are committed only once an entry of its own term
        // is committed.
        let is_caught_up = self.log.consensus.is_leader()
            && self.log.consensus.has_committed_in_term()
            && self.log.state.applied() >= self.log.consensus.committed();
        let is_same_term =
            self.leader_state.as_ref().is_some_and(|leader_state| leader_state.term == term);
        if self.leader_state.is_some() && !(is_same_term && self.log.consensus.is_leader()) {
            self.leader_state = None;
            self.pending.fail_all();
            event!(info, "leadership", is_leader = false, term = term);
        }
        if self.leader_state.is_none() && is_caught_up {
            let settings = self.node.settings().engine();
            let engine = Engine::new(now, term, settings, self.log.state.jobs());
            self.leader_state = Some(LeaderState { term, engine, membership: Leader::new(now) });
            event!(info, "leadership", is_leader = true, term = term);
        }
        self.publish_leadership(now);
    }

    /// Updates the process's view of the leader, which the other threads read.
    fn publish_leadership(&self, now: Uptime) {
        let mut leadership = self.node.leadership();
        leadership.term = self.log.consensus.term();
        let lease_until = self.log.consensus.leader_lease_until();
        leadership.leader_lease_until = lease_until.filter(|_| self.leader_state.is_some());
        if self.is_leading(now) {
            leadership.last_contact_at = Some(now);
        }
        let leader = self.leader_node();
        if leader.is_some() && leadership.leader != leader {
            leadership.leader = leader;
        }
        let membership = self.log.consensus.membership();
        let replica_count = membership.voters.len() + membership.learners.len();
        if leadership.replicas.len() != replica_count {
            leadership.replicas =
                membership.replicas().map(|replica| replica.node.clone()).collect();
        }
    }

    /// Updates the relays, once per interval and with each term. A new leader probes them before it
    /// commits the first entry of its term, so that its first polls use the connections that they
    /// have kept.
    pub(super) fn update_relays(&mut self, now: Uptime) {
        let consensus = &self.log.consensus;
        let term = consensus.is_leader().then(|| consensus.term());
        if term == self.relay_term && now < self.next_relay_update_at {
            return;
        }
        self.relay_term = term;
        self.next_relay_update_at = now + RELAY_INTERVAL;
        let servers = self.log.state.jobs().servers().len();
        let replicas = self.log.consensus.membership().replicas();
        let others = replicas.map(|replica| &replica.node).filter(|id| **id != self.node.id);
        let others = others.cloned().collect();
        relay::update(&self.node, now, term, servers, others);
    }

    /// Requests to join and plans the membership, once per interval.
    pub(super) fn run_periodic_tasks(&mut self, now: Uptime) {
        if now < self.next_periodic_at {
            return;
        }
        self.next_periodic_at = now + PERIODIC_INTERVAL;
        let record_bytes = self.log.state.jobs().record_bytes();
        metrics::gauge!("goldcrestring_job_record_bytes").set(record_bytes as f64);
        self.check_membership(now);
        self.plan_membership(now);
        self.report_announcements(now);
    }

    /// Tells the leader which backend servers this follower has heard from.
    fn report_announcements(&mut self, now: Uptime) {
        let Some(leader) = self.remote_leader() else { return };
        let Some(servers) = self.announcements.take(now) else { return };
        let node = Arc::clone(&self.node);
        spawn(async move {
            let request = FleetRequest::Announced(servers);
            let sent = call_peer::<_, FleetResponse>(
                &node,
                &leader,
                path::FLEET,
                &request,
                REQUEST_TIMEOUT,
            );
            // The next announcements come within two seconds, so a lost message isn't repeated.
            if let Err(problem) = sent.await {
                event!(info, "announcements-unsent", leader = leader, problem = problem);
            }
        })
        .detach();
    }

    fn plan_membership(&mut self, now: Uptime) {
        let target_voters = self.node.settings().target_voters();
        let Some(leader_state) = &mut self.leader_state else { return };
        let membership = leader_state.membership.plan_membership(
            now,
            &self.log.consensus,
            target_voters,
            REPLACE_VOTER_AFTER,
        );
        let Some(membership) = membership else { return };
        if let Err(error) = self.log.consensus.propose_membership(now, membership) {
            event!(info, "membership-waits", reason = error);
        }
    }
}
