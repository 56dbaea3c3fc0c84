//! Looks at backend servers: leases, ends, and what runs.

use super::message::{Action, CallId, PollReport};
use super::run::RunPhase;
use super::server::Server;
use super::{Engine, PendingCall};
use crate::clock::Uptime;
use crate::job::command::{JobCommand, ReleaseReason};
use crate::job::id::{ServerId, ServerIncarnation, TaskId};
use crate::job::state::{JobState, ServerRecord};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

impl Engine {
    /// Sends the looks that are due; each backend server has one under way.
    pub(super) fn pump_holds(&mut self, now: Uptime, state: &JobState) {
        let is_due = |server: &Server| server.hold.is_none() && now >= server.next_hold_at;
        let due = self.servers.iter().filter(|(_, server)| is_due(server));
        let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            let call = self.call(PendingCall::Poll { server: id.clone() });
            let Some(server) = self.servers.get_mut(&id) else { continue };
            // A backend server that does not answer gets no longer lease, so that it lapses.
            let lease_until_ms =
                if server.is_failing { None } else { server.issue(now, self.settings.lease) };
            let is_first = server.answered_at.is_none() || lease_until_ms.is_none();
            let wait = if is_first { Duration::ZERO } else { self.settings.poll_wait };
            server.hold = Some((call, now));
            let last_recorded_end =
                state.servers().get(&id).map_or(0, |record| record.last_recorded_end);
            self.output.actions.push(Action::Poll {
                call,
                target: server.target(),
                fence: self.term.get(),
                last_recorded_end,
                lease_until_ms,
                wait,
                timeout: wait + self.settings.call_timeout,
            });
        }
    }

    /// Takes the answer to a look; `None` where none came.
    pub fn handle_poll_answer(
        &mut self,
        now: Uptime,
        call: CallId,
        report: Option<PollReport>,
        state: &JobState,
    ) {
        let Some(PendingCall::Poll { server: id }) = self.calls.remove(&call) else { return };
        let Some(server) = self.servers.get_mut(&id) else { return };
        let Some((_, sent_at)) = server.hold.take_if(|(present, _)| *present == call) else {
            return;
        };
        let Some(report) = report else {
            server.is_failing = true;
            server.next_hold_at = now + self.settings.retry_delay;
            return;
        };
        let known_ms = server.incarnation().started_at_ms;
        if report.started_at_ms != 0 && known_ms != 0 && report.started_at_ms != known_ms {
            self.note_other_life(now, &id, report.started_at_ms);
            return;
        }
        server.read_clock(now, report.clock_ms);
        server.answered_at = Some(now);
        server.is_failing = false;
        server.is_lapsed = false;
        server.next_hold_at = now;
        self.is_schedule_due = true;
        self.take_listed(&id, &report);
        self.take_ends(now, &id, &report, state);
        if !report.is_partial {
            self.release_not_listed(&id, sent_at, &report);
        }
    }

    /// Another incarnation answers under the same id.
    fn note_other_life(&mut self, now: Uptime, id: &ServerId, started_at_ms: u64) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.next_hold_at = now + self.settings.retry_delay;
        if started_at_ms < server.incarnation().started_at_ms {
            return;
        }
        let incarnation = ServerIncarnation { id: id.clone(), started_at_ms };
        let record = ServerRecord {
            incarnation,
            sequence: 0,
            last_recorded_end: 0,
            ..server.record.clone()
        };
        self.output.commands.push(JobCommand::Server(Box::new(record)));
    }

    /// Compares what runs with what should.
    fn take_listed(&mut self, id: &ServerId, report: &PollReport) {
        let mut strays = Vec::new();
        for listed in &report.running {
            match self.runs.get_mut(&listed.task) {
                Some(run) if run.attempt == listed.attempt && run.incarnation.id == *id => {
                    run.percent = listed.percent;
                    run.metric = listed.metric;
                    if run.phase == RunPhase::Ordered {
                        run.phase = RunPhase::Running;
                        run.retry_at = None;
                    }
                }
                _ => strays.push((listed.task, listed.attempt)),
            }
        }
        for (task, attempt) in strays {
            self.stop_stray(id, task, attempt);
        }
    }

    fn take_ends(&mut self, now: Uptime, id: &ServerId, report: &PollReport, state: &JobState) {
        let Some(server) = self.servers.get_mut(id) else { return };
        let noted = state.servers().get(id).map_or(0, |record| record.last_recorded_end);
        let known = noted.max(server.proposed_end);
        let ends: Vec<_> =
            report.finished.iter().filter(|end| end.number > known).cloned().collect();
        let Some(last) = ends.last() else {
            if report.finished.last().is_some_and(|end| end.number > noted) {
                // They are proposed; the look after their commit acknowledges them.
                server.next_hold_at = now + self.settings.retry_delay;
            }
            return;
        };
        server.proposed_end = last.number;
        server.next_hold_at = now + self.settings.call_timeout;
        let server = server.incarnation().clone();
        self.output.commands.push(JobCommand::RunsEnded { server, ends, at_ms: self.wall_ms });
    }

    /// Releases runs that a look which left after their order was answered does not list.
    fn release_not_listed(&mut self, id: &ServerId, sent_at: Uptime, report: &PollReport) {
        let Some(server) = self.servers.get(id) else { return };
        let listed: BTreeSet<TaskId> = report.running.iter().map(|run| run.task).collect();
        let ended: BTreeMap<TaskId, u32> =
            report.finished.iter().filter_map(|end| Some((end.task?, end.attempt))).collect();
        let is_gone = |task: &&TaskId| {
            let run = &self.runs[*task];
            let is_settled = matches!(run.phase, RunPhase::Running | RunPhase::Stopping)
                && run.settled_at.is_some_and(|settled_at| settled_at < sent_at);
            is_settled
                && !listed.contains(*task)
                && ended.get(*task).is_none_or(|attempt| *attempt != run.attempt)
        };
        let known = server.runs.iter().filter(|task| self.runs.contains_key(*task));
        let gone: Vec<_> = known.filter(is_gone).copied().collect();
        for task in gone {
            self.release(&task, ReleaseReason::NotListed);
        }
    }
}
