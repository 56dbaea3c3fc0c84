//! Backend servers that crash and start again under the same ID.

use crate::fleet::{Fleet, step};
use crate::{TASK_DURATION, long_running_step, task};
use goldcrestring::job::state::{JobPhase, ServerRecord};
use goldcrestring::job::{Resources, ServerId, ServerIncarnation, StepSpec};
use std::collections::BTreeSet;
use std::time::Duration;

/// Time from a restart to the first announcement, in which a poll reaches the new incarnation.
const FIRST_ANNOUNCEMENT: Duration = Duration::from_millis(900);

fn with_label(label: &str, count: u32) -> StepSpec {
    StepSpec { required_label: Some(label.into()), ..step(count, 1_000) }
}

fn with_labels(record: ServerRecord, labels: &[&str]) -> ServerRecord {
    let labels = labels.iter().map(|label| (*label).into()).collect();
    ServerRecord { labels, ..record }
}

/// Crashes backend server 0 and starts it again with `record`; polls reach it before its first
/// announcement.
fn crash_and_restart(fleet: &mut Fleet, record: &ServerRecord) {
    fleet.crash(0);
    fleet.run_for(Duration::from_secs(2));
    fleet.restart_unannounced(record);
    fleet.run_for(FIRST_ANNOUNCEMENT);
}

/// Guards against a backend server that gets no work for as long as it lives: its earlier incarnation
/// was draining when it crashed.
#[test]
fn a_server_that_crashed_while_draining_gets_work_after_its_restart() {
    let mut fleet = Fleet::new(90, 2);
    let first = with_labels(Fleet::record(0, 1), &["big"]);
    fleet.announce(&ServerRecord { is_draining: true, sequence: 2, ..first.clone() });
    fleet.run_for(Duration::from_secs(1));
    let second = with_labels(Fleet::record(0, 9), &["big"]);
    crash_and_restart(&mut fleet, &second);
    fleet.announce(&second);
    fleet.submit(1, vec![with_label("big", 2)], Some(TASK_DURATION));
    fleet.run_for(Duration::from_secs(3));
    assert_eq!(fleet.phase(1), JobPhase::Completed);
}

/// Guards against tasks that start by the labels and the capacity of the earlier incarnation before
/// those of the new one are known.
#[test]
fn nothing_starts_on_a_restarted_server_before_its_announcement() {
    let mut fleet = Fleet::new(91, 2);
    let first = with_labels(Fleet::record(0, 1), &["big"]);
    fleet.announce(&ServerRecord { sequence: 2, ..first });
    fleet.run_for(Duration::from_secs(1));
    let capacity = Resources { cpu_millis: 1_000, memory_mb: 1_000, accelerators: 0 };
    let second = ServerRecord { capacity, ..with_labels(Fleet::record(0, 9), &["small"]) };
    fleet.crash(0);
    fleet.submit(1, vec![with_label("big", 2)], Some(TASK_DURATION));
    fleet.submit(2, vec![step(20, 1_000)], Some(Duration::from_secs(20)));
    crash_and_restart(&mut fleet, &second);
    let id = ServerId::from("i-0");
    assert!(fleet.state.servers()[&id].is_provisional);
    assert_eq!(fleet.server(0).starts, []);
    fleet.announce(&second);
    fleet.run_for(Duration::from_secs(1));
    assert_eq!(fleet.state.servers()[&id].labels, BTreeSet::from(["small".into()]));
    assert_eq!(fleet.server(0).starts.len(), 1);
    assert_eq!(fleet.overloads, []);
}

/// Guards against a provisional record that displaces the announcement of the same incarnation.
#[test]
fn an_announcement_is_not_displaced_by_a_provisional_record() {
    let mut fleet = Fleet::new(92, 1);
    let id = ServerId::from("i-0");
    let announced = ServerRecord { sequence: 0, ..Fleet::record(0, 9) };
    let stored = ServerRecord { has_predecessor: true, ..announced.clone() };
    let provisional = Fleet::record(0, 1).next_incarnation(9);
    for (first, second) in [(&announced, &provisional), (&provisional, &announced)] {
        let mut fleet = Fleet::new(93, 1);
        for record in [first, second] {
            let record = Box::new((*record).clone());
            fleet.apply(&goldcrestring::job::JobCommand::Server(record));
        }
        assert_eq!(fleet.state.servers()[&id], stored);
    }
    fleet.apply(&goldcrestring::job::JobCommand::Server(Box::new(provisional)));
    assert!(!fleet.state.is_known_announcement(&announced));
}

/// Guards against two runs of a task: an announcement of another program on the same VM, for a pool that
/// nobody configured, ended the record of the backend server there.
#[test]
fn an_announcement_for_an_unknown_pool_ends_no_server() {
    let mut fleet = Fleet::new(104, 1);
    fleet.submit(1, vec![long_running_step(1, 1)], None);
    fleet.run_for(Duration::from_secs(1));
    fleet.restart(1, 1);
    let other = Fleet::record(0, 9);
    let incarnation = ServerIncarnation { id: "x-77".into(), ..other.incarnation };
    fleet.announce(&ServerRecord { incarnation, pool: "disk-watch".into(), ..other });
    fleet.run_for(Duration::from_secs(3));
    assert!(fleet.concurrent_runs.is_empty());
    assert_eq!(fleet.running(&task(1, 0)), 1);
    let id = ServerId::from("i-0");
    assert!(fleet.state.servers().contains_key(&id));
}
