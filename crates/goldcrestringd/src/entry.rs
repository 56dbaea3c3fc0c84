//! The state of the entry role: what a request is checked against and started by.

use goldcrestring::clock::Uptime;
use goldcrestring::connection::backend_server::AnnouncePlan;
use goldcrestring::connection::{Announcement, BackendServers, HeldLease};
use goldcrestring::name::{QueueName, TeamName, VmId};
use goldcrestring::process::EntryInstance;
use goldcrestring::quantity::Revision;
use goldcrestring::request::TeamReport;
use goldcrestring::request::admission::{Admission, Admitter, Ticket, WaiterId};
use goldcrestring::request::routing::Choice;
use goldcrestring::version::Configuration;
use goldcrestring_wire::message::{Granted, LeaseCall, TargetsDelta, TargetsVersion};
use std::collections::BTreeMap;

/// What one entry knows and decides by.
pub(crate) struct Entry {
    pub(crate) lease: HeldLease,
    pub(crate) configuration: Configuration,
    pub(crate) admitter: Admitter,
    pub(crate) servers: BackendServers,
    pub(crate) in_force: Revision,
    waiters: BTreeMap<WaiterId, smol::channel::Sender<Choice>>,
    teams: BTreeMap<WaiterId, Option<TeamName>>,
    routed_generation: u64,
    routed_revision: Revision,
    targets_seen: TargetsVersion,
    needs_full_report: bool,
    is_leaving: bool,
    sent_reports: BTreeMap<TeamName, TeamReport>,
    answered_reports: BTreeMap<TeamName, TeamReport>,
}

/// What becomes of a request that asks to start.
pub(crate) enum Start {
    /// It starts on this server.
    Now(Choice),
    /// It waits for a server to be chosen.
    Later(WaiterId, smol::channel::Receiver<Choice>),
    /// The queue is full.
    QueueFull,
    /// No server serves the queue.
    NoServer,
}

impl Entry {
    /// An entry without a lease, which starts nothing.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            lease: HeldLease::default(),
            configuration: Configuration::default(),
            admitter: Admitter::new(seed),
            servers: BackendServers::default(),
            in_force: Revision::ZERO,
            waiters: BTreeMap::new(),
            teams: BTreeMap::new(),
            routed_generation: 0,
            routed_revision: Revision::ZERO,
            targets_seen: TargetsVersion::default(),
            needs_full_report: true,
            is_leaving: false,
            sent_reports: BTreeMap::new(),
            answered_reports: BTreeMap::new(),
        }
    }

    /// Takes a granted lease with what changed since the last one.
    pub(crate) fn apply(&mut self, now: Uptime, sent_at: Uptime, granted: Granted) {
        if granted.delta.revision < self.configuration.revision() {
            return;
        }
        self.needs_full_report = granted.needs_full_report;
        self.answered_reports = std::mem::take(&mut self.sent_reports);
        self.configuration.absorb(granted.delta);
        self.in_force = self.in_force.max(granted.in_force);
        let weights = self.configuration.teams();
        let weights = weights.into_iter().map(|(team, spec)| (team, spec.weight)).collect();
        self.admitter.set_weights(weights);
        self.apply_targets(granted.targets);
        self.lease.renew(sent_at, granted.lease);
        self.pump(now);
    }

    /// The call for the next lease.
    ///
    /// Reports name only the teams that changed since the last answered call, unless the leader
    /// asked for all of them.
    pub(crate) fn lease_call(&mut self, instance: &EntryInstance, is_urgent: bool) -> LeaseCall {
        let reports = self.admitter.allowances.report();
        let is_full_report = self.needs_full_report;
        let is_new = |team: &TeamName, report: &TeamReport| {
            is_full_report || self.answered_reports.get(team) != Some(report)
        };
        let changed = reports.iter().filter(|(team, report)| is_new(team, report));
        let changed = changed.map(|(team, report)| (team.clone(), *report)).collect();
        self.sent_reports = reports;
        LeaseCall {
            instance: instance.clone(),
            revision: self.configuration.revision(),
            is_urgent,
            is_leaving: self.is_leaving,
            is_full_report,
            reports: changed,
            targets_seen: self.targets_seen,
        }
    }

    /// Gives back all units that no task uses, and takes no more.
    pub(crate) fn leave(&mut self) {
        self.is_leaving = true;
        self.admitter.allowances.surrender();
    }

    /// Takes an announcement; returns whether it brought news for routing.
    pub(crate) fn announce(
        &mut self,
        now: Uptime,
        plan: AnnouncePlan,
        announcement: Announcement,
    ) -> bool {
        let vm = announcement.vm.clone();
        let running = announcement.running;
        let is_news = self.servers.announce(now, plan.lease(), announcement);
        self.admitter.router.note_running(&vm, running);
        self.pump(now);
        is_news
    }

    /// Forgets backend servers whose lease ran out.
    pub(crate) fn expire(&mut self, now: Uptime) -> Vec<VmId> {
        let expired = self.servers.expire(now);
        self.pump(now);
        expired
    }

    /// Asks to start a request.
    pub(crate) fn request(&mut self, now: Uptime, ticket: Ticket) -> Start {
        self.refresh_routes();
        let team = ticket.team.clone();
        match self.admitter.request(now, ticket) {
            Admission::Start(choice) => Start::Now(choice),
            Admission::Wait(id) => {
                let (sender, receiver) = smol::channel::bounded(1);
                self.waiters.insert(id, sender);
                self.teams.insert(id, team);
                Start::Later(id, receiver)
            }
            Admission::QueueFull => Start::QueueFull,
            Admission::NoServer => Start::NoServer,
        }
    }

    /// Forgets a waiting request; returns whether it still waited.
    pub(crate) fn cancel(&mut self, queue: &QueueName, id: WaiterId) -> bool {
        self.waiters.remove(&id);
        self.teams.remove(&id);
        self.admitter.cancel(queue, id)
    }

    /// Gives back what a task used, and starts what waited for it.
    pub(crate) fn finish(
        &mut self,
        now: Uptime,
        team: Option<&TeamName>,
        vm: &VmId,
        running: Option<u32>,
    ) {
        self.admitter.router.finish(vm, running);
        self.admitter.finish(team);
        self.pump(now);
    }

    /// Starts what can start; without a lease, nothing.
    pub(crate) fn pump(&mut self, now: Uptime) {
        self.refresh_routes();
        if !self.lease.is_valid(now) {
            return;
        }
        for (id, choice) in self.admitter.poll(now) {
            let team = self.teams.remove(&id).flatten();
            let vm = choice.vm.clone();
            let is_taken = match self.waiters.remove(&id) {
                Some(sender) => sender.try_send(choice).is_ok(),
                None => false,
            };
            if !is_taken {
                self.admitter.router.finish(&vm, None);
                self.admitter.finish(team.as_ref());
            }
        }
    }

    fn apply_targets(&mut self, targets: TargetsDelta) {
        if self.is_leaving {
            return;
        }
        if targets.is_full {
            self.admitter.allowances.update_all(targets.changed);
        } else {
            self.admitter.allowances.update(targets.changed, &targets.removed);
        }
        self.targets_seen = targets.version;
    }

    /// Works the routes out anew when configuration or servers changed.
    fn refresh_routes(&mut self) {
        let generation = self.servers.generation();
        let revision = self.configuration.rule_revision();
        if generation == self.routed_generation && revision == self.routed_revision {
            return;
        }
        self.admitter.router.rebuild(&self.configuration, &self.servers);
        self.routed_generation = generation;
        self.routed_revision = revision;
    }
}
