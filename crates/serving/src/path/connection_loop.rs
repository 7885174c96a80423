//! Accepts connections and serves the HTTP requests on them.

use std::{cell::Cell, convert::Infallible, future::Future, rc::Rc, time::Duration};

use comfreyramp_http::{AnswerGuard, AnswerNotes, GuardedSocket};
use http::{HeaderValue, Request, Response, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::{
    AnswerBody,
    connection_pool::{PROBE_INTERVAL, configure_socket, limit_unsent_bytes},
};
use crate::{dialect::Dialect, memory::CallerConnection};

/// The delay after a connection couldn't be accepted. Most likely the process has no file
/// descriptors left, and retrying at once would only keep a core busy.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Limits on each connection, and the signals by which connections are closed.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// The maximum size of a head in bytes.
    pub head_bytes: usize,
    /// How long a connection may take until a whole head is received.
    pub idle_timeout: Duration,
    /// Whether the bytes that the system keeps for callers that don't read are limited.
    pub limits_unsent: bool,
    /// Once cancelled, answers ask callers to close their connections.
    pub closing: CancellationToken,
    /// Once cancelled, no connection is accepted, and idle connections are closed.
    pub closed: CancellationToken,
}

/// The minimum of the limit on a connection's read buffer, since hyper requires a certain
/// size.
const MIN_BUFFER_BYTES: usize = 16 << 10;

/// Accepts connections until `limits.closed` is cancelled, then waits until the open ones
/// have ended.
pub async fn serve_connections<D, H, F>(listener: TcpListener, limits: ConnectionLimits, handler: H)
where
    D: Dialect,
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<AnswerBody<D>>> + 'static,
{
    let open_connections = Rc::new(OpenConnections::default());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = limits.closed.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let guard = OpenConnections::register(&open_connections);
        let serving = serve_one(stream, limits.clone(), handler.clone());
        tokio::task::spawn_local(async move {
            serving.await;
            drop(guard);
        });
    }
    drop(listener);
    open_connections.wait_until_closed().await;
}

async fn serve_one<D, H, F>(stream: TcpStream, limits: ConnectionLimits, handler: H)
where
    D: Dialect,
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<AnswerBody<D>>> + 'static,
{
    if let Err(error) = configure_socket(&stream, PROBE_INTERVAL) {
        log::warn!(error:% = error; "callers: socket options can't be set");
    }
    if limits.limits_unsent {
        limit_unsent_bytes(&stream);
    }
    let caller_connection = CallerConnection::default();
    let shared_connection = caller_connection.clone();
    let closing = limits.closing.clone();
    let notes = AnswerNotes::default();
    let socket = GuardedSocket::new(stream, AnswerGuard::new(notes.clone()));
    let shared_notes = notes.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(shared_connection.clone());
        let version = request.version();
        let answer = handler(request);
        let closing = closing.clone();
        let notes = notes.clone();
        async move {
            let mut answer = answer.await;
            notes.note(version, &answer);
            if closing.is_cancelled() {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    let mut connection = std::pin::pin!(connection);
    // A connection that the caller breaks off is not an error of the daemon.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = caller_connection.closed() => return shared_notes.break_off(),
        () = limits.closed.cancelled() => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection => {}
        () = caller_connection.closed() => shared_notes.break_off(),
    }
}

/// The number of open connections.
#[derive(Debug, Default)]
struct OpenConnections {
    count: Cell<usize>,
    connection_closed: tokio::sync::Notify,
}

/// Counts as an open connection until it is dropped.
struct ConnectionGuard(Rc<OpenConnections>);

impl OpenConnections {
    fn register(open_connections: &Rc<Self>) -> ConnectionGuard {
        open_connections.count.set(open_connections.count.get() + 1);
        ConnectionGuard(open_connections.clone())
    }

    async fn wait_until_closed(&self) {
        while self.count.get() > 0 {
            self.connection_closed.notified().await;
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.connection_closed.notify_one();
    }
}
