//! Handles caller requests from arrival to response.

use crate::dispatch::Result;
use crate::entry::{Entry, StartDecision};
use crate::idempotent::{self, ClaimOutcome};
use crate::log::event;
use crate::node::Node;
use goldcrestring::clock::{Uptime, with_clock_drift_margin};
use goldcrestring::name::{QueueName, TeamName, VmId};
use goldcrestring::process::idempotency::{RecordKey, StoredResponse, TaskId};
use goldcrestring::quantity::Revision;
use goldcrestring::request::RequestOutcome;
use goldcrestring::request::admission::AdmissionRequest;
use goldcrestring::request::routing::ServerChoice;
use goldcrestring::version::{PresentedKey, QueueSpec};
use goldcrestring_wire::client::{CallError, Reuse};
use goldcrestring_wire::header;
use goldcrestring_wire::http::{HttpRequest, HttpResponse, Method};
use goldcrestring_wire::problem::Problem;
use goldcrestring_wire::runtime::{sleep, spawn, timeout};
use sha2::{Digest, Sha256};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use uuid::Uuid;

/// Maximum number of backend servers to which one request is sent.
const MAX_ATTEMPTS: usize = 6;

/// Time after a task's deadline for which the task still counts against its team's limit.
const TASK_END_MARGIN: Duration = Duration::from_millis(50);

/// Time reserved for returning the response: the backend server's deadline is this much earlier
/// than the caller's.
const REPLY_MARGIN: Duration = Duration::from_millis(20);

/// A request that passed validation and may be started.
pub(crate) struct ValidatedRequest {
    pub(crate) queue: QueueName,
    pub(crate) spec: QueueSpec,
    /// Team whose limit the request counts against, if any.
    pub(crate) team: Option<TeamName>,
    pub(crate) deadline: Uptime,
    /// Key of the idempotency record. `None` if the queue's requests are idempotent.
    pub(crate) record_key: Option<RecordKey>,
    /// SHA-256 digest of queue and body.
    pub(crate) digest: [u8; 32],
    /// The caller's key, which is checked again before the request is sent.
    presented: Option<PresentedKey>,
    http_request: HttpRequest,
}

/// Counts a request as open until dropped, even if its handler panics.
struct OpenRequest<'a>(&'a Node);

impl<'a> OpenRequest<'a> {
    fn count(node: &'a Node) -> Self {
        node.open_requests.fetch_add(1, Ordering::Relaxed);
        Self(node)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Outcome of one attempt.
enum AttemptOutcome {
    /// The backend server ran the request.
    Completed(HttpResponse),
    /// The backend server did not run the request and will not run it.
    NotRun(String),
    /// The backend server may have run the request.
    Unknown(String),
}

/// Handles a request. The `goldcrestring-outcome` header of the response tells whether it ran.
pub(crate) async fn handle(
    node: &Arc<Node>,
    queue: QueueName,
    http_request: HttpRequest,
) -> HttpResponse {
    let request_id = Uuid::now_v7();
    let started_at = node.now();
    let open = OpenRequest::count(node);
    let served = serve(node, &queue, http_request, request_id).await;
    drop(open);
    let response = served.unwrap_or_else(|problem| problem.to_response());
    let outcome = response.headers.get(header::OUTCOME).map_or("not-run", String::as_str);
    let reason = response.headers.get(header::REASON).map_or("none", String::as_str);
    let elapsed = node.now().saturating_sub(started_at);
    event!(
        info,
        "request",
        request = request_id,
        queue = queue,
        outcome = outcome,
        status = response.status,
        reason = reason,
        elapsed_ms = elapsed.as_millis(),
    );
    let labels = [("queue", queue.to_string()), ("outcome", outcome.to_owned())];
    metrics::counter!("goldcrestring_requests_total", &labels).increment(1);
    metrics::histogram!("goldcrestring_request_seconds", &labels[..1]).record(elapsed);
    response.header(header::REQUEST_ID, request_id.to_string())
}

async fn serve(
    node: &Arc<Node>,
    queue: &QueueName,
    http_request: HttpRequest,
    request_id: Uuid,
) -> Result<HttpResponse> {
    if node.is_stopping() {
        return Err(not_run_problem(503, "stopping", "this entry is shutting down"));
    }
    let request = validate(node, queue, http_request)?;
    node.entry().state.admission.retry_budget.record_request();
    let mut tried = Vec::new();
    let mut last_reason = String::from("no attempt was made");
    // Whether an earlier attempt may have run; a refusal by another server says nothing about it.
    let mut is_open = false;
    while tried.len() < MAX_ATTEMPTS {
        let choice = match wait_for_start(node, &request, &tried).await {
            Ok(choice) => choice,
            // No other server is left to try. The reason given by the last one is more specific
            // than this problem.
            Err(problem) if tried.is_empty() => return Err(problem),
            Err(_) => break,
        };
        log_route(request_id, &request, &choice, tried.len());
        let attempt = u32::try_from(tried.len()).unwrap_or(u32::MAX);
        tried.push(choice.vm.clone());
        let claim = match &request.record_key {
            Some(_) => {
                match idempotent::claim(node, &request, &choice, request_id, attempt).await {
                    Ok(ClaimOutcome::Held(claim)) => Some(claim),
                    Ok(ClaimOutcome::Existing(record)) => {
                        release_task(node, &request, &choice.vm, None);
                        return idempotent::await_earlier_run(node, &request, *record).await;
                    }
                    Err(problem) => {
                        release_task(node, &request, &choice.vm, None);
                        return Err(problem);
                    }
                }
            }
            None => None,
        };
        // Each attempt of an idempotent request gets its own task id, so that a late response to
        // one attempt is never taken for the response to another.
        let task = TaskId(if claim.is_some() { request_id } else { Uuid::now_v7() });
        match dispatch(node, &request, &choice, task, attempt).await {
            AttemptOutcome::Completed(response) => {
                if let Some(claim) = claim {
                    idempotent::complete(node, &request, claim, &response);
                }
                return Ok(response.header(header::OUTCOME, RequestOutcome::Completed.to_string()));
            }
            AttemptOutcome::NotRun(reason) => last_reason = reason,
            AttemptOutcome::Unknown(reason) => {
                let may_retry = request.spec.idempotent
                    && node.now() < request.deadline
                    && node.entry().state.admission.retry_budget.try_retry();
                if !may_retry {
                    let problem = Problem::new(504, "no-answer", reason);
                    return Err(problem.outcome(RequestOutcome::Unknown));
                }
                is_open = true;
                last_reason = reason;
            }
        }
    }
    if is_open {
        let problem = Problem::new(504, "no-answer", last_reason);
        return Err(problem.outcome(RequestOutcome::Unknown));
    }
    if let Some(key) = &request.record_key {
        idempotent::release(node, key, TaskId(request_id)).await;
    }
    Err(not_run_problem(503, "refused-everywhere", &last_reason))
}

/// Validates a request: configuration lease, queue, key, timeout and idempotency key.
fn validate(node: &Node, queue: &QueueName, http_request: HttpRequest) -> Result<ValidatedRequest> {
    let now = node.now();
    let entry = node.entry();
    check_lease(&entry, now)?;
    let spec = entry.state.configuration.queue(queue).cloned();
    let spec = spec.ok_or_else(|| not_run_problem(404, "no-such-queue", queue.as_str()))?;
    let presented = http_request.bearer_token().map(str::parse::<PresentedKey>).transpose();
    let presented =
        presented.map_err(|error| not_run_problem(401, "bad-key", &error.to_string()))?;
    let team = check_key(&entry, &spec, presented.as_ref())?;
    drop(entry);
    let timeout = request_timeout(&http_request, &spec)?;
    let digest = digest(queue, &http_request.body);
    let record_key = match spec.idempotent {
        true => None,
        false => Some(idempotent::record_key(node, &http_request, team.clone())?),
    };
    let deadline = now + timeout;
    let queue = queue.clone();
    Ok(ValidatedRequest {
        queue,
        spec,
        team,
        deadline,
        record_key,
        digest,
        presented,
        http_request,
    })
}

fn check_lease(entry: &Entry, now: Uptime) -> Result<()> {
    if entry.state.lease.is_valid(now) {
        return Ok(());
    }
    let detail = "this entry has no valid configuration lease; try another entry";
    Err(not_run_problem(503, "no-configuration-lease", detail))
}

/// Returns the team whose limit the request counts against, or `None` for a request without a key
/// on an open queue.
fn check_key(
    entry: &Entry,
    spec: &QueueSpec,
    presented: Option<&PresentedKey>,
) -> Result<Option<TeamName>> {
    let Some(presented) = presented else {
        if spec.open {
            return Ok(None);
        }
        return Err(not_run_problem(401, "key-needed", "the queue requires a team's key"));
    };
    let key = entry.state.configuration.authenticate(presented);
    let team = key.and_then(|key| key.team.as_str().parse().ok());
    match team {
        Some(team) => Ok(Some(team)),
        None => Err(not_run_problem(401, "bad-key", "the key is unknown, withdrawn or wrong")),
    }
}

/// Returns the caller's timeout, limited to the queue's.
fn request_timeout(http_request: &HttpRequest, spec: &QueueSpec) -> Result<Duration> {
    let max_timeout = Duration::from_millis(spec.timeout_ms);
    let Some(text) = http_request.headers.get(header::TIMEOUT_MS) else {
        return Ok(max_timeout);
    };
    let requested = text.parse().map(Duration::from_millis);
    let requested = requested.map_err(|error| {
        not_run_problem(400, "bad-timeout", &format!("{}: {error}", header::TIMEOUT_MS))
    })?;
    Ok(requested.min(max_timeout))
}

/// Returns a digest of queue and body, which detects a key reused for a different request.
fn digest(queue: &QueueName, body: &[u8]) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(queue.as_str());
    hash.update([0]);
    hash.update(body);
    hash.finalize().into()
}

/// Waits until a backend server is chosen for the request.
async fn wait_for_start(
    node: &Node,
    request: &ValidatedRequest,
    tried: &[VmId],
) -> Result<ServerChoice> {
    let admission = AdmissionRequest {
        queue: request.queue.clone(),
        team: request.team.clone(),
        deadline: request.deadline,
        tried: tried.to_vec(),
        max_waiting: request.spec.max_waiting,
    };
    let now = node.now();
    let decision = {
        let mut entry = node.entry();
        check_lease(&entry, now)?;
        entry.admit(now, admission)
    };
    let (id, receiver) = match decision {
        StartDecision::Immediate(choice) => return Ok(choice),
        StartDecision::Deferred(id, receiver) => (id, receiver),
        StartDecision::QueueFull => {
            return Err(not_run_problem(429, "queue-full", "too many requests are waiting"));
        }
        StartDecision::NoServer => {
            return Err(not_run_problem(503, "no-server", "no backend server serves the queue"));
        }
    };
    // The leader may be able to grant this entry more units of the team's limit, which other
    // entries do not need.
    let _ = node.lease_wakeup.try_send(());
    let remaining = request.deadline.saturating_sub(now);
    if let Some(Ok(choice)) = timeout(remaining, receiver.recv()).await {
        return Ok(choice);
    }
    if !node.entry().cancel(&request.queue, id)
        && let Ok(choice) = receiver.try_recv()
    {
        return Ok(choice);
    }
    Err(not_run_problem(503, "deadline", "no capacity became available in time"))
}

/// Sends the request to the chosen server, unless it may no longer start there.
async fn dispatch(
    node: &Arc<Node>,
    request: &ValidatedRequest,
    choice: &ServerChoice,
    task: TaskId,
    attempt: u32,
) -> AttemptOutcome {
    let now = node.now();
    let remaining = request.deadline.saturating_sub(now);
    let server = match recheck(node, request, choice, now, remaining) {
        Ok(server) => server,
        Err(reason) => {
            release_task(node, request, &choice.vm, None);
            return AttemptOutcome::NotRun(reason);
        }
    };
    let task_request = build_task_request(node, request, task, attempt, &server);
    let reuse = if request.spec.idempotent { Reuse::Allowed } else { Reuse::Never };
    let result = node.client.call(choice.address, task_request, remaining, reuse).await;
    let attempt = classify_response(result, task);
    record_attempt(node, request, choice, &attempt, now, remaining);
    attempt
}

/// Conditions sent to the backend server along with a task.
struct DispatchConditions {
    /// Boot id of the backend server that was chosen.
    boot: String,
    /// Deadline, in milliseconds of the backend server's uptime.
    end_by_ms: u64,
    /// Revision of the rules under which the task was admitted.
    rule_revision: Revision,
}

/// Checks lease, key and server again immediately before the request is sent.
///
/// # Errors
///
/// Returns the reason why the request must not be sent.
fn recheck(
    node: &Node,
    request: &ValidatedRequest,
    choice: &ServerChoice,
    now: Uptime,
    remaining: Duration,
) -> std::result::Result<DispatchConditions, String> {
    if remaining.is_zero() {
        return Err("deadline".to_owned());
    }
    let entry = node.entry();
    if let Some(reason) = entry.state.start_blocked_reason(now, &choice.vm) {
        return Err(reason.to_owned());
    }
    let team = check_key(&entry, &request.spec, request.presented.as_ref());
    if team.ok() != Some(request.team.clone()) {
        return Err("key-withdrawn".to_owned());
    }
    let Some(server) = entry.state.servers.get(&choice.vm) else {
        return Err("server-forgotten".to_owned());
    };
    Ok(DispatchConditions {
        boot: server.announcement.boot.to_string(),
        end_by_ms: server.server_deadline_ms(now, remaining.saturating_sub(REPLY_MARGIN)),
        rule_revision: entry.state.configuration.rule_revision(),
    })
}

fn build_task_request(
    node: &Node,
    request: &ValidatedRequest,
    task: TaskId,
    attempt: u32,
    conditions: &DispatchConditions,
) -> HttpRequest {
    let mut http_request = HttpRequest::new(Method::Post, format!("/v1/tasks/{task}"))
        .bearer(&node.settings.backend_token)
        .header(header::TASK, task.to_string())
        .header(header::ATTEMPT, attempt.to_string())
        .header(header::QUEUE, request.queue.to_string())
        .header(header::BOOT, conditions.boot.clone())
        .header(header::END_BY_MS, conditions.end_by_ms.to_string())
        .header(header::RULE_REVISION, conditions.rule_revision.to_string())
        .body(request.http_request.body.clone());
    if let Some(team) = &request.team {
        http_request = http_request.header(header::TEAM, team.to_string());
    }
    if let Some(content_type) = request.http_request.headers.get("content-type") {
        http_request = http_request.header("content-type", content_type.clone());
    }
    http_request
}

/// Determines from the backend server's response whether the request ran.
fn classify_response(
    result: std::result::Result<HttpResponse, CallError>,
    task: TaskId,
) -> AttemptOutcome {
    let response = match result {
        Ok(response) => response,
        Err(error) if error.is_not_sent() => return AttemptOutcome::NotRun(error.to_string()),
        Err(error) => return AttemptOutcome::Unknown(error.to_string()),
    };
    if response.headers.get(header::TASK) != Some(&task.to_string()) {
        return AttemptOutcome::Unknown("the response belongs to another task".to_owned());
    }
    let outcome = response.headers.get(header::OUTCOME).and_then(|text| text.parse().ok());
    match outcome {
        Some(RequestOutcome::Completed) => AttemptOutcome::Completed(caller_response(response)),
        Some(RequestOutcome::NotRun) => {
            let reason = response.headers.get(header::REASON).cloned();
            AttemptOutcome::NotRun(reason.unwrap_or_else(|| "refused".to_owned()))
        }
        Some(RequestOutcome::Unknown) | None => AttemptOutcome::Unknown(
            "the backend server did not report the task's outcome".to_owned(),
        ),
    }
}

/// Builds the caller's response from a backend server's response, dropping internal headers.
fn caller_response(response: HttpResponse) -> HttpResponse {
    let content_type = response.headers.get("content-type").cloned();
    let running = response.headers.get(header::RUNNING).cloned();
    let mut forwarded = HttpResponse::new(response.status).body(response.body);
    if let Some(content_type) = content_type {
        forwarded = forwarded.header("content-type", content_type);
    }
    if let Some(running) = running {
        forwarded = forwarded.header(header::RUNNING, running);
    }
    forwarded
}

/// Records the result of an attempt, and releases the task's capacity once it is certain to have
/// ended.
fn record_attempt(
    node: &Arc<Node>,
    request: &ValidatedRequest,
    choice: &ServerChoice,
    attempt: &AttemptOutcome,
    sent_at: Uptime,
    remaining: Duration,
) {
    let vm = &choice.vm;
    match attempt {
        AttemptOutcome::Completed(response) => {
            let running = response.headers.get(header::RUNNING).and_then(|text| text.parse().ok());
            node.entry().state.admission.router.record_success(vm);
            release_task(node, request, vm, running);
        }
        AttemptOutcome::NotRun(reason) => {
            if reason == "full" {
                node.entry().state.admission.router.record_full(node.now(), vm);
            } else {
                record_failure(node, vm, reason);
            }
            release_task(node, request, vm, None);
        }
        AttemptOutcome::Unknown(reason) => {
            record_failure(node, vm, reason);
            // The task may run until its deadline, so its capacity counts as used until then.
            let free_at = sent_at + with_clock_drift_margin(remaining) + TASK_END_MARGIN;
            let (node, team, vm) = (Arc::clone(node), request.team.clone(), vm.clone());
            spawn(async move {
                sleep(free_at.saturating_sub(node.now())).await;
                node.entry().finish(node.now(), team.as_ref(), &vm, None);
            })
            .detach();
        }
    }
}

fn record_failure(node: &Node, vm: &VmId, reason: &str) {
    let is_ejected = node.entry().state.admission.router.record_failure(node.now(), vm);
    if is_ejected {
        event!(warn, "backend-server-ejected", vm = vm, reason = reason);
    }
}

fn release_task(node: &Node, request: &ValidatedRequest, vm: &VmId, running: Option<u32>) {
    node.entry().finish(node.now(), request.team.as_ref(), vm, running);
}

fn log_route(request_id: Uuid, request: &ValidatedRequest, choice: &ServerChoice, attempt: usize) {
    let team = request.team.as_ref().map_or("none", TeamName::as_str);
    event!(
        info,
        "route",
        request = request_id,
        queue = request.queue,
        team = team,
        vm = choice.vm,
        pool = choice.pool,
        in_flight = choice.in_flight,
        candidates = choice.candidates,
        attempt = attempt,
        rule = "power-of-two-choices",
    );
}

/// Creates a problem for a request that has not run and will not run.
pub(crate) fn not_run_problem(status: u16, kind: &str, detail: &str) -> Problem {
    Problem::new(status, kind, detail).outcome(RequestOutcome::NotRun)
}

/// Creates the response to a repeated request from the stored response of the earlier run.
pub(crate) fn replay(stored: StoredResponse) -> HttpResponse {
    let response = HttpResponse::new(stored.status)
        .body(stored.body)
        .header(header::OUTCOME, RequestOutcome::Completed.to_string())
        .header(header::REPLAYED, "true");
    match stored.content_type {
        Some(content_type) => response.header("content-type", content_type),
        None => response,
    }
}
