//! Slots that this daemon hands over to other daemons of its zone.

use std::time::Duration;

use crate::{DaemonId, Timestamp};

use super::SLOTS;

/// A slot on its way to another daemon of the zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OpenHandover {
    new_holder: DaemonId,
    /// The store revision of the roster that the handover replaces.
    revision: i64,
    /// Until when the previous holder may use the slot.
    until: Timestamp,
}

/// The slots that this daemon is handing over and uses until their new holders may
/// know of it.
///
/// The new holder reads the roster record up to a second after it is written or, if the
/// store becomes unavailable, only once the store is back; until then no other daemon
/// would use the slot. The new holder waits for
/// [`LedgerTiming::takeover_delay`](super::LedgerTiming::takeover_delay) after it has
/// read the record. The previous holder may therefore use the slot until
/// [`LedgerTiming::max_view_age`](super::LedgerTiming::max_view_age), the maximum age of
/// a view, after the last time at which the new holder is known not to have read the
/// record. See `docs/RATES.md`.
#[derive(Clone, Debug)]
pub(super) struct SlotHandovers {
    slots: [Option<OpenHandover>; SLOTS],
    /// When the first handover ends; `None` if there is none.
    first_end: Option<Timestamp>,
}

impl Default for SlotHandovers {
    fn default() -> Self {
        SlotHandovers {
            slots: [None; SLOTS],
            first_end: None,
        }
    }
}

impl SlotHandovers {
    /// Starts the handover of a slot by a write that is about to be sent. Returns whether
    /// no handover of the slot was open.
    ///
    /// A write that is reissued because its answer was lost doesn't extend the handover:
    /// the new holder may have read the first one.
    pub(super) fn start(
        &mut self,
        slot: u8,
        new_holder: DaemonId,
        revision: i64,
        until: Timestamp,
    ) -> bool {
        let handover = &mut self.slots[usize::from(slot) % SLOTS];
        if handover.is_some() {
            return false;
        }
        *handover = Some(OpenHandover {
            new_holder,
            revision,
            until,
        });
        self.update_first_end();
        true
    }

    /// Removes a slot's handover, because it was cancelled or is complete.
    pub(super) fn remove(&mut self, slot: u8) {
        self.slots[usize::from(slot) % SLOTS] = None;
        self.update_first_end();
    }

    /// Extends the handovers to a daemon that used the rosters of `revision` at `queried_at`
    /// or later, if that revision doesn't contain them yet.
    pub(super) fn extend(
        &mut self,
        new_holder: DaemonId,
        revision: i64,
        queried_at: Timestamp,
        max_view_age: Duration,
    ) {
        for handover in self.slots.iter_mut().flatten() {
            if handover.new_holder == new_holder && revision <= handover.revision {
                handover.until = handover.until.max(queried_at + max_view_age);
            }
        }
        self.update_first_end();
    }

    /// Whether this daemon may still use a slot that it hands over.
    pub(super) fn is_usable(&self, slot: usize, now: Timestamp) -> bool {
        self.slots[slot].is_some_and(|handover| now < handover.until)
    }

    /// Whether a slot's handover has passed its end.
    pub(super) fn is_past_end(&self, slot: usize, now: Timestamp) -> bool {
        self.slots[slot].is_some_and(|handover| handover.until <= now)
    }

    /// Whether a slot's handover replaces a roster older than `revision`.
    pub(super) fn replaces_older_than(&self, slot: usize, revision: i64) -> bool {
        self.slots[slot].is_some_and(|handover| handover.revision < revision)
    }

    /// Whether the first end that is not yet processed has passed.
    pub(super) fn is_end_due(&self, now: Timestamp) -> bool {
        self.first_end.is_some_and(|end| end <= now)
    }

    /// Whether this daemon still uses any slot that it hands over.
    pub(super) fn has_open(&self, now: Timestamp) -> bool {
        self.slots
            .iter()
            .flatten()
            .any(|handover| now < handover.until)
    }

    /// Marks the ends up to `now` as processed.
    pub(super) fn mark_ends_processed(&mut self, now: Timestamp) {
        let ends = self.slots.iter().flatten().map(|handover| handover.until);
        self.first_end = ends.filter(|end| now < *end).min();
    }

    fn update_first_end(&mut self) {
        let ends = self.slots.iter().flatten().map(|handover| handover.until);
        self.first_end = ends.min();
    }
}
