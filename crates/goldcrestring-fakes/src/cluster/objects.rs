//! Constructors of configuration objects for tests.

use goldcrestring::version::{
    DATA_CENTRE_LABEL, DataCentreSpec, KeySpec, Labels, Object, PoolSpec, PresentedKey, QueueSpec,
    Selector, Spec, TeamSpec, VmSpec,
};

/// Creates a data centre in service.
///
/// # Panics
///
/// If the name is malformed.
pub fn data_centre(name: &str) -> Object {
    object(name, &[], Spec::DataCentre(DataCentreSpec::default()))
}

/// Creates a pool that selects the VMs labelled with its name, and carries the same label.
///
/// # Panics
///
/// If the name is malformed.
pub fn pool(name: &str) -> Object {
    let spec = PoolSpec { vm_selector: selector(&format!("pool={name}")) };
    object(name, &[("pool", name)], Spec::Pool(spec))
}

/// Creates a VM of a pool in a data centre.
///
/// # Panics
///
/// If a name is malformed.
pub fn vm(name: &str, pool: &str, data_centre: &str) -> Object {
    let labels = [("pool", pool), (DATA_CENTRE_LABEL, data_centre)];
    object(name, &labels, Spec::Vm(VmSpec::default()))
}

/// Creates a team with an upper limit of concurrent tasks.
///
/// # Panics
///
/// If the name is malformed.
pub fn team(name: &str, upper_limit_tasks: u32) -> Object {
    object(name, &[], Spec::Team(TeamSpec { upper_limit_tasks, ..TeamSpec::default() }))
}

/// Creates a key of a team and returns it with its complete text.
///
/// # Panics
///
/// If a name is malformed or no random bytes are available.
pub fn key(name: &str, team: &str) -> (Object, String) {
    let presented = PresentedKey::generate(name.parse().expect("a key's name"));
    let presented = presented.expect("random bytes");
    let secret_hash = presented.hash().expect("random bytes");
    let team = team.parse().expect("a team's name");
    let spec = Spec::Key(KeySpec { team, secret_hash });
    (object(name, &[], spec), presented.reveal())
}

/// Creates a queue of non-idempotent requests, served by the named pool.
///
/// # Panics
///
/// If a name is malformed.
pub fn queue(name: &str, pool: &str) -> Object {
    let pool_selector = selector(&format!("pool={pool}"));
    object(name, &[], Spec::Queue(QueueSpec { pool_selector, ..QueueSpec::default() }))
}

/// Creates a queue of idempotent requests, served by the named pool.
///
/// # Panics
///
/// If a name is malformed.
pub fn idempotent_queue(name: &str, pool: &str) -> Object {
    with_spec(queue(name, pool), |spec| spec.idempotent = true)
}

/// Creates a queue of idempotent requests that is open to all.
///
/// # Panics
///
/// If a name is malformed.
pub fn open_queue(name: &str, pool: &str) -> Object {
    with_spec(idempotent_queue(name, pool), |spec| spec.open = true)
}

fn with_spec(mut object: Object, change: impl FnOnce(&mut QueueSpec)) -> Object {
    if let Spec::Queue(spec) = &mut object.spec {
        change(spec);
    }
    object
}

fn selector(text: &str) -> Selector {
    text.parse().expect("a selector")
}

fn object(name: &str, labels: &[(&str, &str)], spec: Spec) -> Object {
    let label = |(key, value): &(&str, &str)| {
        (key.parse().expect("a label key"), value.parse().expect("a label value"))
    };
    let labels: Labels = labels.iter().map(label).collect();
    Object { name: name.parse().expect("a name"), labels, spec }
}
