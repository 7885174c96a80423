//! The age of a view of the settings.

use std::time::Duration;

use crate::Timestamp;

/// The time at which a view was last known to be current.
///
/// A single timestamp isn't sufficient: a daemon that was started a second ago can hold
/// a view that is an hour old and thus predates the origin of its clock. Clamped to the
/// origin, such a view would look fresh, and withdrawn keys would continue to work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewAge {
    at: Timestamp,
    age: Duration,
}

impl ViewAge {
    /// Creates the age of a view that was `age` old at `at`.
    pub fn new(at: Timestamp, age: Duration) -> Self {
        ViewAge { at, age }
    }

    /// Returns the age of the view at `now`.
    pub fn age(self, now: Timestamp) -> Duration {
        self.age.saturating_add(now.since(self.at))
    }

    /// Returns the time at which the view was current, in microseconds after the origin
    /// of the clock; negative if it was before the origin.
    pub fn current_micros(self) -> i64 {
        let age = i64::try_from(self.age.as_micros()).unwrap_or(i64::MAX);
        let at = i64::try_from(self.at.as_micros()).unwrap_or(i64::MAX);
        at.saturating_sub(age)
    }

    /// Returns the lower of two ages.
    pub fn fresher(self, other: ViewAge) -> ViewAge {
        let later = self.at.max(other.at);
        if other.age(later) < self.age(later) {
            return other;
        }
        self
    }
}
