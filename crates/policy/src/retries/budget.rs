//! The limit on a daemon's retries.

use crate::Timestamp;

/// The retries that each success adds to the budget.
const TOKENS_PER_SUCCESS: f64 = 0.1;

/// The retries per second that a daemon without successes may still make.
const TIME_REFILL_PER_SEC: f64 = 0.5;

/// The budget up to which it is refilled by time alone.
///
/// It covers the requests that were in flight on one dead server, also on a daemon with
/// little traffic.
const TIME_REFILL_LIMIT: f64 = 32.0;

/// The maximum of the budget.
const MAX_TOKENS: f64 = 128.0;

/// A budget of retries that successes refill.
///
/// A limit per request can't distinguish one failing server from a failing fleet: when
/// everything is slow, three attempts per request triple the load at the worst moment,
/// and the fleet stays overloaded after the cause has gone. With a budget proportional
/// to the successes, retries decrease as the successes do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// The retries that each success adds to the budget.
    pub tokens_per_success: f64,
    tokens: f64,
    refilled_at: Timestamp,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            tokens_per_success: TOKENS_PER_SUCCESS,
            tokens: TIME_REFILL_LIMIT,
            refilled_at: Timestamp::ZERO,
        }
    }
}

impl RetryBudget {
    /// Records an answered request.
    pub fn success(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_success).min(MAX_TOKENS);
    }

    /// Takes one retry from the budget. Returns false if there is none.
    pub fn take(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the number of retries left.
    pub fn remaining(&self) -> f64 {
        self.tokens
    }

    fn refill(&mut self, now: Timestamp) {
        let secs = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens < TIME_REFILL_LIMIT {
            self.tokens = (self.tokens + secs * TIME_REFILL_PER_SEC).min(TIME_REFILL_LIMIT);
        }
    }
}
