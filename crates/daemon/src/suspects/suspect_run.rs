//! The handle of a request's run on a server.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use comfreyramp_policy::{Fingerprint, RunEnd, RunId, ServerKey};

use super::SuspectManager;

/// A run of a request on a server. Dropping it records the end of the run.
#[derive(Debug)]
pub struct SuspectRun {
    pub(super) manager: Arc<SuspectManager>,
    pub(super) fingerprint: Fingerprint,
    pub(super) run: RunId,
    pub(super) server: ServerKey,
    has_ended: AtomicBool,
}

impl SuspectRun {
    pub(super) fn new(
        manager: Arc<SuspectManager>,
        fingerprint: Fingerprint,
        run: RunId,
        server: ServerKey,
    ) -> Self {
        SuspectRun {
            manager,
            fingerprint,
            run,
            server,
            has_ended: AtomicBool::new(false),
        }
    }

    /// Records that the answer was complete, which clears the request if it was a
    /// suspect.
    pub fn mark_finished(&self) {
        self.end(RunEnd::Finished);
    }

    /// Records that no byte of the request was sent.
    pub fn mark_not_sent(&self) {
        self.end(RunEnd::NotSent);
    }

    fn end(&self, end: RunEnd) {
        if !self.has_ended.swap(true, Ordering::Relaxed) {
            self.manager.end_run(self.fingerprint, self.run, end);
        }
    }
}

impl Drop for SuspectRun {
    fn drop(&mut self) {
        self.end(RunEnd::Stopped);
    }
}
