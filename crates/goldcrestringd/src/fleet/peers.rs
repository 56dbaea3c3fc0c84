//! Requests from other processes of the fleet.

use super::front;
use super::node::FleetNode;
use super::relay;
use super::replica::{ReplicaEvent, ReplicaHandle};
use goldcrestring_wire::codec;
use goldcrestring_wire::http::{HttpRequest, HttpResponse, Method};
use goldcrestring_wire::job_message::{
    FleetRequest, FleetResponse, JobRequest, JobResponse, LeaderResponse, OperatorRequest,
    OperatorResponse, RelayBatch, RelayResults, path as job_path,
};
use goldcrestring_wire::message::{
    ConsensusRequest, ConsensusResponse, IdentityResponse, JoinRequest, path,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;

/// Handles a request from a peer.
pub(crate) async fn handle(node: Arc<FleetNode>, request: HttpRequest) -> HttpResponse {
    if request.method == Method::Get && request.path == "/metrics" {
        return HttpResponse::text(200, node.metrics.render());
    }
    let Some(replica) = &node.replica else { return HttpResponse::new(404) };
    match request.path.as_str() {
        path::CONSENSUS => {
            let Some(message) = decode::<ConsensusRequest>(&request) else {
                return HttpResponse::new(400);
            };
            let response = replica.ask(|reply| ReplicaEvent::Request(message, reply)).await;
            encode(&response.unwrap_or(ConsensusResponse::OtherReplica))
        }
        path::JOIN => {
            let Some(message) = decode::<JoinRequest>(&request) else {
                return HttpResponse::new(400);
            };
            replica.send(ReplicaEvent::Join(message.replica));
            encode(&())
        }
        path::IDENTITY => match replica.ask(ReplicaEvent::ReadIdentity).await {
            Some(replica) => encode(&IdentityResponse { replica }),
            None => HttpResponse::new(503),
        },
        job_path::JOB => {
            let Some(message) = decode::<JobRequest>(&request) else {
                return HttpResponse::new(400);
            };
            encode(&handle_job(&node, replica, message).await)
        }
        job_path::JOBS => {
            let Some(messages) = decode::<Vec<JobRequest>>(&request) else {
                return HttpResponse::new(400);
            };
            encode(&ask_jobs(&node, replica, messages).await)
        }
        job_path::FLEET => {
            let Some(message) = decode::<FleetRequest>(&request) else {
                return HttpResponse::new(400);
            };
            let response = replica.ask(|reply| ReplicaEvent::Fleet(message, reply)).await;
            encode(&response.unwrap_or(FleetResponse::NotLeader { leader: None }))
        }
        job_path::OPERATOR => {
            let Some(message) = decode::<OperatorRequest>(&request) else {
                return HttpResponse::new(400);
            };
            let response = replica.ask(|reply| ReplicaEvent::Operator(message, reply)).await;
            encode(&response.unwrap_or(OperatorResponse::Unknown))
        }
        job_path::RELAY => {
            let Some(message) = decode::<RelayBatch>(&request) else {
                return HttpResponse::new(400);
            };
            encode(&relay::handle_batch(&node, message))
        }
        job_path::RELAY_RESULTS => {
            let Some(message) = decode::<RelayResults>(&request) else {
                return HttpResponse::new(400);
            };
            relay::handle_results(&node, message);
            encode(&())
        }
        job_path::LEADER => encode(&leader(replica).await),
        _ => HttpResponse::new(404),
    }
}

/// Handles a request of an entry. A follower that can't answer it hands it to the leader.
async fn handle_job(
    node: &Arc<FleetNode>,
    replica: &ReplicaHandle,
    message: JobRequest,
) -> JobResponse {
    match ask_job(node, replica, message.clone()).await {
        JobResponse::NotLeader { leader: Some(_) } => front::forward(node, message).await,
        response => response,
    }
}

/// Asks for the responses to a follower's batch. All are asked for before the first is awaited.
async fn ask_jobs(
    node: &FleetNode,
    replica: &ReplicaHandle,
    messages: Vec<JobRequest>,
) -> Vec<JobResponse> {
    let received_at = node.now();
    let receivers: Vec<_> = messages
        .into_iter()
        .map(|message| {
            replica.post(|reply| ReplicaEvent::Job { request: message, received_at, reply })
        })
        .collect();
    let mut responses = Vec::with_capacity(receivers.len());
    for receiver in receivers {
        responses.push(receiver.recv().await.unwrap_or(JobResponse::Unknown));
    }
    responses
}

async fn ask_job(node: &FleetNode, replica: &ReplicaHandle, request: JobRequest) -> JobResponse {
    let received_at = node.now();
    let response = replica.ask(|reply| ReplicaEvent::Job { request, received_at, reply }).await;
    // A dropped reply says nothing about the request, which may have been proposed.
    response.unwrap_or(JobResponse::Unknown)
}

async fn leader(replica: &ReplicaHandle) -> LeaderResponse {
    replica.ask(ReplicaEvent::Leader).await.unwrap_or_default()
}

fn decode<T: DeserializeOwned>(request: &HttpRequest) -> Option<T> {
    codec::decode(&request.body).ok()
}

fn encode<T: Serialize>(message: &T) -> HttpResponse {
    codec::encode(message).map_or_else(|_| HttpResponse::new(500), HttpResponse::peer)
}
