//! Load balancing: selects a backend server for each request.
//!
//! Two servers are sampled at random and the less loaded one is selected (the power of two choices,
//! Mitzenmacher 2001). Servers that are shutting down, ejected, full or in a data centre that is
//! out of service are never selected.

use crate::clock::Uptime;
use crate::connection::BackendServers;
use crate::name::{PoolName, QueueName, VmId};
use crate::quantity::BootId;
use crate::version::Configuration;
use derive_more::Display;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The number of random pairs of servers to sample before the servers are searched in order.
const MAX_SAMPLES: usize = 3;

/// The number of consecutive failures after which a server is ejected.
const EJECTION_THRESHOLD: u32 = 5;

/// The duration of the first ejection; each consecutive one lasts longer by the same amount.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(10);

/// The maximum share of a queue's servers that may be ejected at once, in percent.
const MAX_EJECTED_PERCENT: usize = 30;

/// The time over which a new server ramps up to its full share of tasks.
const SLOW_START: Duration = Duration::from_secs(10);

/// How long a server is skipped after it rejected a task because it was full.
const FULL_BACKOFF: Duration = Duration::from_millis(20);

/// The reason why no backend server could be selected.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RoutingError {
    /// No registered server belongs to a pool of the queue and is in service.
    #[display("no-server")]
    NoServer,
    /// Every server of the queue is full, ejected or already tried.
    #[display("no-room")]
    NoCapacity,
}

/// The result of selecting a server.
pub type Result<T> = std::result::Result<T, RoutingError>;

/// A selected backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerChoice {
    /// The VM of the server.
    pub vm: VmId,
    /// The pool of the VM.
    pub pool: PoolName,
    /// The address at which the server accepts tasks.
    pub address: SocketAddr,
    /// The number of this entry's tasks on the server, not counting the new one.
    pub in_flight: u32,
    /// The number of servers that serve the queue, from which this one was selected.
    pub candidates: usize,
}

#[derive(Clone, Debug)]
struct Server {
    vm: VmId,
    boot: BootId,
    pool: PoolName,
    address: SocketAddr,
    slots: u32,
    /// The number of tasks from other entries, according to the server's last report.
    others_running: u32,
    in_flight: u32,
    first_seen: Uptime,
    full_until: Uptime,
    ejected_until: Uptime,
    failures: u32,
    ejections: u32,
    queues: Vec<QueueName>,
}

impl Server {
    fn is_usable(&self, now: Uptime) -> bool {
        now >= self.ejected_until
            && now >= self.full_until
            && self.in_flight + self.others_running < self.usable_slots(now)
    }

    /// Returns the number of usable slots, which rises from one to all during slow start.
    fn usable_slots(&self, now: Uptime) -> u32 {
        let age = now.saturating_sub(self.first_seen);
        if age >= SLOW_START {
            return self.slots;
        }
        let ramped = u128::from(self.slots) * age.as_millis() / SLOW_START.as_millis();
        u32::try_from(ramped).unwrap_or(self.slots).max(1)
    }

    /// Returns the number of tasks per 1,000 usable slots.
    fn load(&self, now: Uptime) -> u64 {
        let tasks = u64::from(self.in_flight + self.others_running);
        tasks * 1_000 / u64::from(self.usable_slots(now).max(1))
    }
}

/// Selects backend servers for one entry.
///
/// # Examples
///
/// ```
/// use goldcrestring::request::{RoutingError, Router};
/// use std::time::Duration;
///
/// let mut router = Router::new(1);
/// let choice = router.choose(Duration::ZERO, &"quotes".parse()?, &[]);
/// assert_eq!(choice, Err(RoutingError::NoServer));
/// # Ok::<(), goldcrestring::name::NameError>(())
/// ```
#[derive(Clone, Debug)]
pub struct Router {
    rng: SmallRng,
    servers: Vec<Server>,
    by_vm: BTreeMap<VmId, usize>,
    by_queue: BTreeMap<QueueName, Vec<usize>>,
}

impl Router {
    /// Creates a router without servers; `seed` seeds its random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            servers: Vec::new(),
            by_vm: BTreeMap::new(),
            by_queue: BTreeMap::new(),
        }
    }

    /// Rebuilds the mapping of queues to servers; servers that did not restart keep their state.
    pub fn rebuild(&mut self, configuration: &Configuration, announced: &BackendServers) {
        let pools = configuration.pools_by_vm();
        let mut kept: BTreeMap<_, _> =
            std::mem::take(&mut self.servers).into_iter().map(|s| (s.vm.clone(), s)).collect();
        let queues_by_pool = queues_by_pool(configuration);
        for server in announced.iter() {
            let announcement = &server.announcement;
            let previous = kept.remove(&announcement.vm);
            let Some(pool) = pools.get(&announcement.vm) else { continue };
            // The VM's label takes precedence over the announcement.
            let data_centre = configuration
                .data_centre_of_vm(&announcement.vm)
                .unwrap_or_else(|| announcement.data_centre.clone());
            let is_available =
                !announcement.is_leaving && configuration.is_in_service(&data_centre);
            let queues =
                queues_by_pool.get(pool).filter(|_| is_available).cloned().unwrap_or_default();
            let previous = previous.filter(|previous| {
                previous.boot == announcement.boot && previous.first_seen == server.first_seen
            });
            self.servers.push(Server {
                vm: announcement.vm.clone(),
                boot: announcement.boot,
                pool: pool.clone(),
                address: announcement.address,
                slots: announcement.slots,
                others_running: previous.as_ref().map_or(0, |p| p.others_running),
                in_flight: previous.as_ref().map_or(0, |p| p.in_flight),
                first_seen: server.first_seen,
                full_until: previous.as_ref().map_or(Uptime::ZERO, |p| p.full_until),
                ejected_until: previous.as_ref().map_or(Uptime::ZERO, |p| p.ejected_until),
                failures: previous.as_ref().map_or(0, |p| p.failures),
                ejections: previous.as_ref().map_or(0, |p| p.ejections),
                queues,
            });
        }
        self.rebuild_indexes();
    }

    /// Selects a server for a queue, other than those already tried, and counts the task on it.
    ///
    /// # Errors
    ///
    /// Returns [`RoutingError::NoServer`] if no server in service serves the queue, and
    /// [`RoutingError::NoCapacity`] if each one is full, ejected or already tried.
    pub fn choose(
        &mut self,
        now: Uptime,
        queue: &QueueName,
        tried: &[VmId],
    ) -> Result<ServerChoice> {
        let candidates = self.by_queue.get(queue).map_or(&[][..], Vec::as_slice);
        if candidates.is_empty() {
            return Err(RoutingError::NoServer);
        }
        let count = candidates.len();
        let is_eligible = |index: &usize| {
            let server = &self.servers[*index];
            server.is_usable(now) && !tried.contains(&server.vm)
        };
        let mut chosen = None;
        for _ in 0..MAX_SAMPLES {
            let first = candidates[self.rng.random_range(0..count)];
            let second = candidates[self.rng.random_range(0..count)];
            let eligible = [first, second].into_iter().filter(|index| is_eligible(index));
            chosen = eligible.min_by_key(|index| self.servers[*index].load(now));
            if chosen.is_some() {
                break;
            }
        }
        if chosen.is_none() {
            let start = self.rng.random_range(0..count);
            let in_order = candidates[start..].iter().chain(&candidates[..start]);
            chosen = in_order.copied().find(|index| is_eligible(index));
        }
        let server = &mut self.servers[chosen.ok_or(RoutingError::NoCapacity)?];
        let in_flight = server.in_flight;
        server.in_flight += 1;
        Ok(ServerChoice {
            vm: server.vm.clone(),
            pool: server.pool.clone(),
            address: server.address,
            in_flight,
            candidates: count,
        })
    }

    /// Records the end of a task, and the number of tasks that the server still runs, if reported.
    pub fn finish(&mut self, vm: &VmId, running: Option<u32>) {
        if let Some(server) = self.server_mut(vm) {
            server.in_flight = server.in_flight.saturating_sub(1);
            if let Some(running) = running {
                server.others_running = running.saturating_sub(server.in_flight);
            }
        }
    }

    /// Records the number of running tasks that a server announced.
    pub fn record_running(&mut self, vm: &VmId, running: u32) {
        if let Some(server) = self.server_mut(vm) {
            server.others_running = running.saturating_sub(server.in_flight);
        }
    }

    /// Records that a server rejected a task because it was full.
    pub fn record_full(&mut self, now: Uptime, vm: &VmId) {
        if let Some(server) = self.server_mut(vm) {
            server.full_until = now + FULL_BACKOFF;
            // The last reported count indicated free slots, so it is stale; the next response
            // updates it.
            server.others_running = 0;
        }
    }

    /// Records a response, which resets the counts of consecutive failures and ejections.
    pub fn record_success(&mut self, vm: &VmId) {
        if let Some(server) = self.server_mut(vm) {
            server.failures = 0;
            server.ejections = 0;
        }
    }

    /// Records a failed attempt and returns whether it ejects the server.
    pub fn record_failure(&mut self, now: Uptime, vm: &VmId) -> bool {
        let Some(&index) = self.by_vm.get(vm) else {
            return false;
        };
        self.servers[index].failures += 1;
        if self.servers[index].failures < EJECTION_THRESHOLD || !self.may_eject(now, index) {
            return false;
        }
        let server = &mut self.servers[index];
        server.failures = 0;
        server.ejections += 1;
        server.ejected_until = now + BASE_EJECTION_TIME * server.ejections.min(30);
        true
    }

    /// Returns the number of servers that serve a queue.
    pub fn candidate_count(&self, queue: &QueueName) -> usize {
        self.by_queue.get(queue).map_or(0, Vec::len)
    }

    fn may_eject(&self, now: Uptime, index: usize) -> bool {
        self.servers[index].queues.iter().all(|queue| {
            let all = self.by_queue.get(queue).map_or(&[][..], Vec::as_slice);
            let ejected = all.iter().filter(|at| now < self.servers[**at].ejected_until).count();
            (ejected + 1) * 100 <= all.len() * MAX_EJECTED_PERCENT
        })
    }

    fn server_mut(&mut self, vm: &VmId) -> Option<&mut Server> {
        self.servers.get_mut(*self.by_vm.get(vm)?)
    }

    fn rebuild_indexes(&mut self) {
        self.by_vm.clear();
        self.by_queue.clear();
        for (index, server) in self.servers.iter().enumerate() {
            self.by_vm.insert(server.vm.clone(), index);
            for queue in &server.queues {
                self.by_queue.entry(queue.clone()).or_default().push(index);
            }
        }
    }
}

fn queues_by_pool(configuration: &Configuration) -> BTreeMap<PoolName, Vec<QueueName>> {
    let mut queues: BTreeMap<PoolName, Vec<QueueName>> = BTreeMap::new();
    for name in configuration.queue_names() {
        let Some(queue) = configuration.queue(&name) else { continue };
        for pool in configuration.pools_of_queue(queue) {
            queues.entry(pool).or_default().push(name.clone());
        }
    }
    queues
}
