//! A token bucket whose rate and capacity may change.

use std::time::Duration;

use crate::Timestamp;

use super::{Slice, Tokens};

/// A token bucket that refills continuously up to its capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenBucket {
    /// The tokens in the bucket at `refilled_at`.
    level: Tokens,
    /// The refill rate per second and the capacity.
    slice: Slice,
    /// The time up to which the refill has been added.
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub fn empty(slice: Slice, now: Timestamp) -> Self {
        TokenBucket {
            level: Tokens::ZERO,
            slice,
            refilled_at: now,
        }
    }

    /// Creates a full bucket.
    pub fn full(slice: Slice, now: Timestamp) -> Self {
        TokenBucket {
            level: slice.capacity,
            slice,
            refilled_at: now,
        }
    }

    /// Returns the tokens in the bucket as of the last refill.
    pub fn level(&self) -> Tokens {
        self.level
    }

    /// Returns the current rate and capacity.
    pub fn slice(&self) -> Slice {
        self.slice
    }

    /// Adds the refill up to `now`. A `now` before the last refill changes nothing.
    pub fn refill(&mut self, now: Timestamp) {
        if now <= self.refilled_at {
            return;
        }
        let micros = now.as_micros() - self.refilled_at.as_micros();
        let gain = self.slice.rate.refill(micros);
        self.level = (self.level + gain).min(self.slice.capacity);
        self.refilled_at = now;
    }

    /// Changes rate and capacity as of the last refill; tokens beyond the new
    /// capacity are dropped.
    pub fn set_slice(&mut self, slice: Slice) {
        self.slice = slice;
        self.level = self.level.min(slice.capacity);
    }

    /// Removes `amount` and returns true, or returns false if the bucket holds less.
    pub fn take(&mut self, amount: Tokens) -> bool {
        if self.level < amount {
            return false;
        }
        self.level -= amount;
        true
    }

    /// Adds tokens up to the capacity.
    pub fn add(&mut self, amount: Tokens) {
        self.level = (self.level + amount).min(self.slice.capacity);
    }

    /// Returns the time until the bucket holds one whole token, at most an hour, or
    /// `None` if its rate is zero or its capacity is below one token.
    pub fn next_token(&self) -> Option<Duration> {
        let missing = (Tokens::ONE - self.level).as_f64();
        let rate = self.slice.rate.as_f64();
        if rate <= 0.0 || self.slice.capacity < Tokens::ONE {
            return None;
        }
        Some(Duration::from_secs_f64((missing / rate).min(3_600.0)))
    }
}
