//! The right to send a claimed call once.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use comfreyramp_policy::{ClaimKey, ClaimTicket};

use super::{ClaimManager, StoredAnswer};

/// The right to send one call once, which ends when this is dropped.
///
/// A call can end at any point: its caller disconnects, its key is withdrawn,
/// its server breaks the connection. If its claim had no end, resends would be
/// answered for a day that the call may still be running. Dropping the grant
/// therefore records what is known: that the call was never sent, or that its
/// answer is lost.
#[derive(Debug)]
pub struct ClaimGrant {
    manager: Arc<ClaimManager>,
    key: ClaimKey,
    ticket: ClaimTicket,
    is_started: AtomicBool,
}

impl ClaimGrant {
    pub(super) fn new(manager: Arc<ClaimManager>, key: ClaimKey, ticket: ClaimTicket) -> Self {
        ClaimGrant {
            manager,
            key,
            ticket,
            is_started: AtomicBool::new(false),
        }
    }

    /// Starts the call and returns whether it may be sent now. Must be the last
    /// check before the first byte is sent.
    pub fn start(&self) -> bool {
        let now = self.manager.clock().now();
        let may_send = self.manager.tracker().start(self.key, self.ticket, now);
        if may_send {
            self.is_started.store(true, Ordering::Relaxed);
        }
        may_send
    }

    /// Reverts a start after which no connection could be opened.
    pub fn not_sent(&self) {
        self.manager.tracker().not_sent(self.key, self.ticket);
        self.is_started.store(false, Ordering::Relaxed);
    }

    /// Records that the call was answered, with the answer if it is short
    /// enough to be stored.
    pub fn finish(&self, answer: Option<StoredAnswer>) {
        self.manager.finish(self.key, self.ticket, answer);
    }
}

impl Drop for ClaimGrant {
    fn drop(&mut self) {
        if self.is_started.load(Ordering::Relaxed) {
            // Has no effect if the call has finished.
            self.manager
                .tracker()
                .record_lost_answer(self.key, self.ticket);
        } else {
            self.manager.tracker().forget(self.key, self.ticket);
        }
        self.manager.notify_change();
    }
}
