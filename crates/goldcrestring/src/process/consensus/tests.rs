//! Tests of proposals, and of what a follower knows of its leader.

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

fn id(name: &str) -> ReplicaId {
    ReplicaId { node: name.parse().unwrap(), incarnation: Incarnation::new(1) }
}

fn follower() -> Consensus {
    let membership = Membership { voters: [id("a"), id("b")].into(), ..Membership::default() };
    let snapshot = Snapshot { membership, ..Snapshot::default() };
    let restored = RestoredState { snapshot, ..RestoredState::default() };
    Consensus::new(id("a"), ConsensusSettings::default(), restored, Duration::ZERO)
}

fn append(committed: u64, has_lease: bool) -> Request {
    Request::Append(AppendRequest {
        term: Term::new(1),
        leader: id("b"),
        previous_index: LogIndex::ZERO,
        previous_term: Term::ZERO,
        entries: Vec::new(),
        committed: LogIndex::new(committed),
        has_lease,
    })
}

/// Guards against a follower that answers announcements for a leader which was cut off.
#[test]
fn a_message_without_the_leaders_lease_does_not_count_as_contact() {
    let (mut follower, start) = (follower(), Duration::from_secs(2));
    follower.handle_request(start, append(0, false));
    assert_eq!(follower.leader_contact_age(start), None);
    follower.handle_request(start, append(0, true));
    let later = start + Duration::from_millis(90);
    follower.handle_request(later, append(0, false));
    assert_eq!(follower.leader_contact_age(later), Some(Duration::from_millis(90)));
}

/// Regression: a replica that was shutting down was elected and left half a second later, so that another
/// election was needed.
#[test]
fn a_replica_that_is_shutting_down_stands_for_no_election() {
    let (mut follower, start) = (follower(), Duration::from_secs(2));
    follower.handle_request(start, append(0, true));
    assert_eq!(follower.transfer_leadership(start), None);
    follower.take_effects();
    for seconds in 3..20 {
        follower.tick(Duration::from_secs(seconds));
    }
    assert!(follower.take_effects().requests.is_empty());
    follower.handle_request(Duration::from_secs(20), Request::TimeoutNow { term: Term::new(1) });
    assert_eq!(follower.term(), Term::new(1));
}
