//! The client of the etcd v3 JSON gateway.

use std::time::{Duration, Instant};

use bytes::Bytes;
use comfreyramp_http::{
    CallError, HttpClient, Incoming, Method, Request, Response, StatusCode, collect_limited,
    header, json_body,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    CallEnd, CallMetrics, GatewayWatch, KeyRange, KeyValue, LeaseId, NoMetrics, PlatformStore,
    RangeAnswer, Revision, StoreCall, StoreError, TransactionAnswer, WriteBatch,
    line_reader::LineReader,
    wire::{
        ErrorMessage, HeaderResponse, LeaseMessage, RangeRequest, RangeResponse, StreamLine,
        TransactionRequest, TransactionResponse, WatchCreateRequest, WatchRequest,
    },
};

/// The default timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum size of a response in bytes.
const MAX_ANSWER_BYTES: usize = 256_000_000;
/// The maximum size of an error response in bytes.
pub(crate) const MAX_ERROR_BYTES: usize = 64_000;
/// The gRPC code `NOT_FOUND`.
const NOT_FOUND: i32 = 5;
/// The gRPC codes which guarantee that nothing was done: invalid argument, not found,
/// already exists, permission denied, resource exhausted, failed precondition, out of
/// range, unimplemented, unauthenticated.
const DEFINITE_ERROR_CODES: [i32; 9] = [3, 5, 6, 7, 8, 9, 11, 12, 16];

/// The gateway's address and timeout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySettings {
    /// The gateway's `ip:port`.
    pub address: String,
    /// The timeout of a call, from opening a connection to the last byte of the
    /// response. Connecting may take half of it, so that a platform which can't be
    /// reached is distinguished from one whose answer was lost.
    pub call_timeout: Duration,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        GatewaySettings {
            address: String::default(),
            call_timeout: CALL_TIMEOUT,
        }
    }
}

impl GatewaySettings {
    /// Creates settings for the gateway at `ip:port` or `http://ip:port`, with the
    /// default timeout.
    pub fn new(address: &str) -> Self {
        let address = address.trim_start_matches("http://").trim_end_matches('/');
        GatewaySettings {
            address: address.to_owned(),
            ..GatewaySettings::default()
        }
    }

    /// Sets the timeout of a call.
    pub fn call_timeout(mut self, timeout: Duration) -> Self {
        self.call_timeout = timeout;
        self
    }

    /// Returns the URL of a path at the gateway.
    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Creates an HTTP client that may spend half of a call's timeout on connecting,
    /// which leaves the rest for the response.
    pub(crate) fn client(&self) -> HttpClient {
        HttpClient::new(self.call_timeout / 2)
    }
}

/// A client of the platform's key-value service over HTTP.
#[derive(Clone, Debug)]
pub struct GatewayStore<C: CallMetrics = NoMetrics> {
    client: HttpClient,
    settings: GatewaySettings,
    counts: C,
}

impl<C: CallMetrics> GatewayStore<C> {
    /// Creates a client that reports its calls to `counts`.
    pub fn new(settings: GatewaySettings, counts: C) -> Self {
        let client = settings.client();
        GatewayStore {
            client,
            settings,
            counts,
        }
    }

    /// Makes a call and reads its whole response.
    async fn call<Q, A>(&self, call: StoreCall, path: &str, request: &Q) -> Result<A, StoreError>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let exchange = async {
            let response = self.send(path, request).await?;
            let body = collect_limited(response.into_body(), MAX_ANSWER_BYTES).await;
            read_json(&body.map_err(|error| StoreError::AnswerLost(error.to_string()))?)
        };
        self.counted(call, exchange).await
    }

    /// Reads the keys of a range.
    async fn read(
        &self,
        range: &KeyRange,
        request: &RangeRequest,
    ) -> Result<RangeAnswer, StoreError> {
        let response: Result<RangeResponse, _> =
            self.call(StoreCall::Range, "/v3/kv/range", request).await;
        let answer = RangeAnswer::try_from(response?)?;
        check_revision(answer.revision)?;
        check_keys(&answer.pairs, |it| range.contains(it))?;
        Ok(answer)
    }

    /// Makes a call and returns a reader of the lines of its streamed response.
    async fn open<Q: Serialize + Sync>(
        &self,
        path: &str,
        request: &Q,
    ) -> Result<LineReader, StoreError> {
        let response = self.send(path, request).await?;
        Ok(LineReader::new(response.into_body()))
    }

    async fn send<Q: Serialize + Sync>(
        &self,
        path: &str,
        request: &Q,
    ) -> Result<Response<Incoming>, StoreError> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(self.settings.url(path))
            .header(header::CONTENT_TYPE, "application/json")
            .body(json_body(request))
            .map_err(|error| StoreError::Unreachable(error.to_string()))?;
        exchange(&self.client, request).await
    }

    /// Applies the timeout to a call and counts how it ended.
    async fn counted<T>(
        &self,
        call: StoreCall,
        exchange: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let limit = self.settings.call_timeout;
        let begin = Instant::now();
        let result = with_timeout(limit, exchange).await;
        self.counts
            .count(call, CallEnd::of(&result), begin.elapsed());
        result
    }
}

/// Sends a request. A response with a status other than 200 becomes an error.
pub(crate) async fn exchange(
    client: &HttpClient,
    request: Request<comfreyramp_http::MessageBody>,
) -> Result<Response<Incoming>, StoreError> {
    let response = client.send(request).await.map_err(StoreError::from)?;
    if response.status() == StatusCode::OK {
        return Ok(response);
    }
    let status = response.status();
    let body = collect_limited(response.into_body(), MAX_ERROR_BYTES).await;
    let body = body.map_err(|error| StoreError::AnswerLost(format!("status {status}: {error}")))?;
    Err(response_error(status, &body))
}

/// Applies a timeout to a call. A timeout counts as a lost answer, since the request
/// may already have been sent.
pub(crate) async fn with_timeout<T>(
    limit: Duration,
    exchange: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    match tokio::time::timeout(limit, exchange).await {
        Ok(result) => result,
        Err(_) => Err(StoreError::AnswerLost(format!(
            "no answer within {limit:?}"
        ))),
    }
}

/// Parses a response body. An unreadable body counts as a lost answer, since it doesn't
/// tell whether the call took effect.
pub(crate) fn read_json<T: DeserializeOwned>(body: &Bytes) -> Result<T, StoreError> {
    let parsed = serde_json::from_slice(body);
    parsed.map_err(|error| StoreError::AnswerLost(format!("invalid response: {error}")))
}

/// Converts an error response to a [`StoreError`]. Some errors of the platform, such as
/// a change of its leader, leave open whether a write took effect; if they counted as
/// rejections, a caller would write twice.
pub(crate) fn response_error(status: StatusCode, body: &Bytes) -> StoreError {
    let Ok(error) = serde_json::from_slice::<ErrorMessage>(body) else {
        let text = format!("status {status}");
        return match status.is_client_error() {
            true => StoreError::Rejected(text),
            false => StoreError::AnswerLost(text),
        };
    };
    grpc_error(error.code, error.message)
}

fn grpc_error(code: i32, message: String) -> StoreError {
    if code == NOT_FOUND && message.contains("lease not found") {
        return StoreError::LeaseLapsed;
    }
    if DEFINITE_ERROR_CODES.contains(&code) {
        return StoreError::Rejected(message);
    }
    StoreError::AnswerLost(message)
}

/// Returns an error if an answer names a key that doesn't belong to its call. Answers have no
/// id, so one to another call is found by its content only, and doesn't say how this call
/// ended.
fn check_keys(pairs: &[KeyValue], belongs: impl Fn(&String) -> bool) -> Result<(), StoreError> {
    match pairs.iter().find(|it| !belongs(&it.key)) {
        Some(pair) => Err(StoreError::AnswerLost(format!(
            "a response to another call, with key {}",
            pair.key
        ))),
        None => Ok(()),
    }
}

/// Returns an error if an answer lacks the revision that each answer about keys has.
fn check_revision(revision: Revision) -> Result<(), StoreError> {
    match revision > 0 {
        true => Ok(()),
        false => Err(StoreError::AnswerLost(
            "a response without a revision".to_owned(),
        )),
    }
}

impl<T: Default> StreamLine<T> {
    /// Returns the line's message, or the error that ends the stream.
    pub(crate) fn into_result(self) -> Result<T, StoreError> {
        match self.error {
            Some(error) => Err(grpc_error(error.grpc_code, error.message)),
            None => Ok(self.result.unwrap_or_default()),
        }
    }
}

impl From<CallError> for StoreError {
    fn from(error: CallError) -> Self {
        if error.is_not_sent() {
            return StoreError::Unreachable(error.to_string());
        }
        StoreError::AnswerLost(error.to_string())
    }
}

impl<C: CallMetrics> PlatformStore for GatewayStore<C> {
    type Watch = GatewayWatch<C>;

    async fn range(&self, range: KeyRange, limit: usize) -> Result<RangeAnswer, StoreError> {
        self.read(&range, &RangeRequest::new(&range, limit)).await
    }

    async fn read_keys(&self, range: KeyRange) -> Result<RangeAnswer, StoreError> {
        self.read(&range, &RangeRequest::keys_only(&range)).await
    }

    async fn transact(&self, batch: WriteBatch) -> Result<TransactionAnswer, StoreError> {
        let read_back = batch.read_back.clone();
        let request = TransactionRequest::from(batch);
        let response: Result<TransactionResponse, _> = self
            .call(StoreCall::Transaction, "/v3/kv/txn", &request)
            .await;
        let answer = TransactionAnswer::try_from(response?)?;
        match &answer {
            TransactionAnswer::Written(revision) => check_revision(*revision)?,
            TransactionAnswer::Refused { found, revision } => {
                check_revision(*revision)?;
                check_keys(found, |it| read_back.contains(it))?;
            }
        }
        Ok(answer)
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let request = LeaseMessage::grant(ttl);
        let answer: LeaseMessage = self
            .call(StoreCall::LeaseGrant, "/v3/lease/grant", &request)
            .await?;
        match answer.id {
            0 => Err(StoreError::AnswerLost(
                "a new lease without an id".to_owned(),
            )),
            id => Ok(LeaseId(id)),
        }
    }

    async fn renew(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        let request = LeaseMessage::for_lease(lease);
        let exchange = async {
            let mut lines = self.open("/v3/lease/keepalive", &request).await?;
            let line = lines.next().await?;
            let line = line.ok_or_else(|| StoreError::AnswerLost("an empty answer".into()))?;
            let line: StreamLine<LeaseMessage> = read_json(&line)?;
            let renewed = line.into_result()?;
            if renewed.id != lease.0 {
                let text = format!("a response about lease {}", renewed.id);
                return Err(StoreError::AnswerLost(text));
            }
            renewed.time_left()
        };
        self.counted(StoreCall::LeaseRenew, exchange).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        let request = LeaseMessage::for_lease(lease);
        let answer: Result<HeaderResponse, _> = self
            .call(StoreCall::LeaseRevoke, "/v3/lease/revoke", &request)
            .await;
        answer.map(|_| ())
    }

    async fn watch(&self, range: KeyRange, from: Revision) -> Result<Self::Watch, StoreError> {
        let request = WatchRequest {
            create_request: Some(WatchCreateRequest::new(&range, from)),
        };
        let exchange = async {
            let lines = self.open("/v3/watch", &request).await?;
            GatewayWatch::open(lines, self.counts.clone()).await
        };
        self.counted(StoreCall::Watch, exchange).await
    }
}
