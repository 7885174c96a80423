//! Discards the undelivered bytes of an abandoned request to a backend server.

use std::{cell::Cell, rc::Rc};

use comfreyramp_http::{CloseGuard, set_reset_on_close};
use tokio::net::TcpStream;

/// Whether a connection has a request whose answer hasn't been read completely.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenRequest(Rc<Cell<bool>>);

impl OpenRequest {
    /// Called before a request is sent.
    pub(super) fn begin(&self) {
        self.0.set(true);
    }

    /// Called after the answer has been read completely.
    pub(super) fn end(&self) {
        self.0.set(false);
    }

    fn is_open(&self) -> bool {
        self.0.get()
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
