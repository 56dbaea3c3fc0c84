//! The jobs of a queue, while operators rename, move, remove and return queues.

use super::JobState;
use super::record::Job;
use crate::job::command::PlanDocument;
use crate::job::id::{JobId, PoolId};
use crate::job::plan::{FleetPlan, Queue, QueueRoute};
use std::collections::BTreeMap;

impl JobState {
    /// A job as callers of a queue find it: one of the queue, or one that was submitted at the route that is
    /// the queue's now.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::job::command::PlanDocument;
    /// use goldcrestring::job::plan::{FleetPlan, PlanError, Pool, Queue};
    /// use goldcrestring::job::{JobCommand, JobSpec, JobState, StepSpec};
    /// use std::sync::Arc;
    ///
    /// let queue = |name: &str| Queue {
    ///     name: name.into(),
    ///     host: "quotes.example".into(),
    ///     prefix: "/orders/".into(),
    ///     pool: "sales".into(),
    ///     priority: 0,
    ///     max_attempts: 3,
    ///     stretch_per_mille: 1_500,
    ///     target_latency_ms: 600,
    ///     timeout_ms: 3_000,
    ///     is_open: true,
    ///     advice: None,
    /// };
    /// let pool = Pool { name: "sales".into(), enforces_capacity: true, is_standby: false };
    /// let plan = |number, name| {
    ///     let plan = FleetPlan::new(number, vec![queue(name)], vec![pool.clone()], Vec::new())?;
    ///     let document = "{}".into();
    ///     Ok::<_, PlanError>(JobCommand::Plan(Arc::new(PlanDocument { plan, document })))
    /// };
    /// let mut state = JobState::default();
    /// state.apply(&plan(1, "orders")?);
    /// let steps = vec![StepSpec { count: 2, ..StepSpec::default() }];
    /// let spec = Arc::new(JobSpec { steps, ..JobSpec::default() });
    /// let id = "5c0e7a21d94b36f8".parse().unwrap();
    /// state.apply(&JobCommand::Submit { id, queue: "orders".into(), team: None, spec, at_ms: 1 });
    /// state.apply(&plan(2, "shop-orders")?);
    /// assert!(state.job_in_queue(&id, &queue("shop-orders")).is_some());
    /// # Ok::<(), PlanError>(())
    /// ```
    pub fn job_in_queue(&self, id: &JobId, queue: &Queue) -> Option<&Job> {
        self.job(id).filter(|job| job.is_found_in(queue))
    }

    /// The number of active jobs that callers of a queue find and of which no task has started yet.
    pub fn pending_job_count(&self, queue: &Queue) -> usize {
        let is_pending = |job: &Job| job.is_found_in(queue) && !job.has_started();
        self.active_jobs().filter(|(_, job)| is_pending(job)).count()
    }

    /// Assigns the jobs of queues that the new plan does not contain to the queue that has their route now.
    ///
    /// A queue with another pool is not the same queue under another name; the jobs then keep the pool that
    /// they were submitted for, as long as the plan has it.
    pub(super) fn follow_renamed_queues(
        &mut self,
        previous: Option<&PlanDocument>,
        plan: &FleetPlan,
    ) {
        let by_route: BTreeMap<_, _> = plan.queues().map(|queue| (queue.route(), queue)).collect();
        let at_route = |route: &QueueRoute| by_route.get(route).copied();
        self.jobs.for_each_mut(|job| {
            if plan.queue(&job.queue).is_some() {
                return;
            }
            let removed = previous.and_then(|previous| previous.plan.queue(&job.queue));
            let successor = removed
                .and_then(|queue| at_route(&queue.route()))
                .or_else(|| at_route(job.submission_route.as_ref()?));
            let pool = removed.map(|queue| &queue.pool).or(job.submission_pool.as_ref());
            if let Some(queue) = successor.filter(|queue| may_move_to(queue, pool, plan)) {
                job.queue = queue.name.clone();
            }
        });
    }
}

/// Whether a job of a removed queue with this pool may move to another queue.
fn may_move_to(queue: &Queue, pool: Option<&PoolId>, plan: &FleetPlan) -> bool {
    pool.is_none_or(|pool| queue.pool == *pool || plan.pool(pool).is_none())
}
