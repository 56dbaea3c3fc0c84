//! Callers that submit, repeat, read and cancel jobs over kept connections.

use crate::history::{Answer, Call, Content, Job, Question, Verdict};
use crate::system::{HOST, KEYS, QUEUES, System};
use goldcrestring_platform_stand_in::{Fleet, JobStep, client};
use goldcrestring_wire::client::{CallError, Client, Reuse};
use goldcrestring_wire::http::{HttpRequest, HttpResponse, Method};
use goldcrestring_wire::runtime::{sleep, spawn};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The number of callers, each with its own connections.
const CALLERS: usize = 6;

/// Mean time between two jobs.
const MEAN_JOB_INTERVAL_MS: u64 = 40;

/// Maximum number of attempts to submit a job.
const MAX_ATTEMPTS: usize = 6;

/// Maximum number of attempts to cancel a job.
const MAX_CANCELS: usize = 10;

/// The timeouts that callers announce, in milliseconds.
const TIMEOUTS_MS: [u64; 6] = [300, 1_000, 3_000, 6_000, 8_000, 10_000];

/// Time limit for an accepted job to complete after the faults; only bounds a hang.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(120);

/// The callers' share of a run.
pub struct Load {
    system: Arc<System>,
    callers: Vec<Client>,
    seed: u64,
    has_ended: AtomicBool,
}

impl Load {
    pub fn new(system: Arc<System>, seed: u64) -> Arc<Self> {
        let callers = (0..CALLERS).map(|_| Client::default()).collect();
        Arc::new(Self { system, callers, seed, has_ended: AtomicBool::new(false) })
    }

    /// Ends the arrival of jobs.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }

    /// Submits jobs until [`Self::end`], then waits for the callers.
    pub async fn run(self: Arc<Self>) {
        let mut random = SmallRng::seed_from_u64(self.seed ^ 0x10ad);
        let mut jobs = Vec::new();
        for number in 1_u64.. {
            if self.has_ended.load(Ordering::Relaxed) {
                break;
            }
            let id = format!("{:08x}{number:08x}", self.seed);
            let (load, job_seed) = (Arc::clone(&self), random.random());
            jobs.push(spawn(async move { load.run_job(&id, job_seed).await }));
            sleep(Duration::from_millis(random.random_range(0..=2 * MEAN_JOB_INTERVAL_MS))).await;
        }
        for job in jobs {
            job.await;
        }
    }

    async fn run_job(&self, id: &str, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        let steps: Vec<u32> =
            (0..random.random_range(1..=2)).map(|_| random.random_range(1..=3)).collect();
        let payload = format!("{} {id}", random.random_range(30..=700));
        let queue = random.random_range(0..QUEUES.len());
        let key = random.random_range(0..KEYS.len());
        let caller = &self.callers[random.random_range(0..CALLERS)];
        let mut jobs_steps = Vec::new();
        for (step, count) in (0..).zip(&steps) {
            let depends_on = if step == 0 { Vec::new() } else { vec![step - 1] };
            jobs_steps.push(JobStep { count: *count, depends_on, ..JobStep::default() });
        }
        let job = Job { payload: payload.clone(), steps };
        self.system.record(|history| drop(history.jobs.insert(id.to_owned(), job)));
        let timeout = Duration::from_millis(TIMEOUTS_MS[random.random_range(0..TIMEOUTS_MS.len())]);
        let request = client::submit_to(QUEUES[queue], HOST, id, KEYS[key], &payload, &jobs_steps);
        let context = Context { caller, queue, key, timeout };
        let submission = Question::Submit(id.to_owned());
        let mut verdict = Verdict::Open;
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 && random.random_bool(0.1) {
                break;
            }
            let entry = self.random_entry(&mut random);
            verdict = self.call(&context, entry, submission.clone(), &request).await;
            if verdict != Verdict::Open {
                break;
            }
            sleep(Duration::from_millis(random.random_range(30..=400))).await;
        }
        if verdict != Verdict::Accepted {
            return;
        }
        // Another answer of the same kind, for a caller that lost the first.
        if random.random_bool(0.2) {
            sleep(Duration::from_millis(random.random_range(0..=2_500))).await;
            let entry = self.random_entry(&mut random);
            self.call(&context, entry, submission, &request).await;
        }
        if random.random_bool(0.15) {
            self.cancel(&context, id, &mut random).await;
        }
        for _ in 0..random.random_range(0..=4) {
            sleep(Duration::from_millis(random.random_range(50..=1_500))).await;
            self.read_something(&context, id, &mut random).await;
        }
    }

    fn random_entry(&self, random: &mut SmallRng) -> usize {
        random.random_range(0..self.system.caller_addresses.len())
    }

    async fn cancel(&self, context: &Context<'_>, id: &str, random: &mut SmallRng) {
        sleep(Duration::from_millis(random.random_range(0..=1_500))).await;
        for _ in 0..MAX_CANCELS {
            let request = client::cancel_in(QUEUES[context.queue], HOST, id, KEYS[context.key]);
            let question = Question::Cancel(id.to_owned());
            let entry = self.random_entry(random);
            if self.call(context, entry, question, &request).await == Verdict::Accepted {
                return;
            }
            sleep(Duration::from_millis(random.random_range(50..=500))).await;
        }
    }

    async fn read_something(&self, context: &Context<'_>, id: &str, random: &mut SmallRng) {
        let entry = self.random_entry(random);
        let unknown = format!("ff{}", &id[2..]);
        let (question, name) = match random.random_range(0..10) {
            0 => (Question::ReadUnknown(unknown.clone()), unknown.as_str()),
            1 => (Question::ReadPending, ""),
            2 => return self.read_as_operator(id, random).await,
            _ => (Question::Read(id.to_owned()), id),
        };
        let request = client::read_from(QUEUES[context.queue], HOST, name, KEYS[context.key]);
        self.call(context, entry, question, &request).await;
    }

    /// Reads a job through the operators' interface, whose answer names the job.
    async fn read_as_operator(&self, id: &str, random: &mut SmallRng) {
        let addresses = &self.system.operator_addresses;
        let address = addresses[random.random_range(0..addresses.len())];
        let request = Fleet::operator_request(Method::Get, &format!("/v1/jobs/{id}"));
        let timeout = Duration::from_secs(3);
        let called = self.callers[0].call(address, request, timeout, Reuse::Allowed).await;
        let Ok(response) = called else { return };
        if response.status == 200 && !String::from_utf8_lossy(&response.body).contains(id) {
            let text = String::from_utf8_lossy(&response.body).into_owned();
            let now = self.system.now();
            let answer = Answer::Response { status: 200, content: Content::Other(text) };
            let question = Question::ReadUnknown(id.to_owned());
            let call =
                Call { entry: 0, question, key: 0, queue: 0, sent_at: now, ended_at: now, answer };
            self.system.record(|history| history.calls.push(call));
        }
    }

    async fn call(
        &self,
        context: &Context<'_>,
        entry: usize,
        question: Question,
        request: &HttpRequest,
    ) -> Verdict {
        let request = client::with_timeout(request.clone(), context.timeout);
        let address = self.system.caller_addresses[entry];
        let sent_at = self.system.now();
        let called = context.caller.call(address, request, context.timeout, Reuse::Allowed).await;
        let ended_at = self.system.now();
        let answer = match called {
            Ok(response) => {
                Answer::Response { status: response.status, content: content(&response) }
            }
            Err(CallError::NotSent { .. } | CallError::Withdrawn { .. }) => Answer::NotSent,
            Err(CallError::NoResponse { .. }) if ended_at - sent_at >= context.timeout => {
                Answer::TimedOut
            }
            Err(CallError::NoResponse { problem, .. }) => Answer::Broken(problem),
        };
        let verdict = answer.verdict();
        let Context { key, queue, .. } = *context;
        let call = Call { entry, question, key, queue, sent_at, ended_at, answer };
        self.system.record(|history| history.calls.push(call));
        verdict
    }

    /// Reads each accepted job that nobody cancelled until it completes, and records its last state.
    pub async fn read_final_states(&self) {
        let history = self.system.history();
        let cancelled = history.cancelled_jobs();
        let queues: std::collections::BTreeMap<_, _> =
            history.calls.iter().map(|call| (question_job(&call.question), call.queue)).collect();
        let since = Instant::now();
        let timeout = Duration::from_secs(5);
        let mut random = SmallRng::seed_from_u64(self.seed);
        for job in history.accepted_jobs().keys().filter(|job| !cancelled.contains(*job)) {
            let queue = queues.get(&Some(*job)).copied().unwrap_or_default();
            let context = Context { caller: &self.callers[0], queue, key: 0, timeout };
            loop {
                let request = client::read_from(QUEUES[queue], HOST, job, KEYS[0]);
                let entry = self.random_entry(&mut random);
                let question = Question::Read((*job).to_owned());
                self.call(&context, entry, question, &request).await;
                let mut state = None;
                self.system.record(|history| {
                    if let Some(Call { answer: Answer::Response { content, .. }, .. }) =
                        history.calls.last()
                        && let Content::State(text) = content
                    {
                        state = Some(text.clone());
                    }
                    history.final_states.insert((*job).to_owned(), state.clone());
                });
                let has_ended =
                    state.as_deref().is_some_and(|state| !["queued", "running"].contains(&state));
                if has_ended || since.elapsed() > COMPLETION_TIMEOUT {
                    break;
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

/// What the calls of a job have in common.
struct Context<'a> {
    caller: &'a Client,
    queue: usize,
    key: usize,
    timeout: Duration,
}

fn question_job(question: &Question) -> Option<&str> {
    match question {
        Question::Submit(job)
        | Question::Read(job)
        | Question::ReadUnknown(job)
        | Question::Cancel(job) => Some(job),
        Question::ReadPending => None,
    }
}

fn content(response: &HttpResponse) -> Content {
    if response.body.is_empty() {
        return Content::Empty;
    }
    if let Some(state) = client::state(&response.body) {
        return Content::State(state);
    }
    if let Some(pending) = client::pending(&response.body) {
        return Content::Pending(pending);
    }
    Content::Other(String::from_utf8_lossy(&response.body).into_owned())
}
