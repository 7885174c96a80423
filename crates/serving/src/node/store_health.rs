//! Tracks whether the store answers, and the lease that this daemon holds there.

use std::time::Duration;

use comfreyramp_policy::Timestamp;
use comfreyramp_store::StoreError;

use super::Node;
use crate::{dialect::Dialect, fleet::HeldLease};

/// If calls fail for less than this, it doesn't count as an outage: no entry expires in
/// so short a time.
const MIN_OUTAGE: Duration = Duration::from_millis(1_800);

/// The store's availability, as seen from this daemon.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreHealth {
    failing_since: Option<Timestamp>,
    /// When the store last answered.
    answered_at: Option<Timestamp>,
    /// When the store first answered again after the latest outage.
    pub(super) recovered_at: Option<Timestamp>,
}

impl<D: Dialect> Node<D> {
    /// Records that a call to the store failed. One that the store refused for good counts as
    /// answered.
    pub fn record_store_error(&self, error: &StoreError) {
        match error.is_outage() {
            true => self.record_store_failure(),
            false => self.record_store_answer(),
        }
    }

    /// Records that a call to the store got no answer.
    pub fn record_store_failure(&self) {
        let mut health = self.store_health.get();
        health.failing_since.get_or_insert(self.clock.now());
        self.store_health.set(health);
    }

    /// Records that the store answered.
    pub fn record_store_answer(&self) {
        let mut health = self.store_health.get();
        let now = self.clock.now();
        health.answered_at = Some(now);
        let since = health.failing_since.take();
        if since.is_some_and(|it| now.since(it) >= MIN_OUTAGE) {
            health.recovered_at = Some(now);
        }
        self.store_health.set(health);
    }

    /// Returns the time since the store last answered any call of this daemon.
    pub fn time_since_store_answer(&self) -> Option<Duration> {
        let answered_at = self.store_health.get().answered_at?;
        Some(self.clock.now().since(answered_at))
    }

    /// Updates the metrics of the views' age: the time since the store last confirmed them.
    pub(super) fn update_view_age_metrics(&self) {
        let now = self.clock.now();
        let views = self.views.borrow();
        for (name, view) in [
            ("settings", &views.operators),
            ("servers", &views.servers),
            ("members", &views.members),
        ] {
            if let Some(confirmed_at) = view.confirmed_at() {
                self.metrics.view_age(name, now.since(confirmed_at));
            }
        }
    }

    /// Returns the lease to which this daemon's claims are attached, unless it has expired.
    pub fn lease(&self) -> Option<HeldLease> {
        let lease = self.lease.borrow().clone()?;
        (lease.until > self.clock.now()).then_some(lease)
    }

    /// Sets the lease to which this daemon's claims are attached.
    pub fn set_lease(&self, lease: Option<HeldLease>) {
        *self.lease.borrow_mut() = lease;
        self.bulk_work_changed.notify_one();
    }
}
