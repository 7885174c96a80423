//! The right to send one call once.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use comfreyramp_policy::{ClaimKey, ClaimTicket};

use super::{ClaimKeeper, StoredAnswer};

/// The right to send one call once, which ends when it is dropped.
///
/// A call can end anywhere: its caller goes away, its key is withdrawn, its
/// server breaks off. A claim without an end would tell resends for a day that
/// the call may still be running, so dropping it says what is known: that it
/// was never sent, or that its answer is lost.
#[derive(Debug)]
pub struct ClaimGrant {
    keeper: Arc<ClaimKeeper>,
    key: ClaimKey,
    ticket: ClaimTicket,
    is_started: AtomicBool,
}

impl ClaimGrant {
    pub(super) fn new(keeper: Arc<ClaimKeeper>, key: ClaimKey, ticket: ClaimTicket) -> Self {
        ClaimGrant {
            keeper,
            key,
            ticket,
            is_started: AtomicBool::new(false),
        }
    }

    /// Whether the call may be sent now, once. It is the last check before the
    /// first byte.
    pub fn start(&self) -> bool {
        let now = self.keeper.clock().now();
        let may_send = self.keeper.book().start(self.key, self.ticket, now);
        if may_send {
            self.is_started.store(true, Ordering::Relaxed);
        }
        may_send
    }

    /// Takes back a start after which no connection could be opened.
    pub fn not_sent(&self) {
        self.keeper.book().not_sent(self.key, self.ticket);
        self.is_started.store(false, Ordering::Relaxed);
    }

    /// Takes in that the call was answered, with the answer if it is short
    /// enough to be kept.
    pub fn finish(&self, answer: Option<StoredAnswer>) {
        self.keeper.finish(self.key, self.ticket, answer);
    }
}

impl Drop for ClaimGrant {
    fn drop(&mut self) {
        if self.is_started.load(Ordering::Relaxed) {
            // Without effect if the call has finished.
            self.keeper.book().record_lost_answer(self.key, self.ticket);
        } else {
            self.keeper.book().forget(self.key, self.ticket);
        }
        self.keeper.note_change();
    }
}
