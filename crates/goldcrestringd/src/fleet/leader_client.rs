//! Client for calls to the current leader.

use super::node::FleetNode;
use crate::log::event;
use goldcrestring::clock::Uptime;
use goldcrestring::name::NodeId;
use goldcrestring::request::leader_call::{self, CallEffect, FinalAnswer, LeaderCall, Verdict};
use goldcrestring_wire::client::{CallError, Reuse};
use goldcrestring_wire::codec;
use goldcrestring_wire::http::HttpRequest;
use goldcrestring_wire::job_message::{LeaderResponse, path};
use goldcrestring_wire::runtime::sleep;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;

/// Delay before the next attempt to reach or find the leader.
const SEARCH_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Interval between polls for the current leader.
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Maximum interval between polls for the current leader while its answers arrive.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(4_000);

/// Timeout of a poll for the current leader.
const LEADER_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a follower that did not respond gets no calls.
const FRONT_EXCLUSION: Duration = Duration::from_secs(3);

/// Timeout of one attempt to call the leader.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(900);

/// What a response means for the call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum AnswerKind {
    /// The receiver is not the leader and did not execute the call; it names the leader, if known.
    Redirect(Option<NodeId>),
    /// The receiver can't tell whether the call was or will be executed.
    Open,
    /// The leader's answer.
    Answer(Verdict),
}

/// A response of a replica to a call for the leader.
pub(crate) trait LeaderAnswer {
    /// Returns what the response means for the call.
    fn kind(&self) -> AnswerKind;

    /// Whether the response is a refusal.
    fn is_refusal(&self) -> bool {
        self.kind() == AnswerKind::Answer(Verdict::Refused)
    }
}

/// What is known about a call before its first attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CallHead {
    /// Path of the call at the leader.
    pub(crate) path: &'static str,
    /// The request number in the logs.
    pub(crate) request: u64,
    /// What executing the call does.
    pub(crate) effect: CallEffect,
    /// Time after which no attempt is made.
    pub(crate) deadline: Uptime,
    /// Whether attempts go to followers, which hand the call over.
    pub(crate) may_use_front: bool,
}

/// Calls the leader, following redirects and retrying until the deadline.
///
/// # Errors
///
/// Fails if no leader has answered by the deadline, or if the leader refused a change of which an
/// earlier attempt may still be executed.
pub(crate) async fn call_leader<Req, Resp>(
    node: &FleetNode,
    head: CallHead,
    message: &Req,
) -> leader_call::Result<FinalAnswer<Resp>>
where
    Req: Serialize + Sync,
    Resp: DeserializeOwned + LeaderAnswer,
{
    let mut call = LeaderCall::new(head.effect);
    node.record_call();
    let mut round = 0;
    loop {
        let now = node.now();
        if now >= head.deadline {
            return Err(call.give_up());
        }
        let front = head.may_use_front.then(|| front(node, head.request, round)).flatten();
        if let Some(target) = front.clone().or_else(|| next_target(node, round)) {
            let timeout = (head.deadline - now).min(ATTEMPT_TIMEOUT);
            match call_peer::<Req, Resp>(node, &target, head.path, message, timeout).await {
                Ok(response) => match response.kind() {
                    AnswerKind::Answer(verdict) => {
                        if call.attempts() > 0 {
                            log_attempt(head, &call, &target, &verdict.to_string());
                        }
                        let mut leadership = node.leadership();
                        leadership.last_contact_at = Some(node.now());
                        if front.is_none() {
                            leadership.leader = Some(target);
                        }
                        return call.answer(response, verdict);
                    }
                    AnswerKind::Open => {
                        call.record_lost();
                        log_attempt(head, &call, &target, "unknown");
                        clear_leader(node, &target, "the outcome is unknown");
                        if !node.try_retry() {
                            return Err(call.give_up());
                        }
                    }
                    AnswerKind::Redirect(leader) => {
                        call.record_not_received();
                        log_attempt(head, &call, &target, "redirected");
                        let is_other = leader.as_ref().is_some_and(|leader| *leader != target);
                        // A follower without a leader finds the next one sooner than this process.
                        if front.is_none() || leader.is_some() {
                            node.leadership().leader = leader;
                        }
                        if is_other && front.is_none() && round == 0 {
                            round += 1;
                            continue;
                        }
                    }
                },
                Err(error) => {
                    if error.is_not_sent() {
                        call.record_not_received();
                    } else {
                        call.record_lost();
                    }
                    let problem = error.to_string();
                    log_attempt(head, &call, &target, &problem);
                    clear_leader(node, &target, &problem);
                    if !error.is_not_sent() && !node.try_retry() {
                        return Err(call.give_up());
                    }
                    if front.is_some() {
                        let until = node.now() + FRONT_EXCLUSION;
                        node.leadership().excluded_fronts.insert(target, until);
                    }
                }
            }
        }
        round += 1;
        sleep(SEARCH_RETRY_DELAY).await;
    }
}

/// Logs an attempt, unless it is the first and was answered.
fn log_attempt(head: CallHead, call: &LeaderCall, target: &NodeId, outcome: &str) {
    event!(
        info,
        "leader-attempt",
        request = head.request,
        effect = head.effect,
        attempts = call.attempts(),
        target = target,
        outcome = outcome,
        is_open = call.is_open(),
    );
}

/// Chooses a follower for an attempt, in turn; `None` if no leader or no follower is known.
fn front(node: &FleetNode, request: u64, round: usize) -> Option<NodeId> {
    let now = node.now();
    let mut leadership = node.leadership();
    leadership.excluded_fronts.retain(|_, until| now < *until);
    let leader = leadership.leader.as_ref()?;
    let is_front = |id: &&NodeId| *id != leader && !leadership.excluded_fronts.contains_key(*id);
    let fronts: Vec<_> = leadership.replicas.iter().filter(is_front).collect();
    let turn = usize::try_from(request).unwrap_or(0).wrapping_add(round);
    let at = turn.checked_rem(fronts.len())?;
    fronts.get(at).map(|id| (*id).clone())
}

/// Returns the node to call: the known leader, otherwise each replica in turn.
fn next_target(node: &FleetNode, attempt: usize) -> Option<NodeId> {
    let known = node.leadership().leader.clone();
    if known.is_some() {
        return known;
    }
    let replicas = node.replicas();
    (!replicas.is_empty()).then(|| replicas[attempt % replicas.len()].clone())
}

/// Forgets the leader after a failed call, unless another leader is known by now.
fn clear_leader(node: &FleetNode, target: &NodeId, problem: &str) {
    let mut leadership = node.leadership();
    if leadership.leader.as_ref() == Some(target) {
        leadership.leader = None;
        event!(warn, "leader-lost", leader = target, problem = problem);
    }
}

/// Sends a message to a peer and decodes its response.
///
/// # Errors
///
/// Fails if the peer's name is not an IP address, if the message can't be encoded, or if no valid
/// response arrives in time.
pub(crate) async fn call_peer<Req: Serialize + Sync, Resp: DeserializeOwned>(
    node: &FleetNode,
    peer: &NodeId,
    path: &str,
    message: &Req,
    timeout: Duration,
) -> Result<Resp, CallError> {
    let unspecified = std::net::SocketAddr::from(([0, 0, 0, 0], 0));
    let not_sent = |address, problem: String| CallError::NotSent { address, problem };
    let address = node.settings().peer_address(peer).ok_or_else(|| {
        not_sent(unspecified, format!("the peer name {peer} is not an IP address"))
    })?;
    let body = codec::encode(message).map_err(|error| not_sent(address, error.to_string()))?;
    let response =
        node.client.call(address, HttpRequest::peer(path, body), timeout, Reuse::Allowed).await;
    if let Err(CallError::NoResponse { .. }) = &response {
        // The other idle connections to this address may have failed as well.
        node.client.close_idle(address);
    }
    let response = response?;
    let no_response = |problem: String| CallError::NoResponse { address, problem };
    if !response.is_success() {
        return Err(no_response(format!("the peer responded with status {}", response.status)));
    }
    codec::decode(&response.body).map_err(|error| no_response(error.to_string()))
}

/// Polls for the current leader until the process ends.
pub(crate) async fn track_leader(node: Arc<FleetNode>) {
    let mut polled_at = Uptime::ZERO;
    loop {
        let now = node.now();
        let last_contact_at = node.leadership().last_contact_at;
        let is_in_touch = last_contact_at.is_some_and(|at| now < at + LEADER_POLL_INTERVAL);
        // Answers to calls show that the leader leads; the poll then only refreshes the replicas.
        let is_skipped = is_in_touch && now < polled_at + MAX_POLL_INTERVAL;
        if !is_skipped {
            polled_at = now;
        }
        let is_known = is_skipped || find_leader(&node).await;
        sleep(if is_known { LEADER_POLL_INTERVAL } else { SEARCH_RETRY_DELAY }).await;
    }
}

/// Polls the known replicas in turn until one is the leader. Returns whether one is.
async fn find_leader(node: &FleetNode) -> bool {
    for replica in node.replicas() {
        let result =
            call_peer::<(), LeaderResponse>(node, &replica, path::LEADER, &(), LEADER_POLL_TIMEOUT)
                .await;
        let Ok(response) = result else {
            let mut leadership = node.leadership();
            if leadership.leader.as_ref() == Some(&replica) {
                leadership.leader = None;
                event!(warn, "leader-lost", leader = replica);
            }
            continue;
        };
        let mut leadership = node.leadership();
        if !response.replicas.is_empty() {
            leadership.replicas = response.replicas;
        }
        if response.is_leading {
            if leadership.leader.as_ref() != Some(&replica) {
                event!(info, "leader-found", leader = replica);
            }
            leadership.leader = Some(replica);
            leadership.last_contact_at = Some(node.now());
            return true;
        }
        if response.leader.is_some() {
            leadership.leader = response.leader;
        }
    }
    false
}
