//! The pace of filling tasks beside serving ones.
//!
//! The tail of a serving task nears its target: the filling tasks beside it are halved, and stopped
//! at the target. Below a lower bound they return slowly, so that the pace does not swing.

use super::Engine;
use super::orders::Order;
use super::run::{FULL_PACE, RunPhase};
use crate::clock::Uptime;
use crate::job::id::{ServerId, TaskId};
use std::time::Duration;

/// The time between two changes of pace on a backend server.
const PACE_INTERVAL: Duration = Duration::from_millis(500);

/// By how much the pace returns at a time, in percent.
const PACE_STEP: u8 = 10;

impl Engine {
    /// Adapts the pace of filling tasks to the serving tasks beside them.
    pub(super) fn plan_pace(&mut self, now: Uptime) {
        let ids: Vec<_> = self.servers.keys().cloned().collect();
        for id in ids {
            let Some(server) = self.servers.get(&id) else { continue };
            if server.is_failing || now < server.paced_at + PACE_INTERVAL {
                continue;
            }
            let worst = self.worst_tail_percent(&id);
            let filling = self.filling_runs(&id);
            if filling.is_empty() {
                continue;
            }
            if let Some(server) = self.servers.get_mut(&id) {
                server.paced_at = now;
            }
            for task in filling {
                self.set_pace(&id, &task, worst);
            }
        }
    }

    /// The highest tail of a serving task against its target, in percent; zero where none serves.
    fn worst_tail_percent(&self, id: &ServerId) -> u64 {
        let Some(server) = self.servers.get(id) else { return 0 };
        let runs = server.runs.iter().filter_map(|task| self.runs.get(task));
        let serving = runs.filter(|run| run.target_ms > 0 && run.is_at_work());
        serving.map(|run| run.metric.saturating_mul(100) / run.target_ms).max().unwrap_or(0)
    }

    fn filling_runs(&self, id: &ServerId) -> Vec<TaskId> {
        let Some(server) = self.servers.get(id) else { return Vec::new() };
        let is_best_effort = |task: &&TaskId| {
            self.runs
                .get(*task)
                .is_some_and(|run| run.is_best_effort && run.phase == RunPhase::Running)
        };
        server.runs.iter().filter(is_best_effort).copied().collect()
    }

    fn set_pace(&mut self, id: &ServerId, task: &TaskId, worst_percent: u64) {
        let down = self.settings.pace_down_percent;
        let up = self.settings.pace_up_percent;
        let Some(run) = self.runs.get_mut(task) else { return };
        let pace = if worst_percent >= 100 {
            0
        } else if worst_percent >= down {
            run.pace / 2
        } else if worst_percent < up {
            run.pace.saturating_add(PACE_STEP).min(FULL_PACE)
        } else {
            run.pace
        };
        if pace == run.pace && run.is_pace_known {
            return;
        }
        run.pace = pace;
        run.is_pace_known = true;
        let order = Order::Pace { task: *task, attempt: run.attempt, percent: pace };
        if let Some(server) = self.servers.get_mut(id) {
            server.queue.push_back(order);
        }
    }
}
