//! Tracks whether the store answers, from the calls of all parts of a daemon.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use comfreyramp_policy::{StoreContact, Timestamp};
use comfreyramp_store::StoreError;
use tokio::sync::watch;

use crate::clock::BootClock;

/// Tracks whether the store answers, from the calls of all parts of a daemon.
///
/// All clones share one state. The store is silent while it answers nothing within the
/// timeout.
#[derive(Clone, Debug)]
pub struct StoreMonitor {
    state: Arc<Mutex<StoreContact>>,
    clock: BootClock,
    changed: watch::Sender<()>,
}

impl StoreMonitor {
    /// Returns a monitor that knows of no calls yet.
    pub fn new(clock: BootClock) -> Self {
        StoreMonitor {
            state: Arc::default(),
            clock,
            changed: watch::Sender::default(),
        }
    }

    /// Returns the current time of the daemon's clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns a copy of the tracked state.
    pub fn contact(&self) -> StoreContact {
        *self.lock()
    }

    /// Records the start of a call that waits for a change. Returns the time of it.
    pub fn note_waiting(&self) -> Timestamp {
        let now = self.now();
        self.lock().note_waiting(now);
        self.changed.send_replace(());
        now
    }

    /// Records the start of a probe. Returns the time of it.
    pub(super) fn note_probe(&self) -> Timestamp {
        let now = self.now();
        self.lock().note_probe(&mut rand::rng(), now);
        now
    }

    /// Records the result of a call that was sent at `sent_at`.
    pub fn note_end<T>(&self, sent_at: Timestamp, end: &Result<T, StoreError>) {
        if is_answered(end) {
            self.record_answer(|it, now| it.note_answer(sent_at, now));
        } else {
            self.note_lost_call(sent_at);
        }
    }

    /// Records the result of a call that was sent at `sent_at` to wait for a change.
    pub fn note_wait_end<T>(&self, sent_at: Timestamp, end: &Result<T, StoreError>) {
        if is_answered(end) {
            self.record_answer(|it, now| it.note_change(sent_at, now));
        } else {
            self.note_lost_call(sent_at);
        }
    }

    /// Records that a probe sent at `sent_at` got no answer.
    pub(super) fn note_lost_probe(&self, sent_at: Timestamp) {
        let is_silence = self.record_loss(|it, now| it.note_lost_probe(sent_at, now));
        if !is_silence {
            log::info!("store: a probe was lost, calls that wait are asked anew");
            self.changed.send_replace(());
        }
    }

    fn note_lost_call(&self, sent_at: Timestamp) {
        self.record_loss(|it, now| it.note_lost_call(sent_at, now));
    }

    /// Records a lost call, and returns whether the store is now considered silent.
    fn record_loss(&self, note: impl FnOnce(&mut StoreContact, Timestamp) -> bool) -> bool {
        let now = self.now();
        let mut state = self.lock();
        let was_silent = state.silent_since().is_some();
        let is_silent = note(&mut state, now);
        let answered_ago = state.answered_call_age(now);
        drop(state);
        if is_silent && !was_silent {
            let answered_ms_ago = answered_ago.map(|it| it.as_millis() as u64);
            log::warn!(answered_ms_ago = answered_ms_ago; "store: silent");
            self.changed.send_replace(());
        }
        is_silent
    }

    /// Records an answer, and wakes the waiting tasks if it ends a silence.
    fn record_answer(&self, note: impl FnOnce(&mut StoreContact, Timestamp) -> bool) {
        let now = self.now();
        let mut state = self.lock();
        let silent_since = state.silent_since();
        let ends_silence = note(&mut state, now);
        drop(state);
        if !ends_silence {
            return;
        }
        let silence = silent_since.map_or(0, |it| now.since(it).as_millis() as u64);
        log::info!(silent_ms = silence; "store: answers again, calls that wait are asked anew");
        self.changed.send_replace(());
    }

    /// Waits until a call that was sent at `sent_at`, and still has no answer, has to be
    /// reissued.
    pub async fn reissue_due(&self, sent_at: Timestamp) {
        self.wait_until(|contact| contact.is_unconfirmed(sent_at))
            .await;
    }

    /// Waits until the store is no longer considered silent.
    pub async fn silence_ended(&self) {
        self.wait_until(|contact| contact.silent_since().is_none())
            .await;
    }

    /// Waits for a state change that may affect when the next probe is due.
    pub(super) async fn changed(&self) {
        // `self` holds the sender, so that the channel stays open.
        let _ = self.changed.subscribe().changed().await;
    }

    async fn wait_until(&self, is_met: impl Fn(StoreContact) -> bool) {
        let mut changes = self.changed.subscribe();
        while !is_met(self.contact()) {
            // `self` holds the sender, so that the channel stays open.
            let _ = changes.changed().await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, StoreContact> {
        // No update under this lock can be interrupted halfway, so that a poisoned state
        // is still consistent.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether the store answered a call, be it with an error.
pub(super) fn is_answered<T>(end: &Result<T, StoreError>) -> bool {
    !matches!(
        end,
        Err(StoreError::Unreachable(_) | StoreError::AnswerLost(_))
    )
}
