//! API for operators and backend servers: forwards requests to the leader and returns its
//! responses.

use super::leader_client::{AnswerKind, CallHead, LeaderAnswer, call_leader};
use super::node::FleetNode;
use super::replica::ReplicaEvent;
use crate::log::event;
use derive_more::Display;
use goldcrestring::request::leader_call::{CallEffect, FinalAnswer, Verdict};
use goldcrestring_wire::http::{HttpRequest, HttpResponse};
use goldcrestring_wire::job_message::{FleetRequest, FleetResponse, NotRunReason, path};
use goldcrestring_wire::runtime::sleep;
use goldcrestring_wire::server::Peer;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for forwarding a request to the leader; less than the one second after which clients
/// switch to another replica.
const CALL_TIMEOUT: Duration = Duration::from_millis(850);

/// Time for which the end of a sender's connection may be on its way.
const CLOSE_GRACE: Duration = Duration::from_millis(20);

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
pub(crate) async fn handle(
    node: Arc<FleetNode>,
    request: HttpRequest,
    sender: Peer,
) -> HttpResponse {
    let message = match node.adapter.parse_fleet_request(&request) {
        Ok(message) => message,
        Err(problem) => {
            event!(warn, "call-unreadable", path = request.path, problem = format!("{problem:?}"));
            return node.adapter.encode_parse_error(&problem);
        }
    };
    let response = match check_age(&node, message, &sender).await {
        Ok(message) => forward(&node, message).await,
        Err(age) => {
            event!(warn, "call-of-unknown-age", path = request.path, reason = age);
            FleetResponse::Unavailable(NotRunReason::MaybeReplaced)
        }
    };
    if !matches!(response, FleetResponse::Done) || !request.path.contains("Heartbeat") {
        event!(info, "call-answered", path = request.path, answer = response_name(&response));
    }
    node.adapter.encode_fleet_response(&response)
}

/// Why the age of a request can't be told.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
enum UnknownAge {
    /// This process has been paused, and the request may have waited meanwhile.
    #[display("this process was paused")]
    Paused,
    /// The sender no longer waits for the response.
    #[display("the sender has closed the connection")]
    SenderGone,
}

/// Returns a request that its sender can't have replaced by a newer one yet. An order for a data
/// centre follows the revision that this replica knew when it read the order.
///
/// # Errors
///
/// Fails if the request may have waited for so long that its sender has turned to another replica,
/// unless requests of its kind tell by themselves which of two is newer.
async fn check_age(
    node: &FleetNode,
    message: FleetRequest,
    sender: &Peer,
) -> Result<FleetRequest, UnknownAge> {
    let message = match message {
        FleetRequest::DataCentre { id, is_out, .. } => {
            let after = match &node.replica {
                Some(replica) => {
                    let known = id.clone();
                    replica.ask(|reply| ReplicaEvent::DataCentreRevision(known, reply)).await
                }
                None => None,
            };
            FleetRequest::DataCentre { id, is_out, after }
        }
        FleetRequest::Deregister(_) => message,
        // Plans have numbers, waves are stored once, and announcements have sequence numbers.
        FleetRequest::Plan(_)
        | FleetRequest::ReadPlan
        | FleetRequest::Wave { .. }
        | FleetRequest::ReadWave(_)
        | FleetRequest::Announce(_)
        | FleetRequest::Announced(_) => return Ok(message),
    };
    // The end of a connection arrives right after what was sent on it, if both were held up.
    sleep(CLOSE_GRACE).await;
    if node.may_have_paused() {
        return Err(UnknownAge::Paused);
    }
    if !sender.is_connected().await {
        return Err(UnknownAge::SenderGone);
    }
    Ok(message)
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
