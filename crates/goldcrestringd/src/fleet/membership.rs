//! Requests to join the replicated log.

use super::leader_client::call_peer;
use super::node::FleetNode;
use goldcrestring::process::ReplicaId;
use goldcrestring_wire::message::{JoinRequest, path};
use goldcrestring_wire::runtime::spawn;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of a request to join.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks all known replicas to add this one to the membership.
pub(super) fn request_join(node: &Arc<FleetNode>, replica: &ReplicaId) {
    for peer in node.replicas().into_iter().filter(|peer| *peer != node.id) {
        let node = Arc::clone(node);
        let request = JoinRequest { replica: replica.clone() };
        spawn(async move {
            // The request is repeated until this replica has joined, so a lost one needs no
            // handling.
            let _ = call_peer::<_, ()>(&node, &peer, path::JOIN, &request, JOIN_TIMEOUT).await;
        })
        .detach();
    }
}
