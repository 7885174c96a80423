//! Whether the store answers, as all parts of a daemon report and ask.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use comfreyramp_policy::{StoreContact, Timestamp};
use comfreyramp_store::StoreError;
use tokio::sync::watch;

use crate::clock::BootClock;

/// Whether the store answers, as all parts of a daemon report and ask.
#[derive(Clone, Debug)]
pub struct ContactDesk {
    state: Arc<Mutex<StoreContact>>,
    clock: BootClock,
    changed: watch::Sender<()>,
}

impl ContactDesk {
    /// A desk that nothing was reported to yet.
    pub fn new(clock: BootClock) -> Self {
        ContactDesk {
            state: Arc::default(),
            clock,
            changed: watch::Sender::default(),
        }
    }

    /// The present time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// What is known of the store.
    pub fn contact(&self) -> StoreContact {
        *self.lock()
    }

    /// Notes that a call is asked that waits for a change. Returns when.
    pub fn note_waiting(&self) -> Timestamp {
        let now = self.now();
        self.lock().note_waiting(now);
        self.changed.send_replace(());
        now
    }

    /// Notes that a probe is asked. Returns when.
    pub(super) fn note_probe(&self) -> Timestamp {
        let now = self.now();
        self.lock().note_probe(&mut rand::rng(), now);
        now
    }

    /// Notes how a call ended that was `asked` then.
    pub fn note_end<T>(&self, asked: Timestamp, end: &Result<T, StoreError>) {
        if is_answered(end) {
            self.regain(|it, now| it.note_answer(asked, now));
        } else {
            self.note_lost(asked);
        }
    }

    /// Notes how a call ended that had waited for a change since it was `asked`.
    pub fn note_wait_end<T>(&self, asked: Timestamp, end: &Result<T, StoreError>) {
        if is_answered(end) {
            self.regain(|it, now| it.note_news(asked, now));
        } else {
            self.note_lost(asked);
        }
    }

    /// Notes that a probe got no answer.
    pub(super) fn note_lost_probe(&self, asked: Timestamp) {
        let is_silence = self.silence(|it, now| it.note_lost_probe(asked, now));
        if !is_silence {
            log::info!("store: a probe was lost, calls that wait are asked anew");
            self.changed.send_replace(());
        }
    }

    fn note_lost(&self, asked: Timestamp) {
        self.silence(|it, now| it.note_lost_call(asked, now));
    }

    /// Notes a lost call, and returns whether the store is known to be silent now.
    fn silence(&self, note: impl FnOnce(&mut StoreContact, Timestamp) -> bool) -> bool {
        let now = self.now();
        let mut state = self.lock();
        let was_silent = state.silent_since().is_some();
        let is_silent = note(&mut state, now);
        let answered_ago = state.answered_ago(now);
        drop(state);
        if is_silent && !was_silent {
            let answered_ms_ago = answered_ago.map(|it| it.as_millis() as u64);
            log::warn!(answered_ms_ago = answered_ms_ago; "store: silent");
            self.changed.send_replace(());
        }
        is_silent
    }

    /// Notes an answer, and tells those who wait if a silence ended with it.
    fn regain(&self, note: impl FnOnce(&mut StoreContact, Timestamp) -> bool) {
        let now = self.now();
        let mut state = self.lock();
        let silent_since = state.silent_since();
        let is_regained = note(&mut state, now);
        drop(state);
        if !is_regained {
            return;
        }
        let silence = silent_since.map_or(0, |it| now.since(it).as_millis() as u64);
        log::info!(silent_ms = silence; "store: answers again, calls that wait are asked anew");
        self.changed.send_replace(());
    }

    /// Waits until a call that was `asked` then, and waits still, is to be asked anew.
    pub async fn doubted(&self, asked: Timestamp) {
        self.until(|contact| contact.is_doubtful(asked)).await;
    }

    /// Waits while the store is known to be silent.
    pub async fn answering(&self) {
        self.until(|contact| contact.silent_since().is_none()).await;
    }

    /// Waits until something was reported that may change when the next probe is due.
    pub(super) async fn changed(&self) {
        // The sender is this desk's own, so that the channel stays open.
        let _ = self.changed.subscribe().changed().await;
    }

    async fn until(&self, holds: impl Fn(StoreContact) -> bool) {
        let mut changes = self.changed.subscribe();
        while !holds(self.contact()) {
            // The sender is this desk's own, so that the channel stays open.
            let _ = changes.changed().await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, StoreContact> {
        // Nothing under this lock can be left half done.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether the store said anything to a call.
pub(super) fn is_answered<T>(end: &Result<T, StoreError>) -> bool {
    !matches!(
        end,
        Err(StoreError::Unreachable(_) | StoreError::AnswerLost(_))
    )
}
