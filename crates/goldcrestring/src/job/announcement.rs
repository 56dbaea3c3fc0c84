//! Announcements of backend servers that a follower answers itself.
//!
//! A backend server announces itself every second or two, nearly always with what is known. In a fleet
//! of a thousand, passing each announcement on to the leader costs a third of its processor time. A
//! follower that hears from the leader answers those that say nothing new, and tells the leader in one
//! message from time to time which incarnations it has heard from.

use crate::clock::Uptime;
use crate::job::id::ServerIncarnation;
use crate::job::state::{JobState, ServerRecord};
use std::collections::BTreeSet;
use std::time::Duration;

/// The age of the last message from the leader up to which a follower answers announcements itself. One
/// that is cut off must not keep backend servers from turning to another replica.
const MAX_LEADER_CONTACT_AGE: Duration = Duration::from_millis(600);

/// The interval between two messages to the leader.
const DIGEST_INTERVAL: Duration = Duration::from_millis(1_500);

/// The incarnations that a follower has heard from since its last message to the leader.
///
/// # Examples
///
/// ```
/// use goldcrestring::job::JobState;
/// use goldcrestring::job::announcement::AnnouncementDigest;
/// use std::time::Duration;
///
/// let mut digest = AnnouncementDigest::default();
/// assert_eq!(digest.take(Duration::from_secs(9)), None);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnnouncementDigest {
    heard: BTreeSet<ServerIncarnation>,
    next_at: Uptime,
}

impl AnnouncementDigest {
    /// Takes in an announcement that says nothing new. Returns `false` if the leader must handle it:
    /// it says something new, or the last message from the leader is too old.
    pub fn absorb(
        &mut self,
        record: &ServerRecord,
        leader_contact_age: Option<Duration>,
        state: &JobState,
    ) -> bool {
        let is_in_touch = leader_contact_age.is_some_and(|age| age <= MAX_LEADER_CONTACT_AGE);
        if !is_in_touch || !state.is_known_announcement(record) {
            return false;
        }
        self.heard.insert(record.incarnation.clone());
        true
    }

    /// Returns the incarnations for the leader, if there are any and a message is due.
    pub fn take(&mut self, now: Uptime) -> Option<Vec<ServerIncarnation>> {
        if now < self.next_at || self.heard.is_empty() {
            return None;
        }
        self.next_at = now + DIGEST_INTERVAL;
        Some(std::mem::take(&mut self.heard).into_iter().collect())
    }
}

#[cfg(test)]
mod tests;
