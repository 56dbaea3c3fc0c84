//! The state on which an entry bases its decisions.

use crate::clock::Uptime;
use crate::connection::backend_server::AnnouncementSchedule;
use crate::connection::{
    Announcement, BackendServers, GrantedLease, HeldLease, LeaseRequest, TargetsDelta,
    TargetsVersion,
};
use crate::name::{DataCentreName, TeamName, VmId};
use crate::process::EntryInstance;
use crate::quantity::Revision;
use crate::request::admission::{Admission, AdmissionController, AdmissionRequest, WaiterId};
use crate::request::allowance::TeamReport;
use crate::request::routing::ServerChoice;
use crate::version::Configuration;
use std::collections::BTreeMap;

/// The state of an entry.
///
/// # Examples
///
/// ```
/// use goldcrestring::request::EntryState;
/// use std::time::Duration;
///
/// let mut entry = EntryState::new(1);
/// assert!(!entry.lease.is_valid(Duration::ZERO), "an entry without a lease starts nothing");
/// assert!(entry.poll(Duration::ZERO).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct EntryState {
    /// The configuration lease.
    pub lease: HeldLease,
    /// The latest configuration that was received.
    pub configuration: Configuration,
    /// The admission controller, which holds the waiting requests.
    pub admission: AdmissionController,
    /// The registered backend servers.
    pub servers: BackendServers,
    /// The latest known revision that is in force on every entry.
    pub in_force: Revision,
    /// The generation of the servers from which the routes were built.
    routed_generation: u64,
    /// The placement generation of the configuration from which the routes were built.
    routed_placement: u64,
    targets_seen: TargetsVersion,
    needs_full_report: bool,
    is_leaving: bool,
    sent_reports: BTreeMap<TeamName, TeamReport>,
    acknowledged_reports: BTreeMap<TeamName, TeamReport>,
}

impl EntryState {
    /// Creates an entry without a lease; `seed` seeds its random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            lease: HeldLease::default(),
            configuration: Configuration::default(),
            admission: AdmissionController::new(seed),
            servers: BackendServers::default(),
            in_force: Revision::ZERO,
            routed_generation: 0,
            routed_placement: 0,
            targets_seen: TargetsVersion::default(),
            needs_full_report: true,
            is_leaving: false,
            sent_reports: BTreeMap::new(),
            acknowledged_reports: BTreeMap::new(),
        }
    }

    /// Creates the request that renews the lease.
    ///
    /// Reports contain only the teams that changed since the last answered request, unless the
    /// leader requested a full report.
    pub fn lease_request(&mut self, instance: &EntryInstance, is_urgent: bool) -> LeaseRequest {
        let reports = self.admission.allowances.report();
        let is_full_report = self.needs_full_report;
        let is_new = |team: &TeamName, report: &TeamReport| {
            is_full_report || self.acknowledged_reports.get(team) != Some(report)
        };
        let changed = reports.iter().filter(|(team, report)| is_new(team, report));
        let changed = changed.map(|(team, report)| (team.clone(), *report)).collect();
        self.sent_reports = reports;
        LeaseRequest {
            instance: instance.clone(),
            revision: self.configuration.revision(),
            is_urgent,
            is_leaving: self.is_leaving,
            is_full_report,
            reports: changed,
            targets_seen: self.targets_seen,
        }
    }

    /// Applies a lease that was requested at `sent_at`, and the changes that come with it.
    ///
    /// A response with a configuration older than the current one is ignored.
    pub fn apply_lease(&mut self, sent_at: Uptime, granted: GrantedLease) {
        if granted.delta.revision < self.configuration.revision() {
            return;
        }
        self.configuration.apply_delta(granted.delta);
        self.in_force = self.in_force.max(granted.in_force);
        let weights = self.configuration.teams();
        let weights = weights.into_iter().map(|(team, spec)| (team, spec.weight)).collect();
        self.admission.set_weights(weights);
        if granted.targets.version > self.targets_seen {
            self.needs_full_report = granted.needs_full_report;
            self.acknowledged_reports = std::mem::take(&mut self.sent_reports);
            self.apply_targets(granted.targets);
        }
        self.lease.renew(sent_at, granted.lease);
    }

    /// Releases all unused units and accepts no new ones.
    pub fn begin_shutdown(&mut self) {
        self.is_leaving = true;
        self.admission.allowances.release_unused();
    }

    /// Applies an announcement and returns whether it affects routing.
    pub fn handle_announcement(
        &mut self,
        now: Uptime,
        schedule: AnnouncementSchedule,
        announcement: Announcement,
    ) -> bool {
        let vm = announcement.vm.clone();
        let running = announcement.running;
        let affects_routing = self.servers.handle_announcement(now, schedule.lease(), announcement);
        self.admission.router.record_running(&vm, running);
        affects_routing
    }

    /// Starts a request, enqueues it, or rejects it.
    pub fn admit(&mut self, now: Uptime, request: AdmissionRequest) -> Admission {
        self.refresh_routes();
        self.admission.admit(now, request)
    }

    /// Releases the resources of a task once it is certain to have ended.
    ///
    /// `running` is the number of tasks that the server still runs, if the server reported it.
    pub fn finish(&mut self, team: Option<&TeamName>, vm: &VmId, running: Option<u32>) {
        self.admission.router.finish(vm, running);
        self.admission.finish(team);
    }

    /// Starts all waiting requests that can start now and returns them; none without a valid lease.
    pub fn poll(&mut self, now: Uptime) -> Vec<(WaiterId, ServerChoice)> {
        self.refresh_routes();
        if !self.lease.is_valid(now) {
            return Vec::new();
        }
        self.admission.poll(now)
    }

    /// Returns the data centre of a VM; the VM's label takes precedence over the announcement.
    pub fn data_centre_of(&self, vm: &VmId) -> Option<DataCentreName> {
        let announced = || Some(self.servers.get(vm)?.announcement.data_centre.clone());
        self.configuration.data_centre_of_vm(vm).or_else(announced)
    }

    /// Returns the reason why a task must not start on a server now, if any.
    ///
    /// This is checked again right before a task is sent, because the configuration may have
    /// changed since the server was selected.
    pub fn start_blocked_reason(&self, now: Uptime, vm: &VmId) -> Option<&'static str> {
        if !self.lease.is_valid(now) {
            return Some("no-configuration-lease");
        }
        let Some(server) = self.servers.get(vm) else {
            return Some("server-forgotten");
        };
        if server.announcement.is_leaving {
            return Some("server-leaving");
        }
        let is_in_service =
            self.data_centre_of(vm).is_some_and(|name| self.configuration.is_in_service(&name));
        (!is_in_service).then_some("data-centre-out-of-service")
    }

    fn apply_targets(&mut self, targets: TargetsDelta) {
        self.targets_seen = targets.version;
        if self.is_leaving {
            return;
        }
        if targets.is_full {
            self.admission.allowances.update_all(targets.changed);
        } else {
            self.admission.allowances.update(targets.changed, &targets.removed);
        }
    }

    /// Rebuilds the routes if the configuration or the servers have changed.
    fn refresh_routes(&mut self) {
        let generation = self.servers.generation();
        let placement = self.configuration.placement_generation();
        if generation == self.routed_generation && placement == self.routed_placement {
            return;
        }
        self.admission.router.rebuild(&self.configuration, &self.servers);
        self.routed_generation = generation;
        self.routed_placement = placement;
    }
}
