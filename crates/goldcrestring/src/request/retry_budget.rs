//! A budget that limits retries to a small fraction of all requests.

/// The cost of one retry, in hundredths of a request.
const RETRY_COST: u32 = 100;

/// The credit that one request adds to the budget, in hundredths of a request.
const REQUEST_CREDIT: u32 = 10;

/// The maximum budget, in hundredths of a request.
const MAX_BUDGET: u32 = 2_000;

/// The initial budget, in hundredths of a request.
const INITIAL_BUDGET: u32 = 1_000;

/// Allows about one retry per ten requests, plus a small initial burst.
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
        Self { hundredths: INITIAL_BUDGET }
    }
}

impl RetryBudget {
    /// Records the first attempt of a request.
    pub const fn record_request(&mut self) {
        let credited = self.hundredths + REQUEST_CREDIT;
        self.hundredths = if credited > MAX_BUDGET { MAX_BUDGET } else { credited };
    }

    /// Deducts the cost of a retry and returns whether the budget allows it.
    pub const fn try_retry(&mut self) -> bool {
        match self.hundredths.checked_sub(RETRY_COST) {
            Some(remaining) => {
                self.hundredths = remaining;
                true
            }
            None => false,
        }
    }
}
