//! Names of the HTTP headers that goldcrestring reads and writes.

/// The caller's key, or the token of a peer or operator.
pub const AUTHORIZATION: &str = "authorization";

/// The attempt number of a task, counted from zero.
pub const ATTEMPT: &str = "goldcrestring-attempt";

/// The boot id of the backend server instance that a task is assigned to.
pub const BOOT: &str = "goldcrestring-boot";

/// The deadline of a task, in milliseconds of the backend server's uptime.
pub const END_BY_MS: &str = "goldcrestring-end-by-ms";

/// The idempotency key, which distinguishes a retry from a new request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The outcome of a request: `completed`, `not-run` or `unknown`.
pub const OUTCOME: &str = "goldcrestring-outcome";

/// The queue of a task.
pub const QUEUE: &str = "goldcrestring-queue";

/// The reason why a request was not run.
pub const REASON: &str = "goldcrestring-reason";

/// Marks a response that is replayed from an earlier request with the same idempotency key.
pub const REPLAYED: &str = "goldcrestring-replayed";

/// The request id in logs, responses and tasks.
pub const REQUEST_ID: &str = "goldcrestring-request-id";

/// The revision of the configuration rules under which a task was placed.
pub const RULE_REVISION: &str = "goldcrestring-rule-revision";

/// The number of tasks that a backend server is running.
pub const RUNNING: &str = "goldcrestring-running";

/// The task id; a backend server echoes it in its response.
pub const TASK: &str = "goldcrestring-task";

/// The team of a task.
pub const TEAM: &str = "goldcrestring-team";

/// The caller's timeout, in milliseconds.
pub const TIMEOUT_MS: &str = "goldcrestring-timeout-ms";
