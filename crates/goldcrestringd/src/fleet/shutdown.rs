//! Signal handling: graceful shutdown and reloading of settings.

use super::node::FleetNode;
use super::replica::ReplicaEvent;
use super::settings::FleetSettings;
use crate::log::{self, event};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use goldcrestring_wire::runtime::{sleep, spawn, timeout};
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Interval between checks of the settings file, which may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);

/// Share of the shutdown time for which an entry keeps serving, in percent.
const SERVING_PERCENT: u32 = 75;

/// Time for handing over leadership, and then for forwarding calls to the new leader.
const HANDOVER_PERIOD: Duration = Duration::from_millis(600);

/// Interval between checks for open calls.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Reloads settings until a termination signal arrives, then hands over leadership and stops.
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

async fn stop(node: &FleetNode) {
    let settings = node.settings();
    event!(info, "stopping", open_calls = node.open_calls.load(Ordering::Relaxed));
    node.is_stopping.store(true, Ordering::Relaxed);
    if let Some(replica) = &node.replica {
        let asked = timeout(HANDOVER_PERIOD, replica.ask(ReplicaEvent::Transfer)).await;
        let to_other = asked.flatten().unwrap_or(false);
        event!(info, "leadership-handed-over", to_other = to_other);
        sleep(HANDOVER_PERIOD).await;
    }
    if settings.callers.is_some() {
        sleep(settings.stop_timeout() * SERVING_PERCENT / 100).await;
        let deadline = node.now() + settings.stop_timeout() * (100 - SERVING_PERCENT) / 200;
        while node.open_calls.load(Ordering::Relaxed) > 0 && node.now() < deadline {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
    event!(info, "stopped", open_calls = node.open_calls.load(Ordering::Relaxed));
}

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
