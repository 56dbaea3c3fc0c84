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

struct Buffer {
    bytes: Vec<u8>,
    /// Number of lines dropped since the last write to standard output.
    dropped: u64,
}

static BUFFER: Mutex<Buffer> = Mutex::new(Buffer { bytes: Vec::new(), dropped: 0 });

/// Writer that appends log lines to the buffer and drops lines that do not fit. It never waits for
/// standard output.
pub(super) struct BoundedBuffer;

impl Write for BoundedBuffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = BUFFER.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + line.len() <= MAX_BYTES {
            buffer.bytes.extend_from_slice(line);
        } else {
            buffer.dropped += 1;
        }
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
    let (bytes, dropped) = {
        let mut buffer = BUFFER.lock().unwrap_or_else(PoisonError::into_inner);
        (std::mem::take(&mut buffer.bytes), std::mem::take(&mut buffer.dropped))
    };
    let mut output = io::stdout().lock();
    for lines in atomic_writes(&bytes) {
        // A failed write to standard output can't be reported anywhere, so it is ignored.
        let _ = output.write_all(lines);
        let _ = output.flush();
    }
    if dropped > 0 {
        let _ = writeln!(output, "level=warn event=log-lines-dropped count={dropped}");
    }
    let _ = output.flush();
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
