//! Calls to the leader, whoever leads.

use super::node::FleetNode;
use crate::log::event;
use goldcrestring::clock::Uptime;
use goldcrestring::name::NodeId;
use goldcrestring_wire::client::{CallError, Reuse};
use goldcrestring_wire::codec;
use goldcrestring_wire::http::Call;
use goldcrestring_wire::job_message::{LeaderAnswer, path};
use goldcrestring_wire::runtime::sleep;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;

/// The pause between two tries to find the leader.
const SEARCH_RETRY_DELAY: Duration = Duration::from_millis(60);

/// The time between two looks at who leads.
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long one question about who leads may take.
const LEADER_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// How long one call to the leader may take before another try.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(900);

/// Why the leader gave no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LeaderCallError {
    /// No leader can have taken the call.
    NotReceived,
    /// A leader may have taken the call.
    Unknown,
}

/// An answer that may say that another process leads.
pub(crate) trait LeaderReply {
    /// The leader that the answer names instead; `None` where this is the leader's own answer.
    fn redirect(&self) -> Option<Option<NodeId>>;
}

/// Calls the leader and follows what it and others say of who leads, until the deadline.
pub(crate) async fn call_leader<Q, A>(
    node: &FleetNode,
    path: &str,
    message: &Q,
    deadline: Uptime,
) -> Result<A, LeaderCallError>
where
    Q: Serialize + Sync,
    A: DeserializeOwned + LeaderReply,
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
        if let Some(target) = target(node, attempt) {
            let time = (deadline - now).min(ATTEMPT_TIMEOUT);
            match call_peer::<Q, A>(node, &target, path, message, time).await {
                Ok(answer) => match answer.redirect() {
                    None => {
                        let mut leadership = node.leadership();
                        leadership.last_contact_at = Some(node.now());
                        leadership.leader = Some(target);
                        return Ok(answer);
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

/// Whom to call: the known leader, else the replicas in turn.
fn target(node: &FleetNode, attempt: usize) -> Option<NodeId> {
    let known = node.leadership().leader.clone();
    if known.is_some() {
        return known;
    }
    let replicas = node.replicas();
    (!replicas.is_empty()).then(|| replicas[attempt % replicas.len()].clone())
}

fn clear_leader(node: &FleetNode, target: &NodeId, error: &CallError) {
    let mut leadership = node.leadership();
    if leadership.leader.as_ref() == Some(target) {
        leadership.leader = None;
        event!(warn, "leader-lost", leader = target, problem = error);
    }
}

/// Calls a peer with a message and decodes its answer.
pub(crate) async fn call_peer<Q: Serialize + Sync, A: DeserializeOwned>(
    node: &FleetNode,
    peer: &NodeId,
    path: &str,
    message: &Q,
    time: Duration,
) -> Result<A, CallError> {
    let unknown = std::net::SocketAddr::from(([0, 0, 0, 0], 0));
    let not_sent = |address, problem: String| CallError::NotSent { address, problem };
    let address = node
        .settings()
        .peer_address(peer)
        .ok_or_else(|| not_sent(unknown, format!("{peer} is no address")))?;
    let body = codec::encode(message).map_err(|error| not_sent(address, error.to_string()))?;
    let reply = node.client.call(address, Call::peer(path, body), time, Reuse::Allowed).await;
    if let Err(CallError::Lost { .. }) = &reply {
        // The other idle connections may have gone silent with this one.
        node.client.forget(address);
    }
    let reply = reply?;
    let lost = |problem: String| CallError::Lost { address, problem };
    if !reply.is_success() {
        return Err(lost(format!("status {}", reply.status)));
    }
    codec::decode(&reply.body).map_err(|error| lost(error.to_string()))
}

/// Keeps an entry's view of who leads fresh.
pub(crate) async fn track_leader(node: Arc<FleetNode>) {
    loop {
        let is_known = find_leader(&node).await;
        sleep(if is_known { LEADER_POLL_INTERVAL } else { SEARCH_RETRY_DELAY }).await;
    }
}

async fn find_leader(node: &FleetNode) -> bool {
    for replica in node.replicas() {
        let asked =
            call_peer::<(), LeaderAnswer>(node, &replica, path::LEADER, &(), LEADER_POLL_TIMEOUT)
                .await;
        let Ok(answer) = asked else {
            let mut leadership = node.leadership();
            if leadership.leader.as_ref() == Some(&replica) {
                leadership.leader = None;
                event!(warn, "leader-lost", leader = replica);
            }
            continue;
        };
        let mut leadership = node.leadership();
        if !answer.replicas.is_empty() {
            leadership.replicas = answer.replicas;
        }
        if answer.is_leading {
            if leadership.leader.as_ref() != Some(&replica) {
                event!(info, "leader-found", leader = replica);
            }
            leadership.leader = Some(replica);
            leadership.last_contact_at = Some(node.now());
            return true;
        }
        if answer.leader.is_some() {
            leadership.leader = answer.leader;
        }
    }
    false
}
