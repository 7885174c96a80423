//! The recent arrival rate of live requests.

use std::time::Duration;

use crate::Timestamp;

/// The time after which an arrival counts half.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// An exponentially decaying count of arrivals.
///
/// It rises at once when a burst begins and falls within seconds after it, so that
/// capacity is kept for the rest of a burst as soon as its first requests arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ArrivalRate {
    weight: f64,
    at: Timestamp,
}

impl ArrivalRate {
    /// Records an arrival.
    pub fn record_arrival(&mut self, now: Timestamp) {
        self.weight = self.decayed(now) + 1.0;
        self.at = self.at.max(now);
    }

    /// Returns the arrivals a second.
    pub fn per_second(&self, now: Timestamp) -> f64 {
        // At a steady rate r, `weight` settles at r * half life / ln 2.
        self.decayed(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    fn decayed(&self, now: Timestamp) -> f64 {
        let halvings = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.weight * (-halvings * std::f64::consts::LN_2).exp()
    }
}
