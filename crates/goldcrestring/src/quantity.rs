//! Numbers with a meaning: revisions, log positions, terms and boot ids.

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
            /// The zero of this quantity, before the first real value.
            pub const ZERO: Self = Self(0);

            /// Wraps a plain number.
            pub const fn new(value: u64) -> Self {
                Self(value)
            }

            /// The plain number.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// The value after this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }

            /// The value before this one; zero stays zero.
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
    /// A random number that a process draws at each start.
    BootId;
    /// A random number that a replica draws for each new disk.
    Incarnation;
    /// A position in the replicated log, from one.
    LogIndex;
    /// The log position of the change that last touched something.
    Revision;
    /// A leader's term of office.
    Term;
}

impl From<LogIndex> for Revision {
    fn from(index: LogIndex) -> Self {
        Self(index.0)
    }
}
