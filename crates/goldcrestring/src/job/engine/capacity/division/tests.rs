//! Tests of the load patterns "overlapping turns", "backlog past its objective" and "a turn that ends".

use super::{Level, Want, divide};
use crate::job::id::PoolId;
use std::collections::BTreeMap;

fn want(minimum: usize, in_time: usize, late: usize, overdue: usize) -> Want {
    Want::default()
        .up_to(Level::Minimum, minimum)
        .up_to(Level::InTime, in_time)
        .up_to(Level::Late, late)
        .up_to(Level::Overdue, overdue)
}

fn divided(supply: usize, wants: &[(&str, Want)]) -> Vec<usize> {
    let wants: BTreeMap<PoolId, Want> =
        wants.iter().map(|(pool, want)| (PoolId::from(*pool), *want)).collect();
    divide(supply, &wants).into_values().collect()
}

#[test]
fn each_pool_gets_what_it_wants_while_there_is_enough() {
    assert_eq!(divided(100, &[("a", want(2, 30, 0, 0)), ("b", want(3, 3, 9, 40))]), [30, 40]);
    assert_eq!(divided(0, &[]), [0_usize; 0]);
}

/// Guards against a pool that keeps its VMs for a backlog that is late anyway while another's fresh work
/// waits: on a day of two turns one pool held 81 of 130 VMs to the end and the other 15.
#[test]
fn a_backlog_past_its_objective_yields_to_fresh_work() {
    let trade = want(10, 12, 40, 451);
    let order = want(10, 90, 90, 319);
    assert_eq!(divided(130, &[("order", order), ("trade", trade)]), [90, 40]);
}

/// Guards against a pool that takes all VMs because it was asked first or lacks most.
#[test]
fn overlapping_turns_are_divided_in_proportion() {
    let shares = divided(130, &[("a", want(5, 155, 0, 0)), ("b", want(5, 305, 0, 0))]);
    assert_eq!(shares, [5 + 40, 5 + 80]);
}

/// Guards against a pool without its minimum, over which long-running tasks are spread.
#[test]
fn the_minimum_of_each_pool_goes_before_any_work() {
    let shares = divided(30, &[("a", want(10, 500, 0, 0)), ("b", want(8, 8, 8, 8))]);
    assert_eq!(shares, [22, 8]);
}

/// Guards against VMs that stay with a pool once its turn has ended.
#[test]
fn a_turn_that_ends_frees_its_vms() {
    let during = divided(100, &[("a", want(5, 200, 0, 0)), ("b", want(5, 10, 0, 0))]);
    let after = divided(100, &[("a", want(5, 5, 0, 0)), ("b", want(5, 200, 0, 0))]);
    assert_eq!((during, after), (vec![93, 7], vec![5, 95]));
}

#[test]
fn the_sum_never_exceeds_the_supply() {
    for supply in 0..60 {
        let wants = [("a", want(3, 17, 21, 90)), ("b", want(2, 9, 9, 33)), ("c", want(0, 0, 7, 7))];
        let shares = divided(supply, &wants);
        assert_eq!(shares.iter().sum::<usize>(), supply, "{shares:?}");
        assert!(shares[2] <= 7);
    }
}
