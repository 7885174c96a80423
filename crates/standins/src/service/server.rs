//! The HTTP server of the plain service.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use comfreyramp_http::{
    BodySender, HeaderMap, HeaderValue, Incoming, MessageBody, Request, Response, StatusCode,
    collect_limited, serve,
};
use http_body_util::BodyExt;
use serde_json::json;
use sha2::{Digest, Sha256};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{
    process::stand_in_limits,
    request_log::{Arrival, RequestEnd, RequestLog, hash_hex},
    response::json_response,
};

/// The longest request body that is read into memory, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// The longest delay that a request to `/slow` can set.
const MAX_DELAY: Duration = Duration::from_secs(600);

/// The options of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// The text of a body at which the process exits; empty for none.
    pub crash_on: String,
    /// The number of calls at which its load report shows full load.
    pub capacity: u64,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        ServiceOptions {
            crash_on: "CRASH-THE-SERVICE".to_owned(),
            capacity: 64,
        }
    }
}

/// A running plain service.
///
/// - `/echo` streams the request's body back as it arrives.
/// - `/slow?ms=N` answers after N milliseconds.
/// - `GET /stand-in/requests` lists the requests received.
/// - Any other path answers with a description of the request.
#[derive(Debug)]
pub struct ServiceServer {
    options: ServiceOptions,
    running: AtomicU64,
    log: RequestLog,
}

impl ServiceServer {
    /// Creates an idle service.
    pub fn new(options: ServiceOptions) -> Arc<Self> {
        Arc::new(ServiceServer {
            options,
            running: AtomicU64::new(0),
            log: RequestLog::default(),
        })
    }

    /// Serves requests until `stop` is cancelled.
    pub async fn run(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) {
        serve(listener, stand_in_limits(), stop, move |request| {
            let server = self.clone();
            async move { server.answer(request).await }
        })
        .await;
    }

    /// Returns the log of the requests received.
    pub fn log(&self) -> &RequestLog {
        &self.log
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<MessageBody> {
        let path = request.uri().path().to_owned();
        let request_id = request.headers().get("x-request-id").cloned();
        let mut response = match path.as_str() {
            "/stand-in/requests" => {
                json_response(StatusCode::OK, &json!({ "requests": self.log.list() }))
            }
            "/healthz" => json_response(StatusCode::OK, &json!({ "ok": true })),
            _ if path.ends_with("/echo") => self.echo(request),
            _ => self.describe(request).await,
        };
        response.headers_mut().extend(self.load_headers());
        if let Some(id) = request_id {
            response.headers_mut().insert("x-request-id", id);
        }
        response
    }

    /// Streams the request's body back while it arrives.
    fn echo(self: &Arc<Self>, request: Request<Incoming>) -> Response<MessageBody> {
        let (head, body) = request.into_parts();
        // The hash is known only at the end of the body; until then it is empty.
        let call = self.open_call(&head, String::new());
        let (sender, answer) = MessageBody::stream();
        tokio::spawn(copy_body(call, body, sender));
        let mut response = Response::new(answer);
        if let Some(kind) = head.headers.get("content-type") {
            response.headers_mut().insert("content-type", kind.clone());
        }
        response
    }

    async fn describe(self: &Arc<Self>, request: Request<Incoming>) -> Response<MessageBody> {
        let (head, body) = request.into_parts();
        let body = match collect_limited(body, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(error) => {
                let error = json!({ "error": error.to_string() });
                return json_response(StatusCode::BAD_REQUEST, &error);
            }
        };
        let body_hash = hash_hex(&body);
        let call = self.open_call(&head, body_hash.clone());
        call.crash_if_triggered(&body);
        if head.uri.path().ends_with("/slow") {
            tokio::time::sleep(requested_delay(head.uri.query().unwrap_or_default())).await;
        }
        call.end(RequestEnd::Done, body.len() as u64);
        let mut names: Vec<&str> = head.headers.keys().map(|it| it.as_str()).collect();
        names.sort_unstable();
        let answer = json!({
            "method": head.method.as_str(),
            "path": head.uri.path(),
            "query": head.uri.query(),
            "headers": names,
            "body_hash": body_hash,
            "body_bytes": body.len(),
            "runs": self.log.runs(call.record),
        });
        json_response(StatusCode::OK, &answer)
    }

    fn open_call(self: &Arc<Self>, head: &http::request::Parts, body_hash: String) -> OpenCall {
        self.running.fetch_add(1, Ordering::Relaxed);
        let record = self.log.add(Arrival {
            method: head.method.as_str(),
            path: head.uri.path_and_query().map_or("", |it| it.as_str()),
            headers: &head.headers,
            body_hash,
            prompt: "",
            resume_from: 0,
        });
        self.log.update(record, |it| it.end = RequestEnd::Running);
        OpenCall {
            server: self.clone(),
            record,
        }
    }

    fn load_headers(&self) -> HeaderMap {
        let running = self.running.load(Ordering::Relaxed);
        let mut headers = HeaderMap::new();
        headers.insert("x-service-running", HeaderValue::from(running));
        let capacity = HeaderValue::from(self.options.capacity);
        headers.insert("x-service-capacity", capacity);
        headers
    }
}

/// A call in progress. If it is dropped before its end, it is logged as cancelled.
#[derive(Debug)]
struct OpenCall {
    server: Arc<ServiceServer>,
    record: u64,
}

impl OpenCall {
    fn end(&self, end: RequestEnd, bytes: u64) {
        self.server.log.update(self.record, |it| {
            it.end = end;
            it.tokens = bytes;
        });
    }

    /// Exits the process if the body contains the crash text. As in a crash, all calls are
    /// cut.
    fn crash_if_triggered(&self, body: &[u8]) {
        let crash_on = self.server.options.crash_on.as_bytes();
        if !crash_on.is_empty() && body.windows(crash_on.len()).any(|it| it == crash_on) {
            std::process::exit(70);
        }
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.server.running.fetch_sub(1, Ordering::Relaxed);
        self.server.log.update(self.record, |it| {
            if it.end == RequestEnd::Running {
                it.end = RequestEnd::Cancelled;
            }
        });
    }
}

async fn copy_body(call: OpenCall, mut body: Incoming, sender: BodySender) {
    let mut hash = Sha256::new();
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        let data = match frame.map(|it| it.into_data()) {
            Ok(Ok(data)) => data,
            Ok(Err(_trailers)) => continue,
            Err(error) => {
                call.end(RequestEnd::Broken, bytes);
                sender.abort(error.to_string()).await;
                return;
            }
        };
        call.crash_if_triggered(&data);
        hash.update(&data);
        bytes += data.len() as u64;
        if !sender.send(data).await {
            return;
        }
    }
    let digest = hex::encode(hash.finalize());
    call.server.log.set_body_hash(call.record, digest);
    call.end(RequestEnd::Done, bytes);
}

fn requested_delay(query: &str) -> Duration {
    let millis = query
        .split('&')
        .find_map(|it| it.strip_prefix("ms="))
        .and_then(|it| it.parse().ok())
        .unwrap_or(0);
    Duration::from_millis(millis).min(MAX_DELAY)
}
