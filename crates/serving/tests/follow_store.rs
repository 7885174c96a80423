//! Watching the store when the zone's watching daemon changes.

#![allow(
    clippy::unwrap_used,
    reason = "a test fails where something is missing"
)]

use std::{
    cell::Cell,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use comfreyramp_serving::{
    clock::BootClock,
    fleet::{FollowUpdate, FollowedStore, StoreMonitor, follow_store},
};
use comfreyramp_store::{
    KeyRange, LeaseId, PlatformStore, RangeAnswer, Revision, StoreError, TransactionAnswer,
    WatchBatch, WatchStream, WriteBatch,
};
use tokio_util::sync::CancellationToken;

/// A store in which nothing changes. It counts the list requests.
#[derive(Clone, Debug, Default)]
struct UnchangingStore {
    list_count: Arc<AtomicUsize>,
}

#[derive(Debug)]
struct UnchangingWatch;

impl WatchStream for UnchangingWatch {
    async fn next(&mut self) -> Result<WatchBatch, StoreError> {
        tokio::time::sleep(Duration::from_millis(50)).await;
        Ok(WatchBatch::default())
    }
}

fn unimplemented_call<T>() -> Result<T, StoreError> {
    Err(StoreError::Rejected(
        "not implemented by this test's store".to_owned(),
    ))
}

impl PlatformStore for UnchangingStore {
    type Watch = UnchangingWatch;

    async fn range(&self, _: KeyRange, _: usize) -> Result<RangeAnswer, StoreError> {
        self.list_count.fetch_add(1, Ordering::SeqCst);
        Ok(RangeAnswer::default())
    }

    async fn transact(&self, _: WriteBatch) -> Result<TransactionAnswer, StoreError> {
        unimplemented_call()
    }

    async fn grant(&self, _: Duration) -> Result<LeaseId, StoreError> {
        unimplemented_call()
    }

    async fn renew(&self, _: LeaseId) -> Result<Duration, StoreError> {
        unimplemented_call()
    }

    async fn revoke(&self, _: LeaseId) -> Result<(), StoreError> {
        unimplemented_call()
    }

    async fn watch(&self, _: KeyRange, _: Revision) -> Result<UnchangingWatch, StoreError> {
        Ok(UnchangingWatch)
    }
}

/// In a large fleet most daemons stop watching the store once a peer of their zone watches it.
/// If that peer is lost, its successor has to start watching again; otherwise the zone
/// keeps its outdated data for as long as the successor runs.
#[tokio::test]
async fn a_daemon_that_stopped_watching_resumes_when_it_is_the_watcher() {
    let store = UnchangingStore::default();
    let stop = CancellationToken::new();
    let is_watcher = Rc::new(Cell::new(false));
    let update_count = Rc::new(Cell::new(0));
    let (watcher_flag, update_counter) = (is_watcher.clone(), update_count.clone());
    let sink = move |_: FollowUpdate| update_counter.set(update_counter.get() + 1);
    let followed = FollowedStore {
        store: store.clone(),
        contact: StoreMonitor::new(BootClock::default()),
    };
    let follower = follow_store(
        followed,
        "prefix",
        sink,
        move || watcher_flag.get(),
        Duration::ZERO,
        stop.clone(),
    );
    let test = async {
        tokio::time::sleep(Duration::from_millis(700)).await;
        assert_eq!(
            store.list_count.load(Ordering::SeqCst),
            1,
            "after one list it stops watching"
        );
        for expected_lists in 2..4 {
            is_watcher.set(true);
            tokio::time::sleep(Duration::from_millis(1_000)).await;
            assert_eq!(
                store.list_count.load(Ordering::SeqCst),
                expected_lists,
                "it lists again to take over"
            );
            let updates_before = update_count.get();
            tokio::time::sleep(Duration::from_millis(500)).await;
            assert!(update_count.get() > updates_before, "it keeps watching");
            is_watcher.set(false);
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        stop.cancel();
    };
    tokio::join!(follower, test);
}
