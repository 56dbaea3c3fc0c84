//! Calls to backend servers that the leader hands to other replicas, and those made for a leader.

mod executor;
mod leader;

pub(crate) use executor::{drain, handle_batch};
pub(crate) use leader::{handle_direct_failure, handle_results, submit, update};

use goldcrestring::job::relay::{Gate, Outbox, RelaySettings, Relays};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time for which batches and results are collected before they are sent.
const COALESCING_PERIOD: Duration = Duration::from_millis(15);

/// Timeout of a batch.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(400);

/// State of both sides in a process.
pub(crate) struct RelayState {
    relays: Mutex<LeaderSide>,
    executor: Mutex<ExecutorSide>,
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
        }
    }
}

impl RelayState {
    fn leader(&self) -> MutexGuard<'_, LeaderSide> {
        self.relays.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn executor(&self) -> MutexGuard<'_, ExecutorSide> {
        self.executor.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
