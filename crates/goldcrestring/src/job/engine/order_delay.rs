//! Delay between sending an order and handling its response.

use super::Engine;
use super::message::EngineEvent;
use crate::clock::Uptime;
use std::time::Duration;

/// The interval between two events.
const INTERVAL: Duration = Duration::from_millis(1_000);

/// The delays of the responses since the last event.
#[derive(Debug, Default)]
pub(super) struct OrderDelay {
    responses: u32,
    total: Duration,
    max: Duration,
    next_event_at: Uptime,
}

impl OrderDelay {
    /// Adds the delay of one response.
    pub(super) fn record(&mut self, delay: Duration) {
        self.responses += 1;
        self.total += delay;
        self.max = self.max.max(delay);
    }
}

impl Engine {
    /// Emits the delays of the last interval, if there were any responses.
    pub(super) fn report_order_delay(&mut self, now: Uptime) {
        if now < self.order_delay.next_event_at || self.order_delay.responses == 0 {
            return;
        }
        let next_event_at = now + INTERVAL;
        let delay = std::mem::replace(
            &mut self.order_delay,
            OrderDelay { next_event_at, ..OrderDelay::default() },
        );
        self.output.events.push(EngineEvent::OrderDelay {
            responses: delay.responses,
            mean: delay.total / delay.responses,
            max: delay.max,
            queued: self.servers.values().map(|server| server.queued_orders.len()).sum(),
        });
    }
}
