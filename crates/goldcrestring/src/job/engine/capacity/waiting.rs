//! Demand of the tasks that wait.

use super::PoolUsage;
use crate::job::engine::Engine;
use crate::job::engine::schedule::Class;
use crate::job::id::PoolId;
use crate::job::resources::Resources;
use crate::job::spec::StepSpec;
use crate::job::state::JobState;
use std::collections::BTreeMap;

impl Engine {
    /// The maximum of each resource that any VM has.
    pub(super) fn largest_capacity(&self) -> Resources {
        let running = self.servers.values().map(|server| &server.record.capacity);
        let listed = self.capacity.listed.values().map(|listed| &listed.capacity);
        running.chain(listed).fold(Resources::default(), |max, next| max.component_max(next))
    }

    /// Adds the waiting tasks and the spread of long-running ones to the usage of their pools.
    pub(super) fn add_waiting(&self, pools: &mut BTreeMap<PoolId, PoolUsage>, state: &JobState) {
        let Some(plan) = state.plan() else { return };
        for (id, job) in state.active_jobs() {
            let queue = plan.queue(&job.queue);
            let pool = queue.map(|queue| &queue.pool).or(job.submission_pool.as_ref());
            let Some(usage) = pool.and_then(|pool| pools.get_mut(pool)) else { continue };
            for (number, occurrence) in (0..).zip(job.occurrences()) {
                if job.spec.due_at_ms(number) > self.wall_ms {
                    break;
                }
                let mut class = None;
                let steps = occurrence.steps.iter().zip(&job.spec.steps);
                let may_fit = |spec: &StepSpec| spec.reservation().fits_in(&self.capacity.largest);
                for (step, spec) in steps.filter(|(_, spec)| may_fit(spec)) {
                    if spec.is_long_running {
                        let per_server = spec.max_per_server.max(1);
                        let required = spec.count.div_ceil(per_server);
                        usage.required_servers =
                            usage.required_servers.max(usize::try_from(required).unwrap_or(0));
                    }
                    if step.waiting().is_empty() || !occurrence.is_ready(spec) {
                        continue;
                    }
                    let class = *class.get_or_insert_with(|| {
                        self.job_class(self.wall_ms, *id, job, number, queue)
                    });
                    let count = u64::try_from(step.waiting().len()).unwrap_or(u64::MAX);
                    let demand = spec.reservation().saturating_mul(count);
                    let waiting = match class {
                        _ if spec.is_long_running => &mut usage.waiting_in_time,
                        Class::LongRunning | Class::InTime => &mut usage.waiting_in_time,
                        Class::Late => &mut usage.waiting_late,
                        Class::Overdue => &mut usage.waiting_overdue,
                    };
                    *waiting = waiting.saturating_add(&demand);
                }
            }
        }
    }
}
