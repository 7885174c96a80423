//! Which servers have memory left for the tokens of a request.
//!
//! Load pattern: engines of 72,000 tokens with 8 slots, whose requests share prompt parts of
//! 13,300 to 39,900 tokens, so that a few large requests together exceed an engine's memory
//! and crash it while slots are still free.

use super::{PlacementQuery, PlacementTable};
use crate::{ServerId, Timestamp};

/// The weight of a new request in the mean tokens of its service's requests: a few dozen
/// requests determine it, which is less than a second of a daemon's load.
const MEAN_WEIGHT: f64 = 0.05;
/// By how many standard deviations the requests of other daemons are taken to exceed the
/// mean, since a few large ones make up most of the tokens. In trials of the replay in
/// `tests/token_room.rs` with 0 to 3, 2 gave the fewest requests beyond an engine's memory.
const SPREAD_DEVIATIONS: f64 = 2.0;

/// The memory of a service's servers and what its requests take of it.
#[derive(Clone, Debug, PartialEq)]
struct ServiceTokens {
    service: String,
    /// How many tokens the requests on one server may have together.
    limit: u64,
    /// The mean tokens of this daemon's requests; `None` before the first one.
    mean: Option<f64>,
    variance: f64,
}

impl ServiceTokens {
    fn record(&mut self, tokens: u64) {
        let mean = self.mean.get_or_insert(tokens as f64);
        let difference = tokens as f64 - *mean;
        *mean += MEAN_WEIGHT * difference;
        let deviation = MEAN_WEIGHT * difference * difference;
        self.variance = (1.0 - MEAN_WEIGHT) * (self.variance + deviation);
    }

    /// Returns the tokens that so many requests of other daemons probably have at most.
    fn estimate(&self, requests: u32) -> u64 {
        let requests = f64::from(requests);
        let spread = SPREAD_DEVIATIONS * (requests * self.variance).sqrt();
        (requests * self.mean.unwrap_or(0.0) + spread) as u64
    }
}

/// The tokens of this daemon's requests on the servers of services with a stated memory.
///
/// Daemons report their load on servers only as counts. The requests of other daemons are
/// therefore taken to have the mean tokens of this daemon's requests to the service.
#[derive(Clone, Debug, Default)]
pub struct TokenRoom {
    /// Sorted by service.
    services: Vec<ServiceTokens>,
    /// The tokens of this daemon's requests, sorted by server.
    own: Vec<(ServerId, u64)>,
}

impl TokenRoom {
    /// Sets the services with a stated memory, in tokens of one server.
    pub fn set_limits(&mut self, limits: impl IntoIterator<Item = (String, u32)>) {
        let limits = limits.into_iter().map(|(service, limit)| {
            let former = self.find(&service);
            ServiceTokens {
                mean: former.and_then(|it| it.mean),
                variance: former.map_or(0.0, |it| it.variance),
                service,
                limit: u64::from(limit),
            }
        });
        let mut services: Vec<ServiceTokens> = limits.collect();
        services.sort_unstable_by(|left, right| left.service.cmp(&right.service));
        self.services = services;
    }

    /// Counts a request that is sent to a server, and returns the tokens that
    /// [`Self::end`] has to be given. A request that doesn't state its tokens has the mean
    /// of its service; nothing is counted for a service without a stated memory.
    pub fn begin(&mut self, server: ServerId, service: &str, tokens: Option<u64>) -> u64 {
        let Some(index) = self.index_of(service) else {
            return 0;
        };
        let entry = &mut self.services[index];
        if let Some(tokens) = tokens {
            entry.record(tokens);
        }
        let counted = tokens.unwrap_or(entry.mean.unwrap_or(0.0) as u64);
        match self.own.binary_search_by_key(&server, |it| it.0) {
            Ok(index) => self.own[index].1 += counted,
            Err(index) => self.own.insert(index, (server, counted)),
        }
        counted
    }

    /// Removes the tokens of a request that has ended.
    pub fn end(&mut self, server: ServerId, tokens: u64) {
        if let Ok(index) = self.own.binary_search_by_key(&server, |it| it.0) {
            self.own[index].1 -= tokens.min(self.own[index].1);
            if self.own[index].1 == 0 {
                self.own.remove(index);
            }
        }
    }

    /// Returns the tokens that the requests of all daemons probably have on a server at most.
    pub fn used(&self, server: ServerId, table: &PlacementTable, now: Timestamp) -> u64 {
        let entry = self.find(&table.listing(server).service);
        let others = table.requests_of_others(server, now);
        let own = self.own.binary_search_by_key(&server, |it| it.0);
        own.map_or(0, |it| self.own[it].1) + entry.map_or(0, |it| it.estimate(others))
    }

    /// Returns the servers to which a request with these tokens shouldn't go, although it
    /// may: those whose memory it would exceed or, if it fits nowhere, all but the one with
    /// the fewest tokens.
    pub fn servers_without_room(
        &self,
        query: &PlacementQuery<'_>,
        tokens: Option<u64>,
        table: &PlacementTable,
        now: Timestamp,
    ) -> Vec<ServerId> {
        let Some(entry) = self.find(query.service) else {
            return Vec::new();
        };
        let tokens = tokens.unwrap_or(entry.mean.unwrap_or(0.0) as u64);
        let candidates = table.candidates(query, now).into_iter();
        let used: Vec<(u64, ServerId)> = candidates
            .map(|it| (self.used(it, table, now), it))
            .collect();
        let least = used.iter().map(|it| it.0).min().unwrap_or(0);
        let room = entry.limit.saturating_sub(tokens).max(least);
        let without_room = used.into_iter().filter(|it| it.0 > room);
        without_room.map(|it| it.1).collect()
    }

    fn find(&self, service: &str) -> Option<&ServiceTokens> {
        self.index_of(service).map(|it| &self.services[it])
    }

    fn index_of(&self, service: &str) -> Option<usize> {
        let services = &self.services;
        services
            .binary_search_by(|it| it.service.as_str().cmp(service))
            .ok()
    }
}
