//! Commands of the replicated state machine, and their outcomes.

use crate::job::JobCommand;
use crate::job::state::JobOutcome;
use crate::name::TeamName;
use crate::process::allowance_table::EntryInstance;
use crate::quantity::Revision;
use crate::version::change::{Accepted, Change, Rejection};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A command in the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// An operator's configuration change.
    Change(Change),
    /// Changes to the grants of entry processes.
    Grants(Vec<GrantChange>),
    /// Removes the grants of terminated entry processes, which can no longer have tasks running.
    Retire(Vec<EntryInstance>),
    /// Lowers the bound on task duration once no task with a longer duration can be running.
    LowerTaskBound(Duration),
    /// Changes to jobs, backend servers and maintenance, in order.
    Jobs(Vec<JobCommand>),
}

/// Sets the units that one entry process holds of one team's upper limit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantChange {
    /// The team.
    pub team: TeamName,
    /// The entry process.
    pub instance: EntryInstance,
    /// The new number of units.
    pub units: u32,
    /// The revision of the grant to replace; the change is rejected if it differs.
    pub expected_revision: Revision,
}

/// The result of applying a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CommandOutcome {
    /// The result of a configuration change.
    Change(Result<Accepted, Rejection>),
    /// The result of grant changes.
    Grants {
        /// The number of changes that took effect.
        applied: usize,
        /// The number of changes that were outdated or would have exceeded a limit.
        refused: usize,
    },
    /// The grants were removed.
    Retired,
    /// The bound on task duration was set.
    TaskBound(Duration),
    /// The outcome of each job command, in order.
    Jobs(Vec<JobOutcome>),
}
