//! Callers that send distinct requests all the time, and what became of each.

use crate::caller::{Caller, CallerRequest, outcome_of};
use goldcrestring::request::RequestOutcome;
use goldcrestring_wire::runtime::{sleep, spawn};
use smol::Task;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use uuid::Uuid;

/// The pause of a caller after an answer.
const PAUSE: Duration = Duration::from_millis(5);

/// One request and its outcome.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The body, which no other request has.
    pub body: Vec<u8>,
    /// The outcome of each time that it was sent.
    pub outcomes: Vec<RequestOutcome>,
    /// Whether every whole answer was that to this very request.
    pub has_own_answers: bool,
}

/// What callers send.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// The entries, which callers use in turn.
    pub entries: Vec<SocketAddr>,
    /// The queue.
    pub queue: String,
    /// The key.
    pub key: String,
    /// The number of callers.
    pub callers: usize,
    /// How often a request without a whole answer is sent again under its idempotency key.
    pub max_resends: usize,
}

/// Callers that run until they are told to stop.
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

    /// Stops the callers and returns what became of their requests.
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
    let mut turn = number;
    while !is_stopped.load(Ordering::Relaxed) {
        let body = format!("caller {number} request {} {}", all.len(), Uuid::now_v7()).into_bytes();
        let mut sent = SentRequest { body, outcomes: Vec::new(), has_own_answers: true };
        let idempotency_key = Some(Uuid::now_v7());
        for _ in 0..=settings.max_resends {
            turn += 1;
            let entry = settings.entries[turn % settings.entries.len()];
            let request = CallerRequest {
                idempotency_key,
                ..CallerRequest::new(&settings.queue, &settings.key, &sent.body)
            };
            let answer = caller.send(entry, &request).await;
            let outcome = outcome_of(&answer);
            if let (RequestOutcome::Completed, Ok(response)) = (outcome, &answer) {
                sent.has_own_answers &= response.body == sent.body;
            }
            sent.outcomes.push(outcome);
            if outcome == RequestOutcome::Completed {
                break;
            }
        }
        all.push(sent);
        sleep(PAUSE).await;
    }
    all
}
