//! Calls to other servers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

use crate::{MessageBody, collect_limited};

/// How long a connection may take to open, unless the caller says otherwise.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A connection without a byte is probed after so long, then at this interval.
/// A peer behind a cut sends neither answer nor reset; without probes a watch on
/// such a connection looks like one without news.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// After so many unanswered probes a connection counts as broken.
const PROBES: u32 = 2;
/// Bytes that aren't acknowledged within this span break their connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a call got no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection never stood: no byte of the request left.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The request may have arrived, in part or whole.
    #[error("the connection broke: {0}")]
    Broken(String),
    /// No answer began in time.
    #[error("no answer within {0:?}")]
    TimedOut(Duration),
}

impl CallError {
    /// Whether the server can't have seen any of the request.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, CallError::NotSent(_))
    }
}

/// A client with a pool of connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, MessageBody>,
}

impl Default for HttpClient {
    fn default() -> Self {
        HttpClient::new(CONNECT_TIMEOUT)
    }
}

impl HttpClient {
    /// A client whose connections must open within `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        connector.set_keepalive(Some(PROBE_INTERVAL));
        connector.set_keepalive_interval(Some(PROBE_INTERVAL));
        connector.set_keepalive_retries(Some(PROBES));
        connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        HttpClient { client }
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(
        &self,
        request: Request<MessageBody>,
    ) -> Result<Response<Incoming>, CallError> {
        match self.client.request(request).await {
            Ok(response) => Ok(response),
            Err(error) if error.is_connect() => Err(CallError::NotSent(describe(&error))),
            Err(error) => Err(CallError::Broken(describe(&error))),
        }
    }

    /// Sends a request and reads its whole answer, within a limit of time and
    /// with a body of at most `body_limit` bytes.
    ///
    /// # Errors
    ///
    /// An answer that breaks off tells nothing of what was done.
    pub async fn exchange(
        &self,
        request: Request<MessageBody>,
        limit: Duration,
        body_limit: usize,
    ) -> Result<Response<Bytes>, CallError> {
        let whole = async {
            let (head, body) = self.send(request).await?.into_parts();
            let body = collect_limited(body, body_limit).await;
            let body = body.map_err(|error| CallError::Broken(error.to_string()))?;
            Ok(Response::from_parts(head, body))
        };
        match tokio::time::timeout(limit, whole).await {
            Ok(answer) => answer,
            Err(_) => Err(CallError::TimedOut(limit)),
        }
    }

    /// Like [`HttpClient::exchange`], and tells how long it took, for whoever counts
    /// calls.
    pub async fn timed_exchange(
        &self,
        request: Request<MessageBody>,
        limit: Duration,
        body_limit: usize,
    ) -> (Result<Response<Bytes>, CallError>, Duration) {
        let begin = Instant::now();
        let answer = self.exchange(request, limit, body_limit).await;
        (answer, begin.elapsed())
    }

    /// Like [`HttpClient::send`], with a limit on the wait for the head.
    pub async fn send_within(
        &self,
        limit: Duration,
        request: Request<MessageBody>,
    ) -> Result<Response<Incoming>, CallError> {
        match tokio::time::timeout(limit, self.send(request)).await {
            Ok(answer) => answer,
            Err(_) => Err(CallError::TimedOut(limit)),
        }
    }
}

/// An error with its causes, since hyper's own text names only the outermost.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}
