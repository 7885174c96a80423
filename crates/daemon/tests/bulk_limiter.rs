//! Tests of the limiter that preempts bulk work in favour of live work.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::time::Duration;

use comfreyramp_daemon::{
    clock::ProcessClock,
    lot_work::{BulkLimiters, BulkSlot},
    server_pool::ServerPool,
};
use comfreyramp_policy::{LoadReport, ServerId, Timestamp};
use comfreyramp_settings::{DaemonSettings, LogSettings, PlatformSettings};
use comfreyramp_store::{ListedVm, VmState};

/// The batch size of each engine.
const BATCH: u32 = 8;

/// A daemon's limiters and server pool with a clock that the test advances.
struct TestLimiter {
    limiters: BulkLimiters,
    pool: ServerPool,
    settings: DaemonSettings,
    now: Timestamp,
}

impl TestLimiter {
    fn new(vms: &[ListedVm]) -> Self {
        let free = ([127, 0, 0, 1], 0).into();
        let mut limiter = TestLimiter {
            limiters: BulkLimiters::default(),
            pool: ServerPool::default(),
            settings: DaemonSettings {
                name: "daemon-1".to_owned(),
                region: "test".to_owned(),
                zone: "zone-1".to_owned(),
                callers: free,
                operators: free,
                peers: free,
                platform: PlatformSettings {
                    store: String::new(),
                    vm_list: String::new(),
                },
                data_folder: None,
                operators_token: String::new(),
                log: LogSettings::default(),
                addresses_file: None,
            },
            now: Timestamp::ZERO + Duration::from_secs(60),
        };
        limiter.pool.update(vms, "zone-1", limiter.now);
        limiter.advance(Duration::ZERO);
        limiter
    }

    fn advance(&mut self, duration: Duration) {
        self.now = self.now + duration;
        self.pool
            .update_limiters(&self.limiters, &self.settings, self.now);
    }

    fn open(&self) -> Option<BulkSlot> {
        let take = |id| self.pool.take(id, ProcessClock::default());
        self.limiters
            .open("engines", ProcessClock::default(), self.now, take)
    }

    /// Delivers a load report from each server, with `others` requests of other
    /// daemons.
    fn report(&self, slots: &[BulkSlot], others: u32) {
        for (server, _) in self.limiters.servers_to_query(self.now) {
            let own = slots.iter().filter(|it| it.server.id == server).count();
            let report = LoadReport {
                running: u32::try_from(own).unwrap() + others,
                waiting: 0,
                batch: BATCH,
            };
            self.limiters.note_report(server, report, self.now);
        }
    }

    /// Opens slots for 15 s of simulated time, until the batches are full.
    fn fill(&mut self) -> Vec<BulkSlot> {
        let mut slots = Vec::new();
        for _ in 0..60 {
            // Longer than the lag of a report, so that it includes all slots.
            self.advance(Duration::from_millis(250));
            self.report(&slots, 0);
            slots.extend(std::iter::from_fn(|| self.open()));
        }
        slots
    }
}

fn vm(name: &str, group: &str) -> ListedVm {
    ListedVm {
        name: name.to_owned(),
        zone: "zone-1".to_owned(),
        group: group.to_owned(),
        address: "127.0.0.1:9".to_owned(),
        state: VmState::Live,
    }
}

fn stopped_count(slots: &[BulkSlot]) -> usize {
    slots.iter().filter(|it| it.stop.is_cancelled()).count()
}

// Many live requests arrive at once while bulk work fills the batch. If bulk
// streams were stopped only after the next load report, the live requests would
// already be queued behind them in the engine.
#[test]
fn bulk_work_is_preempted_before_a_live_request_is_sent() {
    let mut limiter = TestLimiter::new(&[vm("engine-1", "engines")]);
    let slots = limiter.fill();
    assert_eq!(slots.len(), BATCH as usize);
    let server = slots[0].server.id;
    for live in 1..=slots.len() {
        limiter.limiters.note_arrival(server, limiter.now);
        assert_eq!(stopped_count(&slots), live);
    }
    drop(slots);
    assert!(limiter.open().is_none());
}

// Another daemon sends live work to the same engine. This daemon learns of it
// only from the engine's report, and must then preempt bulk work.
#[test]
fn requests_of_other_daemons_preempt_bulk_work() {
    let mut limiter = TestLimiter::new(&[vm("engine-1", "engines")]);
    let slots = limiter.fill();
    limiter.advance(Duration::from_millis(250));
    limiter.report(&slots, 0);
    assert_eq!(stopped_count(&slots), 0);
    limiter.report(&slots, 4);
    assert_eq!(stopped_count(&slots), 4);
}

// An engine doesn't report its load. Since the live work on it is unknown, bulk
// work must not start there, and running bulk work must end soon.
#[test]
fn a_server_without_load_reports_gets_no_bulk_work() {
    let mut limiter = TestLimiter::new(&[vm("engine-1", "engines")]);
    limiter.advance(Duration::from_secs(10));
    assert!(limiter.open().is_none());
    let slots = limiter.fill();
    assert!(!slots.is_empty());
    drop(slots);
    limiter.advance(Duration::from_secs(6));
    assert!(limiter.open().is_none());
}

// A daemon joins the zone and becomes the home of some servers. If the old home
// kept its slots, both daemons would fill the same engine.
#[test]
fn bulk_work_stops_on_a_server_that_moves_to_another_home() {
    let engines: Vec<ListedVm> = (0..8)
        .map(|it| vm(&format!("engine-{it}"), "engines"))
        .collect();
    let mut limiter = TestLimiter::new(&engines);
    let slots = limiter.fill();
    let mut listed = engines.clone();
    listed.push(vm("daemon-1", "entry"));
    listed.push(vm("daemon-2", "entry"));
    limiter.pool.update(&listed, "zone-1", limiter.now);
    limiter.advance(Duration::ZERO);
    let moved: Vec<ServerId> = slots
        .iter()
        .filter(|it| it.stop.is_cancelled())
        .map(|it| it.server.id)
        .collect();
    assert!(!moved.is_empty() && moved.len() < slots.len());
    let kept = slots.iter().filter(|it| !it.stop.is_cancelled());
    assert!(!kept.map(|it| it.server.id).any(|it| moved.contains(&it)));
}
