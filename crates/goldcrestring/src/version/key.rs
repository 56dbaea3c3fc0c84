//! API keys presented by callers; only a keyed hash of the secret is stored.

use crate::name::KeyName;
use derive_more::{Display, Error};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt;
use std::str::FromStr;
use subtle::ConstantTimeEq;

const SALT_BYTES: usize = 16;
const SECRET_BYTES: usize = 24;

/// An error in parsing or generating a key or its hash.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum KeyError {
    /// The string is not of the form `name.secret`.
    #[display("a key must have the form name.secret")]
    Malformed,
    /// The hash is not of the form `salt:digest` with hexadecimal digits.
    #[display("a secret hash must have the form salt:digest with hexadecimal digits")]
    MalformedHash,
    /// The operating system provided no random bytes.
    #[display("failed to get random bytes from the operating system")]
    Randomness,
}

/// The result of parsing or generating a key.
pub type Result<T> = std::result::Result<T, KeyError>;

/// A key as presented by a caller; its `Debug` output omits the secret.
///
/// # Examples
///
/// ```
/// use goldcrestring::version::PresentedKey;
///
/// let key: PresentedKey = "bakers-1.c0ffee".parse()?;
/// assert_eq!(key.name.as_str(), "bakers-1");
/// assert!(!format!("{key:?}").contains("c0ffee"));
/// # Ok::<(), goldcrestring::version::KeyError>(())
/// ```
#[derive(Clone, Eq, PartialEq)]
pub struct PresentedKey {
    /// The name of the key.
    pub name: KeyName,
    secret: String,
}

impl PresentedKey {
    /// Generates a key with a random secret.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::Randomness`] if the operating system provides no random bytes.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::version::PresentedKey;
    ///
    /// let key = PresentedKey::generate("bakers-1".parse()?)?;
    /// assert!(key.hash()?.verify(&key));
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn generate(name: KeyName) -> Result<Self> {
        let mut secret = [0; SECRET_BYTES];
        getrandom::fill(&mut secret).map_err(|_| KeyError::Randomness)?;
        Ok(Self { name, secret: to_hex(&secret) })
    }

    /// Hashes the secret with a new random salt.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::Randomness`] if the operating system provides no random bytes.
    pub fn hash(&self) -> Result<SecretHash> {
        let mut salt = [0; SALT_BYTES];
        getrandom::fill(&mut salt).map_err(|_| KeyError::Randomness)?;
        Ok(SecretHash { digest: digest(&salt, &self.secret).to_vec(), salt: salt.to_vec() })
    }

    /// Returns the key in its textual form, including the secret.
    pub fn reveal(&self) -> String {
        format!("{}.{}", self.name, self.secret)
    }
}

impl fmt::Debug for PresentedKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("PresentedKey").field("name", &self.name).finish_non_exhaustive()
    }
}

impl FromStr for PresentedKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self> {
        let (name, secret) = text.rsplit_once('.').ok_or(KeyError::Malformed)?;
        if secret.is_empty() {
            return Err(KeyError::Malformed);
        }
        let name = name.parse().map_err(|_| KeyError::Malformed)?;
        Ok(Self { name, secret: secret.to_owned() })
    }
}

/// The HMAC-SHA-256 (RFC 2104) of a secret, keyed with a random salt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct SecretHash {
    salt: Vec<u8>,
    digest: Vec<u8>,
}

impl SecretHash {
    /// Returns whether the presented secret has this hash; compares in constant time.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::version::PresentedKey;
    ///
    /// let key: PresentedKey = "bakers-1.c0ffee".parse()?;
    /// let other: PresentedKey = "bakers-1.decaf0".parse()?;
    /// assert!(!key.hash()?.verify(&other));
    /// # Ok::<(), goldcrestring::version::KeyError>(())
    /// ```
    pub fn verify(&self, key: &PresentedKey) -> bool {
        digest(&self.salt, &key.secret).ct_eq(&self.digest).into()
    }
}

impl fmt::Display for SecretHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", to_hex(&self.salt), to_hex(&self.digest))
    }
}

impl FromStr for SecretHash {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self> {
        let (salt, digest) = text.split_once(':').ok_or(KeyError::MalformedHash)?;
        Ok(Self { salt: from_hex(salt)?, digest: from_hex(digest)? })
    }
}

impl TryFrom<String> for SecretHash {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<SecretHash> for String {
    fn from(hash: SecretHash) -> Self {
        hash.to_string()
    }
}

/// Compares two secrets in time that depends only on their lengths.
///
/// # Examples
///
/// ```
/// use goldcrestring::version::constant_time_eq;
///
/// assert!(constant_time_eq("operator", "operator"));
/// assert!(!constant_time_eq("operator", "imposter"));
/// ```
pub fn constant_time_eq(left: &str, right: &str) -> bool {
    left.as_bytes().ct_eq(right.as_bytes()).into()
}

fn digest(salt: &[u8], secret: &str) -> [u8; 32] {
    let mut mac = Hmac::<Sha256>::new_from_slice(salt).expect("HMAC accepts keys of any length");
    mac.update(secret.as_bytes());
    mac.finalize().into_bytes().into()
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Result<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return Err(KeyError::MalformedHash);
    }
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).map_err(|_| KeyError::MalformedHash))
        .collect()
}
