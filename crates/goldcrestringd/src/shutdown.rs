//! The planned stop of this process.

use crate::control::ControlEvent;
use crate::log::event;
use crate::node::Node;
use crate::records;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use goldcrestring_wire::runtime::sleep;
use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long the balancer is given to notice that this entry stops.
const BALANCER_DELAY: Duration = Duration::from_millis(500);

/// How long the leader is given to hear that units are given back.
const LEASE_RELEASE_DELAY: Duration = Duration::from_millis(200);

/// The time between two looks at the requests still open.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits for a signal to stop, then hands over what the process holds.
pub(crate) async fn wait_and_stop(node: &Node) -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let _ = signals.next().await;
    event!(info, "stopping", open_requests = node.open_requests.load(Ordering::Relaxed));
    node.is_stopping.store(true, Ordering::Relaxed);
    sleep(BALANCER_DELAY).await;
    if let Some(control) = &node.control {
        control.ask(ControlEvent::Transfer).await;
    }
    let deadline = node.now() + node.settings.stop_timeout;
    while node.open_requests.load(Ordering::Relaxed) > 0 && node.now() < deadline {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    records::copy_to_peers(node).await;
    // The lease client tells the leader, so that other entries need not wait for the units.
    node.entry().state.begin_shutdown();
    let _ = node.lease_wakeup.try_send(());
    sleep(LEASE_RELEASE_DELAY).await;
    event!(info, "stopped", open_requests = node.open_requests.load(Ordering::Relaxed));
    Ok(())
}
