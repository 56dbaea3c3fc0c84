//! Tests of the load patterns "lease renewal behind a burst" and "herd of returning clients".

use super::{Lane, Lanes, MAX_CALLERS};

/// Guards against a lease that expires because its extension waits behind submissions.
#[test]
fn an_extension_of_a_lease_does_not_wait_behind_a_burst_of_submissions() {
    let mut lanes = Lanes::default();
    for number in 0..1_000 {
        assert!(lanes.push(Lane::Callers, number));
    }
    assert!(lanes.push(Lane::Control, 2_000));
    assert!(lanes.push(Lane::Reports, 3_000));
    assert!(lanes.push(Lane::Peers, 4_000));
    let first: Vec<_> = (0..5).filter_map(|_| lanes.pop()).collect();
    assert_eq!(first, [4_000, 3_000, 2_000, 0, 1]);
}

/// Guards against a leader whose memory and delay grow with a herd of clients.
#[test]
fn a_herd_of_callers_fills_its_lane_and_no_other() {
    let mut lanes = Lanes::default();
    let taken = (0..MAX_CALLERS + 500).filter(|number| lanes.push(Lane::Callers, *number)).count();
    assert_eq!(taken, MAX_CALLERS);
    assert!((0..MAX_CALLERS * 2).all(|number| lanes.push(Lane::Reports, number)));
    assert_eq!(lanes.pop(), Some(0));
}
