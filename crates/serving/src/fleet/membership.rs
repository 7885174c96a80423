//! This daemon's entry in the store, and the lease that it hangs on.

use std::{rc::Rc, time::Duration};

use comfreyramp_policy::Timestamp;
use comfreyramp_store::{LeaseId, PlatformStore, StoreError, Write, WriteBatch};
use tokio_util::sync::CancellationToken;

use super::MemberRecord;
use crate::{dialect::Dialect, node::Node};

/// Keys of daemons, by their names.
pub const MEMBERS: &str = "fleet/members/";

/// How long a daemon counts as there without a renewal. Shorter would cost more
/// calls; longer would leave lots of a lost daemon lying.
const LEASE_TERM: Duration = Duration::from_secs(4);
/// A lease is renewed so often, so that two lost calls in a row don't end it.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_300);
/// The same for daemons on whose lease no claim hangs: others hear them, and the
/// entry only has to go some time after they are gone.
const LONG_TERM: Duration = Duration::from_secs(10);
const LONG_RENEW_INTERVAL: Duration = Duration::from_millis(3_000);
/// The pause after a call that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(400);

/// The lease that this daemon's entry, and its claims, hang on.
#[derive(Clone, Debug)]
pub struct HeldLease {
    /// The lease.
    pub id: LeaseId,
    /// Until when it certainly holds, counted from before it was asked for.
    pub until: Timestamp,
    /// Cancelled when the lease has lapsed, or may have.
    pub lapsed: CancellationToken,
}

/// Keeps this daemon registered until `stop` is cancelled.
pub async fn keep_membership<D: Dialect>(node: Rc<Node<D>>, stop: CancellationToken) {
    while !stop.is_cancelled() {
        let round = registered_round(&node, &stop).await;
        // The lease is lapsed, or about to be given back: from now on this daemon speaks
        // for no lot on the strength of it.
        node.set_lease(None);
        match round {
            Ok(lease) => return leave(&node, lease).await,
            Err(error) => {
                node.note_store_trouble();
                log::warn!(error:% = error; "membership: lost the lease");
            }
        }
        if !stop.is_cancelled() {
            tokio::time::sleep(FAILED_PAUSE).await;
        }
    }
}

/// Registers, and renews the lease until that fails or `stop` is cancelled. Returns the
/// lease that still holds then.
async fn registered_round<D: Dialect>(
    node: &Rc<Node<D>>,
    stop: &CancellationToken,
) -> Result<LeaseId, StoreError> {
    let (term, interval) = match node.settings.runs_lots {
        true => (LEASE_TERM, RENEW_INTERVAL),
        false => (LONG_TERM, LONG_RENEW_INTERVAL),
    };
    let term = term.max(node.settings.store.shortest_lease_s);
    let asked = node.clock.now();
    let id = node.store.grant(term).await?;
    register(node, id).await?;
    let mut lease = HeldLease {
        id,
        until: asked + term,
        lapsed: CancellationToken::new(),
    };
    let _lapses = lease.lapsed.clone().drop_guard();
    node.set_lease(Some(lease.clone()));
    log::info!(lease = id.0; "membership: registered");
    loop {
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = stop.cancelled() => return Ok(id),
        }
        let asked = node.clock.now();
        // A VM that was suspended wakes up here: its lease may be gone.
        match node.store.renew(id).await {
            Ok(_) => {
                node.note_store_answer();
                lease.until = asked + term;
                node.set_lease(Some(lease.clone()));
            }
            Err(StoreError::LeaseLapsed) => return Err(StoreError::LeaseLapsed),
            Err(error) => {
                node.note_store_trouble();
                if node.clock.now() >= lease.until {
                    return Err(error);
                }
                tokio::time::sleep(FAILED_PAUSE).await;
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

/// Takes the entry away, and the claims that are left, so that others needn't wait for
/// the lease to lapse.
async fn leave<D: Dialect>(node: &Rc<Node<D>>, lease: LeaseId) {
    if let Err(error) = node.store.revoke(lease).await {
        log::warn!(error:% = error; "membership: the entry stays until its lease lapses");
    }
}
