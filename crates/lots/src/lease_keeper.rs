//! Maintains the one lease that all claims of a daemon are attached to.

use std::time::Duration;

use comfreyramp_store::{LeaseId, PlatformStore, StoreError};
use tokio::{
    sync::watch,
    time::{Instant, sleep, sleep_until, timeout_at},
};
use tokio_util::sync::CancellationToken;

/// How long the store keeps the lease after the last renewal.
const LEASE_TTL: Duration = Duration::from_secs(10);
/// How much earlier than the store the holder considers the lease expired.
const EXPIRY_MARGIN: Duration = Duration::from_secs(2);
/// The interval between renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(4);
/// The delay after a failed request.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A lease that is valid until its token is cancelled.
#[derive(Clone, Debug)]
pub struct HeldLease {
    /// The id of the lease in the store.
    pub id: LeaseId,
    /// Cancelled once the lease may have expired according to the holder's
    /// clock.
    pub expired: CancellationToken,
}

/// Keeps a lease alive and publishes when it is no longer valid.
///
/// The holder measures the lifetime from before it sent the last successful
/// renewal and subtracts a safety margin. It therefore considers the lease
/// expired before the store does, even when it is cut off from the store. A
/// process that was suspended notices this only when it resumes; what it writes
/// before that is rejected by the fencing number.
#[derive(Debug)]
pub struct LeaseManager<S> {
    store: S,
    sender: watch::Sender<Option<HeldLease>>,
}

impl<S: PlatformStore> LeaseManager<S> {
    /// Creates a manager for one lease in this store.
    pub fn new(store: S) -> Self {
        let (sender, _) = watch::channel(None);
        LeaseManager { store, sender }
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
                granted = self.store.grant(LEASE_TTL) => granted,
                () = stop.cancelled() => return,
            };
            match granted {
                Ok(id) => self.keep(id, sent, &stop).await,
                Err(error) => {
                    log::warn!("lots: no lease granted: {error}");
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn keep(&self, id: LeaseId, sent: Instant, stop: &CancellationToken) {
        let lease = HeldLease {
            id,
            expired: CancellationToken::new(),
        };
        let mut valid_until = sent + LEASE_TTL - EXPIRY_MARGIN;
        if Instant::now() < valid_until {
            self.sender.send_replace(Some(lease.clone()));
        }
        let mut renew_at = sent + RENEW_INTERVAL;
        loop {
            tokio::select! {
                () = sleep_until(renew_at.min(valid_until)) => {}
                () = stop.cancelled() => break,
            }
            let sent = Instant::now();
            if sent >= valid_until {
                log::warn!("lots: the lease expired before it could be renewed");
                break;
            }
            match timeout_at(valid_until, self.store.renew(id)).await {
                Ok(Ok(_)) => {
                    valid_until = sent + LEASE_TTL - EXPIRY_MARGIN;
                    renew_at = sent + RENEW_INTERVAL;
                }
                Ok(Err(StoreError::LeaseLapsed)) => {
                    log::warn!("lots: the store reports the lease as expired");
                    break;
                }
                Ok(Err(_)) | Err(_) => renew_at = sent + RETRY_DELAY,
            }
        }
        lease.expired.cancel();
        self.sender.send_replace(None);
        if stop.is_cancelled() {
            // If this fails, the lease expires by itself.
            let _ = timeout_at(Instant::now() + EXPIRY_MARGIN, self.store.revoke(id)).await;
        }
    }
}
