//! Histories made false on purpose, each of which the check must notice.

use crate::history::{
    Answer, Call, Content, History, Outage, PlanChange, Question, Rule, Run, Verdict,
};
use std::collections::BTreeSet;
use std::time::Duration;

/// A time after everything that happens in a run.
const LATE: Duration = Duration::from_secs(3_600);

/// A rule, and a change to a true history that breaks it.
type Falsehood = (Rule, fn(&mut History));

/// Each rule at least once.
pub const FALSEHOODS: [Falsehood; 15] = [
    (Rule::Refused, reject_a_job_that_ran),
    (Rule::Lost, forget_an_accepted_job),
    (Rule::Lost, fail_a_job),
    (Rule::Twice, run_a_task_beside_itself),
    (Rule::StartAfterEnd, start_a_task_that_is_done),
    (Rule::Order, start_a_step_too_early),
    (Rule::StartAfterCancel, start_a_cancelled_job),
    (Rule::Unasked, change_a_payload),
    (Rule::Completed, complete_a_job_too_early),
    (Rule::Crossed, answer_with_the_state_of_another_job),
    (Rule::Plan, accept_a_withdrawn_key),
    (Rule::Plan, refuse_a_granted_key),
    (Rule::DataCentre, start_in_a_data_centre_out_of_service),
    (Rule::Connection, break_a_connection),
    (Rule::Exit, end_a_process),
];

fn done_run(history: &History) -> Run {
    let is_done = |run: &&Run| run.is_done && run.is_acknowledged;
    history.runs.iter().find(is_done).expect("a task that is done").clone()
}

fn accepted_submission(history: &mut History) -> &mut Call {
    let cancelled: BTreeSet<_> =
        history.cancelled_jobs().iter().map(|job| (*job).to_owned()).collect();
    let is_accepted = |call: &&mut Call| match &call.question {
        Question::Submit(job) => {
            call.answer.verdict() == Verdict::Accepted && !cancelled.contains(job)
        }
        _ => false,
    };
    history.calls.iter_mut().find(is_accepted).expect("an accepted job")
}

fn reject_a_job_that_ran(history: &mut History) {
    let job = done_run(history).job;
    for call in &mut history.calls {
        if call.question == Question::Submit(job.clone()) {
            call.answer = Answer::Response { status: 503, content: Content::Empty };
        }
    }
}

fn forget_an_accepted_job(history: &mut History) {
    let submission = accepted_submission(history).clone();
    let Question::Submit(job) = submission.question.clone() else { return };
    let answer = Answer::Response { status: 410, content: Content::Empty };
    let (sent_at, ended_at) = (LATE, LATE);
    let question = Question::Read(job);
    history.calls.push(Call { question, answer, sent_at, ended_at, ..submission });
}

fn fail_a_job(history: &mut History) {
    let Question::Submit(job) = accepted_submission(history).question.clone() else { return };
    history.final_states.insert(job, Some("failed".to_owned()));
}

fn run_a_task_beside_itself(history: &mut History) {
    let run = done_run(history);
    let middle = run.ended_at.map(|ended_at| (run.started_at + ended_at) / 2);
    let started_at = middle.expect("an end");
    history.runs.push(Run { started_at, server: "another".to_owned(), ..run });
}

fn start_a_task_that_is_done(history: &mut History) {
    let run = done_run(history);
    history.runs.push(Run { started_at: LATE, ended_at: None, ..run });
}

fn start_a_step_too_early(history: &mut History) {
    let run = history.runs.iter_mut().find(|run| run.step > 0).expect("a second step");
    run.started_at = Duration::ZERO;
}

fn start_a_cancelled_job(history: &mut History) {
    let is_cancelled = |call: &&Call| {
        matches!(call.question, Question::Cancel(_)) && call.answer.verdict() == Verdict::Accepted
    };
    let cancel = history.calls.iter().find(is_cancelled).expect("a cancelled job");
    let Question::Cancel(job) = cancel.question.clone() else { return };
    let run = Run { started_at: LATE, is_late: false, job, ..done_run(history) };
    history.runs.push(run);
}

fn change_a_payload(history: &mut History) {
    history.runs[0].payload.push('0');
}

fn complete_a_job_too_early(history: &mut History) {
    let mut submission = accepted_submission(history).clone();
    let Question::Submit(job) = submission.question else { return };
    let content = Content::State("completed".to_owned());
    submission.answer = Answer::Response { status: 200, content };
    history.calls.push(Call { question: Question::Read(job), ..submission });
}

fn answer_with_the_state_of_another_job(history: &mut History) {
    let is_unknown = |call: &&mut Call| {
        matches!(call.question, Question::ReadUnknown(_)) && call.answer.status() == Some(410)
    };
    let call = history.calls.iter_mut().find(is_unknown).expect("a read of an unknown job");
    let content = Content::State("running".to_owned());
    call.answer = Answer::Response { status: 200, content };
}

fn accept_a_withdrawn_key(history: &mut History) {
    let mut submission = accepted_submission(history).clone();
    (submission.sent_at, submission.ended_at) = (LATE, LATE);
    let mut plan = history.plans.last().expect("a plan").clone();
    plan.keys.remove(&submission.key);
    let acknowledged_at = Some(LATE - Duration::from_secs(1));
    history.plans.push(PlanChange { sent_at: LATE / 2, acknowledged_at, ..plan });
    history.calls.push(submission);
}

fn refuse_a_granted_key(history: &mut History) {
    let mut submission = accepted_submission(history).clone();
    (submission.sent_at, submission.ended_at) = (LATE, LATE);
    submission.answer = Answer::Response { status: 401, content: Content::Empty };
    history.calls.push(submission);
}

fn start_in_a_data_centre_out_of_service(history: &mut History) {
    let data_centre = history.runs[0].data_centre.clone();
    history.runs[0].is_late = false;
    history.runs[0].started_at = LATE;
    let acknowledged_at = Duration::ZERO;
    history.outages.push(Outage { data_centre, acknowledged_at, back_sent_at: None });
}

fn break_a_connection(history: &mut History) {
    let call = accepted_submission(history);
    call.answer = Answer::Broken("closed".to_owned());
    call.ended_at = call.sent_at;
    let (entry, at) = (call.entry, call.sent_at);
    let entry = history.first_entry + entry;
    history.process_ends.retain(|end| end.process != entry || end.until < at || end.from > at);
}

fn end_a_process(history: &mut History) {
    history.unexpected_ends.push("a process".to_owned());
}
