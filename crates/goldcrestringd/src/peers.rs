//! Requests from other processes of the cluster.

use crate::dispatch::Result;
use crate::node::Node;
use crate::replica::{ReplicaEvent, ReplicaHandle};
use crate::{backends, operators, records};
use goldcrestring_wire::codec;
use goldcrestring_wire::http::{HttpRequest, HttpResponse};
use goldcrestring_wire::message::{
    ChangeRequest, ChangeResponse, ConsensusRequest, ConsensusResponse, IdentityResponse,
    JoinRequest, LeaseRequest, LeaseResponse, RecordRequest, path,
};
use goldcrestring_wire::problem::Problem;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Handles a request from a peer.
///
/// # Errors
///
/// Returns a problem if the path is unknown, the message is malformed, or the request needs a
/// replica and this process has none.
pub(crate) async fn handle(node: &Node, request: &HttpRequest) -> Result<HttpResponse> {
    match request.path.as_str() {
        path::CONSENSUS => {
            let message: ConsensusRequest = decode(request)?;
            let replica = replica(node)?;
            let response = replica.ask(|reply| ReplicaEvent::Request(message, reply)).await;
            encode(&response.unwrap_or(ConsensusResponse::OtherReplica))
        }
        path::LEASE => {
            let message: LeaseRequest = decode(request)?;
            let response = replica(node)?.ask(|reply| ReplicaEvent::Lease(message, reply)).await;
            encode(&response.unwrap_or(LeaseResponse::NotLeader { leader: None }))
        }
        path::CHANGE => {
            let message: ChangeRequest = decode(request)?;
            let response =
                replica(node)?.ask(|reply| ReplicaEvent::Change(message.change, reply)).await;
            encode(&response.unwrap_or(ChangeResponse::Lost))
        }
        path::JOIN => {
            let message: JoinRequest = decode(request)?;
            replica(node)?.send(ReplicaEvent::Join(message.replica));
            encode(&())
        }
        path::IDENTITY => {
            let replica = replica(node)?.ask(ReplicaEvent::ReadIdentity).await;
            let replica = replica
                .ok_or_else(|| Problem::new(503, "replica-stopped", "the replica has stopped"))?;
            encode(&IdentityResponse { replica })
        }
        path::RECORD => {
            let message: RecordRequest = decode(request)?;
            encode(&records::handle(node, message))
        }
        path::SERVERS => encode(&backends::known_servers(node)),
        path::STATUS => encode(&operators::own_status(node).await),
        _ => Err(Problem::new(404, "no-such-resource", request.path.clone())),
    }
}

fn replica(node: &Node) -> Result<&ReplicaHandle> {
    let no_replica = || Problem::new(404, "no-replica", "this process has no replica");
    node.replica.as_ref().ok_or_else(no_replica)
}

fn decode<T: DeserializeOwned>(request: &HttpRequest) -> Result<T> {
    codec::decode(&request.body)
        .map_err(|error| Problem::new(400, "malformed-message", error.to_string()))
}

fn encode<T: Serialize>(message: &T) -> Result<HttpResponse> {
    let body = codec::encode(message)
        .map_err(|error| Problem::new(500, "internal-error", error.to_string()))?;
    Ok(HttpResponse::peer(body))
}
