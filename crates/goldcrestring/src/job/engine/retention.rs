//! Removal of ended jobs and cancelled IDs whose retention period is over.

use super::Engine;
use crate::job::command::JobCommand;
use crate::job::state::{JobPhase, JobState};

/// The maximum number of jobs removed by one command.
const MAX_REMOVED_JOBS: usize = 256;

impl Engine {
    /// Proposes the removal of jobs that ended longer ago than the retention period.
    pub(super) fn remove_expired_jobs(&mut self, state: &JobState) {
        if self.is_forget_proposed {
            return;
        }
        let retention_ms = u64::try_from(self.settings.retention.as_millis()).unwrap_or(u64::MAX);
        let wall_ms = self.wall_ms;
        let is_expired = |ended_at_ms: u64| wall_ms > ended_at_ms.saturating_add(retention_ms);
        let ended = state
            .jobs()
            .filter(|(_, job)| job.phase != JobPhase::Active && is_expired(job.ended_at_ms));
        let cancelled = state.cancelled_ids().iter().filter(|(_, at_ms)| is_expired(**at_ms));
        let expired: Vec<_> = ended
            .map(|(id, _)| *id)
            .chain(cancelled.map(|(id, _)| *id))
            .take(MAX_REMOVED_JOBS)
            .collect();
        if !expired.is_empty() {
            self.is_forget_proposed = true;
            self.output.commands.push(JobCommand::Forget(expired));
        }
    }
}
