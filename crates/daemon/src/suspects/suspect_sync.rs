//! The task that exchanges facts about suspects with the other daemons.

use std::{future::Future, sync::Arc, time::Duration};

use comfreyramp_policy::{DaemonId, NoticeAck, SuspectNotice};
use comfreyramp_store::{KeyRange, PlatformStore, ReopeningWatch, StoreError, WatchStream};
use tokio_util::sync::CancellationToken;

use super::{
    SuspectManager, SuspectRecords,
    suspect_records::{FACTS, read_fact},
};
use crate::shared::SharedState;

/// How often expired records are removed, and the longest time between two rounds of
/// notices to peers.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The delay after a failed request to the platform.
const FAILURE_BACKOFF: Duration = Duration::from_millis(250);
/// The most facts written in one transaction.
const MAX_FACTS_PER_WRITE: usize = 64;

/// A direct connection to other daemons for notices about suspects.
pub trait SuspectPeers: Clone + Send + Sync + 'static {
    /// Returns the daemons from which something was received recently.
    fn recent_peers(&self) -> Vec<DaemonId>;

    /// Sends a notice to a daemon and returns its acknowledgement, or none if it
    /// doesn't answer.
    fn send_notice(
        &self,
        peer: DaemonId,
        notice: SuspectNotice,
    ) -> impl Future<Output = Option<NoticeAck>> + Send;
}

/// No direct connection: daemons exchange facts through the platform only.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoSuspectPeers;

impl SuspectPeers for NoSuspectPeers {
    fn recent_peers(&self) -> Vec<DaemonId> {
        Vec::new()
    }

    async fn send_notice(&self, _peer: DaemonId, _notice: SuspectNotice) -> Option<NoticeAck> {
        None
    }
}

/// Exchanges facts about suspects until `stop` is cancelled.
pub async fn run_suspects<P: SuspectPeers>(
    state: Arc<SharedState>,
    peers: P,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    let sync = SuspectSync {
        manager: &state.suspects,
        records: &state.suspect_records,
        peers,
    };
    tokio::select! {
        () = sync.write() => {}
        () = sync.follow() => {}
        () = sync.notify_peers() => {}
        () = sync.poll() => {}
        () = stop.cancelled() => {}
    }
    Ok(())
}

struct SuspectSync<'a, S, P> {
    manager: &'a SuspectManager,
    records: &'a SuspectRecords<S>,
    peers: P,
}

impl<S: PlatformStore, P: SuspectPeers> SuspectSync<'_, S, P> {
    async fn poll(&self) {
        let mut ticks = tokio::time::interval(POLL_INTERVAL);
        loop {
            ticks.tick().await;
            self.manager.poll();
        }
    }

    /// Writes this daemon's facts and the ends of its trials to the platform.
    async fn write(&self) {
        let mut settlements = Vec::new();
        loop {
            settlements.extend(self.manager.table().take_settlements());
            let facts = self.manager.unwritten_facts(MAX_FACTS_PER_WRITE);
            let Some(settlement) = settlements.first() else {
                if facts.is_empty() {
                    self.manager.work.notified().await;
                } else if self.write_facts(&facts).await.is_err() {
                    tokio::time::sleep(FAILURE_BACKOFF).await;
                }
                continue;
            };
            // Facts are written first, because other daemons act on them.
            let written = match facts.is_empty() {
                true => self.records.settle(settlement).await.map(|()| true),
                false => self.write_facts(&facts).await.map(|()| false),
            };
            match written {
                Ok(true) => drop(settlements.remove(0)),
                Ok(false) => {}
                Err(_) => tokio::time::sleep(FAILURE_BACKOFF).await,
            }
        }
    }

    async fn write_facts(
        &self,
        facts: &[comfreyramp_policy::SuspectFact],
    ) -> Result<(), StoreError> {
        let sent_at = self.manager.clock().now();
        let own = self.manager.incarnation();
        self.records.write_facts(facts, own, sent_at).await?;
        self.manager.facts_written(facts, sent_at);
        Ok(())
    }

    /// Follows the facts that other daemons write, and reopens the watch if it fails.
    async fn follow(&self) {
        loop {
            if let Err(error) = self.follow_once().await {
                log::debug!("suspects: the platform can't be followed: {error}");
            }
            tokio::time::sleep(FAILURE_BACKOFF).await;
        }
    }

    async fn follow_once(&self) -> Result<(), StoreError> {
        let own = self.manager.incarnation();
        let range = KeyRange::Prefix(FACTS.to_owned());
        let known = self.records.store().range(range.clone(), 0).await?;
        let facts: Vec<_> = known
            .pairs
            .iter()
            .filter_map(|it| read_fact(it, own))
            .collect();
        self.manager.import(&facts);
        let store = self.records.store().clone();
        let mut watch = ReopeningWatch::open(store, range, known.revision + 1).await?;
        loop {
            let batch = watch.next().await?;
            let facts: Vec<_> = batch
                .written
                .iter()
                .filter_map(|it| read_fact(it, own))
                .collect();
            if !facts.is_empty() {
                self.manager.import(&facts);
            }
        }
    }

    /// Sends notices to the other daemons directly. Unlike the platform, they confirm
    /// what they received.
    async fn notify_peers(&self) {
        loop {
            let now = self.manager.clock().now();
            let recent_peers = self.peers.recent_peers();
            let notices = {
                let mut table = self.manager.table();
                table.set_peers(&recent_peers);
                table.notices(now)
            };
            for (peer, notice) in notices {
                if let Some(ack) = self.peers.send_notice(peer, notice).await {
                    let now = self.manager.clock().now();
                    self.manager.table().apply_ack(peer, &ack, now);
                    self.manager.notify_progress();
                }
            }
            self.manager.wait_for_progress(POLL_INTERVAL).await;
        }
    }
}
