//! A backend server under a passed-in clock, as the interface describes it.

use goldcrestring::clock::Uptime;
use goldcrestring::job::command::{EndKind, RunEnd};
use goldcrestring::job::engine::{Action, ListedRun, OrderAnswer, PollReport, RefusalReason};
use goldcrestring::job::state::ServerRecord;
use goldcrestring::job::{Attempt, Resources, TaskId};
use std::collections::BTreeMap;
use std::time::Duration;

/// The longest lease that the server grants.
const MAX_LEASE: Duration = Duration::from_secs(6);

/// One run.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: Attempt,
    pub started_at: Uptime,
    pub ends_at: Option<Uptime>,
    pub room: Resources,
}

/// One incarnation of a backend server.
#[derive(Clone, Debug)]
pub struct Server {
    pub record: ServerRecord,
    pub born_at: Uptime,
    /// The rate of its clock, in thousandths of true time.
    pub clock_per_mille: u32,
    pub is_up: bool,
    /// Whether calls reach it and answers leave it.
    pub is_reachable: bool,
    fence: u64,
    lease_until_ms: u64,
    pub running: BTreeMap<TaskId, Run>,
    highest: BTreeMap<TaskId, Attempt>,
    finished: Vec<RunEnd>,
    next_end: u64,
    /// Every start that it has carried out.
    pub starts: Vec<(Uptime, TaskId, Attempt)>,
    /// Every run that was stopped by an order.
    pub stops: Vec<(Uptime, TaskId)>,
    /// Every pace that was set, in percent.
    pub paces: Vec<(Uptime, TaskId, u8)>,
    /// The tail of the serving tasks' response times.
    pub tail_ms: u64,
}

impl Server {
    pub fn new(record: ServerRecord, born_at: Uptime) -> Self {
        Self {
            record,
            born_at,
            clock_per_mille: 1_000,
            is_up: true,
            is_reachable: true,
            fence: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            highest: BTreeMap::new(),
            finished: Vec::new(),
            next_end: 1,
            starts: Vec::new(),
            stops: Vec::new(),
            paces: Vec::new(),
            tail_ms: 0,
        }
    }

    pub fn clock_ms(&self, now: Uptime) -> u64 {
        let passed = (now - self.born_at) * self.clock_per_mille / 1_000;
        5_000 + u64::try_from(passed.as_millis()).expect("short times")
    }

    /// Ends what is due: work that is done, leases that have run out.
    pub fn tick(&mut self, now: Uptime) {
        if !self.is_up {
            return;
        }
        let due: Vec<_> = self
            .running
            .iter()
            .filter(|(_, run)| run.ends_at.is_some_and(|at| now >= at))
            .map(|(task, _)| *task)
            .collect();
        for task in due {
            self.end(&task, EndKind::Done);
        }
        if self.clock_ms(now) > self.lease_until_ms {
            for task in self.running.keys().copied().collect::<Vec<_>>() {
                self.end(&task, EndKind::LeaseExpired);
            }
        }
    }

    fn end(&mut self, task: &TaskId, kind: EndKind) {
        let Some(run) = self.running.remove(task) else { return };
        let number = self.next_end;
        self.next_end += 1;
        let attempt = run.attempt;
        self.finished.push(RunEnd { number, task: Some(*task), attempt, kind, checkpoint: None });
        self.note_highest(*task, attempt);
    }

    pub fn fail(&mut self, task: &TaskId) {
        self.end(task, EndKind::Failed);
    }

    fn note_highest(&mut self, task: TaskId, attempt: Attempt) {
        let highest = self.highest.entry(task).or_default();
        *highest = attempt.max(*highest);
    }

    fn extend(&mut self, now: Uptime, lease_until_ms: u64) {
        let max_ms = u64::try_from(MAX_LEASE.as_millis()).expect("short");
        let longest = self.clock_ms(now) + max_ms;
        self.lease_until_ms = self.lease_until_ms.max(lease_until_ms.min(longest));
    }

    fn used(&self) -> Resources {
        self.running.values().fold(Resources::default(), |sum, run| sum.saturating_add(&run.room))
    }

    /// Carries out a look.
    pub fn hold(&mut self, now: Uptime, action: &Action) -> Option<PollReport> {
        let Action::Poll { fence, last_recorded_end, lease_until_ms, .. } = action else {
            return None;
        };
        if *fence < self.fence {
            return None;
        }
        self.fence = *fence;
        self.tick(now);
        if let Some(lease_until_ms) = lease_until_ms {
            self.extend(now, *lease_until_ms);
        }
        self.finished.retain(|end| end.number > *last_recorded_end);
        let metric = self.tail_ms;
        let listed = |(task, run): (&TaskId, &Run)| ListedRun {
            task: *task,
            attempt: run.attempt,
            percent: if run.ends_at.is_none() && now >= run.started_at + STARTUP { 100 } else { 0 },
            metric,
        };
        Some(PollReport {
            started_at_ms: self.record.incarnation.started_at_ms,
            clock_ms: self.clock_ms(now),
            running: self.running.iter().map(listed).collect(),
            finished: self.finished.clone(),
            is_partial: false,
        })
    }

    /// Carries out an order; `duration` is how long a started task works, `None` for ever.
    pub fn order(
        &mut self,
        now: Uptime,
        action: &Action,
        duration: Option<Duration>,
        room: Resources,
    ) -> OrderAnswer {
        let clock_ms = self.clock_ms(now);
        self.tick(now);
        match action {
            Action::Start { fence, task, attempt, lease_until_ms, .. } => {
                if *fence < self.fence {
                    return OrderAnswer::Refused(RefusalReason::StaleFence);
                }
                self.fence = *fence;
                if self.running.get(task).is_some_and(|run| run.attempt == *attempt) {
                    self.extend(now, *lease_until_ms);
                    return OrderAnswer::Done { clock_ms };
                }
                if *lease_until_ms <= clock_ms {
                    return OrderAnswer::Refused(RefusalReason::LeaseExpired);
                }
                self.extend(now, *lease_until_ms);
                if self.highest.get(task).is_some_and(|highest| highest >= attempt)
                    || self.running.contains_key(task)
                {
                    return OrderAnswer::Refused(RefusalReason::Superseded);
                }
                if !self.used().saturating_add(&room).fits_in(&self.record.capacity) {
                    return OrderAnswer::Refused(RefusalReason::InsufficientCapacity);
                }
                let ends_at = duration.map(|duration| now + duration);
                let run = Run { attempt: *attempt, started_at: now, ends_at, room };
                self.running.insert(*task, run);
                self.starts.push((now, *task, *attempt));
                OrderAnswer::Done { clock_ms }
            }
            Action::Stop { fence, task, attempt, .. } => {
                if *fence < self.fence {
                    return OrderAnswer::Refused(RefusalReason::StaleFence);
                }
                self.fence = *fence;
                if self.running.get(task).is_some_and(|run| run.attempt <= *attempt) {
                    self.end(task, EndKind::Stopped);
                    self.stops.push((now, *task));
                }
                self.note_highest(*task, *attempt);
                OrderAnswer::Done { clock_ms }
            }
            Action::Pace { task, percent, .. } => {
                self.paces.push((now, *task, *percent));
                OrderAnswer::Done { clock_ms }
            }
            _ => OrderAnswer::Done { clock_ms },
        }
    }
}

/// How long a task that lasts takes until it is at work.
pub const STARTUP: Duration = Duration::from_millis(300);
