//! The usage of all customers, as one daemon knows it.

use std::time::Duration;

use super::{
    CustomerLimit, PeerId, PeerIncarnation, RateTolerance, UsageCount,
    customer_usage::CustomerUsage, peer_shares::PeerShares,
};
use crate::Timestamp;

/// The longest time between two reports of a daemon, unless [`UsageTracker::set_interval`]
/// changes it.
const DEFAULT_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// The fraction of its burst that a customer has at least at a daemon that has just started
/// and doesn't know what was spent before. If all daemons restart at once, this is what can
/// be spent twice: a larger fraction would overshoot more, a smaller one would reject
/// requests within the customer's limit (`tests/usage_restart.rs`,
/// `tests/usage_rolling_restart.rs`).
const RESTART_BURST_FRACTION: f64 = 0.15;

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

/// How often the shares of silent daemons are computed: they change over
/// [`super::peer_usage::SHARE_WINDOW`].
const SILENT_SHARE_INTERVAL: Duration = Duration::from_millis(250);

/// The longest time between the starts of daemons that start together, such as after a
/// power loss: all of them count from the first requests of any.
const MAX_START_SPREAD: Duration = Duration::from_secs(2);
/// The longest run of a peer whose requests are charged from its start on when it is heard
/// for the first time. A peer that has run for longer was known before, such as one that
/// still reports while it leaves, and its requests were charged then.
const MAX_FIRST_REPORT_AGE: Duration = Duration::from_secs(5);

/// The usage of all customers, as one daemon knows it.
#[derive(Clone, Debug, Default)]
pub struct UsageTracker {
    /// Sorted by the customer's hash.
    customers: Vec<CustomerUsage>,
    peers: PeerShares,
    started_at: Timestamp,
    /// How long before this daemon the first one started whose requests are charged from
    /// its start.
    head_start: Duration,
    tolerance: RateTolerance,
    /// When the shares of silent daemons were computed.
    silent_shares_at: Timestamp,
}

impl UsageTracker {
    /// Creates the tracker of a daemon that starts now.
    pub fn new(now: Timestamp) -> Self {
        UsageTracker {
            started_at: now,
            peers: PeerShares::new(DEFAULT_REPORT_INTERVAL),
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
        self.peers.set_interval(interval);
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
        let (reserved, unconfirmed) = self.missing_shares(index, now);
        let even_share = self.peers.even_share();
        let usage = &mut self.customers[index];
        usage.bucket.fill_unconfirmed(reserved, unconfirmed, now);
        if let Err(wait) = usage.bucket.take(unconfirmed) {
            return Err(usage.assign_retry_after(even_share, wait, now));
        }
        usage.record_admission(now);
        Ok(())
    }

    /// Returns whether so many requests of a customer are unreported that the other
    /// daemons need a report at once.
    pub fn is_report_urgent(&self, customer: u64) -> bool {
        let index = self.find(customer);
        index.is_some_and(|it| self.customers[it].is_report_urgent())
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
        let (reserved, unconfirmed) = self.missing_shares(index, now);
        let even_share = self.peers.even_share();
        let usage = &mut self.customers[index];
        usage.bucket.fill_unconfirmed(reserved, unconfirmed, now);
        let mut copy = usage.bucket;
        match copy.take(unconfirmed) {
            Ok(()) => Ok(()),
            Err(wait) => Err(usage.assign_retry_after(even_share, wait, now)),
        }
    }

    /// Returns whether peers may be asked for reports. While a large fleet starts, its daemons
    /// would be busy with these reports alone.
    fn may_request_reports(&self, now: Timestamp) -> bool {
        !self.is_recently_started(now) || self.peers.len() <= MAX_PEERS_ASKED_AT_START
    }

    /// Returns whether this daemon has just started, and doesn't know what was spent before.
    fn is_recently_started(&self, now: Timestamp) -> bool {
        now.since(self.started_at) < self.peers.silent_after() * 2
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
        let (reserved, unconfirmed) = self.missing_shares(index, now);
        let is_admitted = |unconfirmed: f64| {
            let mut bucket = self.customers[index].bucket;
            bucket.fill_unconfirmed(reserved, unconfirmed, now);
            bucket.take(unconfirmed).is_ok()
        };
        !is_admitted(unconfirmed) && is_admitted(0.0)
    }

    /// Returns the daemons whose last report is so old that tokens are left to them.
    pub fn unconfirmed_peers(&self, now: Timestamp) -> Vec<PeerId> {
        self.peers.unconfirmed(now)
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
        let index = self.peers.index(peer.id, now);
        let unreported = self.peers.unreported_span(index, peer, now);
        let own_uptime = now.since(self.started_at);
        let counted_for = own_uptime + MAX_START_SPREAD;
        let was_silent = self.peers.peer(index).is_silent;
        let charged_for = counted_for.min(MAX_FIRST_REPORT_AGE);
        let was_killed = self
            .peers
            .peer_mut(index)
            .record_report(peer, charged_for, now);
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
            let spent = self.peers.peer_mut(index).record(count, now);
            let Some(customer_index) = self.find(count.customer) else {
                continue;
            };
            let usage = &mut self.customers[customer_index];
            let reserved = usage.reserved_share(self.peers.even_share());
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

    /// Charges what a daemon that was killed probably admitted since its last report.
    fn charge_unreported(&mut self, index: usize, span: Duration, now: Timestamp) {
        let peer = self.peers.peer(index);
        for usage in &mut self.customers {
            let requests = peer.expected_requests(usage.customer, span, now);
            usage.bucket.charge(requests, now, now);
        }
    }

    /// Records that a daemon is stopping. It still reports what it admits until then;
    /// afterwards nothing has to be reserved for it.
    pub fn leave(&mut self, id: PeerId) {
        self.peers.leave(id);
    }

    /// Sets the daemons that are expected to report, and removes all others: daemons
    /// lost permanently must not hold back a share indefinitely.
    pub fn set_members(&mut self, members: &[PeerId], now: Timestamp) {
        self.peers.set_members(members, now);
        self.update_silent_shares(now);
    }

    /// Reserves what daemons that fell silent may spend, and settles late charges.
    pub fn tick(&mut self, now: Timestamp) {
        self.settle_late_charges();
        let silent = self.peers.fallen_silent(now);
        // A daemon that has just started has little of the burst anyway. If it reserved
        // tokens for all daemons that start after it, a fleet that restarts would reject
        // customers who are well within their rates.
        let is_reserving = silent.iter().any(|it| self.peers.peer(*it).has_reported);
        let before = match is_reserving {
            true => self.silent_shares(&self.peers.reserving(), now),
            false => Vec::new(),
        };
        for index in silent {
            self.peers.peer_mut(index).is_silent = true;
        }
        if is_reserving || now.since(self.silent_shares_at) >= SILENT_SHARE_INTERVAL {
            self.update_silent_shares(now);
        }
        if !is_reserving {
            return;
        }
        let after = self.silent_shares(&self.peers.reserving(), now);
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
            let all_requests = usage.all_recent.decayed(now);
            let share = |it: &usize| self.peers.share_of(*it, usage.customer, all_requests, now);
            silent.iter().map(share).sum()
        };
        self.customers.iter().map(share_of_silent).collect()
    }

    fn update_silent_shares(&mut self, now: Timestamp) {
        let shares = self.silent_shares(&self.peers.silent(), now);
        for (usage, share) in self.customers.iter_mut().zip(shares) {
            usage.silent_share = share;
        }
        self.silent_shares_at = now;
    }

    /// Settles late charges up to the time for which all daemons have reported.
    fn settle_late_charges(&mut self) {
        let Some(confirmed_at) = self.peers.confirmed_at() else {
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
        let even_share = self.peers.even_share();
        let interval = self.peers.report_interval();
        let reported = self
            .customers
            .iter_mut()
            .filter(|it| it.is_reported(interval, now));
        reported.map(|it| it.report(even_share, now)).collect()
    }

    fn find(&self, customer: u64) -> Option<usize> {
        self.customers
            .binary_search_by_key(&customer, |it| it.customer)
            .ok()
    }

    /// Returns the shares of a customer's tokens that silent daemons may be spending beyond
    /// the allowance, and that unconfirmed ones may have spent.
    fn missing_shares(&self, index: usize, now: Timestamp) -> (f64, f64) {
        let usage = &self.customers[index];
        let all_requests = usage.all_recent.decayed(now);
        let unconfirmed = self
            .peers
            .unconfirmed_share(usage.customer, all_requests, now);
        (usage.reserved_share(self.peers.even_share()), unconfirmed)
    }
}
