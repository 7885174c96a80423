//! A stream wrapper that counts the bytes of peer connections.

use std::{
    io,
    pin::Pin,
    sync::atomic::{AtomicU64, Ordering},
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The bytes of all peer connections, without TCP headers.
///
/// They are counted because the control traffic of a daemon has a budget of only
/// a few kilobytes per second.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    /// Bytes sent.
    pub sent: AtomicU64,
    /// Bytes received.
    pub received: AtomicU64,
}

impl PeerTraffic {
    /// Returns the bytes sent and received so far.
    pub fn totals(&self) -> (u64, u64) {
        let sent = self.sent.load(Ordering::Relaxed);
        (sent, self.received.load(Ordering::Relaxed))
    }
}

/// A stream that counts its bytes in `traffic`.
pub(crate) struct MeteredStream<S> {
    pub(crate) stream: S,
    pub(crate) traffic: std::sync::Arc<PeerTraffic>,
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        self.traffic
            .received
            .fetch_add(count as u64, Ordering::Relaxed);
        poll
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(count)) = &poll {
            self.traffic
                .sent
                .fetch_add(*count as u64, Ordering::Relaxed);
        }
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
