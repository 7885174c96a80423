//! Connections to backend servers.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use bytes::Bytes;
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

use super::server_socket::{OpenRequest, ServerSocket};

/// How long a connection may take to open. Zones are a few milliseconds apart;
/// behind a cut nothing answers at all.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);
/// A connection whose server names no span is used again within this one.
const USUAL_IDLE: Duration = Duration::from_millis(1_500);
/// Before the end of the span for which a server keeps a connection, it isn't
/// used any more: a request that crosses the server's close may have run or not.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// The idle connections that are kept to one server.
const IDLE_PER_SERVER: usize = 8;
/// Bytes that a server doesn't acknowledge within this span break the connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A request goes over a connection that has been idle for no longer than this.
pub const LONGEST_IDLE: Duration = Duration::from_secs(10);
/// A connection without a byte is probed at this interval: one that went silent for good
/// shows in no other way. Connections to servers aren't probed while a request may still be
/// sent over them. Where probes end a connection, what was sent into a cut isn't discarded,
/// and reaches the server once the cut heals; its unacknowledged bytes have to end it.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// No byte of it reached the server.
    NotSent,
    /// It was sent, and no answer came.
    Broken,
}

/// A connection to a server, for one request at a time.
#[derive(Debug)]
pub struct ServerConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    request: OpenRequest,
    /// For how long it had been idle; nothing for a new connection.
    idle: Option<Duration>,
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
    /// Sorted by address; the newest connections last.
    idle: RefCell<Vec<(SocketAddr, Vec<IdleConnection>)>>,
}

impl ConnectionPool {
    /// A connection to a server: one that hasn't been idle for longer than
    /// `longest_idle` if there is any, else a new one.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened.
    pub async fn connect(
        &self,
        address: SocketAddr,
        longest_idle: Duration,
        now: Timestamp,
    ) -> Result<ServerConnection, SendFailure> {
        if let Some(connection) = self.take_idle(address, longest_idle, now) {
            return Ok(connection);
        }
        let opening = tokio::time::timeout(OPEN_TIMEOUT, TcpStream::connect(address));
        let Ok(Ok(stream)) = opening.await else {
            return Err(SendFailure::NotSent);
        };
        if let Err(error) = set_socket(&stream, LONGEST_IDLE) {
            log::warn!(error:% = error; "servers: socket options can't be set");
        }
        let request = OpenRequest::default();
        let socket = ServerSocket::new(stream, request.clone());
        let handshake = http1::handshake(TokioIo::new(socket)).await;
        let Ok((sender, connection)) = handshake else {
            return Err(SendFailure::NotSent);
        };
        // It ends with the sender, or with an error that the request tells of.
        tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        Ok(ServerConnection {
            address,
            sender,
            request,
            idle: None,
        })
    }

    fn take_idle(
        &self,
        address: SocketAddr,
        longest_idle: Duration,
        now: Timestamp,
    ) -> Option<ServerConnection> {
        let mut idle = self.idle.borrow_mut();
        let place = idle.binary_search_by_key(&address, |it| it.0).ok()?;
        let connections = &mut idle[place].1;
        connections.retain(|it| it.use_until > now && !it.connection.sender.is_closed());
        let ready = connections.iter().rposition(|it| {
            now.since(it.idle_since) <= longest_idle && it.connection.sender.is_ready()
        })?;
        let taken = connections.remove(ready);
        let mut connection = taken.connection;
        connection.idle = Some(now.since(taken.idle_since));
        Some(connection)
    }

    /// Takes back a connection whose answer has been read to its end. The server
    /// keeps it for `kept_for`.
    pub fn put_back(
        &self,
        connection: ServerConnection,
        kept_for: Option<Duration>,
        now: Timestamp,
    ) {
        connection.request.end();
        if connection.sender.is_closed() {
            return;
        }
        let span = kept_for.map_or(USUAL_IDLE, |it| it.saturating_sub(IDLE_MARGIN));
        let address = connection.address;
        let idle_connection = IdleConnection {
            connection,
            idle_since: now,
            use_until: now + span,
        };
        let mut idle = self.idle.borrow_mut();
        match idle.binary_search_by_key(&address, |it| it.0) {
            Ok(place) => {
                let connections = &mut idle[place].1;
                if connections.len() >= IDLE_PER_SERVER {
                    connections.remove(0);
                }
                connections.push(idle_connection);
            }
            Err(place) => idle.insert(place, (address, vec![idle_connection])),
        }
    }

    /// Closes what has been idle for too long.
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
    /// Tells whether the server may have seen the request.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.request.begin();
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                // It was closed before a byte of the request was written.
                Some(_) => Err(SendFailure::NotSent),
                None => Err(SendFailure::Broken),
            },
        }
    }

    /// Whether it had carried a request before.
    pub fn is_reused(&self) -> bool {
        self.idle.is_some()
    }

    /// For how long it had been idle before its request; nothing for a new connection.
    pub fn idle(&self) -> Option<Duration> {
        self.idle
    }
}

/// Sets what tells a connection that went silent. One without a byte is probed after
/// `probe_after`.
pub(super) fn set_socket(stream: &TcpStream, probe_after: Duration) -> std::io::Result<()> {
    // Events are small packets; waiting to fill them would delay each one.
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(probe_after)
        .with_interval(PROBE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
