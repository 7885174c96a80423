//! Limits the bulk requests on each backend server. All bulk work gets its
//! slots here.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use comfreyramp_policy::{
    LoadReport, ServerId, Timestamp,
    bulk::{BulkLimiter, BulkLimiterTiming, FixedLimit},
};
use serde::Serialize;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::server_pool::ChosenServer;

/// How long servers are queried for their load after the last request for a
/// slot.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// The state of a server that its bulk limiter needs.
#[derive(Clone, Debug)]
pub struct ServerInfo {
    /// Its id.
    pub id: ServerId,
    /// Where it listens, as `ip:port`.
    pub address: String,
    /// The group to which it belongs.
    pub group: String,
    /// The number of this daemon's requests on it, bulk ones included.
    pub in_flight: u32,
    /// Whether this daemon may send bulk requests to it: this daemon is its
    /// home, and the server takes new work.
    pub is_home: bool,
}

/// A bulk request that runs on a server.
#[derive(Debug)]
struct OpenSlot {
    number: u64,
    stop: CancellationToken,
}

#[derive(Debug)]
struct LimitedServer {
    server: ServerInfo,
    /// `None` until the server has reported the size of its batch.
    limiter: Option<BulkLimiter<FixedLimit>>,
    /// The number of this daemon's live requests that the limiter knows of.
    live: u32,
    open: Vec<OpenSlot>,
}

/// The bulk slots of a server, as reported to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct SlotView {
    /// The number of bulk requests that run on it.
    pub open: u32,
    /// The maximum number of bulk requests; unknown until the server has
    /// reported the size of its batch.
    pub allowed: Option<u32>,
}

#[derive(Debug, Default)]
struct LimiterTables {
    /// Sorted by id.
    servers: Vec<LimitedServer>,
    next_slot: u64,
    last_requested_at: Option<Timestamp>,
}

/// Grants bulk slots on the servers whose home this daemon is, and revokes them
/// at once when live work needs the capacity. A [`BulkLimiter`] for each server
/// decides how many there are.
#[derive(Clone, Debug, Default)]
pub struct BulkLimiters {
    tables: Arc<Mutex<LimiterTables>>,
    changed: Arc<Notify>,
}

/// The right to run one bulk request on a server. Dropping it releases the
/// slot.
#[derive(Debug)]
pub struct BulkSlot {
    /// The server, on which the request counts as in flight.
    pub server: ChosenServer,
    /// Cancelled when the request is preempted by live work.
    pub stop: CancellationToken,
    number: u64,
    limiters: BulkLimiters,
    started_at: Timestamp,
    clock: crate::clock::ProcessClock,
}

impl Drop for BulkSlot {
    fn drop(&mut self) {
        let now = self.clock.now().max(self.started_at);
        self.limiters.close(self.server.id, self.number, now);
    }
}

impl BulkLimiters {
    /// Updates the servers and their load, and preempts bulk requests that
    /// exceed the limits.
    pub fn update(&self, servers: Vec<ServerInfo>, now: Timestamp) {
        let mut tables = self.lock();
        let old = std::mem::take(&mut tables.servers);
        let mut old = old.into_iter().peekable();
        for server in servers {
            let id = server.id;
            // Both lists are sorted by id. A server that has disappeared loses
            // its state; its open slots end with their requests.
            while old.next_if(|it| it.server.id < id).is_some() {}
            let mut limited = old
                .next_if(|it| it.server.id == id)
                .unwrap_or_else(|| LimitedServer::new(server.clone()));
            limited.apply(server, now);
            limited.stop_excess();
            tables.servers.push(limited);
        }
        drop(tables);
        self.changed.notify_waiters();
    }

    /// Records that a live request is about to be sent to a server. Bulk
    /// requests are preempted before it arrives.
    pub fn note_arrival(&self, server: ServerId, now: Timestamp) {
        let mut tables = self.lock();
        if let Some(limited) = tables.get(server) {
            limited.server.in_flight += 1;
            limited.update_live(now);
            limited.stop_excess();
        }
    }

    /// Records that another daemon is sending `count` live requests to a
    /// server, and preempts bulk requests for them. Returns the number of bulk
    /// requests left on the server.
    pub fn announce(&self, server: ServerId, count: u32, now: Timestamp) -> u32 {
        let mut tables = self.lock();
        let Some(limited) = tables.get(server) else {
            return 0;
        };
        if let Some(limiter) = &mut limited.limiter {
            (0..count).for_each(|_| limiter.announce(now));
        }
        limited.stop_excess();
        let left = limited.open.iter().filter(|it| !it.stop.is_cancelled());
        u32::try_from(left.count()).unwrap_or(u32::MAX)
    }

    /// Applies a server's report of its load.
    pub fn note_report(&self, server: ServerId, report: LoadReport, now: Timestamp) {
        let mut tables = self.lock();
        if let Some(limited) = tables.get(server) {
            limited.report(report, now);
            limited.stop_excess();
        }
    }

    /// Opens a slot on the server with the least bulk work among those of the
    /// group whose home this daemon is, if any has capacity. `choose` counts
    /// the request on the server.
    pub fn open(
        &self,
        group: &str,
        clock: crate::clock::ProcessClock,
        now: Timestamp,
        choose: impl Fn(ServerId) -> Option<ChosenServer>,
    ) -> Option<BulkSlot> {
        let mut tables = self.lock();
        tables.last_requested_at = Some(now);
        let index = (0..tables.servers.len())
            .filter(|&it| tables.servers[it].may_start(group, now))
            .min_by_key(|&it| tables.servers[it].open.len())?;
        let server = choose(tables.servers[index].server.id)?;
        tables.next_slot += 1;
        let number = tables.next_slot;
        let stop = CancellationToken::new();
        tables.servers[index].begin(number, stop.clone(), now);
        drop(tables);
        Some(BulkSlot {
            server,
            stop,
            number,
            limiters: self.clone(),
            started_at: now,
            clock,
        })
    }

    /// Waits until slots may have become free.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns the servers to query for their load: those whose home this
    /// daemon is, while bulk work runs or waits. Without their reports, nothing
    /// would be known of the live requests that other daemons have on them.
    pub fn servers_to_query(&self, now: Timestamp) -> Vec<(ServerId, String)> {
        let tables = self.lock();
        let recent = |it: Timestamp| now.since(it) < DEMAND_WINDOW;
        let is_requested = tables.last_requested_at.is_some_and(recent);
        let servers = tables.servers.iter();
        servers
            .filter(|it| it.server.is_home && (is_requested || !it.open.is_empty()))
            .map(|it| (it.server.id, it.server.address.clone()))
            .collect()
    }

    /// Returns the bulk slots of the servers whose home this daemon is, sorted
    /// by id.
    pub fn slots(&self, now: Timestamp) -> Vec<(ServerId, SlotView)> {
        let tables = self.lock();
        let homes = tables.servers.iter().filter(|it| it.server.is_home);
        homes
            .map(|it| {
                let slots = SlotView {
                    open: u32::try_from(it.open.len()).unwrap_or(u32::MAX),
                    allowed: it.limiter.as_ref().map(|limiter| limiter.allowed(now)),
                };
                (it.server.id, slots)
            })
            .collect()
    }

    /// Returns the number of open bulk requests.
    pub fn open_count(&self) -> usize {
        self.lock().servers.iter().map(|it| it.open.len()).sum()
    }

    fn close(&self, server: ServerId, number: u64, now: Timestamp) {
        let mut tables = self.lock();
        if let Some(limited) = tables.get(server) {
            limited.end(number, now);
        }
        drop(tables);
        self.changed.notify_waiters();
    }

    /// Locks the tables. After a panic under this lock, the next update
    /// corrects the counts.
    fn lock(&self) -> MutexGuard<'_, LimiterTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LimiterTables {
    fn get(&mut self, server: ServerId) -> Option<&mut LimitedServer> {
        let index = self
            .servers
            .binary_search_by_key(&server, |it| it.server.id);
        index.ok().map(|index| &mut self.servers[index])
    }
}

impl LimitedServer {
    fn new(server: ServerInfo) -> Self {
        LimitedServer {
            server,
            limiter: None,
            live: 0,
            open: Vec::new(),
        }
    }

    fn may_start(&self, group: &str, now: Timestamp) -> bool {
        let limiter = self.limiter.as_ref();
        self.server.is_home
            && self.server.group == group
            && limiter.is_some_and(|it| it.may_start(now))
    }

    fn begin(&mut self, number: u64, stop: CancellationToken, now: Timestamp) {
        self.server.in_flight += 1;
        self.open.push(OpenSlot { number, stop });
        if let Some(limiter) = &mut self.limiter {
            limiter.record_bulk_start(now);
        }
    }

    fn end(&mut self, number: u64, now: Timestamp) {
        let before = self.open.len();
        self.open.retain(|it| it.number != number);
        if self.open.len() == before {
            return;
        }
        self.server.in_flight = self.server.in_flight.saturating_sub(1);
        if let Some(limiter) = &mut self.limiter {
            limiter.record_bulk_end(now);
        }
    }

    fn apply(&mut self, server: ServerInfo, now: Timestamp) {
        self.server = server;
        self.update_live(now);
        if let Some(limiter) = &mut self.limiter {
            limiter.tick(now);
        }
    }

    fn report(&mut self, report: LoadReport, now: Timestamp) {
        if report.batch == 0 {
            return;
        }
        if self.limiter.is_none() {
            // A limit that follows live latencies was tried and rejected: live
            // prompts alone already raise latencies as if bulk work did harm.
            // See docs/DESIGN.md.
            let slots = f64::from(report.batch);
            let limit = FixedLimit { slots };
            let mut limiter = BulkLimiter::new(BulkLimiterTiming::default(), limit);
            // The requests already on the server are entered as begun earlier,
            // so that they don't count as a burst.
            (0..self.live).for_each(|_| limiter.record_live_start(now - DEMAND_WINDOW));
            limiter.tick(now);
            self.limiter = Some(limiter);
        }
        if let Some(limiter) = &mut self.limiter {
            limiter.report(report, now);
        }
    }

    /// Updates the limiter with this daemon's live requests that began or
    /// ended.
    fn update_live(&mut self, now: Timestamp) {
        let bulk = u32::try_from(self.open.len()).unwrap_or(u32::MAX);
        let live = self.server.in_flight.saturating_sub(bulk);
        if let Some(limiter) = &mut self.limiter {
            (self.live..live).for_each(|_| limiter.record_live_start(now));
            (live..self.live).for_each(|_| limiter.record_live_end(now));
        }
        self.live = live;
    }

    /// Preempts the bulk requests beyond the limit, the latest to start first:
    /// they lose the least work if their engine can't resume them.
    fn stop_excess(&mut self) {
        let all = self.open.len();
        let excess = match &self.limiter {
            Some(limiter) if self.server.is_home => limiter.excess() as usize,
            _ => all,
        };
        // Slots that were cancelled earlier may still be open; cancelling them
        // again has no effect.
        for slot in self.open.iter().rev().take(excess.min(all)) {
            slot.stop.cancel();
        }
    }
}
