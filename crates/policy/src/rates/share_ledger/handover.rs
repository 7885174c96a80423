//! Determines the slots of its zone that this daemon uses: those that the roster assigns to
//! it, and those that it hands over to daemons that may not have read the roster yet.

use std::time::Duration;

use crate::{DaemonId, Timestamp};

use super::{super::SLOTS, ShareLedger};

impl ShareLedger {
    /// Starts the handover of a slot to a daemon of the same zone, by a write that is about
    /// to be sent and replaces the roster of `revision`. Returns whether no handover of the
    /// slot was open.
    ///
    /// This daemon uses the slot for
    /// [`LedgerTiming::fresh`](super::super::LedgerTiming::fresh), the maximum age of a
    /// view. Each [`ShareLedger::note_view`] by which the new holder hasn't read the new
    /// roster yet extends that time.
    pub fn give_slot(&mut self, slot: u8, taker: DaemonId, revision: i64, now: Timestamp) -> bool {
        let until = now + self.timing.fresh;
        self.handovers.give(slot, taker, revision, until)
    }

    /// Cancels a slot's handover, because the write for it has certainly not run.
    pub fn take_slot_back(&mut self, slot: u8, now: Timestamp) {
        self.handovers.forget(slot);
        self.use_own_slots(0, now);
    }

    /// Records that a daemon, queried at `queried_at`, uses the rosters of `revision`.
    pub fn note_view(&mut self, daemon: DaemonId, revision: i64, asked: Timestamp) {
        let fresh = self.timing.fresh;
        self.handovers.note_view(daemon, revision, asked, fresh);
    }

    /// Records the revision at which the current roster of this daemon's zone was written.
    /// Handovers by writes that replace an older roster are cancelled: those writes can no
    /// longer take effect.
    pub fn note_roster(&mut self, revision: i64, now: Timestamp) {
        for slot in 0..SLOTS {
            if self.recorded[slot] == Some(self.me) && self.handovers.is_older(slot, revision) {
                self.handovers.forget(slot as u8);
            }
        }
        self.use_own_slots(0, now);
    }

    /// Whether this daemon still uses slots that it hands over.
    pub fn is_giving(&self, now: Timestamp) -> bool {
        self.handovers.is_open(now)
    }

    /// Ends all handovers, because this daemon is shutting down.
    pub fn end_giving(&mut self) {
        self.handovers = Default::default();
    }

    /// Stops using slots whose handovers have reached their end.
    pub(super) fn end_handovers(&mut self, now: Timestamp) {
        if self.handovers.has_ended(now) {
            self.use_own_slots(0, now);
        }
    }

    /// Updates the slots that this daemon uses. It uses gained slots only after their
    /// previous holder has certainly stopped, but those in `first` immediately.
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

    /// Returns the daemon that this daemon has to treat as the holder of a slot of its own
    /// zone.
    fn holder_now(&mut self, slot: usize, now: Timestamp) -> Option<DaemonId> {
        let recorded = self.recorded[slot];
        let is_own = recorded == Some(self.me);
        let was_own = self.holders[self.zone][slot] == Some(self.me);
        if self.handovers.is_over(slot, now) {
            // The write that hands the slot over may still take effect, so the new holder
            // may start to use it at any time.
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
