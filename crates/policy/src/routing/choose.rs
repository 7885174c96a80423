//! Selection of a server for one request.

use std::time::Duration;

use rand::Rng;

use super::server_table::ServerPool;
use super::{ServerEntry, ServerTable};
use crate::{GroupId, ServerId, Timestamp, ZoneId, hash::mix};

/// The number of random draws before the whole pool is scanned.
const DRAWS: usize = 8;

/// The number of servers in a prefix's rendezvous order that are considered.
const PREFIX_CANDIDATES: usize = 2;

/// The multiple of the mean load up to which a server still gets the requests of its
/// prefixes.
const LOAD_BOUND: f32 = 1.25;

/// How long a load summary of another zone is used.
const SUMMARY_LIFETIME: Duration = Duration::from_secs(10);

/// The request to be routed.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteQuery<'a> {
    /// The group that serves the request.
    pub group: GroupId,
    /// The daemon's own zone.
    pub zone: ZoneId,
    /// A hash of the beginning of the prompt, for requests that may find their prefix
    /// in a server's cache.
    pub prefix: Option<u64>,
    /// Servers that must not get the request.
    pub exclude: &'a [ServerId],
}

impl RouteQuery<'_> {
    /// Creates a query for any server of the group.
    pub fn new(group: GroupId, zone: ZoneId) -> Self {
        RouteQuery {
            group,
            zone,
            ..RouteQuery::default()
        }
    }

    /// Prefers the servers that got other requests with this prefix.
    pub fn prefix(self, prefix: u64) -> Self {
        RouteQuery {
            prefix: Some(prefix),
            ..self
        }
    }
}

/// A possible server, with the seconds that a request is expected to wait there.
#[derive(Clone, Copy)]
struct Candidate {
    server: ServerId,
    wait: f32,
    saturated: bool,
}

impl ServerTable {
    /// Chooses a server, or none if no live server is left.
    ///
    /// The own zone has priority: first the server that the prefix belongs to, unless
    /// its load is too far above the mean, then the better of two servers drawn at
    /// random. Other zones get the request only if the own zone has no healthy server
    /// or no free capacity. If every server of the group is ejected, the one with the
    /// shortest wait gets the request, preferably in the own zone: rejecting it would be
    /// a certain failure, sending it isn't.
    pub fn choose(
        &self,
        query: &RouteQuery<'_>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<ServerId> {
        let found = self.choose_healthy(query, now, rng);
        let found = found.or_else(|| self.choose_ejected(query, now));
        found.map(|it| it.server)
    }

    /// Chooses like [`choose`](Self::choose), but returns only a server that is
    /// expected to start the request at once. If there is none, the daemon queues the
    /// request itself: a backend server starts requests in order of arrival, so a more
    /// urgent request couldn't overtake one that waits there.
    ///
    /// A daemon without any request in flight may always send one, and learns from its
    /// answer how busy the servers are.
    pub fn choose_with_capacity(
        &self,
        query: &RouteQuery<'_>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<ServerId> {
        let found = self.choose_healthy(query, now, rng);
        let found = found.or_else(|| self.choose_ejected(query, now))?;
        let mut pools = self.group_pools(query.group).iter();
        let is_idle = pools.all(|pool| pool.in_flight == 0);
        (!found.saturated || is_idle).then_some(found.server)
    }

    fn choose_healthy(
        &self,
        query: &RouteQuery<'_>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<Candidate> {
        let own = self.pool(query.group, query.zone);
        let near = own.and_then(|pool| self.choose_in(pool, query, now, rng));
        if let Some(near) = near
            && !near.saturated
        {
            return Some(near);
        }
        let far = self.choose_far(query, now, rng);
        match (near, far) {
            (Some(near), Some(far)) if far.saturated || far.wait >= near.wait => Some(near),
            (near, far) => far.or(near),
        }
    }

    fn choose_in(
        &self,
        pool: &ServerPool,
        query: &RouteQuery<'_>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<Candidate> {
        if let Some(prefix) = query.prefix
            && let Some(found) = self.choose_by_prefix(pool, prefix, query, now, rng)
        {
            return Some(found);
        }
        let first = self.draw(pool, query, now, rng);
        let second = self.draw(pool, query, now, rng);
        let best = match (first, second) {
            (Some(first), Some(second)) if second.wait < first.wait => Some(second),
            (first, second) => first.or(second),
        };
        match best {
            Some(best) if !best.saturated => Some(best),
            _ => self.least_wait(pool, query, now),
        }
    }

    fn choose_by_prefix(
        &self,
        pool: &ServerPool,
        prefix: u64,
        query: &RouteQuery<'_>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<Candidate> {
        let typical_others = pool.typical_others(now);
        let mean = typical_others + pool.in_flight as f32 / pool.servers.len().max(1) as f32;
        for server in rendezvous_order(pool, prefix).into_iter().flatten() {
            let entry = &self.entries[server.index()];
            let load = entry.load.requests(typical_others, now) + 1.0;
            // A prefix that many callers send must not overload one server, but a cached prefix
            // on a server with half its batch free is worth more than even load.
            let batch = entry.load.batch() as f32;
            let bound = (LOAD_BOUND * (mean + 1.0)).max(batch / 2.0);
            // A cached prefix saves less time than waiting for a free place in the batch costs.
            let bound = bound.min(batch);
            let fits = load <= bound && !query.exclude.contains(&server);
            if fits && accepts(entry, now, rng) {
                return Some(self.candidate(pool, server, now));
            }
        }
        None
    }

    /// Draws a server at random, accepting each with a probability equal to its weight.
    fn draw(
        &self,
        pool: &ServerPool,
        query: &RouteQuery<'_>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<Candidate> {
        for _ in 0..DRAWS {
            let at = rng.random_range(0..pool.servers.len());
            let (_, server) = pool.servers[at];
            let excluded = query.exclude.contains(&server);
            if !excluded && accepts(&self.entries[server.index()], now, rng) {
                return Some(self.candidate(pool, server, now));
            }
        }
        None
    }

    /// Scans the pool for the server with the least wait, divided by its weight.
    fn least_wait(
        &self,
        pool: &ServerPool,
        query: &RouteQuery<'_>,
        now: Timestamp,
    ) -> Option<Candidate> {
        let mut best: Option<(f32, Candidate)> = None;
        for &(_, server) in &pool.servers {
            let weight = self.entries[server.index()].health.weight(now);
            if weight <= 0.0 || query.exclude.contains(&server) {
                continue;
            }
            let candidate = self.candidate(pool, server, now);
            let cost = (candidate.wait + f32::from(u8::from(candidate.saturated))) / weight;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    /// Chooses a server of another zone by expected wait plus the zone's added latency.
    fn choose_far(
        &self,
        query: &RouteQuery<'_>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<Candidate> {
        let mut best: Option<Candidate> = None;
        for pool in self.group_pools(query.group) {
            let full = pool
                .summary
                .is_some_and(|(load, at)| load.is_saturated() && now.since(at) < SUMMARY_LIFETIME);
            if pool.zone == query.zone {
                continue;
            }
            let Some(mut found) = self.choose_in(pool, query, now, rng) else {
                continue;
            };
            found.saturated |= full;
            found.wait += self.zone_cost(pool.zone);
            let rank = |it: &Candidate| (it.saturated, it.wait);
            if best.is_none_or(|least| rank(&found) < rank(&least)) {
                best = Some(found);
            }
        }
        best
    }

    /// Chooses among all servers of the group as if none were ejected.
    fn choose_ejected(&self, query: &RouteQuery<'_>, now: Timestamp) -> Option<Candidate> {
        let mut best: Option<(bool, Candidate)> = None;
        for pool in self.group_pools(query.group) {
            let other_zone = pool.zone != query.zone;
            for &(_, server) in &pool.servers {
                if query.exclude.contains(&server) {
                    continue;
                }
                let found = self.candidate(pool, server, now);
                if best.is_none_or(|(far, least)| (other_zone, found.wait) < (far, least.wait)) {
                    best = Some((other_zone, found));
                }
            }
        }
        best.map(|(_, found)| found)
    }

    fn candidate(&self, pool: &ServerPool, server: ServerId, now: Timestamp) -> Candidate {
        let load = &self.entries[server.index()].load;
        let typical_others = pool.typical_others(now);
        Candidate {
            server,
            wait: load.expected_wait(typical_others, now),
            saturated: load.is_saturated(typical_others, now),
        }
    }

    fn zone_cost(&self, zone: ZoneId) -> f32 {
        let found = self
            .zone_costs
            .binary_search_by_key(&zone, |&(zone, _)| zone);
        found.map_or(0.0, |at| self.zone_costs[at].1.as_secs_f32())
    }
}

fn accepts(entry: &ServerEntry, now: Timestamp, rng: &mut impl Rng) -> bool {
    let weight = entry.health.weight(now);
    weight >= 1.0 || (weight > 0.0 && rng.random::<f32>() < weight)
}

/// Returns the servers with the highest scores for a prefix, in descending order.
///
/// Every daemon computes the same order without coordination, and a server that joins
/// or leaves moves only its own prefixes.
fn rendezvous_order(pool: &ServerPool, prefix: u64) -> [Option<ServerId>; PREFIX_CANDIDATES] {
    let mut best = [(0, None); PREFIX_CANDIDATES];
    for &(key, server) in &pool.servers {
        let mut next = (mix(prefix ^ key.0), Some(server));
        for best_entry in &mut best {
            if best_entry.1.is_none() || next.0 > best_entry.0 {
                std::mem::swap(best_entry, &mut next);
            }
            if next.1.is_none() {
                break;
            }
        }
    }
    best.map(|(_, server)| server)
}
