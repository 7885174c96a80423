//! Whether the store answers, and the lease that hangs on it.

use std::time::Duration;

use comfreyramp_policy::Timestamp;

use super::Node;
use crate::{dialect::Dialect, fleet::HeldLease};

/// Calls that fail for less than this are no outage: entries don't lapse by it.
const LEAST_OUTAGE: Duration = Duration::from_millis(1_800);

/// Whether the store answers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreHealth {
    failing_since: Option<Timestamp>,
    /// When it last answered.
    answered_at: Option<Timestamp>,
    /// When it answered again after an outage.
    pub(super) returned_at: Option<Timestamp>,
}

impl<D: Dialect> Node<D> {
    /// Notes that a call to the store failed.
    pub fn note_store_trouble(&self) {
        let mut health = self.store_health.get();
        health.failing_since.get_or_insert(self.clock.now());
        self.store_health.set(health);
    }

    /// Notes that the store answered.
    pub fn note_store_answer(&self) {
        let mut health = self.store_health.get();
        let now = self.clock.now();
        health.answered_at = Some(now);
        let since = health.failing_since.take();
        if since.is_some_and(|it| now.since(it) >= LEAST_OUTAGE) {
            health.returned_at = Some(now);
        }
        self.store_health.set(health);
    }

    /// How long ago the store last answered any call of this daemon.
    pub fn store_answered_ago(&self) -> Option<Duration> {
        let answered_at = self.store_health.get().answered_at?;
        Some(self.clock.now().since(answered_at))
    }

    /// Shows how old the views are: for how long the store has said nothing of them.
    pub(super) fn show_view_ages(&self) {
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

    /// The lease that claims hang on.
    pub fn lease(&self) -> Option<HeldLease> {
        let lease = self.lease.borrow().clone()?;
        (lease.until > self.clock.now()).then_some(lease)
    }

    /// Sets the lease that claims hang on.
    pub fn set_lease(&self, lease: Option<HeldLease>) {
        *self.lease.borrow_mut() = lease;
        self.bulk_wake.notify_one();
    }
}
