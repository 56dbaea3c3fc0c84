//! A budget that keeps retries a small part of all requests.

/// The cost of one retry, in hundredths of a request.
const RETRY_COST: u32 = 100;

/// What one request adds to the budget, in hundredths of a request.
const REQUEST_INCOME: u32 = 10;

/// The most that the budget holds, in hundredths of a request.
const CAPACITY: u32 = 2_000;

/// What an entry starts with, in hundredths of a request.
const START: u32 = 1_000;

/// Allows about one retry in ten requests, and a short run of them at the start.
///
/// # Examples
///
/// ```
/// use goldcrestring::request::RetryBudget;
///
/// let mut budget = RetryBudget::default();
/// let retries = (0..100).filter(|_| budget.try_retry()).count();
/// assert_eq!(retries, 10);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryBudget {
    hundredths: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { hundredths: START }
    }
}

impl RetryBudget {
    /// Notes a first attempt.
    pub const fn record_request(&mut self) {
        let income = self.hundredths + REQUEST_INCOME;
        self.hundredths = if income > CAPACITY { CAPACITY } else { income };
    }

    /// Takes the cost of a retry; returns whether the budget allows it.
    pub const fn try_retry(&mut self) -> bool {
        match self.hundredths.checked_sub(RETRY_COST) {
            Some(rest) => {
                self.hundredths = rest;
                true
            }
            None => false,
        }
    }
}
