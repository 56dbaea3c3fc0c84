//! Encoding of messages: MessagePack between the processes, JSON at the public interfaces.

use derive_more::{Display, Error};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The media type of JSON.
pub const JSON: &str = "application/json";

/// Why a message can't be encoded or decoded.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum CodecError {
    /// The bytes are not a valid message of the expected type.
    #[display("the message can't be decoded: {problem}")]
    Decode {
        /// The decoder's error.
        problem: String,
    },
    /// The message can't be encoded.
    #[display("the message can't be encoded: {problem}")]
    Encode {
        /// The encoder's error.
        problem: String,
    },
}

/// The result type of this module.
pub type Result<T> = std::result::Result<T, CodecError>;

/// Encodes a message as MessagePack.
///
/// # Errors
///
/// [`CodecError::Encode`] if the value can't be represented in MessagePack.
///
/// # Examples
///
/// ```
/// use goldcrestring_wire::codec::{decode, encode};
///
/// let bytes = encode(&(7_u32, "seven"))?;
/// assert_eq!(decode::<(u32, String)>(&bytes)?, (7, "seven".to_owned()));
/// # Ok::<(), goldcrestring_wire::codec::CodecError>(())
/// ```
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    rmp_serde::to_vec(message).map_err(|error| CodecError::Encode { problem: error.to_string() })
}

/// Decodes a message from MessagePack.
///
/// # Errors
///
/// [`CodecError::Decode`] if the bytes are not a valid message of this type.
///
/// # Examples
///
/// ```
/// use goldcrestring_wire::codec::decode;
///
/// assert!(decode::<u32>(b"\xc1").is_err());
/// ```
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    rmp_serde::from_slice(bytes).map_err(|error| CodecError::Decode { problem: error.to_string() })
}

/// Encodes a message as JSON.
///
/// # Errors
///
/// [`CodecError::Encode`] if the value can't be represented in JSON.
///
/// # Examples
///
/// ```
/// use goldcrestring_wire::codec::encode_json;
///
/// assert_eq!(encode_json(&[1, 2])?, b"[1,2]");
/// # Ok::<(), goldcrestring_wire::codec::CodecError>(())
/// ```
pub fn encode_json<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    serde_json::to_vec(message).map_err(|error| CodecError::Encode { problem: error.to_string() })
}

/// Decodes a message from JSON; the error names the line, column and field.
///
/// # Errors
///
/// [`CodecError::Decode`] if the bytes are not a valid message of this type.
///
/// # Examples
///
/// ```
/// use goldcrestring_wire::codec::decode_json;
///
/// assert!(decode_json::<u32>(b"[").is_err());
/// ```
pub fn decode_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|error| CodecError::Decode { problem: error.to_string() })
}
