//! Results that wait on a relay to be sent.

use super::CallResult;
use crate::name::NodeId;
use std::collections::BTreeMap;

/// Collects the results for each leader while a message to it is under way.
///
/// One message to a leader is under way at a time, so that it gets fewer and larger ones the busier
/// it is. Leaders are independent: one that has died does not delay its successor's results.
///
/// # Examples
///
/// ```
/// use goldcrestring::job::engine::CallId;
/// use goldcrestring::job::relay::{CallOutcome, CallResult, Outbox};
/// use goldcrestring::quantity::Term;
///
/// let leader = "a".parse()?;
/// let call = CallId::new(Term::new(1), 1);
/// let result = CallResult { call, outcome: CallOutcome::Dropped };
/// let mut outbox = Outbox::default();
/// assert!(outbox.add(&leader, result.clone()), "the caller sends until there are no results");
/// assert_eq!(outbox.take(&leader), Some(vec![result]));
/// assert_eq!(outbox.take(&leader), None);
/// # Ok::<(), goldcrestring::name::NameError>(())
/// ```
#[derive(Debug, Default)]
pub struct Outbox {
    /// The leaders to which a message is under way or about to be sent.
    waiting: BTreeMap<NodeId, Vec<CallResult>>,
}

impl Outbox {
    /// Adds a result. Returns whether the caller must send this leader's results until
    /// [`Self::take`] returns `None`; otherwise another task does.
    pub fn add(&mut self, leader: &NodeId, result: CallResult) -> bool {
        if let Some(results) = self.waiting.get_mut(leader) {
            results.push(result);
            return false;
        }
        self.waiting.insert(leader.clone(), vec![result]);
        true
    }

    /// Takes the results for the next message to a leader; `None` ends the sending.
    pub fn take(&mut self, leader: &NodeId) -> Option<Vec<CallResult>> {
        let results = std::mem::take(self.waiting.get_mut(leader)?);
        if results.is_empty() {
            self.waiting.remove(leader);
            return None;
        }
        Some(results)
    }
}
