//! Request-scoped logic: allowances, admission, routing, retries and outcomes.

pub mod admission;
pub mod allowance;
pub mod demand;
pub mod entry_state;
pub mod leader_call;
pub mod outcome;
pub mod retry_budget;
pub mod routing;
#[cfg(test)]
mod tests;

pub use admission::{Admission, AdmissionController, AdmissionRequest, WaiterId};
pub use allowance::{EntryAllowances, TeamReport};
pub use demand::Demand;
pub use entry_state::EntryState;
pub use outcome::RequestOutcome;
pub use retry_budget::RetryBudget;
pub use routing::{Router, RoutingError, ServerChoice};
