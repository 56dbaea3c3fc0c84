//! Operators' requests about jobs, handled by the leader.

use super::Replica;
use super::requests::PendingReply;
use crate::fleet::leader_client::LeaderAnswer;
use crate::replicated_log::ReplySender;
use goldcrestring::clock::Uptime;
use goldcrestring::job::view::JobView;
use goldcrestring::job::{FleetPlan, JobCommand, JobId, JobState};
use goldcrestring_wire::job_message::{
    JobExplanation, JobList, NotRunReason, OperatorJob, OperatorRequest, OperatorResponse,
};
use std::sync::Arc;

impl Replica {
    pub(super) fn handle_operator(
        &mut self,
        now: Uptime,
        request: OperatorRequest,
        reply: ReplySender<OperatorResponse>,
    ) {
        if !self.is_leading(now) {
            let leader = self.remote_leader();
            let _ = reply.try_send(OperatorResponse::NotLeader { leader });
            return;
        }
        let job = match &request {
            OperatorRequest::Submit { id, .. } => Some(*id),
            _ => None,
        };
        let is_pending = job.is_some_and(|job| self.pending.is_submitted(job));
        let response = match self.operator_command(now, request) {
            // The pending submission may be another job with the same ID; the request is repeated
            // and finds the stored one.
            Ok(_) if is_pending => OperatorResponse::Unknown,
            Ok(command) => {
                self.pending.add(command, PendingReply::Operator(reply));
                return;
            }
            Err(response) if is_pending && response.is_refusal() => OperatorResponse::Unknown,
            Err(response) => response,
        };
        let _ = reply.try_send(response);
    }

    /// Returns the command for a request that changes jobs.
    ///
    /// # Errors
    ///
    /// Returns the response if the request needs no command or is rejected.
    fn operator_command(
        &self,
        now: Uptime,
        request: OperatorRequest,
    ) -> Result<JobCommand, OperatorResponse> {
        let state = self.log.state.jobs();
        let command = match request {
            OperatorRequest::Read(id) => {
                let view = state.job(&id).map(|job| Box::new(JobView::of(id, job)));
                return Err(view.map_or(OperatorResponse::UnknownJob, OperatorResponse::Job));
            }
            OperatorRequest::List(filter) => {
                return Err(OperatorResponse::Jobs(JobList { jobs: filter.list(state) }));
            }
            OperatorRequest::Explain(id) => return Err(self.explain(now, id)),
            OperatorRequest::Cancel(id) if !self.may_cancel(id) => {
                return Err(OperatorResponse::NotRun(NotRunReason::RecordFull));
            }
            OperatorRequest::Cancel(id) => JobCommand::Cancel { id, at_ms: self.node.unix_ms() },
            OperatorRequest::Submit { id, job } => self.operator_submit(id, *job)?,
        };
        if self.has_enough_voters() {
            Ok(command)
        } else {
            Err(OperatorResponse::NotRun(NotRunReason::TooFewReplicas))
        }
    }

    fn operator_submit(&self, id: JobId, job: OperatorJob) -> Result<JobCommand, OperatorResponse> {
        let state = self.log.state.jobs();
        let plan = state.plan().ok_or(OperatorResponse::NotRun(NotRunReason::NoPlan))?;
        let queue = plan.queue(&job.queue).ok_or(OperatorResponse::UnknownQueue)?;
        let is_known = match &job.team {
            Some(team) => plan.team(team).is_some(),
            None => queue.is_open,
        };
        if !is_known {
            return Err(OperatorResponse::UnknownTeam);
        }
        job.spec.validate().map_err(|error| OperatorResponse::Invalid(error.to_string()))?;
        if let Some(known) = state.job(&id) {
            let is_same =
                known.queue == job.queue && known.team == job.team && *known.spec == job.spec;
            return Err(if is_same {
                OperatorResponse::Accepted
            } else {
                OperatorResponse::IdTaken
            });
        }
        if !self.has_record_space(JobState::bytes_to_store(&job.spec)) {
            return Err(OperatorResponse::NotRun(NotRunReason::RecordFull));
        }
        let (queue, team, spec) = (job.queue, job.team, Arc::new(job.spec));
        Ok(JobCommand::Submit { id, queue, team, spec, at_ms: self.node.unix_ms() })
    }

    fn explain(&self, now: Uptime, id: JobId) -> OperatorResponse {
        let Some(leader_state) = &self.leader_state else {
            return OperatorResponse::NotLeader { leader: None };
        };
        let state = self.log.state.jobs();
        let findings = leader_state.engine.explain_job(now, self.node.unix_ms(), id, state);
        findings.map_or(OperatorResponse::UnknownJob, |findings| {
            OperatorResponse::Explanation(JobExplanation {
                term: self.log.consensus.term().get(),
                plan: state.plan().map_or(0, FleetPlan::number),
                findings: findings.iter().map(ToString::to_string).collect(),
            })
        })
    }
}
