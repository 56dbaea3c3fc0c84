//! Periods in which a condition holds, each reported once at its start and once at its end.

use crate::clock::Uptime;
use std::time::Duration;

/// A change to report.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum EpisodeChange {
    /// The condition has held for at least the minimum duration.
    Started {
        /// For how long it has held.
        lasting: Duration,
    },
    /// The condition, whose start was reported, holds no longer.
    Ended {
        /// For how long it held.
        lasted: Duration,
    },
}

/// Tracks one condition.
///
/// # Examples
///
/// ```
/// use goldcrestring::process::{Episode, EpisodeChange};
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let mut episode = Episode::new(2 * second);
/// assert_eq!(episode.update(second, true), None);
/// let started = EpisodeChange::Started { lasting: 2 * second };
/// assert_eq!(episode.update(3 * second, true), Some(started));
/// assert_eq!(episode.update(4 * second, true), None);
/// let ended = EpisodeChange::Ended { lasted: 4 * second };
/// assert_eq!(episode.update(5 * second, false), Some(ended));
/// ```
#[derive(Clone, Debug)]
pub struct Episode {
    min_duration: Duration,
    since: Option<Uptime>,
    is_reported: bool,
}

impl Episode {
    /// Creates a tracker for a condition that does not hold yet. Episodes shorter than
    /// `min_duration` are not reported.
    pub const fn new(min_duration: Duration) -> Self {
        Self { min_duration, since: None, is_reported: false }
    }

    /// Records whether the condition holds now; returns the change to report, if there is one.
    pub fn update(&mut self, now: Uptime, is_active: bool) -> Option<EpisodeChange> {
        if !is_active {
            let since = self.since.take()?;
            let is_reported = std::mem::take(&mut self.is_reported);
            let lasted = now.saturating_sub(since);
            return is_reported.then_some(EpisodeChange::Ended { lasted });
        }
        let lasting = now.saturating_sub(*self.since.get_or_insert(now));
        if self.is_reported || lasting < self.min_duration {
            return None;
        }
        self.is_reported = true;
        Some(EpisodeChange::Started { lasting })
    }
}
