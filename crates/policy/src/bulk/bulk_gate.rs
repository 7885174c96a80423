//! The limiter for the bulk work of one server.

use std::{collections::VecDeque, time::Duration};

use super::{ArrivalRate, SlotLimit};
use crate::{LoadReport, Timestamp};

/// A report older than this says nothing of the live work on a server; no bulk work
/// runs then.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// How fast the limiter can react, and what counts as a slowdown of live callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BulkLimiterTiming {
    /// The time from a live arrival to the end of a cancelled bulk stream.
    pub reaction: Duration,
    /// The age of a server's load report when it arrives.
    pub report_lag: Duration,
    /// The longest acceptable gap between two tokens of a live answer.
    pub token_gap: Duration,
    /// The shortest time between two starts of bulk items on one server. Each start
    /// delays the server's next step while its prompt is read.
    pub start_gap: Duration,
    /// For how many standard deviations of the arrivals within a reaction time capacity
    /// is kept free. With three it falls short in about one reaction time in a
    /// thousand.
    pub headroom_deviations: f64,
}

impl Default for BulkLimiterTiming {
    fn default() -> Self {
        BulkLimiterTiming {
            reaction: Duration::from_millis(300),
            report_lag: Duration::from_millis(200),
            token_gap: Duration::from_millis(29),
            start_gap: Duration::from_millis(50),
            headroom_deviations: 3.0,
        }
    }
}

/// Decides how many bulk items may run on one server.
///
/// Engines start whatever arrives. A live request that finds the batch full of bulk
/// items would wait for seconds until one of them ends. So the limiter keeps capacity
/// free for as many live requests as may arrive before it can react, and requests that
/// bulk streams be cancelled as soon as one arrives.
///
/// ```
/// use comfreyramp_policy::bulk::{BulkLimiter, BulkLimiterTiming, FixedLimit};
/// use comfreyramp_policy::{LoadReport, Timestamp};
///
/// let mut limiter = BulkLimiter::new(BulkLimiterTiming::default(), FixedLimit { slots: 99.0 });
/// let now = Timestamp::from_micros(1);
/// limiter.report(LoadReport { running: 4, waiting: 0, batch: 16 }, now);
/// assert_eq!(limiter.allowed(now), 12);
/// ```
#[derive(Clone, Debug)]
pub struct BulkLimiter<L> {
    timing: BulkLimiterTiming,
    limit: L,
    arrivals: ArrivalRate,
    own_requests: OwnHistory,
    announced: VecDeque<Timestamp>,
    batch: u32,
    other_live: u32,
    reported_at: Option<Timestamp>,
    last_start_at: Option<Timestamp>,
}

impl<L: SlotLimit> BulkLimiter<L> {
    /// Creates a limiter that allows no bulk work until the server's first report.
    pub fn new(timing: BulkLimiterTiming, limit: L) -> Self {
        BulkLimiter {
            timing,
            limit,
            arrivals: ArrivalRate::default(),
            own_requests: OwnHistory::default(),
            announced: VecDeque::new(),
            batch: 0,
            other_live: 0,
            reported_at: None,
            last_start_at: None,
        }
    }

    /// Records that the home daemon itself sends a live request to the server.
    pub fn record_live_start(&mut self, now: Timestamp) {
        self.arrivals.record_arrival(now);
        self.own_requests.live += 1;
        self.own_requests.record(now, self.timing.report_lag);
    }

    /// Records that a live request of the home daemon has ended.
    pub fn record_live_end(&mut self, now: Timestamp) {
        self.own_requests.live = self.own_requests.live.saturating_sub(1);
        self.own_requests.record(now, self.timing.report_lag);
    }

    /// Records that another daemon sends a live request to the server.
    pub fn announce(&mut self, now: Timestamp) {
        self.arrivals.record_arrival(now);
        self.announced.push_back(now);
    }

    /// Records that a bulk item was sent to the server.
    pub fn record_bulk_start(&mut self, now: Timestamp) {
        self.last_start_at = Some(now);
        self.own_requests.bulk += 1;
        self.own_requests.record(now, self.timing.report_lag);
    }

    /// Records that a bulk item has ended or was cancelled.
    pub fn record_bulk_end(&mut self, now: Timestamp) {
        self.own_requests.bulk = self.own_requests.bulk.saturating_sub(1);
        self.own_requests.record(now, self.timing.report_lag);
    }

    /// Returns the adaptive limit in use.
    pub fn limit(&self) -> &L {
        &self.limit
    }

    /// Returns the number of bulk items on the server.
    pub fn bulk(&self) -> u32 {
        self.own_requests.bulk
    }

    /// Applies the server's report, which is `report_lag` old.
    ///
    /// Requests beyond the home daemon's own requests of that time are the live work of
    /// other daemons. A comparison with the present count instead would mistake bulk
    /// items started since for missing live requests, and items cancelled since for a
    /// burst.
    pub fn report(&mut self, report: LoadReport, now: Timestamp) {
        self.batch = report.batch;
        let total = report.running.saturating_add(report.waiting);
        let reported_as_of = now - self.timing.report_lag;
        self.other_live = total.saturating_sub(self.own_requests.count_at(reported_as_of));
        self.reported_at = Some(now);
        // Requests announced before the report was made are included in it.
        while self
            .announced
            .front()
            .is_some_and(|&it| it <= reported_as_of)
        {
            self.announced.pop_front();
        }
    }

    /// Records that a live caller was slowed down on this server.
    pub fn record_slowdown(&mut self, now: Timestamp) {
        self.limit.record_slowdown(now);
    }

    /// Records a gap between two tokens of a live answer; a gap beyond `token_gap`
    /// counts as a slowdown.
    pub fn token_gap(&mut self, gap: Duration, now: Timestamp) {
        if gap > self.timing.token_gap {
            self.record_slowdown(now);
        }
    }

    /// Lets the limit grow for the time that passed.
    pub fn tick(&mut self, now: Timestamp) {
        self.limit.tick(now);
    }

    /// Returns how many bulk items may run now. If more run, [`BulkLimiter::excess`] says
    /// how many of them have to be cancelled.
    pub fn allowed(&self, now: Timestamp) -> u32 {
        let has_recent_report = self
            .reported_at
            .is_some_and(|it| now.since(it) < REPORT_LIFETIME);
        if !has_recent_report {
            return 0;
        }
        let live_and_headroom = self.live() + self.headroom(now);
        self.batch
            .saturating_sub(live_and_headroom)
            .min(self.limit.limit() as u32)
    }

    /// Returns whether another bulk item may start now.
    pub fn may_start(&self, now: Timestamp) -> bool {
        let start_gap_passed = self
            .last_start_at
            .is_none_or(|it| now.since(it) >= self.timing.start_gap);
        start_gap_passed && self.own_requests.bulk < self.allowed(now)
    }

    /// Returns how many bulk items have to be cancelled now.
    pub fn excess(&self) -> u32 {
        // The headroom for arrivals that haven't come is only kept free when items
        // start. Cancelling items for it too would discard work because of a forecast.
        let available = self
            .batch
            .saturating_sub(self.live())
            .min(self.limit.limit().ceil() as u32);
        self.own_requests.bulk.saturating_sub(available)
    }

    /// Returns the live requests of all daemons on the server.
    pub fn live(&self) -> u32 {
        let announced = u32::try_from(self.announced.len()).unwrap_or(u32::MAX);
        self.own_requests
            .live
            .saturating_add(self.other_live)
            .saturating_add(announced)
    }

    /// Returns the capacity kept free for live requests that arrive before the limiter
    /// can react.
    pub fn headroom(&self, now: Timestamp) -> u32 {
        let expected = self.arrivals.per_second(now) * self.timing.reaction.as_secs_f64();
        (expected + self.timing.headroom_deviations * expected.sqrt()).ceil() as u32
    }
}

/// The home daemon's own requests on the server, at present and as of the latest
/// report.
#[derive(Clone, Debug, Default)]
struct OwnHistory {
    live: u32,
    bulk: u32,
    samples: VecDeque<(Timestamp, u32)>,
}

impl OwnHistory {
    fn record(&mut self, now: Timestamp, lag: Duration) {
        self.samples.push_back((now, self.live + self.bulk));
        let reported_as_of = now - lag;
        while self
            .samples
            .get(1)
            .is_some_and(|&(at, _)| at <= reported_as_of)
        {
            self.samples.pop_front();
        }
    }

    fn count_at(&self, then: Timestamp) -> u32 {
        let found = self.samples.iter().rev().find(|&&(at, _)| at <= then);
        found.map_or(0, |&(_, count)| count)
    }
}
