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

/// Time for discovering the backend servers after a start; the entry counts as ready afterwards.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before peers are asked again.
const DISCOVERY_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Timeout for asking a peer for its known servers.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles an announcement and answers when and to which entries to announce next.
pub(crate) fn announce(node: &Node, call: &HttpRequest) -> Result<HttpResponse> {
    let announcement: Announcement = codec::decode_json(&call.body)
        .map_err(|error| Problem::new(400, "malformed-announcement", error.to_string()))?;
    let vm = announcement.vm.clone();
    let is_leaving = announcement.is_leaving;
    let address = announcement.address;
    let mut entry = node.entry();
    // Each server announces itself to some of the entries only, so the count known here
    // underestimates the fleet.
    let known = entry.state.servers.len().max(1);
    let plan = AnnouncementSchedule::for_fleet(known, node.settings.peers.len());
    let now = node.now();
    let is_changed = entry.state.handle_announcement(now, plan, announcement);
    entry.start_waiting(now);
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
    let interval_ms = u64::try_from(plan.interval.as_millis()).unwrap_or(u64::MAX);
    let entries = entries_for(node, &vm, plan.entries_per_server);
    let answer = AnnouncementResponse { rule_revision, interval_ms, entries };
    let body = codec::encode_json(&answer)
        .map_err(|error| Problem::new(500, "internal-error", error.to_string()))?;
    Ok(HttpResponse::json(200, body))
}

/// Returns the backend servers known to this entry, for a peer that has just started.
pub(crate) fn known_servers(node: &Node) -> ServersResponse {
    let servers = node.entry().state.servers.export(node.now());
    ServersResponse { servers, is_ready: node.is_ready.load(Ordering::Relaxed) }
}

/// Copies the known backend servers from a peer after a start.
///
/// In a large fleet servers announce themselves rarely; without the copy, a restarted entry would
/// know none of them for up to two minutes.
pub(crate) async fn copy_from_peers(node: Arc<Node>) {
    let deadline = node.now() + DISCOVERY_TIMEOUT;
    'discovery: while node.now() < deadline {
        for peer in node.settings.peers.keys().filter(|peer| **peer != node.settings.node) {
            let call = ServersRequest {};
            let answer = node.call_peer(peer, path::SERVERS, &call, PEER_TIMEOUT).await;
            let Ok(ServersResponse { servers, is_ready: true }) = answer else { continue };
            let count = servers.len();
            let own = servers.into_iter().filter(|server| is_assigned_here(&node, server, count));
            let own: Vec<_> = own.collect();
            event!(info, "backend-servers-learned", from = peer, servers = own.len());
            let now = node.now();
            let mut entry = node.entry();
            entry.state.servers.import(now, own);
            entry.start_waiting(now);
            break 'discovery;
        }
        sleep(DISCOVERY_RETRY_DELAY).await;
    }
    node.is_ready.store(true, Ordering::Relaxed);
}

fn is_assigned_here(node: &Node, server: &KnownServer, count: usize) -> bool {
    let plan = AnnouncementSchedule::for_fleet(count, node.settings.peers.len());
    let entries = entries_for(node, &server.announcement.vm, plan.entries_per_server);
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
