//! Configuration leases and allowances in a simulation with lost, delayed and reordered messages,
//! crashes, freezes, clock-rate errors and leader changes; invariants are checked at every step.

mod renewal;
mod sim;

use renewal::Fault;
use sim::{Mutation, Sim};

use std::time::Duration;

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

// Guards against an entry that refuses requests under a healthy leader, because one lost or late
// message leaves no time to renew the lease.
#[test]
fn one_lost_or_late_message_does_not_cost_the_lease() {
    for phase_ms in 0..50 {
        let phase = Duration::from_millis(phase_ms);
        // The first request can't be repeated before a lease is held.
        for number in 1..6 {
            for fault in [
                Fault::RequestLost(number),
                Fault::ResponseLost(number),
                Fault::ResponseLate(number, Duration::from_millis(250)),
            ] {
                let observed = renewal::renew(Duration::from_secs(10), phase, Some(fault));
                assert!(observed.without_lease.is_zero(), "{phase_ms} ms, {fault:?}: {observed:?}");
            }
        }
    }
}

// Guards against more lease traffic at the leader of an idle cluster, which has little room left.
#[test]
fn idle_entry_sends_no_request_sooner_than_the_leader_responds() {
    for phase_ms in 0..50 {
        let time = Duration::from_secs(60);
        let observed = renewal::renew(time, Duration::from_millis(phase_ms), None);
        assert!(observed.without_lease.is_zero(), "{phase_ms} ms: {observed:?}");
        // A minute has room for 91 delays of 650 ms, 5 ms and a round trip of 2 ms.
        assert!(observed.requests <= 93, "{phase_ms} ms: {observed:?}");
    }
}
