//! A watch that doesn't hang for ever.

use std::time::Duration;

use crate::{KeyRange, PlatformStore, Revision, StoreError, WatchBatch, WatchStream};

/// A watch that says nothing for so long is opened anew. Each opening is billed, and a
/// fleet of hundreds of daemons has one each.
const SILENT_SPAN: Duration = Duration::from_secs(30);

/// A watch that is opened anew, from where it stood, when nothing was heard for a while.
///
/// One whose connection stands but whose messages were lost looks like one without news.
/// A reader without bounds on the age of its view would never find out.
#[derive(Debug)]
pub struct RenewedWatch<S: PlatformStore> {
    store: S,
    range: KeyRange,
    /// The first revision that wasn't seen.
    from: Revision,
    watch: Option<S::Watch>,
}

impl<S: PlatformStore> RenewedWatch<S> {
    /// Opens a watch that reports all writes from revision `from` on.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached or refuses.
    pub async fn open(store: S, range: KeyRange, from: Revision) -> Result<Self, StoreError> {
        let watch = store.watch(range.clone(), from).await?;
        Ok(RenewedWatch {
            store,
            range,
            from,
            watch: Some(watch),
        })
    }

    async fn opened(&mut self) -> Result<S::Watch, StoreError> {
        match self.watch.take() {
            Some(watch) => Ok(watch),
            None => self.store.watch(self.range.clone(), self.from).await,
        }
    }
}

impl<S: PlatformStore> WatchStream for RenewedWatch<S> {
    async fn next(&mut self) -> Result<WatchBatch, StoreError> {
        loop {
            let mut watch = self.opened().await?;
            let Ok(batch) = tokio::time::timeout(SILENT_SPAN, watch.next()).await else {
                continue;
            };
            let batch = batch?;
            self.from = self.from.max(batch.revision + 1);
            self.watch = Some(watch);
            return Ok(batch);
        }
    }
}
