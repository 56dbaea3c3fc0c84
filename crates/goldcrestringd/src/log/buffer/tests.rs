//! Division into writes of whole lines, and a reader that stops reading.

use super::{Buffer, MAX_BYTES, MAX_WRITE_BYTES, atomic_writes};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

const SEED: u64 = 20_261_204;

/// Returns a line of `length` bytes with its line end.
fn line(length: usize) -> Vec<u8> {
    let mut line = vec![b'x'; length - 1];
    line.push(b'\n');
    line
}

fn lines(lengths: &[usize]) -> Vec<u8> {
    lengths.iter().flat_map(|length| line(*length)).collect()
}

/// Returns the lengths of the writes, after a check of what must hold for each batch of lines.
fn write_lengths(bytes: &[u8]) -> Vec<usize> {
    let writes: Vec<_> = atomic_writes(bytes).collect();
    assert_eq!(writes.concat(), bytes, "bytes are lost, repeated or out of order");
    for write in &writes {
        assert_eq!(write.last(), Some(&b'\n'), "a line is torn");
        let line_count = write.iter().filter(|byte| **byte == b'\n').count();
        assert!(write.len() <= MAX_WRITE_BYTES || line_count == 1, "{} bytes", write.len());
    }
    writes.iter().map(|write| write.len()).collect()
}

// Guards against torn and lost lines at the limit of a write.
#[test]
fn writes_are_whole_lines_of_at_most_the_limit() {
    let max = MAX_WRITE_BYTES;
    assert_eq!(write_lengths(b""), [0_usize; 0]);
    assert_eq!(write_lengths(b"\n"), [1]);
    assert_eq!(write_lengths(&lines(&[max - 1])), [max - 1]);
    assert_eq!(write_lengths(&lines(&[max])), [max]);
    assert_eq!(write_lengths(&lines(&[max, max])), [max, max]);
    assert_eq!(write_lengths(&lines(&[max - 1, 1])), [max]);
    assert_eq!(write_lengths(&lines(&[max - 1, 2])), [max - 1, 2]);
    assert_eq!(write_lengths(&lines(&[1, max])), [1, max]);
}

// Guards against a line longer than a write that tears its neighbours or stops the division.
#[test]
fn line_longer_than_the_limit_is_a_write_of_its_own() {
    let max = MAX_WRITE_BYTES;
    assert_eq!(write_lengths(&lines(&[max + 1])), [max + 1]);
    assert_eq!(write_lengths(&lines(&[3 * max, 5])), [3 * max, 5]);
    assert_eq!(write_lengths(&lines(&[5, 3 * max, 5, 5])), [5, 3 * max, 10]);
}

// Guards against a last line without its end that is never written.
#[test]
fn last_line_without_its_end_is_written() {
    let bytes = [line(MAX_WRITE_BYTES), b"no end".to_vec()].concat();
    let writes: Vec<_> = atomic_writes(&bytes).collect();
    assert_eq!(writes, [&bytes[..MAX_WRITE_BYTES], b"no end".as_slice()]);
}

// Guards against a mix of lengths that the cases above leave out.
#[test]
fn every_mix_of_lengths_is_divided_at_line_ends() {
    const LENGTHS: [usize; 8] = [
        1,
        2,
        100,
        MAX_WRITE_BYTES / 2,
        MAX_WRITE_BYTES - 1,
        MAX_WRITE_BYTES,
        MAX_WRITE_BYTES + 1,
        2 * MAX_WRITE_BYTES + 7,
    ];
    for first in LENGTHS {
        for second in LENGTHS {
            for third in LENGTHS {
                write_lengths(&lines(&[first, second, third]));
            }
        }
    }
    let mut rng = SmallRng::seed_from_u64(SEED);
    for _ in 0..500 {
        let count = rng.random_range(0..60);
        let lengths: Vec<_> = (0..count).map(|_| rng.random_range(1..6_000)).collect();
        write_lengths(&lines(&lengths));
    }
}

/// An output whose reader reads nothing until it is told to.
struct StoppedReader {
    is_writing: Sender<()>,
    may_read: Receiver<()>,
    read: Vec<u8>,
}

impl Write for StoppedReader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.read.is_empty() {
            self.is_writing.send(()).expect("the test waits for it");
            self.may_read.recv().expect("the test lets it read");
        }
        self.read.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// Guards against a decision that waits for a reader of the log, and against lines dropped unsaid.
#[test]
fn stopped_reader_blocks_no_line_and_learns_how_many_were_dropped() {
    const LINE_BYTES: usize = 1_024;
    const KEPT: usize = MAX_BYTES / LINE_BYTES;
    const DROPPED: usize = 300;
    let buffer = Buffer::new();
    let (writing_sender, is_writing) = channel();
    let (let_read, may_read) = channel();
    let output = StoppedReader { is_writing: writing_sender, may_read, read: Vec::new() };
    buffer.append(b"first\n");
    let read = std::thread::scope(|scope| {
        let writer = scope.spawn(|| {
            let mut output = output;
            buffer.write_to(&mut output);
            buffer.write_to(&mut output);
            buffer.write_to(&mut output);
            output.read
        });
        is_writing.recv().expect("a write");
        // The reader does not read before all lines are appended, so a wait for it would never end.
        for _ in 0..KEPT + DROPPED {
            buffer.append(&line(LINE_BYTES));
        }
        let_read.send(()).expect("a writer");
        writer.join().expect("a writer that ends")
    });
    let expected = [
        b"first\n".to_vec(),
        lines(&[LINE_BYTES; KEPT]),
        format!("level=warn event=log-lines-dropped count={DROPPED}\n").into_bytes(),
    ];
    assert!(read == expected.concat(), "{} bytes were read", read.len());
}
