//! The one way by which bulk work reaches a backend server.

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

/// How long servers are asked for their load after somebody wanted a slot.
const WANTED_SPAN: Duration = Duration::from_secs(2);

/// A server as the gates are told of it.
#[derive(Clone, Debug)]
pub struct GateServer {
    /// Its id.
    pub id: ServerId,
    /// Where it listens, as `ip:port`.
    pub address: String,
    /// The group it serves in.
    pub group: String,
    /// Requests of this daemon on it, bulk ones included.
    pub in_flight: u32,
    /// Whether bulk work may reach it through this daemon.
    pub is_home: bool,
}

/// A bulk request on a server.
#[derive(Debug)]
struct OpenSlot {
    number: u64,
    stop: CancellationToken,
}

#[derive(Debug)]
struct GatedServer {
    server: GateServer,
    /// None until the server has told the size of its batch.
    gate: Option<BulkLimiter<FixedLimit>>,
    /// The live requests of this daemon that the gate was told of.
    live: u32,
    open: Vec<OpenSlot>,
}

/// The bulk slots of a server, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct SlotView {
    /// Bulk requests on it now.
    pub open: u32,
    /// How many it may have; unknown until it has told the size of its batch.
    pub allowed: Option<u32>,
}

#[derive(Debug, Default)]
struct GateTables {
    /// Sorted by id.
    servers: Vec<GatedServer>,
    next_slot: u64,
    wanted_at: Option<Timestamp>,
}

/// Gives out bulk slots on the servers whose home this daemon is, and takes
/// them back at once when live work needs the room. How many there are is
/// decided by a [`BulkLimiter`] for each server.
#[derive(Clone, Debug, Default)]
pub struct ServerGates {
    tables: Arc<Mutex<GateTables>>,
    changed: Arc<Notify>,
}

/// The right to run one bulk request on a server. Dropping it gives it back.
#[derive(Debug)]
pub struct BulkSlot {
    /// The server, on which the request counts as in flight.
    pub server: ChosenServer,
    /// Cancelled when the request must make room for live work.
    pub stop: CancellationToken,
    number: u64,
    gates: ServerGates,
    begun: Timestamp,
    clock: crate::clock::ProcessClock,
}

impl Drop for BulkSlot {
    fn drop(&mut self) {
        let now = self.clock.now().max(self.begun);
        self.gates.close(self.server.id, self.number, now);
    }
}

impl ServerGates {
    /// Takes in the servers with their present load, and stops bulk work where
    /// it is too much.
    pub fn update(&self, servers: Vec<GateServer>, now: Timestamp) {
        let mut tables = self.lock();
        let old = std::mem::take(&mut tables.servers);
        let mut old = old.into_iter().peekable();
        for server in servers {
            let id = server.id;
            // Both are sorted by id. A server that is gone takes its state
            // along; its open slots end with their requests.
            while old.next_if(|it| it.server.id < id).is_some() {}
            let mut gated = old
                .next_if(|it| it.server.id == id)
                .unwrap_or_else(|| GatedServer::new(server.clone()));
            gated.take_in(server, now);
            gated.stop_excess();
            tables.servers.push(gated);
        }
        drop(tables);
        self.changed.notify_waiters();
    }

    /// A live request is about to be sent to a server: bulk work makes room
    /// before it arrives.
    pub fn note_arrival(&self, server: ServerId, now: Timestamp) {
        let mut tables = self.lock();
        if let Some(gated) = tables.get(server) {
            gated.server.in_flight += 1;
            gated.show_live(now);
            gated.stop_excess();
        }
    }

    /// Another daemon sends live requests to a server: bulk work makes room.
    /// Returns the bulk requests that are left on it.
    pub fn announce(&self, server: ServerId, count: u32, now: Timestamp) -> u32 {
        let mut tables = self.lock();
        let Some(gated) = tables.get(server) else {
            return 0;
        };
        if let Some(gate) = &mut gated.gate {
            (0..count).for_each(|_| gate.announce(now));
        }
        gated.stop_excess();
        let left = gated.open.iter().filter(|it| !it.stop.is_cancelled());
        u32::try_from(left.count()).unwrap_or(u32::MAX)
    }

    /// Takes in a server's report of its load.
    pub fn note_report(&self, server: ServerId, report: LoadReport, now: Timestamp) {
        let mut tables = self.lock();
        if let Some(gated) = tables.get(server) {
            gated.report(report, now);
            gated.stop_excess();
        }
    }

    /// Opens a slot on the home server of the group with the least bulk work,
    /// if one has room. `choose` counts the request on the server.
    pub fn open(
        &self,
        group: &str,
        clock: crate::clock::ProcessClock,
        now: Timestamp,
        choose: impl Fn(ServerId) -> Option<ChosenServer>,
    ) -> Option<BulkSlot> {
        let mut tables = self.lock();
        tables.wanted_at = Some(now);
        let place = (0..tables.servers.len())
            .filter(|&it| tables.servers[it].may_start(group, now))
            .min_by_key(|&it| tables.servers[it].open.len())?;
        let server = choose(tables.servers[place].server.id)?;
        tables.next_slot += 1;
        let number = tables.next_slot;
        let stop = CancellationToken::new();
        tables.servers[place].begin(number, stop.clone(), now);
        drop(tables);
        Some(BulkSlot {
            server,
            stop,
            number,
            gates: self.clone(),
            begun: now,
            clock,
        })
    }

    /// Waits until slots may have become free.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// The servers that shall be asked for their load: the home servers, while
    /// bulk work runs or waits. Without reports, nothing would be known of the
    /// live requests that other daemons have on them.
    pub fn to_ask(&self, now: Timestamp) -> Vec<(ServerId, String)> {
        let tables = self.lock();
        let recent = |it: Timestamp| now.since(it) < WANTED_SPAN;
        let is_wanted = tables.wanted_at.is_some_and(recent);
        let servers = tables.servers.iter();
        servers
            .filter(|it| it.server.is_home && (is_wanted || !it.open.is_empty()))
            .map(|it| (it.server.id, it.server.address.clone()))
            .collect()
    }

    /// The bulk slots of the servers whose home this daemon is, by id.
    pub fn slots(&self, now: Timestamp) -> Vec<(ServerId, SlotView)> {
        let tables = self.lock();
        let homes = tables.servers.iter().filter(|it| it.server.is_home);
        homes
            .map(|it| {
                let slots = SlotView {
                    open: u32::try_from(it.open.len()).unwrap_or(u32::MAX),
                    allowed: it.gate.as_ref().map(|gate| gate.allowed(now)),
                };
                (it.server.id, slots)
            })
            .collect()
    }

    /// Bulk requests open now.
    pub fn bulk(&self) -> usize {
        self.lock().servers.iter().map(|it| it.open.len()).sum()
    }

    fn close(&self, server: ServerId, number: u64, now: Timestamp) {
        let mut tables = self.lock();
        if let Some(gated) = tables.get(server) {
            gated.end(number, now);
        }
        drop(tables);
        self.changed.notify_waiters();
    }

    /// A panic under this lock leaves counts that the next update corrects.
    fn lock(&self) -> MutexGuard<'_, GateTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GateTables {
    fn get(&mut self, server: ServerId) -> Option<&mut GatedServer> {
        let place = self
            .servers
            .binary_search_by_key(&server, |it| it.server.id);
        place.ok().map(|place| &mut self.servers[place])
    }
}

impl GatedServer {
    fn new(server: GateServer) -> Self {
        GatedServer {
            server,
            gate: None,
            live: 0,
            open: Vec::new(),
        }
    }

    fn may_start(&self, group: &str, now: Timestamp) -> bool {
        let gate = self.gate.as_ref();
        self.server.is_home
            && self.server.group == group
            && gate.is_some_and(|it| it.may_start(now))
    }

    fn begin(&mut self, number: u64, stop: CancellationToken, now: Timestamp) {
        self.server.in_flight += 1;
        self.open.push(OpenSlot { number, stop });
        if let Some(gate) = &mut self.gate {
            gate.record_bulk_start(now);
        }
    }

    fn end(&mut self, number: u64, now: Timestamp) {
        let before = self.open.len();
        self.open.retain(|it| it.number != number);
        if self.open.len() == before {
            return;
        }
        self.server.in_flight = self.server.in_flight.saturating_sub(1);
        if let Some(gate) = &mut self.gate {
            gate.record_bulk_end(now);
        }
    }

    fn take_in(&mut self, server: GateServer, now: Timestamp) {
        self.server = server;
        self.show_live(now);
        if let Some(gate) = &mut self.gate {
            gate.tick(now);
        }
    }

    fn report(&mut self, report: LoadReport, now: Timestamp) {
        if report.batch == 0 {
            return;
        }
        if self.gate.is_none() {
            // Feedback from live latencies was measured and rejected, since live
            // prompts alone look like harm. See docs/DESIGN.md.
            let slots = f64::from(report.batch);
            let limit = FixedLimit { slots };
            let mut gate = BulkLimiter::new(BulkLimiterTiming::default(), limit);
            // What is on the server is known already and isn't a burst now.
            (0..self.live).for_each(|_| gate.record_live_start(now - WANTED_SPAN));
            gate.tick(now);
            self.gate = Some(gate);
        }
        if let Some(gate) = &mut self.gate {
            gate.report(report, now);
        }
    }

    /// Tells the gate of this daemon's own live requests that began or ended.
    fn show_live(&mut self, now: Timestamp) {
        let bulk = u32::try_from(self.open.len()).unwrap_or(u32::MAX);
        let live = self.server.in_flight.saturating_sub(bulk);
        if let Some(gate) = &mut self.gate {
            (self.live..live).for_each(|_| gate.record_live_start(now));
            (live..self.live).for_each(|_| gate.record_live_end(now));
        }
        self.live = live;
    }

    /// Stops what is too much, the last to start first: it has the least to
    /// lose if its engine doesn't resume.
    fn stop_excess(&mut self) {
        let all = self.open.len();
        let excess = match &self.gate {
            Some(gate) if self.server.is_home => gate.excess() as usize,
            _ => all,
        };
        // Those stopped before may still be on their way out.
        for slot in self.open.iter().rev().take(excess.min(all)) {
            slot.stop.cancel();
        }
    }
}
