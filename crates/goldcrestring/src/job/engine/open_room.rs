//! The backend servers that may be given something now, by pool and by what they have free.
//!
//! One [`OpenRoom`] serves one scheduling round: built once, then kept true with each start, so that
//! a start costs a search in one pool instead of a look at the whole fleet.

use super::Engine;
use super::placement::Demand;
use super::server::Server;
use crate::clock::Uptime;
use crate::job::id::{PoolId, ServerId};
use crate::job::resources::Resources;
use crate::job::state::JobState;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// The most starts of one round, so that the leader answers others in between; the next round follows
/// at once. 2,000 take about 4 ms, and less than half a megabyte of one log entry.
const MAX_STARTS: usize = 2_000;

/// Where a backend server stands in its pool; the lowest that fits is the best.
///
/// Packed servers leave others empty, which can then serve another pool.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    lasting: Reverse<usize>,
    free_cpu_millis: u64,
    number: Reverse<usize>,
}

impl Rank {
    fn of(server: &Server, number: usize) -> Self {
        Self {
            lasting: Reverse(server.lasting),
            free_cpu_millis: server.free().cpu_millis,
            number: Reverse(number),
        }
    }
}

/// The backend servers that may be given something in this round.
#[derive(Debug, Default)]
pub(super) struct OpenRoom {
    /// In the order of their ids; a server's place is its number.
    servers: Vec<(ServerId, Rank)>,
    pools: BTreeMap<PoolId, BTreeSet<Rank>>,
    /// The most of each resource that is free on any server of a pool when the round begins.
    most_free: BTreeMap<PoolId, Resources>,
    starts: usize,
}

impl OpenRoom {
    /// Whether a server of a pool may hold so much; where it says no, none does.
    pub(super) fn may_hold(&self, pool: &PoolId, wanted: &Resources) -> bool {
        self.most_free.get(pool).is_some_and(|most| wanted.fits_in(most))
    }

    /// Whether the round has started as much as one round may.
    pub(super) const fn is_spent(&self) -> bool {
        self.starts >= MAX_STARTS
    }

    /// Counts starts.
    pub(super) const fn count_starts(&mut self, starts: usize) {
        self.starts += starts;
    }

    /// The ids of the open servers of a pool.
    pub(super) fn of_pool(&self, pool: &PoolId) -> impl Iterator<Item = &ServerId> {
        let ranks = self.pools.get(pool).into_iter().flatten();
        ranks.filter_map(|rank| Some(&self.servers.get(rank.number.0)?.0))
    }

    pub(super) fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Takes a server out for the rest of the round.
    pub(super) fn remove(&mut self, pool: &PoolId, id: &ServerId) {
        let Some(ranks) = self.pools.get_mut(pool) else { return };
        let servers = &self.servers;
        ranks.retain(|rank| servers.get(rank.number.0).is_some_and(|(known, _)| known != id));
    }

    /// Notes that what a server has free has changed.
    pub(super) fn update(&mut self, id: &ServerId, server: &Server) {
        let Ok(number) = self.servers.binary_search_by(|(known, _)| known.cmp(id)) else { return };
        let Some((_, rank)) = self.servers.get_mut(number) else { return };
        let Some(ranks) = self.pools.get_mut(&server.record.pool) else { return };
        if ranks.remove(rank) {
            *rank = Rank::of(server, number);
            ranks.insert(*rank);
        }
    }

    /// The servers of a pool with at least so much processor free, the best first.
    fn with_free(&self, pool: &PoolId, cpu_millis: u64) -> WithFree<'_> {
        WithFree { room: self, ranks: self.pools.get(pool), after: None, cpu_millis }
    }
}

/// Walks the ranks of one pool and leaps over those with too little free.
struct WithFree<'a> {
    room: &'a OpenRoom,
    ranks: Option<&'a BTreeSet<Rank>>,
    after: Option<Rank>,
    cpu_millis: u64,
}

impl<'a> Iterator for WithFree<'a> {
    type Item = &'a ServerId;

    fn next(&mut self) -> Option<&'a ServerId> {
        let ranks = self.ranks?;
        loop {
            let from = self.after.map_or(Bound::Unbounded, Bound::Excluded);
            let rank = *ranks.range((from, Bound::Unbounded)).next()?;
            if rank.free_cpu_millis < self.cpu_millis {
                // The next one of as many lasting tasks that has enough free, or of fewer.
                let least = Reverse(usize::MAX);
                let free_cpu_millis = self.cpu_millis;
                let lower = Rank { lasting: rank.lasting, free_cpu_millis, number: least };
                self.after = Some(lower);
                continue;
            }
            self.after = Some(rank);
            return self.room.servers.get(rank.number.0).map(|(id, _)| id);
        }
    }
}

impl Engine {
    /// The backend servers that may be given something now.
    pub(super) fn open_room(&self, now: Uptime, state: &JobState) -> OpenRoom {
        let mut room = OpenRoom::default();
        let mut pools: BTreeMap<&PoolId, (Vec<Rank>, Resources)> = BTreeMap::new();
        for (id, server) in &self.servers {
            if !self.is_open(now, server, state) {
                continue;
            }
            let rank = Rank::of(server, room.servers.len());
            room.servers.push((id.clone(), rank));
            let (ranks, most) = pools.entry(&server.record.pool).or_default();
            ranks.push(rank);
            *most = most.component_max(&server.free());
        }
        for (pool, (ranks, most)) in pools {
            room.pools.insert(pool.clone(), ranks.into_iter().collect());
            room.most_free.insert(pool.clone(), most);
        }
        room
    }

    /// The best backend server with room for one more task, among `within` where that is given.
    pub(super) fn place(
        &self,
        demand: &Demand<'_>,
        room: &OpenRoom,
        within: Option<&BTreeSet<ServerId>>,
    ) -> Option<ServerId> {
        let wanted = demand.spec.reservation();
        let fits = |id: &&ServerId| {
            within.is_none_or(|within| within.contains(*id))
                && self.servers.get(*id).is_some_and(|server| {
                    self.suits(demand, server) && wanted.fits_in(&server.free())
                })
        };
        let mut servers = room.with_free(demand.pool, wanted.cpu_millis).filter(fits);
        let Some(rack) = &demand.spec.data_rack else { return servers.next().cloned() };
        let is_near = |id: &&ServerId| {
            self.servers.get(*id).is_some_and(|server| server.record.labels.contains(rack))
        };
        let near = room.with_free(demand.pool, wanted.cpu_millis).filter(fits).find(is_near);
        near.or_else(|| servers.next()).cloned()
    }
}
