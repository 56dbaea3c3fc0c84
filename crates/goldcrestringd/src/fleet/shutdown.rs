//! Signal handling: graceful shutdown and reloading of settings.

use super::node::FleetNode;
use super::relay;
use super::replica::ReplicaEvent;
use super::settings::FleetSettings;
use crate::log::{self, event};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use goldcrestring_wire::runtime::{sleep, spawn, timeout};
use std::io;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

/// Interval between reloads of the settings file, which may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);

/// Share of `stop_timeout` for which an entry keeps serving callers, in percent.
const SERVING_PERCENT: u32 = 75;

/// Share of `stop_timeout` after which an entry has answered all its callers, in percent.
const ANSWERING_PERCENT: u32 = 88;

/// Time for which the last answers are written.
const WRITING_PERIOD: Duration = Duration::from_millis(150);

/// Timeout for transferring leadership, and time for which calls are then forwarded to the new
/// leader.
const HANDOVER_PERIOD: Duration = Duration::from_millis(600);

/// Interval between checks for open calls.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Reloads settings until a termination signal arrives, then transfers leadership and stops.
///
/// # Errors
///
/// Fails if signals can't be handled.
pub(crate) async fn wait_and_stop(node: &Arc<FleetNode>) -> io::Result<()> {
    let watcher = Arc::clone(node);
    spawn(async move {
        loop {
            sleep(SETTINGS_INTERVAL).await;
            reload(&watcher);
        }
    })
    .detach();
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    while let Some(signal) = signals.next().await {
        if !matches!(signal, Ok(Signal::Hup)) {
            break;
        }
        reload(node);
    }
    stop(node).await;
    log::flush();
    Ok(())
}

/// Shuts down gracefully: transfers leadership, keeps serving callers for a while, and then waits
/// until all are answered.
async fn stop(node: &FleetNode) {
    let settings = node.settings();
    event!(info, "stopping", open_calls = node.open_calls.load(Ordering::Relaxed));
    node.is_stopping.store(true, Ordering::Relaxed);
    if let Some(replica) = &node.replica {
        let transferred =
            timeout(HANDOVER_PERIOD, replica.ask(ReplicaEvent::TransferLeadership)).await;
        let to_other = transferred.flatten().unwrap_or(false);
        event!(info, "leadership-handed-over", to_other = to_other);
        sleep(HANDOVER_PERIOD).await;
        relay::drain(node, HANDOVER_PERIOD).await;
    }
    if settings.callers.is_some() {
        let answer_by = node.now() + settings.stop_timeout() * ANSWERING_PERCENT / 100;
        *node.answer_by.lock().unwrap_or_else(PoisonError::into_inner) = Some(answer_by);
        sleep(settings.stop_timeout() * SERVING_PERCENT / 100).await;
        while node.open_calls.load(Ordering::Relaxed) > 0 && node.now() < answer_by {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        sleep(WRITING_PERIOD).await;
    }
    event!(info, "stopped", open_calls = node.open_calls.load(Ordering::Relaxed));
}

/// Reloads the settings file; keeps the current settings if the file is invalid.
fn reload(node: &FleetNode) {
    match FleetSettings::load(&node.settings_path) {
        Ok(settings) if settings != *node.settings() => {
            event!(info, "settings-reloaded", seeds = settings.seeds.len());
            node.set_settings(settings);
        }
        Ok(_) => {}
        Err(error) => event!(warn, "settings-kept", problem = error),
    }
}
