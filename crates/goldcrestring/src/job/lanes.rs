//! Queues in front of the leader's thread, by how pressing an event is.
//!
//! Whatever the load, a lease must not expire and a task must not be given up because its extension or
//! its end waits behind a burst of submissions. An event therefore never waits for one of a later lane.
//! The lane of callers is bounded: what can't be served soon is better refused at once.

use derive_more::Display;
use std::collections::VecDeque;

/// How pressing an event is; the first lane is emptied first.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
pub enum Lane {
    /// Messages of other replicas, on which the leader's own lease depends.
    Peers,
    /// Reports and responses of backend servers, the platform and the adviser.
    Reports,
    /// Requests of operators and backend servers.
    Control,
    /// Requests of callers.
    Callers,
}

impl Lane {
    const COUNT: usize = 4;
}

/// The maximum number of callers' requests that wait.
const MAX_CALLERS: usize = 4_096;

/// Events by lane, each lane in order of arrival.
///
/// # Examples
///
/// ```
/// use goldcrestring::job::lanes::{Lane, Lanes};
///
/// let mut lanes = Lanes::default();
/// assert!(lanes.push(Lane::Callers, "submission"));
/// assert!(lanes.push(Lane::Reports, "end of a run"));
/// assert_eq!(lanes.pop(), Some("end of a run"));
/// assert_eq!(lanes.pop(), Some("submission"));
/// ```
#[derive(Debug)]
pub struct Lanes<E> {
    queues: [VecDeque<E>; Lane::COUNT],
}

impl<E> Default for Lanes<E> {
    fn default() -> Self {
        Self { queues: std::array::from_fn(|_| VecDeque::new()) }
    }
}

impl<E> Lanes<E> {
    /// Adds an event. Returns `false` and drops it if the lane is full.
    pub fn push(&mut self, lane: Lane, event: E) -> bool {
        let queue = &mut self.queues[lane as usize];
        let is_full = lane == Lane::Callers && queue.len() >= MAX_CALLERS;
        if !is_full {
            queue.push_back(event);
        }
        !is_full
    }

    /// Removes the oldest event of the first lane that has one.
    pub fn pop(&mut self) -> Option<E> {
        self.queues.iter_mut().find_map(VecDeque::pop_front)
    }
}

#[cfg(test)]
mod tests;
