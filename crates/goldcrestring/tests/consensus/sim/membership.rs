//! Replicas that join through a leader, with join requests that arrive late, twice or through others.

use super::{PROGRESS_TIMEOUT_MS, Sim, ms};
use crate::disk::Disk;
use goldcrestring::name::NodeId;
use goldcrestring::process::leader::{Leader, REPLACE_VOTER_AFTER};
use goldcrestring::process::{Consensus, IdentityQuery, ReplicaId};
use goldcrestring::quantity::{Incarnation, Term};
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::Duration;

/// The number of nodes, all of which should be voters.
const NODES: usize = 5;

/// The number of lost disks that the nodes must survive.
const MAX_LOST_DISKS: usize = 2;

/// Interval between a replica's requests to join.
const JOIN_INTERVAL_MS: u64 = 400;

/// Interval between a leader's checks of the membership.
const PLAN_INTERVAL_MS: u64 = 150;

/// The maximum delay of a late message.
const MAX_DELAY_MS: u64 = 9_000;

impl Sim {
    /// Removes a replica with its disk and starts a new incarnation on an empty disk.
    pub(crate) fn replace_disk(&mut self, lost: &ReplicaId) -> ReplicaId {
        self.replicas.remove(lost);
        let incarnation = Incarnation::new(lost.incarnation.get() + 1);
        let replacement = ReplicaId { node: lost.node.clone(), incarnation };
        self.add(replacement.clone(), Disk::default());
        replacement
    }

    /// Replaces a lost voter in two membership changes: the replacement becomes a learner, then a
    /// voter.
    pub(crate) fn promote_replacement(&mut self, lost: &ReplicaId, replacement: &ReplicaId) {
        let started = self.now;
        loop {
            assert!(
                self.now < started + ms(PROGRESS_TIMEOUT_MS),
                "the replacement did not become a voter in time"
            );
            self.step();
            let Some(leader) = self.leader() else { continue };
            let now = self.now;
            let consensus = self.replica(&leader).consensus.as_mut().expect("a running leader");
            let mut next = consensus.membership().clone();
            if next.voters.contains(replacement) {
                if consensus.committed() == consensus.last_index() {
                    return;
                }
                continue;
            }
            if next.learners.contains(replacement) {
                if !consensus.is_caught_up(replacement) {
                    continue;
                }
                next.learners.remove(replacement);
                next.voters.insert(replacement.clone());
            } else {
                next.voters.remove(lost);
                next.learners.insert(replacement.clone());
            }
            let _ = consensus.propose_membership(now, next);
            self.apply_effects(&leader, None);
        }
    }

    pub(super) fn is_cut(&self, from: &NodeId, to: &NodeId) -> bool {
        self.cuts.contains(&(from.clone(), to.clone()))
    }
}

/// A message about the membership. It is handled by whatever replica the addressed node runs.
#[derive(Clone, Debug)]
enum JoinMessage {
    Request(ReplicaId),
    Query { query: IdentityQuery, from: NodeId },
    Answer { query: IdentityQuery, replica: ReplicaId },
}

#[derive(Clone, Debug)]
struct JoinPacket {
    due_at: Duration,
    to: NodeId,
    message: JoinMessage,
}

/// A cluster whose replicas ask to join and whose leaders plan the membership.
pub(crate) struct MembershipSim {
    pub(crate) sim: Sim,
    packets: Vec<JoinPacket>,
    leaders: BTreeMap<ReplicaId, (Term, Leader)>,
    /// The percentage of join requests that are delivered late, and again.
    pub(crate) late_percent: u32,
}

impl MembershipSim {
    pub(crate) fn new(seed: u64) -> Self {
        let size = u32::try_from(NODES).expect("a small number");
        let sim = Sim::new(size, seed);
        Self { sim, packets: Vec::new(), leaders: BTreeMap::new(), late_percent: 0 }
    }

    pub(crate) fn run(&mut self, milliseconds: u64) {
        let until = self.sim.now + ms(milliseconds);
        while self.sim.now < until {
            self.step();
        }
    }

    /// Runs until every node's replica is a voter in the leader's committed membership.
    pub(crate) fn run_until_complete(&mut self) {
        let started = self.sim.now;
        while !self.is_complete() {
            assert!(
                self.sim.now < started + ms(PROGRESS_TIMEOUT_MS),
                "not all running replicas became voters in time: {:?}",
                self.leader_consensus().map(Consensus::membership),
            );
            self.step();
        }
    }

    /// Removes a replica with its node for good.
    pub(super) fn remove(&mut self, id: &ReplicaId) {
        self.leaders.remove(id);
        self.sim.replicas.remove(id);
    }

    /// Loses the disk of a node, whose replacement starts at once.
    pub(crate) fn lose_disk(&mut self, lost: &ReplicaId) -> ReplicaId {
        self.leaders.remove(lost);
        self.sim.replace_disk(lost)
    }

    /// Cuts a node off from others until `heal` is called.
    pub(crate) fn cut_off(&mut self, node: &NodeId, others: &[NodeId]) {
        for other in others {
            self.sim.cuts.insert((node.clone(), other.clone()));
            self.sim.cuts.insert((other.clone(), node.clone()));
        }
    }

    pub(crate) fn heal_cuts(&mut self) {
        self.sim.cuts.clear();
    }

    pub(crate) fn freeze(&mut self, id: &ReplicaId, milliseconds: u64) {
        self.sim.freeze(id, ms(milliseconds));
    }

    /// Delivers a join request of a replica to a node, as if it had been on its way until now.
    pub(crate) fn deliver_join_request(&mut self, to: &NodeId, replica: ReplicaId) {
        let message = JoinMessage::Request(replica);
        self.packets.push(JoinPacket { due_at: self.sim.now, to: to.clone(), message });
    }

    /// The voters of the latest leader.
    pub(crate) fn voters(&self) -> Vec<ReplicaId> {
        let membership = self.leader_consensus().map(Consensus::membership);
        membership.map(|known| known.voters.iter().cloned().collect()).unwrap_or_default()
    }

    /// Loses disks, freezes, cuts off and restarts replicas at random while replicas join.
    pub(crate) fn run_random_faults(&mut self, events: usize) {
        self.late_percent = 30;
        self.sim.run_until_leader();
        for _ in 0..events {
            self.sim.propose();
            let gap_ms = self.sim.rng.random_range(50..3_000);
            self.run(gap_ms);
            let ids = self.sim.ids();
            let mut pick = || ids[self.sim.rng.random_range(0..ids.len())].clone();
            let (victim, other) = (pick(), pick());
            match self.sim.rng.random_range(0..8_u32) {
                0..3 if self.may_lose_disk() => drop(self.lose_disk(&victim)),
                3 => {
                    let freeze_ms = self.sim.rng.random_range(500..8_000);
                    self.freeze(&victim, freeze_ms);
                }
                4 => {
                    let leader = self.sim.leader().unwrap_or(victim);
                    let others = ids.iter().map(|id| &id.node);
                    let others =
                        others.filter(|node| **node != leader.node && **node != other.node);
                    let others: Vec<_> = others.cloned().collect();
                    self.cut_off(&leader.node, &others);
                }
                5 => self.sim.restart_in(&victim, ms(700)),
                _ => self.heal_cuts(),
            }
        }
        self.heal_cuts();
        self.late_percent = 0;
    }

    /// Loses the most disks allowed while all others lose power, and checks that nothing is lost.
    pub(crate) fn check_final_fault(&mut self) {
        self.sim.commit(3);
        let ids = self.sim.ids();
        let first = self.sim.rng.random_range(0..ids.len());
        for (position, id) in ids.iter().enumerate() {
            let offset = (position + ids.len() - first) % ids.len();
            if offset < MAX_LOST_DISKS {
                self.lose_disk(id);
            } else {
                self.sim.restart_in(id, ms(1_000));
            }
        }
        self.run(1_100);
        self.run_until_complete();
        // The simulation checks that each position has one entry, so committed ones were kept.
        self.sim.commit(3);
    }

    /// Whether the running voters would keep a quorum after the loss of one more disk.
    fn may_lose_disk(&self) -> bool {
        let Some(consensus) = self.leader_consensus() else { return false };
        let membership = consensus.membership();
        let intact = membership.voters.iter().filter(|id| self.sim.replicas.contains_key(id));
        consensus.committed() == consensus.last_index()
            && intact.count() > membership.quorum()
            && membership.voters.len() + MAX_LOST_DISKS > NODES
            && self.sim.replicas.values().all(|replica| replica.consensus.is_some())
    }

    pub(super) fn is_complete(&self) -> bool {
        let Some(consensus) = self.leader_consensus() else { return false };
        let membership = consensus.membership();
        consensus.committed() == consensus.last_index()
            && membership.voters.len() == NODES
            && membership.voters.iter().all(|id| self.sim.replicas.contains_key(id))
    }

    fn leader_consensus(&self) -> Option<&Consensus> {
        Some(self.sim.consensus(&self.sim.leader()?))
    }

    fn step(&mut self) {
        self.sim.step();
        for id in self.sim.ids() {
            if self.is_running(&id) {
                self.request_join(&id);
                self.lead(&id);
            }
        }
        self.deliver();
    }

    fn is_running(&self, id: &ReplicaId) -> bool {
        let replica = &self.sim.replicas[id];
        replica.consensus.is_some() && self.sim.now >= replica.frozen_until
    }

    fn is_due(&self, interval_ms: u64) -> bool {
        self.sim.now.as_millis().is_multiple_of(u128::from(interval_ms))
    }

    fn request_join(&mut self, id: &ReplicaId) {
        let is_absent = self.sim.consensus(id).join_reason(self.sim.now).is_some();
        if is_absent && self.is_due(JOIN_INTERVAL_MS) {
            for other in self.sim.ids() {
                if other != *id {
                    self.send(&id.node, &other.node, JoinMessage::Request(id.clone()));
                }
            }
        }
    }

    fn lead(&mut self, id: &ReplicaId) {
        let now = self.sim.now;
        let consensus = self.sim.consensus(id);
        if !consensus.is_leader() || !consensus.has_committed_in_term() {
            self.leaders.remove(id);
            return;
        }
        let term = consensus.term();
        if self.leaders.get(id).is_none_or(|(known, _)| *known != term) {
            self.leaders.insert(id.clone(), (term, Leader::new(now)));
        }
        if !self.is_due(PLAN_INTERVAL_MS) {
            return;
        }
        let Some((_, leader)) = self.leaders.get_mut(id) else { return };
        let consensus = self.sim.consensus(id);
        let Some(next) = leader.plan_membership(now, consensus, NODES, REPLACE_VOTER_AFTER) else {
            return;
        };
        let consensus = self.sim.replica(id).consensus.as_mut().expect("a running replica");
        let _ = consensus.propose_membership(now, next);
        self.sim.apply_effects(id, None);
    }

    fn send(&mut self, from: &NodeId, to: &NodeId, message: JoinMessage) {
        if self.sim.is_cut(from, to) {
            return;
        }
        let packet = JoinPacket { due_at: self.sim.now + ms(10), to: to.clone(), message };
        if self.sim.rng.random_range(0..100) < self.late_percent {
            let delay_ms = self.sim.rng.random_range(500..MAX_DELAY_MS);
            self.packets
                .push(JoinPacket { due_at: packet.due_at + ms(delay_ms), ..packet.clone() });
        }
        self.packets.push(packet);
    }

    fn deliver(&mut self) {
        let now = self.sim.now;
        let due: Vec<_> = self.packets.extract_if(.., |packet| packet.due_at <= now).collect();
        for packet in due {
            let replicas = self.sim.replicas.iter();
            let mut on_node = replicas.filter(|(id, _)| id.node == packet.to);
            let Some((id, replica)) = on_node.next() else { continue };
            if now < replica.frozen_until {
                self.packets.push(JoinPacket { due_at: replica.frozen_until, ..packet });
            } else if replica.consensus.is_some() {
                let id = id.clone();
                self.handle(&id, packet.message);
            }
        }
    }

    fn handle(&mut self, id: &ReplicaId, message: JoinMessage) {
        let consensus = self.sim.consensus(id);
        match message {
            JoinMessage::Request(replica) => {
                if let Some((_, leader)) = self.leaders.get_mut(id) {
                    let membership = consensus.membership();
                    let query = leader.handle_join_request(self.sim.now, &replica, membership);
                    if let Some(query) = query {
                        let (from, to) = (id.node.clone(), query.node.clone());
                        let message = JoinMessage::Query { query, from: from.clone() };
                        self.send(&from, &to, message);
                    }
                } else if let Some(leader) = consensus.leader().filter(|leader| *leader != id) {
                    let to = leader.node.clone();
                    self.send(&id.node, &to, JoinMessage::Request(replica));
                }
            }
            JoinMessage::Query { query, from } => {
                let message = JoinMessage::Answer { query, replica: id.clone() };
                self.send(&id.node, &from, message);
            }
            JoinMessage::Answer { query, replica } => {
                if let Some((_, leader)) = self.leaders.get_mut(id) {
                    leader.handle_identity(query, Some(replica), consensus.membership());
                }
            }
        }
    }
}
