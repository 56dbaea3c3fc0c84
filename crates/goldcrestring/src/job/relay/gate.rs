//! Decides on a relay which batches and calls are still carried out.

use super::{Ack, Batch};
use crate::clock::Uptime;
use crate::quantity::Term;
use std::time::Duration;

/// The maximum time from the receipt of a batch until its calls are sent.
const MAX_WAIT: Duration = Duration::from_millis(300);

/// The maximum time from the making of a batch until its receipt.
///
/// A batch that was held back, for example while this process was suspended, is older. The leader
/// has taken it as lost by then.
const MAX_TRANSIT: Duration = Duration::from_millis(600);

/// The maximum number of calls that are being made, each of which holds a connection.
const MAX_CALLS: usize = 2_048;

/// Decides which batches and calls a relay carries out.
///
/// # Examples
///
/// ```
/// use goldcrestring::job::relay::{Batch, Gate};
/// use goldcrestring::quantity::Term;
/// use std::time::Duration;
///
/// let now = Duration::from_secs(9);
/// let batch = |term| Batch { term: Term::new(term), made_after: None, actions: Vec::new() };
/// let mut gate = Gate::default();
/// assert!(gate.receive(now, &batch(2), false).is_accepted);
/// assert!(!gate.receive(now, &batch(1), false).is_accepted);
/// ```
#[derive(Debug, Default)]
pub struct Gate {
    term: Term,
    calls: usize,
}

impl Gate {
    /// Notes a term that this process knows of.
    pub fn note_term(&mut self, term: Term) {
        self.term = self.term.max(term);
    }

    /// Decides whether the calls of a batch are made and counts them until [`Self::finish`].
    pub fn receive(&mut self, now: Uptime, batch: &Batch, is_stopping: bool) -> Ack {
        self.note_term(batch.term);
        // A batch from the future was made before this VM was started again.
        let is_late =
            batch.made_after.is_some_and(|at| at > now || now.saturating_sub(at) > MAX_TRANSIT);
        let has_room = self.calls + batch.actions.len() <= MAX_CALLS;
        let is_accepted = batch.term >= self.term && !is_late && has_room && !is_stopping;
        if is_accepted {
            self.calls += batch.actions.len();
        }
        Ack { is_accepted, uptime: now }
    }

    /// Whether a call of a batch that was received at `received_at` may be sent at `now`.
    pub fn may_send(&self, now: Uptime, term: Term, received_at: Uptime) -> bool {
        term >= self.term && now.saturating_sub(received_at) <= MAX_WAIT
    }

    /// Notes that the results of calls have been delivered or dropped.
    pub const fn finish(&mut self, calls: usize) {
        self.calls = self.calls.saturating_sub(calls);
    }

    /// The number of calls whose results have not been delivered.
    pub const fn calls(&self) -> usize {
        self.calls
    }
}
