//! Tests of configuration leases and announcements.

use super::backend_server::AnnouncementSchedule;
use super::configuration_lease::LEASE_DURATION;
use super::*;
use crate::clock::with_clock_drift_margin;
use crate::name::NodeId;
use crate::process::EntryInstance;
use crate::quantity::{BootId, Revision};
use std::time::Duration;

fn instance(name: &str) -> EntryInstance {
    EntryInstance { node: name.parse::<NodeId>().unwrap(), boot: BootId::new(1) }
}

#[test]
fn change_is_in_force_once_every_lease_holder_has_applied_it() {
    let start = Duration::from_secs(100);
    let earlier_leases_until = start + with_clock_drift_margin(LEASE_DURATION);
    let (one, two) = (instance("entry-1"), instance("entry-2"));
    let mut table = LeaseTable::new(start);
    assert_eq!(
        table.in_force(start, Revision::new(9)),
        Revision::ZERO,
        "leases of an earlier leader may be valid"
    );
    table.grant(earlier_leases_until, &one, Revision::new(8));
    table.grant(earlier_leases_until, &two, Revision::new(8));
    assert_eq!(table.in_force(earlier_leases_until, Revision::new(9)), Revision::new(8));
    table.record_request(earlier_leases_until, &one, Revision::new(9));
    assert_eq!(
        table.in_force(earlier_leases_until, Revision::new(9)),
        Revision::new(8),
        "the other entry is still behind"
    );
    let expired = earlier_leases_until + with_clock_drift_margin(LEASE_DURATION);
    assert_eq!(table.in_force(expired, Revision::new(9)), Revision::new(9));
}

#[test]
fn lease_expires_on_the_entry_before_the_leader() {
    let sent_at = Duration::from_secs(100);
    let received_at = sent_at + Duration::from_millis(300);
    let entry = instance("entry-1");
    let mut held = HeldLease::default();
    held.renew(sent_at, LEASE_DURATION);
    let mut table = LeaseTable::new(Duration::ZERO);
    table.grant(received_at, &entry, Revision::new(1));
    for step in 0..4_000 {
        let now = received_at + Duration::from_millis(step);
        if held.is_valid(now) {
            assert_eq!(table.in_force(now, Revision::new(2)), Revision::new(1));
        }
    }
}

#[test]
fn announcements_stay_within_the_bandwidth_budget() {
    for (servers, entries) in [(8, 8), (50, 8), (400, 8), (2_000, 17), (11_000, 17)] {
        let schedule = AnnouncementSchedule::for_fleet(servers, entries);
        let per_entry = (servers * schedule.entries_per_server).div_ceil(entries) as f64;
        let bytes_per_s = per_entry * 700.0 / schedule.interval.as_secs_f64();
        assert!(bytes_per_s <= 12_000.0, "{servers} servers: {bytes_per_s} bytes per second");
        assert!(schedule.entries_per_server >= 3.min(entries));
    }
}

#[test]
fn announcement_of_an_earlier_boot_is_ignored() {
    let announcement = |boot, sequence| Announcement {
        vm: "vm-1".parse().unwrap(),
        boot: BootId::new(boot),
        sequence,
        uptime_ms: 0,
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc-1".parse().unwrap(),
        rack: "r".parse().unwrap(),
        slots: 8,
        running: 0,
        is_leaving: false,
    };
    let mut servers = BackendServers::default();
    let lease = Duration::from_secs(10);
    assert!(servers.handle_announcement(Duration::ZERO, lease, announcement(5, 9)));
    assert!(servers.handle_announcement(Duration::ZERO, lease, announcement(6, 1)));
    assert!(!servers.handle_announcement(Duration::ZERO, lease, announcement(5, 10)));
    assert_eq!(servers.get(&"vm-1".parse().unwrap()).unwrap().announcement.boot, BootId::new(6));
    assert!(servers.expire(lease).len() == 1 && servers.is_empty());
}
