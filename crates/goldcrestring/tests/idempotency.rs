//! Non-idempotent requests run at most once, in a simulation of claims with lost and delayed
//! messages, resent requests, holders that lose their records in a restart, and frozen entries.

use goldcrestring::name::{DataCentreName, NodeId};
use goldcrestring::process::EntryInstance;
use goldcrestring::process::idempotency::{
    CLAIM_TIMEOUT, COPY_DELAY, Claim, ClaimDecision, ClaimResponse, RecordKey, RecordStore,
    StoredResponse, TaskId, decide_claim, holders, is_held_by_majority,
};
use goldcrestring::quantity::BootId;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};
use uuid::{Builder, Uuid};

const ENTRY_COUNT: u64 = 5;
const TICK: Duration = Duration::from_millis(10);
const SIMULATION_TIME: Duration = Duration::from_secs(40);
const SEED_COUNT: u64 = 400;

/// The number of latest keys whose requests are resent: those of about five seconds.
const RECENT_KEYS: usize = 40;

/// A deliberate violation of the protocol, which the check must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mutation {
    /// The response of one holder decides a claim.
    NoMajority,
    /// A restarted holder answers for every key without waiting for copies.
    RestartedHolderResponds,
    /// A claim is valid however long the responses took.
    NoClaimTimeout,
    /// A restarted holder answers for keys as in a new cluster.
    RestartedHolderIsInNewCluster,
}

enum Message {
    Claim(Claim),
    Response(NodeId, ClaimResponse),
    Complete(Claim),
    Release(TaskId),
}

struct Packet {
    due_at: Duration,
    from: NodeId,
    to: NodeId,
    key: RecordKey,
    message: Message,
}

struct Entry {
    store: RecordStore,
    started_at: Duration,
    copied_from: BTreeSet<NodeId>,
    frozen_until: Duration,
}

/// A claim that waits for responses of holders.
struct PendingClaim {
    key: RecordKey,
    claim: Claim,
    entry: NodeId,
    sent_at: Duration,
    holders: BTreeSet<NodeId>,
    responses: BTreeMap<NodeId, ClaimResponse>,
}

struct Sim {
    now: Duration,
    rng: SmallRng,
    mutation: Option<Mutation>,
    data_centres: BTreeMap<NodeId, DataCentreName>,
    entries: BTreeMap<NodeId, Entry>,
    packets: Vec<Packet>,
    pending_claims: Vec<PendingClaim>,
    keys: Vec<RecordKey>,
    runs: BTreeMap<RecordKey, usize>,
    next_task: u128,
}

impl Sim {
    fn new(seed: u64, mutation: Option<Mutation>) -> Self {
        let now = Duration::from_secs(10_000);
        let node =
            |number: u64| -> NodeId { format!("entry-{number}").parse().expect("a valid id") };
        let data_centre = |number: u64| format!("dc-{}", number % 3).parse().expect("a valid name");
        let numbers = 0..ENTRY_COUNT;
        let mut sim = Self {
            now,
            rng: SmallRng::seed_from_u64(seed),
            mutation,
            data_centres: numbers.clone().map(|n| (node(n), data_centre(n))).collect(),
            entries: BTreeMap::new(),
            packets: Vec::new(),
            pending_claims: Vec::new(),
            keys: Vec::new(),
            runs: BTreeMap::new(),
            next_task: 1,
        };
        for number in numbers {
            sim.restart(&node(number));
        }
        for entry in sim.entries.values_mut() {
            entry.store.mark_new_cluster();
        }
        sim
    }

    fn run(&mut self) {
        let until = self.now + SIMULATION_TIME;
        while self.now < until {
            self.now += TICK;
            self.inject_faults();
            self.send_requests();
            self.copy_records();
            self.deliver();
            self.decide_claims();
        }
    }

    fn inject_faults(&mut self) {
        let nodes: Vec<_> = self.entries.keys().cloned().collect();
        let node = nodes[self.rng.random_range(0..nodes.len())].clone();
        match self.rng.random_range(0..600_u32) {
            0..=1 => self.restart(&node),
            2 => {
                let until = self.now + Duration::from_millis(self.rng.random_range(200..4_000));
                self.entries.get_mut(&node).expect("a known entry").frozen_until = until;
            }
            _ => {}
        }
    }

    /// Restarts an entry, which loses its records and its pending claims.
    fn restart(&mut self, node: &NodeId) {
        self.pending_claims.retain(|pending| pending.entry != *node);
        let may_respond_at_once = self.mutation == Some(Mutation::RestartedHolderResponds);
        let started_at =
            if may_respond_at_once { SystemTime::UNIX_EPOCH } else { system_time(self.now) };
        let mut store = RecordStore::new(started_at);
        if self.mutation == Some(Mutation::RestartedHolderIsInNewCluster) {
            store.mark_new_cluster();
        }
        let entry = Entry {
            store,
            started_at: self.now,
            copied_from: BTreeSet::new(),
            frozen_until: Duration::ZERO,
        };
        self.entries.insert(node.clone(), entry);
    }

    /// Sends a new request or resends a recent one, at times as two copies to random entries.
    fn send_requests(&mut self) {
        if self.rng.random_range(0..4_u32) != 0 {
            return;
        }
        let is_new = self.keys.is_empty() || self.rng.random_range(0..3_u32) == 0;
        if is_new {
            // The clocks of callers deviate by up to 950 ms.
            let skew = Duration::from_millis(self.rng.random_range(0..1_900));
            let issued_at = self.now + Duration::from_millis(950) - skew;
            let milliseconds =
                u64::try_from(issued_at.as_millis()).expect("milliseconds fit in u64");
            let key = Builder::from_unix_timestamp_millis(milliseconds, &self.rng.random());
            self.keys.push(RecordKey { team: None, key: key.into_uuid() });
        }
        let recent = self.keys.len().saturating_sub(RECENT_KEYS);
        let key = self.keys[self.rng.random_range(recent..self.keys.len())].clone();
        for _ in 0..self.rng.random_range(1..3_u32) {
            self.send_claims(&key);
        }
    }

    fn send_claims(&mut self, key: &RecordKey) {
        let nodes: Vec<_> = self.entries.keys().cloned().collect();
        let entry = nodes[self.rng.random_range(0..nodes.len())].clone();
        if self.now < self.entries[&entry].frozen_until {
            return;
        }
        let claim = Claim {
            task: TaskId(Uuid::from_u128(self.next_task)),
            attempt: 0,
            request_digest: [0; 32],
            claimant: EntryInstance { node: entry.clone(), boot: BootId::new(1) },
            vm: "vm-1".parse().expect("a valid id"),
            address: "127.0.0.1:1".parse().expect("a socket address"),
        };
        self.next_task += 1;
        let holders = holders(key, &self.data_centres);
        for holder in &holders {
            self.send(&entry, holder, key, Message::Claim(claim.clone()));
        }
        let (key, sent_at) = (key.clone(), self.now);
        let responses = BTreeMap::new();
        self.pending_claims.push(PendingClaim { key, claim, entry, sent_at, holders, responses });
    }

    fn send(&mut self, from: &NodeId, to: &NodeId, key: &RecordKey, message: Message) {
        if self.rng.random_range(0..10_u32) == 0 {
            return;
        }
        let delay = match self.rng.random_range(0..10_u32) {
            0 => self.rng.random_range(100..3_000),
            _ => self.rng.random_range(1..20),
        };
        let due_at = self.now + Duration::from_millis(delay);
        let (from, to, key) = (from.clone(), to.clone(), key.clone());
        self.packets.push(Packet { due_at, from, to, key, message });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.packets.extract_if(.., |packet| packet.due_at <= now).collect();
        for packet in due {
            let frozen_until = self.entries[&packet.to].frozen_until;
            if now < frozen_until {
                self.packets.push(Packet { due_at: frozen_until, ..packet });
                continue;
            }
            self.handle(packet);
        }
    }

    fn handle(&mut self, packet: Packet) {
        let now = self.now;
        let mut other_holders = holders(&packet.key, &self.data_centres);
        other_holders.remove(&packet.to);
        let entry = self.entries.get_mut(&packet.to).expect("a known entry");
        match packet.message {
            Message::Claim(claim) => {
                let response = entry.store.claim(now, &packet.key, &claim, &other_holders);
                // The packet's key carries the task id, by which the claimant finds its pending claim.
                let key = RecordKey { team: None, key: claim.task.0 };
                let message = Message::Response(packet.to.clone(), response);
                self.send(&packet.to, &packet.from, &key, message);
            }
            Message::Response(holder, response) => {
                let task = packet.key.key;
                let pending =
                    self.pending_claims.iter_mut().find(|pending| pending.claim.task.0 == task);
                if let Some(pending) = pending.filter(|pending| pending.entry == packet.to) {
                    pending.responses.insert(holder, response);
                }
            }
            Message::Complete(claim) => {
                let response = StoredResponse { status: 200, content_type: None, body: Vec::new() };
                entry.store.complete(now, &packet.key, &claim, response);
            }
            Message::Release(task) => entry.store.release(&packet.key, task),
        }
    }

    /// Decides claims that a majority holds, that have all responses or whose timeout has passed.
    fn decide_claims(&mut self) {
        let now = self.now;
        let timeout = match self.mutation {
            Some(Mutation::NoClaimTimeout) => Duration::from_secs(10),
            _ => CLAIM_TIMEOUT,
        };
        let entries = &self.entries;
        let is_due = |pending: &mut PendingClaim| {
            let is_frozen = now < entries[&pending.entry].frozen_until;
            let responses: Vec<_> = pending
                .holders
                .iter()
                .map(|holder| pending.responses.get(holder).cloned())
                .collect();
            let is_complete =
                responses.iter().all(Option::is_some) || is_held_by_majority(&responses);
            !is_frozen && (is_complete || now >= pending.sent_at + timeout)
        };
        let due: Vec<_> = self.pending_claims.extract_if(.., is_due).collect();
        for pending in due {
            let mut responses: Vec<_> = pending
                .holders
                .iter()
                .map(|holder| pending.responses.get(holder).cloned())
                .collect();
            if self.mutation == Some(Mutation::NoMajority) {
                responses.retain(Option::is_some);
                responses.truncate(1);
            }
            let elapsed = match self.mutation {
                Some(Mutation::NoClaimTimeout) => Duration::ZERO,
                _ => now - pending.sent_at,
            };
            let PendingClaim { key, claim, entry, holders, .. } = pending;
            if !responses.is_empty() && decide_claim(responses, elapsed) == ClaimDecision::Held {
                let runs = self.runs.entry(key.clone()).or_default();
                *runs += 1;
                assert_eq!(*runs, 1, "{key} ran twice");
                for holder in &holders {
                    self.send(&entry, holder, &key, Message::Complete(claim.clone()));
                }
            } else {
                for holder in &holders {
                    self.send(&entry, holder, &key, Message::Release(claim.task));
                }
            }
        }
    }

    /// Lets restarted entries copy the records of all other entries, one at a time.
    fn copy_records(&mut self) {
        let nodes: Vec<_> = self.entries.keys().cloned().collect();
        for node in &nodes {
            let entry = &self.entries[node];
            let is_too_early = self.now < entry.started_at + COPY_DELAY;
            if is_too_early || self.now < entry.frozen_until {
                continue;
            }
            let missing = |other: &&NodeId| *other != node && !entry.copied_from.contains(*other);
            let Some(other) = nodes.iter().find(missing) else { continue };
            let source = &self.entries[other];
            if self.now < source.frozen_until {
                continue;
            }
            let others_of_source: BTreeSet<_> =
                nodes.iter().filter(|n| *n != other).cloned().collect();
            let authoritative_from = source.store.authoritative_from(&others_of_source);
            let records = source.store.export(None, usize::MAX);
            let now = self.now;
            let entry = self.entries.get_mut(node).expect("a known entry");
            entry.store.import(now, records);
            entry.store.mark_copied_from(other.clone(), authoritative_from);
            entry.copied_from.insert(other.clone());
        }
    }
}

fn system_time(now: Duration) -> SystemTime {
    SystemTime::UNIX_EPOCH + now
}

fn claim_of_task(task: u128) -> Claim {
    Claim {
        task: TaskId(Uuid::from_u128(task)),
        attempt: 0,
        request_digest: [0; 32],
        claimant: EntryInstance {
            node: "entry-1".parse().expect("a valid id"),
            boot: BootId::new(1),
        },
        vm: "vm-1".parse().expect("a valid id"),
        address: "127.0.0.1:1".parse().expect("a socket address"),
    }
}

fn key_issued_at(issued_at: Duration) -> RecordKey {
    let milliseconds = u64::try_from(issued_at.as_millis()).expect("milliseconds fit in u64");
    let key = Builder::from_unix_timestamp_millis(milliseconds, &[0; 10]);
    RecordKey { team: None, key: key.into_uuid() }
}

#[test]
fn every_request_runs_at_most_once_under_faults() {
    let mut runs = 0;
    let mut keys = 0;
    for seed in 0..SEED_COUNT {
        let mut sim = Sim::new(seed, None);
        sim.run();
        runs += sim.runs.len();
        keys += sim.keys.len();
    }
    println!("{SEED_COUNT} seeds: {runs} of {keys} requests ran, none twice");
    assert!(runs * 2 > keys, "only {runs} of {keys} requests ran");
}

#[test]
fn mutations_are_detected() {
    let mutations = [
        Mutation::NoMajority,
        Mutation::RestartedHolderResponds,
        Mutation::NoClaimTimeout,
        Mutation::RestartedHolderIsInNewCluster,
    ];
    for mutation in mutations {
        let is_detected = (0..SEED_COUNT * 5)
            .any(|seed| std::panic::catch_unwind(|| Sim::new(seed, Some(mutation)).run()).is_err());
        assert!(is_detected, "{mutation:?} is not detected");
    }
}

/// Guards against a refusal of the first requests of a new cluster, and against a holder that
/// restarts in a cluster in use and answers for a key that its previous run may have held.
#[test]
fn only_holders_of_a_new_cluster_answer_for_keys_issued_right_after_their_start() {
    let claim = claim_of_task(1);
    let key = key_issued_at(Duration::from_millis(100_001));
    let other_holders = BTreeSet::from(["entry-2".parse().unwrap(), "entry-3".parse().unwrap()]);
    let now = Duration::from_secs(100);
    let restarted = RecordStore::new(system_time(now));
    let mut new = restarted.clone();
    new.mark_new_cluster();
    assert_eq!(new.claim(now, &key, &claim, &other_holders), ClaimResponse::Held);
    let mut restarted = restarted;
    assert_eq!(restarted.claim(now, &key, &claim, &other_holders), ClaimResponse::NotAuthoritative);
    let earlier_key = key_issued_at(Duration::from_millis(99_999));
    assert_eq!(
        new.claim(now, &earlier_key, &claim, &other_holders),
        ClaimResponse::NotAuthoritative,
        "the key of a cluster that lost all its disks"
    );
}

/// Guards against a second dispatch: a holder restarts, copies a claim that has no majority, and
/// then receives that same claim late, while another claim, which it had granted before the
/// restart, has been dispatched.
#[test]
fn copied_claim_is_never_granted_to_its_claimant() {
    let claim = claim_of_task(2);
    let issued_at = Duration::from_secs(100);
    let key = key_issued_at(issued_at);
    let other_holders = BTreeSet::from(["entry-2".parse().unwrap(), "entry-3".parse().unwrap()]);
    let mut first_holder = RecordStore::new(system_time(Duration::ZERO));
    assert_eq!(first_holder.claim(issued_at, &key, &claim, &other_holders), ClaimResponse::Held);
    assert_eq!(
        first_holder.claim(issued_at, &key, &claim, &other_holders),
        ClaimResponse::Held,
        "a retry"
    );
    let mut restarted = RecordStore::new(system_time(Duration::ZERO));
    restarted.import(issued_at, first_holder.export(None, 10));
    let response = restarted.claim(issued_at, &key, &claim, &other_holders);
    assert!(matches!(response, ClaimResponse::Existing(_)), "{response:?}");
}

/// Guards against a second dispatch: a restarted holder copies a claim that has no majority before
/// the claim that was dispatched, and forgets both when the first one is released.
#[test]
fn released_copy_of_a_claim_never_frees_a_key() {
    let now = Duration::from_secs(100);
    let key = key_issued_at(now);
    let other_holders = BTreeSet::from(["entry-2".parse().unwrap(), "entry-3".parse().unwrap()]);
    let store_with = |claim: &Claim| {
        let mut store = RecordStore::new(system_time(Duration::ZERO));
        assert_eq!(store.claim(now, &key, claim, &other_holders), ClaimResponse::Held);
        store
    };
    let (dispatched, refused) = (claim_of_task(1), claim_of_task(2));
    let mut restarted = RecordStore::new(system_time(Duration::ZERO));
    for claim in [&refused, &dispatched] {
        restarted.import(now, store_with(claim).export(None, 10));
    }
    restarted.release(&key, refused.task);
    let response = restarted.claim(now, &key, &claim_of_task(3), &other_holders);
    assert!(matches!(response, ClaimResponse::Existing(_)), "{response:?}");
}
