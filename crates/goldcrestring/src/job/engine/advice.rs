//! Tickets from the adviser, a service that decides on which backend servers a step may run.
//!
//! Some queues require a ticket for each start. The adviser serves one call at a time, and each
//! backend server in a call adds to its duration, so one call covers several servers for a step.
//! The adviser never changes its decision on an incarnation of a backend server.

use super::message::{Action, AdviceResponse, CallId};
use super::{Engine, PendingCall};
use crate::clock::Uptime;
use crate::job::id::{ServerId, ServerIncarnation, StepId};
use crate::job::plan::AdviserTiming;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The maximum number of backend servers in one call.
const MAX_SERVERS_PER_CALL: usize = 30;

/// The maximum number of concurrent calls; the adviser queues calls and rejects the 33rd.
const MAX_CONCURRENT_CALLS: usize = 8;

/// The delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Added to the expected duration of a call to get its timeout.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);

/// The share of a ticket's validity during which starts use it, in percent.
const USABLE_PERCENT: u32 = 85;

/// A ticket for one incarnation of a backend server.
#[derive(Clone, Debug)]
struct Ticket {
    text: Arc<str>,
    usable_until: Uptime,
}

/// The adviser's responses for one step.
#[derive(Debug, Default)]
struct StepAdvice {
    is_pending: bool,
    retry_at: Uptime,
    tickets: BTreeMap<ServerIncarnation, Ticket>,
    refused: BTreeSet<ServerIncarnation>,
}

/// The adviser's responses by step, and the number of pending calls.
#[derive(Debug, Default)]
pub(super) struct AdviceState {
    steps: BTreeMap<StepId, StepAdvice>,
    pending_calls: usize,
}

impl Engine {
    /// Returns the suitable backend servers for which a step has a valid ticket; asks the adviser
    /// if there are none.
    pub(super) fn allowed_servers(
        &mut self,
        now: Uptime,
        step: StepId,
        timing: &AdviserTiming,
        suitable: &BTreeSet<ServerId>,
    ) -> BTreeSet<ServerId> {
        let incarnations: Vec<ServerIncarnation> = suitable
            .iter()
            .filter_map(|id| self.servers.get(id))
            .map(|server| server.incarnation().clone())
            .collect();
        let advice = self.advice.steps.entry(step).or_default();
        advice.tickets.retain(|_, ticket| now < ticket.usable_until);
        let allowed: BTreeSet<ServerId> = incarnations
            .iter()
            .filter(|incarnation| advice.tickets.contains_key(incarnation))
            .map(|incarnation| incarnation.id.clone())
            .collect();
        let undecided: Vec<ServerIncarnation> = incarnations
            .into_iter()
            .filter(|incarnation| {
                !advice.tickets.contains_key(incarnation) && !advice.refused.contains(incarnation)
            })
            .take(MAX_SERVERS_PER_CALL)
            .collect();
        let is_due = allowed.is_empty() && !advice.is_pending && now >= advice.retry_at;
        if is_due && !undecided.is_empty() && self.advice.pending_calls < MAX_CONCURRENT_CALLS {
            self.ask_adviser(step, timing, undecided);
        }
        allowed
    }

    fn ask_adviser(
        &mut self,
        step: StepId,
        timing: &AdviserTiming,
        servers: Vec<ServerIncarnation>,
    ) {
        self.advice.pending_calls += 1;
        if let Some(advice) = self.advice.steps.get_mut(&step) {
            advice.is_pending = true;
        }
        let count = u64::try_from(servers.len()).unwrap_or(u64::MAX);
        let call_ms = timing.decide_ms.saturating_add(timing.per_server_ms.saturating_mul(count));
        // The adviser serves the calls that it has already queued first.
        let pending = u64::try_from(self.advice.pending_calls).unwrap_or(u64::MAX);
        let timeout = Duration::from_millis(call_ms.saturating_mul(pending)) + TIMEOUT_MARGIN;
        let ids = servers.iter().map(|incarnation| incarnation.id.clone()).collect();
        let call = self.register_call(PendingCall::Advise { step, servers });
        self.output.actions.push(Action::Advise { call, step, servers: ids, timeout });
    }

    /// Handles the adviser's response; `None` if the call failed or the adviser was overloaded.
    pub fn handle_advice_response(
        &mut self,
        now: Uptime,
        call: CallId,
        response: Option<AdviceResponse>,
    ) {
        let Some(PendingCall::Advise { step, servers }) = self.calls.remove(&call) else { return };
        self.advice.pending_calls = self.advice.pending_calls.saturating_sub(1);
        self.is_schedule_due = true;
        let Some(advice) = self.advice.steps.get_mut(&step) else { return };
        advice.is_pending = false;
        let Some(response) = response else {
            advice.retry_at = now + RETRY_DELAY;
            return;
        };
        let usable_until = now + response.valid_for * USABLE_PERCENT / 100;
        for incarnation in servers {
            match response.allowed.get(&incarnation.id) {
                Some(text) => {
                    advice
                        .tickets
                        .insert(incarnation, Ticket { text: Arc::clone(text), usable_until });
                }
                None => {
                    advice.refused.insert(incarnation);
                }
            }
        }
    }

    /// The ticket of a step for a backend server, if there is a valid one.
    pub(super) fn ticket(
        &self,
        now: Uptime,
        step: &StepId,
        incarnation: &ServerIncarnation,
    ) -> Option<Arc<str>> {
        let ticket = self.advice.steps.get(step)?.tickets.get(incarnation)?;
        (now < ticket.usable_until).then(|| Arc::clone(&ticket.text))
    }

    /// Drops a ticket that a backend server rejected.
    pub(super) fn drop_ticket(&mut self, step: &StepId, incarnation: &ServerIncarnation) {
        if let Some(advice) = self.advice.steps.get_mut(step) {
            advice.tickets.remove(incarnation);
        }
    }

    /// Drops the responses for steps other than the waiting ones.
    pub(super) fn retain_advice(&mut self, waiting: &BTreeSet<StepId>) {
        self.advice.steps.retain(|step, advice| advice.is_pending || waiting.contains(step));
    }
}
