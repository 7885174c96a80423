//! The HTTP server of the engine.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use comfreyramp_http::{
    HeaderMap, HeaderValue, Incoming, MessageBody, Method, Request, Response, StatusCode,
    collect_limited, serve,
};
use comfreyramp_policy::Timestamp;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::Notify};
use tokio_util::sync::CancellationToken;

use crate::{
    process::stand_in_limits,
    request_log::{Arrival, RequestLog, hash_hex},
    response::json_response,
};

use super::{
    api::{AnswerShape, GenerateRequest},
    cache_journal::{CacheJournal, JournalOptions},
    faults::FaultSwitches,
    generate,
    model::{EngineModel, EngineSettings},
    orders::{FencedOrder, OrderTracker},
    sequence::SequenceId,
    state::EngineState,
};

/// The longest request body that is read, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// The size, models and configurable faults of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The size and speed of the engine.
    pub settings: EngineSettings,
    /// The names of the models it serves at first.
    pub models: Vec<String>,
    /// Whether it carries out orders with an outdated fencing number too.
    pub ignores_fencing: bool,
    /// The text of a prompt at which the process exits; empty for none.
    pub crash_on: String,
    /// The lag and the losses of its cache events.
    pub journal: JournalOptions,
}

impl Default for EngineOptions {
    fn default() -> Self {
        EngineOptions {
            settings: EngineSettings::default(),
            models: vec!["demo-model".to_owned()],
            ignores_fencing: false,
            crash_on: "CRASH-THE-ENGINE".to_owned(),
            journal: JournalOptions::default(),
        }
    }
}

/// A running engine.
#[derive(Debug)]
pub struct EngineServer {
    options: EngineOptions,
    started: Instant,
    next_id: AtomicU64,
    state: Mutex<EngineState>,
    driver_wakeup: Notify,
    log: RequestLog,
}

impl EngineServer {
    /// Creates an idle engine.
    pub fn new(options: EngineOptions) -> Arc<Self> {
        let mut orders = OrderTracker {
            ignores_fencing: options.ignores_fencing,
            ..OrderTracker::default()
        };
        for model in &options.models {
            orders.add_model(model.clone());
        }
        let model = EngineModel::new(options.settings);
        let journal = CacheJournal::new(options.journal);
        Arc::new(EngineServer {
            options,
            started: Instant::now(),
            next_id: AtomicU64::new(0),
            state: Mutex::new(EngineState::new(model, journal, orders)),
            driver_wakeup: Notify::new(),
            log: RequestLog::default(),
        })
    }

    /// Serves requests until `stop` is cancelled.
    pub async fn run(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) {
        let driver = self.clone();
        let handler = self.clone();
        let served = serve(listener, stand_in_limits(), stop.clone(), move |request| {
            let server = handler.clone();
            async move { server.answer(request).await }
        });
        tokio::join!(served, driver.drive(stop));
    }

    /// Returns the log of the generation requests received.
    pub fn log(&self) -> &RequestLog {
        &self.log
    }

    /// Returns the time since this engine was created.
    pub(crate) fn now(&self) -> Timestamp {
        let micros = u64::try_from(self.started.elapsed().as_micros());
        Timestamp::from_micros(micros.unwrap_or(u64::MAX))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, EngineState> {
        // A poisoned lock is usable: no code under it leaves the state inconsistent.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the driver task, which then checks when the next event is due.
    pub(crate) fn wake(&self) {
        self.driver_wakeup.notify_one();
    }

    pub(crate) fn next_id(&self) -> SequenceId {
        SequenceId(self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the load report as response headers.
    pub(crate) fn load_headers(&self) -> HeaderMap {
        let settings = &self.options.settings;
        let report = self.lock().model.reported_load(self.now());
        let values = [
            ("x-engine-running", report.running as u64),
            ("x-engine-waiting", report.waiting as u64),
            ("x-engine-batch", settings.batch as u64),
            ("x-engine-queue", settings.queue as u64),
            ("x-engine-tokens", report.tokens),
            ("x-engine-cached-blocks", report.cached_blocks as u64),
            ("x-engine-age-ms", settings.report_lag.as_millis() as u64),
        ];
        let mut headers = HeaderMap::new();
        for (name, value) in values {
            headers.insert(name, HeaderValue::from(value));
        }
        headers
    }

    /// Delivers the model's events when they are due, until `stop` is cancelled.
    async fn drive(&self, stop: CancellationToken) {
        loop {
            let next = self.lock().model.next_event();
            let wait = next.map(|it| it.since(self.now()));
            let due = async {
                match wait {
                    Some(wait) => tokio::time::sleep(wait).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.driver_wakeup.notified() => {}
                () = due => {}
            }
            self.lock().deliver(self.now());
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<MessageBody> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let request_id = request.headers().get("x-request-id").cloned();
        let mut response = match (method, path.as_str()) {
            (Method::POST, "/v1/chat/completions") => {
                self.generate(AnswerShape::Chat, request).await
            }
            (Method::POST, "/v1/completions") => self.generate(AnswerShape::Text, request).await,
            (Method::GET, "/v1/models") => json_response(StatusCode::OK, &self.models_json()),
            (Method::GET, "/healthz") => json_response(StatusCode::OK, &json!({ "ok": true })),
            (Method::GET, "/load") => json_response(StatusCode::OK, &self.load_json()),
            (Method::GET, "/cache-events") => self.cache_events(&request),
            (Method::POST, "/cancel") => self.cancel(request).await,
            (Method::POST, "/orders") => self.order(request).await,
            (Method::GET, "/orders") => json_response(StatusCode::OK, &self.orders_json()),
            (Method::GET, "/stand-in/requests") => {
                json_response(StatusCode::OK, &json!({ "requests": self.log.list() }))
            }
            (Method::GET, "/stand-in/faults") => {
                json_response(StatusCode::OK, &json!(self.lock().faults))
            }
            (Method::PUT, "/stand-in/faults") => self.set_faults(request).await,
            _ => error_response(StatusCode::NOT_FOUND, "not_found", "no such path"),
        };
        response.headers_mut().extend(self.load_headers());
        if let Some(id) = request_id {
            response.headers_mut().insert("x-request-id", id);
        }
        response
    }

    async fn generate(
        self: &Arc<Self>,
        shape: AnswerShape,
        request: Request<Incoming>,
    ) -> Response<MessageBody> {
        let (head, body) = request.into_parts();
        let body = match collect_limited(body, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(error) => return bad_request(&error.to_string()),
        };
        let parsed = GenerateRequest::parse(shape, &body);
        let question = parsed.as_ref().map_or("", |it| it.question.as_str());
        let record = self.log.add(Arrival {
            method: head.method.as_str(),
            path: head.uri.path_and_query().map_or("", |it| it.as_str()),
            headers: &head.headers,
            body_hash: hash_hex(&body),
            prompt: question,
            resume_from: parsed.as_ref().map_or(0, |it| it.resume_from),
        });
        let request = match parsed {
            Ok(request) => request,
            Err(error) => {
                self.log.reject(record);
                return bad_request(&error);
            }
        };
        self.crash_if_triggered(&request.whole_prompt);
        let request_id = head
            .headers
            .get("x-request-id")
            .and_then(|it| it.to_str().ok())
            .unwrap_or_default();
        generate::answer(self, request, record, request_id.to_owned()).await
    }

    /// Exits the process if the prompt contains the crash text. As in a crash, no request
    /// completes and all streams are cut.
    fn crash_if_triggered(&self, prompt: &str) {
        let crash_on = &self.options.crash_on;
        if !crash_on.is_empty() && prompt.contains(crash_on) {
            std::process::exit(70);
        }
    }

    fn cache_events(&self, request: &Request<Incoming>) -> Response<MessageBody> {
        let query = request.uri().query().unwrap_or_default();
        let after = query
            .split('&')
            .find_map(|it| it.strip_prefix("after="))
            .and_then(|it| it.parse().ok())
            .unwrap_or(0);
        let now = self.now();
        let mut state = self.lock();
        state.deliver(now);
        json_response(StatusCode::OK, &state.journal.read_json(now, after))
    }

    async fn cancel(&self, request: Request<Incoming>) -> Response<MessageBody> {
        #[derive(Deserialize)]
        struct CancelBody {
            request_id: String,
        }
        match read_json::<CancelBody>(request).await {
            Err(error) => bad_request(&error),
            Ok(body) => {
                let count = self.lock().cancel_named(self.now(), &body.request_id);
                self.wake();
                json_response(StatusCode::OK, &json!({ "cancelled": count }))
            }
        }
    }

    async fn order(&self, request: Request<Incoming>) -> Response<MessageBody> {
        let FencedOrder { fence, order } = match read_json(request).await {
            Ok(order) => order,
            Err(error) => return bad_request(&error),
        };
        match self.lock().orders.apply(fence, order) {
            Ok(()) => json_response(StatusCode::OK, &json!({ "fence": fence })),
            Err(stale) => error_response(
                StatusCode::CONFLICT,
                "stale_fence",
                &format!("fence {fence} is older than {}", stale.highest),
            ),
        }
    }

    async fn set_faults(&self, request: Request<Incoming>) -> Response<MessageBody> {
        let faults: FaultSwitches = match read_json(request).await {
            Ok(faults) => faults,
            Err(error) => return bad_request(&error),
        };
        if !(faults.slow.is_finite() && faults.slow > 0.0) {
            return bad_request("slow: must be a factor above 0");
        }
        let mut state = self.lock();
        state.faults = faults;
        state.model.set_slowdown(faults.slow);
        json_response(StatusCode::OK, &json!(faults))
    }

    fn models_json(&self) -> Value {
        let state = self.lock();
        let models = state.orders.models.iter();
        let data: Vec<Value> = models
            .map(|it| json!({ "id": it, "object": "model", "created": 0, "owned_by": "stand-in" }))
            .collect();
        json!({ "object": "list", "data": data })
    }

    fn load_json(&self) -> Value {
        let settings = &self.options.settings;
        let report = self.lock().model.reported_load(self.now());
        json!({
            "running": report.running,
            "waiting": report.waiting,
            "batch": settings.batch,
            "queue": settings.queue,
            "tokens": report.tokens,
            "cached_blocks": report.cached_blocks,
            "age_ms": settings.report_lag.as_millis() as u64,
        })
    }

    fn orders_json(&self) -> Value {
        let state = self.lock();
        let orders = &state.orders;
        json!({ "highest": orders.highest, "role": orders.role, "applied": orders.applied })
    }
}

async fn read_json<T: for<'de> Deserialize<'de>>(request: Request<Incoming>) -> Result<T, String> {
    let body = collect_limited(request.into_body(), MAX_BODY_BYTES).await;
    let body = body.map_err(|it| it.to_string())?;
    serde_json::from_slice(&body).map_err(|it| it.to_string())
}

pub(crate) fn error_response(
    status: StatusCode,
    code: &str,
    message: &str,
) -> Response<MessageBody> {
    let error = json!({ "message": message, "type": "engine_error", "param": null, "code": code });
    json_response(status, &json!({ "error": error }))
}

fn bad_request(message: &str) -> Response<MessageBody> {
    error_response(StatusCode::BAD_REQUEST, "invalid_request", message)
}
