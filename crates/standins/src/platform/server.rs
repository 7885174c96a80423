//! The HTTP server of the platform stand-in.

use std::{future::Future, time::Duration};

use comfreyramp_http::{
    BodySender, Bytes, HeaderValue, Incoming, MessageBody, Method, Request, Response, StatusCode,
    collect_limited, header, json_body, serve,
};
use comfreyramp_store::{
    ListedVm,
    wire::{
        CompactionRequest, DeleteRangeRequest, LeaseMessage, PutRequest, RangeRequest, RequestStep,
        StreamLine, TransactionRequest, WatchRequest, WatchResponse,
    },
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_with::{DurationMilliSeconds, serde_as};
use sha2::{Digest, Sha256};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::{
    CallFault, CallKind, CallOutcome, FaultChange, ModelError, OpenWatch, SharedPlatform,
    WatchUpdate,
};
use crate::process::stand_in_limits;

/// The longest body, in bytes: enough for a full transaction with the largest values in
/// base64.
const MAX_BODY_BYTES: usize = 8_000_000;
/// The interval at which an idle watch that requested progress notices is sent the
/// revision.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// The body of `PUT /stand-in/clock`.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClockChange {
    /// How far to move the clock forward, in milliseconds.
    #[serde(rename = "advance_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub advance: Duration,
}

/// Serves the platform until `stop` is cancelled.
pub async fn serve_platform(
    listener: TcpListener,
    platform: SharedPlatform,
    stop: CancellationToken,
) {
    let handler = move |request| answer(platform.clone(), request);
    serve(listener, stand_in_limits(), stop, handler).await;
}

/// Answers one request and counts the bytes of its bodies.
async fn answer(platform: SharedPlatform, request: Request<Incoming>) -> Response<MessageBody> {
    let (head, body) = request.into_parts();
    let body = match collect_limited(body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return error_response(&ModelError::BadBody(error.to_string())),
    };
    let path = head.uri.path();
    let call = path.strip_prefix("/v3/");
    let response = match call {
        Some(call) if head.method == Method::POST => answer_call(&platform, call, &body).await,
        _ if head.method == Method::GET && path == "/vms" => {
            answer_list(&platform, head.headers.get(header::IF_NONE_MATCH)).await
        }
        _ => answer_control(&platform, &head.method, path, &body).await,
    };
    let response = response.unwrap_or_else(|error| error_response(&error));
    let bytes_out = hyper::body::Body::size_hint(response.body()).exact();
    if call.is_some() || path == "/vms" {
        platform.count_bytes(body.len(), bytes_out.unwrap_or(0) as usize);
    }
    response
}

/// Answers with the VM list and its `ETag`, or with 304 if the caller has the same list.
async fn answer_list(platform: &SharedPlatform, known: Option<&HeaderValue>) -> Answer {
    let vms = match platform.listed_vms().await {
        Ok(vms) => vms,
        Err(fault) => return respond_fault(fault),
    };
    let text = serde_json::to_vec(&vms).map_err(|it| ModelError::BadBody(it.to_string()))?;
    let tag = format!("\"{}\"", hex::encode(&Sha256::digest(&text)[..8]));
    let mut response = if known.is_some_and(|it| it.as_bytes() == tag.as_bytes()) {
        let mut response = Response::new(MessageBody::empty());
        *response.status_mut() = StatusCode::NOT_MODIFIED;
        response
    } else {
        json(&vms)
    };
    if let Ok(tag) = tag.parse() {
        response.headers_mut().insert(header::ETAG, tag);
    }
    Ok(response)
}

type Answer = Result<Response<MessageBody>, ModelError>;

/// Answers the calls of the etcd v3 JSON gateway.
async fn answer_call(platform: &SharedPlatform, call: &str, body: &Bytes) -> Answer {
    match call {
        "kv/range" => {
            let request: RangeRequest = parse(body)?;
            let outcome = platform.call(CallKind::Range, move |model, _| Ok(model.range(&request)));
            respond(outcome).await
        }
        "kv/txn" => {
            let request: TransactionRequest = parse(body)?;
            let outcome = platform.call(CallKind::Transaction, move |model, _| {
                model.transact(request)
            });
            respond(outcome).await
        }
        "kv/put" => answer_put(platform, parse(body)?).await,
        "kv/deleterange" => answer_delete(platform, parse(body)?).await,
        "kv/compaction" => {
            let request: CompactionRequest = parse(body)?;
            Ok(json(&platform.compact_before(request.revision)?))
        }
        "lease/grant" => {
            let request: LeaseMessage = parse(body)?;
            let outcome = platform.call(CallKind::LeaseGrant, move |model, now| {
                model.grant(&request, now)
            });
            respond(outcome).await
        }
        "lease/keepalive" => {
            let request: LeaseMessage = parse(body)?;
            let outcome = platform.call(CallKind::LeaseKeepAlive, move |model, now| {
                Ok(StreamLine::of(model.keep_alive(request.id, now)))
            });
            respond(outcome).await
        }
        "lease/revoke" | "kv/lease/revoke" => {
            let request: LeaseMessage = parse(body)?;
            let outcome = platform.call(CallKind::LeaseRevoke, move |model, _| {
                model.revoke(request.id)
            });
            respond(outcome).await
        }
        "watch" => answer_watch(platform, parse(body)?).await,
        _ => Err(ModelError::UnknownCall),
    }
}

async fn answer_put(platform: &SharedPlatform, request: PutRequest) -> Answer {
    let step = RequestStep {
        request_put: Some(request),
        ..RequestStep::default()
    };
    let outcome = platform.call(CallKind::Put, move |model, _| {
        let response = model.transact(single_step(step))?;
        let response = response.responses.into_iter().next();
        Ok(response.and_then(|it| it.response_put))
    });
    respond(outcome).await
}

async fn answer_delete(platform: &SharedPlatform, request: DeleteRangeRequest) -> Answer {
    let step = RequestStep {
        request_delete_range: Some(request),
        ..RequestStep::default()
    };
    let outcome = platform.call(CallKind::DeleteRange, move |model, _| {
        let response = model.transact(single_step(step))?;
        let response = response.responses.into_iter().next();
        Ok(response.and_then(|it| it.response_delete_range))
    });
    respond(outcome).await
}

fn single_step(step: RequestStep) -> TransactionRequest {
    TransactionRequest {
        success: vec![step],
        ..TransactionRequest::default()
    }
}

async fn answer_watch(platform: &SharedPlatform, request: WatchRequest) -> Answer {
    let Some(request) = request.create_request else {
        return Err(ModelError::BadBody("create_request is missing".into()));
    };
    let progress_notify = request.progress_notify;
    let watch = match platform.open_watch(request.into()).await {
        Ok(watch) => watch,
        Err(fault) => return respond_fault(fault),
    };
    let (sender, body) = MessageBody::stream();
    let platform = platform.clone();
    tokio::spawn(async move {
        let writer = WatchWriter {
            platform,
            sender: sender.clone(),
            progress_notify,
        };
        tokio::select! {
            () = writer.run(watch) => {}
            () = sender.closed() => {}
        }
    });
    Ok(Response::new(body))
}

/// Writes the JSON lines of one watch.
struct WatchWriter {
    platform: SharedPlatform,
    sender: BodySender,
    progress_notify: bool,
}

impl WatchWriter {
    async fn run(self, mut watch: OpenWatch) {
        let created = WatchResponse {
            created: true,
            ..self.message()
        };
        self.write(created).await;
        loop {
            let update = tokio::time::timeout(PROGRESS_INTERVAL, watch.next()).await;
            match update {
                Err(_) => self.write_progress(&watch).await,
                Ok(WatchUpdate::Events(events, _)) => {
                    let message = WatchResponse {
                        events,
                        ..self.message()
                    };
                    self.write(message).await;
                }
                Ok(WatchUpdate::Compacted(oldest)) => return self.write_compacted(oldest).await,
                Ok(WatchUpdate::Broken) => return self.sender.abort("the watch broke").await,
            }
        }
    }

    fn message(&self) -> WatchResponse {
        WatchResponse {
            header: self.platform.header(),
            ..WatchResponse::default()
        }
    }

    async fn write_progress(&self, watch: &OpenWatch) {
        let Some(revision) = watch.progress().filter(|_| self.progress_notify) else {
            return;
        };
        let mut message = self.message();
        message.header.revision = revision;
        self.write(message).await;
    }

    async fn write_compacted(&self, oldest: i64) {
        let message = WatchResponse {
            canceled: true,
            compact_revision: oldest,
            ..self.message()
        };
        self.write(message).await;
    }

    async fn write(&self, message: WatchResponse) {
        let mut line = to_json(&StreamLine::of(message));
        line.push(b'\n');
        self.platform.count_bytes(0, line.len());
        self.sender.send(line).await;
    }
}

/// Answers changes of the VM list and the control calls for tests, under `/stand-in/`.
async fn answer_control(
    platform: &SharedPlatform,
    method: &Method,
    path: &str,
    body: &Bytes,
) -> Answer {
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (method.as_str(), parts.as_slice()) {
        ("PUT", ["vms"]) => {
            platform.set_vms(parse(body)?);
            Ok(json(&serde_json::json!({})))
        }
        ("PUT", ["vms", name]) => {
            let vm: ListedVm = parse(body)?;
            if vm.name != *name {
                let text = format!("name: {:?} isn't the path's {name:?}", vm.name);
                return Err(ModelError::BadBody(text));
            }
            platform.put_vm(vm);
            Ok(json(&serde_json::json!({})))
        }
        ("DELETE", ["vms", name]) if platform.remove_vm(name) => Ok(json(&serde_json::json!({}))),
        ("GET", ["stand-in", "faults"]) => Ok(json(&platform.faults())),
        ("PUT", ["stand-in", "faults"]) => {
            let change: FaultChange = parse(body)?;
            platform.change_faults(change);
            Ok(json(&platform.faults()))
        }
        ("GET", ["stand-in", "calls"]) => Ok(json(&platform.calls())),
        ("PUT", ["stand-in", "clock"]) => {
            let change: ClockChange = parse(body)?;
            platform.advance(change.advance);
            Ok(json(&change))
        }
        ("POST", ["stand-in", "lose-everything"]) => {
            platform.clear_store();
            Ok(json(&serde_json::json!({})))
        }
        ("POST", ["stand-in", "break-watches"]) => {
            platform.break_watches();
            Ok(json(&serde_json::json!({})))
        }
        _ => Err(ModelError::UnknownCall),
    }
}

async fn respond<T: Serialize>(outcome: impl Future<Output = CallOutcome<T>>) -> Answer {
    match outcome.await {
        Ok(answer) => Ok(json(&answer?)),
        Err(fault) => respond_fault(fault),
    }
}

fn respond_fault(fault: CallFault) -> Answer {
    match fault {
        CallFault::Outage => Err(ModelError::Unavailable),
        CallFault::AnswerLost => Ok(truncated_answer()),
    }
}

/// Returns a response that is cut before the first byte of its body, as a caller sees it
/// when the connection fails after the write took effect.
fn truncated_answer() -> Response<MessageBody> {
    let (sender, body) = MessageBody::stream();
    tokio::spawn(sender.abort("answer lost by a fault switch"));
    Response::new(body)
}

fn error_response(error: &ModelError) -> Response<MessageBody> {
    let mut response = json(&error.to_message());
    *response.status_mut() = error.codes().1;
    response
}

fn json(value: &impl Serialize) -> Response<MessageBody> {
    Response::new(json_body(value))
}

fn to_json(value: &impl Serialize) -> Vec<u8> {
    // Serializing can't fail, since the wire types have only string keys.
    serde_json::to_vec(value).unwrap_or_default()
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, ModelError> {
    let body: &[u8] = if body.is_empty() { b"{}" } else { body };
    serde_json::from_slice(body).map_err(|error| ModelError::BadBody(error.to_string()))
}
