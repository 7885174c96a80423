//! The home daemon's side of one server: its gate and the items on it.

use std::time::Duration;

use comfreyramp_policy::{
    LoadReport, Timestamp,
    bulk::{AdditiveLimit, BulkLimiter, BulkLimiterTiming, ChokeCreepLimit, FixedLimit, SlotLimit},
};
use comfreyramp_standins::engine::SequenceId;

use crate::{BulkPolicy, lot_board::BulkItem};

/// Slots enough to be no limit.
const UNLIMITED: f64 = 1e6;
/// How many bulk items are sent ahead where nothing holds them back.
const EVERYTHING: u32 = 512;

/// A limit of any kind, chosen by the replay's policy.
#[derive(Clone, Copy, Debug)]
pub(crate) enum AnyLimit {
    Fixed(FixedLimit),
    Additive(AdditiveLimit),
    ChokeCreep(ChokeCreepLimit),
}

impl SlotLimit for AnyLimit {
    fn record_slowdown(&mut self, now: Timestamp) {
        match self {
            AnyLimit::Fixed(it) => it.record_slowdown(now),
            AnyLimit::Additive(it) => it.record_slowdown(now),
            AnyLimit::ChokeCreep(it) => it.record_slowdown(now),
        }
    }

    fn tick(&mut self, now: Timestamp) {
        match self {
            AnyLimit::Fixed(it) => it.tick(now),
            AnyLimit::Additive(it) => it.tick(now),
            AnyLimit::ChokeCreep(it) => it.tick(now),
        }
    }

    fn limit(&self) -> f64 {
        match self {
            AnyLimit::Fixed(it) => it.limit(),
            AnyLimit::Additive(it) => it.limit(),
            AnyLimit::ChokeCreep(it) => it.limit(),
        }
    }
}

/// A bulk item on a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningItem {
    pub(crate) sequence: SequenceId,
    pub(crate) item: BulkItem,
}

/// The home daemon's side of one server.
#[derive(Debug)]
pub(crate) struct BulkSide {
    policy: BulkPolicy,
    gate: BulkLimiter<AnyLimit>,
    batch: u32,
    pub(crate) running: Vec<RunningItem>,
}

impl BulkSide {
    pub(crate) fn new(policy: BulkPolicy, timing: BulkLimiterTiming, batch: u32) -> Self {
        let most = f64::from(batch);
        let additive = |rate| AnyLimit::Additive(AdditiveLimit::new(most, rate));
        let creep = |every: Duration| AnyLimit::ChokeCreep(ChokeCreepLimit::new(most, every));
        let limit = match policy {
            BulkPolicy::GateAdditive(rate) | BulkPolicy::Additive(rate) => additive(rate),
            BulkPolicy::GateChokeCreep(every) | BulkPolicy::ChokeCreep(every) => creep(every),
            BulkPolicy::FixedCap(slots) => AnyLimit::Fixed(FixedLimit {
                slots: f64::from(slots),
            }),
            _ => AnyLimit::Fixed(FixedLimit { slots: UNLIMITED }),
        };
        let gate = BulkLimiter::new(timing, limit);
        BulkSide {
            policy,
            gate,
            batch,
            running: Vec::new(),
        }
    }

    /// Whether another item may start.
    pub(crate) fn may_start(&self, now: Timestamp) -> bool {
        let running = self.running.len() as u32;
        match self.policy {
            BulkPolicy::NoLots => false,
            BulkPolicy::Everything => running < EVERYTHING,
            BulkPolicy::LiveFirst => running + self.gate.live() < self.batch,
            BulkPolicy::FixedCap(slots) => running < slots,
            BulkPolicy::Additive(_) | BulkPolicy::ChokeCreep(_) => {
                running < self.gate.limit().limit() as u32
            }
            BulkPolicy::Gate | BulkPolicy::GateAdditive(_) | BulkPolicy::GateChokeCreep(_) => {
                self.gate.may_start(now)
            }
        }
    }

    /// Items to be cancelled now: those that lose the least by it.
    pub(crate) fn take_excess(&mut self, now: Timestamp) -> Vec<RunningItem> {
        let running = self.running.len() as u32;
        let excess = match self.policy {
            BulkPolicy::Gate | BulkPolicy::GateAdditive(_) | BulkPolicy::GateChokeCreep(_) => {
                self.gate.excess()
            }
            BulkPolicy::Additive(_) | BulkPolicy::ChokeCreep(_) => {
                running.saturating_sub(self.gate.limit().limit().ceil() as u32)
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
            self.gate.record_bulk_end(now);
        }
        taken
    }

    pub(crate) fn start(&mut self, running: RunningItem, now: Timestamp) {
        self.gate.record_bulk_start(now);
        self.running.push(running);
    }

    /// Counts a token of an item.
    pub(crate) fn note_token(&mut self, sequence: SequenceId, index: u32) -> bool {
        let found = self.running.iter_mut().find(|it| it.sequence == sequence);
        let Some(running) = found else { return false };
        running.item.tokens = index + 1;
        true
    }

    /// Takes out an item that ended.
    pub(crate) fn end(&mut self, sequence: SequenceId, now: Timestamp) -> Option<BulkItem> {
        let at = self.running.iter().position(|it| it.sequence == sequence)?;
        self.gate.record_bulk_end(now);
        Some(self.running.swap_remove(at).item)
    }

    pub(crate) fn announce(&mut self, now: Timestamp) {
        self.gate.announce(now);
    }

    pub(crate) fn live_begins(&mut self, now: Timestamp) {
        self.gate.record_live_start(now);
    }

    pub(crate) fn live_ends(&mut self, now: Timestamp) {
        self.gate.record_live_end(now);
    }

    pub(crate) fn report(&mut self, report: LoadReport, now: Timestamp) {
        self.gate.report(report, now);
    }

    pub(crate) fn harm(&mut self, now: Timestamp) {
        self.gate.record_slowdown(now);
    }

    pub(crate) fn token_gap(&mut self, gap: Duration, now: Timestamp) {
        self.gate.token_gap(gap, now);
    }

    pub(crate) fn tick(&mut self, now: Timestamp) {
        self.gate.tick(now);
    }
}
