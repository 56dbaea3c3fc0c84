//! The duties of a leader: configuration leases, allowances, and the membership of replicas.

use crate::clock::{Uptime, with_clock_drift_margin};
use crate::connection::LeaseTable;
use crate::connection::configuration_lease::LEASE_DURATION;
use crate::connection::lease_message::{GrantedLease, LeaseCall, TargetsDelta, TargetsVersion};
use crate::name::TeamName;
use crate::process::allowance_plan::{Reports, Targets, plan, targets_for};
use crate::process::{Command, Consensus, ControlState, EntryInstance, Membership, ReplicaId};
use crate::quantity::{Revision, Term};
use crate::request::allowance::TeamTarget;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long the leader keeps a call while there is nothing to tell.
///
/// Two holds and two round trips fit into a lease, so an idle entry never loses its lease.
const HOLD: Duration = Duration::from_millis(650);

/// How long after its last sign of life an entry process can have nothing running any more.
fn retire_after(state: &ControlState) -> Duration {
    with_clock_drift_margin(LEASE_DURATION + state.task_bound()) + RETIRE_MARGIN
}

/// Covers the time from a reached deadline to the end of its task.
const RETIRE_MARGIN: Duration = Duration::from_millis(300);

/// Identifies a call that waits for its answer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallId(u64);

#[derive(Debug)]
struct Parked {
    call: LeaseCall,
    since: Uptime,
    id: CallId,
}

/// What one entry was last told.
#[derive(Debug)]
struct Told {
    version: TargetsVersion,
    targets: BTreeMap<TeamName, TeamTarget>,
    in_force: Revision,
}

/// What a leader keeps in memory for its term.
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
    parked: Vec<Parked>,
    told: BTreeMap<EntryInstance, Told>,
    live: BTreeSet<EntryInstance>,
    leaving: BTreeSet<EntryInstance>,
    has_grants_under_way: bool,
    is_plan_due: bool,
    next_call: u64,
    next_sequence: u64,
    /// Since when, and at which revision, tasks may have longer than any queue now allows.
    task_bound_high_since: Option<(Uptime, Revision)>,
    joining: BTreeSet<ReplicaId>,
}

impl Leader {
    /// A leader that was elected now.
    pub fn new(now: Uptime) -> Self {
        Self {
            leases: LeaseTable::new(now),
            reports: Reports::new(),
            targets: Targets::new(),
            parked: Vec::new(),
            told: BTreeMap::new(),
            live: BTreeSet::new(),
            leaving: BTreeSet::new(),
            has_grants_under_way: false,
            is_plan_due: true,
            next_call: 0,
            next_sequence: 1,
            task_bound_high_since: None,
            joining: BTreeSet::new(),
        }
    }

    /// Takes a call for a lease; it is answered by [`Leader::answer`].
    pub fn enqueue_call(&mut self, now: Uptime, call: LeaseCall) -> CallId {
        self.leases.record_request(now, &call.instance, call.revision);
        if call.is_leaving {
            self.leaving.insert(call.instance.clone());
        }
        if !self.leaving.contains(&call.instance) {
            // The first answer must name targets that take this entry into account.
            self.is_plan_due |= self.live.insert(call.instance.clone());
        }
        self.take_reports(&call);
        self.parked.retain(|parked| parked.call.instance != call.instance);
        let id = CallId(self.next_call);
        self.next_call += 1;
        self.parked.push(Parked { call, since: now, id });
        id
    }

    fn take_reports(&mut self, call: &LeaseCall) {
        if call.is_full_report {
            self.reports.insert(call.instance.clone(), call.reports.clone());
            self.is_plan_due = true;
            return;
        }
        if let Some(reports) = self.reports.get_mut(&call.instance) {
            self.is_plan_due |= !call.reports.is_empty();
            reports.extend(call.reports.clone());
        }
    }

    /// Notes a replica with a new disk.
    pub fn add_joining(&mut self, replica: ReplicaId) {
        self.joining.insert(replica);
    }

    /// Notes that the replicated state changed.
    pub fn record_applied(&mut self, command: &Command) {
        self.is_plan_due = true;
        if matches!(command, Command::Grants(_)) {
            self.has_grants_under_way = false;
        }
    }

    /// The revision in force on every entry.
    pub fn in_force(&self, now: Uptime, state: &ControlState) -> Revision {
        self.leases.in_force(now, state.configuration().revision())
    }

    /// Answers the calls that have waited long enough or for which there is news.
    ///
    /// The process calls this only while the leader's own lease is valid: then no other leader can
    /// have accepted a change that this one does not know.
    pub fn answer(
        &mut self,
        now: Uptime,
        term: Term,
        state: &ControlState,
    ) -> Vec<(CallId, GrantedLease)> {
        let mut answers = Vec::new();
        let in_force = self.in_force(now, state);
        let parked = std::mem::take(&mut self.parked);
        for parked in parked {
            let instance = &parked.call.instance;
            let targets = targets_for(state.allowances(), &self.targets, instance);
            let told = self.told.get(instance);
            let is_news = parked.call.is_urgent
                || state.configuration().revision() > parked.call.revision
                || told.is_none_or(|told| told.targets != targets || told.in_force != in_force);
            if !is_news && now < parked.since + HOLD {
                self.parked.push(parked);
                continue;
            }
            let delta = state.configuration().delta_since(parked.call.revision);
            let known = told.filter(|told| told.version == parked.call.targets_seen);
            let version = TargetsVersion { term, sequence: self.next_sequence };
            self.next_sequence += 1;
            let difference = targets_delta(known, &targets, version);
            let needs_full_report = !self.reports.contains_key(instance);
            // The entry has applied only what it reported; the next call says more.
            self.leases.grant(now, instance, parked.call.revision);
            self.told.insert(instance.clone(), Told { version, targets, in_force });
            let granted = GrantedLease {
                lease: LEASE_DURATION,
                delta,
                targets: difference,
                needs_full_report,
                in_force,
            };
            answers.push((parked.id, granted));
        }
        answers
    }

    /// Works out what to append: moved allowances, and the end of those of dead entries.
    pub fn plan_commands(&mut self, now: Uptime, state: &ControlState) -> Vec<Command> {
        let mut commands = Vec::new();
        let retired = self.retired(now, state);
        if !retired.is_empty() {
            for instance in &retired {
                self.leases.forget(instance);
                self.reports.remove(instance);
                self.told.remove(instance);
                self.leaving.remove(instance);
            }
            commands.push(Command::Retire(retired));
        }
        commands.extend(self.lowered_task_bound(now, state));
        if self.is_plan_due {
            let plan = plan(state, &self.reports, &self.live);
            self.targets = plan.targets;
            // Changes that are not yet committed would be planned a second time.
            self.is_plan_due = self.has_grants_under_way && !plan.changes.is_empty();
            if !self.has_grants_under_way && !plan.changes.is_empty() {
                self.has_grants_under_way = true;
                commands.push(Command::Grants(plan.changes));
            }
        }
        commands
    }

    /// Lowers the bound on the time of tasks once none with a longer time can run any more.
    fn lowered_task_bound(&mut self, now: Uptime, state: &ControlState) -> Option<Command> {
        let longest = state.configuration().longest_timeout();
        if state.task_bound() <= longest {
            self.task_bound_high_since = None;
            return None;
        }
        let revision = state.configuration().revision();
        let (since, at) = *self.task_bound_high_since.get_or_insert((now, revision));
        if at != revision {
            self.task_bound_high_since = Some((now, revision));
            return None;
        }
        if now <= since + retire_after(state) {
            return None;
        }
        self.task_bound_high_since = None;
        Some(Command::LowerTaskBound(longest))
    }

    /// Lets the next plan take into account who lives.
    pub fn refresh_live_entries(&mut self, now: Uptime) {
        let live = self.leases.live(now).into_iter();
        let live = live.filter(|instance| !self.leaving.contains(instance)).collect();
        if self.live != live {
            self.live = live;
            self.is_plan_due = true;
        }
    }

    fn retired(&self, now: Uptime, state: &ControlState) -> Vec<EntryInstance> {
        let after = retire_after(state);
        let is_gone = |instance: &EntryInstance| now > self.leases.last_seen(instance) + after;
        state.allowances().instances().into_iter().filter(is_gone).collect()
    }

    /// The next step towards a full set of live voters, where one is needed.
    pub fn plan_membership(
        &mut self,
        now: Uptime,
        consensus: &Consensus,
        voters_wanted: usize,
        replace_after: Duration,
    ) -> Option<Membership> {
        let current = consensus.membership();
        self.joining.retain(|replica| !current.contains(replica));
        let next = self
            .take_in(current)
            .or_else(|| promote(current, consensus, now, voters_wanted))
            .or_else(|| demote_silent(current, consensus, now, voters_wanted, replace_after));
        next.filter(|next| next != current)
    }

    /// Takes a replica with a new disk in as a learner, in place of the same node's old disk.
    fn take_in(&self, current: &Membership) -> Option<Membership> {
        let replica = self.joining.first()?;
        let mut next = current.clone();
        next.voters.retain(|known| known.node != replica.node);
        next.learners.retain(|known| known.node != replica.node);
        next.learners.insert(replica.clone());
        (!next.voters.is_empty()).then_some(next)
    }
}

/// What an entry lacks, given what it was last told; everything when that is not known.
fn targets_delta(
    known: Option<&Told>,
    targets: &BTreeMap<TeamName, TeamTarget>,
    version: TargetsVersion,
) -> TargetsDelta {
    let Some(known) = known else {
        let changed = targets.clone();
        return TargetsDelta { version, is_full: true, changed, removed: Vec::new() };
    };
    let is_new =
        |(team, target): &(&TeamName, &TeamTarget)| known.targets.get(*team) != Some(*target);
    let changed = targets.iter().filter(is_new).map(|(team, target)| (team.clone(), *target));
    let removed = known.targets.keys().filter(|team| !targets.contains_key(*team)).cloned();
    TargetsDelta { version, is_full: false, changed: changed.collect(), removed: removed.collect() }
}

/// A learner counts as live when it answered this recently.
const LIVE: Duration = Duration::from_secs(1);

fn promote(
    current: &Membership,
    consensus: &Consensus,
    now: Uptime,
    voters_wanted: usize,
) -> Option<Membership> {
    if current.voters.len() >= voters_wanted {
        return None;
    }
    let learner = live_learner(current, consensus, now)?;
    let mut next = current.clone();
    next.learners.remove(&learner);
    next.voters.insert(learner);
    Some(next)
}

/// Makes a voter that has been silent for long a learner, when another learner can replace it.
fn demote_silent(
    current: &Membership,
    consensus: &Consensus,
    now: Uptime,
    voters_wanted: usize,
    replace_after: Duration,
) -> Option<Membership> {
    if current.voters.len() < voters_wanted {
        return None;
    }
    live_learner(current, consensus, now)?;
    let silent = consensus
        .time_since_last_response(now)
        .into_iter()
        .filter(|(replica, silence)| current.voters.contains(replica) && *silence > replace_after)
        .max_by_key(|(_, silence)| *silence)
        .map(|(replica, _)| replica)?;
    let mut next = current.clone();
    next.voters.remove(&silent);
    next.learners.insert(silent);
    Some(next)
}

fn live_learner(current: &Membership, consensus: &Consensus, now: Uptime) -> Option<ReplicaId> {
    let silence: BTreeMap<_, _> = consensus.time_since_last_response(now).into_iter().collect();
    let is_ready = |learner: &&ReplicaId| {
        consensus.is_caught_up(learner)
            && silence.get(learner).is_some_and(|silence| *silence < LIVE)
    };
    current.learners.iter().find(is_ready).cloned()
}
