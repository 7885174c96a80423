//! A daemon's part in following the settings: when to watch the platform and which
//! peers to query.

use std::time::Duration;

use rand::{Rng, seq::IndexedRandom};

use super::{FleetMember, FreshnessSettings, OfferDecision, ViewAge, ViewOffer};
use crate::{DaemonId, Timestamp};

/// A member that didn't answer, or offered nothing useful.
#[derive(Clone, Copy, Debug)]
struct SkippedMember {
    id: DaemonId,
    until: Timestamp,
}

/// Decides whether to follow the platform, which peer to query, and how to treat the
/// answers.
///
/// The revision of the view never decreases.
#[derive(Clone, Debug)]
pub struct WatchPlan {
    settings: FreshnessSettings,
    own_score: u64,
    /// The other members of the zone, highest score first.
    zone: Vec<FleetMember>,
    /// The daemons of other zones.
    other_zones: Vec<DaemonId>,
    avoided: Vec<SkippedMember>,
    postponed: Vec<SkippedMember>,
    revision: i64,
    view: Option<ViewAge>,
    /// The age of the view as last confirmed by the platform itself.
    confirmed: Option<ViewAge>,
    following: bool,
    /// When a higher-ranked member last had a fresh view from the platform.
    relieved_at: Option<Timestamp>,
    contacted: Vec<DaemonId>,
    /// Whether the last request was a probe of a member that had been silent.
    last_was_probe: bool,
    next_request_at: Timestamp,
    ready: bool,
}

impl WatchPlan {
    /// Creates the plan of a daemon that knows no other members yet.
    pub fn new(settings: FreshnessSettings, own_score: u64) -> Self {
        WatchPlan {
            settings,
            own_score,
            zone: Vec::new(),
            other_zones: Vec::new(),
            avoided: Vec::new(),
            postponed: Vec::new(),
            revision: 0,
            view: None,
            confirmed: None,
            following: false,
            relieved_at: None,
            contacted: Vec::new(),
            last_was_probe: false,
            next_request_at: Timestamp::ZERO,
            ready: false,
        }
    }

    /// Sets the other daemons of the fleet.
    pub fn set_members(&mut self, members: &[FleetMember]) {
        self.zone = members.iter().filter(|it| it.same_zone).copied().collect();
        self.zone
            .sort_unstable_by_key(|it| (std::cmp::Reverse(it.score), it.id));
        let other_zones = members.iter().filter(|it| !it.same_zone);
        self.other_zones = other_zones.map(|it| it.id).collect();
        let known = |id| members.iter().any(|it| it.id == id);
        self.avoided.retain(|it| known(it.id));
        self.postponed.retain(|it| known(it.id));
        self.contacted.retain(|it| known(*it));
    }

    /// Returns the revision up to which the view contains all changes; 0 without a
    /// view.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Returns when the view was last known to be current.
    pub fn view(&self) -> Option<ViewAge> {
        self.view
    }

    /// Returns the age of the view.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.view.map(|it| it.age(now))
    }

    /// Returns the header of an answer to a peer that requests the changes after
    /// `base`.
    pub fn offer(&self, base: i64, now: Timestamp) -> Option<ViewOffer> {
        Some(ViewOffer {
            base,
            revision: self.revision,
            age: self.age(now)?,
            direct: self.is_fresh(self.confirmed, now),
        })
    }

    /// Returns whether this daemon is to follow the platform.
    ///
    /// The highest-ranked members of the zone always do. Another one starts when its
    /// view becomes old, the sooner the higher its rank, and the number of additional
    /// followers grows only with the logarithm of the age: in a long outage not all
    /// daemons of a zone call a platform that is down. It stops once a higher-ranked
    /// member has a fresh view from the platform.
    pub fn should_follow(&mut self, now: Timestamp) -> bool {
        let rank = self.rank(now);
        if rank < self.settings.watchers {
            self.following = true;
        } else if self.following {
            let fresh_within = self.settings.fresh_within;
            let relieved = self
                .relieved_at
                .is_some_and(|it| now.since(it) < fresh_within);
            self.following = !relieved;
        } else {
            self.following = rank < self.followers(now);
        }
        self.following
    }

    /// Returns whether the next request to a peer is due.
    pub fn is_request_due(&self, now: Timestamp) -> bool {
        now >= self.next_request_at
    }

    /// Returns the peer to query now, if a request is due.
    pub fn next_request(&mut self, now: Timestamp, rng: &mut impl Rng) -> Option<DaemonId> {
        if !self.is_request_due(now) {
            return None;
        }
        let target = match self.choose_probe(now) {
            Some(probe) => Some(probe),
            None if self.ready => self.choose_source(now, rng),
            None => self.choose_uncontacted(now, rng),
        };
        let interval = match self.view {
            Some(_) => self.settings.request_interval,
            None => self.settings.first_request_interval,
        };
        self.next_request_at = now + interval;
        target
    }

    /// Returns whether a member left the last request unanswered.
    pub fn is_silent(&self, member: DaemonId) -> bool {
        self.avoided.iter().any(|it| it.id == member)
    }

    /// Records that a member didn't answer. It is skipped as a source and in the
    /// ranking, so the member ranked next replaces it at once. It is queried again after
    /// a delay; a higher-ranked member stays skipped until it answers, since the ranking
    /// would otherwise change with each attempt.
    pub fn record_timeout(&mut self, member: DaemonId, now: Timestamp) {
        self.note_contacted(member);
        self.avoided.retain(|it| it.id != member);
        let until = now + self.settings.skip_duration;
        self.avoided.push(SkippedMember { id: member, until });
        self.next_request_at = now;
        self.update_ready(now);
    }

    /// Records that a member answered without a view to offer, for example because it
    /// has just been started like the daemon that queries it.
    pub fn record_empty_answer(&mut self, member: DaemonId, now: Timestamp) {
        self.note_contacted(member);
        self.avoided.retain(|it| it.id != member);
        self.update_ready(now);
    }

    /// Evaluates the answer to a request that was sent at `sent`.
    ///
    /// The age counts from the time of the request rather than from the arrival of the
    /// answer: an answer can wait in this process's own buffers while the process is
    /// paused.
    pub fn apply_offer(
        &mut self,
        member: DaemonId,
        offer: ViewOffer,
        sent: Timestamp,
        now: Timestamp,
    ) -> OfferDecision {
        self.note_contacted(member);
        self.avoided.retain(|it| it.id != member);
        let verdict = self.compare(offer);
        if verdict == OfferDecision::Apply {
            self.take_view(offer.revision, ViewAge::new(sent, offer.age));
            self.note_relief(member, offer, sent, now);
        }
        let offered = ViewAge::new(sent, offer.age);
        if verdict == OfferDecision::Outdated || !self.is_fresh(Some(offered), now) {
            self.postpone(member, now);
        }
        self.update_ready(now);
        verdict
    }

    /// Ranks a member behind the others as a source. When the two followers have lost
    /// the platform, half of the queried members have nothing new, and drawing them
    /// repeatedly would take seconds.
    fn postpone(&mut self, member: DaemonId, now: Timestamp) {
        let until = now + self.settings.deprioritize_duration;
        self.postponed.retain(|it| it.until > now);
        self.postponed.push(SkippedMember { id: member, until });
        let age = self.age(now).unwrap_or_default();
        if age > self.settings.fresh_within && age <= self.settings.early_request_max_age {
            self.next_request_at = now + self.settings.first_request_interval;
        }
    }

    fn compare(&self, offer: ViewOffer) -> OfferDecision {
        if offer.revision < self.revision {
            return OfferDecision::Outdated;
        }
        if offer.base > self.revision {
            return OfferDecision::Gap;
        }
        OfferDecision::Apply
    }

    fn take_view(&mut self, revision: i64, view: ViewAge) {
        self.revision = revision;
        self.view = Some(self.view.map_or(view, |it| it.fresher(view)));
    }

    fn note_relief(&mut self, member: DaemonId, offer: ViewOffer, sent: Timestamp, now: Timestamp) {
        let fresh = self.is_fresh(Some(ViewAge::new(sent, offer.age)), now);
        if offer.direct && fresh && self.is_better_placed(member) {
            self.relieved_at = Some(sent);
        }
    }

    /// Applies the result of a read of the platform that was sent at `sent`. Returns
    /// false, and changes nothing, if the view is already ahead of it.
    pub fn apply_read(&mut self, revision: i64, sent: Timestamp, now: Timestamp) -> bool {
        if revision < self.revision {
            return false;
        }
        let view = ViewAge::new(sent, Duration::ZERO);
        self.take_view(revision, view);
        self.confirmed = Some(view);
        self.update_ready(now);
        true
    }

    /// Applies an event of a watch. Returns false if the view is already ahead of it.
    /// The age of the view doesn't change: an event can have waited in a buffer for any
    /// time, and later ones may still be delayed.
    pub fn apply_watch_event(&mut self, revision: i64) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        true
    }

    /// Returns whether the view is good enough to serve with. Once it is, it remains
    /// so.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// A daemon that is started during an outage can receive an old view from one peer
    /// and a newer one from the next, so it collects several answers before it serves
    /// without a fresh view.
    fn update_ready(&mut self, now: Timestamp) {
        let others = self.zone.len() + self.other_zones.len();
        let enough = self.settings.min_answers.min(others);
        let contacted_enough = others > 0 && self.contacted.len() >= enough;
        let fresh = self.is_fresh(self.view, now);
        self.ready |= self.view.is_some() && (fresh || contacted_enough);
    }

    fn is_fresh(&self, view: Option<ViewAge>, now: Timestamp) -> bool {
        view.is_some_and(|it| it.age(now) <= self.settings.fresh_within)
    }

    /// Returns the number of higher-ranked members of the zone.
    fn rank(&self, now: Timestamp) -> usize {
        let better = self.zone.iter().filter(|it| it.score > self.own_score);
        better.filter(|it| !self.is_avoided(it.id, now)).count()
    }

    /// Returns how many members of the zone should follow the platform if all of their
    /// views are as old as the own one.
    fn followers(&self, now: Timestamp) -> usize {
        let Some(age) = self.age(now) else {
            return usize::MAX;
        };
        let watchers = self.settings.watchers;
        if age <= self.settings.fresh_within {
            return watchers;
        }
        let ratio = age.as_secs_f64() / self.settings.fresh_within.as_secs_f64();
        let doublings = ratio.log2().floor() as usize;
        watchers.saturating_mul(doublings.saturating_add(2))
    }

    fn is_avoided(&self, member: DaemonId, now: Timestamp) -> bool {
        let entry = self.avoided.iter().find(|it| it.id == member);
        entry.is_some_and(|it| it.until > now || self.is_better_placed(member))
    }

    /// Chooses a higher-ranked member to check whether it answers again, at most with
    /// every other request: a large number of hanging members must not prevent requests
    /// to the others.
    fn choose_probe(&mut self, now: Timestamp) -> Option<DaemonId> {
        self.last_was_probe = !self.last_was_probe;
        if !self.last_was_probe {
            return None;
        }
        let better = self.zone.iter().filter(|it| it.score > self.own_score);
        let mut better = better.map(|it| it.id);
        let target = better.find(|id| {
            let mut avoided = self.avoided.iter();
            avoided.any(|it| it.id == *id && it.until <= now)
        });
        self.last_was_probe = target.is_some();
        target
    }

    fn is_better_placed(&self, member: DaemonId) -> bool {
        let mut zone = self.zone.iter();
        zone.any(|it| it.id == member && it.score > self.own_score)
    }

    fn note_contacted(&mut self, member: DaemonId) {
        if !self.ready && !self.contacted.contains(&member) {
            self.contacted.push(member);
        }
    }

    /// Chooses a source before the daemon is ready: members that haven't been contacted yet
    /// come first.
    fn choose_uncontacted(&self, now: Timestamp, rng: &mut impl Rng) -> Option<DaemonId> {
        let zone = self.zone.iter().map(|it| it.id);
        let all = zone.chain(self.other_zones.iter().copied());
        let others: Vec<DaemonId> = all.filter(|it| !self.is_avoided(*it, now)).collect();
        let uncontacted = others.iter().filter(|it| !self.contacted.contains(it));
        let uncontacted: Vec<DaemonId> = uncontacted.copied().collect();
        let target = uncontacted.choose(rng).or_else(|| others.choose(rng));
        target.copied()
    }

    /// Chooses one of the members that should follow the platform. If the view is old,
    /// half of the requests on average go to another zone, since the own zone may be
    /// the only one that is cut off from the platform.
    fn choose_source(&self, now: Timestamp, rng: &mut impl Rng) -> Option<DaemonId> {
        let fresh = self.is_fresh(self.view, now);
        let rank = self.rank(now);
        if rank < self.settings.watchers && self.is_fresh(self.confirmed, now) {
            return None;
        }
        if !fresh && !self.other_zones.is_empty() && rng.random_bool(0.5) {
            let other_zones = self
                .other_zones
                .iter()
                .filter(|it| !self.is_avoided(**it, now));
            let other_zones: Vec<DaemonId> = other_zones.copied().collect();
            if let Some(target) = other_zones.choose(rng) {
                return Some(*target);
            }
        }
        let members = self.zone.iter().map(|it| it.id);
        let members = members.filter(|it| !self.is_avoided(*it, now));
        let sources: Vec<DaemonId> = members.take(self.followers(now)).collect();
        let is_postponed = |id| {
            let mut postponed = self.postponed.iter();
            postponed.any(|it| it.id == id && it.until > now)
        };
        let promising = sources.iter().filter(|it| !is_postponed(**it));
        let promising: Vec<&DaemonId> = promising.collect();
        let target = promising.choose(rng).copied();
        target.or_else(|| sources.choose(rng)).copied()
    }
}
