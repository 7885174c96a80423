//! The directory of servers, and what is held on to while the store was away.

use std::time::Duration;

use comfreyramp_policy::{Timestamp, placement::ServerListing};
use comfreyramp_store::WatchBatch;

use super::Node;
use crate::{
    dialect::{Dialect, FleetRecords},
    fleet::WholeList,
};

/// Entries that are missing after the store was away are held on to until so long
/// after its return: servers that live write theirs again within two seconds.
const RETURN_SPAN: Duration = Duration::from_millis(2_100);
/// Entries that vanish together, without a sign that the store was away, are held
/// on to for so long. It is less than the span for which a server that leaves
/// still answers.
const MASS_SPAN: Duration = Duration::from_millis(1_500);

impl<D: Dialect> Node<D> {
    /// Takes over a whole list of servers.
    pub fn take_servers(&self, list: WholeList) {
        let now = self.clock.now();
        let before = self.listings();
        if self.views.borrow_mut().servers.reset(list, now) {
            self.hold_missing(&before, 0, now);
            self.use_listings();
        }
    }

    /// Takes over changes of servers.
    pub fn change_servers(&self, batch: WatchBatch) {
        let now = self.clock.now();
        let before = self.listings();
        let deleted = batch.deleted.len();
        if self.views.borrow_mut().servers.apply(batch, now) {
            self.hold_missing(&before, deleted, now);
            self.use_listings();
        }
    }

    /// Holds on to servers that are missing right after the store was away. An
    /// empty directory would stop all service, though the servers are well.
    fn hold_missing(&self, before: &[ServerListing], deleted: usize, now: Timestamp) {
        // A store that was away without anybody here noticing drops many entries
        // at once. Servers that leave do so one after the other.
        let is_mass = deleted > 2 && deleted * 3 > before.len();
        let after_outage = self
            .store_health
            .get()
            .returned_at
            .map(|it| it + RETURN_SPAN);
        let after_mass = is_mass.then(|| now + MASS_SPAN);
        let Some(until) = after_outage.max(after_mass).filter(|it| *it > now) else {
            return;
        };
        let listed = self.listings();
        let mut missing = self.missing.borrow_mut();
        for server in before {
            let is_listed = listed.iter().any(|it| it.name == server.name);
            let is_held = missing.iter().any(|it| it.0.name == server.name);
            if server.is_ready && !is_listed && !is_held {
                let span = until.since(now).as_millis() as u64;
                log::info!(server = server.name, for_ms = span; "directory: missing, used on for a moment");
                missing.push((server.clone(), until));
            }
        }
    }

    fn listings(&self) -> Vec<ServerListing> {
        let views = self.views.borrow();
        let mut listings = Vec::new();
        for pair in views.servers.pairs() {
            match <D::Records as FleetRecords>::read_server(&pair.key, &pair.value) {
                Ok(listing) => listings.push(listing),
                Err(error) => {
                    log::debug!(key = pair.key, error:% = error; "directory: an entry names no server");
                }
            }
        }
        listings
    }

    pub(super) fn use_listings(&self) {
        let now = self.clock.now();
        let mut listings = self.listings();
        let mut missing = self.missing.borrow_mut();
        missing.retain(|it| it.1 > now && !listings.iter().any(|new| new.name == it.0.name));
        listings.extend(missing.iter().map(|it| it.0.clone()));
        let ready = listings.iter().filter(|it| it.is_ready).count();
        let revision = self.views.borrow().servers.revision();
        log::info!(servers = listings.len(), ready = ready, revision = revision; "directory: changed");
        self.metrics.view_revision("servers", revision);
        self.servers.borrow_mut().set_listings(&listings);
        self.share_servers();
        self.bulk_wake.notify_one();
    }

    /// Works out which servers this daemon uses first.
    pub(super) fn share_servers(&self) {
        let own = self.member_record();
        let mut servers = self.servers.borrow_mut();
        let mut of_zone = servers.listed();
        of_zone.retain(|it| it.1.zone == own.zone);
        of_zone.sort_unstable_by(|left, right| left.1.service.cmp(&right.1.service));
        let by_service = of_zone.chunk_by(|left, right| left.1.service == right.1.service);
        let services: Vec<Vec<u64>> = by_service
            .map(|servers| servers.iter().map(|it| it.0).collect())
            .collect();
        let homes = self.members.borrow_mut().share_servers(&own, &services);
        servers.set_homes(|server| homes.as_ref().is_none_or(|it| it.contains(&server)));
    }
}
