//! Tests of snapshots that earlier versions have written.

use crate::job::command::{EndKind, RunEnd};
use crate::job::id::{JobId, ServerIncarnation, StepId, TaskId};
use crate::job::state::{JobPhase, JobState, TaskPhase};
use crate::job::{JobCommand, JobSpec, StepSpec};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A task as earlier versions stored it: attempt, failures, checkpoint, phase, whether it has a result.
type DenseTask = (u32, u32, Option<()>, TaskPhase, bool);

/// A step as earlier versions stored it: tasks, waiting indices, number of completed tasks, whether it is
/// long-running, whether it is a gang.
type DenseStep = (Vec<DenseTask>, BTreeSet<u32>, u32, bool, bool);

fn job() -> JobId {
    "00000000000000e1".parse().expect("an ID")
}

fn server() -> ServerIncarnation {
    ServerIncarnation { id: "i-1".into(), started_at_ms: 7 }
}

fn task(attempt: u32, failures: u32, phase: TaskPhase) -> DenseTask {
    (attempt, failures, None, phase, false)
}

fn unstarted() -> DenseStep {
    let tasks = vec![task(0, 0, TaskPhase::Waiting); 3];
    (tasks, BTreeSet::from([0, 1, 2]), 0, false, false)
}

/// Reads a snapshot with one job of these occurrences, as earlier versions wrote it.
fn restore(times: u32, occurrences: Vec<DenseStep>) -> JobState {
    let steps = vec![StepSpec { count: 3, ..StepSpec::default() }];
    let spec = Arc::new(JobSpec { steps, times, ..JobSpec::default() });
    let occurrences: Vec<_> = occurrences.into_iter().map(|step| (vec![step],)).collect();
    let team: Option<()> = None;
    let record =
        ("quotes", team, spec, 1_u64, JobPhase::Active, 0_u64, 4_u32, team, true, occurrences, 0);
    let empty = BTreeMap::<u64, ()>::new();
    let jobs = BTreeMap::from([(job(), record)]);
    let active = BTreeSet::from([job()]);
    let none: [(); 0] = [];
    let state = (team, jobs, active, &empty, none, &empty, &empty, 0_u64, &empty);
    let bytes = rmp_serde::to_vec(&state).expect("encodable");
    rmp_serde::from_slice(&bytes).expect("decodable")
}

fn step_id(occurrence: u32) -> StepId {
    StepId { job: job(), occurrence, step: 0 }
}

/// Guards against a replica that can't start again, or starts tasks twice, from a snapshot with a record
/// of each task.
#[test]
fn a_snapshot_with_a_record_of_each_task_is_read() {
    let tasks = vec![
        task(2, 1, TaskPhase::Waiting),
        task(1, 0, TaskPhase::Assigned(server())),
        task(3, 2, TaskPhase::Done),
    ];
    let mut state = restore(0, vec![(tasks, BTreeSet::from([0]), 1, false, false)]);
    let (_, step) = state.step(&step_id(0)).expect("a known step");
    assert!(step.waiting().iter().eq([0]));
    assert_eq!((step.next_attempt(0), step.next_attempt(1), step.failures()), (3, 2, 3));
    assert_eq!(step.assigned().map(|(index, _)| index).collect::<Vec<_>>(), [1]);
    assert!(step.is_completed(2) && !step.is_done());
    let started = state.apply(&JobCommand::Start {
        task: TaskId { step: step_id(0), index: 2 },
        attempt: 9,
        server: server(),
    });
    assert_eq!(started, crate::job::state::JobOutcome::Started(false));
}

/// The same with several occurrences: one is finished, one has been begun, one has not.
#[test]
fn a_snapshot_with_a_record_of_each_occurrence_is_read() {
    let done = vec![task(1, 0, TaskPhase::Done); 3];
    let begun = vec![
        task(1, 0, TaskPhase::Done),
        task(1, 0, TaskPhase::Done),
        task(1, 0, TaskPhase::Assigned(server())),
    ];
    let steps = vec![
        (done, BTreeSet::new(), 3, false, false),
        (begun, BTreeSet::new(), 2, false, false),
        unstarted(),
    ];
    let mut state = restore(3, steps);
    let known = state.job(&job()).expect("a known job");
    assert_eq!(known.unrecorded_occurrences(), (1, 1));
    assert_eq!(known.recorded_occurrences().map(|(number, _)| number).collect::<Vec<_>>(), [1]);
    state.apply(&JobCommand::Server(Box::new(crate::job::state::ServerRecord {
        incarnation: server(),
        address: "127.0.0.1:9000".parse().expect("an address"),
        pool: "pool".into(),
        data_centre: "dc-1".into(),
        machine: None,
        labels: BTreeSet::new(),
        capacity: crate::job::Resources::default(),
        is_draining: false,
        sequence: 1,
        recorded_end: 0,
        is_provisional: false,
        has_predecessor: false,
    })));
    let end = |number, occurrence, index, attempt| RunEnd {
        number,
        task: Some(TaskId { step: step_id(occurrence), index }),
        attempt,
        kind: EndKind::Done,
        checkpoint: None,
    };
    state.apply(&JobCommand::RunsEnded { server: server(), ends: vec![end(1, 1, 2, 1)], at_ms: 2 });
    let known = state.job(&job()).expect("a known job");
    assert_eq!((known.unrecorded_occurrences(), known.phase), ((1, 2), JobPhase::Active));
    for index in 0..3 {
        let task = TaskId { step: step_id(2), index };
        state.apply(&JobCommand::Start { task, attempt: 1, server: server() });
    }
    let ends = (0..3).map(|index| end(u64::from(index) + 2, 2, index, 1)).collect();
    state.apply(&JobCommand::RunsEnded { server: server(), ends, at_ms: 3 });
    assert_eq!(state.job(&job()).map(|job| job.phase), Some(JobPhase::Completed));
}

/// Guards against long-running tasks that stay ended after an update: earlier versions took them as done.
#[test]
fn a_long_running_task_that_an_earlier_version_took_as_done_waits() {
    let done = (2, 0, None, TaskPhase::Assigned(server()), true);
    let tasks = vec![task(4, 0, TaskPhase::Done), done, task(0, 0, TaskPhase::Waiting)];
    let state = restore(0, vec![(tasks, BTreeSet::from([2]), 2, true, false)]);
    let (_, step) = state.step(&step_id(0)).expect("a known step");
    assert!(step.waiting().iter().eq([0, 2]));
    assert_eq!((step.next_attempt(0), step.next_attempt(2)), (5, 1));
    assert!(!step.is_completed(1) && !step.is_done());
}
