//! API for operators and backend servers: forwards calls to the leader and returns its answers.

use super::leader_client::{LeaderReply, call_leader};
use super::node::FleetNode;
use super::replica::ReplicaEvent;
use crate::log::event;
use goldcrestring::name::NodeId;
use goldcrestring_wire::http::{Call, Reply};
use goldcrestring_wire::job_message::{FleetAnswer, FleetCall, NotRunReason, path};
use std::sync::Arc;
use std::time::Duration;

/// Timeout for forwarding a call; clients switch to another replica after one second.
const CALL_TIMEOUT: Duration = Duration::from_millis(850);

impl LeaderReply for FleetAnswer {
    fn redirect(&self) -> Option<Option<NodeId>> {
        match self {
            Self::NotLeader { leader } => Some(leader.clone()),
            _ => None,
        }
    }
}

/// Handles a call from an operator or a backend server.
pub(crate) async fn answer(node: Arc<FleetNode>, call: Call) -> Reply {
    let message = match node.dialect.read_fleet_call(&call) {
        Ok(message) => message,
        Err(problem) => {
            event!(warn, "call-unreadable", path = call.path, problem = format!("{problem:?}"));
            return node.dialect.unreadable_reply(&problem);
        }
    };
    let answer = forward(&node, message).await;
    if !matches!(answer, FleetAnswer::Done) || !call.path.contains("Heartbeat") {
        event!(info, "call-answered", path = call.path, answer = name(&answer));
    }
    node.dialect.fleet_reply(&answer)
}

async fn forward(node: &FleetNode, message: FleetCall) -> FleetAnswer {
    let unavailable = FleetAnswer::Unavailable(NotRunReason::NoLeader);
    let deadline = node.now() + CALL_TIMEOUT;
    if let Some(replica) = &node.replica {
        let own = message.clone();
        let answer = replica.ask(|reply| ReplicaEvent::Fleet(own, reply)).await;
        match answer {
            Some(FleetAnswer::NotLeader { leader }) => node.leadership().leader = leader,
            Some(answer) => return answer,
            None => return unavailable,
        }
    }
    let answered = call_leader::<_, FleetAnswer>(node, path::FLEET, &message, deadline).await;
    answered.unwrap_or(unavailable)
}

const fn name(answer: &FleetAnswer) -> &'static str {
    match answer {
        FleetAnswer::Done => "done",
        FleetAnswer::Document(_) => "document",
        FleetAnswer::Wave { .. } => "wave",
        FleetAnswer::NotFound => "not-found",
        FleetAnswer::Invalid(_) => "invalid",
        FleetAnswer::Unavailable(_) => "unavailable",
        FleetAnswer::NotLeader { .. } => "not-leader",
    }
}
