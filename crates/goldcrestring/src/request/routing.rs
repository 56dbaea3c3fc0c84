//! The choice of a backend server for a request.
//!
//! Two servers are drawn at random and the less loaded one is taken (the power of two choices,
//! Mitzenmacher 2001). Servers that leave, are ejected, are full, or stand in a data centre out of
//! service are never taken.

use crate::clock::Uptime;
use crate::connection::BackendServers;
use crate::name::{PoolName, QueueName, VmId};
use crate::version::Configuration;
use derive_more::Display;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How often two servers are drawn before the list is searched in order.
const DRAWS: usize = 3;

/// How many failures in a row eject a server.
const FAILURES_TO_EJECT: u32 = 5;

/// How long the first ejection lasts; each further one in a row lasts as much longer.
const EJECTION: Duration = Duration::from_secs(10);

/// The most of a queue's servers that may be ejected at once, in hundredths.
const MAX_EJECTED_PERCENT: usize = 30;

/// How long a new server takes to reach its full share.
const SLOW_START: Duration = Duration::from_secs(10);

/// How long a server that refused for lack of room is left alone.
const FULL_PAUSE: Duration = Duration::from_millis(20);

/// Why no backend server could be chosen.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RoutingError {
    /// No VM that announced itself belongs to a pool of the queue and is in service.
    #[display("no-server")]
    NoServer,
    /// Every server that may take the request is full, ejected or excluded.
    #[display("no-room")]
    NoCapacity,
}

/// The result of a choice.
pub type Result<T> = std::result::Result<T, RoutingError>;

/// A chosen backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerChoice {
    /// The VM of the server.
    pub vm: VmId,
    /// The pool of the VM.
    pub pool: PoolName,
    /// Where the server takes tasks.
    pub address: SocketAddr,
    /// The tasks of this entry on the server before this one.
    pub in_flight: u32,
    /// The number of servers that the choice was made from.
    pub candidates: usize,
}

#[derive(Clone, Debug)]
struct Server {
    vm: VmId,
    pool: PoolName,
    address: SocketAddr,
    slots: u32,
    /// Tasks that other entries run there, by the server's own last count.
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

    /// The slots in use during slow start grow from one to all.
    fn usable_slots(&self, now: Uptime) -> u32 {
        let age = now.saturating_sub(self.first_seen);
        if age >= SLOW_START {
            return self.slots;
        }
        let part = u128::from(self.slots) * age.as_millis() / SLOW_START.as_millis();
        u32::try_from(part).unwrap_or(self.slots).max(1)
    }

    /// Orders servers by load relative to their size.
    fn load(&self, now: Uptime) -> u64 {
        let tasks = u64::from(self.in_flight + self.others_running);
        tasks * 1_000 / u64::from(self.usable_slots(now).max(1))
    }
}

/// Chooses backend servers for one entry.
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
    /// A router without servers; the seed fixes its draws.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            servers: Vec::new(),
            by_vm: BTreeMap::new(),
            by_queue: BTreeMap::new(),
        }
    }

    /// Works out anew which servers serve which queue; counts of running tasks are kept.
    pub fn rebuild(&mut self, configuration: &Configuration, announced: &BackendServers) {
        let pools = configuration.pools_by_vm();
        let mut kept: BTreeMap<_, _> =
            std::mem::take(&mut self.servers).into_iter().map(|s| (s.vm.clone(), s)).collect();
        let queues_of_pool = queues_of_pools(configuration);
        for server in announced.iter() {
            let announcement = &server.announcement;
            let previous = kept.remove(&announcement.vm);
            let Some(pool) = pools.get(&announcement.vm) else { continue };
            // The operators' label goes before what the server says of itself.
            let data_centre = configuration
                .data_centre_of_vm(&announcement.vm)
                .unwrap_or_else(|| announcement.data_centre.clone());
            let is_open = !announcement.is_leaving && configuration.is_in_service(&data_centre);
            let queues = queues_of_pool.get(pool).filter(|_| is_open).cloned().unwrap_or_default();
            let is_same_start = previous
                .as_ref()
                .is_some_and(|server_before| server_before.first_seen == server.first_seen);
            let previous = previous.filter(|_| is_same_start);
            self.servers.push(Server {
                vm: announcement.vm.clone(),
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
        self.index();
    }

    /// Chooses a server for a queue, other than those already tried, and counts the task.
    ///
    /// # Errors
    ///
    /// A [`RoutingError`] when no server may take the request.
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
        let is_open = |index: &usize| {
            let server = &self.servers[*index];
            server.is_usable(now) && !tried.contains(&server.vm)
        };
        let mut chosen = None;
        for _ in 0..DRAWS {
            let first = candidates[self.rng.random_range(0..count)];
            let second = candidates[self.rng.random_range(0..count)];
            let open = [first, second].into_iter().filter(|index| is_open(index));
            chosen = open.min_by_key(|index| self.servers[*index].load(now));
            if chosen.is_some() {
                break;
            }
        }
        if chosen.is_none() {
            let start = self.rng.random_range(0..count);
            let in_order = candidates[start..].iter().chain(&candidates[..start]);
            chosen = in_order.copied().find(|index| is_open(index));
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

    /// Notes that a task on a server has ended, with the tasks the server says it still runs.
    pub fn finish(&mut self, vm: &VmId, running: Option<u32>) {
        if let Some(server) = self.server_mut(vm) {
            server.in_flight = server.in_flight.saturating_sub(1);
            if let Some(running) = running {
                server.others_running = running.saturating_sub(server.in_flight);
            }
        }
    }

    /// Notes a server's own count of running tasks from an announcement.
    pub fn record_running(&mut self, vm: &VmId, running: u32) {
        if let Some(server) = self.server_mut(vm) {
            server.others_running = running.saturating_sub(server.in_flight);
        }
    }

    /// Notes that a server refused a task for lack of room.
    pub fn record_full(&mut self, now: Uptime, vm: &VmId) {
        if let Some(server) = self.server_mut(vm) {
            server.full_until = now + FULL_PAUSE;
            // The count that made room seem to be there is out of date; the next answer renews it.
            server.others_running = 0;
        }
    }

    /// Notes an answer, which ends a row of failures.
    pub fn record_success(&mut self, vm: &VmId) {
        if let Some(server) = self.server_mut(vm) {
            server.failures = 0;
            server.ejections = 0;
        }
    }

    /// Notes a failure; returns whether the server is ejected by it.
    pub fn record_failure(&mut self, now: Uptime, vm: &VmId) -> bool {
        let Some(&index) = self.by_vm.get(vm) else {
            return false;
        };
        self.servers[index].failures += 1;
        if self.servers[index].failures < FAILURES_TO_EJECT || !self.may_eject(now, index) {
            return false;
        }
        let server = &mut self.servers[index];
        server.failures = 0;
        server.ejections += 1;
        server.ejected_until = now + EJECTION * server.ejections.min(30);
        true
    }

    /// The number of servers that may be chosen for a queue.
    pub fn candidates(&self, queue: &QueueName) -> usize {
        self.by_queue.get(queue).map_or(0, Vec::len)
    }

    /// Whether a server of the queue has room.
    pub fn has_capacity(&self, now: Uptime, queue: &QueueName) -> bool {
        let candidates = self.by_queue.get(queue);
        candidates.is_some_and(|all| all.iter().any(|index| self.servers[*index].is_usable(now)))
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

    fn index(&mut self) {
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

fn queues_of_pools(configuration: &Configuration) -> BTreeMap<PoolName, Vec<QueueName>> {
    let mut queues: BTreeMap<PoolName, Vec<QueueName>> = BTreeMap::new();
    for name in configuration.queue_names() {
        let Some(queue) = configuration.queue(&name) else { continue };
        for pool in configuration.pools_of_queue(queue) {
            queues.entry(pool).or_default().push(name.clone());
        }
    }
    queues
}
