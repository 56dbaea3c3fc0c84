//! Elections: pre-vote, vote and leadership transfer.

use super::{Consensus, Leadership, Progress, Request, Response, Role, VoteRequest};
use crate::clock::Uptime;
use crate::process::replica::{HardState, Payload, ReplicaId};
use crate::quantity::{LogIndex, Term};
use std::collections::BTreeSet;

impl Consensus {
    /// Prepares for a planned shutdown: transfers leadership to a voter with an up-to-date log, and stands
    /// for no election from now on, as its term would end with the process.
    ///
    /// Returns the chosen voter, or `None` if this replica is not the leader or no voter is up to
    /// date.
    pub fn transfer_leadership(&mut self, now: Uptime) -> Option<ReplicaId> {
        self.is_stopping = true;
        let last_index = self.last_index();
        let voters = self.membership.voters.clone();
        let leadership = self.leadership()?;
        let is_up_to_date = |(replica, progress): &(&ReplicaId, &Progress)| {
            voters.contains(*replica) && progress.matched == last_index
        };
        let target = leadership
            .progress
            .iter()
            .filter(is_up_to_date)
            .max_by_key(|(_, progress)| progress.acknowledged_at)
            .map(|(replica, _)| replica.clone())?;
        if let Role::Leader(leadership) = &mut self.role {
            leadership.transfer_since = Some(now);
        }
        let request = Request::TimeoutNow { term: self.hard_state.term };
        self.effects.requests.push((target.clone(), request));
        Some(target)
    }

    pub(super) fn start_pre_vote(&mut self, now: Uptime) {
        if self.is_stopping || !self.membership.voters.contains(&self.id) {
            self.reset_election_deadline(now);
            return;
        }
        self.reset_retry_deadline(now);
        self.leader = None;
        self.role = Role::PreCandidate { votes: BTreeSet::from([self.id.clone()]) };
        if self.membership.quorum() == 1 {
            self.start_election(now, false);
            return;
        }
        self.request_votes(true, false, self.hard_state.term.next());
    }

    pub(super) fn handle_timeout_now(&mut self, now: Uptime, term: Term) -> Response {
        let is_voter = self.membership.voters.contains(&self.id);
        if term == self.hard_state.term && is_voter && !self.is_leader() && !self.is_stopping {
            self.start_election(now, true);
        }
        Response::TimeoutNow { term: self.hard_state.term }
    }

    pub(super) fn handle_vote_request(&mut self, now: Uptime, request: VoteRequest) -> Response {
        let is_granted = self.may_vote(now, &request);
        if !request.is_pre_vote {
            if request.term > self.hard_state.term && (is_granted || request.is_transfer) {
                self.become_follower(now, request.term, None);
            }
            if is_granted {
                let vote = Some(request.candidate);
                self.set_hard_state(HardState { term: request.term, vote });
                self.reset_election_deadline(now);
            }
        }
        let term = if is_granted { request.term } else { self.hard_state.term };
        Response::Vote { is_pre_vote: request.is_pre_vote, term, is_granted }
    }

    pub(super) fn handle_vote_response(
        &mut self,
        now: Uptime,
        from: &ReplicaId,
        is_pre_vote: bool,
        term: Term,
        is_granted: bool,
    ) {
        if !is_granted || !self.membership.voters.contains(from) {
            return;
        }
        let quorum = self.membership.quorum();
        let current = self.hard_state.term;
        match &mut self.role {
            Role::PreCandidate { votes } if is_pre_vote && term == current.next() => {
                votes.insert(from.clone());
                if votes.len() >= quorum {
                    self.start_election(now, false);
                }
            }
            Role::Candidate { votes } if !is_pre_vote && term == current => {
                votes.insert(from.clone());
                if votes.len() >= quorum {
                    self.become_leader(now);
                }
            }
            _ => {}
        }
    }

    /// Returns whether this replica may grant the vote.
    ///
    /// A replica that is the leader, or has heard from the leader within the minimum election
    /// timeout, votes only in a leadership transfer.
    fn may_vote(&self, now: Uptime, request: &VoteRequest) -> bool {
        let is_vote_available = if request.is_pre_vote {
            request.term > self.hard_state.term
        } else {
            request.term > self.hard_state.term
                || (request.term == self.hard_state.term
                    && self.hard_state.vote.as_ref().is_none_or(|vote| *vote == request.candidate))
        };
        let since_leader = now.saturating_sub(self.last_leader_contact);
        let has_recent_leader =
            self.is_leader() || since_leader < self.settings.election_timeout_min;
        let is_log_up_to_date = (request.last_term, request.last_index)
            >= (self.log.last_term(), self.log.last_index());
        is_vote_available && is_log_up_to_date && (request.is_transfer || !has_recent_leader)
    }

    fn start_election(&mut self, now: Uptime, is_transfer: bool) {
        let term = self.hard_state.term.next();
        self.set_hard_state(HardState { term, vote: Some(self.id.clone()) });
        self.leader = None;
        self.role = Role::Candidate { votes: BTreeSet::from([self.id.clone()]) };
        self.reset_retry_deadline(now);
        if self.membership.quorum() == 1 {
            self.become_leader(now);
            return;
        }
        self.request_votes(false, is_transfer, term);
    }

    fn request_votes(&mut self, is_pre_vote: bool, is_transfer: bool, term: Term) {
        let request = VoteRequest {
            is_pre_vote,
            is_transfer,
            term,
            candidate: self.id.clone(),
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for voter in self.membership.voters.iter().filter(|voter| **voter != self.id) {
            self.effects.requests.push((voter.clone(), Request::Vote(request.clone())));
        }
    }

    fn become_leader(&mut self, now: Uptime) {
        let next = self.log.last_index().next();
        let others = self.membership.replicas().filter(|replica| **replica != self.id);
        let progress = others.map(|replica| (replica.clone(), Progress::new(next, now))).collect();
        self.leader = Some(self.id.clone());
        self.role = Role::Leader(Leadership {
            progress,
            elected_at: now,
            first_index: next,
            transfer_since: None,
        });
        self.append_to_log(Payload::Empty);
        self.send_appends(now);
    }

    /// Returns the highest position that a majority of voters has persisted.
    pub(super) fn quorum_matched(&self) -> LogIndex {
        let Some(leadership) = self.leadership() else {
            return LogIndex::ZERO;
        };
        let matched = |voter: &ReplicaId| {
            if *voter == self.id {
                return self.durable;
            }
            leadership.progress.get(voter).map_or(LogIndex::ZERO, |progress| progress.matched)
        };
        let mut positions: Vec<_> = self.membership.voters.iter().map(matched).collect();
        positions.sort_unstable();
        positions[positions.len() - self.membership.quorum()]
    }

    /// Returns the latest time such that a majority has answered a request sent at or after it.
    pub(super) fn quorum_acknowledged_at(&self) -> Option<Uptime> {
        let leadership = self.leadership()?;
        let is_self = |voter: &ReplicaId| *voter == self.id;
        let mut times: Vec<_> = self
            .membership
            .voters
            .iter()
            .map(|voter| match leadership.progress.get(voter) {
                Some(progress) => progress.acknowledged_at,
                None if is_self(voter) => Some(Uptime::MAX),
                None => None,
            })
            .collect();
        times.sort_unstable();
        let time = times[times.len() - self.membership.quorum()]?;
        // A leader that is the only voter needs no responses, so its last tick bounds the time.
        Some(time.min(self.last_tick()))
    }
}
