//! The HTTP server loop.

use std::{convert::Infallible, future::Future, net::SocketAddr, time::Duration};

use anyhow::Context as _;
use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{AnswerGuard, AnswerNotes, GuardedSocket, MessageBody};

/// Limits on the resources that a connection may use.
#[derive(Clone, Copy, Debug)]
pub struct ServeLimits {
    /// How long the head of a request may take to arrive. Without a limit, a
    /// client that sends it byte by byte would hold its connection forever.
    pub head_timeout: Duration,
    /// The maximum number of bytes buffered per connection, which also limits
    /// the head of a request.
    pub buffer_bytes: usize,
    /// How long open connections may take to finish once the server accepts no
    /// new ones.
    pub drain_timeout: Duration,
}

impl Default for ServeLimits {
    fn default() -> Self {
        ServeLimits {
            head_timeout: Duration::from_secs(10),
            buffer_bytes: 64 * 1024,
            drain_timeout: Duration::from_secs(600),
        }
    }
}

/// Opens a listening socket.
pub async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("failed to listen on {address}"))
}

/// Serves connections until `stop` is cancelled, then lets the open ones finish
/// within the drain timeout.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: ServeLimits,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<MessageBody>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    // Closes all connections that are still open when this function returns.
    // Otherwise a connection would outlive its server, and its client would wait
    // for an answer forever.
    let cut = CancellationToken::new();
    let _cut_at_end = cut.clone().drop_guard();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else {
            // The process is most likely out of file descriptors. Accepting
            // again immediately would only keep a core busy.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        // Tokens are small packets, and Nagle's algorithm would delay each of
        // them.
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let notes = AnswerNotes::default();
        let socket = GuardedSocket::new(stream, AnswerGuard::new(notes.clone()));
        let service = service_fn(move |request: Request<Incoming>| {
            let version = request.version();
            let answer = handler(request);
            let notes = notes.clone();
            async move {
                let answer = answer.await;
                notes.note(version, &answer);
                Ok::<_, Infallible>(answer)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.head_timeout)
            .max_buf_size(limits.buffer_bytes)
            .serve_connection(TokioIo::new(socket), service);
        let connection = graceful.watch(connection);
        let cut = cut.clone();
        tokio::spawn(async move {
            // A client that disconnects isn't an error of this server.
            let _ = cut.run_until_cancelled_owned(connection).await;
        });
    }
    drop(listener);
    let _ = tokio::time::timeout(limits.drain_timeout, graceful.shutdown()).await;
}
