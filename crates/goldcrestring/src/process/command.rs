//! Commands for the replicated state, and their outcomes.

use crate::job::JobCommand;
use crate::job::state::JobOutcome;
use crate::name::TeamName;
use crate::process::allowance_table::EntryInstance;
use crate::quantity::Revision;
use crate::version::change::{Accepted, Change, Rejection};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A command that the leader appends to the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// An operator's change of the configuration.
    Change(Change),
    /// Changes of what entries may start for teams.
    Grants(Vec<GrantChange>),
    /// Ends the grants of entry processes that can have nothing running any more.
    Retire(Vec<EntryInstance>),
    /// Forgets that tasks once had longer, now that none of those can run any more.
    LowerTaskBound(Duration),
    /// Changes of jobs, backend servers and maintenance, in order.
    Jobs(Vec<JobCommand>),
}

/// Sets the units that one entry process holds of one team's upper limit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantChange {
    /// The team.
    pub team: TeamName,
    /// The entry process.
    pub instance: EntryInstance,
    /// The units it holds from now on.
    pub units: u32,
    /// The revision of the grant that this change replaces; another one makes it void.
    pub expected_revision: Revision,
}

/// What became of a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CommandOutcome {
    /// The answer to a change.
    Change(Result<Accepted, Rejection>),
    /// How many grant changes took effect.
    Grants {
        /// Those that took effect.
        applied: usize,
        /// Those that were void or over a limit.
        refused: usize,
    },
    /// The grants were ended.
    Retired,
    /// The bound on the time of tasks was set.
    TaskBound(Duration),
    /// The outcome of each change, in the same order.
    Jobs(Vec<JobOutcome>),
}
