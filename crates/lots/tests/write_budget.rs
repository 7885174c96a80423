//! The number of store requests that a lot causes. docs/LOTS.md has the
//! figures.

#![allow(clippy::unwrap_used, reason = "helpers of tests are tests too")]

mod support;

use std::{sync::atomic::Ordering, time::Duration};

use comfreyramp_lots::{BatchStatus, LotSweeper};
use comfreyramp_standins::platform::MemoryStore;
use support::*;
use tokio::time::sleep;

const DAY: Duration = Duration::from_secs(86_400);

/// The store requests of one lot from submission to deletion, without those for
/// its daemon's lease.
#[allow(dead_code, reason = "all of it is printed")]
#[derive(Clone, Copy, Debug)]
struct LotCost {
    submit_writes: u64,
    run_writes: u64,
    sweep_writes: u64,
    run_reads: u64,
    result_reads: u64,
    sweep_reads: u64,
    bytes_written: usize,
}

impl LotCost {
    fn writes(&self) -> u64 {
        self.submit_writes + self.run_writes + self.sweep_writes
    }
}

async fn measure(items: usize, slots: usize) -> LotCost {
    let store = MemoryStore::default();
    let calls = || store.platform.calls();
    let service = TestService::with_duration(Duration::from_secs(5));
    let daemon = TestDaemon::start("one", DaemonStore::new(&store), &service, slots);
    sleep(Duration::from_secs(1)).await;
    let idle = calls();
    let lot = submit(&daemon.lots, CUSTOMER, items).await.unwrap();
    let submitted = calls();
    let lots = daemon.lots.clone();
    // Each status request costs two reads while the lot is open and one when it
    // has ended.
    let mut status_reads = 1;
    loop {
        sleep(Duration::from_secs(60)).await;
        let seen = lots.get(CUSTOMER, &lot.id).await.unwrap();
        if seen.status == BatchStatus::Completed {
            break;
        }
        status_reads += 2;
    }
    let ran = calls();
    let bytes_written = daemon.store.bytes.load(Ordering::SeqCst);
    daemon.drain().await;
    let before = calls();
    let lot = lots.get(CUSTOMER, &lot.id).await.unwrap();
    assert_eq!(check_results(&lots, &lot).await.0, items);
    let read = calls();
    let sweeper = LotSweeper { lots };
    for _ in 0..2 {
        sleep(5 * DAY).await;
        sweeper.sweep().await.unwrap();
    }
    let swept = calls();
    LotCost {
        submit_writes: submitted.txn - idle.txn,
        run_writes: ran.txn - submitted.txn,
        sweep_writes: swept.txn - read.txn,
        run_reads: ran.range - submitted.range - status_reads,
        result_reads: read.range - before.range,
        sweep_reads: swept.range - read.range,
        bytes_written,
    }
}

// A lot that takes more requests than planned does no harm alone. At 99,000
// lots a day the store would be overloaded, and everything that depends on it
// would fail.
#[tokio::test(start_paused = true)]
async fn lots_stay_within_their_budget() {
    for (items, slots, max_writes) in [(10, 8, 8), (1000, 8, 60), (1000, 64, 30), (99_000, 8, 4500)]
    {
        let cost = measure(items, slots).await;
        println!("{items} items, {slots} at a time: {cost:?}");
        let writes = cost.writes();
        assert!(writes <= max_writes, "{items} items took {writes} writes");
    }
}
