//! Detection of a replica that the current leader may not know.

use super::Consensus;
use crate::clock::Uptime;
use derive_more::Display;
use std::time::Duration;

/// The time without a call of a leader after which a member asks to join: twice the default maximum
/// election timeout, so that an election in time causes no request.
const MAX_LEADER_SILENCE: Duration = Duration::from_millis(2_400);

/// Why a replica asks to join the membership.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum JoinReason {
    /// The latest membership in its log does not contain it.
    #[display("not-member")]
    NotMember,
    /// No leader has called it for a while. The membership in its log may be one that was never
    /// committed, or one that a later leader has replaced without it.
    #[display("no-leader-contact")]
    NoLeaderContact,
}

impl Consensus {
    /// Returns why this replica should ask to join, or `None` if a leader calls it or it leads.
    pub fn join_reason(&self, now: Uptime) -> Option<JoinReason> {
        if self.is_leader() {
            None
        } else if !self.membership.contains(&self.id) {
            Some(JoinReason::NotMember)
        } else {
            let is_silent = self.leader_silence(now) >= MAX_LEADER_SILENCE;
            is_silent.then_some(JoinReason::NoLeaderContact)
        }
    }

    /// Returns the time since a leader called this replica or since its start; zero if it leads.
    pub fn leader_silence(&self, now: Uptime) -> Duration {
        if self.is_leader() {
            return Duration::ZERO;
        }
        now.saturating_sub(self.last_leader_contact)
    }
}
