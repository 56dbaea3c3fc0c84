//! Graceful shutdown of this process.

use crate::log::event;
use crate::node::Node;
use crate::records;
use crate::replica::ReplicaEvent;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use goldcrestring_wire::runtime::sleep;
use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time for the load balancer to notice that this entry is stopping.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(500);

/// Time for the leader to learn that this entry released its units.
const LEASE_RELEASE_DELAY: Duration = Duration::from_millis(200);

/// Interval between checks for open requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits for a termination signal, then shuts down gracefully: transfers leadership, finishes open
/// requests, copies the idempotency records to peers and releases this entry's units.
///
/// # Errors
///
/// Fails if signals can't be handled.
pub(crate) async fn wait_and_stop(node: &Node) -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let _ = signals.next().await;
    event!(info, "stopping", open_requests = node.open_requests.load(Ordering::Relaxed));
    node.is_stopping.store(true, Ordering::Relaxed);
    sleep(LOAD_BALANCER_DELAY).await;
    if let Some(replica) = &node.replica {
        replica.ask(ReplicaEvent::TransferLeadership).await;
    }
    let deadline = node.now() + node.settings.stop_timeout;
    while node.open_requests.load(Ordering::Relaxed) > 0 && node.now() < deadline {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    records::copy_to_peers(node).await;
    // The lease client notifies the leader, so that other entries get the units without waiting for
    // the lease to expire.
    node.entry().state.begin_shutdown();
    let _ = node.lease_wakeup.try_send(());
    sleep(LEASE_RELEASE_DELAY).await;
    event!(info, "stopped", open_requests = node.open_requests.load(Ordering::Relaxed));
    Ok(())
}
