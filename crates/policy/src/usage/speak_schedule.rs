//! When a daemon of a large fleet reports its usage to all others.

use std::time::Duration;

use rand::Rng;

use crate::Timestamp;

/// When a daemon of a large fleet reports its usage to all others.
///
/// Daemons that were killed together start together. If they reported in step from then
/// on, all reports would age at the same time, and at the end of each interval every
/// daemon would leave most of each customer's tokens to the others
/// (`tests/usage_large.rs`).
#[derive(Clone, Copy, Debug)]
pub struct ReportSchedule {
    due_at: Timestamp,
    has_reported: bool,
}

impl ReportSchedule {
    /// Creates the schedule of a daemon that starts now: the first report is due at
    /// once, since the other daemons wait for it.
    pub fn new(now: Timestamp) -> Self {
        ReportSchedule {
            due_at: now,
            has_reported: false,
        }
    }

    /// Returns whether a report is due.
    pub fn is_due(&self, now: Timestamp) -> bool {
        now >= self.due_at
    }

    /// Records that a report was sent. The delay after the first report is random, so
    /// that daemons that started together spread out.
    pub fn record_report(&mut self, interval: Duration, now: Timestamp, random: &mut impl Rng) {
        let fraction = match self.has_reported {
            true => 1.0,
            false => random.random_range(0.0..1.0),
        };
        self.has_reported = true;
        self.due_at = now + interval.mul_f64(fraction);
    }
}
