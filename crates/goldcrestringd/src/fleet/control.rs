//! API for operators and backend servers: forwards requests to the leader and returns its
//! responses.

use super::leader_client::{AnswerKind, CallHead, LeaderAnswer, call_leader};
use super::node::FleetNode;
use super::replica::ReplicaEvent;
use crate::log::event;
use goldcrestring::request::leader_call::{CallEffect, FinalAnswer, Verdict};
use goldcrestring_wire::http::{HttpRequest, HttpResponse};
use goldcrestring_wire::job_message::{FleetRequest, FleetResponse, NotRunReason, path};
use std::sync::Arc;
use std::time::Duration;

/// Timeout for forwarding a request to the leader; less than the one second after which clients
/// switch to another replica.
const CALL_TIMEOUT: Duration = Duration::from_millis(850);

impl LeaderAnswer for FleetResponse {
    fn kind(&self) -> AnswerKind {
        match self {
            Self::NotLeader { leader } => AnswerKind::Redirect(leader.clone()),
            Self::Invalid(_) | Self::NotFound => AnswerKind::Answer(Verdict::Refused),
            // `Unavailable` promises nothing, so it holds whatever happens to earlier attempts.
            Self::Done | Self::Document(_) | Self::Wave { .. } | Self::Unavailable(_) => {
                AnswerKind::Answer(Verdict::Conclusive)
            }
        }
    }
}

/// Handles a request from an operator or a backend server.
pub(crate) async fn handle(node: Arc<FleetNode>, request: HttpRequest) -> HttpResponse {
    let message = match node.adapter.parse_fleet_request(&request) {
        Ok(message) => message,
        Err(problem) => {
            event!(warn, "call-unreadable", path = request.path, problem = format!("{problem:?}"));
            return node.adapter.encode_parse_error(&problem);
        }
    };
    let response = forward(&node, message).await;
    if !matches!(response, FleetResponse::Done) || !request.path.contains("Heartbeat") {
        event!(info, "call-answered", path = request.path, answer = response_name(&response));
    }
    node.adapter.encode_fleet_response(&response)
}

/// Passes a request to this process's replica, or to the leader if that is another process.
async fn forward(node: &FleetNode, message: FleetRequest) -> FleetResponse {
    let unavailable = FleetResponse::Unavailable(NotRunReason::NoLeader);
    let deadline = node.now() + CALL_TIMEOUT;
    if let Some(replica) = &node.replica {
        let local_message = message.clone();
        let response = replica.ask(|reply| ReplicaEvent::Fleet(local_message, reply)).await;
        match response {
            Some(FleetResponse::NotLeader { leader }) => node.leadership().leader = leader,
            Some(response) => return response,
            None => return unavailable,
        }
    }
    let effect = match message {
        FleetRequest::ReadPlan | FleetRequest::ReadWave(_) => CallEffect::Read,
        _ => CallEffect::Change,
    };
    let request = node.next_request_number();
    let head = CallHead { path: path::FLEET, request, effect, deadline, may_use_front: false };
    let result = call_leader::<_, FleetResponse>(node, head, &message).await;
    result.map_or(unavailable, FinalAnswer::into_inner)
}

/// Returns the name of a response in logs.
const fn response_name(response: &FleetResponse) -> &'static str {
    match response {
        FleetResponse::Done => "done",
        FleetResponse::Document(_) => "document",
        FleetResponse::Wave { .. } => "wave",
        FleetResponse::NotFound => "not-found",
        FleetResponse::Invalid(_) => "invalid",
        FleetResponse::Unavailable(_) => "unavailable",
        FleetResponse::NotLeader { .. } => "not-leader",
    }
}
