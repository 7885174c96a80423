//! Which slots of its zone this daemon uses: those that its roster names as its own, and
//! those that it gave away to daemons that don't know yet.

use std::time::Duration;

use crate::{DaemonId, Timestamp};

use super::{super::SLOTS, ShareLedger};

impl ShareLedger {
    /// Notes that a slot is given to a daemon of the own zone, by a write that is about to
    /// be sent and changes the rosters of `revision`. Returns whether it wasn't given
    /// before.
    ///
    /// This daemon uses it until the taker has certainly read of it, as
    /// [`ShareLedger::note_view`] tells, and for as long after that as it may act by an old
    /// view, [`LedgerTiming::fresh`](super::super::LedgerTiming::fresh).
    pub fn give_slot(&mut self, slot: u8, taker: DaemonId, revision: i64, now: Timestamp) -> bool {
        let until = now + self.timing.fresh;
        self.handovers.give(slot, taker, revision, until)
    }

    /// Notes that the write that would have given a slot away has certainly not run.
    pub fn take_slot_back(&mut self, slot: u8, now: Timestamp) {
        self.handovers.forget(slot);
        self.use_own_slots(0, now);
    }

    /// Notes that a daemon, asked at `asked`, acts by the rosters of `revision`.
    pub fn note_view(&mut self, daemon: DaemonId, revision: i64, asked: Timestamp) {
        let fresh = self.timing.fresh;
        self.handovers.note_view(daemon, revision, asked, fresh);
    }

    /// Notes at which revision the own zone's roster was written. A write that would give
    /// slots away and changes an older one can't take effect any more.
    pub fn note_roster(&mut self, revision: i64, now: Timestamp) {
        for slot in 0..SLOTS {
            if self.recorded[slot] == Some(self.me) && self.handovers.is_older(slot, revision) {
                self.handovers.forget(slot as u8);
            }
        }
        self.use_own_slots(0, now);
    }

    /// Whether slots are on their way whose takers may not know yet.
    pub fn is_giving(&self, now: Timestamp) -> bool {
        self.handovers.is_open(now)
    }

    /// Stops using slots that were given away: this daemon stops.
    pub fn end_giving(&mut self) {
        self.handovers = Default::default();
    }

    /// Stops using slots whose takers may be about to use them.
    pub(super) fn end_handovers(&mut self, now: Timestamp) {
        if self.handovers.has_ended(now) {
            self.use_own_slots(0, now);
        }
    }

    /// Uses the slots that are this daemon's, and no others. What it gains counts from when
    /// its former holder has certainly stopped, but for slots in `first`.
    pub(super) fn use_own_slots(&mut self, first: u64, now: Timestamp) {
        for slot in 0..SLOTS {
            let holder = self.holder_now(slot, now);
            let before = std::mem::replace(&mut self.holders[self.zone][slot], holder);
            if holder != Some(self.me) || before == holder {
                continue;
            }
            let is_unused = first & (1 << slot) != 0;
            let wait = match is_unused {
                true => Duration::ZERO,
                false => self.timing.settle(),
            };
            self.held_from[slot] = now + wait;
        }
        self.handovers.skip_ended(now);
        let holders = self.holders[self.zone];
        let mine = |slot: u8| holders[usize::from(slot)] == Some(self.me);
        for share in &mut self.shares {
            share.held.retain(|held| mine(held.slot));
            share.hold_missing(mine, self.zone, &self.held_from, now);
        }
    }

    /// The holder of a slot of the own zone, as this daemon has to act.
    fn holder_now(&mut self, slot: usize, now: Timestamp) -> Option<DaemonId> {
        let recorded = self.recorded[slot];
        let is_own = recorded == Some(self.me);
        let was_own = self.holders[self.zone][slot] == Some(self.me);
        if self.handovers.is_over(slot, now) {
            // Where the write that gives it away may still take effect, its taker may come
            // to use it at any moment.
            if is_own {
                return None;
            }
            self.handovers.forget(slot as u8);
        }
        match was_own && self.handovers.is_usable(slot, now) {
            true => Some(self.me),
            false => recorded,
        }
    }
}
