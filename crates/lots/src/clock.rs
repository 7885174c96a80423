//! Wall-clock time, which is the same on all daemons up to clock skew.

use std::{
    ops::Add,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// A wall-clock time in milliseconds since 1970.
///
/// Due times and expiry times use it, since they must survive a restart. Lease
/// expiry is never computed from it, so clock skew can't prolong a lease.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl WallTime {
    /// Returns whole seconds since 1970, as used in API responses.
    pub fn as_secs(self) -> u64 {
        self.0 / 1000
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: WallTime) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for WallTime {
    type Output = WallTime;

    fn add(self, duration: Duration) -> WallTime {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        WallTime(self.0.saturating_add(millis))
    }
}

/// A source of wall-clock time. Tests replace it by their own.
pub trait WallClock: Clone + Send + Sync + 'static {
    /// Returns the current wall-clock time.
    fn now(&self) -> WallTime;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl WallClock for SystemClock {
    fn now(&self) -> WallTime {
        let duration = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        WallTime::default() + duration
    }
}
