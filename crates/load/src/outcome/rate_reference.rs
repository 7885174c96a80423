//! A reference for rate limits: one token bucket that sees every call of a
//! customer, which the decisions of the distributed fleet are compared with.

use std::time::Duration;

/// The decision of the ideal rate limiter about a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateDecision {
    /// The call is within the rate and burst.
    pub inside: bool,
    /// The call is within nine tenths of the rate and burst, so that network
    /// delay between the sender and the daemon can't explain a rejection.
    pub clearly_inside: bool,
}

/// The fraction of the rate and burst for [`RateDecision::clearly_inside`].
const CLEAR_FRACTION: f64 = 0.9;

/// The ideal rate limiter of one customer.
///
/// Calls must be passed in the order of their intended times.
#[derive(Clone, Debug)]
pub struct RateReference {
    full_size: TokenBucket,
    reduced: TokenBucket,
    admitted: LeakyBucket,
}

impl RateReference {
    /// Creates a limiter with full buckets. `rate` is in calls per second.
    pub fn new(rate: f64, burst: u32) -> Self {
        let burst = f64::from(burst);
        RateReference {
            full_size: TokenBucket::full(rate, burst),
            reduced: TokenBucket::full(rate * CLEAR_FRACTION, (burst * CLEAR_FRACTION).max(1.0)),
            admitted: LeakyBucket::new(rate, burst),
        }
    }

    /// Decides about a call that was intended at `at`, and records whether the
    /// fleet admitted it.
    pub fn check(&mut self, at: Duration, admitted: bool) -> RateDecision {
        if admitted {
            self.admitted.add(at);
        }
        let inside = self.full_size.take(at);
        // The smaller bucket rejects more calls, so it may still have a token for
        // a later call that the full-size bucket rejects.
        let clearly_inside = self.reduced.take(at) && inside;
        RateDecision {
            inside,
            clearly_inside,
        }
    }

    /// Returns the maximum number of calls by which the fleet exceeded the rate
    /// and burst, over any interval of the run.
    pub fn overshoot(&self) -> f64 {
        self.admitted.max_excess
    }
}

#[derive(Clone, Debug)]
struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    last: Duration,
}

impl TokenBucket {
    fn full(rate: f64, burst: f64) -> Self {
        TokenBucket {
            rate,
            burst,
            tokens: burst,
            last: Duration::ZERO,
        }
    }

    fn take(&mut self, at: Duration) -> bool {
        let elapsed = at.saturating_sub(self.last).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.last = at;
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

/// A leaky bucket that drains at the rate and is filled by each admitted call. A
/// level above the burst means that more calls were admitted than allowed since
/// the bucket was last empty.
#[derive(Clone, Debug)]
struct LeakyBucket {
    rate: f64,
    burst: f64,
    level: f64,
    last: Duration,
    max_excess: f64,
}

impl LeakyBucket {
    fn new(rate: f64, burst: f64) -> Self {
        LeakyBucket {
            rate,
            burst,
            level: 0.0,
            last: Duration::ZERO,
            max_excess: 0.0,
        }
    }

    fn add(&mut self, at: Duration) {
        let elapsed = at.saturating_sub(self.last).as_secs_f64();
        self.level = (self.level - elapsed * self.rate).max(0.0) + 1.0;
        self.last = at;
        self.max_excess = self.max_excess.max(self.level - self.burst);
    }
}
