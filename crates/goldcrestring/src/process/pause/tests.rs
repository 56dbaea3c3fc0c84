//! Tests of the detection of pauses.

use super::{CHECK_INTERVAL, PauseDetector};
use std::time::Duration;

const START: Duration = Duration::from_secs(100);

/// Guards against a request that is passed on because it was read before the first check after a
/// pause.
#[test]
fn a_pause_is_noticed_before_the_next_check() {
    let mut detector = PauseDetector::new(START);
    assert!(!detector.is_uncertain(START + CHECK_INTERVAL));
    let resumed_at = START + Duration::from_secs(4);
    assert!(detector.is_uncertain(resumed_at));
    assert_eq!(detector.check(resumed_at), Some(Duration::from_secs(4)));
    assert_eq!(detector.check(resumed_at), None);
    assert!(detector.is_uncertain(resumed_at));
}

/// Guards against a process that refuses orders for ever after one pause, or because its checks are
/// somewhat late.
#[test]
fn a_process_that_runs_again_is_certain_after_a_while() {
    let mut detector = PauseDetector::new(START);
    let mut now = START + Duration::from_secs(4);
    detector.check(now);
    for _ in 0..25 {
        now += CHECK_INTERVAL * 3;
        assert_eq!(detector.check(now), None);
    }
    assert!(!detector.is_uncertain(now));
}
