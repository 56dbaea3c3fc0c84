use super::Durations;
use crate::job::id::StepId;
use crate::job::spec::StepSpec;
use std::time::Duration;

fn step(number: u32) -> StepId {
    StepId { job: "5c0e7a21d94b36f8".parse().expect("a valid job ID"), occurrence: 0, step: number }
}

fn spec(estimate_ms: u64) -> StepSpec {
    StepSpec { count: 1, estimate_ms, ..StepSpec::default() }
}

#[test]
fn an_unknown_image_uses_the_callers_estimate() {
    let durations = Durations::default();
    assert_eq!(durations.expected_ms(&"quotes".into(), &step(0), &spec(700)).div_ceil(10), 70);
}

#[test]
fn uncorrelated_estimates_lose_their_weight() {
    let mut durations = Durations::default();
    for number in 0..200 {
        let estimate_ms = if number % 2 == 0 { 100 } else { 4_000 };
        durations.record(
            &"quotes".into(),
            &step(number),
            &spec(estimate_ms),
            Duration::from_millis(600),
        );
    }
    for estimate_ms in [100, 4_000] {
        let expected_ms = durations.expected_ms(&"quotes".into(), &step(999), &spec(estimate_ms));
        assert!((540..660).contains(&expected_ms), "{expected_ms}");
    }
}

#[test]
fn a_step_uses_the_mean_of_its_own_tasks() {
    let mut durations = Durations::default();
    durations.record(&"quotes".into(), &step(0), &spec(600), Duration::from_millis(2_000));
    assert_eq!(durations.expected_ms(&"quotes".into(), &step(0), &spec(600)), 2_000);
    durations.remove(&step(0));
    assert_ne!(durations.expected_ms(&"quotes".into(), &step(0), &spec(600)), 2_000);
}
