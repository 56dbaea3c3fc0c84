//! Compares methods to disseminate a change to many processes by messages, depth and loss.
//!
//! The methods are direct fan-out, a balanced tree, and a tree over the fingers of a Chord ring
//! (Bradler, Kangasharju and Mühlhäuser, "Optimally Efficient Multicast in Structured Peer-to-Peer
//! Networks").

use crate::Result;
use crate::report::Report;
use std::collections::BTreeMap;

const PROCESS_COUNTS: [usize; 4] = [8, 17, 100, 1_000];
const FAN_OUT: usize = 4;

/// Children by parent; the root is process zero.
type Tree = BTreeMap<usize, Vec<usize>>;

/// Compares the methods and reports the table.
pub(crate) fn measure(report: &mut Report) -> Result<()> {
    report.begin("dissemination");
    report.progress("dissemination");
    let mut rows = Vec::new();
    for size in PROCESS_COUNTS {
        let methods = [
            ("direct", direct_fan_out(size)),
            ("tree of four", balanced_tree(size)),
            ("tree over a ring's fingers", finger_tree(size)),
        ];
        for (name, tree) in methods {
            let missed: Vec<_> =
                (1..size).map(|failed| missed_with_failure(&tree, failed)).collect();
            let mean = missed.iter().sum::<usize>() as f64 / missed.len() as f64;
            rows.push(vec![
                size.to_string(),
                name.to_owned(),
                tree.values().map(Vec::len).sum::<usize>().to_string(),
                depth(&tree, 0).to_string(),
                tree.get(&0).map_or(0, Vec::len).to_string(),
                format!("{mean:.2}"),
                missed.iter().max().copied().unwrap_or(0).to_string(),
            ]);
        }
    }
    let heading = [
        "processes",
        "method",
        "messages",
        "depth",
        "sent by the leader",
        "others missed with one failed, mean",
        "at worst",
    ];
    report.table("dissemination", &heading, &rows);
    Ok(())
}

fn direct_fan_out(size: usize) -> Tree {
    Tree::from([(0, (1..size).collect())])
}

fn balanced_tree(size: usize) -> Tree {
    let mut tree = Tree::new();
    for child in 1..size {
        tree.entry((child - 1) / FAN_OUT).or_default().push(child);
    }
    tree
}

/// Each process is responsible for a range and delegates the part after each finger to that finger.
fn finger_tree(size: usize) -> Tree {
    let mut tree = Tree::new();
    delegate_range(0, size, &mut tree);
    tree
}

fn delegate_range(from: usize, end: usize, tree: &mut Tree) {
    let mut end = end;
    let mut distance = (end - from).next_power_of_two();
    while distance >= 1 {
        let finger = from + distance;
        if finger < end {
            tree.entry(from).or_default().push(finger);
            delegate_range(finger, end, tree);
            end = finger;
        }
        distance /= 2;
    }
}

fn depth(tree: &Tree, from: usize) -> usize {
    let children = tree.get(&from).map_or(&[][..], Vec::as_slice);
    children.iter().map(|&child| depth(tree, child) + 1).max().unwrap_or(0)
}

/// Returns the number of processes, except the failed one, that the message does not reach.
fn missed_with_failure(tree: &Tree, failed: usize) -> usize {
    fn descendants(tree: &Tree, from: usize) -> usize {
        let children = tree.get(&from).map_or(&[][..], Vec::as_slice);
        children.iter().map(|&child| descendants(tree, child) + 1).sum()
    }
    descendants(tree, failed)
}
