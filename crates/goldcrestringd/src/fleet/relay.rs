//! Calls to backend servers that the leader hands to other replicas, and those made for a leader.

mod executor;
mod leader;

pub(crate) use executor::{drain, handle_batch};
pub(crate) use leader::{handle_direct_failure, handle_results, submit, update};

use goldcrestring::job::relay::{Gate, Outbox, RelaySettings, Relays};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time for which batches and results are collected before they are sent, for each 100 backend servers.
const COALESCING_PERIOD_PER_100: Duration = Duration::from_millis(1);

/// Minimum and maximum time for which batches and results are collected.
const MIN_COALESCING_PERIOD: Duration = Duration::from_millis(2);
const MAX_COALESCING_PERIOD: Duration = Duration::from_millis(15);

/// Timeout of a batch.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(400);

/// State of both sides in a process.
pub(crate) struct RelayState {
    relays: Mutex<LeaderSide>,
    executor: Mutex<ExecutorSide>,
    /// The number of backend servers.
    servers: AtomicU32,
}

struct LeaderSide {
    relays: Relays,
    is_flush_scheduled: bool,
}

#[derive(Default)]
struct ExecutorSide {
    gate: Gate,
    outbox: Outbox,
}

impl Default for RelayState {
    fn default() -> Self {
        let relays = Relays::new(RelaySettings::default());
        Self {
            relays: Mutex::new(LeaderSide { relays, is_flush_scheduled: false }),
            executor: Mutex::default(),
            servers: AtomicU32::new(0),
        }
    }
}

impl RelayState {
    /// Returns the time for which batches and results are collected: the larger the fleet, the more each
    /// message carries.
    fn coalescing_period(&self) -> Duration {
        let period = COALESCING_PERIOD_PER_100 * self.servers.load(Ordering::Relaxed) / 100;
        period.clamp(MIN_COALESCING_PERIOD, MAX_COALESCING_PERIOD)
    }

    fn leader(&self) -> MutexGuard<'_, LeaderSide> {
        self.relays.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn executor(&self) -> MutexGuard<'_, ExecutorSide> {
        self.executor.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
