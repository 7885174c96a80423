//! The servers as one daemon knows them, and the choice of a server for a request.

use std::time::Duration;

use rand::{Rng, seq::IteratorRandom};

use super::{
    LoadShare, PromptPart, ServerListing, ServerOutcomeKind, SlotReport, WorkKind,
    cold_start::{ColdStart, ColdStartLimit},
    customer_outcomes::CustomerOutcomes,
    prompt_cache::PromptCache,
    server_entry::{ServerEntry, cold_limit},
    server_failures::FailureRecord,
    server_load::ServerLoad,
    server_pace::{ServerPace, ServicePace, pace_of},
    unproven_failures::UnprovenFailures,
};
use crate::{
    ServerId, Timestamp,
    hash::{mix, name_hash},
    streams::SoftwareKey,
    usage::PeerId,
};

/// How long a software counts as in use after its last server has left: longer than a stream
/// that it began may be taken up.
const SOFTWARE_MEMORY: Duration = Duration::from_secs(60);

/// What a request requires of a server.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// The service that has to answer the request.
    pub service: &'a str,
    /// The zone of the daemon that places the request.
    pub zone: &'a str,
    /// Servers that were attempted already.
    pub exclude: &'a [ServerId],
    /// The longest wait for a slot that still meets the request's objective.
    pub max_wait: Duration,
    /// The only software that may answer: that which began the stream that goes on.
    pub software: Option<SoftwareKey>,
    /// The parts of the request's prompt, in order.
    pub parts: &'a [PromptPart],
}

/// A chosen server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The server.
    pub server: ServerId,
    /// How long the request is expected to wait there.
    pub expected_wait: Duration,
    /// The load of all daemons on the server, without this request.
    pub load: LoadShare,
}

/// Why no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementRefusal {
    /// The service has no server that could take the request.
    NoServer,
    /// No server is expected to start the request within its longest wait.
    Full {
        /// The delay after which there should be capacity.
        retry_after: Duration,
        /// The server that costs least, and how the request would wait there.
        best: Placement,
    },
}

/// How many lot items to preempt at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PreemptionOrder {
    /// The server.
    pub server: ServerId,
    /// How many of this daemon's items to preempt.
    pub items: u32,
}

/// The servers as one daemon knows them.
#[derive(Clone, Debug, Default)]
pub struct PlacementTable {
    own: PeerId,
    /// Indexed by [`ServerId`]: a server that left the directory keeps its index for
    /// the requests that still run on it.
    pub(super) servers: Vec<ServerEntry>,
    /// The services whose servers keep prompt parts, sorted by name.
    pub(super) prompt_caches: Vec<PromptCache>,
    /// How the customers' recent requests ended.
    pub(super) customers: CustomerOutcomes,
    pub(super) unproven: UnprovenFailures,
    /// Sorted by service.
    service_paces: Vec<ServicePace>,
    /// The services whose servers may get few requests while they are cold, sorted by
    /// name.
    cold_limits: Vec<(String, ColdStartLimit)>,
    /// When each software of the listed servers was last known to be in use, sorted by
    /// software.
    used_software: Vec<(SoftwareKey, String, Timestamp)>,
    /// Sorted.
    evacuated_zones: Vec<String>,
    silent_zones: Vec<String>,
}

impl PlacementTable {
    /// Creates the table of the daemon with this id, without servers.
    pub fn new(own: PeerId) -> Self {
        PlacementTable {
            own,
            ..PlacementTable::default()
        }
    }

    /// Applies the directory's list. Servers that are no longer on it get no new
    /// requests. Returns the servers that have turned cold.
    pub fn set_listings(&mut self, listings: &[ServerListing], now: Timestamp) -> Vec<ServerId> {
        self.note_used_software(now);
        // An entry that becomes free is reused for a new server, so those that stay listed
        // have to be known before.
        for entry in &mut self.servers {
            entry.is_listed &= listings.iter().any(|it| entry.is_of(it));
        }
        let mut turned_cold = Vec::new();
        for listing in listings {
            let index = self.entry_of(listing);
            let entry = &mut self.servers[index];
            let is_news = !entry.is_listed || entry.listing.revision < listing.revision;
            entry.is_listed = true;
            entry.is_evacuated = self.evacuated_zones.binary_search(&listing.zone).is_ok();
            entry.is_in_silent_zone = self.silent_zones.contains(&listing.zone);
            if entry.listing.slots != listing.slots {
                entry.load.slots = listing.slots;
            }
            entry.listing = listing.clone();
            entry.may_have_restarted &= !is_news;
            let Some(limit) = cold_limit(&self.cold_limits, &listing.service) else {
                continue;
            };
            // An invalid time is read as that of a server that has just started.
            let left = listing.cold_left.unwrap_or(limit.period);
            if is_news && entry.cold_start.extend(limit, left, now) {
                turned_cold.push(ServerId(index as u32));
            }
        }
        turned_cold
    }

    /// Records the software of all servers that are listed until now.
    fn note_used_software(&mut self, now: Timestamp) {
        let used = &mut self.used_software;
        used.retain(|it| now.since(it.2) < SOFTWARE_MEMORY);
        for entry in self.servers.iter().filter(|it| it.is_listed) {
            match used.binary_search_by_key(&entry.software, |it| it.0) {
                Ok(index) => used[index].2 = now,
                Err(index) => {
                    used.insert(index, (entry.software, entry.listing.service.clone(), now));
                }
            }
        }
    }

    /// Returns whether all servers of a service that this daemon has known lately have the
    /// same software.
    pub fn has_single_version(&self, service: &str, now: Timestamp) -> bool {
        let listed = self.servers.iter();
        let listed = listed.filter(|it| it.is_listed && it.listing.service == service);
        let used = self.used_software.iter();
        let used = used.filter(|it| it.1 == service && now.since(it.2) < SOFTWARE_MEMORY);
        let mut known = listed.map(|it| it.software).chain(used.map(|it| it.0));
        let first = known.next();
        known.all(|it| Some(it) == first)
    }

    /// Returns the index of a server's entry, and adds one if there is none.
    fn entry_of(&mut self, listing: &ServerListing) -> usize {
        if let Some(index) = self.servers.iter().position(|it| it.is_of(listing)) {
            return index;
        }
        let former = self
            .servers
            .iter()
            .find(|it| it.listing.name == listing.name);
        let entry = ServerEntry {
            key: name_hash(&listing.name),
            service_key: mix(name_hash(&listing.service)),
            software: listing.software(),
            may_have_restarted: false,
            load: ServerLoad::new(listing.slots),
            pace: ServerPace::default(),
            cold_start: former.map_or_else(ColdStart::default, |it| {
                ColdStart::after_restart_of(&it.cold_start)
            }),
            failures: FailureRecord::default(),
            listing: listing.clone(),
            is_listed: false,
            is_home: true,
            is_evacuated: false,
            is_in_silent_zone: false,
        };
        // The entry of a server that left the directory and has no open requests is
        // reused: servers come and go for as long as a daemon runs.
        let is_unused = |it: &ServerEntry| !it.is_listed && it.load.own == LoadShare::default();
        match self.servers.iter().position(is_unused) {
            Some(index) => {
                self.servers[index] = entry;
                index
            }
            None => {
                self.servers.push(entry);
                self.servers.len() - 1
            }
        }
    }

    /// Sets which services limit requests to cold servers.
    pub fn set_cold_limits(&mut self, mut limits: Vec<(String, ColdStartLimit)>, now: Timestamp) {
        limits.sort_unstable_by(|left, right| left.0.cmp(&right.0));
        for entry in &mut self.servers {
            let service = &entry.listing.service;
            let former = cold_limit(&self.cold_limits, service);
            let Some(limit) = cold_limit(&limits, service).filter(|_| former.is_none()) else {
                continue;
            };
            // The directory may have been listed before the limits were known.
            let left = entry.listing.cold_left.unwrap_or(limit.period);
            entry.cold_start.extend(limit, left, now);
        }
        self.cold_limits = limits;
    }

    /// Sets this daemon's share of the limit of each server, from the server's hash, its
    /// zone and the limit.
    pub fn set_cold_shares(&mut self, share: impl Fn(u64, &str, ColdStartLimit) -> u32) {
        for entry in &mut self.servers {
            if let Some(limit) = cold_limit(&self.cold_limits, &entry.listing.service) {
                entry.cold_start.share = share(entry.key, &entry.listing.zone, limit);
            }
        }
    }

    /// Returns this daemon's share of a server's limit while it is cold, in requests a
    /// second.
    pub fn cold_share(&self, id: ServerId) -> u32 {
        self.servers[id.index()].cold_start.share
    }

    /// Returns the zones from which this daemon receives nothing any more.
    pub fn silent_zones(&self) -> &[String] {
        &self.silent_zones
    }

    /// Sets the zones from which this daemon receives nothing any more. Their servers are a last
    /// resort, like those that are ejected.
    pub fn set_silent_zones(&mut self, zones: Vec<String>) {
        for entry in &mut self.servers {
            entry.is_in_silent_zone = zones.contains(&entry.listing.zone);
        }
        self.silent_zones = zones;
    }

    /// Returns the zones whose servers get no new requests, sorted.
    pub fn evacuated_zones(&self) -> &[String] {
        &self.evacuated_zones
    }

    /// Sets the zones whose servers get no new requests. The servers of a zone that is no
    /// longer evacuated count as cold: they had no requests, and their entries may not say
    /// yet that they are.
    pub fn set_evacuated_zones(&mut self, mut zones: Vec<String>, now: Timestamp) {
        zones.sort_unstable();
        for entry in &mut self.servers {
            let is_evacuated = zones.binary_search(&entry.listing.zone).is_ok();
            if entry.is_evacuated && !is_evacuated {
                entry.assume_cold(&self.cold_limits, now);
            }
            entry.is_evacuated = is_evacuated;
        }
        self.evacuated_zones = zones;
    }

    /// Sets the servers of which this daemon is a home daemon, by the hashes of their
    /// names.
    pub fn set_homes(&mut self, is_home: impl Fn(u64) -> bool) {
        for entry in &mut self.servers {
            entry.is_home = is_home(entry.key);
        }
    }

    /// Returns the servers on the directory's list, with the hashes of their names.
    pub fn listed(&self) -> Vec<(u64, &ServerListing)> {
        let listed = self.servers.iter().filter(|it| it.is_listed);
        listed.map(|it| (it.key, &it.listing)).collect()
    }

    /// Returns a server of a zone on the directory's list, drawn at random.
    pub fn draw_listed(&self, zone: &str, random: &mut impl Rng) -> Option<ServerId> {
        let is_candidate = |it: &(usize, &ServerEntry)| it.1.is_listed && it.1.listing.zone == zone;
        let candidates = self.servers.iter().enumerate().filter(is_candidate);
        candidates
            .choose(random)
            .map(|(index, _)| ServerId(index as u32))
    }

    /// Returns a server's listing.
    pub fn listing(&self, id: ServerId) -> &ServerListing {
        &self.servers[id.index()].listing
    }

    /// Returns the software of a server, as the directory lists it.
    pub fn software(&self, id: ServerId) -> SoftwareKey {
        self.servers[id.index()].software
    }

    /// Returns whether a server may have restarted, with other software, since its entry was
    /// read: a connection to it failed.
    pub fn may_have_restarted(&self, id: ServerId) -> bool {
        self.servers[id.index()].may_have_restarted
    }

    /// Records that a server is still in the run that the directory lists.
    pub fn confirm_run(&mut self, id: ServerId) {
        self.servers[id.index()].may_have_restarted = false;
    }

    /// Returns how long work takes on a server, in percent of the usual time, as far as this
    /// daemon knows.
    pub fn pace_percent(&self, id: ServerId, now: Timestamp) -> u32 {
        (self.servers[id.index()].pace.factor(now) * 100.0) as u32
    }

    /// Returns the hash of a server's name.
    pub fn key(&self, id: ServerId) -> u64 {
        self.servers[id.index()].key
    }

    /// Returns whether this daemon is a home daemon of a server.
    pub fn is_home(&self, id: ServerId) -> bool {
        self.servers[id.index()].is_home
    }

    /// Returns whether a service has a server that takes new requests.
    pub fn has_server(&self, service: &str) -> bool {
        let usable = |it: &ServerEntry| it.is_usable(service);
        self.servers.iter().any(usable)
    }

    /// Returns whether a service has a server with this software that takes new requests.
    pub fn has_software(&self, service: &str, software: SoftwareKey) -> bool {
        let usable = |it: &ServerEntry| it.is_usable(service) && it.software == software;
        self.servers.iter().any(usable)
    }

    /// Returns where this daemon's items have to be preempted for live requests.
    ///
    /// Each daemon gives up its share of the missing slots, so that all of them
    /// together give up just enough.
    pub fn preemption_orders(&mut self, now: Timestamp) -> Vec<PreemptionOrder> {
        let mut orders = Vec::new();
        for (index, entry) in self.servers.iter_mut().enumerate() {
            let items = entry.load.own_preemptions(self.own, now);
            if items == 0 {
                continue;
            }
            entry.load.record_preemption(now);
            orders.push(PreemptionOrder {
                server: ServerId(index as u32),
                items,
            });
        }
        orders
    }

    /// Returns the other daemons whose items have to be preempted at a server. They
    /// need a report at once, since a live request waits for these slots.
    pub fn preemption_holders(&self, id: ServerId, now: Timestamp) -> Vec<PeerId> {
        self.servers[id.index()].load.preemption_holders(now)
    }

    /// Counts a request that is sent to a server. Returns whether it should find a free
    /// slot there: only then does its duration show how long the server holds a slot
    /// for a request.
    pub fn begin(&mut self, id: ServerId, kind: WorkKind, now: Timestamp) -> bool {
        let entry = &mut self.servers[id.index()];
        entry.cold_start.record_request(now);
        entry.pace.record_use(now);
        let load = &mut entry.load;
        let has_slot = load.has_free_slot(now);
        match kind {
            WorkKind::Live => load.own.live += 1,
            WorkKind::Bulk => {
                load.own.bulk += 1;
                load.record_bulk_start(now);
            }
        }
        has_slot
    }

    /// Removes a request from a server's count.
    pub fn end(&mut self, id: ServerId, kind: WorkKind) {
        let own = &mut self.servers[id.index()].load.own;
        match kind {
            WorkKind::Live => own.live = own.live.saturating_sub(1),
            WorkKind::Bulk => own.bulk = own.bulk.saturating_sub(1),
        }
    }

    /// Records how a request ended.
    ///
    /// A server that can't be reached, or is ejected, counts as cold from then on: if it
    /// has failed, it is cold when it is back, and its entry tells so only later.
    pub fn note(&mut self, id: ServerId, outcome: ServerOutcomeKind, now: Timestamp) {
        let entry = &mut self.servers[id.index()];
        entry.load.record_outcome(outcome, now);
        entry.may_have_restarted |= matches!(
            outcome,
            ServerOutcomeKind::Unreachable | ServerOutcomeKind::Broken
        );
        let may_be_down = match outcome {
            ServerOutcomeKind::Unreachable => true,
            ServerOutcomeKind::Broken => entry.load.is_ejected(now),
            _ => false,
        };
        if may_be_down {
            entry.assume_cold(&self.cold_limits, now);
        }
    }

    /// Records how long a live request held its slot, if it found one free. With the
    /// time in the server's queue included, later requests would seem to have no chance
    /// to start in time, and a server that answers within 60 ms would be rejected for a
    /// queue of three.
    pub fn record_hold_time(&mut self, id: ServerId, hold_time: Duration) {
        let entry = &mut self.servers[id.index()];
        let mean_secs = entry.load.record_hold_time(hold_time);
        let service = pace_of(&mut self.service_paces, &entry.listing.service);
        entry.pace.record_hold(mean_secs, hold_time, service);
    }

    /// Applies a server's own report.
    pub fn report(&mut self, id: ServerId, report: SlotReport, now: Timestamp) {
        let entry = &mut self.servers[id.index()];
        entry.load.report(report, now);
        if let Some(percent) = report.pace_percent {
            let service = pace_of(&mut self.service_paces, &entry.listing.service);
            entry.pace.report(percent, service, now);
        }
    }

    /// Applies a report of another daemon: its load on servers, by the hashes of their
    /// names. It has nothing on servers that the report doesn't name.
    pub fn receive(&mut self, peer: PeerId, shares: &[(u64, LoadShare)], now: Timestamp) {
        for entry in &mut self.servers {
            let named = shares.iter().find(|it| it.0 == entry.key);
            let share = named.map_or_else(LoadShare::default, |it| it.1);
            entry.load.receive(peer, share, now);
        }
    }

    /// Returns this daemon's load on servers, by the hashes of their names.
    pub fn own_shares(&self) -> Vec<(u64, LoadShare)> {
        let used = self
            .servers
            .iter()
            .filter(|it| it.load.own != LoadShare::default());
        used.map(|it| (it.key, it.load.own)).collect()
    }
}
