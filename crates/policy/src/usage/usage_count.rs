//! What daemons tell each other of customers' usage.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Timestamp, hash::name_hash};

/// The resolution of the times at which daemons report to have admitted requests.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// The id by which daemons name each other: the hash of the daemon's name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PeerId(pub u64);

impl PeerId {
    /// Returns the id of the daemon with this name.
    pub fn of_name(name: &str) -> Self {
        PeerId(name_hash(name))
    }
}

/// A customer's limit in the settings in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerLimit {
    /// The hash of the customer's name.
    pub customer: u64,
    /// Requests a second.
    pub rate: f64,
    /// How many requests it may send at once beyond that.
    pub burst: f64,
}

/// What one daemon reports of one customer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageCount {
    /// The hash of the customer's name.
    pub customer: u64,
    /// Requests admitted since the daemon started.
    pub admitted: u32,
    /// The tokens in its copy of the bucket.
    pub level: f32,
    /// When these requests were admitted; `None` if the daemon doesn't report it.
    #[serde(skip)]
    pub times: Option<SpendingTimes>,
}

/// When a daemon admitted requests, in steps of 10 ms of its own clock, modulo 2^16.
///
/// These are running totals, so a lost report does no harm: the difference of any two
/// gives the average age of the requests in between at the time of the later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendingTimes {
    /// The sum of the times at which all requests so far were admitted.
    pub sum: u16,
    /// The time of the report.
    pub told: u16,
}

impl SpendingTimes {
    /// Returns how long before this report `requests` were admitted on average, if
    /// these are all since the `earlier` report.
    pub(super) fn mean_age(self, earlier: SpendingTimes, requests: u32) -> Duration {
        let times = self.sum.wrapping_sub(earlier.sum);
        let total_age = self.told.wrapping_mul(requests as u16).wrapping_sub(times);
        CLOCK_TICK * u32::from(total_age) / requests.max(1)
    }
}

pub(super) fn clock_ticks(now: Timestamp) -> u16 {
    (u128::from(now.as_micros()) / CLOCK_TICK.as_micros()) as u16
}
