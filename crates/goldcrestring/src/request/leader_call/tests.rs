//! Tests of what may be reported about a call.

use super::{CallEffect, FinalAnswer, LeaderCall, Unanswered, Verdict};

/// Guards against reporting a refusal while an earlier attempt may be committed.
#[test]
fn a_change_is_refused_only_if_no_attempt_is_open() {
    let mut call = LeaderCall::new(CallEffect::Change);
    call.record_not_received();
    assert_eq!(call.clone().answer(1, Verdict::Refused), Ok(FinalAnswer(1)));
    call.record_lost();
    call.record_not_received();
    assert_eq!(call.clone().answer(1, Verdict::Refused), Err(Unanswered::Unknown));
    assert_eq!(call.answer(1, Verdict::Conclusive), Ok(FinalAnswer(1)));
}

/// Guards against refusing a change that an earlier call may have left with a leader.
#[test]
fn a_change_without_a_leader_is_unknown() {
    assert_eq!(LeaderCall::new(CallEffect::Change).give_up(), Unanswered::Unknown);
}

/// Guards against losing true refusals of reads.
#[test]
fn a_read_is_refused_whatever_happened_before() {
    let mut call = LeaderCall::new(CallEffect::Read);
    assert_eq!(call.clone().give_up(), Unanswered::NotRun);
    call.record_lost();
    assert_eq!(call.clone().give_up(), Unanswered::Unknown);
    assert_eq!(call.answer(1, Verdict::Refused), Ok(FinalAnswer(1)));
}
