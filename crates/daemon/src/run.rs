//! Starting and stopping a daemon.

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
    rates::{self, PeerDesk, SettingsPeers},
    settings_keeper::SettingsKeeper,
    settings_link::SettingsLink,
    shared::{SharedParts, SharedState},
    snapshot::SettingsSnapshot,
    supervisor::Supervisor,
    suspects::{NoSuspectPeers, run_suspects},
};

/// How long a daemon that is about to stop still answers while it says that it
/// isn't ready. The balancer needs this long to notice; stopping to accept at
/// once would refuse the callers it still sends.
const NOT_READY_PAUSE: Duration = Duration::from_secs(1);

/// The addresses in use, for those who let the system choose the ports.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct BoundAddresses {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where other daemons connect.
    pub peers: SocketAddr,
}

/// A daemon whose doors are bound but not yet open.
#[derive(Debug)]
pub struct EntryDaemon {
    settings: DaemonSettings,
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
    addresses: BoundAddresses,
}

impl EntryDaemon {
    /// Binds the doors and writes the addresses file.
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

    /// The addresses in use.
    pub fn addresses(&self) -> BoundAddresses {
        self.addresses
    }

    /// Runs until `stop` is cancelled and all requests have ended.
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
        let start = start_number();
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
        tokio::join!(callers, operators, close_doors(&state, &stop, &closed));
        rates::leave_roster(&state).await;
        background.cancel();
        supervisor.join().await;
        log::info!("daemon: stopped");
        Ok(())
    }
}

/// Closes the doors some time after `stop` was asked for.
async fn close_doors(state: &SharedState, stop: &CancellationToken, closed: &CancellationToken) {
    stop.cancelled().await;
    log::info!("daemon: a planned stop begins");
    state.not_ready.store(true, Ordering::Relaxed);
    tokio::time::sleep(NOT_READY_PAUSE).await;
    closed.cancel();
}

fn shared_state(
    settings: DaemonSettings,
    snapshots: watch::Receiver<Arc<SettingsSnapshot>>,
    drain_asked: CancellationToken,
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
        drain_asked,
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
    let keeper = xtra::spawn_tokio(SettingsKeeper::new(publisher), Mailbox::unbounded());
    let link = state.settings_link(SettingsPeers(state.rates.clone()));
    open_peers(state, link.clone(), peers, stop)?;
    supervisor.keep("settings", move |stop| {
        platform_link::follow_settings(link.clone(), keeper.clone(), stop)
    });
    let shared = state.clone();
    supervisor.keep("vm-list", move |stop| {
        platform_link::follow_vms(shared.clone(), stop)
    });
    let shared = state.clone();
    supervisor.keep("claims", move |stop| run_claims(shared.clone(), stop));
    let shared = state.clone();
    supervisor.keep("queues", move |stop| run_start_queues(shared.clone(), stop));
    let shared = state.clone();
    supervisor.keep("suspects", move |stop| {
        run_suspects(shared.clone(), NoSuspectPeers, stop)
    });
    let shared = state.clone();
    supervisor.keep("lots", move |stop| run_lots(shared.clone(), stop));
    let shared = state.clone();
    supervisor.keep("announcer", move |stop| run_announcer(shared.clone(), stop));
    let shared = state.clone();
    supervisor.keep("rosters", move |stop| {
        rates::keep_roster(shared.clone(), stop)
    });
    let shared = state.clone();
    supervisor.keep("rates", move |stop| rates::run_ledger(shared.clone(), stop));
    let shared = state.clone();
    supervisor.keep("rate-messages", move |stop| {
        rates::send_messages(shared.clone(), stop)
    });
    Ok(supervisor)
}

/// Opens the door for other daemons, and the way to them.
fn open_peers<S: PlatformStore>(
    state: &Arc<SharedState>,
    settings: SettingsLink<S, SettingsPeers>,
    listener: TcpListener,
    stop: &CancellationToken,
) -> anyhow::Result<()> {
    let desk = PeerDesk::new(state.clone(), settings);
    let listener = listener.into_std()?;
    let address = listener.local_addr()?;
    let (link, _) = PeerLink::start(listener, desk, LinkTiming::default(), stop.clone())?;
    state.announcer.connect(link.clone());
    state.rates.connect(link, address);
    Ok(())
}

/// A number that differs from one start of a daemon to the next, so that
/// request ids never repeat.
fn start_number() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since_epoch.as_millis() as u64
}

/// Written whole and then renamed, so that a reader never sees half of it.
fn write_addresses(path: &Path, addresses: &BoundAddresses) -> anyhow::Result<()> {
    let unfinished = path.with_extension("unfinished");
    let text = serde_json::to_vec(addresses)?;
    std::fs::write(&unfinished, text)
        .and_then(|()| std::fs::rename(&unfinished, path))
        .with_context(|| format!("can't write the addresses to {}", path.display()))
}
