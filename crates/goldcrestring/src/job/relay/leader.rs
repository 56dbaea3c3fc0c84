//! Chooses on the leader the relay of each call and tracks the results.

use super::{Ack, Batch, CallOutcome, CallResult, owner, server_call};
use crate::clock::Uptime;
use crate::job::ServerId;
use crate::job::engine::{Action, CallId, OrderResponse};
use crate::name::NodeId;
use crate::quantity::Term;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Timing and limits of [`Relays`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelaySettings {
    /// The interval between batches to a relay, with calls or as probes.
    pub probe_interval: Duration,
    /// The time for which a lost relay gets no calls.
    pub exclusion: Duration,
    /// The time after the timeout of a call within which its result must arrive.
    pub result_margin: Duration,
    /// The time for which the leader itself calls a backend server to which a call through a relay
    /// failed.
    pub direct_period: Duration,
    /// The maximum time for which a call waits for a batch; later it is decided anew.
    pub max_wait: Duration,
    /// The maximum age of a call that the leader makes itself instead of a relay; an older one is
    /// decided anew.
    pub max_repeat_age: Duration,
    /// The maximum number of unacknowledged batches per relay.
    pub max_batches: usize,
    /// The maximum number of calls of a relay without a result.
    pub max_calls: usize,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(200),
            exclusion: Duration::from_secs(3),
            result_margin: Duration::from_millis(700),
            direct_period: Duration::from_secs(5),
            max_wait: Duration::from_millis(300),
            max_repeat_age: Duration::from_millis(600),
            max_batches: 3,
            max_calls: 1_024,
        }
    }
}

/// A change that is worth a log line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RelayEvent {
    /// A relay gets calls from now on.
    Live {
        /// The relay.
        relay: NodeId,
        /// The number of relays that get calls.
        live: usize,
    },
    /// A relay gets no calls for a while.
    Lost {
        /// The relay.
        relay: NodeId,
        /// The number of relays that get calls.
        live: usize,
        /// The calls made again by the leader.
        repeated: usize,
        /// The orders reported as lost.
        lost: usize,
    },
    /// Results did not arrive in time.
    ResultsLost {
        /// The relay.
        relay: NodeId,
        /// The number of results.
        count: usize,
    },
}

/// What the process has to do.
#[derive(Debug, Default)]
pub struct RelayOutput {
    /// Results for the engine; [`CallOutcome::Dropped`] calls were not sent and are too old to be.
    pub results: Vec<CallResult>,
    /// Calls for this process to make itself.
    pub direct: Vec<Action>,
    /// Changes for the log.
    pub events: Vec<RelayEvent>,
}

/// What the leader knows of a relay.
#[derive(Debug, Default)]
struct Relay {
    is_live: bool,
    /// No calls and no probes before this time.
    excluded_until: Uptime,
    /// The relay's clock in its last acknowledgement, and when that arrived.
    clock: Option<(Duration, Uptime)>,
    queued: Vec<CallId>,
    /// Unacknowledged batches.
    batches: BTreeMap<u64, Vec<CallId>>,
    last_batch_at: Option<Uptime>,
    /// The calls without a result.
    calls: usize,
}

/// A call without a result.
#[derive(Debug)]
struct Pending {
    relay: NodeId,
    action: Action,
    submitted_at: Uptime,
    deadline: Uptime,
}

/// The relays of a leader and the calls that they are making.
///
/// # Examples
///
/// ```
/// use goldcrestring::job::relay::{Ack, RelaySettings, Relays};
/// use goldcrestring::quantity::Term;
/// use std::time::Duration;
///
/// let now = Duration::from_secs(9);
/// let mut relays = Relays::new(RelaySettings::default());
/// relays.set_members(now, Some(Term::new(1)), ["b".parse()?].into());
/// let (relay, number, batch) = relays.take_batches(now).remove(0);
/// assert!(batch.actions.is_empty());
/// relays.handle_ack(now, &relay, number, Ack { is_accepted: true, uptime: now });
/// assert_eq!(relays.take_output().events.len(), 1);
/// # Ok::<(), goldcrestring::name::NameError>(())
/// ```
#[derive(Debug)]
pub struct Relays {
    settings: RelaySettings,
    /// `None` while this process does not lead a fleet that is large enough.
    term: Option<Term>,
    relays: BTreeMap<NodeId, Relay>,
    pending: BTreeMap<CallId, Pending>,
    direct_until: BTreeMap<ServerId, Uptime>,
    next_batch: u64,
    output: RelayOutput,
}

impl Relays {
    /// Creates the state of a process that uses no relays.
    pub fn new(settings: RelaySettings) -> Self {
        Self {
            settings,
            term: None,
            relays: BTreeMap::new(),
            pending: BTreeMap::new(),
            direct_until: BTreeMap::new(),
            next_batch: 0,
            output: RelayOutput::default(),
        }
    }

    /// Sets the term that this process leads, if any, and the possible relays. With another term the
    /// calls being made are forgotten, as their engine is gone.
    pub fn set_members(&mut self, now: Uptime, term: Option<Term>, members: BTreeSet<NodeId>) {
        if term.is_none() && self.term.is_none() {
            return;
        }
        if term != self.term {
            self.term = term;
            self.relays.clear();
            self.pending.clear();
            self.direct_until.clear();
        }
        let gone: Vec<_> =
            self.relays.keys().filter(|relay| !members.contains(*relay)).cloned().collect();
        for relay in gone {
            self.lose(now, &relay, true);
            self.relays.remove(&relay);
        }
        for member in members {
            if self.term.is_some() {
                self.relays.entry(member).or_default();
            }
        }
    }

    /// Whether a fleet of that many backend servers needs relays, which it does above a limit. Relays in
    /// use stay until it has shrunk to three quarters of the limit.
    pub fn is_needed(&self, servers: usize, limit: usize) -> bool {
        servers > limit || (!self.relays.is_empty() && servers >= limit - limit / 4)
    }

    /// Queues a call for a relay, or returns it if this process must make it itself.
    pub fn submit(&mut self, now: Uptime, action: Action) -> Option<Action> {
        let Some((call, server, timeout)) = server_call(&action) else { return Some(action) };
        if self.term != Some(call.term())
            || self.direct_until.get(server).is_some_and(|until| now < *until)
        {
            return Some(action);
        }
        let live = self.relays.iter().filter(|(_, relay)| relay.is_live).map(|(id, _)| id);
        let Some(id) = owner(server, live).cloned() else { return Some(action) };
        let Some(relay) = self.relays.get_mut(&id) else { return Some(action) };
        if relay.calls >= self.settings.max_calls {
            return Some(action);
        }
        relay.calls += 1;
        relay.queued.push(call);
        let deadline = now + timeout + self.settings.result_margin;
        self.pending.insert(call, Pending { relay: id, action, submitted_at: now, deadline });
        None
    }

    /// Whether calls wait for [`Self::take_batches`].
    pub fn has_queued(&self) -> bool {
        self.relays.values().any(|relay| !relay.queued.is_empty())
    }

    /// Returns the batches to send now: the relay, the number of the batch, and the batch.
    pub fn take_batches(&mut self, now: Uptime) -> Vec<(NodeId, u64, Batch)> {
        let Some(term) = self.term else { return Vec::new() };
        self.drop_old_queued(now);
        let mut batches = Vec::new();
        for (id, relay) in &mut self.relays {
            let is_probe_due = relay.batches.is_empty()
                && relay
                    .last_batch_at
                    .is_none_or(|at| now.saturating_sub(at) >= self.settings.probe_interval);
            let may_send = relay.batches.len() < self.settings.max_batches;
            if now < relay.excluded_until || !may_send || (relay.queued.is_empty() && !is_probe_due)
            {
                continue;
            }
            let calls = std::mem::take(&mut relay.queued);
            let actions = calls
                .iter()
                .filter_map(|call| self.pending.get(call))
                .map(|pending| pending.action.clone())
                .collect();
            let made_after =
                relay.clock.map(|(uptime, heard_at)| uptime + now.saturating_sub(heard_at));
            let number = self.next_batch;
            self.next_batch += 1;
            relay.batches.insert(number, calls);
            relay.last_batch_at = Some(now);
            batches.push((id.clone(), number, Batch { term, made_after, actions }));
        }
        batches
    }

    /// Drops the calls that have waited for a batch for too long.
    fn drop_old_queued(&mut self, now: Uptime) {
        let (pending, max_wait) = (&self.pending, self.settings.max_wait);
        let is_old = |call: &mut CallId| {
            pending.get(call).is_some_and(|call| now.saturating_sub(call.submitted_at) > max_wait)
        };
        let old: Vec<_> = self
            .relays
            .values_mut()
            .flat_map(|relay| relay.queued.extract_if(.., is_old).collect::<Vec<_>>())
            .collect();
        for call in old {
            if self.take_pending(call).is_some() {
                self.output.results.push(CallResult { call, outcome: CallOutcome::Dropped });
            }
        }
    }

    /// Handles a relay's response to a batch.
    pub fn handle_ack(&mut self, now: Uptime, id: &NodeId, number: u64, ack: Ack) {
        let Some(relay) = self.relays.get_mut(id) else { return };
        let Some(calls) = relay.batches.remove(&number) else { return };
        relay.clock = Some((ack.uptime, now));
        if !ack.is_accepted {
            self.repeat(now, &calls);
            self.lose(now, id, false);
        } else if !relay.is_live && now >= relay.excluded_until {
            relay.is_live = true;
            let live = self.live_count();
            self.output.events.push(RelayEvent::Live { relay: id.clone(), live });
        }
    }

    /// Handles a batch without a response; `is_not_sent` if the relay surely did not get it.
    pub fn handle_failure(&mut self, now: Uptime, id: &NodeId, number: u64, is_not_sent: bool) {
        let Some(relay) = self.relays.get_mut(id) else { return };
        let Some(calls) = relay.batches.remove(&number) else { return };
        if is_not_sent {
            self.repeat(now, &calls);
        }
        self.lose(now, id, true);
    }

    /// Handles a batch that this process did not send, for a reason that is not the relay's.
    pub fn handle_unsent(&mut self, now: Uptime, id: &NodeId, number: u64) {
        let calls = self.relays.get_mut(id).and_then(|relay| relay.batches.remove(&number));
        self.repeat(now, &calls.unwrap_or_default());
    }

    /// Handles results of a relay. Each call gets the first one only, but the report of a poll is passed
    /// on even if it arrives after the deadline, since it may list ends.
    pub fn handle_results(&mut self, now: Uptime, results: Vec<CallResult>) {
        for result in results {
            if result.outcome == CallOutcome::Dropped {
                self.repeat(now, &[result.call]);
                continue;
            }
            let Some(pending) = self.take_pending(result.call) else {
                if matches!(result.outcome, CallOutcome::Poll(Some(_))) {
                    self.output.results.push(result);
                }
                continue;
            };
            let is_unanswered = matches!(
                result.outcome,
                CallOutcome::Poll(None)
                    | CallOutcome::Order(OrderResponse::Lost | OrderResponse::NotSent)
            );
            if is_unanswered && let Some((_, server, _)) = server_call(&pending.action) {
                let until = now + self.settings.direct_period;
                self.direct_until.insert(server.clone(), until);
            }
            self.output.results.push(result);
        }
    }

    /// Handles a call that this process made itself and to which the backend server did not respond.
    pub fn handle_direct_failure(&mut self, action: &Action) {
        if let Some((_, server, _)) = server_call(action) {
            self.direct_until.remove(server);
        }
    }

    /// Handles the deadlines of results.
    pub fn tick(&mut self, now: Uptime) {
        self.direct_until.retain(|_, until| now < *until);
        let expired: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, pending)| now >= pending.deadline)
            .map(|(call, _)| *call)
            .collect();
        let mut lost: BTreeMap<NodeId, usize> = BTreeMap::new();
        for call in expired {
            let Some(pending) = self.take_pending(call) else { continue };
            *lost.entry(pending.relay).or_default() += 1;
            self.call_directly(now, &pending.action);
            let outcome = match pending.action {
                // The backend server may be sound, so it is polled again at once.
                Action::Poll { .. } => CallOutcome::Dropped,
                _ => CallOutcome::Order(OrderResponse::Lost),
            };
            self.output.results.push(CallResult { call, outcome });
        }
        for (relay, count) in lost {
            self.output.events.push(RelayEvent::ResultsLost { relay: relay.clone(), count });
            self.lose(now, &relay, true);
        }
    }

    /// Returns the output that has accumulated since the last call.
    pub fn take_output(&mut self) -> RelayOutput {
        std::mem::take(&mut self.output)
    }

    /// Makes calls that a relay did not send, or that may be sent twice. What the engine decided too
    /// long ago it decides anew.
    fn repeat(&mut self, now: Uptime, calls: &[CallId]) {
        for call in calls {
            let Some(pending) = self.take_pending(*call) else { continue };
            if now.saturating_sub(pending.submitted_at) <= self.settings.max_repeat_age {
                self.output.direct.push(pending.action);
            } else {
                self.call_directly(now, &pending.action);
                let outcome = CallOutcome::Dropped;
                self.output.results.push(CallResult { call: *call, outcome });
            }
        }
    }

    /// Takes a relay out. Its polls are made again, as they are idempotent. Orders that it may have
    /// sent are lost, unless it still reports results (`is_silent` is false).
    fn lose(&mut self, now: Uptime, id: &NodeId, is_silent: bool) {
        let Some(relay) = self.relays.get_mut(id) else { return };
        let was_live = std::mem::take(&mut relay.is_live);
        relay.excluded_until = now + self.settings.exclusion;
        let queued = std::mem::take(&mut relay.queued);
        let calls = self.pending.iter().filter(|(_, pending)| pending.relay == *id);
        let calls: Vec<_> = calls.map(|(call, _)| *call).collect();
        let mut repeated = queued.len();
        let mut lost = 0;
        self.repeat(now, &queued);
        for call in calls {
            let Some(pending) = self.pending.get(&call) else { continue };
            if matches!(pending.action, Action::Poll { .. }) {
                repeated += 1;
                self.repeat(now, &[call]);
            } else if is_silent && self.take_pending(call).is_some() {
                lost += 1;
                let outcome = CallOutcome::Order(OrderResponse::Lost);
                self.output.results.push(CallResult { call, outcome });
            }
        }
        if was_live {
            let live = self.live_count();
            let relay = id.clone();
            self.output.events.push(RelayEvent::Lost { relay, live, repeated, lost });
        }
    }

    /// Keeps the next calls to the backend server of an action from relays.
    fn call_directly(&mut self, now: Uptime, action: &Action) {
        if let Some((_, server, _)) = server_call(action) {
            self.direct_until.insert(server.clone(), now + self.settings.direct_period);
        }
    }

    fn take_pending(&mut self, call: CallId) -> Option<Pending> {
        let pending = self.pending.remove(&call)?;
        if let Some(relay) = self.relays.get_mut(&pending.relay) {
            relay.calls = relay.calls.saturating_sub(1);
        }
        Some(pending)
    }

    fn live_count(&self) -> usize {
        self.relays.values().filter(|relay| relay.is_live).count()
    }
}
