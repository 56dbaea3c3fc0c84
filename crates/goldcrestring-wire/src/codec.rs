//! MessagePack between our processes, JSON to the outside.

use derive_more::{Display, Error};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The media type of JSON.
pub const JSON: &str = "application/json";

/// Why bytes are not a message, or a message can't be bytes.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum CodecError {
    /// The bytes are not the message expected.
    #[display("not the message expected: {problem}")]
    Decode {
        /// What the decoder found.
        problem: String,
    },
    /// The message has no encoding.
    #[display("the message can't be encoded: {problem}")]
    Encode {
        /// What the encoder found.
        problem: String,
    },
}

/// The result of encoding and decoding.
pub type Result<T> = std::result::Result<T, CodecError>;

/// Encodes a message as MessagePack.
///
/// # Errors
///
/// [`CodecError::Encode`] for a value without an encoding.
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
/// [`CodecError::Decode`] when the bytes are not such a message.
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
/// [`CodecError::Encode`] for a value without an encoding.
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

/// Decodes a message from JSON; the error names line, column and field.
///
/// # Errors
///
/// [`CodecError::Decode`] when the bytes are not such a message.
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
