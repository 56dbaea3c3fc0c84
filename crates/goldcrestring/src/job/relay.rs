//! Relays: replicas that make the leader's calls to backend servers.
//!
//! In a large fleet the leader hands its calls to the other replicas in batches. [`Relays`] runs on
//! the leader and chooses a relay for each call; [`Gate`] runs on each relay and decides which
//! batches it still carries out; its results wait in an [`Outbox`]. None uses a socket or a clock.
//!
//! Every call gets exactly one result: that of its relay, that of the leader if the relay is lost,
//! [`CallOutcome::Dropped`] if nobody sent it in time, or no response at its deadline. Later results
//! of the same call are ignored, but for the report of a poll: the ends that it lists are taken.

mod gate;
mod leader;
mod outbox;
mod shard;

pub use gate::Gate;
pub use leader::{RelayEvent, RelayOutput, RelaySettings, Relays};
pub use outbox::Outbox;
pub use shard::owner;

use crate::job::engine::{Action, CallId, OrderResponse, PollReport};
use crate::quantity::Term;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The calls that a leader hands to a relay at once; a batch without calls is a probe.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// The leader's term.
    pub term: Term,
    /// The lower bound of the time at which the batch was made, on the relay's clock; `None` if the
    /// leader has not heard from the relay in this term.
    pub made_after: Option<Duration>,
    /// The calls, in the order of the engine.
    pub actions: Vec<Action>,
}

/// A relay's response to a batch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ack {
    /// Whether the relay makes the calls; otherwise it has made none and will make none.
    pub is_accepted: bool,
    /// The relay's clock.
    pub uptime: Duration,
}

/// The result of a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallResult {
    /// The call.
    pub call: CallId,
    /// Its outcome.
    pub outcome: CallOutcome,
}

/// The outcome of a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallOutcome {
    /// The response to a poll; `None` if the backend server did not respond.
    Poll(Option<PollReport>),
    /// The response to an order.
    Order(OrderResponse),
    /// The call was not sent in time and will not be, or it is a poll, which may be sent twice.
    Dropped,
}

/// Returns the call, its backend server and its timeout; `None` if the call is not addressed to a
/// backend server.
pub(crate) fn server_call(action: &Action) -> Option<(CallId, &super::ServerId, Duration)> {
    match action {
        Action::Poll { call, target, timeout, .. }
        | Action::Start { call, target, timeout, .. }
        | Action::Stop { call, target, timeout, .. }
        | Action::Pace { call, target, timeout, .. } => Some((*call, &target.server, *timeout)),
        Action::Maintain { .. }
        | Action::Move { .. }
        | Action::Advise { .. }
        | Action::ListMachines { .. } => None,
    }
}
