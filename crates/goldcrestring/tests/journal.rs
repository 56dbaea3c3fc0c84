//! Reading the journal after torn writes and bit flips.

use goldcrestring::process::journal::{JournalRecord, append, scan};
use goldcrestring::process::{HardState, LogEntry, Payload};
use goldcrestring::quantity::{LogIndex, Term};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn records() -> Vec<JournalRecord> {
    let entry = |index| {
        JournalRecord::Entry(LogEntry {
            term: Term::new(3),
            index: LogIndex::new(index),
            payload: Payload::Empty,
        })
    };
    let hard_state = HardState { term: Term::new(3), vote: None };
    let mut records =
        vec![JournalRecord::Base(LogIndex::ZERO), JournalRecord::HardState(hard_state)];
    records.extend((1..60).map(entry));
    records
}

fn encoded(records: &[JournalRecord]) -> (Vec<u8>, Vec<usize>) {
    let mut bytes = Vec::new();
    let mut ends = vec![0];
    for record in records {
        append(&mut bytes, record).expect("an encodable record");
        ends.push(bytes.len());
    }
    (bytes, ends)
}

#[test]
fn truncation_keeps_exactly_the_complete_records() {
    let records = records();
    let (bytes, ends) = encoded(&records);
    for cut in 0..=bytes.len() {
        let complete = ends.iter().filter(|&&end| end > 0 && end <= cut).count();
        let scan = scan(&bytes[..cut]).unwrap();
        assert_eq!(scan.records, records[..complete], "cut at byte {cut}");
        assert_eq!(scan.valid_bytes, ends[complete]);
    }
}

#[test]
fn unwritten_sectors_at_the_end_are_a_torn_tail() {
    let records = records();
    let (mut bytes, ends) = encoded(&records);
    let boundary = 512;
    bytes[boundary..].fill(0);
    let complete = ends.iter().filter(|&&end| end > 0 && end <= boundary).count();
    let scan = scan(&bytes).unwrap();
    assert_eq!(scan.records.len(), complete);
}

#[test]
fn every_flipped_bit_is_detected() {
    let (bytes, _) = encoded(&records());
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut flipped = bytes.clone();
            flipped[at] ^= 1 << bit;
            assert!(scan(&flipped).is_err(), "byte {at} bit {bit}");
        }
    }
}

#[test]
fn arbitrary_bytes_never_panic() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let bytes = proptest::collection::vec(any::<u8>(), 0..400);
    let result = runner.run(&bytes, |bytes| {
        let _ = scan(&bytes);
        Ok(())
    });
    result.unwrap();
}
