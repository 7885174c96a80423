//! The usage of all customers, as one daemon knows it.

use std::time::Duration;

use super::{
    CustomerLimit, PeerId, PeerIncarnation, RateTolerance, SpendingTimes, UsageBucket, UsageCount,
    earlier_charges::EarlierCharges,
    peer_usage::{PeerUsage, RecentCount, SHARE_WINDOW},
    usage_count::clock_ticks,
};
use crate::Timestamp;

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
/// The fraction of its burst that a customer has at least at a daemon that has just started
/// and doesn't know what was spent before. If all daemons restart at once, this is what can
/// be spent twice: a larger fraction would overshoot more, a smaller one would reject
/// requests within the customer's limit (`tests/usage_restart.rs`,
/// `tests/usage_rolling_restart.rs`).
const RESTART_BURST_FRACTION: f64 = 0.15;

/// The fraction of a customer's tokens that a daemon admits before it reports at once.
/// If it always waited for the next regular report, a customer could spend all of its
/// tokens at each daemon meanwhile.
const UNREPORTED_LEVEL_FRACTION: f64 = 0.05;
/// The lower bound of that, in requests, for customers with hardly any tokens.
const MIN_UNREPORTED: f64 = 2.0;

/// The part of a customer's allowance ([`RateTolerance::allowance`]) that a daemon has that
/// has just started and doesn't know what was spent before.
const RESTART_ALLOWANCE_PART: f64 = 0.3;
/// The part of it that a daemon has for usage that isn't confirmed, and that each side of a
/// network partition has for what the other may admit.
const UNHEARD_ALLOWANCE_PART: f64 = 0.7;

/// The most peers that are asked for reports by a daemon that has just started. If all daemons
/// of a fleet start together and each asks all others in every interval, the reports grow by
/// the square of their number.
const MAX_PEERS_ASKED_AT_START: usize = 16;

/// For how many intervals after a change every report names a customer's count.
const CHANGE_REPEAT_INTERVALS: u32 = 3;
/// In one of how many intervals reports name it after that.
const REMINDER_INTERVALS: u64 = 4;

/// How often the shares of silent daemons are computed: they change over
/// [`SHARE_WINDOW`].
const SILENT_SHARE_INTERVAL: Duration = Duration::from_millis(250);

/// The longest time between the starts of daemons that start together, such as after a
/// power loss: all of them count from the first requests of any.
const MAX_START_SPREAD: Duration = Duration::from_secs(2);
/// The longest run of a peer whose requests are charged from its start on when it is heard
/// for the first time. A peer that has run for longer was known before, such as one that
/// still reports while it leaves, and its requests were charged then.
const MAX_FIRST_REPORT_AGE: Duration = Duration::from_secs(5);

/// The longest delay after which a rejected caller is asked to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);
/// The lower bound of a daemon's share of a customer's tokens when retry times are
/// computed.
const MIN_SHARE: f64 = 0.05;

/// The usage of all customers, as one daemon knows it.
#[derive(Clone, Debug, Default)]
pub struct UsageTracker {
    /// Sorted by the customer's hash.
    customers: Vec<CustomerUsage>,
    /// Sorted by id.
    peers: Vec<PeerUsage>,
    started_at: Timestamp,
    /// How long before this daemon the first one started whose requests are charged from
    /// its start.
    head_start: Duration,
    report_interval: Duration,
    silent_after: Duration,
    unconfirmed_after: (Duration, Duration),
    tolerance: RateTolerance,
    /// When the shares of silent daemons were computed.
    silent_shares_at: Timestamp,
}

#[derive(Clone, Debug)]
struct CustomerUsage {
    customer: u64,
    bucket: UsageBucket,
    /// Tokens that may be spent although other daemons may have spent them.
    allowance: f64,
    /// The same as a share of the rate, over the window of the tolerance.
    allowance_rate_share: f64,
    /// The share of the rate that silent daemons may be spending. It is kept, since summing
    /// over them for each customer of each message would take all of a daemon's time while
    /// a zone is cut off.
    silent_share: f64,
    own_admitted: u32,
    /// The sum of the times at which these were admitted.
    own_time_sum: u16,
    /// How many of them were reported to the other daemons.
    reported: u32,
    own_recent: RecentCount,
    /// What all daemons admitted recently. It is kept as one count, since summing over
    /// all daemons for each message would take all of a daemon's time in a large fleet.
    all_recent: RecentCount,
    earlier_charges: EarlierCharges,
    last_used: Timestamp,
    /// The latest retry time given to a rejected caller.
    last_retry_at: Timestamp,
}

impl CustomerUsage {
    fn new(limit: &CustomerLimit, level: f64, now: Timestamp) -> Self {
        CustomerUsage {
            customer: limit.customer,
            bucket: UsageBucket::new(limit.rate, limit.burst.max(1.0), level, now),
            allowance: 0.0,
            allowance_rate_share: 0.0,
            silent_share: 0.0,
            own_admitted: 0,
            own_time_sum: 0,
            reported: 0,
            own_recent: RecentCount::default(),
            all_recent: RecentCount::default(),
            earlier_charges: EarlierCharges::default(),
            last_used: now,
            last_retry_at: now,
        }
    }

    fn set_allowance(&mut self, allowance: f64, window: Duration) {
        self.bucket.set_allowance(allowance);
        self.allowance = allowance;
        let per_window = self.bucket.rate() * window.as_secs_f64();
        self.allowance_rate_share = match per_window > 0.0 {
            true => self.allowance / per_window,
            false => 0.0,
        };
    }
}

impl UsageTracker {
    /// Creates the tracker of a daemon that starts now.
    pub fn new(now: Timestamp) -> Self {
        UsageTracker {
            started_at: now,
            report_interval: DEFAULT_REPORT_INTERVAL,
            silent_after: DEFAULT_REPORT_INTERVAL.mul_f64(SILENT_INTERVALS),
            unconfirmed_after: unconfirmed_limits(DEFAULT_REPORT_INTERVAL),
            ..UsageTracker::default()
        }
    }

    /// Sets how far customers' limits may be exceeded. It applies to limits that are set
    /// afterwards.
    pub fn set_tolerance(&mut self, tolerance: RateTolerance) {
        self.tolerance = tolerance;
    }

    /// Sets the longest time between two reports of a daemon. Daemons of a large fleet
    /// report less often.
    pub fn set_interval(&mut self, interval: Duration) {
        self.report_interval = interval;
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
            let allowance = self.tolerance.allowance(limit);
            let mut usage = match self.find(limit.customer) {
                Some(index) => {
                    let mut usage = self.customers[index].clone();
                    usage.bucket.set_limit(limit.rate, limit.burst);
                    usage
                }
                None => {
                    let level = match is_initial {
                        true => (limit.burst * RESTART_BURST_FRACTION)
                            .max(allowance * RESTART_ALLOWANCE_PART),
                        false => limit.burst,
                    };
                    CustomerUsage::new(limit, level.max(1.0), now)
                }
            };
            usage.set_allowance(allowance * UNHEARD_ALLOWANCE_PART, self.tolerance.window);
            customers.push(usage);
        }
        customers.sort_by_key(|it| it.customer);
        self.customers = customers;
        self.update_silent_shares(now);
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
        let reserved = self.reserved_share(index);
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
        let max_unreported = (usage.bucket.level() * UNREPORTED_LEVEL_FRACTION).max(MIN_UNREPORTED);
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
        let reserved = self.reserved_share(index);
        let unconfirmed = self.unconfirmed_share(customer, now);
        let bucket = &mut self.customers[index].bucket;
        bucket.fill_unconfirmed(reserved, unconfirmed, now);
        let mut copy = *bucket;
        match copy.take(unconfirmed) {
            Ok(()) => Ok(()),
            Err(wait) => Err(self.assign_retry_after(index, wait, now)),
        }
    }

    /// Returns whether peers may be asked for reports. While a large fleet starts, its daemons
    /// would be busy with these reports alone.
    fn may_request_reports(&self, now: Timestamp) -> bool {
        !self.is_recently_started(now) || self.peers.len() <= MAX_PEERS_ASKED_AT_START
    }

    /// Returns whether this daemon has just started, and doesn't know what was spent before.
    fn is_recently_started(&self, now: Timestamp) -> bool {
        now.since(self.started_at) < self.silent_after * 2
    }

    /// Returns whether a request of a customer would be rejected only because peers may
    /// have admitted requests since their last report. A new report from those peers
    /// ([`UsageTracker::unconfirmed_peers`]) decides it.
    pub fn is_rejected_as_unconfirmed(&self, customer: u64, now: Timestamp) -> bool {
        let Some(index) = self
            .find(customer)
            .filter(|_| self.may_request_reports(now))
        else {
            return false;
        };
        let reserved = self.reserved_share(index);
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
    pub fn receive(&mut self, peer: PeerIncarnation, counts: &[UsageCount], now: Timestamp) {
        let index = self.peer_index(peer.id, now);
        let unreported = self.unreported_span(index, peer, now);
        let own_uptime = now.since(self.started_at);
        let counted_for = own_uptime + MAX_START_SPREAD;
        let was_silent = self.peers[index].is_silent;
        let charged_for = counted_for.min(MAX_FIRST_REPORT_AGE);
        let was_killed = self.peers[index].record_report(peer, charged_for, now);
        let is_level_complete =
            self.is_recently_started(now) && peer.uptime.is_none_or(|it| it > counted_for);
        let head_start = peer.uptime.unwrap_or_default().saturating_sub(own_uptime);
        if head_start <= MAX_START_SPREAD {
            self.head_start = self.head_start.max(head_start);
        }
        if was_killed {
            self.charge_unreported(index, unreported, now);
        }
        if was_silent {
            self.update_silent_shares(now);
        }
        for count in counts {
            let spent = self.peers[index].record(count, now);
            let Some(customer_index) = self.find(count.customer) else {
                continue;
            };
            let reserved = self.reserved_share(customer_index);
            let usage = &mut self.customers[customer_index];
            usage.all_recent.add(f64::from(spent.requests), now);
            let bucket = &mut usage.bucket;
            bucket.fill(reserved, now);
            bucket.charge(f64::from(spent.requests), spent.admitted_at, now);
            if spent.is_total && !head_start.is_zero() {
                usage.earlier_charges.record(f64::from(spent.requests));
            }
            // Requests from before this daemon started are reflected in the level of a
            // daemon that has counted for longer. The levels of daemons that started
            // together lack each other's latest requests: if each lowered its level to the
            // lowest, these requests would be charged several times.
            if is_level_complete {
                let gained = bucket.rate() * self.head_start.as_secs_f64();
                bucket.refund(usage.earlier_charges.refund(gained));
                bucket.lower_to(f64::from(count.level));
            }
        }
    }

    fn peer_index(&mut self, id: PeerId, now: Timestamp) -> usize {
        match self.peers.binary_search_by_key(&id, |it| it.id) {
            Ok(index) => index,
            Err(index) => {
                self.peers.insert(index, PeerUsage::new(id, now));
                index
            }
        }
    }

    /// Returns for how long a daemon that was killed had probably not reported: half an
    /// interval, unless it restarted sooner after its last report.
    fn unreported_span(&self, index: usize, peer: PeerIncarnation, now: Timestamp) -> Duration {
        let unheard = now.since(self.peers[index].last_received_at);
        let restart_delay = unheard.saturating_sub(peer.uptime.unwrap_or_default());
        restart_delay.min(self.report_interval) / 2
    }

    /// Charges what a daemon that was killed probably admitted since its last report.
    fn charge_unreported(&mut self, index: usize, span: Duration, now: Timestamp) {
        for usage in &mut self.customers {
            let requests = self.peers[index].expected_requests(usage.customer, span, now);
            usage.bucket.charge(requests, now, now);
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
            self.peer_index(id, now);
        }
        self.update_silent_shares(now);
    }

    /// Reserves what daemons that fell silent may spend, and settles late charges.
    pub fn tick(&mut self, now: Timestamp) {
        self.settle_late_charges();
        let fell_silent = |it: &PeerUsage| {
            !it.is_silent && !it.is_leaving && now.since(it.last_received_at) >= self.silent_after
        };
        let silent: Vec<usize> = (0..self.peers.len())
            .filter(|it| fell_silent(&self.peers[*it]))
            .collect();
        // A daemon that has just started has little of the burst anyway. If it reserved
        // tokens for all daemons that start after it, a fleet that restarts would reject
        // customers who are well within their rates.
        let is_reserving = silent.iter().any(|it| self.peers[*it].has_reported);
        let before = match is_reserving {
            true => self.silent_shares(&self.reserving_peers(), now),
            false => Vec::new(),
        };
        for index in silent {
            self.peers[index].is_silent = true;
        }
        if is_reserving || now.since(self.silent_shares_at) >= SILENT_SHARE_INTERVAL {
            self.update_silent_shares(now);
        }
        if !is_reserving {
            return;
        }
        let after = self.silent_shares(&self.reserving_peers(), now);
        let shares = before.into_iter().zip(after);
        for (usage, (before, after)) in self.customers.iter_mut().zip(shares) {
            let burst = usage.bucket.burst();
            let reserved = |share: f64| (share * burst - usage.allowance).max(0.0);
            let tokens = reserved(after) - reserved(before);
            usage.bucket.discard_withheld();
            usage.bucket.reserve(tokens);
        }
    }

    /// Returns the share of each customer's tokens that `silent` daemons may be spending.
    fn silent_shares(&self, silent: &[usize], now: Timestamp) -> Vec<f64> {
        let share_of_silent = |usage: &CustomerUsage| {
            let customer = usage.customer;
            silent
                .iter()
                .map(|it| self.share_of(*it, customer, now))
                .sum()
        };
        self.customers.iter().map(share_of_silent).collect()
    }

    fn update_silent_shares(&mut self, now: Timestamp) {
        let shares = self.silent_shares(&self.silent_peers(), now);
        for (usage, share) in self.customers.iter_mut().zip(shares) {
            usage.silent_share = share;
        }
        self.silent_shares_at = now;
    }

    /// Returns the indices of the silent daemons.
    fn silent_peers(&self) -> Vec<usize> {
        let indices = 0..self.peers.len();
        indices.filter(|it| self.peers[*it].is_silent).collect()
    }

    /// Returns the indices of the silent daemons that had reported since this one started.
    fn reserving_peers(&self) -> Vec<usize> {
        let mut silent = self.silent_peers();
        silent.retain(|it| self.peers[*it].has_reported);
        silent
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

    /// Returns this daemon's report: the counts of customers used since the last reports,
    /// and some of those used in the last seconds.
    ///
    /// Most customers of a large fleet send a daemon a request every few seconds, so that
    /// counts which the others have would be most of what a report says.
    pub fn own_counts(&mut self, now: Timestamp) -> Vec<UsageCount> {
        let mut counts = Vec::new();
        for customer_index in 0..self.customers.len() {
            let usage = &self.customers[customer_index];
            if !self.is_reported(usage, now) {
                continue;
            }
            let reserved = self.reserved_share(customer_index);
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

    /// Returns whether a report names a customer: right after a change, so that two lost
    /// datagrams in a row cost nothing, and in every fourth interval for some seconds more,
    /// for daemons that received none of these reports.
    fn is_reported(&self, usage: &CustomerUsage, now: Timestamp) -> bool {
        let age = now.since(usage.last_used);
        if age <= self.report_interval * CHANGE_REPEAT_INTERVALS {
            return true;
        }
        let interval = now.as_micros() / self.report_interval.as_micros().max(1) as u64;
        age <= SHARE_WINDOW * 2
            && interval % REMINDER_INTERVALS == usage.customer % REMINDER_INTERVALS
    }

    fn find(&self, customer: u64) -> Option<usize> {
        self.customers
            .binary_search_by_key(&customer, |it| it.customer)
            .ok()
    }

    /// Returns the share of a customer's rate that silent daemons may be spending, as far as
    /// it exceeds the allowance.
    fn reserved_share(&self, customer_index: usize) -> f64 {
        let usage = &self.customers[customer_index];
        // Some of the rate is always left: a daemon that is cut off from all others
        // must keep serving.
        let min_left = 1.0 / (self.peers.len() as f64 + 1.0);
        (usage.silent_share.min(1.0 - min_left) - usage.allowance_rate_share).max(0.0)
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

fn unconfirmed_limits(interval: Duration) -> (Duration, Duration) {
    let (begin, full) = UNCONFIRMED_INTERVALS;
    (interval.mul_f64(begin), interval.mul_f64(full))
}
