//! API for operators and backend servers: forwards calls to the leader and returns its answers.

use super::leader_client::{LeaderReply, call_leader};
use super::node::FleetNode;
use super::replica::ReplicaEvent;
use crate::log::event;
use goldcrestring::name::NodeId;
use goldcrestring_wire::http::{HttpRequest, HttpResponse};
use goldcrestring_wire::job_message::{FleetRequest, FleetResponse, NotRunReason, path};
use std::sync::Arc;
use std::time::Duration;

/// Timeout for forwarding a call; clients switch to another replica after one second.
const CALL_TIMEOUT: Duration = Duration::from_millis(850);

impl LeaderReply for FleetResponse {
    fn redirect(&self) -> Option<Option<NodeId>> {
        match self {
            Self::NotLeader { leader } => Some(leader.clone()),
            _ => None,
        }
    }
}

/// Handles a call from an operator or a backend server.
pub(crate) async fn answer(node: Arc<FleetNode>, call: HttpRequest) -> HttpResponse {
    let message = match node.adapter.parse_fleet_request(&call) {
        Ok(message) => message,
        Err(problem) => {
            event!(warn, "call-unreadable", path = call.path, problem = format!("{problem:?}"));
            return node.adapter.encode_parse_error(&problem);
        }
    };
    let answer = forward(&node, message).await;
    if !matches!(answer, FleetResponse::Done) || !call.path.contains("Heartbeat") {
        event!(info, "call-answered", path = call.path, answer = name(&answer));
    }
    node.adapter.encode_fleet_response(&answer)
}

async fn forward(node: &FleetNode, message: FleetRequest) -> FleetResponse {
    let unavailable = FleetResponse::Unavailable(NotRunReason::NoLeader);
    let deadline = node.now() + CALL_TIMEOUT;
    if let Some(replica) = &node.replica {
        let own = message.clone();
        let answer = replica.ask(|reply| ReplicaEvent::Fleet(own, reply)).await;
        match answer {
            Some(FleetResponse::NotLeader { leader }) => node.leadership().leader = leader,
            Some(answer) => return answer,
            None => return unavailable,
        }
    }
    let answered = call_leader::<_, FleetResponse>(node, path::FLEET, &message, deadline).await;
    answered.unwrap_or(unavailable)
}

const fn name(answer: &FleetResponse) -> &'static str {
    match answer {
        FleetResponse::Done => "done",
        FleetResponse::Document(_) => "document",
        FleetResponse::Wave { .. } => "wave",
        FleetResponse::NotFound => "not-found",
        FleetResponse::Invalid(_) => "invalid",
        FleetResponse::Unavailable(_) => "unavailable",
        FleetResponse::NotLeader { .. } => "not-leader",
    }
}
