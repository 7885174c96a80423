//! The usage of one customer, as one daemon knows it.

use std::time::Duration;

use super::{
    CustomerLimit, SpendingTimes, UsageBucket, UsageCount,
    earlier_charges::EarlierCharges,
    peer_usage::{RecentCount, SHARE_WINDOW},
    usage_count::clock_ticks,
};
use crate::Timestamp;

/// The fraction of a customer's tokens that a daemon admits before it reports at once.
/// If it always waited for the next regular report, a customer could spend all of its
/// tokens at each daemon meanwhile.
const UNREPORTED_LEVEL_FRACTION: f64 = 0.05;
/// The lower bound of that, in requests, for customers with hardly any tokens.
const MIN_UNREPORTED: f64 = 2.0;

/// For how many intervals after a change every report names a customer's count.
const CHANGE_REPEAT_INTERVALS: u32 = 3;
/// In one of how many intervals reports name it after that.
const REMINDER_INTERVALS: u64 = 4;

/// The longest delay after which a rejected caller is asked to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);
/// The lower bound of a daemon's share of a customer's tokens when retry times are
/// computed.
const MIN_SHARE: f64 = 0.05;

/// The usage of one customer.
#[derive(Clone, Debug)]
pub(super) struct CustomerUsage {
    pub(super) customer: u64,
    pub(super) bucket: UsageBucket,
    /// Tokens that may be spent although other daemons may have spent them.
    pub(super) allowance: f64,
    /// The same as a share of the rate, over the window of the tolerance.
    allowance_rate_share: f64,
    /// The share of the rate that silent daemons may be spending. It is kept, since summing
    /// over them for each customer of each message would take all of a daemon's time while
    /// a zone is cut off.
    pub(super) silent_share: f64,
    own_admitted: u32,
    /// The sum of the times at which these were admitted.
    own_time_sum: u16,
    /// How many of them were reported to the other daemons.
    reported: u32,
    own_recent: RecentCount,
    /// What all daemons admitted recently. It is kept as one count, since summing over
    /// all daemons for each message would take all of a daemon's time in a large fleet.
    pub(super) all_recent: RecentCount,
    pub(super) earlier_charges: EarlierCharges,
    last_used: Timestamp,
    /// The latest retry time given to a rejected caller.
    last_retry_at: Timestamp,
}

impl CustomerUsage {
    pub(super) fn new(limit: &CustomerLimit, level: f64, now: Timestamp) -> Self {
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

    pub(super) fn set_allowance(&mut self, allowance: f64, window: Duration) {
        self.bucket.set_allowance(allowance);
        self.allowance = allowance;
        let per_window = self.bucket.rate() * window.as_secs_f64();
        self.allowance_rate_share = match per_window > 0.0 {
            true => self.allowance / per_window,
            false => 0.0,
        };
    }

    /// Records that this daemon admitted a request.
    pub(super) fn record_admission(&mut self, now: Timestamp) {
        self.own_admitted = self.own_admitted.wrapping_add(1);
        self.own_time_sum = self.own_time_sum.wrapping_add(clock_ticks(now));
        self.own_recent.add(1.0, now);
        self.all_recent.add(1.0, now);
        self.last_used = now;
    }

    /// Returns the share of the rate that silent daemons may be spending, as far as it
    /// exceeds the allowance.
    pub(super) fn reserved_share(&self, even_share: f64) -> f64 {
        // An even share is always left: a daemon that is cut off from all others must keep
        // serving.
        (self.silent_share.min(1.0 - even_share) - self.allowance_rate_share).max(0.0)
    }

    /// Returns this daemon's share of the recent requests, or an even share if there were
    /// none.
    fn own_share(&self, even_share: f64, now: Timestamp) -> f64 {
        let all_requests = self.all_recent.decayed(now);
        match all_requests < 1.0 {
            true => even_share,
            false => (self.own_recent.decayed(now) / all_requests).min(1.0),
        }
    }

    /// Returns the delay after which a rejected caller may retry.
    ///
    /// The next token comes soon, but only one of the many callers rejected within the
    /// same second can have it. Given the same time, they would all be rejected again.
    /// So each gets a time of its own, spaced by the interval at which this daemon's
    /// share of the tokens comes in.
    pub(super) fn assign_retry_after(
        &mut self,
        even_share: f64,
        wait: Duration,
        now: Timestamp,
    ) -> Duration {
        let own_share = self.own_share(even_share, now).max(MIN_SHARE);
        let spacing = Duration::from_secs_f64(1.0 / (self.bucket.rate() * own_share).max(0.2));
        let earliest = now + wait;
        self.last_retry_at = (self.last_retry_at + spacing).max(earliest);
        if self.last_retry_at.since(now) > MAX_RETRY_AFTER {
            self.last_retry_at = now + MAX_RETRY_AFTER;
        }
        self.last_retry_at.since(now)
    }

    /// Returns whether so many requests are unreported that the other daemons need a report
    /// at once.
    pub(super) fn is_report_urgent(&self) -> bool {
        let max_unreported = (self.bucket.level() * UNREPORTED_LEVEL_FRACTION).max(MIN_UNREPORTED);
        f64::from(self.own_admitted.wrapping_sub(self.reported)) >= max_unreported
    }

    /// Returns whether a report names the customer: right after a change, so that two lost
    /// datagrams in a row cost nothing, and in every fourth interval for some seconds more,
    /// for daemons that received none of these reports.
    pub(super) fn is_reported(&self, report_interval: Duration, now: Timestamp) -> bool {
        let age = now.since(self.last_used);
        if age <= report_interval * CHANGE_REPEAT_INTERVALS {
            return true;
        }
        let interval = now.as_micros() / report_interval.as_micros().max(1) as u64;
        age <= SHARE_WINDOW * 2
            && interval % REMINDER_INTERVALS == self.customer % REMINDER_INTERVALS
    }

    /// Returns the count for a report, and records that it is reported.
    pub(super) fn report(&mut self, even_share: f64, now: Timestamp) -> UsageCount {
        let reserved = self.reserved_share(even_share);
        self.bucket.fill(reserved, now);
        self.reported = self.own_admitted;
        UsageCount {
            customer: self.customer,
            admitted: self.own_admitted,
            level: self.bucket.level() as f32,
            times: Some(SpendingTimes {
                sum: self.own_time_sum,
                told: clock_ticks(now),
            }),
        }
    }
}
