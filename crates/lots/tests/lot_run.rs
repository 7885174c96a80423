//! Lots run by one or more daemons in virtual time.

#![allow(clippy::unwrap_used, reason = "helpers of tests are tests too")]

mod support;

use std::{sync::atomic::Ordering, time::Duration};

use comfreyramp_lots::{BatchStatus, RequestCounts};
use comfreyramp_standins::platform::{FaultChange, LostAnswers, MemoryStore};
use support::*;
use tokio::time::sleep;

const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);

fn counts(completed: u32, failed: u32, cancelled: u32) -> RequestCounts {
    RequestCounts {
        total: completed + failed + cancelled,
        completed,
        failed,
        cancelled,
    }
}

fn faults(store: &MemoryStore, change: FaultChange) {
    store.platform.change_faults(change);
}

#[tokio::test(start_paused = true)]
async fn two_daemons_run_a_lot_to_its_end() {
    let store = MemoryStore::default();
    let service = TestService::with_duration(2 * SECOND);
    let one = TestDaemon::start("one", DaemonStore::new(&store), &service, 16);
    let two = TestDaemon::start("two", DaemonStore::new(&store), &service, 16);
    let lot = submit(&one.lots, CUSTOMER, 1000).await.unwrap();
    assert_eq!(lot.status, BatchStatus::InProgress);
    let lot = wait_for(&two.lots, &lot.id, BatchStatus::Completed, 10 * MINUTE).await;
    assert_eq!(lot.request_counts, counts(1000, 0, 0));
    assert_eq!(check_results(&two.lots, &lot).await, (1000, 0));
    assert_eq!(service.total_runs(), 1000);
    one.drain().await;
    two.drain().await;
}

// A daemon crashes with items in flight. Another daemon must continue the lot,
// and only items without a recorded result may run again.
#[tokio::test(start_paused = true)]
async fn a_lost_daemon_costs_the_unrecorded_part_only() {
    let store = MemoryStore::default();
    let service = TestService::with_duration(2 * SECOND);
    let one = TestDaemon::start("one", DaemonStore::new(&store), &service, 8);
    let lot = submit(&one.lots, CUSTOMER, 500).await.unwrap();
    sleep(50 * SECOND).await;
    let before = lots(&DaemonStore::new(&store)).get(CUSTOMER, &lot.id).await;
    let before = before.unwrap().request_counts.completed;
    assert!(before >= 100, "{before} recorded");
    let runs = service.total_runs();
    one.kill();
    let two = TestDaemon::start("two", DaemonStore::new(&store), &service, 8);
    let lot = wait_for(&two.lots, &lot.id, BatchStatus::Completed, 10 * MINUTE).await;
    assert_eq!(check_results(&two.lots, &lot).await, (500, 0));
    assert_eq!(service.total_runs(), runs + 500 - before);
    two.drain().await;
}

// A daemon is suspended, with its clock, for longer than its lease. Meanwhile
// another daemon takes over its segment. The first one resumes, still believes
// that it owns the segment, and writes its results. Both daemons ran every
// item; the caller must see one result for each, and the same one at every
// read.
#[tokio::test(start_paused = true)]
async fn a_paused_owner_is_refused_when_it_wakes() {
    let store = MemoryStore::default();
    let service = TestService::with_duration(2 * SECOND);
    let one = TestDaemon::start("one", DaemonStore::new(&store), &service, 256);
    let lot = submit(&one.lots, CUSTOMER, 250).await.unwrap();
    sleep(SECOND).await;
    assert_eq!(service.running.load(Ordering::SeqCst), 250);
    store.platform.advance(20 * SECOND);
    let two = TestDaemon::start("two", DaemonStore::new(&store), &service, 256);
    let lot = wait_for(&two.lots, &lot.id, BatchStatus::Completed, 10 * MINUTE).await;
    assert_eq!(check_results(&two.lots, &lot).await, (250, 0));
    assert_eq!(service.total_runs(), 500);
    let output = lot.output_file_id.unwrap();
    let first = read(&two.lots, CUSTOMER, &output).await.unwrap();
    assert!(first.lines().all(|it| it.contains("\"run\":2")));
    sleep(MINUTE).await;
    let second = read(&one.lots, CUSTOMER, &output).await.unwrap();
    assert!(first == second, "recorded results changed");
    one.drain().await;
    two.drain().await;
}

// A daemon is cut off from the store while its items run. It can't learn
// whether its claim is still valid, so it must stop by its own clock. Results
// that it has recorded before must not change.
#[tokio::test(start_paused = true)]
async fn a_cut_off_owner_stops_before_its_lease_expires() {
    let store = MemoryStore::default();
    let own = TestService::with_duration(30 * SECOND);
    let one = TestDaemon::start("one", DaemonStore::new(&store), &own, 50);
    let lot = submit(&one.lots, CUSTOMER, 200).await.unwrap();
    sleep(95 * SECOND).await;
    one.store.set_cut_off(true);
    sleep(9 * SECOND).await;
    assert_eq!(own.running.load(Ordering::SeqCst), 0);
    let other = TestService::with_duration(SECOND);
    let two = TestDaemon::start("two", DaemonStore::new(&store), &other, 50);
    let before = two.lots.get(CUSTOMER, &lot.id).await.unwrap();
    assert!(before.request_counts.completed > 0);
    let lot = wait_for(&two.lots, &lot.id, BatchStatus::Completed, 10 * MINUTE).await;
    assert_eq!(check_results(&two.lots, &lot).await, (200, 0));
    let rerun = 200 - before.request_counts.completed;
    assert_eq!(other.total_runs(), rerun);
    one.store.set_cut_off(false);
    one.drain().await;
    two.drain().await;
}

// The store is unavailable for five minutes while a lot runs. Results that
// couldn't be recorded then must be recorded afterwards, without running the
// items again.
#[tokio::test(start_paused = true)]
async fn an_outage_in_the_middle_loses_nothing() {
    let store = MemoryStore::default();
    let service = TestService::with_duration(2 * SECOND);
    let one = TestDaemon::start("one", DaemonStore::new(&store), &service, 8);
    let lot = submit(&one.lots, CUSTOMER, 300).await.unwrap();
    sleep(30 * SECOND).await;
    let outage = |outage| FaultChange {
        outage: Some(outage),
        ..FaultChange::default()
    };
    faults(&store, outage(true));
    sleep(5 * MINUTE).await;
    assert_eq!(service.running.load(Ordering::SeqCst), 0);
    faults(&store, outage(false));
    let lot = wait_for(&one.lots, &lot.id, BatchStatus::Completed, 10 * MINUTE).await;
    assert_eq!(check_results(&one.lots, &lot).await, (300, 0));
    // Only the eight items that were stopped run again.
    assert!(service.total_runs() <= 308, "{}", service.total_runs());
    one.drain().await;
}

// For a minute in total, 20 seconds at a time, every write takes effect but its
// answer is lost: claims, results and lease renewals. A daemon that took a lost
// answer for a failure would record results twice.
#[tokio::test(start_paused = true)]
async fn lost_answers_record_nothing_twice() {
    let store = MemoryStore::default();
    let service = TestService::with_duration(2 * SECOND);
    let one = TestDaemon::start("one", DaemonStore::new(&store), &service, 8);
    let two = TestDaemon::start("two", DaemonStore::new(&store), &service, 8);
    let lot = submit(&one.lots, CUSTOMER, 600).await.unwrap();
    for _ in 0..3 {
        for (lose, seconds) in [(LostAnswers::All(true), 20), (LostAnswers::All(false), 20)] {
            sleep(seconds * SECOND).await;
            faults(
                &store,
                FaultChange {
                    lose_answers: Some(lose),
                    ..FaultChange::default()
                },
            );
        }
    }
    let lot = wait_for(&one.lots, &lot.id, BatchStatus::Completed, 10 * MINUTE).await;
    assert_eq!(check_results(&two.lots, &lot).await, (600, 0));
    one.drain().await;
    two.drain().await;
}

// The answer to one write is lost, a different one in each round. The write
// took effect, so no item may run again.
#[tokio::test(start_paused = true)]
async fn one_lost_answer_runs_nothing_twice() {
    for write in 0..12 {
        let store = MemoryStore::default();
        let service = TestService::with_duration(2 * SECOND);
        let losing = DaemonStore::new(&store).loses_answer_of(write);
        let one = TestDaemon::start("one", losing, &service, 8);
        let lot = submit(&one.lots, CUSTOMER, 200).await.unwrap();
        let lot = wait_for(&one.lots, &lot.id, BatchStatus::Completed, 10 * MINUTE).await;
        assert_eq!(check_results(&one.lots, &lot).await, (200, 0));
        assert_eq!(service.total_runs(), 200, "write {write}");
        one.drain().await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_slow_platform_delays_and_loses_nothing() {
    let store = MemoryStore::default();
    let slow = |slow| FaultChange {
        slow: Some(slow),
        ..FaultChange::default()
    };
    faults(&store, slow(3 * SECOND));
    let service = TestService::with_duration(2 * SECOND);
    let one = TestDaemon::start("one", DaemonStore::new(&store), &service, 16);
    let two = TestDaemon::start("two", DaemonStore::new(&store), &service, 16);
    let lot = submit(&one.lots, CUSTOMER, 600).await.unwrap();
    let lot = wait_for(&one.lots, &lot.id, BatchStatus::Completed, 20 * MINUTE).await;
    assert_eq!(check_results(&two.lots, &lot).await, (600, 0));
    one.drain().await;
    two.drain().await;
}

// Some items can never succeed: the service rejects one, fails on another each
// time, and crashes on a third. The lot must end with their errors recorded,
// and the third item may crash two servers but no more.
#[tokio::test(start_paused = true)]
async fn impossible_items_get_an_error_and_the_lot_ends() {
    let store = MemoryStore::default();
    let service = TestService::with_duration(SECOND);
    let one = TestDaemon::start("one", DaemonStore::new(&store), &service, 8);
    let content = input(200)
        .replace("verse 20\"", "impossible\"")
        .replace("verse 30\"", "faulty\"")
        .replace("verse 40\"", "crashing\"");
    let file = upload(&one.lots, CUSTOMER, &content).await.unwrap();
    let lot = one.lots.create(CUSTOMER, &new_lot(&file)).await.unwrap();
    let lot = wait_for(&one.lots, &lot.id, BatchStatus::Completed, 10 * MINUTE).await;
    assert_eq!(lot.request_counts, counts(197, 3, 0));
    assert_eq!(check_results(&one.lots, &lot).await, (197, 3));
    assert_eq!(service.crashes.load(Ordering::SeqCst), 2);
    let errors = read(&one.lots, CUSTOMER, &lot.error_file_id.unwrap()).await;
    let errors = errors.unwrap();
    let line = |id: &str| errors.lines().find(|it| it.contains(id)).unwrap();
    assert!(line("item-20").contains("\"status_code\":400"));
    assert!(line("item-30").contains("item_fails"));
    assert!(line("item-40").contains("item_crashes_servers"));
    one.drain().await;
}

// An item crashes a server, and the daemon that saw it crashes before the next
// attempt. The next owner must know of the first server crash; otherwise the
// item could crash two more servers after each lost daemon.
#[tokio::test(start_paused = true)]
async fn a_crash_is_remembered_when_the_daemon_is_lost() {
    let store = MemoryStore::default();
    let service = TestService::with_duration(SECOND);
    let content = input(1).replace("verse 0\"", "crashing\"");
    let one = TestDaemon::start("one", DaemonStore::new(&store), &service, 1);
    let file = upload(&one.lots, CUSTOMER, &content).await.unwrap();
    let lot = one.lots.create(CUSTOMER, &new_lot(&file)).await.unwrap();
    while service.crashes.load(Ordering::SeqCst) == 0 {
        sleep(Duration::from_millis(50)).await;
    }
    sleep(Duration::from_millis(50)).await;
    one.kill();
    let two = TestDaemon::start("two", DaemonStore::new(&store), &service, 1);
    let lot = wait_for(&two.lots, &lot.id, BatchStatus::Completed, 10 * MINUTE).await;
    assert_eq!(lot.request_counts, counts(0, 1, 0));
    assert_eq!(service.crashes.load(Ordering::SeqCst), 2);
    two.drain().await;
}

// All servers are down for ten minutes. This isn't the fault of the items, so
// none may be recorded as failed.
#[tokio::test(start_paused = true)]
async fn an_outage_of_the_servers_fails_no_item() {
    let store = MemoryStore::default();
    let service = TestService::with_duration(SECOND);
    *service.is_down.lock().unwrap() = true;
    let one = TestDaemon::start("one", DaemonStore::new(&store), &service, 8);
    let lot = submit(&one.lots, CUSTOMER, 50).await.unwrap();
    sleep(10 * MINUTE).await;
    *service.is_down.lock().unwrap() = false;
    let lot = wait_for(&one.lots, &lot.id, BatchStatus::Completed, 10 * MINUTE).await;
    assert_eq!(lot.request_counts, counts(50, 0, 0));
    one.drain().await;
}

// A burst of live requests preempts all bulk streams. The items must resume
// where they stopped once there is capacity again.
#[tokio::test(start_paused = true)]
async fn preempted_items_are_resumed() {
    let store = MemoryStore::default();
    let service = TestService::with_duration(SECOND);
    *service.preempts.lock().unwrap() = true;
    let one = TestDaemon::start("one", DaemonStore::new(&store), &service, 4);
    let lot = submit(&one.lots, CUSTOMER, 40).await.unwrap();
    sleep(5 * SECOND).await;
    *service.preempts.lock().unwrap() = false;
    let lot = wait_for(&one.lots, &lot.id, BatchStatus::Completed, 10 * MINUTE).await;
    assert_eq!(check_results(&one.lots, &lot).await, (40, 0));
    assert!(service.resumed.load(Ordering::SeqCst) > 0);
    one.drain().await;
}

// A customer submits a lot of 20 items while another customer's lot of 5,000
// items runs.
#[tokio::test(start_paused = true)]
async fn a_long_lot_does_not_hold_up_a_short_one() {
    let store = MemoryStore::default();
    let service = TestService::with_duration(SECOND);
    let one = TestDaemon::start("one", DaemonStore::new(&store), &service, 4);
    submit(&one.lots, "kitenge", 5000).await.unwrap();
    sleep(MINUTE).await;
    let lot = submit(&one.lots, CUSTOMER, 20).await.unwrap();
    // Alone it would take 5 seconds, with half of the slots 10.
    wait_for(&one.lots, &lot.id, BatchStatus::Completed, 15 * SECOND).await;
    one.drain().await;
}

#[tokio::test(start_paused = true)]
async fn a_planned_stop_records_what_is_done_and_hands_over() {
    let store = MemoryStore::default();
    let service = TestService::with_duration(SECOND);
    let one = TestDaemon::start("one", DaemonStore::new(&store), &service, 4);
    let lot = submit(&one.lots, CUSTOMER, 100).await.unwrap();
    sleep(10 * SECOND + SECOND / 2).await;
    one.drain().await;
    assert_eq!(service.running.load(Ordering::SeqCst), 0);
    let lots = lots(&DaemonStore::new(&store));
    let seen = lots.get(CUSTOMER, &lot.id).await.unwrap();
    assert_eq!(seen.request_counts.completed, 40);
    let two = TestDaemon::start("two", DaemonStore::new(&store), &service, 4);
    let lot = wait_for(&lots, &lot.id, BatchStatus::Completed, 20 * SECOND).await;
    assert_eq!(check_results(&lots, &lot).await, (100, 0));
    two.drain().await;
}
