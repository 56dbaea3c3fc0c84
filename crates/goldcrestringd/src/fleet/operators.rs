//! Operator API for jobs: forwards requests to the leader.

use super::leader_client::{AnswerKind, CallHead, LeaderAnswer, call_leader};
use super::node::FleetNode;
use crate::log::event;
use goldcrestring::job::JobId;
use goldcrestring::job::view::JobFilter;
use goldcrestring::request::leader_call::{FinalAnswer, Unanswered, Verdict};
use goldcrestring::version::constant_time_eq;
use goldcrestring_wire::codec;
use goldcrestring_wire::http::{HttpRequest, HttpResponse, Method};
use goldcrestring_wire::job_message::{NotRunReason, OperatorRequest, OperatorResponse, path};
use goldcrestring_wire::problem::Problem;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for forwarding a request to the leader, over all attempts.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Value of the `retry-after` header if no leader responded, in seconds; an election takes about
/// one second.
const RETRY_AFTER_S: &str = "2";

type Result<T> = std::result::Result<T, Problem>;

impl LeaderAnswer for OperatorResponse {
    fn kind(&self) -> AnswerKind {
        match self {
            Self::NotLeader { leader } => AnswerKind::Redirect(leader.clone()),
            Self::Unknown => AnswerKind::Open,
            Self::UnknownQueue
            | Self::UnknownTeam
            | Self::IdTaken
            | Self::Invalid(_)
            | Self::NotRun(_) => AnswerKind::Answer(Verdict::Refused),
            Self::Accepted
            | Self::Cancelled
            | Self::Job(_)
            | Self::Jobs(_)
            | Self::Explanation(_)
            | Self::UnknownJob => AnswerKind::Answer(Verdict::Conclusive),
        }
    }
}

/// Handles an operator's request.
pub(crate) async fn handle(node: Arc<FleetNode>, request: HttpRequest) -> HttpResponse {
    let request_number = node.next_request_number();
    let (method, path) = (request.method, request.path.clone());
    let started_at = node.now();
    let response = match authorize_and_forward(&node, request_number, &request).await {
        Ok(response) => response,
        Err(problem) if problem.status >= 503 => {
            problem.to_response().header("retry-after", RETRY_AFTER_S)
        }
        Err(problem) => problem.to_response(),
    };
    event!(
        info,
        "operator-answered",
        request = request_number,
        method = method,
        path = path,
        status = response.status,
        time_ms = (node.now() - started_at).as_millis(),
    );
    response
}

/// Checks the operator's token and forwards the request to the leader.
async fn authorize_and_forward(
    node: &FleetNode,
    request_number: u64,
    request: &HttpRequest,
) -> Result<HttpResponse> {
    let token = node.operator_token.as_deref().unwrap_or_default();
    let is_allowed =
        request.bearer_token().is_some_and(|presented| constant_time_eq(presented, token));
    if !is_allowed || token.is_empty() {
        return Err(Problem::new(401, "unauthorized", "a valid bearer token is required"));
    }
    let message = parse_request(request)?;
    let head = CallHead {
        path: path::OPERATOR,
        request: request_number,
        effect: message.effect(),
        deadline: node.now() + CALL_TIMEOUT,
        may_use_front: false,
    };
    let result = call_leader::<_, OperatorResponse>(node, head, &message).await;
    http_response(match result.map(FinalAnswer::into_inner) {
        Ok(response) => response,
        Err(Unanswered::NotRun) => OperatorResponse::NotRun(NotRunReason::NoLeader),
        Err(Unanswered::Unknown) => OperatorResponse::Unknown,
    })
}

/// Parses a request's method, path, query and body into a message for the leader.
fn parse_request(request: &HttpRequest) -> Result<OperatorRequest> {
    let segments: Vec<_> = request.path.split('/').filter(|segment| !segment.is_empty()).collect();
    match (request.method, segments.as_slice()) {
        (Method::Get, ["v1", "jobs"]) => Ok(OperatorRequest::List(filter(request)?)),
        (Method::Put, ["v1", "jobs", id]) => {
            let job = codec::decode_json(&request.body)
                .map_err(|error| Problem::new(400, "malformed-job", error.to_string()))?;
            Ok(OperatorRequest::Submit { id: job_id(id)?, job: Box::new(job) })
        }
        (Method::Get, ["v1", "jobs", id]) => Ok(OperatorRequest::Read(job_id(id)?)),
        (Method::Delete, ["v1", "jobs", id]) => Ok(OperatorRequest::Cancel(job_id(id)?)),
        (Method::Get, ["v1", "explain", "job", id]) => Ok(OperatorRequest::Explain(job_id(id)?)),
        (method, ["v1", "jobs", ..]) => {
            let detail = format!("{method} {}", request.path);
            Err(Problem::new(405, "method-not-allowed", detail))
        }
        _ => Err(Problem::new(404, "no-such-resource", request.path.clone())),
    }
}

fn job_id(text: &str) -> Result<JobId> {
    text.parse().map_err(|error| Problem::new(400, "malformed-name", format!("{error}")))
}

fn filter(request: &HttpRequest) -> Result<JobFilter> {
    let query_param = |name: &str| request.query.get(name).map(String::as_str);
    let phase = query_param("phase").map(str::parse).transpose();
    let phase = phase.map_err(|_| {
        let detail = "phase must be active, completed, failed or cancelled";
        Problem::new(400, "malformed-filter", detail)
    })?;
    Ok(JobFilter {
        queue: query_param("queue").map(Into::into),
        team: query_param("team").map(Into::into),
        phase,
        after: query_param("after").map(job_id).transpose()?,
    })
}

fn http_response(response: OperatorResponse) -> Result<HttpResponse> {
    match response {
        OperatorResponse::Accepted | OperatorResponse::Cancelled => Ok(HttpResponse::new(200)),
        OperatorResponse::Job(view) => json(&view),
        OperatorResponse::Jobs(list) => json(&list),
        OperatorResponse::Explanation(explanation) => json(&explanation),
        OperatorResponse::UnknownJob => {
            Err(Problem::new(404, "no-such-job", "the job was never accepted or has expired"))
        }
        OperatorResponse::UnknownQueue => {
            Err(Problem::new(404, "no-such-queue", "the current plan has no such queue"))
        }
        OperatorResponse::UnknownTeam => {
            let detail = "the current plan has no such team, or the queue requires a team";
            Err(Problem::new(404, "no-such-team", detail))
        }
        OperatorResponse::IdTaken => {
            Err(Problem::new(409, "id-taken", "the existing job differs in queue, team or spec"))
        }
        OperatorResponse::Invalid(problem) => Err(Problem::new(422, "invalid-job", problem)),
        OperatorResponse::NotRun(reason) => {
            Err(Problem::new(503, "not-run", format!("the request was not executed: {reason}")))
        }
        OperatorResponse::Unknown | OperatorResponse::NotLeader { .. } => {
            let detail = "the request may have been executed; retry it with the same id";
            Err(Problem::new(504, "unknown", detail))
        }
    }
}

fn json<T: Serialize>(message: &T) -> Result<HttpResponse> {
    codec::encode_json(message)
        .map(|body| HttpResponse::json(200, body))
        .map_err(|error| Problem::new(500, "unencodable", error.to_string()))
}
