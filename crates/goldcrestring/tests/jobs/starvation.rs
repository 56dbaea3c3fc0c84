//! Jobs that can never run must not keep others from running.

use crate::TASK_DURATION;
use crate::fleet::{Fleet, step};
use goldcrestring::job::StepSpec;
use goldcrestring::job::state::JobPhase;
use std::time::Duration;

/// The processor capacity of each backend server, in thousandths of a core.
const CAPACITY: u64 = 4_000;

fn long_running(count: u32, cpu_millis: u64) -> StepSpec {
    StepSpec { is_long_running: true, ..step(count, cpu_millis) }
}

/// Runs `hopeless` long-running steps beside ordinary jobs, and asserts that those complete.
fn assert_others_complete(fleet: &mut Fleet, hopeless: Vec<StepSpec>) {
    fleet.submit(1, hopeless, None);
    fleet.run_for(Duration::from_millis(500));
    for number in 2..12 {
        fleet.submit(number, vec![step(2, 500)], Some(TASK_DURATION));
    }
    fleet.run_for(Duration::from_secs(10));
    for number in 2..12 {
        assert_eq!(fleet.phase(number), JobPhase::Completed, "job {number}");
    }
}

/// Guards against accepted jobs that never start: each step of a long-running job that is larger than
/// any backend server reserved one.
#[test]
fn long_running_tasks_larger_than_any_server_reserve_none() {
    let mut fleet = Fleet::new(80, 4);
    assert_others_complete(&mut fleet, vec![long_running(1, CAPACITY + 1_000); 4]);
}

/// The same for tasks that fit an empty backend server, but not beside the long-running tasks on
/// any, which are not preempted.
#[test]
fn long_running_tasks_without_room_beside_others_reserve_no_server() {
    let mut fleet = Fleet::new(81, 4);
    let present = StepSpec { max_per_server: 1, ..long_running(4, 1_000) };
    fleet.submit(20, vec![present], None);
    fleet.run_for(Duration::from_secs(1));
    assert_others_complete(&mut fleet, vec![long_running(1, CAPACITY); 4]);
}

/// The same for gangs whose members fit one by one, but not all at once.
#[test]
fn long_running_gangs_larger_than_the_pool_reserve_no_server() {
    let mut fleet = Fleet::new(82, 4);
    let gang = StepSpec { is_gang: true, ..long_running(9, 2_000) };
    assert_others_complete(&mut fleet, vec![gang; 4]);
}

/// A long-running task that fits beside the others still gets its backend server, by preemption.
#[test]
fn a_long_running_task_that_fits_preempts_batch_tasks() {
    let mut fleet = Fleet::new(83, 2);
    fleet.submit(1, vec![step(8, 1_000)], Some(Duration::from_secs(600)));
    fleet.run_for(Duration::from_secs(1));
    fleet.submit(2, vec![long_running(1, CAPACITY)], None);
    fleet.run_for(Duration::from_secs(3));
    let task = crate::task(2, 0);
    assert_eq!(fleet.running(&task), 1);
}
