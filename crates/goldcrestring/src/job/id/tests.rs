//! Tests of the encoding of IDs in journals, snapshots and messages.

use super::JobId;

const TEXT: &str = "5c0e7a21d94b36f8";

fn id() -> JobId {
    TEXT.parse().expect("an ID")
}

/// Each task ID in a message contains a job ID; as a sequence, its 16 bytes are 16 values.
#[test]
fn a_job_id_is_one_byte_string() {
    let bytes = rmp_serde::to_vec(&id()).expect("encodable");
    assert_eq!((&bytes[..2], &bytes[2..]), (&[0xc4, 16][..], TEXT.as_bytes()));
    assert_eq!(rmp_serde::from_slice::<JobId>(&bytes).expect("decodable"), id());
}

/// Guards against a replica that can't read the journal of the version before.
#[test]
fn the_sequence_of_earlier_versions_is_read() {
    let bytes = rmp_serde::to_vec(&<[u8; 16]>::try_from(TEXT.as_bytes()).expect("16 bytes"));
    let bytes = bytes.expect("encodable");
    assert_eq!(rmp_serde::from_slice::<JobId>(&bytes).expect("decodable"), id());
}

#[test]
fn another_number_of_bytes_is_refused() {
    for length in [0, 15, 17] {
        let bytes = rmp_serde::to_vec(&vec![b'a'; length]).expect("encodable");
        assert!(rmp_serde::from_slice::<JobId>(&bytes).is_err(), "{length} bytes");
    }
}
