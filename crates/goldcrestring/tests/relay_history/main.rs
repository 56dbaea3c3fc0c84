//! Random histories of a leader, its relays and backend servers under one clock: lost, late and
//! repeated messages, suspended and restarted relays, cut links, new terms.

mod faults;
mod model;
mod sim;

use faults::{Faults, Mutation};
use sim::Sim;

const SEED_COUNT: u64 = 400;

/// The simulated time of a history, in milliseconds.
const HISTORY_MS: u64 = 30_000;

fn run(seed: u64, faults: Faults, mutation: Option<Mutation>) -> Sim {
    let mut sim = Sim::new(seed, faults, mutation);
    sim.run(HISTORY_MS);
    sim
}

/// Guards the promises of docs/design/platform.md about relays: one result for each call, no call sent
/// under an earlier term or long after its decision, leases extended while the leader reaches its
/// backend servers.
#[test]
fn calls_and_leases_hold_while_relays_fail() {
    let (mut relayed, mut repeated) = (0, 0);
    for seed in 0..SEED_COUNT {
        let sim = run(seed, Faults::Relays, None);
        relayed += sim.relayed;
        repeated += sim.repeated;
    }
    println!("{SEED_COUNT} seeds, {relayed} calls by relays, {repeated} repeated by the leader");
    assert!(relayed > 30_000, "{relayed} calls by relays");
    assert!(repeated > 1_000, "{repeated} calls repeated by the leader");
}

/// A backend server that only its relay reaches must keep its lease.
#[test]
fn leases_hold_while_the_leader_cannot_reach_its_servers() {
    for seed in 0..SEED_COUNT {
        run(seed, Faults::DirectPaths, None);
    }
}

/// Each rule broken on purpose must be noticed in some history.
#[test]
fn mutations_are_detected() {
    for mutation in Mutation::ALL {
        let faults = mutation.faults();
        let is_detected = (0..SEED_COUNT).any(|seed| {
            std::panic::catch_unwind(|| {
                run(seed, faults, Some(mutation));
            })
            .is_err()
        });
        assert!(is_detected, "{mutation:?} is not detected");
    }
}
