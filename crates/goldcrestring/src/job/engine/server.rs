//! The leader's record of one backend server.

use super::message::{CallId, EngineEvent, Target};
use super::orders::Order;
use super::run::Run;
use super::settings::EngineSettings;
use crate::clock::Uptime;
use crate::job::id::{ServerIncarnation, TaskId};
use crate::job::resources::Resources;
use crate::job::state::ServerRecord;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// The slowest assumed rate of a backend server's clock, in thousandths of real time.
const SLOWEST_CLOCK_PER_MILLE: u32 = 980;

/// The deviation within which two clock readings count as equal, in milliseconds; readings are rounded.
const CLOCK_TOLERANCE_MS: u64 = 5;

/// A reading of a backend server's clock, taken between the sending of a poll and the receipt of its
/// response.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock_ms: u64,
    sent_at: Uptime,
    received_at: Uptime,
}

/// A poll without a response.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingPoll {
    pub(super) call: CallId,
    pub(super) sent_at: Uptime,
    /// The number of the last end that it acknowledges.
    pub(super) recorded_end: u64,
}

/// The leader's record of one backend server.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) record: ServerRecord,
    /// The time since which this leader has known the incarnation.
    known_since: Uptime,
    /// Whether earlier leaders may have issued it leases.
    is_inherited: bool,
    /// The fencing token of calls to it, higher than that of any call to an earlier incarnation.
    pub(super) fence: u64,
    /// Whether calls to an earlier incarnation may still be carried out by this one, which happens until
    /// it has carried out a call with [`Self::fence`].
    pub(super) is_unfenced: bool,
    clock: Option<ClockReading>,
    /// Until when leases may last that an order set which another incarnation carried out.
    other_lease_until: Uptime,
    /// The latest end of a lease that a call for an earlier incarnation may have set, in milliseconds; zero
    /// if there is none.
    earlier_lease_until_ms: u64,
    /// Whether it is proposed that such leases have expired.
    pub(super) is_settling: bool,
    /// The latest end of a lease issued by this leader, in milliseconds; zero if there is none.
    issued_until_ms: u64,
    pub(super) pending_poll: Option<PendingPoll>,
    /// The number of the last recorded end that an answered poll has acknowledged.
    pub(super) acknowledged_end: u64,
    pub(super) next_poll_at: Uptime,
    /// When the last poll was answered.
    pub(super) answered_at: Option<Uptime>,
    /// When the last poll that this incarnation answered was sent.
    pub(super) last_polled_at: Option<Uptime>,
    /// When its last announcement was received.
    pub(super) announced_at: Uptime,
    /// Whether the last poll failed.
    pub(super) is_failing: bool,
    /// Whether all its runs have been released after its lease expired.
    pub(super) is_released_after_expiry: bool,
    /// The resources reserved by its runs.
    pub(super) used: Resources,
    /// The part of [`Self::used`] that is reserved by long-running runs.
    pub(super) used_by_long_running: Resources,
    pub(super) runs: BTreeSet<TaskId>,
    /// The number of long-running runs.
    pub(super) long_running: usize,
    /// The number of best-effort runs.
    pub(super) best_effort: usize,
    /// Orders that have been sent and not answered, and when each was sent.
    pub(super) unanswered_orders: BTreeMap<CallId, Uptime>,
    /// Orders that have not been sent yet.
    pub(super) queued_orders: VecDeque<Order>,
    /// The time until which it gets no starts, after it refused one.
    pub(super) backoff_until: Uptime,
    /// When the pace of its best-effort tasks was last adjusted.
    pub(super) paced_at: Uptime,
    /// The highest number of an end that has been proposed.
    pub(super) proposed_end: u64,
    /// Whether its removal is proposed. A proposal is lost only together with the term.
    pub(super) is_removal_proposed: bool,
    /// Whether it gave notice that it leaves. It may run its tasks for seconds after that.
    pub(super) is_leaving: bool,
    /// When the platform accepted a move of its VM, which ends it.
    pub(super) moved_at: Option<Uptime>,
}

impl Server {
    /// Creates the record of an incarnation known to earlier leaders.
    ///
    /// They start runs on an incarnation only after it has carried out one of their calls.
    pub(super) fn inherited(record: &ServerRecord, now: Uptime, fence: u64) -> Self {
        Self { is_inherited: true, is_unfenced: false, ..Self::new(record, now, fence) }
    }

    /// Creates the record of an incarnation first announced to this leader.
    pub(super) fn new(record: &ServerRecord, now: Uptime, fence: u64) -> Self {
        Self {
            record: record.clone(),
            known_since: now,
            is_inherited: false,
            fence,
            is_unfenced: record.has_predecessor,
            clock: None,
            other_lease_until: Uptime::ZERO,
            earlier_lease_until_ms: 0,
            is_settling: false,
            issued_until_ms: 0,
            pending_poll: None,
            acknowledged_end: 0,
            next_poll_at: now,
            answered_at: None,
            last_polled_at: None,
            announced_at: now,
            is_failing: false,
            is_released_after_expiry: false,
            used: Resources::default(),
            used_by_long_running: Resources::default(),
            runs: BTreeSet::new(),
            long_running: 0,
            best_effort: 0,
            unanswered_orders: BTreeMap::new(),
            queued_orders: VecDeque::new(),
            backoff_until: Uptime::ZERO,
            paced_at: now,
            proposed_end: record.recorded_end,
            is_removal_proposed: false,
            is_leaving: false,
            moved_at: None,
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

    /// The resources that are free once its batch runs have ended or been preempted.
    pub(super) fn preemptible(&self) -> Resources {
        self.record.capacity.saturating_sub(&self.used_by_long_running)
    }

    /// Counts the resources of a run that has been added.
    pub(super) fn reserve(&mut self, run: &Run) {
        self.used = self.used.saturating_add(&run.reservation);
        if run.is_long_running {
            self.long_running += 1;
            self.used_by_long_running = self.used_by_long_running.saturating_add(&run.reservation);
        }
        self.best_effort += usize::from(run.is_best_effort);
    }

    /// Frees the resources of a run that has been removed.
    pub(super) fn free_reservation(&mut self, run: &Run) {
        self.used = self.used.saturating_sub(&run.reservation);
        if run.is_long_running {
            self.long_running -= 1;
            self.used_by_long_running = self.used_by_long_running.saturating_sub(&run.reservation);
        }
        self.best_effort -= usize::from(run.is_best_effort);
    }

    /// Takes a reading of the backend server's clock from the response to a poll, unless an earlier
    /// reading implies a later time.
    ///
    /// The first response proves that calls to an earlier incarnation are refused from now on. One that
    /// was carried out before may have set the longest lease, as its end is a time on another clock.
    pub(super) fn read_clock(
        &mut self,
        now: Uptime,
        sent_at: Uptime,
        clock_ms: u64,
        max_lease: Duration,
    ) {
        if self.clock.is_none() && self.record.has_predecessor {
            let max_lease_ms = u64::try_from(max_lease.as_millis()).unwrap_or(u64::MAX);
            self.earlier_lease_until_ms = clock_ms.saturating_add(max_lease_ms);
            self.issued_until_ms = self.issued_until_ms.max(self.earlier_lease_until_ms);
        }
        self.is_unfenced = false;
        if self.clock_floor_ms(now).is_none_or(|floor| clock_ms >= floor) {
            self.clock = Some(ClockReading { clock_ms, sent_at, received_at: now });
        }
    }

    /// Whether the clock in the response to an order can be that of this incarnation. Responses to orders
    /// name no incarnation, so that their clock is compared with the readings from polls, if any.
    pub(super) fn may_have_clock(&self, now: Uptime, sent_at: Uptime, clock_ms: u64) -> bool {
        let Some(reading) = self.clock else { return true };
        let as_ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let since = sent_at.saturating_sub(reading.received_at);
        let before = reading.received_at.saturating_sub(sent_at);
        let earliest_ms = (reading.clock_ms + as_ms(since * SLOWEST_CLOCK_PER_MILLE / 1_000))
            .saturating_sub(as_ms(before) + CLOCK_TOLERANCE_MS);
        let latest_ms = reading.clock_ms + as_ms(now.saturating_sub(reading.sent_at));
        (earliest_ms..=latest_ms + CLOCK_TOLERANCE_MS).contains(&clock_ms)
    }

    /// Takes it that another incarnation carries out calls for this one, as it does for a start that it
    /// has answered by now. No starts are sent until a poll is answered.
    pub(super) fn suspect_restart(&mut self, now: Uptime, settings: &EngineSettings) {
        let lease = settings.max_lease * 1_000 / SLOWEST_CLOCK_PER_MILLE;
        self.other_lease_until = self.other_lease_until.max(now + lease);
        self.is_failing = true;
        self.next_poll_at = now;
    }

    /// The lowest time that the backend server's clock can show now, in milliseconds.
    fn clock_floor_ms(&self, now: Uptime) -> Option<u64> {
        let reading = self.clock?;
        let elapsed = now.saturating_sub(reading.received_at) * SLOWEST_CLOCK_PER_MILLE / 1_000;
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        Some(reading.clock_ms.saturating_add(elapsed_ms))
    }

    /// The end that the next poll acknowledges; zero acknowledges none.
    ///
    /// A later incarnation that carries out the poll numbers its ends anew, and would forget ends that were
    /// never recorded. So each end is acknowledged only until a poll is answered, and never while the
    /// incarnation may have ended, which a new leader can't tell before the first response.
    pub(super) fn end_to_acknowledge(&self, recorded_end: u64) -> u64 {
        let may_have_ended = self.is_failing || self.answered_at.is_none();
        if may_have_ended || recorded_end <= self.acknowledged_end { 0 } else { recorded_end }
    }

    /// Issues a lease and returns its end, in milliseconds; `None` while the clock is unknown.
    pub(super) fn issue_lease(&mut self, now: Uptime, lease: Duration) -> Option<u64> {
        let lease_ms = u64::try_from(lease.as_millis()).unwrap_or(u64::MAX);
        let until_ms = self.clock_floor_ms(now)?.saturating_add(lease_ms);
        self.issued_until_ms = self.issued_until_ms.max(until_ms);
        Some(until_ms)
    }

    /// Whether the leases have expired that calls for an earlier incarnation may have set.
    pub(super) fn has_settled(&self, now: Uptime) -> bool {
        let is_over = |floor: u64| floor > self.earlier_lease_until_ms;
        self.record.has_predecessor && self.clock_floor_ms(now).is_some_and(is_over)
    }

    /// Whether all leases have expired, whichever leader issued them and for whichever incarnation, so
    /// that no task runs there.
    pub(super) fn has_lease_expired(&self, now: Uptime, settings: &EngineSettings) -> bool {
        let is_unknown_lease_left = now <= self.known_since + self.longest_unknown_lease(settings);
        if is_unknown_lease_left || now <= self.other_lease_until {
            return false;
        }
        if self.issued_until_ms == 0 {
            return true;
        }
        self.clock_floor_ms(now).is_some_and(|floor| floor > self.issued_until_ms)
    }

    /// The longest time from the creation of this record for which a lease may last that this leader
    /// has not issued to this incarnation.
    fn longest_unknown_lease(&self, settings: &EngineSettings) -> Duration {
        let is_bounded_by_response = self.clock.is_some();
        let lease = match (self.record.has_predecessor, self.is_inherited) {
            (true, _) if !is_bounded_by_response => settings.max_lease,
            (_, true) => settings.lease,
            (_, false) => return Duration::ZERO,
        };
        let delay = if self.is_unfenced { settings.max_execution_delay } else { Duration::ZERO };
        delay + lease * 1_000 / SLOWEST_CLOCK_PER_MILLE
    }

    /// The inputs to [`Self::has_lease_expired`], for the log.
    pub(super) fn lease_expired_event(&self, now: Uptime) -> EngineEvent {
        EngineEvent::LeaseExpired {
            server: self.incarnation().clone(),
            runs: self.runs.len(),
            lease_until_ms: self.issued_until_ms,
            clock_floor_ms: self.clock_floor_ms(now),
            known_for: now.saturating_sub(self.known_since),
            is_inherited: self.is_inherited,
        }
    }

    /// Replaces the incarnation and drops the queued orders.
    pub(super) fn replace_incarnation(&mut self, record: &ServerRecord, now: Uptime, fence: u64) {
        let new = Self::new(record, now, fence);
        *self = Self { announced_at: self.announced_at, ..new };
    }
}
