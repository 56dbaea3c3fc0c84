//! Kinds of protocol messages, the faults that can be injected, and mutations of the protocol.

use goldcrestring::process::consensus::{Request, Response};
use std::time::Duration;

/// A message in transit; a response carries the time at which its request was sent.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    Request(Request),
    Response(Response, Duration),
}

/// Kinds of protocol messages.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum MessageKind {
    VoteRequest,
    VoteResponse,
    AppendRequest,
    AppendResponse,
    SnapshotRequest,
    TimeoutNow,
    TimeoutNowResponse,
}

impl MessageKind {
    pub(crate) const ALL: [Self; 7] = [
        Self::VoteRequest,
        Self::VoteResponse,
        Self::AppendRequest,
        Self::AppendResponse,
        Self::SnapshotRequest,
        Self::TimeoutNow,
        Self::TimeoutNowResponse,
    ];

    pub(crate) const fn of(message: &Message) -> Self {
        match message {
            Message::Request(Request::Vote(_)) => Self::VoteRequest,
            Message::Request(Request::Append(_)) => Self::AppendRequest,
            Message::Request(Request::Snapshot(_)) => Self::SnapshotRequest,
            Message::Request(Request::TimeoutNow { .. }) => Self::TimeoutNow,
            Message::Response(Response::Vote { .. }, _) => Self::VoteResponse,
            Message::Response(Response::Append { .. }, _) => Self::AppendResponse,
            Message::Response(Response::TimeoutNow { .. }, _) => Self::TimeoutNowResponse,
        }
    }
}

/// A fault of one message, or of its sender or receiver.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Fault {
    Lost,
    Duplicated,
    DuplicatedAfterElection,
    DelayedPastElection,
    SenderCrashesAfterSending,
    ReceiverCrashesBeforeHandling,
    ReceiverCrashesBeforeWriting,
    ReceiverWriteIsTorn,
    ReceiverCrashesAfterWriting,
    ReceiverFreezes,
    SenderOutputIsBlocked,
}

impl Fault {
    pub(crate) const ALL: [Self; 11] = [
        Self::Lost,
        Self::Duplicated,
        Self::DuplicatedAfterElection,
        Self::DelayedPastElection,
        Self::SenderCrashesAfterSending,
        Self::ReceiverCrashesBeforeHandling,
        Self::ReceiverCrashesBeforeWriting,
        Self::ReceiverWriteIsTorn,
        Self::ReceiverCrashesAfterWriting,
        Self::ReceiverFreezes,
        Self::SenderOutputIsBlocked,
    ];
}

/// A deliberate violation of the protocol, which the checks must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mutation {
    /// Terms and votes are not persisted.
    ForgetVotes,
    /// The last entries are acknowledged but not persisted.
    LoseLastEntries,
    /// A replica with an emptied disk rejoins under its previous incarnation as a voter.
    ReuseIncarnation,
}
