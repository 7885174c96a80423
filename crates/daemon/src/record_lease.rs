//! The store lease that keeps records for a day.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use comfreyramp_policy::Timestamp;
use comfreyramp_store::{LeaseId, PlatformStore, StoreError};

/// The shortest time for which a record is kept.
pub(crate) const MIN_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// How long a lease is used for new records. A lease for each record would double
/// the number of requests to the platform.
const LEASE_REUSE_WINDOW: Duration = Duration::from_secs(3600);

/// The lease for records that are written now. It isn't renewed: its lifetime
/// covers the last record written under it.
#[derive(Debug, Default)]
pub(crate) struct RecordLease {
    held: Mutex<Option<(LeaseId, Timestamp)>>,
}

impl RecordLease {
    /// Returns the current lease, or grants a new one if the current one has been
    /// used for an hour. Fails with the error of the grant.
    pub(crate) async fn get<S: PlatformStore>(
        &self,
        store: &S,
        now: Timestamp,
    ) -> Result<LeaseId, StoreError> {
        let held = *self.held.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((lease, granted_at)) = held
            && now.since(granted_at) < LEASE_REUSE_WINDOW
        {
            return Ok(lease);
        }
        let lease = store.grant(MIN_RETENTION + LEASE_REUSE_WINDOW).await?;
        *self.held.lock().unwrap_or_else(PoisonError::into_inner) = Some((lease, now));
        Ok(lease)
    }

    /// Returns the lease that was granted last, or none if it was discarded.
    pub(crate) fn held(&self) -> Option<LeaseId> {
        let held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.map(|it| it.0)
    }

    /// Discards the lease if the platform answered that it has expired. Otherwise
    /// each further record would be rejected until the hour is over.
    pub(crate) fn discard_if_expired<T>(&self, answer: &Result<T, StoreError>) {
        if matches!(answer, Err(StoreError::LeaseLapsed)) {
            *self.held.lock().unwrap_or_else(PoisonError::into_inner) = None;
        }
    }
}
