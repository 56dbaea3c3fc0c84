//! A simulated backend server that follows the protocol between the leader and backend servers.

use goldcrestring::clock::Uptime;
use goldcrestring::job::command::{EndKind, RunEnd};
use goldcrestring::job::engine::{Action, ListedRun, OrderResponse, PollReport, RefusalReason};
use goldcrestring::job::state::ServerRecord;
use goldcrestring::job::{Attempt, Resources, TaskId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest lease that a backend server accepts.
const MAX_LEASE: Duration = Duration::from_secs(6);

/// An active run of a task.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: Attempt,
    pub started_at: Uptime,
    pub ends_at: Option<Uptime>,
    pub reservation: Resources,
}

/// One incarnation of a backend server.
#[derive(Clone, Debug)]
pub struct Server {
    pub record: ServerRecord,
    pub started_at: Uptime,
    /// What the local clock showed when the incarnation started, in milliseconds.
    pub clock_start_ms: u64,
    /// Rate of the local clock, in thousandths of the true rate.
    pub clock_per_mille: u32,
    pub is_up: bool,
    /// Whether the network delivers calls and responses.
    pub is_reachable: bool,
    /// Whether starts beyond the capacity are refused.
    pub enforces_capacity: bool,
    fence: u64,
    lease_until_ms: u64,
    pub running: BTreeMap<TaskId, Run>,
    highest_attempts: BTreeMap<TaskId, Attempt>,
    finished: Vec<RunEnd>,
    next_end_number: u64,
    /// Every start that was executed.
    pub starts: Vec<(Uptime, TaskId, Attempt)>,
    /// Every run that an order stopped.
    pub stops: Vec<(Uptime, TaskId)>,
    /// Every pace that was set, in percent of full speed.
    pub paces: Vec<(Uptime, TaskId, u8)>,
    /// Tail latency that every run reports, in milliseconds.
    pub tail_latency_ms: u64,
}

impl Server {
    pub fn new(record: ServerRecord, started_at: Uptime) -> Self {
        Self {
            record,
            started_at,
            clock_start_ms: 5_000,
            clock_per_mille: 1_000,
            is_up: true,
            is_reachable: true,
            enforces_capacity: true,
            fence: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            highest_attempts: BTreeMap::new(),
            finished: Vec::new(),
            next_end_number: 1,
            starts: Vec::new(),
            stops: Vec::new(),
            paces: Vec::new(),
            tail_latency_ms: 0,
        }
    }

    pub fn clock_ms(&self, now: Uptime) -> u64 {
        let elapsed = (now - self.started_at) * self.clock_per_mille / 1_000;
        self.clock_start_ms + u64::try_from(elapsed.as_millis()).expect("milliseconds fit in u64")
    }

    /// Ends runs whose work is done or whose lease has expired.
    pub fn tick(&mut self, now: Uptime) {
        if !self.is_up {
            return;
        }
        let finished: Vec<_> = self
            .running
            .iter()
            .filter(|(_, run)| run.ends_at.is_some_and(|at| now >= at))
            .map(|(task, _)| *task)
            .collect();
        for task in finished {
            self.end_run(&task, EndKind::Done);
        }
        if self.clock_ms(now) > self.lease_until_ms {
            for task in self.running.keys().copied().collect::<Vec<_>>() {
                self.end_run(&task, EndKind::LeaseExpired);
            }
        }
    }

    /// Ends a run, if it is here.
    pub fn end_run(&mut self, task: &TaskId, kind: EndKind) {
        let Some(run) = self.running.remove(task) else { return };
        let number = self.next_end_number;
        self.next_end_number += 1;
        let attempt = run.attempt;
        self.finished.push(RunEnd { number, task: Some(*task), attempt, kind, checkpoint: None });
        self.record_attempt(*task, attempt);
    }

    pub fn fail(&mut self, task: &TaskId) {
        self.end_run(task, EndKind::Failed);
    }

    fn record_attempt(&mut self, task: TaskId, attempt: Attempt) {
        let highest = self.highest_attempts.entry(task).or_default();
        *highest = attempt.max(*highest);
    }

    fn extend_lease(&mut self, now: Uptime, lease_until_ms: u64) {
        let max_ms = u64::try_from(MAX_LEASE.as_millis()).expect("milliseconds fit in u64");
        let max_until_ms = self.clock_ms(now) + max_ms;
        self.lease_until_ms = self.lease_until_ms.max(lease_until_ms.min(max_until_ms));
    }

    /// The resources reserved by the runs.
    pub fn used(&self) -> Resources {
        self.running
            .values()
            .fold(Resources::default(), |sum, run| sum.saturating_add(&run.reservation))
    }

    /// Responds to a poll: renews the lease, drops ends that the leader has recorded and lists the runs.
    /// Returns `None` for an outdated fencing token.
    pub fn poll(&mut self, now: Uptime, action: &Action) -> Option<PollReport> {
        let Action::Poll { fence, recorded_end, lease_until_ms, .. } = action else { return None };
        if *fence < self.fence {
            return None;
        }
        self.fence = *fence;
        self.tick(now);
        if let Some(lease_until_ms) = lease_until_ms {
            self.extend_lease(now, *lease_until_ms);
        }
        self.finished.retain(|end| end.number > *recorded_end);
        let metric = self.tail_latency_ms;
        let to_listed_run = |(task, run): (&TaskId, &Run)| ListedRun {
            task: *task,
            attempt: run.attempt,
            percent: if run.ends_at.is_none() && now >= run.started_at + STARTUP_TIME {
                100
            } else {
                0
            },
            metric,
        };
        Some(PollReport {
            started_at_ms: self.record.incarnation.started_at_ms,
            clock_ms: self.clock_ms(now),
            running: self.running.iter().map(to_listed_run).collect(),
            finished: self.finished.clone(),
            is_partial: false,
        })
    }

    /// Executes an order. `duration` is the run time of a started task; `None` means no end.
    pub fn handle_order(
        &mut self,
        now: Uptime,
        action: &Action,
        duration: Option<Duration>,
        reservation: Resources,
    ) -> OrderResponse {
        let clock_ms = self.clock_ms(now);
        self.tick(now);
        match action {
            Action::Start { fence, task, attempt, lease_until_ms, .. } => {
                if *fence < self.fence {
                    return OrderResponse::Refused(RefusalReason::StaleFence);
                }
                self.fence = *fence;
                if self.running.get(task).is_some_and(|run| run.attempt == *attempt) {
                    self.extend_lease(now, *lease_until_ms);
                    return OrderResponse::Done { clock_ms };
                }
                if *lease_until_ms <= clock_ms {
                    return OrderResponse::Refused(RefusalReason::LeaseExpired);
                }
                self.extend_lease(now, *lease_until_ms);
                if self.highest_attempts.get(task).is_some_and(|highest| highest >= attempt)
                    || self.running.contains_key(task)
                {
                    return OrderResponse::Refused(RefusalReason::Superseded);
                }
                let used = self.used().saturating_add(&reservation);
                if self.enforces_capacity && !used.fits_in(&self.record.capacity) {
                    return OrderResponse::Refused(RefusalReason::InsufficientCapacity);
                }
                let ends_at = duration.map(|duration| now + duration);
                let run = Run { attempt: *attempt, started_at: now, ends_at, reservation };
                self.running.insert(*task, run);
                self.starts.push((now, *task, *attempt));
                OrderResponse::Done { clock_ms }
            }
            Action::Stop { fence, task, attempt, .. } => {
                if *fence < self.fence {
                    return OrderResponse::Refused(RefusalReason::StaleFence);
                }
                self.fence = *fence;
                if self.running.get(task).is_some_and(|run| run.attempt <= *attempt) {
                    self.end_run(task, EndKind::Stopped);
                    self.stops.push((now, *task));
                }
                self.record_attempt(*task, *attempt);
                OrderResponse::Done { clock_ms }
            }
            Action::Pace { task, percent, .. } => {
                self.paces.push((now, *task, *percent));
                OrderResponse::Done { clock_ms }
            }
            _ => OrderResponse::Done { clock_ms },
        }
    }
}

/// Time from the start of a long-running task until it reports full progress.
pub const STARTUP_TIME: Duration = Duration::from_millis(300);
