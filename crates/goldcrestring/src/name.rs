//! Validated names of VMs, teams, queues and other objects, and the keys and values of their
//! labels.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::str::FromStr;

/// The maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// The error returned when a string is not a valid name.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum NameError {
    /// The name is empty.
    #[display("a name must not be empty")]
    Empty,
    /// The name is longer than [`MAX_NAME_BYTES`].
    #[display("a name must not exceed {MAX_NAME_BYTES} bytes, got {length_bytes}")]
    TooLong {
        /// The actual length, in bytes.
        length_bytes: usize,
    },
    /// The name contains a character other than `a-z`, `0-9`, `-`, `_` and `.`.
    #[display("a name may contain only a-z, 0-9, '-', '_' and '.', found {character:?}")]
    InvalidCharacter {
        /// The first invalid character.
        character: char,
    },
}

/// The result of parsing a name.
pub type Result<T> = std::result::Result<T, NameError>;

fn check_name(text: &str) -> Result<()> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong { length_bytes: text.len() });
    }
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    match text.chars().find(|&c| !is_allowed(c)) {
        Some(character) => Err(NameError::InvalidCharacter { character }),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        ///
        /// # Examples
        ///
        /// ```
        #[doc = concat!("use goldcrestring::name::", stringify!($name), ";")]
        ///
        #[doc = concat!("let name: ", stringify!($name), " = \"quotes-1\".parse()?;")]
        /// assert_eq!(name.to_string(), "quotes-1");
        /// # Ok::<(), goldcrestring::name::NameError>(())
        /// ```
        #[derive(Clone, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self> {
                check_name(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self> {
                check_name(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    )*};
}

names! {
    /// The name of a data centre.
    DataCentreName;
    /// The key of a label.
    LabelKey;
    /// The value of a label.
    LabelValue;
    /// The name of a team's API key; the non-secret part of the key.
    KeyName;
    /// The name of a goldcrestring process.
    NodeId;
    /// The name of an object, unique within its kind.
    ObjectId;
    /// The name of a pool of VMs.
    PoolName;
    /// The name of a request queue.
    QueueName;
    /// The name of a rack.
    RackName;
    /// The name of a team.
    TeamName;
    /// The name of a VM.
    VmId;
}
