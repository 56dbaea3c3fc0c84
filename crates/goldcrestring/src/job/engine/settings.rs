//! Timing and limits of the engine.

use crate::job::state::OccurrenceLimits;
use std::time::Duration;

/// Timing and limits of the engine.
///
/// # Examples
///
/// ```
/// use goldcrestring::job::EngineSettings;
/// use std::time::Duration;
///
/// let settings = EngineSettings { lease: Duration::from_secs(2), ..EngineSettings::default() };
/// assert!(settings.lease > settings.poll_wait);
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineSettings {
    /// The duration of a lease: how long runs continue if it is not extended. All leaders must use
    /// the same value.
    ///
    /// Long enough for two elections.
    pub lease: Duration,
    /// The longest lease that a backend server grants, whatever end a call asks for.
    pub max_lease: Duration,
    /// How long after it was sent a call may still be carried out.
    pub max_execution_delay: Duration,
    /// How long a backend server may delay the response to a poll while it waits for an end.
    pub poll_wait: Duration,
    /// The same for a backend server that runs only batch tasks, of which only the ends matter.
    pub batch_poll_wait: Duration,
    /// The timeout of a call; for a poll, [`Self::poll_wait`] is added.
    pub call_timeout: Duration,
    /// The delay before a failed call is repeated.
    pub retry_delay: Duration,
    /// The time after which an unanswered order no longer blocks the next ones.
    pub slow_order_threshold: Duration,
    /// The maximum number of unanswered orders per backend server.
    pub max_unanswered_orders: usize,
    /// How long a backend server that refused a start gets no further starts.
    pub refusal_backoff: Duration,
    /// The number of times that an unanswered start is sent before it is abandoned.
    pub max_start_tries: u32,
    /// The interval between two checks of leases, maintenance, capacity, retries and pace.
    pub tick_interval: Duration,
    /// The minimum interval between two scheduling rounds in a fleet of 1,000 backend servers.
    pub round_interval_at_1000: Duration,
    /// The interval between two announcements of a backend server.
    pub announcement_interval: Duration,
    /// How long a backend server may still run tasks after the platform accepted a move of its VM.
    pub move_margin: Duration,
    /// How long a new leader sends no orders for VMs, which is the minimum time between the orders
    /// of two leaders.
    pub maintenance_handover: Duration,
    /// How long batch tasks may continue on a VM that is being drained; twice as long if they have
    /// no checkpoints.
    pub drain_grace: Duration,
    /// How long maintenance of a VM takes.
    pub maintenance_duration: Duration,
    /// How long a long-running task waits for capacity before it preempts batch tasks.
    pub preemption_delay: Duration,
    /// How long an ended job stays known.
    pub retention: Duration,
    /// The memory for the records of jobs, in bytes. From it on, each job has at most one scheduled
    /// occurrence begun beside those that run.
    pub max_record_bytes: u64,
    /// How many due occurrences of one job are considered at once.
    pub occurrence_limits: OccurrenceLimits,
    /// The maximum number of concurrent runs.
    pub max_runs: usize,
    /// The maximum number of concurrent runs on one backend server, which lists all of them in each
    /// report.
    pub max_runs_per_server: usize,
    /// The tail latency from which best-effort tasks are slowed down, in percent of the target.
    pub pace_down_percent: u64,
    /// The tail latency below which best-effort tasks are sped up, in percent of the target.
    pub pace_up_percent: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(3_600),
            max_lease: Duration::from_millis(6_000),
            max_execution_delay: Duration::from_millis(12_500),
            poll_wait: Duration::from_millis(800),
            batch_poll_wait: Duration::from_millis(1_300),
            call_timeout: Duration::from_millis(500),
            retry_delay: Duration::from_millis(150),
            slow_order_threshold: Duration::from_millis(30),
            max_unanswered_orders: 4,
            refusal_backoff: Duration::from_millis(200),
            max_start_tries: 3,
            tick_interval: Duration::from_millis(50),
            round_interval_at_1000: Duration::from_millis(28),
            announcement_interval: Duration::from_millis(1_500),
            move_margin: Duration::from_millis(300),
            maintenance_handover: Duration::from_millis(3_500),
            drain_grace: Duration::from_millis(2_500),
            maintenance_duration: Duration::from_millis(2_000),
            preemption_delay: Duration::from_millis(800),
            retention: Duration::from_secs(120),
            max_record_bytes: 32 << 20,
            occurrence_limits: OccurrenceLimits::default(),
            max_runs: 100_000,
            max_runs_per_server: 10_000,
            pace_down_percent: 85,
            pace_up_percent: 65,
        }
    }
}
