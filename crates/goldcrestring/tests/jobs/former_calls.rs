//! Calls to one incarnation of a backend server that the next one under the same ID carries out.

use crate::fleet::{CallFaults, Fleet, step};
use crate::{TASK_DURATION, long_running_step, task};
use goldcrestring::job::engine::Action;
use goldcrestring::job::state::JobPhase;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::ops::Range;
use std::time::Duration;

/// What the clock of the earlier incarnation shows at its start: far ahead of the next one's.
const EARLIER_CLOCK_START_MS: u64 = 5_000_000;

const LONG_TASK: Duration = Duration::from_secs(60);

/// Starts backend server 0 again while a start for its earlier incarnation is under way. Returns the
/// start.
fn restart_before_a_start(seed: u64) -> (Fleet, Action) {
    let mut fleet = Fleet::new(seed, 1);
    fleet.server(0).clock_start_ms = EARLIER_CLOCK_START_MS;
    fleet.run_for(Duration::from_millis(500));
    fleet.submit(1, vec![step(1, 1_000)], Some(LONG_TASK));
    let start = fleet.intercept_start();
    fleet.crash(0);
    fleet.restart_unannounced(&Fleet::record(0, 9));
    (fleet, start)
}

/// The same; the new incarnation carries the start out, and the leader gets no answer.
fn restart_under_a_start(seed: u64) -> (Fleet, Action) {
    let (mut fleet, start) = restart_before_a_start(seed);
    fleet.deliver(&start);
    assert_eq!(fleet.running(&task(1, 0)), 1);
    fleet.time_out_start(start.clone());
    (fleet, start)
}

/// Lets the leader start a long task on the new incarnation.
fn start_another_task(fleet: &mut Fleet) {
    fleet.announce(&Fleet::record(0, 9));
    fleet.submit(2, vec![long_running_step(1, 1)], None);
    fleet.run_for(Duration::from_millis(1_200));
    assert_eq!(fleet.running(&task(2, 0)), 1);
}

/// Adds a second backend server and checks that what ran on the first runs there in the end, and never
/// on both.
fn check_that_tasks_move_without_overlap(fleet: &mut Fleet) {
    // So late that the second one is not idle for long, which would send it to another pool.
    fleet.run_for(Duration::from_secs(3));
    fleet.restart(1, 1);
    fleet.run_for(Duration::from_secs(12));
    assert!(fleet.concurrent_runs.is_empty());
    assert!(fleet.server(1).running.contains_key(&task(2, 0)));
}

/// Guards against two runs of a task: a start for the earlier incarnation gave the new one the longest
/// lease there is, and the leader counted on the shorter one that it had issued.
#[test]
fn a_lease_set_by_a_start_for_the_earlier_incarnation_counts() {
    let (mut fleet, _) = restart_under_a_start(94);
    start_another_task(&mut fleet);
    fleet.server(0).is_reachable = false;
    check_that_tasks_move_without_overlap(&mut fleet);
}

/// The same for a leader elected after the start.
#[test]
fn a_lease_set_by_a_start_for_the_earlier_incarnation_counts_for_the_next_leader() {
    let (mut fleet, _) = restart_under_a_start(95);
    start_another_task(&mut fleet);
    fleet.server(0).is_reachable = false;
    fleet.elect_leader();
    check_that_tasks_move_without_overlap(&mut fleet);
}

/// Guards against a start for the earlier incarnation that reaches the new one seconds later, after it has
/// answered the leader, and sets the longest lease from then on.
#[test]
fn a_late_start_for_the_earlier_incarnation_sets_no_lease_once_the_new_one_has_answered() {
    let (mut fleet, start) = restart_under_a_start(96);
    start_another_task(&mut fleet);
    fleet.run_for(Duration::from_secs(3));
    fleet.deliver(&start);
    fleet.server(0).is_reachable = false;
    check_that_tasks_move_without_overlap(&mut fleet);
}

/// Guards against the release of a run that a start for the earlier incarnation may have begun, while the
/// new one has answered nothing: the start may be carried out for seconds, and set the longest lease.
#[test]
fn a_start_that_may_reach_an_incarnation_without_a_response_is_waited_for() {
    for is_leader_replaced in [false, true] {
        let (mut fleet, start) = restart_under_a_start(97);
        fleet.server(0).running.clear();
        fleet.server(0).is_reachable = false;
        fleet.announce(&Fleet::record(0, 9));
        fleet.run_for(Duration::from_millis(50));
        if is_leader_replaced {
            fleet.elect_leader();
        }
        fleet.run_for(Duration::from_secs(8));
        fleet.server(0).is_reachable = true;
        fleet.deliver(&start);
        fleet.server(0).is_reachable = false;
        fleet.restart(1, 1);
        fleet.submit(2, vec![long_running_step(1, 1)], None);
        fleet.run_for(Duration::from_secs(8));
        assert!(fleet.concurrent_runs.is_empty());
        assert_eq!(fleet.running(&task(1, 0)), 0, "the start may still be carried out");
        fleet.run_for(Duration::from_secs(6));
        assert_eq!(fleet.running(&task(1, 0)), 1, "the task starts again in the end");
    }
}

/// Guards against a restarted backend server that counts as restarted once more, and gets no starts, with
/// each stop that it answers before its first poll.
#[test]
fn a_stop_answered_before_the_first_poll_is_no_restart() {
    let (mut fleet, _) = restart_under_a_start(106);
    fleet.report_delay = Duration::from_millis(100);
    fleet.announce(&Fleet::record(0, 9));
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(fleet.suspected_restarts, 0);
    assert_eq!(fleet.running(&task(1, 0)), 1);
}

/// Guards against work that is given up for a backend server that only restarted: what it runs later has
/// the leases that the leader issued to it.
#[test]
fn a_restarted_server_completes_its_work() {
    let (mut fleet, _) = restart_under_a_start(98);
    fleet.announce(&Fleet::record(0, 9));
    fleet.submit(2, vec![step(4, 1_000)], Some(TASK_DURATION));
    fleet.run_for(Duration::from_secs(3));
    assert_eq!(fleet.phase(2), JobPhase::Completed);
    assert!(fleet.concurrent_runs.is_empty());
}

/// Guards against two runs of a task: a start was answered by the next incarnation, which was cut off
/// before a poll reached it, and the leader took the clock in the answer for that of the earlier one.
#[test]
fn a_lease_of_an_incarnation_that_only_answered_a_start_counts() {
    for (seed, clock_start_ms) in [(99, 5_000), (100, 2 * EARLIER_CLOCK_START_MS)] {
        let (mut fleet, start) = restart_before_a_start(seed);
        fleet.server(0).clock_start_ms = clock_start_ms;
        fleet.complete_order(start);
        fleet.server(0).is_reachable = false;
        fleet.run_for(Duration::from_secs(3));
        fleet.restart(1, 1);
        fleet.submit(2, vec![long_running_step(1, 1)], None);
        fleet.run_for(Duration::from_secs(9));
        assert!(fleet.concurrent_runs.is_empty());
        assert_eq!(fleet.running(&task(1, 0)), 1, "the task starts again in the end");
    }
}

/// Guards against a task that runs again after it was done: a poll for the earlier incarnation made the
/// next one forget an end that the leader had never seen.
#[test]
fn ends_of_a_restarted_server_are_not_forgotten_by_a_poll_for_the_earlier_incarnation() {
    check_that_ends_are_not_forgotten(false);
}

/// The same for the first poll of a leader that was elected meanwhile.
#[test]
fn ends_of_a_restarted_server_are_not_forgotten_by_the_first_poll_of_a_leader() {
    check_that_ends_are_not_forgotten(true);
}

fn check_that_ends_are_not_forgotten(is_leader_replaced: bool) {
    let mut fleet = Fleet::new(101, 1);
    fleet.submit(1, vec![step(4, 1_000)], Some(TASK_DURATION));
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(fleet.phase(1), JobPhase::Completed);
    let id = Fleet::record(0, 1).incarnation.id;
    assert_eq!(fleet.state.servers()[&id].recorded_end, 4);
    fleet.submit(2, vec![step(1, 1_000)], Some(TASK_DURATION));
    let start = fleet.intercept_start();
    // Polls fail for as long as the task runs on the next incarnation.
    fleet.crash(0);
    fleet.restart_unannounced(&Fleet::record(0, 9));
    fleet.deliver(&start);
    fleet.server(0).is_reachable = false;
    fleet.time_out_start(start);
    fleet.run_for(Duration::from_millis(2_600));
    if is_leader_replaced {
        fleet.elect_leader();
    }
    fleet.server(0).is_reachable = true;
    fleet.run_for(Duration::from_millis(700));
    fleet.announce(&Fleet::record(0, 9));
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(fleet.phase(2), JobPhase::Completed);
    assert_eq!(fleet.server(0).starts.len(), 1);
}

/// Guards against work that waits for the longest lease after a change of leaders, because its backend
/// server restarted long ago.
#[test]
fn a_server_that_restarted_long_ago_keeps_its_work_no_longer_than_others() {
    let (mut fleet, _) = restart_under_a_start(102);
    start_another_task(&mut fleet);
    fleet.run_for(Duration::from_secs(8));
    fleet.elect_leader();
    fleet.server(0).is_reachable = false;
    fleet.restart(1, 1);
    fleet.run_for(Duration::from_millis(4_500));
    assert!(fleet.server(1).running.contains_key(&task(2, 0)));
    assert!(fleet.concurrent_runs.is_empty());
}

/// Guards against a task that is started again while a backend server still runs it: its notice to leave
/// got no acknowledgement.
#[test]
fn a_notice_to_leave_releases_no_run_before_its_lease_has_expired() {
    let mut fleet = Fleet::new(103, 1);
    fleet.submit(1, vec![long_running_step(1, 1)], None);
    fleet.run_for(Duration::from_secs(1));
    fleet.restart(1, 1);
    fleet.engine.as_mut().expect("a leader").handle_leave(&Fleet::record(0, 1).incarnation.id);
    fleet.server(0).is_reachable = false;
    fleet.run_for(Duration::from_secs(6));
    assert!(fleet.concurrent_runs.is_empty());
    assert!(fleet.server(1).running.contains_key(&task(1, 0)));
}

/// Guards against a late notice of an earlier incarnation that ends what its successor runs.
#[test]
fn a_late_notice_to_leave_ends_nothing_that_still_runs() {
    let mut fleet = Fleet::new(105, 1);
    fleet.submit(1, vec![long_running_step(1, 1)], None);
    fleet.run_for(Duration::from_secs(1));
    let starts = fleet.server(0).starts.clone();
    fleet.engine.as_mut().expect("a leader").handle_leave(&Fleet::record(0, 1).incarnation.id);
    fleet.run_for(Duration::from_secs(3));
    assert_eq!(fleet.running(&task(1, 0)), 1);
    assert_eq!(fleet.server(0).starts, starts);
}

/// A workload on backend servers that restart under their IDs at once, are cut off within a second and come
/// back, with late orders, slow clocks and changes of leaders, drawn from a seed.
fn run_restarts_and_cuts(seed: u64, late_orders_survive: bool) -> Fleet {
    let mut fleet = Fleet::new(seed, 4);
    fleet.has_random_clocks = true;
    fleet.late_orders_survive = late_orders_survive;
    fleet.faults = CallFaults { late_percent: 3, lost_percent: 3 };
    // As long as a backend server may take to answer a poll.
    fleet.report_delay = Duration::from_millis(300);
    let mut rng = SmallRng::seed_from_u64(seed);
    for number in 0..4 {
        fleet.server(number).clock_start_ms = rng.random_range(0..10_000_000);
    }
    fleet.submit(1_000, vec![long_running_step(3, 1)], None);
    for round in 0..40_u64 {
        fleet.submit(round, vec![step(2, 1_000)], Some(Duration::from_secs(8)));
        let victim = rng.random_range(0..4);
        match rng.random_range(0..8) {
            0..3 => {
                fleet.crash(victim);
                fleet.run_for(Duration::from_millis(rng.random_range(0..100)));
                fleet.restart_unannounced(&Fleet::record(victim, 10 + round));
                fleet.run_for(Duration::from_millis(rng.random_range(0..400)));
                fleet.announce(&Fleet::record(victim, 10 + round));
                fleet.run_for(Duration::from_millis(rng.random_range(0..900)));
                fleet.server(victim).is_reachable = rng.random_bool(0.3);
            }
            3 => fleet.elect_leader(),
            4 => fleet.server(victim).clock_per_mille = 980,
            _ => {
                for number in 0..4 {
                    fleet.server(number).is_reachable = true;
                    let record = fleet.server(number).record.clone();
                    fleet.announce(&record);
                }
            }
        }
        fleet.run_for(Duration::from_millis(500));
    }
    fleet
}

fn check_that_no_task_runs_twice(seeds: Range<u64>, late_orders_survive: bool) {
    for seed in seeds {
        let fleet = run_restarts_and_cuts(seed, late_orders_survive);
        assert!(fleet.concurrent_runs.is_empty(), "seed {seed}: {:?}", fleet.concurrent_runs[0]);
        assert_eq!(fleet.repeated_starts, [], "seed {seed}");
    }
}

/// Guards against two runs of a task while backend servers restart and are cut off.
#[test]
fn no_task_runs_twice_while_servers_restart_and_are_cut_off() {
    check_that_no_task_runs_twice(0..200, false);
}

/// Guards against a task that starts again after it was done: a start without an answer is carried out
/// seconds later, by an incarnation that no call has reached yet.
#[test]
fn no_task_starts_again_by_a_late_order_to_the_incarnation_before() {
    check_that_no_task_runs_twice(0..400, true);
}
