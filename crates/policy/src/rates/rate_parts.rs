//! The division of a customer's rate and burst into parts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::hash::{mix, name_hash};

use super::{SLOTS, Tokens};

/// The maximum number of slots that one customer uses.
pub const MAX_CUSTOMER_SLOTS: usize = 8;

/// The maximum number of zones in a fleet.
pub const MAX_ZONES: usize = 16;

/// The minimum rate of each slot when a customer's rate is split, in requests per
/// second. Below it, one daemon per zone easily answers all token requests for the
/// customer.
const MIN_SLOT_RATE: f64 = 100.0;

/// The minimum capacity of a slot in one zone, in tokens. With less it would admit too
/// few requests while the zone is cut off.
const MIN_SLOT_BURST: f64 = 4.0;

/// The maximum time for which a removed customer is remembered, in seconds.
const MAX_FILL_SECS: f64 = 86_400.0;

/// Identifies a customer in messages between daemons: a hash of the name, which is the
/// same under each revision of the settings.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CustomerKey(pub u64);

impl CustomerKey {
    /// Returns the key of the customer called `name`.
    pub fn of_name(name: &str) -> Self {
        CustomerKey(name_hash(name))
    }
}

/// The rate and burst that the settings allow a customer over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerRate {
    /// The customer.
    pub customer: CustomerKey,
    /// Requests per second.
    pub rate: f64,
    /// Requests that are admitted at once after an idle time.
    pub burst: u32,
}

/// A refill rate with a capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slice {
    /// Tokens per second.
    pub rate: Tokens,
    /// The maximum number of tokens kept.
    pub capacity: Tokens,
}

impl Slice {
    /// Returns the smaller rate with the smaller capacity.
    pub fn min(self, other: Slice) -> Slice {
        Slice {
            rate: self.rate.min(other.rate),
            capacity: self.capacity.min(other.capacity),
        }
    }

    /// Returns the larger rate with the larger capacity.
    pub fn max(self, other: Slice) -> Slice {
        Slice {
            rate: self.rate.max(other.rate),
            capacity: self.capacity.max(other.capacity),
        }
    }

    /// Returns the sum of both slices.
    pub fn plus(self, other: Slice) -> Slice {
        Slice {
            rate: self.rate + other.rate,
            capacity: self.capacity + other.capacity,
        }
    }

    /// Returns this slice less `other`, saturating at zero.
    pub fn minus(self, other: Slice) -> Slice {
        Slice {
            rate: self.rate - other.rate,
            capacity: self.capacity - other.capacity,
        }
    }
}

/// The parts of a customer's rate and burst: one for each of its slots in each zone.
///
/// Every daemon computes the same parts from the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateParts {
    /// The number of slots that the customer uses, a power of two.
    pub slots: u8,
    /// The number of zones.
    pub zones: u8,
    /// The sum over all slots and zones.
    pub whole: Slice,
}

impl RateParts {
    /// Divides a customer's rate and burst among `zones` zones.
    pub fn of_rate(rate: &CustomerRate, zones: usize) -> Self {
        let zones = zones.clamp(1, MAX_ZONES) as u8;
        let mut slots = 1_u8;
        while usize::from(slots) < MAX_CUSTOMER_SLOTS && worth_splitting(rate, zones, slots * 2) {
            slots *= 2;
        }
        let rate_whole = Tokens::from_f64(rate.rate);
        let capacity = Tokens::whole(rate.burst);
        RateParts {
            slots,
            zones,
            whole: Slice {
                rate: rate_whole,
                capacity,
            },
        }
    }

    /// Returns the part of the customer's slot at `slot_index` in a zone.
    ///
    /// The parts add up to exactly the whole. If each part were rounded down, the last
    /// token of a burst would never become a whole token.
    pub fn slice(&self, zone: usize, slot_index: u8) -> Slice {
        let parts = u32::from(self.slots) * u32::from(self.zones);
        let index = zone as u32 * u32::from(self.slots) + u32::from(slot_index);
        Slice {
            rate: self.whole.rate.part(index, parts),
            capacity: self.whole.capacity.part(index, parts),
        }
    }

    /// Returns how long an empty bucket of the whole takes to fill, at most a day.
    pub fn fill_time(&self) -> Duration {
        let fill = self.whole.capacity.as_f64() / self.whole.rate.as_f64();
        Duration::from_secs_f64(fill.clamp(0.0, MAX_FILL_SECS))
    }

    /// Whether both have the same number of slots and zones; rate and burst may differ.
    pub fn same_division(&self, other: &RateParts) -> bool {
        self.slots == other.slots && self.zones == other.zones
    }
}

fn worth_splitting(rate: &CustomerRate, zones: u8, slots: u8) -> bool {
    rate.rate / f64::from(slots) >= MIN_SLOT_RATE
        && f64::from(rate.burst) / (f64::from(slots) * f64::from(zones)) >= MIN_SLOT_BURST
}

/// Returns the roster slot that serves as the customer's slot at `slot_index`.
pub(super) fn roster_slot(customer: CustomerKey, slot_index: u8) -> u8 {
    let spread = SLOTS / MAX_CUSTOMER_SLOTS;
    let start = mix(customer.0) as usize;
    ((start + usize::from(slot_index) * spread) % SLOTS) as u8
}

/// Returns the zones in the order in which a daemon sends token requests for one slot of
/// a customer; the first is the slot's home.
pub(super) fn zone_order(customer: CustomerKey, slot: u8, zones: u8) -> [u8; MAX_ZONES] {
    let mut scored = [(u64::MAX, 0_u8); MAX_ZONES];
    for zone in 0..zones {
        let seed = customer.0 ^ (u64::from(slot) << 8) ^ u64::from(zone);
        scored[usize::from(zone)] = (mix(seed), zone);
    }
    scored[..usize::from(zones)].sort_unstable();
    scored.map(|(_, zone)| zone)
}
