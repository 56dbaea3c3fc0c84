//! Calls from other processes of the cluster.

use crate::control::{ControlEvent, ControlHandle};
use crate::dispatch::Result;
use crate::node::Node;
use crate::{backends, operators, records};
use goldcrestring_wire::codec;
use goldcrestring_wire::http::{HttpRequest, HttpResponse};
use goldcrestring_wire::message::{
    ChangeRequest, ChangeResponse, ConsensusRequest, ConsensusResponse, JoinRequest, LeaseRequest,
    LeaseResponse, RecordRequest, path,
};
use goldcrestring_wire::problem::Problem;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Handles a call from a peer.
pub(crate) async fn handle(node: &Node, call: &HttpRequest) -> Result<HttpResponse> {
    match call.path.as_str() {
        path::CONSENSUS => {
            let message: ConsensusRequest = decode(call)?;
            let control = control(node)?;
            let answer = control.ask(|reply| ControlEvent::Request(message, reply)).await;
            encode(&answer.unwrap_or(ConsensusResponse::OtherReplica))
        }
        path::LEASE => {
            let message: LeaseRequest = decode(call)?;
            let answer = control(node)?.ask(|reply| ControlEvent::Lease(message, reply)).await;
            encode(&answer.unwrap_or(LeaseResponse::NotLeader { leader: None }))
        }
        path::CHANGE => {
            let message: ChangeRequest = decode(call)?;
            let answer =
                control(node)?.ask(|reply| ControlEvent::Change(message.change, reply)).await;
            encode(&answer.unwrap_or(ChangeResponse::Lost))
        }
        path::JOIN => {
            let message: JoinRequest = decode(call)?;
            control(node)?.send(ControlEvent::Join(message.replica));
            encode(&())
        }
        path::RECORD => {
            let message: RecordRequest = decode(call)?;
            encode(&records::answer(node, message))
        }
        path::SERVERS => encode(&backends::known_servers(node)),
        path::STATUS => encode(&operators::own_status(node).await),
        _ => Err(Problem::new(404, "no-such-resource", call.path.clone())),
    }
}

fn control(node: &Node) -> Result<&ControlHandle> {
    let missing = || Problem::new(404, "no-replica", "this process holds no replica");
    node.control.as_ref().ok_or_else(missing)
}

fn decode<T: DeserializeOwned>(call: &HttpRequest) -> Result<T> {
    codec::decode(&call.body)
        .map_err(|error| Problem::new(400, "malformed-message", error.to_string()))
}

fn encode<T: Serialize>(message: &T) -> Result<HttpResponse> {
    let body = codec::encode(message)
        .map_err(|error| Problem::new(500, "internal-error", error.to_string()))?;
    Ok(HttpResponse::peer(body))
}
