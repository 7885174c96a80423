//! The feedback that holds bulk work back when live callers are slowed down.

use std::time::Duration;

use crate::Timestamp;

/// A limit on the bulk slots of one server that adapts to how live callers fare.
pub trait SlotLimit {
    /// Lowers the limit, since live callers were slowed down.
    fn record_slowdown(&mut self, now: Timestamp);

    /// Raises the limit for the time that passed.
    fn tick(&mut self, now: Timestamp);

    /// Returns the most bulk slots, fractions included.
    fn limit(&self) -> f64;
}

/// A constant limit, as a baseline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FixedLimit {
    /// The limit, in slots.
    pub slots: f64,
}

impl SlotLimit for FixedLimit {
    fn record_slowdown(&mut self, _now: Timestamp) {}

    fn tick(&mut self, _now: Timestamp) {}

    fn limit(&self) -> f64 {
        self.slots
    }
}

/// Halves when live callers are slowed down, and otherwise adds slots at a steady rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdditiveLimit {
    /// The upper bound of the limit, in slots.
    pub max_slots: f64,
    /// Slots added a second.
    pub per_second: f64,
    slots: f64,
    updated_at: Timestamp,
    last_cut_at: Timestamp,
}

/// For this long after a cut, further slowdowns count as the one that the cut responds
/// to.
const CUT_COOLDOWN: Duration = Duration::from_millis(250);

impl AdditiveLimit {
    /// Creates a limit that starts with one slot.
    pub fn new(max_slots: f64, per_second: f64) -> Self {
        AdditiveLimit {
            max_slots,
            per_second,
            slots: 1.0_f64.min(max_slots),
            updated_at: Timestamp::ZERO,
            last_cut_at: Timestamp::ZERO,
        }
    }
}

impl SlotLimit for AdditiveLimit {
    fn record_slowdown(&mut self, now: Timestamp) {
        if now.since(self.last_cut_at) < CUT_COOLDOWN {
            return;
        }
        self.last_cut_at = now;
        self.slots /= 2.0;
    }

    fn tick(&mut self, now: Timestamp) {
        let added = now.since(self.updated_at).as_secs_f64() * self.per_second;
        self.updated_at = self.updated_at.max(now);
        self.slots = (self.slots + added).min(self.max_slots);
    }

    fn limit(&self) -> f64 {
        self.slots
    }
}

/// Cuts the limit to a fixed fraction when live callers are slowed down, and multiplies
/// it by a factor each interval: the choke and creep of "Design of a DoS protection
/// overlay for autonomous services across untrusted nodes", section 2.3, with a
/// server's home daemon as the upstream node.
///
/// See `docs/DESIGN.md` for how it compares with [`AdditiveLimit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChokeCreepLimit {
    /// The upper bound of the limit, in slots.
    pub max_slots: f64,
    /// The time between two increases.
    pub interval: Duration,
    slots: f64,
    last_growth_at: Timestamp,
    last_cut_at: Timestamp,
}

/// The fraction of the limit that a cut leaves.
const CUT_FACTOR: f64 = 0.5;
/// The factor of one increase.
const GROWTH_FACTOR: f64 = 1.5;
/// The lower bound of the limit: multiplying zero would never raise it again.
const MIN_SLOTS: f64 = 0.5;

impl ChokeCreepLimit {
    /// Creates a limit that starts with one slot.
    pub fn new(max_slots: f64, interval: Duration) -> Self {
        let slots = 1.0_f64.min(max_slots);
        ChokeCreepLimit {
            max_slots,
            interval,
            slots,
            last_growth_at: Timestamp::ZERO,
            last_cut_at: Timestamp::ZERO,
        }
    }
}

impl SlotLimit for ChokeCreepLimit {
    fn record_slowdown(&mut self, now: Timestamp) {
        if now.since(self.last_cut_at) < CUT_COOLDOWN {
            return;
        }
        self.last_cut_at = now;
        self.last_growth_at = now;
        self.slots = (self.slots * CUT_FACTOR).max(MIN_SLOTS);
    }

    fn tick(&mut self, now: Timestamp) {
        while now.since(self.last_growth_at) >= self.interval {
            self.last_growth_at = self.last_growth_at + self.interval;
            self.slots = (self.slots * GROWTH_FACTOR).min(self.max_slots);
        }
    }

    fn limit(&self) -> f64 {
        self.slots
    }
}
