//! Requests handled by the leader. Some get a response immediately, others after a commit.

#[cfg(test)]
mod tests;

use super::Replica;
use crate::fleet::callers::response_name;
use crate::fleet::leader_client::LeaderAnswer;
use crate::log::event;
use crate::replicated_log::ReplySender;
use goldcrestring::clock::Uptime;
use goldcrestring::job::plan::Queue;
use goldcrestring::job::state::{CANCELLED_ID_BYTES, Job, JobOutcome, JobPhase, ServerRecord};
use goldcrestring::job::{FleetPlan, JobCommand, JobId, JobState};
use goldcrestring::name::NodeId;
use goldcrestring::quantity::{LogIndex, Term};
use goldcrestring_wire::job_message::{
    FleetRequest, FleetResponse, JobProgress, JobRequest, JobResponse, JobVerb, NotRunReason,
    OperatorResponse,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum memory that the records of one batch of commands will take, in bytes, unless a single one
/// takes more. A larger entry might not reach the other replicas within the timeout of a request.
const MAX_BATCH_RECORD_BYTES: u64 = 1 << 20;

/// The reply channel of a command, or `None` if nobody waits for its outcome.
pub(super) enum PendingReply {
    Job(ReplySender<JobResponse>),
    Fleet(ReplySender<FleetResponse>),
    Operator(ReplySender<OperatorResponse>),
    None,
}

/// Commands waiting to be proposed or committed, with their reply channels.
#[derive(Default)]
pub(super) struct PendingCommands {
    /// Commands for the next batch.
    queued: Vec<(JobCommand, PendingReply)>,
    /// Reply channels of the batch that is being proposed.
    proposing: Vec<PendingCommand>,
    /// Reply channels of batches waiting to be committed, by log index, with the term of their
    /// proposal.
    proposed: BTreeMap<LogIndex, (Term, Vec<PendingCommand>)>,
    /// Jobs whose submission is pending, with the reply channels of repeated submissions.
    submissions: BTreeMap<JobId, Vec<PendingReply>>,
    /// The memory that the records of all pending commands will take, in bytes, roughly.
    record_bytes: u64,
}

/// A command that was taken for a batch.
struct PendingCommand {
    /// The job that the command submits.
    job: Option<JobId>,
    /// The memory that its record will take, in bytes, roughly.
    record_bytes: u64,
    reply: PendingReply,
}

impl PendingCommand {
    fn new(command: &JobCommand, reply: PendingReply) -> Self {
        Self { job: submitted_job(command), record_bytes: record_bytes(command), reply }
    }
}

impl PendingCommands {
    /// Adds a command without a reply channel.
    pub(super) fn add_internal(&mut self, command: JobCommand) {
        self.queued.push((command, PendingReply::None));
    }

    /// Adds a command with a reply channel.
    pub(super) fn add(&mut self, command: JobCommand, reply: PendingReply) {
        if let Some(job) = submitted_job(&command) {
            self.submissions.entry(job).or_default();
        }
        self.record_bytes = self.record_bytes.saturating_add(record_bytes(&command));
        self.queued.push((command, reply));
    }

    /// The memory that the records of all pending commands will take, in bytes, roughly.
    pub(super) const fn record_bytes(&self) -> u64 {
        self.record_bytes
    }

    /// Whether a submission of the job is pending, so that the job may be stored at any moment.
    pub(super) fn is_submitted(&self, job: JobId) -> bool {
        self.submissions.contains_key(&job)
    }

    /// Adds a repeated submission, which gets the outcome of the pending one. Returns whether there
    /// is one.
    pub(super) fn add_repeated(&mut self, job: JobId, reply: PendingReply) -> bool {
        let replies = self.submissions.get_mut(&job);
        replies.map(|replies| replies.push(reply)).is_some()
    }

    /// Returns the response that is true for all submissions of a job: while one is pending, a
    /// refusal of another would be false if that one commits.
    pub(super) fn true_response(&self, job: Option<JobId>, response: JobResponse) -> JobResponse {
        match job {
            Some(job) if response.is_refusal() && self.is_submitted(job) => JobResponse::Unknown,
            _ => response,
        }
    }

    /// Calls `respond` with the reply channels of a command.
    fn respond(&mut self, command: PendingCommand, respond: impl Fn(PendingReply)) {
        self.record_bytes = self.record_bytes.saturating_sub(command.record_bytes);
        respond(command.reply);
        let repeated = command.job.and_then(|job| self.submissions.remove(&job));
        repeated.into_iter().flatten().for_each(respond);
    }

    /// Takes queued commands for the next batch, as many as [`MAX_BATCH_RECORD_BYTES`] allows. They must
    /// come first in that batch, since outcomes are matched to replies by position.
    pub(super) fn take_batch(&mut self) -> Vec<JobCommand> {
        let mut bytes = 0_u64;
        let has_space = |(command, _): &&(JobCommand, PendingReply)| {
            bytes = bytes.saturating_add(record_bytes(command));
            bytes <= MAX_BATCH_RECORD_BYTES
        };
        let count = self.queued.iter().take_while(has_space).count().max(1);
        let count = count.min(self.queued.len());
        let (commands, pending) = self
            .queued
            .drain(..count)
            .map(|(command, reply)| {
                let pending = PendingCommand::new(&command, reply);
                (command, pending)
            })
            .unzip();
        self.proposing = pending;
        commands
    }

    /// Records the log index and term at which the batch was proposed.
    pub(super) fn record_proposed(&mut self, index: LogIndex, term: Term) {
        let replies = std::mem::take(&mut self.proposing);
        if !replies.is_empty() {
            self.proposed.insert(index, (term, replies));
        }
    }

    /// Rejects the batch because this replica is not the leader.
    pub(super) fn reject(&mut self, leader: Option<NodeId>) {
        for command in std::mem::take(&mut self.proposing) {
            self.respond(command, |reply| reply.redirect(leader.clone()));
        }
    }

    /// Fails all pending commands when leadership is lost; the outcome of those already proposed is
    /// unknown.
    pub(super) fn fail_all(&mut self) {
        for (command, reply) in std::mem::take(&mut self.queued) {
            let pending = PendingCommand::new(&command, reply);
            self.respond(pending, |reply| reply.redirect(None));
        }
        for (_, commands) in std::mem::take(&mut self.proposed).into_values() {
            for command in commands {
                self.respond(command, PendingReply::fail_unknown);
            }
        }
    }

    /// Responds to the requests whose commands were in an applied entry.
    ///
    /// If the entry at that index is from another term, the batch was replaced and its outcome is
    /// reported as unknown.
    pub(super) fn complete(&mut self, index: LogIndex, term: Term, outcomes: &[JobOutcome]) {
        let Some((proposed_term, commands)) = self.proposed.remove(&index) else { return };
        let is_own = proposed_term == term;
        for (position, command) in commands.into_iter().enumerate() {
            match outcomes.get(position).filter(|_| is_own) {
                Some(outcome) => self.respond(command, |reply| reply.complete(outcome)),
                None => self.respond(command, PendingReply::fail_unknown),
            }
        }
    }
}

/// Returns the job that a command submits.
const fn submitted_job(command: &JobCommand) -> Option<JobId> {
    match command {
        JobCommand::Submit { id, .. } => Some(*id),
        _ => None,
    }
}

/// Returns the memory that the record of a command will take, in bytes, roughly.
fn record_bytes(command: &JobCommand) -> u64 {
    match command {
        JobCommand::Submit { spec, .. } => JobState::bytes_to_store(spec),
        JobCommand::Cancel { .. } => CANCELLED_ID_BYTES,
        _ => 0,
    }
}

impl PendingReply {
    fn complete(self, outcome: &JobOutcome) {
        match self {
            Self::Job(reply) => {
                let _ = reply.try_send(match outcome {
                    JobOutcome::Submitted { .. } => JobResponse::Accepted,
                    JobOutcome::QueueRemoved => {
                        JobResponse::NotRun { reason: NotRunReason::QueueRemoved }
                    }
                    JobOutcome::Cancelled { is_known: true } => JobResponse::Cancelled,
                    _ => JobResponse::UnknownJob,
                });
            }
            Self::Fleet(reply) => {
                let _ = reply.try_send(match outcome {
                    JobOutcome::Superseded => {
                        FleetResponse::Unavailable(NotRunReason::MaybeReplaced)
                    }
                    _ => FleetResponse::Done,
                });
            }
            Self::Operator(reply) => {
                let _ = reply.try_send(match outcome {
                    JobOutcome::Submitted { .. } => OperatorResponse::Accepted,
                    JobOutcome::QueueRemoved => OperatorResponse::UnknownQueue,
                    JobOutcome::Cancelled { is_known: true } => OperatorResponse::Cancelled,
                    _ => OperatorResponse::UnknownJob,
                });
            }
            Self::None => {}
        }
    }

    fn fail_unknown(self) {
        match self {
            Self::Job(reply) => drop(reply.try_send(JobResponse::Unknown)),
            Self::Fleet(reply) => {
                drop(reply.try_send(FleetResponse::Unavailable(NotRunReason::NoLeader)));
            }
            Self::Operator(reply) => drop(reply.try_send(OperatorResponse::Unknown)),
            Self::None => {}
        }
    }

    fn redirect(self, leader: Option<NodeId>) {
        match self {
            Self::Job(reply) => drop(reply.try_send(JobResponse::NotLeader { leader })),
            Self::Fleet(reply) => drop(reply.try_send(FleetResponse::NotLeader { leader })),
            Self::Operator(reply) => drop(reply.try_send(OperatorResponse::NotLeader { leader })),
            Self::None => {}
        }
    }
}

/// Time after which a caller's request that has waited for the leader's thread is refused: its entry is
/// about to give up.
const MAX_CALL_WAIT: Duration = Duration::from_millis(500);

impl Replica {
    /// Returns whether a commit survives the configured number of replica failures.
    pub(super) fn has_enough_voters(&self) -> bool {
        self.log.consensus.membership().quorum() > self.node.settings().tolerated_failures
    }

    /// Returns whether the record has space for `bytes` more, beside what is pending.
    pub(super) fn has_record_space(&self, bytes: u64) -> bool {
        let stored = self.log.state.jobs().record_bytes();
        let taken = stored.saturating_add(self.pending.record_bytes());
        taken.saturating_add(bytes) <= self.node.settings().max_record_bytes()
    }

    /// Returns whether a job may be cancelled: always if it is known or its submission is pending,
    /// otherwise if the record has space for its ID.
    pub(super) fn may_cancel(&self, id: JobId) -> bool {
        let state = self.log.state.jobs();
        state.job(&id).is_some()
            || state.cancelled_ids().contains_key(&id)
            || self.pending.is_submitted(id)
            || self.has_record_space(CANCELLED_ID_BYTES)
    }

    pub(super) fn handle_job(
        &mut self,
        now: Uptime,
        received_at: Uptime,
        request: JobRequest,
        reply: ReplySender<JobResponse>,
    ) {
        let response = if self.is_leading(now) {
            let (number, job) = (request.request, request.submitted_job());
            let is_late = now.saturating_sub(received_at) > MAX_CALL_WAIT;
            let response = if is_late {
                Some(JobResponse::NotRun { reason: NotRunReason::Overloaded })
            } else {
                self.job_response(request, &reply)
            };
            response.map(|response| self.checked_response(number, job, response))
        } else {
            Some(JobResponse::NotLeader { leader: self.remote_leader() })
        };
        if let Some(response) = response {
            let _ = reply.try_send(response);
        }
    }

    /// Checks and logs the response to a submission.
    fn checked_response(
        &self,
        request: u64,
        job: Option<JobId>,
        response: JobResponse,
    ) -> JobResponse {
        let Some(id) = job.filter(|_| response.is_refusal()) else { return response };
        event!(
            info,
            "job-refused",
            request = request,
            job = id,
            answer = response_name(&response),
            plan = self.log.state.jobs().plan().map_or(0, FleetPlan::number),
            is_pending = self.pending.is_submitted(id),
        );
        self.pending.true_response(job, response)
    }

    /// Returns the leader if it is another process.
    pub(super) fn remote_leader(&self) -> Option<NodeId> {
        self.leader_node().filter(|leader| *leader != self.node.id)
    }

    /// Returns the response if it is available immediately. Otherwise queues a command; the
    /// response is sent after its commit.
    fn job_response(
        &mut self,
        request: JobRequest,
        reply: &ReplySender<JobResponse>,
    ) -> Option<JobResponse> {
        let Some(plan) = self.log.state.jobs().plan() else {
            return Some(JobResponse::NotRun { reason: NotRunReason::NoPlan });
        };
        let Some(queue) = plan.queue_for(&request.host, &request.path) else {
            return Some(JobResponse::UnknownQueue);
        };
        let team = request.key.as_deref().and_then(|key| plan.team_of_key(key)).cloned();
        if team.is_none() && !queue.is_open {
            return Some(JobResponse::UnknownKey);
        }
        let suffix = &request.path[queue.prefix.len()..];
        let id = match (suffix, &request.verb) {
            ("", JobVerb::Read) => {
                return Some(JobResponse::Pending(self.log.state.jobs().pending_job_count(queue)));
            }
            (suffix, _) => match suffix.parse::<JobId>() {
                Ok(id) => id,
                Err(_) => return Some(JobResponse::UnknownQueue),
            },
        };
        let known = self.log.state.jobs().job_in_queue(&id, queue);
        let at_ms = self.node.unix_ms();
        let command =
            match request.verb {
                JobVerb::Malformed(problem) => return Some(JobResponse::Malformed(problem)),
                JobVerb::Read => {
                    return Some(known.map_or(JobResponse::UnknownJob, |job| {
                        JobResponse::Progress(progress(job))
                    }));
                }
                JobVerb::Submit(spec) => {
                    if known.is_some() {
                        return Some(JobResponse::Accepted);
                    }
                    if let Err(error) = spec.validate() {
                        return Some(JobResponse::Malformed(error.to_string()));
                    }
                    if self.pending.add_repeated(id, PendingReply::Job(reply.clone())) {
                        return None;
                    }
                    if !self.has_record_space(JobState::bytes_to_store(&spec)) {
                        return Some(JobResponse::NotRun { reason: NotRunReason::RecordFull });
                    }
                    JobCommand::Submit { id, queue: queue_name(queue), team, spec, at_ms }
                }
                JobVerb::Cancel if !self.may_cancel(id) => {
                    return Some(JobResponse::NotRun { reason: NotRunReason::RecordFull });
                }
                JobVerb::Cancel => JobCommand::Cancel { id, at_ms },
            };
        if !self.has_enough_voters() {
            return Some(JobResponse::NotRun { reason: NotRunReason::TooFewReplicas });
        }
        self.pending.add(command, PendingReply::Job(reply.clone()));
        None
    }

    pub(super) fn handle_fleet(
        &mut self,
        now: Uptime,
        request: FleetRequest,
        reply: ReplySender<FleetResponse>,
    ) {
        let response = if self.is_leading(now) {
            self.fleet_response(now, request, &reply)
        } else {
            Some(self.follower_response(now, &request))
        };
        if let Some(response) = response {
            let _ = reply.try_send(response);
        }
    }

    /// Answers an announcement that says nothing new; all other requests are the leader's.
    fn follower_response(&mut self, now: Uptime, request: &FleetRequest) -> FleetResponse {
        if let FleetRequest::Announce(record) = request {
            let contact_age = self.log.consensus.leader_contact_age(now);
            if self.announcements.absorb(record, contact_age, self.log.state.jobs()) {
                return FleetResponse::Done;
            }
        }
        FleetResponse::NotLeader { leader: self.remote_leader() }
    }

    fn fleet_response(
        &mut self,
        now: Uptime,
        request: FleetRequest,
        reply: &ReplySender<FleetResponse>,
    ) -> Option<FleetResponse> {
        let command = match request {
            FleetRequest::ReadPlan => {
                let document = self.log.state.jobs().plan_document();
                let unavailable = FleetResponse::Unavailable(NotRunReason::NoPlan);
                let response =
                    document.map(|document| FleetResponse::Document(document.document.clone()));
                return Some(response.unwrap_or(unavailable));
            }
            FleetRequest::ReadWave(number) => {
                let wave = self.log.state.jobs().waves().get(&number);
                let response =
                    wave.map(|wave| FleetResponse::Wave { is_completed: wave.is_completed() });
                return Some(response.unwrap_or(FleetResponse::NotFound));
            }
            FleetRequest::Announce(record) => return self.handle_announcement(now, &record, reply),
            FleetRequest::Deregister(id) => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.engine.handle_leave(&id);
                }
                return Some(FleetResponse::Done);
            }
            FleetRequest::Announced(servers) => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.engine.handle_announced(now, &servers);
                }
                return Some(FleetResponse::Done);
            }
            FleetRequest::Plan(document) => {
                let current = self.log.state.jobs().plan().map(FleetPlan::number);
                if current.is_some_and(|current| current >= document.plan.number()) {
                    return Some(FleetResponse::Done);
                }
                JobCommand::Plan(document)
            }
            FleetRequest::DataCentre { id, is_out, after } => {
                JobCommand::DataCentre { id, is_out, after }
            }
            FleetRequest::Wave { number, machines, cap, deadline_ms } => {
                let deadline_ms = self.node.unix_ms().saturating_add(deadline_ms);
                JobCommand::Wave { number, machines, cap, deadline_ms }
            }
        };
        if !self.has_enough_voters() {
            return Some(FleetResponse::Unavailable(NotRunReason::TooFewReplicas));
        }
        self.pending.add(command, PendingReply::Fleet(reply.clone()));
        None
    }

    /// Handles an announcement. The response to a draining backend server is sent only after its
    /// record is committed.
    fn handle_announcement(
        &mut self,
        now: Uptime,
        record: &ServerRecord,
        reply: &ReplySender<FleetResponse>,
    ) -> Option<FleetResponse> {
        let Some(leader_state) = &mut self.leader_state else {
            return Some(FleetResponse::NotLeader { leader: None });
        };
        let command = leader_state.engine.handle_announcement(now, record, self.log.state.jobs());
        let Some(command) = command else { return Some(FleetResponse::Done) };
        if record.is_draining {
            self.pending.add(command, PendingReply::Fleet(reply.clone()));
            return None;
        }
        self.pending.add_internal(command);
        Some(FleetResponse::Done)
    }
}

fn queue_name(queue: &Queue) -> goldcrestring::job::QueueId {
    queue.name.clone()
}

fn progress(job: &Job) -> JobProgress {
    match job.phase {
        JobPhase::Active if job.has_started() => JobProgress::Running,
        JobPhase::Active => JobProgress::Queued,
        phase => JobProgress::Ended(phase),
    }
}
