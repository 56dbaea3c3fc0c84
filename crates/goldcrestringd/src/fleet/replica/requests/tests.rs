//! Tests of the replies to pending commands.

use super::{MAX_BATCH_RECORD_BYTES, PendingCommands, PendingReply, record_bytes};
use goldcrestring::job::state::JobOutcome;
use goldcrestring::job::{JobCommand, JobId, JobSpec};
use goldcrestring::quantity::{LogIndex, Term};
use goldcrestring_wire::job_message::{JobResponse, NotRunReason};
use smol::channel::{Receiver, bounded};
use std::sync::Arc;

fn job() -> JobId {
    "00000000000000e1".parse().expect("an ID")
}

fn reply() -> (PendingReply, Receiver<JobResponse>) {
    let (sender, receiver) = bounded(1);
    (PendingReply::Job(sender), receiver)
}

/// Adds a submission and proposes it; returns the receiver of its response.
fn propose(pending: &mut PendingCommands) -> Receiver<JobResponse> {
    let (reply, response) = reply();
    let spec = Arc::new(JobSpec::default());
    let queue = "r-1".into();
    pending.add(JobCommand::Submit { id: job(), queue, team: None, spec, at_ms: 1 }, reply);
    pending.take_batch();
    pending.record_proposed(LogIndex::new(7), Term::new(2));
    response
}

/// Guards against refusing a job whose earlier submission commits right after.
#[test]
fn a_pending_submission_is_not_refused() {
    let mut pending = PendingCommands::default();
    let refusal = JobResponse::NotRun { reason: NotRunReason::TooFewReplicas };
    assert_eq!(pending.true_response(Some(job()), refusal.clone()), refusal);
    let _response = propose(&mut pending);
    assert_eq!(pending.true_response(Some(job()), refusal.clone()), JobResponse::Unknown);
    assert_eq!(pending.true_response(Some(job()), JobResponse::UnknownKey), JobResponse::Unknown);
    assert_eq!(pending.true_response(None, refusal.clone()), refusal);
    pending.complete(LogIndex::new(7), Term::new(2), &[JobOutcome::Submitted { is_new: true }]);
    assert_eq!(pending.true_response(Some(job()), refusal.clone()), refusal);
}

/// Guards against a second command for a job whose submission is pending, and against a repeated
/// submission without a response.
#[test]
fn a_repeated_submission_gets_the_outcome_of_the_pending_one() {
    let mut pending = PendingCommands::default();
    let (early, _) = reply();
    assert!(!pending.add_repeated(job(), early));
    let first = propose(&mut pending);
    let (again, second) = reply();
    assert!(pending.add_repeated(job(), again));
    assert!(pending.take_batch().is_empty());
    pending.complete(LogIndex::new(7), Term::new(2), &[JobOutcome::Submitted { is_new: true }]);
    assert_eq!(first.try_recv(), Ok(JobResponse::Accepted));
    assert_eq!(second.try_recv(), Ok(JobResponse::Accepted));
}

/// Regression: a job whose queue was removed before its commit was acknowledged and never ran.
#[test]
fn a_job_whose_queue_was_removed_before_its_commit_is_refused() {
    let mut pending = PendingCommands::default();
    let first = propose(&mut pending);
    let (again, second) = reply();
    assert!(pending.add_repeated(job(), again));
    pending.complete(LogIndex::new(7), Term::new(2), &[JobOutcome::QueueRemoved]);
    let refusal = JobResponse::NotRun { reason: NotRunReason::QueueRemoved };
    assert_eq!(first.try_recv(), Ok(refusal.clone()));
    assert_eq!(second.try_recv(), Ok(refusal));
    assert!(!pending.is_submitted(job()));
}

/// Guards against a leader that steps down without a response to a repeated submission, and against
/// calling a proposed one not received.
#[test]
fn lost_leadership_leaves_proposed_submissions_unknown() {
    let mut pending = PendingCommands::default();
    let first = propose(&mut pending);
    let (again, second) = reply();
    assert!(pending.add_repeated(job(), again));
    pending.fail_all();
    assert_eq!(first.try_recv(), Ok(JobResponse::Unknown));
    assert_eq!(second.try_recv(), Ok(JobResponse::Unknown));
    assert!(!pending.is_submitted(job()));
}

/// Guards against dropping the reply of a replaced batch: its caller would take that for a call that
/// was not received.
#[test]
fn a_batch_replaced_by_a_shorter_one_is_unknown() {
    let mut pending = PendingCommands::default();
    let response = propose(&mut pending);
    pending.complete(LogIndex::new(7), Term::new(3), &[]);
    assert_eq!(response.try_recv(), Ok(JobResponse::Unknown));
}

fn large_submission(number: u64) -> JobCommand {
    let payload = "x".repeat(100_000).into();
    let spec = Arc::new(JobSpec { payload, ..JobSpec::default() });
    let id = format!("{number:016x}").parse().expect("an ID");
    JobCommand::Submit { id, queue: "r-1".into(), team: None, spec, at_ms: 1 }
}

/// Guards against an entry of the log that is too large to reach the other replicas in time, and is sent
/// again for ever: all submissions that the leader handled at once were in one entry.
#[test]
fn large_submissions_are_divided_into_several_batches() {
    let mut pending = PendingCommands::default();
    let responses: Vec<_> = (0..30)
        .map(|number| {
            let (reply, response) = reply();
            pending.add(large_submission(number), reply);
            response
        })
        .collect();
    let mut taken = 0;
    for index in 1.. {
        let batch = pending.take_batch();
        if batch.is_empty() {
            break;
        }
        assert!(batch.iter().map(record_bytes).sum::<u64>() <= MAX_BATCH_RECORD_BYTES);
        taken += batch.len();
        pending.record_proposed(LogIndex::new(index), Term::new(2));
        let outcomes = vec![JobOutcome::Submitted { is_new: true }; batch.len()];
        pending.complete(LogIndex::new(index), Term::new(2), &outcomes);
    }
    assert_eq!(taken, 30);
    let is_accepted = |response: &Receiver<_>| response.try_recv() == Ok(JobResponse::Accepted);
    assert!(responses.iter().all(is_accepted));
}

/// Guards against a bound on the record that forgets what is on its way into it, or counts it for ever.
#[test]
fn pending_submissions_count_until_their_outcome_is_known() {
    let mut pending = PendingCommands::default();
    let bytes = record_bytes(&large_submission(1));
    for number in 0..12 {
        pending.add(large_submission(number), reply().0);
    }
    assert_eq!(pending.record_bytes(), 12 * bytes);
    let taken = pending.take_batch().len();
    pending.record_proposed(LogIndex::new(7), Term::new(2));
    assert!(taken < 12);
    assert_eq!(pending.record_bytes(), 12 * bytes);
    pending.complete(LogIndex::new(7), Term::new(2), &[]);
    assert_eq!(pending.record_bytes(), (12 - u64::try_from(taken).expect("a count")) * bytes);
    pending.take_batch();
    pending.reject(None);
    pending.fail_all();
    assert_eq!(pending.record_bytes(), 0);
}
