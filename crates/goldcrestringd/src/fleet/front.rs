//! Hands callers' requests that a follower can't answer itself to the leader, in batches.

use super::leader_client::call_peer;
use super::node::FleetNode;
use crate::log::event;
use crate::replicated_log::ReplySender;
use goldcrestring::job::front::Batcher;
use goldcrestring::name::NodeId;
use goldcrestring_wire::client::CallError;
use goldcrestring_wire::job_message::{JobRequest, JobResponse, path};
use goldcrestring_wire::runtime::spawn;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Timeout of a batch; shorter than that of an entry's call.
const BATCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Requests that wait for a batch, with their reply channels.
#[derive(Default)]
pub(crate) struct Front(Mutex<Batcher<(JobRequest, ReplySender<JobResponse>)>>);

/// Hands a request to the leader and returns its response.
pub(crate) async fn forward(
    node: &Arc<FleetNode>,
    leader: NodeId,
    request: JobRequest,
) -> JobResponse {
    let (reply, response) = smol::channel::bounded(1);
    let added = {
        let mut batcher = node.front.0.lock().unwrap_or_else(PoisonError::into_inner);
        batcher.add((request, reply))
    };
    match added {
        Err((request, _)) => {
            event!(warn, "batch-full", request = request.request, leader = leader);
            // Only the leader knows of earlier submissions of the job, so only it can refuse this one.
            return JobResponse::Unknown;
        }
        Ok(true) => {
            let node = Arc::clone(node);
            spawn(async move { send_batches(&node, &leader).await }).detach();
        }
        Ok(false) => {}
    }
    // A dropped reply says nothing about the request, which may have been sent.
    response.recv().await.unwrap_or(JobResponse::Unknown)
}

async fn send_batches(node: &FleetNode, leader: &NodeId) {
    loop {
        let batch = node.front.0.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(batch) = batch else { return };
        let (requests, replies): (Vec<_>, Vec<_>) = batch.into_iter().unzip();
        let sent =
            call_peer::<_, Vec<JobResponse>>(node, leader, path::JOBS, &requests, BATCH_TIMEOUT);
        let responses = responses(sent.await, requests.len(), leader);
        for (reply, response) in replies.into_iter().zip(responses) {
            // The entry may have given up.
            let _ = reply.try_send(response);
        }
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
