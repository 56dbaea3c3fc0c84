//! Tests of the load pattern "hundreds of entries call one leader in a turn of demand".

use super::{Batcher, MAX_BATCH, MAX_WAITING};

/// Guards against a message to the leader for each request of a burst.
#[test]
fn a_burst_between_two_messages_becomes_one_batch() {
    let mut batcher = Batcher::default();
    assert_eq!(batcher.add(0), Ok(true));
    assert_eq!(batcher.take(), Some(vec![0]));
    for request in 1..=MAX_BATCH + 1 {
        assert_eq!(batcher.add(request), Ok(false));
    }
    assert_eq!(batcher.take().map(|batch| batch.len()), Some(MAX_BATCH));
    assert_eq!(batcher.take().map(|batch| batch.len()), Some(1));
    assert_eq!(batcher.take(), None);
    assert_eq!(batcher.add(9), Ok(true), "the next request starts the sending again");
}

/// Guards against requests that pile up without bound at a follower while its leader is overloaded.
#[test]
fn what_can_not_wait_is_given_back() {
    let mut batcher = Batcher::default();
    for request in 0..MAX_WAITING {
        assert!(batcher.add(request).is_ok());
    }
    assert_eq!(batcher.add(MAX_WAITING), Err(MAX_WAITING));
}
