//! Calls from other processes of the cluster.

use crate::control::{ControlEvent, ControlHandle};
use crate::dispatch::Result;
use crate::node::Node;
use crate::{backends, operators, records};
use goldcrestring_wire::codec;
use goldcrestring_wire::http::{Call, Reply};
use goldcrestring_wire::message::{
    ChangeAnswer, ChangeCall, ConsensusAnswer, ConsensusCall, JoinCall, LeaseAnswer, LeaseCall,
    RecordCall, path,
};
use goldcrestring_wire::problem::Problem;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Handles a call from a peer.
pub(crate) async fn handle(node: &Node, call: &Call) -> Result<Reply> {
    match call.path.as_str() {
        path::CONSENSUS => {
            let message: ConsensusCall = decode(call)?;
            let control = control(node)?;
            let answer = control.ask(|reply| ControlEvent::Request(message, reply)).await;
            encode(&answer.unwrap_or(ConsensusAnswer::OtherReplica))
        }
        path::LEASE => {
            let message: LeaseCall = decode(call)?;
            let answer = control(node)?.ask(|reply| ControlEvent::Lease(message, reply)).await;
            encode(&answer.unwrap_or(LeaseAnswer::NotLeader { leader: None }))
        }
        path::CHANGE => {
            let message: ChangeCall = decode(call)?;
            let answer =
                control(node)?.ask(|reply| ControlEvent::Change(message.change, reply)).await;
            encode(&answer.unwrap_or(ChangeAnswer::Lost))
        }
        path::JOIN => {
            let message: JoinCall = decode(call)?;
            control(node)?.send(ControlEvent::Join(message.replica));
            encode(&())
        }
        path::RECORD => {
            let message: RecordCall = decode(call)?;
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

fn decode<T: DeserializeOwned>(call: &Call) -> Result<T> {
    codec::decode(&call.body)
        .map_err(|error| Problem::new(400, "malformed-message", error.to_string()))
}

fn encode<T: Serialize>(message: &T) -> Result<Reply> {
    let body = codec::encode(message)
        .map_err(|error| Problem::new(500, "internal-error", error.to_string()))?;
    Ok(Reply::peer(body))
}
