//! The way to the other daemons, from any thread.

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
    LiveNotice, PeerAnswer, PeerAsk, PeerBeat, PeerError, PeerHandler, PeerTraffic, SettingsAnswer,
    SettingsAsk,
    link_thread::{self, LinkContext},
};

/// Asks that may wait for the link's thread before new ones are turned away.
const WAITING_ASKS: usize = 4_096;

/// How long connections may take to open and stay without use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkTiming {
    /// How long opening a connection may take.
    pub connect: Duration,
    /// After so long without an ask, this daemon closes a connection it opened.
    pub idle: Duration,
    /// After so long without an ask, this daemon closes a connection that
    /// another opened: that one is gone or it would have closed it.
    pub silent: Duration,
}

impl Default for LinkTiming {
    fn default() -> Self {
        LinkTiming {
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(60),
            silent: Duration::from_secs(180),
        }
    }
}

/// An ask on its way to the link's thread.
pub(crate) struct LinkJob {
    pub(crate) to: SocketAddr,
    pub(crate) ask: PeerAsk,
    pub(crate) within: Duration,
    pub(crate) reply: oneshot::Sender<Result<PeerAnswer, PeerError>>,
}

/// The way to the other daemons, from any thread.
#[derive(Clone, Debug)]
pub struct PeerLink {
    jobs: mpsc::Sender<LinkJob>,
    traffic: Arc<PeerTraffic>,
}

impl PeerLink {
    /// Starts the link's thread, which answers at `listener` and ends once
    /// `stop` is cancelled.
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
        let (jobs, waiting) = mpsc::channel(WAITING_ASKS);
        let traffic = Arc::new(PeerTraffic::default());
        let context = LinkContext {
            handler,
            timing,
            traffic: traffic.clone(),
            stop,
        };
        let thread = std::thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || link_thread::run(&runtime, listener, waiting, context))?;
        Ok((PeerLink { jobs, traffic }, thread))
    }

    /// The bytes that went over all connections.
    pub fn traffic(&self) -> &PeerTraffic {
        &self.traffic
    }

    /// Asks a daemon and waits for its answer, no longer than `within`.
    pub async fn ask(
        &self,
        to: SocketAddr,
        ask: PeerAsk,
        within: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        let (reply, answer) = oneshot::channel();
        let job = LinkJob {
            to,
            ask,
            within,
            reply,
        };
        self.jobs.try_send(job).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => PeerError::Busy,
            mpsc::error::TrySendError::Closed(_) => PeerError::Stopped,
        })?;
        answer.await.unwrap_or(Err(PeerError::Stopped))
    }

    /// Tells a daemon how things are and hears the same of it.
    pub async fn beat(
        &self,
        to: SocketAddr,
        beat: PeerBeat,
        within: Duration,
    ) -> Result<PeerBeat, PeerError> {
        match self.ask(to, PeerAsk::Beat(beat), within).await? {
            PeerAnswer::Beat(beat) => Ok(beat),
            _ => Err(wrong_kind()),
        }
    }

    /// Asks a daemon about rates.
    pub async fn rates(
        &self,
        to: SocketAddr,
        ask: RateRequest,
        within: Duration,
    ) -> Result<RateAnswer, PeerError> {
        match self.ask(to, PeerAsk::Rates(ask), within).await? {
            PeerAnswer::Rates(answer) => Ok(answer),
            _ => Err(wrong_kind()),
        }
    }

    /// Asks a daemon for its settings.
    pub async fn settings(
        &self,
        to: SocketAddr,
        ask: SettingsAsk,
        within: Duration,
    ) -> Result<Option<SettingsAnswer>, PeerError> {
        match self.ask(to, PeerAsk::Settings(ask), within).await? {
            PeerAnswer::Settings(answer) => Ok(answer),
            _ => Err(wrong_kind()),
        }
    }

    /// Tells a daemon of suspects.
    pub async fn suspects(
        &self,
        to: SocketAddr,
        notice: SuspectNotice,
        within: Duration,
    ) -> Result<NoticeAck, PeerError> {
        match self.ask(to, PeerAsk::Suspects(notice), within).await? {
            PeerAnswer::Suspects(ack) => Ok(ack),
            _ => Err(wrong_kind()),
        }
    }

    /// Announces live requests to the home of their servers, and hears how many
    /// bulk requests each of these servers has.
    pub async fn announce(
        &self,
        to: SocketAddr,
        notices: Vec<LiveNotice>,
        within: Duration,
    ) -> Result<Vec<u32>, PeerError> {
        match self.ask(to, PeerAsk::Announce(notices), within).await? {
            PeerAnswer::Announced(bulk) => Ok(bulk),
            _ => Err(wrong_kind()),
        }
    }
}

fn wrong_kind() -> PeerError {
    PeerError::Malformed("an answer of another kind".to_owned())
}
