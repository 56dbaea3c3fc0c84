//! What becomes of the jobs of a queue that operators rename, move, remove or return.

use crate::fleet::{Fleet, job_id, step};
use goldcrestring::job::command::PlanDocument;
use goldcrestring::job::plan::{Pool, Queue};
use goldcrestring::job::state::{Job, JobOutcome, JobPhase};
use goldcrestring::job::view::JobFilter;
use goldcrestring::job::{FleetPlan, JobCommand, JobSpec, JobState};
use std::sync::Arc;
use std::time::Duration;

const HOST: &str = "quotes.example";

/// A queue of a plan: its name, path prefix and pool.
type QueueSpec = (&'static str, &'static str, &'static str);

/// The queue that the job is submitted to, and another one beside it.
const FIRST: [QueueSpec; 2] = [("quotes", "/q/", "pool"), ("orders", "/o/", "pool")];

/// A series of plans, and what they make of a job of the queue `quotes`.
struct Case {
    title: &'static str,
    plans: &'static [&'static [QueueSpec]],
    /// The path prefixes at which callers find the job.
    found_at: &'static [&'static str],
    /// The queue that the job belongs to.
    queue: &'static str,
}

const CASES: [Case; 10] = [
    Case {
        title: "renamed",
        plans: &[&[("sales", "/q/", "pool")]],
        found_at: &["/q/"],
        queue: "sales",
    },
    Case {
        title: "renamed twice",
        plans: &[&[("sales", "/q/", "pool")], &[("shop", "/q/", "pool")]],
        found_at: &["/q/"],
        queue: "shop",
    },
    Case {
        title: "removed and returned",
        plans: &[&[], &[("quotes", "/q/", "pool")]],
        found_at: &["/q/"],
        queue: "quotes",
    },
    Case {
        title: "removed and returned under another name",
        plans: &[&[], &[("sales", "/q/", "pool")]],
        found_at: &["/q/"],
        queue: "sales",
    },
    Case {
        title: "moved",
        plans: &[&[("quotes", "/new/", "pool")]],
        found_at: &["/new/"],
        queue: "quotes",
    },
    Case {
        title: "moved and replaced",
        plans: &[&[("quotes", "/new/", "pool"), ("sales", "/q/", "pool")]],
        found_at: &["/new/", "/q/"],
        queue: "quotes",
    },
    Case {
        title: "moved and renamed",
        plans: &[&[("quotes", "/new/", "pool")], &[("sales", "/new/", "pool")]],
        found_at: &["/new/"],
        queue: "sales",
    },
    Case {
        title: "exchanged with another queue",
        plans: &[&[("quotes", "/o/", "pool"), ("orders", "/q/", "pool")]],
        found_at: &["/o/", "/q/"],
        queue: "quotes",
    },
    Case {
        title: "replaced by a queue of another pool",
        plans: &[&[("sales", "/q/", "other")]],
        found_at: &["/q/"],
        queue: "quotes",
    },
    Case {
        title: "removed while its name is given to nobody",
        plans: &[&[("orders", "/o/", "pool")]],
        found_at: &[],
        queue: "quotes",
    },
];

/// How far the job has come when the plans are changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    Queued,
    Running,
    Ended,
}

fn plan(number: u64, queues: &[QueueSpec]) -> FleetPlan {
    let queue = |(name, prefix, pool): &QueueSpec| Queue {
        name: (*name).into(),
        host: HOST.into(),
        prefix: (*prefix).into(),
        pool: (*pool).into(),
        priority: 0,
        max_attempts: 3,
        stretch_per_mille: 1_600,
        target_latency_ms: 600,
        timeout_ms: 3_000,
        is_open: true,
        advice: None,
    };
    let pool = |name: &str| Pool { name: name.into(), enforces_capacity: true, is_standby: false };
    let queues = queues.iter().map(queue).collect();
    FleetPlan::new(number, queues, vec![pool("pool"), pool("other")], Vec::new()).expect("valid")
}

fn apply_plan(fleet: &mut Fleet, number: u64, queues: &[QueueSpec]) {
    let plan = plan(number, queues);
    fleet.apply(&JobCommand::Plan(Arc::new(PlanDocument { plan, document: "{}".into() })));
}

/// The phase of the job and whether it is pending, as callers at a path prefix see it; `None` if they don't
/// find it.
fn seen_at(fleet: &Fleet, prefix: &str) -> Option<(JobPhase, usize)> {
    let queue = fleet.state.plan().expect("a plan").queue_for(HOST, prefix)?;
    let job = fleet.state.job_in_queue(&job_id(1), queue)?;
    Some((job.phase, fleet.state.pending_job_count(queue)))
}

fn submit_until(progress: Progress) -> Fleet {
    let servers = if progress == Progress::Queued { 0 } else { 2 };
    let mut fleet = Fleet::new(90, servers);
    apply_plan(&mut fleet, 100, &FIRST);
    let duration = if progress == Progress::Running { 4_000 } else { 500 };
    fleet.submit(1, vec![step(3, 1_000)], Some(Duration::from_millis(duration)));
    fleet.run_for(Duration::from_secs(2));
    fleet
}

/// Regression: jobs whose queue was given another name were unknown to the callers of its route, who had been
/// told that the jobs were accepted.
#[test]
fn jobs_of_a_changed_queue_are_found_counted_listed_and_run() {
    for progress in [Progress::Queued, Progress::Running, Progress::Ended] {
        for case in &CASES {
            let context = format!("{}, {progress:?}", case.title);
            let mut fleet = submit_until(progress);
            for (number, queues) in (101..).zip(case.plans) {
                apply_plan(&mut fleet, number, queues);
                fleet.run_for(Duration::from_millis(100));
            }
            let phase = match progress {
                Progress::Queued | Progress::Running => JobPhase::Active,
                Progress::Ended => JobPhase::Completed,
            };
            let expected = (phase, usize::from(progress == Progress::Queued));
            for prefix in case.found_at {
                assert_eq!(seen_at(&fleet, prefix), Some(expected), "{context}, at {prefix}");
            }
            for prefix in ["/q/", "/o/", "/new/"] {
                let is_found = seen_at(&fleet, prefix).is_some();
                assert_eq!(is_found, case.found_at.contains(&prefix), "{context}, at {prefix}");
            }
            let queue = Some(case.queue.into());
            let listed = JobFilter { queue, ..JobFilter::default() }.list(&fleet.state);
            assert_eq!(listed.len(), 1, "{context}");

            if progress == Progress::Queued {
                fleet.add_server(0, 1);
                fleet.elect_leader();
            }
            fleet.run_for(Duration::from_secs(8));
            assert_eq!(fleet.phase(1), JobPhase::Completed, "{context}");
            for prefix in case.found_at {
                let expected = Some((JobPhase::Completed, 0));
                assert_eq!(seen_at(&fleet, prefix), expected, "{context}, at {prefix}");
            }
            assert_eq!(fleet.concurrent_runs, [], "{context}");
        }
    }
}

/// A job follows its queue under another name, so that the queue's priority and objective count; it does not
/// follow a queue of another pool as long as there is its own.
#[test]
fn a_job_goes_to_another_pool_only_if_its_own_is_gone() {
    let mut fleet = submit_until(Progress::Queued);
    apply_plan(&mut fleet, 101, &[("sales", "/q/", "other")]);
    let queue_of = |fleet: &Fleet| fleet.state.job(&job_id(1)).expect("known").queue.to_string();
    assert_eq!(queue_of(&fleet), "quotes");
    let without_pool = FleetPlan::new(
        102,
        plan(102, &[("sales", "/q/", "other")]).queues().cloned().collect(),
        vec![Pool { name: "other".into(), enforces_capacity: true, is_standby: false }],
        Vec::new(),
    );
    let plan = without_pool.expect("valid");
    fleet.apply(&JobCommand::Plan(Arc::new(PlanDocument { plan, document: "{}".into() })));
    assert_eq!(queue_of(&fleet), "sales");
}

/// Regression: a job whose queue was removed between its check and its commit was accepted and never run, and
/// callers of a renamed queue did not find it.
#[test]
fn a_job_is_not_stored_in_a_queue_that_was_removed_before_its_commit() {
    for queues in [&[][..], &[("sales", "/q/", "pool")][..]] {
        let mut fleet = Fleet::new(91, 2);
        apply_plan(&mut fleet, 100, &FIRST);
        apply_plan(&mut fleet, 101, queues);
        let submit = |queue: &str| JobCommand::Submit {
            id: job_id(1),
            queue: queue.into(),
            team: None,
            spec: Arc::new(JobSpec { steps: vec![step(1, 1_000)], ..JobSpec::default() }),
            at_ms: 1,
        };
        assert_eq!(fleet.state.apply(&submit("quotes")), JobOutcome::QueueRemoved);
        assert!(fleet.state.job(&job_id(1)).is_none());
        // The next attempt is for the queue that callers find there now.
        if let Some((name, ..)) = queues.first() {
            let is_new = true;
            assert_eq!(fleet.state.apply(&submit(name)), JobOutcome::Submitted { is_new });
        }
    }
}

/// A resend is answered for the stored job, also once its queue is gone.
#[test]
fn a_resend_after_the_removal_of_the_queue_finds_the_stored_job() {
    let mut fleet = submit_until(Progress::Queued);
    apply_plan(&mut fleet, 101, &[]);
    let job = fleet.state.job(&job_id(1)).expect("a stored job");
    let (queue, team, spec) = (job.queue.clone(), job.team.clone(), Arc::clone(&job.spec));
    let submit = JobCommand::Submit { id: job_id(1), queue, team, spec, at_ms: 1 };
    assert_eq!(fleet.state.apply(&submit), JobOutcome::Submitted { is_new: false });
}

/// A snapshot keeps the route of each job.
#[test]
fn a_job_is_found_by_its_route_after_a_restart() {
    let mut fleet = submit_until(Progress::Queued);
    apply_plan(&mut fleet, 101, &[]);
    let bytes = rmp_serde::to_vec(&fleet.state).expect("encodable");
    fleet.state = rmp_serde::from_slice(&bytes).expect("decodable");
    apply_plan(&mut fleet, 102, &[("sales", "/q/", "pool")]);
    assert_eq!(seen_at(&fleet, "/q/"), Some((JobPhase::Active, 1)));
}

/// A record of an earlier version, which ends before the route, is read.
#[test]
fn a_record_without_a_route_is_read() {
    let mut state = JobState::default();
    let spec = Arc::new(JobSpec { steps: vec![step(1, 1_000)], ..JobSpec::default() });
    let queue = "quotes".into();
    state.apply(&JobCommand::Submit { id: job_id(1), queue, team: None, spec, at_ms: 1 });
    let job = state.job(&job_id(1)).expect("a stored job");
    let mut bytes = rmp_serde::to_vec(job).expect("encodable");
    // The record is an array whose last element, the route, is nil as there was no plan.
    assert_eq!(bytes.pop(), Some(0xc0));
    bytes[0] -= 1;
    let read: Job = rmp_serde::from_slice(&bytes).expect("decodable");
    assert_eq!(read, *job);
}
