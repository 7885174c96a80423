//! The pool of connections that this daemon opened to its peers.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty};
use futures::{
    AsyncReadExt, FutureExt,
    future::{LocalBoxFuture, Shared},
};
use tokio::{net::TcpStream, task::spawn_local, time::Instant};
use tokio_util::{compat::TokioAsyncReadCompatExt, sync::CancellationToken};

use crate::{
    PeerAnswer, PeerError, PeerHandler, PeerRequest, codec,
    generated::peers_capnp::{door, session},
    link_thread::LinkContext,
    metered_stream::MeteredStream,
};

/// The number of consecutive timed-out requests after which a connection is
/// closed.
const MAX_CONSECUTIVE_TIMEOUTS: u8 = 4;

type OpenSession = Shared<LocalBoxFuture<'static, Result<session::Client, PeerError>>>;

/// A connection to a daemon that is open or being opened.
struct PeerConnection {
    address: SocketAddr,
    session: OpenSession,
    last_used: Cell<Instant>,
    /// The number of requests that wait for an answer.
    pending: Cell<u32>,
    /// The number of consecutive requests that timed out.
    timeouts: Cell<u8>,
    /// Cancelled to close the connection, and also when the connection breaks.
    close: CancellationToken,
}

/// The connections that this daemon opened, sorted by address.
pub(crate) struct ConnectionPool<H> {
    context: Rc<LinkContext<H>>,
    connections: RefCell<Vec<Rc<PeerConnection>>>,
}

impl<H: PeerHandler> ConnectionPool<H> {
    pub(crate) fn new(context: Rc<LinkContext<H>>) -> Self {
        ConnectionPool {
            context,
            connections: RefCell::default(),
        }
    }

    /// Sends a request to a daemon over an existing or a new connection.
    pub(crate) async fn send(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
    ) -> Result<PeerAnswer, PeerError> {
        let connection = self.connection(to);
        let _pending = PendingRequest::new(&connection);
        let session = connection.session.clone().await?;
        let answer = codec::call(&session, request).await;
        connection.timeouts.set(0);
        if let Err(PeerError::AnswerLost(_)) = &answer {
            connection.close.cancel();
        }
        if let Ok(PeerAnswer::Heartbeat(heartbeat)) = &answer {
            self.context.handler.handle_heartbeat(heartbeat);
        }
        answer
    }

    /// Records that a request timed out, and closes its connection after
    /// [`MAX_CONSECUTIVE_TIMEOUTS`] such requests in a row.
    ///
    /// A VM that was lost doesn't close its connections. Requests sent over
    /// such a connection would be lost even long after the daemon runs again
    /// at the same address.
    pub(crate) fn record_timeout(&self, to: SocketAddr) {
        let connections = self.connections.borrow();
        let found = connections.binary_search_by_key(&to, |connection| connection.address);
        let Ok(position) = found else {
            return;
        };
        let connection = &connections[position];
        connection
            .timeouts
            .set(connection.timeouts.get().saturating_add(1));
        if connection.timeouts.get() >= MAX_CONSECUTIVE_TIMEOUTS {
            connection.close.cancel();
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_idle(&self) {
        let idle_timeout = self.context.timing.idle_timeout;
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| {
            let in_use =
                connection.pending.get() > 0 || connection.last_used.get().elapsed() < idle_timeout;
            let keep = in_use && !connection.close.is_cancelled();
            if !keep {
                connection.close.cancel();
            }
            keep
        });
    }

    /// Returns the connection to a daemon, after replacing it if it broke.
    fn connection(&self, to: SocketAddr) -> Rc<PeerConnection> {
        let mut connections = self.connections.borrow_mut();
        match connections.binary_search_by_key(&to, |connection| connection.address) {
            Ok(position) if connections[position].close.is_cancelled() => {
                connections[position] = self.open(to);
                connections[position].clone()
            }
            Ok(position) => connections[position].clone(),
            Err(position) => {
                let connection = self.open(to);
                connections.insert(position, connection.clone());
                connection
            }
        }
    }

    fn open(&self, to: SocketAddr) -> Rc<PeerConnection> {
        let close = self.context.stop.child_token();
        let opening = open(to, self.context.clone(), close.clone());
        let connection = Rc::new(PeerConnection {
            address: to,
            session: opening.boxed_local().shared(),
            last_used: Cell::new(Instant::now()),
            pending: Cell::new(0),
            timeouts: Cell::new(0),
            close,
        });
        // Opening continues even if the request that started it has timed out,
        // so that the next request finds the outcome, success or failure.
        let (session, close) = (connection.session.clone(), connection.close.clone());
        spawn_local(async move {
            if session.await.is_err() {
                close.cancel();
            }
        });
        connection
    }
}

/// Counts a request in its connection's `pending` until dropped.
struct PendingRequest<'a>(&'a PeerConnection);

impl<'a> PendingRequest<'a> {
    fn new(connection: &'a PeerConnection) -> Self {
        connection.pending.set(connection.pending.get() + 1);
        PendingRequest(connection)
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.0.pending.set(self.0.pending.get() - 1);
        self.0.last_used.set(Instant::now());
    }
}

async fn open<H: PeerHandler>(
    to: SocketAddr,
    context: Rc<LinkContext<H>>,
    close: CancellationToken,
) -> Result<session::Client, PeerError> {
    let timeout = context.timing.connect_timeout;
    let opening = connect(to, context, close);
    match tokio::time::timeout(timeout, opening).await {
        Ok(opened) => opened,
        Err(_) => Err(PeerError::Unreachable(format!(
            "no connection within {timeout:?}"
        ))),
    }
}

async fn connect<H: PeerHandler>(
    to: SocketAddr,
    context: Rc<LinkContext<H>>,
    close: CancellationToken,
) -> Result<session::Client, PeerError> {
    let unreachable = |error: &dyn std::fmt::Display| PeerError::Unreachable(error.to_string());
    let stream = TcpStream::connect(to)
        .await
        .map_err(|error| unreachable(&error))?;
    stream
        .set_nodelay(true)
        .map_err(|error| unreachable(&error))?;
    let traffic = context.traffic.clone();
    let (reader, writer) = MeteredStream { stream, traffic }.compat().split();
    let network = twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        Side::Client,
        Default::default(),
    );
    let mut rpc = RpcSystem::new(Box::new(network), None);
    let door: door::Client = rpc.bootstrap(Side::Server);
    spawn_local(async move {
        tokio::select! {
            () = close.cancelled() => {}
            _ = rpc => close.cancel(),
        }
    });
    let mut request = door.hello_request();
    codec::write_beat(request.get().init_beat(), &context.handler.own_heartbeat());
    let answer = request.send().promise.await;
    let answer = answer.map_err(|error| unreachable(&error))?;
    let answer = answer.get().map_err(|error| unreachable(&error))?;
    let heartbeat = answer.get_beat().and_then(codec::read_beat);
    context
        .handler
        .handle_heartbeat(&heartbeat.map_err(|error| unreachable(&error))?);
    answer.get_session().map_err(|error| unreachable(&error))
}
