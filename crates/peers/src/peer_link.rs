//! The client for requests to other daemons.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::JoinHandle,
    time::Duration,
};

use comfreyramp_policy::{
    NoticeAck, SuspectNotice,
    rates::{RateAnswer, RateRequest},
};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::{
    LiveAnnouncement, PeerAnswer, PeerError, PeerHandler, PeerHeartbeat, PeerRequest, PeerTraffic,
    SettingsAnswer, SettingsRequest,
    link_thread::{self, LinkContext},
};

/// The number of requests that may wait for the link's thread before new ones
/// are rejected.
const MAX_QUEUED_REQUESTS: usize = 4_096;

/// How long connections may take to open and may stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkTiming {
    /// The time limit for opening a connection.
    pub connect_timeout: Duration,
    /// This daemon closes a connection that it opened after this long without a
    /// request.
    pub idle_timeout: Duration,
    /// This daemon closes a connection that a peer opened after this long
    /// without a request. The peer would have closed it earlier, so the peer is
    /// gone.
    pub silence_timeout: Duration,
}

impl Default for LinkTiming {
    fn default() -> Self {
        LinkTiming {
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(60),
            silence_timeout: Duration::from_secs(180),
        }
    }
}

/// A request that was queued for the link's thread.
pub(crate) struct QueuedRequest {
    pub(crate) to: SocketAddr,
    pub(crate) request: PeerRequest,
    pub(crate) timeout: Duration,
    pub(crate) reply: oneshot::Sender<Result<PeerAnswer, PeerError>>,
}

/// A handle for requests to other daemons, which can be used from any thread.
#[derive(Clone, Debug)]
pub struct PeerLink {
    requests: mpsc::Sender<QueuedRequest>,
    traffic: Arc<PeerTraffic>,
}

impl PeerLink {
    /// Starts the link's thread, which accepts connections at `listener` and
    /// ends when `stop` is cancelled.
    pub fn start<H: PeerHandler>(
        listener: TcpListener,
        handler: H,
        timing: LinkTiming,
        stop: CancellationToken,
    ) -> io::Result<(PeerLink, JoinHandle<()>)> {
        listener.set_nonblocking(true)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (requests, queue) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let traffic = Arc::new(PeerTraffic::default());
        let context = LinkContext {
            handler,
            timing,
            traffic: traffic.clone(),
            stop,
        };
        let thread = std::thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || link_thread::run(&runtime, listener, queue, context))?;
        Ok((PeerLink { requests, traffic }, thread))
    }

    /// Returns the byte counters of all connections.
    pub fn traffic(&self) -> &PeerTraffic {
        &self.traffic
    }

    /// Sends a request to a daemon and waits for its answer for at most
    /// `timeout`.
    pub async fn request(
        &self,
        to: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        let (reply, answer) = oneshot::channel();
        let queued = QueuedRequest {
            to,
            request,
            timeout,
            reply,
        };
        self.requests
            .try_send(queued)
            .map_err(|error| match error {
                mpsc::error::TrySendError::Full(_) => PeerError::Busy,
                mpsc::error::TrySendError::Closed(_) => PeerError::Stopped,
            })?;
        answer.await.unwrap_or(Err(PeerError::Stopped))
    }

    /// Sends a heartbeat to a daemon and returns the daemon's own.
    pub async fn heartbeat(
        &self,
        to: SocketAddr,
        heartbeat: PeerHeartbeat,
        timeout: Duration,
    ) -> Result<PeerHeartbeat, PeerError> {
        match self
            .request(to, PeerRequest::Heartbeat(heartbeat), timeout)
            .await?
        {
            PeerAnswer::Heartbeat(heartbeat) => Ok(heartbeat),
            _ => Err(wrong_kind()),
        }
    }

    /// Sends a message about rates to a daemon.
    pub async fn rates(
        &self,
        to: SocketAddr,
        request: RateRequest,
        timeout: Duration,
    ) -> Result<RateAnswer, PeerError> {
        match self
            .request(to, PeerRequest::Rates(request), timeout)
            .await?
        {
            PeerAnswer::Rates(answer) => Ok(answer),
            _ => Err(wrong_kind()),
        }
    }

    /// Requests a daemon's settings; returns `None` if it has none yet.
    pub async fn settings(
        &self,
        to: SocketAddr,
        request: SettingsRequest,
        timeout: Duration,
    ) -> Result<Option<SettingsAnswer>, PeerError> {
        match self
            .request(to, PeerRequest::Settings(request), timeout)
            .await?
        {
            PeerAnswer::Settings(answer) => Ok(answer),
            _ => Err(wrong_kind()),
        }
    }

    /// Sends a notice of suspects to a daemon.
    pub async fn suspects(
        &self,
        to: SocketAddr,
        notice: SuspectNotice,
        timeout: Duration,
    ) -> Result<NoticeAck, PeerError> {
        match self
            .request(to, PeerRequest::Suspects(notice), timeout)
            .await?
        {
            PeerAnswer::Suspects(ack) => Ok(ack),
            _ => Err(wrong_kind()),
        }
    }

    /// Announces live requests to the home of their servers. Returns the number
    /// of bulk requests on each of these servers, in the order of `notices`.
    pub async fn announce(
        &self,
        to: SocketAddr,
        notices: Vec<LiveAnnouncement>,
        timeout: Duration,
    ) -> Result<Vec<u32>, PeerError> {
        match self
            .request(to, PeerRequest::Announce(notices), timeout)
            .await?
        {
            PeerAnswer::Announced(bulk) => Ok(bulk),
            _ => Err(wrong_kind()),
        }
    }
}

fn wrong_kind() -> PeerError {
    PeerError::Malformed("an answer of the wrong kind".to_owned())
}
