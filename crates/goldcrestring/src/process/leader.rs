//! The work that only the leader does: configuration leases, allowances and replica membership.

use crate::clock::{Uptime, with_clock_drift_margin};
use crate::connection::LeaseTable;
use crate::connection::configuration_lease::{LEASE_DURATION, MAX_RESPONSE_DELAY};
use crate::connection::lease_message::{GrantedLease, LeaseRequest, TargetsDelta, TargetsVersion};
use crate::name::TeamName;
use crate::process::allowance_plan::{Reports, Targets, plan, targets_for};
use crate::process::joining::{IdentityQuery, JoinDecision, JoinRequests};
use crate::process::{Command, Consensus, ControlState, EntryInstance, Membership, ReplicaId};
use crate::quantity::{Revision, Term};
use crate::request::allowance::TeamTarget;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Returns how long after its last request an entry is certain to have no running tasks.
fn retirement_delay(state: &ControlState) -> Duration {
    with_clock_drift_margin(LEASE_DURATION + state.task_bound()) + RETIREMENT_MARGIN
}

/// The time without a response after which a responsive learner replaces a voter that is gone. A new leader
/// counts it from its election, so it is no longer than a leader may be silent.
pub const REPLACE_VOTER_AFTER: Duration = Duration::from_millis(1_200);

/// Allows for the time between a task's deadline and its actual end.
const RETIREMENT_MARGIN: Duration = Duration::from_millis(300);

/// Identifies a pending lease request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LeaseRequestId(u64);

#[derive(Debug)]
struct PendingRequest {
    request: LeaseRequest,
    received_at: Uptime,
    id: LeaseRequestId,
}

/// The state last sent to one entry.
#[derive(Debug)]
struct SentState {
    version: TargetsVersion,
    targets: BTreeMap<TeamName, TeamTarget>,
    in_force: Revision,
}

/// The volatile state of a leader, kept for one term.
///
/// # Examples
///
/// ```
/// use goldcrestring::process::ControlState;
/// use goldcrestring::process::leader::Leader;
/// use std::time::Duration;
///
/// let mut leader = Leader::new(Duration::ZERO);
/// let commands = leader.plan_commands(Duration::from_secs(1), &ControlState::default());
/// assert!(commands.is_empty());
/// ```
#[derive(Debug)]
pub struct Leader {
    leases: LeaseTable,
    reports: Reports,
    targets: Targets,
    pending: Vec<PendingRequest>,
    sent: BTreeMap<EntryInstance, SentState>,
    live: BTreeSet<EntryInstance>,
    leaving: BTreeSet<EntryInstance>,
    has_uncommitted_grants: bool,
    is_plan_due: bool,
    next_request: u64,
    next_sequence: u64,
    /// Since when, and at which revision, the task bound has exceeded the longest queue timeout.
    task_bound_high_since: Option<(Uptime, Revision)>,
    joining: JoinRequests,
}

impl Leader {
    /// Creates the state of a newly elected leader.
    pub fn new(now: Uptime) -> Self {
        Self {
            leases: LeaseTable::new(now),
            reports: Reports::new(),
            targets: Targets::new(),
            pending: Vec::new(),
            sent: BTreeMap::new(),
            live: BTreeSet::new(),
            leaving: BTreeSet::new(),
            has_uncommitted_grants: false,
            is_plan_due: true,
            next_request: 0,
            next_sequence: 1,
            task_bound_high_since: None,
            joining: JoinRequests::default(),
        }
    }

    /// Enqueues a lease request, which is answered by [`Leader::respond`].
    pub fn enqueue_request(&mut self, now: Uptime, request: LeaseRequest) -> LeaseRequestId {
        self.leases.record_request(now, &request.instance, request.revision);
        if request.is_leaving {
            self.leaving.insert(request.instance.clone());
        }
        if !self.leaving.contains(&request.instance) {
            // The first response to an entry must contain targets that account for it.
            self.is_plan_due |= self.live.insert(request.instance.clone());
        }
        self.update_reports(&request);
        self.pending.retain(|pending| pending.request.instance != request.instance);
        let id = LeaseRequestId(self.next_request);
        self.next_request += 1;
        self.pending.push(PendingRequest { request, received_at: now, id });
        id
    }

    fn update_reports(&mut self, request: &LeaseRequest) {
        if request.is_full_report {
            self.reports.insert(request.instance.clone(), request.reports.clone());
            self.is_plan_due = true;
            return;
        }
        if let Some(reports) = self.reports.get_mut(&request.instance) {
            self.is_plan_due |= !request.reports.is_empty();
            reports.extend(request.reports.clone());
        }
    }

    /// Handles a request to join, which may be late: its sender may have been replaced since.
    ///
    /// Returns a query for the replica's node if the answer is needed; pass it to
    /// [`Leader::handle_identity`].
    pub fn handle_join_request(
        &mut self,
        now: Uptime,
        replica: &ReplicaId,
        membership: &Membership,
    ) -> Option<IdentityQuery> {
        self.joining.handle_request(now, replica, membership)
    }

    /// Handles the answer to a query: the replica that the node runs, or `None` if it did not answer.
    pub fn handle_identity(
        &mut self,
        query: IdentityQuery,
        replica: Option<ReplicaId>,
        membership: &Membership,
    ) -> JoinDecision {
        self.joining.handle_identity(query, replica, membership)
    }

    /// Records that a command was applied to the replicated state.
    pub fn record_applied(&mut self, command: &Command) {
        self.is_plan_due = true;
        if matches!(command, Command::Grants(_)) {
            self.has_uncommitted_grants = false;
        }
    }

    /// Returns the revision that is in force on every entry.
    pub fn in_force(&self, now: Uptime, state: &ControlState) -> Revision {
        self.leases.in_force(now, state.configuration().revision())
    }

    /// Answers the pending requests whose entry needs an update or that can't be delayed further.
    ///
    /// Must be called only while the leader's own lease is valid. Otherwise, another leader may
    /// have accepted a change that this one does not know of.
    pub fn respond(
        &mut self,
        now: Uptime,
        term: Term,
        state: &ControlState,
    ) -> Vec<(LeaseRequestId, GrantedLease)> {
        let mut responses = Vec::new();
        let in_force = self.in_force(now, state);
        let pending = std::mem::take(&mut self.pending);
        for pending in pending {
            let instance = &pending.request.instance;
            let targets = targets_for(state.allowances(), &self.targets, instance);
            let sent = self.sent.get(instance);
            let needs_update = pending.request.is_urgent
                || state.configuration().revision() > pending.request.revision
                || sent.is_none_or(|sent| sent.targets != targets || sent.in_force != in_force);
            if !needs_update && now < pending.received_at + MAX_RESPONSE_DELAY {
                self.pending.push(pending);
                continue;
            }
            let delta = state.configuration().delta_since(pending.request.revision);
            let acknowledged = sent.filter(|sent| sent.version == pending.request.targets_seen);
            let version = TargetsVersion { term, sequence: self.next_sequence };
            self.next_sequence += 1;
            let difference = targets_delta(acknowledged, &targets, version);
            let needs_full_report = !self.reports.contains_key(instance);
            // The entry has not applied the delta yet, so the revision that it reported counts.
            self.leases.grant(now, instance, pending.request.revision);
            self.sent.insert(instance.clone(), SentState { version, targets, in_force });
            let granted = GrantedLease {
                lease: LEASE_DURATION,
                delta,
                targets: difference,
                needs_full_report,
                in_force,
            };
            responses.push((pending.id, granted));
        }
        responses
    }

    /// Plans the commands to append: changed grants, the removal of grants of terminated entries,
    /// and the lowering of the bound on task duration.
    pub fn plan_commands(&mut self, now: Uptime, state: &ControlState) -> Vec<Command> {
        let mut commands = Vec::new();
        let terminated = self.terminated_entries(now, state);
        if !terminated.is_empty() {
            for instance in &terminated {
                self.leases.remove(instance);
                self.reports.remove(instance);
                self.sent.remove(instance);
                self.leaving.remove(instance);
            }
            commands.push(Command::Retire(terminated));
        }
        commands.extend(self.lowered_task_bound(now, state));
        if self.is_plan_due {
            let plan = plan(state, &self.reports, &self.live);
            self.targets = plan.targets;
            // Uncommitted grant changes would be planned a second time.
            self.is_plan_due = self.has_uncommitted_grants && !plan.changes.is_empty();
            if !self.has_uncommitted_grants && !plan.changes.is_empty() {
                self.has_uncommitted_grants = true;
                commands.push(Command::Grants(plan.changes));
            }
        }
        commands
    }

    /// Returns the command that lowers the bound on task duration to the longest queue timeout,
    /// once no task with a longer duration can be running.
    fn lowered_task_bound(&mut self, now: Uptime, state: &ControlState) -> Option<Command> {
        let longest = state.configuration().longest_timeout();
        if state.task_bound() <= longest {
            self.task_bound_high_since = None;
            return None;
        }
        let revision = state.configuration().revision();
        let (since, since_revision) = *self.task_bound_high_since.get_or_insert((now, revision));
        if since_revision != revision {
            self.task_bound_high_since = Some((now, revision));
            return None;
        }
        if now <= since + retirement_delay(state) {
            return None;
        }
        self.task_bound_high_since = None;
        Some(Command::LowerTaskBound(longest))
    }

    /// Updates the set of entries with a valid lease, and schedules a new plan if it changed.
    pub fn refresh_live_entries(&mut self, now: Uptime) {
        let live = self.leases.live_entries(now).into_iter();
        let live = live.filter(|instance| !self.leaving.contains(instance)).collect();
        if self.live != live {
            self.live = live;
            self.is_plan_due = true;
        }
    }

    fn terminated_entries(&self, now: Uptime, state: &ControlState) -> Vec<EntryInstance> {
        let delay = retirement_delay(state);
        let has_terminated =
            |instance: &EntryInstance| now > self.leases.last_seen(instance) + delay;
        state.allowances().instances().into_iter().filter(has_terminated).collect()
    }

    /// Returns the next membership change towards `voters_wanted` responsive voters, if any.
    ///
    /// A voter that has not responded for longer than `replace_after` is replaced by a responsive
    /// learner.
    pub fn plan_membership(
        &mut self,
        now: Uptime,
        consensus: &Consensus,
        voters_wanted: usize,
        replace_after: Duration,
    ) -> Option<Membership> {
        let current = consensus.membership();
        let next = self
            .joining
            .next_membership(current)
            .or_else(|| promote(current, consensus, now, voters_wanted))
            .or_else(|| demote_unresponsive(current, consensus, now, voters_wanted, replace_after));
        next.filter(|next| next != current)
    }
}

/// Returns the changes since the targets that an entry has acknowledged, or all targets if the
/// entry has acknowledged none.
fn targets_delta(
    acknowledged: Option<&SentState>,
    targets: &BTreeMap<TeamName, TeamTarget>,
    version: TargetsVersion,
) -> TargetsDelta {
    let Some(acknowledged) = acknowledged else {
        let changed = targets.clone();
        return TargetsDelta { version, is_full: true, changed, removed: Vec::new() };
    };
    let is_new = |(team, target): &(&TeamName, &TeamTarget)| {
        acknowledged.targets.get(*team) != Some(*target)
    };
    let changed = targets.iter().filter(is_new).map(|(team, target)| (team.clone(), *target));
    let removed = acknowledged.targets.keys().filter(|team| !targets.contains_key(*team)).cloned();
    TargetsDelta { version, is_full: false, changed: changed.collect(), removed: removed.collect() }
}

/// The maximum time since its last response for a learner to count as responsive.
const MAX_RESPONSE_AGE: Duration = Duration::from_secs(1);

fn promote(
    current: &Membership,
    consensus: &Consensus,
    now: Uptime,
    voters_wanted: usize,
) -> Option<Membership> {
    if current.voters.len() >= voters_wanted {
        return None;
    }
    let learner = responsive_learner(current, consensus, now)?;
    let mut next = current.clone();
    next.learners.remove(&learner);
    next.voters.insert(learner);
    Some(next)
}

/// Demotes an unresponsive voter to a learner, if a responsive learner can replace it.
fn demote_unresponsive(
    current: &Membership,
    consensus: &Consensus,
    now: Uptime,
    voters_wanted: usize,
    replace_after: Duration,
) -> Option<Membership> {
    if current.voters.len() < voters_wanted {
        return None;
    }
    responsive_learner(current, consensus, now)?;
    let unresponsive = consensus
        .time_since_last_response(now)
        .into_iter()
        .filter(|(replica, elapsed)| current.voters.contains(replica) && *elapsed > replace_after)
        .max_by_key(|(_, elapsed)| *elapsed)
        .map(|(replica, _)| replica)?;
    let mut next = current.clone();
    next.voters.remove(&unresponsive);
    next.learners.insert(unresponsive);
    Some(next)
}

fn responsive_learner(
    current: &Membership,
    consensus: &Consensus,
    now: Uptime,
) -> Option<ReplicaId> {
    let response_ages: BTreeMap<_, _> =
        consensus.time_since_last_response(now).into_iter().collect();
    let is_eligible = |learner: &&ReplicaId| {
        consensus.is_caught_up(learner)
            && response_ages.get(learner).is_some_and(|elapsed| *elapsed < MAX_RESPONSE_AGE)
    };
    current.learners.iter().find(is_eligible).cloned()
}
