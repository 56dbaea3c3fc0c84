//! Short ways to write objects in tests.

use goldcrestring::version::{
    DATA_CENTRE_LABEL, DataCentreSpec, KeySpec, Labels, Object, PoolSpec, PresentedKey, QueueSpec,
    Selector, Spec, TeamSpec, VmSpec,
};

/// A data centre in service.
///
/// # Panics
///
/// When the name is malformed.
pub fn data_centre(name: &str) -> Object {
    object(name, &[], Spec::DataCentre(DataCentreSpec::default()))
}

/// A pool that chooses the VMs labelled with its name, itself labelled so.
///
/// # Panics
///
/// When the name is malformed.
pub fn pool(name: &str) -> Object {
    let spec = PoolSpec { vm_selector: selector(&format!("pool={name}")) };
    object(name, &[("pool", name)], Spec::Pool(spec))
}

/// A VM of a pool in a data centre.
///
/// # Panics
///
/// When a name is malformed.
pub fn vm(name: &str, pool: &str, data_centre: &str) -> Object {
    let labels = [("pool", pool), (DATA_CENTRE_LABEL, data_centre)];
    object(name, &labels, Spec::Vm(VmSpec::default()))
}

/// A team with an upper limit.
///
/// # Panics
///
/// When the name is malformed.
pub fn team(name: &str, upper_limit_tasks: u32) -> Object {
    object(name, &[], Spec::Team(TeamSpec { upper_limit_tasks, ..TeamSpec::default() }))
}

/// A key of a team, and its text.
///
/// # Panics
///
/// When a name is malformed or no random bytes are to be had.
pub fn key(name: &str, team: &str) -> (Object, String) {
    let presented = PresentedKey::generate(name.parse().expect("a key's name"));
    let presented = presented.expect("random bytes");
    let secret_hash = presented.hash().expect("random bytes");
    let team = team.parse().expect("a team's name");
    let spec = Spec::Key(KeySpec { team, secret_hash });
    (object(name, &[], spec), presented.reveal())
}

/// A queue of non-idempotent requests, served by the pool of one name.
///
/// # Panics
///
/// When a name is malformed.
pub fn queue(name: &str, pool: &str) -> Object {
    let pool_selector = selector(&format!("pool={pool}"));
    object(name, &[], Spec::Queue(QueueSpec { pool_selector, ..QueueSpec::default() }))
}

/// A queue of idempotent requests, served by the pool of one name.
///
/// # Panics
///
/// When a name is malformed.
pub fn idempotent_queue(name: &str, pool: &str) -> Object {
    with_spec(queue(name, pool), |spec| spec.idempotent = true)
}

/// A queue of idempotent requests that is open to all.
///
/// # Panics
///
/// When a name is malformed.
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
