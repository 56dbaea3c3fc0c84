//! Operator API for jobs: forwards calls to the leader.

use super::leader_client::{LeaderCallError, LeaderReply, call_leader};
use super::node::FleetNode;
use crate::log::event;
use goldcrestring::job::JobId;
use goldcrestring::job::view::JobFilter;
use goldcrestring::name::NodeId;
use goldcrestring::version::constant_time_eq;
use goldcrestring_wire::codec;
use goldcrestring_wire::http::{Call, Method, Reply};
use goldcrestring_wire::job_message::{NotRunReason, OperatorAnswer, OperatorCall, path};
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

impl LeaderReply for OperatorAnswer {
    fn redirect(&self) -> Option<Option<NodeId>> {
        match self {
            Self::NotLeader { leader } => Some(leader.clone()),
            _ => None,
        }
    }
}

/// Handles an operator's call.
pub(crate) async fn answer(node: Arc<FleetNode>, call: Call) -> Reply {
    let request = node.next_request();
    let (method, path) = (call.method, call.path.clone());
    let started_at = node.now();
    let reply = match answer_checked(&node, &call).await {
        Ok(reply) => reply,
        Err(problem) if problem.status >= 503 => {
            problem.reply().header("retry-after", RETRY_AFTER_S)
        }
        Err(problem) => problem.reply(),
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

async fn answer_checked(node: &FleetNode, call: &Call) -> Result<Reply> {
    let token = node.operator_token.as_deref().unwrap_or_default();
    let is_allowed =
        call.bearer_token().is_some_and(|presented| constant_time_eq(presented, token));
    if !is_allowed || token.is_empty() {
        return Err(Problem::new(401, "unauthorized", "a valid bearer token is required"));
    }
    let message = read(call)?;
    let deadline = node.now() + CALL_TIMEOUT;
    let answered = call_leader::<_, OperatorAnswer>(node, path::OPERATOR, &message, deadline).await;
    reply(answered.unwrap_or_else(|problem| match problem {
        LeaderCallError::NotReceived => OperatorAnswer::NotRun(NotRunReason::NoLeader),
        LeaderCallError::Unknown => OperatorAnswer::Unknown,
    }))
}

fn read(call: &Call) -> Result<OperatorCall> {
    let segments: Vec<_> = call.path.split('/').filter(|segment| !segment.is_empty()).collect();
    match (call.method, segments.as_slice()) {
        (Method::Get, ["v1", "jobs"]) => Ok(OperatorCall::List(filter(call)?)),
        (Method::Put, ["v1", "jobs", id]) => {
            let job = codec::decode_json(&call.body)
                .map_err(|error| Problem::new(400, "malformed-job", error.to_string()))?;
            Ok(OperatorCall::Submit { id: job_id(id)?, job: Box::new(job) })
        }
        (Method::Get, ["v1", "jobs", id]) => Ok(OperatorCall::Read(job_id(id)?)),
        (Method::Delete, ["v1", "jobs", id]) => Ok(OperatorCall::Cancel(job_id(id)?)),
        (Method::Get, ["v1", "explain", "job", id]) => Ok(OperatorCall::Explain(job_id(id)?)),
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

fn filter(call: &Call) -> Result<JobFilter> {
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

fn reply(answer: OperatorAnswer) -> Result<Reply> {
    match answer {
        OperatorAnswer::Accepted | OperatorAnswer::Cancelled => Ok(Reply::new(200)),
        OperatorAnswer::Job(view) => json(&view),
        OperatorAnswer::Jobs(list) => json(&list),
        OperatorAnswer::Explanation(explanation) => json(&explanation),
        OperatorAnswer::UnknownJob => {
            Err(Problem::new(404, "no-such-job", "the job has expired or was never accepted"))
        }
        OperatorAnswer::UnknownQueue => {
            Err(Problem::new(404, "no-such-queue", "the current plan has no such queue"))
        }
        OperatorAnswer::UnknownTeam => {
            let detail =
                "name a team of the current plan; only open queues accept jobs without one";
            Err(Problem::new(404, "no-such-team", detail))
        }
        OperatorAnswer::IdTaken => {
            Err(Problem::new(409, "id-taken", "a job with this id differs in queue, team or spec"))
        }
        OperatorAnswer::Invalid(problem) => Err(Problem::new(422, "invalid-job", problem)),
        OperatorAnswer::NotRun(reason) => {
            Err(Problem::new(503, "not-run", format!("the call was not executed: {reason}")))
        }
        OperatorAnswer::Unknown | OperatorAnswer::NotLeader { .. } => {
            let detail = "the call may have been executed; retry it with the same id";
            Err(Problem::new(504, "unknown", detail))
        }
    }
}

fn json<T: Serialize>(message: &T) -> Result<Reply> {
    codec::encode_json(message)
        .map(|body| Reply::json(200, body))
        .map_err(|error| Problem::new(500, "unencodable", error.to_string()))
}
