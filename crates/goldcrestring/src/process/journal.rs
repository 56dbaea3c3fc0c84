//! The on-disk format of the journal: framed, checksummed records.
//!
//! A frame consists of the length of the record in bytes, the CRC-32 checksums of the length and of
//! the record, each as a little-endian `u32`, and the record.
//!
//! A tail torn by a crash is distinguished from corruption: a torn tail was never acknowledged and
//! is dropped, whereas corruption stops the replica.

use crate::process::replica::{HardState, LogEntry};
use crate::quantity::LogIndex;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// The size of the header before each record, in bytes.
pub const HEADER_BYTES: usize = 12;

/// The disk's write unit, in bytes; after a crash, unwritten data is zero from a sector boundary.
const SECTOR_BYTES: usize = 512;

/// A record of the journal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JournalRecord {
    /// The journal continues after the snapshot at this position.
    Base(LogIndex),
    /// A new term or vote.
    HardState(HardState),
    /// A log entry, which replaces any entries at and after its position.
    Entry(LogEntry),
}

/// An error in reading or writing a journal.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum JournalError {
    /// A record that was completely written can no longer be read.
    #[display("journal corrupt at byte {offset_bytes}")]
    Corrupt {
        /// The offset of the corrupt frame, in bytes.
        offset_bytes: usize,
    },
    /// A record could not be encoded.
    #[display("failed to encode a journal record: {problem}")]
    Encode {
        /// The encoder's error message.
        problem: String,
    },
}

/// The result of reading or writing a journal.
pub type Result<T> = std::result::Result<T, JournalError>;

/// The result of scanning a journal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Scan {
    /// The readable records, in order.
    pub records: Vec<JournalRecord>,
    /// The length of the complete records, in bytes; anything after it is a torn tail.
    pub valid_bytes: usize,
}

/// Appends a framed record to a buffer.
///
/// # Errors
///
/// Returns [`JournalError::Encode`] if the record can't be encoded or is longer than `u32::MAX`
/// bytes.
///
/// # Examples
///
/// ```
/// use goldcrestring::process::journal::{JournalRecord, append, scan};
/// use goldcrestring::quantity::LogIndex;
///
/// let mut bytes = Vec::new();
/// append(&mut bytes, &JournalRecord::Base(LogIndex::new(7)))?;
/// assert_eq!(scan(&bytes)?.valid_bytes, bytes.len());
/// assert_eq!(scan(&bytes[..bytes.len() - 1])?.valid_bytes, 0, "a torn record is dropped");
/// # Ok::<(), goldcrestring::process::journal::JournalError>(())
/// ```
pub fn append(buffer: &mut Vec<u8>, record: &JournalRecord) -> Result<()> {
    let encode = |problem: String| JournalError::Encode { problem };
    let body = rmp_serde::to_vec(record).map_err(|error| encode(error.to_string()))?;
    let length = u32::try_from(body.len()).map_err(|error| encode(error.to_string()))?;
    let length = length.to_le_bytes();
    buffer.extend_from_slice(&length);
    buffer.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    buffer.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    buffer.extend_from_slice(&body);
    Ok(())
}

/// Reads all records of a journal.
///
/// # Errors
///
/// Returns [`JournalError::Corrupt`] if a completely written record can't be read.
pub fn scan(bytes: &[u8]) -> Result<Scan> {
    let mut records = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        match read_frame(&bytes[offset..]) {
            Some((record, length)) => {
                records.push(record);
                offset += length;
            }
            None if is_torn_tail(bytes, offset) => break,
            None => return Err(JournalError::Corrupt { offset_bytes: offset }),
        }
    }
    Ok(Scan { records, valid_bytes: offset })
}

fn read_frame(bytes: &[u8]) -> Option<(JournalRecord, usize)> {
    let length = read_length(bytes)?;
    let expected = read_u32(bytes, 8)?;
    let body = bytes.get(HEADER_BYTES..HEADER_BYTES + length)?;
    if crc32fast::hash(body) != expected {
        return None;
    }
    Some((rmp_serde::from_slice(body).ok()?, HEADER_BYTES + length))
}

fn read_length(bytes: &[u8]) -> Option<usize> {
    let length = bytes.get(..4)?;
    if crc32fast::hash(length) != read_u32(bytes, 4)? {
        return None;
    }
    usize::try_from(read_u32(bytes, 0)?).ok()
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

/// Returns whether an unreadable frame is the tail of a write that was interrupted by a crash.
///
/// In that case, either the file ends within the frame, or it is zero from a sector boundary to the
/// end.
fn is_torn_tail(bytes: &[u8], offset: usize) -> bool {
    let rest = &bytes[offset..];
    if rest.len() < HEADER_BYTES {
        return true;
    }
    if let Some(length) = read_length(rest)
        && HEADER_BYTES + length > rest.len()
    {
        return true;
    }
    let last_written = bytes.iter().rposition(|&byte| byte != 0).map_or(0, |at| at + 1);
    let boundary = last_written.max(offset).next_multiple_of(SECTOR_BYTES);
    boundary < bytes.len()
}

/// Computes the CRC-32 checksum of a file's content, in little-endian byte order.
///
/// # Examples
///
/// ```
/// use goldcrestring::process::journal::checksum;
///
/// assert_ne!(checksum(b"state"), checksum(b"State"));
/// ```
pub fn checksum(bytes: &[u8]) -> [u8; 4] {
    crc32fast::hash(bytes).to_le_bytes()
}
