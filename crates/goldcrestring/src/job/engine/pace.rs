//! Throttling of best-effort tasks that share a backend server with serving tasks.
//!
//! When the tail latency of a serving task nears its target, the pace of the best-effort tasks
//! beside it is halved; at the target they are paused. Below a lower threshold the pace is raised
//! in small steps, to avoid oscillation.

use super::Engine;
use super::orders::Order;
use super::run::{FULL_PACE_PERCENT, RunPhase};
use super::server::Server;
use crate::clock::Uptime;
use crate::job::id::{ServerId, TaskId};
use std::time::Duration;

/// The interval between two changes of pace on a backend server.
const PACE_INTERVAL: Duration = Duration::from_millis(500);

/// The step by which the pace is raised, in percentage points.
const PACE_STEP_PERCENT: u8 = 10;

impl Engine {
    /// Adjusts the pace of best-effort tasks to the latency of serving tasks on the same backend
    /// server.
    pub(super) fn adjust_pace(&mut self, now: Uptime) {
        let is_due = |server: &Server| {
            server.best_effort > 0 && !server.is_failing && now >= server.paced_at + PACE_INTERVAL
        };
        let due = self.servers.iter().filter(|(_, server)| is_due(server));
        let ids: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        for id in ids {
            let worst = self.worst_tail_percent(&id);
            let best_effort = self.best_effort_runs(&id);
            if best_effort.is_empty() {
                continue;
            }
            if let Some(server) = self.servers.get_mut(&id) {
                server.paced_at = now;
            }
            for task in best_effort {
                self.set_pace(&id, &task, worst);
            }
        }
    }

    /// The highest tail latency of a serving task relative to its target, in percent; zero if no
    /// task with a target is serving.
    fn worst_tail_percent(&self, id: &ServerId) -> u64 {
        let Some(server) = self.servers.get(id) else { return 0 };
        let runs = server.runs.iter().filter_map(|task| self.runs.get(task));
        let serving = runs.filter(|run| run.target_ms > 0 && run.is_serving());
        serving.map(|run| run.metric.saturating_mul(100) / run.target_ms).max().unwrap_or(0)
    }

    /// The best-effort tasks that are running on a backend server.
    fn best_effort_runs(&self, id: &ServerId) -> Vec<TaskId> {
        let Some(server) = self.servers.get(id) else { return Vec::new() };
        let is_best_effort = |task: &&TaskId| {
            self.runs
                .get(*task)
                .is_some_and(|run| run.is_best_effort && run.phase == RunPhase::Running)
        };
        server.runs.iter().filter(is_best_effort).copied().collect()
    }

    /// Computes the pace of a task and queues an order if it has changed or may not be applied.
    fn set_pace(&mut self, id: &ServerId, task: &TaskId, worst_percent: u64) {
        let down = self.settings.pace_down_percent;
        let up = self.settings.pace_up_percent;
        let Some(run) = self.runs.get_mut(task) else { return };
        let pace_percent = if worst_percent >= 100 {
            0
        } else if worst_percent >= down {
            run.pace_percent / 2
        } else if worst_percent < up {
            run.pace_percent.saturating_add(PACE_STEP_PERCENT).min(FULL_PACE_PERCENT)
        } else {
            run.pace_percent
        };
        if pace_percent == run.pace_percent && run.is_pace_known {
            return;
        }
        run.pace_percent = pace_percent;
        run.is_pace_known = true;
        let order = Order::Pace { task: *task, attempt: run.attempt, percent: pace_percent };
        if let Some(server) = self.servers.get_mut(id) {
            server.queued_orders.push_back(order);
            self.with_orders.insert(id.clone());
        }
    }
}
