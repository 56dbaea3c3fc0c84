//! Obtains and renews this entry's configuration lease.

use crate::log::event;
use crate::node::Node;
use goldcrestring::name::NodeId;
use goldcrestring::quantity::Revision;
use goldcrestring_wire::message::{LeaseResponse, path};
use goldcrestring_wire::runtime::sleep;
use smol::channel::Receiver;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of a lease request. If there is nothing new, the leader responds after less than this.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout of an urgent request that repeats one without a response. The leader may be unreachable,
/// so that the time until another peer is asked hardly grows.
const REPEAT_TIMEOUT: Duration = Duration::from_millis(200);

/// Delay before the next peer is asked.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Minimum delay between two lease requests.
const MIN_REQUEST_DELAY: Duration = Duration::from_millis(5);

/// Renews the lease until the process ends. A message on `wakeups` sends an urgent request at once.
pub(crate) async fn run(node: Arc<Node>, wakeups: Receiver<()>) {
    let peers = node.settings.peers.iter().filter(|(_, peer)| peer.is_voter || peer.is_spare);
    let peers: Vec<_> = peers.map(|(id, _)| id.clone()).collect();
    let mut position = 0;
    let mut is_urgent = true;
    let mut timeout = REQUEST_TIMEOUT;
    let mut had_lease = false;
    loop {
        let target = node.leader_hint().unwrap_or_else(|| peers[position % peers.len()].clone());
        let now = node.now();
        let lease = node.entry().state.lease;
        let request = request_lease(&node, &target, is_urgent, timeout);
        let wakeup = async {
            let _ = wakeups.recv().await;
            LeaseRequestOutcome::Interrupted
        };
        let repeat = async {
            if is_urgent {
                smol::future::pending::<()>().await;
            }
            sleep(lease.time_until_repeat(now)).await;
            LeaseRequestOutcome::Late
        };
        let outcome = smol::future::or(request, smol::future::or(wakeup, repeat)).await;
        is_urgent = !matches!(outcome, LeaseRequestOutcome::Granted);
        timeout = match outcome {
            LeaseRequestOutcome::Late => REPEAT_TIMEOUT,
            _ => REQUEST_TIMEOUT,
        };
        match outcome {
            LeaseRequestOutcome::Granted
            | LeaseRequestOutcome::Interrupted
            | LeaseRequestOutcome::Late => {}
            LeaseRequestOutcome::Redirected(leader) => {
                node.set_leader_hint(leader.filter(|leader| *leader != target));
                position += 1;
                sleep(RETRY_DELAY).await;
            }
            LeaseRequestOutcome::Failed => {
                node.set_leader_hint(None);
                position += 1;
                sleep(RETRY_DELAY).await;
            }
        }
        let has_lease = node.entry().state.lease.is_valid(node.now());
        if has_lease != had_lease {
            let revision = node.entry().state.configuration.revision();
            event!(info, "configuration-lease", is_held = has_lease, revision = revision);
            had_lease = has_lease;
        }
        sleep(MIN_REQUEST_DELAY).await;
    }
}

/// Outcome of a lease request.
enum LeaseRequestOutcome {
    Granted,
    /// The peer is not the leader; contains the leader that it knows, if any.
    Redirected(Option<NodeId>),
    Failed,
    /// A wakeup came before the response.
    Interrupted,
    /// The lease would end soon, and no response has come.
    Late,
}

async fn request_lease(
    node: &Node,
    target: &NodeId,
    is_urgent: bool,
    timeout: Duration,
) -> LeaseRequestOutcome {
    let sent_at = node.now();
    let request = node.entry().state.lease_request(&node.instance, is_urgent);
    match node.call_peer(target, path::LEASE, &request, timeout).await {
        Ok(LeaseResponse::Granted(granted)) => {
            let before = node.entry().state.configuration.revision();
            let mut entry = node.entry();
            entry.state.apply_lease(sent_at, *granted);
            entry.start_waiting_requests(node.now());
            drop(entry);
            node.set_leader_hint(Some(target.clone()));
            let after = node.entry().state.configuration.revision();
            if after == Revision::ZERO {
                // The lease was granted after this entry started, and without a queue no request
                // can have been accepted until then.
                node.records().mark_new_cluster();
            }
            if after > before {
                event!(info, "configuration-applied", revision = after, previous = before);
            }
            LeaseRequestOutcome::Granted
        }
        Ok(LeaseResponse::NotLeader { leader }) => LeaseRequestOutcome::Redirected(leader),
        Err(_) => LeaseRequestOutcome::Failed,
    }
}
