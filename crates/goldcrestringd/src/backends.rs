//! Announcements and discovery of backend servers.

use crate::dispatch::Result;
use crate::log::event;
use crate::node::Node;
use goldcrestring::connection::Announcement;
use goldcrestring::connection::backend_server::{
    AnnouncementResponse, AnnouncementSchedule, KnownServer,
};
use goldcrestring::name::VmId;
use goldcrestring_wire::codec;
use goldcrestring_wire::http::{HttpRequest, HttpResponse};
use goldcrestring_wire::message::{ServersRequest, ServersResponse, path};
use goldcrestring_wire::problem::Problem;
use goldcrestring_wire::runtime::sleep;
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Maximum time for discovering the backend servers after a start. The entry counts as ready
/// afterwards, even if no peer responded.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before the peers are asked again.
const DISCOVERY_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Timeout for asking a peer for its known servers.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles a backend server's announcement.
///
/// The response contains the interval until the server's next announcement and the entries to send
/// it to.
///
/// # Errors
///
/// Returns a problem if the announcement is malformed.
pub(crate) fn handle_announcement(node: &Node, request: &HttpRequest) -> Result<HttpResponse> {
    let announcement: Announcement = codec::decode_json(&request.body)
        .map_err(|error| Problem::new(400, "malformed-announcement", error.to_string()))?;
    let vm = announcement.vm.clone();
    let is_leaving = announcement.is_leaving;
    let address = announcement.address;
    let mut entry = node.entry();
    // Each server announces itself to some of the entries only, so this count underestimates the
    // size of the fleet.
    let known = entry.state.servers.len().max(1);
    let schedule = AnnouncementSchedule::for_fleet(known, node.settings.peers.len());
    let now = node.now();
    let is_changed = entry.state.handle_announcement(now, schedule, announcement);
    entry.start_waiting_requests(now);
    let rule_revision = entry.state.configuration.rule_revision();
    drop(entry);
    if is_changed {
        event!(
            info,
            "backend-server-announced",
            vm = vm,
            address = address,
            is_leaving = is_leaving,
        );
    }
    let interval_ms = u64::try_from(schedule.interval.as_millis()).unwrap_or(u64::MAX);
    let entries = entries_for(node, &vm, schedule.entries_per_server);
    let response = AnnouncementResponse { rule_revision, interval_ms, entries };
    let body = codec::encode_json(&response)
        .map_err(|error| Problem::new(500, "internal-error", error.to_string()))?;
    Ok(HttpResponse::json(200, body))
}

/// Returns the backend servers known to this entry, to be copied by a peer that has just started.
pub(crate) fn known_servers(node: &Node) -> ServersResponse {
    let servers = node.entry().state.servers.export(node.now());
    ServersResponse { servers, is_ready: node.is_ready.load(Ordering::Relaxed) }
}

/// Copies the known backend servers from a peer after a start.
///
/// In a large fleet servers announce themselves rarely: without the copy, a restarted entry could
/// know no servers for up to two minutes.
pub(crate) async fn copy_from_peers(node: Arc<Node>) {
    let deadline = node.now() + DISCOVERY_TIMEOUT;
    'discovery: while node.now() < deadline {
        for peer in node.settings.peers.keys().filter(|peer| **peer != node.settings.node) {
            let request = ServersRequest {};
            let response = node.call_peer(peer, path::SERVERS, &request, PEER_TIMEOUT).await;
            let Ok(ServersResponse { servers, is_ready: true }) = response else { continue };
            let count = servers.len();
            let assigned =
                servers.into_iter().filter(|server| is_assigned_here(&node, server, count));
            let assigned: Vec<_> = assigned.collect();
            event!(info, "backend-servers-learned", from = peer, servers = assigned.len());
            let now = node.now();
            let mut entry = node.entry();
            entry.state.servers.import(now, assigned);
            entry.start_waiting_requests(now);
            break 'discovery;
        }
        sleep(DISCOVERY_RETRY_DELAY).await;
    }
    node.is_ready.store(true, Ordering::Relaxed);
}

/// Returns whether a server announces itself to this entry, in a fleet of `count` servers.
fn is_assigned_here(node: &Node, server: &KnownServer, count: usize) -> bool {
    let schedule = AnnouncementSchedule::for_fleet(count, node.settings.peers.len());
    let entries = entries_for(node, &server.announcement.vm, schedule.entries_per_server);
    entries.contains(&node.settings.own_peer().address)
}

/// Returns the entries that a server announces itself to, chosen by rendezvous hashing.
fn entries_for(node: &Node, vm: &VmId, count: usize) -> Vec<SocketAddr> {
    let weight = |id: &goldcrestring::name::NodeId| {
        let mut hash = Sha256::new();
        hash.update(vm.as_str());
        hash.update(id.as_str());
        let digest: [u8; 32] = hash.finalize().into();
        digest
    };
    let mut ranked: Vec<_> =
        node.settings.peers.iter().map(|(id, peer)| (weight(id), peer.address)).collect();
    ranked.sort_unstable();
    ranked.into_iter().take(count).map(|(_, address)| address).collect()
}
