//! Why a command did not do what it was asked for.

use derive_more::{Display, Error};

/// Why a command failed, and with which exit code.
#[derive(Debug, Display, Error)]
pub(crate) enum Error {
    /// No server answered.
    #[display("no answer: {problem}")]
    NoAnswer {
        /// What the last server said or did.
        problem: String,
    },
    /// The arguments or the input are not valid.
    #[display("{problem}")]
    Usage {
        /// What is wrong.
        problem: String,
    },
    /// The cluster refused.
    #[display("refused ({kind}): {detail}")]
    Refused {
        /// Names the sort of refusal.
        kind: String,
        /// What exactly was refused.
        detail: String,
    },
    /// The change was accepted, but the wait for it ended first.
    #[display("accepted at revision {revision}, but not known to be in force yet")]
    NotInForce {
        /// The revision.
        revision: u64,
    },
}

/// The result of a command.
pub(crate) type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Bad arguments or input.
    pub(crate) fn usage(problem: impl Into<String>) -> Self {
        Self::Usage { problem: problem.into() }
    }

    /// The exit code that tells this error.
    pub(crate) const fn exit_code(&self) -> u8 {
        match self {
            Self::NoAnswer { .. } => 1,
            Self::Usage { .. } => 2,
            Self::Refused { .. } => 3,
            Self::NotInForce { .. } => 4,
        }
    }
}
