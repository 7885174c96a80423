//! Maintains the one lease that all claims of a daemon are attached to.

use std::time::Duration;

use comfreyramp_store::{LeaseId, PlatformStore, StoreError};
use tokio::{
    sync::watch,
    time::{Instant, sleep, sleep_until, timeout_at},
};
use tokio_util::sync::CancellationToken;

/// How long the store keeps the lease after the last renewal.
const TTL: Duration = Duration::from_secs(10);
/// How much earlier than the store the holder considers the lease expired.
const MARGIN: Duration = Duration::from_secs(2);
/// The interval between renewals.
const RENEW_EVERY: Duration = Duration::from_secs(4);
/// The delay after a failed request.
const PAUSE: Duration = Duration::from_millis(500);

/// A lease that is valid until its token is cancelled.
#[derive(Clone, Debug)]
pub struct HeldLease {
    /// The id of the lease in the store.
    pub id: LeaseId,
    /// Cancelled once the lease may have expired according to the holder's
    /// clock.
    pub lapsed: CancellationToken,
}

/// Keeps a lease alive and publishes when it is no longer valid.
///
/// The holder measures the lifetime from before it sent the last successful
/// renewal and subtracts a safety margin. It therefore considers the lease
/// expired before the store does, even when it is cut off from the store. A
/// process that was suspended notices this only when it resumes; what it writes
/// before that is rejected by the fencing number.
#[derive(Debug)]
pub struct LeaseKeeper<S> {
    store: S,
    sender: watch::Sender<Option<HeldLease>>,
}

impl<S: PlatformStore> LeaseKeeper<S> {
    /// Creates a manager for one lease in this store.
    pub fn new(store: S) -> Self {
        let (sender, _) = watch::channel(None);
        LeaseKeeper { store, sender }
    }

    /// Returns a receiver of the current lease, which is `None` while no lease
    /// is valid.
    pub fn subscribe(&self) -> watch::Receiver<Option<HeldLease>> {
        self.sender.subscribe()
    }

    /// Maintains a lease until `stop` is cancelled, then revokes it.
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
                    log::warn!("lots: no lease granted: {error}");
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
                log::warn!("lots: the lease expired before it could be renewed");
                break;
            }
            match timeout_at(holds_until, self.store.renew(id)).await {
                Ok(Ok(_)) => {
                    holds_until = sent + TTL - MARGIN;
                    renew_at = sent + RENEW_EVERY;
                }
                Ok(Err(StoreError::LeaseLapsed)) => {
                    log::warn!("lots: the store reports the lease as expired");
                    break;
                }
                Ok(Err(_)) | Err(_) => renew_at = sent + PAUSE,
            }
        }
        lease.lapsed.cancel();
        self.sender.send_replace(None);
        if stop.is_cancelled() {
            // If this fails, the lease expires by itself.
            let _ = timeout_at(Instant::now() + MARGIN, self.store.revoke(id)).await;
        }
    }
}
