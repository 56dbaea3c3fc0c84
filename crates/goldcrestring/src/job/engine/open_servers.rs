//! Index of the backend servers that accept new tasks, by pool and free capacity.
//!
//! An [`OpenServers`] lasts for one scheduling round. It is built once and updated with each start,
//! so that a placement searches one pool instead of the whole fleet.

use super::Engine;
use super::placement::PlacementRequest;
use super::server::Server;
use crate::clock::Uptime;
use crate::job::id::{PoolId, ServerId};
use crate::job::resources::Resources;
use crate::job::state::JobState;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// The maximum number of starts in one round, so that the leader can serve other events between
/// rounds; the next round follows at once. 2,000 starts take about 4 ms, and less than 0.5 MB in
/// one log entry.
const MAX_STARTS: usize = 2_000;

/// The rank of a backend server in its pool; of those that fit, the lowest is preferred.
///
/// Tasks are packed on backend servers with many long-running tasks and little free capacity, so
/// that others become empty and can move to another pool.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    long_running: Reverse<usize>,
    free_cpu_millis: u64,
    /// The index in [`OpenServers::servers`].
    index: Reverse<usize>,
}

impl Rank {
    fn of(server: &Server, index: usize) -> Self {
        Self {
            long_running: Reverse(server.long_running),
            free_cpu_millis: server.free().cpu_millis,
            index: Reverse(index),
        }
    }
}

/// The backend servers that accept new tasks in this round.
#[derive(Debug, Default)]
pub(super) struct OpenServers {
    /// Sorted by ID.
    servers: Vec<(ServerId, Rank)>,
    pools: BTreeMap<PoolId, BTreeSet<Rank>>,
    /// The maximum of each resource free on any backend server of a pool, at the start of the
    /// round.
    max_free: BTreeMap<PoolId, Resources>,
    starts: usize,
}

impl OpenServers {
    /// Whether a backend server of the pool may have `wanted` free. `false` is certain; `true` is
    /// not, as the maxima may come from different backend servers, or from before the starts of the
    /// round.
    pub(super) fn may_fit(&self, pool: &PoolId, wanted: &Resources) -> bool {
        self.max_free.get(pool).is_some_and(|max| wanted.fits_in(max))
    }

    /// Whether the round has reached the maximum number of starts.
    pub(super) const fn has_reached_start_limit(&self) -> bool {
        self.starts >= MAX_STARTS
    }

    /// Whether the round has started any task.
    pub(super) const fn has_starts(&self) -> bool {
        self.starts > 0
    }

    /// Adds to the number of starts in this round.
    pub(super) const fn count_starts(&mut self, starts: usize) {
        self.starts += starts;
    }

    /// The IDs of the open backend servers of a pool.
    pub(super) fn in_pool(&self, pool: &PoolId) -> impl Iterator<Item = &ServerId> {
        let ranks = self.pools.get(pool).into_iter().flatten();
        ranks.filter_map(|rank| Some(&self.servers.get(rank.index.0)?.0))
    }

    /// Whether no backend server is open.
    pub(super) fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Removes a backend server for the rest of the round.
    pub(super) fn remove(&mut self, pool: &PoolId, id: &ServerId) {
        let Some(ranks) = self.pools.get_mut(pool) else { return };
        let servers = &self.servers;
        ranks.retain(|rank| servers.get(rank.index.0).is_some_and(|(known, _)| known != id));
    }

    /// Updates the rank of a backend server whose free capacity has changed.
    pub(super) fn update(&mut self, id: &ServerId, server: &Server) {
        let Ok(index) = self.servers.binary_search_by(|(known, _)| known.cmp(id)) else { return };
        let Some((_, rank)) = self.servers.get_mut(index) else { return };
        let Some(ranks) = self.pools.get_mut(&server.record.pool) else { return };
        if ranks.remove(rank) {
            *rank = Rank::of(server, index);
            ranks.insert(*rank);
        }
    }

    /// The backend servers of a pool with at least this much processor capacity free, best first.
    fn with_free_cpu(&self, pool: &PoolId, cpu_millis: u64) -> ServersWithFreeCpu<'_> {
        ServersWithFreeCpu { open: self, ranks: self.pools.get(pool), after: None, cpu_millis }
    }
}

/// Iterates over the ranks of one pool and skips those with too little free processor capacity.
struct ServersWithFreeCpu<'a> {
    open: &'a OpenServers,
    ranks: Option<&'a BTreeSet<Rank>>,
    after: Option<Rank>,
    cpu_millis: u64,
}

impl<'a> Iterator for ServersWithFreeCpu<'a> {
    type Item = &'a ServerId;

    fn next(&mut self) -> Option<&'a ServerId> {
        let ranks = self.ranks?;
        loop {
            let from = self.after.map_or(Bound::Unbounded, Bound::Excluded);
            let rank = *ranks.range((from, Bound::Unbounded)).next()?;
            if rank.free_cpu_millis < self.cpu_millis {
                // Seek to the next rank with enough free capacity and as many long-running tasks,
                // or fewer.
                let first = Reverse(usize::MAX);
                let free_cpu_millis = self.cpu_millis;
                let bound = Rank { long_running: rank.long_running, free_cpu_millis, index: first };
                self.after = Some(bound);
                continue;
            }
            self.after = Some(rank);
            return self.open.servers.get(rank.index.0).map(|(id, _)| id);
        }
    }
}

impl Engine {
    /// Indexes the backend servers that accept new tasks.
    pub(super) fn open_servers(&self, now: Uptime, state: &JobState) -> OpenServers {
        let mut open = OpenServers::default();
        let mut pools: BTreeMap<&PoolId, (Vec<Rank>, Resources)> = BTreeMap::new();
        for (id, server) in &self.servers {
            if !self.is_open(now, server, state) {
                continue;
            }
            let rank = Rank::of(server, open.servers.len());
            open.servers.push((id.clone(), rank));
            let (ranks, max_free) = pools.entry(&server.record.pool).or_default();
            ranks.push(rank);
            *max_free = max_free.component_max(&server.free());
        }
        for (pool, (ranks, max_free)) in pools {
            open.pools.insert(pool.clone(), ranks.into_iter().collect());
            open.max_free.insert(pool.clone(), max_free);
        }
        open
    }

    /// The best backend server for one more task, chosen from `within` if given.
    pub(super) fn place(
        &self,
        request: &PlacementRequest<'_>,
        open: &OpenServers,
        within: Option<&BTreeSet<ServerId>>,
    ) -> Option<ServerId> {
        let wanted = request.spec.reservation();
        let fits = |id: &&ServerId| {
            within.is_none_or(|within| within.contains(*id))
                && self.servers.get(id).is_some_and(|server| {
                    self.meets_constraints(request, server)
                        && server.runs.len() < self.settings.max_runs_per_server
                        && wanted.fits_in(&server.free())
                })
        };
        let mut servers = open.with_free_cpu(request.pool, wanted.cpu_millis).filter(fits);
        let Some(rack) = &request.spec.data_rack else { return servers.next().cloned() };
        let is_in_data_rack = |id: &&ServerId| {
            self.servers.get(id).is_some_and(|server| server.record.labels.contains(rack))
        };
        let local =
            open.with_free_cpu(request.pool, wanted.cpu_millis).filter(fits).find(is_in_data_rack);
        local.or_else(|| servers.next()).cloned()
    }
}
