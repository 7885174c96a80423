//! State shared by all parts of a daemon.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use comfreyramp_http::ServerClient;
use comfreyramp_lots::SystemClock;
use comfreyramp_policy::{Incarnation, RetryBudget};
use comfreyramp_settings::DaemonSettings;
use comfreyramp_store::{GatewayStore, GatewayVmList};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{
    announcer::LiveAnnouncer,
    claims::ClaimManager,
    clock::ProcessClock,
    live_queue::{StartQueues, UrgencyRanker},
    lot_work::{BulkLimiters, DaemonLots},
    metrics::DaemonMetrics,
    rates::RateLimiter,
    server_pool::ServerPool,
    settings_link::SettingsAge,
    snapshot::SettingsSnapshot,
    suspects::{SuspectManager, SuspectRecords},
    traces::TraceRing,
};

/// State shared by all parts of a daemon. The request path only reads snapshots
/// and takes short locks.
#[derive(Debug)]
pub struct SharedState {
    /// The daemon's own settings.
    pub settings: DaemonSettings,
    /// The monotonic clock that all timestamps refer to.
    pub clock: ProcessClock,
    /// The operators' settings in force.
    pub snapshots: watch::Receiver<Arc<SettingsSnapshot>>,
    /// The backend servers and their load.
    pub servers: ServerPool,
    /// The HTTP client for requests to backend servers.
    pub client: ServerClient,
    /// The platform's key-value service.
    pub store: GatewayStore<DaemonMetrics>,
    /// The customers' files and lots (batch jobs).
    pub lots: DaemonLots,
    /// Limits the bulk work on the servers whose home is this daemon.
    pub bulk_limiters: BulkLimiters,
    /// The platform's VM list.
    pub vm_list: GatewayVmList<DaemonMetrics>,
    /// The metrics served at `/metrics`.
    pub metrics: DaemonMetrics,
    /// Notifies home daemons of live requests that are about to reach their servers.
    pub announcer: LiveAnnouncer,
    /// Limits retries, so that they can't overload the fleet.
    pub retry_budget: Mutex<RetryBudget>,
    /// Applies the customers' rates.
    pub rates: Arc<RateLimiter>,
    /// The traces of the most recent requests.
    pub traces: TraceRing,
    /// The claims of calls that must not run twice.
    pub claims: Arc<ClaimManager>,
    /// The urgency ranks of all keys.
    pub urgency_ranks: UrgencyRanker,
    /// The live requests that wait for a server.
    pub start_queues: StartQueues,
    /// The requests that run here and those suspected of crashing servers.
    pub suspects: Arc<SuspectManager>,
    /// The records of suspects and trials in the store.
    pub suspect_records: SuspectRecords<GatewayStore<DaemonMetrics>>,
    /// When the settings in force were last known to be current.
    pub settings_age: Arc<SettingsAge>,
    /// Set when a planned stop begins: the daemon still answers requests but
    /// reports that it is not ready.
    pub not_ready: AtomicBool,
    /// Cancelled when an operator requests a planned stop.
    pub drain_requested: CancellationToken,
    next_request: AtomicU64,
}

impl SharedState {
    /// Creates the state with empty queues, traces and trackers.
    pub fn new(parts: SharedParts) -> Self {
        let clock = ProcessClock::default();
        let incarnation = Incarnation(rand::random());
        let rates = Arc::new(RateLimiter::new(&parts.settings, incarnation, clock));
        SharedState {
            settings: parts.settings,
            clock,
            claims: Arc::new(ClaimManager::new(incarnation, clock)),
            urgency_ranks: UrgencyRanker::default(),
            start_queues: StartQueues::default(),
            suspects: Arc::new(SuspectManager::new(incarnation, clock)),
            suspect_records: SuspectRecords::new(parts.store.clone()),
            snapshots: parts.snapshots,
            servers: ServerPool::default(),
            client: ServerClient::default(),
            lots: DaemonLots::new(parts.store.clone(), SystemClock),
            bulk_limiters: BulkLimiters::default(),
            store: parts.store,
            vm_list: parts.vm_list,
            metrics: parts.metrics,
            announcer: LiveAnnouncer::default(),
            retry_budget: Mutex::new(RetryBudget::default()),
            rates,
            traces: TraceRing::default(),
            settings_age: Arc::default(),
            not_ready: AtomicBool::new(false),
            drain_requested: parts.drain_requested,
            next_request: AtomicU64::new(0),
        }
    }

    /// Returns the settings in force.
    pub fn snapshot(&self) -> Arc<SettingsSnapshot> {
        self.snapshots.borrow().clone()
    }

    /// Returns a new request id, unique in the fleet and across restarts if
    /// `start` differs for each start of the daemon.
    pub fn new_request_id(&self, start: u64) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{start:x}-{number:x}", self.settings.name)
    }

    /// Returns whether requests can be answered: the settings and the rosters are
    /// known, and no planned stop has begun.
    pub fn is_ready(&self) -> bool {
        let known = self.snapshots.borrow().revision > 0 && self.rates.is_ready();
        known && !self.not_ready.load(Ordering::Relaxed)
    }
}

/// The arguments of [`SharedState::new`].
#[derive(Debug)]
pub struct SharedParts {
    /// The daemon's own settings.
    pub settings: DaemonSettings,
    /// The operators' settings in force.
    pub snapshots: watch::Receiver<Arc<SettingsSnapshot>>,
    /// The platform's key-value service.
    pub store: GatewayStore<DaemonMetrics>,
    /// The platform's VM list.
    pub vm_list: GatewayVmList<DaemonMetrics>,
    /// The metrics served at `/metrics`.
    pub metrics: DaemonMetrics,
    /// Cancelled when an operator requests a planned stop.
    pub drain_requested: CancellationToken,
}
