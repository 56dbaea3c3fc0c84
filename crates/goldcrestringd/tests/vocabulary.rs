//! Every event that the daemon logs is documented in docs/OPERATIONS.md.

use std::collections::BTreeSet;
use std::path::Path;

/// Returns the event names in a source text: the second arguments of `event!`.
fn events(source: &str) -> BTreeSet<String> {
    let calls = source.split("event!(").skip(1);
    let name = |call: &str| {
        let (_, rest) = call.split_once(',')?;
        let name = rest.trim_start().strip_prefix('"')?.split('"').next()?;
        Some(name.to_owned())
    };
    calls.filter_map(name).collect()
}

fn events_below(folder: &Path) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for entry in std::fs::read_dir(folder).expect("a readable folder") {
        let path = entry.expect("a readable folder entry").path();
        if path.is_dir() {
            found.extend(events_below(&path));
        } else {
            found.extend(events(&std::fs::read_to_string(&path).expect("a readable source file")));
        }
    }
    found
}

#[test]
fn every_event_is_documented() {
    let documentation = include_str!("../../../docs/OPERATIONS.md");
    let logged = events_below(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"));
    assert!(logged.len() > 50, "only {} events found", logged.len());
    let is_missing = |event: &&String| !documentation.contains(&format!("`{event}`"));
    let missing: Vec<_> = logged.iter().filter(is_missing).collect();
    assert!(missing.is_empty(), "not in docs/OPERATIONS.md: {missing:?}");
}
