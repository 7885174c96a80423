//! The HTTP server that stands in for a backend server.

use std::{
    net::SocketAddr,
    ops::RangeInclusive,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use comfreyramp_http::{
    BodySender, HeaderMap, HeaderValue, Incoming, MessageBody, Request, Response, StatusCode, bind,
    collect_limited, serve,
};
use http::Version;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::{
    requested_stream::RequestedStream,
    state_report::{REPORT_PATH, state_report},
};
use crate::{kv::KvState, process::stand_in_limits};

/// The longest request body that is read, in bytes; a longer one is taken as empty.
const MAX_BODY_BYTES: usize = 16 << 20;
/// How long the part of an event that precedes a cut has to be sent.
const CUT_DELAY: Duration = Duration::from_millis(5);

/// The kind of responses that a server sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendKind {
    /// A stream of events. The request's body may set its duration and the text of the
    /// events; see [`RequestedStream`].
    Engine {
        /// The number of events in a complete response.
        events: u64,
        /// The delay before each event, unless the request's body sets the duration of the
        /// stream.
        event_interval: Duration,
    },
    /// The request's body is sent back; after 40 ms if it is `takes 40`.
    Plain,
}

/// The identity and the kind of a server.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// Its id, under which it registers in the store.
    pub id: String,
    /// The name of the service it belongs to.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// The kind of responses it sends.
    pub kind: BackendKind,
}

/// The software version and the run of a server's process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerIdentity {
    /// The version of its software.
    pub version: String,
    /// When it started, in Unix milliseconds.
    pub born: u64,
}

impl Default for ServerIdentity {
    fn default() -> Self {
        ServerIdentity {
            version: "v1".to_owned(),
            born: 1,
        }
    }
}

/// What crashes the server.
#[derive(Clone, Debug, PartialEq, Eq)]
enum CrashCause {
    /// A part of prompts, other than as their last.
    Part(String),
    /// The body of a request.
    Body(Vec<u8>),
}

/// Requests that crash the server.
#[derive(Clone, Debug)]
struct CrashingRequest {
    cause: CrashCause,
    /// The number of events that are sent before the crash.
    after_events: u64,
    store: Arc<KvState>,
}

/// A request that a server received.
#[derive(Clone, Debug)]
pub struct BackendArrival {
    /// The time of arrival.
    pub at: Instant,
    /// The `x-request-id` header; empty if there is none.
    pub request_id: String,
    /// The path, without the query string.
    pub path: String,
    /// All headers.
    pub headers: HeaderMap,
    /// Whether the server ran it: it was addressed to this server, which was not full.
    pub ran: bool,
    /// The version of the server's software.
    pub version: String,
}

impl BackendArrival {
    /// Returns whether the request resumes a stream after an event.
    pub fn resumes(&self) -> bool {
        self.headers.contains_key("last-event-id")
    }
}

/// A running server.
#[derive(Debug)]
pub struct BackendServer {
    options: BackendOptions,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The address in its store entry, which differs from the own one behind a link.
    published_address: Mutex<SocketAddr>,
    identity: Mutex<ServerIdentity>,
    crashing: Mutex<Option<CrashingRequest>>,
    /// The number of crashes so far. Each ends all streams.
    crashes: watch::Sender<u32>,
    arrivals: Mutex<Vec<BackendArrival>>,
    is_full: AtomicBool,
    is_failing: AtomicBool,
    ends_with_connection: AtomicBool,
    break_after: AtomicU32,
}

impl BackendServer {
    /// Starts a server and registers it in the store as ready.
    ///
    /// # Errors
    ///
    /// Fails if there is no free port.
    pub async fn start(
        options: BackendOptions,
        store: &KvState,
        stop: CancellationToken,
    ) -> anyhow::Result<Arc<BackendServer>> {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let server = Arc::new(BackendServer {
            address,
            published_address: Mutex::new(address),
            options,
            identity: Mutex::default(),
            crashing: Mutex::default(),
            crashes: watch::Sender::new(0),
            arrivals: Mutex::default(),
            is_full: AtomicBool::new(false),
            is_failing: AtomicBool::new(false),
            ends_with_connection: AtomicBool::new(false),
            break_after: AtomicU32::new(u32::MAX),
        });
        server.register(store, "ready");
        let shared = server.clone();
        tokio::spawn(serve(listener, stand_in_limits(), stop, move |request| {
            let server = shared.clone();
            async move { server.answer(request).await }
        }));
        Ok(server)
    }

    /// Registers the server under another address, such as that of a fault link in front
    /// of it.
    pub fn set_published_address(&self, address: SocketAddr, store: &KvState) {
        *self
            .published_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = address;
        self.register(store, "ready");
    }

    /// Returns the version and the run of the server.
    pub fn identity(&self) -> ServerIdentity {
        let identity = self.identity.lock().unwrap_or_else(PoisonError::into_inner);
        identity.clone()
    }

    /// Sets the version and the run of the server, as a restart with other software does. Its
    /// store entry shows them once it is written again.
    pub fn set_identity(&self, version: &str, born: u64) {
        let identity = ServerIdentity {
            version: version.to_owned(),
            born,
        };
        *self.identity.lock().unwrap_or_else(PoisonError::into_inner) = identity;
    }

    /// Writes its store entry with a state, such as `ready`.
    pub fn register(&self, store: &KvState, state: &str) {
        self.register_cold(store, state, &json!(0));
    }

    /// Writes its store entry with a state and the milliseconds for which it stays cold.
    pub fn register_cold(&self, store: &KvState, state: &str, cold_left_ms: &Value) {
        let address = *self
            .published_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let ServerIdentity { version, born } = self.identity();
        let entry = json!({
            "service": self.options.service, "address": address.to_string(),
            "zone": self.options.zone, "version": version, "slots": 8, "state": state,
            "cold_left_ms": cold_left_ms, "seq": 0, "born": born,
        });
        let key = format!("servers/{}", self.options.id);
        store.put(&key, entry.to_string().as_bytes());
    }

    /// Sets whether the server is full: it then rejects requests with 503 and `x-not-run`,
    /// without running them.
    pub fn set_full(&self, is_full: bool) {
        self.is_full.store(is_full, Ordering::SeqCst);
    }

    /// Sets whether the server answers each request with status 500 at once. Its state report
    /// stays that of a healthy server.
    pub fn set_failing(&self, is_failing: bool) {
        self.is_failing.store(is_failing, Ordering::SeqCst);
    }

    /// Sets whether streams of events have no chunks, so that they end with their
    /// connections, as those of a server of HTTP/1.0 do.
    pub fn set_ends_with_connection(&self, ends_with_connection: bool) {
        self.ends_with_connection
            .store(ends_with_connection, Ordering::SeqCst);
    }

    /// Cuts the next stream of events after this many events.
    pub fn cut_next_stream(&self, events: u32) {
        self.break_after.store(events, Ordering::SeqCst);
    }

    /// Lets the server crash after so many events of each answer to a request that has this
    /// part in its prompt, other than as its last. It is back at once, in another run, and
    /// registers in the store.
    pub fn set_crashing_part(&self, id: &str, after_events: u64, store: Arc<KvState>) {
        self.set_crashing(CrashCause::Part(id.to_owned()), after_events, store);
    }

    /// The same for each answer to a request with this body.
    pub fn set_crashing_body(&self, body: &[u8], after_events: u64, store: Arc<KvState>) {
        self.set_crashing(CrashCause::Body(body.to_vec()), after_events, store);
    }

    fn set_crashing(&self, cause: CrashCause, after_events: u64, store: Arc<KvState>) {
        let request = CrashingRequest {
            cause,
            after_events,
            store,
        };
        let mut crashing = self.crashing.lock().unwrap_or_else(PoisonError::into_inner);
        *crashing = Some(request);
    }

    /// Returns the number of crashes so far.
    pub fn crashes(&self) -> u32 {
        *self.crashes.borrow()
    }

    /// Ends all streams, as a crash of the server does, and registers the next run.
    pub fn crash(&self, store: &KvState) {
        let ServerIdentity { version, born } = self.identity();
        self.set_identity(&version, born + 1);
        self.crashes.send_modify(|it| *it += 1);
        self.register(store, "ready");
    }

    /// Returns how a request with this prompt and body crashes the server, if it does.
    fn crash_of(&self, prompt: &str, body: &[u8]) -> Option<CrashingRequest> {
        let crashing = self.crashing.lock().unwrap_or_else(PoisonError::into_inner);
        let request = crashing.clone()?;
        let crashes = match &request.cause {
            CrashCause::Body(crashing) => crashing == body,
            CrashCause::Part(part) => {
                let mut ids = prompt.split(',').map(|it| it.split(':').next());
                ids.next_back();
                ids.any(|it| it == Some(part))
            }
        };
        crashes.then_some(request)
    }

    /// Returns the requests received so far.
    pub fn arrivals(&self) -> Vec<BackendArrival> {
        self.arrivals
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<MessageBody> {
        let (head, body) = request.into_parts();
        let ServerIdentity { version, born } = self.identity();
        if head.uri.path() == REPORT_PATH {
            let mut answer = Response::new(MessageBody::from(state_report(born).into_bytes()));
            set_header(&mut answer, "content-type", "application/json");
            return answer;
        }
        let body = collect_limited(body, MAX_BODY_BYTES)
            .await
            .unwrap_or_default();
        let text = |name: &str| {
            let value = head.headers.get(name).map(|it| it.as_bytes());
            String::from_utf8_lossy(value.unwrap_or_default()).into_owned()
        };
        let request_id = text("x-request-id");
        let is_expected = text("x-expect-instance") == self.options.id;
        let is_full = self.is_full.load(Ordering::SeqCst);
        let arrival = BackendArrival {
            at: Instant::now(),
            request_id: request_id.clone(),
            path: head.uri.path().to_owned(),
            headers: head.headers.clone(),
            ran: is_expected && !is_full,
            version,
        };
        self.arrivals
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(arrival);
        let mut answer = Response::new(MessageBody::empty());
        if !is_expected {
            *answer.status_mut() = StatusCode::MISDIRECTED_REQUEST;
        } else if is_full {
            *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            set_header(&mut answer, "x-not-run", "1");
        } else if self.is_failing.load(Ordering::SeqCst) {
            *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        } else if body.as_ref() == b"impossible" {
            *answer.status_mut() = StatusCode::UNPROCESSABLE_ENTITY;
        } else if body.as_ref() == b"out of time" {
            *answer.status_mut() = StatusCode::GATEWAY_TIMEOUT;
        } else if body.as_ref() == b"fails" {
            *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        } else {
            match self.options.kind {
                BackendKind::Plain => {
                    let duration = RequestedStream::parse(&body).duration;
                    tokio::time::sleep(duration.unwrap_or_default()).await;
                    *answer.body_mut() = MessageBody::from(body);
                }
                BackendKind::Engine {
                    events,
                    event_interval: pause,
                } => {
                    let (sender, stream) = MessageBody::stream();
                    *answer.body_mut() = stream;
                    if self.ends_with_connection.load(Ordering::SeqCst) {
                        *answer.version_mut() = Version::HTTP_10;
                    }
                    let requested = RequestedStream::parse(&body);
                    let pause = requested.duration.map_or(pause, |it| it / events as u32);
                    let after = text("last-event-id").parse().unwrap_or(0);
                    let break_after = self.break_after.swap(u32::MAX, Ordering::SeqCst);
                    let ids = after + 1..=events;
                    let crashing = self.crash_of(&text("x-prompt-prefix"), &body);
                    let mut crashes = self.crashes.subscribe();
                    let server = self.clone();
                    tokio::spawn(async move {
                        let crash = async {
                            let Some(part) = crashing else {
                                return std::future::pending().await;
                            };
                            let written = pause.mul_f64(part.after_events as f64 + 0.5);
                            tokio::time::sleep(written).await;
                            server.crash(&part.store);
                        };
                        let sending = send_events(&sender, requested, ids, pause, break_after);
                        let break_reason = tokio::select! {
                            break_reason = sending => break_reason,
                            () = crash => Some("the server crashes"),
                            _ = crashes.changed() => Some("the server has crashed"),
                        };
                        if let Some(reason) = break_reason {
                            sender.abort(reason).await;
                        }
                    });
                }
            }
            set_header(&mut answer, "x-response-signature", &self.options.id);
        }
        set_header(&mut answer, "x-request-id", &request_id);
        set_header(&mut answer, "x-server-load", "1,0,8");
        answer
    }
}

fn set_header(answer: &mut Response<MessageBody>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
        answer.headers_mut().insert(name, value);
    }
}

/// Sends events, and returns why the stream has to be broken off, if it has.
async fn send_events(
    sender: &BodySender,
    requested: RequestedStream,
    ids: RangeInclusive<u64>,
    pause: Duration,
    break_after: u32,
) -> Option<&'static str> {
    for (sent, id) in ids.enumerate() {
        if sent as u32 == break_after {
            // The stream is cut in the middle of an event, as a crash of the server would do.
            sender.send(format!("id: {id}\nda")).await;
            tokio::time::sleep(CUT_DELAY).await;
            return Some("the server cuts the stream");
        }
        tokio::time::sleep(pause).await;
        if !sender.send(requested.event(id)).await {
            return None;
        }
    }
    None
}
