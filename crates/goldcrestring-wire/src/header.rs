//! Names of the headers that goldcrestring reads and writes.

/// Carries the caller's key or a peer's or operator's token.
pub const AUTHORIZATION: &str = "authorization";

/// Names the attempt of a task, from zero.
pub const ATTEMPT: &str = "goldcrestring-attempt";

/// Names the start of a backend server for which a task is meant.
pub const BOOT: &str = "goldcrestring-boot";

/// Tells a backend server when a task must have ended, in milliseconds of its own uptime.
pub const END_BY_MS: &str = "goldcrestring-end-by-ms";

/// Names one request of a caller, so that a resend is told from a second request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Tells the outcome: `completed`, `not-run` or `unknown`.
pub const OUTCOME: &str = "goldcrestring-outcome";

/// Names the queue of a task.
pub const QUEUE: &str = "goldcrestring-queue";

/// Tells why a request was not run.
pub const REASON: &str = "goldcrestring-reason";

/// Says that an answer is that of an earlier request under the same key.
pub const REPLAYED: &str = "goldcrestring-replayed";

/// Names a request in logs, answers and tasks.
pub const REQUEST_ID: &str = "goldcrestring-request-id";

/// Tells a backend server the revision of the rules under which a task was placed.
pub const RULE_REVISION: &str = "goldcrestring-rule-revision";

/// Tells how many tasks a backend server runs.
pub const RUNNING: &str = "goldcrestring-running";

/// Names the task; a backend server's answer echoes it.
pub const TASK: &str = "goldcrestring-task";

/// Names the team of a task.
pub const TEAM: &str = "goldcrestring-team";

/// The time that a caller grants, in milliseconds.
pub const TIMEOUT_MS: &str = "goldcrestring-timeout-ms";
