//! Duplicate suppression for non-idempotent requests: a majority of holders claims the idempotency
//! key before dispatch.

use crate::dispatch::Result;
use crate::log::event;
use crate::node::Node;
use crate::records;
use crate::requests::{ValidatedRequest, not_run_problem, replay};
use goldcrestring::name::{NodeId, TeamName};
use goldcrestring::process::idempotency::{
    CLAIM_TIMEOUT, Claim, ClaimDecision, KEY_VALIDITY, MAX_CLOCK_SKEW, Record, RecordKey,
    StoredResponse, TaskId, decide_claim, holders,
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

/// Initial interval between polls for the answer of an earlier run; doubles after each poll.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum interval between polls for the answer of an earlier run.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum size of a response body that holders store for retries, in bytes.
const MAX_STORED_BYTES: usize = 256 << 10;

/// Outcome of a claim.
pub(crate) enum ClaimOutcome {
    /// A majority of the holders accepted the claim.
    Held(Claim),
    /// An earlier claim exists.
    Earlier(Box<Record>),
}

/// Returns the key that identifies retries of a request; generates one if the caller sent none.
pub(crate) fn record_key(
    node: &Node,
    call: &HttpRequest,
    team: Option<TeamName>,
) -> Result<RecordKey> {
    let key = match call.headers.get(header::IDEMPOTENCY_KEY) {
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
    let call = RecordRequest::Claim { key: key.clone(), claim: claim.clone() };
    let started_at = node.now();
    let answers = call_holders(node, key, &call).await;
    let answers: Vec<_> = answers
        .into_iter()
        .map(|answer| match answer {
            Some(RecordResponse::Claim(answer)) => Some(answer),
            _ => None,
        })
        .collect();
    let decision = decide_claim(answers, node.now().saturating_sub(started_at));
    if decision == ClaimDecision::Held {
        return Ok(ClaimOutcome::Held(claim));
    }
    release(node, key, claim.task).await;
    let detail = match decision {
        ClaimDecision::Held => "the claim is held",
        ClaimDecision::Earlier(record) => return Ok(ClaimOutcome::Earlier(record)),
        ClaimDecision::NoMajority => "no majority of the idempotency key's holders answered",
        ClaimDecision::NotAuthoritative => {
            "holders of the idempotency key restarted; use a key issued some seconds from now"
        }
    };
    event!(warn, "claim-refused", key = key, reason = detail);
    Err(not_run_problem(503, "no-majority-of-holders", detail))
}

/// Stores the answer of a run at the holders in the background, without delaying the caller.
pub(crate) fn complete(
    node: &Arc<Node>,
    request: &ValidatedRequest,
    claim: Claim,
    reply: &HttpResponse,
) {
    let Some(key) = request.record_key.clone() else { return };
    if reply.body.len() > MAX_STORED_BYTES {
        return;
    }
    let answer = StoredResponse {
        status: reply.status,
        content_type: reply.headers.get("content-type").cloned(),
        body: reply.body.clone(),
    };
    let node = Arc::clone(node);
    spawn(async move {
        let call = RecordRequest::Complete { key: key.clone(), claim, answer };
        call_holders(&node, &key, &call).await;
    })
    .detach();
}

/// Releases a claim whose request was never sent.
pub(crate) async fn release(node: &Arc<Node>, key: &RecordKey, task: TaskId) {
    let call = RecordRequest::Release { key: key.clone(), task };
    call_holders(node, key, &call).await;
}

/// Waits for the answer of an earlier run under the same key.
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
        if let Some(answer) = record.answer {
            return Ok(replay(answer));
        }
        if let Some(reply) = fetch_task_result(node, &record.claim).await {
            complete(node, request, record.claim.clone(), &reply);
            let reply = reply.header(header::REPLAYED, "true");
            return Ok(reply.header(header::OUTCOME, RequestOutcome::Completed.to_string()));
        }
        if node.now() + delay >= request.deadline {
            let detail = "an earlier run with the same key has not finished";
            let problem = Problem::new(504, "no-answer", detail);
            return Err(problem.outcome(RequestOutcome::Unknown));
        }
        sleep(delay).await;
        delay = (delay * 2).min(MAX_POLL_INTERVAL);
        let answers = call_holders(node, key, &RecordRequest::Get { key: key.clone() }).await;
        match most_advanced_record(answers) {
            Some(latest) => record = latest,
            // The earlier request was never sent, so the caller may retry.
            None => return Err(not_run_problem(503, "earlier-run-refused", "retry the request")),
        }
    }
}

/// Asks the backend server of an earlier run for its result.
async fn fetch_task_result(node: &Node, claim: &Claim) -> Option<HttpResponse> {
    let call = HttpRequest::new(Method::Get, format!("/v1/tasks/{}", claim.task))
        .bearer(&node.settings.backend_token);
    let reply = node.client.call(claim.address, call, RESULT_TIMEOUT, Reuse::Allowed).await.ok()?;
    let is_same = reply.headers.get(header::TASK) == Some(&claim.task.to_string());
    let is_completed = reply.headers.get(header::OUTCOME).map(String::as_str) == Some("completed");
    (is_same && is_completed).then_some(reply)
}

/// Calls all holders of a key concurrently.
async fn call_holders(
    node: &Arc<Node>,
    key: &RecordKey,
    call: &RecordRequest,
) -> Vec<Option<RecordResponse>> {
    let asked: Vec<_> = holders(key, &node.settings.data_centres())
        .into_iter()
        .map(|holder| {
            let (node, call) = (Arc::clone(node), call.clone());
            spawn(async move { call_holder(&node, &holder, call).await })
        })
        .collect();
    let mut answers = Vec::with_capacity(asked.len());
    for answer in asked {
        answers.push(answer.await);
    }
    answers
}

async fn call_holder(node: &Node, holder: &NodeId, call: RecordRequest) -> Option<RecordResponse> {
    if *holder == node.settings.node {
        return Some(records::answer(node, call));
    }
    node.call_peer(holder, path::RECORD, &call, CLAIM_TIMEOUT).await.ok()
}

/// Returns the most advanced record: a completed one first, then the one with the latest attempt.
fn most_advanced_record(answers: Vec<Option<RecordResponse>>) -> Option<Record> {
    let records = answers.into_iter().filter_map(|answer| match answer {
        Some(RecordResponse::Record(Some(record))) => Some(*record),
        _ => None,
    });
    records.max_by_key(|record| (record.answer.is_some(), record.claim.attempt))
}
