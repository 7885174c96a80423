//! The recent traffic of one key.

use std::time::Duration;

use crate::Timestamp;

/// The number of persons assumed to share one key, until its traffic indicates
/// otherwise.
const MAX_PERSONS: f64 = 16.0;

/// The long-term mean interval between the requests of one person.
const PERSON_INTERVAL: Duration = Duration::from_secs(4);

/// The burst of requests allowed to one person.
const PERSON_BURST: f64 = 3.0;

/// The number of concurrent requests allowed to one person.
const PERSON_CONCURRENCY: f64 = 2.0;

/// The weight of one request in the excess of a key.
const EXCESS_WEIGHT: f64 = 0.02;

/// The idle time after which the excess of a key is halved.
const EXCESS_HALF_LIFE: Duration = Duration::from_secs(300);

/// The recent traffic of one key, either its streams or its other requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct KeyTraffic {
    /// Requests in flight that ranked as a person's. The others don't count: otherwise
    /// a person who shares the key with a program would never get that rank again.
    pub(super) in_flight: u32,
    /// The number of requests that persons could send now.
    allowance: f64,
    /// The fraction of recent requests that persons couldn't have sent.
    excess: f64,
    pub(super) seen_at: Timestamp,
}

impl KeyTraffic {
    pub(super) fn new(now: Timestamp) -> Self {
        KeyTraffic {
            in_flight: 0,
            allowance: MAX_PERSONS * PERSON_BURST,
            excess: 0.0,
            seen_at: now,
        }
    }

    /// Counts a request, and returns whether a person could have sent it.
    pub(super) fn begin(&mut self, now: Timestamp) -> bool {
        let secs = now.since(self.seen_at).as_secs_f64();
        self.seen_at = self.seen_at.max(now);
        self.excess /= 1.0 + secs / EXCESS_HALF_LIFE.as_secs_f64();
        let persons = self.persons();
        let earned = persons * secs / PERSON_INTERVAL.as_secs_f64();
        self.allowance = (self.allowance + earned).min(persons * PERSON_BURST);
        let few = f64::from(self.in_flight) < persons * PERSON_CONCURRENCY;
        let within_limits = few && self.allowance >= 1.0;
        if within_limits {
            self.allowance -= 1.0;
            self.in_flight += 1;
        }
        let excess = if within_limits { 0.0 } else { 1.0 };
        self.excess += (excess - self.excess) * EXCESS_WEIGHT;
        within_limits
    }

    /// Returns the number of persons that the key is assumed to serve. It is at least
    /// one, so that a person who shares the key with a program isn't starved.
    fn persons(&self) -> f64 {
        1.0 + (MAX_PERSONS - 1.0) * (1.0 - self.excess)
    }
}
