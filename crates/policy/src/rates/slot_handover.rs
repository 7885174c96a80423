//! Slots that this daemon gave to others, and uses until they know.

use std::time::Duration;

use crate::{DaemonId, Timestamp};

use super::SLOTS;

/// A slot on its way to another daemon of the zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct GivenSlot {
    taker: DaemonId,
    /// The revision of the rosters that the giver changed.
    revision: i64,
    /// Until when the giver may use the slot.
    until: Timestamp,
}

/// Slots that this daemon gave to others, and uses until they know.
///
/// A record that hands a slot over is read by its taker up to a second later, or, if
/// the platform is lost meanwhile, not before it is back. Until then nobody else would
/// use the slot. Its taker waits for [`LedgerTiming::settle`](super::LedgerTiming::settle)
/// from when it has read the record; so the giver may go on for as long after the last
/// moment at which the taker hadn't read it as a daemon may act by an old view. See
/// `docs/RATES.md`.
#[derive(Clone, Debug)]
pub(super) struct SlotHandovers {
    slots: [Option<GivenSlot>; SLOTS],
    /// When the first of them ends; nothing while none is given.
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
    /// Notes that a slot is given by a write that is about to be sent. Returns whether it
    /// wasn't given before.
    ///
    /// A write that is repeated, since its answer was lost, gives no more time: the taker
    /// may have read the first.
    pub(super) fn give(
        &mut self,
        slot: u8,
        taker: DaemonId,
        revision: i64,
        until: Timestamp,
    ) -> bool {
        let given = &mut self.slots[usize::from(slot) % SLOTS];
        if given.is_some() {
            return false;
        }
        *given = Some(GivenSlot {
            taker,
            revision,
            until,
        });
        self.find_first_end();
        true
    }

    /// Forgets that a slot was given: it stays here, or is another's for good.
    pub(super) fn forget(&mut self, slot: u8) {
        self.slots[usize::from(slot) % SLOTS] = None;
        self.find_first_end();
    }

    /// Notes that a daemon acted by the rosters of `revision` at `asked` or later.
    pub(super) fn note_view(
        &mut self,
        taker: DaemonId,
        revision: i64,
        asked: Timestamp,
        span: Duration,
    ) {
        for given in self.slots.iter_mut().flatten() {
            if given.taker == taker && revision <= given.revision {
                given.until = given.until.max(asked + span);
            }
        }
        self.find_first_end();
    }

    /// Whether this daemon may use a slot that it gave away.
    pub(super) fn is_usable(&self, slot: usize, now: Timestamp) -> bool {
        self.slots[slot].is_some_and(|given| now < given.until)
    }

    /// Whether a slot was given and its time is over.
    pub(super) fn is_over(&self, slot: usize, now: Timestamp) -> bool {
        self.slots[slot].is_some_and(|given| given.until <= now)
    }

    /// Whether a slot was given by a write that changes a roster older than this one.
    pub(super) fn is_older(&self, slot: usize, revision: i64) -> bool {
        self.slots[slot].is_some_and(|given| given.revision < revision)
    }

    /// Whether the time of any slot is over.
    pub(super) fn has_ended(&self, now: Timestamp) -> bool {
        self.first_end.is_some_and(|end| end <= now)
    }

    /// Whether any slot is on its way and used here.
    pub(super) fn is_open(&self, now: Timestamp) -> bool {
        self.slots.iter().flatten().any(|given| now < given.until)
    }

    /// Notes that the ends by `now` were acted on.
    pub(super) fn skip_ended(&mut self, now: Timestamp) {
        let ends = self.slots.iter().flatten().map(|given| given.until);
        self.first_end = ends.filter(|end| now < *end).min();
    }

    fn find_first_end(&mut self) {
        let ends = self.slots.iter().flatten().map(|given| given.until);
        self.first_end = ends.min();
    }
}
