//! Appending to a file, with retries while the disk is full.

use std::fs::File;
use std::io::{self, ErrorKind, Write};

/// A file that supports appending, truncation and syncing.
pub(super) trait AppendFile {
    /// Appends all bytes to the end of the file.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Truncates the file to a length, in bytes.
    fn truncate(&mut self, length_bytes: u64) -> io::Result<()>;
    /// Flushes written data to the disk.
    fn sync(&mut self) -> io::Result<()>;
}

impl AppendFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn truncate(&mut self, length_bytes: u64) -> io::Result<()> {
        self.set_len(length_bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

/// Appends bytes to a file of `length_bytes` and syncs it. While the disk is full, truncates
/// partial writes and retries.
///
/// The call blocks until there is space, so a replica with a full disk does not respond. A failed
/// sync is never retried, since the data that it covered may already be lost.
///
/// # Errors
///
/// Fails if truncating or syncing fails, or if appending fails for another reason than a full disk.
pub(super) fn append_with_retry<F: AppendFile>(
    file: &mut F,
    length_bytes: u64,
    bytes: &[u8],
    mut wait_for_space: impl FnMut(),
) -> io::Result<()> {
    loop {
        match file.append(bytes) {
            Ok(()) => return file.sync(),
            Err(error) if error.kind() == ErrorKind::StorageFull => {
                file.truncate(length_bytes)?;
                wait_for_space();
            }
            Err(error) => return Err(error),
        }
    }
}

#[cfg(test)]
mod tests;
