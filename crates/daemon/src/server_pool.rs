//! The backend servers and this daemon's load on them, behind one briefly held
//! lock.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use comfreyramp_http::{CallError, HeaderMap};
use comfreyramp_policy::{
    GroupId, ListedServer, LoadReport, RouteQuery, ServerId, ServerKey, ServerOutcome, ServerState,
    ServerTable, Timestamp, ZoneId, lots::home_daemon,
};
use comfreyramp_settings::DaemonSettings;
use comfreyramp_store::{ListedVm, VmState};
use serde::Serialize;
use tokio::sync::Notify;

use crate::{
    clock::ProcessClock,
    lot_work::{BulkLimiters, ServerInfo},
    snapshot::NameInterner,
    suspects::SuspectRun,
};

/// How long a home daemon's report of its bulk requests on a server stays
/// valid.
const BULK_REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// The group of the daemons themselves. Its VMs are not backend servers.
pub const ENTRY_GROUP: &str = "entry";

/// A daemon of this daemon's zone.
#[derive(Debug)]
struct ZoneDaemon {
    name: String,
    /// Where it listens for peers, if the list has an address that parses.
    address: Option<SocketAddr>,
}

/// The servers, the ids of groups and zones, and the zone's daemons.
#[derive(Debug, Default)]
struct PoolTables {
    servers: ServerTable,
    groups: NameInterner,
    zones: NameInterner,
    /// The live daemons of this daemon's zone, as the platform lists them.
    daemons: Vec<ZoneDaemon>,
    /// Servers on which their home daemon reported bulk requests, with the time
    /// of the report.
    bulk_reports: Vec<(ServerId, Timestamp)>,
}

/// A cloneable handle to the backend servers. The request path chooses servers
/// through it and reports the outcome of each request to it.
#[derive(Clone, Debug, Default)]
pub struct ServerPool {
    tables: Arc<Mutex<PoolTables>>,
    freed: Arc<Notify>,
}

/// A server with one request counted as in flight on it until this value is
/// dropped.
#[derive(Debug)]
pub struct ChosenServer {
    /// Its id in this process.
    pub id: ServerId,
    /// The platform's name for it.
    pub name: String,
    /// Where it listens, as `ip:port`.
    pub address: String,
    /// The number of this daemon's requests on it, this one included.
    pub in_flight: u32,
    /// The run of the request on it, if the run is tracked in order to find
    /// requests that kill servers.
    pub run: Option<SuspectRun>,
    is_bulk: bool,
    pool: ServerPool,
    started_at: Timestamp,
    clock: ProcessClock,
}

/// A server as reported to operators.
#[derive(Clone, Debug, Serialize)]
pub struct ServerView {
    /// Its id in this process.
    #[serde(skip)]
    pub id: ServerId,
    /// The platform's name for it.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its group.
    pub group: String,
    /// Where it listens, as `ip:port`.
    pub address: String,
    /// `live`, `leaving` or `dropped`.
    pub state: &'static str,
    /// This daemon's requests on it.
    pub in_flight: u32,
    /// Its share of the work; 0 while it is ejected after failures.
    pub weight: f32,
}

impl ServerView {
    /// Whether it receives new requests.
    pub fn is_usable(&self) -> bool {
        self.state == "live" && self.weight > 0.0
    }
}

/// A request to route, with groups and zones given by name.
#[derive(Clone, Copy, Debug)]
pub struct PoolQuery<'a> {
    /// The group that serves the request.
    pub group: &'a str,
    /// The daemon's own zone.
    pub zone: &'a str,
    /// A hash of the beginning of the prompt. Requests with the same hash
    /// prefer the same server, which has that prefix cached.
    pub prefix: Option<u64>,
    /// Servers that must not receive the request.
    pub exclude: &'a [ServerId],
}

impl PoolTables {
    /// Changes the number of this daemon's bulk requests on a server.
    fn change_bulk(&mut self, id: ServerId, change: impl FnOnce(u32) -> u32) {
        let Some(entry) = self.servers.entry(id) else {
            return;
        };
        let mut preemptible = entry.load.preemptible;
        preemptible.own = change(preemptible.own);
        self.servers.set_preemptible(id, preemptible);
    }

    /// Returns the daemons of the zone. This daemon is included even if the
    /// platform's list lacks it.
    fn daemon_names<'a>(&'a self, own: &'a str) -> Vec<&'a str> {
        let mut names: Vec<&str> = self.daemons.iter().map(|it| it.name.as_str()).collect();
        if !names.contains(&own) {
            names.push(own);
        }
        names
    }

    /// Removes outdated reports from home daemons. The bulk work may have ended
    /// since, and an equal number of requests in the server's load reports
    /// would wrongly be ignored as preemptible.
    fn expire_bulk_reports(&mut self, now: Timestamp) {
        let is_old = |it: &(ServerId, Timestamp)| now.since(it.1) >= BULK_REPORT_LIFETIME;
        let old: Vec<ServerId> = self
            .bulk_reports
            .iter()
            .filter(|it| is_old(it))
            .map(|it| it.0)
            .collect();
        self.bulk_reports.retain(|it| !is_old(it));
        for server in old {
            self.set_reported_bulk(server, 0);
        }
    }

    fn set_reported_bulk(&mut self, id: ServerId, bulk: u32) {
        let Some(entry) = self.servers.entry(id) else {
            return;
        };
        let mut preemptible = entry.load.preemptible;
        preemptible.others = bulk;
        self.servers.set_preemptible(id, preemptible);
    }

    fn route<'a>(&mut self, query: PoolQuery<'a>) -> RouteQuery<'a> {
        RouteQuery {
            group: GroupId(self.groups.id(query.group)),
            zone: ZoneId(self.zones.id(query.zone)),
            prefix: query.prefix,
            exclude: query.exclude,
        }
    }
}

impl ServerPool {
    /// Applies the platform's list of VMs.
    pub fn update(&self, vms: &[ListedVm], zone: &str, now: Timestamp) {
        let mut tables = self.lock();
        let tables = &mut *tables;
        tables.daemons = vms
            .iter()
            .filter(|it| it.group == ENTRY_GROUP && it.zone == zone && it.state == VmState::Live)
            .map(|it| ZoneDaemon {
                name: it.name.clone(),
                address: it.address.parse().ok(),
            })
            .collect();
        tables.expire_bulk_reports(now);
        let listed: Vec<ListedServer> = vms
            .iter()
            .filter(|it| it.group != ENTRY_GROUP)
            .map(|it| ListedServer {
                name: it.name.clone(),
                address: it.address.clone(),
                zone: ZoneId(tables.zones.id(&it.zone)),
                group: GroupId(tables.groups.id(&it.group)),
                leaving: it.state == VmState::Leaving,
            })
            .collect();
        let outcome = tables.servers.apply_list(&listed, now);
        tables.servers.expire(now);
        for server in outcome.added {
            if let Some(entry) = tables.servers.entry(server) {
                log::info!("servers: {} is in service at {}", entry.name, entry.address);
            }
        }
        for server in outcome.leaving {
            if let Some(entry) = tables.servers.entry(server) {
                log::info!("servers: {} is leaving and gets no new work", entry.name);
            }
        }
    }

    /// Chooses a server and counts a request on it. Returns `None` if no server
    /// can take the request.
    pub fn choose(&self, query: PoolQuery<'_>, clock: ProcessClock) -> Option<ChosenServer> {
        let now = clock.now();
        let mut tables = self.lock();
        let route = tables.route(query);
        let id = tables.servers.choose(&route, now, &mut rand::rng())?;
        tables.servers.begin(id);
        let entry = tables.servers.entry(id)?;
        Some(ChosenServer {
            id,
            name: entry.name.clone(),
            address: entry.address.clone(),
            in_flight: entry.load.in_flight,
            run: None,
            is_bulk: false,
            pool: self.clone(),
            started_at: now,
            clock,
        })
    }

    /// Whether any server could take the request, also a full one.
    pub fn has_server(&self, query: PoolQuery<'_>, clock: ProcessClock) -> bool {
        let mut tables = self.lock();
        let route = tables.route(query);
        let chosen = tables.servers.choose(&route, clock.now(), &mut rand::rng());
        chosen.is_some()
    }

    /// Whether some server is expected to have the capacity to start one more
    /// request at once.
    pub fn has_capacity(&self, query: PoolQuery<'_>, clock: ProcessClock) -> bool {
        let mut tables = self.lock();
        let route = tables.route(query);
        let now = clock.now();
        let chosen = tables
            .servers
            .choose_with_capacity(&route, now, &mut rand::rng());
        chosen.is_some()
    }

    /// Waits until a request has ended on any server.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }

    /// Counts a bulk request on a given server. Bulk requests are preempted by
    /// live ones, so they must not make the server look full to live requests.
    pub fn take_for_bulk(&self, id: ServerId, clock: ProcessClock) -> Option<ChosenServer> {
        let mut server = self.take(id, clock)?;
        server.is_bulk = true;
        self.lock().change_bulk(id, |count| count + 1);
        Some(server)
    }

    /// Counts a request on a given server, whatever its state and load.
    pub fn take(&self, id: ServerId, clock: ProcessClock) -> Option<ChosenServer> {
        let mut tables = self.lock();
        let entry = tables.servers.entry(id)?;
        let (name, address) = (entry.name.clone(), entry.address.clone());
        let in_flight = entry.load.in_flight + 1;
        tables.servers.begin(id);
        Some(ChosenServer {
            id,
            name,
            address,
            in_flight,
            run: None,
            is_bulk: false,
            pool: self.clone(),
            started_at: clock.now(),
            clock,
        })
    }

    /// Returns the id of the server with this key.
    pub fn id_of(&self, key: ServerKey) -> Option<ServerId> {
        let tables = self.lock();
        let mut servers = tables.servers.servers();
        servers
            .find(|(_, entry)| ServerKey::of(&entry.name) == key)
            .map(|(id, _)| id)
    }

    /// Counts a request on the server with this key, if the server takes new
    /// work and this daemon's live requests don't fill its batch.
    pub fn take_with_capacity(
        &self,
        key: ServerKey,
        exclude: &[ServerId],
        clock: ProcessClock,
    ) -> Option<ChosenServer> {
        let id = self.id_of(key)?;
        let has_capacity = {
            let tables = self.lock();
            let load = &tables.servers.entry(id)?.load;
            load.in_flight.saturating_sub(load.preemptible.own) < load.batch()
        };
        has_capacity
            .then(|| self.take_if_usable(key, exclude, clock))
            .flatten()
    }

    /// Counts a request on the server with this key, if the server takes new
    /// work.
    pub fn take_if_usable(
        &self,
        key: ServerKey,
        exclude: &[ServerId],
        clock: ProcessClock,
    ) -> Option<ChosenServer> {
        let id = self.id_of(key).filter(|it| !exclude.contains(it))?;
        let is_usable = {
            let tables = self.lock();
            let entry = tables.servers.entry(id)?;
            entry.state == ServerState::Live && !entry.health.is_ejected(clock.now())
        };
        is_usable.then(|| self.take(id, clock)).flatten()
    }

    /// Records how many bulk requests a server's home daemon reports on it.
    pub fn record_reported_bulk(&self, id: ServerId, bulk: u32, now: Timestamp) {
        let mut tables = self.lock();
        tables.bulk_reports.retain(|it| it.0 != id);
        tables.bulk_reports.push((id, now));
        tables.set_reported_bulk(id, bulk);
    }

    /// Returns a server's key and the address at which its home daemon listens
    /// for peers, if the server is in this daemon's zone and another daemon is
    /// its home.
    pub fn remote_home(
        &self,
        id: ServerId,
        settings: &DaemonSettings,
    ) -> Option<(ServerKey, SocketAddr)> {
        let tables = self.lock();
        let entry = tables.servers.entry(id)?;
        if tables.zones.name(entry.zone.0) != Some(settings.zone.as_str()) {
            return None;
        }
        let home = home_daemon(&entry.name, &tables.daemon_names(&settings.name))?;
        if home == settings.name {
            return None;
        }
        let daemon = tables.daemons.iter().find(|it| it.name == home)?;
        Some((entry.key, daemon.address?))
    }

    /// Updates the bulk limiters with the servers of this daemon's zone.
    /// Servers that are leaving, dropped or ejected get no bulk work.
    pub fn update_limiters(
        &self,
        limiters: &BulkLimiters,
        settings: &DaemonSettings,
        now: Timestamp,
    ) {
        let mut tables = self.lock();
        let zone = ZoneId(tables.zones.id(&settings.zone));
        let daemons = tables.daemon_names(&settings.name);
        let mut servers: Vec<ServerInfo> = tables
            .servers
            .servers()
            .filter(|(_, entry)| entry.zone == zone)
            .map(|(id, entry)| ServerInfo {
                id,
                address: entry.address.clone(),
                group: tables
                    .groups
                    .name(entry.group.0)
                    .unwrap_or_default()
                    .to_owned(),
                in_flight: entry.load.in_flight,
                is_home: entry.state == ServerState::Live
                    && !entry.health.is_ejected(now)
                    && home_daemon(&entry.name, &daemons) == Some(settings.name.as_str()),
            })
            .collect();
        servers.sort_by_key(|it| it.id);
        drop(daemons);
        drop(tables);
        limiters.update(servers, now);
    }

    /// Returns the servers as reported to operators.
    pub fn view(&self, now: Timestamp) -> Vec<ServerView> {
        let tables = self.lock();
        let name = |arena: &NameInterner, id| arena.name(id).unwrap_or_default().to_owned();
        tables
            .servers
            .servers()
            .map(|(id, entry)| ServerView {
                id,
                name: entry.name.clone(),
                zone: name(&tables.zones, entry.zone.0),
                group: name(&tables.groups, entry.group.0),
                address: entry.address.clone(),
                state: state_label(entry.state),
                in_flight: entry.load.in_flight,
                weight: entry.health.weight(now),
            })
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, PoolTables> {
        // A panic under this lock leaves counts slightly off until the next
        // load reports correct them. Failing all later requests on the poisoned
        // lock would be worse.
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ChosenServer {
    /// Applies the load report in the headers of an answer, if there is one.
    pub fn note_report(&self, headers: &HeaderMap) {
        if let Some(report) = read_report(headers) {
            self.pool
                .lock()
                .servers
                .report(self.id, report, self.clock.now());
        }
    }

    /// Records that the first token of the answer has arrived.
    pub fn note_first_token(&self) {
        let span = self.clock.now().since(self.started_at);
        self.pool.lock().servers.first_token(self.id, span);
    }

    /// Records that the connection broke, and finds out whether the server
    /// died. Returns once the caller may be answered.
    pub async fn note_broken(&self) {
        self.note_outcome(ServerOutcome::Broken);
        if let Some(run) = &self.run {
            run.note_broken(&self.address).await;
        }
    }

    /// Records that an answer came that isn't one to the request. The connection didn't break,
    /// so it is no sign that the server died.
    pub fn note_refused_answer(&self, request_id: &str, error: &CallError) {
        let what = match error {
            CallError::OtherRequest => "answered another request in place of",
            _ => "gave an invalid answer to",
        };
        log::warn!("servers: {} {what} {request_id}: {error}", self.name);
        self.note_outcome(ServerOutcome::Broken);
    }

    /// Records that no connection could be opened.
    pub fn note_not_sent(&self) {
        self.note_outcome(ServerOutcome::ConnectFailed);
        if let Some(run) = &self.run {
            run.mark_not_sent();
        }
    }

    /// Records the outcome of the attempt.
    pub fn note_outcome(&self, outcome: ServerOutcome) {
        if let (ServerOutcome::Ok, Some(run)) = (outcome, &self.run) {
            run.mark_finished();
        }
        let now = self.clock.now();
        self.pool
            .lock()
            .servers
            .outcome(self.id, outcome, now, &mut rand::rng());
    }
}

impl Drop for ChosenServer {
    fn drop(&mut self) {
        let held = self.clock.now().since(self.started_at);
        let mut tables = self.pool.lock();
        tables.servers.end(self.id, held);
        if self.is_bulk {
            tables.change_bulk(self.id, |count| count.saturating_sub(1));
        }
        drop(tables);
        self.pool.freed.notify_one();
    }
}

pub(crate) fn read_report(headers: &HeaderMap) -> Option<LoadReport> {
    let number = |name: &str| headers.get(name)?.to_str().ok()?.parse::<u32>().ok();
    if let Some(running) = number("x-service-running") {
        return Some(LoadReport {
            running,
            waiting: 0,
            batch: number("x-service-capacity").unwrap_or(0),
        });
    }
    Some(LoadReport {
        running: number("x-engine-running")?,
        waiting: number("x-engine-waiting")?,
        batch: number("x-engine-batch").unwrap_or(0),
    })
}

fn state_label(state: ServerState) -> &'static str {
    match state {
        ServerState::Live => "live",
        ServerState::Leaving => "leaving",
        ServerState::Dropped => "dropped",
    }
}
