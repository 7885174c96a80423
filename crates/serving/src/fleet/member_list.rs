//! The other daemons: those that are registered, and those that are heard.

use std::{net::SocketAddr, time::Duration};

use comfreyramp_policy::{Timestamp, lots::was_out_of_touch, placement::home_pairs, usage::PeerId};
use rand::{Rng, seq::IndexedRandom};

use super::{MemberRecord, PeerMessage, ViewRevisions, known_member::KnownMember};

/// A daemon that isn't registered is still spoken to while it is heard, and for
/// so long after. The store may have turned it away, so that its lease lapsed:
/// then others are all that it can learn from.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(6);
/// A daemon was heard lately if no more than this many intervals ago.
const HEARD_INTERVALS: f64 = 3.6;
/// How often a daemon speaks at least, to daemons far away and where nothing
/// changes.
const QUIET_INTERVAL: Duration = Duration::from_millis(250);
/// The same in a large fleet, so that a daemon sends some 250 messages a second
/// and not 600 (88 daemons in 3 zones).
const LARGE_INTERVAL: Duration = Duration::from_millis(750);
/// So many daemons of a large fleet watch the store at least; the others learn from
/// them, those of other zones included. Each call of a watch is billed; with three,
/// two may be lost or turned away before anybody has to wait for another to take
/// over. Each zone has one in any case, since it may be cut off from the others.
const LEAST_WATCHERS: usize = 3;
/// While the store turns daemons away, the next ones of their zone ask it in their
/// place, but no more than so many for each that is wanted. Were all to follow, a store
/// that is away for all would be called by the whole fleet each second. Others learn
/// from other zones, or stand in once they know that something is missing.
const MOST_TRYING: usize = 4;
/// In a large fleet so many daemons for callers use a server first, and so many
/// for lots. Fewer would leave a daemon with many callers too few servers; more
/// would have more to tell each other.
const ENTRIES_PER_SERVER: usize = 4;
const RUNNERS_PER_SERVER: usize = 2;

/// In a fleet of so many daemons each speaks to all others with every change.
const SMALL_FLEET: usize = 16;

/// Where the other daemons are reached.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerAddresses {
    /// Those who hear of every change.
    pub near: Vec<SocketAddr>,
    /// Those who hear at intervals.
    pub far: Vec<SocketAddr>,
}

/// The other daemons.
#[derive(Clone, Debug)]
pub struct MemberList {
    own: PeerId,
    /// Sorted by id.
    pub(super) members: Vec<KnownMember>,
    regained_at: Option<Timestamp>,
    /// Items of lots that this daemon placed not long ago, and where.
    pub(super) placed: Vec<(PeerId, u32, Timestamp)>,
}

impl MemberList {
    /// A list of a daemon that knows no others yet.
    pub fn new(own_name: &str) -> Self {
        MemberList {
            own: PeerId::of_name(own_name),
            members: Vec::new(),
            regained_at: None,
            placed: Vec::new(),
        }
    }

    /// When a daemon was last heard that had been out of touch.
    pub fn regained_at(&self) -> Option<Timestamp> {
        self.regained_at
    }

    /// How often daemons speak at least.
    pub fn interval(&self) -> Duration {
        match self.is_small() {
            true => QUIET_INTERVAL,
            false => LARGE_INTERVAL,
        }
    }

    fn is_small(&self) -> bool {
        self.members.len() <= SMALL_FLEET
    }

    pub(super) fn heard_lately(&self) -> Duration {
        self.interval().mul_f64(HEARD_INTERVALS)
    }

    /// Whether the daemon `own` is one of those that watch the store. In a small
    /// fleet all are; in a large one the first of each zone by a hash, out of
    /// those that are heard and reach the store, and `stand_ins` after these.
    pub fn is_watcher(&self, own: &MemberRecord, stand_ins: usize, now: Timestamp) -> bool {
        if self.is_small() {
            return true;
        }
        let before = self.before(own, now);
        let (reaching, turned_away): (Vec<_>, Vec<_>) = before.partition(|it| it.reaches_store);
        let wanted = LEAST_WATCHERS.div_ceil(self.zones(&own.zone)) + stand_ins;
        reaching.len() < wanted && reaching.len() + turned_away.len() < wanted * MOST_TRYING
    }

    /// Whether the daemon `own` is the first of its zone, out of those that are heard and
    /// reach the store.
    pub fn is_first_of_zone(&self, own: &MemberRecord, now: Timestamp) -> bool {
        !self.before(own, now).any(|it| it.reaches_store)
    }

    /// The daemons of a zone that are heard and come before the daemon `own`, by a hash.
    fn before(&self, own: &MemberRecord, now: Timestamp) -> impl Iterator<Item = &KnownMember> {
        let own_score = PeerId::of_name(&own.name);
        self.members.iter().filter(move |it| {
            it.record.zone == own.zone
                && !it.is_leaving
                && it.was_heard(self.heard_lately(), now)
                && it.id < own_score
        })
    }

    /// How many zones the fleet has, that of this daemon included.
    fn zones(&self, own: &str) -> usize {
        let others = self.members.iter().map(|it| it.record.zone.as_str());
        let mut zones: Vec<&str> = others.chain([own]).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.len()
    }

    /// Takes over the daemons that are registered.
    ///
    /// The entry of a lost daemon stays until its lease lapses, and its next life
    /// speaks before it registers. So a list tells of another life only where none is
    /// heard: else the living one, and what it said of its lots, would be forgotten.
    pub fn set_listed(&mut self, records: &[MemberRecord], now: Timestamp) {
        let lately = self.heard_lately();
        for member in &mut self.members {
            member.listed_life = None;
        }
        for record in records {
            let Some(member) = self.member_of(record) else {
                continue;
            };
            let is_behind = member.is_former(record.incarnation) || member.speaks(lately, now);
            if member.record.incarnation == record.incarnation {
                member.record.clone_from(record);
            } else if !is_behind {
                member.begin_life(record);
            }
            member.listed_life = Some(record.incarnation);
            member.heard_at.get_or_insert(now);
        }
        self.forget_silent(now);
    }

    /// Takes in what a daemon says, in a message that came in now. Returns its id, or
    /// nothing if the message is this daemon's own, or older than one that came before.
    pub fn hear(&mut self, message: &PeerMessage, now: Timestamp) -> Option<PeerId> {
        let lately = self.heard_lately();
        let member = self.member_of(&message.from)?;
        let life = message.from.incarnation;
        if member.record.incarnation != life {
            // A datagram that was on its way for long tells how it was in a life that
            // is over: lots that run no more, and too few results.
            if member.is_former(life) && member.is_certain(lately, now) {
                return None;
            }
            member.begin_life(&message.from);
        }
        if member.number >= message.number {
            return None;
        }
        member.record.clone_from(&message.from);
        let is_regained = was_out_of_touch(member.heard_at, now);
        member.number = message.number;
        member.heard_at = Some(now);
        member.revisions = message.revisions;
        member.progress.clone_from(&message.progress);
        member
            .progress
            .sort_unstable_by(|left, right| left.lot.cmp(&right.lot));
        member.reaches_store = message.reaches_store;
        member.is_leaving = message.is_leaving;
        member.items = message.items;
        let id = member.id;
        if is_regained {
            self.regained_at = Some(now);
        }
        Some(id)
    }

    /// What is known of a daemon, in whichever of its lives.
    fn member_of(&mut self, record: &MemberRecord) -> Option<&mut KnownMember> {
        let id = PeerId::of_name(&record.name);
        if id == self.own {
            return None;
        }
        let place = match self.members.binary_search_by_key(&id, |it| it.id) {
            Ok(place) => place,
            Err(place) => {
                self.members.insert(place, KnownMember::new(id, record));
                place
            }
        };
        Some(&mut self.members[place])
    }

    /// Forgets daemons that are neither registered nor heard. Returns whether
    /// there were any.
    pub fn forget_silent(&mut self, now: Timestamp) -> bool {
        let before = self.members.len();
        self.members.retain(|it| {
            let is_heard = it
                .heard_at
                .is_some_and(|at| now.since(at) < FORGOTTEN_AFTER);
            it.listed_life.is_some() || (is_heard && !it.is_leaving)
        });
        self.members.len() != before
    }

    /// The ids of all other daemons that let requests in.
    pub fn entries(&self) -> Vec<PeerId> {
        self.members
            .iter()
            .filter(|it| !it.is_leaving && !it.record.runs_lots)
            .map(|it| it.id)
            .collect()
    }

    /// Where the daemons are reached. In a small fleet all are near; in a large
    /// one those that use the same servers.
    pub fn addresses(&self) -> PeerAddresses {
        let is_near = |it: &&KnownMember| self.is_small() || it.shares_servers;
        let (near, far): (Vec<&KnownMember>, Vec<&KnownMember>) =
            self.members.iter().partition(is_near);
        PeerAddresses {
            near: near.iter().map(|it| it.record.address).collect(),
            far: far.iter().map(|it| it.record.address).collect(),
        }
    }

    /// Works out which of a zone's servers, by the hashes of their names and apart for
    /// each service, the daemon `own` uses first, and which others use the same.
    /// Returns nothing in a small fleet, where everybody uses all.
    pub fn share_servers(&mut self, own: &MemberRecord, services: &[Vec<u64>]) -> Option<Vec<u64>> {
        if self.is_small() {
            return None;
        }
        let of_zone = |runs_lots: bool| -> Vec<PeerId> {
            let members = self.members.iter().filter(|it| {
                it.record.zone == own.zone && it.record.runs_lots == runs_lots && !it.is_leaving
            });
            let own = (own.runs_lots == runs_lots).then_some(self.own);
            members.map(|it| it.id).chain(own).collect()
        };
        let (entries, runners) = (of_zone(false), of_zone(true));
        let mut pairs = Vec::new();
        for servers in services {
            pairs.extend(home_pairs(servers, &entries, ENTRIES_PER_SERVER));
            pairs.extend(home_pairs(servers, &runners, RUNNERS_PER_SERVER));
        }
        let own_pairs = pairs.iter().filter(|it| it.1 == self.own);
        let homes: Vec<u64> = own_pairs.map(|it| it.0).collect();
        let sharing = pairs.iter().filter(|it| homes.contains(&it.0));
        let sharing: Vec<PeerId> = sharing.map(|it| it.1).collect();
        for member in &mut self.members {
            member.shares_servers = sharing.contains(&member.id);
        }
        Some(homes)
    }

    /// Where some daemons are reached.
    pub fn addresses_of(&self, ids: &[PeerId]) -> Vec<SocketAddr> {
        let named = self.members.iter().filter(|it| ids.contains(&it.id));
        named.map(|it| it.record.address).collect()
    }

    /// Where the daemons are reached that say they reach the store.
    pub fn store_ways(&self, now: Timestamp) -> Vec<SocketAddr> {
        let fit = |it: &&KnownMember| {
            it.reaches_store && !it.is_leaving && it.was_heard(self.heard_lately(), now)
        };
        self.members
            .iter()
            .filter(fit)
            .map(|it| it.record.address)
            .collect()
    }

    /// A daemon that acts by a newer view than one with these revisions: any of
    /// `zone` if there is one, else of another. Were all who are behind to ask the
    /// same one, a small VM would be busy with them alone. Those that gave nothing a
    /// moment ago are passed over, and where these are all of `zone`, it is another's.
    /// One that is lost stays known until its lease lapses, and a question to it takes
    /// its whole timeout.
    pub fn ahead_of(
        &self,
        known: ViewRevisions,
        zone: &str,
        is_passed: impl Fn(SocketAddr) -> bool,
        random: &mut impl Rng,
        now: Timestamp,
    ) -> Option<SocketAddr> {
        let is_ahead = |it: &&KnownMember| {
            it.revisions.is_ahead_of(known)
                && it.was_heard(self.heard_lately(), now)
                && !is_passed(it.record.address)
        };
        let (near, far): (Vec<&KnownMember>, Vec<&KnownMember>) = self
            .members
            .iter()
            .filter(is_ahead)
            .partition(|it| it.record.zone == zone);
        let chosen = near.choose(random).or_else(|| far.choose(random))?;
        Some(chosen.record.address)
    }

    /// The newest changes that any daemon acts by.
    pub fn newest_revisions(&self) -> ViewRevisions {
        let told = self.members.iter().map(|it| it.revisions);
        told.fold(ViewRevisions::default(), ViewRevisions::newest)
    }

    /// Whether a life of a daemon is certainly over: a later one was heard after it,
    /// and goes on speaking. That another life is listed or heard proves nothing, since
    /// this one may be later still. Its claim would be taken from it while it lives, and
    /// two daemons would each say that they know of all results of a lot.
    pub fn is_former_life(&self, daemon: &str, incarnation: u64, now: Timestamp) -> bool {
        let id = PeerId::of_name(daemon);
        let place = self.members.binary_search_by_key(&id, |it| it.id);
        place.is_ok_and(|it| {
            let member = &self.members[it];
            member.is_former(incarnation) && member.speaks(self.heard_lately(), now)
        })
    }
}
