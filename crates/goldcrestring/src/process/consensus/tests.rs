//! Tests of proposals.

use super::*;
use crate::quantity::Incarnation;

// Guards against the report of a membership change in progress where there is none.
#[test]
fn membership_change_before_the_first_commit_of_a_term_is_rejected_with_its_own_reason() {
    let id = ReplicaId { node: "entry-1".parse().unwrap(), incarnation: Incarnation::new(1) };
    let membership = Membership { voters: [id.clone()].into(), ..Membership::default() };
    let snapshot = Snapshot { membership: membership.clone(), ..Snapshot::default() };
    let restored = RestoredState { snapshot, ..RestoredState::default() };
    let mut replica = Consensus::new(id, ConsensusSettings::default(), restored, Duration::ZERO);
    let now = Duration::from_secs(2);
    replica.tick(now);
    assert!(replica.is_leader());
    let error = replica.propose_membership(now, membership.clone()).unwrap_err();
    assert_eq!(error.to_string(), "the leader has not committed an entry of its term yet");
    replica.mark_persisted(replica.last_index());
    assert!(replica.propose_membership(now, membership.clone()).is_ok());
    let error = replica.propose_membership(now, membership).unwrap_err();
    assert_eq!(error, ProposeError::MembershipPending);
}
