//! Who follows the store, when that changes hands.

#![allow(clippy::unwrap_used, reason = "tests end where something is missing")]

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

/// A store in which nothing changes, and that counts its lists.
#[derive(Clone, Debug, Default)]
struct QuietStore {
    lists: Arc<AtomicUsize>,
}

#[derive(Debug)]
struct QuietWatch;

impl WatchStream for QuietWatch {
    async fn next(&mut self) -> Result<WatchBatch, StoreError> {
        tokio::time::sleep(Duration::from_millis(50)).await;
        Ok(WatchBatch::default())
    }
}

fn unused<T>() -> Result<T, StoreError> {
    Err(StoreError::Rejected("not used here".to_owned()))
}

impl PlatformStore for QuietStore {
    type Watch = QuietWatch;

    async fn range(&self, _: KeyRange, _: usize) -> Result<RangeAnswer, StoreError> {
        self.lists.fetch_add(1, Ordering::SeqCst);
        Ok(RangeAnswer::default())
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

    async fn watch(&self, _: KeyRange, _: Revision) -> Result<QuietWatch, StoreError> {
        Ok(QuietWatch)
    }
}

/// In a large fleet most daemons stop watching once they have heard who does. The one
/// that watches for their zone is lost. Whoever comes next has to take over, or the zone
/// goes on with what it has, for as long as it lives.
#[tokio::test]
async fn a_daemon_that_stepped_back_watches_again_when_it_has_to() {
    let store = QuietStore::default();
    let stop = CancellationToken::new();
    let is_watcher = Rc::new(Cell::new(false));
    let news = Rc::new(Cell::new(0));
    let (asked, told) = (is_watcher.clone(), news.clone());
    let sink = move |_: FollowUpdate| told.set(told.get() + 1);
    let followed = FollowedStore {
        store: store.clone(),
        contact: StoreMonitor::new(BootClock::default()),
    };
    let following = follow_store(
        followed,
        "prefix",
        sink,
        move || asked.get(),
        Duration::ZERO,
        stop.clone(),
    );
    let turns = async {
        tokio::time::sleep(Duration::from_millis(700)).await;
        assert_eq!(
            store.lists.load(Ordering::SeqCst),
            1,
            "it knows all, and steps back"
        );
        for turn in 2..4 {
            is_watcher.set(true);
            tokio::time::sleep(Duration::from_millis(1_000)).await;
            assert_eq!(store.lists.load(Ordering::SeqCst), turn, "it takes over");
            let before = news.get();
            tokio::time::sleep(Duration::from_millis(500)).await;
            assert!(news.get() > before, "it goes on watching");
            is_watcher.set(false);
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        stop.cancel();
    };
    tokio::join!(following, turns);
}
