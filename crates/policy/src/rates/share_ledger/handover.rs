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
    /// [`LedgerTiming::max_view_age`](super::super::LedgerTiming::max_view_age), the
    /// maximum age of a view, from `now` on. Each [`ShareLedger::note_peer_revision`]
    /// that shows that the new holder hasn't read the new roster yet extends that time.
    pub fn hand_over(&mut self, slot: u8, to: DaemonId, revision: i64, now: Timestamp) -> bool {
        let until = now + self.timing.max_view_age;
        self.handovers.start(slot, to, revision, until)
    }

    /// Cancels a slot's handover, because the write for it has certainly not run.
    pub fn cancel_handover(&mut self, slot: u8, now: Timestamp) {
        self.handovers.remove(slot);
        self.update_own_slots(0, now);
    }

    /// Records that a daemon, queried at `queried_at`, uses the rosters of `revision`.
    pub fn note_peer_revision(&mut self, daemon: DaemonId, revision: i64, queried_at: Timestamp) {
        let max_view_age = self.timing.max_view_age;
        self.handovers
            .extend(daemon, revision, queried_at, max_view_age);
    }

    /// Records the revision at which the current roster of this daemon's zone was written.
    /// Handovers by writes that replace an older roster are cancelled: those writes can no
    /// longer take effect.
    pub fn note_roster(&mut self, revision: i64, now: Timestamp) {
        for slot in 0..SLOTS {
            if self.roster_holders[slot] == Some(self.own_id)
                && self.handovers.replaces_older_than(slot, revision)
            {
                self.handovers.remove(slot as u8);
            }
        }
        self.update_own_slots(0, now);
    }

    /// Whether this daemon still uses slots that it hands over.
    pub fn has_open_handovers(&self, now: Timestamp) -> bool {
        self.handovers.has_open(now)
    }

    /// Ends all handovers, because this daemon is shutting down.
    pub fn end_all_handovers(&mut self) {
        self.handovers = Default::default();
    }

    /// Stops using slots whose handovers have reached their end.
    pub(super) fn end_due_handovers(&mut self, now: Timestamp) {
        if self.handovers.is_end_due(now) {
            self.update_own_slots(0, now);
        }
    }

    /// Updates the slots that this daemon uses. It uses gained slots only after their
    /// previous holder has certainly stopped, but those in `never_held` immediately.
    pub(super) fn update_own_slots(&mut self, never_held: u64, now: Timestamp) {
        for slot in 0..SLOTS {
            let holder = self.effective_holder(slot, now);
            let before = std::mem::replace(&mut self.holders[self.zone][slot], holder);
            if holder != Some(self.own_id) || before == holder {
                continue;
            }
            let is_unused = never_held & (1 << slot) != 0;
            let wait = match is_unused {
                true => Duration::ZERO,
                false => self.timing.takeover_delay(),
            };
            self.usable_from[slot] = now + wait;
        }
        self.handovers.mark_ends_processed(now);
        let holders = self.holders[self.zone];
        let is_own_slot = |slot: u8| holders[usize::from(slot)] == Some(self.own_id);
        for share in &mut self.shares {
            share.held.retain(|held| is_own_slot(held.slot));
            share.add_missing_slots(is_own_slot, self.zone, &self.usable_from, now);
        }
    }

    /// Returns the daemon that this daemon has to treat as the holder of a slot of its own
    /// zone.
    fn effective_holder(&mut self, slot: usize, now: Timestamp) -> Option<DaemonId> {
        let roster_holder = self.roster_holders[slot];
        let is_own = roster_holder == Some(self.own_id);
        let was_own = self.holders[self.zone][slot] == Some(self.own_id);
        if self.handovers.is_past_end(slot, now) {
            // The write that hands the slot over may still take effect, so the new holder
            // may start to use it at any time.
            if is_own {
                return None;
            }
            self.handovers.remove(slot as u8);
        }
        match was_own && self.handovers.is_usable(slot, now) {
            true => Some(self.own_id),
            false => roster_holder,
        }
    }
}
