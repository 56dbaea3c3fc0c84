//! Client for calls to the current leader.

use super::node::FleetNode;
use crate::log::event;
use goldcrestring::clock::Uptime;
use goldcrestring::name::NodeId;
use goldcrestring_wire::client::{CallError, Reuse};
use goldcrestring_wire::codec;
use goldcrestring_wire::http::HttpRequest;
use goldcrestring_wire::job_message::{LeaderResponse, path};
use goldcrestring_wire::runtime::sleep;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;

/// Delay before the next attempt to reach or find the leader.
const SEARCH_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Interval between polls for the current leader.
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Timeout of a poll for the current leader.
const LEADER_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of one attempt to call the leader.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(900);

/// An error from calling the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LeaderCallError {
    /// No leader received the call, so it was not executed.
    NotReceived,
    /// A leader may have received and executed the call.
    Unknown,
}

/// A response that may be a redirect to another leader.
pub(crate) trait MayRedirect {
    /// Returns the leader that the response redirects to; `Some(None)` if that leader is unknown.
    ///
    /// `None` means that the response is not a redirect.
    fn redirect(&self) -> Option<Option<NodeId>>;
}

/// Calls the leader, following redirects and retrying until the deadline.
///
/// # Errors
///
/// Fails if no leader has responded by the deadline.
pub(crate) async fn call_leader<Req, Resp>(
    node: &FleetNode,
    path: &str,
    message: &Req,
    deadline: Uptime,
) -> Result<Resp, LeaderCallError>
where
    Req: Serialize + Sync,
    Resp: DeserializeOwned + MayRedirect,
{
    let mut may_be_received = false;
    let mut attempt = 0;
    loop {
        let now = node.now();
        if now >= deadline {
            return Err(if may_be_received {
                LeaderCallError::Unknown
            } else {
                LeaderCallError::NotReceived
            });
        }
        if let Some(target) = next_target(node, attempt) {
            let timeout = (deadline - now).min(ATTEMPT_TIMEOUT);
            match call_peer::<Req, Resp>(node, &target, path, message, timeout).await {
                Ok(response) => match response.redirect() {
                    None => {
                        let mut leadership = node.leadership();
                        leadership.last_contact_at = Some(node.now());
                        leadership.leader = Some(target);
                        return Ok(response);
                    }
                    Some(leader) => {
                        let is_other = leader.as_ref().is_some_and(|leader| *leader != target);
                        node.leadership().leader = leader;
                        if is_other && attempt == 0 {
                            attempt += 1;
                            continue;
                        }
                    }
                },
                Err(error) => {
                    may_be_received |= !error.is_not_sent();
                    clear_leader(node, &target, &error);
                }
            }
        }
        attempt += 1;
        sleep(SEARCH_RETRY_DELAY).await;
    }
}

/// Returns the node to call: the known leader, otherwise each replica in turn.
fn next_target(node: &FleetNode, attempt: usize) -> Option<NodeId> {
    let known = node.leadership().leader.clone();
    if known.is_some() {
        return known;
    }
    let replicas = node.replicas();
    (!replicas.is_empty()).then(|| replicas[attempt % replicas.len()].clone())
}

/// Forgets the leader after a failed call, unless another leader is known by now.
fn clear_leader(node: &FleetNode, target: &NodeId, error: &CallError) {
    let mut leadership = node.leadership();
    if leadership.leader.as_ref() == Some(target) {
        leadership.leader = None;
        event!(warn, "leader-lost", leader = target, problem = error);
    }
}

/// Sends a message to a peer and decodes its response.
///
/// # Errors
///
/// Fails if the peer's name is not an IP address, if the message can't be encoded, or if no valid
/// response arrives in time.
pub(crate) async fn call_peer<Req: Serialize + Sync, Resp: DeserializeOwned>(
    node: &FleetNode,
    peer: &NodeId,
    path: &str,
    message: &Req,
    timeout: Duration,
) -> Result<Resp, CallError> {
    let unspecified = std::net::SocketAddr::from(([0, 0, 0, 0], 0));
    let not_sent = |address, problem: String| CallError::NotSent { address, problem };
    let address = node.settings().peer_address(peer).ok_or_else(|| {
        not_sent(unspecified, format!("the peer name {peer} is not an IP address"))
    })?;
    let body = codec::encode(message).map_err(|error| not_sent(address, error.to_string()))?;
    let response =
        node.client.call(address, HttpRequest::peer(path, body), timeout, Reuse::Allowed).await;
    if let Err(CallError::NoResponse { .. }) = &response {
        // The other idle connections to this address may have failed as well.
        node.client.close_idle(address);
    }
    let response = response?;
    let no_response = |problem: String| CallError::NoResponse { address, problem };
    if !response.is_success() {
        return Err(no_response(format!("the peer responded with status {}", response.status)));
    }
    codec::decode(&response.body).map_err(|error| no_response(error.to_string()))
}

/// Polls for the current leader until the process ends.
pub(crate) async fn track_leader(node: Arc<FleetNode>) {
    loop {
        let is_known = find_leader(&node).await;
        sleep(if is_known { LEADER_POLL_INTERVAL } else { SEARCH_RETRY_DELAY }).await;
    }
}

/// Polls the known replicas in turn until one is the leader. Returns whether one is.
async fn find_leader(node: &FleetNode) -> bool {
    for replica in node.replicas() {
        let result =
            call_peer::<(), LeaderResponse>(node, &replica, path::LEADER, &(), LEADER_POLL_TIMEOUT)
                .await;
        let Ok(response) = result else {
            let mut leadership = node.leadership();
            if leadership.leader.as_ref() == Some(&replica) {
                leadership.leader = None;
                event!(warn, "leader-lost", leader = replica);
            }
            continue;
        };
        let mut leadership = node.leadership();
        if !response.replicas.is_empty() {
            leadership.replicas = response.replicas;
        }
        if response.is_leading {
            if leadership.leader.as_ref() != Some(&replica) {
                event!(info, "leader-found", leader = replica);
            }
            leadership.leader = Some(replica);
            leadership.last_contact_at = Some(node.now());
            return true;
        }
        if response.leader.is_some() {
            leadership.leader = response.leader;
        }
    }
    false
}
