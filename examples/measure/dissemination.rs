//! Ways to bring one change to many processes, compared by messages, depth and loss.
//!
//! Direct fan-out, a balanced tree, and a tree over the fingers of a Chord ring (Bradler,
//! Kangasharju and Mühlhäuser, "Optimally Efficient Multicast in Structured Peer-to-Peer Networks").

use crate::Result;
use crate::report::Report;
use std::collections::BTreeMap;

const SIZES: [usize; 4] = [8, 17, 100, 1_000];
const FAN_OUT: usize = 4;

/// Children by parent; the root is process zero.
type Tree = BTreeMap<usize, Vec<usize>>;

/// Compares the ways and notes the table.
pub(crate) fn measure(report: &mut Report) -> Result<()> {
    report.begin("dissemination");
    report.progress("dissemination");
    let mut rows = Vec::new();
    for size in SIZES {
        let ways = [
            ("direct", direct(size)),
            ("tree of four", balanced(size)),
            ("tree over a ring's fingers", over_fingers(size)),
        ];
        for (name, tree) in ways {
            let losses: Vec<_> = (1..size).map(|failed| lost_with(&tree, failed)).collect();
            let mean = losses.iter().sum::<usize>() as f64 / losses.len() as f64;
            rows.push(vec![
                size.to_string(),
                name.to_owned(),
                tree.values().map(Vec::len).sum::<usize>().to_string(),
                depth(&tree, 0).to_string(),
                tree.get(&0).map_or(0, Vec::len).to_string(),
                format!("{mean:.2}"),
                losses.iter().max().copied().unwrap_or(0).to_string(),
            ]);
        }
    }
    let heading = [
        "processes",
        "way",
        "messages",
        "depth",
        "sent by the leader",
        "others missed with one failed, mean",
        "at worst",
    ];
    report.table("dissemination", &heading, &rows);
    Ok(())
}

fn direct(size: usize) -> Tree {
    Tree::from([(0, (1..size).collect())])
}

fn balanced(size: usize) -> Tree {
    let mut tree = Tree::new();
    for child in 1..size {
        tree.entry((child - 1) / FAN_OUT).or_default().push(child);
    }
    tree
}

/// Each process takes an arc and hands the part behind each of its fingers to that finger.
fn over_fingers(size: usize) -> Tree {
    let mut tree = Tree::new();
    hand_over(0, size, &mut tree);
    tree
}

fn hand_over(from: usize, end: usize, tree: &mut Tree) {
    let mut end = end;
    let mut distance = (end - from).next_power_of_two();
    while distance >= 1 {
        let finger = from + distance;
        if finger < end {
            tree.entry(from).or_default().push(finger);
            hand_over(finger, end, tree);
            end = finger;
        }
        distance /= 2;
    }
}

fn depth(tree: &Tree, from: usize) -> usize {
    let children = tree.get(&from).map_or(&[][..], Vec::as_slice);
    children.iter().map(|&child| depth(tree, child) + 1).max().unwrap_or(0)
}

/// The processes other than the failed one that the message does not reach.
fn lost_with(tree: &Tree, failed: usize) -> usize {
    fn size(tree: &Tree, from: usize) -> usize {
        let children = tree.get(&from).map_or(&[][..], Vec::as_slice);
        children.iter().map(|&child| size(tree, child) + 1).sum()
    }
    size(tree, failed)
}
