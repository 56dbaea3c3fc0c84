//! Log events of the leader: actions of the engine, inputs to its decisions, and applied commands.

use crate::log::event;
use goldcrestring::job::engine::{Action, EngineEvent};
use goldcrestring::job::state::JobOutcome;
use goldcrestring::job::{JobCommand, JobSpec};
use goldcrestring::quantity::LogIndex;

/// Logs an action before its call is sent.
pub(super) fn log_action(action: &Action) {
    match action {
        Action::Start { target, task, attempt, lease_until_ms, .. } => event!(
            info,
            "start-sent",
            task = task,
            attempt = attempt,
            server = target.server,
            lease_until_ms = lease_until_ms,
        ),
        Action::Stop { target, task, attempt, .. } => {
            event!(info, "stop-sent", task = task, attempt = attempt, server = target.server);
        }
        Action::Pace { target, task, percent, .. } => {
            event!(info, "pace-sent", task = task, percent = percent, server = target.server);
        }
        Action::Maintain { wave, machine, .. } => {
            event!(info, "upkeep-sent", wave = wave, machine = machine);
        }
        Action::Move { machine, pool, .. } => {
            event!(info, "move-sent", machine = machine, pool = pool);
        }
        Action::Advise { step, servers, .. } => {
            event!(info, "advice-asked", step = step, servers = servers.len());
        }
        Action::ListMachines { .. } => event!(info, "machines-asked"),
        Action::Poll { .. } => {}
    }
}

/// The maximum number of steps of a job, and of the dependencies of each, in one line.
const MAX_LISTED: usize = 32;

/// Formats the steps of a job: number of tasks, CPU in millicores, memory in MB, estimated run time
/// in milliseconds, image, dependencies, and markers: `/fills` for a best-effort step, `/serves`
/// for one with a latency target. Of many, only the first are listed.
fn describe_steps(spec: &JobSpec) -> String {
    let steps = spec.steps.iter().take(MAX_LISTED).map(|step| {
        let after = step.depends_on.iter().take(MAX_LISTED);
        let after: Vec<_> = after.map(ToString::to_string).collect();
        format!(
            "{}x{}m/{}MB/{}ms/{}{}{}<{}",
            step.count,
            step.demand.cpu_millis,
            step.demand.memory_mb,
            step.estimate_ms,
            step.image,
            if step.is_best_effort { "/fills" } else { "" },
            if step.target_ms > 0 { "/serves" } else { "" },
            after.join("+"),
        )
    });
    steps.collect::<Vec<_>>().join(";")
}

/// Logs an input to the engine's decisions.
pub(super) fn log_event(engine_event: &EngineEvent) {
    match engine_event {
        EngineEvent::MachineResponded { machine, pool, response } => event!(
            info,
            "machine-answered",
            machine = machine,
            pool = pool.as_ref().map(ToString::to_string).unwrap_or_default(),
            answer = format!("{response:?}"),
        ),
        EngineEvent::MachinesListed { pool, count, up } => {
            event!(info, "machines-listed", pool = pool, count = count, up = up);
        }
        EngineEvent::MachineReturned { wave, machine, server, down_for } => event!(
            info,
            "machine-returned",
            wave = wave,
            machine = machine,
            server = server.as_ref().map(ToString::to_string).unwrap_or_default(),
            down_ms = down_for.as_millis(),
        ),
        EngineEvent::LeaseExpired {
            server,
            runs,
            lease_until_ms,
            clock_floor_ms,
            known_for,
            is_inherited,
        } => event!(
            info,
            "lease-expired",
            server = server,
            runs = runs,
            lease_until_ms = lease_until_ms,
            clock_floor_ms = clock_floor_ms.unwrap_or(0),
            known_ms = known_for.as_millis(),
            is_inherited = is_inherited,
        ),
        EngineEvent::AnnouncementIgnored { server, pool } => {
            event!(info, "announcement-ignored", server = server, pool = pool);
        }
        EngineEvent::RestartSuspected { server, clock_ms } => {
            event!(info, "backend-server-restart-suspected", server = server, clock_ms = clock_ms);
        }
        EngineEvent::IncarnationReplaced {
            server,
            previous_started_at_ms,
            unanswered,
            carried_over,
            released,
        } => event!(
            info,
            "backend-server-restarted",
            server = server,
            previous_started_at_ms = previous_started_at_ms,
            unanswered = unanswered,
            carried_over = carried_over,
            released = released,
        ),
        EngineEvent::OrderDelay { responses, mean, max, queued } => event!(
            info,
            "order-delay",
            responses = responses,
            mean_ms = mean.as_millis(),
            max_ms = max.as_millis(),
            queued = queued,
        ),
        EngineEvent::Capacity {
            pool,
            available,
            incoming,
            wanted,
            wanted_in_time,
            long_running_cpu_millis,
            running_cpu_millis,
            waiting_cpu_millis,
            arriving_cpu_millis,
        } => event!(
            info,
            "capacity",
            pool = pool,
            has = available,
            coming = incoming,
            wanted = wanted,
            wanted_in_time = wanted_in_time,
            lasting_cpu_millis = long_running_cpu_millis,
            running_cpu_millis = running_cpu_millis,
            waiting_cpu_millis = waiting_cpu_millis,
            arriving_cpu_millis = arriving_cpu_millis,
        ),
    }
}

/// Logs a command that the leader has applied.
pub(super) fn log_applied(index: LogIndex, command: &JobCommand, outcome: &JobOutcome) {
    match command {
        JobCommand::Plan(document) => event!(
            info,
            "plan-applied",
            index = index,
            number = document.plan.number(),
            outcome = format!("{outcome:?}"),
        ),
        JobCommand::Submit { id, queue, .. } if *outcome == JobOutcome::QueueRemoved => event!(
            info,
            "job-not-stored",
            index = index,
            job = id,
            queue = queue,
            reason = "queue-removed",
        ),
        JobCommand::Submit { id, queue, spec, .. } => event!(
            info,
            "job-stored",
            index = index,
            job = id,
            queue = queue,
            times = spec.times,
            step_count = spec.steps.len(),
            steps = describe_steps(spec),
        ),
        JobCommand::Cancel { id, .. } => event!(info, "job-cancelled", index = index, job = id),
        JobCommand::RunsEnded { server, ends, .. } => {
            for end in ends {
                event!(
                    info,
                    "run-ended",
                    task = end.task.map(|task| task.to_string()).unwrap_or_default(),
                    attempt = end.attempt,
                    how = end.kind,
                    server = server,
                );
            }
        }
        JobCommand::Release { task, attempt, reason } => {
            event!(info, "run-released", task = task, attempt = attempt, reason = reason);
        }
        JobCommand::Server(record) => event!(
            info,
            "backend-server-noted",
            server = record.incarnation,
            machine = record.machine.as_ref().map(ToString::to_string).unwrap_or_default(),
            pool = record.pool,
            is_draining = record.is_draining,
            is_provisional = record.is_provisional,
        ),
        JobCommand::ServerSettled(id) => event!(info, "backend-server-settled", server = id),
        JobCommand::ServerGone(id) => event!(info, "backend-server-gone", server = id),
        JobCommand::DataCentre { id, is_out, after } => {
            let is_superseded = *outcome == JobOutcome::Superseded;
            event!(
                info,
                "data-centre",
                index = index,
                id = id,
                is_out = is_out,
                after = after.map(|after| after.to_string()).unwrap_or_default(),
                is_superseded = is_superseded,
            );
        }
        JobCommand::Wave { number, machines, cap, .. } => {
            event!(info, "wave-stored", wave = number, machines = machines.len(), cap = cap);
        }
        JobCommand::MaintenanceStarted { wave, machine } => {
            event!(info, "upkeep-begun", wave = wave, machine = machine);
        }
        JobCommand::MaintenanceFinished { wave, machine } => {
            event!(info, "upkeep-over", wave = wave, machine = machine);
        }
        JobCommand::MaintenanceRefused { wave, machine } => {
            event!(info, "upkeep-refused", wave = wave, machine = machine);
        }
        JobCommand::Start { .. }
        | JobCommand::MaintenanceOrdered { .. }
        | JobCommand::RetentionTick => {}
        JobCommand::Forget(ids) => {
            event!(info, "jobs-forgotten", index = index, jobs = ids.len());
        }
    }
}
