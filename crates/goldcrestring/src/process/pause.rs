//! Detection of pauses of this process.
//!
//! A process that was suspended reads requests that have waited in its sockets, and can't tell how
//! old they are. Orders that a newer one may have replaced must not be passed on then.

use crate::clock::Uptime;
use std::time::Duration;

/// The interval between two checks while the process runs.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The longest time between two checks that is no pause; less than the time after which a sender
/// turns to another process.
const MAX_GAP: Duration = Duration::from_millis(500);

/// The time after a pause within which all requests that have waited are read.
const UNCERTAIN_PERIOD: Duration = Duration::from_secs(2);

/// Detects pauses by the time between two checks, on a clock that counts suspension.
///
/// # Examples
///
/// ```
/// use goldcrestring::process::pause::PauseDetector;
/// use std::time::Duration;
///
/// let mut detector = PauseDetector::new(Duration::from_secs(100));
/// assert_eq!(detector.check(Duration::from_millis(100_100)), None);
/// assert!(!detector.is_uncertain(Duration::from_millis(100_100)));
/// assert_eq!(detector.check(Duration::from_millis(104_100)), Some(Duration::from_secs(4)));
/// assert!(detector.is_uncertain(Duration::from_millis(104_200)));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PauseDetector {
    checked_at: Uptime,
    uncertain_until: Uptime,
}

impl PauseDetector {
    /// The detector of a process that has started at `now`.
    pub const fn new(now: Uptime) -> Self {
        Self { checked_at: now, uncertain_until: Uptime::ZERO }
    }

    /// Records that the process runs. Returns the length of the pause that has just ended, if any.
    pub fn check(&mut self, now: Uptime) -> Option<Duration> {
        let gap = now.saturating_sub(self.checked_at);
        self.checked_at = self.checked_at.max(now);
        if gap <= MAX_GAP {
            return None;
        }
        self.uncertain_until = now + UNCERTAIN_PERIOD;
        Some(gap)
    }

    /// Whether a request that is read at `now` may have waited during a pause.
    pub fn is_uncertain(&self, now: Uptime) -> bool {
        now < self.uncertain_until || now.saturating_sub(self.checked_at) > MAX_GAP
    }
}

#[cfg(test)]
mod tests;
