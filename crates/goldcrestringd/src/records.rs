//! Idempotency records that this entry holds for the cluster.

use crate::log::event;
use crate::node::Node;
use goldcrestring::name::NodeId;
use goldcrestring::process::idempotency::{
    COPY_DELAY, LookupResponse, NEW_KEYS_DELAY, RecordKey, holders,
};
use goldcrestring_wire::message::{RecordRequest, RecordResponse, path};
use goldcrestring_wire::runtime::sleep;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime};

/// Maximum number of records per page.
const PAGE_RECORDS: usize = 200;

/// Timeout for transferring one page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Initial delay before unreachable peers are retried; doubles after each round.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum delay before unreachable peers are retried.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Handles a peer's request about records.
pub(crate) fn handle(node: &Node, request: RecordRequest) -> RecordResponse {
    let now = node.now();
    match request {
        RecordRequest::Claim { key, claim } => {
            let others = other_holders(node, &key);
            RecordResponse::Claim(node.records().claim(now, &key, &claim, &others))
        }
        RecordRequest::Complete { key, claim, response } => {
            node.records().complete(now, &key, &claim, response);
            RecordResponse::Done
        }
        RecordRequest::Release { key, task } => {
            node.records().release(&key, task);
            RecordResponse::Done
        }
        RecordRequest::Get { key } => {
            let others = other_holders(node, &key);
            match node.records().lookup(&key, &others) {
                LookupResponse::Found(record) => RecordResponse::Record(Some(record)),
                LookupResponse::Absent => RecordResponse::Record(None),
                LookupResponse::NotAuthoritative => RecordResponse::NotAuthoritative,
            }
        }
        RecordRequest::Export { after } => {
            // The calling peer counts as well: it may have lost records that this entry has not
            // copied from it.
            let others = other_peers(node);
            let records = node.records();
            RecordResponse::Page {
                records: records.export(after.as_ref(), PAGE_RECORDS),
                authoritative_from: records.authoritative_from(&others),
            }
        }
        RecordRequest::Import { records } => {
            node.records().import(now, records);
            RecordResponse::Done
        }
    }
}

/// Copies the records of all peers after a start. This entry is then authoritative for their keys.
///
/// Retries unreachable peers until all have been copied.
pub(crate) async fn copy_from_peers(node: Arc<Node>) {
    sleep(COPY_DELAY).await;
    let mut missing = other_peers(&node);
    let mut delay = MIN_RETRY_DELAY;
    let mut is_any_peer_authoritative = false;
    while !missing.is_empty() {
        for peer in missing.clone() {
            if let Some(authoritative_from) = copy_from(&node, &peer).await {
                is_any_peer_authoritative |= authoritative_from <= node.clock.system_time();
                node.records().mark_copied_from(peer.clone(), authoritative_from);
                missing.remove(&peer);
            }
        }
        if !missing.is_empty() {
            sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }
    event!(info, "records-copied", records = node.records().len());
    // After a start of all entries at once, no entry answers for keys issued now. Waiting would only
    // delay idempotent requests, which need no holders.
    if is_any_peer_authoritative {
        sleep(time_until_authoritative(&node)).await;
    }
    node.has_records.store(true, Ordering::Relaxed);
}

/// Returns the time until this entry is authoritative for all keys issued from then on.
fn time_until_authoritative(node: &Node) -> Duration {
    let authoritative_from = node.records().authoritative_from(&other_peers(node));
    authoritative_from.duration_since(node.clock.system_time()).unwrap_or_default()
}

/// Ends the time in which the health check waits for the records of peers: without all of them, this
/// entry now answers for new keys only.
pub(crate) async fn end_copying(node: Arc<Node>) {
    sleep(NEW_KEYS_DELAY).await;
    node.has_records.store(true, Ordering::Relaxed);
}

/// Copies all records of one peer. Returns the issue time from which the peer is authoritative for
/// keys, or `None` if the peer did not respond.
async fn copy_from(node: &Node, peer: &NodeId) -> Option<SystemTime> {
    let mut after = None;
    let mut from = SystemTime::UNIX_EPOCH;
    loop {
        let request = RecordRequest::Export { after };
        let response = node.call_peer(peer, path::RECORD, &request, PAGE_TIMEOUT).await;
        let Ok(RecordResponse::Page { records, authoritative_from }) = response else {
            return None;
        };
        from = from.max(authoritative_from);
        let Some((last, _)) = records.last() else {
            return Some(from);
        };
        after = Some(last.clone());
        node.records().import(node.now(), records);
    }
}

/// Copies all records to the peers during a graceful shutdown. Ignores peers that do not respond.
pub(crate) async fn copy_to_peers(node: &Node) {
    let mut after = None;
    loop {
        let records = node.records().export(after.as_ref(), PAGE_RECORDS);
        let Some((last, _)) = records.last() else { return };
        after = Some(last.clone());
        for peer in other_peers(node) {
            let request = RecordRequest::Import { records: records.clone() };
            let _: Result<RecordResponse, _> =
                node.call_peer(&peer, path::RECORD, &request, PAGE_TIMEOUT).await;
        }
    }
}

/// Returns the holders of a key other than this entry.
fn other_holders(node: &Node, key: &RecordKey) -> BTreeSet<NodeId> {
    let mut others = holders(key, &node.settings.data_centres());
    others.remove(&node.settings.node);
    others
}

/// Returns all peers of this entry.
fn other_peers(node: &Node) -> BTreeSet<NodeId> {
    let peers = node.settings.peers.keys();
    peers.filter(|peer| **peer != node.settings.node).cloned().collect()
}
