//! What goes wrong at one door of the store.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

/// How things were when a call came in.
#[derive(Clone, Copy, Debug)]
pub(super) struct BegunCall {
    silences: u32,
    was_silent: bool,
}

/// What goes wrong at one door of the store.
#[derive(Debug, Default)]
pub struct KvFaults {
    turned_away: AtomicBool,
    lost_answers: AtomicU32,
    late_writes: AtomicU32,
    late_by_ms: AtomicU64,
    held_answers: AtomicBool,
    is_silent: AtomicBool,
    silences: AtomicU32,
    /// The keys of writes whose answers are held back.
    held_writes: Mutex<Vec<String>>,
}

impl KvFaults {
    /// Turns all calls away with 503, which says that nothing was done.
    pub fn turn_away(&self, is_on: bool) {
        self.turned_away.store(is_on, Ordering::SeqCst);
    }

    /// Answers nothing while this is on. Calls that were open at any moment of it, watches
    /// that wait included, have no answer afterwards either.
    pub fn fall_silent(&self, is_on: bool) {
        if is_on {
            self.silences.fetch_add(1, Ordering::SeqCst);
        }
        self.is_silent.store(is_on, Ordering::SeqCst);
    }

    /// A call that comes in now.
    pub(super) fn begin_call(&self) -> BegunCall {
        BegunCall {
            silences: self.silences.load(Ordering::SeqCst),
            was_silent: self.is_silent.load(Ordering::SeqCst),
        }
    }

    /// Whether the answer to a call is never sent.
    pub(super) fn swallows(&self, call: BegunCall) -> bool {
        call.was_silent || call.silences != self.silences.load(Ordering::SeqCst)
    }

    /// Does the next writes without answering them.
    pub fn lose_answers(&self, count: u32) {
        self.lost_answers.store(count, Ordering::SeqCst);
    }

    /// Breaks the connections of the next writes off, and does them only after a span.
    pub fn delay_writes(&self, count: u32, span: Duration) {
        self.late_by_ms
            .store(span.as_millis() as u64, Ordering::SeqCst);
        self.late_writes.store(count, Ordering::SeqCst);
    }

    /// Does writes, and holds the answers to them back until this is switched off.
    pub fn hold_answers(&self, is_on: bool) {
        self.held_answers.store(is_on, Ordering::SeqCst);
        if !is_on {
            self.lock_held().clear();
        }
    }

    /// The keys that were written since answers are held back: whoever wrote them
    /// doesn't know yet that it did.
    pub fn held_writes(&self) -> Vec<String> {
        self.lock_held().clone()
    }

    pub(super) fn note_held(&self, keys: Vec<String>) {
        if self.holds_answers() {
            self.lock_held().extend(keys);
        }
    }

    fn lock_held(&self) -> MutexGuard<'_, Vec<String>> {
        self.held_writes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn holds_answers(&self) -> bool {
        self.held_answers.load(Ordering::SeqCst)
    }

    pub(super) fn turns_away(&self) -> bool {
        self.turned_away.load(Ordering::SeqCst)
    }

    pub(super) fn loses_answer(&self) -> bool {
        takes_one(&self.lost_answers)
    }

    /// How late the next write is done, if it is.
    pub(super) fn delays_write(&self) -> Option<Duration> {
        let span = Duration::from_millis(self.late_by_ms.load(Ordering::SeqCst));
        takes_one(&self.late_writes).then_some(span)
    }
}

fn takes_one(count: &AtomicU32) -> bool {
    let less = |left: u32| left.checked_sub(1);
    count
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, less)
        .is_ok()
}
