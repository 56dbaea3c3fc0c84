//! The replicated log under every fault at every message.
//!
//! A scenario takes a small cluster through commits, a snapshot, a membership change and a
//! leadership transfer. A first run without faults counts the messages of each kind; the scenario
//! then runs once for each message and each fault. Safety is checked at every step, progress at the
//! end of every run.

mod disk;
mod fault;
mod membership;
mod sim;

use fault::{Fault, MessageKind, Mutation};
use sim::Sim;
use std::collections::BTreeMap;
use std::time::Duration;

const SEED: u64 = 7;

#[test]
fn scenario_passes_without_faults() {
    let mut sim = Sim::new(3, SEED);
    sim.run_scenario();
    assert!(sim.committed_commands() >= 40);
}

#[test]
fn every_fault_at_every_message_preserves_the_log() {
    let mut baseline = Sim::new(3, SEED);
    baseline.run_scenario();
    let counts = baseline.sent_counts.clone();
    let mut combinations: BTreeMap<(MessageKind, Fault), usize> = BTreeMap::new();
    for (&kind, &count) in &counts {
        for fault in Fault::ALL {
            for position in 0..count {
                let mut sim = Sim::new(3, SEED);
                sim.inject(kind, position, fault);
                sim.run_scenario();
                *combinations.entry((kind, fault)).or_default() += 1;
            }
        }
    }
    for ((kind, fault), runs) in &combinations {
        println!("{kind:?} x {fault:?}: {runs} runs");
    }
    println!(
        "total: {} combinations, {} runs",
        combinations.len(),
        combinations.values().sum::<usize>()
    );
    assert_eq!(combinations.len(), MessageKind::ALL.len() * Fault::ALL.len());
}

#[test]
fn two_faults_together_preserve_the_log() {
    let kinds = [MessageKind::AppendRequest, MessageKind::AppendResponse];
    let mut runs = 0;
    for first in Fault::ALL {
        for second in Fault::ALL {
            for position in [5, 60, 150] {
                let mut sim = Sim::new(3, SEED);
                sim.inject(kinds[0], position, first);
                sim.inject(kinds[1], position + 7, second);
                sim.run_scenario();
                runs += 1;
            }
        }
    }
    println!("two faults together: {runs} runs");
}

#[test]
fn random_loss_delay_and_crashes_preserve_the_log() {
    for seed in 0..200 {
        let mut sim = Sim::new(if seed % 2 == 0 { 3 } else { 5 }, seed);
        sim.run_random_faults();
        sim.heal_and_check_progress();
    }
}

#[test]
fn replaced_disk_rejoins_as_a_learner_and_a_second_loss_right_after_is_survived() {
    for seed in 0..20 {
        let mut sim = Sim::new(3, seed);
        sim.run_until_leader();
        sim.commit(20);
        let leader = sim.leader().expect("a leader");
        let lost = sim.ids().into_iter().find(|id| *id != leader).expect("a follower");
        let replacement = sim.replace_disk(&lost);
        sim.promote_replacement(&lost, &replacement);
        // The other original follower fails right after the repair, so every majority includes the
        // replacement.
        let second = sim.ids().into_iter().find(|id| *id != leader && *id != replacement);
        sim.crash(&second.expect("another follower"));
        sim.commit(10);
        assert!(sim.committed_commands() >= 30);
    }
}

/// Regression: a replica with an empty disk was sent up to 1,024 entries at once, again and again, although
/// each request timed out, so that it never became a voter and the next lost disk cost the quorum.
#[test]
fn an_empty_replica_catches_up_although_large_requests_time_out() {
    let mut sim = Sim::new(3, SEED);
    sim.run_until_leader();
    sim.commit(600);
    let leader = sim.leader().expect("a leader");
    let lost = sim.ids().into_iter().find(|id| *id != leader).expect("a follower");
    let replacement = sim.replace_disk(&lost);
    sim.max_delivered_entries = 40;
    sim.promote_replacement(&lost, &replacement);
    sim.commit(10);
}

/// Regression: a snapshot that took longer than the timeout of an append request was sent again and
/// again while the first was still on its way.
#[test]
fn a_slow_snapshot_is_sent_once() {
    let mut sim = Sim::new(3, SEED);
    sim.run_until_leader();
    sim.commit(50);
    sim.compact_everywhere();
    let leader = sim.leader().expect("a leader");
    let lost = sim.ids().into_iter().find(|id| *id != leader).expect("a follower");
    let replacement = sim.replace_disk(&lost);
    sim.snapshot_latency = Duration::from_secs(4);
    sim.promote_replacement(&lost, &replacement);
    assert_eq!(sim.sent_counts[&MessageKind::SnapshotRequest], 1);
}

#[test]
fn one_way_partition_of_the_leader_ends_its_lease() {
    for seed in 0..20 {
        let mut sim = Sim::new(3, seed);
        sim.run_until_leader();
        sim.commit(5);
        let old_leader = sim.leader().expect("a leader");
        // The old leader receives messages, but none of its own are delivered.
        sim.block_outgoing(&old_leader);
        sim.run(4_000);
        let leader = sim.leader().expect("a new leader");
        assert_ne!(leader, old_leader);
        assert!(!sim.is_leader(&old_leader));
        sim.heal_and_check_progress();
    }
}

#[test]
fn leases_of_two_leaders_never_overlap() {
    for seed in 0..40 {
        let mut sim = Sim::new(3, seed);
        sim.run_random_faults();
        assert!(sim.lease_observations > 0);
        // `Sim::check_leases` runs at every step.
        sim.heal_and_check_progress();
    }
}

#[test]
fn mutations_are_detected() {
    for mutation in [Mutation::ForgetVotes, Mutation::LoseLastEntries, Mutation::ReuseIncarnation] {
        let is_detected = (0..400).any(|seed| {
            let result = std::panic::catch_unwind(|| {
                let mut sim = Sim::new(3, seed);
                sim.mutate(mutation);
                sim.run_random_faults();
                sim.heal_and_check_progress();
            });
            result.is_err()
        });
        assert!(is_detected, "{mutation:?} is not detected");
    }
}
