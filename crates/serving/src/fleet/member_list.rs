//! The other daemons: those registered in the store, and those that send reports.

use std::{net::SocketAddr, time::Duration};

use comfreyramp_policy::{
    Timestamp, ZoneContacts,
    lots::{RunnerMemory, was_out_of_contact},
    placement::{HomePair, home_pairs},
    streams::{KeeperCandidate, KeeperCounts, StreamKey, choose_keepers},
    usage::PeerId,
};
use rand::{Rng, seq::IndexedRandom};

use super::{MemberRecord, PeerMessage, ViewRevisions, known_member::KnownMember};
use crate::lots::AssignedLot;

/// How long after its last report an unregistered daemon is forgotten. Until then this
/// daemon keeps reporting to it: its lease may have expired because the store rejects its
/// calls, and then it can learn only from other daemons.
const FORGET_TIMEOUT: Duration = Duration::from_secs(6);
/// A daemon counts as reporting if its last report is at most this many report intervals
/// old.
const REPORTING_INTERVALS: f64 = 3.6;
/// Longest interval between two reports of a daemon, to far peers and while nothing
/// changes.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// The same in a large fleet. With it a daemon of 88 in 3 zones sends some 250 messages
/// a second and not 600.
const LARGE_FLEET_REPORT_INTERVAL: Duration = Duration::from_millis(750);
/// Minimum number of daemons of a large fleet that watch the store. All others learn
/// from them, also across zones, as each call of a watch is billed. With three, two may be
/// lost or rejected by the store before the fleet has to wait for another to take over.
/// Each zone has at least one, since it may be cut off from the others.
const MIN_WATCHERS: usize = 3;
/// Maximum number of daemons of a zone that try to watch, for each watcher that it needs.
/// While the store rejects some daemons, the next ones of their zone try in their place.
/// Without this limit a store that is down for all would be called by the whole fleet
/// each second. The remaining daemons learn from other zones, or stand in for the watchers
/// once they know that a change is missing.
const MAX_ATTEMPTS_PER_WATCHER: usize = 4;
/// How many entry daemons and how many lot-running daemons of a large fleet have a server
/// as one of their home servers, which they use first. Fewer would leave a daemon with many
/// callers too few servers; more would mean more reports between those that share one.
const ENTRIES_PER_SERVER: usize = 4;
const RUNNERS_PER_SERVER: usize = 2;

/// Up to this many other daemons the fleet is small: each daemon reports every change to
/// all others.
const MAX_SMALL_FLEET_PEERS: usize = 16;

/// The addresses of the other daemons, by how often they get reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerAddresses {
    /// The daemons that get a report of every change.
    pub near: Vec<SocketAddr>,
    /// The daemons that get reports at intervals.
    pub far: Vec<SocketAddr>,
}

/// The servers of one service in one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerGroup {
    /// The zone.
    pub zone: String,
    /// The hashes of the servers' names.
    pub servers: Vec<u64>,
}

/// The other daemons of the fleet, as registered in the store and as they report.
#[derive(Clone, Debug)]
pub struct MemberList {
    own_id: PeerId,
    /// Sorted by id.
    pub(super) members: Vec<KnownMember>,
    /// The home servers of the entry daemons of all zones, sorted by server.
    home_entries: Vec<HomePair>,
    last_reconnected_at: Option<Timestamp>,
    /// Which zones this daemon hears.
    zone_contacts: ZoneContacts,
    /// Where this daemon placed lots within the last report interval: the daemon, the number
    /// of items and the time.
    pub(super) recent_placements: Vec<(PeerId, u32, Timestamp)>,
    /// The daemons that were asked to run lots, or ran them and no longer report them.
    pub(super) runner_memory: RunnerMemory,
}

impl MemberList {
    /// Returns an empty list for the daemon `own_name`, which is never part of it.
    pub fn new(own_name: &str) -> Self {
        MemberList {
            own_id: PeerId::of_name(own_name),
            members: Vec::new(),
            home_entries: Vec::new(),
            last_reconnected_at: None,
            zone_contacts: ZoneContacts::default(),
            recent_placements: Vec::new(),
            runner_memory: RunnerMemory::default(),
        }
    }

    /// Returns when a daemon last reported again after it had been out of touch.
    pub fn last_reconnected_at(&self) -> Option<Timestamp> {
        self.last_reconnected_at
    }

    /// Returns the longest interval between two reports of a daemon.
    pub fn report_interval(&self) -> Duration {
        match self.is_small() {
            true => REPORT_INTERVAL,
            false => LARGE_FLEET_REPORT_INTERVAL,
        }
    }

    fn is_small(&self) -> bool {
        self.members.len() <= MAX_SMALL_FLEET_PEERS
    }

    pub(super) fn reporting_timeout(&self) -> Duration {
        self.report_interval().mul_f64(REPORTING_INTERVALS)
    }

    /// Returns the zones none of whose daemons are heard any more, as seen from the zone
    /// `own`, and whose servers don't answer either.
    pub fn silent_zones(&mut self, own: &str, now: Timestamp) -> Vec<String> {
        let interval = self.report_interval();
        let members = &self.members;
        let reporting = |zone: &str| {
            let of_zone = members.iter().filter(|it| it.record.zone == zone);
            of_zone.filter(|it| !it.is_leaving).count()
        };
        self.zone_contacts.silent(own, reporting, interval, now)
    }

    /// Returns the zones none of whose daemons are heard any more, whether or not their servers
    /// answer.
    pub fn unheard_zones(&self) -> impl Iterator<Item = &str> {
        self.zone_contacts.unheard()
    }

    /// Records that a server of a zone answered. Returns whether the zone counted as silent.
    pub fn note_server_answer(&mut self, zone: &str, now: Timestamp) -> bool {
        self.zone_contacts.note_answer(zone, now)
    }

    /// Returns whether the daemon `own` is one of those that watch the store. In a small
    /// fleet all are; in a large one the first of each zone by the hash of their names, out
    /// of those that report and reach the store, and the next `substitutes` after these.
    pub fn is_watcher(&self, own: &MemberRecord, substitutes: usize, now: Timestamp) -> bool {
        if self.is_small() {
            return true;
        }
        let preceding = self.preceding(own, now);
        let (reaching, rejected): (Vec<_>, Vec<_>) = preceding.partition(|it| it.reaches_store);
        let wanted = MIN_WATCHERS.div_ceil(self.zone_count(&own.zone)) + substitutes;
        reaching.len() < wanted
            && reaching.len() + rejected.len() < wanted * MAX_ATTEMPTS_PER_WATCHER
    }

    /// Returns whether the daemon `own` is the first of its zone, out of those that report
    /// and reach the store.
    pub fn is_first_of_zone(&self, own: &MemberRecord, now: Timestamp) -> bool {
        !self.preceding(own, now).any(|it| it.reaches_store)
    }

    /// Returns the reporting daemons of `own`'s zone that come before it by the hash of their
    /// names.
    fn preceding(&self, own: &MemberRecord, now: Timestamp) -> impl Iterator<Item = &KnownMember> {
        let own_id = PeerId::of_name(&own.name);
        self.members.iter().filter(move |it| {
            it.record.zone == own.zone
                && !it.is_leaving
                && it.reported_within(self.reporting_timeout(), now)
                && it.id < own_id
        })
    }

    /// Returns how many zones the fleet has, that of this daemon included.
    fn zone_count(&self, own: &str) -> usize {
        let others = self.members.iter().map(|it| it.record.zone.as_str());
        let mut zones: Vec<&str> = others.chain([own]).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.len()
    }

    /// Takes over the daemons that are registered in the store.
    ///
    /// The entry of a lost daemon stays until its lease expires, and its next incarnation
    /// reports before it registers. So the list replaces a known incarnation only if that
    /// one doesn't report. Otherwise the running incarnation, and what it reported of its
    /// lots, would be forgotten.
    pub fn set_listed(&mut self, records: &[MemberRecord], now: Timestamp) {
        let timeout = self.reporting_timeout();
        for member in &mut self.members {
            member.listed_incarnation = None;
        }
        for record in records {
            let Some(member) = self.member_entry(record) else {
                continue;
            };
            let is_outdated = member.is_former(record.incarnation)
                || member.incarnation_reported_within(timeout, now);
            if member.record.incarnation == record.incarnation {
                member.record.clone_from(record);
            } else if !is_outdated {
                member.start_incarnation(record);
            }
            member.listed_incarnation = Some(record.incarnation);
            member.last_received_at.get_or_insert(now);
        }
        self.forget_silent(now);
    }

    /// Takes over a report that was received at `now`. Returns the sender's id, or `None`
    /// if the report is this daemon's own or older than one that was received before.
    pub fn receive(&mut self, message: &PeerMessage, now: Timestamp) -> Option<PeerId> {
        let timeout = self.reporting_timeout();
        let member = self.member_entry(&message.from)?;
        let incarnation = message.from.incarnation;
        if member.record.incarnation != incarnation {
            // A delayed datagram describes an incarnation that has ended: lots that no longer
            // run, and too few results.
            if member.is_former(incarnation) && member.is_confirmed(timeout, now) {
                return None;
            }
            member.start_incarnation(&message.from);
        }
        if member.last_number >= message.number {
            return None;
        }
        member.record.clone_from(&message.from);
        let is_reconnected = was_out_of_contact(member.last_received_at, now);
        member.last_number = message.number;
        member.last_received_at = Some(now);
        member.revisions = message.revisions;
        let ran = member.replace_progress(&message.progress);
        member.reaches_store = message.reaches_store;
        member.is_leaving = message.is_leaving;
        member.items = message.items;
        let id = member.id;
        for lot in &ran {
            self.runner_memory.note_ran(lot, id, now);
        }
        for assigned in &message.placed {
            let AssignedLot { lot, runner } = assigned;
            self.runner_memory.note_assigned(lot, *runner, now);
        }
        self.zone_contacts.note(&message.from.zone, now);
        if is_reconnected {
            self.last_reconnected_at = Some(now);
        }
        Some(id)
    }

    /// Returns the entry of a daemon, whichever incarnation it is in, and adds it if there
    /// is none. Returns `None` for this daemon itself.
    fn member_entry(&mut self, record: &MemberRecord) -> Option<&mut KnownMember> {
        let id = PeerId::of_name(&record.name);
        if id == self.own_id {
            return None;
        }
        let index = match self.members.binary_search_by_key(&id, |it| it.id) {
            Ok(index) => index,
            Err(index) => {
                self.members.insert(index, KnownMember::new(id, record));
                index
            }
        };
        Some(&mut self.members[index])
    }

    /// Removes daemons that are neither registered nor reporting. Returns whether there
    /// were any.
    pub fn forget_silent(&mut self, now: Timestamp) -> bool {
        let count_before = self.members.len();
        self.members.retain(|it| {
            let is_remembered = it
                .last_received_at
                .is_some_and(|at| now.since(at) < FORGET_TIMEOUT);
            it.listed_incarnation.is_some() || (is_remembered && !it.is_leaving)
        });
        self.members.len() != count_before
    }

    /// Returns the ids of all other entry daemons, which admit requests.
    pub fn entries(&self) -> Vec<PeerId> {
        self.members
            .iter()
            .filter(|it| !it.is_leaving && !it.record.runs_lots)
            .map(|it| it.id)
            .collect()
    }

    /// Returns the number of other daemons.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there is no other daemon.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the addresses of all other daemons. In a small fleet all are near; in a
    /// large one those that share a home server with this daemon.
    pub fn addresses(&self) -> PeerAddresses {
        let is_near = |it: &&KnownMember| self.is_small() || it.shares_servers;
        let (near, far): (Vec<&KnownMember>, Vec<&KnownMember>) =
            self.members.iter().partition(is_near);
        PeerAddresses {
            near: near.iter().map(|it| it.record.address).collect(),
            far: far.iter().map(|it| it.record.address).collect(),
        }
    }

    /// Computes the home servers of all daemons, which these use first and share with a few
    /// others. Returns those of the daemon `own`, or `None` in a small fleet, where each
    /// daemon uses all servers.
    pub fn assign_home_servers(
        &mut self,
        own: &MemberRecord,
        groups: &[ServerGroup],
    ) -> Option<Vec<u64>> {
        self.home_entries.clear();
        if self.is_small() {
            return None;
        }
        let mut of_own_zone = Vec::new();
        for group in groups {
            let entries = self.daemons_of(&group.zone, false, own);
            let pairs = home_pairs(&group.servers, &entries, ENTRIES_PER_SERVER);
            if group.zone == own.zone {
                let runners = self.daemons_of(&group.zone, true, own);
                of_own_zone.extend_from_slice(&pairs);
                of_own_zone.extend(home_pairs(&group.servers, &runners, RUNNERS_PER_SERVER));
            }
            self.home_entries.extend(pairs);
        }
        self.home_entries.sort_unstable();
        let own_pairs = of_own_zone.iter().filter(|it| it.1 == self.own_id);
        let homes: Vec<u64> = own_pairs.map(|it| it.0).collect();
        let sharing = of_own_zone.iter().filter(|it| homes.contains(&it.0));
        let sharing: Vec<PeerId> = sharing.map(|it| it.1).collect();
        for member in &mut self.members {
            member.shares_servers = sharing.contains(&member.id);
        }
        Some(homes)
    }

    /// Returns the entry daemons that may use the servers of a zone while these are cold:
    /// first those of the same zone, then the others.
    pub fn cold_users(&self, own: &MemberRecord, zone: &str) -> [Vec<PeerId>; 2] {
        let own_entry = (!own.runs_lots).then_some((self.own_id, own.zone.as_str()));
        let entries = self.members.iter();
        let entries = entries.filter(|it| !it.record.runs_lots && !it.is_leaving);
        let entries = entries.map(|it| (it.id, it.record.zone.as_str()));
        let (near, far): (Vec<_>, Vec<_>) = entries.chain(own_entry).partition(|it| it.1 == zone);
        [near, far].map(|group| group.into_iter().map(|it| it.0).collect())
    }

    /// Returns the entry daemons, or the daemons that run lots, of a zone, `own` included.
    fn daemons_of(&self, zone: &str, runs_lots: bool, own: &MemberRecord) -> Vec<PeerId> {
        let is_included = |it: &MemberRecord| it.zone == zone && it.runs_lots == runs_lots;
        let members = self.members.iter();
        let members = members.filter(|it| is_included(&it.record) && !it.is_leaving);
        let own = is_included(own).then_some(self.own_id);
        members.map(|it| it.id).chain(own).collect()
    }

    /// Returns the entry daemons of which a server, by the hash of its name, is a home
    /// server; none in a small fleet.
    pub fn home_entries(&self, server: u64) -> Vec<PeerId> {
        let begin = self.home_entries.partition_point(|it| it.0 < server);
        let of_server = self.home_entries[begin..].iter();
        let of_server = of_server.take_while(|it| it.0 == server);
        of_server.map(|it| it.1).collect()
    }

    /// Returns the addresses of the daemons `ids`.
    pub fn addresses_of(&self, ids: &[PeerId]) -> Vec<SocketAddr> {
        let named = self.members.iter().filter(|it| ids.contains(&it.id));
        named.map(|it| it.record.address).collect()
    }

    /// Returns the daemons that report.
    pub fn reporting(&self, now: Timestamp) -> impl Iterator<Item = PeerId> {
        self.reporting_members(now).map(|it| it.id)
    }

    /// Returns the daemons that report and run lots.
    pub fn reporting_runners(&self, now: Timestamp) -> impl Iterator<Item = PeerId> {
        self.runners(now).map(|it| it.id)
    }

    /// Returns the names of the daemons that report, reach the store and run lots.
    pub fn reporting_runner_names(&self, now: Timestamp) -> impl Iterator<Item = &str> {
        let runners = self.runners(now).filter(|it| it.reaches_store);
        runners.map(|it| it.record.name.as_str())
    }

    pub(super) fn runners(&self, now: Timestamp) -> impl Iterator<Item = &KnownMember> {
        let members = self.reporting_members(now);
        members.filter(|it| it.record.runs_lots)
    }

    fn reporting_members(&self, now: Timestamp) -> impl Iterator<Item = &KnownMember> {
        let timeout = self.reporting_timeout();
        let members = self.members.iter();
        members.filter(move |it| !it.is_leaving && it.reported_within(timeout, now))
    }

    /// Returns the addresses of the daemons that keep the origin of a stream, as seen from
    /// the zone `own`.
    pub fn stream_keepers(
        &self,
        stream: StreamKey,
        counts: KeeperCounts,
        own: &str,
        now: Timestamp,
    ) -> Vec<SocketAddr> {
        let candidates = self.reporting_members(now).map(|it| KeeperCandidate {
            id: it.id,
            is_near: it.record.zone == own,
        });
        self.addresses_of(&choose_keepers(stream, counts, candidates))
    }

    /// Returns the addresses of the daemons that report that they reach the store, and
    /// so can relay calls to it.
    pub fn relay_addresses(&self, now: Timestamp) -> Vec<SocketAddr> {
        let usable = self.reporting_members(now).filter(|it| it.reaches_store);
        usable.map(|it| it.record.address).collect()
    }

    /// Returns the address of a daemon that has a newer view than the revisions `known`,
    /// chosen at random from `zone` if possible, else from another zone. If all daemons
    /// that are behind sent their requests to the same one, a small VM would be busy with
    /// them alone. Daemons for which `is_paused` holds, as they gave no view a moment ago,
    /// are skipped: a lost daemon stays known until its lease expires, and a request to it
    /// takes its whole timeout.
    pub fn choose_peer_ahead(
        &self,
        known: ViewRevisions,
        zone: &str,
        is_paused: impl Fn(SocketAddr) -> bool,
        random: &mut impl Rng,
        now: Timestamp,
    ) -> Option<SocketAddr> {
        let is_ahead = |it: &&KnownMember| {
            it.revisions.is_ahead_of(known)
                && it.reported_within(self.reporting_timeout(), now)
                && !is_paused(it.record.address)
        };
        let (near, far): (Vec<&KnownMember>, Vec<&KnownMember>) = self
            .members
            .iter()
            .filter(is_ahead)
            .partition(|it| it.record.zone == zone);
        let chosen = near.choose(random).or_else(|| far.choose(random))?;
        Some(chosen.record.address)
    }

    /// Returns, for each view, the newest revision that any other daemon has.
    pub fn newest_revisions(&self) -> ViewRevisions {
        let reported = self.members.iter().map(|it| it.revisions);
        reported.fold(ViewRevisions::default(), ViewRevisions::newest)
    }

    /// Returns whether an incarnation of a daemon has certainly ended: a later one reported
    /// after it, and still reports. It isn't enough that another incarnation is listed or
    /// has reported, since this one may be later still. Its claim would then be taken from it
    /// while it runs, and two daemons would each report that they know all results of a
    /// lot.
    pub fn is_former_incarnation(&self, daemon: &str, incarnation: u64, now: Timestamp) -> bool {
        let id = PeerId::of_name(daemon);
        let index = self.members.binary_search_by_key(&id, |it| it.id);
        index.is_ok_and(|it| {
            let member = &self.members[it];
            member.is_former(incarnation)
                && member.incarnation_reported_within(self.reporting_timeout(), now)
        })
    }
}
