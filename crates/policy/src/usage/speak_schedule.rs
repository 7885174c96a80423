//! When a daemon of a large fleet speaks to all others.

use std::time::Duration;

use rand::Rng;

use crate::Timestamp;

/// When a daemon of a large fleet speaks to all others.
///
/// Daemons that were killed together start together. Were they to speak in step from
/// then on, all words would grow old at the same time, and at the end of each interval
/// everybody would leave most of every customer's tokens to everybody else
/// (`tests/usage_large.rs`).
#[derive(Clone, Copy, Debug)]
pub struct SpeakSchedule {
    due_at: Timestamp,
    has_reported: bool,
}

impl SpeakSchedule {
    /// A schedule of a daemon that starts now: it speaks at once, since the others
    /// wait to hear of it.
    pub fn new(now: Timestamp) -> Self {
        SpeakSchedule {
            due_at: now,
            has_reported: false,
        }
    }

    /// Whether it is time to speak.
    pub fn is_due(&self, now: Timestamp) -> bool {
        now >= self.due_at
    }

    /// Takes note that it spoke. The pause after the first word is drawn.
    pub fn speak(&mut self, interval: Duration, now: Timestamp, random: &mut impl Rng) {
        let fraction = match self.has_reported {
            true => 1.0,
            false => random.random_range(0.0..1.0),
        };
        self.has_reported = true;
        self.due_at = now + interval.mul_f64(fraction);
    }
}
