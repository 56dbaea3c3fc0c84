//! Caller API: forwards requests to the leader and returns its responses.

use super::leader_client::{AnswerKind, CallHead, LeaderAnswer, call_leader};
use super::node::FleetNode;
use crate::log::event;
use goldcrestring::request::leader_call::{FinalAnswer, Unanswered, Verdict};
use goldcrestring_wire::http::{HttpRequest, HttpResponse};
use goldcrestring_wire::job_message::{JobResponse, NotRunReason, path};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Header with the caller's timeout, in milliseconds.
const TIMEOUT_HEADER: &str = "x-goldcrestring-timeout-ms";

/// Timeout of callers that send none.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Share of the caller's timeout after which the entry stops trying to reach the leader, in
/// percent.
const CALLER_TIMEOUT_PERCENT: u32 = 50;

/// Time since the last contact with the leader after which the health check fails.
const MAX_LEADER_CONTACT_AGE: Duration = Duration::from_millis(4_000);

/// Counts a call as open until dropped.
struct OpenCall<'a>(&'a AtomicUsize);

impl<'a> OpenCall<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl LeaderAnswer for JobResponse {
    fn kind(&self) -> AnswerKind {
        match self {
            Self::NotLeader { leader } => AnswerKind::Redirect(leader.clone()),
            Self::Unknown => AnswerKind::Open,
            Self::UnknownQueue | Self::UnknownKey | Self::Malformed(_) | Self::NotRun { .. } => {
                AnswerKind::Answer(Verdict::Refused)
            }
            Self::Accepted
            | Self::Progress(_)
            | Self::Pending(_)
            | Self::Cancelled
            | Self::UnknownJob => AnswerKind::Answer(Verdict::Conclusive),
        }
    }
}

/// Handles a caller's request.
pub(crate) async fn handle(node: Arc<FleetNode>, request: HttpRequest) -> HttpResponse {
    if node.adapter.is_readiness_probe(&request) {
        return health(&node);
    }
    let _open = OpenCall::new(&node.open_calls);
    let mut message = node.adapter.parse_job_request(&request);
    message.request = node.next_request_number();
    let started_at = node.now();
    let deadline = started_at + caller_timeout(&request) * CALLER_TIMEOUT_PERCENT / 100;
    // A process that stops answers each caller before it ends, at worst that the outcome is unknown.
    let deadline = node.answer_by().map_or(deadline, |answer_by| deadline.min(answer_by));
    let head = CallHead {
        path: path::JOB,
        request: message.request,
        effect: message.verb.effect(),
        deadline,
        may_use_front: true,
    };
    let result = call_leader::<_, JobResponse>(&node, head, &message).await;
    let response = match result.map(FinalAnswer::into_inner) {
        Ok(response) => response,
        Err(Unanswered::NotRun) => JobResponse::NotRun { reason: NotRunReason::NoLeader },
        Err(Unanswered::Unknown) => JobResponse::Unknown,
    };
    event!(
        info,
        "call-answered",
        request = message.request,
        method = request.method,
        host = message.host,
        path = message.path,
        answer = response_name(&response),
        reason = reason(&response),
        time_ms = (node.now() - started_at).as_millis(),
    );
    let http_response = node.adapter.encode_job_response(&response);
    metrics::counter!("goldcrestring_caller_calls", "answer" => response_name(&response))
        .increment(1);
    if node.is_stopping() { http_response.header("connection", "close") } else { http_response }
}

/// Handles a health check of the load balancer.
pub(crate) async fn handle_health(node: Arc<FleetNode>, request: HttpRequest) -> HttpResponse {
    if node.adapter.is_readiness_probe(&request) { health(&node) } else { HttpResponse::new(404) }
}

/// Reports whether the load balancer may send calls to this entry.
fn health(node: &FleetNode) -> HttpResponse {
    if node.is_stopping() {
        return HttpResponse::text(503, "stopping\n");
    }
    let last_contact_at = node.leadership().last_contact_at;
    let is_recent = last_contact_at.is_some_and(|at| node.now() < at + MAX_LEADER_CONTACT_AGE);
    if is_recent { HttpResponse::text(200, "ok\n") } else { HttpResponse::text(503, "no leader\n") }
}

fn caller_timeout(request: &HttpRequest) -> Duration {
    let requested = request.headers.get(TIMEOUT_HEADER).and_then(|text| text.parse().ok());
    requested.map_or(DEFAULT_CALLER_TIMEOUT, Duration::from_millis)
}

/// Returns the reason why a request was not run or is malformed, or an empty text for other
/// responses.
fn reason(response: &JobResponse) -> String {
    match response {
        JobResponse::NotRun { reason } => format!("{reason:?}"),
        JobResponse::Malformed(problem) => problem.clone(),
        _ => String::new(),
    }
}

/// Returns the name of a response in logs and metrics.
pub(crate) const fn response_name(response: &JobResponse) -> &'static str {
    match response {
        JobResponse::Accepted => "accepted",
        JobResponse::Progress(_) => "progress",
        JobResponse::Pending(_) => "pending",
        JobResponse::Cancelled => "cancelled",
        JobResponse::UnknownJob => "unknown-job",
        JobResponse::UnknownQueue => "unknown-queue",
        JobResponse::UnknownKey => "unknown-key",
        JobResponse::Malformed(_) => "malformed",
        JobResponse::NotRun { .. } => "not-run",
        JobResponse::Unknown => "unknown",
        JobResponse::NotLeader { .. } => "not-leader",
    }
}
