//! The interface to a platform's message formats for callers, operators and backend servers.

use crate::http::{HttpRequest, HttpResponse};
use crate::job_message::{FleetRequest, FleetResponse, JobRequest, JobResponse};
use goldcrestring::job::engine::{
    Action, AdviceResponse, MachinePage, MachineResponse, OrderResponse, PollReport,
};

/// Why a request to the control address can't be parsed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ParseError {
    /// The path and method name no known endpoint.
    UnknownEndpoint,
    /// The request is malformed; the text describes the problem.
    Malformed(String),
}

/// Translates between a platform's HTTP messages and the internal message types.
///
/// An implementation only maps names and formats; it makes no scheduling decisions.
pub trait PlatformAdapter: Send + Sync {
    /// Parses a caller's request; the process assigns its own [`JobRequest::request`] number.
    fn parse_job_request(&self, request: &HttpRequest) -> JobRequest;

    /// Encodes the response to a caller.
    fn encode_job_response(&self, response: &JobResponse) -> HttpResponse;

    /// Parses a request of an operator or a backend server.
    ///
    /// # Errors
    ///
    /// A [`ParseError`] if the endpoint is unknown or the request is malformed.
    fn parse_fleet_request(&self, request: &HttpRequest) -> Result<FleetRequest, ParseError>;

    /// Encodes the response to an operator or a backend server.
    fn encode_fleet_response(&self, response: &FleetResponse) -> HttpResponse;

    /// Encodes the response to a request that can't be parsed.
    fn encode_parse_error(&self, error: &ParseError) -> HttpResponse;

    /// Whether a request asks if this process is ready to serve callers.
    fn is_readiness_probe(&self, request: &HttpRequest) -> bool;

    /// Encodes an action as a request; `holder` identifies this process to the platform.
    fn encode_action(&self, action: &Action, holder: &str) -> HttpRequest;

    /// Parses a backend server's report of its running and finished tasks; `None` if the response
    /// is an error or malformed.
    fn parse_poll_report(&self, response: &HttpResponse) -> Option<PollReport>;

    /// Parses a backend server's response to an action.
    fn parse_order_response(&self, response: &HttpResponse) -> OrderResponse;

    /// Parses the adviser's response; `None` if it is an error or malformed.
    fn parse_advice_response(&self, response: &HttpResponse) -> Option<AdviceResponse>;

    /// Parses a page of the list of VMs; `None` if the response is an error or malformed.
    fn parse_machine_page(&self, response: &HttpResponse) -> Option<MachinePage>;

    /// Parses the platform's response to an action on a VM.
    fn parse_machine_response(&self, response: &HttpResponse) -> MachineResponse;
}
