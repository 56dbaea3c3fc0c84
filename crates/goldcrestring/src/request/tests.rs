//! Tests of allowances, routing and admission.

use super::allowance::TeamTarget;
use super::demand::should_rebalance;
use super::*;
use crate::clock::Uptime;
use crate::connection::{Announcement, BackendServers, GrantedLease, TargetsDelta, TargetsVersion};
use crate::name::{QueueName, TeamName, VmId};
use crate::process::{EntryInstance, Grant};
use crate::quantity::{BootId, Revision, Term};
use crate::version::{
    Change, Configuration, DataCentreSpec, Delta, Edit, Object, PoolSpec, QueueSpec, Spec, VmSpec,
};
use std::time::Duration;

const LATER: Uptime = Duration::from_secs(1_000);

fn object(name: &str, labels: &[(&str, &str)], spec: Spec) -> Object {
    let labels =
        labels.iter().map(|(key, value)| (key.parse().unwrap(), value.parse().unwrap())).collect();
    Object { name: name.parse().unwrap(), labels, spec }
}

/// Two data centres, one pool, one queue, and VMs that alternate between the data centres.
fn configuration(vms: usize, out: &str) -> Configuration {
    let data_centre = |name: &str| {
        let service = if name == out { "out" } else { "in" };
        object(name, &[("service", service)], Spec::DataCentre(DataCentreSpec::default()))
    };
    let vm_selector = "pool=quotes".parse().unwrap();
    let mut objects = vec![
        data_centre("dc-0"),
        data_centre("dc-1"),
        object("quotes", &[], Spec::Pool(PoolSpec { vm_selector })),
        object("quotes", &[], Spec::Queue(QueueSpec::default())),
    ];
    for number in 0..vms {
        let labels = [("pool", "quotes"), ("data-centre", ["dc-0", "dc-1"][number % 2])];
        objects.push(object(&format!("vm-{number}"), &labels, Spec::Vm(VmSpec::default())));
    }
    let edits = objects.into_iter().map(Edit::Put).collect();
    let change = Change { change_id: "c".parse().unwrap(), expected_revision: None, edits };
    let mut configuration = Configuration::default();
    configuration.apply(Revision::new(1), &change).unwrap();
    configuration
}

fn announcement(number: usize, slots: u32) -> Announcement {
    Announcement {
        vm: format!("vm-{number}").parse().unwrap(),
        boot: BootId::new(1),
        sequence: 1,
        uptime_ms: 0,
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc-9".parse().unwrap(),
        rack: "r".parse().unwrap(),
        slots,
        running: 0,
        is_leaving: false,
    }
}

fn announced(vms: usize, slots: u32) -> BackendServers {
    let mut servers = BackendServers::default();
    for number in 0..vms {
        servers.handle_announcement(Uptime::ZERO, LATER * 2, announcement(number, slots));
    }
    servers
}

fn admission(vms: usize, slots: u32, out: &str) -> AdmissionController {
    let mut admission = AdmissionController::new(1);
    admission.router.rebuild(&configuration(vms, out), &announced(vms, slots));
    admission
}

fn queue() -> QueueName {
    "quotes".parse().unwrap()
}

fn team(name: &str) -> TeamName {
    name.parse().unwrap()
}

fn request(team: Option<&str>) -> AdmissionRequest {
    AdmissionRequest {
        queue: queue(),
        team: team.map(|name| name.parse().unwrap()),
        deadline: LATER * 2,
        tried: Vec::new(),
        max_waiting: 100,
    }
}

fn grant(admission: &mut AdmissionController, name: &str, units: u32, revision: u64) {
    let grant = Grant { units, revision: Revision::new(revision) };
    let target = TeamTarget { grant, target_units: units };
    admission.allowances.update([(team(name), target)].into(), &[]);
}

#[test]
fn servers_in_an_out_of_service_data_centre_are_not_chosen() {
    let mut admission = admission(8, 4, "dc-1");
    for _ in 0..16 {
        let choice = admission.router.choose(LATER, &queue(), &[]).unwrap();
        let number: usize = choice.vm.as_str()[3..].parse().unwrap();
        assert_eq!(number % 2, 0, "{choice:?}");
    }
    assert_eq!(admission.router.choose(LATER, &queue(), &[]), Err(RoutingError::NoCapacity));
}

#[test]
fn leaving_server_is_not_chosen() {
    let mut servers = announced(2, 4);
    let leaving = Announcement { is_leaving: true, sequence: 2, ..announcement(0, 4) };
    assert!(servers.handle_announcement(Uptime::ZERO, LATER * 2, leaving));
    let mut router = Router::new(1);
    router.rebuild(&configuration(2, ""), &servers);
    for _ in 0..4 {
        assert_eq!(router.choose(LATER, &queue(), &[]).unwrap().vm.as_str(), "vm-1");
    }
    let late = announcement(0, 4);
    assert!(
        !servers.handle_announcement(Uptime::ZERO, LATER * 2, late),
        "an older announcement is ignored"
    );
}

#[test]
fn load_is_balanced_over_servers() {
    let mut admission = admission(10, 8, "");
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..40 {
        let choice = admission.router.choose(LATER, &queue(), &[]).unwrap();
        *counts.entry(choice.vm).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 10);
    assert!(counts.values().all(|&count| count <= 7), "{counts:?}");
}

#[test]
fn new_server_has_a_slow_start() {
    let mut servers = announced(1, 8);
    servers.handle_announcement(LATER, LATER * 2, announcement(1, 8));
    let mut router = Router::new(1);
    router.rebuild(&configuration(2, ""), &servers);
    let chosen: Vec<_> =
        (0..9).map_while(|_| router.choose(LATER, &queue(), &[]).ok()).map(|c| c.vm).collect();
    let chosen_new = chosen.iter().filter(|vm| vm.as_str() == "vm-1").count();
    assert_eq!((chosen.len(), chosen_new), (9, 1));
}

// Guards against counts of tasks that outlive the backend server that ran them: servers copied from
// a peer all have the same time of their first announcement.
#[test]
fn restarted_server_copied_from_a_peer_starts_with_no_tasks() {
    let mut router = Router::new(1);
    for boot in 1..=2 {
        let mut known_to_peer = BackendServers::default();
        let announcement = Announcement { boot: BootId::new(boot), ..announcement(0, 8) };
        known_to_peer.handle_announcement(LATER, LATER, announcement);
        let mut servers = BackendServers::default();
        servers.import(LATER, known_to_peer.export(LATER));
        router.rebuild(&configuration(1, ""), &servers);
        let chosen = (0..8).filter(|_| router.choose(LATER, &queue(), &[]).is_ok()).count();
        assert_eq!(chosen, 8, "start {boot}");
    }
}

#[test]
fn ejections_are_limited_to_a_share_of_the_servers() {
    let mut admission = admission(10, 8, "");
    let mut ejected = 0;
    for number in 0..10 {
        let vm: VmId = format!("vm-{number}").parse().unwrap();
        ejected += (0..5).filter(|_| admission.router.record_failure(LATER, &vm)).count();
    }
    assert_eq!(ejected, 3, "at most 30 percent");
    assert!(admission.router.choose(LATER, &queue(), &[]).is_ok());
}

#[test]
fn waiting_request_starts_when_a_unit_is_released() {
    let mut admission = admission(2, 4, "");
    grant(&mut admission, "bakers", 1, 1);
    let Admission::Start(choice) = admission.admit(LATER, request(Some("bakers"))) else {
        panic!("the first request starts");
    };
    let Admission::Wait(id) = admission.admit(LATER, request(Some("bakers"))) else {
        panic!("the second request waits");
    };
    assert!(admission.poll(LATER).is_empty());
    admission.router.finish(&choice.vm, None);
    admission.finish(Some(&team("bakers")));
    let started = admission.poll(LATER);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].0, id);
    assert!(!admission.cancel(&queue(), id));
}

#[test]
fn full_queue_rejects_requests() {
    let mut admission = admission(2, 4, "");
    let short = AdmissionRequest { max_waiting: 1, ..request(Some("bakers")) };
    assert!(matches!(admission.admit(LATER, short.clone()), Admission::Wait(_)));
    assert_eq!(admission.admit(LATER, short), Admission::QueueFull);
}

#[test]
fn slots_are_shared_by_weight_under_contention() {
    let mut admission = admission(4, 6, "");
    admission.set_weights([(team("a"), 2), (team("b"), 1)].into());
    grant(&mut admission, "a", 100, 1);
    grant(&mut admission, "b", 100, 1);
    let mut running: Vec<(VmId, TeamName)> = Vec::new();
    let mut waiting = std::collections::BTreeMap::new();
    for name in ["a", "b"] {
        for _ in 0..60 {
            match admission.admit(LATER, request(Some(name))) {
                Admission::Start(choice) => running.push((choice.vm, team(name))),
                Admission::Wait(id) => {
                    waiting.insert(id, team(name));
                }
                other => panic!("{other:?}"),
            }
        }
    }
    for _ in 0..48 {
        let (vm, of_team) = running.remove(0);
        admission.router.finish(&vm, None);
        admission.finish(Some(&of_team));
        for (id, choice) in admission.poll(LATER) {
            running.push((choice.vm, waiting.remove(&id).unwrap()));
        }
    }
    assert_eq!(running.len(), 24);
    assert_eq!(admission.allowances.running(&team("a")), 16, "two thirds of the slots");
    assert_eq!(admission.allowances.running(&team("b")), 8);
}

#[test]
fn lowered_ceiling_stays_low_until_a_newer_grant() {
    let bakers = team("bakers");
    let target = |units, revision, target_units| {
        let grant = Grant { units, revision: Revision::new(revision) };
        [(team("bakers"), TeamTarget { grant, target_units })].into()
    };
    let mut allowances = EntryAllowances::default();
    allowances.update(target(5, 1, 5), &[]);
    assert_eq!(allowances.ceiling(&bakers), 5);
    allowances.update(target(5, 1, 2), &[]);
    assert_eq!(allowances.report()[&bakers].ceiling_units, 2);
    allowances.update(target(5, 1, 5), &[]);
    assert_eq!(allowances.ceiling(&bakers), 2, "a raised target does not raise the ceiling");
    allowances.update(target(4, 2, 4), &[]);
    assert_eq!(allowances.ceiling(&bakers), 4);
}

#[test]
fn outdated_response_is_ignored_and_removed_grant_ends_the_allowance() {
    let response = |sequence, units, revision| GrantedLease {
        lease: Duration::from_secs(1),
        delta: Delta::default(),
        targets: TargetsDelta {
            version: TargetsVersion { term: Term::new(1), sequence },
            is_full: false,
            changed: [(
                team("bakers"),
                TeamTarget {
                    grant: Grant { units, revision: Revision::new(revision) },
                    target_units: 5,
                },
            )]
            .into(),
            removed: Vec::new(),
        },
        needs_full_report: false,
        in_force: Revision::ZERO,
    };
    let mut entry = EntryState::new(1);
    entry.apply_lease(LATER, response(2, 4, 7));
    assert_eq!(entry.admission.allowances.ceiling(&team("bakers")), 4);
    entry.apply_lease(LATER, response(1, 5, 3));
    assert_eq!(entry.admission.allowances.ceiling(&team("bakers")), 4, "the response is outdated");
    entry.apply_lease(LATER, response(3, 0, 0));
    assert_eq!(entry.admission.allowances.ceiling(&team("bakers")), 0, "the grant was removed");
}

#[test]
fn removed_team_starts_no_more_tasks() {
    let bakers = team("bakers");
    let grant = Grant { units: 5, revision: Revision::new(1) };
    let target = TeamTarget { grant, target_units: 5 };
    let mut allowances = EntryAllowances::default();
    allowances.update([(bakers.clone(), target)].into(), &[]);
    assert!(allowances.try_start(&bakers));
    allowances.update_all([].into());
    assert!(!allowances.try_start(&bakers));
}

// Guards against products of units that overflow: the plan would panic or move units at random.
#[test]
fn units_of_the_largest_limit_are_moved_only_beyond_the_hysteresis() {
    let instance = |node: &str| EntryInstance { node: node.parse().unwrap(), boot: BootId::new(1) };
    let held = [(instance("entry-1"), u32::MAX / 2), (instance("entry-2"), u32::MAX / 2 + 1)];
    let demands = held
        .clone()
        .map(|(instance, held_units)| (instance, Demand { held_units, wanted_units: held_units }));
    let moved = |units: u32| {
        [
            (instance("entry-1"), u32::MAX / 2 + units),
            (instance("entry-2"), u32::MAX / 2 + 1 - units),
        ]
    };
    let demands = demands.into();
    let should_move = |units| should_rebalance(&demands, &moved(units).into(), u32::MAX);
    assert!(!should_move(0));
    assert!(!should_move(u32::MAX / 4));
    assert!(should_move(u32::MAX / 4 + 1));
}
