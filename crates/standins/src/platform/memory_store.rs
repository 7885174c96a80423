//! An in-process implementation of the platform's store and VM list.

use std::time::Duration;

use comfreyramp_store::{
    KeyRange, LeaseId, ListedVm, PlatformStore, RangeAnswer, Revision, StoreError,
    TransactionAnswer, VmList, WatchBatch, WatchStream, WriteBatch,
    wire::{LeaseMessage, RangeRequest, TransactionRequest, WatchCreateRequest, WatchResponse},
};

use super::{CallFault, CallKind, CallOutcome, OpenWatch, SharedPlatform, WatchUpdate};

/// A store and VM list without an HTTP server. Clones share their state.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), comfreyramp_store::StoreError> {
/// use comfreyramp_store::{KeyRange, PlatformStore};
/// use comfreyramp_standins::platform::MemoryStore;
///
/// let store = MemoryStore::default();
/// let answer = store.range(KeyRange::Prefix("settings/".into()), 0).await?;
/// assert!(answer.pairs.is_empty());
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    /// The shared state, with its fault switches, clock and call counters.
    pub platform: SharedPlatform,
}

impl MemoryStore {
    /// Creates a store on a shared state, such as that of a stand-in server.
    pub fn new(platform: SharedPlatform) -> Self {
        MemoryStore { platform }
    }

    async fn read(&self, request: RangeRequest) -> Result<RangeAnswer, StoreError> {
        let outcome = self
            .platform
            .call(CallKind::Range, move |model, _| Ok(model.range(&request)));
        flatten(outcome.await)?.try_into()
    }
}

impl From<CallFault> for StoreError {
    fn from(fault: CallFault) -> Self {
        match fault {
            CallFault::Outage => StoreError::Unreachable("the stand-in simulates an outage".into()),
            CallFault::AnswerLost => {
                StoreError::AnswerLost("the stand-in dropped the answer".into())
            }
        }
    }
}

fn flatten<T>(outcome: CallOutcome<T>) -> Result<T, StoreError> {
    Ok(outcome??)
}

impl PlatformStore for MemoryStore {
    type Watch = MemoryWatch;

    async fn range(&self, range: KeyRange, limit: usize) -> Result<RangeAnswer, StoreError> {
        self.read(RangeRequest::new(&range, limit)).await
    }

    async fn read_keys(&self, range: KeyRange) -> Result<RangeAnswer, StoreError> {
        self.read(RangeRequest::keys_only(&range)).await
    }

    async fn transact(&self, batch: WriteBatch) -> Result<TransactionAnswer, StoreError> {
        let request = TransactionRequest::from(batch);
        let outcome = self.platform.call(CallKind::Transaction, move |model, _| {
            model.transact(request)
        });
        flatten(outcome.await)?.try_into()
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let request = LeaseMessage::grant(ttl);
        let outcome = self.platform.call(CallKind::LeaseGrant, move |model, now| {
            model.grant(&request, now)
        });
        Ok(LeaseId(flatten(outcome.await)?.id))
    }

    async fn renew(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        let outcome = self
            .platform
            .call(CallKind::LeaseKeepAlive, move |model, now| {
                Ok(model.keep_alive(lease.0, now))
            });
        flatten(outcome.await)?.time_left()
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        let outcome = self
            .platform
            .call(CallKind::LeaseRevoke, move |model, _| model.revoke(lease.0));
        flatten(outcome.await).map(|_| ())
    }

    async fn watch(&self, range: KeyRange, from: Revision) -> Result<MemoryWatch, StoreError> {
        let request = WatchCreateRequest::new(&range, from);
        let watch = self.platform.open_watch(request.into()).await?;
        Ok(MemoryWatch { watch })
    }
}

impl VmList for MemoryStore {
    async fn vms(&self) -> Result<Vec<ListedVm>, StoreError> {
        Ok(self.platform.listed_vms().await?)
    }
}

/// A watch on a [`MemoryStore`].
///
/// Dropping it closes the watch.
#[derive(Debug)]
pub struct MemoryWatch {
    watch: OpenWatch,
}

impl WatchStream for MemoryWatch {
    async fn next(&mut self) -> Result<WatchBatch, StoreError> {
        match self.watch.next().await {
            WatchUpdate::Events(events, _) => WatchResponse {
                events,
                ..WatchResponse::default()
            }
            .try_into(),
            WatchUpdate::Compacted(oldest) => Err(StoreError::Compacted(oldest)),
            WatchUpdate::Broken => Err(StoreError::AnswerLost("the watch broke".into())),
        }
    }
}
