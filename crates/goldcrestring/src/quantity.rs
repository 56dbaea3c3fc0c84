//! Newtypes for integers: revisions, log positions, terms, boot ids and incarnations.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::num::ParseIntError;
use std::str::FromStr;

macro_rules! quantities {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        ///
        /// # Examples
        ///
        /// ```
        #[doc = concat!("use goldcrestring::quantity::", stringify!($name), ";")]
        ///
        #[doc = concat!("let number: ", stringify!($name), " = \"7\".parse()?;")]
        /// assert_eq!(number.next().get(), 8);
        /// # Ok::<(), std::num::ParseIntError>(())
        /// ```
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Zero, which precedes the first valid value.
            pub const ZERO: Self = Self(0);

            /// Creates a value from an integer.
            pub const fn new(value: u64) -> Self {
                Self(value)
            }

            /// Returns the value as an integer.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the value after this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }

            /// Returns the value before this one, saturating at zero.
            #[must_use]
            pub const fn previous(self) -> Self {
                Self(self.0.saturating_sub(1))
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    )*};
}

quantities! {
    /// A number that identifies one run of a process: random for an entry, increasing with each
    /// start for a backend server.
    BootId;
    /// A random number that a replica generates for each new disk.
    Incarnation;
    /// A position in the replicated log, starting at one.
    LogIndex;
    /// The log position of the change that last modified an object or a configuration.
    Revision;
    /// A leader's term, as defined by Raft.
    Term;
}

impl From<LogIndex> for Revision {
    fn from(index: LogIndex) -> Self {
        Self(index.0)
    }
}
