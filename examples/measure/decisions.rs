//! Measures the cost of decisions and the size of state and messages within this process.

use crate::Result;
use crate::fleet::{announced_servers, announcement, apply, instances, label_edit, state};
use crate::report::{Report, Series};
use goldcrestring::connection::{GrantedLease, LeaseResponse, TargetsDelta};
use goldcrestring::process::allowance_plan::{Reports, plan, targets_for};
use goldcrestring::process::idempotency::{
    Claim, Record, RecordKey, RecordStore, StoredResponse, TaskId,
};
use goldcrestring::process::{Command, ControlState};
use goldcrestring::quantity::{LogIndex, Revision};
use goldcrestring::request::{EntryState, Router, TeamReport};
use goldcrestring_wire::codec;
use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::{Duration, Instant, SystemTime};
use uuid::Uuid;

const VM_COUNTS: [usize; 5] = [12, 1_000, 3_000, 6_000, 11_000];
const TEAM_COUNTS: [usize; 5] = [6, 100, 200, 300, 450];
const ENTRY_COUNT: usize = 17;

/// An uptime at which the slow start of every backend server is over.
const AFTER_SLOW_START: Duration = Duration::from_secs(1_000_000);

/// Measures every decision.
pub(crate) fn measure(report: &mut Report) -> Result<()> {
    report.begin("decisions");
    routing(report)?;
    configuration(report)?;
    allowances(report)?;
    messages(report)?;
    records(report)
}

fn routing(report: &mut Report) -> Result<()> {
    report.progress("selection of a backend server");
    let mut choices = Vec::new();
    let mut rebuilds = Vec::new();
    for vms in VM_COUNTS {
        let state = state(vms, 6);
        let servers = announced_servers(vms);
        let mut router = Router::new(1);
        let rebuild = median(5, || router.rebuild(state.configuration(), &servers));
        rebuilds.push((vms as f64, rebuild.as_secs_f64() * 1e3));
        // A queue over all servers has the largest number of candidates.
        let queue = "all".parse()?;
        let per_choice = median(21, || {
            for _ in 0..1_000 {
                if let Ok(choice) = router.choose(AFTER_SLOW_START, &queue, &[]) {
                    router.finish(&choice.vm, None);
                }
            }
        });
        choices.push((vms as f64, per_choice.as_secs_f64() * 1e6));
    }
    report.series(&Series {
        name: "choice-of-server",
        size_unit: "workers",
        cost_unit: "ns",
        target_size: 11_000.0,
        points: choices,
    })?;
    report.series(&Series {
        name: "routes-rebuilt",
        size_unit: "workers",
        cost_unit: "ms",
        target_size: 11_000.0,
        points: rebuilds,
    })
}

fn configuration(report: &mut Report) -> Result<()> {
    report.progress("configuration: applying a change, difference, snapshot, memory");
    let mut applied = Vec::new();
    let mut pool_times = Vec::new();
    let mut snapshots = Vec::new();
    let mut memory = Vec::new();
    let mut differences = Vec::new();
    for vms in VM_COUNTS {
        memory.push((vms as f64, memory_of(STATE, vms)?));
        let mut state = state(vms, team_count_for(vms));
        snapshots.push((vms as f64, codec::encode(&state)?.len() as f64 / 1e6));
        let mut index = 2;
        let apply_time = median(21, || {
            apply(
                &mut state,
                index,
                vec![label_edit(usize::try_from(index).unwrap_or(0) % vms, index)],
            );
            index += 1;
        });
        applied.push((vms as f64, apply_time.as_secs_f64() * 1e6));
        let since = Revision::new(index - 2);
        let difference = codec::encode(&state.configuration().delta_since(since))?;
        differences.push((vms as f64, difference.len() as f64));
        let pools = median(5, || {
            black_box(state.configuration().pools_by_vm());
        });
        pool_times.push((vms as f64, pools.as_secs_f64() * 1e3));
    }
    let unit = "workers";
    let series = [
        ("change-applied", "microseconds", applied),
        ("change-difference", "bytes", differences),
        ("pools-worked-out", "ms", pool_times),
        ("snapshot-size", "MB", snapshots),
        ("state-memory", "MB", memory),
    ];
    for (name, cost_unit, points) in series {
        let target_size = 11_000.0;
        report.series(&Series { name, size_unit: unit, cost_unit, target_size, points })?;
    }
    Ok(())
}

fn allowances(report: &mut Report) -> Result<()> {
    report.progress("allowances: planning of moves");
    let live: BTreeSet<_> = instances(ENTRY_COUNT).into_iter().collect();
    let mut plans = Vec::new();
    let mut targets = Vec::new();
    for teams in TEAM_COUNTS {
        let (state, reports) = busy_state(teams, &live);
        let time = median(9, || {
            black_box(plan(&state, &reports, &live));
        });
        plans.push((teams as f64, time.as_secs_f64() * 1e3));
        let plan = plan(&state, &reports, &live);
        let first = live.first().ok_or("no entry")?;
        let time = median(21, || {
            black_box(targets_for(state.allowances(), &plan.targets, first));
        });
        targets.push((teams as f64, time.as_secs_f64() * 1e6));
    }
    for (name, cost_unit, points) in
        [("allowance-plan", "ms", plans), ("allowance-targets", "microseconds", targets)]
    {
        let (size_unit, target_size) = ("teams", 450.0);
        report.series(&Series { name, size_unit, cost_unit, target_size, points })?;
    }
    Ok(())
}

/// Creates a state in which the teams' limits are granted across all entries, and reports with
/// demand on half of the entries.
fn busy_state(
    teams: usize,
    live: &BTreeSet<goldcrestring::process::EntryInstance>,
) -> (ControlState, Reports) {
    let mut state = state(12, teams);
    let granted = plan(&state, &Reports::new(), live);
    state.apply(LogIndex::new(2), &Command::Grants(granted.changes));
    let mut reports = Reports::new();
    for (number, instance) in live.iter().enumerate() {
        let grants = state.allowances().instance_grants(instance);
        let report = |(team, grant): (_, goldcrestring::process::Grant)| {
            let peak_demand = if number % 2 == 0 { grant.units * 2 } else { 0 };
            let report = TeamReport {
                grant_revision: grant.revision,
                ceiling_units: grant.units,
                running: peak_demand.min(grant.units),
                peak_demand,
            };
            (team, report)
        };
        reports.insert(instance.clone(), grants.into_iter().map(report).collect());
    }
    (state, reports)
}

fn messages(report: &mut Report) -> Result<()> {
    report.progress("sizes of messages");
    let mut entry = EntryState::new(1);
    let instance = instances(1).remove(0);
    let idle_request = codec::encode(&entry.lease_request(&instance, false))?;
    let idle_response = codec::encode(&LeaseResponse::Granted(Box::new(GrantedLease {
        lease: goldcrestring::connection::configuration_lease::LEASE_DURATION,
        delta: goldcrestring::version::Delta::default(),
        targets: TargetsDelta::default(),
        needs_full_report: false,
        in_force: Revision::new(1_000_000),
    })))?;
    let announcement = codec::encode_json(&announcement(7))?;
    let rows = [
        ("lease request, nothing changed", idle_request.len()),
        ("lease response, nothing changed", idle_response.len()),
        ("announcement of a backend server", announcement.len()),
    ];
    let rows: Vec<_> =
        rows.iter().map(|(name, bytes)| vec![(*name).to_owned(), bytes.to_string()]).collect();
    report.table("message-sizes", &["message", "bytes of body"], &rows);
    Ok(())
}

fn records(report: &mut Report) -> Result<()> {
    report.progress("idempotency records");
    let mut memory = Vec::new();
    for records in [10_000, 30_000, 60_000, 100_000_usize] {
        memory.push((records as f64, memory_of(RECORDS, records)?));
    }
    report.series(&Series {
        name: "record-memory",
        size_unit: "records of 500 bytes",
        cost_unit: "MB",
        target_size: 150_000.0,
        points: memory,
    })
}

/// Memory is measured in a separate process, so that no memory freed earlier is reused.
const MEMORY_ARGUMENT: &str = "--memory-of";
const STATE: &str = "state";
const RECORDS: &str = "records";

/// Measures the memory of a state with `size` VMs, or of `size` records, in MB.
fn memory_of(subject: &str, size: usize) -> Result<f64> {
    let mut command = std::process::Command::new(std::env::current_exe()?);
    let output = command.args([MEMORY_ARGUMENT, subject, &size.to_string()]).output()?;
    Ok(String::from_utf8(output.stdout)?.trim().parse()?)
}

/// Measures the memory of a state or of records, in MB, if this process was started to do so.
pub(crate) fn measure_memory_if_requested() -> Result<Option<f64>> {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let [flag, subject, size] = arguments.as_slice() else { return Ok(None) };
    if flag != MEMORY_ARGUMENT {
        return Ok(None);
    }
    let size = size.parse()?;
    let before = resident_bytes();
    if subject == STATE {
        // A replica keeps both the state and its encoded snapshot.
        let state = state(size, team_count_for(size));
        black_box(codec::encode(&state)?);
        black_box(&state);
        return Ok(Some((resident_bytes() - before) / 1e6));
    }
    let store = record_store(size)?;
    black_box(&store);
    Ok(Some((resident_bytes() - before) / 1e6))
}

fn record_store(records: usize) -> Result<RecordStore> {
    let mut store = RecordStore::new(SystemTime::UNIX_EPOCH);
    let claim = Claim {
        task: TaskId(Uuid::nil()),
        attempt: 0,
        request_digest: [7; 32],
        claimant: instances(1).remove(0),
        vm: "vm-00001".parse()?,
        address: "10.11.12.13:7400".parse()?,
    };
    for _ in 0..records {
        let key = RecordKey { team: Some("team-7".parse()?), key: Uuid::now_v7() };
        let stored = StoredResponse { status: 200, content_type: None, body: vec![7; 500] };
        let record = Record { claim: claim.clone(), response: Some(stored) };
        store.import(Duration::ZERO, vec![(key, record)]);
    }
    Ok(store)
}

/// Returns the number of teams in proportion to the target of 450 teams on 11,000 VMs.
const fn team_count_for(vms: usize) -> usize {
    vms * 450 / 11_000
}

/// Returns the median duration of several runs.
fn median(runs: usize, mut run: impl FnMut()) -> Duration {
    let mut times: Vec<_> = (0..runs)
        .map(|_| {
            let started = Instant::now();
            run();
            started.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[runs / 2]
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4_096.0
}
