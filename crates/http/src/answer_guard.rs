//! Distinguishes broken answers from complete ones for callers that know no chunks.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use http::{Response, Version};
use hyper::body::Body;
use tokio::net::TcpStream;

use crate::{CloseGuard, guarded_socket::set_reset_on_close};

/// Notes whether an answer ends with its connection, and whether it is broken off.
#[derive(Clone, Debug, Default)]
pub struct AnswerNotes {
    ends_with_connection: Arc<AtomicBool>,
    is_broken_off: Arc<AtomicBool>,
}

impl AnswerNotes {
    /// Notes the answer to a request of this version. A caller of HTTP/1.0 gets no chunks,
    /// so that only a length or the end of the connection can delimit its answer.
    pub fn note<B: Body>(&self, version: Version, answer: &Response<B>) {
        let ends_with_connection =
            version == Version::HTTP_10 && answer.body().size_hint().exact().is_none();
        self.ends_with_connection
            .store(ends_with_connection, Ordering::Relaxed);
    }

    fn ends_with_connection(&self) -> bool {
        self.ends_with_connection.load(Ordering::Relaxed)
    }

    /// Notes that the daemon breaks an answer off. The socket is then closed by a reset, so
    /// that the system doesn't keep bytes that the caller doesn't read.
    pub fn break_off(&self) {
        self.is_broken_off.store(true, Ordering::Relaxed);
    }
}

/// Resets a caller's socket if it is closed during an answer that ends with its connection.
/// After an orderly close, such an answer would look complete.
#[derive(Debug)]
pub struct AnswerGuard {
    notes: AnswerNotes,
    resets: bool,
}

impl AnswerGuard {
    /// Guards the socket of the answers that are noted in `notes`.
    pub fn new(notes: AnswerNotes) -> Self {
        AnswerGuard {
            notes,
            resets: false,
        }
    }
}

impl CloseGuard for AnswerGuard {
    fn before_write(&mut self, stream: &TcpStream) {
        if !self.resets && self.notes.ends_with_connection() {
            self.resets = true;
            set_reset_on_close(stream, true);
        }
    }

    fn permits_shutdown(&mut self, stream: &TcpStream) -> bool {
        // The server shuts a connection down only after a complete answer.
        if self.resets {
            set_reset_on_close(stream, false);
        }
        true
    }

    fn before_close(&mut self, stream: &TcpStream) {
        if self.notes.is_broken_off.load(Ordering::Relaxed) {
            set_reset_on_close(stream, true);
        }
    }
}
