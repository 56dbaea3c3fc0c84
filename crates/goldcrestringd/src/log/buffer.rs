//! A bounded buffer in front of standard output.

use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Maximum number of buffered bytes.
const MAX_BYTES: usize = 1 << 20;

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
    // A failed write to standard output can't be reported anywhere, so it is ignored.
    let _ = output.write_all(&bytes);
    if dropped > 0 {
        let _ = writeln!(output, "level=warn event=log-lines-dropped count={dropped}");
    }
    let _ = output.flush();
}
