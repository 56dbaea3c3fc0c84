//! Calls to backend servers, the adviser and the platform, as requested by the scheduling engine.

use super::node::FleetNode;
use super::relay;
use super::replica::ReplicaEvent;
use crate::log::event;
use goldcrestring::job::engine::{Action, CallId, MachineResponse, OrderResponse};
use goldcrestring::job::relay::{CallOutcome, CallResult};
use goldcrestring_wire::client::{CallError, Reuse};
use goldcrestring_wire::http::HttpResponse;
use goldcrestring_wire::runtime::spawn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of a call to the platform about VMs.
const MACHINE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Kind of a call, which determines how its response is decoded.
enum CallKind {
    Poll,
    /// Starts, stops or paces a task.
    Order,
    /// Maintains or moves a VM.
    Machine,
    /// Lists VMs.
    List,
    Advice,
}

/// Makes the call for an action and sends its result to the replica's thread.
pub(crate) fn execute(node: &Arc<FleetNode>, action: Action) {
    let settings = node.settings();
    let (call, address, timeout, kind) = match &action {
        Action::Poll { call, target, timeout, .. } => {
            (*call, Some(target.address), *timeout, CallKind::Poll)
        }
        Action::Start { call, target, timeout, .. }
        | Action::Stop { call, target, timeout, .. }
        | Action::Pace { call, target, timeout, .. } => {
            (*call, Some(target.address), *timeout, CallKind::Order)
        }
        Action::Maintain { call, .. } | Action::Move { call, .. } => {
            (*call, settings.machines, MACHINE_TIMEOUT, CallKind::Machine)
        }
        Action::Advise { call, timeout, .. } => {
            (*call, settings.adviser, *timeout, CallKind::Advice)
        }
        Action::ListMachines { call, .. } => {
            (*call, settings.machines, MACHINE_TIMEOUT, CallKind::List)
        }
    };
    let node = Arc::clone(node);
    spawn(async move {
        metrics::counter!("goldcrestring_backend_calls", "path" => "leader").increment(1);
        let response = match address {
            Some(address) => send(&node, address, &action, &settings.label, timeout).await,
            None => None,
        };
        if let Some(Err(_)) = response {
            relay::handle_direct_failure(&node, &action);
        }
        let Some(replica) = &node.replica else { return };
        replica.send(result_event(&node, call, &kind, response));
    })
    .detach();
}

/// A call to a backend server.
pub(crate) struct ServerCall {
    pub(crate) call: CallId,
    address: SocketAddr,
    timeout: Duration,
    is_poll: bool,
}

/// Returns the call of an action, or `None` if it is not addressed to a backend server.
pub(crate) fn server_call(action: &Action) -> Option<ServerCall> {
    let is_poll = matches!(action, Action::Poll { .. });
    match action {
        Action::Poll { call, target, timeout, .. }
        | Action::Start { call, target, timeout, .. }
        | Action::Stop { call, target, timeout, .. }
        | Action::Pace { call, target, timeout, .. } => {
            Some(ServerCall { call: *call, address: target.address, timeout: *timeout, is_poll })
        }
        Action::Maintain { .. }
        | Action::Move { .. }
        | Action::Advise { .. }
        | Action::ListMachines { .. } => None,
    }
}

/// Makes the call of an action for a leader, or returns `None` if it is not addressed to a backend
/// server.
pub(crate) async fn call_server(node: &FleetNode, action: &Action) -> Option<CallResult> {
    let ServerCall { call, address, timeout, is_poll } = server_call(action)?;
    metrics::counter!("goldcrestring_backend_calls", "path" => "relay").increment(1);
    let request = node.adapter.encode_action(action, &node.settings().label);
    let response = node.client.call(address, request, timeout, Reuse::Allowed).await;
    if let Err(CallError::NoResponse { .. }) = &response {
        node.client.close_idle(address);
    }
    let outcome = match (is_poll, response) {
        (true, Ok(response)) => CallOutcome::Poll(node.adapter.parse_poll_report(&response)),
        (true, Err(_)) => CallOutcome::Poll(None),
        (false, Ok(response)) => CallOutcome::Order(node.adapter.parse_order_response(&response)),
        (false, Err(error)) if error.is_not_sent() => CallOutcome::Order(OrderResponse::NotSent),
        (false, Err(_)) => CallOutcome::Order(OrderResponse::Lost),
    };
    Some(CallResult { call, outcome })
}

/// Sends the call for an action. Returns `None` without sending it if this process is no longer the
/// leader.
async fn send(
    node: &FleetNode,
    address: SocketAddr,
    action: &Action,
    holder: &str,
    timeout: Duration,
) -> Option<Result<HttpResponse, CallError>> {
    // The process may have been suspended since the engine decided, so leadership is checked again.
    if !node.is_leading() {
        event!(warn, "order-dropped", address = address, reason = "no-lease");
        return None;
    }
    let request = node.adapter.encode_action(action, holder);
    let result = node.client.call(address, request, timeout, Reuse::Allowed).await;
    if let Err(CallError::NoResponse { .. }) = &result {
        node.client.close_idle(address);
    }
    Some(result)
}

/// Returns the event that reports a call's result to the replica's thread.
fn result_event(
    node: &FleetNode,
    call: CallId,
    kind: &CallKind,
    response: Option<Result<HttpResponse, CallError>>,
) -> ReplicaEvent {
    match (kind, response) {
        (CallKind::Poll, Some(Ok(response))) => {
            ReplicaEvent::Poll(call, node.adapter.parse_poll_report(&response))
        }
        (CallKind::Poll, _) => ReplicaEvent::Poll(call, None),
        (CallKind::Order, Some(Ok(response))) => {
            ReplicaEvent::Order(call, node.adapter.parse_order_response(&response))
        }
        (CallKind::Order, Some(Err(error))) if !error.is_not_sent() => {
            ReplicaEvent::Order(call, OrderResponse::Lost)
        }
        (CallKind::Order, _) => ReplicaEvent::Order(call, OrderResponse::NotSent),
        (CallKind::List, Some(Ok(response))) => {
            ReplicaEvent::Machines(call, node.adapter.parse_machine_page(&response))
        }
        (CallKind::Advice, Some(Ok(response))) => {
            ReplicaEvent::Advice(call, node.adapter.parse_advice_response(&response))
        }
        (CallKind::Advice, _) => ReplicaEvent::Advice(call, None),
        (CallKind::List, _) => ReplicaEvent::Machines(call, None),
        (CallKind::Machine, Some(Ok(response))) => {
            ReplicaEvent::Machine(call, node.adapter.parse_machine_response(&response))
        }
        (CallKind::Machine, _) => ReplicaEvent::Machine(call, MachineResponse::Lost),
    }
}
