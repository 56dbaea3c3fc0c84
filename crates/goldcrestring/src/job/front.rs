//! Followers as fronts of the leader: they answer reads, and hand submissions over in batches.
//!
//! A large fleet has hundreds of entries. If each calls the leader for each request of a caller, decoding
//! them takes a third of its processor time in a turn of demand. An entry calls a follower instead. The
//! follower answers from its copy of the state while that is [`Freshness`] enough, and collects the rest in
//! a [`Batcher`] from one message to the leader to the next.
//!
//! Only what can't become false is answered from the copy: a job that is known, or a count that may be a
//! moment old. What the copy does not contain, such as a job, a queue or a key, is for the leader to deny.

use crate::clock::Uptime;
use std::time::Duration;

/// The age up to which a copy of the state answers reads.
const MAX_AGE: Duration = Duration::from_millis(150);

/// The maximum number of requests in one batch.
const MAX_BATCH: usize = 256;

/// The maximum number of requests that wait for a batch.
const MAX_WAITING: usize = 2_048;

/// How old a follower's copy of the state is at most.
///
/// # Examples
///
/// ```
/// use goldcrestring::job::front::Freshness;
/// use std::time::Duration;
///
/// let now = Duration::from_secs(9);
/// let mut freshness = Freshness::default();
/// freshness.record(now, Some(Duration::ZERO), true);
/// assert!(freshness.is_fresh(now + Duration::from_millis(150)));
/// assert!(!freshness.is_fresh(now + Duration::from_millis(151)));
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Freshness {
    /// The copy contained then all that the leader had committed.
    current_at: Option<Uptime>,
}

impl Freshness {
    /// Records the age of the last message from the leader, if this replica follows one, and whether all
    /// entries that it called committed have been applied. What this replica itself calls committed ends
    /// with its own log, however far that is behind.
    pub fn record(
        &mut self,
        now: Uptime,
        leader_contact_age: Option<Duration>,
        is_all_applied: bool,
    ) {
        match leader_contact_age {
            Some(age) if is_all_applied => self.current_at = Some(now.saturating_sub(age)),
            Some(_) => {}
            None => self.current_at = None,
        }
    }

    /// Whether the copy may answer reads.
    pub fn is_fresh(&self, now: Uptime) -> bool {
        self.current_at.is_some_and(|at| now.saturating_sub(at) <= MAX_AGE)
    }
}

/// Collects requests from one message to the next, so that a burst becomes few messages.
///
/// # Examples
///
/// ```
/// use goldcrestring::job::front::Batcher;
///
/// let mut batcher = Batcher::default();
/// assert_eq!(batcher.add('a'), Ok(true), "the caller sends until there is nothing left");
/// assert_eq!(batcher.add('b'), Ok(false));
/// assert_eq!(batcher.take(), Some(vec!['a', 'b']));
/// assert_eq!(batcher.take(), None);
/// ```
#[derive(Debug)]
pub struct Batcher<T> {
    waiting: Vec<T>,
    is_sending: bool,
}

impl<T> Default for Batcher<T> {
    fn default() -> Self {
        Self { waiting: Vec::new(), is_sending: false }
    }
}

impl<T> Batcher<T> {
    /// Adds a request. Returns whether the caller must send batches until [`Self::take`] returns `None`;
    /// otherwise another task does.
    ///
    /// # Errors
    ///
    /// Gives the request back if too many wait.
    pub fn add(&mut self, request: T) -> Result<bool, T> {
        if self.waiting.len() >= MAX_WAITING {
            return Err(request);
        }
        self.waiting.push(request);
        Ok(!std::mem::replace(&mut self.is_sending, true))
    }

    /// Takes the next batch; `None` ends the sending.
    pub fn take(&mut self) -> Option<Vec<T>> {
        if self.waiting.is_empty() {
            self.is_sending = false;
            return None;
        }
        let count = self.waiting.len().min(MAX_BATCH);
        Some(self.waiting.drain(..count).collect())
    }
}

#[cfg(test)]
mod tests;
