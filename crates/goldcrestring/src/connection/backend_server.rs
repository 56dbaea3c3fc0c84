//! Backend servers that announced themselves, and their leases.

use crate::clock::{MAX_CLOCK_DRIFT_PER_MILLE, Uptime};
use crate::name::{DataCentreName, RackName, VmId};
use crate::quantity::{BootId, Revision};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What a control exchange with one entry may cost a backend server and that entry, in bytes.
const ANNOUNCEMENT_BYTES: u64 = 700;

/// What all announcements together may cost an entry, in bytes a second.
const ENTRY_BUDGET_BYTES_PER_S: u64 = 6_000;

/// The shortest time between two announcements of one server to one entry.
const MIN_INTERVAL: Duration = Duration::from_secs(2);

/// The longest time between two announcements of one server to one entry.
const MAX_INTERVAL: Duration = Duration::from_secs(120);

/// How many entries know each backend server at the least.
const MIN_ENTRIES_PER_SERVER: usize = 3;

/// What a backend server says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The VM on which the server runs.
    pub vm: VmId,
    /// A number that grows with each start of the server, such as its start time.
    pub boot: BootId,
    /// Counts the announcements of this start; an older one changes nothing.
    pub sequence: u64,
    /// The server's uptime when it sent the announcement, in milliseconds.
    ///
    /// Tasks carry their end on this scale, so that a task delayed on its way can't outlive it.
    pub uptime_ms: u64,
    /// Where the server takes tasks.
    pub address: SocketAddr,
    /// The data centre of the VM.
    pub data_centre: DataCentreName,
    /// The rack of the VM.
    pub rack: RackName,
    /// How many tasks the server runs at once.
    pub slots: u32,
    /// How many tasks it runs now.
    pub running: u32,
    /// Whether it is about to stop and takes no new task.
    #[serde(default)]
    pub is_leaving: bool,
}

/// How often, and to how many entries, each backend server announces itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnnouncementSchedule {
    /// The number of entries that each server announces itself to.
    pub entries_per_server: usize,
    /// The time between two announcements to the same entry.
    pub interval: Duration,
}

impl AnnouncementSchedule {
    /// The plan that keeps the announcements within an entry's byte budget.
    ///
    /// Few servers announce themselves to every entry. As their number grows, first the interval
    /// grows to 30 s, then the entries per server shrink to three, then the interval grows again.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::connection::backend_server::AnnouncementSchedule;
    ///
    /// let today = AnnouncementSchedule::for_fleet(50, 8);
    /// assert_eq!(today.entries_per_server, 8);
    /// let target = AnnouncementSchedule::for_fleet(11_000, 17);
    /// assert_eq!(target.entries_per_server, 3);
    /// ```
    pub fn for_fleet(servers: usize, entries: usize) -> Self {
        let entries = entries.max(1);
        let floor = entries.min(MIN_ENTRIES_PER_SERVER);
        let interval_for = |entries_per_server: usize| {
            let servers_per_entry = (servers * entries_per_server).div_ceil(entries) as u64;
            let bytes = servers_per_entry * ANNOUNCEMENT_BYTES;
            Duration::from_millis(bytes * 1_000 / ENTRY_BUDGET_BYTES_PER_S)
        };
        let preferred = Duration::from_secs(30);
        let fitting = (floor..=entries).rev().find(|&count| interval_for(count) <= preferred);
        let entries_per_server = fitting.unwrap_or(floor);
        let interval = interval_for(entries_per_server).clamp(MIN_INTERVAL, MAX_INTERVAL);
        Self { entries_per_server, interval }
    }

    /// How long a server is known after an announcement.
    pub fn lease(&self) -> Duration {
        self.interval * 3
    }
}

/// A backend server as one entry tells another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownServer {
    /// Its latest announcement.
    pub announcement: Announcement,
    /// The time since that announcement.
    pub age: Duration,
    /// The time until it is forgotten.
    pub remaining: Duration,
}

/// A backend server that announced itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendServer {
    /// Its latest announcement.
    pub announcement: Announcement,
    /// When the latest announcement arrived.
    pub announced_at: Uptime,
    /// When it first announced itself since its start.
    pub first_seen: Uptime,
    /// When it is forgotten unless it announces itself again.
    pub expires_at: Uptime,
}

impl BackendServer {
    /// The latest time, in milliseconds of the server's uptime, at which a task may end that has
    /// `remaining` left now.
    ///
    /// The announcement was sent before it arrived, so the server's clock is ahead of this
    /// estimate, and the task ends no later than asked for.
    pub fn server_deadline_ms(&self, now: Uptime, remaining: Duration) -> u64 {
        let since = now.saturating_sub(self.announced_at);
        let since = since - since * MAX_CLOCK_DRIFT_PER_MILLE / 1_000;
        let elapsed = u64::try_from((since + remaining).as_millis()).unwrap_or(u64::MAX);
        self.announcement.uptime_ms.saturating_add(elapsed)
    }
}

/// All backend servers that one entry knows.
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
    /// Takes an announcement; returns whether routing has to be worked out anew.
    pub fn announce(&mut self, now: Uptime, lease: Duration, announcement: Announcement) -> bool {
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

    /// What this entry knows, for one that has just started.
    pub fn export(&self, now: Uptime) -> Vec<KnownServer> {
        let known = |server: &BackendServer| KnownServer {
            announcement: server.announcement.clone(),
            age: now.saturating_sub(server.announced_at),
            remaining: server.expires_at.saturating_sub(now),
        };
        self.servers.values().map(known).collect()
    }

    /// Takes in what another entry knows; the servers' own announcements go before it.
    pub fn import(&mut self, now: Uptime, known: Vec<KnownServer>) {
        for server in known {
            let vm = &server.announcement.vm;
            if self.servers.contains_key(vm) || server.remaining.is_zero() {
                continue;
            }
            let imported = BackendServer {
                // The time on the way makes this later than it was, so tasks end earlier at most.
                announced_at: now.saturating_sub(server.age),
                // A server that others know has had its slow start.
                first_seen: Uptime::ZERO,
                expires_at: now + server.remaining,
                announcement: server.announcement,
            };
            self.servers.insert(imported.announcement.vm.clone(), imported);
            self.generation += 1;
        }
    }

    /// Forgets servers whose lease ran out and returns them.
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

    /// Grows with each change that matters to routing.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// The number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// One server, where it is known.
    pub fn get(&self, vm: &VmId) -> Option<&BackendServer> {
        self.servers.get(vm)
    }

    /// All servers by VM.
    pub fn iter(&self) -> impl Iterator<Item = &BackendServer> {
        self.servers.values()
    }
}

/// The answer to an announcement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnnouncementAnswer {
    /// The configuration's latest revision that changed a rule for placing work.
    pub rule_revision: Revision,
    /// When to announce again, in milliseconds.
    pub interval_ms: u64,
    /// The entries to announce to.
    pub entries: Vec<SocketAddr>,
}
