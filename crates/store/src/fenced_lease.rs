//! What one process at a time may do.

use std::time::Duration;

use comfreyramp_policy::Timestamp;
use serde::{Deserialize, Serialize};

use crate::{
    Comparison, KeyValue, LeaseId, LeaseTerm, OnceOutcome, PlatformStore, RetryPace, Revision,
    StoreError, Write, WriteBatch, write_once,
};

/// Which lease is wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    /// The key that stands for what is leased.
    pub key: String,
    /// Who asks.
    pub holder: String,
    /// How long the lease outlives its last renewal. Whole seconds.
    pub span: Duration,
}

/// What the lease's key holds. The lease's number makes it unlike what the
/// same holder wrote before a restart.
#[derive(Debug, Serialize, Deserialize)]
struct LeaseOwner {
    holder: String,
    lease: i64,
}

/// What an attempt to get a lease came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcquireOutcome {
    /// The lease is held.
    Held(FencedLease),
    /// Somebody else holds it.
    Taken {
        /// Who does, when the key could be read.
        holder: Option<String>,
    },
}

/// A lease with a fencing number.
///
/// Two things keep a holder that was paused past its lease from doing harm:
/// [`FencedLease::is_valid`] tells it so by its own clock, and
/// [`FencedLease::guard`], put into each of its writes, makes the platform
/// refuse those that were already under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencedLease {
    /// The key that stands for what is leased.
    pub key: String,
    /// The platform's lease.
    pub lease: LeaseId,
    /// The fencing number: the revision at which the key was created. Later
    /// holders have higher numbers.
    pub fence: Revision,
    /// When the holder may act.
    pub term: LeaseTerm,
}

impl FencedLease {
    /// Tries to get a lease. `now` is a moment before the call.
    pub async fn acquire<S: PlatformStore>(
        store: &S,
        request: &LeaseRequest,
        pace: RetryPace,
        now: Timestamp,
    ) -> Result<AcquireOutcome, StoreError> {
        let lease = store.grant(request.span).await?;
        let claimed = write_once(store, claim(request, lease), pace).await;
        if let Ok(OnceOutcome::Written(fence)) = claimed {
            return Ok(AcquireOutcome::Held(FencedLease {
                key: request.key.clone(),
                lease,
                fence,
                term: LeaseTerm::new(now, request.span),
            }));
        }
        // An undecided claim must not stay in force for a holder that doesn't
        // know of it. If this call fails too, the lease lapses by itself.
        let revoked = store.revoke(lease).await;
        if let Err(error) = revoked {
            log::debug!("platform: left lease {} to lapse: {error}", lease.0);
        }
        let holder = match claimed? {
            OnceOutcome::Written(_) => None,
            OnceOutcome::Refused { found, .. } | OnceOutcome::Overtaken { found, .. } => {
                found.first().and_then(holder_of)
            }
        };
        Ok(AcquireOutcome::Taken { holder })
    }

    /// Whether the holder may act. To be asked right before each act.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.term.is_valid(now)
    }

    /// Whether it is time to renew.
    pub fn is_renewal_due(&self, now: Timestamp) -> bool {
        now >= self.term.renewal_due()
    }

    /// Renews the lease. `now` is a moment before the call.
    ///
    /// After [`StoreError::LeaseLapsed`] the lease is over for good. After any
    /// other error it runs on as before, and the renewal can be tried again.
    pub async fn renew<S: PlatformStore>(
        &mut self,
        store: &S,
        now: Timestamp,
    ) -> Result<(), StoreError> {
        match store.renew(self.lease).await {
            Ok(left) => {
                self.term.renew(now, left);
                Ok(())
            }
            Err(StoreError::LeaseLapsed) => {
                self.term.end();
                Err(StoreError::LeaseLapsed)
            }
            Err(error) => Err(error),
        }
    }

    /// The comparison that holds only while this lease is in force and its key
    /// is this holder's.
    pub fn guard(&self) -> Comparison {
        Comparison::ModifiedAt(self.key.clone(), self.fence)
    }

    /// Gives the lease back, so that others needn't wait for it to lapse.
    pub async fn release<S: PlatformStore>(self, store: &S) -> Result<(), StoreError> {
        match store.revoke(self.lease).await {
            Ok(()) | Err(StoreError::LeaseLapsed) => Ok(()),
            Err(error) => Err(error),
        }
    }
}

fn claim(request: &LeaseRequest, lease: LeaseId) -> WriteBatch {
    let owner = LeaseOwner {
        holder: request.holder.clone(),
        lease: lease.0,
    };
    // Two plain fields: serializing can't fail.
    let value = serde_json::to_vec(&owner).unwrap_or_default();
    WriteBatch {
        when: vec![Comparison::Absent(request.key.clone())],
        then: vec![Write::Put {
            key: request.key.clone(),
            value: value.into(),
            lease: Some(lease),
        }],
        read_back: vec![request.key.clone()],
    }
}

fn holder_of(pair: &KeyValue) -> Option<String> {
    let owner: LeaseOwner = serde_json::from_slice(&pair.value).ok()?;
    Some(owner.holder)
}
