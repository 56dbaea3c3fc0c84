//! Validated names of VMs, teams, queues and the other things that operators describe, and the
//! keys and values of their labels.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::str::FromStr;

/// The longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Why a text is not a name.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum NameError {
    /// The text has no characters.
    #[display("a name must not be empty")]
    Empty,
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[display("a name has at most {MAX_NAME_BYTES} bytes, this one has {length_bytes}")]
    TooLong {
        /// The length found, in bytes.
        length_bytes: usize,
    },
    /// The text holds a character outside `a-z`, `0-9`, `-`, `_` and `.`.
    #[display("a name holds only a-z, 0-9, '-', '_' and '.', not {character:?}")]
    InvalidCharacter {
        /// The first character that is not allowed.
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
            /// The name as text.
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
    /// Names a data centre.
    DataCentreName;
    /// The key of a label.
    LabelKey;
    /// The value of a label.
    LabelValue;
    /// Names a key of a team; the part of the key that is not secret.
    KeyName;
    /// Names a process of this system.
    NodeId;
    /// Names an object within its kind.
    ObjectId;
    /// Names a pool of VMs.
    PoolName;
    /// Names a queue of requests.
    QueueName;
    /// Names a rack.
    RackName;
    /// Names a team.
    TeamName;
    /// Names a VM.
    VmId;
}
