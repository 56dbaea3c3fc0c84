//! Times of the engine.

use std::time::Duration;

/// Times of the engine.
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
    /// How long what runs may go on without news from the leader; the same for all leaders.
    ///
    /// Two elections fit into it.
    pub lease: Duration,
    /// How long a backend server may keep a look waiting for an end.
    pub poll_wait: Duration,
    /// How long a call may take beyond what the backend server may keep it waiting.
    pub call_timeout: Duration,
    /// The pause before a call that failed is tried again.
    pub retry_delay: Duration,
    /// The time after which an unanswered order no longer keeps the next ones back.
    pub slow_order_threshold: Duration,
    /// The most unanswered orders at one backend server.
    pub max_unanswered_orders: usize,
    /// How long a backend server that refused a start for want of room gets no other.
    pub refusal_backoff: Duration,
    /// How often an unanswered start is repeated before the run is given up.
    pub max_start_tries: u32,
    /// The time between two looks at leases, upkeep and retries.
    pub tick_interval: Duration,
    /// The time between two announcements of a backend server.
    pub announcement_interval: Duration,
    /// How long after its farewell a backend server may still run something.
    pub leave_margin: Duration,
    /// How long a new leader leaves VMs alone, so that two holders never take turns faster.
    pub maintenance_handover: Duration,
    /// How long a VM that is to go down may finish what can't be checkpointed.
    pub drain_grace: Duration,
    /// How long a VM is down for its upkeep.
    pub maintenance_duration: Duration,
    /// How long a task that lasts waits for room before others are stopped for it.
    pub preemption_delay: Duration,
    /// The share of a serving task's target above which filling tasks slow down, in percent.
    pub pace_down_percent: u64,
    /// The share of a serving task's target below which filling tasks speed up, in percent.
    pub pace_up_percent: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(3_600),
            poll_wait: Duration::from_millis(800),
            call_timeout: Duration::from_millis(500),
            retry_delay: Duration::from_millis(150),
            slow_order_threshold: Duration::from_millis(30),
            max_unanswered_orders: 4,
            refusal_backoff: Duration::from_millis(200),
            max_start_tries: 3,
            tick_interval: Duration::from_millis(50),
            announcement_interval: Duration::from_millis(1_500),
            leave_margin: Duration::from_millis(300),
            maintenance_handover: Duration::from_millis(3_500),
            drain_grace: Duration::from_millis(2_500),
            maintenance_duration: Duration::from_millis(2_000),
            preemption_delay: Duration::from_millis(800),
            pace_down_percent: 85,
            pace_up_percent: 65,
        }
    }
}
