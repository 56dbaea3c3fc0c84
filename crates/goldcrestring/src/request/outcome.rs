//! The outcome of a request as reported to the caller.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::str::FromStr;

/// The outcome of a request.
///
/// # Examples
///
/// ```
/// use goldcrestring::request::RequestOutcome;
///
/// assert_eq!(RequestOutcome::NotRun.to_string(), "not-run");
/// assert_eq!("unknown".parse(), Ok(RequestOutcome::Unknown));
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// A backend server ran the request and responded.
    #[display("completed")]
    Completed,
    /// No backend server has started the request, and none will.
    #[display("not-run")]
    NotRun,
    /// A backend server may have run the request.
    #[display("unknown")]
    Unknown,
}

/// The error returned when a string is not a valid outcome.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("an outcome must be completed, not-run or unknown")]
pub struct OutcomeError;

/// The result of parsing an outcome.
pub type Result<T> = std::result::Result<T, OutcomeError>;

impl FromStr for RequestOutcome {
    type Err = OutcomeError;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "completed" => Ok(Self::Completed),
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err(OutcomeError),
        }
    }
}
