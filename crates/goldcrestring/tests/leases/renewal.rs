//! Renewal of one entry's lease by a leader that stays alive, over a network that loses or delays
//! single messages.

use goldcrestring::connection::{GrantedLease, HeldLease, LeaseRequest};
use goldcrestring::process::leader::LeaseRequestId;
use goldcrestring::process::{ControlState, EntryInstance, Leader};
use goldcrestring::quantity::{BootId, Term};
use goldcrestring::request::EntryState;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(1);
const LATENCY: Duration = Duration::from_millis(1);
const LEADER_TICK: Duration = Duration::from_millis(50);
const MIN_REQUEST_DELAY: Duration = Duration::from_millis(5);

/// A fault of the network for the request with this number.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    RequestLost(usize),
    ResponseLate(usize, Duration),
    ResponseLost(usize),
}

/// What happened during a run.
#[derive(Debug, Default)]
pub(crate) struct Observed {
    /// Number of requests sent.
    pub(crate) requests: usize,
    /// Time spent without a valid lease after the first one was granted.
    pub(crate) without_lease: Duration,
}

struct Outstanding {
    number: usize,
    sent_at: Duration,
    repeat_at: Option<Duration>,
    arrives_at: Option<Duration>,
    id: Option<LeaseRequestId>,
    request: LeaseRequest,
    response: Option<(Duration, GrantedLease)>,
}

/// Renews a lease for this time, with at most one fault.
pub(crate) fn renew(time: Duration, phase: Duration, fault: Option<Fault>) -> Observed {
    let start = Duration::from_secs(1_000);
    let state = ControlState::default();
    let mut leader = Leader::new(Duration::ZERO);
    let mut entry = EntryState::new(1);
    let node = "entry-1".parse().expect("a valid node id");
    let instance = EntryInstance { node, boot: BootId::new(1) };
    let mut observed = Observed::default();
    let mut outstanding: Option<Outstanding> = None;
    let mut next_request_at = start;
    let mut is_urgent = true;
    let mut had_lease = false;
    let mut now = start;
    while now < start + time {
        now += STEP;
        if outstanding.as_ref().is_some_and(|sent| sent.repeat_at.is_some_and(|at| now >= at)) {
            outstanding = None;
            is_urgent = true;
            next_request_at = now;
        }
        if outstanding.is_none() && now >= next_request_at {
            let sent = send(&mut entry, &instance, now, observed.requests, is_urgent, fault);
            observed.requests += 1;
            outstanding = Some(sent);
        }
        if let Some(sent) = &mut outstanding {
            let has_arrived = sent.arrives_at.is_some_and(|at| now >= at);
            if has_arrived && sent.id.is_none() {
                sent.id = Some(leader.enqueue_request(now, sent.request.clone()));
            }
            // A request wakes the leader; otherwise it looks at the pending ones once a tick.
            let is_tick = (now - start + phase).as_millis().is_multiple_of(LEADER_TICK.as_millis());
            let is_new = sent.arrives_at == Some(now);
            if is_tick || is_new {
                for (id, granted) in leader.respond(now, Term::new(1), &state) {
                    if sent.id == Some(id) {
                        sent.response = response(sent.number, now, granted, fault);
                    }
                }
            }
        }
        let is_answered = |sent: &mut Outstanding| {
            sent.response.as_ref().is_some_and(|(arrives_at, _)| now >= *arrives_at)
        };
        if let Some(sent) = outstanding.take_if(is_answered)
            && let Some((_, granted)) = sent.response
        {
            entry.apply_lease(sent.sent_at, granted);
            had_lease = true;
            is_urgent = false;
            next_request_at = now + MIN_REQUEST_DELAY;
        }
        if had_lease && !entry.lease.is_valid(now) {
            observed.without_lease += STEP;
        }
    }
    observed
}

fn send(
    entry: &mut EntryState,
    instance: &EntryInstance,
    now: Duration,
    number: usize,
    is_urgent: bool,
    fault: Option<Fault>,
) -> Outstanding {
    let lease: HeldLease = entry.lease;
    let is_lost = matches!(fault, Some(Fault::RequestLost(lost)) if lost == number);
    Outstanding {
        number,
        sent_at: now,
        repeat_at: (!is_urgent).then(|| now + lease.time_until_repeat(now)),
        arrives_at: (!is_lost).then_some(now + LATENCY),
        id: None,
        request: entry.lease_request(instance, is_urgent),
        response: None,
    }
}

fn response(
    number: usize,
    now: Duration,
    granted: GrantedLease,
    fault: Option<Fault>,
) -> Option<(Duration, GrantedLease)> {
    match fault {
        Some(Fault::ResponseLost(lost)) if lost == number => None,
        Some(Fault::ResponseLate(late, by)) if late == number => {
            Some((now + LATENCY + by, granted))
        }
        _ => Some((now + LATENCY, granted)),
    }
}
