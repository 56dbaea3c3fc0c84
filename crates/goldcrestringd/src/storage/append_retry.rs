//! Appending to a file on a disk that may be full for a while.

use std::fs::File;
use std::io::{self, ErrorKind, Write};

/// A file that is only appended to.
pub(super) trait AppendFile {
    /// Writes all bytes at the end.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Cuts the file to a length.
    fn truncate(&mut self, length_bytes: u64) -> io::Result<()>;
    /// Makes what was written last.
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

/// Appends and syncs; while the disk is full, what was written in part is cut off and tried again.
///
/// Nobody is answered meanwhile, so a replica on a full disk is like one that stands still. A sync
/// that fails is never repeated: what it covered may be lost without a trace.
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
