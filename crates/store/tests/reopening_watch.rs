//! A stalled watch is reopened.

#![allow(clippy::unwrap_used, reason = "tests end where something is missing")]

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use comfreyramp_store::{
    KeyRange, LeaseId, PlatformStore, RangeAnswer, ReopeningWatch, Revision, StoreError,
    TransactionAnswer, WatchBatch, WatchStream, WriteBatch,
};

/// A store of which every other watch stalls: it is open, but its messages are lost.
#[derive(Clone, Debug, Default)]
struct StallingStore {
    /// The revisions from which watches were opened.
    opened: Arc<Mutex<Vec<Revision>>>,
}

#[derive(Debug)]
struct StallingWatch {
    /// The revision that the first message reports; none if the watch stalls.
    first: Option<Revision>,
}

impl WatchStream for StallingWatch {
    async fn next(&mut self) -> Result<WatchBatch, StoreError> {
        let Some(revision) = self.first.take() else {
            return std::future::pending().await;
        };
        Ok(WatchBatch {
            revision,
            ..WatchBatch::default()
        })
    }
}

fn unused<T>() -> Result<T, StoreError> {
    Err(StoreError::Rejected("unused by this test".to_owned()))
}

impl PlatformStore for StallingStore {
    type Watch = StallingWatch;

    async fn range(&self, _: KeyRange, _: usize) -> Result<RangeAnswer, StoreError> {
        unused()
    }

    async fn transact(&self, _: WriteBatch) -> Result<TransactionAnswer, StoreError> {
        unused()
    }

    async fn grant(&self, _: Duration) -> Result<LeaseId, StoreError> {
        unused()
    }

    async fn renew(&self, _: LeaseId) -> Result<Duration, StoreError> {
        unused()
    }

    async fn revoke(&self, _: LeaseId) -> Result<(), StoreError> {
        unused()
    }

    async fn watch(&self, _: KeyRange, from: Revision) -> Result<StallingWatch, StoreError> {
        let mut opened = self.opened.lock().unwrap();
        opened.push(from);
        let is_stalled = opened.len() % 2 == 1;
        Ok(StallingWatch {
            first: (!is_stalled).then_some(from + 4),
        })
    }
}

/// A watch's messages are lost while its connection is up. A daemon would then never
/// learn of lots accepted since, or of requests that crash servers.
#[tokio::test(start_paused = true)]
async fn a_stalled_watch_is_reopened() {
    let store = StallingStore::default();
    let range = KeyRange::Prefix("lots/".to_owned());
    let mut watch = ReopeningWatch::open(store.clone(), range, 7).await.unwrap();
    let minute = Duration::from_secs(60);
    let first = tokio::time::timeout(minute, watch.next()).await.unwrap();
    assert_eq!(first.unwrap().revision, 11);
    let second = tokio::time::timeout(2 * minute, watch.next())
        .await
        .unwrap();
    assert_eq!(second.unwrap().revision, 16);
    assert_eq!(*store.opened.lock().unwrap(), [7, 7, 12, 12]);
}
