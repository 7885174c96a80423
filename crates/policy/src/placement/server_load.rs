//! The load and health of one server, as one daemon knows them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Timestamp, usage::PeerId};

/// How long another daemon's reported load counts. Daemons report at least every 250
/// ms; one that fell silent hardly starts new requests.
const SHARE_LIFETIME: Duration = Duration::from_millis(1_500);

/// After how many failures in a row a server is ejected.
const MIN_FAILURES: u32 = 2;
/// How long a failed server gets no requests, other than as a last resort, the first
/// time; it doubles with each failure in a row.
const INITIAL_EJECTION_DURATION: Duration = Duration::from_millis(300);
/// The longest ejection: by then a restarted server is back.
const MAX_EJECTION_DURATION: Duration = Duration::from_secs(4);
/// The shortest time between two starts of items by one daemon at a server: twice the
/// time in which other daemons receive the report of the first.
const BULK_START_INTERVAL: Duration = Duration::from_millis(60);
/// How long no item starts at a server where items were preempted: about as long as a
/// live request holds its slot. Without this, items start and are preempted over and
/// over.
const PREEMPTION_BACKOFF: Duration = Duration::from_millis(800);
/// The weight of a new sample in the mean hold time.
const HOLD_TIME_WEIGHT: f64 = 0.1;
/// The assumed time for which a request holds a slot, until there is a sample.
const DEFAULT_HOLD_TIME: Duration = Duration::from_millis(500);
/// The time constant with which the surplus of a server's report over the daemons'
/// reports decays.
const SURPLUS_DECAY_TIME: Duration = Duration::from_millis(300);

/// What a slot is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// A live request, whose caller waits.
    Live,
    /// An item of a lot, which may be preempted.
    Bulk,
}

impl WorkKind {
    /// Returns the kind as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            WorkKind::Live => "live",
            WorkKind::Bulk => "bulk",
        }
    }
}

/// How a request ended, as far as it says something of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOutcomeKind {
    /// It was answered.
    Answered,
    /// The server was full and rejected it without running it.
    Full,
    /// No connection to it could be opened.
    Unreachable,
    /// The connection broke before the answer was complete.
    Broken,
    /// Another server answers at its address.
    Replaced,
}

/// A server's own report of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotReport {
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// The number of its slots.
    pub slots: u32,
    /// How long work takes on its machine at this moment, in percent of the usual time;
    /// `None` if the server doesn't report it.
    pub pace_percent: Option<u32>,
}

/// One daemon's load on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadShare {
    /// Live requests.
    pub live: u16,
    /// Items of lots.
    pub bulk: u16,
}

#[derive(Clone, Copy, Debug)]
struct PeerShare {
    peer: PeerId,
    share: LoadShare,
    received_at: Timestamp,
}

/// The load and health of one server, as one daemon knows them.
#[derive(Clone, Debug)]
pub(super) struct ServerLoad {
    pub(super) slots: u32,
    pub(super) own: LoadShare,
    peer_shares: Vec<PeerShare>,
    surplus: f64,
    surplus_at: Timestamp,
    failures: u32,
    ejected_until: Timestamp,
    /// The mean time for which a live request holds a slot there, without queueing;
    /// `None` before the first sample.
    mean_hold_secs: Option<f64>,
    bulk_allowed_at: Timestamp,
}

impl ServerLoad {
    pub(super) fn new(slots: u32) -> Self {
        ServerLoad {
            slots,
            own: LoadShare::default(),
            peer_shares: Vec::new(),
            surplus: 0.0,
            surplus_at: Timestamp::ZERO,
            failures: 0,
            ejected_until: Timestamp::ZERO,
            mean_hold_secs: None,
            bulk_allowed_at: Timestamp::ZERO,
        }
    }

    /// Applies another daemon's load on the server. Only daemons with load there are
    /// kept: in a large fleet most have none, and each look at the server iterates over
    /// all that are kept.
    pub(super) fn receive(&mut self, peer: PeerId, share: LoadShare, now: Timestamp) {
        if share == LoadShare::default() {
            if let Ok(index) = self.peer_shares.binary_search_by_key(&peer, |it| it.peer) {
                self.peer_shares.remove(index);
            }
            return;
        }
        let peer_share = PeerShare {
            peer,
            share,
            received_at: now,
        };
        match self.peer_shares.binary_search_by_key(&peer, |it| it.peer) {
            Ok(index) => self.peer_shares[index] = peer_share,
            Err(index) => self.peer_shares.insert(index, peer_share),
        }
    }

    /// Returns the live requests and items of all daemons.
    pub(super) fn total(&self, now: Timestamp) -> LoadShare {
        let mut total = self.own;
        for peer_share in &self.peer_shares {
            if now.since(peer_share.received_at) < SHARE_LIFETIME {
                total.live = total.live.saturating_add(peer_share.share.live);
                total.bulk = total.bulk.saturating_add(peer_share.share.bulk);
            }
        }
        total
    }

    /// Applies the server's own report. Requests beyond those that the daemons reported
    /// come from daemons whose reports don't arrive, such as those behind a network
    /// partition.
    pub(super) fn report(&mut self, report: SlotReport, now: Timestamp) {
        if report.slots > 0 {
            self.slots = report.slots;
        }
        let total = self.total(now);
        let known = f64::from(total.live) + f64::from(total.bulk);
        let reported = f64::from(report.running) + f64::from(report.waiting);
        self.surplus = (reported - known).max(0.0);
        self.surplus_at = now;
    }

    /// Returns the requests that only the server's report accounts for.
    pub(super) fn surplus(&self, now: Timestamp) -> f64 {
        let age = now.since(self.surplus_at).as_secs_f64() / SURPLUS_DECAY_TIME.as_secs_f64();
        self.surplus * (-age).exp()
    }

    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    pub(super) fn record_outcome(&mut self, outcome: ServerOutcomeKind, now: Timestamp) {
        match outcome {
            ServerOutcomeKind::Answered => self.failures = 0,
            // It has more requests than the daemons know of; its queue drains by
            // itself.
            ServerOutcomeKind::Full => {
                self.surplus = f64::from(self.slots);
                self.surplus_at = now;
            }
            ServerOutcomeKind::Unreachable | ServerOutcomeKind::Broken => self.eject(now),
            ServerOutcomeKind::Replaced => {
                self.failures += 3;
                self.eject(now);
            }
        }
    }

    fn eject(&mut self, now: Timestamp) {
        // Requests that were on a server when it died fail together; they count as one
        // failure.
        if self.is_ejected(now) {
            return;
        }
        self.failures += 1;
        // One broken answer is no reason to eject a server: the fault may concern only
        // this answer.
        if self.failures < MIN_FAILURES {
            return;
        }
        let doublings = (self.failures - MIN_FAILURES).min(5);
        let duration = INITIAL_EJECTION_DURATION * 2_u32.saturating_pow(doublings);
        self.ejected_until = now + duration.min(MAX_EJECTION_DURATION);
    }

    /// Records how long a request held its slot. Returns the mean in seconds.
    pub(super) fn record_hold_time(&mut self, hold_time: Duration) -> f64 {
        let secs = hold_time.as_secs_f64();
        let mean_secs = self.mean_hold_secs.get_or_insert(secs);
        *mean_secs += HOLD_TIME_WEIGHT * (secs - *mean_secs);
        *mean_secs
    }

    /// Returns whether no daemon reports a live request there.
    pub(super) fn is_idle(&self, now: Timestamp) -> bool {
        self.total(now).live == 0
    }

    /// Returns whether a request that is sent now gets a slot at once.
    pub(super) fn has_free_slot(&self, now: Timestamp) -> bool {
        let total = self.total(now);
        u32::from(total.live) + u32::from(total.bulk) < self.slots
    }

    /// Returns how many of this daemon's items to preempt: its share of the missing
    /// slots, in proportion to its items there, rounded down. The remainder falls to
    /// the daemon with the lowest id, so that all daemons together give up just enough.
    /// If each rounded up, three daemons would give up three slots for one request, and
    /// take them back a moment later.
    pub(super) fn own_preemptions(&self, own: PeerId, now: Timestamp) -> u32 {
        let missing = self.missing_slots(now);
        if missing == 0 || self.own.bulk == 0 {
            return 0;
        }
        let others = self
            .peer_shares
            .iter()
            .filter(|it| it.share.bulk > 0 && now.since(it.received_at) < SHARE_LIFETIME);
        let all = u32::from(self.own.bulk)
            + others
                .clone()
                .map(|it| u32::from(it.share.bulk))
                .sum::<u32>();
        let share_of = |bulk: u16| missing * u32::from(bulk) / all;
        let own_share = share_of(self.own.bulk);
        let assigned: u32 = own_share
            + others
                .clone()
                .map(|it| share_of(it.share.bulk))
                .sum::<u32>();
        let has_lowest_id = others.map(|it| it.peer).all(|it| it > own);
        let remainder = if has_lowest_id { missing - assigned } else { 0 };
        (own_share + remainder).min(u32::from(self.own.bulk))
    }

    /// Returns whether an item may start as far as pacing allows: not right after
    /// another one, since the other daemons don't know of that one yet, and not where
    /// items have just been preempted.
    pub(super) fn may_start_bulk(&self, now: Timestamp) -> bool {
        now >= self.bulk_allowed_at
    }

    /// Records that an item starts.
    pub(super) fn record_bulk_start(&mut self, now: Timestamp) {
        self.bulk_allowed_at = self.bulk_allowed_at.max(now + BULK_START_INTERVAL);
    }

    /// Records that items are preempted.
    pub(super) fn record_preemption(&mut self, now: Timestamp) {
        self.bulk_allowed_at = self.bulk_allowed_at.max(now + PREEMPTION_BACKOFF);
    }

    /// Returns the other daemons whose items have to be preempted here.
    pub(super) fn preemption_holders(&self, now: Timestamp) -> Vec<PeerId> {
        if self.missing_slots(now) == 0 {
            return Vec::new();
        }
        let holders = self
            .peer_shares
            .iter()
            .filter(|it| it.share.bulk > 0 && now.since(it.received_at) < SHARE_LIFETIME);
        holders.map(|it| it.peer).collect()
    }

    /// Returns how many slots items have to give up. Requests that only the server's
    /// report accounts for don't count: the report is as old as the answer that carried
    /// it.
    fn missing_slots(&self, now: Timestamp) -> u32 {
        let total = self.total(now);
        (u32::from(total.live) + u32::from(total.bulk)).saturating_sub(self.slots)
    }

    /// Returns how long a live request would wait for a slot.
    pub(super) fn expected_wait(&self, now: Timestamp) -> Duration {
        let live = f64::from(self.total(now).live) + self.surplus(now);
        let ahead = live + 1.0 - f64::from(self.slots);
        if ahead <= 0.0 {
            return Duration::ZERO;
        }
        let hold_secs = self
            .mean_hold_secs
            .unwrap_or(DEFAULT_HOLD_TIME.as_secs_f64());
        let wait = hold_secs * ahead / f64::from(self.slots.max(1));
        Duration::from_secs_f64(wait.min(60.0))
    }
}
