//! Calls to backend servers, the adviser and the platform, as requested by the scheduling engine.

use super::node::FleetNode;
use super::relay;
use super::replica::ReplicaEvent;
use super::settings::FleetSettings;
use crate::log::event;
use goldcrestring::job::engine::{Action, CallId, MachineResponse, OrderResponse, PollReport};
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

/// A call as this process makes it.
struct Call {
    id: CallId,
    kind: CallKind,
    /// `None` if the settings name no address.
    address: Option<SocketAddr>,
    timeout: Duration,
}

impl Call {
    fn new(action: &Action, settings: &FleetSettings) -> Self {
        match action {
            Action::Poll { call, target, timeout, .. } => Self {
                id: *call,
                kind: CallKind::Poll,
                address: Some(target.address),
                timeout: *timeout,
            },
            Action::Start { call, target, timeout, .. }
            | Action::Stop { call, target, timeout, .. }
            | Action::Pace { call, target, timeout, .. } => Self {
                id: *call,
                kind: CallKind::Order,
                address: Some(target.address),
                timeout: *timeout,
            },
            Action::Maintain { call, .. } | Action::Move { call, .. } => Self {
                id: *call,
                kind: CallKind::Machine,
                address: settings.machines,
                timeout: MACHINE_TIMEOUT,
            },
            Action::Advise { call, timeout, .. } => Self {
                id: *call,
                kind: CallKind::Advice,
                address: settings.adviser,
                timeout: *timeout,
            },
            Action::ListMachines { call, .. } => Self {
                id: *call,
                kind: CallKind::List,
                address: settings.machines,
                timeout: MACHINE_TIMEOUT,
            },
        }
    }
}

/// Makes the call for an action and sends its result to the replica's thread.
pub(crate) fn execute(node: &Arc<FleetNode>, action: Action) {
    let call = Call::new(&action, &node.settings());
    let node = Arc::clone(node);
    spawn(async move {
        metrics::counter!("goldcrestring_backend_calls", "path" => "leader").increment(1);
        let response = send_as_leader(&node, &call, &action).await;
        if let Some(Err(_)) = response {
            relay::handle_direct_failure(&node, &action);
        }
        let Some(replica) = &node.replica else { return };
        replica.send(result_event(&node, &call, response));
    })
    .detach();
}

/// Makes a call to a backend server for a leader, unless `may_send` returns `false` right before it is
/// sent. Returns `None` for any other call.
pub(crate) async fn execute_for_leader(
    node: &FleetNode,
    action: &Action,
    may_send: impl Fn() -> bool,
) -> Option<CallResult> {
    let call = Call::new(action, &node.settings());
    let address = call.address?;
    if !matches!(call.kind, CallKind::Poll | CallKind::Order) {
        return None;
    }
    metrics::counter!("goldcrestring_backend_calls", "path" => "relay").increment(1);
    let response = send(node, address, call.timeout, action, may_send).await;
    let outcome = match call.kind {
        _ if matches!(response, Err(CallError::Withdrawn { .. })) => CallOutcome::Dropped,
        CallKind::Poll => CallOutcome::Poll(poll_report(node, response)),
        _ => CallOutcome::Order(order_response(node, response)),
    };
    Some(CallResult { call: call.id, outcome })
}

/// Returns the ID of the call for an action.
pub(crate) fn call_id(node: &FleetNode, action: &Action) -> CallId {
    Call::new(action, &node.settings()).id
}

/// Sends a call. Returns `None` without sending it if this process is no longer the leader or knows
/// no address.
async fn send_as_leader(
    node: &FleetNode,
    call: &Call,
    action: &Action,
) -> Option<Result<HttpResponse, CallError>> {
    let address = call.address?;
    // The process may have been suspended since the engine decided, also while a connection was being
    // opened, so leadership is checked again.
    let may_send = || node.is_leading();
    let sent = if may_send() {
        send(node, address, call.timeout, action, may_send).await
    } else {
        Err(CallError::Withdrawn { address })
    };
    if matches!(sent, Err(CallError::Withdrawn { .. })) {
        event!(warn, "order-dropped", address = address, reason = "no-lease");
        return None;
    }
    Some(sent)
}

async fn send(
    node: &FleetNode,
    address: SocketAddr,
    timeout: Duration,
    action: &Action,
    may_send: impl Fn() -> bool,
) -> Result<HttpResponse, CallError> {
    let request = node.adapter.encode_action(action, &node.settings().label);
    let called = node.client.call_while(address, request, timeout, Reuse::Allowed, may_send);
    let result = called.await;
    if let Err(CallError::NoResponse { .. }) = &result {
        node.client.close_idle(address);
    }
    result
}

/// Returns the event that reports a call's result to the replica's thread.
fn result_event(
    node: &FleetNode,
    call: &Call,
    response: Option<Result<HttpResponse, CallError>>,
) -> ReplicaEvent {
    match (&call.kind, response) {
        (CallKind::Poll, Some(response)) => {
            ReplicaEvent::Poll(call.id, poll_report(node, response))
        }
        (CallKind::Poll, None) => ReplicaEvent::Poll(call.id, None),
        (CallKind::Order, Some(response)) => {
            ReplicaEvent::Order(call.id, order_response(node, response))
        }
        (CallKind::Order, None) => ReplicaEvent::Order(call.id, OrderResponse::NotSent),
        (CallKind::List, Some(Ok(response))) => {
            ReplicaEvent::Machines(call.id, node.adapter.parse_machine_page(&response))
        }
        (CallKind::List, _) => ReplicaEvent::Machines(call.id, None),
        (CallKind::Advice, Some(Ok(response))) => {
            ReplicaEvent::Advice(call.id, node.adapter.parse_advice_response(&response))
        }
        (CallKind::Advice, _) => ReplicaEvent::Advice(call.id, None),
        (CallKind::Machine, Some(Ok(response))) => {
            ReplicaEvent::Machine(call.id, node.adapter.parse_machine_response(&response))
        }
        (CallKind::Machine, _) => ReplicaEvent::Machine(call.id, MachineResponse::Lost),
    }
}

fn poll_report(node: &FleetNode, response: Result<HttpResponse, CallError>) -> Option<PollReport> {
    node.adapter.parse_poll_report(&response.ok()?)
}

fn order_response(node: &FleetNode, response: Result<HttpResponse, CallError>) -> OrderResponse {
    match response {
        Ok(response) => node.adapter.parse_order_response(&response),
        Err(error) if error.is_not_sent() => OrderResponse::NotSent,
        Err(_) => OrderResponse::Lost,
    }
}
