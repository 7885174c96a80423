//! One address at which the store is reached.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use comfreyramp_http::{
    Incoming, MessageBody, Method, Request, Response, StatusCode, bind, collect_limited, serve,
};
use serde_json::json;
use tokio_util::sync::CancellationToken;

use super::{
    KvFaults, KvState,
    state::{TransactionBody, TransactionEnd},
};
use crate::{process::stand_in_limits, response::json_response};

/// The longest body that is read.
const BODY_LIMIT: usize = 64 << 20;
/// A watch looks for lapsed leases this often while it waits.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// One address at which the store is reached.
#[derive(Clone, Debug)]
pub struct KvDoor {
    /// What goes wrong here.
    pub faults: Arc<KvFaults>,
    /// The address.
    pub address: SocketAddr,
}

impl KvDoor {
    /// Opens a door, until `stop` is cancelled.
    ///
    /// # Errors
    ///
    /// Fails if there is no free port.
    pub async fn open(state: Arc<KvState>, stop: CancellationToken) -> anyhow::Result<KvDoor> {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let faults = Arc::new(KvFaults::default());
        let shared = faults.clone();
        tokio::spawn(serve(listener, stand_in_limits(), stop, move |request| {
            let state = state.clone();
            let faults = shared.clone();
            async move {
                let call = faults.begin_call();
                let answer = answer(&state, &faults, request).await;
                if faults.swallows(call) {
                    return std::future::pending().await;
                }
                answer
            }
        }));
        Ok(KvDoor { faults, address })
    }
}

async fn answer(
    state: &Arc<KvState>,
    faults: &KvFaults,
    request: Request<Incoming>,
) -> Response<MessageBody> {
    if faults.turns_away() {
        return json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
    }
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let field = |name: &str| {
        let fields = query.split('&').filter_map(|it| it.split_once('='));
        let mut named = fields.filter(|it| it.0 == name);
        named.next().map_or(String::new(), |it| it.1.to_owned())
    };
    match (request.method(), path.as_str()) {
        (&Method::GET, "/-/kv-key") => one(state, &field("key")),
        (&Method::GET, "/-/kv-range") => {
            let (items, revision) = state.range(&field("prefix"), &field("after"));
            let body = json!({"items": items, "has_more": false, "store_revision": revision});
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
            let body = collect_limited(request.into_body(), BODY_LIMIT)
                .await
                .unwrap_or_default();
            let asked: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
            let ttl = asked["ttl_ms"].as_u64().unwrap_or(1_000);
            let lease = state.grant(Duration::from_millis(ttl));
            json_response(StatusCode::OK, &json!({"lease": lease, "ttl_ms": ttl}))
        }
        (&Method::POST, path) if path.starts_with("/-/kv-keep/") => {
            match state.renew(id_of(path)) {
                Some(term) => {
                    let body = json!({"ttl_ms": term.as_millis() as u64});
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

fn one(state: &KvState, key: &str) -> Response<MessageBody> {
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
    let until = tokio::time::Instant::now() + wait;
    loop {
        if faults.turns_away() {
            return json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
        }
        let Some((events, revision)) = state.events(prefix, after) else {
            return json_response(StatusCode::GONE, &json!({}));
        };
        if !events.is_empty() || tokio::time::Instant::now() >= until {
            let body = json!({"events": events, "store_revision": revision});
            return json_response(StatusCode::OK, &body);
        }
        // A change between the look and the wait is seen at the next look.
        let _ = tokio::time::timeout(LOOK_INTERVAL, state.changed.notified()).await;
    }
}

async fn transact(
    state: &Arc<KvState>,
    faults: &KvFaults,
    request: Request<Incoming>,
) -> Response<MessageBody> {
    let body = collect_limited(request.into_body(), BODY_LIMIT)
        .await
        .unwrap_or_default();
    let Ok(body) = serde_json::from_slice::<TransactionBody>(&body) else {
        return json_response(StatusCode::BAD_REQUEST, &json!({}));
    };
    if let Some(span) = faults.delays_write() {
        let state = state.clone();
        tokio::spawn(async move {
            tokio::time::sleep(span).await;
            state.transact(body);
        });
        return cut_short().await;
    }
    let keys = body.written_keys();
    let end = state.transact(body);
    if matches!(end, TransactionEnd::Written(_)) {
        faults.note_held(keys);
    }
    while faults.holds_answers() {
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    if faults.loses_answer() {
        return cut_short().await;
    }
    match end {
        TransactionEnd::Written(revision) => {
            json_response(StatusCode::OK, &json!({"revision": revision}))
        }
        TransactionEnd::Conflict(items, revision) => {
            let body = json!({"items": items, "store_revision": revision});
            json_response(StatusCode::PRECONDITION_FAILED, &body)
        }
        TransactionEnd::NoLease => json_response(StatusCode::NOT_FOUND, &json!({})),
    }
}

/// An answer that breaks off: nobody knows whether the call took effect.
async fn cut_short() -> Response<MessageBody> {
    let (sender, body) = MessageBody::stream();
    sender.cut_short("the answer is lost").await;
    Response::new(body)
}
