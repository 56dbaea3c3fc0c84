//! Channel for events to the replica's thread.

use crate::replicated_log::ReplySender;
use std::sync::mpsc::{Receiver, Sender, channel};

/// Sending half of an ordered event channel to a thread.
pub(crate) struct EventSender<E> {
    sender: Sender<E>,
}

impl<E> EventSender<E> {
    /// Creates a sender and the receiver for the thread.
    pub(crate) fn new() -> (Self, Receiver<E>) {
        let (sender, receiver) = channel();
        (Self { sender }, receiver)
    }

    /// Sends an event; has no effect if the thread has stopped.
    pub(crate) fn send(&self, event: E) {
        let _ = self.sender.send(event);
    }

    /// Sends an event that carries a reply channel and waits for the reply.
    ///
    /// Returns `None` if the thread has stopped or dropped the reply channel.
    pub(crate) async fn ask<T>(&self, to_event: impl FnOnce(ReplySender<T>) -> E) -> Option<T> {
        let (reply, response) = smol::channel::bounded(1);
        self.send(to_event(reply));
        response.recv().await.ok()
    }
}
