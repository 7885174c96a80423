//! Accepting connections and answering what comes in on them.

use std::{cell::Cell, convert::Infallible, future::Future, rc::Rc, time::Duration};

use http::{HeaderValue, Request, Response, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::{
    FrontBody,
    connection_pool::{PROBE_INTERVAL, set_socket},
};
use crate::dialect::Dialect;

/// The pause after a connection couldn't be accepted: out of descriptors, most
/// likely, and trying again at once would spin a core while nothing can change.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bounds on what one connection may cost, and when connections end.
#[derive(Clone, Debug)]
pub struct LoopLimits {
    /// The longest head in bytes.
    pub head_bytes: usize,
    /// How long a connection may take until a whole head is there.
    pub idle_timeout: Duration,
    /// Once cancelled, answers tell callers to close their connections.
    pub closing: CancellationToken,
    /// Once cancelled, no connection is accepted, and idle ones are closed.
    pub closed: CancellationToken,
}

/// The least buffer that the server accepts.
const LEAST_BUFFER: usize = 16 << 10;

/// Accepts connections until told to close, then waits for those that are open.
pub async fn serve_connections<D, H, F>(listener: TcpListener, limits: LoopLimits, handler: H)
where
    D: Dialect,
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<FrontBody<D>>> + 'static,
{
    let open = Rc::new(OpenConnections::default());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = limits.closed.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let place = OpenConnections::enter(&open);
        let serving = serve_one(stream, limits.clone(), handler.clone());
        tokio::task::spawn_local(async move {
            serving.await;
            drop(place);
        });
    }
    drop(listener);
    open.all_ended().await;
}

async fn serve_one<D, H, F>(stream: TcpStream, limits: LoopLimits, handler: H)
where
    D: Dialect,
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<FrontBody<D>>> + 'static,
{
    if let Err(error) = set_socket(&stream, PROBE_INTERVAL) {
        log::warn!(error:% = error; "callers: socket options can't be set");
    }
    let closing = limits.closing.clone();
    let service = service_fn(move |request| {
        let answer = handler(request);
        let closing = closing.clone();
        async move {
            let mut answer = answer.await;
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
        .max_buf_size(limits.head_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // A caller that vanishes is no event of ours.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = limits.closed.cancelled() => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Counts the open connections.
#[derive(Debug, Default)]
struct OpenConnections {
    count: Cell<usize>,
    ended: tokio::sync::Notify,
}

/// An open connection, until it is dropped.
struct OpenPlace(Rc<OpenConnections>);

impl OpenConnections {
    fn enter(open: &Rc<Self>) -> OpenPlace {
        open.count.set(open.count.get() + 1);
        OpenPlace(open.clone())
    }

    async fn all_ended(&self) {
        while self.count.get() > 0 {
            self.ended.notified().await;
        }
    }
}

impl Drop for OpenPlace {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.ended.notify_one();
    }
}
