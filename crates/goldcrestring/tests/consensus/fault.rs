//! The messages of the protocol, what may happen to each, and rules broken on purpose.

use goldcrestring::process::consensus::{Request, Response};
use std::time::Duration;

/// A message on its way; an answer carries when its request was sent.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    Request(Request),
    Response(Response, Duration),
}

/// The messages of the protocol.
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

/// What happens to one message, or to a process around it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Fault {
    Lost,
    Repeated,
    RepeatedMuchLater,
    DelayedPastElection,
    SenderCrashesAfterSending,
    ReceiverCrashesBeforeHandling,
    ReceiverCrashesBeforeWriting,
    ReceiverTearsItsWrite,
    ReceiverCrashesAfterWriting,
    ReceiverFreezes,
    SenderIsCutOff,
}

impl Fault {
    pub(crate) const ALL: [Self; 11] = [
        Self::Lost,
        Self::Repeated,
        Self::RepeatedMuchLater,
        Self::DelayedPastElection,
        Self::SenderCrashesAfterSending,
        Self::ReceiverCrashesBeforeHandling,
        Self::ReceiverCrashesBeforeWriting,
        Self::ReceiverTearsItsWrite,
        Self::ReceiverCrashesAfterWriting,
        Self::ReceiverFreezes,
        Self::SenderIsCutOff,
    ];
}

/// A rule broken on purpose, to see that the checks notice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mutation {
    /// Terms and votes are not written.
    ForgetVotes,
    /// The last entries are acknowledged but not written.
    LoseLastEntries,
    /// An emptied disk comes back as the voter it was.
    KeepIncarnation,
}
