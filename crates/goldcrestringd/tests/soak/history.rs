//! What callers, operators and simulated backend servers saw, and the rules that it must keep.
//!
//! All times are since the start of the run and were taken in one process.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// Time after which a task of a cancelled job must no longer start; an order that left a replica
/// before it was suspended may be this old.
const MAX_START_AFTER_CANCEL: Duration = Duration::from_secs(8);

/// Time after which no task must start in a data centre that was taken out of service.
const MAX_START_AFTER_EVACUATION: Duration = Duration::from_secs(8);

/// A rule of the history.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Rule {
    /// A job starts only if an attempt to submit it was accepted or has an open outcome.
    Refused,
    /// An accepted job stays known and completes, unless its caller cancelled it.
    Lost,
    /// A task never runs twice at once.
    Twice,
    /// A task never starts after its end was acknowledged.
    StartAfterEnd,
    /// A step starts after the steps that it depends on.
    Order,
    /// A task of a cancelled job does not start long after.
    StartAfterCancel,
    /// Only submitted tasks start, with the payload that was submitted.
    Unasked,
    /// A job is shown as completed only once all its tasks are done.
    Completed,
    /// Each answer belongs to its request.
    Crossed,
    /// Keys and queues are accepted or refused as the plan in force has them.
    Plan,
    /// No task starts in a data centre out of service.
    DataCentre,
    /// A connection works until its process ends.
    Connection,
    /// A process ends only when it is told to.
    Exit,
}

/// A breach of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: Rule,
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.rule, self.detail)
    }
}

/// What a call asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Question {
    Submit(String),
    Read(String),
    /// Reads a job that nobody submits.
    ReadUnknown(String),
    /// Reads the number of a queue's pending jobs.
    ReadPending,
    Cancel(String),
}

/// How a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// A response. The content is the job's state, or the number of pending jobs, or empty.
    Response { status: u16, content: Content },
    /// The caller stopped waiting.
    TimedOut,
    /// No connection could be opened.
    NotSent,
    /// The connection ended without a complete response.
    Broken(String),
}

/// The content of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Content {
    Empty,
    State(String),
    Pending(u64),
    Other(String),
}

/// What a caller learned of its submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Accepted,
    Rejected,
    Open,
}

impl Answer {
    pub const fn status(&self) -> Option<u16> {
        match self {
            Self::Response { status, .. } => Some(*status),
            Self::TimedOut | Self::NotSent | Self::Broken(_) => None,
        }
    }

    pub const fn verdict(&self) -> Verdict {
        match self.status() {
            Some(200..300) => Verdict::Accepted,
            Some(401 | 404 | 429 | 503) => Verdict::Rejected,
            _ => Verdict::Open,
        }
    }
}

/// A call of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub entry: usize,
    pub question: Question,
    pub key: usize,
    pub queue: usize,
    pub sent_at: Duration,
    pub ended_at: Duration,
    pub answer: Answer,
}

/// A change of the plan by an operator.
#[derive(Clone, Debug)]
pub struct PlanChange {
    pub keys: BTreeSet<usize>,
    pub queues: BTreeSet<usize>,
    pub sent_at: Duration,
    pub acknowledged_at: Option<Duration>,
}

/// A time for which a data centre was out of service.
#[derive(Clone, Debug)]
pub struct Outage {
    pub data_centre: String,
    pub acknowledged_at: Duration,
    pub back_sent_at: Option<Duration>,
}

/// The end of a process; it was running until `from` and gone at `until`.
#[derive(Clone, Debug)]
pub struct ProcessEnd {
    pub process: usize,
    pub from: Duration,
    pub until: Duration,
}

/// A run of a task on a simulated backend server.
#[derive(Clone, Debug)]
pub struct Run {
    pub server: String,
    pub data_centre: String,
    pub job: String,
    pub step: usize,
    pub index: u32,
    pub attempt: u64,
    pub payload: String,
    pub started_at: Duration,
    /// Whether the backend server held the order back.
    pub is_late: bool,
    pub ended_at: Option<Duration>,
    pub is_done: bool,
    /// Whether the end was acknowledged under the lease under which it came.
    pub is_acknowledged: bool,
}

impl fmt::Display for Run {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { job, step, index, attempt, server, started_at, ended_at, .. } = self;
        write!(formatter, "{job}.{step}.{index} attempt {attempt} on {server} in ")?;
        write!(formatter, "{}, {started_at:?} to {ended_at:?}", self.data_centre)?;
        write!(formatter, ", done: {}, acknowledged: {}", self.is_done, self.is_acknowledged)?;
        write!(formatter, ", late: {}", self.is_late)
    }
}

impl Run {
    fn task(&self) -> (&str, usize, u32) {
        (&self.job, self.step, self.index)
    }
}

/// A job that was submitted. Each step depends on the one before it.
#[derive(Clone, Debug)]
pub struct Job {
    pub payload: String,
    pub steps: Vec<u32>,
}

/// The history of one run.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub jobs: BTreeMap<String, Job>,
    pub calls: Vec<Call>,
    pub plans: Vec<PlanChange>,
    pub outages: Vec<Outage>,
    pub process_ends: Vec<ProcessEnd>,
    pub unexpected_ends: Vec<String>,
    pub runs: Vec<Run>,
    /// The last state of each accepted job, as read after the faults.
    pub final_states: BTreeMap<String, Option<String>>,
    /// Index of the first entry among the processes.
    pub first_entry: usize,
}

impl History {
    /// Returns all breaches of the rules.
    pub fn check(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        let mut report = |rule, detail| violations.push(Violation { rule, detail });
        self.check_refusals(&mut report);
        self.check_accepted_jobs(&mut report);
        self.check_runs(&mut report);
        self.check_cancels(&mut report);
        self.check_answers(&mut report);
        self.check_plans(&mut report);
        self.check_outages(&mut report);
        self.check_connections(&mut report);
        for end in &self.unexpected_ends {
            report(Rule::Exit, end.clone());
        }
        violations
    }

    /// Returns the submissions of each job.
    pub fn submissions(&self) -> BTreeMap<&str, Vec<&Call>> {
        let mut submissions = BTreeMap::<_, Vec<_>>::new();
        for call in &self.calls {
            if let Question::Submit(job) = &call.question {
                submissions.entry(job.as_str()).or_default().push(call);
            }
        }
        submissions
    }

    /// Returns the jobs that were accepted, with the time of the first response that says so.
    pub fn accepted_jobs(&self) -> BTreeMap<&str, Duration> {
        let first_accepted = |(job, calls): (_, Vec<&Call>)| {
            let accepted = calls.iter().filter(|call| call.answer.verdict() == Verdict::Accepted);
            Some((job, accepted.map(|call| call.ended_at).min()?))
        };
        self.submissions().into_iter().filter_map(first_accepted).collect()
    }

    /// Returns the jobs that somebody tried to cancel.
    pub fn cancelled_jobs(&self) -> BTreeSet<&str> {
        let cancelled = self.calls.iter().filter_map(|call| match &call.question {
            Question::Cancel(job) => Some(job.as_str()),
            _ => None,
        });
        cancelled.collect()
    }

    fn check_refusals(&self, report: &mut dyn FnMut(Rule, String)) {
        let started: BTreeMap<_, _> =
            self.runs.iter().rev().map(|run| (run.job.as_str(), run)).collect();
        for (job, calls) in self.submissions() {
            let is_rejected = calls.iter().all(|call| call.answer.verdict() == Verdict::Rejected);
            if let Some(run) = started.get(job).filter(|_| is_rejected) {
                let attempts: Vec<_> = calls.iter().map(|call| describe(call)).collect();
                let detail = format!(
                    "job {job} started at {:?} on {}; attempts: {}",
                    run.started_at,
                    run.server,
                    attempts.join("; ")
                );
                report(Rule::Refused, detail);
            }
        }
    }

    fn check_accepted_jobs(&self, report: &mut dyn FnMut(Rule, String)) {
        let (accepted, cancelled) = (self.accepted_jobs(), self.cancelled_jobs());
        for call in &self.calls {
            let Question::Read(job) = &call.question else { continue };
            let is_accepted =
                accepted.get(job.as_str()).is_some_and(|accepted_at| call.sent_at > *accepted_at);
            let is_cancelled = cancelled.contains(job.as_str());
            let is_lost = match &call.answer {
                Answer::Response { status: 410, .. } => is_accepted,
                Answer::Response { content: Content::State(state), .. } => {
                    state == "failed" || (state == "cancelled" && !is_cancelled)
                }
                _ => false,
            };
            if is_lost {
                report(Rule::Lost, format!("accepted job: {}", describe(call)));
            }
        }
        for job in accepted.keys().filter(|job| !cancelled.contains(*job)) {
            let state = self.final_states.get(*job).cloned().flatten();
            if state.as_deref() != Some("completed") {
                report(Rule::Lost, format!("accepted job {job} ended as {state:?}"));
            }
        }
    }

    fn check_runs(&self, report: &mut dyn FnMut(Rule, String)) {
        let mut by_task = BTreeMap::<_, Vec<&Run>>::new();
        for run in &self.runs {
            by_task.entry(run.task()).or_default().push(run);
            let is_asked = self.jobs.get(&run.job).is_some_and(|job| {
                let count = job.steps.get(run.step);
                job.payload == run.payload && count.is_some_and(|count| run.index < *count)
            });
            if !is_asked {
                report(Rule::Unasked, format!("{run} with payload {}", run.payload));
            }
        }
        for runs in by_task.values_mut() {
            runs.sort_by_key(|run| run.started_at);
            for (position, run) in runs.iter().enumerate() {
                for later in &runs[position + 1..] {
                    if run.ended_at.is_none_or(|ended_at| later.started_at < ended_at) {
                        report(Rule::Twice, format!("{run} beside {later}"));
                    } else if run.is_done && run.is_acknowledged {
                        report(Rule::StartAfterEnd, format!("{run}, then {later}"));
                    }
                }
            }
        }
        for run in self.runs.iter().filter(|run| run.step > 0) {
            let earlier = run.step - 1;
            if !self.is_step_done(&run.job, earlier, run.started_at) {
                report(Rule::Order, format!("step {earlier} is not done before {run}"));
            }
        }
    }

    /// Returns whether a run of each task of a step was done by a time.
    fn is_step_done(&self, job: &str, step: usize, by: Duration) -> bool {
        let runs = self.runs.iter().filter(|run| run.job == job && run.step == step);
        let done = runs.filter(|run| run.is_done && run.ended_at.is_some_and(|at| at <= by));
        let done: BTreeSet<_> = done.map(|run| run.index).collect();
        let count = self.jobs.get(job).and_then(|job| job.steps.get(step)).copied();
        done.len() == count.unwrap_or_default() as usize
    }

    fn check_cancels(&self, report: &mut dyn FnMut(Rule, String)) {
        let mut cancelled = BTreeMap::<_, Duration>::new();
        for call in &self.calls {
            if let Question::Cancel(job) = &call.question
                && call.answer.verdict() == Verdict::Accepted
            {
                let at = cancelled.entry(job.as_str()).or_insert(call.ended_at);
                *at = call.ended_at.min(*at);
            }
        }
        for run in self.runs.iter().filter(|run| !run.is_late) {
            let cancelled_at = cancelled.get(run.job.as_str());
            if cancelled_at.is_some_and(|at| run.started_at > *at + MAX_START_AFTER_CANCEL) {
                report(Rule::StartAfterCancel, format!("cancelled at {cancelled_at:?}: {run}"));
            }
        }
    }

    fn check_answers(&self, report: &mut dyn FnMut(Rule, String)) {
        for call in &self.calls {
            let Answer::Response { status, content } = &call.answer else { continue };
            let is_own = matches!(
                (&call.question, status, content),
                (_, 401 | 404 | 429 | 502 | 503 | 504, _)
                    | (Question::Submit(_) | Question::Cancel(_), 200, Content::Empty)
                    | (Question::Read(_), 200, Content::State(_))
                    | (Question::ReadPending, 200, Content::Pending(_))
                    | (Question::Cancel(_) | Question::Read(_), 410, _)
                    | (Question::ReadUnknown(_), 410, _)
            );
            if !is_own {
                report(Rule::Crossed, describe(call));
            }
            if let (Question::Read(job), Content::State(state)) = (&call.question, content)
                && state == "completed"
            {
                let steps = self.jobs.get(job).map_or(0, |job| job.steps.len());
                if !(0..steps).all(|step| self.is_step_done(job, step, call.ended_at)) {
                    report(Rule::Completed, describe(call));
                }
            }
        }
    }

    /// A call may be handled under any plan from the last one that was acknowledged before it was
    /// sent to the last one that was sent before it ended.
    fn check_plans(&self, report: &mut dyn FnMut(Rule, String)) {
        for call in &self.calls {
            let Some(status) = call.answer.status() else { continue };
            let is_older = |plan: &PlanChange| {
                plan.acknowledged_at.is_some_and(|acknowledged_at| acknowledged_at < call.sent_at)
            };
            let first = self.plans.iter().rposition(is_older).unwrap_or(0);
            let plans: Vec<_> =
                self.plans[first..].iter().filter(|plan| plan.sent_at < call.ended_at).collect();
            let has_key = |plan: &&PlanChange| plan.keys.contains(&call.key);
            let has_queue = |plan: &&PlanChange| plan.queues.contains(&call.queue);
            let is_right = match status {
                200 | 410 => plans.iter().any(|plan| has_key(plan) && has_queue(plan)),
                401 => plans.iter().any(|plan| !has_key(plan) && has_queue(plan)),
                404 => plans.iter().any(|plan| !has_queue(plan)),
                _ => true,
            };
            if !is_right {
                let plans: Vec<_> = plans.iter().map(|plan| format!("{plan:?}")).collect();
                report(Rule::Plan, format!("{} under {}", describe(call), plans.join(", ")));
            }
        }
    }

    fn check_outages(&self, report: &mut dyn FnMut(Rule, String)) {
        for outage in &self.outages {
            let from = outage.acknowledged_at + MAX_START_AFTER_EVACUATION;
            for run in self.runs.iter().filter(|run| !run.is_late) {
                let is_inside = run.data_centre == outage.data_centre
                    && run.started_at > from
                    && outage.back_sent_at.is_none_or(|back| run.started_at < back);
                if is_inside {
                    report(Rule::DataCentre, format!("{outage:?}: {run}"));
                }
            }
        }
    }

    fn check_connections(&self, report: &mut dyn FnMut(Rule, String)) {
        for call in &self.calls {
            let Answer::Broken(_) = &call.answer else { continue };
            let process = self.first_entry + call.entry;
            let has_ended = self.process_ends.iter().any(|end| {
                end.process == process && end.from <= call.ended_at && call.sent_at <= end.until
            });
            if !has_ended {
                report(Rule::Connection, describe(call));
            }
        }
    }
}

fn describe(call: &Call) -> String {
    format!(
        "{:?} at entry {} with key {} in queue {}, {:?} to {:?}: {:?}",
        call.question, call.entry, call.key, call.queue, call.sent_at, call.ended_at, call.answer
    )
}
