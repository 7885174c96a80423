//! A socket whose guard decides between an orderly close and a reset.

use std::{
    io::{IoSlice, Result},
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Decides how a [`GuardedSocket`] is closed.
pub trait CloseGuard: Unpin {
    /// Called after so many bytes were read.
    ///
    /// # Errors
    ///
    /// An error ends the connection as if the read had failed.
    fn after_read(&mut self, _bytes: usize) -> Result<()> {
        Ok(())
    }

    /// Called before each write.
    fn before_write(&mut self, _stream: &TcpStream) {}

    /// Called before an orderly shutdown, which takes place only if this returns true.
    fn permits_shutdown(&mut self, stream: &TcpStream) -> bool;

    /// Called before the socket is closed.
    fn before_close(&mut self, _stream: &TcpStream) {}
}

/// A socket whose guard decides how it is closed.
#[derive(Debug)]
pub struct GuardedSocket<G: CloseGuard> {
    stream: TcpStream,
    guard: G,
}

impl<G: CloseGuard> GuardedSocket<G> {
    /// Puts a socket under a guard.
    pub fn new(stream: TcpStream, guard: G) -> Self {
        GuardedSocket { stream, guard }
    }

    fn stream(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.get_mut().stream)
    }
}

/// Selects whether a socket is closed by a reset, which discards unsent bytes, instead of
/// in an orderly way. It also applies if the process ends.
pub fn set_reset_on_close(stream: &TcpStream, resets: bool) {
    // An error means that the socket is already broken and sends nothing.
    let _ = SockRef::from(stream).set_linger(resets.then_some(Duration::ZERO));
}

impl<G: CloseGuard> Drop for GuardedSocket<G> {
    fn drop(&mut self) {
        self.guard.before_close(&self.stream);
    }
}

impl<G: CloseGuard> AsyncRead for GuardedSocket<G> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let socket = self.get_mut();
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut socket.stream).poll_read(context, buffer))?;
        let bytes = buffer.filled().len() - filled;
        Poll::Ready(socket.guard.after_read(bytes))
    }
}

impl<G: CloseGuard> AsyncWrite for GuardedSocket<G> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let socket = self.get_mut();
        socket.guard.before_write(&socket.stream);
        Pin::new(&mut socket.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let socket = self.get_mut();
        socket.guard.before_write(&socket.stream);
        Pin::new(&mut socket.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.stream().poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let socket = self.get_mut();
        match socket.guard.permits_shutdown(&socket.stream) {
            true => Pin::new(&mut socket.stream).poll_shutdown(context),
            false => Poll::Ready(Ok(())),
        }
    }
}
