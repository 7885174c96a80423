//! The server behind HTTP.

use std::{
    net::SocketAddr,
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
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::{kv::KvState, process::stand_in_limits};

/// The longest body that is read.
const MAX_BODY_BYTES: usize = 16 << 20;

/// What a server answers with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerKind {
    /// A stream of events. A whole one takes 40 ms where the request's body reads
    /// `takes 40`.
    Engine {
        /// How many events a whole answer has.
        events: u64,
        /// The pause before each, where the body doesn't ask for another.
        pause: Duration,
    },
    /// The request's body; one that reads `takes 40` after 40 ms.
    Plain,
}

/// What a server is.
#[derive(Clone, Debug)]
pub struct RunnerOptions {
    /// Its id in the store.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// What it answers with.
    pub kind: RunnerKind,
}

/// A request that arrived.
#[derive(Clone, Debug)]
pub struct RunnerArrival {
    /// When it arrived.
    pub at: Instant,
    /// Its id.
    pub request_id: String,
    /// Its path.
    pub path: String,
    /// All of its headers.
    pub headers: HeaderMap,
    /// Whether it ran.
    pub ran: bool,
}

/// A running server.
#[derive(Debug)]
pub struct RunnerServer {
    options: RunnerOptions,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where its entry says that it listens.
    published_address: Mutex<SocketAddr>,
    arrivals: Mutex<Vec<RunnerArrival>>,
    is_full: AtomicBool,
    break_after: AtomicU32,
}

impl RunnerServer {
    /// Starts a server and registers it.
    ///
    /// # Errors
    ///
    /// Fails if there is no free port.
    pub async fn start(
        options: RunnerOptions,
        store: &KvState,
        stop: CancellationToken,
    ) -> anyhow::Result<Arc<RunnerServer>> {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let server = Arc::new(RunnerServer {
            address,
            published_address: Mutex::new(address),
            options,
            arrivals: Mutex::default(),
            is_full: AtomicBool::new(false),
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

    /// Has its entry say that it listens elsewhere, as behind a link.
    pub fn show_at(&self, address: SocketAddr, store: &KvState) {
        *self
            .published_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = address;
        self.register(store, "ready");
    }

    /// Writes its entry with a state.
    pub fn register(&self, store: &KvState, state: &str) {
        let address = *self
            .published_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let entry = json!({
            "service": self.options.service, "address": address.to_string(),
            "zone": self.options.zone, "version": "v1", "slots": 8, "state": state,
            "cold_left_ms": 0, "seq": 0, "born": 1,
        });
        let key = format!("servers/{}", self.options.id);
        store.put(&key, entry.to_string().as_bytes());
    }

    /// Turns requests away without running them.
    pub fn set_full(&self, is_full: bool) {
        self.is_full.store(is_full, Ordering::SeqCst);
    }

    /// Breaks the next answer off after so many events.
    pub fn break_next(&self, events: u32) {
        self.break_after.store(events, Ordering::SeqCst);
    }

    /// What arrived so far.
    pub fn arrivals(&self) -> Vec<RunnerArrival> {
        self.arrivals
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<MessageBody> {
        let (head, body) = request.into_parts();
        let body = collect_limited(body, MAX_BODY_BYTES)
            .await
            .unwrap_or_default();
        let text = |name: &str| {
            let value = head.headers.get(name).and_then(|it| it.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let request_id = text("x-request-id");
        let is_expected = text("x-expect-instance") == self.options.id;
        let is_full = self.is_full.load(Ordering::SeqCst);
        let arrival = RunnerArrival {
            at: Instant::now(),
            request_id: request_id.clone(),
            path: head.uri.path().to_owned(),
            headers: head.headers.clone(),
            ran: is_expected && !is_full,
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
        } else if body.as_ref() == b"impossible" {
            *answer.status_mut() = StatusCode::UNPROCESSABLE_ENTITY;
        } else if body.as_ref() == b"fails" {
            *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        } else {
            match self.options.kind {
                RunnerKind::Plain => {
                    tokio::time::sleep(requested_duration(&body).unwrap_or_default()).await;
                    *answer.body_mut() = MessageBody::from(body);
                }
                RunnerKind::Engine { events, pause } => {
                    let (sender, stream) = MessageBody::stream();
                    *answer.body_mut() = stream;
                    let pause = requested_duration(&body).map_or(pause, |it| it / events as u32);
                    let after = text("last-event-id").parse().unwrap_or(0);
                    let break_after = self.break_after.swap(u32::MAX, Ordering::SeqCst);
                    tokio::spawn(send_events(sender, after, events, pause, break_after));
                }
            }
            set_header(&mut answer, "x-response-signature", &self.options.id);
        }
        set_header(&mut answer, "x-request-id", &request_id);
        set_header(&mut answer, "x-server-load", "1,0,8");
        answer
    }
}

/// The work that a body asks for.
fn requested_duration(body: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(body).ok()?;
    let millis = text.strip_prefix("takes ")?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

fn set_header(answer: &mut Response<MessageBody>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        answer.headers_mut().insert(name, value);
    }
}

async fn send_events(
    sender: BodySender,
    after: u64,
    events: u64,
    pause: Duration,
    break_after: u32,
) {
    for (sent, id) in (after + 1..=events).enumerate() {
        if sent as u32 == break_after {
            // In the middle of an event, as a crash would.
            sender.send(format!("id: {id}\nda")).await;
            return sender.cut_short("the server breaks off").await;
        }
        tokio::time::sleep(pause).await;
        if !sender.send(format!("id: {id}\ndata: word {id}\n\n")).await {
            return;
        }
    }
}
