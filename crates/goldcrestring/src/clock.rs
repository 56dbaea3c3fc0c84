//! The clock interface and the bounds on clock drift.

use std::time::{Duration, SystemTime};

/// A point in time, expressed as the time since the machine booted.
///
/// Leases use this clock because it keeps advancing while a VM is suspended.
pub type Uptime = Duration;

/// A source of time, implemented by each process and by tests.
///
/// # Examples
///
/// ```
/// use goldcrestring::clock::Clock;
/// use std::time::{Duration, SystemTime};
///
/// struct Fixed;
///
/// impl Clock for Fixed {
///     fn uptime(&self) -> Duration {
///         Duration::from_secs(5)
///     }
///     fn system_time(&self) -> SystemTime {
///         SystemTime::UNIX_EPOCH
///     }
/// }
///
/// assert_eq!(Fixed.uptime().as_millis(), 5_000);
/// ```
pub trait Clock: Send + Sync {
    /// Returns the time since the machine booted, including time spent suspended.
    fn uptime(&self) -> Uptime;

    /// Returns the wall-clock time, used for the age of idempotency keys and the times of jobs and
    /// maintenance.
    fn system_time(&self) -> SystemTime;
}

/// The maximum assumed clock drift of a machine, in parts per thousand.
pub const MAX_CLOCK_DRIFT_PER_MILLE: u32 = 5;

/// Extends a duration by the maximum clock drift.
///
/// The party that granted a lease waits this long before it treats the lease as expired.
///
/// # Examples
///
/// ```
/// use goldcrestring::clock::with_clock_drift_margin;
/// use std::time::Duration;
///
/// assert_eq!(with_clock_drift_margin(Duration::from_secs(1)), Duration::from_millis(1_005));
/// ```
pub fn with_clock_drift_margin(duration: Duration) -> Duration {
    duration + duration * MAX_CLOCK_DRIFT_PER_MILLE / 1_000
}
