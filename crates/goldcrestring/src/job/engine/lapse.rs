//! Leases that have surely run out, incarnations that are over, and backend servers to forget.

use super::Engine;
use super::server::Server;
use crate::clock::Uptime;
use crate::job::command::{JobCommand, ReleaseReason};
use crate::job::id::ServerId;
use crate::job::state::JobState;

/// After how many missed announcements a backend server that runs nothing is forgotten.
const MISSED_ANNOUNCEMENTS: u32 = 4;

impl Engine {
    /// Releases what ran where the lease has surely run out, or the incarnation is over.
    pub(super) fn release_lapsed(&mut self, now: Uptime) {
        let lease = self.settings.lease;
        let leave_margin = self.settings.leave_margin;
        let mut over = Vec::new();
        for (id, server) in &mut self.servers {
            let has_left = server.left_at.is_some_and(|left| now >= left + leave_margin);
            if has_left {
                over.push((id.clone(), ReleaseReason::IncarnationEnded));
            } else if server.is_failing && !server.is_lapsed {
                server.is_lapsed = server.has_surely_lapsed(now, lease);
                if server.is_lapsed {
                    over.push((id.clone(), ReleaseReason::LeaseExpired));
                }
            }
        }
        for (id, reason) in over {
            self.release_all(&id, reason);
        }
    }

    /// Releases all that ran on a backend server.
    pub(super) fn release_all(&mut self, id: &ServerId, reason: ReleaseReason) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.queue.clear();
        let runs: Vec<_> = server.runs.iter().copied().collect();
        for task in runs {
            self.release(&task, reason);
        }
    }

    /// Forgets backend servers that are gone and run nothing.
    pub(super) fn forget_servers(&mut self, now: Uptime, state: &JobState) {
        let silence = self.settings.announcement_interval * MISSED_ANNOUNCEMENTS;
        let is_over = |server: &Server| {
            let has_left = server.left_at.is_some();
            let is_silent = server.is_lapsed && now >= server.announced_at + silence;
            server.runs.is_empty() && (has_left || is_silent)
        };
        let over: Vec<_> = self
            .servers
            .values()
            .filter(|server| is_over(server))
            .map(|server| server.incarnation().clone())
            .collect();
        for incarnation in over {
            let known = state.servers().get(&incarnation.id).map(|record| &record.incarnation);
            if known.is_some_and(|known| *known == incarnation) {
                self.output.commands.push(JobCommand::ServerGone(incarnation));
            } else {
                self.servers.remove(&incarnation.id);
            }
        }
    }
}
