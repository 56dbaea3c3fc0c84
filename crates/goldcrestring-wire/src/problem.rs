//! Error responses in the format `application/problem+json` (RFC 9457).

use crate::header;
use crate::http::HttpResponse;
use goldcrestring::request::RequestOutcome;
use serde::{Deserialize, Serialize};

/// The media type of a problem document.
pub const PROBLEM_JSON: &str = "application/problem+json";

/// A problem document, the body of an error response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// The machine-readable kind of the problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// The human-readable kind of the problem.
    pub title: String,
    /// The status code.
    pub status: u16,
    /// The human-readable explanation of this occurrence.
    pub detail: String,
    /// The outcome of the request, if it submitted work.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<RequestOutcome>,
}

impl Problem {
    /// Creates a problem of a kind such as `queue-full`.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring_wire::problem::Problem;
    ///
    /// let problem = Problem::new(429, "queue-full", "256 requests are already waiting");
    /// assert_eq!(problem.title, "queue full");
    /// ```
    pub fn new(status: u16, kind: &str, detail: impl Into<String>) -> Self {
        Self {
            kind: kind.to_owned(),
            title: kind.replace('-', " "),
            status,
            detail: detail.into(),
            outcome: None,
        }
    }

    /// Sets the outcome of the request.
    #[must_use]
    pub const fn outcome(mut self, outcome: RequestOutcome) -> Self {
        self.outcome = Some(outcome);
        self
    }

    /// Creates the response that carries this problem.
    pub fn to_response(&self) -> HttpResponse {
        let body = serde_json::to_vec(self).unwrap_or_default();
        let response =
            HttpResponse::new(self.status).header("content-type", PROBLEM_JSON).body(body);
        let response = response.header(header::REASON, self.kind.clone());
        match self.outcome {
            Some(outcome) => response.header(header::OUTCOME, outcome.to_string()),
            None => response,
        }
    }
}
