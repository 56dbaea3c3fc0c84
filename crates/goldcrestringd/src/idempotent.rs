//! Duplicate suppression for requests that are not idempotent.
//!
//! Before such a request is sent to a backend server, its idempotency key is claimed at a majority
//! of the key's holders.

use crate::dispatch::Result;
use crate::log::event;
use crate::node::Node;
use crate::records;
use crate::requests::{ValidatedRequest, not_run_problem, replay};
use goldcrestring::name::{NodeId, TeamName};
use goldcrestring::process::idempotency::{
    CLAIM_TIMEOUT, Claim, ClaimDecision, ClaimResponse, EarlierRun, KEY_VALIDITY, LookupResponse,
    MAX_CLOCK_SKEW, Record, RecordKey, StoredResponse, TaskId, decide_claim, decide_earlier_run,
    holders, is_held_by_majority,
};
use goldcrestring::request::RequestOutcome;
use goldcrestring::request::routing::ServerChoice;
use goldcrestring_wire::client::Reuse;
use goldcrestring_wire::header;
use goldcrestring_wire::http::{HttpRequest, HttpResponse, Method};
use goldcrestring_wire::message::{RecordRequest, RecordResponse, path};
use goldcrestring_wire::problem::Problem;
use goldcrestring_wire::runtime::{sleep, spawn};
use std::sync::Arc;
use std::time::Duration;
use uuid::Uuid;

/// Timeout for asking a backend server for a task's result.
const RESULT_TIMEOUT: Duration = Duration::from_millis(500);

/// Initial interval between polls for the response of an earlier run; doubles after each poll.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum interval between polls for the response of an earlier run.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum size of a response body that holders store to answer retries, in bytes.
const MAX_STORED_BYTES: usize = 256 << 10;

/// Outcome of claiming an idempotency key.
pub(crate) enum ClaimOutcome {
    /// A majority of the holders accepted the claim.
    Held(Claim),
    /// An earlier request with this key holds the claim.
    Existing(Box<Record>),
}

/// Returns the key that identifies retries of a request; generates one if the caller sent none.
///
/// # Errors
///
/// Returns a problem with outcome `not-run` if the key is not a version 7 UUID, was issued more
/// than `KEY_VALIDITY` ago, or is issued more than `MAX_CLOCK_SKEW` in the future.
pub(crate) fn record_key(
    node: &Node,
    request: &HttpRequest,
    team: Option<TeamName>,
) -> Result<RecordKey> {
    let key = match request.headers.get(header::IDEMPOTENCY_KEY) {
        None => Uuid::now_v7(),
        Some(text) => text
            .parse()
            .map_err(|error| not_run_problem(400, "bad-idempotency-key", &format!("{error}")))?,
    };
    let key = RecordKey { team, key };
    let now = node.clock.system_time();
    let Some(issued_at) = key.issued_at() else {
        return Err(not_run_problem(
            400,
            "bad-idempotency-key",
            "the key must be a version 7 UUID",
        ));
    };
    if issued_at + KEY_VALIDITY < now {
        return Err(not_run_problem(
            409,
            "idempotency-key-expired",
            "the key is older than ten minutes",
        ));
    }
    if issued_at > now + MAX_CLOCK_SKEW {
        return Err(not_run_problem(
            400,
            "bad-idempotency-key",
            "the key's issue time is in the future",
        ));
    }
    Ok(key)
}

/// Claims the idempotency key of a request at its holders.
///
/// # Errors
///
/// Returns a problem with outcome `not-run` if no majority accepts the claim.
pub(crate) async fn claim(
    node: &Arc<Node>,
    request: &ValidatedRequest,
    choice: &ServerChoice,
    request_id: Uuid,
    attempt: u32,
) -> Result<ClaimOutcome> {
    let Some(key) = &request.record_key else {
        return Err(not_run_problem(500, "internal-error", "an idempotent request needs no claim"));
    };
    let claim = Claim {
        task: TaskId(request_id),
        attempt,
        request_digest: request.digest,
        claimant: node.instance.clone(),
        vm: choice.vm.clone(),
        address: choice.address,
    };
    let started_at = node.now();
    let responses = call_holders_until_held(node, key, &claim).await;
    let decision = decide_claim(responses, node.now().saturating_sub(started_at));
    if decision == ClaimDecision::Held {
        return Ok(ClaimOutcome::Held(claim));
    }
    release(node, key, claim.task).await;
    let detail = match decision {
        ClaimDecision::Held => "the claim is held",
        ClaimDecision::Existing(record) => return Ok(ClaimOutcome::Existing(record)),
        ClaimDecision::NoMajority => "no majority of the idempotency key's holders responded",
        ClaimDecision::NotAuthoritative => {
            "holders of the idempotency key restarted; use a key issued a few seconds from now"
        }
    };
    event!(warn, "claim-refused", key = key, reason = detail);
    Err(not_run_problem(503, "no-majority-of-holders", detail))
}

/// Stores the response of a run at the holders, in the background so that the caller does not wait.
///
/// A response larger than `MAX_STORED_BYTES` is not stored.
pub(crate) fn complete(
    node: &Arc<Node>,
    request: &ValidatedRequest,
    claim: Claim,
    response: &HttpResponse,
) {
    let Some(key) = request.record_key.clone() else { return };
    if response.body.len() > MAX_STORED_BYTES {
        return;
    }
    let response = StoredResponse {
        status: response.status,
        content_type: response.headers.get("content-type").cloned(),
        body: response.body.clone(),
    };
    let node = Arc::clone(node);
    spawn(async move {
        let record_request = RecordRequest::Complete { key: key.clone(), claim, response };
        call_holders(&node, &key, &record_request).await;
    })
    .detach();
}

/// Releases a claim whose request was not run by any backend server.
pub(crate) async fn release(node: &Arc<Node>, key: &RecordKey, task: TaskId) {
    let record_request = RecordRequest::Release { key: key.clone(), task };
    call_holders(node, key, &record_request).await;
}

/// Waits for the response of an earlier run with the same key.
///
/// # Errors
///
/// Returns a problem if the key was used for a different request, if the earlier run was released
/// without having run, or, with outcome `unknown`, if the earlier run has not finished by the
/// deadline.
pub(crate) async fn await_earlier_run(
    node: &Arc<Node>,
    request: &ValidatedRequest,
    record: Record,
) -> Result<HttpResponse> {
    let Some(key) = &request.record_key else {
        return Err(not_run_problem(
            500,
            "internal-error",
            "an idempotent request has no earlier run",
        ));
    };
    let mut record = record;
    let mut delay = MIN_POLL_INTERVAL;
    loop {
        if record.claim.request_digest != request.digest {
            let detail = "the key was already used for a different request";
            return Err(not_run_problem(422, "idempotency-key-reused", detail));
        }
        if let Some(response) = record.response {
            return Ok(replay(response));
        }
        if let Some(response) = fetch_task_result(node, &record.claim).await {
            complete(node, request, record.claim.clone(), &response);
            let response = response.header(header::REPLAYED, "true");
            return Ok(response.header(header::OUTCOME, RequestOutcome::Completed.to_string()));
        }
        if node.now() + delay >= request.deadline {
            let detail = "an earlier run with the same key has not finished";
            let problem = Problem::new(504, "no-answer", detail);
            return Err(problem.outcome(RequestOutcome::Unknown));
        }
        sleep(delay).await;
        delay = (delay * 2).min(MAX_POLL_INTERVAL);
        let responses = call_holders(node, key, &RecordRequest::Get { key: key.clone() }).await;
        match decide_earlier_run(responses.into_iter().map(lookup_response).collect()) {
            EarlierRun::Recorded(latest) => record = *latest,
            EarlierRun::Released => {
                return Err(not_run_problem(503, "earlier-run-refused", "retry the request"));
            }
            EarlierRun::Unknown => {}
        }
    }
}

/// Asks the backend server of an earlier run for its result; returns `None` if there is none yet.
async fn fetch_task_result(node: &Node, claim: &Claim) -> Option<HttpResponse> {
    let request = HttpRequest::new(Method::Get, format!("/v1/tasks/{}", claim.task))
        .bearer(&node.settings.backend_token);
    let response =
        node.client.call(claim.address, request, RESULT_TIMEOUT, Reuse::Allowed).await.ok()?;
    let is_same_task = response.headers.get(header::TASK) == Some(&claim.task.to_string());
    let is_completed =
        response.headers.get(header::OUTCOME).map(String::as_str) == Some("completed");
    (is_same_task && is_completed).then_some(response)
}

/// Asks all holders of a key to record a claim, and returns once a majority has recorded it or all
/// have responded. Holders that have not responded yield `None`.
///
/// The other requests continue in the background: the more holders have a record, the more of them
/// may restart.
async fn call_holders_until_held(
    node: &Arc<Node>,
    key: &RecordKey,
    claim: &Claim,
) -> Vec<Option<ClaimResponse>> {
    let holders = holders(key, &node.settings.data_centres());
    let mut responses = vec![None; holders.len()];
    let (sender, receiver) = smol::channel::bounded(holders.len().max(1));
    for (position, holder) in holders.into_iter().enumerate() {
        let (node, sender) = (Arc::clone(node), sender.clone());
        let request = RecordRequest::Claim { key: key.clone(), claim: claim.clone() };
        spawn(async move {
            let response = match call_holder(&node, &holder, request).await {
                Some(RecordResponse::Claim(response)) => Some(response),
                _ => None,
            };
            // The receiver is gone once the claim is decided.
            let _ = sender.try_send((position, response));
        })
        .detach();
    }
    drop(sender);
    while !is_held_by_majority(&responses)
        && let Ok((position, response)) = receiver.recv().await
    {
        responses[position] = response;
    }
    responses
}

/// Calls all holders of a key concurrently. Holders that did not respond yield `None`.
async fn call_holders(
    node: &Arc<Node>,
    key: &RecordKey,
    request: &RecordRequest,
) -> Vec<Option<RecordResponse>> {
    let tasks: Vec<_> = holders(key, &node.settings.data_centres())
        .into_iter()
        .map(|holder| {
            let (node, request) = (Arc::clone(node), request.clone());
            spawn(async move { call_holder(&node, &holder, request).await })
        })
        .collect();
    let mut responses = Vec::with_capacity(tasks.len());
    for task in tasks {
        responses.push(task.await);
    }
    responses
}

async fn call_holder(
    node: &Node,
    holder: &NodeId,
    request: RecordRequest,
) -> Option<RecordResponse> {
    if *holder == node.settings.node {
        return Some(records::handle(node, request));
    }
    node.call_peer(holder, path::RECORD, &request, CLAIM_TIMEOUT).await.ok()
}

fn lookup_response(response: Option<RecordResponse>) -> Option<LookupResponse> {
    match response {
        Some(RecordResponse::Record(Some(record))) => Some(LookupResponse::Found(record)),
        Some(RecordResponse::Record(None)) => Some(LookupResponse::Absent),
        Some(RecordResponse::NotAuthoritative) => Some(LookupResponse::NotAuthoritative),
        _ => None,
    }
}
