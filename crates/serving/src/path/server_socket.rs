//! A socket to a backend server that discards the undelivered bytes of an abandoned
//! request.

use std::{
    cell::Cell,
    io::{IoSlice, Result},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

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

/// A socket to a backend server, which is reset if it is closed during a request.
///
/// After an ordinary close, the kernel keeps sending the bytes that the server hasn't
/// acknowledged. Behind a network partition these may be a whole request, which reaches the
/// server once the partition heals, seconds after the request was abandoned. The server
/// would then start an item of a lot that its customer has ended meanwhile, and the run
/// would only be cut off at its first event. If a request is still open, the socket is
/// therefore closed by a reset, which discards undelivered bytes.
#[derive(Debug)]
pub(super) struct ServerSocket {
    stream: TcpStream,
    request: OpenRequest,
}

impl ServerSocket {
    pub(super) fn new(stream: TcpStream, request: OpenRequest) -> Self {
        ServerSocket { stream, request }
    }

    fn stream(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.get_mut().stream)
    }
}

impl Drop for ServerSocket {
    fn drop(&mut self) {
        if self.request.is_open() {
            // An error means that the socket is already broken and sends nothing.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for ServerSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        self.stream().poll_read(context, buffer)
    }
}

impl AsyncWrite for ServerSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.stream().poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.stream().poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.stream().poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        // An orderly shutdown would reach the server after the request. A socket whose
        // request is still open is reset instead, when it is dropped.
        match self.request.is_open() {
            true => Poll::Ready(Ok(())),
            false => self.stream().poll_shutdown(context),
        }
    }
}
