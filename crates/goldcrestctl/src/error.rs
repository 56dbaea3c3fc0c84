//! Errors of commands and their exit codes.

use derive_more::{Display, Error};

/// Why a command failed.
#[derive(Debug, Display, Error)]
pub(crate) enum Error {
    /// No server gave a usable response.
    #[display("no server gave a usable response: {problem}")]
    NoResponse {
        /// The error of the last server tried.
        problem: String,
    },
    /// The arguments or the input are not valid.
    #[display("{problem}")]
    Usage {
        /// A description of the problem.
        problem: String,
    },
    /// The cluster rejected the request.
    #[display("refused ({kind}): {detail}")]
    Refused {
        /// The kind of the problem.
        kind: String,
        /// The details of the problem.
        detail: String,
    },
    /// The change was accepted, but was not in force when the wait timed out.
    #[display("accepted at revision {revision}, but not yet known to be in force on every entry")]
    NotInForce {
        /// The revision of the change.
        revision: u64,
    },
}

/// The result type of this crate.
pub(crate) type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Creates an error about invalid arguments or input.
    pub(crate) fn usage(problem: impl Into<String>) -> Self {
        Self::Usage { problem: problem.into() }
    }

    /// Returns the exit code for this error.
    pub(crate) const fn exit_code(&self) -> u8 {
        match self {
            Self::NoResponse { .. } => 1,
            Self::Usage { .. } => 2,
            Self::Refused { .. } => 3,
            Self::NotInForce { .. } => 4,
        }
    }
}
