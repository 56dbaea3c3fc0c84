//! A leader, entries, servers and a network, in one thread under one clock.

use goldcrestring::connection::backend_server::AnnouncementSchedule;
use goldcrestring::connection::{Announcement, GrantedLease, LeaseCall};
use goldcrestring::name::{QueueName, TeamName, VmId};
use goldcrestring::process::leader::CallId;
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
const ENTRIES: u64 = 4;
const VMS: u32 = 6;
const STEP: Duration = Duration::from_millis(5);
const TASK_TIME: Duration = Duration::from_millis(1_500);
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Clock rates of the entries, in thousandths off the true rate.
const CLOCK_RATES_PER_MILLE: [i64; 4] = [0, 4, -4, 2];

/// A rule broken on purpose, to see that the checks notice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mutation {
    /// An entry times its lease from when the answer came.
    LeaseFromReceipt,
    /// An entry raises its ceiling again after it has promised to keep it low.
    BrokenPromise,
    /// The units of a dead entry are given away at once.
    EarlyRetirement,
    /// An entry starts work without looking at its lease.
    NoLeaseCheck,
}

impl Mutation {
    pub(crate) const ALL: [Self; 4] =
        [Self::LeaseFromReceipt, Self::BrokenPromise, Self::EarlyRetirement, Self::NoLeaseCheck];
}

enum Message {
    Call(LeaseCall),
    Answer(GrantedLease),
}

struct Packet {
    at: Duration,
    entry: usize,
    boot: BootId,
    sent_at: Duration,
    message: Message,
}

struct Entry {
    instance: EntryInstance,
    state: EntryState,
    rate_per_mille: i64,
    call_since: Option<Duration>,
    next_call: Duration,
    frozen_until: Duration,
    highest_revision: Revision,
    demand: u32,
    own_running: u32,
}

/// A task on a server, which ends by itself at the latest when its time is over.
struct Task {
    entry: usize,
    boot: BootId,
    vm: VmId,
    ends_at: Duration,
}

struct Waiting {
    id: CallId,
    entry: usize,
    boot: BootId,
    sent_at: Duration,
}

/// The world under test.
pub(crate) struct Sim {
    now: Duration,
    rng: SmallRng,
    state: ControlState,
    next_index: u64,
    term: u64,
    leader: Option<Leader>,
    next_leader_at: Duration,
    next_duty: Duration,
    waiting: Vec<Waiting>,
    pending: Vec<(Duration, Command)>,
    entries: Vec<Entry>,
    packets: Vec<Packet>,
    tasks: Vec<Task>,
    has_faults: bool,
    mutation: Option<Mutation>,
    in_force: Revision,
    limits: Vec<(Duration, u32)>,
    data_centre_out_at: Option<Revision>,
    /// The number of tasks started.
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
            next_duty: now,
            waiting: Vec::new(),
            pending: Vec::new(),
            entries: Vec::new(),
            packets: Vec::new(),
            tasks: Vec::new(),
            has_faults: false,
            mutation: None,
            in_force: Revision::ZERO,
            limits: vec![(now, LIMIT)],
            data_centre_out_at: None,
            started: 0,
        };
        sim.change(objects());
        for number in 0..ENTRIES {
            let entry = sim.new_entry(usize::try_from(number).expect("a small number"), 1);
            sim.entries.push(entry);
        }
        sim
    }

    pub(crate) fn faults(&mut self) {
        self.has_faults = true;
    }

    pub(crate) fn mutate(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
    }

    pub(crate) fn only_first_entry_asks(&mut self) {
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

    /// Ends all faults; then every unit of the limit must become usable again.
    pub(crate) fn settle(&mut self) {
        self.has_faults = false;
        self.set_limit(LIMIT);
        for entry in &mut self.entries {
            entry.frozen_until = Duration::ZERO;
            entry.demand = 0;
        }
        self.run(8_000);
        let ceilings = self.entries.iter().map(|e| e.state.admission.allowances.ceiling(&team()));
        assert_eq!(ceilings.sum::<u32>(), LIMIT, "units are stranded");
        assert_eq!(self.in_force, self.state.configuration().revision());
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.has_faults {
            self.cause_faults();
        }
        self.tasks.retain(|task| self.now < task.ends_at || task.ends_at == Duration::MAX);
        self.commit_due();
        self.deliver();
        self.lead();
        for number in 0..self.entries.len() {
            if self.now >= self.entries[number].frozen_until {
                self.call(number);
                self.work(number);
            }
        }
        self.check();
    }

    fn cause_faults(&mut self) {
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
        self.waiting.clear();
        self.pending.clear();
        self.term += 1;
        self.next_leader_at = self.now + Duration::from_millis(self.rng.random_range(10..2_000));
    }

    fn restart_entry(&mut self) {
        let number = self.rng.random_range(0..self.entries.len());
        let boot = self.entries[number].instance.boot.get() + 1;
        if self.mutation == Some(Mutation::EarlyRetirement) {
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
        self.data_centre_out_at = (service == "out").then_some(revision);
    }

    fn change(&mut self, objects: Vec<Object>) -> Revision {
        let change = Change {
            change_id: format!("change-{}", self.next_index).parse().expect("an id"),
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
        let due: Vec<_> = self.pending.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, command) in due {
            self.apply(&command);
        }
    }

    fn lead(&mut self) {
        if self.leader.is_none() && self.now >= self.next_leader_at {
            self.leader = Some(Leader::new(self.now));
        }
        let Some(leader) = &mut self.leader else { return };
        if self.now >= self.next_duty {
            self.next_duty = self.now + Duration::from_millis(200);
            leader.refresh_live_entries(self.now);
        }
        let commands = leader.plan_commands(self.now, &self.state);
        let answers = leader.answer(self.now, Term::new(self.term), &self.state);
        self.in_force = self.in_force.max(leader.in_force(self.now, &self.state));
        for command in commands {
            let delay = Duration::from_millis(self.rng.random_range(2..30));
            self.pending.push((self.now + delay, command));
        }
        for (id, granted) in answers {
            let Some(at) = self.waiting.iter().position(|waiting| waiting.id == id) else {
                continue;
            };
            let waiting = self.waiting.remove(at);
            self.send(waiting.entry, waiting.boot, waiting.sent_at, Message::Answer(granted));
        }
    }

    fn call(&mut self, number: usize) {
        let now = self.now;
        let entry = &mut self.entries[number];
        let is_waiting = entry.call_since.is_some_and(|since| now < since + CALL_TIMEOUT);
        if is_waiting || now < entry.next_call {
            return;
        }
        entry.call_since = Some(now);
        let waiting = entry.demand.saturating_sub(entry.own_running);
        for is_waiting in [true, false] {
            for _ in 0..waiting {
                entry.state.admission.allowances.record_waiting(&team(), is_waiting);
            }
        }
        let instance = entry.instance.clone();
        let is_urgent = entry.own_running < entry.demand;
        let call = entry.state.lease_call(&instance, is_urgent);
        self.send(number, instance.boot, now, Message::Call(call));
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
        self.packets.push(Packet { at: self.now + delay, entry, boot, sent_at, message });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.packets.extract_if(.., |packet| packet.at <= now).collect();
        for packet in due {
            match packet.message {
                Message::Call(call) => {
                    let Some(leader) = &mut self.leader else { continue };
                    let id = leader.enqueue_call(now, call);
                    let (entry, boot, sent_at) = (packet.entry, packet.boot, packet.sent_at);
                    self.waiting.push(Waiting { id, entry, boot, sent_at });
                }
                Message::Answer(granted) => {
                    let entry = &self.entries[packet.entry];
                    if now < entry.frozen_until {
                        let at = entry.frozen_until;
                        let message = Message::Answer(granted);
                        self.packets.push(Packet { at, message, ..packet });
                    } else if entry.instance.boot == packet.boot {
                        self.take_answer(packet.entry, packet.sent_at, granted);
                    }
                }
            }
        }
    }

    fn take_answer(&mut self, number: usize, sent_at: Duration, mut granted: GrantedLease) {
        let (now, mutation) = (self.now, self.mutation);
        let entry = &mut self.entries[number];
        // An answer to a call that was given up still reaches the process.
        if entry.call_since == Some(sent_at) {
            entry.call_since = None;
            entry.next_call = now + STEP;
        }
        let sent_at = if mutation == Some(Mutation::LeaseFromReceipt) { now } else { sent_at };
        if mutation == Some(Mutation::BrokenPromise) {
            for target in granted.targets.changed.values_mut() {
                target.grant.revision =
                    Revision::new(target.grant.revision.get() + now.as_millis() as u64);
                target.target_units = target.grant.units;
            }
        }
        entry.state.apply(local(sent_at, entry.rate_per_mille), granted);
        let revision = entry.state.configuration.revision();
        assert!(revision >= entry.highest_revision, "an entry's configuration went back");
        entry.highest_revision = revision;
    }

    /// Starts and ends tasks as the demand asks for.
    fn work(&mut self, number: usize) {
        let now = self.now;
        let mutation = self.mutation;
        let entry = &mut self.entries[number];
        let own_now = local(now, entry.rate_per_mille);
        let boot = entry.instance.boot;
        let ended = {
            let of_entry = |task: &Task| task.entry == number && task.boot == boot;
            let running = self.tasks.iter().filter(|task| of_entry(task)).count();
            entry.own_running
                - u32::try_from(running).expect("a small number").min(entry.own_running)
        };
        for _ in 0..ended {
            entry.own_running -= 1;
            entry.state.admission.finish(Some(&team()));
        }
        while entry.own_running < entry.demand {
            let request = AdmissionRequest {
                queue: queue(),
                team: Some(team()),
                deadline: own_now + TASK_TIME,
                tried: Vec::new(),
                max_waiting: 0,
            };
            let is_lease_valid =
                entry.state.lease.is_valid(own_now) || mutation == Some(Mutation::NoLeaseCheck);
            if !is_lease_valid {
                return;
            }
            let Admission::Start(choice) = entry.state.request(own_now, request) else { return };
            entry.state.admission.router.finish(&choice.vm, None);
            entry.own_running += 1;
            // The worst case: every task runs until its time is over.
            let ends_at = now + TASK_TIME - Duration::from_millis(20);
            self.tasks.push(Task { entry: number, boot, vm: choice.vm, ends_at });
            self.started += 1;
            let revision = entry.state.configuration.revision();
            assert!(
                revision >= self.in_force,
                "a start under {revision}, {} in force",
                self.in_force
            );
            let is_out = self.data_centre_out_at.is_some_and(|out| self.in_force >= out);
            let vm = &self.tasks[self.tasks.len() - 1].vm;
            let is_there = entry.state.data_centre_of(vm).is_some_and(|dc| dc.as_str() == "dc-0");
            assert!(!(is_out && is_there), "a start in a data centre out of service");
        }
    }

    /// The history so far keeps every promise.
    fn check(&self) {
        let running = u32::try_from(self.tasks.len()).expect("a small number");
        // A lowered limit binds once it is in force and what ran before has ended.
        let grace = TASK_TIME + Duration::from_secs(3);
        let since = self.now.saturating_sub(grace);
        let mut highest = 0;
        for (position, (_, limit)) in self.limits.iter().enumerate() {
            let ended_at = self.limits.get(position + 1).map_or(Duration::MAX, |(at, _)| *at);
            if ended_at >= since {
                highest = highest.max(*limit);
            }
        }
        assert!(running <= highest, "{running} tasks run, the limit is {highest}");
        for entry in &self.entries {
            let own_now = local(self.now, entry.rate_per_mille);
            if self.now >= entry.frozen_until && entry.state.lease.is_valid(own_now) {
                let revision = entry.state.configuration.revision();
                assert!(
                    revision >= self.in_force,
                    "{} has a lease at {revision}, but {} was said to be in force",
                    entry.instance,
                    self.in_force
                );
            }
        }
    }

    fn new_entry(&self, number: usize, boot: u64) -> Entry {
        let node = format!("entry-{number}").parse().expect("a node's id");
        let mut state = EntryState::new(boot + number as u64);
        let plan =
            AnnouncementSchedule { entries_per_server: 1, interval: Duration::from_secs(100_000) };
        for vm in 0..VMS {
            state.announce(Duration::ZERO, plan, announcement(vm));
        }
        Entry {
            instance: EntryInstance { node, boot: BootId::new(boot) },
            state,
            rate_per_mille: CLOCK_RATES_PER_MILLE[number % CLOCK_RATES_PER_MILLE.len()],
            call_since: None,
            next_call: self.now,
            frozen_until: Duration::ZERO,
            highest_revision: Revision::ZERO,
            demand: 6,
            own_running: 0,
        }
    }
}

/// The time as a clock with another rate shows it.
fn local(now: Duration, rate_per_mille: i64) -> Duration {
    let difference = now * u32::try_from(rate_per_mille.abs()).expect("a small rate") / 1_000;
    if rate_per_mille < 0 { now - difference } else { now + difference }
}

fn team() -> TeamName {
    "bakers".parse().expect("a team's name")
}

fn queue() -> QueueName {
    "quotes".parse().expect("a queue's name")
}

fn object(name: &str, labels: &[(&str, &str)], spec: Spec) -> Object {
    let label = |(key, value): &(&str, &str)| {
        (key.parse().expect("a label key"), value.parse().expect("a label value"))
    };
    let labels: BTreeMap<_, _> = labels.iter().map(label).collect();
    Object { name: name.parse().expect("a name"), labels, spec }
}

fn objects() -> Vec<Object> {
    let timeout_ms = u64::try_from(TASK_TIME.as_millis()).expect("a short time");
    let vm_selector = "pool=quotes".parse().expect("a selector");
    let team_spec = TeamSpec { upper_limit_tasks: LIMIT, ..TeamSpec::default() };
    let mut objects = vec![
        object("dc-0", &[], Spec::DataCentre(DataCentreSpec::default())),
        object("dc-1", &[], Spec::DataCentre(DataCentreSpec::default())),
        object("quotes", &[], Spec::Pool(PoolSpec { vm_selector })),
        object("quotes", &[], Spec::Queue(QueueSpec { timeout_ms, ..QueueSpec::default() })),
        object("bakers", &[], Spec::Team(team_spec)),
    ];
    for number in 0..VMS {
        let labels = [("pool", "quotes"), ("data-centre", ["dc-0", "dc-1"][number as usize % 2])];
        objects.push(object(&format!("vm-{number}"), &labels, Spec::Vm(VmSpec::default())));
    }
    objects
}

fn announcement(number: u32) -> Announcement {
    Announcement {
        vm: format!("vm-{number}").parse().expect("a VM's id"),
        boot: BootId::new(1),
        sequence: 1,
        uptime_ms: 0,
        address: "127.0.0.1:1".parse().expect("an address"),
        data_centre: "dc-1".parse().expect("a name"),
        rack: "r".parse().expect("a name"),
        slots: 100,
        running: 0,
        is_leaving: false,
    }
}
