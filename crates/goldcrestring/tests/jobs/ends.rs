//! Every way in which a run may end, for each kind of step, in the first run and in later ones.

use crate::fleet::{Fleet, job_id, step};
use crate::server::Server;
use crate::task;
use goldcrestring::job::command::{EndKind, RunEnd};
use goldcrestring::job::state::JobPhase;
use goldcrestring::job::{JobCommand, ServerId, StepSpec, TaskId};
use std::time::Duration;

const ALL_ENDS: [EndKind; 6] = [
    EndKind::Done,
    EndKind::Failed,
    EndKind::Stopped,
    EndKind::LeaseExpired,
    EndKind::GangMemberEnded,
    EndKind::GangIncomplete,
];

/// The maximum number of failed attempts in the plan of the simulated fleet.
const MAX_ATTEMPTS: u32 = 3;

/// Time in which the leader learns of an end and starts the task again.
const RESTART_TIME: Duration = Duration::from_millis(1_500);

const TASKS: u32 = 3;

fn tasks() -> impl Iterator<Item = TaskId> {
    (0..TASKS).map(|index| task(1, index))
}

fn long_running() -> StepSpec {
    StepSpec { is_long_running: true, ..step(TASKS, 500) }
}

fn gang(step: StepSpec) -> StepSpec {
    StepSpec { is_gang: true, ..step }
}

/// Starts a job of one step whose tasks run until they are ended.
fn start(seed: u64, step: StepSpec) -> Fleet {
    let mut fleet = Fleet::new(seed, 8);
    fleet.submit(1, vec![step], None);
    fleet.run_for(RESTART_TIME);
    assert_all_run(&fleet, 1);
    fleet
}

fn assert_all_run(fleet: &Fleet, attempt: u32) {
    assert_eq!(fleet.phase(1), JobPhase::Active);
    for task in tasks() {
        assert_eq!(fleet.running(&task), 1, "attempt {attempt} of {task}");
        let known = fleet.state.task(&task).expect("a known task");
        assert_eq!(known.attempt, attempt, "{task}");
    }
}

/// Ends the run of a task, wherever it is.
fn end(fleet: &mut Fleet, task: &TaskId, kind: EndKind) {
    for server in fleet.servers.values_mut() {
        server.end_run(task, kind);
    }
}

/// Ends the runs of all tasks and waits for the restart.
fn end_all(fleet: &mut Fleet, kind: EndKind) {
    for task in tasks() {
        end(fleet, &task, kind);
    }
    fleet.run_for(RESTART_TIME);
}

fn run_until(fleet: &mut Fleet, is_reached: impl Fn(&Fleet) -> bool) {
    let until = fleet.now + Duration::from_secs(20);
    while !is_reached(fleet) {
        assert!(fleet.now < until, "{:?}", fleet.state.job(&job_id(1)));
        fleet.run_for(Duration::from_millis(5));
    }
}

/// Ends the first task on a backend server that is cut off, which reports it once the task runs elsewhere.
fn end_while_cut_off(fleet: &mut Fleet, kind: EndKind) {
    let first = task(1, 0);
    let attempt = |fleet: &Fleet| fleet.state.task(&first).map(|task| task.attempt);
    run_until(fleet, |fleet| fleet.running(&first) == 1);
    let before = attempt(fleet);
    let runs = |(id, server): (&ServerId, &Server)| {
        server.running.contains_key(&first).then(|| id.clone())
    };
    let id = fleet.servers.iter().find_map(runs).expect("a running task");
    let server = fleet.servers.get_mut(&id).expect("a known backend server");
    server.is_reachable = false;
    server.end_run(&first, kind);
    run_until(fleet, |fleet| attempt(fleet) != before);
    fleet.run_for(Duration::from_millis(100));
    let server = fleet.servers.get_mut(&id).expect("a known backend server");
    server.is_reachable = true;
    server.record.sequence += 1;
    let record = server.record.clone();
    fleet.announce(&record);
    fleet.run_for(RESTART_TIME);
}

/// Guards against long-running tasks that are not started again, and whose job is shown as completed,
/// once their runs have ended as done (review 9). They run until the job is cancelled, however runs end.
#[test]
fn long_running_tasks_are_restarted_however_they_end() {
    for (seed, step) in [(110, long_running()), (111, gang(long_running()))] {
        for kind in ALL_ENDS {
            let mut fleet = start(seed, step.clone());
            for attempt in 2..6 {
                end_all(&mut fleet, kind);
                assert_all_run(&fleet, attempt);
                if attempt == 3 {
                    fleet.elect_leader();
                    fleet.run_for(RESTART_TIME);
                    assert_all_run(&fleet, attempt);
                }
            }
            fleet.apply(&JobCommand::Cancel { id: job_id(1), at_ms: 1 });
            fleet.run_for(RESTART_TIME);
            assert_eq!((fleet.running_in_total(), fleet.phase(1)), (0, JobPhase::Cancelled));
            assert_eq!(fleet.concurrent_runs, [], "{kind}");
        }
    }
}

/// The same where one task of several ends: the others of a step run on, those of a gang end with it.
#[test]
fn one_long_running_task_is_restarted_beside_the_others() {
    for kind in ALL_ENDS {
        let mut fleet = start(112, long_running());
        for attempt in 2..5 {
            end(&mut fleet, &task(1, 1), kind);
            fleet.run_for(RESTART_TIME);
            let attempts =
                tasks().map(|task| fleet.state.task(&task).map_or(0, |task| task.attempt));
            assert_eq!(attempts.collect::<Vec<_>>(), [1, attempt, 1], "{kind}");
            assert_eq!(fleet.running_in_total(), 3);
        }
        let mut fleet = start(113, gang(long_running()));
        for attempt in 2..5 {
            end(&mut fleet, &task(1, 1), kind);
            end(&mut fleet, &task(1, 0), EndKind::GangMemberEnded);
            end(&mut fleet, &task(1, 2), EndKind::GangMemberEnded);
            fleet.run_for(RESTART_TIME);
            assert_all_run(&fleet, attempt);
        }
    }
}

/// Guards against a long-running task that is given up and whose run is then reported as done: it is
/// not completed by that, and runs again.
#[test]
fn a_late_report_that_a_long_running_task_is_done_does_not_complete_it() {
    let mut fleet = start(114, long_running());
    end_while_cut_off(&mut fleet, EndKind::Done);
    assert_eq!((fleet.phase(1), fleet.running_in_total()), (JobPhase::Active, 3));
    assert_eq!(fleet.state.task(&task(1, 0)).map(|task| task.attempt), Some(2));
    assert_eq!(fleet.concurrent_runs, []);
}

/// Batch tasks run again after each end but `done`; only ends `failed` count as attempts.
#[test]
fn batch_tasks_complete_once_done_and_fail_once_their_attempts_have_failed() {
    for (seed, step) in [(115, step(TASKS, 500)), (116, gang(step(TASKS, 500)))] {
        for kind in ALL_ENDS {
            let mut fleet = start(seed, step.clone());
            for attempt in 2..6 {
                end_all(&mut fleet, kind);
                match kind {
                    EndKind::Done => {
                        assert_eq!(fleet.phase(1), JobPhase::Completed);
                        break;
                    }
                    EndKind::Failed if attempt > MAX_ATTEMPTS => {
                        assert_eq!(fleet.phase(1), JobPhase::Failed);
                        break;
                    }
                    _ => assert_all_run(&fleet, attempt),
                }
            }
            assert_eq!(fleet.concurrent_runs, [], "{kind}");
            assert_eq!(fleet.repeated_starts, [], "{kind}");
        }
    }
}

/// Guards against a gang whose attempts are used up by its first run, and whose job is shown as failed:
/// the failures of its members were counted one by one.
#[test]
fn failures_of_the_members_of_a_gang_count_once() {
    for is_late in [false, true] {
        let mut fleet = start(117, gang(step(TASKS, 500)));
        for attempt in 2..=MAX_ATTEMPTS + 1 {
            for task in tasks() {
                end(&mut fleet, &task, EndKind::Failed);
                if is_late {
                    fleet.run_for(Duration::from_millis(50));
                }
            }
            fleet.run_for(RESTART_TIME);
            if attempt <= MAX_ATTEMPTS {
                assert_all_run(&fleet, attempt);
            }
        }
        assert_eq!(fleet.phase(1), JobPhase::Failed);
        assert_eq!(fleet.running_in_total(), 0);
    }
}

/// Guards against a task that is started after all its attempts have failed: the failure of a run that
/// had been given up, as its backend server was cut off, was reported late and not counted.
#[test]
fn a_late_report_that_a_run_has_failed_counts_as_an_attempt() {
    for (seed, step) in [(118, step(TASKS, 500)), (119, gang(step(TASKS, 500)))] {
        let mut fleet = start(seed, step);
        for _ in 1..MAX_ATTEMPTS {
            end_while_cut_off(&mut fleet, EndKind::Failed);
            assert_eq!(fleet.phase(1), JobPhase::Active);
        }
        let starts = |fleet: &Fleet| {
            let starts = fleet.servers.values().flat_map(|server| &server.starts);
            starts.filter(|(_, started, _)| *started == task(1, 0)).count()
        };
        assert_eq!(starts(&fleet), 3);
        end(&mut fleet, &task(1, 0), EndKind::Failed);
        fleet.run_for(RESTART_TIME);
        assert_eq!((starts(&fleet), fleet.phase(1)), (3, JobPhase::Failed));
        assert_eq!(fleet.running_in_total(), 0);
    }
}

/// A late failure changes nothing once the task is done, and long-running tasks have no limit.
#[test]
fn a_late_failure_of_a_task_that_may_not_fail_changes_nothing() {
    let mut fleet = start(120, step(TASKS, 500));
    for _ in 0..2 {
        end_while_cut_off(&mut fleet, EndKind::Failed);
    }
    end(&mut fleet, &task(1, 0), EndKind::Done);
    fleet.run_for(RESTART_TIME);
    assert!(fleet.state.step(&task(1, 0).step).is_some_and(|(_, step)| step.is_completed(0)));
    assert_eq!(fleet.phase(1), JobPhase::Active);
    let mut fleet = start(121, long_running());
    for _ in 0..5 {
        end_while_cut_off(&mut fleet, EndKind::Failed);
        assert_eq!((fleet.phase(1), fleet.running_in_total()), (JobPhase::Active, 3));
    }
}

/// Guards against a failure that is counted twice: its backend server was forgotten in between, and
/// lists what it does not know to be recorded again.
#[test]
fn a_failure_that_is_reported_twice_counts_once() {
    let mut fleet = start(122, step(TASKS, 500));
    let first = task(1, 0);
    let runs = |server: &&Server| server.running.contains_key(&first);
    let record = fleet.servers.values().find(runs).expect("a running task").record.clone();
    let server = record.incarnation.clone();
    let (kind, checkpoint) = (EndKind::Failed, None);
    let end = RunEnd { number: 1, task: Some(first), attempt: 1, kind, checkpoint };
    for _ in 0..3 {
        let ends = vec![end.clone()];
        fleet.state.apply(&JobCommand::RunsEnded { server: server.clone(), ends, at_ms: 1 });
        fleet.state.apply(&JobCommand::ServerGone(server.clone()));
        fleet.state.apply(&JobCommand::Server(Box::new(record.clone())));
    }
    assert_eq!(fleet.state.task(&first).map(|task| task.failures), Some(1));
    assert_eq!(fleet.phase(1), JobPhase::Active);
}
