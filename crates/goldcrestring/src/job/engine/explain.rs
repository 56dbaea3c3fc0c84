//! Explains where the tasks of a job run and why others wait.

use super::Engine;
use super::placement::PlacementRequest;
use super::run::{Run, RunPhase};
use super::server::Server;
use crate::clock::Uptime;
use crate::job::id::{Attempt, JobId, PoolId, ServerId, StepId, TaskId, TeamId};
use crate::job::resources::Resources;
use crate::job::spec::StepSpec;
use crate::job::state::{Job, JobPhase, JobState, Step};
use crate::job::view::TaskCounts;
use derive_more::Display;

/// The number of findings after which no further occurrence is explained.
const MAX_FINDINGS: usize = 1_000;

/// The maximum number of runs of one step that are listed one by one.
const MAX_RUNS_LISTED: usize = 16;

/// A reason with the step and the number of tasks to which it applies.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("occurrence {occurrence}, step {step}: {tasks} tasks {reason}")]
pub struct Finding {
    /// The occurrence, from zero.
    pub occurrence: u32,
    /// The step, from zero.
    pub step: u32,
    /// The number of tasks to which the reason applies.
    pub tasks: usize,
    /// The reason.
    pub reason: Reason,
}

/// Why tasks run or wait.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Reason {
    /// The tasks are done.
    #[display("are done")]
    Done,
    /// The job has ended.
    #[display("will not start: the job has ended")]
    JobEnded,
    /// The occurrence is not due yet.
    #[display("wait: due in {in_ms} ms")]
    NotDue {
        /// The time until it is due, in milliseconds.
        in_ms: u64,
    },
    /// The step depends on steps that are not done.
    #[display("wait for steps {steps:?}")]
    Dependencies {
        /// The steps that are not done.
        steps: Vec<u32>,
    },
    /// The queue has no pool in the current plan and had none when the job was submitted.
    #[display("wait: the queue has no pool")]
    NoPool,
    /// One more task would exceed the team's limit.
    #[display("wait: team {team} uses {used} of its limit of {limit}")]
    TeamLimit {
        /// The team.
        team: TeamId,
        /// The resources that the team's tasks use.
        used: Resources,
        /// Its limit.
        limit: Resources,
    },
    /// The fleet runs as many tasks as the leader allows.
    #[display("wait: {runs} tasks run, the limit is {limit}")]
    RunLimit {
        /// The number of runs.
        runs: usize,
        /// The limit.
        limit: usize,
    },
    /// No suitable backend server has enough free capacity.
    #[display(
        "wait for capacity: pool {pool} has {known} backend servers, {open} accepting tasks, \
         {suitable} suitable, {fitting} with enough free capacity"
    )]
    NoCapacity {
        /// The pool.
        pool: PoolId,
        /// The number of its backend servers.
        known: usize,
        /// The number of those that accept new tasks.
        open: usize,
        /// The number of open ones that meet the label and spread constraints of the step.
        suitable: usize,
        /// The number of suitable ones with enough free capacity for one task.
        fitting: usize,
    },
    /// The task is assigned to a backend server and may be running.
    #[display(
        "{phase} on {server}, attempt {attempt}, for {elapsed_ms} ms; the backend server \
         {responsiveness}"
    )]
    Run {
        /// The backend server.
        server: ServerId,
        /// The attempt number.
        attempt: Attempt,
        /// The phase of the run.
        phase: &'static str,
        /// The time since the last start order or, if later, since the election of this leader, in
        /// milliseconds.
        elapsed_ms: u128,
        /// Whether the backend server responds.
        responsiveness: Responsiveness,
    },
}

/// Whether a backend server responds to this leader.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Responsiveness {
    /// It responded to the last poll; the time since its last response, in milliseconds.
    #[display("responded {_0} ms ago")]
    Responsive(u128),
    /// The last poll failed; the time since its last response, in milliseconds.
    #[display("does not respond, last response {_0} ms ago")]
    Unresponsive(u128),
    /// It has not responded to this leader yet.
    #[display("has not responded to this leader")]
    Unknown,
}

/// A step with its job and specification.
struct StepContext<'a> {
    id: StepId,
    job: &'a Job,
    spec: &'a StepSpec,
}

/// A job's pool, the number of its backend servers, and those that accept new tasks.
struct PoolSummary {
    id: PoolId,
    known: usize,
    open: Vec<ServerId>,
}

impl Engine {
    /// Explains where the tasks of a job run and why others wait; `None` if the job is unknown.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::job::{Engine, EngineSettings, JobCommand, JobSpec, JobState, StepSpec};
    /// use goldcrestring::quantity::Term;
    /// use std::sync::Arc;
    /// use std::time::Duration;
    ///
    /// let mut state = JobState::default();
    /// let steps = vec![StepSpec { count: 2, ..StepSpec::default() }];
    /// let spec = Arc::new(JobSpec { steps, ..JobSpec::default() });
    /// let id = "5c0e7a21d94b36f8".parse()?;
    /// state.apply(&JobCommand::Submit { id, queue: "quotes".into(), team: None, spec, at_ms: 1 });
    /// let engine = Engine::new(Duration::ZERO, Term::new(1), EngineSettings::default(), &state);
    ///
    /// let findings = engine.explain_job(Duration::from_secs(1), 2, id, &state).unwrap();
    /// let text = "occurrence 0, step 0: 2 tasks wait: the queue has no pool";
    /// assert_eq!(findings[0].to_string(), text);
    /// # Ok::<(), goldcrestring::job::id::IdError>(())
    /// ```
    pub fn explain_job(
        &self,
        now: Uptime,
        wall_ms: u64,
        id: JobId,
        state: &JobState,
    ) -> Option<Vec<Finding>> {
        let job = state.job(&id)?;
        let pool = self.pool_summary(now, job, state);
        let mut findings = Vec::new();
        for (occurrence, steps) in job.unfinished_occurrences() {
            if findings.len() >= MAX_FINDINGS {
                break;
            }
            for (number, (step, spec)) in (0..).zip(steps.steps.iter().zip(&job.spec.steps)) {
                let id = StepId { job: id, occurrence, step: number };
                let mut add = |tasks, reason| {
                    findings.push(Finding { occurrence, step: number, tasks, reason });
                };
                let done = TaskCounts::of(step).done;
                if done > 0 {
                    add(done, Reason::Done);
                }
                for reason in self.run_reasons(now, id) {
                    add(1, reason);
                }
                let proposed = self.runs_of_step(id);
                let proposed = proposed.filter(|(task, _)| step.waiting().contains(task.index));
                let waiting = usize::try_from(step.waiting().len()).unwrap_or(usize::MAX);
                let waiting = waiting.saturating_sub(proposed.count());
                if waiting > 0 {
                    let context = StepContext { id, job, spec };
                    add(waiting, self.waiting_reason(&context, pool.as_ref(), wall_ms, state));
                }
            }
        }
        Some(findings)
    }

    /// Summarizes the pool of a job; `None` if the job's queue has none.
    fn pool_summary(&self, now: Uptime, job: &Job, state: &JobState) -> Option<PoolSummary> {
        let queue = state.plan().and_then(|plan| plan.queue(&job.queue));
        let id = queue.map(|queue| &queue.pool).or(job.submission_pool.as_ref())?.clone();
        let known = self.servers.values().filter(|server| server.record.pool == id).count();
        let open = self.open_servers(now, state).in_pool(&id).cloned().collect();
        Some(PoolSummary { id, known, open })
    }

    /// The runs of a step, at most [`MAX_RUNS_LISTED`].
    fn run_reasons(&self, now: Uptime, id: StepId) -> Vec<Reason> {
        let runs = self.runs_of_step(id).take(MAX_RUNS_LISTED);
        runs.map(|(_, run)| self.run_reason(now, run)).collect()
    }

    fn runs_of_step(&self, id: StepId) -> impl Iterator<Item = (&TaskId, &Run)> {
        self.runs.range(TaskId { step: id, index: 0 }..=TaskId { step: id, index: u32::MAX })
    }

    fn run_reason(&self, now: Uptime, run: &Run) -> Reason {
        let server = self.servers.get(&run.incarnation.id);
        let responsiveness = server.and_then(|server| {
            let ago_ms = now.saturating_sub(server.answered_at?).as_millis();
            Some(if server.is_failing {
                Responsiveness::Unresponsive(ago_ms)
            } else {
                Responsiveness::Responsive(ago_ms)
            })
        });
        let phase = match run.phase {
            RunPhase::Proposed => "proposed to start",
            RunPhase::Ordered => "ordered to start",
            RunPhase::Running => "running",
            RunPhase::Stopping => "being stopped",
            RunPhase::Releasing => "being released",
        };
        Reason::Run {
            server: run.incarnation.id.clone(),
            attempt: run.attempt,
            phase,
            elapsed_ms: now.saturating_sub(run.started_at.max(self.elected_at)).as_millis(),
            responsiveness: responsiveness.unwrap_or(Responsiveness::Unknown),
        }
    }

    /// The first condition that keeps the waiting tasks of a step from starting.
    fn waiting_reason(
        &self,
        context: &StepContext<'_>,
        pool: Option<&PoolSummary>,
        wall_ms: u64,
        state: &JobState,
    ) -> Reason {
        let StepContext { id, job, spec } = *context;
        if job.phase != JobPhase::Active {
            return Reason::JobEnded;
        }
        let due_at_ms = job.spec.due_at_ms(id.occurrence);
        if due_at_ms > wall_ms {
            return Reason::NotDue { in_ms: due_at_ms - wall_ms };
        }
        let is_unfinished = |on: &u32| !job.step(id.occurrence, *on).is_some_and(Step::is_done);
        let steps: Vec<_> = spec.depends_on.iter().copied().filter(is_unfinished).collect();
        if !steps.is_empty() {
            return Reason::Dependencies { steps };
        }
        let Some(pool) = pool else { return Reason::NoPool };
        let count = if spec.is_gang { u64::from(spec.count) } else { 1 };
        if let Some(exceeded) = self.exceeded_limit(job, spec, count, state) {
            return Reason::TeamLimit {
                team: exceeded.team,
                used: exceeded.used,
                limit: exceeded.limit,
            };
        }
        if self.has_reached_run_limit(usize::try_from(count).unwrap_or(usize::MAX)) {
            return Reason::RunLimit { runs: self.runs.len(), limit: self.settings.max_runs };
        }
        let request = PlacementRequest { step: id, spec, pool: &pool.id };
        let open = pool.open.iter().filter_map(|id| self.servers.get(id));
        let suitable: Vec<_> =
            open.filter(|server| self.meets_constraints(&request, server)).collect();
        let reservation = spec.reservation();
        let fits = |server: &Server| {
            server.runs.len() < self.settings.max_runs_per_server
                && reservation.fits_in(&server.free())
        };
        Reason::NoCapacity {
            pool: pool.id.clone(),
            known: pool.known,
            open: pool.open.len(),
            suitable: suitable.len(),
            fitting: suitable.iter().filter(|server| fits(server)).count(),
        }
    }
}
