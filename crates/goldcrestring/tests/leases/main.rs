//! Configuration leases and allowances under lost, repeated, late and crossed messages, crashes,
//! freezes, clock-rate errors and changes of the leader; checked as a history at every step.

mod sim;

use sim::{Mutation, Sim};

const SEEDS: u64 = 400;

#[test]
fn limits_and_leases_hold_in_calm_weather() {
    let mut sim = Sim::new(1);
    sim.run(10_000);
    // Twenty units for ten seconds are 133 tasks of one and a half seconds.
    assert!(sim.started > 120, "{} tasks started", sim.started);
    sim.settle();
}

#[test]
fn limits_and_leases_hold_under_faults() {
    let mut started = 0;
    for seed in 0..SEEDS {
        let mut sim = Sim::new(seed);
        sim.faults();
        sim.run(20_000);
        sim.settle();
        started += sim.started;
    }
    println!("{SEEDS} histories, {started} tasks started");
}

#[test]
fn burst_on_one_entry_gets_the_units_of_idle_ones() {
    let mut sim = Sim::new(3);
    sim.run(3_000);
    sim.only_first_entry_asks();
    // The tasks of the others run for one and a half seconds more.
    sim.run(2_000);
    assert_eq!(sim.ceiling_of_first_entry(), sim::LIMIT);
}

#[test]
fn broken_rules_are_noticed() {
    for mutation in Mutation::ALL {
        let is_noticed = (0..SEEDS).any(|seed| {
            let run = std::panic::catch_unwind(|| {
                let mut sim = Sim::new(seed);
                sim.mutate(mutation);
                sim.faults();
                sim.run(20_000);
            });
            run.is_err()
        });
        assert!(is_noticed, "{mutation:?} is not noticed");
    }
}
