//! Every way in which a run may end, for each kind of step, in the first run and in later ones.

use crate::fleet::{Fleet, job_id, step};
use crate::task;
use goldcrestring::job::command::EndKind;
use goldcrestring::job::state::JobPhase;
use goldcrestring::job::{StepSpec, TaskId};
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
    let mut fleet = Fleet::new(seed, 3);
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

/// Ends the first task on a backend server that is cut off, which reports it once the task runs elsewhere.
fn end_while_cut_off(fleet: &mut Fleet, kind: EndKind) {
    let first = task(1, 0);
    let attempt = |fleet: &Fleet| fleet.state.task(&first).map(|task| task.attempt);
    let before = attempt(fleet);
    let number = (0..3).find(|at| fleet.server(*at).running.contains_key(&first));
    let number = number.expect("a running task");
    fleet.server(number).is_reachable = false;
    fleet.server(number).end_run(&first, kind);
    while attempt(fleet) == before {
        fleet.run_for(Duration::from_millis(5));
    }
    fleet.run_for(Duration::from_millis(100));
    fleet.server(number).is_reachable = true;
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
            fleet.apply(&goldcrestring::job::JobCommand::Cancel { id: job_id(1), at_ms: 1 });
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
