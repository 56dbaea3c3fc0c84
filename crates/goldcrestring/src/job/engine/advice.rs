//! Tickets: some queues let a step run only where an adviser allows it.
//!
//! The adviser takes one call at a time and some time for each backend server named, so a step asks
//! once for many of them; what it said of an incarnation of a backend server does not change.

use super::message::{Action, AdviceAnswer, CallId};
use super::{Engine, PendingCall};
use crate::clock::Uptime;
use crate::job::id::{ServerId, ServerIncarnation, StepId};
use crate::job::plan::AdviserTiming;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The most backend servers named in one call.
const MAX_NAMED: usize = 30;

/// The most calls under way; the adviser takes them in turn and refuses the 33rd.
const MAX_CALLS: usize = 8;

/// The pause after a call that brought nothing.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Added to the time that a call should take.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);

/// The part of a ticket's time after which it is no longer used, in percent.
const VALID_PERCENT: u32 = 85;

/// A ticket for one incarnation of a backend server.
#[derive(Clone, Debug)]
struct Ticket {
    text: Arc<str>,
    until: Uptime,
}

/// What the adviser said of one step.
#[derive(Debug, Default)]
struct Asked {
    is_under_way: bool,
    retry_at: Uptime,
    tickets: BTreeMap<ServerIncarnation, Ticket>,
    refused: BTreeSet<ServerIncarnation>,
}

/// What the leader knows of advice.
#[derive(Debug, Default)]
pub(super) struct AdviceView {
    steps: BTreeMap<StepId, Asked>,
    calls: usize,
}

impl Engine {
    /// The backend servers for which a step has a ticket; asks for more where it has none.
    pub(super) fn advised(
        &mut self,
        now: Uptime,
        step: StepId,
        terms: &AdviserTiming,
        suitable: &BTreeSet<ServerId>,
    ) -> BTreeSet<ServerId> {
        let incarnations: Vec<ServerIncarnation> = suitable
            .iter()
            .filter_map(|id| self.servers.get(id))
            .map(|server| server.incarnation().clone())
            .collect();
        let asked = self.advice.steps.entry(step).or_default();
        asked.tickets.retain(|_, ticket| now < ticket.until);
        let allowed: BTreeSet<ServerId> = incarnations
            .iter()
            .filter(|incarnation| asked.tickets.contains_key(incarnation))
            .map(|incarnation| incarnation.id.clone())
            .collect();
        let unknown: Vec<ServerIncarnation> = incarnations
            .into_iter()
            .filter(|incarnation| {
                !asked.tickets.contains_key(incarnation) && !asked.refused.contains(incarnation)
            })
            .take(MAX_NAMED)
            .collect();
        let is_due = allowed.is_empty() && !asked.is_under_way && now >= asked.retry_at;
        if is_due && !unknown.is_empty() && self.advice.calls < MAX_CALLS {
            self.ask(step, terms, unknown);
        }
        allowed
    }

    fn ask(&mut self, step: StepId, terms: &AdviserTiming, servers: Vec<ServerIncarnation>) {
        self.advice.calls += 1;
        if let Some(asked) = self.advice.steps.get_mut(&step) {
            asked.is_under_way = true;
        }
        let named = u64::try_from(servers.len()).unwrap_or(u64::MAX);
        let one_ms = terms.decide_ms.saturating_add(terms.per_server_ms.saturating_mul(named));
        // Calls that are already waiting at the adviser come first.
        let waiting = u64::try_from(self.advice.calls).unwrap_or(u64::MAX);
        let timeout = Duration::from_millis(one_ms.saturating_mul(waiting)) + TIMEOUT_MARGIN;
        let ids = servers.iter().map(|incarnation| incarnation.id.clone()).collect();
        let call = self.call(PendingCall::Advise { step, servers });
        self.output.actions.push(Action::Advise { call, step, servers: ids, timeout });
    }

    /// Takes the adviser's answer; `None` where none came or it had too much to do.
    pub fn handle_advice_answer(
        &mut self,
        now: Uptime,
        call: CallId,
        answer: Option<AdviceAnswer>,
    ) {
        let Some(PendingCall::Advise { step, servers }) = self.calls.remove(&call) else { return };
        self.advice.calls = self.advice.calls.saturating_sub(1);
        self.is_schedule_due = true;
        let Some(asked) = self.advice.steps.get_mut(&step) else { return };
        asked.is_under_way = false;
        let Some(answer) = answer else {
            asked.retry_at = now + RETRY_PAUSE;
            return;
        };
        let until = now + answer.valid * VALID_PERCENT / 100;
        for incarnation in servers {
            match answer.allowed.get(&incarnation.id) {
                Some(text) => {
                    asked.tickets.insert(incarnation, Ticket { text: Arc::clone(text), until });
                }
                None => {
                    asked.refused.insert(incarnation);
                }
            }
        }
    }

    /// The ticket of a step for a backend server, where it has one.
    pub(super) fn ticket(
        &self,
        now: Uptime,
        step: &StepId,
        incarnation: &ServerIncarnation,
    ) -> Option<Arc<str>> {
        let ticket = self.advice.steps.get(step)?.tickets.get(incarnation)?;
        (now < ticket.until).then(|| Arc::clone(&ticket.text))
    }

    /// Drops a ticket that a backend server did not take.
    pub(super) fn drop_ticket(&mut self, step: &StepId, incarnation: &ServerIncarnation) {
        if let Some(asked) = self.advice.steps.get_mut(step) {
            asked.tickets.remove(incarnation);
        }
    }

    /// Forgets steps that wait no more.
    pub(super) fn forget_advice(&mut self, waiting: &BTreeSet<StepId>) {
        self.advice.steps.retain(|step, asked| asked.is_under_way || waiting.contains(step));
    }
}
