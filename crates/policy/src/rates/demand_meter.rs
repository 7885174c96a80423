//! An estimate of the recent event rate.

use crate::Timestamp;

/// The time constant of the exponential decay, in seconds.
const DECAY_SECS: f64 = 2.0;

/// An exponentially decaying average of events per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    rate: f64,
    noted: Timestamp,
}

impl DemandMeter {
    /// Records `events` events at `now`.
    pub fn note(&mut self, events: u32, now: Timestamp) {
        self.rate = self.rate_at(now) + f64::from(events) / DECAY_SECS;
        self.noted = self.noted.max(now);
    }

    /// Returns the average rate at `now`, in events per second.
    pub fn rate_at(&self, now: Timestamp) -> f64 {
        let passed = now.since(self.noted).as_secs_f64();
        self.rate * (-passed / DECAY_SECS).exp()
    }
}
