//! A bounded buffer in front of standard output.

use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Maximum number of buffered bytes.
const MAX_BYTES: usize = 1 << 20;

/// Maximum number of bytes in one write to standard output: `PIPE_BUF`, up to which a write to a
/// pipe is atomic.
const MAX_WRITE_BYTES: usize = 4_096;

/// Interval between writes to standard output.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Lines that wait to be written.
#[derive(Default)]
struct Lines {
    bytes: Vec<u8>,
    /// Number of lines dropped since the last write.
    dropped: u64,
}

/// A bounded buffer of lines.
struct Buffer(Mutex<Lines>);

static BUFFER: Buffer = Buffer::new();

impl Buffer {
    const fn new() -> Self {
        Self(Mutex::new(Lines { bytes: Vec::new(), dropped: 0 }))
    }

    /// Appends a line, or drops and counts it if it does not fit.
    fn append(&self, line: &[u8]) {
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.bytes.len() + line.len() <= MAX_BYTES {
            lines.bytes.extend_from_slice(line);
        } else {
            lines.dropped += 1;
        }
    }

    /// Writes the lines appended so far. Does not keep others from appending lines meanwhile.
    fn write_to(&self, output: &mut impl Write) {
        let lines = std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner));
        for piece in atomic_writes(&lines.bytes) {
            // A failed write to standard output can't be reported anywhere, so it is ignored.
            let _ = output.write_all(piece);
            let _ = output.flush();
        }
        if lines.dropped > 0 {
            let _ = writeln!(output, "level=warn event=log-lines-dropped count={}", lines.dropped);
        }
        let _ = output.flush();
    }
}

/// Writer that appends log lines to the buffer and drops lines that do not fit. It never waits for
/// standard output.
pub(super) struct BoundedBuffer;

impl Write for BoundedBuffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        BUFFER.append(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts the thread that writes the buffer to standard output.
pub(super) fn start() {
    let writer = std::thread::Builder::new().name("log".to_owned());
    let started = writer.spawn(|| {
        loop {
            std::thread::sleep(WRITE_INTERVAL);
            flush();
        }
    });
    if let Err(error) = started {
        eprintln!("goldcrestringd: can't start the log thread: {error}");
    }
}

/// Writes the buffered lines to standard output.
pub(crate) fn flush() {
    BUFFER.write_to(&mut io::stdout().lock());
}

/// Splits buffered lines into pieces of whole lines, each of at most [`MAX_WRITE_BYTES`] unless a
/// single line is longer.
fn atomic_writes(mut bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        let within = &bytes[..bytes.len().min(MAX_WRITE_BYTES)];
        let is_line_end = |byte: &u8| *byte == b'\n';
        let last_line_end = if within.len() == bytes.len() {
            bytes.len().checked_sub(1)
        } else {
            within.iter().rposition(is_line_end).or_else(|| bytes.iter().position(is_line_end))
        };
        let (lines, rest) = bytes.split_at(last_line_end? + 1);
        bytes = rest;
        Some(lines)
    })
}

#[cfg(test)]
mod tests;
