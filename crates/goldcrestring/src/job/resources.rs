//! Amounts of processors, memory and accelerators.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// An amount of each resource.
///
/// # Examples
///
/// ```
/// use goldcrestring::job::Resources;
///
/// let server = Resources { cpu_millis: 4_000, memory_mb: 8_192, accelerators: 0 };
/// let task = Resources { cpu_millis: 1_500, memory_mb: 1_024, accelerators: 0 };
/// assert!(task.fits_in(&server));
/// assert_eq!(server.saturating_sub(&task).cpu_millis, 2_500);
/// ```
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(default, deny_unknown_fields)]
#[display("{cpu_millis} thousandths of a core, {memory_mb} MB, {accelerators} accelerators")]
pub struct Resources {
    /// Processor capacity, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// The number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Whether each resource is at most that of `available`.
    pub const fn fits_in(&self, available: &Self) -> bool {
        self.cpu_millis <= available.cpu_millis
            && self.memory_mb <= available.memory_mb
            && self.accelerators <= available.accelerators
    }

    /// Whether each resource is at most that of `limit`; a limit of zero is no limit.
    pub const fn is_within(&self, limit: &Self) -> bool {
        (limit.cpu_millis == 0 || self.cpu_millis <= limit.cpu_millis)
            && (limit.memory_mb == 0 || self.memory_mb <= limit.memory_mb)
            && (limit.accelerators == 0 || self.accelerators <= limit.accelerators)
    }

    /// The sum of two amounts, saturating at the numeric bounds.
    #[must_use]
    pub const fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The component-wise maximum of two amounts.
    #[must_use]
    pub fn component_max(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// The amount multiplied by `count`, saturating at the numeric bounds.
    #[must_use]
    pub const fn saturating_mul(&self, count: u64) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// How many times this amount fits in `available`, at the same time; the maximum if it is nothing.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::job::Resources;
    ///
    /// let server = Resources { cpu_millis: 4_000, memory_mb: 8_192, accelerators: 0 };
    /// let task = Resources { cpu_millis: 1_500, memory_mb: 1_024, accelerators: 0 };
    /// assert_eq!(task.times_in(&server), 2);
    /// ```
    pub fn times_in(&self, available: &Self) -> u64 {
        let amounts = [
            (self.cpu_millis, available.cpu_millis),
            (self.memory_mb, available.memory_mb),
            (self.accelerators, available.accelerators),
        ];
        let times = amounts.into_iter().filter_map(|(each, total)| total.checked_div(each));
        times.min().unwrap_or(u64::MAX)
    }

    /// The difference of two amounts, saturating at zero.
    #[must_use]
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}
