//! The fleet plan: queues, pools and teams, which operators replace as a whole.
//!
//! The plan with the highest number is in force. Its document is kept as sent by the operators.

use crate::job::id::{PoolId, QueueId, TeamId};
use crate::job::resources::Resources;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Why a plan is invalid.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum PlanError {
    /// A queue refers to a pool that the plan does not contain.
    #[display("queue {queue} refers to unknown pool {pool}")]
    UnknownPool {
        /// The queue.
        queue: QueueId,
        /// The pool.
        pool: PoolId,
    },
    /// Two queues have the same host and path prefix.
    #[display("queues {first} and {second} share host and path prefix")]
    DuplicateRoute {
        /// One queue.
        first: QueueId,
        /// The other queue.
        second: QueueId,
    },
    /// Two queues, pools or teams have the same name.
    #[display("name {name} is used more than once")]
    DuplicateName {
        /// The name.
        name: String,
    },
    /// A queue's timeout is zero.
    #[display("queue {queue} has a timeout of zero")]
    ZeroTimeout {
        /// The queue.
        queue: QueueId,
    },
    /// Two teams share a key.
    #[display("teams {first} and {second} share a key")]
    DuplicateKey {
        /// One team.
        first: TeamId,
        /// The other team.
        second: TeamId,
    },
}

/// The result of validating a plan.
pub type Result<T> = std::result::Result<T, PlanError>;

/// Timing of the adviser, a service that decides which backend servers may run a step.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdviserTiming {
    /// The fixed part of the duration of a call, in milliseconds.
    pub decide_ms: u64,
    /// The time that each backend server adds to the duration of a call, in milliseconds.
    pub per_server_ms: u64,
    /// The validity of a ticket, in milliseconds.
    pub valid_ms: u64,
}

/// Where a queue takes requests: callers address it by host and path, not by name.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct QueueRoute {
    /// The host.
    pub host: Arc<str>,
    /// The path prefix.
    pub prefix: Arc<str>,
}

/// A queue of jobs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Queue {
    /// Its name.
    pub name: QueueId,
    /// The host of its requests.
    pub host: Arc<str>,
    /// The path prefix of its requests.
    pub prefix: Arc<str>,
    /// The pool whose backend servers run its tasks.
    pub pool: PoolId,
    /// The priority; zero is the highest.
    pub priority: u32,
    /// The maximum number of failed attempts per task.
    pub max_attempts: u32,
    /// The part of a job's objective that scales with its critical path, in thousandths of the
    /// critical path.
    pub stretch_per_mille: u64,
    /// The fixed part of a job's objective, in milliseconds.
    pub target_latency_ms: u64,
    /// The timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Whether requests need no key.
    pub is_open: bool,
    /// The timing of the adviser; `None` if starts need no tickets.
    pub advice: Option<AdviserTiming>,
}

impl Queue {
    /// The route of its requests.
    pub fn route(&self) -> QueueRoute {
        QueueRoute { host: Arc::clone(&self.host), prefix: Arc::clone(&self.prefix) }
    }

    /// Whether it takes requests at the route.
    pub fn is_at(&self, route: &QueueRoute) -> bool {
        self.host == route.host && self.prefix == route.prefix
    }
}

/// A pool of VMs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pool {
    /// Its name.
    pub name: PoolId,
    /// Whether its backend servers refuse tasks that exceed their capacity.
    pub enforces_capacity: bool,
    /// Whether its VMs are on standby, that is, off.
    pub is_standby: bool,
}

/// A team.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Team {
    /// Its name.
    pub name: TeamId,
    /// Its keys.
    pub keys: BTreeSet<Arc<str>>,
    /// Its share of the fleet under contention, relative to the weights of other teams.
    pub weight: u64,
    /// The maximum resources of its running tasks across the fleet; zero is no limit.
    pub limit: Resources,
}

/// A validated plan of queues, pools and teams.
///
/// # Examples
///
/// ```
/// use goldcrestring::job::FleetPlan;
///
/// let plan = FleetPlan::new(7, Vec::new(), Vec::new(), Vec::new())?;
/// assert_eq!(plan.number(), 7);
/// assert!(plan.queue_for("quotes.example", "/orders/17").is_none());
/// # Ok::<(), goldcrestring::job::PlanError>(())
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetPlan {
    number: u64,
    queues: BTreeMap<QueueId, Queue>,
    pools: BTreeMap<PoolId, Pool>,
    teams: BTreeMap<TeamId, Team>,
    keys: BTreeMap<Arc<str>, TeamId>,
}

impl FleetPlan {
    /// Validates and builds a plan.
    ///
    /// # Errors
    ///
    /// Returns a [`PlanError`] if a queue refers to an unknown pool or has a timeout of zero, if
    /// two queues share host and path prefix, if two teams share a key, or if two queues, two pools
    /// or two teams have the same name.
    pub fn new(
        number: u64,
        queues: Vec<Queue>,
        pools: Vec<Pool>,
        teams: Vec<Team>,
    ) -> Result<Self> {
        let mut plan = Self { number, ..Self::default() };
        for pool in pools {
            let name = pool.name.to_string();
            if plan.pools.insert(pool.name.clone(), pool).is_some() {
                return Err(PlanError::DuplicateName { name });
            }
        }
        let mut routes = BTreeMap::new();
        for queue in queues {
            if !plan.pools.contains_key(&queue.pool) {
                return Err(PlanError::UnknownPool { queue: queue.name, pool: queue.pool });
            }
            if queue.timeout_ms == 0 {
                return Err(PlanError::ZeroTimeout { queue: queue.name });
            }
            if let Some(first) = routes.insert(queue.route(), queue.name.clone()) {
                return Err(PlanError::DuplicateRoute { first, second: queue.name });
            }
            let name = queue.name.to_string();
            if plan.queues.insert(queue.name.clone(), queue).is_some() {
                return Err(PlanError::DuplicateName { name });
            }
        }
        for team in teams {
            for key in &team.keys {
                if let Some(first) = plan.keys.insert(Arc::clone(key), team.name.clone()) {
                    return Err(PlanError::DuplicateKey { first, second: team.name });
                }
            }
            let name = team.name.to_string();
            if plan.teams.insert(team.name.clone(), team).is_some() {
                return Err(PlanError::DuplicateName { name });
            }
        }
        Ok(plan)
    }

    /// The number of the plan; a plan with a higher number replaces it.
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// All queues.
    pub fn queues(&self) -> impl Iterator<Item = &Queue> {
        self.queues.values()
    }

    /// A queue by name.
    pub fn queue(&self, name: &QueueId) -> Option<&Queue> {
        self.queues.get(name)
    }

    /// The queue selected by the host and path of a request; the longest prefix wins.
    pub fn queue_for(&self, host: &str, path: &str) -> Option<&Queue> {
        let is_selected = |queue: &&Queue| *queue.host == *host && path.starts_with(&*queue.prefix);
        self.queues.values().filter(is_selected).max_by_key(|queue| queue.prefix.len())
    }

    /// A pool by name.
    pub fn pool(&self, name: &PoolId) -> Option<&Pool> {
        self.pools.get(name)
    }

    /// All pools.
    pub fn pools(&self) -> impl Iterator<Item = &Pool> {
        self.pools.values()
    }

    /// A team by name.
    pub fn team(&self, name: &TeamId) -> Option<&Team> {
        self.teams.get(name)
    }

    /// The team that owns a key.
    pub fn team_of_key(&self, key: &str) -> Option<&TeamId> {
        self.keys.get(key)
    }
}
