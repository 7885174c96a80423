//! The usage of all customers, as one daemon knows it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::UsageBucket;
use crate::{Timestamp, hash::name_hash};

/// The longest time between two reports of a daemon, unless [`UsageTracker::set_interval`]
/// changes it.
const DEFAULT_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// A daemon counts as silent after this many intervals without a report: that allows
/// for one lost datagram and some delay.
const SILENT_INTERVALS: f64 = 2.4;
/// Intervals without a report over which the tokens left to a daemon grow from none to
/// all that it may spend. Without this, both sides of a network partition would spend
/// the whole bucket before they notice it: 690 requests in a window for 614 in
/// `tests/usage.rs`.
const UNCONFIRMED_INTERVALS: (f64, f64) = (0.35, 1.2);
/// The fraction of its burst that a customer has at a daemon that has just started and
/// doesn't know what was spent before. If all daemons restart at once, this is what can
/// be spent twice: a larger fraction would overshoot more, a smaller one would reject
/// requests within the customer's limit.
const RESTART_BURST_FRACTION: f64 = 0.3;

/// The fraction of a customer's burst that a daemon admits before it reports at once.
/// If it always waited for the next regular report, a customer could spend its whole
/// burst at each daemon meanwhile.
const UNREPORTED_BURST_FRACTION: f64 = 0.1;
/// The lower bound of that, in requests, for customers with hardly any burst.
const MIN_UNREPORTED: f64 = 2.0;

/// The longest delay after which a rejected caller is asked to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);
/// The lower bound of a daemon's share of a customer's tokens when retry times are
/// computed.
const MIN_SHARE: f64 = 0.05;
/// The time over which a daemon's share of a customer's requests is measured.
const SHARE_WINDOW: Duration = Duration::from_secs(5);

/// The resolution of the times at which daemons report to have admitted requests.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// The id by which daemons name each other: the hash of the daemon's name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PeerId(pub u64);

impl PeerId {
    /// Returns the id of the daemon with this name.
    pub fn of_name(name: &str) -> Self {
        PeerId(name_hash(name))
    }
}

/// A customer's limit in the settings in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerLimit {
    /// The hash of the customer's name.
    pub customer: u64,
    /// Requests a second.
    pub rate: f64,
    /// How many requests it may send at once beyond that.
    pub burst: f64,
}

/// What one daemon reports of one customer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageCount {
    /// The hash of the customer's name.
    pub customer: u64,
    /// Requests admitted since the daemon started.
    pub admitted: u32,
    /// The tokens in its copy of the bucket.
    pub level: f32,
    /// When these requests were admitted; `None` if the daemon doesn't report it.
    #[serde(skip)]
    pub times: Option<SpendingTimes>,
}

/// When a daemon admitted requests, in steps of 10 ms of its own clock, modulo 2^16.
///
/// These are running totals, so a lost report does no harm: the difference of any two
/// gives the average age of the requests in between at the time of the later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendingTimes {
    /// The sum of the times at which all requests so far were admitted.
    pub sum: u16,
    /// The time of the report.
    pub told: u16,
}

impl SpendingTimes {
    /// Returns how long before this report `requests` were admitted on average, if
    /// these are all since the `earlier` report.
    fn mean_age(self, earlier: SpendingTimes, requests: u32) -> Duration {
        let times = self.sum.wrapping_sub(earlier.sum);
        let total_age = self.told.wrapping_mul(requests as u16).wrapping_sub(times);
        CLOCK_TICK * u32::from(total_age) / requests.max(1)
    }
}

fn clock_ticks(now: Timestamp) -> u16 {
    (u128::from(now.as_micros()) / CLOCK_TICK.as_micros()) as u16
}

/// The usage of all customers, as one daemon knows it.
#[derive(Clone, Debug, Default)]
pub struct UsageTracker {
    /// Sorted by the customer's hash.
    customers: Vec<CustomerUsage>,
    /// Sorted by id.
    peers: Vec<PeerUsage>,
    started_at: Timestamp,
    silent_after: Duration,
    unconfirmed_after: (Duration, Duration),
}

#[derive(Clone, Debug)]
struct CustomerUsage {
    customer: u64,
    bucket: UsageBucket,
    own_admitted: u32,
    /// The sum of the times at which these were admitted.
    own_time_sum: u16,
    /// How many of them were reported to the other daemons.
    reported: u32,
    own_recent: RecentCount,
    /// What all daemons admitted recently. It is kept as one count, since summing over
    /// all daemons for each message would take all of a daemon's time in a large fleet.
    all_recent: RecentCount,
    last_used: Timestamp,
    /// The latest retry time given to a rejected caller.
    last_retry_at: Timestamp,
}

#[derive(Clone, Debug)]
struct PeerUsage {
    id: PeerId,
    incarnation: u64,
    last_received_at: Timestamp,
    is_silent: bool,
    /// Whether it has reported since this daemon started.
    has_reported: bool,
    /// Whether it announced that it stops: it spends nothing once it is gone.
    is_leaving: bool,
    /// Sorted by the customer's hash.
    counts: Vec<PeerCount>,
}

#[derive(Clone, Copy, Debug)]
struct PeerCount {
    customer: u64,
    admitted: u32,
    times: Option<SpendingTimes>,
    recent: RecentCount,
}

/// What a report says of a customer's requests.
#[derive(Clone, Copy, Debug)]
struct ReceivedSpending {
    /// Requests admitted since the previous report.
    requests: u32,
    /// When they were admitted on average; the present time if that isn't known.
    admitted_at: Timestamp,
}

impl PeerCount {
    fn record(&mut self, count: &UsageCount, now: Timestamp) -> ReceivedSpending {
        // Datagrams may overtake each other; an older one adds nothing.
        let requests = count.admitted.saturating_sub(self.admitted);
        let mut admitted_at = now;
        if requests > 0 {
            if let Some((later, earlier)) = count.times.zip(self.times) {
                admitted_at = now - later.mean_age(earlier, requests);
            }
            self.admitted = count.admitted;
            self.times = count.times;
        }
        self.recent.add(f64::from(requests), now);
        ReceivedSpending {
            requests,
            admitted_at,
        }
    }
}

/// A count of recent requests that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct RecentCount {
    count: f64,
    updated_at: Timestamp,
}

impl RecentCount {
    fn decayed(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64() / SHARE_WINDOW.as_secs_f64();
        self.count * (-age).exp()
    }

    fn add(&mut self, requests: f64, now: Timestamp) {
        self.count = self.decayed(now) + requests;
        self.updated_at = now;
    }
}

impl UsageTracker {
    /// Creates the tracker of a daemon that starts now.
    pub fn new(now: Timestamp) -> Self {
        UsageTracker {
            started_at: now,
            silent_after: DEFAULT_REPORT_INTERVAL.mul_f64(SILENT_INTERVALS),
            unconfirmed_after: unconfirmed_limits(DEFAULT_REPORT_INTERVAL),
            ..UsageTracker::default()
        }
    }

    /// Sets the longest time between two reports of a daemon. Daemons of a large fleet
    /// report less often.
    pub fn set_interval(&mut self, interval: Duration) {
        self.silent_after = interval.mul_f64(SILENT_INTERVALS);
        self.unconfirmed_after = unconfirmed_limits(interval);
    }

    /// Applies the limits of the settings in force.
    ///
    /// A customer that is added while the daemon runs has its whole burst; one that the
    /// daemon finds when it starts may have spent it already.
    pub fn set_limits(&mut self, limits: &[CustomerLimit], now: Timestamp) {
        let is_initial = self.customers.is_empty();
        let mut customers = Vec::with_capacity(limits.len());
        for limit in limits.iter().filter(|it| it.rate > 0.0) {
            let usage = match self.find(limit.customer) {
                Some(index) => {
                    let mut usage = self.customers[index].clone();
                    usage.bucket.set_limit(limit.rate, limit.burst);
                    usage
                }
                None => {
                    let fraction = if is_initial {
                        RESTART_BURST_FRACTION
                    } else {
                        1.0
                    };
                    let level = (limit.burst * fraction).max(1.0);
                    CustomerUsage {
                        customer: limit.customer,
                        bucket: UsageBucket::new(limit.rate, limit.burst.max(1.0), level, now),
                        own_admitted: 0,
                        own_time_sum: 0,
                        reported: 0,
                        own_recent: RecentCount::default(),
                        all_recent: RecentCount::default(),
                        last_used: now,
                        last_retry_at: now,
                    }
                }
            };
            customers.push(usage);
        }
        customers.sort_by_key(|it| it.customer);
        self.customers = customers;
    }

    /// Admits a request. Customers without a limit are always admitted.
    ///
    /// # Errors
    ///
    /// Returns after which time a rejected caller may retry.
    pub fn admit(&mut self, customer: u64, now: Timestamp) -> Result<(), Duration> {
        let Some(index) = self.find(customer) else {
            return Ok(());
        };
        let reserved = self.reserved_share(customer, now);
        let unconfirmed = self.unconfirmed_share(customer, now);
        let usage = &mut self.customers[index];
        usage.bucket.fill_unconfirmed(reserved, unconfirmed, now);
        if let Err(wait) = usage.bucket.take(unconfirmed) {
            return Err(self.assign_retry_after(index, wait, now));
        }
        let usage = &mut self.customers[index];
        usage.own_admitted = usage.own_admitted.wrapping_add(1);
        usage.own_time_sum = usage.own_time_sum.wrapping_add(clock_ticks(now));
        usage.own_recent.add(1.0, now);
        usage.all_recent.add(1.0, now);
        usage.last_used = now;
        Ok(())
    }

    /// Returns whether so many requests of a customer are unreported that the other
    /// daemons need a report at once.
    pub fn is_report_urgent(&self, customer: u64) -> bool {
        let Some(index) = self.find(customer) else {
            return false;
        };
        let usage = &self.customers[index];
        let max_unreported = (usage.bucket.burst() * UNREPORTED_BURST_FRACTION).max(MIN_UNREPORTED);
        f64::from(usage.own_admitted.wrapping_sub(usage.reported)) >= max_unreported
    }

    /// Checks whether a request of a customer would be admitted, without taking a
    /// token.
    ///
    /// # Errors
    ///
    /// Returns after which time the caller may retry.
    pub fn check(&mut self, customer: u64, now: Timestamp) -> Result<(), Duration> {
        let Some(index) = self.find(customer) else {
            return Ok(());
        };
        let reserved = self.reserved_share(customer, now);
        let unconfirmed = self.unconfirmed_share(customer, now);
        let bucket = &mut self.customers[index].bucket;
        bucket.fill_unconfirmed(reserved, unconfirmed, now);
        let mut copy = *bucket;
        match copy.take(unconfirmed) {
            Ok(()) => Ok(()),
            Err(wait) => Err(self.assign_retry_after(index, wait, now)),
        }
    }

    /// Returns whether this daemon has just started, and relies on the others for what
    /// was spent before: each report that it receives may lower its levels.
    fn is_recently_started(&self, now: Timestamp) -> bool {
        now.since(self.started_at) < self.silent_after * 2
    }

    /// Returns whether a request of a customer would be rejected only because peers may
    /// have admitted requests since their last report. A new report from those peers
    /// ([`UsageTracker::unconfirmed_peers`]) decides it.
    pub fn is_rejected_as_unconfirmed(&self, customer: u64, now: Timestamp) -> bool {
        let Some(index) = self
            .find(customer)
            .filter(|_| !self.is_recently_started(now))
        else {
            return false;
        };
        let reserved = self.reserved_share(customer, now);
        let unconfirmed = self.unconfirmed_share(customer, now);
        let is_admitted = |unconfirmed: f64| {
            let mut bucket = self.customers[index].bucket;
            bucket.fill_unconfirmed(reserved, unconfirmed, now);
            bucket.take(unconfirmed).is_ok()
        };
        !is_admitted(unconfirmed) && is_admitted(0.0)
    }

    /// Returns the daemons whose last report is so old that tokens are left to them.
    pub fn unconfirmed_peers(&self, now: Timestamp) -> Vec<PeerId> {
        let unconfirmed = self.peers.iter().filter(|it| self.is_unconfirmed(it, now));
        unconfirmed.map(|it| it.id).collect()
    }

    fn is_unconfirmed(&self, peer: &PeerUsage, now: Timestamp) -> bool {
        !peer.is_accounted_for() && now.since(peer.last_received_at) > self.unconfirmed_after.0
    }

    /// Returns the delay after which a rejected caller may retry.
    ///
    /// The next token comes soon, but only one of the many callers rejected within the
    /// same second can have it. Given the same time, they would all be rejected again.
    /// So each gets a time of its own, spaced by the interval at which this daemon's
    /// share of the tokens comes in.
    fn assign_retry_after(&mut self, index: usize, wait: Duration, now: Timestamp) -> Duration {
        let own_share = self.own_share(index, now).max(MIN_SHARE);
        let usage = &mut self.customers[index];
        let spacing = Duration::from_secs_f64(1.0 / (usage.bucket.rate() * own_share).max(0.2));
        let earliest = now + wait;
        usage.last_retry_at = (usage.last_retry_at + spacing).max(earliest);
        if usage.last_retry_at.since(now) > MAX_RETRY_AFTER {
            usage.last_retry_at = now + MAX_RETRY_AFTER;
        }
        usage.last_retry_at.since(now)
    }

    /// Returns the tokens in this daemon's copy of a customer's bucket; 0 for customers
    /// without a limit.
    pub fn level(&self, customer: u64) -> f64 {
        let index = self.find(customer);
        index.map_or(0.0, |it| self.customers[it].bucket.level())
    }

    /// Applies a report of another daemon: charges what that daemon admitted since its
    /// previous report.
    pub fn receive(&mut self, id: PeerId, incarnation: u64, counts: &[UsageCount], now: Timestamp) {
        let index = match self.peers.binary_search_by_key(&id, |it| it.id) {
            Ok(index) => index,
            Err(index) => {
                let peer = PeerUsage {
                    id,
                    incarnation,
                    last_received_at: now,
                    is_silent: false,
                    has_reported: false,
                    is_leaving: false,
                    counts: Vec::new(),
                };
                self.peers.insert(index, peer);
                index
            }
        };
        if self.peers[index].incarnation != incarnation {
            self.peers[index].incarnation = incarnation;
            self.peers[index].is_leaving = false;
            for count in &mut self.peers[index].counts {
                count.admitted = 0;
                count.times = None;
            }
        }
        self.peers[index].last_received_at = now;
        self.peers[index].is_silent = false;
        self.peers[index].has_reported = true;
        let is_recently_started = self.is_recently_started(now);
        for count in counts {
            let spent = self.peers[index].record(count, now);
            let Some(customer_index) = self.find(count.customer) else {
                continue;
            };
            let reserved = self.reserved_share(count.customer, now);
            let usage = &mut self.customers[customer_index];
            usage.all_recent.add(f64::from(spent.requests), now);
            let bucket = &mut usage.bucket;
            bucket.fill(reserved, now);
            bucket.charge(f64::from(spent.requests), spent.admitted_at, now);
            // Requests from before this daemon started are reflected in the levels of
            // the other daemons.
            if is_recently_started {
                bucket.lower_to(f64::from(count.level));
            }
        }
    }

    /// Records that a daemon is stopping. It still reports what it admits until then;
    /// afterwards nothing has to be reserved for it.
    pub fn leave(&mut self, id: PeerId) {
        if let Ok(index) = self.peers.binary_search_by_key(&id, |it| it.id) {
            self.peers[index].is_leaving = true;
        }
    }

    /// Sets the daemons that are expected to report, and removes all others: daemons
    /// lost permanently must not hold back a share indefinitely.
    pub fn set_members(&mut self, members: &[PeerId], now: Timestamp) {
        self.peers.retain(|it| members.contains(&it.id));
        for &id in members {
            if let Err(index) = self.peers.binary_search_by_key(&id, |it| it.id) {
                let peer = PeerUsage {
                    id,
                    incarnation: 0,
                    last_received_at: now,
                    is_silent: false,
                    has_reported: false,
                    is_leaving: false,
                    counts: Vec::new(),
                };
                self.peers.insert(index, peer);
            }
        }
    }

    /// Reserves what daemons that fell silent may spend, and settles late charges.
    pub fn tick(&mut self, now: Timestamp) {
        self.settle_late_charges();
        for index in 0..self.peers.len() {
            let peer = &self.peers[index];
            if peer.is_silent
                || peer.is_leaving
                || now.since(peer.last_received_at) < self.silent_after
            {
                continue;
            }
            self.peers[index].is_silent = true;
            // A daemon that has just started has little of the burst anyway. If it
            // reserved tokens for all daemons that start after it, a fleet that
            // restarts would reject customers who are well within their rates.
            if !self.peers[index].has_reported {
                continue;
            }
            for customer_index in 0..self.customers.len() {
                let customer = self.customers[customer_index].customer;
                let fraction = self.share_of(index, customer, now);
                self.customers[customer_index].bucket.discard_withheld();
                self.customers[customer_index].bucket.reserve(fraction);
            }
        }
    }

    /// Settles late charges up to the time for which all daemons have reported.
    fn settle_late_charges(&mut self) {
        let awaited = self.peers.iter().filter(|it| !it.is_accounted_for());
        let Some(confirmed_at) = awaited.map(|it| it.last_received_at).min() else {
            return;
        };
        for usage in &mut self.customers {
            usage.bucket.settle_late_charges(confirmed_at);
        }
    }

    /// Returns this daemon's report: the counts of customers used in the last seconds.
    pub fn own_counts(&mut self, now: Timestamp) -> Vec<UsageCount> {
        let mut counts = Vec::new();
        for customer_index in 0..self.customers.len() {
            let usage = &self.customers[customer_index];
            if now.since(usage.last_used) > SHARE_WINDOW * 2 {
                continue;
            }
            let reserved = self.reserved_share(usage.customer, now);
            let usage = &mut self.customers[customer_index];
            usage.bucket.fill(reserved, now);
            usage.reported = usage.own_admitted;
            counts.push(UsageCount {
                customer: usage.customer,
                admitted: usage.own_admitted,
                level: usage.bucket.level() as f32,
                times: Some(SpendingTimes {
                    sum: usage.own_time_sum,
                    told: clock_ticks(now),
                }),
            });
        }
        counts
    }

    fn find(&self, customer: u64) -> Option<usize> {
        self.customers
            .binary_search_by_key(&customer, |it| it.customer)
            .ok()
    }

    /// Returns the share of a customer's rate that silent daemons may be spending.
    fn reserved_share(&self, customer: u64, now: Timestamp) -> f64 {
        let mut reserved = 0.0;
        for index in 0..self.peers.len() {
            if self.peers[index].is_silent {
                reserved += self.share_of(index, customer, now);
            }
        }
        // Some of the rate is always left: a daemon that is cut off from all others
        // must keep serving.
        let min_left = 1.0 / (self.peers.len() as f64 + 1.0);
        reserved.min(1.0 - min_left)
    }

    /// Returns the share of a customer's tokens that daemons may have spent since their
    /// last report. For silent daemons it was reserved already.
    fn unconfirmed_share(&self, customer: u64, now: Timestamp) -> f64 {
        let (begin, full) = self.unconfirmed_after;
        let mut unconfirmed = 0.0;
        for (index, peer) in self.peers.iter().enumerate() {
            if !self.is_unconfirmed(peer, now) {
                continue;
            }
            let age = now.since(peer.last_received_at);
            let fraction = (age - begin).as_secs_f64() / (full - begin).as_secs_f64();
            unconfirmed += self.share_of(index, customer, now) * fraction.min(1.0);
        }
        unconfirmed.min(1.0)
    }

    /// Returns a daemon's share of a customer's rate: its share of the recent requests,
    /// or an even share if that is more. While no report arrives from it, the measured
    /// usage decays, but the even share stays.
    fn share_of(&self, index: usize, customer: u64, now: Timestamp) -> f64 {
        let even_share = self.even_share();
        let all_requests = self.find(customer).map_or(0.0, |customer_index| {
            self.customers[customer_index].all_recent.decayed(now)
        });
        if all_requests < 1.0 {
            return even_share;
        }
        even_share.max(self.peers[index].recent(customer, now) / all_requests)
    }

    /// Returns this daemon's share of a customer's recent requests, or an even share if
    /// there were none.
    fn own_share(&self, customer_index: usize, now: Timestamp) -> f64 {
        let usage = &self.customers[customer_index];
        let all_requests = usage.all_recent.decayed(now);
        match all_requests < 1.0 {
            true => self.even_share(),
            false => (usage.own_recent.decayed(now) / all_requests).min(1.0),
        }
    }

    fn even_share(&self) -> f64 {
        1.0 / (self.peers.len() as f64 + 1.0)
    }
}

impl PeerUsage {
    /// Returns whether no report is awaited from it: it is leaving, its share is
    /// reserved already, or it has never reported.
    fn is_accounted_for(&self) -> bool {
        self.is_silent || self.is_leaving || !self.has_reported
    }

    /// Records a count, and returns what was admitted since the previous one.
    ///
    /// The first count of a daemon may cover all the time since that daemon started. If it
    /// were charged, a daemon that has just started would reject customers for seconds
    /// because of requests from minutes ago. So counting starts from it, which misses the
    /// requests of one report interval.
    fn record(&mut self, count: &UsageCount, now: Timestamp) -> ReceivedSpending {
        let index = self
            .counts
            .binary_search_by_key(&count.customer, |it| it.customer);
        match index {
            Ok(index) => self.counts[index].record(count, now),
            Err(index) => {
                let initial = PeerCount {
                    customer: count.customer,
                    admitted: count.admitted,
                    times: count.times,
                    recent: RecentCount::default(),
                };
                self.counts.insert(index, initial);
                ReceivedSpending {
                    requests: 0,
                    admitted_at: now,
                }
            }
        }
    }

    fn recent(&self, customer: u64, now: Timestamp) -> f64 {
        match self
            .counts
            .binary_search_by_key(&customer, |it| it.customer)
        {
            Ok(index) => self.counts[index].recent.decayed(now),
            Err(_) => 0.0,
        }
    }
}

fn unconfirmed_limits(interval: Duration) -> (Duration, Duration) {
    let (begin, full) = UNCONFIRMED_INTERVALS;
    (interval.mul_f64(begin), interval.mul_f64(full))
}
