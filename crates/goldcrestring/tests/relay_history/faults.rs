//! What fails in a history, and rules broken on purpose.

use goldcrestring::job::relay::RelaySettings;
use std::time::Duration;

/// What fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Faults {
    /// Relays, their links and their messages; the leader reaches all backend servers.
    Relays,
    /// The leader's links to backend servers, which their relays reach.
    DirectPaths,
}

/// A rule broken on purpose, which the checks must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mutation {
    /// A relay sends calls of an earlier term.
    EarlierTermSent,
    /// A relay accepts and sends calls whatever their age.
    LateCallsSent,
    /// The leader awaits results for ever.
    NoDeadlines,
    /// The leader makes calls itself whatever their age, and lets them wait for a batch.
    OldCallsRepeated,
    /// The results of a lost relay count, although its calls were repeated.
    EveryResultCounts,
    /// The leader does not make the calls of a lost relay.
    NothingRepeated,
    /// A backend server that its relay can't reach stays with it.
    NoDirectCalls,
    /// A backend server that the leader can't reach stays with it.
    NoReturnToRelay,
}

impl Mutation {
    pub(crate) const ALL: [Self; 8] = [
        Self::EarlierTermSent,
        Self::LateCallsSent,
        Self::NoDeadlines,
        Self::OldCallsRepeated,
        Self::EveryResultCounts,
        Self::NothingRepeated,
        Self::NoDirectCalls,
        Self::NoReturnToRelay,
    ];

    pub(crate) fn faults(self) -> Faults {
        if self == Self::NoReturnToRelay { Faults::DirectPaths } else { Faults::Relays }
    }

    pub(crate) fn settings(self) -> RelaySettings {
        let settings = RelaySettings::default();
        let never = Duration::from_secs(1_000);
        match self {
            Self::NoDeadlines => RelaySettings { result_margin: never, ..settings },
            Self::OldCallsRepeated => {
                RelaySettings { max_wait: never, max_repeat_age: never, ..settings }
            }
            Self::NoDirectCalls => RelaySettings { direct_period: Duration::ZERO, ..settings },
            _ => settings,
        }
    }
}
