//! Exact token amounts.

use std::ops::{Add, AddAssign, Sub, SubAssign};

use serde::{Deserialize, Serialize};

/// An amount of tokens, in trillionths of a token; one token admits one request.
///
/// An integer, so that parts never add up to more than the whole. Subtraction
/// saturates at zero and addition at the maximum of 18 million tokens.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(u64);

const TRILLION: u64 = 1_000_000_000_000;

/// A clock may run fast by one part in this many. Buckets refill more slowly by the
/// same fraction, so that a fast clock doesn't raise a customer's rate.
const CLOCK_DRIFT_DIVISOR: u128 = 2_000;

impl Tokens {
    /// No tokens.
    pub const ZERO: Tokens = Tokens(0);
    /// One whole token, which admits one request.
    pub const ONE: Tokens = Tokens(TRILLION);

    /// Creates an amount from trillionths, the unit used between daemons.
    pub const fn from_trillionths(trillionths: u64) -> Self {
        Tokens(trillionths)
    }

    /// Returns the amount in trillionths of a token.
    pub const fn as_trillionths(self) -> u64 {
        self.0
    }

    /// Returns the amount of `count` whole tokens.
    pub const fn whole(count: u32) -> Self {
        Tokens((count as u64).saturating_mul(TRILLION))
    }

    /// Converts `count` tokens, rounded down; negative counts give zero.
    pub fn from_f64(count: f64) -> Self {
        Tokens((count * TRILLION as f64) as u64)
    }

    /// Returns the number of tokens as a floating-point number, for reports.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / TRILLION as f64
    }

    /// Returns the number of whole tokens in this amount.
    pub fn count(self) -> u32 {
        u32::try_from(self.0 / TRILLION).unwrap_or(u32::MAX)
    }

    /// Returns one of `parts` equal parts, rounded down.
    pub fn divided(self, parts: u32) -> Self {
        Tokens(self.0 / u64::from(parts.max(1)))
    }

    /// Returns the part at `index` when this amount is split into `parts` parts that
    /// differ by at most a trillionth and add up to exactly this amount.
    pub fn part(self, index: u32, parts: u32) -> Self {
        if index >= parts {
            return Tokens::ZERO;
        }
        let (whole, parts) = (u128::from(self.0), u128::from(parts));
        let start = whole * u128::from(index) / parts;
        let end = whole * (u128::from(index) + 1) / parts;
        Tokens(u64::try_from(end - start).unwrap_or(u64::MAX))
    }

    /// Returns this amount scaled by `part / whole`, rounded down.
    pub fn scaled(self, part: Tokens, whole: Tokens) -> Self {
        if whole == Tokens::ZERO {
            return Tokens::ZERO;
        }
        let scaled = u128::from(self.0) * u128::from(part.0) / u128::from(whole.0);
        Tokens(u64::try_from(scaled).unwrap_or(u64::MAX))
    }

    /// Returns the tokens that a rate of this amount per second yields in `micros`
    /// microseconds, reduced for a clock that may run fast.
    pub(super) fn refill(self, micros: u64) -> Self {
        let gain = u128::from(self.0) * u128::from(micros) / 1_000_000;
        let gain = gain - gain.div_ceil(CLOCK_DRIFT_DIVISOR);
        Tokens(u64::try_from(gain).unwrap_or(u64::MAX))
    }
}

impl Add for Tokens {
    type Output = Tokens;

    fn add(self, other: Tokens) -> Tokens {
        Tokens(self.0.saturating_add(other.0))
    }
}

impl Sub for Tokens {
    type Output = Tokens;

    fn sub(self, other: Tokens) -> Tokens {
        Tokens(self.0.saturating_sub(other.0))
    }
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, other: Tokens) {
        *self = *self + other;
    }
}

impl SubAssign for Tokens {
    fn sub_assign(&mut self, other: Tokens) {
        *self = *self - other;
    }
}
