//! The lease under which records are kept for a day.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use comfreyramp_policy::Timestamp;
use comfreyramp_store::{LeaseId, PlatformStore, StoreError};

/// How long a record is kept at least.
pub(crate) const KEPT: Duration = Duration::from_secs(24 * 3600);
/// How long one lease is given to new records. A lease for each record would
/// double the calls to the platform.
const USED: Duration = Duration::from_secs(3600);

/// The lease for records written now. It isn't renewed, and lasts as long as the
/// last of its records must.
#[derive(Debug, Default)]
pub(crate) struct RecordLease {
    held: Mutex<Option<(LeaseId, Timestamp)>>,
}

impl RecordLease {
    /// The lease, a new one if the held one has been used for long enough.
    pub(crate) async fn get<S: PlatformStore>(
        &self,
        store: &S,
        now: Timestamp,
    ) -> Result<LeaseId, StoreError> {
        let held = *self.held.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((lease, granted_at)) = held
            && now.since(granted_at) < USED
        {
            return Ok(lease);
        }
        let lease = store.grant(KEPT + USED).await?;
        *self.held.lock().unwrap_or_else(PoisonError::into_inner) = Some((lease, now));
        Ok(lease)
    }

    /// The lease that was given last.
    pub(crate) fn held(&self) -> Option<LeaseId> {
        let held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.map(|it| it.0)
    }

    /// Gives the lease up if the platform answered that it has lapsed. It would
    /// refuse each further record until the hour is over.
    pub(crate) fn note<T>(&self, answer: &Result<T, StoreError>) {
        if matches!(answer, Err(StoreError::LeaseLapsed)) {
            *self.held.lock().unwrap_or_else(PoisonError::into_inner) = None;
        }
    }
}
