//! The leader's side: hands calls to relays in batches and takes their results.

use super::super::calls;
use super::super::leader_client::call_peer;
use super::super::node::FleetNode;
use super::super::replica::ReplicaEvent;
use super::MESSAGE_TIMEOUT;
use crate::log::event;
use goldcrestring::clock::Uptime;
use goldcrestring::job::engine::Action;
use goldcrestring::job::relay::{Ack, Batch, CallOutcome, RelayEvent, RelayOutput, Relays};
use goldcrestring::name::NodeId;
use goldcrestring::quantity::Term;
use goldcrestring_wire::job_message::{RelayBatch, RelayResults, path};
use goldcrestring_wire::runtime::{sleep, spawn};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Queues a call for a relay, or returns it if this process must make it itself.
pub(crate) fn submit(node: &Arc<FleetNode>, now: Uptime, action: Action) -> Option<Action> {
    let mut leader = node.relay.leader();
    let action = leader.relays.submit(now, action);
    if action.is_none() && !std::mem::replace(&mut leader.is_flush_scheduled, true) {
        schedule_flush(node);
    }
    action
}

/// Sets the term and the possible relays, which a fleet of that many backend servers may not need;
/// handles deadlines and sends probes.
pub(crate) fn update(
    node: &Arc<FleetNode>,
    now: Uptime,
    term: Option<Term>,
    servers: usize,
    members: BTreeSet<NodeId>,
) {
    node.relay.servers.store(u32::try_from(servers).unwrap_or(u32::MAX), Ordering::Relaxed);
    let limit = node.settings().relay_above_servers;
    settle(node, |relays| {
        let members = if relays.is_needed(servers, limit) { members } else { BTreeSet::new() };
        relays.set_members(now, term, members);
        relays.tick(now);
    });
    flush(node);
}

/// Handles the results of a relay.
pub(crate) fn handle_results(node: &Arc<FleetNode>, message: RelayResults) {
    let now = node.now();
    settle(node, |relays| relays.handle_results(now, message.results));
}

/// Handles a call that this process made itself and to which the backend server did not respond.
pub(crate) fn handle_direct_failure(node: &FleetNode, action: &Action) {
    node.relay.leader().relays.handle_direct_failure(action);
}

fn schedule_flush(node: &Arc<FleetNode>) {
    let node = Arc::clone(node);
    spawn(async move {
        sleep(node.relay.coalescing_period()).await;
        node.relay.leader().is_flush_scheduled = false;
        flush(&node);
    })
    .detach();
}

fn flush(node: &Arc<FleetNode>) {
    let mut leader = node.relay.leader();
    let batches = leader.relays.take_batches(node.now());
    let output = leader.relays.take_output();
    drop(leader);
    carry_out(node, output);
    for (relay, number, batch) in batches {
        let node = Arc::clone(node);
        spawn(async move { send_batch(&node, relay, number, batch).await }).detach();
    }
}

async fn send_batch(node: &Arc<FleetNode>, relay: NodeId, number: u64, batch: Batch) {
    // The process may have been suspended since the batch was made. Without the lease the leader
    // makes none of these calls itself either; a probe orders nothing.
    if !batch.actions.is_empty() && !node.is_leading() {
        let now = node.now();
        return settle(node, |relays| relays.handle_unsent(now, &relay, number));
    }
    let message = RelayBatch { leader: node.id.clone(), batch };
    let result = call_peer::<_, Ack>(node, &relay, path::RELAY, &message, MESSAGE_TIMEOUT).await;
    let now = node.now();
    match &result {
        Ok(ack) => settle(node, |relays| relays.handle_ack(now, &relay, number, *ack)),
        Err(error) => {
            event!(info, "relay-unanswered", relay = relay, problem = error);
            let is_not_sent = error.is_not_sent();
            settle(node, |relays| relays.handle_failure(now, &relay, number, is_not_sent));
        }
    }
}

/// Changes the state of the relays and carries out what follows.
fn settle(node: &Arc<FleetNode>, change: impl FnOnce(&mut Relays)) {
    let mut leader = node.relay.leader();
    change(&mut leader.relays);
    let output = leader.relays.take_output();
    let must_flush =
        leader.relays.has_queued() && !std::mem::replace(&mut leader.is_flush_scheduled, true);
    drop(leader);
    carry_out(node, output);
    if must_flush {
        schedule_flush(node);
    }
}

fn carry_out(node: &Arc<FleetNode>, output: RelayOutput) {
    for event in output.events {
        log_event(event);
    }
    for action in output.direct {
        calls::execute(node, action);
    }
    let Some(replica) = &node.replica else { return };
    for result in output.results {
        match result.outcome {
            CallOutcome::Poll(report) => replica.send(ReplicaEvent::Poll(result.call, report)),
            CallOutcome::Order(response) => {
                replica.send(ReplicaEvent::Order(result.call, response));
            }
            CallOutcome::Dropped => replica.send(ReplicaEvent::Dropped(result.call)),
        }
    }
}

fn log_event(relay_event: RelayEvent) {
    match relay_event {
        RelayEvent::Live { relay, live } => event!(info, "relay-live", relay = relay, live = live),
        RelayEvent::Lost { relay, live, repeated, lost } => {
            event!(
                warn,
                "relay-lost",
                relay = relay,
                live = live,
                repeated = repeated,
                lost = lost
            );
        }
        RelayEvent::ResultsLost { relay, count } => {
            event!(warn, "relay-results-lost", relay = relay, count = count);
        }
    }
}
