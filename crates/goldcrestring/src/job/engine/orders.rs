//! Start, stop and pace orders to backend servers, their responses, and retries.

use super::message::{Action, CallId, EngineEvent, OrderResponse, RefusalReason};
use super::placement::OVERDUE_ORDER_THRESHOLD;
use super::run::RunPhase;
use super::{Engine, PendingCall};
use crate::clock::Uptime;
use crate::job::command::ReleaseReason;
use crate::job::id::{Attempt, ServerId, TaskId};
use crate::job::state::{JobPhase, JobState};

/// An order queued for a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Order {
    Start { task: TaskId, attempt: Attempt },
    Stop { task: TaskId, attempt: Attempt },
    Pace { task: TaskId, attempt: Attempt, percent: u8 },
}

impl Engine {
    /// Handles a committed start command; `is_started` is false if the state rejected it.
    pub(super) fn handle_start_committed(
        &mut self,
        task: &TaskId,
        attempt: Attempt,
        is_started: bool,
    ) {
        let Some(run) = self.runs.get_mut(task) else { return };
        if run.attempt != attempt || run.phase != RunPhase::Proposed {
            return;
        }
        if !is_started {
            self.remove_run(task);
            return;
        }
        run.phase = RunPhase::Ordered;
        let id = run.incarnation.id.clone();
        match self.servers.get_mut(&id) {
            Some(server) => {
                server.queued_orders.push_back(Order::Start { task: *task, attempt });
                self.with_orders.insert(id);
            }
            None => self.release(task, ReleaseReason::Refused),
        }
    }

    /// Stops a run. A run whose start is not committed yet is left alone: its start is abandoned
    /// after the commit if its job has ended.
    pub(super) fn stop_run(&mut self, task: &TaskId) {
        let Some(run) = self.runs.get_mut(task) else { return };
        match run.phase {
            RunPhase::Proposed | RunPhase::Stopping | RunPhase::Releasing => return,
            RunPhase::Ordered | RunPhase::Running => {}
        }
        let start = Order::Start { task: *task, attempt: run.attempt };
        let stop = Order::Stop { task: *task, attempt: run.attempt };
        let is_sent = run.phase == RunPhase::Running || run.has_unanswered_start;
        let id = run.incarnation.id.clone();
        run.phase = RunPhase::Stopping;
        run.retry_at = None;
        run.order_answered_at = None;
        let Some(server) = self.servers.get_mut(&id) else { return };
        let queued_at = server.queued_orders.iter().position(|queued| *queued == start);
        if let Some(position) = queued_at {
            server.queued_orders.remove(position);
            if !is_sent {
                run.phase = RunPhase::Ordered;
                self.release(task, ReleaseReason::Refused);
                return;
            }
        }
        server.queued_orders.push_front(stop);
        self.with_orders.insert(id);
    }

    /// Stops a run that a backend server lists but should not have, unless a stop is queued or
    /// pending.
    pub(super) fn stop_unexpected(&mut self, id: &ServerId, task: TaskId, attempt: Attempt) {
        let is_pending = self.calls.values().any(|call| {
            matches!(call, PendingCall::Stop { task: known, attempt: number, .. }
                if *known == task && *number == attempt)
        });
        let Some(server) = self.servers.get_mut(id) else { return };
        let stop = Order::Stop { task, attempt };
        if !is_pending && !server.queued_orders.contains(&stop) {
            server.queued_orders.push_front(stop);
            self.with_orders.insert(id.clone());
        }
    }

    /// Sends queued orders. Each backend server gets one at a time, and further ones only while all
    /// unanswered ones are slow.
    pub(super) fn send_orders(&mut self, now: Uptime, state: &JobState) {
        let servers = &self.servers;
        self.with_orders
            .retain(|id| servers.get(id).is_some_and(|server| !server.queued_orders.is_empty()));
        let ids: Vec<_> = self.with_orders.iter().cloned().collect();
        for id in ids {
            while self.may_send_order(now, &id) {
                let Some(server) = self.servers.get_mut(&id) else { break };
                let Some(order) = server.queued_orders.pop_front() else { break };
                self.send_order(now, &id, order, state);
            }
        }
    }

    /// Whether all unanswered orders of a backend server are slow and their number is below the
    /// limit.
    fn may_send_order(&self, now: Uptime, id: &ServerId) -> bool {
        let Some(server) = self.servers.get(id) else { return false };
        let is_slow =
            |sent_at: &&Uptime| now.saturating_sub(**sent_at) >= self.settings.slow_order_threshold;
        let slow = server.unanswered_orders.values().filter(is_slow).count();
        server.unanswered_orders.len() == slow && slow < self.settings.max_unanswered_orders
    }

    fn send_order(&mut self, now: Uptime, id: &ServerId, order: Order, state: &JobState) {
        match order {
            Order::Start { task, attempt } => self.send_start(now, id, task, attempt, state),
            Order::Stop { task, attempt } => {
                let server = id.clone();
                let call = self.register_call(PendingCall::Stop { server, task, attempt });
                let Some(server) = self.servers.get_mut(id) else { return };
                server.unanswered_orders.insert(call, now);
                self.output.actions.push(Action::Stop {
                    call,
                    target: server.target(),
                    fence: server.fence,
                    task,
                    attempt,
                    timeout: self.settings.call_timeout,
                });
            }
            Order::Pace { task, attempt, percent } => {
                let server = id.clone();
                let call = self.register_call(PendingCall::Pace { server, task, attempt });
                let Some(server) = self.servers.get_mut(id) else { return };
                server.unanswered_orders.insert(call, now);
                self.output.actions.push(Action::Pace {
                    call,
                    target: server.target(),
                    fence: server.fence,
                    task,
                    attempt,
                    percent,
                    timeout: self.settings.call_timeout,
                });
            }
        }
    }

    fn send_start(
        &mut self,
        now: Uptime,
        id: &ServerId,
        task: TaskId,
        attempt: Attempt,
        state: &JobState,
    ) {
        let is_current =
            |run: &super::Run| run.attempt == attempt && run.phase == RunPhase::Ordered;
        let Some(run) = self.runs.get(&task).filter(|run| is_current(run)) else { return };
        let has_unanswered_start = run.has_unanswered_start;
        let is_wanted = |job: &&crate::job::state::Job| {
            let step = job.step(task.step.occurrence, task.step.step);
            job.phase == JobPhase::Active && !step.is_some_and(|step| step.is_completed(task.index))
        };
        let job = state.job(&task.step.job).filter(is_wanted);
        let server = self.servers.get(id);
        let may_start = server.is_some_and(|server| self.may_start_on(server, state));
        let (Some(job), true) = (job, may_start) else {
            self.abandon_start(&task, has_unanswered_start);
            return;
        };
        let step = job.step(task.step.occurrence, task.step.step);
        let checkpoint = step.and_then(|step| step.next_checkpoint(task.index));
        let payload = std::sync::Arc::clone(&job.spec.payload);
        let lease = self.settings.lease;
        let ticket = self.runs.get(&task).and_then(|run| run.ticket.clone());
        let Some(server) = self.servers.get_mut(id) else { return };
        let Some(lease_until_ms) = server.issue_lease(now, lease) else {
            self.abandon_start(&task, has_unanswered_start);
            return;
        };
        let (target, fence) = (server.target(), server.fence);
        let call = self.register_call(PendingCall::Start { server: id.clone(), task, attempt });
        if let Some(server) = self.servers.get_mut(id) {
            server.unanswered_orders.insert(call, now);
        }
        if let Some(run) = self.runs.get_mut(&task) {
            run.start_tries += 1;
            run.retry_at = None;
            run.started_at = now;
        }
        self.output.actions.push(Action::Start {
            call,
            target,
            fence,
            task,
            attempt,
            payload,
            lease_until_ms,
            checkpoint,
            ticket,
            timeout: self.settings.call_timeout,
        });
    }

    /// Abandons a start: stops the run if the start may have arrived, otherwise releases it.
    fn abandon_start(&mut self, task: &TaskId, may_have_arrived: bool) {
        if may_have_arrived {
            self.stop_run(task);
        } else {
            self.release(task, ReleaseReason::Refused);
        }
    }

    /// Handles the response to an order.
    pub fn handle_order_response(&mut self, now: Uptime, call: CallId, response: OrderResponse) {
        let Some(pending) = self.calls.remove(&call) else { return };
        match pending {
            PendingCall::Start { server, task, attempt } => {
                self.finish_order(now, &server, call, response);
                self.handle_start_response(now, &server, &task, attempt, response);
            }
            PendingCall::Stop { server, task, attempt } => {
                self.finish_order(now, &server, call, response);
                self.handle_stop_response(now, &task, attempt, response);
            }
            PendingCall::Pace { server, task, attempt } => {
                self.finish_order(now, &server, call, response);
                let is_set = matches!(response, OrderResponse::Done { .. });
                let run = self.runs.get_mut(&task).filter(|run| run.attempt == attempt);
                if let Some(run) = run.filter(|_| !is_set) {
                    run.is_pace_known = false;
                }
            }
            PendingCall::Poll { .. }
            | PendingCall::Maintain { .. }
            | PendingCall::Move { .. }
            | PendingCall::ListMachines
            | PendingCall::Advise { .. } => {}
        }
    }

    /// Removes an answered order from the unanswered ones, and polls at once if another incarnation has
    /// answered it.
    fn finish_order(&mut self, now: Uptime, id: &ServerId, call: CallId, response: OrderResponse) {
        let Some(server) = self.servers.get_mut(id) else { return };
        let Some(sent_at) = server.unanswered_orders.remove(&call) else { return };
        let delay = now.saturating_sub(sent_at);
        self.order_delay.record(delay);
        // An overdue order has kept the backend server from getting starts.
        self.is_schedule_due |= delay > OVERDUE_ORDER_THRESHOLD;
        if let OrderResponse::Done { clock_ms: clock_ms @ 1.. } = response
            && !server.may_have_clock(now, sent_at, clock_ms)
        {
            server.suspect_restart(now, &self.settings);
            let incarnation = server.incarnation().clone();
            let event = EngineEvent::RestartSuspected { server: incarnation.clone(), clock_ms };
            self.output.events.push(event);
            if let Some(poll) = server.pending_poll.take() {
                self.calls.remove(&poll.call);
                self.abandon_poll(poll.call, incarnation, poll.sent_at);
                self.unpolled.insert(id.clone());
            }
        }
    }

    fn handle_start_response(
        &mut self,
        now: Uptime,
        id: &ServerId,
        task: &TaskId,
        attempt: Attempt,
        response: OrderResponse,
    ) {
        let refusal_backoff = self.settings.refusal_backoff;
        let retry_delay = self.settings.retry_delay;
        let max_tries = self.settings.max_start_tries;
        let Some(run) = self.runs.get_mut(task) else { return };
        if run.attempt != attempt {
            return;
        }
        match response {
            OrderResponse::Done { .. } | OrderResponse::Refused(RefusalReason::Superseded) => {
                if run.phase == RunPhase::Ordered {
                    run.phase = RunPhase::Running;
                    run.order_answered_at = Some(now);
                } else if run.phase == RunPhase::Running {
                    run.order_answered_at.get_or_insert(now);
                }
            }
            OrderResponse::Refused(reason) => {
                let incarnation = run.incarnation.clone();
                if run.phase == RunPhase::Ordered {
                    let may_have_arrived = run.has_unanswered_start;
                    self.abandon_start(task, may_have_arrived);
                }
                if reason == RefusalReason::InvalidTicket {
                    self.drop_ticket(&task.step, &incarnation);
                } else if let Some(server) = self.servers.get_mut(id) {
                    server.backoff_until = now + refusal_backoff;
                }
            }
            OrderResponse::Lost | OrderResponse::NotSent => {
                run.has_unanswered_start |= response == OrderResponse::Lost;
                if run.phase == RunPhase::Ordered {
                    if run.start_tries < max_tries {
                        run.retry_at = Some(now + retry_delay);
                    } else {
                        let may_have_arrived = run.has_unanswered_start;
                        self.abandon_start(task, may_have_arrived);
                    }
                }
            }
        }
    }

    fn handle_stop_response(
        &mut self,
        now: Uptime,
        task: &TaskId,
        attempt: Attempt,
        response: OrderResponse,
    ) {
        let retry_delay = self.settings.retry_delay;
        let Some(run) = self.runs.get_mut(task) else { return };
        if run.attempt != attempt || run.phase != RunPhase::Stopping {
            return;
        }
        match response {
            OrderResponse::Done { .. } | OrderResponse::Refused(RefusalReason::Superseded) => {
                run.order_answered_at = Some(now);
            }
            OrderResponse::Refused(_) | OrderResponse::Lost | OrderResponse::NotSent => {
                run.retry_at = Some(now + retry_delay);
            }
        }
    }

    /// Queues the start and stop orders whose retry is due.
    pub(super) fn retry_orders(&mut self, now: Uptime) {
        let is_due = |run: &super::Run| run.retry_at.is_some_and(|at| now >= at);
        let due: Vec<_> =
            self.runs.iter().filter(|(_, run)| is_due(run)).map(|(task, _)| *task).collect();
        for task in due {
            let Some(run) = self.runs.get_mut(&task) else { continue };
            run.retry_at = None;
            let attempt = run.attempt;
            let order = match run.phase {
                RunPhase::Ordered => Order::Start { task, attempt },
                RunPhase::Stopping => Order::Stop { task, attempt },
                RunPhase::Proposed | RunPhase::Running | RunPhase::Releasing => continue,
            };
            let id = run.incarnation.id.clone();
            if let Some(server) = self.servers.get_mut(&id)
                && !server.queued_orders.contains(&order)
            {
                server.queued_orders.push_back(order);
                self.with_orders.insert(id);
            }
        }
    }
}
