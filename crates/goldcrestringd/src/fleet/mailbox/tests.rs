//! Tests of the batches in which events are taken.

use super::{MAX_BATCH_EVENTS, MAX_BATCH_PERIOD, Mailbox, MailboxReceiver};
use crate::fleet::replica::ReplicaEvent;
use goldcrestring::clock::{Clock, Uptime};
use goldcrestring::job::engine::CallId;
use goldcrestring::quantity::Term;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

/// A clock that advances by a constant time with each reading.
struct Stepping {
    now: Mutex<Uptime>,
    step: Duration,
}

impl Clock for Stepping {
    fn uptime(&self) -> Uptime {
        let mut now = self.now.lock().unwrap_or_else(PoisonError::into_inner);
        *now += self.step;
        *now
    }

    fn system_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }
}

fn post(mailbox: &Mailbox, count: usize) {
    for number in 0..count {
        let number = u64::try_from(number).expect("fits");
        mailbox.send(ReplicaEvent::Dropped(call(number)));
    }
}

const fn call(number: u64) -> CallId {
    CallId::new(Term::new(1), number)
}

/// The calls of the events of each batch until nothing is left.
fn batches(receiver: &MailboxReceiver, step: Duration) -> Vec<Vec<CallId>> {
    let mut batches = Vec::new();
    loop {
        let clock: Arc<dyn Clock> = Arc::new(Stepping { now: Mutex::default(), step });
        let mut batch = Vec::new();
        for event in receiver.batch(Duration::ZERO, clock) {
            let ReplicaEvent::Dropped(call) = event else { panic!("another event") };
            batch.push(call);
        }
        if batch.is_empty() {
            return batches;
        }
        batches.push(batch);
    }
}

fn assert_all_are_handled(count: usize, step: Duration, expected_batches: usize) {
    let (mailbox, receiver) = Mailbox::new();
    post(&mailbox, count);
    let batches = batches(&receiver, step);
    assert_eq!(batches.len(), expected_batches);
    let handled: Vec<_> = batches.into_iter().flatten().collect();
    let count = u64::try_from(count).expect("fits");
    assert_eq!(handled, (0..count).map(call).collect::<Vec<_>>());
}

/// Guards against accepted long-running tasks that are not started again: the event after a full batch
/// was taken and never handled. If it was the report of a backend server, that one was not polled any
/// more, and neither its ends nor the expiry of its lease were noticed.
#[test]
fn the_event_after_a_full_batch_is_in_the_next_one() {
    assert_all_are_handled(2 * MAX_BATCH_EVENTS + 5, Duration::ZERO, 3);
    assert_all_are_handled(MAX_BATCH_EVENTS, Duration::ZERO, 1);
}

/// The same for a batch that ends because of its time.
#[test]
fn the_event_after_a_long_batch_is_in_the_next_one() {
    assert_all_are_handled(25, MAX_BATCH_PERIOD / 10, 3);
}
