//! An HTTP client for calls to other servers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{
        Client,
        connect::{HttpConnector, capture_connection},
    },
    rt::{TokioExecutor, TokioTimer},
};

use crate::{BodyFraming, ChunkScanner, HeadError, MessageBody, collect_limited};

/// The default limit on the time that a connection takes to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an unused connection stays in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The TCP keepalive probes of a connection start after it was idle for this
/// long, and repeat at this interval. A peer behind a network partition sends
/// neither an answer nor a reset; without probes, a watch on such a connection
/// can't be told from one that has no changes to deliver.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered probes after which a connection counts as broken.
const MAX_UNANSWERED_PROBES: u32 = 2;
/// A connection breaks if sent bytes stay unacknowledged for this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// The reason why a call got no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection wasn't established: no byte of the request was sent.
    #[error("could not connect: {0}")]
    NotSent(String),
    /// The connection broke; the request may have arrived, partly or
    /// completely.
    #[error("the connection broke: {0}")]
    Broken(String),
    /// No answer arrived within the time limit.
    #[error("no answer within {0:?}")]
    TimedOut(Duration),
    /// What arrived isn't the answer to this request, as far as its id shows.
    #[error("the answer is one to another request")]
    OtherRequest,
    /// No final answer has such a head, or it doesn't determine the end of its body.
    #[error("the answer is invalid: {0}")]
    InvalidHead(#[from] HeadError),
}

impl CallError {
    /// Returns whether the server can't have received any part of the request.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, CallError::NotSent(_))
    }
}

/// An HTTP client with a connection pool.
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
    /// Creates a client whose connections must open within `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Self {
        HttpClient::with_idle_connections(connect_timeout, usize::MAX)
    }

    /// Creates a client that opens a connection for each request.
    pub(crate) fn without_reuse() -> Self {
        HttpClient::with_idle_connections(CONNECT_TIMEOUT, 0)
    }

    fn with_idle_connections(connect_timeout: Duration, max_idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        connector.set_keepalive(Some(PROBE_INTERVAL));
        connector.set_keepalive_interval(Some(PROBE_INTERVAL));
        connector.set_keepalive_retries(Some(MAX_UNANSWERED_PROBES));
        connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(max_idle)
            .build(connector);
        HttpClient { client }
    }

    /// Sends a request and waits for the status and headers of its answer.
    ///
    /// # Errors
    ///
    /// After [`CallError::InvalidHead`], the request may have run.
    pub async fn send(
        &self,
        request: Request<MessageBody>,
    ) -> Result<Response<Incoming>, CallError> {
        self.send_checked(request, |_| Ok(())).await
    }

    /// Like [`HttpClient::send`], for an answer that also passes `check`. The connection of an
    /// answer that is refused isn't used again, since it isn't known where the answer ends.
    pub(crate) async fn send_checked(
        &self,
        mut request: Request<MessageBody>,
        check: impl FnOnce(&HeaderMap) -> Result<(), CallError>,
    ) -> Result<Response<Incoming>, CallError> {
        let method = request.method().clone();
        let connection = capture_connection(&mut request);
        let (head, body) = match self.client.request(request).await {
            Ok(response) => response.into_parts(),
            Err(error) if error.is_connect() => return Err(CallError::NotSent(describe(&error))),
            Err(error) => return Err(CallError::Broken(describe(&error))),
        };
        let framing = BodyFraming::of(&method, &head);
        let checked = check(&head.headers).and(framing.map_err(CallError::from));
        if let (Err(_), Some(connection)) = (&checked, connection.connection_metadata().as_ref()) {
            connection.poison();
        }
        checked.map(|_| Response::from_parts(head, body))
    }

    /// Sends a request and reads its complete answer, within `limit` and with a
    /// body of at most `body_limit` bytes.
    ///
    /// # Errors
    ///
    /// An answer that ends early is [`CallError::Broken`]: it doesn't say whether
    /// the server processed the request.
    pub async fn exchange(
        &self,
        request: Request<MessageBody>,
        limit: Duration,
        body_limit: usize,
    ) -> Result<Response<Bytes>, CallError> {
        let method = request.method().clone();
        let whole = async {
            let (head, body) = self.send(request).await?.into_parts();
            let body = collect_limited(body, body_limit).await;
            let body = body.map_err(|error| CallError::Broken(error.to_string()))?;
            if ChunkScanner::finds_chunk(BodyFraming::of(&method, &head)?, &body) {
                return Err(HeadError::UndeclaredChunks.into());
            }
            Ok(Response::from_parts(head, body))
        };
        within(limit, whole).await
    }

    /// Like [`HttpClient::exchange`], and also returns how long the call took, for
    /// callers that record metrics.
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

    /// Like [`HttpClient::send`], with a limit on the wait for the status and
    /// headers.
    pub async fn send_within(
        &self,
        limit: Duration,
        request: Request<MessageBody>,
    ) -> Result<Response<Incoming>, CallError> {
        within(limit, self.send(request)).await
    }
}

/// Limits how long a call may take.
pub(crate) async fn within<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    let answer = tokio::time::timeout(limit, call).await;
    answer.unwrap_or(Err(CallError::TimedOut(limit)))
}

/// Formats an error with its causes, since hyper's own text names only the
/// outermost error.
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
