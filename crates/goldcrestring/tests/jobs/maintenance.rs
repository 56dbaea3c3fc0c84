//! Maintenance waves and disruption budgets.

use crate::fleet::{Fleet, step};
use crate::server::Server;
use crate::{long_running_step, task};
use goldcrestring::job::JobCommand;
use std::collections::BTreeSet;
use std::time::Duration;

/// Regression: a new leader counted tasks that no backend server had reported yet as not running,
/// and stopped two tasks of one step at the same time.
#[test]
fn a_new_leader_keeps_the_disruption_budget_of_long_running_tasks() {
    let mut fleet = Fleet::new(9, 6);
    fleet.submit(1, vec![long_running_step(4, 1)], None);
    fleet.run_for(Duration::from_secs(1));
    let is_busy = |server: &&Server| !server.running.is_empty();
    let busy = fleet.servers.values().filter(is_busy);
    let machines = busy.filter_map(|server| server.record.machine.clone()).collect();
    let deadline_ms = fleet.wall_ms() + 20_000;
    fleet.apply(&JobCommand::Wave { number: 1, machines, cap: 4, deadline_ms });
    for _ in 0..12 {
        fleet.elect_leader();
        for _ in 0..30 {
            fleet.run_for(Duration::from_millis(5));
            let missing = (0..4).filter(|index| fleet.running(&task(1, *index)) == 0).count();
            assert!(missing <= 1, "{missing} tasks are not running");
        }
    }
}

/// Regression: a disruption budget of zero was treated as a budget of one task.
#[test]
fn a_disruption_budget_of_zero_lets_maintenance_interrupt_nothing() {
    let mut fleet = Fleet::new(19, 4);
    fleet.submit(1, vec![long_running_step(2, 0)], None);
    fleet.run_for(Duration::from_secs(1));
    let machines = fleet.machines.keys().cloned().collect();
    let deadline_ms = fleet.wall_ms() + 20_000;
    fleet.apply(&JobCommand::Wave { number: 1, machines, cap: 1, deadline_ms });
    fleet.run_for(Duration::from_secs(12));
    assert!(fleet.servers.values().all(|server| server.stops.is_empty()));
    assert_eq!(fleet.running_in_total(), 2);
}

/// Regression: tasks on an unreachable backend server were still counted as running.
#[test]
fn tasks_on_an_unreachable_server_count_against_the_disruption_budget() {
    let mut fleet = Fleet::new(11, 8);
    fleet.submit(1, vec![long_running_step(4, 1)], None);
    fleet.run_for(Duration::from_secs(1));
    let busy: Vec<u32> =
        (0..8).filter(|number| !fleet.server(*number).running.is_empty()).collect();
    fleet.server(busy[0]).is_reachable = false;
    fleet.run_for(Duration::from_millis(1_500));
    let machines = busy[1..].iter().map(|number| format!("m-{number}").into()).collect();
    let deadline_ms = fleet.wall_ms() + 20_000;
    fleet.apply(&JobCommand::Wave { number: 1, machines, cap: 3, deadline_ms });
    for _ in 0..100 {
        fleet.run_for(Duration::from_millis(5));
        let running_count = fleet
            .servers
            .values()
            .filter(|server| server.is_reachable && !server.running.is_empty())
            .count();
        assert!(running_count >= 3, "{running_count} tasks run on reachable backend servers");
    }
}

/// Regression: a standby VM runs no backend server that could report again, so its maintenance
/// never ended and used up the wave's cap.
#[test]
fn standby_vms_do_not_block_a_maintenance_wave() {
    let mut fleet = Fleet::new(12, 3);
    for number in 10..14 {
        fleet.add_standby_vm(number);
    }
    fleet.run_for(Duration::from_secs(4));
    let machines = fleet.machines.keys().cloned().collect();
    let deadline_ms = fleet.wall_ms() + 20_000;
    fleet.apply(&JobCommand::Wave { number: 1, machines, cap: 2, deadline_ms });
    fleet.run_for(Duration::from_secs(16));
    assert_eq!(fleet.maintenance_starts.len(), 7);
    assert!(fleet.state.waves()[&1].is_completed());
}

#[test]
fn no_more_vms_are_down_than_the_cap_of_the_wave() {
    let mut fleet = Fleet::new(13, 6);
    fleet.submit(1, vec![long_running_step(4, 1)], None);
    let machines = fleet.machines.keys().cloned().collect();
    let deadline_ms = fleet.wall_ms() + 20_000;
    fleet.apply(&JobCommand::Wave { number: 1, machines, cap: 2, deadline_ms });
    for _ in 0..4_000 {
        fleet.run_for(Duration::from_millis(5));
        assert!(fleet.in_maintenance.len() <= 2);
    }
    assert!(fleet.state.waves()[&1].is_completed());
    assert_eq!(fleet.maintenance_starts.iter().collect::<BTreeSet<_>>().len(), 6);
}

/// Regression: an order that was proposed but not committed did not count against the wave's cap once
/// a VM with a lower ID was drained, so that a leader with slow commits took too many VMs down.
#[test]
fn no_more_vms_are_down_than_the_cap_of_the_wave_while_commits_are_slow() {
    let mut fleet = Fleet::new(17, 24);
    fleet.commit_delay = Duration::from_millis(200);
    for number in 0..24 {
        let duration = Duration::from_millis(300 + 170 * (number * 7 % 24));
        fleet.submit(number, vec![step(1, 4_000)], Some(duration));
    }
    fleet.run_for(Duration::from_millis(500));
    let machines = fleet.machines.keys().cloned().collect();
    let deadline_ms = fleet.wall_ms() + 20_000;
    fleet.apply(&JobCommand::Wave { number: 1, machines, cap: 6, deadline_ms });
    for _ in 0..4_000 {
        fleet.run_for(Duration::from_millis(5));
        let down = &fleet.in_maintenance;
        assert!(down.len() <= 6, "{} VMs are down at {:?}: {down:?}", down.len(), fleet.now);
    }
    assert!(fleet.state.waves()[&1].is_completed());
    assert_eq!(fleet.maintenance_starts.iter().collect::<BTreeSet<_>>().len(), 24);
}
