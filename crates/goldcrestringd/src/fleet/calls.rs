//! Calls to backend servers and the platform that the engine requests.

use super::node::FleetNode;
use super::replica::ReplicaEvent;
use crate::log::event;
use goldcrestring::job::engine::{Action, CallId, MachineResponse, OrderResponse};
use goldcrestring_wire::client::{CallError, Reuse};
use goldcrestring_wire::http::HttpResponse;
use goldcrestring_wire::runtime::spawn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of a call about a VM.
const MACHINE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Kind of a call, which determines how its answer is decoded.
enum CallKind {
    Poll,
    Order,
    Machine,
    List,
    Advice,
}

/// Makes the call of an action and sends the result to the replica's thread.
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
        let reply = match address {
            Some(address) => send(&node, address, &action, &settings.label, timeout).await,
            None => None,
        };
        let Some(replica) = &node.replica else { return };
        replica.send(reply_event(&node, call, &kind, reply));
    })
    .detach();
}

async fn send(
    node: &FleetNode,
    address: SocketAddr,
    action: &Action,
    holder: &str,
    timeout: Duration,
) -> Option<Result<HttpResponse, CallError>> {
    // The process may have been suspended since the decision, so leadership is checked again.
    if !node.is_leading() {
        event!(warn, "order-dropped", address = address, reason = "no-lease");
        return None;
    }
    let call = node.adapter.encode_action(action, holder);
    let answered = node.client.call(address, call, timeout, Reuse::Allowed).await;
    if let Err(CallError::NoResponse { .. }) = &answered {
        node.client.close_idle(address);
    }
    Some(answered)
}

fn reply_event(
    node: &FleetNode,
    call: CallId,
    kind: &CallKind,
    reply: Option<Result<HttpResponse, CallError>>,
) -> ReplicaEvent {
    match (kind, reply) {
        (CallKind::Poll, Some(Ok(reply))) => {
            ReplicaEvent::Poll(call, node.adapter.parse_poll_report(&reply))
        }
        (CallKind::Poll, _) => ReplicaEvent::Poll(call, None),
        (CallKind::Order, Some(Ok(reply))) => {
            ReplicaEvent::Order(call, node.adapter.parse_order_response(&reply))
        }
        (CallKind::Order, Some(Err(error))) if !error.is_not_sent() => {
            ReplicaEvent::Order(call, OrderResponse::Lost)
        }
        (CallKind::Order, _) => ReplicaEvent::Order(call, OrderResponse::NotSent),
        (CallKind::List, Some(Ok(reply))) => {
            ReplicaEvent::Machines(call, node.adapter.parse_machine_page(&reply))
        }
        (CallKind::Advice, Some(Ok(reply))) => {
            ReplicaEvent::Advice(call, node.adapter.parse_advice_response(&reply))
        }
        (CallKind::Advice, _) => ReplicaEvent::Advice(call, None),
        (CallKind::List, _) => ReplicaEvent::Machines(call, None),
        (CallKind::Machine, Some(Ok(reply))) => {
            ReplicaEvent::Machine(call, node.adapter.parse_machine_response(&reply))
        }
        (CallKind::Machine, _) => ReplicaEvent::Machine(call, MachineResponse::Lost),
    }
}
