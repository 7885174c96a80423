//! Leases with fencing numbers, for work that only one process at a time may do.

use std::time::Duration;

use comfreyramp_policy::Timestamp;
use serde::{Deserialize, Serialize};

use crate::{
    Comparison, KeyValue, LeaseId, LeaseTerm, PlatformStore, RetryPolicy, Revision, StoreError,
    Write, WriteBatch, WriteOnceOutcome, write_once,
};

/// A request for a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    /// The key that stands for what is leased.
    pub key: String,
    /// The name of the process that requests the lease.
    pub holder: String,
    /// How long the lease lasts after its last renewal. Whole seconds.
    pub ttl: Duration,
}

/// The value of the lease's key. The lease's number distinguishes it from a value that
/// the same holder wrote before a restart.
#[derive(Debug, Serialize, Deserialize)]
struct LeaseOwner {
    holder: String,
    lease: i64,
}

/// The outcome of an attempt to acquire a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcquireOutcome {
    /// The lease was acquired.
    Held(FencedLease),
    /// Another holder has the lease.
    Taken {
        /// The other holder's name, if the key could be read.
        holder: Option<String>,
    },
}

/// A lease with a fencing number.
///
/// Two checks keep a holder that was paused past the end of its lease from overwriting
/// the work of the next one: [`FencedLease::is_valid`] compares the lease with the
/// holder's own clock, and the condition of [`FencedLease::guard`], added to each of
/// the holder's writes, makes the platform reject writes that were already in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencedLease {
    /// The key that stands for what is leased.
    pub key: String,
    /// The id of the platform's lease.
    pub lease: LeaseId,
    /// The fencing number: the revision at which the key was created. Later holders
    /// have higher numbers.
    pub fence: Revision,
    /// The time until which the holder may act.
    pub term: LeaseTerm,
}

impl FencedLease {
    /// Attempts to acquire a lease. `now` is a time before the call.
    pub async fn acquire<S: PlatformStore>(
        store: &S,
        request: &LeaseRequest,
        policy: RetryPolicy,
        now: Timestamp,
    ) -> Result<AcquireOutcome, StoreError> {
        let lease = store.grant(request.ttl).await?;
        let claimed = write_once(store, claim(request, lease), policy).await;
        if let Ok(WriteOnceOutcome::Written(fence)) = claimed {
            return Ok(AcquireOutcome::Held(FencedLease {
                key: request.key.clone(),
                lease,
                fence,
                term: LeaseTerm::new(now, request.ttl),
            }));
        }
        // A claim of unknown outcome must not stay in force for a holder that doesn't
        // know of it. If this call fails too, the lease expires on its own.
        let revoked = store.revoke(lease).await;
        if let Err(error) = revoked {
            log::debug!(
                "platform: failed to revoke lease {}, which now has to expire: {error}",
                lease.0
            );
        }
        let holder = match claimed? {
            WriteOnceOutcome::Written(_) => None,
            WriteOnceOutcome::Refused { found, .. }
            | WriteOnceOutcome::Superseded { found, .. } => found.first().and_then(holder_of),
        };
        Ok(AcquireOutcome::Taken { holder })
    }

    /// Returns whether the holder may act. Call it right before each action.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.term.is_valid(now)
    }

    /// Returns whether it is time to renew.
    pub fn is_renewal_due(&self, now: Timestamp) -> bool {
        now >= self.term.renewal_due()
    }

    /// Renews the lease. `now` is a time before the call.
    ///
    /// After [`StoreError::LeaseLapsed`] the lease is permanently lost. After any other
    /// error it continues unchanged, and the renewal can be attempted again.
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

    /// Returns a condition that holds only while this lease is in force and its key
    /// belongs to this holder.
    pub fn guard(&self) -> Comparison {
        Comparison::ModifiedAt(self.key.clone(), self.fence)
    }

    /// Releases the lease, so that others needn't wait for it to expire.
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
    // A string and a number: serializing them can't fail.
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
