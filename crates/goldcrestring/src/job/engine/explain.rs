//! Why the tasks of a job are where they are, and what those that wait are waiting for.

use super::Engine;
use super::placement::Demand;
use super::run::{Run, RunPhase};
use crate::clock::Uptime;
use crate::job::id::{Attempt, JobId, PoolId, ServerId, StepId, TaskId, TeamId};
use crate::job::resources::Resources;
use crate::job::spec::StepSpec;
use crate::job::state::{Job, JobPhase, JobState, Step};
use crate::job::view::TaskCounts;
use derive_more::Display;

/// The most runs of one step that are told one by one.
const MAX_RUNS_TOLD: usize = 16;

/// What holds for some tasks of one step.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("occurrence {occurrence}, step {step}: {tasks} tasks {reason}")]
pub struct Finding {
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u32,
    /// For how many of its tasks it holds.
    pub tasks: usize,
    /// What holds.
    pub reason: Reason,
}

/// Why tasks are where they are.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Reason {
    /// They have ended as done.
    #[display("are done")]
    Done,
    /// The job has ended.
    #[display("start no more: the job has ended")]
    JobEnded,
    /// The occurrence is not due yet.
    #[display("wait: due in {in_ms} ms")]
    NotDue {
        /// How long it still takes, in milliseconds.
        in_ms: u64,
    },
    /// Earlier steps are not done.
    #[display("wait for steps {steps:?}")]
    Dependencies {
        /// Those that are not done.
        steps: Vec<u32>,
    },
    /// The queue is in no plan, and was in none when the job came.
    #[display("wait: the queue has no pool")]
    NoPool,
    /// One more would take the team over its limit.
    #[display("wait: team {team} uses {used} of its limit of {limit}")]
    TeamLimit {
        /// The team.
        team: TeamId,
        /// What its tasks use.
        used: Resources,
        /// Its limit.
        limit: Resources,
    },
    /// No backend server that may be given the task has room.
    #[display(
        "wait for room: pool {pool} has {known} backend servers, {open} open, {suitable} suitable, \
         {fitting} with room"
    )]
    NoCapacity {
        /// The pool.
        pool: PoolId,
        /// All its backend servers.
        known: usize,
        /// Those that may be given something now.
        open: usize,
        /// Those of them with the label and the spread that the step asks for.
        suitable: usize,
        /// Those of them that have room for one task.
        fitting: usize,
    },
    /// One may be running.
    #[display(
        "{phase} on {server}, attempt {attempt}, since {since_ms} ms; the backend server {responsiveness}"
    )]
    Run {
        /// Where.
        server: ServerId,
        /// The attempt.
        attempt: Attempt,
        /// How far the run is.
        phase: &'static str,
        /// The time since its last order, in milliseconds.
        since_ms: u128,
        /// When the backend server last answered.
        responsiveness: Responsiveness,
    },
}

/// When a backend server last answered this leader.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Responsiveness {
    /// It answered so long ago, in milliseconds.
    #[display("answered {_0} ms ago")]
    Responsive(u128),
    /// Its last call got no answer; the last answer is so long ago, in milliseconds.
    #[display("is silent, answered {_0} ms ago")]
    Unresponsive(u128),
    /// It has not answered this leader.
    #[display("has not answered this leader")]
    Unknown,
}

/// A step with what it belongs to.
struct Place<'a> {
    id: StepId,
    job: &'a Job,
    spec: &'a StepSpec,
}

/// A pool when a job is explained.
struct PoolView {
    id: PoolId,
    known: usize,
    open: Vec<ServerId>,
}

impl Engine {
    /// Tells why the tasks of a job are where they are; `None` for a job that is not remembered.
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
        let pool = self.pool_view(now, job, state);
        let mut findings = Vec::new();
        for (occurrence, steps) in (0..).zip(job.occurrences()) {
            for (number, (step, spec)) in (0..).zip(steps.steps.iter().zip(&job.spec.steps)) {
                let id = StepId { job: id, occurrence, step: number };
                let mut tell = |tasks, reason| {
                    findings.push(Finding { occurrence, step: number, tasks, reason });
                };
                let done = TaskCounts::of(step).done;
                if done > 0 {
                    tell(done, Reason::Done);
                }
                for reason in self.runs_of(now, id, step) {
                    tell(1, reason);
                }
                let waiting = step.waiting().iter().map(|index| TaskId { step: id, index: *index });
                let waiting = waiting.filter(|task| !self.runs.contains_key(task)).count();
                if waiting > 0 {
                    let place = Place { id, job, spec };
                    tell(waiting, self.wait_of(&place, pool.as_ref(), wall_ms, state));
                }
            }
        }
        Some(findings)
    }

    /// What a job's pool has now; `None` where its queue has no pool.
    fn pool_view(&self, now: Uptime, job: &Job, state: &JobState) -> Option<PoolView> {
        let queue = state.plan().and_then(|plan| plan.queue(&job.queue));
        let id = queue.map(|queue| &queue.pool).or(job.submission_pool.as_ref())?.clone();
        let known = self.servers.values().filter(|server| server.record.pool == id).count();
        let open = self.open_room(now, state).of_pool(&id).cloned().collect();
        Some(PoolView { id, known, open })
    }

    fn runs_of(&self, now: Uptime, id: StepId, step: &Step) -> Vec<Reason> {
        let indices = 0..u32::try_from(step.tasks().len()).unwrap_or(u32::MAX);
        let runs = indices.filter_map(|index| self.runs.get(&TaskId { step: id, index }));
        runs.take(MAX_RUNS_TOLD).map(|run| self.run_reason(now, run)).collect()
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
            RunPhase::Proposed => "being stored",
            RunPhase::Ordered => "being ordered",
            RunPhase::Running => "running",
            RunPhase::Stopping => "being stopped",
            RunPhase::Releasing => "being released",
        };
        Reason::Run {
            server: run.incarnation.id.clone(),
            attempt: run.attempt,
            phase,
            since_ms: now.saturating_sub(run.started_at.max(self.elected_at)).as_millis(),
            responsiveness: responsiveness.unwrap_or(Responsiveness::Unknown),
        }
    }

    /// The first rule that keeps the waiting tasks of a step from starting.
    fn wait_of(
        &self,
        place: &Place<'_>,
        pool: Option<&PoolView>,
        wall_ms: u64,
        state: &JobState,
    ) -> Reason {
        let Place { id, job, spec } = *place;
        if job.phase != JobPhase::Active {
            return Reason::JobEnded;
        }
        let due_at_ms = job.spec.due_at_ms(id.occurrence);
        if due_at_ms > wall_ms {
            return Reason::NotDue { in_ms: due_at_ms - wall_ms };
        }
        let is_open = |on: &u32| !job.step(id.occurrence, *on).is_some_and(Step::is_done);
        let steps: Vec<_> = spec.depends_on.iter().copied().filter(is_open).collect();
        if !steps.is_empty() {
            return Reason::Dependencies { steps };
        }
        let Some(pool) = pool else { return Reason::NoPool };
        let count = if spec.is_gang { u64::from(spec.count) } else { 1 };
        if let Some(over) = self.over_limit(job, spec, count, state) {
            return Reason::TeamLimit { team: over.team, used: over.used, limit: over.limit };
        }
        let demand = Demand { step: id, spec, pool: &pool.id };
        let open = pool.open.iter().filter_map(|id| self.servers.get(id));
        let suitable: Vec<_> = open.filter(|server| self.suits(&demand, server)).collect();
        let room = spec.reservation();
        Reason::NoCapacity {
            pool: pool.id.clone(),
            known: pool.known,
            open: pool.open.len(),
            suitable: suitable.len(),
            fitting: suitable.iter().filter(|server| room.fits_in(&server.free())).count(),
        }
    }
}
