//! Tests of the load pattern "heartbeats of a thousand backend servers".

use super::AnnouncementDigest;
use crate::job::JobCommand;
use crate::job::id::ServerIncarnation;
use crate::job::resources::Resources;
use crate::job::state::{JobState, ServerRecord};
use std::collections::BTreeSet;
use std::time::Duration;

const IN_TOUCH: Option<Duration> = Some(Duration::from_millis(40));

fn record(number: u32) -> ServerRecord {
    ServerRecord {
        incarnation: ServerIncarnation { id: format!("i-{number}").into(), started_at_ms: 7 },
        address: ([127, 0, 0, 1], 9_000).into(),
        pool: "studio".into(),
        data_centre: "dc-a".into(),
        machine: Some(format!("m-{number}").into()),
        labels: BTreeSet::from(["a".into()]),
        capacity: Resources { cpu_millis: 64_000, memory_mb: 262_144, accelerators: 0 },
        is_draining: false,
        sequence: 1,
        recorded_end: 0,
        is_provisional: false,
        has_predecessor: false,
    }
}

fn state(servers: u32) -> JobState {
    let mut state = JobState::default();
    for number in 0..servers {
        state.apply(&JobCommand::Server(Box::new(record(number))));
    }
    state
}

/// Guards against a leader that handles every heartbeat of a large fleet.
#[test]
fn heartbeats_of_a_thousand_servers_reach_the_leader_in_one_message() {
    let state = state(1_000);
    let mut digest = AnnouncementDigest::default();
    for sequence in 2..4 {
        for number in 0..1_000 {
            let heartbeat = ServerRecord { sequence, ..record(number) };
            assert!(digest.absorb(&heartbeat, IN_TOUCH, &state));
        }
    }
    let now = Duration::from_secs(9);
    assert_eq!(digest.take(now).map(|heard| heard.len()), Some(1_000));
    assert!(digest.absorb(&record(1), IN_TOUCH, &state));
    assert_eq!(digest.take(now + Duration::from_millis(1_499)), None);
    assert_eq!(digest.take(now + Duration::from_millis(1_500)).map(|heard| heard.len()), Some(1));
}

/// Guards against a drain, a restart or a move that the leader never learns of.
#[test]
fn whatever_is_new_goes_to_the_leader() {
    let state = state(2);
    let mut digest = AnnouncementDigest::default();
    let known = ServerRecord { sequence: 2, ..record(1) };
    let restarted = ServerIncarnation { started_at_ms: 8, ..known.incarnation.clone() };
    let news = [
        ServerRecord { is_draining: true, ..known.clone() },
        ServerRecord { incarnation: restarted, ..known.clone() },
        ServerRecord { pool: "desk".into(), ..known.clone() },
        ServerRecord { capacity: Resources::default(), ..known },
        record(2),
    ];
    for announcement in news {
        assert!(!digest.absorb(&announcement, IN_TOUCH, &state), "{announcement:?}");
    }
    assert_eq!(digest.take(Duration::from_secs(9)), None);
}

/// Guards against a follower that is cut off from the leader and keeps backend servers from turning to
/// another replica.
#[test]
fn a_follower_without_recent_contact_to_the_leader_answers_nothing_itself() {
    let state = state(1);
    let mut digest = AnnouncementDigest::default();
    for age in [None, Some(Duration::from_millis(601))] {
        assert!(!digest.absorb(&record(0), age, &state));
    }
}
