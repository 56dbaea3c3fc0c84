//! Announcements of backend servers.

use crate::dispatch::Result;
use crate::log::event;
use crate::node::Node;
use goldcrestring::connection::Announcement;
use goldcrestring::connection::backend_server::{AnnouncePlan, AnnouncementAnswer};
use goldcrestring::name::VmId;
use goldcrestring_wire::codec;
use goldcrestring_wire::http::{Call, Reply};
use goldcrestring_wire::problem::Problem;
use sha2::{Digest, Sha256};
use std::net::SocketAddr;

/// Takes an announcement and says when and where to announce next.
pub(crate) fn announce(node: &Node, call: &Call) -> Result<Reply> {
    let announcement: Announcement = codec::decode_json(&call.body)
        .map_err(|error| Problem::new(400, "malformed-announcement", error.to_string()))?;
    let vm = announcement.vm.clone();
    let is_leaving = announcement.is_leaving;
    let address = announcement.address;
    let mut entry = node.entry();
    // Each server announces itself to some of the entries only, so the fleet is larger by that.
    let known = entry.servers.len().max(1);
    let plan = AnnouncePlan::for_fleet(known, node.settings.peers.len());
    let is_news = entry.announce(node.now(), plan, announcement);
    let rule_revision = entry.configuration.rule_revision();
    drop(entry);
    if is_news {
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
    let answer = AnnouncementAnswer { rule_revision, interval_ms, entries };
    let body = codec::encode_json(&answer)
        .map_err(|error| Problem::new(500, "internal-error", error.to_string()))?;
    Ok(Reply::json(200, body))
}

/// The entries that a server announces itself to, by rendezvous hashing.
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
