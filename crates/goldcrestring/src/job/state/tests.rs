//! Tests of the order in which jobs are submitted and cancelled, and in which runs end.

use super::{JobOutcome, JobPhase, JobState, ServerRecord, Task, TaskPhase};
use crate::job::command::{EndKind, ReleaseReason, RunEnd};
use crate::job::id::{DataCentreId, ServerIncarnation, StepId, TaskId};
use crate::job::resources::Resources;
use crate::job::{JobCommand, JobId, JobSpec, StepSpec};
use std::collections::BTreeSet;
use std::sync::Arc;

fn job() -> JobId {
    "00000000000000e1".parse().expect("an ID")
}

fn submit() -> JobCommand {
    let steps = vec![StepSpec { count: 2, ..StepSpec::default() }];
    let spec = Arc::new(JobSpec { steps, ..JobSpec::default() });
    JobCommand::Submit { id: job(), queue: "quotes".into(), team: None, spec, at_ms: 20 }
}

const fn cancel(id: JobId) -> JobCommand {
    JobCommand::Cancel { id, at_ms: 10 }
}

fn phase(state: &JobState) -> Option<JobPhase> {
    state.job(&job()).map(|job| job.phase)
}

/// Guards against a job that runs although its cancelling was acknowledged: an attempt to submit it
/// arrives later.
#[test]
fn a_job_cancelled_before_its_submission_arrives_does_not_run() {
    let mut state = JobState::default();
    assert_eq!(state.apply(&cancel(job())), JobOutcome::Cancelled { is_known: false });
    assert_eq!(phase(&state), None);
    state.apply(&submit());
    assert_eq!(phase(&state), Some(JobPhase::Cancelled));
    assert_eq!(state.active_jobs().count(), 0);
    state.apply(&submit());
    assert_eq!(phase(&state), Some(JobPhase::Cancelled));
}

/// Guards against a submission that is repeated after the job was cancelled and starts it again.
#[test]
fn a_job_cancelled_after_its_submission_stays_cancelled() {
    let mut state = JobState::default();
    state.apply(&submit());
    assert_eq!(state.apply(&cancel(job())), JobOutcome::Cancelled { is_known: true });
    state.apply(&submit());
    assert_eq!(phase(&state), Some(JobPhase::Cancelled));
    assert_eq!(state.active_jobs().count(), 0);
}

/// Guards against a replica that can't read a snapshot from before cancelled IDs were kept.
#[test]
fn a_snapshot_without_cancelled_ids_is_read() {
    let mut bytes = rmp_serde::to_vec(&JobState::default()).expect("encodable");
    // The last three of nine fields are empty maps and a zero between them, one byte long each.
    assert_eq!((bytes[0], bytes.pop(), bytes.pop()), (0x99, Some(0x80), Some(0x00)));
    assert_eq!(bytes.pop(), Some(0x80));
    bytes[0] = 0x96;
    assert_eq!(rmp_serde::from_slice::<JobState>(&bytes).expect("decodable"), JobState::default());
}

/// Guards against cancelled IDs of an earlier version, with wall-clock times in place of ticks, that never
/// expire.
#[test]
fn cancelled_ids_of_a_snapshot_without_ticks_expire() {
    let mut state = JobState::default();
    state.apply(&cancel(job()));
    let mut bytes = rmp_serde::to_vec(&state).expect("encodable");
    assert_eq!((bytes[0], bytes.pop(), bytes.pop()), (0x99, Some(0x80), Some(0x00)));
    assert_eq!(bytes.pop(), Some(0x00), "the tick of the cancellation");
    bytes[0] = 0x97;
    bytes.extend(rmp_serde::to_vec(&1_700_000_000_000_u64).expect("encodable"));
    let mut state: JobState = rmp_serde::from_slice(&bytes).expect("decodable");
    assert_eq!(state.cancelled_ids().get(&job()), Some(&1_700_000_000_000));
    for _ in 0..3 {
        assert_eq!(state.expired(1).count(), 0);
        state.apply(&JobCommand::RetentionTick);
    }
    assert_eq!(state.expired(1).collect::<Vec<_>>(), [job()]);
}

/// Guards against cancelled IDs that are kept for ever.
#[test]
fn cancelled_ids_are_forgotten() {
    let mut state = JobState::default();
    state.apply(&JobCommand::RetentionTick);
    state.apply(&cancel(job()));
    assert_eq!(state.cancelled_ids().get(&job()), Some(&1));
    state.apply(&JobCommand::Forget(vec![job()]));
    assert!(state.cancelled_ids().is_empty());
}

fn server(id: &str) -> ServerIncarnation {
    ServerIncarnation { id: id.into(), started_at_ms: 1 }
}

fn record(id: &str) -> JobCommand {
    JobCommand::Server(Box::new(ServerRecord {
        incarnation: server(id),
        address: "127.0.0.1:1".parse().expect("an address"),
        pool: "quotes".into(),
        data_centre: "dc-a".into(),
        machine: None,
        labels: BTreeSet::new(),
        capacity: Resources::default(),
        is_draining: false,
        sequence: 1,
        recorded_end: 0,
        is_provisional: false,
        has_predecessor: false,
    }))
}

fn task(index: u32) -> TaskId {
    TaskId { step: StepId { job: job(), occurrence: 0, step: 0 }, index }
}

fn start(index: u32, attempt: u32, id: &str) -> JobCommand {
    JobCommand::Start { task: task(index), attempt, server: server(id) }
}

fn release(index: u32, attempt: u32) -> JobCommand {
    JobCommand::Release { task: task(index), attempt, reason: ReleaseReason::LeaseExpired }
}

fn end(number: u64, index: u32, attempt: u32, kind: EndKind, id: &str) -> JobCommand {
    let end = RunEnd { number, task: Some(task(index)), attempt, kind, checkpoint: None };
    JobCommand::RunsEnded { server: server(id), ends: vec![end], at_ms: 30 }
}

fn current_task(state: &JobState, index: u32) -> Option<Task> {
    state.task(&task(index)).cloned()
}

/// A job of two tasks on servers `a` and `b`; the first task is assigned to `a`.
fn started_job() -> JobState {
    let mut state = JobState::default();
    for command in [record("a"), record("b"), submit(), start(0, 1, "a")] {
        state.apply(&command);
    }
    state
}

/// Guards against work that is run again although it has been done: the lease of a run was taken as
/// expired while the report of its end was late.
#[test]
fn a_completed_run_that_was_given_up_completes_its_task() {
    let mut state = started_job();
    assert_eq!(state.apply(&release(0, 1)), JobOutcome::Released(true));
    state.apply(&end(1, 0, 1, EndKind::Done, "a"));
    assert_eq!(current_task(&state, 0).map(|task| task.phase), Some(TaskPhase::Done));
    assert_eq!(state.apply(&start(0, 2, "b")), JobOutcome::Started(false));
}

/// Guards against a second run whose end counts again, or whose task waits once more.
#[test]
fn a_completed_run_that_was_given_up_makes_the_next_run_superfluous() {
    let mut state = started_job();
    for command in [release(0, 1), start(0, 2, "b"), end(1, 0, 1, EndKind::Done, "a")] {
        state.apply(&command);
    }
    let assigned = current_task(&state, 0).expect("a task");
    assert_eq!((assigned.phase, assigned.has_result), (TaskPhase::Assigned(server("b")), true));
    state.apply(&end(1, 0, 2, EndKind::Failed, "b"));
    let done = current_task(&state, 0).expect("a task");
    assert_eq!((done.phase, done.failures), (TaskPhase::Done, 0));
    assert_eq!(phase(&state), Some(JobPhase::Active), "the other task is not done");
    state.apply(&start(1, 1, "b"));
    state.apply(&end(2, 1, 1, EndKind::Done, "b"));
    assert_eq!(phase(&state), Some(JobPhase::Completed));
}

/// Guards against a run that was given up, has failed, and is not counted, or more than once: the task,
/// which may fail once, would be started again.
#[test]
fn a_failed_run_that_was_given_up_counts_as_one_attempt() {
    let mut state = started_job();
    state.apply(&release(0, 1));
    for number in 1..3 {
        state.apply(&end(number, 0, 1, EndKind::Failed, "a"));
        let waiting = current_task(&state, 0).expect("a task");
        assert_eq!((waiting.phase, waiting.failures), (TaskPhase::Waiting, 1));
    }
    assert_eq!(phase(&state), Some(JobPhase::Failed));
    assert_eq!(state.apply(&start(0, 2, "b")), JobOutcome::Started(false));
}

/// Guards against a replica that can't read a snapshot from before results of given-up runs were
/// kept.
#[test]
fn a_task_without_a_result_mark_is_read() {
    let task = current_task(&started_job(), 0).expect("a task");
    let mut bytes = rmp_serde::to_vec(&task).expect("encodable");
    // The last of five fields is a boolean, one byte long.
    assert_eq!((bytes[0], bytes.pop()), (0x95, Some(0xc2)));
    bytes[0] = 0x94;
    assert_eq!(rmp_serde::from_slice::<Task>(&bytes).expect("decodable"), task);
}

const fn data_centre(id: DataCentreId, is_out: bool, after: Option<u64>) -> JobCommand {
    JobCommand::DataCentre { id, is_out, after }
}

/// Guards against an evacuation that a delayed order of an earlier one undoes: the order was on its
/// way while newer ones were applied.
#[test]
fn an_order_for_a_data_centre_that_newer_ones_have_overtaken_changes_nothing() {
    let id = DataCentreId::from("dc-a");
    let mut state = JobState::default();
    let mut order = |is_out, after| {
        let outcome = state.apply(&data_centre(id.clone(), is_out, after));
        (outcome, state.data_centres_out_of_service().contains(&id))
    };
    assert_eq!(order(true, Some(0)), (JobOutcome::Applied, true));
    // The end of the evacuation is delayed, sent again, and a second evacuation follows.
    assert_eq!(order(false, Some(1)), (JobOutcome::Applied, false));
    assert_eq!(order(true, Some(2)), (JobOutcome::Applied, true));
    assert_eq!(order(false, Some(1)), (JobOutcome::Superseded, true));
    assert_eq!(order(false, Some(3)), (JobOutcome::Applied, false));
}

/// The same with an order that confirms what is in force, and for an order that is sent again.
#[test]
fn an_order_for_a_data_centre_that_confirms_its_state_counts_as_newer() {
    let id = DataCentreId::from("dc-a");
    let mut state = JobState::default();
    state.apply(&data_centre(id.clone(), true, Some(0)));
    assert_eq!(state.apply(&data_centre(id.clone(), true, Some(0))), JobOutcome::Applied);
    assert_eq!(state.apply(&data_centre(id.clone(), false, Some(1))), JobOutcome::Superseded);
    assert_eq!(state.data_centres_out_of_service().len(), 1);
    assert_eq!(state.apply(&data_centre(id, false, None)), JobOutcome::Applied);
}
