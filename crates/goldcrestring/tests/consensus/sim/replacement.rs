//! A replica that is replaced by one on another node while the leader is lost.

use super::membership::MembershipSim;
use super::ms;
use crate::disk::Disk;
use goldcrestring::process::ReplicaId;
use goldcrestring::quantity::Incarnation;
use rand::RngExt;
use std::time::Duration;

/// How long after the last fault the next ones must be survived.
const CATCH_UP: Duration = Duration::from_secs(4);

/// When the new replica starts, in milliseconds since the start of the play.
const START_AT_MS: u64 = 4_000;

/// How the leader is lost for a while.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LeaderLoss {
    /// It reaches the new replica only.
    CutOff,
    /// It receives messages, but only the new replica receives its own.
    Unheard,
    /// It sends messages, but receives only those of the new replica.
    Deaf,
    Frozen,
    Restarted,
}

/// A replacement; times are in milliseconds since its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Replacement {
    pub(crate) loss: LeaderLoss,
    pub(crate) loss_at_ms: u64,
    pub(crate) loss_for_ms: u64,
    /// When the replaced replica is gone for good.
    pub(crate) gone_at_ms: u64,
}

impl Replacement {
    const fn end_ms(&self) -> u64 {
        let mut end_ms = START_AT_MS;
        if self.gone_at_ms > end_ms {
            end_ms = self.gone_at_ms;
        }
        let loss_end_ms = self.loss_at_ms + self.loss_for_ms;
        if loss_end_ms > end_ms { loss_end_ms } else { end_ms }
    }
}

impl MembershipSim {
    /// Plays a replacement and checks that all running replicas become voters in time, so that lost disks then
    /// lose nothing.
    pub(crate) fn check_replacement(&mut self, replacement: Replacement) {
        self.sim.run_until_leader();
        self.sim.commit(3);
        let start = self.sim.now;
        let leader = self.sim.leader().expect("a leader");
        let others: Vec<_> = self.sim.ids().into_iter().filter(|id| *id != leader).collect();
        let replaced = others[self.sim.rng.random_range(0..others.len())].clone();
        let mut is_lost = false;
        let mut is_healed = false;
        let mut is_started = false;
        let mut is_gone = false;
        while self.sim.now <= start + ms(replacement.end_ms()) {
            let elapsed = self.sim.now - start;
            let is_due = |done: &mut bool, at_ms| {
                let is_due = !*done && elapsed >= ms(at_ms);
                *done |= is_due;
                is_due
            };
            if is_due(&mut is_lost, replacement.loss_at_ms) {
                self.lose_leader(&leader, &others, replacement);
            }
            if is_due(&mut is_healed, replacement.loss_at_ms + replacement.loss_for_ms) {
                self.heal_cuts();
            }
            if is_due(&mut is_started, START_AT_MS) {
                self.start_on_new_node();
            }
            if is_due(&mut is_gone, replacement.gone_at_ms) {
                self.remove(&replaced);
            }
            self.run(50);
            self.sim.propose();
        }
        let ended_at = self.sim.now;
        while !self.is_complete() {
            assert!(
                self.sim.now < ended_at + CATCH_UP,
                "{replacement:?}: the voters are {:?}",
                self.voters()
            );
            self.run(50);
        }
        self.check_final_fault();
    }

    fn lose_leader(&mut self, leader: &ReplicaId, others: &[ReplicaId], replacement: Replacement) {
        for other in others {
            let outward = (leader.node.clone(), other.node.clone());
            let inward = (other.node.clone(), leader.node.clone());
            match replacement.loss {
                LeaderLoss::CutOff => self.sim.cuts.extend([outward, inward]),
                LeaderLoss::Unheard => self.sim.cuts.extend([outward]),
                LeaderLoss::Deaf => self.sim.cuts.extend([inward]),
                LeaderLoss::Frozen | LeaderLoss::Restarted => {}
            }
        }
        match replacement.loss {
            LeaderLoss::Frozen => self.freeze(leader, replacement.loss_for_ms),
            LeaderLoss::Restarted => self.sim.restart_in(leader, ms(replacement.loss_for_ms)),
            LeaderLoss::CutOff | LeaderLoss::Unheard | LeaderLoss::Deaf => {}
        }
    }

    fn start_on_new_node(&mut self) {
        let node = "entry-new".parse().expect("a valid node id");
        let id = ReplicaId { node, incarnation: Incarnation::new(1_000) };
        self.sim.add(id, Disk::default());
    }
}
