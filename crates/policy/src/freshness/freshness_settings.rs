//! The intervals, timeouts and limits of the watch plan.

use std::time::Duration;

/// The intervals, timeouts and limits of [`WatchPlan`](super::WatchPlan).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessSettings {
    /// The number of daemons per zone that follow the platform in normal operation.
    pub watchers: usize,
    /// The age up to which a view counts as fresh. It must exceed the sum of the
    /// intervals of checks and requests, or daemons would start to follow the platform
    /// unnecessarily.
    pub fresh_within: Duration,
    /// The interval at which a daemon that doesn't follow the platform requests the
    /// view from one that does.
    pub request_interval: Duration,
    /// The interval between the requests of a daemon that has no view yet.
    pub first_request_interval: Duration,
    /// How long a daemon that didn't answer is skipped.
    pub skip_duration: Duration,
    /// How long a daemon that offered an old view ranks behind the others as a source.
    pub deprioritize_duration: Duration,
    /// The age of the own view up to which an outdated answer is followed by an early
    /// request to another daemon. A greater age means an outage, in which requests
    /// above the normal rate would only load daemons that have nothing newer.
    pub early_request_max_age: Duration,
    /// The number of other daemons that must have answered or timed out before a daemon
    /// that finds no fresh view serves with the newest one it received.
    pub min_answers: usize,
}

impl Default for FreshnessSettings {
    fn default() -> Self {
        FreshnessSettings {
            watchers: 2,
            fresh_within: Duration::from_secs(3),
            request_interval: Duration::from_secs(1),
            first_request_interval: Duration::from_millis(100),
            skip_duration: Duration::from_secs(10),
            deprioritize_duration: Duration::from_secs(2),
            early_request_max_age: Duration::from_secs(12),
            min_answers: 5,
        }
    }
}
