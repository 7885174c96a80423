//! Startup and shutdown of a daemon.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{Arc, atomic::Ordering},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::Context as _;
use comfreyramp_http::{ServeLimits, bind, serve};
use comfreyramp_peers::{LinkTiming, PeerLink};
use comfreyramp_settings::DaemonSettings;
use comfreyramp_store::{GatewaySettings, GatewayStore, GatewayVmList, PlatformStore};
use serde::Serialize;
use tokio::{net::TcpListener, sync::watch};
use tokio_util::sync::CancellationToken;
use xtra::Mailbox;

use crate::{
    announcer::run_announcer,
    callers,
    claims::run_claims,
    live_queue::run_start_queues,
    lot_work::run_lots,
    metrics::DaemonMetrics,
    operators, platform_link,
    rates::{self, PeerRequestHandler, SettingsPeers},
    settings_link::SettingsLink,
    settings_manager::SettingsManager,
    shared::{SharedParts, SharedState},
    snapshot::SettingsSnapshot,
    supervisor::Supervisor,
    suspects::{NoSuspectPeers, run_suspects},
};

/// How long a stopping daemon still accepts connections while it reports that it
/// isn't ready. The load balancer needs this long to notice; if the daemon closed
/// its listeners at once, callers that the balancer still sends would be refused.
const NOT_READY_DELAY: Duration = Duration::from_secs(1);

/// The addresses that the daemon listens on, which differ from the settings where
/// those leave the choice of a port to the system.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct BoundAddresses {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
    /// The address for other daemons.
    pub peers: SocketAddr,
}

/// A daemon whose listeners are bound but not yet served.
#[derive(Debug)]
pub struct EntryDaemon {
    settings: DaemonSettings,
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
    addresses: BoundAddresses,
}

impl EntryDaemon {
    /// Binds the listeners and writes the addresses file, if the settings name
    /// one. Fails if an address can't be bound or the file can't be written.
    pub async fn bind(settings: DaemonSettings) -> anyhow::Result<EntryDaemon> {
        let callers = bind(settings.callers).await?;
        let operators = bind(settings.operators).await?;
        let peers = bind(settings.peers).await?;
        let addresses = BoundAddresses {
            callers: callers.local_addr()?,
            operators: operators.local_addr()?,
            peers: peers.local_addr()?,
        };
        if let Some(path) = &settings.addresses_file {
            write_addresses(path, &addresses)?;
        }
        Ok(EntryDaemon {
            settings,
            callers,
            operators,
            peers,
            addresses,
        })
    }

    /// Returns the addresses that the daemon listens on.
    pub fn addresses(&self) -> BoundAddresses {
        self.addresses
    }

    /// Serves requests until `stop` is cancelled and all requests have ended.
    pub async fn run(self, stop: CancellationToken) -> anyhow::Result<()> {
        let (publisher, snapshots) = watch::channel(Arc::new(SettingsSnapshot::default()));
        let state = shared_state(self.settings, snapshots, stop.clone())?;
        log::info!(
            "daemon: {} of zone {} answers callers at {}",
            state.settings.name,
            state.settings.zone,
            self.addresses.callers
        );
        let background = CancellationToken::new();
        let supervisor = start_background(&state, publisher, self.peers, &background)?;
        let closed = CancellationToken::new();
        let start = start_time_ms();
        let shared = state.clone();
        let callers = serve(
            self.callers,
            ServeLimits::default(),
            closed.clone(),
            move |request| callers::answer(shared.clone(), start, request),
        );
        let shared = state.clone();
        let operators = serve(
            self.operators,
            ServeLimits::default(),
            closed.clone(),
            move |request| operators::answer(shared.clone(), request),
        );
        tokio::join!(callers, operators, close_listeners(&state, &stop, &closed));
        rates::leave_roster(&state).await;
        background.cancel();
        supervisor.join().await;
        log::info!("daemon: stopped");
        Ok(())
    }
}

/// Cancels `closed`, which closes the listeners, a fixed delay after `stop` is
/// cancelled. See [`NOT_READY_DELAY`].
async fn close_listeners(
    state: &SharedState,
    stop: &CancellationToken,
    closed: &CancellationToken,
) {
    stop.cancelled().await;
    log::info!("daemon: a planned stop begins");
    state.not_ready.store(true, Ordering::Relaxed);
    tokio::time::sleep(NOT_READY_DELAY).await;
    closed.cancel();
}

fn shared_state(
    settings: DaemonSettings,
    snapshots: watch::Receiver<Arc<SettingsSnapshot>>,
    drain_requested: CancellationToken,
) -> anyhow::Result<Arc<SharedState>> {
    let metrics = DaemonMetrics::new()?;
    Ok(Arc::new(SharedState::new(SharedParts {
        store: GatewayStore::new(
            GatewaySettings::new(&settings.platform.store),
            metrics.clone(),
        ),
        vm_list: GatewayVmList::new(
            GatewaySettings::new(&settings.platform.vm_list),
            metrics.clone(),
        ),
        metrics,
        drain_requested,
        settings,
        snapshots,
    })))
}

fn start_background(
    state: &Arc<SharedState>,
    publisher: watch::Sender<Arc<SettingsSnapshot>>,
    peers: TcpListener,
    stop: &CancellationToken,
) -> anyhow::Result<Supervisor> {
    let mut supervisor = Supervisor::new("daemon", stop.clone());
    let manager = xtra::spawn_tokio(SettingsManager::new(publisher), Mailbox::unbounded());
    let link = state.settings_link(SettingsPeers(state.rates.clone()));
    start_peer_link(state, link.clone(), peers, stop)?;
    supervisor.supervise("settings", move |stop| {
        platform_link::follow_settings(link.clone(), manager.clone(), stop)
    });
    let shared = state.clone();
    supervisor.supervise("vm-list", move |stop| {
        platform_link::follow_vms(shared.clone(), stop)
    });
    let shared = state.clone();
    supervisor.supervise("claims", move |stop| run_claims(shared.clone(), stop));
    let shared = state.clone();
    supervisor.supervise("queues", move |stop| run_start_queues(shared.clone(), stop));
    let shared = state.clone();
    supervisor.supervise("suspects", move |stop| {
        run_suspects(shared.clone(), NoSuspectPeers, stop)
    });
    let shared = state.clone();
    supervisor.supervise("lots", move |stop| run_lots(shared.clone(), stop));
    let shared = state.clone();
    supervisor.supervise("announcer", move |stop| run_announcer(shared.clone(), stop));
    let shared = state.clone();
    supervisor.supervise("rosters", move |stop| {
        rates::run_rosters(shared.clone(), stop)
    });
    let shared = state.clone();
    supervisor.supervise("rates", move |stop| rates::run_ledger(shared.clone(), stop));
    let shared = state.clone();
    supervisor.supervise("rate-messages", move |stop| {
        rates::send_messages(shared.clone(), stop)
    });
    Ok(supervisor)
}

/// Starts the server for other daemons and the link to them.
fn start_peer_link<S: PlatformStore>(
    state: &Arc<SharedState>,
    settings: SettingsLink<S, SettingsPeers>,
    listener: TcpListener,
    stop: &CancellationToken,
) -> anyhow::Result<()> {
    let handler = PeerRequestHandler::new(state.clone(), settings);
    let listener = listener.into_std()?;
    let address = listener.local_addr()?;
    let (link, _) = PeerLink::start(listener, handler, LinkTiming::default(), stop.clone())?;
    state.announcer.connect(link.clone());
    state.rates.connect(link, address);
    Ok(())
}

/// Returns the time of day in milliseconds. It differs between starts of a daemon,
/// so that request ids never repeat.
fn start_time_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since_epoch.as_millis() as u64
}

/// Writes the addresses to a temporary file and renames it to `path`, so that a
/// reader never sees half of it.
fn write_addresses(path: &Path, addresses: &BoundAddresses) -> anyhow::Result<()> {
    let unfinished = path.with_extension("unfinished");
    let text = serde_json::to_vec(addresses)?;
    std::fs::write(&unfinished, text)
        .and_then(|()| std::fs::rename(&unfinished, path))
        .with_context(|| format!("can't write the addresses to {}", path.display()))
}
