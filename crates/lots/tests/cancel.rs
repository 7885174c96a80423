//! A cancelled lot stops, also when daemons fail meanwhile.

#![allow(clippy::unwrap_used, reason = "helpers of tests are tests too")]

mod support;

use std::{sync::atomic::Ordering, time::Duration};

use comfreyramp_lots::BatchStatus;
use comfreyramp_standins::platform::MemoryStore;
use support::*;
use tokio::time::{Instant, sleep};

const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);

#[tokio::test(start_paused = true)]
async fn a_cancelled_lot_stops_everywhere_at_once() {
    let store = MemoryStore::default();
    let service = TestService::with_duration(20 * SECOND);
    let one = TestDaemon::start("one", DaemonStore::new(&store), &service, 64);
    let two = TestDaemon::start("two", DaemonStore::new(&store), &service, 64);
    let lot = submit(&one.lots, CUSTOMER, 1000).await.unwrap();
    sleep(70 * SECOND).await;
    assert_eq!(service.running.load(Ordering::SeqCst), 128);
    let seen = two.lots.cancel(CUSTOMER, &lot.id).await.unwrap();
    assert_eq!(seen.status, BatchStatus::Cancelling);
    sleep(SECOND).await;
    assert_eq!(service.running.load(Ordering::SeqCst), 0);
    let runs = service.total_runs();
    let lot = wait_for(&one.lots, &lot.id, BatchStatus::Cancelled, 10 * SECOND).await;
    let counts = lot.request_counts;
    assert_eq!(counts.completed + counts.failed + counts.cancelled, 1000);
    // Results recorded before the cancellation are kept and readable.
    assert!(counts.completed > 0);
    assert_eq!(counts.completed, seen.request_counts.completed);
    check_results(&one.lots, &lot).await;
    sleep(MINUTE).await;
    assert_eq!(service.total_runs(), runs);
    let again = two.lots.cancel(CUSTOMER, &lot.id).await.unwrap();
    assert_eq!(again, lot);
    one.drain().await;
    two.drain().await;
}

// The daemon that runs a lot is cut off from the store when the lot is
// cancelled through another daemon. It can't learn of the cancellation and
// stops because its lease expires. Until then the lot's status is cancelling,
// since its items still run.
#[tokio::test(start_paused = true)]
async fn a_cut_off_owner_stops_within_seconds() {
    let store = MemoryStore::default();
    let service = TestService::with_duration(MINUTE);
    let one = TestDaemon::start("one", DaemonStore::new(&store), &service, 64);
    let other = TestService::with_duration(MINUTE);
    let two = TestDaemon::start("two", DaemonStore::new(&store), &other, 64);
    two.slots.0.forget_permits(64);
    let lot = submit(&two.lots, CUSTOMER, 64).await.unwrap();
    sleep(5 * SECOND).await;
    assert_eq!(service.running.load(Ordering::SeqCst), 64);
    one.store.set_cut_off(true);
    let start = Instant::now();
    two.lots.cancel(CUSTOMER, &lot.id).await.unwrap();
    loop {
        let seen = two.lots.get(CUSTOMER, &lot.id).await.unwrap();
        if service.running.load(Ordering::SeqCst) == 0 {
            break;
        }
        assert_eq!(seen.status, BatchStatus::Cancelling);
        assert!(start.elapsed() <= 9 * SECOND);
        sleep(SECOND / 10).await;
    }
    let lot = wait_for(&two.lots, &lot.id, BatchStatus::Cancelled, 20 * SECOND).await;
    assert_eq!(lot.request_counts.cancelled, 64);
    // Once reconnected, the first daemon must not run any of its items.
    one.store.set_cut_off(false);
    sleep(MINUTE).await;
    assert_eq!(service.total_runs(), 64);
    one.drain().await;
    two.drain().await;
}

// The daemon that runs a lot crashes just before the lot is cancelled. Its
// claim remains until its lease expires; the lot must still become cancelled.
#[tokio::test(start_paused = true)]
async fn a_lost_owner_does_not_hold_the_cancel_up() {
    let store = MemoryStore::default();
    let service = TestService::with_duration(MINUTE);
    let one = TestDaemon::start("one", DaemonStore::new(&store), &service, 8);
    let lot = submit(&one.lots, CUSTOMER, 64).await.unwrap();
    sleep(5 * SECOND).await;
    one.kill();
    let two = TestDaemon::start("two", DaemonStore::new(&store), &service, 8);
    two.lots.cancel(CUSTOMER, &lot.id).await.unwrap();
    let lot = wait_for(&two.lots, &lot.id, BatchStatus::Cancelled, 20 * SECOND).await;
    assert_eq!(lot.request_counts.cancelled, 64);
    assert_eq!(service.total_runs(), 8);
    two.drain().await;
}

// A lot is cancelled while its owner receives no watch updates, and its items
// end before the owner learns of the cancellation. These late results must not
// be recorded.
#[tokio::test(start_paused = true)]
async fn late_results_of_a_cancelled_lot_are_refused() {
    let store = MemoryStore::default();
    let service = TestService::with_duration(3 * SECOND);
    let one = TestDaemon::start("one", DaemonStore::new(&store), &service, 64);
    let lot = submit(&one.lots, CUSTOMER, 64).await.unwrap();
    sleep(SECOND).await;
    let held_back = comfreyramp_standins::platform::FaultChange {
        hold_watches: Some(true),
        ..Default::default()
    };
    store.platform.change_faults(held_back);
    one.lots.cancel(CUSTOMER, &lot.id).await.unwrap();
    sleep(5 * SECOND).await;
    assert_eq!(service.running.load(Ordering::SeqCst), 0);
    let delivered = comfreyramp_standins::platform::FaultChange {
        hold_watches: Some(false),
        ..Default::default()
    };
    store.platform.change_faults(delivered);
    let lot = wait_for(&one.lots, &lot.id, BatchStatus::Cancelled, 20 * SECOND).await;
    assert_eq!(lot.request_counts.cancelled, 64);
    assert_eq!(check_results(&one.lots, &lot).await, (0, 0));
    one.drain().await;
}
