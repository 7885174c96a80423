//! The state that all parts of a daemon share. One thread runs all tasks, so that the
//! state is in `RefCell`s, which a task must not keep borrowed across an `await`.
//!
//! This module has the state itself, the settings in force and the periodic work. Its
//! submodules maintain what is known of servers (`directory`), of peers (`peers`), of lots
//! (`lot_news`), of streams (`stream_origins`), of the store (`store_health`) and of servers'
//! failures (`server_failures`), and admit requests (`admission`, `crash_records`).

mod admission;
mod crash_records;
mod directory;
mod lot_news;
mod peers;
mod prompt_caches;
mod server_failures;
mod store_health;
mod stream_origins;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use comfreyramp_http::HttpClient;
use comfreyramp_policy::{
    PlannedStop, Timestamp,
    parts::PartTable,
    placement::{ColdTolerance, PlacementTable, ServerListing},
    streams::{OriginTable, StreamOrigin},
    usage::{PeerId, UsageTracker},
};
use comfreyramp_store::WatchBatch;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use self::{prompt_caches::prompt_caches, store_health::StoreHealth};
use crate::{
    clock::BootClock,
    dialect::{Dialect, FleetRecords},
    fleet::{
        FleetView, HeldLease, MemberList, PrefixSnapshot, RelayedStore, StoreMonitor, StoreView,
        ViewLags, ViewRevisions, ViewServer,
    },
    lots::{AssignedLot, LedgerCache, LotCache, LotNotice, LotNotices},
    memory::HeldMemory,
    metrics::NodeMetrics,
    path::{ConnectionPool, StartQueues},
    settings::NodeSettings,
    suspects::SuspectTracker,
};

/// How long opening a connection to a peer may take.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Local copies of the store's data, called views.
#[derive(Debug, Default)]
pub struct StoreViews {
    /// The keys that operators write.
    pub operators: StoreView,
    /// The entries of servers.
    pub servers: StoreView,
    /// The entries of daemons.
    pub members: StoreView,
}

impl StoreViews {
    /// Returns the store's revision of the last change of each view.
    pub fn revisions(&self) -> ViewRevisions {
        ViewRevisions {
            operators: self.operators.changed_revision(),
            servers: self.servers.changed_revision(),
            members: self.members.changed_revision(),
        }
    }

    /// Returns the store's revision up to which each view contains all changes. A peer whose
    /// last change is no newer has nothing to offer. The revision of that change may be
    /// higher than any in a listing, since a listing doesn't contain removed keys.
    pub fn complete_up_to(&self) -> ViewRevisions {
        ViewRevisions {
            operators: self.operators.revision(),
            servers: self.servers.revision(),
            members: self.members.revision(),
        }
    }
}

/// Reports on lots that wait for the worker to take them.
#[derive(Debug, Default)]
pub struct LotInbox {
    /// Accepted lots that wait for a daemon to run them.
    pub accepted: Vec<String>,
    /// Lots with the daemon that is to run each.
    pub placed: Vec<AssignedLot>,
    /// Lots that a caller has ended.
    pub ended: Vec<String>,
}

impl LotInbox {
    /// Adds a report of this daemon or a peer.
    fn push(&mut self, notice: &LotNotice) {
        match notice {
            LotNotice::Accepted(lot) => self.accepted.push(lot.clone()),
            LotNotice::Ended(lot) => self.ended.push(lot.clone()),
        }
    }
}

/// Peers with which this daemon communicates before its next periodic report.
#[derive(Debug, Default)]
struct PromptReports {
    /// Peers to which a report has to be sent at once.
    recipients: Vec<PeerId>,
    /// Peers from which a report has to be requested at once.
    requested: Vec<PeerId>,
}

/// The state that all parts of a daemon share.
#[derive(Debug)]
pub struct Node<D: Dialect> {
    /// The daemon's own settings.
    pub settings: NodeSettings,
    /// A random number that identifies this run of the daemon's process.
    pub incarnation: u64,
    /// The clock, which counts from the daemon's start.
    pub clock: BootClock,
    /// The client of the store, which can also reach it through peers.
    pub store: RelayedStore<D::Store>,
    /// The HTTP client for requests to peers.
    pub peer_client: HttpClient,
    /// The daemon's metrics.
    pub metrics: NodeMetrics,
    /// The local copies of the store's data.
    pub views: RefCell<StoreViews>,
    /// The views as they are sent to peers.
    pub view_server: RefCell<ViewServer>,
    /// The servers and their load, from which the server for a request is chosen.
    pub servers: RefCell<PlacementTable>,
    /// The account of the bytes that are held for callers.
    pub memory: Rc<HeldMemory>,
    /// Idle connections to servers.
    pub connections: ConnectionPool,
    /// Live requests that wait while all servers are full.
    pub start_queues: StartQueues<D>,
    /// Data of lots that was read from the store.
    pub lot_cache: RefCell<LotCache>,
    /// The last known ledgers of the tokens of customers' unfinished items.
    pub ledgers: LedgerCache,
    /// The reports on lots that are sent to peers.
    pub lot_notices: RefCell<LotNotices>,
    /// Notified when something changed that should be reported to peers.
    pub load_changed: Notify,
    /// Notified when admitted requests or the end of a lot have to be reported at once.
    pub urgent_report_due: Notify,
    /// Notified when a report has to be sent to, or requested from, some peers at once.
    pub prompt_reports_due: Notify,
    /// Notified when a stream began whose software has to be told to its keepers.
    pub origins_untold: Notify,
    /// Notified when a slot of a server became free or reports on lots have arrived.
    pub bulk_work_changed: Notify,
    /// The number of items that this daemon still has to run.
    pub pending_items: Cell<u32>,
    /// Whether this VM is being emptied.
    pub is_retiring: Cell<bool>,
    /// The planned stop of this daemon, once it has begun.
    pub planned_stop: Cell<Option<PlannedStop>>,
    /// Cancelled shortly before a planned stop ends, when open requests get their last answers.
    pub last_answers: CancellationToken,
    fleet: RefCell<Option<Rc<FleetView>>>,
    usage: RefCell<UsageTracker>,
    suspects: RefCell<SuspectTracker>,
    parts: RefCell<PartTable>,
    origins: RefCell<OriginTable>,
    /// Origins of streams, with the addresses of the daemons that have to be told.
    untold_origins: RefCell<Vec<(StreamOrigin, Vec<SocketAddr>)>>,
    members: RefCell<MemberList>,
    lags: Cell<ViewLags>,
    lease: RefCell<Option<HeldLease>>,
    lot_inbox: RefCell<LotInbox>,
    store_health: Cell<StoreHealth>,
    retained_servers: RefCell<Vec<(ServerListing, Timestamp)>>,
    message_number: Cell<u64>,
    prompt_reports: RefCell<PromptReports>,
    reports_requested_at: Cell<Option<Timestamp>>,
    has_logged_failures: Cell<bool>,
}

impl<D: Dialect> Node<D> {
    /// Creates the state of a daemon that hasn't received any data yet.
    pub fn new(settings: NodeSettings, store: D::Store, metrics: NodeMetrics) -> Self {
        let clock = BootClock::default();
        let mut usage = UsageTracker::new(clock.now());
        if let Some(tolerance) = settings.rate_tolerance {
            usage.set_tolerance(tolerance.tolerance());
        }
        let memory = HeldMemory::new(settings.held_bytes_bound(), clock, metrics.clone());
        Node {
            incarnation: rand::random(),
            store: RelayedStore::new(store, StoreMonitor::new(clock)),
            peer_client: HttpClient::new(PEER_CONNECT_TIMEOUT),
            metrics,
            views: RefCell::default(),
            view_server: RefCell::default(),
            servers: RefCell::new(PlacementTable::new(PeerId::of_name(&settings.name))),
            connections: ConnectionPool::new(memory.is_bounded()),
            start_queues: StartQueues::default(),
            memory: Rc::new(memory),
            lot_cache: RefCell::default(),
            ledgers: LedgerCache::default(),
            lot_notices: RefCell::default(),
            load_changed: Notify::new(),
            urgent_report_due: Notify::new(),
            prompt_reports_due: Notify::new(),
            origins_untold: Notify::new(),
            bulk_work_changed: Notify::new(),
            pending_items: Cell::new(0),
            is_retiring: Cell::new(false),
            planned_stop: Cell::new(None),
            last_answers: CancellationToken::new(),
            fleet: RefCell::default(),
            usage: RefCell::new(usage),
            suspects: RefCell::default(),
            parts: RefCell::default(),
            origins: RefCell::default(),
            untold_origins: RefCell::default(),
            lags: Cell::default(),
            members: RefCell::new(MemberList::new(&settings.name)),
            lease: RefCell::default(),
            lot_inbox: RefCell::default(),
            store_health: Cell::default(),
            retained_servers: RefCell::default(),
            message_number: Cell::new(0),
            prompt_reports: RefCell::default(),
            reports_requested_at: Cell::default(),
            has_logged_failures: Cell::new(false),
            settings,
            clock,
        }
    }

    /// Returns the operators' settings in force; `None` until some have been received.
    pub fn fleet(&self) -> Option<Rc<FleetView>> {
        self.fleet.borrow().clone()
    }

    /// Whether the balancer may send callers to this daemon.
    pub fn is_ready(&self) -> bool {
        let knows_servers = self.views.borrow().servers.confirmed_at().is_some();
        self.fleet.borrow().is_some() && knows_servers && self.planned_stop.get().is_none()
    }

    /// Replaces the operators' keys by a complete listing.
    pub fn replace_operators(&self, list: PrefixSnapshot) {
        let now = self.clock.now();
        if self.views.borrow_mut().operators.reset(list, now) {
            self.apply_evacuations();
            self.apply_settings();
        }
    }

    /// Applies changes of the operators' keys.
    pub fn apply_operator_changes(&self, batch: WatchBatch) {
        let now = self.clock.now();
        if self.views.borrow_mut().operators.apply(batch, now) {
            self.apply_evacuations();
            self.apply_settings();
        }
    }

    /// Applies the settings of the view if their version is higher than that in force.
    fn apply_settings(&self) {
        let views = self.views.borrow();
        let key = <D::Records as FleetRecords>::SETTINGS;
        let Some(pair) = views.operators.get(key) else {
            return;
        };
        let settings = match <D::Records as FleetRecords>::read_settings(&pair.value) {
            Ok(settings) => settings,
            Err(error) => {
                log::error!(revision = pair.modified, error:% = error; "settings: unusable, the former ones stay in force");
                return;
            }
        };
        let in_force = self.fleet.borrow().as_ref().map(|it| it.settings.version);
        if in_force.is_some_and(|it| it >= settings.version) {
            return;
        }
        log::info!(
            version = settings.version, former = in_force.unwrap_or_default(),
            revision = pair.modified, routes = settings.routes.len(), customers = settings.customers.len();
            "settings: in force"
        );
        self.metrics.view_revision("settings", pair.modified);
        let tolerance = self.settings.cold_tolerance;
        let tolerance = tolerance.map_or_else(ColdTolerance::default, |it| it.tolerance());
        let cold_limits = settings.services.iter().filter_map(|it| {
            let limit = tolerance.limit(it.cold_period, it.cold_rate)?;
            Some((it.name.clone(), limit))
        });
        let cold_limits = cold_limits.collect();
        let prompt_caches = prompt_caches(&settings);
        let view = FleetView::new(settings);
        let now = self.clock.now();
        let mut servers = self.servers.borrow_mut();
        servers.set_cold_limits(cold_limits, now);
        servers.set_prompt_caches(prompt_caches);
        drop(servers);
        drop(views);
        self.assign_home_servers();
        self.usage.borrow_mut().set_limits(&view.limits(), now);
        *self.fleet.borrow_mut() = Some(Rc::new(view));
        self.load_changed.notify_one();
    }

    /// Returns the longest delay until the next periodic work: the interval of reports, or
    /// less if retained servers have to be removed before.
    pub fn next_tick_delay(&self) -> Duration {
        let now = self.clock.now();
        let retained_servers = self.retained_servers.borrow();
        let expiries = retained_servers.iter().map(|it| it.1.since(now));
        let interval = self.max_report_interval();
        expiries.min().map_or(interval, |it| it.min(interval))
    }

    /// Does the periodic work: expires old data and updates the metrics.
    pub fn tick(&self) {
        let now = self.clock.now();
        self.usage.borrow_mut().tick(now);
        self.connections.tick(now);
        if self.members.borrow_mut().forget_silent(now) {
            let ids = self.members.borrow().entries();
            self.usage.borrow_mut().set_members(&ids, now);
        }
        self.update_silent_zones();
        self.store
            .set_peers(self.members.borrow().relay_addresses(now));
        if self.retained_servers.borrow().iter().any(|it| it.1 <= now) {
            self.apply_listings();
        }
        self.update_view_age_metrics();
        self.update_failure_metrics();
        self.metrics
            .dropped_lines
            .set(crate::logs::dropped_lines() as i64);
    }
}
