//! An HTTP endpoint of the store.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use comfreyramp_http::{
    Incoming, MessageBody, Method, Request, Response, StatusCode, bind, collect_limited, serve,
};
use serde_json::json;
use tokio_util::sync::CancellationToken;

use super::{
    KvFaults, KvState,
    state::{TransactionBody, TransactionOutcome},
};
use crate::{process::stand_in_limits, response::json_response};

/// The path of lists of keys.
const RANGE_PATH: &str = "/-/kv-range";
/// The longest request body that is read, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// The interval at which a waiting watch checks for expired leases, and a held answer for
/// its release.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// An HTTP endpoint of the store, with its own faults.
#[derive(Clone, Debug)]
pub struct KvEndpoint {
    /// The fault switches of this endpoint.
    pub faults: Arc<KvFaults>,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The prefixes that were listed, in order, with those whose calls were rejected.
    listed: Arc<Mutex<Vec<String>>>,
}

impl KvEndpoint {
    /// Opens an endpoint that serves until `stop` is cancelled.
    ///
    /// # Errors
    ///
    /// Fails if there is no free port.
    pub async fn open(state: Arc<KvState>, stop: CancellationToken) -> anyhow::Result<KvEndpoint> {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let faults = Arc::new(KvFaults::default());
        let shared = faults.clone();
        let listed = Arc::<Mutex<Vec<String>>>::default();
        let recorded = listed.clone();
        tokio::spawn(serve(listener, stand_in_limits(), stop, move |request| {
            let state = state.clone();
            let faults = shared.clone();
            if request.uri().path() == RANGE_PATH {
                let prefix = query_field(&request, "prefix");
                let mut listed = recorded.lock().unwrap_or_else(PoisonError::into_inner);
                listed.push(prefix);
            }
            async move {
                let call = faults.begin_call();
                let answer = answer(&state, &faults, request).await;
                if faults.drops_answer(call) {
                    return std::future::pending().await;
                }
                answer
            }
        }));
        Ok(KvEndpoint {
            faults,
            address,
            listed,
        })
    }

    /// Returns how many lists of keys under `prefix` have been requested here.
    pub fn list_count(&self, prefix: &str) -> usize {
        let listed = self.listed.lock().unwrap_or_else(PoisonError::into_inner);
        listed.iter().filter(|it| it.starts_with(prefix)).count()
    }
}

/// Returns a field of a request's query, or an empty text. As at the platform, a percent sign
/// with two digits is a byte, and a plus sign a blank.
fn query_field(request: &Request<Incoming>, name: &str) -> String {
    let query = request.uri().query().unwrap_or_default();
    let mut fields = form_urlencoded::parse(query.as_bytes());
    let found = fields.find(|it| it.0 == name);
    found.map_or_else(String::new, |it| it.1.into_owned())
}

async fn answer(
    state: &Arc<KvState>,
    faults: &KvFaults,
    request: Request<Incoming>,
) -> Response<MessageBody> {
    if faults.rejects_calls() {
        return json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
    }
    let path = request.uri().path().to_owned();
    let field = |name: &str| query_field(&request, name);
    match (request.method(), path.as_str()) {
        (&Method::GET, "/-/kv-key") => read_key(state, &field("key")),
        (&Method::GET, RANGE_PATH) => {
            let page = state.range(&field("prefix"), &field("after"));
            let body = json!({
                "items": page.items, "has_more": page.has_more, "store_revision": page.revision,
            });
            json_response(StatusCode::OK, &body)
        }
        (&Method::GET, "/-/kv-watch") => {
            let after = field("after").parse().unwrap_or_default();
            let wait = field("wait_ms").parse().unwrap_or_default();
            watch(
                state,
                faults,
                &field("prefix"),
                after,
                Duration::from_millis(wait),
            )
            .await
        }
        (&Method::POST, "/-/kv-txn") => transact(state, faults, request).await,
        (&Method::POST, "/-/kv-lease") => {
            let body = collect_limited(request.into_body(), MAX_BODY_BYTES)
                .await
                .unwrap_or_default();
            let requested: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
            let ttl = requested["ttl_ms"].as_u64().unwrap_or(1_000);
            let lease = state.grant(Duration::from_millis(ttl));
            json_response(StatusCode::OK, &json!({"lease": lease, "ttl_ms": ttl}))
        }
        (&Method::POST, path) if path.starts_with("/-/kv-keep/") => {
            match state.renew(id_of(path)) {
                Some(ttl) => {
                    let body = json!({"ttl_ms": ttl.as_millis() as u64});
                    json_response(StatusCode::OK, &body)
                }
                None => json_response(StatusCode::NOT_FOUND, &json!({})),
            }
        }
        (&Method::DELETE, path) if path.starts_with("/-/kv-lease-end/") => {
            let status = match state.revoke(id_of(path)) {
                true => StatusCode::OK,
                false => StatusCode::NOT_FOUND,
            };
            json_response(status, &json!({}))
        }
        _ => json_response(StatusCode::BAD_REQUEST, &json!({"error": path})),
    }
}

fn id_of(path: &str) -> i64 {
    path.rsplit('/')
        .next()
        .and_then(|it| it.parse().ok())
        .unwrap_or_default()
}

fn read_key(state: &KvState, key: &str) -> Response<MessageBody> {
    let (entry, revision) = state.get(key);
    let Some(entry) = entry else {
        return json_response(StatusCode::NOT_FOUND, &json!({}));
    };
    let mut body = json!(entry);
    body["store_revision"] = revision.into();
    json_response(StatusCode::OK, &body)
}

async fn watch(
    state: &KvState,
    faults: &KvFaults,
    prefix: &str,
    after: i64,
    wait: Duration,
) -> Response<MessageBody> {
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        if faults.rejects_calls() {
            return json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
        }
        let Some((events, revision)) = state.events(prefix, after) else {
            return json_response(StatusCode::GONE, &json!({}));
        };
        if !events.is_empty() || tokio::time::Instant::now() >= deadline {
            let body = json!({"events": events, "store_revision": revision});
            return json_response(StatusCode::OK, &body);
        }
        // A change between the check and the wait is found by the next check.
        let _ = tokio::time::timeout(POLL_INTERVAL, state.changed.notified()).await;
    }
}

async fn transact(
    state: &Arc<KvState>,
    faults: &KvFaults,
    request: Request<Incoming>,
) -> Response<MessageBody> {
    let body = collect_limited(request.into_body(), MAX_BODY_BYTES)
        .await
        .unwrap_or_default();
    let Ok(body) = serde_json::from_slice::<TransactionBody>(&body) else {
        return json_response(StatusCode::BAD_REQUEST, &json!({}));
    };
    if body.largest_value() > faults.value_bytes() {
        return json_response(StatusCode::PAYLOAD_TOO_LARGE, &json!({}));
    }
    if let Some(delay) = faults.take_write_delay() {
        let state = state.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            state.transact(body);
        });
        return truncated_answer().await;
    }
    let keys = body.written_keys();
    let end = state.transact(body);
    if matches!(end, TransactionOutcome::Written(_)) {
        faults.record_held(keys);
    }
    while faults.holds_answers() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    if faults.take_lost_answer() {
        return truncated_answer().await;
    }
    match end {
        TransactionOutcome::Written(revision) => {
            json_response(StatusCode::OK, &json!({"revision": revision}))
        }
        TransactionOutcome::Conflict(items, revision) => {
            let body = json!({"items": items, "store_revision": revision});
            json_response(StatusCode::PRECONDITION_FAILED, &body)
        }
        TransactionOutcome::UnknownLease => json_response(StatusCode::NOT_FOUND, &json!({})),
    }
}

/// Returns a response that is cut off, so that the caller can't know whether the call took
/// effect.
async fn truncated_answer() -> Response<MessageBody> {
    let (sender, body) = MessageBody::stream();
    sender.abort("the answer is lost").await;
    Response::new(body)
}
