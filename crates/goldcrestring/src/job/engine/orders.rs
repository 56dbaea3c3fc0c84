//! Orders to backend servers: starts and stops, their answers, and what is repeated.

use super::message::{Action, CallId, OrderAnswer, RefusalReason};
use super::run::RunPhase;
use super::{Engine, PendingCall};
use crate::clock::Uptime;
use crate::job::command::ReleaseReason;
use crate::job::id::{Attempt, ServerId, TaskId};
use crate::job::state::{JobPhase, JobState};

/// An order that waits to be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Order {
    Start { task: TaskId, attempt: Attempt },
    Stop { task: TaskId, attempt: Attempt },
    Pace { task: TaskId, attempt: Attempt, percent: u8 },
}

impl Engine {
    /// Notes that a start is committed, or can't be any more.
    pub(super) fn note_start(&mut self, task: &TaskId, attempt: Attempt, is_started: bool) {
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
            Some(server) => server.queue.push_back(Order::Start { task: *task, attempt }),
            None => self.release(task, ReleaseReason::Refused),
        }
    }

    /// Stops a run, whatever its phase.
    pub(super) fn stop_run(&mut self, task: &TaskId) {
        let Some(run) = self.runs.get_mut(task) else { return };
        match run.phase {
            RunPhase::Proposed | RunPhase::Stopping | RunPhase::Releasing => return,
            RunPhase::Ordered | RunPhase::Running => {}
        }
        let order = Order::Start { task: *task, attempt: run.attempt };
        let stop = Order::Stop { task: *task, attempt: run.attempt };
        let is_sent = run.phase == RunPhase::Running || run.has_unanswered_start;
        let id = run.incarnation.id.clone();
        run.phase = RunPhase::Stopping;
        run.retry_at = None;
        run.settled_at = None;
        let Some(server) = self.servers.get_mut(&id) else { return };
        let waits = server.queue.iter().position(|queued| *queued == order);
        if let Some(position) = waits {
            server.queue.remove(position);
            if !is_sent {
                run.phase = RunPhase::Ordered;
                self.release(task, ReleaseReason::Refused);
                return;
            }
        }
        server.queue.push_front(stop);
    }

    /// Stops a run that the backend server lists and the leader does not want there.
    pub(super) fn stop_stray(&mut self, id: &ServerId, task: TaskId, attempt: Attempt) {
        let is_pending = self.calls.values().any(|call| {
            matches!(call, PendingCall::Stop { task: known, attempt: number, .. }
                if *known == task && *number == attempt)
        });
        let Some(server) = self.servers.get_mut(id) else { return };
        let stop = Order::Stop { task, attempt };
        if !is_pending && !server.queue.contains(&stop) {
            server.queue.push_front(stop);
        }
    }

    /// Sends waiting orders, one after the other at each backend server while it answers fast.
    pub(super) fn pump_orders(&mut self, now: Uptime, state: &JobState) {
        let ids: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, server)| !server.queue.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            while self.has_free_lane(now, &id) {
                let Some(server) = self.servers.get_mut(&id) else { break };
                let Some(order) = server.queue.pop_front() else { break };
                self.send_order(now, &id, order, state);
            }
        }
    }

    fn has_free_lane(&self, now: Uptime, id: &ServerId) -> bool {
        let Some(server) = self.servers.get(id) else { return false };
        let is_slow =
            |sent_at: &&Uptime| now.saturating_sub(**sent_at) >= self.settings.slow_order_threshold;
        let slow = server.lanes.values().filter(is_slow).count();
        server.lanes.len() == slow && slow < self.settings.max_unanswered_orders
    }

    fn send_order(&mut self, now: Uptime, id: &ServerId, order: Order, state: &JobState) {
        match order {
            Order::Start { task, attempt } => self.send_start(now, id, task, attempt, state),
            Order::Stop { task, attempt } => {
                let server = id.clone();
                let call = self.call(PendingCall::Stop { server, task, attempt });
                let Some(server) = self.servers.get_mut(id) else { return };
                server.lanes.insert(call, now);
                self.output.actions.push(Action::Stop {
                    call,
                    target: server.target(),
                    fence: self.term.get(),
                    task,
                    attempt,
                    timeout: self.settings.call_timeout,
                });
            }
            Order::Pace { task, attempt, percent } => {
                let server = id.clone();
                let call = self.call(PendingCall::Pace { server, task, attempt });
                let Some(server) = self.servers.get_mut(id) else { return };
                server.lanes.insert(call, now);
                self.output.actions.push(Action::Pace {
                    call,
                    target: server.target(),
                    fence: self.term.get(),
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
        let is_wanted = |run: &super::Run| run.attempt == attempt && run.phase == RunPhase::Ordered;
        let Some(run) = self.runs.get(&task).filter(|run| is_wanted(run)) else { return };
        let has_unanswered_start = run.has_unanswered_start;
        let job = state.job(&task.step.job).filter(|job| job.phase == JobPhase::Active);
        let server = self.servers.get(id);
        let may_start = server.is_some_and(|server| self.may_start_on(server, state));
        let (Some(job), true) = (job, may_start) else {
            self.give_up_start(&task, has_unanswered_start);
            return;
        };
        let step = job.step(task.step.occurrence, task.step.step);
        let checkpoint = step.and_then(|step| step.next_checkpoint(task.index));
        let payload = std::sync::Arc::clone(&job.spec.payload);
        let lease = self.settings.lease;
        let ticket = self.runs.get(&task).and_then(|run| run.ticket.clone());
        let Some(server) = self.servers.get_mut(id) else { return };
        let Some(lease_until_ms) = server.issue(now, lease) else {
            self.give_up_start(&task, has_unanswered_start);
            return;
        };
        let target = server.target();
        let call = self.call(PendingCall::Start { server: id.clone(), task, attempt });
        if let Some(server) = self.servers.get_mut(id) {
            server.lanes.insert(call, now);
        }
        if let Some(run) = self.runs.get_mut(&task) {
            run.start_tries += 1;
            run.retry_at = None;
            run.started_at = now;
        }
        self.output.actions.push(Action::Start {
            call,
            target,
            fence: self.term.get(),
            task,
            attempt,
            payload,
            lease_until_ms,
            checkpoint,
            ticket,
            timeout: self.settings.call_timeout,
        });
    }

    /// Gives up a start: at once where it never left, else after a stop that keeps it from coming.
    fn give_up_start(&mut self, task: &TaskId, may_have_arrived: bool) {
        if may_have_arrived {
            self.stop_run(task);
        } else {
            self.release(task, ReleaseReason::Refused);
        }
    }

    /// Takes the answer to an order.
    pub fn handle_order_answer(&mut self, now: Uptime, call: CallId, answer: OrderAnswer) {
        let Some(pending) = self.calls.remove(&call) else { return };
        self.is_schedule_due = true;
        match pending {
            PendingCall::Start { server, task, attempt } => {
                self.note_lane(now, &server, call, answer);
                self.note_start_answer(now, &server, &task, attempt, answer);
            }
            PendingCall::Stop { server, task, attempt } => {
                self.note_lane(now, &server, call, answer);
                self.note_stop_answer(now, &task, attempt, answer);
            }
            PendingCall::Pace { server, task, attempt } => {
                self.note_lane(now, &server, call, answer);
                let is_told = matches!(answer, OrderAnswer::Done { .. });
                let run = self.runs.get_mut(&task).filter(|run| run.attempt == attempt);
                if let Some(run) = run.filter(|_| !is_told) {
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

    fn note_lane(&mut self, now: Uptime, id: &ServerId, call: CallId, answer: OrderAnswer) {
        let Some(server) = self.servers.get_mut(id) else { return };
        if server.lanes.remove(&call).is_none() {
            return;
        }
        if let OrderAnswer::Done { clock_ms: clock_ms @ 1.. } = answer {
            server.read_clock(now, clock_ms);
        }
    }

    fn note_start_answer(
        &mut self,
        now: Uptime,
        id: &ServerId,
        task: &TaskId,
        attempt: Attempt,
        answer: OrderAnswer,
    ) {
        let refusal_backoff = self.settings.refusal_backoff;
        let retry_delay = self.settings.retry_delay;
        let max_tries = self.settings.max_start_tries;
        let Some(run) = self.runs.get_mut(task) else { return };
        if run.attempt != attempt {
            return;
        }
        match answer {
            OrderAnswer::Done { .. } | OrderAnswer::Refused(RefusalReason::Superseded) => {
                if run.phase == RunPhase::Ordered {
                    run.phase = RunPhase::Running;
                    run.settled_at = Some(now);
                } else if run.phase == RunPhase::Running {
                    run.settled_at.get_or_insert(now);
                }
            }
            OrderAnswer::Refused(reason) => {
                let incarnation = run.incarnation.clone();
                if run.phase == RunPhase::Ordered {
                    let may_have_arrived = run.has_unanswered_start;
                    self.give_up_start(task, may_have_arrived);
                }
                if reason == RefusalReason::InvalidTicket {
                    self.drop_ticket(&task.step, &incarnation);
                } else if let Some(server) = self.servers.get_mut(id) {
                    server.refused_until = now + refusal_backoff;
                }
            }
            OrderAnswer::Lost | OrderAnswer::NotSent => {
                run.has_unanswered_start |= answer == OrderAnswer::Lost;
                if run.phase == RunPhase::Ordered {
                    if run.start_tries < max_tries {
                        run.retry_at = Some(now + retry_delay);
                    } else {
                        let may_have_arrived = run.has_unanswered_start;
                        self.give_up_start(task, may_have_arrived);
                    }
                }
            }
        }
    }

    fn note_stop_answer(
        &mut self,
        now: Uptime,
        task: &TaskId,
        attempt: Attempt,
        answer: OrderAnswer,
    ) {
        let retry_delay = self.settings.retry_delay;
        let Some(run) = self.runs.get_mut(task) else { return };
        if run.attempt != attempt || run.phase != RunPhase::Stopping {
            return;
        }
        match answer {
            OrderAnswer::Done { .. } | OrderAnswer::Refused(RefusalReason::Superseded) => {
                run.settled_at = Some(now);
            }
            OrderAnswer::Refused(_) | OrderAnswer::Lost | OrderAnswer::NotSent => {
                run.retry_at = Some(now + retry_delay);
            }
        }
    }

    /// Sends orders again that got no answer.
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
                && !server.queue.contains(&order)
            {
                server.queue.push_back(order);
            }
        }
    }
}
