//! Registration of backend servers, which announce themselves at regular intervals.
//!
//! An announcement registers a server for the duration of a lease; the next one renews it.

use crate::clock::{MAX_CLOCK_DRIFT_PER_MILLE, Uptime};
use crate::name::{DataCentreName, RackName, VmId};
use crate::quantity::{BootId, Revision};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The size budgeted for one announcement and its response, in bytes.
const ANNOUNCEMENT_BYTES: u64 = 700;

/// The bandwidth that one entry may spend on announcements, in bytes per second.
const ENTRY_BUDGET_BYTES_PER_S: u64 = 6_000;

/// The minimum time between two announcements of a server to the same entry.
const MIN_INTERVAL: Duration = Duration::from_secs(2);

/// The maximum time between two announcements of a server to the same entry.
const MAX_INTERVAL: Duration = Duration::from_secs(120);

/// The minimum number of entries that each backend server announces itself to.
const MIN_ENTRIES_PER_SERVER: usize = 3;

/// A backend server's registration message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The VM on which the server runs.
    pub vm: VmId,
    /// A number that increases with each start of the server, such as its start time.
    pub boot: BootId,
    /// The sequence number since the start of the server; older announcements are ignored.
    pub sequence: u64,
    /// The server's uptime when it sent the announcement, in milliseconds.
    ///
    /// Tasks carry their deadline on this clock, so that a task delayed in transit still ends in
    /// time.
    pub uptime_ms: u64,
    /// The address at which the server accepts tasks.
    pub address: SocketAddr,
    /// The data centre of the VM.
    pub data_centre: DataCentreName,
    /// The rack of the VM.
    pub rack: RackName,
    /// The number of tasks that the server can run at once.
    pub slots: u32,
    /// The number of tasks that the server is running.
    pub running: u32,
    /// Whether the server is shutting down and accepts no new tasks.
    #[serde(default)]
    pub is_leaving: bool,
}

/// The interval and fan-out of backend server announcements.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnnouncementSchedule {
    /// The number of entries that each server announces itself to.
    pub entries_per_server: usize,
    /// The time between two announcements to the same entry.
    pub interval: Duration,
}

impl AnnouncementSchedule {
    /// Returns the schedule that keeps announcements within each entry's bandwidth budget.
    ///
    /// In a small fleet, servers announce themselves to every entry. As the fleet grows, first the
    /// interval rises to 30 s, then the number of entries per server falls to three, then the
    /// interval rises further.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::connection::backend_server::AnnouncementSchedule;
    ///
    /// let small = AnnouncementSchedule::for_fleet(50, 8);
    /// assert_eq!(small.entries_per_server, 8);
    /// let large = AnnouncementSchedule::for_fleet(11_000, 17);
    /// assert_eq!(large.entries_per_server, 3);
    /// ```
    pub fn for_fleet(servers: usize, entries: usize) -> Self {
        let entries = entries.max(1);
        let min_entries = entries.min(MIN_ENTRIES_PER_SERVER);
        let interval_for = |entries_per_server: usize| {
            let servers_per_entry = (servers * entries_per_server).div_ceil(entries) as u64;
            let bytes = servers_per_entry * ANNOUNCEMENT_BYTES;
            Duration::from_millis(bytes * 1_000 / ENTRY_BUDGET_BYTES_PER_S)
        };
        let preferred_interval = Duration::from_secs(30);
        let fitting =
            (min_entries..=entries).rev().find(|&count| interval_for(count) <= preferred_interval);
        let entries_per_server = fitting.unwrap_or(min_entries);
        let interval = interval_for(entries_per_server).clamp(MIN_INTERVAL, MAX_INTERVAL);
        Self { entries_per_server, interval }
    }

    /// Returns how long a server stays registered after an announcement.
    pub fn lease(&self) -> Duration {
        self.interval * 3
    }
}

/// A backend server as reported by one entry to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownServer {
    /// The latest announcement.
    pub announcement: Announcement,
    /// The time since that announcement.
    pub age: Duration,
    /// The time until the registration expires.
    pub remaining: Duration,
}

/// A registered backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendServer {
    /// The latest announcement.
    pub announcement: Announcement,
    /// When the latest announcement arrived.
    pub announced_at: Uptime,
    /// When the first announcement since the server's start arrived.
    pub first_seen: Uptime,
    /// When the registration expires unless it is renewed.
    pub expires_at: Uptime,
}

impl BackendServer {
    /// Returns the deadline of a task with `remaining` time left, in milliseconds of the server's
    /// uptime.
    ///
    /// The announcement was sent before it arrived, so the server's clock is ahead of this
    /// estimate. The time since its arrival is reduced by the maximum clock drift. The task
    /// therefore ends no later than requested.
    pub fn server_deadline_ms(&self, now: Uptime, remaining: Duration) -> u64 {
        let since = now.saturating_sub(self.announced_at);
        let since = since - since * MAX_CLOCK_DRIFT_PER_MILLE / 1_000;
        let elapsed = u64::try_from((since + remaining).as_millis()).unwrap_or(u64::MAX);
        self.announcement.uptime_ms.saturating_add(elapsed)
    }
}

/// The backend servers registered with one entry.
///
/// # Examples
///
/// ```
/// use goldcrestring::connection::BackendServers;
///
/// assert_eq!(BackendServers::default().len(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct BackendServers {
    servers: BTreeMap<VmId, BackendServer>,
    generation: u64,
}

impl BackendServers {
    /// Applies an announcement and returns whether the routing tables must be rebuilt.
    ///
    /// An announcement from an earlier start of the server, or with a lower sequence number, is
    /// ignored.
    pub fn handle_announcement(
        &mut self,
        now: Uptime,
        lease: Duration,
        announcement: Announcement,
    ) -> bool {
        let known = self.servers.get_mut(&announcement.vm);
        let expires_at = now + lease;
        match known {
            Some(server) if server.announcement.boot == announcement.boot => {
                if announcement.sequence < server.announcement.sequence {
                    return false;
                }
                let is_changed = server.announcement.address != announcement.address
                    || server.announcement.slots != announcement.slots
                    || server.announcement.is_leaving != announcement.is_leaving;
                server.announcement = announcement;
                server.announced_at = now;
                server.expires_at = expires_at;
                self.generation += u64::from(is_changed);
                is_changed
            }
            Some(server) if server.announcement.boot > announcement.boot => false,
            _ => {
                let vm = announcement.vm.clone();
                let server =
                    BackendServer { announcement, announced_at: now, first_seen: now, expires_at };
                self.servers.insert(vm, server);
                self.generation += 1;
                true
            }
        }
    }

    /// Returns all registered servers, for an entry that has just started.
    pub fn export(&self, now: Uptime) -> Vec<KnownServer> {
        let known = |server: &BackendServer| KnownServer {
            announcement: server.announcement.clone(),
            age: now.saturating_sub(server.announced_at),
            remaining: server.expires_at.saturating_sub(now),
        };
        self.servers.values().map(known).collect()
    }

    /// Imports servers registered with another entry; direct announcements take precedence.
    pub fn import(&mut self, now: Uptime, known: Vec<KnownServer>) {
        for server in known {
            let vm = &server.announcement.vm;
            if self.servers.contains_key(vm) || server.remaining.is_zero() {
                continue;
            }
            let imported = BackendServer {
                // Transit time makes this estimate late, which can only shorten task deadlines.
                announced_at: now.saturating_sub(server.age),
                // A server known to another entry has completed its slow start.
                first_seen: Uptime::ZERO,
                expires_at: now + server.remaining,
                announcement: server.announcement,
            };
            self.servers.insert(imported.announcement.vm.clone(), imported);
            self.generation += 1;
        }
    }

    /// Removes servers whose lease has expired and returns them.
    pub fn expire(&mut self, now: Uptime) -> Vec<VmId> {
        let is_expired = |server: &&BackendServer| now >= server.expires_at;
        let expired: Vec<_> = self
            .servers
            .values()
            .filter(is_expired)
            .map(|server| server.announcement.vm.clone())
            .collect();
        for vm in &expired {
            self.servers.remove(vm);
        }
        self.generation += u64::from(!expired.is_empty());
        expired
    }

    /// Returns a counter that increases with each change of the servers that affects routing.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the number of registered servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server is registered.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns a server, if it is registered.
    pub fn get(&self, vm: &VmId) -> Option<&BackendServer> {
        self.servers.get(vm)
    }

    /// Returns all servers, ordered by VM.
    pub fn iter(&self) -> impl Iterator<Item = &BackendServer> {
        self.servers.values()
    }
}

/// The response to an [`Announcement`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnnouncementResponse {
    /// The latest configuration revision that changed a placement rule.
    pub rule_revision: Revision,
    /// The time until the next announcement is due, in milliseconds.
    pub interval_ms: u64,
    /// The entries to send announcements to.
    pub entries: Vec<SocketAddr>,
}
