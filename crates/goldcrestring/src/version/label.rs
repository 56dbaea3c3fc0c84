//! Labels: the only thing by which operators steer.

use crate::name::{NameError, check_name};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::str::FromStr;

/// The result of parsing a label key or value.
pub type Result<T> = std::result::Result<T, NameError>;

macro_rules! label_texts {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// The text of this label part.
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
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(text: $name) -> Self {
                text.0
            }
        }
    )*};
}

label_texts! {
    /// The key of a label.
    LabelKey;
    /// The value of a label.
    LabelValue;
}

/// The labels of one object, ordered by key.
pub type Labels = BTreeMap<LabelKey, LabelValue>;
