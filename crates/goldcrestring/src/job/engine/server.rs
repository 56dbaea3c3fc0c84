//! What the leader knows of one backend server.

use super::message::{CallId, Target};
use super::orders::Order;
use crate::clock::Uptime;
use crate::job::id::{ServerIncarnation, TaskId};
use crate::job::resources::Resources;
use crate::job::state::ServerRecord;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// The slowest rate of a backend server's clock, in thousandths of true time.
const SLOWEST_CLOCK_PER_MILLE: u32 = 980;

/// A reading of a backend server's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock_ms: u64,
    received_at: Uptime,
}

/// What the leader knows of one backend server.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) record: ServerRecord,
    /// Since when this leader has known the incarnation.
    known_since: Uptime,
    /// Whether earlier leaders may have extended its lease.
    is_inherited: bool,
    clock: Option<ClockReading>,
    /// The latest end of the lease that this leader has issued; zero before the first.
    issued_until_ms: u64,
    /// The look that has not been answered, and when it left.
    pub(super) hold: Option<(CallId, Uptime)>,
    pub(super) next_hold_at: Uptime,
    /// When the last look was answered.
    pub(super) answered_at: Option<Uptime>,
    pub(super) announced_at: Uptime,
    /// Whether the last look or order got no answer.
    pub(super) is_failing: bool,
    /// Whether all that it ran has been released since its lease ran out.
    pub(super) is_lapsed: bool,
    pub(super) used: Resources,
    pub(super) runs: BTreeSet<TaskId>,
    /// How many of the runs last.
    pub(super) lasting: usize,
    pub(super) lanes: BTreeMap<CallId, Uptime>,
    pub(super) queue: VecDeque<Order>,
    pub(super) refused_until: Uptime,
    /// When the pace of its filling tasks was last set.
    pub(super) paced_at: Uptime,
    /// The highest number of an end that has been proposed.
    pub(super) proposed_end: u64,
    /// When it said farewell.
    pub(super) left_at: Option<Uptime>,
}

impl Server {
    /// An incarnation that earlier leaders knew.
    pub(super) fn inherited(record: &ServerRecord, now: Uptime) -> Self {
        Self { is_inherited: true, ..Self::new(record, now) }
    }

    /// An incarnation that was announced to this leader first.
    pub(super) fn new(record: &ServerRecord, now: Uptime) -> Self {
        Self {
            record: record.clone(),
            known_since: now,
            is_inherited: false,
            clock: None,
            issued_until_ms: 0,
            hold: None,
            next_hold_at: now,
            answered_at: None,
            announced_at: now,
            is_failing: false,
            is_lapsed: false,
            used: Resources::default(),
            runs: BTreeSet::new(),
            lasting: 0,
            lanes: BTreeMap::new(),
            queue: VecDeque::new(),
            refused_until: Uptime::ZERO,
            paced_at: now,
            proposed_end: record.last_recorded_end,
            left_at: None,
        }
    }

    pub(super) const fn incarnation(&self) -> &ServerIncarnation {
        &self.record.incarnation
    }

    pub(super) fn target(&self) -> Target {
        Target { server: self.record.incarnation.id.clone(), address: self.record.address }
    }

    pub(super) fn free(&self) -> Resources {
        self.record.capacity.saturating_sub(&self.used)
    }

    /// Takes a reading of the backend server's clock.
    pub(super) fn read_clock(&mut self, now: Uptime, clock_ms: u64) {
        if self.clock_floor_ms(now).is_none_or(|floor| clock_ms >= floor) {
            self.clock = Some(ClockReading { clock_ms, received_at: now });
        }
    }

    /// What the backend server's clock surely has reached.
    fn clock_floor_ms(&self, now: Uptime) -> Option<u64> {
        let reading = self.clock?;
        let passed = now.saturating_sub(reading.received_at) * SLOWEST_CLOCK_PER_MILLE / 1_000;
        Some(reading.clock_ms + u64::try_from(passed.as_millis()).unwrap_or(u64::MAX))
    }

    /// The end of a lease that is issued now; `None` while the clock is unknown.
    pub(super) fn issue(&mut self, now: Uptime, lease: Duration) -> Option<u64> {
        let lease_ms = u64::try_from(lease.as_millis()).unwrap_or(u64::MAX);
        let until_ms = self.clock_floor_ms(now)? + lease_ms;
        self.issued_until_ms = self.issued_until_ms.max(until_ms);
        Some(until_ms)
    }

    /// Whether nothing can run there any more, whoever extended its lease.
    ///
    /// `lease` is the longest that any leader issues, from the moment of issue.
    pub(super) fn has_surely_lapsed(&self, now: Uptime, lease: Duration) -> bool {
        if self.is_inherited {
            let longest = lease * 1_000 / SLOWEST_CLOCK_PER_MILLE;
            if now <= self.known_since + longest {
                return false;
            }
        }
        if self.issued_until_ms == 0 {
            return true;
        }
        self.clock_floor_ms(now).is_some_and(|floor| floor > self.issued_until_ms)
    }

    /// Replaces the incarnation; orders that have not been sent are dropped.
    pub(super) fn be_reborn(&mut self, record: &ServerRecord, now: Uptime) {
        let fresh = Self::new(record, now);
        *self = Self { announced_at: self.announced_at, ..fresh };
    }
}
