//! What is known of one server's load and health.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Timestamp, usage::PeerId};

/// What another daemon said it has on a server counts for so long. Daemons speak
/// at least every 250 ms; a daemon that fell silent no longer starts much.
const SHARE_LIFETIME: Duration = Duration::from_millis(1_500);

/// A server that failed is left alone for so long the first time, and twice as
/// long each time in a row.
const FIRST_EJECTION: Duration = Duration::from_millis(300);
/// The longest such pause: by then a restarted server is back.
const LONGEST_EJECTION: Duration = Duration::from_secs(4);
/// Two items of one daemon start at a server no closer than this: twice the time
/// in which other daemons hear of the first.
const BULK_INTERVAL: Duration = Duration::from_millis(60);
/// Where items stepped aside none starts for so long: about as long as a live
/// request holds its slot. Without a pause items start and step aside over and over.
const YIELD_PAUSE: Duration = Duration::from_millis(800);
/// How much a new span counts in the mean of spans.
const SPAN_WEIGHT: f64 = 0.1;
/// How long a server holds a slot for a request before anything was measured.
const FIRST_SPAN: Duration = Duration::from_millis(500);
/// What a server's report says beyond what daemons told fades over this span.
const SURPLUS_SPAN: Duration = Duration::from_millis(300);

/// What a slot is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// Somebody waits.
    Live,
    /// An item of a lot, which may step aside.
    Bulk,
}

impl WorkKind {
    /// The kind as a label.
    pub fn as_str(self) -> &'static str {
        match self {
            WorkKind::Live => "live",
            WorkKind::Bulk => "bulk",
        }
    }
}

/// How a request ended, as it tells on its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOutcomeKind {
    /// It was answered.
    Answered,
    /// The server was full and didn't run it.
    Full,
    /// The connection failed, or broke off in the middle.
    Broken,
    /// Another server has its address.
    Replaced,
}

/// A server's own report of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotReport {
    /// Requests in a slot.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Its slots.
    pub slots: u32,
}

/// What one daemon has on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadShare {
    /// Live requests.
    pub live: u16,
    /// Items of lots.
    pub bulk: u16,
}

#[derive(Clone, Copy, Debug)]
struct HeardShare {
    peer: PeerId,
    share: LoadShare,
    at: Timestamp,
}

/// What is known of one server's load and health.
#[derive(Clone, Debug)]
pub(super) struct ServerLoad {
    pub(super) slots: u32,
    pub(super) own: LoadShare,
    heard: Vec<HeardShare>,
    surplus: f64,
    surplus_at: Timestamp,
    failures: u32,
    ejected_until: Timestamp,
    /// How long a live request takes there, queueing left out; nothing before the
    /// first one was measured.
    held_secs: Option<f64>,
    bulk_from: Timestamp,
}

impl ServerLoad {
    pub(super) fn new(slots: u32) -> Self {
        ServerLoad {
            slots,
            own: LoadShare::default(),
            heard: Vec::new(),
            surplus: 0.0,
            surplus_at: Timestamp::ZERO,
            failures: 0,
            ejected_until: Timestamp::ZERO,
            held_secs: None,
            bulk_from: Timestamp::ZERO,
        }
    }

    /// Takes in what another daemon has on the server. Only those that have
    /// something there are kept: in a large fleet most have nothing, and each look
    /// at the server goes through all that are kept.
    pub(super) fn hear(&mut self, peer: PeerId, share: LoadShare, now: Timestamp) {
        if share == LoadShare::default() {
            if let Ok(place) = self.heard.binary_search_by_key(&peer, |it| it.peer) {
                self.heard.remove(place);
            }
            return;
        }
        let heard = HeardShare {
            peer,
            share,
            at: now,
        };
        match self.heard.binary_search_by_key(&peer, |it| it.peer) {
            Ok(place) => self.heard[place] = heard,
            Err(place) => self.heard.insert(place, heard),
        }
    }

    /// Live requests and items of all daemons.
    pub(super) fn total(&self, now: Timestamp) -> LoadShare {
        let mut total = self.own;
        for heard in &self.heard {
            if now.since(heard.at) < SHARE_LIFETIME {
                total.live += heard.share.live;
                total.bulk += heard.share.bulk;
            }
        }
        total
    }

    /// Takes in the server's own report. What it has beyond what the daemons
    /// said comes from some that aren't heard, such as those behind a cut.
    pub(super) fn report(&mut self, report: SlotReport, now: Timestamp) {
        if report.slots > 0 {
            self.slots = report.slots;
        }
        let total = self.total(now);
        let known = f64::from(total.live) + f64::from(total.bulk);
        let reported = f64::from(report.running + report.waiting);
        self.surplus = (reported - known).max(0.0);
        self.surplus_at = now;
    }

    /// Requests that only the server's report shows.
    pub(super) fn surplus(&self, now: Timestamp) -> f64 {
        let age = now.since(self.surplus_at).as_secs_f64() / SURPLUS_SPAN.as_secs_f64();
        self.surplus * (-age).exp()
    }

    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    pub(super) fn note(&mut self, outcome: ServerOutcomeKind, now: Timestamp) {
        match outcome {
            ServerOutcomeKind::Answered => self.failures = 0,
            // It has more than the daemons know of; its queue drains by itself.
            ServerOutcomeKind::Full => {
                self.surplus = f64::from(self.slots);
                self.surplus_at = now;
            }
            ServerOutcomeKind::Broken => self.eject(now),
            ServerOutcomeKind::Replaced => {
                self.failures += 3;
                self.eject(now);
            }
        }
    }

    fn eject(&mut self, now: Timestamp) {
        // Requests that were on a server when it died fail together; they are
        // one failure.
        if self.is_ejected(now) {
            return;
        }
        self.failures += 1;
        // One broken answer is no reason to do without a server: it may have
        // spoilt just this one.
        if self.failures < 2 {
            return;
        }
        let doubled = FIRST_EJECTION * 2_u32.saturating_pow((self.failures - 2).min(5));
        self.ejected_until = now + doubled.min(LONGEST_EJECTION);
    }

    /// Takes in how long a request held its slot.
    pub(super) fn note_span(&mut self, span: Duration) {
        let span = span.as_secs_f64();
        let held = self.held_secs.get_or_insert(span);
        *held += SPAN_WEIGHT * (span - *held);
    }

    /// Whether a request that is sent now gets a slot at once.
    pub(super) fn has_free_slot(&self, now: Timestamp) -> bool {
        let total = self.total(now);
        u32::from(total.live) + u32::from(total.bulk) < self.slots
    }

    /// How many of this daemon's items have to step aside, of those that have to
    /// in whole: its part by the items that it has there. What is left of the
    /// division falls to the daemon with the lowest id, so that all of them
    /// together give up just enough. Were each to round up, three daemons would
    /// give up three slots for one request, and take them back a moment later.
    pub(super) fn own_missing(&self, own: PeerId, now: Timestamp) -> u32 {
        let missing = self.missing_slots(now);
        if missing == 0 || self.own.bulk == 0 {
            return 0;
        }
        let others = self
            .heard
            .iter()
            .filter(|it| it.share.bulk > 0 && now.since(it.at) < SHARE_LIFETIME);
        let all = u32::from(self.own.bulk)
            + others
                .clone()
                .map(|it| u32::from(it.share.bulk))
                .sum::<u32>();
        let part_of = |bulk: u16| missing * u32::from(bulk) / all;
        let own_part = part_of(self.own.bulk);
        let given: u32 = own_part + others.clone().map(|it| part_of(it.share.bulk)).sum::<u32>();
        let is_lowest = others.map(|it| it.peer).all(|it| it > own);
        let rest = if is_lowest { missing - given } else { 0 };
        (own_part + rest).min(u32::from(self.own.bulk))
    }

    /// Whether an item may start as far as the pace allows: not right after
    /// another one, since the other daemons don't know of that one yet, and not
    /// where items have just stepped aside.
    pub(super) fn may_start_bulk(&self, now: Timestamp) -> bool {
        now >= self.bulk_from
    }

    /// Notes that an item starts.
    pub(super) fn note_bulk_start(&mut self, now: Timestamp) {
        self.bulk_from = self.bulk_from.max(now + BULK_INTERVAL);
    }

    /// Notes that items step aside.
    pub(super) fn note_yield(&mut self, now: Timestamp) {
        self.bulk_from = self.bulk_from.max(now + YIELD_PAUSE);
    }

    /// The other daemons whose items have to step aside here.
    pub(super) fn yield_holders(&self, now: Timestamp) -> Vec<PeerId> {
        if self.missing_slots(now) == 0 {
            return Vec::new();
        }
        let holders = self
            .heard
            .iter()
            .filter(|it| it.share.bulk > 0 && now.since(it.at) < SHARE_LIFETIME);
        holders.map(|it| it.peer).collect()
    }

    /// How many slots are missing, which items have to give up. What only the
    /// server's report shows doesn't count: the report is as old as the answer
    /// that carried it.
    fn missing_slots(&self, now: Timestamp) -> u32 {
        let total = self.total(now);
        (u32::from(total.live) + u32::from(total.bulk)).saturating_sub(self.slots)
    }

    /// How long a live request would wait for a slot.
    pub(super) fn expected_wait(&self, now: Timestamp) -> Duration {
        let live = f64::from(self.total(now).live) + self.surplus(now);
        let ahead = live + 1.0 - f64::from(self.slots);
        if ahead <= 0.0 {
            return Duration::ZERO;
        }
        let held = self.held_secs.unwrap_or(FIRST_SPAN.as_secs_f64());
        let wait = held * ahead / f64::from(self.slots.max(1));
        Duration::from_secs_f64(wait.min(60.0))
    }
}
