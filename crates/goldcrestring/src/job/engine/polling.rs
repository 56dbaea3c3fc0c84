//! Polls of backend servers, which extend leases and report runs and their ends.

use super::message::{Action, CallId, OrderResponse, PollReport};
use super::run::RunPhase;
use super::server::{PendingPoll, Server};
use super::{Engine, PendingCall};
use crate::clock::Uptime;
use crate::job::command::{JobCommand, ReleaseReason};
use crate::job::id::{Attempt, ServerId, ServerIncarnation, TaskId};
use crate::job::state::JobState;
use std::time::Duration;

/// The maximum number of abandoned polls whose reports are still taken.
const MAX_ABANDONED_POLLS: usize = 8_192;

impl Engine {
    /// Sends the polls that are due; each backend server has at most one pending.
    pub(super) fn send_polls(&mut self, now: Uptime, state: &JobState) {
        let servers = &self.servers;
        self.unpolled.retain(|id| servers.contains_key(id));
        let is_due = |server: &Server| server.pending_poll.is_none() && now >= server.next_poll_at;
        let is_due = |id: &&ServerId| servers.get(id).is_some_and(is_due);
        let due: Vec<_> = self.unpolled.iter().filter(is_due).cloned().collect();
        for id in due {
            self.unpolled.remove(&id);
            let call = self.register_call(PendingCall::Poll { server: id.clone() });
            let Some(server) = self.servers.get_mut(&id) else { continue };
            // The lease of a backend server that does not respond is not extended, so that it
            // expires.
            let lease_until_ms =
                if server.is_failing { None } else { server.issue_lease(now, self.settings.lease) };
            let is_first = server.answered_at.is_none() || lease_until_ms.is_none();
            let wait = if is_first {
                Duration::ZERO
            } else if server.long_running == 0 && server.best_effort == 0 {
                self.settings.batch_poll_wait
            } else {
                self.settings.poll_wait
            };
            let recorded_end = state.servers().get(&id).map_or(0, |record| record.recorded_end);
            let recorded_end = server.end_to_acknowledge(recorded_end);
            server.pending_poll = Some(PendingPoll { call, sent_at: now, recorded_end });
            self.output.actions.push(Action::Poll {
                call,
                target: server.target(),
                fence: server.fence,
                recorded_end,
                lease_until_ms,
                wait,
                timeout: wait + self.settings.call_timeout,
            });
        }
    }

    /// Handles the response to a poll; `None` if the call failed. A report that arrives after its call
    /// was taken as failed or dropped still counts.
    pub fn handle_poll_response(
        &mut self,
        now: Uptime,
        call: CallId,
        report: Option<PollReport>,
        state: &JobState,
    ) {
        let Some(PendingCall::Poll { server: id }) = self.calls.remove(&call) else {
            return self.handle_late_report(now, call, report, state);
        };
        let Some(server) = self.servers.get_mut(&id) else { return };
        let incarnation = server.incarnation().clone();
        let Some(poll) = server.pending_poll.take_if(|poll| poll.call == call) else { return };
        let sent_at = poll.sent_at;
        self.unpolled.insert(id.clone());
        let Some(report) = report else {
            server.is_failing = true;
            server.next_poll_at = now + self.settings.retry_delay;
            self.abandon_poll(call, incarnation, sent_at);
            return;
        };
        let known_ms = server.incarnation().started_at_ms;
        if report.started_at_ms != 0 && known_ms != 0 && report.started_at_ms != known_ms {
            self.handle_other_incarnation(now, &id, report.started_at_ms);
            return;
        }
        server.read_clock(now, sent_at, report.clock_ms, self.settings.max_lease);
        // Ends and missing runs free capacity only once they are committed.
        self.is_schedule_due |= server.is_failing || server.answered_at.is_none();
        server.answered_at = Some(now);
        server.acknowledged_end = server.acknowledged_end.max(poll.recorded_end);
        server.last_polled_at = Some(sent_at);
        server.is_failing = false;
        server.is_released_after_expiry = false;
        server.next_poll_at = now;
        self.update_listed_runs(&id, &report);
        self.propose_ends(now, &id, &report, state);
        if !report.is_partial {
            self.release_unlisted(&id, sent_at, &report);
        }
    }

    /// Handles a call to a backend server that was not sent in time: polls again at once, or takes an
    /// order as not sent.
    pub fn handle_dropped(&mut self, now: Uptime, call: CallId) {
        let Some(PendingCall::Poll { server: id }) = self.calls.get(&call) else {
            return self.handle_order_response(now, call, OrderResponse::NotSent);
        };
        let id = id.clone();
        self.calls.remove(&call);
        let Some(server) = self.servers.get_mut(&id) else { return };
        if let Some(poll) = server.pending_poll.take_if(|poll| poll.call == call) {
            server.next_poll_at = now;
            let incarnation = server.incarnation().clone();
            self.unpolled.insert(id);
            self.abandon_poll(call, incarnation, poll.sent_at);
        }
    }

    /// Keeps a poll without a response, so that a report that arrives later is taken.
    pub(super) fn abandon_poll(
        &mut self,
        call: CallId,
        server: ServerIncarnation,
        sent_at: Uptime,
    ) {
        self.abandoned_polls.insert(call, (server, sent_at));
        if self.abandoned_polls.len() > MAX_ABANDONED_POLLS {
            self.abandoned_polls.pop_first();
        }
    }

    /// Takes the clock and the ends from the report of an abandoned poll. Its runs may be outdated.
    ///
    /// A backend server lists each end until it is acknowledged, but its lease may expire before the
    /// next report gets through, and work that was done would be done again.
    fn handle_late_report(
        &mut self,
        now: Uptime,
        call: CallId,
        report: Option<PollReport>,
        state: &JobState,
    ) {
        let Some((incarnation, sent_at)) = self.abandoned_polls.remove(&call) else { return };
        let Some(server) = self.servers.get_mut(&incarnation.id) else { return };
        let Some(report) = report else { return };
        let is_same = *server.incarnation() == incarnation
            && (report.started_at_ms == 0 || report.started_at_ms == incarnation.started_at_ms);
        if !is_same {
            return;
        }
        server.read_clock(now, sent_at, report.clock_ms, self.settings.max_lease);
        self.propose_ends(now, &incarnation.id, &report, state);
    }

    /// Handles a response from another incarnation under the same ID: proposes its record if it is
    /// newer.
    fn handle_other_incarnation(&mut self, now: Uptime, id: &ServerId, started_at_ms: u64) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.next_poll_at = now + self.settings.retry_delay;
        if started_at_ms < server.incarnation().started_at_ms {
            return;
        }
        let record = server.record.next_incarnation(started_at_ms);
        self.output.commands.push(JobCommand::Server(Box::new(record)));
    }

    /// Updates the runs from the list of a backend server and stops listed runs that it should not
    /// have.
    fn update_listed_runs(&mut self, id: &ServerId, report: &PollReport) {
        let mut unexpected = Vec::new();
        for listed in &report.running {
            match self.runs.get_mut(&listed.task) {
                Some(run) if run.attempt == listed.attempt && run.incarnation.id == *id => {
                    run.progress_percent = listed.percent;
                    run.metric = listed.metric;
                    if run.phase == RunPhase::Ordered {
                        run.phase = RunPhase::Running;
                        run.retry_at = None;
                    }
                }
                _ => unexpected.push((listed.task, listed.attempt)),
            }
        }
        for (task, attempt) in unexpected {
            self.stop_unexpected(id, task, attempt);
        }
    }

    /// Proposes the ends that are neither recorded nor proposed.
    fn propose_ends(&mut self, now: Uptime, id: &ServerId, report: &PollReport, state: &JobState) {
        let Some(server) = self.servers.get_mut(id) else { return };
        let recorded = state.servers().get(id).map_or(0, |record| record.recorded_end);
        let handled = recorded.max(server.proposed_end);
        let ends: Vec<_> =
            report.finished.iter().filter(|end| end.number > handled).cloned().collect();
        let Some(last) = ends.last() else {
            if report.finished.last().is_some_and(|end| end.number > recorded) {
                // The ends are proposed but not committed; a poll after the commit acknowledges
                // them.
                server.next_poll_at = now + self.settings.retry_delay;
            }
            return;
        };
        server.proposed_end = last.number;
        server.next_poll_at = now + self.settings.call_timeout;
        let server = server.incarnation().clone();
        self.output.commands.push(JobCommand::RunsEnded { server, ends, at_ms: self.wall_ms });
    }

    /// Releases runs that are missing from a poll sent after their last order was answered.
    fn release_unlisted(&mut self, id: &ServerId, sent_at: Uptime, report: &PollReport) {
        let Some(server) = self.servers.get(id) else { return };
        let mut listed: Vec<TaskId> = report.running.iter().map(|run| run.task).collect();
        listed.sort_unstable();
        let ended = |task: &TaskId, attempt: Attempt| {
            let mut ends = report.finished.iter();
            ends.any(|end| end.task.as_ref() == Some(task) && end.attempt == attempt)
        };
        let is_missing = |task: &&TaskId| {
            let run = &self.runs[*task];
            let is_confirmed = matches!(run.phase, RunPhase::Running | RunPhase::Stopping)
                && run.order_answered_at.is_some_and(|at| at < sent_at);
            is_confirmed && listed.binary_search(task).is_err() && !ended(task, run.attempt)
        };
        let known = server.runs.iter().filter(|task| self.runs.contains_key(*task));
        let missing: Vec<_> = known.filter(is_missing).copied().collect();
        for task in missing {
            self.release(&task, ReleaseReason::NotListed);
        }
    }
}
