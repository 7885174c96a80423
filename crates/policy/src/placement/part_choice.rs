//! The choice of a server for requests whose prompts have parts that take long to read.

use std::time::Duration;

use rand::Rng;

use super::{
    PlacementQuery, PlacementTable, PromptCacheSettings, PromptPart, PromptReading,
    prompt_cache::{CacheCandidate, CacheServer, PromptCache, ServiceLoad, SharedPrefix},
    server_entry::ServerEntry,
};
use crate::{ServerId, Timestamp};

/// How many of a part's servers are compared, the first ones of its order.
const COMPARED_SERVERS: usize = 24;
/// The fraction of its slots up to which a server reads a part anew in place of a full one.
/// All requests beside wait for that.
const MAX_READING_LOAD: f64 = 0.6;

impl PlacementTable {
    /// Sets the services whose servers keep prompt parts. What is known of services that
    /// stay is kept.
    pub fn set_prompt_caches(&mut self, mut settings: Vec<PromptCacheSettings>) {
        settings.sort_unstable_by(|left, right| left.service.cmp(&right.service));
        let former = std::mem::take(&mut self.prompt_caches);
        let to_cache = |settings: PromptCacheSettings| {
            let known = former
                .iter()
                .find(|it| it.settings.service == settings.service);
            let mut cache = known
                .cloned()
                .unwrap_or_else(|| PromptCache::new(settings.clone()));
            cache.settings = settings;
            cache
        };
        self.prompt_caches = settings.into_iter().map(to_cache).collect();
    }

    /// Records the prompt of a request that is sent to a server. Returns what the server
    /// probably has to read of the parts that requests share, if reading all of them would
    /// take noticeable time.
    pub fn begin_prompt(
        &mut self,
        id: ServerId,
        parts: &[PromptPart],
        now: Timestamp,
    ) -> Option<PromptReading> {
        let service = &self.listing(id).service;
        let index = self.cache_index(service)?;
        let reading = self.reading_at(service, id, parts, now);
        self.prompt_caches[index].record_request(parts, now);
        reading
    }

    /// Records the time to the first event of a request that found a free slot, at a server
    /// that probably had to read `tokens`.
    pub fn record_first_event(
        &mut self,
        id: ServerId,
        tokens: u32,
        elapsed: Duration,
        now: Timestamp,
    ) {
        if let Some(index) = self.cache_index(&self.listing(id).service) {
            self.prompt_caches[index].record_first_event(tokens, elapsed, now);
        }
    }

    fn cache_index(&self, service: &str) -> Option<usize> {
        let caches = &self.prompt_caches;
        caches
            .binary_search_by(|it| it.settings.service.as_str().cmp(service))
            .ok()
    }

    /// Returns what is known of a service's prompt parts and the query's shared prefix, if
    /// reading that takes noticeable time.
    pub(super) fn long_prefix(
        &self,
        service: &str,
        parts: &[PromptPart],
    ) -> Option<(&PromptCache, SharedPrefix)> {
        if parts.is_empty() {
            return None;
        }
        let cache = &self.prompt_caches[self.cache_index(service)?];
        Some((cache, cache.shared_prefix(parts)?))
    }

    fn reading_at(
        &self,
        service: &str,
        id: ServerId,
        parts: &[PromptPart],
        now: Timestamp,
    ) -> Option<PromptReading> {
        let (cache, prefix) = self.long_prefix(service, parts)?;
        let zone = &self.listing(id).zone;
        let candidates = self.cache_candidates(service, zone, cache, prefix, now);
        let chosen = candidates.iter().find(|it| it.index == id.index())?;
        Some(cache.reading(prefix, *chosen, now))
    }

    /// Returns all usable servers of a service, a prefix's own ones first.
    fn cache_candidates(
        &self,
        service: &str,
        zone: &str,
        cache: &PromptCache,
        prefix: SharedPrefix,
        now: Timestamp,
    ) -> Vec<CacheCandidate> {
        let usable = |it: &(usize, &ServerEntry)| it.1.is_usable(service);
        let usable = self.servers.iter().enumerate().filter(usable);
        let mut load = ServiceLoad {
            servers: 0.0,
            live: 0.0,
            slots: 0.0,
        };
        let mut servers = Vec::new();
        for (index, entry) in usable {
            load.live += f64::from(entry.load.total(now).live);
            load.slots += f64::from(entry.load.slots);
            servers.push(CacheServer {
                index,
                key: entry.key,
                is_in_zone: entry.listing.zone == zone,
            });
        }
        load.servers = servers.len() as f64;
        load.slots /= load.servers.max(1.0);
        cache.candidates(prefix, servers, load, now)
    }

    /// Returns the server at which a live request with a long shared prefix starts soonest.
    pub(super) fn best_for_prefix(
        &self,
        query: &PlacementQuery<'_>,
        (cache, prefix): (&PromptCache, SharedPrefix),
        is_candidate: impl Fn(&usize) -> bool,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Option<usize> {
        let candidates = self.cache_candidates(query.service, query.zone, cache, prefix, now);
        let candidates = candidates.into_iter().filter(|it| is_candidate(&it.index));
        let costs = candidates.take(COMPARED_SERVERS).map(|it| {
            let entry = &self.servers[it.index];
            let mut cost = entry.live_cost(query.zone, now);
            if it.is_own {
                cost -= entry.non_home_penalty(now);
            }
            let used_fraction = entry.used_fraction(now);
            cost += cache.read_cost(it.tokens, used_fraction) * entry.pace.factor(now);
            cost += random.random_range(0.0..0.3);
            let reads_beside_many = it.tokens > 0 && used_fraction > MAX_READING_LOAD;
            let is_full = entry.load.expected_wait(now) > query.max_wait;
            ((reads_beside_many, is_full, cost), it.index)
        });
        let is_before = |left: &(bool, bool, f64), right: &(bool, bool, f64)| {
            let flags = (left.0, left.1).cmp(&(right.0, right.1));
            flags.then(left.2.total_cmp(&right.2))
        };
        let best = costs.min_by(|left, right| is_before(&left.0, &right.0));
        best.map(|it| it.1)
    }

    /// Returns what reading a query's shared prefix costs at each server, in the unit of a
    /// server's cost; empty where it takes no noticeable time.
    pub(super) fn bulk_read_costs(
        &self,
        query: &PlacementQuery<'_>,
        now: Timestamp,
    ) -> Vec<(usize, f64)> {
        let Some((cache, prefix)) = self.long_prefix(query.service, query.parts) else {
            return Vec::new();
        };
        let candidates = self.cache_candidates(query.service, query.zone, cache, prefix, now);
        let costs = candidates.into_iter().map(|it| {
            let entry = &self.servers[it.index];
            (
                it.index,
                cache.read_cost(it.tokens, entry.used_fraction(now)) * entry.pace.factor(now),
            )
        });
        costs.collect()
    }
}
