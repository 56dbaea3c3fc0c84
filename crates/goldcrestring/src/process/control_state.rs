//! The replicated state machine: configuration, allowances and jobs.

use crate::job::JobState;
use crate::process::allowance_table::AllowanceTable;
use crate::process::command::{Command, CommandOutcome, GrantChange};
use crate::quantity::{LogIndex, Revision};
use crate::version::configuration::Configuration;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The replicated state at one log position.
///
/// # Examples
///
/// ```
/// use goldcrestring::process::{Command, CommandOutcome, ControlState};
/// use goldcrestring::quantity::LogIndex;
///
/// let mut state = ControlState::default();
/// let outcome = state.apply(LogIndex::new(1), &Command::Retire(Vec::new()));
/// assert_eq!(outcome, CommandOutcome::Retired);
/// assert_eq!(state.applied(), LogIndex::new(1));
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlState {
    applied: LogIndex,
    configuration: Configuration,
    allowances: AllowanceTable,
    task_bound: Duration,
    jobs: JobState,
}

impl ControlState {
    /// Returns the position of the last applied entry.
    pub const fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the configuration.
    pub const fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the grants of the entry processes.
    pub const fn allowances(&self) -> &AllowanceTable {
        &self.allowances
    }

    /// Returns the state of jobs, backend servers and maintenance.
    pub const fn jobs(&self) -> &JobState {
        &self.jobs
    }

    /// Returns the maximum duration of any task that may still be running.
    ///
    /// The bound rises immediately with the longest queue timeout, and is lowered only by
    /// [`Command::LowerTaskBound`].
    pub const fn task_bound(&self) -> Duration {
        self.task_bound
    }

    /// Applies the command at a log position; deterministic, so all replicas reach the same state.
    pub fn apply(&mut self, index: LogIndex, command: &Command) -> CommandOutcome {
        self.applied = index;
        match command {
            Command::Change(change) => {
                let outcome = self.configuration.apply(index.into(), change);
                self.task_bound = self.task_bound.max(self.configuration.longest_timeout());
                CommandOutcome::Change(outcome)
            }
            Command::Grants(changes) => self.apply_grants(index.into(), changes),
            Command::Retire(instances) => {
                self.allowances.retire(instances);
                CommandOutcome::Retired
            }
            Command::LowerTaskBound(bound) => {
                self.task_bound = self.configuration.longest_timeout().max(*bound);
                CommandOutcome::TaskBound(self.task_bound)
            }
            Command::Jobs(commands) => CommandOutcome::Jobs(
                commands.iter().map(|command| self.jobs.apply(command)).collect(),
            ),
        }
    }

    /// Advances the applied position past an entry that carries no command.
    pub const fn skip(&mut self, index: LogIndex) {
        self.applied = index;
    }

    fn apply_grants(&mut self, revision: Revision, changes: &[GrantChange]) -> CommandOutcome {
        let mut applied = 0;
        for change in changes {
            let team = self.configuration.team(&change.team);
            let limit = team.map_or(0, |team| team.upper_limit_tasks);
            if self.allowances.set(revision, limit, change) {
                applied += 1;
            }
        }
        CommandOutcome::Grants { applied, refused: changes.len() - applied }
    }
}
