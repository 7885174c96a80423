//! How far the operators let the fleet exceed a customer's limit.

use std::time::Duration;

use super::CustomerLimit;

/// What daemons may admit beyond a customer's limit before they learn of each other's
/// requests, in bursts: the most that a customer gets if it sends many times its typical
/// load at the moment of a network partition (`tests/usage_large.rs`).
const UNSEEN_BURSTS: f64 = 1.6;

/// How far the operators let the fleet exceed a customer's limit in any window.
///
/// A daemon that doesn't know what others have admitted has to choose between rejecting
/// requests within the limit and exceeding it. The tolerance is where it may err on the
/// side of the callers. For customers with a small burst it is most of what daemons
/// would reserve otherwise. The default tolerates nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateTolerance {
    /// The window over which requests are counted.
    pub window: Duration,
    /// The tolerated excess as a fraction of the customer's limit over a window.
    pub fraction: f64,
    /// The tolerated excess in requests, on top of that.
    pub requests: f64,
}

impl RateTolerance {
    /// Returns how many tokens of a customer may be spent within a window although other
    /// daemons may have spent them: the tolerated excess, less what late reports use up.
    pub fn allowance(&self, limit: &CustomerLimit) -> f64 {
        let max_in_window = limit.rate * self.window.as_secs_f64() + limit.burst;
        let tolerated = max_in_window * self.fraction + self.requests;
        (tolerated - limit.burst * UNSEEN_BURSTS).max(0.0)
    }
}
