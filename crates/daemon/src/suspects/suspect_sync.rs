//! The task that exchanges what is known of suspects.

use std::{future::Future, sync::Arc, time::Duration};

use comfreyramp_policy::{DaemonId, NoticeAck, SuspectNotice};
use comfreyramp_store::{KeyRange, PlatformStore, ReopeningWatch, StoreError, WatchStream};
use tokio_util::sync::CancellationToken;

use super::{
    SuspectKeeper, SuspectRecords,
    suspect_records::{FACTS, read_fact},
};
use crate::shared::SharedState;

/// How often what has lapsed is forgotten.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The pause after a call to the platform that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// The facts written in one transaction at most.
const FACTS_AT_ONCE: usize = 64;

/// The other daemons, as far as they can be told of suspects directly.
pub trait SuspectPeers: Clone + Send + Sync + 'static {
    /// Those that were heard from lately.
    fn heard_from(&self) -> Vec<DaemonId>;

    /// Tells one of them, and returns its answer if one comes.
    fn tell(
        &self,
        peer: DaemonId,
        notice: SuspectNotice,
    ) -> impl Future<Output = Option<NoticeAck>> + Send;
}

/// No way to tell other daemons but the platform.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoSuspectPeers;

impl SuspectPeers for NoSuspectPeers {
    fn heard_from(&self) -> Vec<DaemonId> {
        Vec::new()
    }

    async fn tell(&self, _peer: DaemonId, _notice: SuspectNotice) -> Option<NoticeAck> {
        None
    }
}

/// Exchanges what is known of suspects until `stop` is cancelled.
pub async fn run_suspects<P: SuspectPeers>(
    state: Arc<SharedState>,
    peers: P,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    let sync = SuspectSync {
        keeper: &state.suspects,
        records: &state.suspect_records,
        peers,
    };
    tokio::select! {
        () = sync.write() => {}
        () = sync.follow() => {}
        () = sync.tell_peers() => {}
        () = sync.poll() => {}
        () = stop.cancelled() => {}
    }
    Ok(())
}

struct SuspectSync<'a, S, P> {
    keeper: &'a SuspectKeeper,
    records: &'a SuspectRecords<S>,
    peers: P,
}

impl<S: PlatformStore, P: SuspectPeers> SuspectSync<'_, S, P> {
    async fn poll(&self) {
        let mut ticks = tokio::time::interval(POLL_INTERVAL);
        loop {
            ticks.tick().await;
            self.keeper.poll();
        }
    }

    /// Writes facts, and how trials ended.
    async fn write(&self) {
        let mut settlements = Vec::new();
        loop {
            settlements.extend(self.keeper.table().take_settlements());
            let facts = self.keeper.unwritten_facts(FACTS_AT_ONCE);
            let Some(settlement) = settlements.first() else {
                if facts.is_empty() {
                    self.keeper.work.notified().await;
                } else if self.write_facts(&facts).await.is_err() {
                    tokio::time::sleep(FAILURE_PAUSE).await;
                }
                continue;
            };
            // Facts go first: other daemons act on them.
            let written = match facts.is_empty() {
                true => self.records.settle(settlement).await.map(|()| true),
                false => self.write_facts(&facts).await.map(|()| false),
            };
            match written {
                Ok(true) => drop(settlements.remove(0)),
                Ok(false) => {}
                Err(_) => tokio::time::sleep(FAILURE_PAUSE).await,
            }
        }
    }

    async fn write_facts(
        &self,
        facts: &[comfreyramp_policy::SuspectFact],
    ) -> Result<(), StoreError> {
        let sent_at = self.keeper.clock().now();
        let own = self.keeper.incarnation();
        self.records.write_facts(facts, own, sent_at).await?;
        self.keeper.facts_written(facts, sent_at);
        Ok(())
    }

    /// Follows what other daemons write.
    async fn follow(&self) {
        loop {
            if let Err(error) = self.follow_once().await {
                log::debug!("suspects: the platform can't be followed: {error}");
            }
            tokio::time::sleep(FAILURE_PAUSE).await;
        }
    }

    async fn follow_once(&self) -> Result<(), StoreError> {
        let own = self.keeper.incarnation();
        let range = KeyRange::Prefix(FACTS.to_owned());
        let known = self.records.store().range(range.clone(), 0).await?;
        let facts: Vec<_> = known
            .pairs
            .iter()
            .filter_map(|it| read_fact(it, own))
            .collect();
        self.keeper.import(&facts);
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
                self.keeper.import(&facts);
            }
        }
    }

    /// Tells the other daemons directly, which the platform can't confirm.
    async fn tell_peers(&self) {
        loop {
            let now = self.keeper.clock().now();
            let heard_from = self.peers.heard_from();
            let notices = {
                let mut table = self.keeper.table();
                table.set_peers(&heard_from);
                table.notices(now)
            };
            for (peer, notice) in notices {
                if let Some(ack) = self.peers.tell(peer, notice).await {
                    let now = self.keeper.clock().now();
                    self.keeper.table().apply_ack(peer, &ack, now);
                    self.keeper.note_progress();
                }
            }
            self.keeper.progress_or(POLL_INTERVAL).await;
        }
    }
}
