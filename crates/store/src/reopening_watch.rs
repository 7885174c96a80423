//! A watch that is reopened when it stalls.

use std::time::Duration;

use crate::{KeyRange, PlatformStore, Revision, StoreError, WatchBatch, WatchStream};

/// How long a watch may receive nothing before it is reopened. Each opening is billed,
/// and a fleet of hundreds of daemons has one watch each.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// A watch that is reopened, from the revision it had reached, when it received nothing
/// for a while.
///
/// A watch whose connection is up but whose messages were lost looks like a watch
/// without changes. A reader that doesn't limit the age of its view would never notice.
#[derive(Debug)]
pub struct ReopeningWatch<S: PlatformStore> {
    store: S,
    range: KeyRange,
    /// The first revision that hasn't been received.
    from: Revision,
    watch: Option<S::Watch>,
}

impl<S: PlatformStore> ReopeningWatch<S> {
    /// Opens a watch that reports all writes from revision `from` on.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached or rejects the call.
    pub async fn open(store: S, range: KeyRange, from: Revision) -> Result<Self, StoreError> {
        let watch = store.watch(range.clone(), from).await?;
        Ok(ReopeningWatch {
            store,
            range,
            from,
            watch: Some(watch),
        })
    }

    async fn take_or_open(&mut self) -> Result<S::Watch, StoreError> {
        match self.watch.take() {
            Some(watch) => Ok(watch),
            None => self.store.watch(self.range.clone(), self.from).await,
        }
    }
}

impl<S: PlatformStore> WatchStream for ReopeningWatch<S> {
    async fn next(&mut self) -> Result<WatchBatch, StoreError> {
        loop {
            let mut watch = self.take_or_open().await?;
            let Ok(batch) = tokio::time::timeout(SILENCE_TIMEOUT, watch.next()).await else {
                continue;
            };
            let batch = batch?;
            self.from = self.from.max(batch.revision + 1);
            self.watch = Some(watch);
            return Ok(batch);
        }
    }
}
