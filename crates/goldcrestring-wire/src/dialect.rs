//! How a platform words what callers, operators and backend servers say.

use crate::http::{Call, Reply};
use crate::job_message::{FleetAnswer, FleetCall, JobAnswer, JobCall};
use goldcrestring::job::engine::{
    Action, AdviceAnswer, MachineAnswer, MachinePage, OrderAnswer, PollReport,
};

/// Why a call on the control address can't be passed on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Unreadable {
    /// No such call.
    NoSuchCall,
    /// The call can't be read.
    Malformed(String),
}

/// Translates between a platform's messages and the product's.
///
/// An implementation holds names and formats and decides nothing.
pub trait Dialect: Send + Sync {
    /// Reads a caller's call; the process fills in its own number of it.
    fn read_job_call(&self, call: &Call) -> JobCall;

    /// Words the answer to a caller.
    fn job_reply(&self, answer: &JobAnswer) -> Reply;

    /// Reads a call of an operator or a backend server.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    fn read_fleet_call(&self, call: &Call) -> Result<FleetCall, Unreadable>;

    /// Words the answer to an operator or a backend server.
    fn fleet_reply(&self, answer: &FleetAnswer) -> Reply;

    /// Words what can't be read.
    fn unreadable_reply(&self, problem: &Unreadable) -> Reply;

    /// Whether a call asks if this process may be sent callers.
    fn is_readiness_call(&self, call: &Call) -> bool;

    /// Words an order; `holder` names this process to the platform.
    fn order(&self, action: &Action, holder: &str) -> Call;

    /// Reads what a backend server says of itself.
    fn hold_report(&self, reply: &Reply) -> Option<PollReport>;

    /// Reads the answer to an order.
    fn order_answer(&self, reply: &Reply) -> OrderAnswer;

    /// Reads the adviser's answer.
    fn advice_answer(&self, reply: &Reply) -> Option<AdviceAnswer>;

    /// Reads a page of the list of VMs.
    fn machine_page(&self, reply: &Reply) -> Option<MachinePage>;

    /// Reads the answer to an order for a VM.
    fn machine_answer(&self, reply: &Reply) -> MachineAnswer;
}
