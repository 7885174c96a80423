//! The progress of a caller's body that is forwarded while it arrives.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use comfreyramp_http::{CallError, ErrorAnswer, RunState, StatusCode};

use crate::attempts::BUSY_RETRY;

/// The progress of one upload, shared with the task that forwards it.
#[derive(Clone, Debug, Default)]
pub(super) struct UploadProgress {
    shared: Arc<UploadFlags>,
}

#[derive(Debug, Default)]
struct UploadFlags {
    is_arriving: AtomicBool,
    is_broken: AtomicBool,
}

impl UploadProgress {
    /// Records that the body is being forwarded.
    pub(super) fn begin(&self) {
        self.shared.is_arriving.store(true, Ordering::Release);
    }

    /// Records that the complete body was received.
    pub(super) fn finish(&self) {
        self.shared.is_arriving.store(false, Ordering::Release);
    }

    /// Records that the body broke off or was rejected on the caller's side.
    pub(super) fn mark_broken(&self) {
        self.shared.is_broken.store(true, Ordering::Release);
    }

    /// Returns the error for a call that failed because of the caller's body.
    ///
    /// A server whose request breaks off or never ends gives no answer either.
    /// Counting that as the server's failure would let one faulty client get
    /// the server ejected: its weight would fall while it answers everyone
    /// else.
    pub(super) fn caller_error(&self, error: &CallError) -> Option<ErrorAnswer> {
        if self.shared.is_broken.load(Ordering::Acquire) {
            let text = "The body broke off, or it contains your key.";
            let answer = ErrorAnswer::new(StatusCode::BAD_REQUEST, "body_incomplete", text);
            return Some(unfinished(answer, error));
        }
        let is_late = matches!(error, CallError::TimedOut(_));
        if is_late && self.shared.is_arriving.load(Ordering::Acquire) {
            let text = "The request's deadline passed before its body had arrived.";
            let answer = ErrorAnswer::new(StatusCode::REQUEST_TIMEOUT, "body_too_slow", text);
            return Some(unfinished(answer, error));
        }
        None
    }
}

fn unfinished(answer: ErrorAnswer, error: &CallError) -> ErrorAnswer {
    let ran = if error.is_not_sent() {
        RunState::No
    } else {
        RunState::Unknown
    };
    answer.ran(ran).retry_after(BUSY_RETRY)
}
