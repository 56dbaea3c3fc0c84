//! Replication of entries, heartbeats and snapshots from the leader to the other replicas.

use super::{AppendRequest, Consensus, Request, Response, Role, SnapshotRequest};
use crate::clock::Uptime;
use crate::process::replica::{LogEntry, Payload, ReplicaId};
use crate::quantity::{LogIndex, Term};
use std::sync::Arc;

impl Consensus {
    pub(super) fn tick_leader(&mut self, now: Uptime) {
        self.last_tick = now;
        if self.has_lost_quorum(now) {
            let term = self.hard_state.term;
            self.become_follower(now, term, None);
            return;
        }
        if let Role::Leader(leadership) = &mut self.role {
            let timeout = self.settings.election_timeout_max;
            let has_timed_out =
                leadership.transfer_since.is_some_and(|since| now >= since + timeout);
            if has_timed_out {
                leadership.transfer_since = None;
            }
        }
        self.send_appends(now);
    }

    /// Sends missing entries to the other replicas, or a heartbeat when one is due.
    pub(super) fn send_appends(&mut self, now: Uptime) {
        self.last_tick = self.last_tick.max(now);
        let Some(leadership) = self.leadership() else {
            return;
        };
        let due: Vec<_> = leadership
            .progress
            .iter()
            .filter(|(_, progress)| self.is_due(now, progress))
            .map(|(replica, _)| replica.clone())
            .collect();
        for replica in due {
            let Some(progress) = self.progress_mut(&replica) else { continue };
            if progress.awaited_until.is_some() {
                progress.record_failure();
            }
            let (next, batch_entries) = (progress.next, progress.batch_entries);
            let request = self.request_from(next, batch_entries);
            let timeout = match request {
                Request::Snapshot(_) => self.settings.snapshot_timeout,
                _ => self.settings.request_timeout,
            };
            if let Some(progress) = self.progress_mut(&replica) {
                progress.awaited_until = Some(now + timeout);
                progress.last_sent_at = Some(now);
            }
            self.effects.requests.push((replica, request));
        }
    }

    pub(super) fn handle_append(&mut self, now: Uptime, request: AppendRequest) -> Response {
        if request.term < self.hard_state.term {
            return self.append_response(false, LogIndex::ZERO);
        }
        self.accept_leader(now, request.term, &request.leader);
        if request.has_lease {
            self.last_lease_contact = Some(now);
        }
        if request.previous_index < self.log.base_index() {
            return self.append_after_snapshot(request);
        }
        if self.log.term(request.previous_index) != Some(request.previous_term) {
            let hint = request.previous_index.previous().min(self.log.last_index());
            return self.append_response(false, hint.max(self.committed));
        }
        let last = request.entries.last().map_or(request.previous_index, |entry| entry.index);
        self.append_entries(request.entries);
        self.commit_up_to(request.committed.min(last));
        self.append_response(true, last)
    }

    pub(super) fn handle_snapshot(&mut self, now: Uptime, request: SnapshotRequest) -> Response {
        if request.term < self.hard_state.term {
            return self.append_response(false, LogIndex::ZERO);
        }
        self.accept_leader(now, request.term, &request.leader);
        let snapshot = request.snapshot;
        if snapshot.index <= self.committed {
            return self.append_response(true, self.committed);
        }
        self.log.reset(snapshot.index, snapshot.term);
        self.committed = snapshot.index;
        self.durable = snapshot.index;
        self.membership = snapshot.membership.clone();
        self.snapshot = Arc::new(snapshot);
        self.effects.append.clear();
        self.effects.committed.clear();
        self.effects.install = Some(Arc::clone(&self.snapshot));
        self.append_response(true, self.committed)
    }

    pub(super) fn handle_append_response(
        &mut self,
        now: Uptime,
        sent_at: Uptime,
        from: &ReplicaId,
        term: Term,
        is_accepted: bool,
        index: LogIndex,
    ) {
        let last_index = self.log.last_index();
        let max_batch_entries = self.settings.max_batch_entries;
        if term != self.hard_state.term {
            return;
        }
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        progress.awaited_until = None;
        progress.is_failing = false;
        progress.acknowledged_at = progress.acknowledged_at.max(Some(sent_at));
        if is_accepted {
            progress.record_match(index.min(last_index), max_batch_entries);
        } else {
            progress.next = index.next().min(progress.next.previous()).max(LogIndex::new(1));
        }
        self.advance_commit();
        self.send_appends(now);
    }

    pub(super) fn advance_commit(&mut self) {
        let matched = self.quorum_matched();
        // Entries of earlier terms are not committed by counting replicas (Raft, figure 8).
        if self.log.term(matched) == Some(self.hard_state.term) {
            self.commit_up_to(matched);
            self.step_down_if_removed();
        }
    }

    pub(super) const fn last_tick(&self) -> Uptime {
        self.last_tick
    }

    /// Returns, for each other replica, the time since it last responded.
    ///
    /// The time is measured from when the answered request was sent, or from when the replica was
    /// added if it has not responded yet. The list is empty if this replica is not the leader.
    pub fn time_since_last_response(&self, now: Uptime) -> Vec<(ReplicaId, Uptime)> {
        let Some(leadership) = self.leadership() else {
            return Vec::new();
        };
        let elapsed = leadership.progress.iter().map(|(replica, progress)| {
            let last = progress.acknowledged_at.unwrap_or(progress.added_at);
            (replica.clone(), now.saturating_sub(last))
        });
        elapsed.collect()
    }

    /// Returns whether a replica has all entries that this leader has committed.
    pub fn is_caught_up(&self, replica: &ReplicaId) -> bool {
        let progress = self.leadership().and_then(|leadership| leadership.progress.get(replica));
        progress.is_some_and(|progress| progress.matched >= self.committed)
    }

    fn is_due(&self, now: Uptime, progress: &super::Progress) -> bool {
        if progress.awaited_until.is_some_and(|until| now < until) {
            return false;
        }
        let is_behind = progress.next <= self.log.last_index();
        let is_heartbeat_due =
            progress.last_sent_at.is_none_or(|sent| now >= sent + self.settings.heartbeat_interval);
        // An unresponsive replica is contacted only at the heartbeat interval, however far behind.
        let is_responsive = !progress.is_failing && progress.awaited_until.is_none();
        is_heartbeat_due || (is_behind && is_responsive)
    }

    fn request_from(&self, next: LogIndex, batch_entries: usize) -> Request {
        let previous_index = next.previous();
        let Some(previous_term) = self.log.term(previous_index) else {
            return Request::Snapshot(SnapshotRequest {
                term: self.hard_state.term,
                leader: self.id.clone(),
                snapshot: (*self.snapshot).clone(),
            });
        };
        let batch = u64::try_from(batch_entries).unwrap_or(u64::MAX);
        let last = LogIndex::new(previous_index.get().saturating_add(batch));
        Request::Append(AppendRequest {
            term: self.hard_state.term,
            leader: self.id.clone(),
            previous_index,
            previous_term,
            entries: self.log.range(next, last),
            committed: self.committed,
            has_lease: self.leader_lease_until().is_some_and(|until| self.last_tick < until),
        })
    }

    fn has_lost_quorum(&self, now: Uptime) -> bool {
        let Some(leadership) = self.leadership() else {
            return false;
        };
        let since = self.quorum_acknowledged_at().unwrap_or(leadership.elected_at);
        let since = since.max(leadership.elected_at);
        now.saturating_sub(since) > self.settings.election_timeout_max
    }

    fn accept_leader(&mut self, now: Uptime, term: Term, leader: &ReplicaId) {
        self.become_follower(now, term, Some(leader.clone()));
        self.last_leader_contact = now;
    }

    /// Handles an append request that starts at a position covered by the snapshot.
    fn append_after_snapshot(&mut self, request: AppendRequest) -> Response {
        let base = self.log.base_index();
        let after: Vec<_> =
            request.entries.into_iter().filter(|entry| entry.index > base).collect();
        let last = after.last().map_or(base, |entry| entry.index);
        self.append_entries(after);
        self.commit_up_to(request.committed.min(last));
        self.append_response(true, last)
    }

    fn append_entries(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate_from(entry.index),
                None => {}
            }
            if let Payload::Membership(membership) = &entry.payload {
                self.membership = membership.clone();
            }
            self.effects.append.push(entry.clone());
            self.log.push(entry);
        }
        // The response is sent only after these entries are persisted, so they count as durable.
        self.durable = self.log.last_index();
    }

    fn truncate_from(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.effects.append.retain(|entry| entry.index < index);
        self.membership = self.log.membership(&self.snapshot.membership);
    }

    fn append_response(&self, is_accepted: bool, index: LogIndex) -> Response {
        Response::Append { term: self.hard_state.term, is_accepted, index }
    }

    fn step_down_if_removed(&mut self) {
        let is_removed = !self.membership.voters.contains(&self.id);
        if is_removed && !self.log.has_membership_after(self.committed) {
            self.role = Role::Follower;
            self.leader = None;
        }
    }
}
