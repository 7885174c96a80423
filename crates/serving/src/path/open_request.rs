//! Discards the undelivered bytes of an abandoned request to a backend server.

use std::{cell::Cell, io, rc::Rc};

use comfreyramp_http::{CloseGuard, set_reset_on_close};
use tokio::net::TcpStream;

/// The maximum number of bytes that a server sends until the head of its answer is complete.
/// A single head is far shorter, and interim heads are few.
const MAX_HEAD_BYTES: usize = 1 << 20;

/// How far the request on a connection is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum RequestState {
    /// There is none, or its answer has been read completely.
    #[default]
    Idle,
    /// So many bytes have been read, and the head of the answer isn't complete.
    AwaitsHead(usize),
    /// The server sent more bytes than any head has.
    HasNoHead,
    /// The body of the answer hasn't been read completely.
    ReadsBody,
}

/// Whether a connection has a request whose answer hasn't been read completely.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenRequest(Rc<Cell<RequestState>>);

impl OpenRequest {
    /// Called before a request is sent.
    pub(super) fn begin(&self) {
        self.0.set(RequestState::AwaitsHead(0));
    }

    /// Called once the head of the answer is complete.
    pub(super) fn begin_body(&self) {
        self.0.set(RequestState::ReadsBody);
    }

    /// Called after the answer has been read completely.
    pub(super) fn end(&self) {
        self.0.set(RequestState::Idle);
    }

    /// Returns whether the server sent bytes that are no head of an answer, without end.
    pub(super) fn has_no_head(&self) -> bool {
        self.0.get() == RequestState::HasNoHead
    }

    fn is_open(&self) -> bool {
        self.0.get() != RequestState::Idle
    }
}

/// Resets a socket to a backend server if it is closed during a request.
///
/// After an ordinary close, the kernel keeps sending the bytes that the server hasn't
/// acknowledged. Behind a network partition these may be a whole request, which reaches the
/// server once the partition heals, seconds after the request was abandoned. The server
/// would then start an item of a lot that its customer has ended meanwhile, and the run
/// would only be cut off at its first event. If a request is still open, the socket is
/// therefore closed by a reset, which discards undelivered bytes.
impl CloseGuard for OpenRequest {
    /// Ends the connection of a server that goes on sending interim heads, of which each is
    /// short and none is the answer's.
    fn after_read(&mut self, bytes: usize) -> io::Result<()> {
        let RequestState::AwaitsHead(before) = self.0.get() else {
            return Ok(());
        };
        if before + bytes <= MAX_HEAD_BYTES {
            self.0.set(RequestState::AwaitsHead(before + bytes));
            return Ok(());
        }
        self.0.set(RequestState::HasNoHead);
        Err(io::Error::other("the head of an answer doesn't end"))
    }

    fn permits_shutdown(&mut self, _stream: &TcpStream) -> bool {
        // An orderly shutdown would reach the server after the request. A socket whose
        // request is still open is reset instead, when it is dropped.
        !self.is_open()
    }

    fn before_close(&mut self, stream: &TcpStream) {
        if self.is_open() {
            set_reset_on_close(stream, true);
        }
    }
}
