//! Replicas that ask to join the membership.
//!
//! A join request may arrive late by any time, and its sender may have lost its disk since, so that
//! another replica runs on the same node. A request therefore only names the node. The leader asks
//! that node which replica it runs; the answer counts only while the membership holds the same
//! replicas of the node as when it was asked. The answering replica has then run after them, so it
//! is the newest one.

use crate::clock::Uptime;
use crate::name::NodeId;
use crate::process::{Membership, ReplicaId};
use derive_more::Display;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long the answer to a query is awaited before the node is asked again.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// A query to a node about the replica that it runs.
///
/// # Examples
///
/// ```
/// use goldcrestring::process::leader::Leader;
/// use goldcrestring::process::{JoinDecision, Membership, ReplicaId};
/// use goldcrestring::quantity::Incarnation;
/// use std::time::Duration;
///
/// let lost = ReplicaId { node: "entry-1".parse()?, incarnation: Incarnation::new(2) };
/// let live = ReplicaId { incarnation: Incarnation::new(3), ..lost.clone() };
/// let membership = Membership { voters: [live.clone()].into(), ..Membership::default() };
/// let mut leader = Leader::new(Duration::ZERO);
/// let query = leader.handle_join_request(Duration::ZERO, &lost, &membership);
/// let query = query.expect("a query, as the membership does not contain the replica");
/// assert_eq!(query.node, live.node);
/// let decision = leader.handle_identity(query, Some(live), &membership);
/// assert_eq!(decision, JoinDecision::AlreadyMember);
/// # Ok::<(), goldcrestring::name::NameError>(())
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IdentityQuery {
    /// The node to ask.
    pub node: NodeId,
    /// The node's replicas in the membership when the query was made.
    members: BTreeSet<ReplicaId>,
}

/// What the answer to an [`IdentityQuery`] means for the membership.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum JoinDecision {
    /// The replica is added as a learner, in place of the node's earlier replicas.
    #[display("accepted")]
    Accepted,
    /// The membership contains the replica; the request was sent by an earlier one of its node.
    #[display("already-member")]
    AlreadyMember,
    /// The node's replicas in the membership have changed since the query.
    #[display("membership-changed")]
    MembershipChanged,
    /// The node did not answer. Its replica repeats its request if it still has to join.
    #[display("no-answer")]
    NoAnswer,
}

/// A replica that has answered a query of the leader.
#[derive(Clone, Debug)]
struct Candidate {
    replica: ReplicaId,
    /// The node's replicas in the membership when the query was made.
    members: BTreeSet<ReplicaId>,
}

/// The join requests that a leader handles.
#[derive(Debug, Default)]
pub(super) struct JoinRequests {
    /// Until when the answer of each queried node is awaited.
    awaited_until: BTreeMap<NodeId, Uptime>,
    candidates: BTreeMap<NodeId, Candidate>,
}

impl JoinRequests {
    /// Returns the query to send, unless the replica is a member or the node has just been asked.
    pub(super) fn handle_request(
        &mut self,
        now: Uptime,
        replica: &ReplicaId,
        membership: &Membership,
    ) -> Option<IdentityQuery> {
        let is_awaited = self.awaited_until.get(&replica.node).is_some_and(|until| now < *until);
        if is_awaited || membership.contains(replica) {
            return None;
        }
        let node = replica.node.clone();
        self.awaited_until.insert(node.clone(), now + QUERY_TIMEOUT);
        Some(IdentityQuery { members: replicas_of(&node, membership), node })
    }

    /// Handles the answer to a query; `replica` is `None` if the node did not answer.
    pub(super) fn handle_identity(
        &mut self,
        query: IdentityQuery,
        replica: Option<ReplicaId>,
        membership: &Membership,
    ) -> JoinDecision {
        let IdentityQuery { node, members } = query;
        self.awaited_until.remove(&node);
        let Some(replica) = replica.filter(|replica| replica.node == node) else {
            return JoinDecision::NoAnswer;
        };
        if membership.contains(&replica) {
            return JoinDecision::AlreadyMember;
        }
        if members != replicas_of(&node, membership) {
            return JoinDecision::MembershipChanged;
        }
        self.candidates.insert(node, Candidate { replica, members });
        JoinDecision::Accepted
    }

    /// Returns the next membership with a candidate as a learner, if there is a candidate.
    pub(super) fn next_membership(&mut self, current: &Membership) -> Option<Membership> {
        self.candidates.retain(|node, candidate| candidate.members == replicas_of(node, current));
        let Candidate { replica, .. } = self.candidates.values().next()?;
        let mut next = current.clone();
        next.voters.retain(|known| known.node != replica.node);
        next.learners.retain(|known| known.node != replica.node);
        next.learners.insert(replica.clone());
        (!next.voters.is_empty()).then_some(next)
    }
}

fn replicas_of(node: &NodeId, membership: &Membership) -> BTreeSet<ReplicaId> {
    membership.replicas().filter(|replica| replica.node == *node).cloned().collect()
}
