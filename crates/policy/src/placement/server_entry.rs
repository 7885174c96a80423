//! One server as a daemon knows it, and what it costs to send a request there.

use super::{
    ServerListing,
    cold_start::{ColdStart, ColdStartLimit},
    server_failures::FailureRecord,
    server_load::ServerLoad,
    server_pace::ServerPace,
};
use crate::{Timestamp, streams::SoftwareKey};

/// The weight of a lot item against a live request when a server is chosen for a live
/// request: the item can be preempted, which takes a moment.
const BULK_WEIGHT: f64 = 0.15;
/// The cost of a server in another zone, in requests. Crossing zones takes a few
/// milliseconds, and bytes between zones are billed.
const ZONE_PENALTY: f64 = 1.0;
/// The cost of a server of which this daemon isn't a home daemon, in requests: about as
/// much as a full server, since its known load is out of date.
const NON_HOME_PENALTY: f64 = 1.5;
/// The cost of a server that takes twice the usual time by its hold times, in requests. What a
/// server reports adds no such cost, since it changes within moments.
const SLOW_COST: f64 = 2.0;
/// The cost of a server that takes twice the usual time for an item, in free slots. An item
/// holds its slot for seconds, so that a faster server is worth several free slots.
const SLOW_BULK_COST: f64 = 6.0;
/// Slots of each server that items leave free for live requests that arrive before the
/// daemons have reported their counts to each other. Without them each such request
/// preempts an item.
const BULK_RESERVED_SLOTS: u32 = 1;
/// The requests that only a server's report accounts for, below which items count none. What
/// is left of an old report would otherwise keep items off a server of which all free slots
/// count.
const MIN_BULK_SURPLUS: f64 = 0.05;

#[derive(Clone, Debug)]
pub(super) struct ServerEntry {
    pub(super) listing: ServerListing,
    pub(super) key: u64,
    /// The hash of its service's name, mixed. It is kept, since each answer is weighed by it.
    pub(super) service_key: u64,
    pub(super) software: SoftwareKey,
    /// Whether it may have restarted, with other software, since its entry was read.
    pub(super) may_have_restarted: bool,
    pub(super) load: ServerLoad,
    pub(super) pace: ServerPace,
    pub(super) cold_start: ColdStart,
    pub(super) failures: FailureRecord,
    pub(super) is_listed: bool,
    /// Whether this daemon is one of its home daemons, which use it first.
    pub(super) is_home: bool,
    /// Whether its zone is evacuated.
    pub(super) is_evacuated: bool,
    /// Whether this daemon hears none of its zone's daemons any more.
    pub(super) is_in_silent_zone: bool,
}

impl ServerEntry {
    /// Returns whether the entry is that of a listed server, in the same run.
    pub(super) fn is_of(&self, listing: &ServerListing) -> bool {
        self.listing.incarnation == listing.incarnation
            && self.listing.version == listing.version
            && self.listing.service == listing.service
            && self.listing.name == listing.name
            && self.listing.address == listing.address
    }

    pub(super) fn has_software(&self, software: Option<SoftwareKey>) -> bool {
        software.is_none_or(|it| self.software == it)
    }

    pub(super) fn is_usable(&self, service: &str) -> bool {
        self.is_listed
            && self.listing.is_ready
            && !self.is_evacuated
            && self.listing.service == service
    }

    /// Returns whether the server probably gives no answer.
    pub(super) fn is_avoided(&self, now: Timestamp) -> bool {
        self.load.is_ejected(now) || self.is_in_silent_zone
    }

    /// Returns whether this daemon uses the server before others: as one of its home
    /// daemons or, while it is cold, as one of those that may use it.
    pub(super) fn is_used_first(&self, now: Timestamp) -> bool {
        self.is_home || self.cold_start.is_cold(now)
    }

    /// Takes the server as one that has just started, if its service limits requests to
    /// cold servers.
    pub(super) fn assume_cold(&mut self, limits: &[(String, ColdStartLimit)], now: Timestamp) {
        if let Some(limit) = cold_limit(limits, &self.listing.service) {
            self.cold_start.extend(limit, limit.period, now);
        }
    }

    pub(super) fn live_cost(&self, zone: &str, now: Timestamp) -> f64 {
        let total = self.load.total(now);
        let live = f64::from(total.live) + self.load.surplus(now);
        let bulk = f64::from(total.bulk);
        let slots = f64::from(self.load.slots.max(1));
        let used = live + BULK_WEIGHT * bulk;
        let zone_penalty = if self.listing.zone == zone {
            0.0
        } else {
            ZONE_PENALTY
        };
        // A full server costs more than any server in another zone.
        let overload_penalty = (live + 1.0 - slots).max(0.0) * 4.0;
        // Items have to be preempted there first.
        let preemption_penalty = if live + bulk + 1.0 > slots { 1.0 } else { 0.0 };
        let non_home_penalty = self.non_home_penalty(now);
        let pace = self.pace.factor(now);
        used / slots * 2.0 * pace
            + SLOW_COST * (self.pace.held_factor(now) - 1.0)
            + zone_penalty
            + non_home_penalty
            + overload_penalty
            + preemption_penalty
    }

    /// Returns the cost of not being a server that this daemon uses first, in requests.
    pub(super) fn non_home_penalty(&self, now: Timestamp) -> f64 {
        match self.is_used_first(now) {
            true => 0.0,
            false => NON_HOME_PENALTY,
        }
    }

    /// Returns the live requests and items on the server for each of its slots.
    pub(super) fn used_fraction(&self, now: Timestamp) -> f64 {
        let total = self.load.total(now);
        let used = f64::from(total.live) + f64::from(total.bulk) + self.load.surplus(now);
        used / f64::from(self.load.slots.max(1))
    }

    /// Returns what a slow server costs an item, in slots.
    pub(super) fn slow_bulk_cost(&self, now: Timestamp) -> f64 {
        SLOW_BULK_COST * (self.pace.lasting_factor(now) - 1.0)
    }

    pub(super) fn free_bulk_slots(&self, now: Timestamp) -> f64 {
        let total = self.load.total(now);
        let mut used = f64::from(total.live) + f64::from(total.bulk);
        let surplus = self.load.surplus(now);
        if surplus >= MIN_BULK_SURPLUS {
            used += surplus;
        }
        // A server whose only slot stayed free would never get an item.
        let reserved = BULK_RESERVED_SLOTS.min(self.load.slots.saturating_sub(1));
        f64::from(self.load.slots) - f64::from(reserved) - used
    }
}

pub(super) fn cold_limit(
    limits: &[(String, ColdStartLimit)],
    service: &str,
) -> Option<ColdStartLimit> {
    let index = limits
        .binary_search_by(|it| it.0.as_str().cmp(service))
        .ok()?;
    Some(limits[index].1)
}
