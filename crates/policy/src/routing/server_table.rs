//! The table of backend servers that this daemon knows.

use std::{mem::size_of, time::Duration};

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::load::age_weight;
use super::{LoadReport, PreemptibleLoad, ServerHealth, ServerLoad, ServerOutcome, ZoneLoad};
use crate::{GroupId, ServerId, Timestamp, ZoneId, hash::name_hash};

/// The weight of one report in a pool's mean of other daemons' requests.
const REPORT_WEIGHT: f32 = 0.05;

/// A hash of a server's name, the same on every daemon.
///
/// It is used for rendezvous hashing and in messages between daemons, since a
/// [`ServerId`] is valid in one process only.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ServerKey(pub u64);

impl ServerKey {
    /// Returns the key of the server with the platform's name `name`.
    pub fn of(name: &str) -> Self {
        ServerKey(name_hash(name))
    }
}

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// The server accepts new requests, subject to its health.
    #[default]
    Live,
    /// The server finishes its requests and gets no new ones.
    Leaving,
    /// The server is gone. Its index can be reused once nothing is in flight.
    Dropped,
}

/// The state of one server.
#[derive(Clone, Debug, Default)]
pub struct ServerEntry {
    /// The name that the platform uses for it.
    pub name: String,
    /// The hash of its name.
    pub key: ServerKey,
    /// Where it listens, as `ip:port`.
    pub address: String,
    /// Its zone.
    pub zone: ZoneId,
    /// Its group.
    pub group: GroupId,
    /// Whether it accepts new requests.
    pub state: ServerState,
    /// Its estimated load.
    pub load: ServerLoad,
    /// Its health, which determines its share of new requests.
    pub health: ServerHealth,
    pub(super) missing_since: Option<Timestamp>,
    pub(super) live_since: Option<Timestamp>,
}

/// The servers of one group in one zone.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerPool {
    pub(super) group: GroupId,
    pub(super) zone: ZoneId,
    /// The live servers, sorted by key.
    pub(super) servers: Vec<(ServerKey, ServerId)>,
    mean_others: f32,
    reported_at: Timestamp,
    pub(super) in_flight: u32,
    pub(super) summary: Option<(ZoneLoad, Timestamp)>,
}

impl ServerPool {
    /// Returns the mean number of requests of other daemons on a server of the pool.
    ///
    /// The value decays while no report arrives. Reports come with answers, so a daemon
    /// that permanently considered all servers full would send no requests, receive no
    /// reports, and never detect that the servers are free.
    pub(super) fn typical_others(&self, now: Timestamp) -> f32 {
        self.mean_others * age_weight(now.since(self.reported_at))
    }

    fn report(&mut self, others: f32, now: Timestamp) {
        let staleness = 1.0 - age_weight(now.since(self.reported_at));
        self.mean_others += (others - self.mean_others) * REPORT_WEIGHT.max(staleness);
        self.reported_at = now;
    }
}

/// The table of backend servers that this daemon knows, indexed by [`ServerId`].
///
/// ```
/// use comfreyramp_policy::{GroupId, ListedServer, RouteQuery, ServerTable, Timestamp, ZoneId};
/// use rand::{SeedableRng, rngs::StdRng};
///
/// let mut table = ServerTable::default();
/// let now = Timestamp::from_micros(1);
/// let listed = ListedServer {
///     name: "server-1".to_owned(),
///     address: "10.0.0.1:80".to_owned(),
///     ..ListedServer::default()
/// };
/// table.apply_list(&[listed], now);
/// let query = RouteQuery::new(GroupId(0), ZoneId(0));
/// let server = table.choose(&query, now, &mut StdRng::seed_from_u64(1)).unwrap();
/// assert_eq!(table.entry(server).unwrap().address, "10.0.0.1:80");
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    pub(super) entries: Vec<ServerEntry>,
    /// All servers that aren't dropped, sorted by name.
    pub(super) by_name: Vec<ServerId>,
    /// Sorted by group, then zone.
    pub(super) pools: Vec<ServerPool>,
    /// Sorted by zone.
    pub(super) zone_costs: Vec<(ZoneId, Duration)>,
    pub(super) last_list_short: bool,
}

impl ServerTable {
    /// Returns the entry of a server.
    pub fn entry(&self, server: ServerId) -> Option<&ServerEntry> {
        self.entries.get(server.index())
    }

    /// Returns all servers that aren't dropped, sorted by name.
    pub fn servers(&self) -> impl Iterator<Item = (ServerId, &ServerEntry)> {
        self.by_name
            .iter()
            .map(|&server| (server, &self.entries[server.index()]))
    }

    /// Returns the server with this name.
    pub fn find(&self, name: &str) -> Option<ServerId> {
        self.position(name).ok().map(|at| self.by_name[at])
    }

    /// Returns the server with this key, which messages of other daemons and the table
    /// of suspects use.
    pub fn find_key(&self, key: ServerKey) -> Option<ServerId> {
        let mut servers = self.servers();
        servers
            .find(|(_, it)| it.key == key)
            .map(|(server, _)| server)
    }

    /// Sets the cost of sending a request to another zone, which is its added latency.
    ///
    /// Zones of other regions get a high cost, so that they are chosen last.
    pub fn set_zone_cost(&mut self, zone: ZoneId, cost: Duration) {
        match self
            .zone_costs
            .binary_search_by_key(&zone, |&(zone, _)| zone)
        {
            Ok(at) => self.zone_costs[at].1 = cost,
            Err(at) => self.zone_costs.insert(at, (zone, cost)),
        }
    }

    /// Counts a request as sent to the server.
    pub fn begin(&mut self, server: ServerId) {
        let Some(entry) = self.entries.get_mut(server.index()) else {
            return;
        };
        entry.load.in_flight += 1;
        if let Some(pool) = self.pool_of(server) {
            pool.in_flight += 1;
        }
    }

    /// Counts a request as ended, `duration` after the matching [`begin`](Self::begin).
    pub fn end(&mut self, server: ServerId, duration: Duration) {
        let Some(entry) = self.entries.get_mut(server.index()) else {
            return;
        };
        entry.load.in_flight = entry.load.in_flight.saturating_sub(1);
        entry.load.record_duration(duration);
        if let Some(pool) = self.pool_of(server) {
            pool.in_flight = pool.in_flight.saturating_sub(1);
        }
    }

    /// Sets the number of bulk requests on the server, which live requests preempt.
    pub fn set_preemptible(&mut self, server: ServerId, preemptible: PreemptibleLoad) {
        if let Some(entry) = self.entries.get_mut(server.index()) {
            entry.load.preemptible = preemptible;
        }
    }

    /// Applies a load report that came with an answer.
    pub fn report(&mut self, server: ServerId, report: LoadReport, now: Timestamp) {
        let Some(entry) = self.entries.get_mut(server.index()) else {
            return;
        };
        let others = entry.load.report(report, now);
        if let Some(pool) = self.pool_of(server) {
            pool.report(others, now);
        }
    }

    /// Records the time from sending a request to its first token.
    pub fn first_token(&mut self, server: ServerId, span: Duration) {
        if let Some(entry) = self.entries.get_mut(server.index()) {
            entry.load.record_first_token(span);
        }
    }

    /// Records the result of an attempt.
    pub fn outcome(
        &mut self,
        server: ServerId,
        outcome: ServerOutcome,
        now: Timestamp,
        rng: &mut impl Rng,
    ) {
        if self.entry(server).is_none() {
            return;
        }
        match outcome {
            ServerOutcome::Ok => self.entries[server.index()].health.succeed(now),
            ServerOutcome::ConnectFailed | ServerOutcome::Broken => {
                let may_eject = self.has_other(server, now);
                let entry = &mut self.entries[server.index()];
                entry.health.fail(may_eject, now, rng);
            }
        }
    }

    /// Applies a server's own report that it is leaving, which may precede the VM list.
    pub fn mark_leaving(&mut self, server: ServerId) {
        let Some(entry) = self.entries.get_mut(server.index()) else {
            return;
        };
        if entry.state == ServerState::Live {
            entry.state = ServerState::Leaving;
            entry.live_since = None;
            self.rebuild_pools();
        }
    }

    /// Returns the load of one group in one zone, to be reported to other zones.
    pub fn zone_load(&self, group: GroupId, zone: ZoneId, now: Timestamp) -> ZoneLoad {
        let mut sum = ZoneLoad::default();
        let Some(pool) = self.pool(group, zone) else {
            return sum;
        };
        for &(_, server) in &pool.servers {
            let entry = &self.entries[server.index()];
            let weight = entry.health.weight(now);
            if weight > 0.0 {
                sum.servers += 1;
                sum.load += entry.load.requests(pool.typical_others(now), now);
                sum.batch += entry.load.batch() as f32 * weight;
            }
        }
        sum
    }

    /// Applies the load that another zone reported.
    pub fn note_zone_load(&mut self, group: GroupId, zone: ZoneId, load: ZoneLoad, now: Timestamp) {
        if let Some(pool) = self.pool_mut(group, zone) {
            pool.summary = Some((load, now));
        }
    }

    /// Returns the memory usage of the table in bytes.
    pub fn memory(&self) -> usize {
        let entries = self.entries.capacity() * size_of::<ServerEntry>();
        let texts = self.entries.iter();
        let texts: usize = texts
            .map(|it| it.name.capacity() + it.address.capacity())
            .sum();
        let names = self.by_name.capacity() * size_of::<ServerId>();
        let pools = self.pools.capacity() * size_of::<ServerPool>();
        let member = size_of::<(ServerKey, ServerId)>();
        let members: usize = self
            .pools
            .iter()
            .map(|it| it.servers.capacity() * member)
            .sum();
        size_of::<Self>() + entries + texts + names + pools + members
    }

    pub(super) fn position(&self, name: &str) -> Result<usize, usize> {
        self.by_name
            .binary_search_by(|server| self.entries[server.index()].name.as_str().cmp(name))
    }

    pub(super) fn pool(&self, group: GroupId, zone: ZoneId) -> Option<&ServerPool> {
        let at = self.pool_position(group, zone).ok()?;
        Some(&self.pools[at])
    }

    /// Returns whether the server's group has another server that isn't ejected.
    fn has_other(&self, server: ServerId, now: Timestamp) -> bool {
        let group = self.entries[server.index()].group;
        self.group_pools(group)
            .iter()
            .flat_map(|pool| &pool.servers)
            .any(|&(_, other)| {
                other != server && !self.entries[other.index()].health.is_ejected(now)
            })
    }

    pub(super) fn group_pools(&self, group: GroupId) -> &[ServerPool] {
        let from = self.pools.partition_point(|pool| pool.group < group);
        let len = self.pools[from..].partition_point(|pool| pool.group == group);
        &self.pools[from..from + len]
    }

    /// Returns the pool that counts the server, if the server is live.
    fn pool_of(&mut self, server: ServerId) -> Option<&mut ServerPool> {
        let entry = &self.entries[server.index()];
        if entry.state != ServerState::Live {
            return None;
        }
        self.pool_mut(entry.group, entry.zone)
    }

    fn pool_mut(&mut self, group: GroupId, zone: ZoneId) -> Option<&mut ServerPool> {
        let at = self.pool_position(group, zone).ok()?;
        Some(&mut self.pools[at])
    }

    fn pool_position(&self, group: GroupId, zone: ZoneId) -> Result<usize, usize> {
        self.pools
            .binary_search_by_key(&(group, zone), |pool| (pool.group, pool.zone))
    }

    /// Rebuilds the pools of live servers after a change of the table.
    pub(super) fn rebuild_pools(&mut self) {
        for pool in &mut self.pools {
            pool.servers.clear();
            pool.in_flight = 0;
        }
        for &server in &self.by_name {
            let entry = &self.entries[server.index()];
            if entry.state != ServerState::Live {
                continue;
            }
            let key = (entry.group, entry.zone);
            let found = self
                .pools
                .binary_search_by_key(&key, |it| (it.group, it.zone));
            let at = found.unwrap_or_else(|at| {
                let pool = ServerPool {
                    group: entry.group,
                    zone: entry.zone,
                    ..ServerPool::default()
                };
                self.pools.insert(at, pool);
                at
            });
            let pool = &mut self.pools[at];
            pool.servers.push((entry.key, server));
            pool.in_flight += entry.load.in_flight;
        }
        self.pools.retain(|pool| !pool.servers.is_empty());
        for pool in &mut self.pools {
            pool.servers.sort_unstable();
        }
    }
}
