//! A pool of connections to backend servers.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use bytes::Bytes;
use comfreyramp_http::GuardedSocket;
use comfreyramp_policy::Timestamp;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

use super::open_request::OpenRequest;

/// How long opening a connection may take. The round trip between zones is a few
/// milliseconds; behind a network partition there is no answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long an idle connection may be reused if its server doesn't say how long it keeps
/// it open.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// An idle connection isn't reused within this time of the moment at which its server will
/// close it. If a request crosses the server's close, it is unknown whether it ran.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// The maximum number of idle connections to one server.
const MAX_IDLE_PER_SERVER: usize = 8;
/// The TCP user timeout: sent bytes that aren't acknowledged within it end the connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The maximum idle time of a connection that is reused for a live request.
pub const MAX_IDLE: Duration = Duration::from_secs(10);
/// The interval of TCP keepalive probes on an idle connection, which are the only way to
/// detect that the other side is lost. Connections to servers aren't probed while a request
/// may still be sent over them: if probes end a connection, bytes that were sent into a
/// network partition aren't discarded and reach the server once the partition heals. Such a
/// connection has to be ended by its unacknowledged bytes instead.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The bytes that the system keeps unsent for a socket if the daemon's memory is bounded.
/// 2,000 callers that don't read then take about a quarter of a VM of 160 MB.
pub const UNSENT_BYTES: u32 = 16 << 10;
/// The receive buffer of a connection to a server if the daemon's memory is bounded. The
/// system doubles it, to the size with which connections usually begin.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// The size in bytes of hyper's buffers for a connection if the daemon's memory is bounded.
/// They also limit the size of a head.
pub const CONNECTION_BUFFER_BYTES: usize = 32 << 10;

/// The reason why a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// No byte of the request reached the server.
    NotSent,
    /// The request was sent, and the connection broke before an answer.
    Broken,
    /// The request was sent, and the server sent bytes without end that are no head.
    NoAnswer,
}

/// A connection to a server, for one request at a time.
#[derive(Debug)]
pub struct ServerConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    request: OpenRequest,
    /// The id of its last request, whose answer may be repeated later.
    last_id: String,
    /// How long it had been idle before its current request; `None` for a new connection.
    idle: Option<Duration>,
    /// Reads from and writes to the socket.
    _task: AbortOnDropHandle<()>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: ServerConnection,
    idle_since: Timestamp,
    use_until: Timestamp,
}

/// Idle connections to backend servers.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    /// Sorted by address. For each address, the connection that was used last is last.
    idle: RefCell<Vec<(SocketAddr, Vec<IdleConnection>)>>,
    /// Whether connections have small buffers, since the daemon's memory is bounded.
    has_small_buffers: bool,
}

impl ConnectionPool {
    /// Creates a pool without connections.
    pub fn new(has_small_buffers: bool) -> Self {
        ConnectionPool {
            has_small_buffers,
            ..ConnectionPool::default()
        }
    }

    /// Returns a connection to a server for the request `request_id`: one that has been idle
    /// for at most `max_idle` if there is any, else a new one. A connection whose last
    /// request had the same id isn't used: a late second answer to that one couldn't be told
    /// from the answer to this one.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure::NotSent`] if no connection can be opened.
    pub async fn connect(
        &self,
        address: SocketAddr,
        request_id: &str,
        max_idle: Duration,
        now: Timestamp,
    ) -> Result<ServerConnection, SendFailure> {
        if let Some(mut connection) = self.take_idle(address, request_id, max_idle, now) {
            request_id.clone_into(&mut connection.last_id);
            return Ok(connection);
        }
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let Ok(Ok(stream)) = connecting.await else {
            return Err(SendFailure::NotSent);
        };
        if let Err(error) = configure_socket(&stream, MAX_IDLE) {
            log::warn!(error:% = error; "servers: socket options can't be set");
        }
        let mut builder = http1::Builder::new();
        if self.has_small_buffers {
            limit_unsent_bytes(&stream);
            limit_received_bytes(&stream);
            builder.max_buf_size(CONNECTION_BUFFER_BYTES);
        }
        let request = OpenRequest::default();
        let socket = GuardedSocket::new(stream, request.clone());
        let handshake = builder.handshake(TokioIo::new(socket)).await;
        let Ok((sender, connection)) = handshake else {
            return Err(SendFailure::NotSent);
        };
        // An error that ends the task is also returned to the request. If the task outlived
        // its connection, it would keep the body of an abandoned request until the server
        // reads it.
        let task = tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        Ok(ServerConnection {
            address,
            sender,
            request,
            last_id: request_id.to_owned(),
            idle: None,
            _task: AbortOnDropHandle::new(task),
        })
    }

    fn take_idle(
        &self,
        address: SocketAddr,
        request_id: &str,
        max_idle: Duration,
        now: Timestamp,
    ) -> Option<ServerConnection> {
        let mut idle = self.idle.borrow_mut();
        let index = idle.binary_search_by_key(&address, |it| it.0).ok()?;
        let connections = &mut idle[index].1;
        connections.retain(|it| it.use_until > now && !it.connection.sender.is_closed());
        let ready = connections.iter().rposition(|it| {
            now.since(it.idle_since) <= max_idle
                && it.connection.sender.is_ready()
                && it.connection.last_id != request_id
        })?;
        let taken = connections.remove(ready);
        let mut connection = taken.connection;
        connection.idle = Some(now.since(taken.idle_since));
        Some(connection)
    }

    /// Returns a connection to the pool after its answer has been read completely. The
    /// server keeps the connection open for `keep_alive`, if it said so.
    pub fn put_back(
        &self,
        connection: ServerConnection,
        keep_alive: Option<Duration>,
        now: Timestamp,
    ) {
        connection.request.end();
        if connection.sender.is_closed() {
            return;
        }
        let idle_timeout =
            keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |it| it.saturating_sub(IDLE_MARGIN));
        let address = connection.address;
        let idle_connection = IdleConnection {
            connection,
            idle_since: now,
            use_until: now + idle_timeout,
        };
        let mut idle = self.idle.borrow_mut();
        match idle.binary_search_by_key(&address, |it| it.0) {
            Ok(index) => {
                let connections = &mut idle[index].1;
                if connections.len() >= MAX_IDLE_PER_SERVER {
                    connections.remove(0);
                }
                connections.push(idle_connection);
            }
            Err(index) => idle.insert(index, (address, vec![idle_connection])),
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn tick(&self, now: Timestamp) {
        let mut idle = self.idle.borrow_mut();
        for (_, connections) in idle.iter_mut() {
            connections.retain(|it| it.use_until > now && !it.connection.sender.is_closed());
        }
        idle.retain(|it| !it.1.is_empty());
    }
}

impl ServerConnection {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// The error distinguishes whether the server may have received the request.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.request.begin();
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.request.begin_body();
                Ok(response)
            }
            Err(_) if self.request.has_no_head() => Err(SendFailure::NoAnswer),
            Err(mut error) => match error.take_message() {
                // The connection was closed before a byte of the request was written.
                Some(_) => Err(SendFailure::NotSent),
                None => Err(SendFailure::Broken),
            },
        }
    }

    /// Waits until another request can be sent, after the answer to the last one has been
    /// read completely.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure::NotSent`] if the server has closed the connection.
    pub async fn next_request(&mut self) -> Result<(), SendFailure> {
        self.request.end();
        self.idle.get_or_insert(Duration::ZERO);
        let ready = self.sender.ready().await;
        ready.map_err(|_| SendFailure::NotSent)
    }

    /// Whether the connection had carried another request before.
    pub fn is_reused(&self) -> bool {
        self.idle.is_some()
    }

    /// Returns how long the connection had been idle before its request; `None` for a new
    /// connection.
    pub fn idle(&self) -> Option<Duration> {
        self.idle
    }
}

/// Limits how many bytes the system keeps for the other side of a socket while it doesn't
/// read. Otherwise these are up to several megabytes. The limit is on bytes that haven't
/// been sent: with a small send buffer instead, each part of a message waited for a delayed
/// acknowledgement, and a body of 100 kB took 460 ms.
pub(super) fn limit_unsent_bytes(stream: &TcpStream) {
    let limited = SockRef::from(stream).set_tcp_notsent_lowat(UNSENT_BYTES);
    if let Err(error) = limited {
        log::warn!(error:% = error; "memory: a socket's unsent bytes can't be limited");
    }
}

/// Limits how many bytes of an answer the system keeps while its caller doesn't read it.
fn limit_received_bytes(stream: &TcpStream) {
    let limited = SockRef::from(stream).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    if let Err(error) = limited {
        log::warn!(error:% = error; "memory: a socket's receive buffer can't be limited");
    }
}

/// Sets the socket options that detect a silent connection. It is probed after it has been
/// idle for `probe_after`.
pub(super) fn configure_socket(stream: &TcpStream, probe_after: Duration) -> std::io::Result<()> {
    // Events are small packets, which Nagle's algorithm would delay.
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(probe_after)
        .with_interval(PROBE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
