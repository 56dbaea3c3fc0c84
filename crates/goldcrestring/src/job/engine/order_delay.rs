//! Delay between sending an order and handling its response.

use super::Engine;
use super::message::EngineEvent;
use crate::clock::Uptime;
use std::time::Duration;

/// The interval between two events.
const INTERVAL: Duration = Duration::from_millis(1_000);

/// The number of responses over which the moving mean extends.
const MEAN_RESPONSES: u32 = 64;

/// The delay up to which the leader has time enough.
const USUAL_DELAY: Duration = Duration::from_millis(45);

/// The maximum pause before a backend server is polled again.
const MAX_POLL_PAUSE: Duration = Duration::from_millis(110);

/// The delays of the responses since the last event.
#[derive(Debug, Default)]
pub(super) struct OrderDelay {
    responses: u32,
    total: Duration,
    max: Duration,
    next_event_at: Uptime,
    /// The moving mean of the delays.
    recent: Duration,
}

impl OrderDelay {
    /// Adds the delay of one response.
    pub(super) fn record(&mut self, delay: Duration) {
        self.responses += 1;
        self.total += delay;
        self.max = self.max.max(delay);
        self.recent = (self.recent * (MEAN_RESPONSES - 1) + delay) / MEAN_RESPONSES;
    }

    /// The pause before a backend server that reported ends is polled again, so that ends of the meantime
    /// come in one report. It is zero while orders are answered in time, as capacity that becomes free
    /// should be used at once, and grows with the delay of a leader that lacks time.
    pub(super) fn poll_pause(&self) -> Duration {
        self.recent.saturating_sub(USUAL_DELAY).min(MAX_POLL_PAUSE)
    }
}

impl Engine {
    /// Emits the delays of the last interval, if there were any responses.
    pub(super) fn report_order_delay(&mut self, now: Uptime) {
        if now < self.order_delay.next_event_at || self.order_delay.responses == 0 {
            return;
        }
        let next_event_at = now + INTERVAL;
        let recent = self.order_delay.recent;
        let delay = std::mem::replace(
            &mut self.order_delay,
            OrderDelay { next_event_at, recent, ..OrderDelay::default() },
        );
        self.output.events.push(EngineEvent::OrderDelay {
            responses: delay.responses,
            mean: delay.total / delay.responses,
            max: delay.max,
            queued: self.servers.values().map(|server| server.queued_orders.len()).sum(),
        });
    }
}

#[cfg(test)]
mod tests;
