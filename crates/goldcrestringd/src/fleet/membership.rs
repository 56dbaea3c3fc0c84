//! Messages about the membership of the replicated log.

use super::leader_client::call_peer;
use super::node::FleetNode;
use super::replica::ReplicaEvent;
use goldcrestring::name::NodeId;
use goldcrestring::process::{IdentityQuery, ReplicaId};
use goldcrestring_wire::message::{IdentityResponse, JoinRequest, path};
use goldcrestring_wire::runtime::spawn;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of each message.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Asks all known replicas to add this one to the membership.
pub(super) fn request_join(node: &Arc<FleetNode>, replica: &ReplicaId) {
    for peer in node.replicas().into_iter().filter(|peer| *peer != node.id) {
        forward_join(node, peer, replica.clone());
    }
}

/// Sends a replica's request to join to another process.
pub(super) fn forward_join(node: &Arc<FleetNode>, to: NodeId, replica: ReplicaId) {
    let node = Arc::clone(node);
    spawn(async move {
        // The request is repeated until a leader calls the replica, so a lost one needs no handling.
        let request = JoinRequest { replica };
        let _ = call_peer::<_, ()>(&node, &to, path::JOIN, &request, TIMEOUT).await;
    })
    .detach();
}

/// Asks a node which replica it runs, and passes the answer to this process's replica.
pub(super) fn query_identity(node: &Arc<FleetNode>, query: IdentityQuery) {
    let node = Arc::clone(node);
    spawn(async move {
        let response =
            call_peer::<_, IdentityResponse>(&node, &query.node, path::IDENTITY, &(), TIMEOUT);
        let answer = response.await.ok().map(|response| response.replica);
        if let Some(replica) = &node.replica {
            replica.send(ReplicaEvent::Identity(query, answer));
        }
    })
    .detach();
}
