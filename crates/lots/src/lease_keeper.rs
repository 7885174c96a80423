//! One lease for all that a daemon claims.

use std::time::Duration;

use comfreyramp_store::{LeaseId, PlatformStore, StoreError};
use tokio::{
    sync::watch,
    time::{Instant, sleep, sleep_until, timeout_at},
};
use tokio_util::sync::CancellationToken;

/// How long the platform keeps the lease after its last renewal.
const TTL: Duration = Duration::from_secs(10);
/// How much earlier its holder takes it for lapsed.
const MARGIN: Duration = Duration::from_secs(2);
/// How often it is renewed.
const RENEW_EVERY: Duration = Duration::from_secs(4);
/// The pause after a failed call.
const PAUSE: Duration = Duration::from_millis(500);

/// A lease that holds until its token is cancelled.
#[derive(Clone, Debug)]
pub struct HeldLease {
    /// The lease.
    pub id: LeaseId,
    /// Cancelled once the lease may have lapsed by the holder's own clock.
    pub lapsed: CancellationToken,
}

/// Keeps a lease alive, and says when it no longer holds.
///
/// The holder counts from before it sent its last successful renewal, and stops
/// a margin early. So it takes its lease for lapsed before the platform does,
/// also when it is cut off. A process that was paused finds out when it wakes;
/// what it writes before that is refused by the fence.
#[derive(Debug)]
pub struct LeaseKeeper<S> {
    store: S,
    sender: watch::Sender<Option<HeldLease>>,
}

impl<S: PlatformStore> LeaseKeeper<S> {
    /// A keeper of one lease of this store.
    pub fn new(store: S) -> Self {
        let (sender, _) = watch::channel(None);
        LeaseKeeper { store, sender }
    }

    /// Tells of the lease: nothing while none holds.
    pub fn subscribe(&self) -> watch::Receiver<Option<HeldLease>> {
        self.sender.subscribe()
    }

    /// Keeps a lease until `stop` is cancelled, then revokes it.
    pub async fn run(self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let sent = Instant::now();
            let granted = tokio::select! {
                granted = self.store.grant(TTL) => granted,
                () = stop.cancelled() => return,
            };
            match granted {
                Ok(id) => self.keep(id, sent, &stop).await,
                Err(error) => {
                    log::warn!("lots: no lease yet: {error}");
                    sleep(PAUSE).await;
                }
            }
        }
    }

    async fn keep(&self, id: LeaseId, sent: Instant, stop: &CancellationToken) {
        let lease = HeldLease {
            id,
            lapsed: CancellationToken::new(),
        };
        let mut holds_until = sent + TTL - MARGIN;
        if Instant::now() < holds_until {
            self.sender.send_replace(Some(lease.clone()));
        }
        let mut renew_at = sent + RENEW_EVERY;
        loop {
            tokio::select! {
                () = sleep_until(renew_at.min(holds_until)) => {}
                () = stop.cancelled() => break,
            }
            let sent = Instant::now();
            if sent >= holds_until {
                log::warn!("lots: the lease lapsed before it could be renewed");
                break;
            }
            match timeout_at(holds_until, self.store.renew(id)).await {
                Ok(Ok(_)) => {
                    holds_until = sent + TTL - MARGIN;
                    renew_at = sent + RENEW_EVERY;
                }
                Ok(Err(StoreError::LeaseLapsed)) => {
                    log::warn!("lots: the platform dropped the lease");
                    break;
                }
                Ok(Err(_)) | Err(_) => renew_at = sent + PAUSE,
            }
        }
        lease.lapsed.cancel();
        self.sender.send_replace(None);
        if stop.is_cancelled() {
            // Should this fail, the lease lapses by itself.
            let _ = timeout_at(Instant::now() + MARGIN, self.store.revoke(id)).await;
        }
    }
}
