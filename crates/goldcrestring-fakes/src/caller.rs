//! A fake caller.

use goldcrestring::request::RequestOutcome;
use goldcrestring_wire::client::{CallError, Client, Reuse};
use goldcrestring_wire::header;
use goldcrestring_wire::http::{HttpRequest, HttpResponse, Method};
use std::net::SocketAddr;
use std::time::Duration;
use uuid::Uuid;

/// How long a caller waits for a response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(35);

/// Sends requests to entries.
#[derive(Default)]
pub struct Caller {
    client: Client,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest<'a> {
    /// The queue.
    pub queue: &'a str,
    /// The team's key.
    pub key: Option<&'a str>,
    /// The body.
    pub body: &'a [u8],
    /// The idempotency key.
    pub idempotency_key: Option<Uuid>,
    /// The timeout sent with the request.
    pub timeout: Option<Duration>,
}

impl<'a> CallerRequest<'a> {
    /// Creates a request without an idempotency key and timeout.
    pub const fn new(queue: &'a str, key: &'a str, body: &'a [u8]) -> Self {
        Self { queue, key: Some(key), body, idempotency_key: None, timeout: None }
    }
}

impl Caller {
    /// Sends a request to an entry.
    ///
    /// # Errors
    ///
    /// A [`CallError`] if the entry sent no complete response.
    pub async fn send(
        &self,
        entry: SocketAddr,
        request: &CallerRequest<'_>,
    ) -> Result<HttpResponse, CallError> {
        let path = format!("/v1/queues/{}/requests", request.queue);
        let mut http_request = HttpRequest::new(Method::Post, path).body(request.body);
        if let Some(key) = request.key {
            http_request = http_request.bearer(key);
        }
        if let Some(key) = request.idempotency_key {
            http_request = http_request.header(header::IDEMPOTENCY_KEY, key.to_string());
        }
        if let Some(timeout) = request.timeout {
            http_request = http_request.header(header::TIMEOUT_MS, timeout.as_millis().to_string());
        }
        self.client.call(entry, http_request, CALLER_TIMEOUT, Reuse::Never).await
    }
}

/// Returns the outcome that a response reports; without a response it is unknown, unless nothing
/// was sent.
pub fn outcome_of(result: &Result<HttpResponse, CallError>) -> RequestOutcome {
    match result {
        Ok(response) => {
            let outcome = response.headers.get(header::OUTCOME);
            outcome.and_then(|text| text.parse().ok()).unwrap_or(RequestOutcome::Unknown)
        }
        Err(error) if error.is_not_sent() => RequestOutcome::NotRun,
        Err(_) => RequestOutcome::Unknown,
    }
}
