//! How replicas come to be voters.

use super::leader_client::call_peer;
use super::node::FleetNode;
use goldcrestring::process::ReplicaId;
use goldcrestring_wire::message::{JoinCall, path};
use goldcrestring_wire::runtime::spawn;
use std::sync::Arc;
use std::time::Duration;

/// How long a call to be taken in may take.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks all known replicas to have this one taken in.
pub(super) fn request_join(node: &Arc<FleetNode>, replica: &ReplicaId) {
    for peer in node.replicas().into_iter().filter(|peer| *peer != node.id) {
        let node = Arc::clone(node);
        let call = JoinCall { replica: replica.clone() };
        spawn(async move {
            // The next attempt comes soon; a lost one needs nothing.
            let _ = call_peer::<_, ()>(&node, &peer, path::JOIN, &call, JOIN_TIMEOUT).await;
        })
        .detach();
    }
}
