//! The usage of all customers at one other daemon.

use std::time::Duration;

use super::{PeerId, SpendingTimes, UsageCount};
use crate::Timestamp;

/// The time over which a daemon's share of a customer's requests is measured.
pub(super) const SHARE_WINDOW: Duration = Duration::from_secs(5);

/// One run of another daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerIncarnation {
    /// The daemon.
    pub id: PeerId,
    /// A random number that distinguishes its runs.
    pub number: u64,
    /// How long it has run; `None` if it doesn't report that.
    ///
    /// This is a duration because the receiver's clock starts with its own process: the
    /// start of a peer that has run for longer has no timestamp on that clock.
    pub uptime: Option<Duration>,
}

#[derive(Clone, Debug)]
pub(super) struct PeerUsage {
    pub(super) id: PeerId,
    incarnation: u64,
    pub(super) last_received_at: Timestamp,
    pub(super) is_silent: bool,
    /// Whether it has reported since this daemon started.
    pub(super) has_reported: bool,
    /// Whether it announced that it stops: it spends nothing once it is gone.
    pub(super) is_leaving: bool,
    /// Whether all of its requests so far are to be charged: it started when this daemon
    /// did, or later.
    is_counted_from_start: bool,
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
pub(super) struct ReceivedSpending {
    /// Requests admitted since the previous report.
    pub(super) requests: u32,
    /// When they were admitted on average; the present time if that isn't known.
    pub(super) admitted_at: Timestamp,
    /// Whether these are all requests since the daemon's start.
    pub(super) is_total: bool,
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
            is_total: false,
        }
    }
}

/// A count of recent requests that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentCount {
    count: f64,
    updated_at: Timestamp,
}

impl RecentCount {
    pub(super) fn decayed(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64() / SHARE_WINDOW.as_secs_f64();
        self.count * (-age).exp()
    }

    pub(super) fn add(&mut self, requests: f64, now: Timestamp) {
        self.count = self.decayed(now) + requests;
        self.updated_at = now;
    }
}

impl PeerUsage {
    /// Creates the entry of a daemon that is expected to report.
    pub(super) fn new(id: PeerId, now: Timestamp) -> Self {
        PeerUsage {
            id,
            incarnation: 0,
            last_received_at: now,
            is_silent: false,
            has_reported: false,
            is_leaving: false,
            is_counted_from_start: false,
            counts: Vec::new(),
        }
    }

    /// Records that a report of an incarnation arrived. Returns whether it is another
    /// incarnation than before, which was killed without a last report.
    ///
    /// `counted_for` is how long ago the first requests were admitted that this daemon has
    /// to charge.
    pub(super) fn record_report(
        &mut self,
        incarnation: PeerIncarnation,
        counted_for: Duration,
        now: Timestamp,
    ) -> bool {
        let is_new = !self.has_reported || self.incarnation != incarnation.number;
        let was_killed = is_new && self.has_reported && !self.is_leaving;
        if is_new {
            self.incarnation = incarnation.number;
            self.is_leaving = false;
            self.is_counted_from_start =
                self.has_reported || incarnation.uptime.is_some_and(|it| it <= counted_for);
            for count in &mut self.counts {
                // Its totals begin with zero again.
                count.admitted = 0;
                count.times = count.times.map(|_| SpendingTimes::default());
            }
        }
        self.last_received_at = now;
        self.is_silent = false;
        self.has_reported = true;
        was_killed
    }

    /// Returns how many requests of a customer it probably admitted within `span`.
    pub(super) fn expected_requests(&self, customer: u64, span: Duration, now: Timestamp) -> f64 {
        self.recent(customer, now) * span.as_secs_f64() / SHARE_WINDOW.as_secs_f64()
    }

    /// Returns whether no report is awaited from it: it is leaving, its share is
    /// reserved already, or it has never reported.
    pub(super) fn is_accounted_for(&self) -> bool {
        self.is_silent || self.is_leaving || !self.has_reported
    }

    /// Records a count, and returns what was admitted since the previous one.
    ///
    /// The first count of a daemon covers all the time since that daemon started. If it
    /// were always charged, a daemon that has just started would reject customers for
    /// seconds because of requests from minutes ago. So counting starts from it unless that
    /// daemon has just started too.
    pub(super) fn record(&mut self, count: &UsageCount, now: Timestamp) -> ReceivedSpending {
        let index = self
            .counts
            .binary_search_by_key(&count.customer, |it| it.customer);
        match index {
            Ok(index) => self.counts[index].record(count, now),
            Err(index) => {
                let mut peer_count = PeerCount {
                    customer: count.customer,
                    admitted: count.admitted,
                    times: count.times,
                    recent: RecentCount::default(),
                };
                if self.is_counted_from_start {
                    // Its totals began with zero.
                    peer_count.admitted = 0;
                    peer_count.times = count.times.map(|_| SpendingTimes::default());
                }
                let spending = peer_count.record(count, now);
                self.counts.insert(index, peer_count);
                ReceivedSpending {
                    is_total: self.is_counted_from_start,
                    ..spending
                }
            }
        }
    }

    pub(super) fn recent(&self, customer: u64, now: Timestamp) -> f64 {
        match self
            .counts
            .binary_search_by_key(&customer, |it| it.customer)
        {
            Ok(index) => self.counts[index].recent.decayed(now),
            Err(_) => 0.0,
        }
    }
}
