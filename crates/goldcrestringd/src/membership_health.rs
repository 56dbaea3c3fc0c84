//! Metrics and log lines about missing voters and about a replica that is not called by a leader.

use crate::log::event;
use goldcrestring::clock::Uptime;
use goldcrestring::process::consensus::JoinReason;
use goldcrestring::process::{Consensus, Episode, EpisodeChange};
use std::time::Duration;

/// How long voters may be missing before it is reported: the time in which a replica with an empty
/// disk becomes a voter.
const MAX_TIME_TO_VOTER: Duration = Duration::from_secs(4);

/// Reports the state of the membership as one replica sees it.
pub(crate) struct MembershipHealth {
    /// Whether this leader has fewer voters than wanted.
    missing_voters: Episode,
    /// Whether this replica asks to join.
    joining: Episode,
}

impl Default for MembershipHealth {
    fn default() -> Self {
        Self {
            missing_voters: Episode::new(MAX_TIME_TO_VOTER),
            joining: Episode::new(Duration::ZERO),
        }
    }
}

impl MembershipHealth {
    /// Updates the metrics and logs what has changed. Returns why this replica should ask to join,
    /// if it should.
    pub(crate) fn update(
        &mut self,
        now: Uptime,
        consensus: &Consensus,
        voters_wanted: usize,
    ) -> Option<JoinReason> {
        let voters = consensus.membership().voters.len();
        let silence = consensus.leader_silence(now);
        metrics::gauge!("goldcrestring_voters").set(voters as f64);
        metrics::gauge!("goldcrestring_voters_wanted").set(voters_wanted as f64);
        metrics::gauge!("goldcrestring_leader_silence_seconds").set(silence.as_secs_f64());
        let is_missing = consensus.is_leader() && voters < voters_wanted;
        match self.missing_voters.update(now, is_missing) {
            Some(EpisodeChange::Started { lasting }) => event!(
                warn,
                "voters-missing",
                voters = voters,
                wanted = voters_wanted,
                for_ms = lasting.as_millis(),
            ),
            Some(EpisodeChange::Ended { lasted }) => {
                event!(info, "voters-complete", voters = voters, after_ms = lasted.as_millis());
            }
            None => {}
        }
        let reason = consensus.join_reason(now);
        match self.joining.update(now, reason.is_some()) {
            Some(EpisodeChange::Started { .. }) => event!(
                warn,
                "join-requested",
                replica = consensus.id(),
                reason = reason.map(|reason| reason.to_string()).unwrap_or_default(),
                silence_ms = silence.as_millis(),
            ),
            Some(EpisodeChange::Ended { lasted }) => event!(
                info,
                "leader-contact",
                replica = consensus.id(),
                after_ms = lasted.as_millis(),
            ),
            None => {}
        }
        reason
    }
}
