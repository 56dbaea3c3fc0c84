//! Tests of labels, selectors, changes and keys.

use super::configuration::Versioned;
use super::*;
use crate::name::PoolName;
use crate::quantity::Revision;

fn labels(pairs: &[(&str, &str)]) -> Labels {
    pairs.iter().map(|(key, value)| (key.parse().unwrap(), value.parse().unwrap())).collect()
}

fn object(name: &str, pairs: &[(&str, &str)], spec: Spec) -> Object {
    Object { name: name.parse().unwrap(), labels: labels(pairs), spec }
}

fn vm(name: &str, pairs: &[(&str, &str)]) -> Object {
    object(name, pairs, Spec::Vm(VmSpec::default()))
}

fn pool(name: &str, selector: &str) -> Object {
    object(name, &[], Spec::Pool(PoolSpec { vm_selector: selector.parse().unwrap() }))
}

fn change(id: &str, expected: Option<u64>, edits: Vec<Edit>) -> Change {
    Change { change_id: id.parse().unwrap(), expected_revision: expected.map(Revision::new), edits }
}

fn put(configuration: &mut Configuration, revision: u64, objects: Vec<Object>) {
    let edits = objects.into_iter().map(Edit::Put).collect();
    let change = change(&format!("put-{revision}"), None, edits);
    configuration.apply(Revision::new(revision), &change).unwrap();
}

fn label_edit(object: &str, pairs: &[(&str, &str)]) -> Edit {
    Edit::Label { object: object.parse().unwrap(), set: labels(pairs), remove: [].into() }
}

#[test]
fn selectors_match_by_every_operator() {
    let labels = labels(&[("pool", "quotes"), ("rack", "r1")]);
    let cases = [
        ("", true),
        ("pool=quotes", true),
        ("pool=orders", false),
        ("pool!=orders", true),
        ("zone!=a", true),
        ("pool in (orders, quotes)", true),
        ("pool notin (orders,quotes)", false),
        ("zone notin (a)", true),
        ("rack", true),
        ("!rack", false),
        ("!zone", true),
        ("pool=quotes,rack=r2", false),
        ("pool in (quotes),rack", true),
    ];
    for (text, is_match) in cases {
        let selector: Selector = text.parse().unwrap();
        assert_eq!(selector.matches(&labels), is_match, "{text}");
        let reparsed: Selector = selector.to_string().parse().unwrap();
        assert_eq!(reparsed, selector, "{text} formatted and parsed again");
    }
}

#[test]
fn malformed_selectors_are_rejected() {
    for text in ["pool=", "=a", "pool in quotes", "pool near (a)", "POOL=a", "pool in ()"] {
        assert!(text.parse::<Selector>().is_err(), "{text}");
    }
}

#[test]
fn vm_in_two_pools_is_rejected_with_both_pools() {
    let mut configuration = Configuration::default();
    put(
        &mut configuration,
        1,
        vec![pool("a", "pool=a"), pool("b", "shared"), vm("vm-1", &[("pool", "a")])],
    );
    let edit = label_edit("vm/vm-1", &[("shared", "yes")]);
    let rejection = configuration.apply(Revision::new(2), &change("two", None, vec![edit]));
    let expected = Rejection::TwoPools {
        vm: "vm/vm-1".parse().unwrap(),
        first: "pool/a".parse().unwrap(),
        second: "pool/b".parse().unwrap(),
    };
    assert_eq!(rejection, Err(expected));
    assert_eq!(configuration.revision(), Revision::new(1), "a rejected change changes nothing");
    let wider = pool("b", "pool in (a,b)");
    let rejection =
        configuration.apply(Revision::new(3), &change("pool", None, vec![Edit::Put(wider)]));
    assert!(
        matches!(rejection, Err(Rejection::TwoPools { .. })),
        "changing a pool's selector is checked as well"
    );
}

#[test]
fn vm_moves_between_pools_in_one_change() {
    let mut configuration = Configuration::default();
    let objects = vec![pool("a", "pool=a"), pool("b", "pool=b"), vm("vm-1", &[("pool", "a")])];
    put(&mut configuration, 1, objects);
    let edit = label_edit("vm/vm-1", &[("pool", "b")]);
    configuration.apply(Revision::new(2), &change("move", None, vec![edit])).unwrap();
    let pools = configuration.pools_by_vm();
    assert_eq!(pools[&"vm-1".parse().unwrap()].as_str(), "b");
}

#[test]
fn pool_index_agrees_with_the_selectors() {
    let selectors = ["pool=a", "pool in (b,c),!retired", "special", "pool notin (a,b,c),zone=z"];
    let mut configuration = Configuration::default();
    let pools = (0..).zip(selectors).map(|(at, text)| pool(&format!("p-{at}"), text)).collect();
    put(&mut configuration, 1, pools);
    let cases = [
        (vec![("pool", "a")], Some("p-0")),
        (vec![("pool", "b")], Some("p-1")),
        (vec![("pool", "c"), ("retired", "yes")], None),
        (vec![("special", "yes")], Some("p-2")),
        (vec![("zone", "z")], Some("p-3")),
        (vec![("pool", "d"), ("zone", "z")], Some("p-3")),
        (vec![], None),
    ];
    for (number, (labels, expected)) in (2..).zip(cases) {
        put(&mut configuration, number, vec![vm("vm-1", &labels)]);
        let pools = configuration.pools_by_vm();
        let found = pools.get(&"vm-1".parse().unwrap()).map(PoolName::as_str);
        assert_eq!(found, expected, "{labels:?}");
    }
}

#[test]
fn concurrent_changes_from_the_same_revision_conflict() {
    let mut configuration = Configuration::default();
    put(&mut configuration, 1, vec![vm("vm-1", &[])]);
    let first = change("op-a", Some(1), vec![label_edit("vm/vm-1", &[("pool", "a")])]);
    let second = change("op-b", Some(1), vec![label_edit("vm/vm-1", &[("pool", "b")])]);
    assert_eq!(configuration.apply(Revision::new(2), &first).unwrap().revision.get(), 2);
    let conflict = configuration.apply(Revision::new(3), &second);
    assert!(matches!(conflict, Err(Rejection::Conflict { .. })), "{conflict:?}");
    let elsewhere = change("op-c", Some(1), vec![Edit::Put(vm("vm-2", &[]))]);
    assert!(
        configuration.apply(Revision::new(4), &elsewhere).is_ok(),
        "other objects can still be changed"
    );
}

#[test]
fn retransmission_gets_the_original_result_but_a_reused_id_is_rejected() {
    let mut configuration = Configuration::default();
    put(&mut configuration, 1, vec![vm("vm-1", &[])]);
    let original = change("op", Some(1), vec![label_edit("vm/vm-1", &[("pool", "a")])]);
    let result = configuration.apply(Revision::new(2), &original);
    let later = change("later", None, vec![label_edit("vm/vm-1", &[("pool", "b")])]);
    configuration.apply(Revision::new(3), &later).unwrap();
    assert_eq!(configuration.apply(Revision::new(4), &original), result);
    let vm_1 = configuration.get(&"vm/vm-1".parse().unwrap()).unwrap();
    assert_eq!(
        vm_1.object.label("pool"),
        Some("b"),
        "the retransmission does not revert the later change"
    );
    let other = change("op", Some(1), vec![label_edit("vm/vm-1", &[("pool", "c")])]);
    let reused = configuration.apply(Revision::new(5), &other);
    assert!(matches!(reused, Err(Rejection::ChangeIdReused { .. })));
}

#[test]
fn deletion_conflicts_with_an_older_expected_revision() {
    let mut configuration = Configuration::default();
    put(&mut configuration, 1, vec![vm("vm-1", &[])]);
    let reference: ObjectRef = "vm/vm-1".parse().unwrap();
    let delete = change("delete", None, vec![Edit::Delete(reference)]);
    configuration.apply(Revision::new(2), &delete).unwrap();
    let stale = change("stale", Some(1), vec![Edit::Put(vm("vm-1", &[]))]);
    let outcome = configuration.apply(Revision::new(3), &stale);
    assert!(matches!(outcome, Err(Rejection::Conflict { .. })), "{outcome:?}");
}

#[test]
fn objects_with_invalid_fields_are_rejected() {
    let key = PresentedKey::generate("k".parse().unwrap()).unwrap();
    let without_team =
        KeySpec { team: "nobody".parse().unwrap(), secret_hash: key.hash().unwrap() };
    let cases = [
        object("q", &[], Spec::Queue(QueueSpec { timeout_ms: 0, ..QueueSpec::default() })),
        object("q", &[], Spec::Queue(QueueSpec { timeout_ms: 30_001, ..QueueSpec::default() })),
        object("t", &[], Spec::Team(TeamSpec { weight: 0, ..TeamSpec::default() })),
        object("k", &[], Spec::Key(without_team)),
    ];
    for (number, case) in (0..).zip(cases) {
        let mut configuration = Configuration::default();
        let change = change("bad", None, vec![Edit::Put(case)]);
        assert!(configuration.apply(Revision::new(1), &change).is_err(), "case {number}");
    }
}

#[test]
fn deltas_update_a_copy_at_any_older_revision() {
    let mut configuration = Configuration::default();
    let mut history = vec![configuration.clone()];
    for step in 1..60_u64 {
        let name = format!("vm-{}", step % 7);
        let reference: ObjectRef = format!("vm/{name}").parse().unwrap();
        let edit = match (step % 5, configuration.get(&reference)) {
            (0, Some(_)) => Edit::Delete(reference),
            _ => Edit::Put(vm(&name, &[("step", &step.to_string())])),
        };
        let change = change(&format!("c-{step}"), None, vec![edit]);
        configuration.apply(Revision::new(step), &change).unwrap();
        history.push(configuration.clone());
    }
    let objects = |c: &Configuration| c.objects().cloned().collect::<Vec<Versioned>>();
    for old in &history {
        let mut copy = Configuration::default();
        copy.apply_delta(old.delta_since(Revision::ZERO));
        copy.apply_delta(configuration.delta_since(old.revision()));
        assert_eq!(objects(&copy), objects(&configuration));
        copy.apply_delta(old.delta_since(Revision::ZERO));
        assert_eq!(copy.revision(), configuration.revision(), "an older delta is ignored");
    }
}

#[test]
fn withdrawn_and_wrong_keys_are_rejected() {
    let mut configuration = Configuration::default();
    let key = PresentedKey::generate("bakers-1".parse().unwrap()).unwrap();
    let wrong: PresentedKey = "bakers-1.0000".parse().unwrap();
    let spec = KeySpec { team: "bakers".parse().unwrap(), secret_hash: key.hash().unwrap() };
    let team = object("bakers", &[], Spec::Team(TeamSpec::default()));
    put(&mut configuration, 1, vec![team, object("bakers-1", &[], Spec::Key(spec))]);
    assert!(configuration.authenticate(&key).is_some());
    assert!(configuration.authenticate(&wrong).is_none());
    let delete = change("withdraw", None, vec![Edit::Delete("key/bakers-1".parse().unwrap())]);
    configuration.apply(Revision::new(2), &delete).unwrap();
    assert!(configuration.authenticate(&key).is_none());
}

#[test]
fn stored_hash_of_a_key_does_not_contain_its_secret() {
    let key = PresentedKey::generate("bakers-1".parse().unwrap()).unwrap();
    let secret = key.reveal();
    let secret = secret.rsplit('.').next().unwrap();
    assert!(!key.hash().unwrap().to_string().contains(secret));
    assert_ne!(key.hash().unwrap(), key.hash().unwrap(), "each hash has its own salt");
}
