//! What goes wrong at one door of the store.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

/// What goes wrong at one door of the store.
#[derive(Debug, Default)]
pub struct KvFaults {
    turned_away: AtomicBool,
    lost_answers: AtomicU32,
    held_answers: AtomicBool,
}

impl KvFaults {
    /// Turns all calls away with 503, which says that nothing was done.
    pub fn turn_away(&self, is_on: bool) {
        self.turned_away.store(is_on, Ordering::SeqCst);
    }

    /// Does the next writes without answering them.
    pub fn lose_answers(&self, count: u32) {
        self.lost_answers.store(count, Ordering::SeqCst);
    }

    /// Does writes, and holds the answers to them back until this is switched off.
    pub fn hold_answers(&self, is_on: bool) {
        self.held_answers.store(is_on, Ordering::SeqCst);
    }

    pub(super) fn holds_answers(&self) -> bool {
        self.held_answers.load(Ordering::SeqCst)
    }

    pub(super) fn turns_away(&self) -> bool {
        self.turned_away.load(Ordering::SeqCst)
    }

    pub(super) fn loses_answer(&self) -> bool {
        let left = self.lost_answers.load(Ordering::SeqCst);
        if left == 0 {
            return false;
        }
        self.lost_answers.store(left - 1, Ordering::SeqCst);
        true
    }
}
