//! The client of the etcd v3 JSON gateway.

use std::time::{Duration, Instant};

use bytes::Bytes;
use comfreyramp_http::{
    CallError, HttpClient, Incoming, Method, Request, Response, StatusCode, collect_limited,
    header, json_body,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    CallCounts, CallEnd, GatewayWatch, KeyRange, LeaseId, NoCounts, PlatformStore, RangeAnswer,
    Revision, StoreCall, StoreError, TransactionAnswer, WriteBatch,
    line_reader::LineReader,
    wire::{
        ErrorMessage, HeaderResponse, LeaseMessage, RangeRequest, RangeResponse, StreamLine,
        TransactionRequest, TransactionResponse, WatchCreateRequest, WatchRequest,
    },
};

/// How long a call may take, unless the settings say otherwise.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest answer that is read.
const ANSWER_LIMIT: usize = 256_000_000;
/// The longest error answer that is read.
pub(crate) const ERROR_LIMIT: usize = 64_000;
/// gRPC's code for a thing that doesn't exist.
const NOT_FOUND: i32 = 5;
/// The gRPC codes that say for certain that nothing was done: invalid
/// argument, not found, already exists, permission denied, resource exhausted,
/// failed precondition, out of range, unimplemented, unauthenticated.
const CERTAIN_REFUSALS: [i32; 9] = [3, 5, 6, 7, 8, 9, 11, 12, 16];

/// Where the gateway is and how long to wait for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySettings {
    /// The gateway's `ip:port`.
    pub address: String,
    /// How long one call may take, from opening a connection to the last byte
    /// of the answer. Half of it is left to opening a connection, so that a
    /// platform behind a cut is told from one that lost an answer.
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
    /// The gateway at `ip:port` or `http://ip:port`, with the default timeout.
    pub fn new(address: &str) -> Self {
        let address = address.trim_start_matches("http://").trim_end_matches('/');
        GatewaySettings {
            address: address.to_owned(),
            ..GatewaySettings::default()
        }
    }

    /// Sets how long one call may take.
    pub fn call_timeout(mut self, timeout: Duration) -> Self {
        self.call_timeout = timeout;
        self
    }

    /// The address of one call.
    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// A client whose connections leave a call time for its answer.
    pub(crate) fn client(&self) -> HttpClient {
        HttpClient::new(self.call_timeout / 2)
    }
}

/// The platform's key-value service over HTTP.
#[derive(Clone, Debug)]
pub struct GatewayStore<C: CallCounts = NoCounts> {
    client: HttpClient,
    settings: GatewaySettings,
    counts: C,
}

impl<C: CallCounts> GatewayStore<C> {
    /// A client that reports its calls to `counts`.
    pub fn new(settings: GatewaySettings, counts: C) -> Self {
        let client = settings.client();
        GatewayStore {
            client,
            settings,
            counts,
        }
    }

    /// Makes one call and reads its whole answer.
    async fn call<Q, A>(&self, call: StoreCall, path: &str, request: &Q) -> Result<A, StoreError>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let exchange = async {
            let response = self.send(path, request).await?;
            let body = collect_limited(response.into_body(), ANSWER_LIMIT).await;
            read_json(&body.map_err(|error| StoreError::AnswerLost(error.to_string()))?)
        };
        self.timed(call, exchange).await
    }

    /// Makes one call and reads the first line of its answer.
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

    /// Limits a call's time and reports how it ended.
    async fn timed<T>(
        &self,
        call: StoreCall,
        exchange: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let limit = self.settings.call_timeout;
        let begin = Instant::now();
        let result = within(limit, exchange).await;
        self.counts
            .count(call, CallEnd::of(&result), begin.elapsed());
        result
    }
}

/// Sends a request and tells a refusal from an answer.
pub(crate) async fn exchange(
    client: &HttpClient,
    request: Request<comfreyramp_http::MessageBody>,
) -> Result<Response<Incoming>, StoreError> {
    let response = client.send(request).await.map_err(StoreError::from)?;
    if response.status() == StatusCode::OK {
        return Ok(response);
    }
    let status = response.status();
    let body = collect_limited(response.into_body(), ERROR_LIMIT).await;
    Err(refusal(status, &body.unwrap_or_default()))
}

/// Limits the time of an exchange. Its request may have left by then.
pub(crate) async fn within<T>(
    limit: Duration,
    exchange: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    match tokio::time::timeout(limit, exchange).await {
        Ok(result) => result,
        Err(_) => Err(StoreError::AnswerLost(format!("nothing within {limit:?}"))),
    }
}

/// Reads an answer. One that can't be read tells nothing of what was done.
pub(crate) fn read_json<T: DeserializeOwned>(body: &Bytes) -> Result<T, StoreError> {
    let parsed = serde_json::from_slice(body);
    parsed.map_err(|error| StoreError::AnswerLost(format!("unreadable: {error}")))
}

/// What an error answer means. Some of the platform's errors, a change of its
/// leader among them, leave open whether a write took effect; taking such an
/// answer for a refusal would make a caller write twice.
pub(crate) fn refusal(status: StatusCode, body: &Bytes) -> StoreError {
    let Ok(error) = serde_json::from_slice::<ErrorMessage>(body) else {
        let text = format!("status {status}");
        return match status.is_client_error() {
            true => StoreError::Rejected(text),
            false => StoreError::AnswerLost(text),
        };
    };
    coded_error(error.code, error.message)
}

fn coded_error(code: i32, message: String) -> StoreError {
    if code == NOT_FOUND && message.contains("lease not found") {
        return StoreError::LeaseLapsed;
    }
    if CERTAIN_REFUSALS.contains(&code) {
        return StoreError::Rejected(message);
    }
    StoreError::AnswerLost(message)
}

impl<T: Default> StreamLine<T> {
    /// The line's message, or the error that ends the stream.
    pub(crate) fn into_result(self) -> Result<T, StoreError> {
        match self.error {
            Some(error) => Err(coded_error(error.grpc_code, error.message)),
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

impl<C: CallCounts> PlatformStore for GatewayStore<C> {
    type Watch = GatewayWatch<C>;

    async fn range(&self, range: KeyRange, limit: usize) -> Result<RangeAnswer, StoreError> {
        let request = RangeRequest::new(&range, limit);
        let answer: Result<RangeResponse, _> =
            self.call(StoreCall::Range, "/v3/kv/range", &request).await;
        answer?.try_into()
    }

    async fn read_keys(&self, range: KeyRange) -> Result<RangeAnswer, StoreError> {
        let request = RangeRequest::keys_only(&range);
        let answer: Result<RangeResponse, _> =
            self.call(StoreCall::Range, "/v3/kv/range", &request).await;
        answer?.try_into()
    }

    async fn transact(&self, batch: WriteBatch) -> Result<TransactionAnswer, StoreError> {
        let request = TransactionRequest::from(batch);
        let answer: Result<TransactionResponse, _> = self
            .call(StoreCall::Transaction, "/v3/kv/txn", &request)
            .await;
        answer?.try_into()
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let request = LeaseMessage::grant(ttl);
        let answer: LeaseMessage = self
            .call(StoreCall::LeaseGrant, "/v3/lease/grant", &request)
            .await?;
        Ok(LeaseId(answer.id))
    }

    async fn renew(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        let request = LeaseMessage::named(lease);
        let exchange = async {
            let mut lines = self.open("/v3/lease/keepalive", &request).await?;
            let line = lines.next().await?;
            let line = line.ok_or_else(|| StoreError::AnswerLost("an empty answer".into()))?;
            let line: StreamLine<LeaseMessage> = read_json(&line)?;
            line.into_result()?.time_left()
        };
        self.timed(StoreCall::LeaseRenew, exchange).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        let request = LeaseMessage::named(lease);
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
        self.timed(StoreCall::Watch, exchange).await
    }
}
