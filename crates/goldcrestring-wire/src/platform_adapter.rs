//! How a platform words what callers, operators and backend servers say.

use crate::http::{HttpRequest, HttpResponse};
use crate::job_message::{FleetRequest, FleetResponse, JobRequest, JobResponse};
use goldcrestring::job::engine::{
    Action, AdviceResponse, MachinePage, MachineResponse, OrderResponse, PollReport,
};

/// Why a call on the control address can't be passed on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ParseError {
    /// No such call.
    UnknownEndpoint,
    /// The call can't be read.
    Malformed(String),
}

/// Translates between a platform's messages and the product's.
///
/// An implementation holds names and formats and decides nothing.
pub trait PlatformAdapter: Send + Sync {
    /// Reads a caller's call; the process fills in its own number of it.
    fn parse_job_request(&self, request: &HttpRequest) -> JobRequest;

    /// Words the answer to a caller.
    fn encode_job_response(&self, answer: &JobResponse) -> HttpResponse;

    /// Reads a call of an operator or a backend server.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    fn parse_fleet_request(&self, request: &HttpRequest) -> Result<FleetRequest, ParseError>;

    /// Words the answer to an operator or a backend server.
    fn encode_fleet_response(&self, answer: &FleetResponse) -> HttpResponse;

    /// Words what can't be read.
    fn encode_parse_error(&self, problem: &ParseError) -> HttpResponse;

    /// Whether a call asks if this process may be sent callers.
    fn is_readiness_probe(&self, request: &HttpRequest) -> bool;

    /// Words an order; `holder` names this process to the platform.
    fn encode_action(&self, action: &Action, holder: &str) -> HttpRequest;

    /// Reads what a backend server says of itself.
    fn parse_poll_report(&self, response: &HttpResponse) -> Option<PollReport>;

    /// Reads the answer to an order.
    fn parse_order_response(&self, response: &HttpResponse) -> OrderResponse;

    /// Reads the adviser's answer.
    fn parse_advice_response(&self, response: &HttpResponse) -> Option<AdviceResponse>;

    /// Reads a page of the list of VMs.
    fn parse_machine_page(&self, response: &HttpResponse) -> Option<MachinePage>;

    /// Reads the answer to an order for a VM.
    fn parse_machine_response(&self, response: &HttpResponse) -> MachineResponse;
}
