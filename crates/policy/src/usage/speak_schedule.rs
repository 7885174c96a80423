//! When a daemon of a large fleet reports its usage to all others.

use std::time::Duration;

use rand::Rng;

use crate::Timestamp;

/// How long after its start a daemon reports more often. Daemons that restarted together
/// know nothing of each other's requests but what they report, and have few tokens to
/// spend until then.
const START_PHASE: Duration = Duration::from_secs(2);
/// How many times more often that is.
const START_PHASE_REPORTS: u32 = 3;

/// When a daemon of a large fleet reports its usage to all others.
///
/// Daemons that were killed together start together. If they reported in step from then
/// on, all reports would age at the same time, and at the end of each interval every
/// daemon would leave most of each customer's tokens to the others
/// (`tests/usage_large.rs`).
#[derive(Clone, Copy, Debug)]
pub struct ReportSchedule {
    started_at: Timestamp,
    due_at: Timestamp,
    is_spread: bool,
}

impl ReportSchedule {
    /// Creates the schedule of a daemon that starts now: the first report is due at
    /// once, since the other daemons wait for it.
    pub fn new(now: Timestamp) -> Self {
        ReportSchedule {
            started_at: now,
            due_at: now,
            is_spread: false,
        }
    }

    /// Returns whether a report is due.
    pub fn is_due(&self, now: Timestamp) -> bool {
        now >= self.due_at
    }

    /// Records that a report was sent. The delay after the first report, and after the last
    /// one of the start phase, is random, so that daemons that started together spread out.
    pub fn record_report(&mut self, interval: Duration, now: Timestamp, random: &mut impl Rng) {
        let is_starting = now.since(self.started_at) < START_PHASE;
        let fraction = match self.is_spread && !is_starting {
            true => 1.0,
            false => random.random_range(0.0..1.0),
        };
        let interval = match is_starting {
            true => interval / START_PHASE_REPORTS,
            false => interval,
        };
        self.is_spread = !is_starting;
        self.due_at = now + interval.mul_f64(fraction);
    }
}
