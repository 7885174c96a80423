//! This daemon's entry in the store, and the lease that the entry depends on.

use std::{rc::Rc, time::Duration};

use comfreyramp_policy::Timestamp;
use comfreyramp_store::{LeaseId, PlatformStore, StoreError, Write, WriteBatch};
use tokio_util::sync::CancellationToken;

use super::MemberRecord;
use crate::{dialect::Dialect, node::Node};

/// Prefix of the daemons' keys, which the name of the daemon follows.
pub const MEMBERS: &str = "fleet/members/";

/// Lease term of a daemon that runs lots: how long it counts as running without a renewal.
/// A shorter term would cost more calls; with a longer one the lots of a lost daemon would
/// wait longer for another.
const RUNNER_LEASE_TERM: Duration = Duration::from_secs(4);
/// Renewal interval of that lease, short enough that two lost calls in a row don't end it.
const RUNNER_RENEW_INTERVAL: Duration = Duration::from_millis(1_300);
/// Lease term of entry daemons, whose leases no claims depend on. Peers know from reports
/// that they run, and the entry only has to disappear some time after they are gone.
const ENTRY_LEASE_TERM: Duration = Duration::from_secs(10);
const ENTRY_RENEW_INTERVAL: Duration = Duration::from_millis(3_000);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// The lease that this daemon's entry and its claims depend on.
#[derive(Clone, Debug)]
pub struct HeldLease {
    /// The id of the lease.
    pub id: LeaseId,
    /// When the lease may expire at the earliest, counted from before it was requested.
    pub until: Timestamp,
    /// Cancelled when the lease has expired, or may have.
    pub expired: CancellationToken,
}

/// Keeps this daemon registered in the store until `stop` is cancelled, and then removes
/// its entry.
pub async fn keep_membership<D: Dialect>(node: Rc<Node<D>>, stop: CancellationToken) {
    while !stop.is_cancelled() {
        let held = hold_registration(&node, &stop).await;
        // The lease has expired, or is about to be revoked: from now on this daemon no
        // longer reports lots as held under it.
        node.set_lease(None);
        match held {
            Ok(lease) => return deregister(&node, lease).await,
            Err(error) => {
                node.record_store_error(&error);
                log::warn!(error:% = error; "membership: lost the lease");
            }
        }
        if !stop.is_cancelled() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Registers this daemon and renews the lease until that fails or `stop` is cancelled.
/// Returns the lease, still valid, if it was stopped.
async fn hold_registration<D: Dialect>(
    node: &Rc<Node<D>>,
    stop: &CancellationToken,
) -> Result<LeaseId, StoreError> {
    let (term, interval) = match node.settings.runs_lots {
        true => (RUNNER_LEASE_TERM, RUNNER_RENEW_INTERVAL),
        false => (ENTRY_LEASE_TERM, ENTRY_RENEW_INTERVAL),
    };
    let term = term.max(node.settings.store.shortest_lease_s);
    let requested_at = node.clock.now();
    let id = node.store.grant(term).await?;
    register(node, id).await?;
    let mut lease = HeldLease {
        id,
        until: requested_at + term,
        expired: CancellationToken::new(),
    };
    let _expire_on_return = lease.expired.clone().drop_guard();
    node.set_lease(Some(lease.clone()));
    log::info!(lease = id.0; "membership: registered");
    loop {
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = stop.cancelled() => return Ok(id),
        }
        let requested_at = node.clock.now();
        // A VM that was suspended resumes here, and its lease may be gone by then.
        match node.store.renew(id).await {
            Ok(_) => {
                node.record_store_answer();
                lease.until = requested_at + term;
                node.set_lease(Some(lease.clone()));
            }
            Err(StoreError::LeaseLapsed) => return Err(StoreError::LeaseLapsed),
            Err(error) => {
                node.record_store_error(&error);
                if node.clock.now() >= lease.until {
                    return Err(error);
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn register<D: Dialect>(node: &Rc<Node<D>>, lease: LeaseId) -> Result<(), StoreError> {
    let record: MemberRecord = node.member_record();
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let batch = WriteBatch {
        then: vec![Write::Put {
            key: format!("{MEMBERS}{}", record.name),
            value: value.into(),
            lease: Some(lease),
        }],
        ..WriteBatch::default()
    };
    node.store.transact(batch).await.map(|_| ())
}

/// Revokes the lease, which removes the entry and any remaining claims, so that others
/// needn't wait for the lease to expire.
async fn deregister<D: Dialect>(node: &Rc<Node<D>>, lease: LeaseId) {
    if let Err(error) = node.store.revoke(lease).await {
        log::warn!(error:% = error; "membership: failed to revoke the lease; the entry stays until it expires");
    }
}
