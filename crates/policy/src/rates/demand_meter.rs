//! An estimate of the recent event rate.

use crate::Timestamp;

/// The time constant of the exponential decay, in seconds.
const DECAY_SECS: f64 = 2.0;

/// An exponentially decaying average of events per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    rate: f64,
    updated_at: Timestamp,
}

impl DemandMeter {
    /// Records `events` events at `now`.
    pub fn note(&mut self, events: u32, now: Timestamp) {
        self.rate = self.rate_at(now) + f64::from(events) / DECAY_SECS;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the average rate at `now`, in events per second.
    pub fn rate_at(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.rate * (-elapsed / DECAY_SECS).exp()
    }
}
