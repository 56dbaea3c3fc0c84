//! The relay's side: makes a leader's calls and returns their results in batches.

use super::super::calls;
use super::super::leader_client::call_peer;
use super::super::node::FleetNode;
use crate::log::event;
use goldcrestring::clock::Uptime;
use goldcrestring::job::engine::Action;
use goldcrestring::job::relay::{Ack, CallOutcome, CallResult};
use goldcrestring::name::NodeId;
use goldcrestring::quantity::Term;
use goldcrestring_wire::job_message::{RelayBatch, RelayResults, path};
use goldcrestring_wire::runtime::{sleep, spawn};
use std::sync::Arc;
use std::time::Duration;

/// Number of times that results are sent.
const MAX_TRIES: usize = 2;

/// Timeout of a message with results.
const RESULTS_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay before results are sent again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval between checks for calls that are being made.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Accepts or refuses a batch and makes its calls.
pub(crate) fn handle_batch(node: &Arc<FleetNode>, message: RelayBatch) -> Ack {
    let now = node.now();
    let known_term = node.leadership().term;
    let mut executor = node.relay.executor();
    executor.gate.note_term(known_term);
    let ack = executor.gate.receive(now, &message.batch, node.is_stopping());
    drop(executor);
    if !ack.is_accepted {
        event!(
            info,
            "relay-refused",
            leader = message.leader,
            term = message.batch.term,
            calls = message.batch.actions.len()
        );
        return ack;
    }
    let term = message.batch.term;
    for action in message.batch.actions {
        let (node, leader) = (Arc::clone(node), message.leader.clone());
        spawn(async move {
            match make_call(&node, term, now, &action).await {
                Some(result) => add_result(&node, leader, result),
                None => node.relay.executor().gate.finish(1),
            }
        })
        .detach();
    }
    ack
}

/// Makes a call unless it has waited for too long or a newer leader is known.
async fn make_call(
    node: &FleetNode,
    term: Term,
    received_at: Uptime,
    action: &Action,
) -> Option<CallResult> {
    let may_send = || {
        let known_term = node.leadership().term;
        let mut executor = node.relay.executor();
        executor.gate.note_term(known_term);
        executor.gate.may_send(node.now(), term, received_at)
    };
    if may_send() {
        return calls::execute_for_leader(node, action, may_send).await;
    }
    Some(CallResult { call: calls::call_id(node, action), outcome: CallOutcome::Dropped })
}

/// Queues a result for the leader.
fn add_result(node: &Arc<FleetNode>, leader: NodeId, result: CallResult) {
    if node.relay.executor().outbox.add(&leader, result) {
        let node = Arc::clone(node);
        spawn(async move { send_results(&node, &leader).await }).detach();
    }
}

/// Sends the results for a leader until none are left.
async fn send_results(node: &FleetNode, leader: &NodeId) {
    loop {
        sleep(node.relay.coalescing_period()).await;
        let results = node.relay.executor().outbox.take(leader);
        let Some(results) = results else { return };
        let count = results.len();
        send_results_to(node, leader, results).await;
        node.relay.executor().gate.finish(count);
    }
}

async fn send_results_to(node: &FleetNode, leader: &NodeId, results: Vec<CallResult>) {
    let message = RelayResults { relay: node.id.clone(), results };
    for attempt in 1..=MAX_TRIES {
        // The leader ignores results that it already has.
        let sent =
            call_peer::<_, ()>(node, leader, path::RELAY_RESULTS, &message, RESULTS_TIMEOUT).await;
        let Err(problem) = sent else { return };
        if attempt == MAX_TRIES {
            let count = message.results.len();
            event!(warn, "relay-results-unsent", leader = leader, count = count, problem = problem);
        } else {
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Waits until the results of all calls have been delivered, for at most `time_limit`.
pub(crate) async fn drain(node: &FleetNode, time_limit: Duration) {
    let deadline = node.now() + time_limit;
    while node.relay.executor().gate.calls() > 0 && node.now() < deadline {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}
