//! Followers as fronts of the leader: they hand the calls of entries over in batches.
//!
//! A large fleet has hundreds of entries. If each calls the leader for each request of a caller, decoding
//! them takes a third of its processor time in a turn of demand. An entry calls a follower instead, which
//! collects calls in a [`Batcher`] from one message to the leader to the next.
//!
//! A follower answers nothing from its own copy of the state. How old the copy is can't be told from the
//! messages that arrive: one may have waited in the network, or while this process was suspended.

/// The maximum number of requests in one batch.
const MAX_BATCH: usize = 256;

/// The maximum number of requests that wait for a batch.
const MAX_WAITING: usize = 2_048;

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
