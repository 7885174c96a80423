//! Bulk work on one server, as its home daemon (the daemon that owns the server
//! for bulk work) manages it: the limiter and the running items.

use std::time::Duration;

use comfreyramp_policy::{
    LoadReport, Timestamp,
    bulk::{AdditiveLimit, BulkLimiter, BulkLimiterTiming, ChokeCreepLimit, FixedLimit, SlotLimit},
};
use comfreyramp_standins::engine::SequenceId;

use crate::{BulkPolicy, lot_queue::BulkItem};

/// A number of slots that never limits.
const UNLIMITED: f64 = 1e6;
/// The maximum number of bulk items on a server under [`BulkPolicy::AllAtOnce`].
const MAX_ALL_AT_ONCE: u32 = 512;

/// The slot limit that the simulated policy uses.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PolicyLimit {
    Fixed(FixedLimit),
    Additive(AdditiveLimit),
    ChokeCreep(ChokeCreepLimit),
}

impl SlotLimit for PolicyLimit {
    fn record_slowdown(&mut self, now: Timestamp) {
        match self {
            PolicyLimit::Fixed(it) => it.record_slowdown(now),
            PolicyLimit::Additive(it) => it.record_slowdown(now),
            PolicyLimit::ChokeCreep(it) => it.record_slowdown(now),
        }
    }

    fn tick(&mut self, now: Timestamp) {
        match self {
            PolicyLimit::Fixed(it) => it.tick(now),
            PolicyLimit::Additive(it) => it.tick(now),
            PolicyLimit::ChokeCreep(it) => it.tick(now),
        }
    }

    fn limit(&self) -> f64 {
        match self {
            PolicyLimit::Fixed(it) => it.limit(),
            PolicyLimit::Additive(it) => it.limit(),
            PolicyLimit::ChokeCreep(it) => it.limit(),
        }
    }
}

/// A bulk item that runs on a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningItem {
    pub(crate) sequence: SequenceId,
    pub(crate) item: BulkItem,
}

/// The limiter and the running bulk items of one server.
#[derive(Debug)]
pub(crate) struct BulkState {
    policy: BulkPolicy,
    limiter: BulkLimiter<PolicyLimit>,
    batch: u32,
    pub(crate) running: Vec<RunningItem>,
}

impl BulkState {
    pub(crate) fn new(policy: BulkPolicy, timing: BulkLimiterTiming, batch: u32) -> Self {
        let max_slots = f64::from(batch);
        let additive = |rate| PolicyLimit::Additive(AdditiveLimit::new(max_slots, rate));
        let creep =
            |every: Duration| PolicyLimit::ChokeCreep(ChokeCreepLimit::new(max_slots, every));
        let limit = match policy {
            BulkPolicy::LimiterAdditive(rate) | BulkPolicy::Additive(rate) => additive(rate),
            BulkPolicy::LimiterChokeCreep(every) | BulkPolicy::ChokeCreep(every) => creep(every),
            BulkPolicy::FixedCap(slots) => PolicyLimit::Fixed(FixedLimit {
                slots: f64::from(slots),
            }),
            _ => PolicyLimit::Fixed(FixedLimit { slots: UNLIMITED }),
        };
        let limiter = BulkLimiter::new(timing, limit);
        BulkState {
            policy,
            limiter,
            batch,
            running: Vec::new(),
        }
    }

    /// Returns whether another item may start.
    pub(crate) fn may_start(&self, now: Timestamp) -> bool {
        let running = self.running.len() as u32;
        match self.policy {
            BulkPolicy::NoLots => false,
            BulkPolicy::AllAtOnce => running < MAX_ALL_AT_ONCE,
            BulkPolicy::LiveFirst => running + self.limiter.live() < self.batch,
            BulkPolicy::FixedCap(slots) => running < slots,
            BulkPolicy::Additive(_) | BulkPolicy::ChokeCreep(_) => {
                running < self.limiter.limit().limit() as u32
            }
            BulkPolicy::Limiter
            | BulkPolicy::LimiterAdditive(_)
            | BulkPolicy::LimiterChokeCreep(_) => self.limiter.may_start(now),
        }
    }

    /// Removes and returns the items to cancel now. Items with the fewest tokens go
    /// first, since cancelling them loses the least work.
    pub(crate) fn remove_excess(&mut self, now: Timestamp) -> Vec<RunningItem> {
        let running = self.running.len() as u32;
        let excess = match self.policy {
            BulkPolicy::Limiter
            | BulkPolicy::LimiterAdditive(_)
            | BulkPolicy::LimiterChokeCreep(_) => self.limiter.excess(),
            BulkPolicy::Additive(_) | BulkPolicy::ChokeCreep(_) => {
                running.saturating_sub(self.limiter.limit().limit().ceil() as u32)
            }
            _ => 0,
        };
        let mut taken = Vec::new();
        for _ in 0..excess {
            let least = self
                .running
                .iter()
                .enumerate()
                .min_by_key(|(_, it)| it.item.tokens);
            let Some((at, _)) = least else { break };
            taken.push(self.running.swap_remove(at));
            self.limiter.record_bulk_end(now);
        }
        taken
    }

    pub(crate) fn start(&mut self, running: RunningItem, now: Timestamp) {
        self.limiter.record_bulk_start(now);
        self.running.push(running);
    }

    /// Records a token of an item. Returns whether the item is running.
    pub(crate) fn record_token(&mut self, sequence: SequenceId, index: u32) -> bool {
        let found = self.running.iter_mut().find(|it| it.sequence == sequence);
        let Some(running) = found else { return false };
        running.item.tokens = index + 1;
        true
    }

    /// Removes and returns an item that ended.
    pub(crate) fn end(&mut self, sequence: SequenceId, now: Timestamp) -> Option<BulkItem> {
        let at = self.running.iter().position(|it| it.sequence == sequence)?;
        self.limiter.record_bulk_end(now);
        Some(self.running.swap_remove(at).item)
    }

    pub(crate) fn announce(&mut self, now: Timestamp) {
        self.limiter.announce(now);
    }

    pub(crate) fn live_begins(&mut self, now: Timestamp) {
        self.limiter.record_live_start(now);
    }

    pub(crate) fn live_ends(&mut self, now: Timestamp) {
        self.limiter.record_live_end(now);
    }

    pub(crate) fn report(&mut self, report: LoadReport, now: Timestamp) {
        self.limiter.report(report, now);
    }

    pub(crate) fn harm(&mut self, now: Timestamp) {
        self.limiter.record_slowdown(now);
    }

    pub(crate) fn token_gap(&mut self, gap: Duration, now: Timestamp) {
        self.limiter.token_gap(gap, now);
    }

    pub(crate) fn tick(&mut self, now: Timestamp) {
        self.limiter.tick(now);
    }
}
