//! What all parts of a daemon share.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use comfreyramp_http::HttpClient;
use comfreyramp_lots::SystemClock;
use comfreyramp_policy::{Incarnation, RetryBudget};
use comfreyramp_settings::DaemonSettings;
use comfreyramp_store::{GatewayStore, GatewayVmList};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{
    announcer::LiveAnnouncer,
    claims::ClaimKeeper,
    clock::ProcessClock,
    live_queue::{StartQueues, UrgencyRanks},
    lot_work::{DaemonLots, ServerGates},
    metrics::DaemonMetrics,
    rates::RateBoard,
    server_pool::ServerPool,
    settings_link::SettingsAge,
    snapshot::SettingsSnapshot,
    suspects::{SuspectKeeper, SuspectRecords},
    traces::TraceRing,
};

/// What all parts of a daemon share. The request path only reads snapshots and
/// takes short locks.
#[derive(Debug)]
pub struct SharedState {
    /// The daemon's own settings.
    pub settings: DaemonSettings,
    /// Its clock.
    pub clock: ProcessClock,
    /// The operators' settings in force.
    pub snapshots: watch::Receiver<Arc<SettingsSnapshot>>,
    /// The backend servers.
    pub servers: ServerPool,
    /// The client towards backend servers.
    pub client: HttpClient,
    /// The platform's key-value service.
    pub store: GatewayStore<DaemonMetrics>,
    /// Files and lots.
    pub lots: DaemonLots,
    /// The way of bulk work to the backend servers.
    pub bulk: ServerGates,
    /// The platform's VM list.
    pub vm_list: GatewayVmList<DaemonMetrics>,
    /// What is counted.
    pub metrics: DaemonMetrics,
    /// Tells homes of live requests on their way.
    pub announcer: LiveAnnouncer,
    /// The retries that the fleet can bear.
    pub retry_budget: Mutex<RetryBudget>,
    /// The customers' rates.
    pub rates: Arc<RateBoard>,
    /// What became of the last requests.
    pub traces: TraceRing,
    /// The claims of calls that must not run twice.
    pub claims: Arc<ClaimKeeper>,
    /// The habits of all keys.
    pub ranks: UrgencyRanks,
    /// The live requests that wait for a server.
    pub queues: StartQueues,
    /// What runs here and what is suspected.
    pub suspects: Arc<SuspectKeeper>,
    /// Suspects and trials as the platform keeps them.
    pub suspect_records: SuspectRecords<GatewayStore<DaemonMetrics>>,
    /// When the settings in force were last known to be current.
    pub settings_age: Arc<SettingsAge>,
    /// Set once a planned stop begins: the daemon still answers, and says that
    /// it is not ready.
    pub not_ready: AtomicBool,
    /// Cancelled when an operator asks for a planned stop.
    pub drain_asked: CancellationToken,
    next_request: AtomicU64,
}

impl SharedState {
    /// Gathers the parts.
    pub fn new(parts: SharedParts) -> Self {
        let clock = ProcessClock::default();
        let incarnation = Incarnation(rand::random());
        let rates = Arc::new(RateBoard::new(&parts.settings, incarnation, clock));
        SharedState {
            settings: parts.settings,
            clock,
            claims: Arc::new(ClaimKeeper::new(incarnation, clock)),
            ranks: UrgencyRanks::default(),
            queues: StartQueues::default(),
            suspects: Arc::new(SuspectKeeper::new(incarnation, clock)),
            suspect_records: SuspectRecords::new(parts.store.clone()),
            snapshots: parts.snapshots,
            servers: ServerPool::default(),
            client: HttpClient::default(),
            lots: DaemonLots::new(parts.store.clone(), SystemClock),
            bulk: ServerGates::default(),
            store: parts.store,
            vm_list: parts.vm_list,
            metrics: parts.metrics,
            announcer: LiveAnnouncer::default(),
            retry_budget: Mutex::new(RetryBudget::default()),
            rates,
            traces: TraceRing::default(),
            settings_age: Arc::default(),
            not_ready: AtomicBool::new(false),
            drain_asked: parts.drain_asked,
            next_request: AtomicU64::new(0),
        }
    }

    /// The settings in force.
    pub fn snapshot(&self) -> Arc<SettingsSnapshot> {
        self.snapshots.borrow().clone()
    }

    /// A new request id, unique over the fleet and over restarts.
    pub fn new_request_id(&self, start: u64) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{start:x}-{number:x}", self.settings.name)
    }

    /// Whether requests can be answered: settings and rosters are there and no
    /// stop is planned.
    pub fn is_ready(&self) -> bool {
        let known = self.snapshots.borrow().revision > 0 && self.rates.is_ready();
        known && !self.not_ready.load(Ordering::Relaxed)
    }
}

/// What [`SharedState::new`] needs.
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
    /// What is counted.
    pub metrics: DaemonMetrics,
    /// Cancelled when an operator asks for a planned stop.
    pub drain_asked: CancellationToken,
}
