//! Deterministic simulation of a leader, entries, backend servers and a network, in one thread
//! with one clock.

use goldcrestring::connection::backend_server::AnnouncementSchedule;
use goldcrestring::connection::{Announcement, GrantedLease, LeaseRequest};
use goldcrestring::name::{QueueName, TeamName, VmId};
use goldcrestring::process::leader::LeaseRequestId;
use goldcrestring::process::{Command, ControlState, EntryInstance, Leader};
use goldcrestring::quantity::{BootId, LogIndex, Revision, Term};
use goldcrestring::request::EntryState;
use goldcrestring::request::admission::{Admission, AdmissionRequest};
use goldcrestring::version::{
    Change, DataCentreSpec, Edit, Object, PoolSpec, QueueSpec, Spec, TeamSpec, VmSpec,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

pub(crate) const LIMIT: u32 = 20;
const LOW_LIMIT: u32 = 8;
const ENTRY_COUNT: u64 = 4;
const VM_COUNT: u32 = 6;
const TICK: Duration = Duration::from_millis(5);
const TASK_DURATION: Duration = Duration::from_millis(1_500);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(700);

/// Deviation of the entries' clock rates from the true rate, in thousandths.
const CLOCK_OFFSETS_PER_MILLE: [i64; 4] = [0, 4, -4, 2];

/// A deliberate violation of the protocol, which the checks must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mutation {
    /// An entry measures its lease from the receipt of the response, not from sending the request.
    LeaseFromReceipt,
    /// An entry raises its ceiling again after it has confirmed a lower one.
    CeilingRaisedAgain,
    /// The units of a stopped entry are reassigned before its lease has expired.
    UnitsReassignedEarly,
    /// An entry starts tasks without checking its lease.
    NoLeaseCheck,
}

impl Mutation {
    pub(crate) const ALL: [Self; 4] = [
        Self::LeaseFromReceipt,
        Self::CeilingRaisedAgain,
        Self::UnitsReassignedEarly,
        Self::NoLeaseCheck,
    ];
}

enum Message {
    Request(LeaseRequest),
    Response(GrantedLease),
}

struct Packet {
    due_at: Duration,
    entry: usize,
    boot: BootId,
    sent_at: Duration,
    message: Message,
}

struct Entry {
    instance: EntryInstance,
    state: EntryState,
    clock_offset_per_mille: i64,
    request_sent_at: Option<Duration>,
    next_request_at: Duration,
    frozen_until: Duration,
    highest_revision: Revision,
    demand: u32,
    running: u32,
}

/// A task on a backend server; it ends at its deadline at the latest.
struct Task {
    entry: usize,
    boot: BootId,
    vm: VmId,
    ends_at: Duration,
}

struct PendingRequest {
    id: LeaseRequestId,
    entry: usize,
    boot: BootId,
    sent_at: Duration,
}

/// A simulated cluster that checks leases and limits while it runs.
pub(crate) struct Sim {
    now: Duration,
    rng: SmallRng,
    state: ControlState,
    next_index: u64,
    term: u64,
    leader: Option<Leader>,
    next_leader_at: Duration,
    next_leader_tick: Duration,
    pending_requests: Vec<PendingRequest>,
    pending_commands: Vec<(Duration, Command)>,
    entries: Vec<Entry>,
    packets: Vec<Packet>,
    tasks: Vec<Task>,
    has_faults: bool,
    mutation: Option<Mutation>,
    in_force: Revision,
    /// Each limit that was set, with the time of the change.
    limits: Vec<(Duration, u32)>,
    data_centre_out_revision: Option<Revision>,
    /// Number of tasks started.
    pub(crate) started: usize,
}

impl Sim {
    pub(crate) fn new(seed: u64) -> Self {
        let now = Duration::from_secs(1_000);
        let mut sim = Self {
            now,
            rng: SmallRng::seed_from_u64(seed),
            state: ControlState::default(),
            next_index: 1,
            term: 1,
            leader: Some(Leader::new(now)),
            next_leader_at: now,
            next_leader_tick: now,
            pending_requests: Vec::new(),
            pending_commands: Vec::new(),
            entries: Vec::new(),
            packets: Vec::new(),
            tasks: Vec::new(),
            has_faults: false,
            mutation: None,
            in_force: Revision::ZERO,
            limits: vec![(now, LIMIT)],
            data_centre_out_revision: None,
            started: 0,
        };
        sim.change(objects());
        for number in 0..ENTRY_COUNT {
            let entry = sim.new_entry(usize::try_from(number).expect("a small number"), 1);
            sim.entries.push(entry);
        }
        sim
    }

    pub(crate) fn enable_faults(&mut self) {
        self.has_faults = true;
    }

    pub(crate) fn mutate(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
    }

    pub(crate) fn limit_demand_to_first_entry(&mut self) {
        for (number, entry) in self.entries.iter_mut().enumerate() {
            entry.demand = if number == 0 { LIMIT * 2 } else { 0 };
        }
    }

    pub(crate) fn ceiling_of_first_entry(&self) -> u32 {
        self.entries[0].state.admission.allowances.ceiling(&team())
    }

    pub(crate) fn run(&mut self, milliseconds: u64) {
        let until = self.now + Duration::from_millis(milliseconds);
        while self.now < until {
            self.step();
        }
    }

    /// Ends all faults and checks that every unit of the limit becomes usable again.
    pub(crate) fn heal_and_check_limit(&mut self) {
        self.has_faults = false;
        self.set_limit(LIMIT);
        for entry in &mut self.entries {
            entry.frozen_until = Duration::ZERO;
            entry.demand = 0;
        }
        self.run(8_000);
        let ceilings = self.entries.iter().map(|e| e.state.admission.allowances.ceiling(&team()));
        assert_eq!(
            ceilings.sum::<u32>(),
            LIMIT,
            "the ceilings of the entries do not add up to the limit"
        );
        assert_eq!(self.in_force, self.state.configuration().revision());
    }

    fn step(&mut self) {
        self.now += TICK;
        if self.has_faults {
            self.inject_faults();
        }
        self.tasks.retain(|task| self.now < task.ends_at || task.ends_at == Duration::MAX);
        self.commit_due();
        self.deliver();
        self.run_leader();
        for number in 0..self.entries.len() {
            if self.now >= self.entries[number].frozen_until {
                self.request_lease(number);
                self.run_tasks(number);
            }
        }
        self.check_invariants();
    }

    fn inject_faults(&mut self) {
        match self.rng.random_range(0..2_500_u32) {
            0 => self.change_leader(),
            1..=3 => self.restart_entry(),
            4..=6 => self.freeze_entry(),
            7 => self.set_limit(LOW_LIMIT),
            8 => self.set_limit(LIMIT),
            9..=10 => self.set_data_centre("out"),
            11..=12 => self.set_data_centre("in"),
            13..=60 => {
                let demand = self.rng.random_range(0..LIMIT);
                let number = self.rng.random_range(0..self.entries.len());
                self.entries[number].demand = demand;
            }
            _ => {}
        }
    }

    fn change_leader(&mut self) {
        self.leader = None;
        self.pending_requests.clear();
        self.pending_commands.clear();
        self.term += 1;
        self.next_leader_at = self.now + Duration::from_millis(self.rng.random_range(10..2_000));
    }

    fn restart_entry(&mut self) {
        let number = self.rng.random_range(0..self.entries.len());
        let boot = self.entries[number].instance.boot.get() + 1;
        if self.mutation == Some(Mutation::UnitsReassignedEarly) {
            let old = self.entries[number].instance.clone();
            self.apply(&Command::Retire(vec![old]));
        }
        let demand = self.entries[number].demand;
        self.entries[number] = self.new_entry(number, boot);
        self.entries[number].demand = demand;
    }

    fn freeze_entry(&mut self) {
        let number = self.rng.random_range(0..self.entries.len());
        let time = Duration::from_millis(self.rng.random_range(100..5_000));
        self.entries[number].frozen_until = self.now + time;
    }

    fn set_limit(&mut self, limit: u32) {
        let spec = Spec::Team(TeamSpec { upper_limit_tasks: limit, ..TeamSpec::default() });
        self.change(vec![object("bakers", &[], spec)]);
        self.limits.push((self.now, limit));
    }

    fn set_data_centre(&mut self, service: &str) {
        let spec = Spec::DataCentre(DataCentreSpec::default());
        let revision = self.change(vec![object("dc-0", &[("service", service)], spec)]);
        self.data_centre_out_revision = (service == "out").then_some(revision);
    }

    fn change(&mut self, objects: Vec<Object>) -> Revision {
        let change = Change {
            change_id: format!("change-{}", self.next_index).parse().expect("a valid change id"),
            expected_revision: None,
            edits: objects.into_iter().map(Edit::Put).collect(),
        };
        self.apply(&Command::Change(change));
        self.state.configuration().revision()
    }

    fn apply(&mut self, command: &Command) {
        let index = LogIndex::new(self.next_index);
        self.next_index += 1;
        self.state.apply(index, command);
        if let Some(leader) = &mut self.leader {
            leader.record_applied(command);
        }
    }

    fn commit_due(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.pending_commands.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, command) in due {
            self.apply(&command);
        }
    }

    fn run_leader(&mut self) {
        if self.leader.is_none() && self.now >= self.next_leader_at {
            self.leader = Some(Leader::new(self.now));
        }
        let Some(leader) = &mut self.leader else { return };
        if self.now >= self.next_leader_tick {
            self.next_leader_tick = self.now + Duration::from_millis(200);
            leader.refresh_live_entries(self.now);
        }
        let commands = leader.plan_commands(self.now, &self.state);
        let responses = leader.respond(self.now, Term::new(self.term), &self.state);
        self.in_force = self.in_force.max(leader.in_force(self.now, &self.state));
        for command in commands {
            let delay = Duration::from_millis(self.rng.random_range(2..30));
            self.pending_commands.push((self.now + delay, command));
        }
        for (id, granted) in responses {
            let Some(at) = self.pending_requests.iter().position(|request| request.id == id) else {
                continue;
            };
            let request = self.pending_requests.remove(at);
            self.send(request.entry, request.boot, request.sent_at, Message::Response(granted));
        }
    }

    fn request_lease(&mut self, number: usize) {
        let now = self.now;
        let entry = &mut self.entries[number];
        let is_waiting = entry.request_sent_at.is_some_and(|since| now < since + REQUEST_TIMEOUT);
        if is_waiting || now < entry.next_request_at {
            return;
        }
        entry.request_sent_at = Some(now);
        let unmet = entry.demand.saturating_sub(entry.running);
        // Tasks that wait only for a moment count towards the peak demand that the request reports.
        for is_waiting in [true, false] {
            for _ in 0..unmet {
                entry.state.admission.allowances.record_waiting(&team(), is_waiting);
            }
        }
        let instance = entry.instance.clone();
        let is_urgent = entry.running < entry.demand;
        let request = entry.state.lease_request(&instance, is_urgent);
        self.send(number, instance.boot, now, Message::Request(request));
    }

    fn send(&mut self, entry: usize, boot: BootId, sent_at: Duration, message: Message) {
        let mut delay = Duration::from_millis(self.rng.random_range(1..4));
        if self.has_faults {
            match self.rng.random_range(0..20_u32) {
                0 => return,
                1 => delay = Duration::from_millis(self.rng.random_range(100..3_000)),
                _ => {}
            }
        }
        self.packets.push(Packet { due_at: self.now + delay, entry, boot, sent_at, message });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.packets.extract_if(.., |packet| packet.due_at <= now).collect();
        for packet in due {
            match packet.message {
                Message::Request(request) => {
                    let Some(leader) = &mut self.leader else { continue };
                    let id = leader.enqueue_request(now, request);
                    let (entry, boot, sent_at) = (packet.entry, packet.boot, packet.sent_at);
                    self.pending_requests.push(PendingRequest { id, entry, boot, sent_at });
                }
                Message::Response(granted) => {
                    let entry = &self.entries[packet.entry];
                    if now < entry.frozen_until {
                        let due_at = entry.frozen_until;
                        let message = Message::Response(granted);
                        self.packets.push(Packet { due_at, message, ..packet });
                    } else if entry.instance.boot == packet.boot {
                        self.handle_grant(packet.entry, packet.sent_at, granted);
                    }
                }
            }
        }
    }

    fn handle_grant(&mut self, number: usize, sent_at: Duration, mut granted: GrantedLease) {
        let (now, mutation) = (self.now, self.mutation);
        let entry = &mut self.entries[number];
        // The response to a request that timed out is still applied.
        if entry.request_sent_at == Some(sent_at) {
            entry.request_sent_at = None;
            entry.next_request_at = now + TICK;
        }
        let sent_at = if mutation == Some(Mutation::LeaseFromReceipt) { now } else { sent_at };
        if mutation == Some(Mutation::CeilingRaisedAgain) {
            for target in granted.targets.changed.values_mut() {
                target.grant.revision =
                    Revision::new(target.grant.revision.get() + now.as_millis() as u64);
                target.target_units = target.grant.units;
            }
        }
        entry.state.apply_lease(local_time(sent_at, entry.clock_offset_per_mille), granted);
        let revision = entry.state.configuration.revision();
        assert!(
            revision >= entry.highest_revision,
            "the configuration revision of an entry decreased"
        );
        entry.highest_revision = revision;
    }

    /// Ends finished tasks and starts new ones up to the demand.
    fn run_tasks(&mut self, number: usize) {
        let now = self.now;
        let mutation = self.mutation;
        let entry = &mut self.entries[number];
        let local_now = local_time(now, entry.clock_offset_per_mille);
        let boot = entry.instance.boot;
        let ended = {
            let is_of_entry = |task: &Task| task.entry == number && task.boot == boot;
            let running = self.tasks.iter().filter(|task| is_of_entry(task)).count();
            entry.running - u32::try_from(running).expect("a small number").min(entry.running)
        };
        for _ in 0..ended {
            entry.running -= 1;
            entry.state.admission.finish(Some(&team()));
        }
        while entry.running < entry.demand {
            let request = AdmissionRequest {
                queue: queue(),
                team: Some(team()),
                deadline: local_now + TASK_DURATION,
                tried: Vec::new(),
                max_waiting: 0,
            };
            let is_lease_valid =
                entry.state.lease.is_valid(local_now) || mutation == Some(Mutation::NoLeaseCheck);
            if !is_lease_valid {
                return;
            }
            let Admission::Start(choice) = entry.state.admit(local_now, request) else { return };
            entry.state.admission.router.finish(&choice.vm, None);
            entry.running += 1;
            // Worst case: every task runs until its deadline.
            let ends_at = now + TASK_DURATION - Duration::from_millis(20);
            self.tasks.push(Task { entry: number, boot, vm: choice.vm, ends_at });
            self.started += 1;
            let revision = entry.state.configuration.revision();
            assert!(
                revision >= self.in_force,
                "a task started under revision {revision}, but {} is in force",
                self.in_force
            );
            let is_out = self.data_centre_out_revision.is_some_and(|out| self.in_force >= out);
            let vm = &self.tasks[self.tasks.len() - 1].vm;
            let is_in_dc_0 = entry.state.data_centre_of(vm).is_some_and(|dc| dc.as_str() == "dc-0");
            assert!(
                !(is_out && is_in_dc_0),
                "a task started in a data centre that is out of service"
            );
        }
    }

    /// Checks the limit and the leases at the current time.
    fn check_invariants(&self) {
        let running = u32::try_from(self.tasks.len()).expect("a small number");
        // A lowered limit applies once it is in force and the tasks that ran before have ended.
        let grace = TASK_DURATION + Duration::from_secs(3);
        let since = self.now.saturating_sub(grace);
        let mut highest_limit = 0;
        for (position, (_, limit)) in self.limits.iter().enumerate() {
            let ended_at = self.limits.get(position + 1).map_or(Duration::MAX, |(at, _)| *at);
            if ended_at >= since {
                highest_limit = highest_limit.max(*limit);
            }
        }
        assert!(running <= highest_limit, "{running} tasks run, but the limit is {highest_limit}");
        for entry in &self.entries {
            let local_now = local_time(self.now, entry.clock_offset_per_mille);
            if self.now >= entry.frozen_until && entry.state.lease.is_valid(local_now) {
                let revision = entry.state.configuration.revision();
                assert!(
                    revision >= self.in_force,
                    "{} holds a lease at revision {revision}, but {} was reported in force",
                    entry.instance,
                    self.in_force
                );
            }
        }
    }

    fn new_entry(&self, number: usize, boot: u64) -> Entry {
        let node = format!("entry-{number}").parse().expect("a valid node id");
        let mut state = EntryState::new(boot + number as u64);
        let schedule =
            AnnouncementSchedule { entries_per_server: 1, interval: Duration::from_secs(100_000) };
        for vm in 0..VM_COUNT {
            state.handle_announcement(Duration::ZERO, schedule, announcement(vm));
        }
        Entry {
            instance: EntryInstance { node, boot: BootId::new(boot) },
            state,
            clock_offset_per_mille: CLOCK_OFFSETS_PER_MILLE[number % CLOCK_OFFSETS_PER_MILLE.len()],
            request_sent_at: None,
            next_request_at: self.now,
            frozen_until: Duration::ZERO,
            highest_revision: Revision::ZERO,
            demand: 6,
            running: 0,
        }
    }
}

/// Converts a time to that of a clock whose rate deviates from the true rate.
fn local_time(now: Duration, clock_offset_per_mille: i64) -> Duration {
    let difference =
        now * u32::try_from(clock_offset_per_mille.abs()).expect("a small offset") / 1_000;
    if clock_offset_per_mille < 0 { now - difference } else { now + difference }
}

fn team() -> TeamName {
    "bakers".parse().expect("a valid team name")
}

fn queue() -> QueueName {
    "quotes".parse().expect("a valid queue name")
}

fn object(name: &str, labels: &[(&str, &str)], spec: Spec) -> Object {
    let label = |(key, value): &(&str, &str)| {
        (key.parse().expect("a valid label key"), value.parse().expect("a valid label value"))
    };
    let labels: BTreeMap<_, _> = labels.iter().map(label).collect();
    Object { name: name.parse().expect("a valid name"), labels, spec }
}

fn objects() -> Vec<Object> {
    let timeout_ms = u64::try_from(TASK_DURATION.as_millis()).expect("milliseconds fit in u64");
    let vm_selector = "pool=quotes".parse().expect("a valid selector");
    let team_spec = TeamSpec { upper_limit_tasks: LIMIT, ..TeamSpec::default() };
    let mut objects = vec![
        object("dc-0", &[], Spec::DataCentre(DataCentreSpec::default())),
        object("dc-1", &[], Spec::DataCentre(DataCentreSpec::default())),
        object("quotes", &[], Spec::Pool(PoolSpec { vm_selector })),
        object("quotes", &[], Spec::Queue(QueueSpec { timeout_ms, ..QueueSpec::default() })),
        object("bakers", &[], Spec::Team(team_spec)),
    ];
    for number in 0..VM_COUNT {
        let labels = [("pool", "quotes"), ("data-centre", ["dc-0", "dc-1"][number as usize % 2])];
        objects.push(object(&format!("vm-{number}"), &labels, Spec::Vm(VmSpec::default())));
    }
    objects
}

fn announcement(number: u32) -> Announcement {
    Announcement {
        vm: format!("vm-{number}").parse().expect("a valid VM id"),
        boot: BootId::new(1),
        sequence: 1,
        uptime_ms: 0,
        address: "127.0.0.1:1".parse().expect("a socket address"),
        data_centre: "dc-1".parse().expect("a valid name"),
        rack: "r".parse().expect("a valid name"),
        slots: 100,
        running: 0,
        is_leaving: false,
    }
}
