//! Generates configurations and announcements of any size.

use goldcrestring::connection::{Announcement, BackendServers};
use goldcrestring::process::{Command, ControlState, EntryInstance};
use goldcrestring::quantity::{BootId, LogIndex};
use goldcrestring::version::{
    Change, Edit, KeySpec, Labels, Object, PoolSpec, PresentedKey, QueueSpec, Spec, TeamSpec,
    VmSpec,
};
use std::time::Duration;

/// The number of VMs per pool.
const VMS_PER_POOL: usize = 84;

/// The number of data centres.
const DATA_CENTRES: usize = 8;

/// Creates a state with VMs, the pools and queues for them, and teams with one key each.
pub(crate) fn state(vms: usize, teams: usize) -> ControlState {
    let mut objects = Vec::new();
    for number in 0..vms.div_ceil(VMS_PER_POOL).max(1) {
        let name = format!("pool-{number}");
        let selector = format!("pool={name}");
        let vm_selector = selector.parse().expect("a selector");
        objects.push(object(&name, &[("pool", &name)], Spec::Pool(PoolSpec { vm_selector })));
        let pool_selector = selector.parse().expect("a selector");
        let queue = QueueSpec { pool_selector, ..QueueSpec::default() };
        objects.push(object(&name, &[], Spec::Queue(queue)));
    }
    for number in 0..vms {
        let pool = format!("pool-{}", number / VMS_PER_POOL);
        let data_centre = format!("dc-{}", number % DATA_CENTRES);
        let rack = format!("rack-{}", number / 40);
        let labels = [("pool", pool.as_str()), ("data-centre", &data_centre), ("rack", &rack)];
        objects.push(object(&vm_name(number), &labels, Spec::Vm(VmSpec::default())));
    }
    objects.push(object("all", &[], Spec::Queue(QueueSpec::default())));
    let presented: PresentedKey = "key.secret".parse().expect("a key");
    let secret_hash = presented.hash().expect("random bytes");
    for number in 0..teams {
        let name = format!("team-{number}");
        let team = TeamSpec { upper_limit_tasks: 200, ..TeamSpec::default() };
        objects.push(object(&name, &[], Spec::Team(team)));
        let team = name.parse().expect("a name");
        let key = KeySpec { team, secret_hash: secret_hash.clone() };
        objects.push(object(&format!("key-{number}"), &[], Spec::Key(key)));
    }
    let mut state = ControlState::default();
    let edits = objects.into_iter().map(Edit::Put).collect();
    apply(&mut state, 1, edits);
    state
}

/// Applies edits at a log position.
pub(crate) fn apply(state: &mut ControlState, index: u64, edits: Vec<Edit>) {
    let change_id = format!("change-{index}").parse().expect("an id");
    let change = Change { change_id, expected_revision: None, edits };
    state.apply(LogIndex::new(index), &Command::Change(change));
}

/// Creates an edit that changes one label of one VM.
pub(crate) fn label_edit(number: usize, value: u64) -> Edit {
    Edit::Label {
        object: format!("vm/{}", vm_name(number)).parse().expect("a reference"),
        set: labels(&[("noted", &value.to_string())]),
        remove: [].into(),
    }
}

/// Creates the announcements of all VMs.
pub(crate) fn announced_servers(vms: usize) -> BackendServers {
    let mut servers = BackendServers::default();
    for number in 0..vms {
        servers.handle_announcement(Duration::ZERO, Duration::MAX / 4, announcement(number));
    }
    servers
}

/// Creates the announcement of one VM.
pub(crate) fn announcement(number: usize) -> Announcement {
    Announcement {
        vm: vm_name(number).parse().expect("an id"),
        boot: BootId::new(1_764_800_000_000),
        sequence: 1_000,
        uptime_ms: 1_000_000_000,
        address: "10.11.12.13:7400".parse().expect("an address"),
        data_centre: format!("dc-{}", number % DATA_CENTRES).parse().expect("a name"),
        rack: format!("rack-{}", number / 40).parse().expect("a name"),
        slots: 8,
        running: 5,
        is_leaving: false,
    }
}

/// Creates the instances of entry processes.
pub(crate) fn instances(count: usize) -> Vec<EntryInstance> {
    let instance = |number| EntryInstance {
        node: format!("entry-{number}").parse().expect("an id"),
        boot: BootId::new(9_000_000_000_000_000_000),
    };
    (0..count).map(instance).collect()
}

fn vm_name(number: usize) -> String {
    format!("vm-{number:05}")
}

fn object(name: &str, pairs: &[(&str, &str)], spec: Spec) -> Object {
    Object { name: name.parse().expect("a name"), labels: labels(pairs), spec }
}

fn labels(pairs: &[(&str, &str)]) -> Labels {
    let label = |(key, value): &(&str, &str)| {
        (key.parse().expect("a label key"), value.parse().expect("a label value"))
    };
    pairs.iter().map(label).collect()
}
