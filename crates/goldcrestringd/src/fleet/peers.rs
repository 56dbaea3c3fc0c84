//! Calls from other processes of the fleet.

use super::node::FleetNode;
use super::replica::{ReplicaEvent, ReplicaHandle};
use goldcrestring_wire::codec;
use goldcrestring_wire::http::{Call, Method, Reply};
use goldcrestring_wire::job_message::{
    FleetAnswer, FleetCall, JobAnswer, JobCall, LeaderAnswer, OperatorAnswer, OperatorCall,
    path as job_path,
};
use goldcrestring_wire::message::{ConsensusAnswer, ConsensusCall, JoinCall, path};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;

/// Handles a call from a peer.
pub(crate) async fn answer(node: Arc<FleetNode>, call: Call) -> Reply {
    if call.method == Method::Get && call.path == "/metrics" {
        return Reply::text(200, node.metrics.render());
    }
    let Some(replica) = &node.replica else { return Reply::new(404) };
    match call.path.as_str() {
        path::CONSENSUS => {
            let Some(message) = decode::<ConsensusCall>(&call) else { return Reply::new(400) };
            let answer = replica.ask(|reply| ReplicaEvent::Request(message, reply)).await;
            encode(&answer.unwrap_or(ConsensusAnswer::OtherReplica))
        }
        path::JOIN => {
            let Some(message) = decode::<JoinCall>(&call) else { return Reply::new(400) };
            replica.send(ReplicaEvent::Join(message.replica));
            encode(&())
        }
        job_path::JOB => {
            let Some(message) = decode::<JobCall>(&call) else { return Reply::new(400) };
            let answer = replica.ask(|reply| ReplicaEvent::Job(message, reply)).await;
            encode(&answer.unwrap_or(JobAnswer::NotLeader { leader: None }))
        }
        job_path::FLEET => {
            let Some(message) = decode::<FleetCall>(&call) else { return Reply::new(400) };
            let answer = replica.ask(|reply| ReplicaEvent::Fleet(message, reply)).await;
            encode(&answer.unwrap_or(FleetAnswer::NotLeader { leader: None }))
        }
        job_path::OPERATOR => {
            let Some(message) = decode::<OperatorCall>(&call) else { return Reply::new(400) };
            let answer = replica.ask(|reply| ReplicaEvent::Operator(message, reply)).await;
            encode(&answer.unwrap_or(OperatorAnswer::NotLeader { leader: None }))
        }
        job_path::LEADER => encode(&leader(replica).await),
        _ => Reply::new(404),
    }
}

async fn leader(replica: &ReplicaHandle) -> LeaderAnswer {
    replica.ask(ReplicaEvent::Leader).await.unwrap_or_default()
}

fn decode<T: DeserializeOwned>(call: &Call) -> Option<T> {
    codec::decode(&call.body).ok()
}

fn encode<T: Serialize>(message: &T) -> Reply {
    codec::encode(message).map_or_else(|_| Reply::new(500), Reply::peer)
}
