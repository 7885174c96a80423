//! The faults that can be injected at an endpoint of the store.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

/// The size in bytes of the largest value that the store takes.
pub(super) const MAX_VALUE_BYTES: usize = 1 << 20;

/// The silence of the endpoint when a call came in.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallStart {
    silence_count: u32,
    was_silent: bool,
}

/// The fault switches of an endpoint of the store.
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
    /// The size in bytes of the largest value that is taken; 0 for [`MAX_VALUE_BYTES`].
    value_bytes: AtomicUsize,
}

impl KvFaults {
    /// Sets whether all calls are rejected with 503, which means that they had no effect.
    pub fn set_rejecting(&self, is_on: bool) {
        self.is_rejecting.store(is_on, Ordering::SeqCst);
    }

    /// Sets whether the endpoint is silent: no call is answered. Calls that were open at any
    /// time during the silence, including waiting watches, get no answer afterwards either.
    pub fn set_silent(&self, is_on: bool) {
        if is_on {
            self.silence_count.fetch_add(1, Ordering::SeqCst);
        }
        self.is_silent.store(is_on, Ordering::SeqCst);
    }

    /// Returns the present silence, for [`KvFaults::drops_answer`] at the end of the call.
    pub(super) fn begin_call(&self) -> CallStart {
        CallStart {
            silence_count: self.silence_count.load(Ordering::SeqCst),
            was_silent: self.is_silent.load(Ordering::SeqCst),
        }
    }

    /// Returns whether the answer to a call must not be sent, because the endpoint was
    /// silent at some time during the call.
    pub(super) fn drops_answer(&self, call: CallStart) -> bool {
        call.was_silent || call.silence_count != self.silence_count.load(Ordering::SeqCst)
    }

    /// Performs the next `count` writes but cuts the connection instead of answering.
    pub fn lose_answers(&self, count: u32) {
        self.lost_answers.store(count, Ordering::SeqCst);
    }

    /// Cuts the connections of the next `count` writes and performs the writes only after
    /// `delay`.
    pub fn delay_writes(&self, count: u32, delay: Duration) {
        self.write_delay_ms
            .store(delay.as_millis() as u64, Ordering::SeqCst);
        self.delayed_writes.store(count, Ordering::SeqCst);
    }

    /// Sets whether writes are performed but their answers held back until this is switched
    /// off.
    pub fn hold_answers(&self, is_on: bool) {
        self.is_holding_answers.store(is_on, Ordering::SeqCst);
        if !is_on {
            self.lock_held().clear();
        }
    }

    /// Returns the keys written since answers are held back. Their writers don't know yet
    /// that the writes took effect.
    pub fn held_writes(&self) -> Vec<String> {
        self.lock_held().clone()
    }

    /// Sets the size in bytes of the largest value that is taken. A write of a larger one is
    /// refused with 413.
    pub fn set_value_bytes(&self, value_bytes: usize) {
        self.value_bytes.store(value_bytes, Ordering::SeqCst);
    }

    pub(super) fn value_bytes(&self) -> usize {
        match self.value_bytes.load(Ordering::SeqCst) {
            0 => MAX_VALUE_BYTES,
            limit => limit,
        }
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

    /// Returns the delay of the next write, if it is to be delayed, and counts that write.
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
