//! Tests of the order in which jobs are submitted and cancelled.

use super::{JobOutcome, JobPhase, JobState};
use crate::job::{JobCommand, JobId, JobSpec, StepSpec};
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
    // The last of seven fields is an empty map, one byte long.
    assert_eq!((bytes[0], bytes.pop()), (0x97, Some(0x80)));
    bytes[0] = 0x96;
    assert_eq!(rmp_serde::from_slice::<JobState>(&bytes).expect("decodable"), JobState::default());
}

/// Guards against cancelled IDs that are kept for ever.
#[test]
fn cancelled_ids_are_forgotten() {
    let mut state = JobState::default();
    state.apply(&cancel(job()));
    assert_eq!(state.cancelled_ids().get(&job()), Some(&10));
    state.apply(&JobCommand::Forget(vec![job()]));
    assert!(state.cancelled_ids().is_empty());
}
