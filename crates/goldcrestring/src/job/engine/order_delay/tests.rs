//! Tests of the load pattern "ends of runs faster than the leader handles reports".

use super::{MAX_POLL_PAUSE, OrderDelay};
use std::time::Duration;

fn after(delays_ms: &[u64]) -> OrderDelay {
    let mut delay = OrderDelay::default();
    for delay_ms in delays_ms {
        delay.record(Duration::from_millis(*delay_ms));
    }
    delay
}

/// Guards against capacity that stays unused for the length of a pause although the leader has time.
#[test]
fn a_leader_with_time_polls_at_once() {
    assert_eq!(after(&[]).poll_pause(), Duration::ZERO);
    assert_eq!(after(&[30; 500]).poll_pause(), Duration::ZERO);
    assert_eq!(after(&[30, 30, 400, 30]).poll_pause(), Duration::ZERO, "one late response");
}

/// Guards against a report for each end while the leader can't keep up.
#[test]
fn a_leader_without_time_takes_several_ends_at_once() {
    let pause = after(&[100; 500]).poll_pause();
    assert!(pause > Duration::from_millis(45) && pause < Duration::from_millis(60), "{pause:?}");
    assert_eq!(after(&[900; 500]).poll_pause(), MAX_POLL_PAUSE);
}
