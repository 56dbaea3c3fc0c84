//! Announcements from backend servers.

use super::Engine;
use super::message::EngineEvent;
use super::run::RunPhase;
use super::server::Server;
use crate::clock::Uptime;
use crate::job::command::{JobCommand, ReleaseReason};
use crate::job::id::{ServerId, ServerIncarnation};
use crate::job::state::{JobState, ServerRecord};

impl Engine {
    /// Handles an announcement; returns the command to propose if the record of the backend server
    /// changes.
    ///
    /// An announcement for a pool that the plan does not name is that of another program. It says nothing
    /// about the backend server on the same VM.
    pub fn handle_announcement(
        &mut self,
        now: Uptime,
        record: &ServerRecord,
        state: &JobState,
    ) -> Option<JobCommand> {
        self.record_heard(now, &record.incarnation);
        if state.is_known_announcement(record) || is_superseded(record, state) {
            return None;
        }
        if state.plan().is_some_and(|plan| plan.pool(&record.pool).is_none()) {
            let server = record.incarnation.clone();
            let pool = record.pool.clone();
            self.output.events.push(EngineEvent::AnnouncementIgnored { server, pool });
            return None;
        }
        Some(JobCommand::Server(Box::new(record.clone())))
    }

    /// Handles the incarnations whose announcements followers have answered.
    pub fn handle_announced(&mut self, now: Uptime, servers: &[ServerIncarnation]) {
        for incarnation in servers {
            self.record_heard(now, incarnation);
        }
    }

    fn record_heard(&mut self, now: Uptime, incarnation: &ServerIncarnation) {
        if let Some(server) = self.servers.get_mut(&incarnation.id)
            && server.incarnation() == incarnation
        {
            server.announced_at = now;
        }
    }

    /// Handles the notice that a backend server is leaving.
    ///
    /// The notice proves no end: a backend server whose notice is not acknowledged runs on for seconds, and
    /// a late notice may be that of an earlier incarnation. Its runs are released as those of one that
    /// crashed.
    pub fn handle_leave(&mut self, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.is_leaving = true;
            server.record.is_draining = true;
        }
    }

    /// Adopts the replicated record of a backend server.
    pub(super) fn update_server(&mut self, now: Uptime, id: &ServerId, state: &JobState) {
        let Some(record) = state.servers().get(id) else { return };
        self.remove_older_incarnations(record);
        let Some(server) = self.servers.get_mut(id) else {
            let fence = self.next_fence();
            self.servers.insert(id.clone(), Server::new(record, now, fence));
            self.unpolled.insert(id.clone());
            return;
        };
        if server.record.incarnation == record.incarnation {
            self.servers.set_record(id, record);
            return;
        }
        let last_polled_at = server.last_polled_at;
        let previous_started_at_ms = server.incarnation().started_at_ms;
        let unanswered = server.unanswered_orders.len();
        let fence = self.next_fence();
        self.servers.replace_incarnation(id, record, now, fence);
        self.unpolled.insert(id.clone());
        let affected: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| run.incarnation.id == *id)
            .map(|(task, _)| *task)
            .collect();
        let (mut carried_over, mut released) = (0, 0);
        for task in affected {
            let Some(run) = self.runs.get_mut(&task) else { continue };
            match run.phase {
                RunPhase::Releasing => {}
                RunPhase::Proposed => self.release(&task, ReleaseReason::IncarnationEnded),
                RunPhase::Ordered | RunPhase::Running | RunPhase::Stopping => {
                    // The start may have reached the new incarnation or may still do so, unless the
                    // old one answered a later poll: stop it there before releasing the task.
                    let was_answered_before_poll = run
                        .order_answered_at
                        .is_some_and(|at| last_polled_at.is_some_and(|polled_at| at < polled_at));
                    if was_answered_before_poll && !run.has_unanswered_start {
                        self.release(&task, ReleaseReason::IncarnationEnded);
                        released += 1;
                        continue;
                    }
                    carried_over += 1;
                    let mut run = run.clone();
                    run.incarnation = record.incarnation.clone();
                    // A queued stop was dropped with the old incarnation.
                    run.phase = RunPhase::Running;
                    self.remove_run(&task);
                    self.add_run(task, run);
                    self.stop_run(&task);
                }
            }
        }
        self.output.events.push(EngineEvent::IncarnationReplaced {
            server: record.incarnation.clone(),
            previous_started_at_ms,
            unanswered,
            carried_over,
            released,
        });
    }

    /// Removes older incarnations on the same VM under other IDs, and releases their runs.
    fn remove_older_incarnations(&mut self, record: &ServerRecord) {
        let Some(machine) = &record.machine else { return };
        let is_older = |server: &&Server| {
            server.record.incarnation.id != record.incarnation.id
                && server.record.incarnation.started_at_ms < record.incarnation.started_at_ms
        };
        let older: Vec<_> = self
            .servers
            .on_machine(machine)
            .filter(is_older)
            .map(|server| server.record.incarnation.clone())
            .collect();
        for incarnation in older {
            self.release_all(&incarnation.id, ReleaseReason::IncarnationEnded);
            self.propose_removal(&incarnation);
        }
    }
}

/// Whether a newer incarnation is known under the same ID, on the same VM or at the same address.
fn is_superseded(record: &ServerRecord, state: &JobState) -> bool {
    state.servers().values().any(|known| {
        let is_same_server = || {
            known.incarnation.id == record.incarnation.id
                || known.address == record.address
                || (record.machine.is_some() && known.machine == record.machine)
        };
        known.incarnation.started_at_ms > record.incarnation.started_at_ms && is_same_server()
    })
}
