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
pub(super) struct CallStart {
    silence_count: u32,
    was_silent: bool,
}

/// What goes wrong at one door of the store.
#[derive(Debug, Default)]
pub struct KvFaults {
    is_rejecting: AtomicBool,
    lost_answers: AtomicU32,
    delayed_writes: AtomicU32,
    write_delay_ms: AtomicU64,
    is_holding_answers: AtomicBool,
    is_silent: AtomicBool,
    silence_count: AtomicU32,
    /// The keys of writes whose answers are held back.
    held_writes: Mutex<Vec<String>>,
}

impl KvFaults {
    /// Turns all calls away with 503, which says that nothing was done.
    pub fn turn_away(&self, is_on: bool) {
        self.is_rejecting.store(is_on, Ordering::SeqCst);
    }

    /// Answers nothing while this is on. Calls that were open at any moment of it, watches
    /// that wait included, have no answer afterwards either.
    pub fn fall_silent(&self, is_on: bool) {
        if is_on {
            self.silence_count.fetch_add(1, Ordering::SeqCst);
        }
        self.is_silent.store(is_on, Ordering::SeqCst);
    }

    /// A call that comes in now.
    pub(super) fn begin_call(&self) -> CallStart {
        CallStart {
            silence_count: self.silence_count.load(Ordering::SeqCst),
            was_silent: self.is_silent.load(Ordering::SeqCst),
        }
    }

    /// Whether the answer to a call is never sent.
    pub(super) fn drops_answer(&self, call: CallStart) -> bool {
        call.was_silent || call.silence_count != self.silence_count.load(Ordering::SeqCst)
    }

    /// Does the next writes without answering them.
    pub fn lose_answers(&self, count: u32) {
        self.lost_answers.store(count, Ordering::SeqCst);
    }

    /// Breaks the connections of the next writes off, and does them only after a span.
    pub fn delay_writes(&self, count: u32, delay: Duration) {
        self.write_delay_ms
            .store(delay.as_millis() as u64, Ordering::SeqCst);
        self.delayed_writes.store(count, Ordering::SeqCst);
    }

    /// Does writes, and holds the answers to them back until this is switched off.
    pub fn hold_answers(&self, is_on: bool) {
        self.is_holding_answers.store(is_on, Ordering::SeqCst);
        if !is_on {
            self.lock_held().clear();
        }
    }

    /// The keys that were written since answers are held back: whoever wrote them
    /// doesn't know yet that it did.
    pub fn held_writes(&self) -> Vec<String> {
        self.lock_held().clone()
    }

    pub(super) fn record_held(&self, keys: Vec<String>) {
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
        self.is_holding_answers.load(Ordering::SeqCst)
    }

    pub(super) fn rejects_calls(&self) -> bool {
        self.is_rejecting.load(Ordering::SeqCst)
    }

    pub(super) fn take_lost_answer(&self) -> bool {
        take_one(&self.lost_answers)
    }

    /// How late the next write is done, if it is.
    pub(super) fn take_write_delay(&self) -> Option<Duration> {
        let delay = Duration::from_millis(self.write_delay_ms.load(Ordering::SeqCst));
        take_one(&self.delayed_writes).then_some(delay)
    }
}

fn take_one(count: &AtomicU32) -> bool {
    let decremented = |left: u32| left.checked_sub(1);
    count
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decremented)
        .is_ok()
}
