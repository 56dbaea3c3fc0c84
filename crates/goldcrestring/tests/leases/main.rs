//! Configuration leases and allowances in a simulation with lost, delayed and reordered messages,
//! crashes, freezes, clock-rate errors and leader changes; invariants are checked at every step.

mod sim;

use sim::{Mutation, Sim};

const SEED_COUNT: u64 = 400;

#[test]
fn limits_and_leases_hold_without_faults() {
    let mut sim = Sim::new(1);
    sim.run(10_000);
    // Twenty units for ten seconds allow 133 tasks of 1.5 s each.
    assert!(sim.started > 120, "{} tasks started", sim.started);
    sim.heal_and_check_limit();
}

#[test]
fn limits_and_leases_hold_under_faults() {
    let mut started = 0;
    for seed in 0..SEED_COUNT {
        let mut sim = Sim::new(seed);
        sim.enable_faults();
        sim.run(20_000);
        sim.heal_and_check_limit();
        started += sim.started;
    }
    println!("{SEED_COUNT} seeds, {started} tasks started");
}

#[test]
fn burst_on_one_entry_gets_the_units_of_idle_entries() {
    let mut sim = Sim::new(3);
    sim.run(3_000);
    sim.limit_demand_to_first_entry();
    // The tasks of the other entries run for up to 1.5 s more.
    sim.run(2_000);
    assert_eq!(sim.ceiling_of_first_entry(), sim::LIMIT);
}

#[test]
fn mutations_are_detected() {
    for mutation in Mutation::ALL {
        let is_detected = (0..SEED_COUNT).any(|seed| {
            let run = std::panic::catch_unwind(|| {
                let mut sim = Sim::new(seed);
                sim.mutate(mutation);
                sim.enable_faults();
                sim.run(20_000);
            });
            run.is_err()
        });
        assert!(is_detected, "{mutation:?} is not detected");
    }
}
