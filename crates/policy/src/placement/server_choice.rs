//! The choice of a server for a live request or an item of a lot.

use std::time::Duration;

use rand::{Rng, seq::IndexedRandom};

use super::{
    Placement, PlacementQuery, PlacementRefusal, PlacementTable, server_entry::ServerEntry,
};
use crate::{ServerId, Timestamp};

/// How many servers of which this daemon isn't a home daemon are compared for a request.
const DRAWN_SERVERS: usize = 2;
/// The cost, in requests, of an idle server while others of its service fail at once: it may
/// be idle since it fails too. It exceeds that of a server of which this daemon isn't a home
/// daemon, since a request with a single attempt is lost at a failing one.
const UNCHECKED_PENALTY: f64 = 2.0;
/// The shortest and the longest delay after which a rejected caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_500);

impl PlacementTable {
    /// Chooses a server for a live request.
    ///
    /// # Errors
    ///
    /// Rejects the request if no server would start it in time.
    pub fn choose_live(
        &self,
        query: PlacementQuery<'_>,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Result<Placement, PlacementRefusal> {
        let mut best = self.best_live(&query, false, now, random);
        // A server that is avoided is better than none: the reason may be a mistake.
        if best.is_none() {
            best = self.best_live(&query, true, now, random);
        }
        let Some(index) = best else {
            return Err(PlacementRefusal::NoServer);
        };
        let entry = &self.servers[index];
        let best = Placement {
            server: ServerId(index as u32),
            expected_wait: entry.load.expected_wait(now),
            load: entry.load.total(now),
        };
        if best.expected_wait > query.max_wait {
            let excess_wait = best.expected_wait - query.max_wait;
            let retry_after = (excess_wait * 2).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            return Err(PlacementRefusal::Full { retry_after, best });
        }
        Ok(best)
    }

    /// Returns the server of least cost for a live request, out of the home servers and a few
    /// others, drawn at random.
    ///
    /// The load of other servers is known from reports that are most of a second old. If
    /// every daemon of a full zone compared all of them, all would choose the few that were
    /// idle when they reported, and their requests would wait there behind each other
    /// (`tests/placement_large.rs`).
    fn best_live(
        &self,
        query: &PlacementQuery<'_>,
        is_avoided: bool,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Option<usize> {
        let avoids_suspected = self.avoids_suspected(query.service, now);
        let is_entry_avoided = |entry: &ServerEntry| {
            entry.is_avoided(now) || (avoids_suspected && entry.failures.is_suspected(now))
        };
        let is_candidate = |index: &usize| {
            let entry = &self.servers[*index];
            entry.is_usable(query.service)
                && entry.has_software(query.software)
                && !query.exclude.contains(&ServerId(*index as u32))
                && is_entry_avoided(entry) == is_avoided
                && entry.cold_start.has_room(now)
        };
        if let Some(prompt) = self.long_prefix(query.service, query.parts) {
            let best = self.best_for_prefix(query, prompt, is_candidate, now, random);
            let has_room = |it: usize| self.servers[it].load.expected_wait(now) <= query.max_wait;
            // Only the first servers of a part's order are compared, and others may have room.
            if best.is_some_and(has_room) {
                return best;
            }
        }
        let candidates = (0..self.servers.len()).filter(is_candidate);
        let (homes, others): (Vec<usize>, Vec<usize>) =
            candidates.partition(|it| self.servers[*it].is_used_first(now));
        let drawn = others.choose_multiple(random, DRAWN_SERVERS).copied();
        let drawn: Vec<usize> = drawn.collect();
        let costs = homes.into_iter().chain(drawn).map(|index| {
            let entry = &self.servers[index];
            let mut cost = entry.live_cost(query.zone, now);
            if avoids_suspected && entry.load.is_idle(now) {
                cost += UNCHECKED_PENALTY;
            }
            (cost + random.random_range(0.0..0.3), index)
        });
        let best = costs.min_by(|left, right| left.0.total_cmp(&right.0));
        best.map(|it| it.1)
    }

    /// Returns which servers are considered for an item: this daemon's own home servers; else,
    /// if none of them takes items, those of all daemons; else those that are suspected or in a
    /// silent zone, since the reason may be a mistake. A daemon without home servers of this
    /// service still has lots to run. Ejections and cold periods are short, and items wait for
    /// their end.
    ///
    /// A server counts also if it is full or excluded by the query: an item waits for a slot
    /// of a sound server, and runs again where it failed, rather than at one that is avoided.
    fn bulk_candidates(
        &self,
        query: &PlacementQuery<'_>,
        now: Timestamp,
    ) -> impl Fn(&ServerEntry) -> bool {
        let avoids_suspected = self.avoids_suspected(query.service, now);
        let (service, software) = (query.service, query.software);
        let takes_items = move |it: &ServerEntry| {
            it.is_usable(service)
                && it.has_software(software)
                && !it.cold_start.is_cold(now)
                && !it.load.is_ejected(now)
        };
        let is_sound = move |it: &ServerEntry| {
            !(it.is_in_silent_zone || avoids_suspected && it.failures.is_suspected(now))
        };
        let candidates = self.servers.iter().filter(|it| takes_items(it));
        let sound = candidates.filter(|it| is_sound(it));
        let (has_sound, has_home) = sound.fold((false, false), |(_, has_home), it| {
            (true, has_home || it.is_home)
        });
        move |it: &ServerEntry| {
            takes_items(it) && (!has_sound || is_sound(it)) && (!has_home || it.is_home)
        }
    }

    /// Chooses a server for an item of a lot, if one has free slots for bulk work.
    pub fn choose_bulk(
        &self,
        query: PlacementQuery<'_>,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Option<Placement> {
        let is_candidate = self.bulk_candidates(&query, now);
        let read_costs = self.bulk_read_costs(&query, now);
        let mut best: Option<(f64, usize)> = None;
        for (index, entry) in self.servers.iter().enumerate() {
            let id = ServerId(index as u32);
            let is_eligible = is_candidate(entry)
                && !query.exclude.contains(&id)
                && entry.load.may_start_bulk(now);
            if !is_eligible || entry.free_bulk_slots(now) < 1.0 {
                continue;
            }
            let zone_penalty = if entry.listing.zone == query.zone {
                0.0
            } else {
                0.5
            };
            let read_cost = read_costs.iter().find(|it| it.0 == index);
            let read_cost = read_cost.map_or(0.0, |it| it.1);
            let cost = zone_penalty - entry.free_bulk_slots(now)
                + entry.slow_bulk_cost(now)
                + read_cost
                + random.random_range(0.0..0.5);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, index));
            }
        }
        let (_, index) = best?;
        Some(Placement {
            server: ServerId(index as u32),
            expected_wait: Duration::ZERO,
            load: self.servers[index].load.total(now),
        })
    }
}
