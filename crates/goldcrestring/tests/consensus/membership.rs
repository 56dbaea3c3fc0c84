//! Who belongs to the replicated log, whatever becomes of join requests and of the leaders that handle them.

use crate::sim::{LeaderLoss, MembershipSim, Replacement};
use goldcrestring::process::consensus::{ConsensusSettings, RestoredState};
use goldcrestring::process::leader::Leader;
use goldcrestring::process::{Consensus, JoinDecision, Membership, ReplicaId, Snapshot};
use goldcrestring::quantity::Incarnation;
use std::time::Duration;

/// The number of random runs.
const SEEDS: u64 = 60;

/// The number of faults in a random run.
const EVENTS: usize = 12;

/// Returns the leader and the other replicas.
fn leader_and_followers(membership: &mut MembershipSim) -> (ReplicaId, Vec<ReplicaId>) {
    membership.sim.run_until_leader();
    let leader = membership.sim.leader().expect("a leader");
    let followers = membership.sim.ids().into_iter().filter(|id| *id != leader).collect();
    (leader, followers)
}

/// Regression: the join request of a replica whose disk was lost, delivered late, removed the live replica
/// of its node from the voters; two lost disks then lost all that was acknowledged.
#[test]
fn a_late_join_request_of_a_lost_replica_does_not_remove_the_live_one() {
    let mut membership = MembershipSim::new(1);
    let (leader, followers) = leader_and_followers(&mut membership);
    let lost = membership.lose_disk(&followers[0]);
    membership.run_until_complete();
    let live = membership.lose_disk(&lost);
    membership.run_until_complete();
    for to in [&leader, &followers[1]] {
        for replica in [&lost, &followers[0]] {
            membership.deliver_join_request(&to.node, replica.clone());
            membership.run(1_000);
            assert!(membership.voters().contains(&live), "{:?}", membership.voters());
        }
    }
    membership.check_final_fault();
}

/// Of several requests of one node, the one with the lowest incarnation was handled first, whichever replica
/// was alive.
#[test]
fn of_two_requests_of_one_node_the_live_replica_is_added() {
    for is_live_lower in [false, true] {
        let mut membership = MembershipSim::new(2);
        let (leader, followers) = leader_and_followers(&mut membership);
        let live = membership.lose_disk(&followers[0]);
        let number = if is_live_lower { live.incarnation.get() + 5 } else { 0 };
        let lost = ReplicaId { incarnation: Incarnation::new(number), ..live.clone() };
        membership.deliver_join_request(&leader.node, lost.clone());
        membership.deliver_join_request(&leader.node, live.clone());
        membership.deliver_join_request(&leader.node, lost);
        membership.run_until_complete();
        membership.run(2_000);
        assert!(membership.voters().contains(&live), "{:?}", membership.voters());
    }
}

/// The answer of a node is as late as any message: it counts only if the node's replicas in the membership
/// are the same as when the node was asked, and for as long as they stay so.
#[test]
fn a_late_answer_of_a_lost_replica_does_not_remove_the_live_one() {
    let replica = |node: &str, incarnation| ReplicaId {
        node: node.parse().expect("a node name"),
        incarnation: Incarnation::new(incarnation),
    };
    let leading = replica("entry-1", 1);
    let (lost, live) = (replica("entry-2", 2), replica("entry-2", 3));
    let before = Membership { voters: [leading.clone()].into(), ..Membership::default() };
    let after = Membership { learners: [live.clone()].into(), ..before.clone() };
    let snapshot = Snapshot { membership: before.clone(), ..Snapshot::default() };
    let restored = RestoredState { snapshot, ..RestoredState::default() };
    let start = Duration::ZERO;
    let mut consensus = Consensus::new(leading, ConsensusSettings::default(), restored, start);
    let now = Duration::from_secs(2);
    consensus.tick(now);
    let index = consensus.last_index();
    consensus.mark_persisted(index);

    let mut leader = Leader::new(now);
    let query = leader.handle_join_request(now, &lost, &before).expect("a query");
    assert_eq!(leader.handle_join_request(now, &live, &before), None, "one query at a time");
    let answer = Some(lost.clone());
    let decision = leader.handle_identity(query.clone(), answer.clone(), &after);
    assert_eq!(decision, JoinDecision::MembershipChanged);
    assert_eq!(leader.handle_identity(query.clone(), None, &before), JoinDecision::NoAnswer);
    let foreign = Some(replica("entry-3", 1));
    assert_eq!(leader.handle_identity(query.clone(), foreign, &before), JoinDecision::NoAnswer);

    assert_eq!(leader.handle_identity(query, answer, &before), JoinDecision::Accepted);
    let replace_after = Duration::from_secs(3);
    let planned = leader.plan_membership(now, &consensus, 1, replace_after);
    assert!(planned.is_some_and(|planned| planned.learners.contains(&lost)));
    consensus.propose_membership(now, after).expect("a leader without a pending change");
    assert_eq!(leader.plan_membership(now, &consensus, 1, replace_after), None);
}

/// Regression: a replica that joined at a leader that could not commit the change took itself for a member
/// for good, so that nobody called it and it never asked again.
#[test]
fn a_replica_that_joined_at_a_leader_that_was_cut_off_joins_again() {
    let mut membership = MembershipSim::new(3);
    let (leader, followers) = leader_and_followers(&mut membership);
    let joining = membership.lose_disk(&followers[0]);
    let others: Vec<_> = followers[1..].iter().map(|id| id.node.clone()).collect();
    membership.cut_off(&leader.node, &others);
    membership.run(2_500);
    membership.heal_cuts();
    membership.run_until_complete();
    assert!(membership.voters().contains(&joining));
    membership.check_final_fault();
}

/// Checks that all running replicas are voters after random faults, and that lost disks then lose nothing.
fn check_seed(seed: u64) {
    let mut membership = MembershipSim::new(seed);
    membership.run_random_faults(EVENTS);
    membership.run_until_complete();
    membership.check_final_fault();
}

/// Regression: a replica whose membership was changed without it never noticed, also after a restart.
#[test]
fn all_running_replicas_are_voters_again_after_random_faults() {
    for seed in 0..SEEDS {
        check_seed(seed);
    }
}

/// Runs more seeds by hand.
#[test]
#[ignore = "a long run; start it by hand after changes to the membership"]
fn all_running_replicas_are_voters_again_in_a_thousand_runs() {
    for seed in 0..1_000 {
        println!("seed {seed}");
        check_seed(seed);
    }
}

/// Plays replacements with this loss of the leader at many moments, beside the end of the replaced replica
/// before, right after and long after the start of the new one.
fn check_replacements(losses: &[LeaderLoss], losses_for_ms: &[u64]) {
    for &loss in losses {
        for &loss_for_ms in losses_for_ms {
            for gone_at_ms in [3_000, 5_000, 7_000] {
                for loss_at_ms in (1_800..9_000).step_by(300) {
                    let replacement = Replacement { loss, loss_at_ms, loss_for_ms, gone_at_ms };
                    let seed = loss_at_ms + loss_for_ms + gone_at_ms;
                    MembershipSim::new(seed).check_replacement(replacement);
                }
            }
        }
    }
}

/// Regression: each new leader waited 2.5 s from its election before it replaced a voter that had been gone
/// for long; two disks lost meanwhile lost all that was acknowledged.
#[test]
fn a_voter_that_is_gone_is_replaced_in_time_after_the_leader_is_lost() {
    let losses = [
        LeaderLoss::CutOff,
        LeaderLoss::Unheard,
        LeaderLoss::Deaf,
        LeaderLoss::Frozen,
        LeaderLoss::Restarted,
    ];
    check_replacements(&losses, &[500, 1_500, 2_500]);
}

/// Regression: candidates among which the votes were split waited as long as for the silence of a leader before
/// they tried again; after some rounds, the voter that was gone was replaced too late.
#[test]
fn a_voter_that_is_gone_is_replaced_in_time_after_split_votes() {
    let loss = LeaderLoss::CutOff;
    let replacement = Replacement { loss, loss_at_ms: 7_300, loss_for_ms: 500, gone_at_ms: 7_000 };
    MembershipSim::new(29_411).check_replacement(replacement);
}
