//! The time type that callers pass to every decision function.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// A point in time on one process's monotonic clock, in microseconds since an
/// origin that only this process knows.
///
/// Timestamps of different processes can't be compared, so messages carry durations.
///
/// ```
/// use std::time::Duration;
/// use comfreyramp_policy::Timestamp;
///
/// let start = Timestamp::from_micros(5);
/// assert_eq!(start + Duration::from_micros(3), Timestamp::from_micros(8));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin of the clock.
    pub const ZERO: Timestamp = Timestamp(0);

    /// Returns the time `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Timestamp(micros)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the seconds since the origin.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, duration: Duration) -> Timestamp {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_sub(micros))
    }
}
