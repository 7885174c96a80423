//! A socket to a backend server that takes back a request which was given up.

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

/// Whether a request stands on a connection whose answer isn't read to its end.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenRequest(Rc<Cell<bool>>);

impl OpenRequest {
    /// A request is about to be sent.
    pub(super) fn begin(&self) {
        self.0.set(true);
    }

    /// Its answer has been read to the end.
    pub(super) fn end(&self) {
        self.0.set(false);
    }

    fn is_open(&self) -> bool {
        self.0.get()
    }
}

/// A socket to a backend server.
///
/// Closed as usual, a socket goes on sending what the server hasn't acknowledged.
/// Behind a cut that is a whole request: it reaches the server once the cut heals,
/// seconds after it was given up, and a server begins an item of a lot that its
/// customer ended meanwhile. One would see it run, and break off with its first
/// event. So where a request is still open, the socket is closed by a reset, which
/// discards what wasn't delivered.
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
            // A socket that is broken already discards everything anyway.
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
        // An orderly end would follow the request to the server.
        match self.request.is_open() {
            true => Poll::Ready(Ok(())),
            false => self.stream().poll_shutdown(context),
        }
    }
}
