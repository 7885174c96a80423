//! The other daemons: which of them are silent or unconfirmed, and what share of a
//! customer's rate each may be spending.

use std::time::Duration;

use super::{PeerId, PeerIncarnation, peer_usage::PeerUsage};
use crate::Timestamp;

/// A daemon counts as silent after this many intervals without a report: that allows
/// for one lost datagram and some delay.
const SILENT_INTERVALS: f64 = 2.4;
/// Intervals without a report over which the tokens left to a daemon grow from none to
/// all that it may spend. Without this, both sides of a network partition would spend
/// the whole bucket before they notice it: 690 requests in a window for 614 in
/// `tests/usage.rs`.
const UNCONFIRMED_INTERVALS: (f64, f64) = (0.35, 1.2);

/// The daemons that are expected to report.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerShares {
    /// Sorted by id.
    peers: Vec<PeerUsage>,
    report_interval: Duration,
    silent_after: Duration,
    unconfirmed_after: (Duration, Duration),
}

impl PeerShares {
    pub(super) fn new(report_interval: Duration) -> Self {
        let mut shares = PeerShares::default();
        shares.set_interval(report_interval);
        shares
    }

    pub(super) fn set_interval(&mut self, interval: Duration) {
        self.report_interval = interval;
        self.silent_after = interval.mul_f64(SILENT_INTERVALS);
        self.unconfirmed_after = unconfirmed_limits(interval);
    }

    pub(super) fn report_interval(&self) -> Duration {
        self.report_interval
    }

    /// Returns the time without a report after which a daemon counts as silent.
    pub(super) fn silent_after(&self) -> Duration {
        self.silent_after
    }

    pub(super) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns the index of a daemon, which is added if it isn't known.
    pub(super) fn index(&mut self, id: PeerId, now: Timestamp) -> usize {
        match self.peers.binary_search_by_key(&id, |it| it.id) {
            Ok(index) => index,
            Err(index) => {
                self.peers.insert(index, PeerUsage::new(id, now));
                index
            }
        }
    }

    pub(super) fn peer(&self, index: usize) -> &PeerUsage {
        &self.peers[index]
    }

    pub(super) fn peer_mut(&mut self, index: usize) -> &mut PeerUsage {
        &mut self.peers[index]
    }

    /// Records that a daemon is stopping.
    pub(super) fn leave(&mut self, id: PeerId) {
        if let Ok(index) = self.peers.binary_search_by_key(&id, |it| it.id) {
            self.peers[index].is_leaving = true;
        }
    }

    /// Sets the daemons that are expected to report, and removes all others.
    pub(super) fn set_members(&mut self, members: &[PeerId], now: Timestamp) {
        self.peers.retain(|it| members.contains(&it.id));
        for &id in members {
            self.index(id, now);
        }
    }

    /// Returns the daemons whose last report is so old that tokens are left to them.
    pub(super) fn unconfirmed(&self, now: Timestamp) -> Vec<PeerId> {
        let unconfirmed = self.peers.iter().filter(|it| self.is_unconfirmed(it, now));
        unconfirmed.map(|it| it.id).collect()
    }

    fn is_unconfirmed(&self, peer: &PeerUsage, now: Timestamp) -> bool {
        !peer.is_accounted_for() && now.since(peer.last_received_at) > self.unconfirmed_after.0
    }

    /// Returns for how long a daemon that was killed had probably not reported: half an
    /// interval, unless it restarted sooner after its last report.
    pub(super) fn unreported_span(
        &self,
        index: usize,
        peer: PeerIncarnation,
        now: Timestamp,
    ) -> Duration {
        let unheard = now.since(self.peers[index].last_received_at);
        let restart_delay = unheard.saturating_sub(peer.uptime.unwrap_or_default());
        restart_delay.min(self.report_interval) / 2
    }

    /// Returns the indices of the daemons that fell silent and aren't marked so yet.
    pub(super) fn fallen_silent(&self, now: Timestamp) -> Vec<usize> {
        let fell_silent = |it: &PeerUsage| {
            !it.is_silent && !it.is_leaving && now.since(it.last_received_at) >= self.silent_after
        };
        let indices = 0..self.peers.len();
        indices.filter(|it| fell_silent(&self.peers[*it])).collect()
    }

    /// Returns the indices of the silent daemons.
    pub(super) fn silent(&self) -> Vec<usize> {
        let indices = 0..self.peers.len();
        indices.filter(|it| self.peers[*it].is_silent).collect()
    }

    /// Returns the indices of the silent daemons that had reported since this one started.
    pub(super) fn reserving(&self) -> Vec<usize> {
        let mut silent = self.silent();
        silent.retain(|it| self.peers[*it].has_reported);
        silent
    }

    /// Returns the time for which all daemons have reported; `None` if no report is awaited.
    pub(super) fn confirmed_at(&self) -> Option<Timestamp> {
        let awaited = self.peers.iter().filter(|it| !it.is_accounted_for());
        awaited.map(|it| it.last_received_at).min()
    }

    /// Returns the share of a customer's tokens that daemons may have spent since their
    /// last report. For silent daemons it was reserved already.
    pub(super) fn unconfirmed_share(
        &self,
        customer: u64,
        all_requests: f64,
        now: Timestamp,
    ) -> f64 {
        let (begin, full) = self.unconfirmed_after;
        let mut unconfirmed = 0.0;
        for (index, peer) in self.peers.iter().enumerate() {
            if !self.is_unconfirmed(peer, now) {
                continue;
            }
            let age = now.since(peer.last_received_at);
            let fraction = (age - begin).as_secs_f64() / (full - begin).as_secs_f64();
            unconfirmed += self.share_of(index, customer, all_requests, now) * fraction.min(1.0);
        }
        unconfirmed.min(1.0)
    }

    /// Returns a daemon's share of a customer's rate: its share of all recent requests of
    /// the customer, or an even share if that is more. While no report arrives from it, the
    /// measured usage decays, but the even share stays.
    pub(super) fn share_of(
        &self,
        index: usize,
        customer: u64,
        all_requests: f64,
        now: Timestamp,
    ) -> f64 {
        let even_share = self.even_share();
        if all_requests < 1.0 {
            return even_share;
        }
        even_share.max(self.peers[index].recent(customer, now) / all_requests)
    }

    /// Returns the share of each daemon, including this one, if all have the same.
    pub(super) fn even_share(&self) -> f64 {
        1.0 / (self.peers.len() as f64 + 1.0)
    }
}

fn unconfirmed_limits(interval: Duration) -> (Duration, Duration) {
    let (begin, full) = UNCONFIRMED_INTERVALS;
    (interval.mul_f64(begin), interval.mul_f64(full))
}
