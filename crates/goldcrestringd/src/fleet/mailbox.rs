//! Channel for events to the replica's thread, with a lane for each kind of sender.

use super::replica::ReplicaEvent;
use crate::log::event;
use crate::replicated_log::ReplySender;
use goldcrestring::clock::{Clock, Uptime};
use goldcrestring::job::lanes::{Lane, Lanes};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Maximum number of events handled before their effects are written.
const MAX_BATCH_EVENTS: usize = 1_024;

/// Maximum time for which events are handled before their effects are written.
const MAX_BATCH_PERIOD: Duration = Duration::from_millis(25);

struct Shared {
    lanes: Mutex<Lanes<ReplicaEvent>>,
    has_event: Condvar,
}

impl Shared {
    fn lanes(&self) -> MutexGuard<'_, Lanes<ReplicaEvent>> {
        self.lanes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sending half.
pub(crate) struct Mailbox(Arc<Shared>);

/// Receiving half.
pub(crate) struct MailboxReceiver(Arc<Shared>);

impl Mailbox {
    /// Creates a mailbox and the receiver for the thread.
    pub(crate) fn new() -> (Self, MailboxReceiver) {
        let shared = Shared { lanes: Mutex::default(), has_event: Condvar::new() };
        let shared = Arc::new(shared);
        (Self(Arc::clone(&shared)), MailboxReceiver(shared))
    }

    /// Sends an event. Drops it, with its reply channel, if its lane is full.
    pub(crate) fn send(&self, event: ReplicaEvent) {
        let lane = lane(&event);
        if self.0.lanes().push(lane, event) {
            self.0.has_event.notify_one();
        } else {
            metrics::counter!("goldcrestring_events_dropped").increment(1);
            event!(warn, "event-dropped", lane = lane);
        }
    }

    /// Sends an event that carries a reply channel and waits for the reply.
    ///
    /// Returns `None` if the event or its reply channel was dropped.
    pub(crate) async fn ask<T>(
        &self,
        to_event: impl FnOnce(ReplySender<T>) -> ReplicaEvent,
    ) -> Option<T> {
        self.post(to_event).recv().await.ok()
    }

    /// Sends an event that carries a reply channel and returns the channel.
    pub(crate) fn post<T>(
        &self,
        to_event: impl FnOnce(ReplySender<T>) -> ReplicaEvent,
    ) -> smol::channel::Receiver<T> {
        let (reply, response) = smol::channel::bounded(1);
        self.send(to_event(reply));
        response
    }
}

impl MailboxReceiver {
    /// Takes the most pressing event; waits for one for at most `time_limit`.
    pub(crate) fn recv_timeout(&self, time_limit: Duration) -> Option<ReplicaEvent> {
        let mut lanes = self.0.lanes();
        if let Some(event) = lanes.pop() {
            return Some(event);
        }
        let waited = self.0.has_event.wait_timeout(lanes, time_limit);
        let (mut lanes, _) = waited.unwrap_or_else(PoisonError::into_inner);
        lanes.pop()
    }

    /// Takes the most pressing event, if there is one.
    fn try_recv(&self) -> Option<ReplicaEvent> {
        self.0.lanes().pop()
    }

    /// Returns the events of one batch, the most pressing first; waits for the first for at most
    /// `time_limit`. What the limits of a batch leave is in the next one.
    pub(crate) fn batch(&self, time_limit: Duration, clock: Arc<dyn Clock>) -> EventBatch {
        let first = self.recv_timeout(time_limit);
        let until = clock.uptime() + MAX_BATCH_PERIOD;
        EventBatch { receiver: Self(Arc::clone(&self.0)), clock, first, taken: 0, until }
    }
}

/// The events of one batch.
pub(crate) struct EventBatch {
    receiver: MailboxReceiver,
    clock: Arc<dyn Clock>,
    first: Option<ReplicaEvent>,
    taken: usize,
    until: Uptime,
}

impl Iterator for EventBatch {
    type Item = ReplicaEvent;

    fn next(&mut self) -> Option<ReplicaEvent> {
        let is_first = self.taken == 0;
        // An event that has been taken must be returned: nobody would handle it otherwise.
        if !is_first && (self.taken >= MAX_BATCH_EVENTS || self.clock.uptime() >= self.until) {
            return None;
        }
        self.taken += 1;
        if is_first { self.first.take() } else { self.receiver.try_recv() }
    }
}

const fn lane(event: &ReplicaEvent) -> Lane {
    match event {
        ReplicaEvent::Request(..)
        | ReplicaEvent::Response { .. }
        | ReplicaEvent::Failure(_)
        | ReplicaEvent::Join(_)
        | ReplicaEvent::ReadIdentity(_)
        | ReplicaEvent::Identity(..)
        | ReplicaEvent::Leader(_)
        | ReplicaEvent::TransferLeadership(_) => Lane::Peers,
        ReplicaEvent::Poll(..)
        | ReplicaEvent::Order(..)
        | ReplicaEvent::Dropped(_)
        | ReplicaEvent::Machine(..)
        | ReplicaEvent::Advice(..)
        | ReplicaEvent::Machines(..) => Lane::Reports,
        ReplicaEvent::Fleet(..)
        | ReplicaEvent::Operator(..)
        | ReplicaEvent::DataCentreRevision(..) => Lane::Control,
        ReplicaEvent::Job { .. } => Lane::Callers,
    }
}

#[cfg(test)]
mod tests;
