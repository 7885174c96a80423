//! One daemon's copy of a customer's token bucket.

use std::time::Duration;

use super::late_charges::LateCharges;
use crate::Timestamp;

/// The longest delay after which a rejected caller is asked to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// A token bucket that several daemons draw from.
///
/// Its level may fall below zero: requests that other daemons admitted are charged when
/// they are reported, whether or not tokens were left, so that overspending is made up
/// for by later rejections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageBucket {
    rate: f64,
    burst: f64,
    level: f64,
    /// Tokens gained since all peers last reported, which unconfirmed peers may have
    /// spent. They are added to the level once every peer's usage is confirmed.
    withheld: f64,
    /// Tokens that may be spent although other daemons may have spent them.
    allowance: f64,
    late_charges: LateCharges,
    filled_at: Timestamp,
}

impl UsageBucket {
    /// Creates a bucket that gains `rate` tokens a second and holds at most `burst`,
    /// with `level` tokens in it.
    pub fn new(rate: f64, burst: f64, level: f64, now: Timestamp) -> Self {
        UsageBucket {
            rate,
            burst,
            level: level.min(burst),
            withheld: 0.0,
            allowance: 0.0,
            late_charges: LateCharges::default(),
            filled_at: now,
        }
    }

    /// Fills the bucket up to `now`, less what silent daemons may be spending:
    /// `reserved` is their share of the rate, from 0 to 1.
    pub fn fill(&mut self, reserved: f64, now: Timestamp) {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        let level = self.level + self.rate * elapsed * (1.0 - reserved);
        self.level = level.min(self.burst);
        self.late_charges
            .record_overflow(level - self.level, self.rate, now);
        self.filled_at = now;
    }

    /// Fills the bucket up to `now`, and withholds what daemons with unconfirmed usage
    /// may be spending: `unconfirmed` is their share of the rate, from 0 to 1.
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

    /// Discards the withheld tokens: daemons that may have spent them fell silent.
    pub fn discard_withheld(&mut self) {
        self.withheld = 0.0;
    }

    /// Takes one token.
    ///
    /// The fraction `unconfirmed` of the burst is left to daemons that may have spent
    /// it without having reported so yet, as far as it exceeds the allowance.
    ///
    /// # Errors
    ///
    /// Returns how long it takes until a token is available.
    pub fn take(&mut self, unconfirmed: f64) -> Result<(), Duration> {
        let doubtful = self.burst * unconfirmed + self.withheld;
        let level = self.level + self.withheld - (doubtful - self.allowance).max(0.0);
        if level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - level;
        let wait = missing / self.rate.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(wait).map_or(MAX_RETRY_AFTER, |it| it.min(MAX_RETRY_AFTER)))
    }

    /// Charges requests that another daemon admitted at `admitted_at`.
    pub fn charge(&mut self, requests: f64, admitted_at: Timestamp, now: Timestamp) {
        self.level -= requests;
        self.late_charges.record_charge(requests, admitted_at, now);
    }

    /// Returns tokens that were charged but not spent from this bucket.
    pub fn refund(&mut self, tokens: f64) {
        self.level = (self.level + tokens).min(self.burst);
    }

    /// Refunds tokens that overflowed only because charges arrived late. All daemons
    /// have reported at `confirmed_at` or later.
    pub fn settle_late_charges(&mut self, confirmed_at: Timestamp) {
        let refund = self.late_charges.settle(confirmed_at);
        self.refund(refund);
    }

    /// Removes tokens that silent daemons may spend.
    pub fn reserve(&mut self, tokens: f64) {
        if self.level > 0.0 {
            self.level = (self.level - tokens).max(0.0);
        }
    }

    /// Sets the tokens that may be spent although other daemons may have spent them.
    pub fn set_allowance(&mut self, tokens: f64) {
        self.allowance = tokens;
    }

    /// Lowers the level to that of a daemon that has counted for longer, if that is
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

    /// Returns the tokens gained a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the most tokens that the bucket holds.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Returns the tokens in the bucket; negative if more was spent than it held.
    pub fn level(&self) -> f64 {
        self.level
    }
}
