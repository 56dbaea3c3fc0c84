//! The processes, calls and events of a history.

use goldcrestring::job::engine::{Action, CallId};
use goldcrestring::job::relay::{Ack, Batch, CallResult, Gate, Outbox};
use goldcrestring::name::NodeId;
use goldcrestring::quantity::Term;
use std::ops::Range;
use std::time::Duration;

pub(crate) const SERVERS: usize = 8;

pub(crate) const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Who makes a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Sender {
    Leader,
    Relay { relay: usize, life: u64 },
}

#[derive(Clone, Debug)]
pub(crate) enum Event {
    Batch {
        relay: usize,
        number: u64,
        batch: Batch,
    },
    Ack {
        relay: usize,
        number: u64,
        ack: Ack,
        term: Term,
    },
    BatchFails {
        relay: usize,
        number: u64,
        is_not_sent: bool,
        term: Term,
    },
    /// A relay's task for a call runs.
    Make {
        relay: usize,
        life: u64,
        received_at: Duration,
        action: Action,
    },
    /// A call reaches its backend server.
    Call {
        sender: Sender,
        sent_at: Duration,
        action: Action,
    },
    /// A call ends at its sender; `is_answered` is false at its timeout.
    End {
        sender: Sender,
        action: Action,
        is_answered: bool,
    },
    SendResults {
        relay: usize,
        life: u64,
        leader: NodeId,
        results: Vec<CallResult>,
        tries: u32,
    },
    TakeResults {
        relay: usize,
        life: u64,
        leader: NodeId,
    },
    Results {
        results: Vec<CallResult>,
    },
    Flush,
    TermKnown {
        relay: usize,
        term: Term,
    },
}

pub(crate) struct RelayProcess {
    pub(crate) id: NodeId,
    /// Counts the starts of the process.
    pub(crate) life: u64,
    pub(crate) gate: Gate,
    pub(crate) outbox: Outbox,
    pub(crate) known_term: Term,
    pub(crate) suspended_until: Duration,
    pub(crate) down_until: Duration,
    /// When its clock showed zero.
    pub(crate) clock_zero: Duration,
    pub(crate) cut_from_leader_until: Duration,
    pub(crate) cut_from_server_until: [Duration; SERVERS],
    pub(crate) slow_until: Duration,
}

impl RelayProcess {
    pub(crate) fn new(number: usize) -> Self {
        Self {
            id: format!("r-{number}").parse().expect("a name"),
            life: 0,
            gate: Gate::default(),
            outbox: Outbox::default(),
            known_term: Term::default(),
            suspended_until: Duration::ZERO,
            down_until: Duration::ZERO,
            clock_zero: ms(u64::try_from(number).expect("few relays") * 1_700),
            cut_from_leader_until: Duration::ZERO,
            cut_from_server_until: [Duration::ZERO; SERVERS],
            slow_until: Duration::ZERO,
        }
    }
}

#[derive(Clone, Default)]
pub(crate) struct Server {
    pub(crate) fence: u64,
    pub(crate) lease_until: Duration,
    pub(crate) pending_poll: Option<CallId>,
    pub(crate) next_poll_at: Duration,
    pub(crate) is_failing: bool,
    pub(crate) cut_from_leader: Range<Duration>,
}

pub(crate) struct Call {
    pub(crate) server: usize,
    pub(crate) timeout: Duration,
    pub(crate) is_poll: bool,
    pub(crate) decided_at: Duration,
}

/// The relay that handles an event, and its life if the event ends with it.
pub(crate) fn owner_of(event: &Event) -> Option<(usize, Option<u64>)> {
    match event {
        Event::Batch { relay, .. } | Event::TermKnown { relay, .. } => Some((*relay, None)),
        Event::Make { relay, life, .. }
        | Event::TakeResults { relay, life, .. }
        | Event::SendResults { relay, life, .. }
        | Event::End { sender: Sender::Relay { relay, life }, .. } => Some((*relay, Some(*life))),
        _ => None,
    }
}

/// The call, backend server and timeout of an action.
pub(crate) fn parts(action: &Action) -> (CallId, usize, Duration) {
    match action {
        Action::Poll { call, target, timeout, .. } | Action::Stop { call, target, timeout, .. } => {
            (*call, target.address.port().into(), *timeout)
        }
        _ => unreachable!("only polls and stops are decided"),
    }
}
