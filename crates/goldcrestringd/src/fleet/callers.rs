//! Caller API: forwards calls to the leader and returns its answers.

use super::leader_client::{LeaderCallError, LeaderReply, call_leader};
use super::node::FleetNode;
use crate::log::event;
use goldcrestring::name::NodeId;
use goldcrestring_wire::http::{HttpRequest, HttpResponse};
use goldcrestring_wire::job_message::{JobResponse, NotRunReason, path};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Header with the caller's timeout, in milliseconds.
const TIMEOUT_HEADER: &str = "x-goldcrestring-timeout-ms";

/// Timeout for callers that do not send one.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Share of the caller's timeout after which the entry stops trying to reach the leader, in
/// percent.
const CALLER_TIMEOUT_PERCENT: u32 = 50;

/// Time without contact to the leader after which the health check fails.
const MAX_LEADER_SILENCE: Duration = Duration::from_millis(4_000);

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

impl LeaderReply for JobResponse {
    fn redirect(&self) -> Option<Option<NodeId>> {
        match self {
            Self::NotLeader { leader } => Some(leader.clone()),
            _ => None,
        }
    }
}

/// Handles a caller's call.
pub(crate) async fn answer(node: Arc<FleetNode>, call: HttpRequest) -> HttpResponse {
    if node.adapter.is_readiness_probe(&call) {
        return health(&node);
    }
    let _open = OpenCall::new(&node.open_calls);
    let mut message = node.adapter.parse_job_request(&call);
    message.request = node.next_request();
    let started_at = node.now();
    let deadline = started_at + caller_timeout(&call) * CALLER_TIMEOUT_PERCENT / 100;
    let answered = call_leader::<_, JobResponse>(&node, path::JOB, &message, deadline).await;
    let answer = answered.unwrap_or_else(|problem| match problem {
        LeaderCallError::NotReceived => JobResponse::NotRun { reason: NotRunReason::NoLeader },
        LeaderCallError::Unknown => JobResponse::Unknown,
    });
    event!(
        info,
        "call-answered",
        request = message.request,
        method = call.method,
        host = message.host,
        path = message.path,
        answer = answer_name(&answer),
        reason = reason(&answer),
        time_ms = (node.now() - started_at).as_millis(),
    );
    let reply = node.adapter.encode_job_response(&answer);
    metrics::counter!("goldcrestring_caller_calls", "answer" => answer_name(&answer)).increment(1);
    if node.is_stopping() { reply.header("connection", "close") } else { reply }
}

/// Handles a health check of the load balancer.
pub(crate) async fn answer_health(node: Arc<FleetNode>, call: HttpRequest) -> HttpResponse {
    if node.adapter.is_readiness_probe(&call) { health(&node) } else { HttpResponse::new(404) }
}

fn health(node: &FleetNode) -> HttpResponse {
    if node.is_stopping() {
        return HttpResponse::text(503, "stopping\n");
    }
    let last_contact_at = node.leadership().last_contact_at;
    let is_recent = last_contact_at.is_some_and(|at| node.now() < at + MAX_LEADER_SILENCE);
    if is_recent { HttpResponse::text(200, "ok\n") } else { HttpResponse::text(503, "no leader\n") }
}

fn caller_timeout(call: &HttpRequest) -> Duration {
    let requested = call.headers.get(TIMEOUT_HEADER).and_then(|text| text.parse().ok());
    requested.map_or(DEFAULT_CALLER_TIMEOUT, Duration::from_millis)
}

/// Returns why a call was not run or is malformed; empty for other answers.
fn reason(answer: &JobResponse) -> String {
    match answer {
        JobResponse::NotRun { reason } => format!("{reason:?}"),
        JobResponse::Malformed(problem) => problem.clone(),
        _ => String::new(),
    }
}

const fn answer_name(answer: &JobResponse) -> &'static str {
    match answer {
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
