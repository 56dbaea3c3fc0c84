//! Admission control: decides which waiting request starts next, and on which server.
//!
//! A request starts when its team has an unused unit at this entry and a backend server has
//! capacity. Under contention, the team with the fewest running tasks relative to its weight goes
//! first, which yields weighted max-min fair shares of the slots (Demers, Keshav and Shenker 1989,
//! applied to tasks).

use crate::clock::Uptime;
use crate::name::{QueueName, TeamName, VmId};
use crate::request::allowance::EntryAllowances;
use crate::request::retry_budget::RetryBudget;
use crate::request::routing::{Router, RoutingError, ServerChoice};
use derive_more::Display;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Identifies a waiting request within one entry.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct WaiterId(u64);

/// The properties of a request that are relevant to its admission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmissionRequest {
    /// The queue.
    pub queue: QueueName,
    /// The team, or `None` for a queue that is open to all callers.
    pub team: Option<TeamName>,
    /// The time at which the request times out.
    pub deadline: Uptime,
    /// The VMs of the servers that have already rejected or failed the request.
    pub tried: Vec<VmId>,
    /// The maximum number of requests that may wait in the queue at this entry.
    pub max_waiting: u32,
}

/// The decision on an admission request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request starts on this server.
    Start(ServerChoice),
    /// The request waits.
    Wait(WaiterId),
    /// The request is rejected because the queue is full.
    QueueFull,
    /// The request is rejected because no server serves the queue.
    NoServer,
}

#[derive(Clone, Debug)]
struct Waiter {
    id: WaiterId,
    request: AdmissionRequest,
}

type Waiters = BTreeMap<Option<TeamName>, VecDeque<Waiter>>;

/// Admits the requests of one entry and queues those that must wait.
///
/// # Examples
///
/// ```
/// use goldcrestring::request::admission::{Admission, AdmissionController, AdmissionRequest};
/// use std::time::Duration;
///
/// let mut admission = AdmissionController::new(1);
/// let request = AdmissionRequest {
///     queue: "quotes".parse()?,
///     team: None,
///     deadline: Duration::from_secs(1),
///     tried: Vec::new(),
///     max_waiting: 10,
/// };
/// assert_eq!(admission.admit(Duration::ZERO, request), Admission::NoServer);
/// # Ok::<(), goldcrestring::name::NameError>(())
/// ```
#[derive(Clone, Debug)]
pub struct AdmissionController {
    /// The allowance of each team at this entry.
    pub allowances: EntryAllowances,
    /// The router, which selects backend servers.
    pub router: Router,
    /// The retry budget.
    pub retry_budget: RetryBudget,
    weights: BTreeMap<TeamName, u32>,
    waiting: BTreeMap<QueueName, Waiters>,
    next_id: u64,
}

impl AdmissionController {
    /// Creates a controller without waiting requests; `seed` seeds the router's random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            allowances: EntryAllowances::default(),
            router: Router::new(seed),
            retry_budget: RetryBudget::default(),
            weights: BTreeMap::new(),
            waiting: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Sets the weights of the teams.
    pub fn set_weights(&mut self, weights: BTreeMap<TeamName, u32>) {
        self.weights = weights;
    }

    /// Starts a request, enqueues it, or rejects it.
    pub fn admit(&mut self, now: Uptime, request: AdmissionRequest) -> Admission {
        let is_first = !self.has_waiters(&request.queue, &request.team);
        if is_first && let Some(choice) = self.try_start(now, &request) {
            return Admission::Start(choice);
        }
        if self.router.candidate_count(&request.queue) == 0 {
            return Admission::NoServer;
        }
        if self.waiting_in(&request.queue) >= request.max_waiting as usize {
            return Admission::QueueFull;
        }
        Admission::Wait(self.enqueue(request))
    }

    /// Starts all waiting requests that can start now and returns them.
    pub fn poll(&mut self, now: Uptime) -> Vec<(WaiterId, ServerChoice)> {
        let queues: Vec<_> = self.waiting.keys().cloned().collect();
        let mut started = Vec::new();
        for queue in queues {
            self.poll_queue(now, &queue, &mut started);
        }
        started
    }

    /// Removes a waiting request and returns whether it was still waiting.
    pub fn cancel(&mut self, queue: &QueueName, id: WaiterId) -> bool {
        let Some(waiters) = self.waiting.get_mut(queue) else {
            return false;
        };
        let mut cancelled = None;
        for (team, queued) in waiters.iter_mut() {
            if let Some(position) = queued.iter().position(|waiter| waiter.id == id) {
                queued.remove(position);
                cancelled = Some(team.clone());
                break;
            }
        }
        let Some(team) = cancelled else {
            return false;
        };
        self.remove_if_empty(queue, &team);
        self.record_waiting(&team, false);
        true
    }

    /// Releases the unit of a task once the task is certain to have ended.
    pub fn finish(&mut self, team: Option<&TeamName>) {
        if let Some(team) = team {
            self.allowances.finish(team);
        }
    }

    /// Returns the number of requests that wait in a queue.
    pub fn waiting_in(&self, queue: &QueueName) -> usize {
        self.waiting.get(queue).map_or(0, |waiters| waiters.values().map(VecDeque::len).sum())
    }

    /// Returns the number of requests that wait in all queues.
    pub fn waiting(&self) -> usize {
        self.waiting.keys().map(|queue| self.waiting_in(queue)).sum()
    }

    fn poll_queue(
        &mut self,
        now: Uptime,
        queue: &QueueName,
        started: &mut Vec<(WaiterId, ServerChoice)>,
    ) {
        let mut blocked = BTreeSet::new();
        while let Some(team) = self.next_team(queue, &blocked) {
            let Some(request) = self.front_request(queue, &team) else { return };
            match self.try_start(now, &request) {
                Some(choice) => {
                    let Some(waiter) = self.pop_front(queue, &team) else { return };
                    started.push((waiter.id, choice));
                }
                None => {
                    blocked.insert(team);
                }
            }
        }
    }

    /// Returns the waiting team with the fewest running tasks relative to its weight, other than
    /// the blocked ones. The inner `None` stands for requests without a team.
    fn next_team(
        &self,
        queue: &QueueName,
        blocked: &BTreeSet<Option<TeamName>>,
    ) -> Option<Option<TeamName>> {
        let waiters = self.waiting.get(queue)?;
        let unblocked = waiters.keys().filter(|team| !blocked.contains(*team));
        unblocked.min_by_key(|team| self.weighted_usage(team.as_ref())).cloned()
    }

    /// Returns the number of a team's running tasks divided by its weight, in thousandths.
    fn weighted_usage(&self, team: Option<&TeamName>) -> u64 {
        let Some(team) = team else {
            return 0;
        };
        let weight = self.weights.get(team).copied().unwrap_or(1).max(1);
        u64::from(self.allowances.running(team)) * 1_000 / u64::from(weight)
    }

    fn try_start(&mut self, now: Uptime, request: &AdmissionRequest) -> Option<ServerChoice> {
        if let Some(team) = &request.team
            && !self.allowances.try_start(team)
        {
            return None;
        }
        match self.router.choose(now, &request.queue, &request.tried) {
            Ok(choice) => Some(choice),
            Err(RoutingError::NoCapacity | RoutingError::NoServer) => {
                self.finish(request.team.as_ref());
                None
            }
        }
    }

    fn enqueue(&mut self, request: AdmissionRequest) -> WaiterId {
        let id = WaiterId(self.next_id);
        self.next_id += 1;
        let team = request.team.clone();
        let waiters = self.waiting.entry(request.queue.clone()).or_default();
        waiters.entry(team.clone()).or_default().push_back(Waiter { id, request });
        self.record_waiting(&team, true);
        id
    }

    fn has_waiters(&self, queue: &QueueName, team: &Option<TeamName>) -> bool {
        self.waiting.get(queue).is_some_and(|waiters| waiters.contains_key(team))
    }

    fn front_request(
        &self,
        queue: &QueueName,
        team: &Option<TeamName>,
    ) -> Option<AdmissionRequest> {
        Some(self.waiting.get(queue)?.get(team)?.front()?.request.clone())
    }

    fn pop_front(&mut self, queue: &QueueName, team: &Option<TeamName>) -> Option<Waiter> {
        let waiter = self.waiting.get_mut(queue)?.get_mut(team)?.pop_front();
        self.remove_if_empty(queue, team);
        self.record_waiting(team, false);
        waiter
    }

    fn remove_if_empty(&mut self, queue: &QueueName, team: &Option<TeamName>) {
        if let Some(waiters) = self.waiting.get_mut(queue) {
            if waiters.get(team).is_some_and(VecDeque::is_empty) {
                waiters.remove(team);
            }
            if waiters.is_empty() {
                self.waiting.remove(queue);
            }
        }
    }

    fn record_waiting(&mut self, team: &Option<TeamName>, is_waiting: bool) {
        if let Some(team) = team {
            self.allowances.record_waiting(team, is_waiting);
        }
    }
}
