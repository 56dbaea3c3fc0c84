//! Removal of ended jobs and cancelled IDs whose retention period is over.
//!
//! The retention period is counted in replicated ticks instead of wall-clock time, which may jump and
//! differs between leaders. A leader proposes a tick once [`RETENTION_TICK`] has passed on its
//! steady clock since the previous one was applied, so that consecutive ticks are at least that far
//! apart under any sequence of leaders.

use super::Engine;
use crate::clock::Uptime;
use crate::job::command::JobCommand;
use crate::job::state::JobState;
use std::time::Duration;

/// The minimum time between two ticks.
const RETENTION_TICK: Duration = Duration::from_secs(5);

/// The maximum number of jobs removed by one command.
const MAX_REMOVED_JOBS: usize = 256;

/// What a leader keeps about the retention of jobs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Retention {
    /// When the next tick is due.
    next_tick_at: Uptime,
    /// Whether a tick is proposed and not applied yet.
    is_tick_proposed: bool,
    /// Whether a removal is proposed and not applied yet.
    is_removal_proposed: bool,
    /// Whether jobs may have expired since the last search for them.
    is_search_due: bool,
}

impl Retention {
    /// The state of a leader that was elected at `now`.
    pub(super) fn new(now: Uptime) -> Self {
        Self {
            next_tick_at: now + RETENTION_TICK,
            is_tick_proposed: false,
            is_removal_proposed: false,
            is_search_due: true,
        }
    }

    /// Handles a tick that has been applied.
    pub(super) fn handle_tick(&mut self, now: Uptime) {
        self.next_tick_at = now + RETENTION_TICK;
        self.is_tick_proposed = false;
        self.is_search_due = true;
    }

    /// Handles a removal that has been applied.
    pub(super) const fn handle_removal(&mut self) {
        self.is_removal_proposed = false;
    }
}

impl Engine {
    /// Proposes the next tick and the removal of expired jobs, if they are due.
    pub(super) fn plan_retention(&mut self, now: Uptime, state: &JobState) {
        let retention = &mut self.retention;
        if now >= retention.next_tick_at && !retention.is_tick_proposed && state.has_retained() {
            retention.is_tick_proposed = true;
            self.output.commands.push(JobCommand::RetentionTick);
        }
        if !retention.is_search_due || retention.is_removal_proposed {
            return;
        }
        let ticks = self.settings.retention.as_nanos().div_ceil(RETENTION_TICK.as_nanos());
        let ticks = u64::try_from(ticks).unwrap_or(u64::MAX);
        let expired: Vec<_> = state.expired(ticks).take(MAX_REMOVED_JOBS).collect();
        retention.is_search_due = expired.len() == MAX_REMOVED_JOBS;
        if !expired.is_empty() {
            retention.is_removal_proposed = true;
            self.output.commands.push(JobCommand::Forget(expired));
        }
    }
}
