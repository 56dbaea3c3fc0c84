//! Operator API for jobs: forwards calls to the leader.

use super::leader_client::{LeaderCallError, LeaderReply, call_leader};
use super::node::FleetNode;
use crate::log::event;
use goldcrestring::job::JobId;
use goldcrestring::job::view::JobFilter;
use goldcrestring::name::NodeId;
use goldcrestring::version::constant_time_eq;
use goldcrestring_wire::codec;
use goldcrestring_wire::http::{HttpRequest, HttpResponse, Method};
use goldcrestring_wire::job_message::{NotRunReason, OperatorRequest, OperatorResponse, path};
use goldcrestring_wire::problem::Problem;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for forwarding a call while no leader answers.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Value of the `retry-after` header if no leader answered, in seconds. An election takes about one
/// second.
const RETRY_AFTER_S: &str = "2";

type Result<T> = std::result::Result<T, Problem>;

impl LeaderReply for OperatorResponse {
    fn redirect(&self) -> Option<Option<NodeId>> {
        match self {
            Self::NotLeader { leader } => Some(leader.clone()),
            _ => None,
        }
    }
}

/// Handles an operator's call.
pub(crate) async fn answer(node: Arc<FleetNode>, call: HttpRequest) -> HttpResponse {
    let request = node.next_request();
    let (method, path) = (call.method, call.path.clone());
    let started_at = node.now();
    let reply = match answer_checked(&node, &call).await {
        Ok(reply) => reply,
        Err(problem) if problem.status >= 503 => {
            problem.to_response().header("retry-after", RETRY_AFTER_S)
        }
        Err(problem) => problem.to_response(),
    };
    event!(
        info,
        "operator-answered",
        request = request,
        method = method,
        path = path,
        status = reply.status,
        time_ms = (node.now() - started_at).as_millis(),
    );
    reply
}

async fn answer_checked(node: &FleetNode, call: &HttpRequest) -> Result<HttpResponse> {
    let token = node.operator_token.as_deref().unwrap_or_default();
    let is_allowed =
        call.bearer_token().is_some_and(|presented| constant_time_eq(presented, token));
    if !is_allowed || token.is_empty() {
        return Err(Problem::new(401, "unauthorized", "a valid bearer token is required"));
    }
    let message = read(call)?;
    let deadline = node.now() + CALL_TIMEOUT;
    let answered =
        call_leader::<_, OperatorResponse>(node, path::OPERATOR, &message, deadline).await;
    reply(answered.unwrap_or_else(|problem| match problem {
        LeaderCallError::NotReceived => OperatorResponse::NotRun(NotRunReason::NoLeader),
        LeaderCallError::Unknown => OperatorResponse::Unknown,
    }))
}

fn read(call: &HttpRequest) -> Result<OperatorRequest> {
    let segments: Vec<_> = call.path.split('/').filter(|segment| !segment.is_empty()).collect();
    match (call.method, segments.as_slice()) {
        (Method::Get, ["v1", "jobs"]) => Ok(OperatorRequest::List(filter(call)?)),
        (Method::Put, ["v1", "jobs", id]) => {
            let job = codec::decode_json(&call.body)
                .map_err(|error| Problem::new(400, "malformed-job", error.to_string()))?;
            Ok(OperatorRequest::Submit { id: job_id(id)?, job: Box::new(job) })
        }
        (Method::Get, ["v1", "jobs", id]) => Ok(OperatorRequest::Read(job_id(id)?)),
        (Method::Delete, ["v1", "jobs", id]) => Ok(OperatorRequest::Cancel(job_id(id)?)),
        (Method::Get, ["v1", "explain", "job", id]) => Ok(OperatorRequest::Explain(job_id(id)?)),
        (method, ["v1", "jobs", ..]) => {
            let detail = format!("{method} {}", call.path);
            Err(Problem::new(405, "method-not-allowed", detail))
        }
        _ => Err(Problem::new(404, "no-such-resource", call.path.clone())),
    }
}

fn job_id(text: &str) -> Result<JobId> {
    text.parse().map_err(|error| Problem::new(400, "malformed-name", format!("{error}")))
}

fn filter(call: &HttpRequest) -> Result<JobFilter> {
    let query_param = |name: &str| call.query.get(name).map(String::as_str);
    let phase = query_param("phase").map(str::parse).transpose();
    let phase = phase.map_err(|_| {
        let detail = "phase: active, completed, failed or cancelled";
        Problem::new(400, "malformed-filter", detail)
    })?;
    Ok(JobFilter {
        queue: query_param("queue").map(Into::into),
        team: query_param("team").map(Into::into),
        phase,
        after: query_param("after").map(job_id).transpose()?,
    })
}

fn reply(answer: OperatorResponse) -> Result<HttpResponse> {
    match answer {
        OperatorResponse::Accepted | OperatorResponse::Cancelled => Ok(HttpResponse::new(200)),
        OperatorResponse::Job(view) => json(&view),
        OperatorResponse::Jobs(list) => json(&list),
        OperatorResponse::Explanation(explanation) => json(&explanation),
        OperatorResponse::UnknownJob => {
            Err(Problem::new(404, "no-such-job", "the job has expired or was never accepted"))
        }
        OperatorResponse::UnknownQueue => {
            Err(Problem::new(404, "no-such-queue", "the current plan has no such queue"))
        }
        OperatorResponse::UnknownTeam => {
            let detail =
                "name a team of the current plan; only open queues accept jobs without one";
            Err(Problem::new(404, "no-such-team", detail))
        }
        OperatorResponse::IdTaken => {
            Err(Problem::new(409, "id-taken", "a job with this id differs in queue, team or spec"))
        }
        OperatorResponse::Invalid(problem) => Err(Problem::new(422, "invalid-job", problem)),
        OperatorResponse::NotRun(reason) => {
            Err(Problem::new(503, "not-run", format!("the call was not executed: {reason}")))
        }
        OperatorResponse::Unknown | OperatorResponse::NotLeader { .. } => {
            let detail = "the call may have been executed; retry it with the same id";
            Err(Problem::new(504, "unknown", detail))
        }
    }
}

fn json<T: Serialize>(message: &T) -> Result<HttpResponse> {
    codec::encode_json(message)
        .map(|body| HttpResponse::json(200, body))
        .map_err(|error| Problem::new(500, "unencodable", error.to_string()))
}
