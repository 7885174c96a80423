//! One daemon's copy of a customer's tokens.

use std::time::Duration;

use super::late_charges::LateCharges;
use crate::Timestamp;

/// The longest time after which a refused caller is told to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// A token bucket that several daemons draw from.
///
/// Its level may fall below zero: requests that other daemons let in are
/// charged when they are heard of, whether or not there were tokens left, so
/// that what was spent too much is made up for by later refusals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageBucket {
    rate: f64,
    burst: f64,
    level: f64,
    /// What came in since daemons were last heard that may have spent it. It comes back
    /// once they say that they haven't.
    withheld: f64,
    late_charges: LateCharges,
    filled_at: Timestamp,
}

impl UsageBucket {
    /// A bucket of `rate` tokens a second that holds `burst`, with `level` in it.
    pub fn new(rate: f64, burst: f64, level: f64, now: Timestamp) -> Self {
        UsageBucket {
            rate,
            burst,
            level: level.min(burst),
            withheld: 0.0,
            late_charges: LateCharges::default(),
            filled_at: now,
        }
    }

    /// Fills the bucket up to `now`, less what silent daemons may be spending:
    /// `reserved` is their part of the rate, from 0 to 1.
    pub fn fill(&mut self, reserved: f64, now: Timestamp) {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        let level = self.level + self.rate * elapsed * (1.0 - reserved);
        self.level = level.min(self.burst);
        self.late_charges
            .record_overflow(level - self.level, self.rate, now);
        self.filled_at = now;
    }

    /// Fills the bucket up to `now`, and withholds what daemons that weren't heard just
    /// now may be spending: `doubted` is their part of the rate, from 0 to 1.
    pub fn fill_unconfirmed(&mut self, reserved: f64, unconfirmed: f64, now: Timestamp) {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        let gained = self.rate * elapsed * unconfirmed.min(1.0 - reserved);
        self.fill((reserved + unconfirmed).min(1.0), now);
        let withheld = self.withheld + gained;
        self.withheld = withheld.min(self.burst - self.level);
        self.late_charges
            .record_overflow(withheld - self.withheld, self.rate, now);
        if unconfirmed == 0.0 {
            self.level += self.withheld;
            self.withheld = 0.0;
        }
    }

    /// Gives up what was withheld: daemons that may have spent it fell silent.
    pub fn discard_withheld(&mut self) {
        self.withheld = 0.0;
    }

    /// Takes one token, or tells when there will be one. The part `doubted` of the
    /// whole bucket is left to daemons that weren't heard just now: they may have
    /// spent it.
    pub fn take(&mut self, unconfirmed: f64) -> Result<(), Duration> {
        let level = self.level - self.burst * unconfirmed;
        if level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - level;
        let wait = missing / self.rate.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(wait).map_or(MAX_RETRY_AFTER, |it| it.min(MAX_RETRY_AFTER)))
    }

    /// Charges requests that another daemon let in at `since`.
    pub fn charge(&mut self, requests: f64, admitted_at: Timestamp, now: Timestamp) {
        self.level -= requests;
        self.late_charges.record_charge(requests, admitted_at, now);
    }

    /// Gives back what was lost before late charges were known of. All daemons were heard at
    /// `heard` or later.
    pub fn settle_late_charges(&mut self, confirmed_at: Timestamp) {
        self.level = (self.level + self.late_charges.settle(confirmed_at)).min(self.burst);
    }

    /// Sets aside the part of the whole bucket that a silent daemon may spend.
    pub fn reserve(&mut self, fraction: f64) {
        if self.level > 0.0 {
            self.level = (self.level - self.burst * fraction).max(0.0);
        }
    }

    /// Takes over the level of a daemon that has counted for longer, if it is
    /// lower.
    pub fn lower_to(&mut self, level: f64) {
        self.level = self.level.min(level);
    }

    /// Changes rate and burst. The level never rises by it.
    pub fn set_limit(&mut self, rate: f64, burst: f64) {
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Tokens a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// The tokens that the bucket holds at most.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// The tokens in the bucket.
    pub fn level(&self) -> f64 {
        self.level
    }
}
