//! How long ended jobs stay known.

use crate::TASK_DURATION;
use crate::fleet::{Fleet, job_id, step};
use goldcrestring::job::JobCommand;
use goldcrestring::job::state::JobPhase;
use std::time::Duration;

const RETENTION: Duration = Duration::from_secs(120);

fn is_known(fleet: &Fleet, number: u64) -> bool {
    fleet.state.job(&job_id(number)).is_some()
}

/// Guards against accepted jobs that are forgotten before their retention period is over: they ended
/// while the leader's wall clock was behind.
#[test]
fn a_job_that_ended_while_the_wall_clock_was_behind_is_kept_for_the_retention_period() {
    let mut fleet = Fleet::new(70, 2);
    fleet.wall_step_ms = -2_400;
    fleet.submit(1, vec![step(1, 1_000)], Some(TASK_DURATION));
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(fleet.phase(1), JobPhase::Completed);
    fleet.wall_step_ms = 0;
    fleet.run_for(RETENTION - Duration::from_secs(2));
    assert!(is_known(&fleet, 1));
    fleet.run_for(Duration::from_secs(15));
    assert!(!is_known(&fleet, 1), "ended jobs are kept for ever");
}

/// The same with a clock that jumps far ahead and back, with a new leader in between.
#[test]
fn a_jump_of_the_wall_clock_removes_no_ended_job() {
    let mut fleet = Fleet::new(71, 2);
    fleet.submit(1, vec![step(1, 1_000)], Some(TASK_DURATION));
    fleet.run_for(Duration::from_secs(2));
    fleet.wall_step_ms = 86_400_000;
    fleet.run_for(Duration::from_secs(10));
    fleet.elect_leader();
    fleet.run_for(Duration::from_secs(10));
    fleet.wall_step_ms = 0;
    fleet.run_for(RETENTION - Duration::from_secs(23));
    assert!(is_known(&fleet, 1));
    fleet.run_for(Duration::from_secs(20));
    assert!(!is_known(&fleet, 1), "ended jobs are kept for ever");
}

/// Guards against a job that runs although its cancelling was acknowledged: the cancelled ID was
/// forgotten early, and the delayed submission arrived after that.
#[test]
fn a_cancelled_id_is_kept_for_the_retention_period_whatever_the_wall_clock_does() {
    let mut fleet = Fleet::new(72, 2);
    let id = job_id(1);
    fleet.wall_step_ms = -60_000;
    let at_ms = fleet.wall_ms();
    fleet.apply(&JobCommand::Cancel { id, at_ms });
    fleet.wall_step_ms = 0;
    fleet.run_for(RETENTION - Duration::from_secs(1));
    assert!(fleet.state.cancelled_ids().contains_key(&id));
    fleet.run_for(Duration::from_secs(15));
    assert!(fleet.state.cancelled_ids().is_empty(), "cancelled IDs are kept for ever");
}
