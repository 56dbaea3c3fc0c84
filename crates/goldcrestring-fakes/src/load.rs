//! Continuous load from callers that send distinct requests and record their outcomes.

use crate::caller::{Caller, CallerRequest, outcome_of};
use goldcrestring::request::RequestOutcome;
use goldcrestring_wire::runtime::{sleep, spawn};
use smol::Task;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use uuid::Uuid;

/// The pause of a caller between requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(5);

/// A request and its outcomes.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The body, which is unique to this request.
    pub body: Vec<u8>,
    /// The outcome of each attempt.
    pub outcomes: Vec<RequestOutcome>,
    /// Whether the body of every complete response matches this request.
    pub has_matching_responses: bool,
}

/// Settings of the load.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// The entries, used in round-robin order.
    pub entries: Vec<SocketAddr>,
    /// The queue.
    pub queue: String,
    /// The team's key.
    pub key: String,
    /// The number of callers.
    pub callers: usize,
    /// The maximum number of retries of a request under its idempotency key until it completes.
    pub max_retries: usize,
}

/// Callers that send requests until [`Load::stop`].
pub struct Load {
    is_stopped: Arc<AtomicBool>,
    callers: Vec<Task<Vec<SentRequest>>>,
}

impl Load {
    /// Starts the callers.
    pub fn start(settings: &LoadSettings) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let callers = (0..settings.callers)
            .map(|number| spawn(run(settings.clone(), number, Arc::clone(&is_stopped))));
        Self { callers: callers.collect(), is_stopped }
    }

    /// Stops the callers and returns their requests with the outcomes.
    pub async fn stop(self) -> Vec<SentRequest> {
        self.is_stopped.store(true, Ordering::Relaxed);
        let mut all = Vec::new();
        for caller in self.callers {
            all.extend(caller.await);
        }
        all
    }
}

async fn run(
    settings: LoadSettings,
    number: usize,
    is_stopped: Arc<AtomicBool>,
) -> Vec<SentRequest> {
    let caller = Caller::default();
    let mut all = Vec::new();
    let mut entry_index = number;
    while !is_stopped.load(Ordering::Relaxed) {
        let body = format!("caller {number} request {} {}", all.len(), Uuid::now_v7()).into_bytes();
        let mut sent = SentRequest { body, outcomes: Vec::new(), has_matching_responses: true };
        let idempotency_key = Some(Uuid::now_v7());
        for _ in 0..=settings.max_retries {
            entry_index += 1;
            let entry = settings.entries[entry_index % settings.entries.len()];
            let request = CallerRequest {
                idempotency_key,
                ..CallerRequest::new(&settings.queue, &settings.key, &sent.body)
            };
            let result = caller.send(entry, &request).await;
            let outcome = outcome_of(&result);
            if let (RequestOutcome::Completed, Ok(response)) = (outcome, &result) {
                sent.has_matching_responses &= response.body == sent.body;
            }
            sent.outcomes.push(outcome);
            if outcome == RequestOutcome::Completed {
                break;
            }
        }
        all.push(sent);
        sleep(REQUEST_PAUSE).await;
    }
    all
}
