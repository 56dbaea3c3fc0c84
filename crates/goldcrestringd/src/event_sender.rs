//! How the process reaches the thread of its replica.

use crate::replicated_log::ReplySender;
use std::sync::mpsc::{Receiver, Sender, channel};

/// Reaches a thread that takes events of one kind in order.
pub(crate) struct EventSender<E> {
    sender: Sender<E>,
}

impl<E> EventSender<E> {
    /// A mailbox and the end that the thread reads.
    pub(crate) fn new() -> (Self, Receiver<E>) {
        let (sender, receiver) = channel();
        (Self { sender }, receiver)
    }

    /// Tells the thread something; nothing happens when it has stopped.
    pub(crate) fn send(&self, event: E) {
        let _ = self.sender.send(event);
    }

    /// Asks the thread something; `None` when it has stopped.
    pub(crate) async fn ask<T>(&self, to_event: impl FnOnce(ReplySender<T>) -> E) -> Option<T> {
        let (reply, answer) = smol::channel::bounded(1);
        self.send(to_event(reply));
        answer.recv().await.ok()
    }
}
