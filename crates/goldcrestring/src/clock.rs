//! The clock that the process passes in.

use std::time::{Duration, SystemTime};

/// A point in time, as the time since the machine booted.
///
/// Leases are compared on this scale, which runs on while a VM is suspended.
pub type Uptime = Duration;

/// Tells the time; implemented at the edge of a process and by tests.
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
    /// The time since the machine booted, suspended time included.
    fn uptime(&self) -> Uptime;

    /// The calendar time, used only to read the age of identifiers that callers bring.
    fn system_time(&self) -> SystemTime;
}

/// The largest relative error that a machine's clock rate is assumed to have, in thousandths.
pub const MAX_CLOCK_DRIFT_PER_MILLE: u32 = 5;

/// Lengthens a duration by the assumed clock-rate error.
///
/// A holder of a promise waits this long before it treats the promise as run out.
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
