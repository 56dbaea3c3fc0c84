//! Expired leases, ended incarnations, and removal of inactive backend servers.

use super::Engine;
use super::server::Server;
use crate::clock::Uptime;
use crate::job::command::{JobCommand, ReleaseReason};
use crate::job::id::{ServerId, ServerIncarnation};
use crate::job::state::JobState;

/// The number of missed announcements after which a backend server without runs is removed.
const MAX_MISSED_ANNOUNCEMENTS: u32 = 4;

impl Engine {
    /// Releases the runs of backend servers whose lease has expired or whose incarnation has ended.
    pub(super) fn release_expired(&mut self, now: Uptime) {
        let settings = &self.settings;
        let mut affected = Vec::new();
        for (id, server) in &mut self.servers {
            let has_ended =
                server.moved_at.is_some_and(|moved| now >= moved + settings.move_margin);
            if has_ended {
                affected.push((id.clone(), ReleaseReason::IncarnationEnded));
            } else if server.is_failing && !server.is_released_after_expiry {
                server.is_released_after_expiry = server.has_lease_expired(now, settings);
                if server.is_released_after_expiry {
                    affected.push((id.clone(), ReleaseReason::LeaseExpired));
                }
            }
        }
        for (id, reason) in affected {
            if reason == ReleaseReason::LeaseExpired
                && let Some(server) = self.servers.get(&id)
            {
                self.output.events.push(server.lease_expired_event(now));
            }
            self.release_all(&id, reason);
        }
    }

    /// Proposes that the earlier incarnations of backend servers no longer matter, so that later leaders
    /// need not wait for leases that calls for them may have set.
    pub(super) fn settle_restarted(&mut self, now: Uptime) {
        for (_, server) in &mut self.servers {
            if server.has_settled(now) && !std::mem::replace(&mut server.is_settling, true) {
                let incarnation = server.incarnation().clone();
                self.output.commands.push(JobCommand::ServerSettled(incarnation));
            }
        }
    }

    /// Releases all runs of a backend server.
    pub(super) fn release_all(&mut self, id: &ServerId, reason: ReleaseReason) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.queued_orders.clear();
        let runs: Vec<_> = server.runs.iter().copied().collect();
        for task in runs {
            self.release(&task, reason);
        }
    }

    /// Proposes the removal of an incarnation, once.
    pub(super) fn propose_removal(&mut self, incarnation: &ServerIncarnation) {
        let server = self.servers.get_mut(&incarnation.id);
        let Some(server) = server.filter(|server| server.incarnation() == incarnation) else {
            return;
        };
        if !std::mem::replace(&mut server.is_removal_proposed, true) {
            self.output.commands.push(JobCommand::ServerGone(incarnation.clone()));
        }
    }

    /// Removes backend servers without runs that have left, or whose lease has expired and that no
    /// longer announce themselves.
    pub(super) fn remove_inactive_servers(&mut self, now: Uptime, state: &JobState) {
        let announcement_timeout = self.settings.announcement_interval * MAX_MISSED_ANNOUNCEMENTS;
        let is_inactive = |server: &Server| {
            let has_timed_out = server.is_released_after_expiry
                && now >= server.announced_at + announcement_timeout;
            let has_left = server.is_leaving || server.moved_at.is_some();
            server.runs.is_empty() && (has_left || has_timed_out)
        };
        let inactive: Vec<_> = self
            .servers
            .values()
            .filter(|server| is_inactive(server))
            .map(|server| server.incarnation().clone())
            .collect();
        for incarnation in inactive {
            let known = state.servers().get(&incarnation.id).map(|record| &record.incarnation);
            if known.is_some_and(|known| *known == incarnation) {
                self.propose_removal(&incarnation);
            } else {
                self.servers.remove(&incarnation.id);
            }
        }
    }
}
