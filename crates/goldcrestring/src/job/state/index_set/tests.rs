//! Tests of sets of indices against the standard library's.

use super::IndexSet;
use std::collections::BTreeSet;

/// Inserts and removes pseudo-random indices and compares each result with that of a [`BTreeSet`].
#[test]
fn a_set_behaves_like_one_that_stores_each_index() {
    let mut random = 0x9e37_79b9_7f4a_7c15_u64;
    for _ in 0..50 {
        let mut set = IndexSet::below(40);
        let mut expected: BTreeSet<u32> = (0..40).collect();
        for _ in 0..400 {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let index = u32::try_from((random >> 33) % 48).expect("a small number");
            if random >> 63 == 0 {
                assert_eq!(set.insert(index), expected.insert(index));
            } else {
                assert_eq!(set.remove(index), expected.remove(&index));
            }
            assert!(set.iter().eq(expected.iter().copied()), "{set:?}");
            assert_eq!(usize::try_from(set.len()), Ok(expected.len()));
            let is_merged = |((_, end), (start, _)): ((&u32, &u32), (&u32, &u32))| end < start;
            assert!(set.ranges.iter().zip(set.ranges.iter().skip(1)).all(is_merged), "{set:?}");
        }
        assert_eq!(expected.iter().copied().collect::<IndexSet>(), set);
    }
}

#[test]
fn the_highest_number_of_indices_is_stored_as_one_range() {
    let mut set = IndexSet::below(u32::MAX);
    assert!(set.contains(u32::MAX - 1));
    assert!(!set.contains(u32::MAX));
    assert!(!set.insert(u32::MAX));
    assert!(set.remove(u32::MAX - 1));
    assert_eq!((set.len(), set.ranges.len()), (u32::MAX - 1, 1));
}
