//! The fleet plan: queues, pools and teams, replaced as a whole by the operators.
//!
//! The plan with the highest number is in force. Its document is kept as the operators sent it.

use crate::job::id::{PoolId, QueueId, TeamId};
use crate::job::resources::Resources;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Why a plan is invalid.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum PlanError {
    /// A queue names a pool that the plan does not have.
    #[display("queue {queue} names the unknown pool {pool}")]
    UnknownPool {
        /// The queue.
        queue: QueueId,
        /// The pool.
        pool: PoolId,
    },
    /// Two queues have the same host and prefix.
    #[display("queues {first} and {second} share host and prefix")]
    DuplicateRoute {
        /// One queue.
        first: QueueId,
        /// The other queue.
        second: QueueId,
    },
    /// Two queues, pools or teams have the same name.
    #[display("{name} stands twice")]
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
    SharedKey {
        /// One team.
        first: TeamId,
        /// The other team.
        second: TeamId,
    },
}

/// The result of checking a plan.
pub type Result<T> = std::result::Result<T, PlanError>;

/// A service that tells which backend servers may run a step.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdviserTiming {
    /// The time that one call takes, in milliseconds.
    pub decide_ms: u64,
    /// The time that each backend server in a call adds, in milliseconds.
    pub per_server_ms: u64,
    /// How long a ticket is valid, in milliseconds.
    pub valid_ms: u64,
}

/// A queue of jobs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Queue {
    /// Its name.
    pub name: QueueId,
    /// The host that callers name.
    pub host: Arc<str>,
    /// How the paths of its calls begin.
    pub prefix: Arc<str>,
    /// Whose backend servers run its tasks.
    pub pool: PoolId,
    /// Zero goes first.
    pub priority: u32,
    /// How often a task may fail.
    pub max_attempts: u32,
    /// The objective per unit of the longest chain of work, in thousandths.
    pub stretch_per_mille: u64,
    /// What the objective grants beyond the chain of work, in milliseconds.
    pub target_latency_ms: u64,
    /// How long a call may take, in milliseconds.
    pub timeout_ms: u64,
    /// Whether calls need no key.
    pub is_open: bool,
    /// Who must be asked before a start.
    pub advice: Option<AdviserTiming>,
}

/// A pool of VMs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pool {
    /// Its name.
    pub name: PoolId,
    /// Whether its backend servers refuse what exceeds their capacity.
    pub enforces_capacity: bool,
    /// Whether its VMs are off.
    pub is_standby: bool,
}

/// A team.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Team {
    /// Its name.
    pub name: TeamId,
    /// Its keys.
    pub keys: BTreeSet<Arc<str>>,
    /// Its share when all is full.
    pub weight: u64,
    /// What it may have running across the fleet; zero is no limit.
    pub limit: Resources,
}

/// Queues, pools and teams under one number.
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
    /// Checks and builds a plan.
    ///
    /// # Errors
    ///
    /// A [`PlanError`] that names what is wrong.
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
        let mut places = BTreeMap::new();
        for queue in queues {
            if !plan.pools.contains_key(&queue.pool) {
                return Err(PlanError::UnknownPool { queue: queue.name, pool: queue.pool });
            }
            if queue.timeout_ms == 0 {
                return Err(PlanError::ZeroTimeout { queue: queue.name });
            }
            let place = (Arc::clone(&queue.host), Arc::clone(&queue.prefix));
            if let Some(first) = places.insert(place, queue.name.clone()) {
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
                    return Err(PlanError::SharedKey { first, second: team.name });
                }
            }
            let name = team.name.to_string();
            if plan.teams.insert(team.name.clone(), team).is_some() {
                return Err(PlanError::DuplicateName { name });
            }
        }
        Ok(plan)
    }

    /// The number of the plan; higher ones replace lower ones.
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

    /// The queue that a call's host and path select: the longest prefix wins.
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

    /// The team that holds a key.
    pub fn team_of_key(&self, key: &str) -> Option<&TeamId> {
        self.keys.get(key)
    }
}
