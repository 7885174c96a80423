//! Notifies home daemons of live requests that are about to reach their servers.
//!
//! Without the notice, a home daemon would learn of other daemons' live requests
//! only from its servers' load reports, and so as late as the report's age. Until
//! then the requests would wait for a slot that bulk work holds. See
//! docs/DESIGN.md.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use comfreyramp_peers::{LiveAnnouncement, PeerLink};
use comfreyramp_policy::{ServerId, ServerKey};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::shared::SharedState;

/// How long a home daemon may take to answer. The bulk work that a later answer
/// counts would have ended already.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// The most announcements that wait to be sent. Further ones are dropped; the
/// home daemons then learn of the requests from the servers' load reports.
const MAX_WAITING: usize = 1024;

/// The announcements that wait to be sent.
#[derive(Debug, Default)]
pub struct LiveAnnouncer {
    link: Mutex<Option<PeerLink>>,
    waiting: Mutex<Vec<ServerId>>,
    wake: Notify,
}

impl LiveAnnouncer {
    /// Sets the link to other daemons. Without one, nothing is announced.
    pub fn connect(&self, link: PeerLink) {
        *self.link.lock().unwrap_or_else(PoisonError::into_inner) = Some(link);
    }

    /// Queues an announcement of a live request that is about to be sent to a server.
    pub fn queue_notice(&self, server: ServerId) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.len() < MAX_WAITING {
            waiting.push(server);
        }
        drop(waiting);
        self.wake.notify_one();
    }

    fn take(&self) -> Vec<ServerId> {
        std::mem::take(&mut self.waiting.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn link(&self) -> Option<PeerLink> {
        let link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
        link.clone()
    }
}

/// Sends the queued announcements until `stop` is cancelled.
pub async fn run_announcer(state: Arc<SharedState>, stop: CancellationToken) -> anyhow::Result<()> {
    loop {
        tokio::select! {
            () = state.announcer.wake.notified() => {}
            () = stop.cancelled() => return Ok(()),
        }
        let Some(link) = state.announcer.link() else {
            continue;
        };
        for (home, servers) in group_by_home(&state, &state.announcer.take()) {
            tokio::spawn(announce(state.clone(), link.clone(), home, servers));
        }
    }
}

/// Announces requests to one home daemon and records its answer: how much bulk work
/// its servers still run.
async fn announce(
    state: Arc<SharedState>,
    link: PeerLink,
    home: SocketAddr,
    servers: Vec<(ServerId, LiveAnnouncement)>,
) {
    let notices = servers.iter().map(|it| it.1).collect();
    let Ok(bulk) = link.announce(home, notices, ANSWER_TIMEOUT).await else {
        return;
    };
    let now = state.clock.now();
    for ((server, _), bulk) in servers.into_iter().zip(bulk) {
        state.servers.record_reported_bulk(server, bulk, now);
    }
}

/// Groups the announcements by home daemon. Servers whose home is this daemon are
/// left out, because their bulk limiter already counts the requests.
fn group_by_home(
    state: &SharedState,
    servers: &[ServerId],
) -> BTreeMap<SocketAddr, Vec<(ServerId, LiveAnnouncement)>> {
    let mut homes: BTreeMap<SocketAddr, Vec<(ServerId, LiveAnnouncement)>> = BTreeMap::new();
    for &server in servers {
        let Some((key, home)) = state.servers.remote_home(server, &state.settings) else {
            continue;
        };
        let notices = homes.entry(home).or_default();
        match notices.iter_mut().find(|it| it.0 == server) {
            Some((_, notice)) => notice.count += 1,
            None => notices.push((server, new_notice(key))),
        }
    }
    homes
}

fn new_notice(server: ServerKey) -> LiveAnnouncement {
    LiveAnnouncement { server, count: 1 }
}
