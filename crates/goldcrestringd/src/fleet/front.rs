//! Hands callers' requests that a follower can't answer itself to the leader, in batches.

use super::leader_client::call_peer;
use super::node::FleetNode;
use crate::log::event;
use crate::replicated_log::ReplySender;
use goldcrestring::job::front::Batcher;
use goldcrestring::name::NodeId;
use goldcrestring_wire::client::CallError;
use goldcrestring_wire::job_message::{JobRequest, JobResponse, path};
use goldcrestring_wire::runtime::{sleep, spawn};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Timeout of a batch; shorter than that of an entry's call.
const BATCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which requests are collected after a batch has been sent.
const COLLECTING_PERIOD: Duration = Duration::from_millis(8);

/// Requests that wait for a batch, with their reply channels.
#[derive(Default)]
pub(crate) struct Front(Mutex<Batcher<(JobRequest, ReplySender<JobResponse>)>>);

/// Hands a request to the leader and returns its response.
pub(crate) async fn forward(node: &Arc<FleetNode>, request: JobRequest) -> JobResponse {
    let (reply, response) = smol::channel::bounded(1);
    let added = {
        let mut batcher = node.front.0.lock().unwrap_or_else(PoisonError::into_inner);
        batcher.add((request, reply))
    };
    match added {
        Err((request, _)) => {
            event!(warn, "batch-full", request = request.request);
            // Only the leader knows of earlier submissions of the job, so only it can refuse this one.
            return JobResponse::Unknown;
        }
        Ok(true) => {
            let node = Arc::clone(node);
            spawn(async move { send_batches(&node).await }).detach();
        }
        Ok(false) => {}
    }
    // A dropped reply says nothing about the request, which may have been sent.
    response.recv().await.unwrap_or(JobResponse::Unknown)
}

/// Sends batches until nothing waits. A batch that a lost leader does not answer delays no other, and each
/// goes to the leader of its moment.
async fn send_batches(node: &Arc<FleetNode>) {
    loop {
        let batch = node.front.0.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(batch) = batch else { return };
        let sender = Arc::clone(node);
        spawn(async move { send_batch(&sender, batch).await }).detach();
        sleep(COLLECTING_PERIOD).await;
    }
}

async fn send_batch(node: &FleetNode, batch: Vec<(JobRequest, ReplySender<JobResponse>)>) {
    let (requests, replies): (Vec<_>, Vec<_>) = batch.into_iter().unzip();
    let leader = node.leadership().leader.clone().filter(|leader| *leader != node.id);
    let responses = match leader {
        Some(leader) => {
            let sent = call_peer(node, &leader, path::JOBS, &requests, BATCH_TIMEOUT);
            responses(sent.await, requests.len(), &leader)
        }
        None => vec![JobResponse::NotLeader { leader: None }; requests.len()],
    };
    for (reply, response) in replies.into_iter().zip(responses) {
        // The entry may have given up.
        let _ = reply.try_send(response);
    }
}

/// Returns a response for each request of a batch.
fn responses(
    sent: Result<Vec<JobResponse>, CallError>,
    count: usize,
    leader: &NodeId,
) -> Vec<JobResponse> {
    match sent {
        Ok(responses) if responses.len() == count => responses,
        Ok(responses) => {
            event!(warn, "batch-malformed", leader = leader, responses = responses.len());
            vec![JobResponse::Unknown; count]
        }
        Err(problem) => {
            event!(info, "batch-unanswered", leader = leader, jobs = count, problem = problem);
            let response = if problem.is_not_sent() {
                JobResponse::NotLeader { leader: None }
            } else {
                JobResponse::Unknown
            };
            vec![response; count]
        }
    }
}
