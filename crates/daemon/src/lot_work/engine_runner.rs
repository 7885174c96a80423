//! Runs single items of lots on engines.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use comfreyramp_http::{
    Bytes, CallError, EventSplitter, HeaderValue, Incoming, MessageBody, Method, Request, Response,
    StatusCode, collect_limited, event_data, header,
};
use comfreyramp_lots::{ItemOutcome, ItemRequest, ItemRunner};
use comfreyramp_policy::ServerOutcome;
use http_body_util::BodyExt;
use serde_json::{Map, Value, json, value::RawValue};
use tokio_util::sync::CancellationToken;

use super::{
    BulkSlot,
    answer_builder::{AnswerBuilder, AnswerShape},
};
use crate::{
    attempts::is_rejected,
    event_stream::{EventKind, classify_event},
    metrics::ServedClass,
    server_pool::read_report,
    shared::SharedState,
};

/// The maximum size in bytes of an item's answer that isn't streamed.
const ANSWER_LIMIT: usize = 512 * 1024;
/// The maximum wait for an answer to begin, and between two of its pieces. Bulk
/// work may wait long in a full batch, but an engine that is this slow is hung.
const MAX_GAP: Duration = Duration::from_secs(60);
/// The timeout of the health check after a broken connection.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Request fields whose answers can't be assembled from a stream of plain text.
const UNSTREAMABLE_FIELDS: [&str; 6] = [
    "n",
    "best_of",
    "tools",
    "functions",
    "logprobs",
    "response_format",
];

type Outcome = ItemOutcome<AnswerBuilder>;

/// Runs items on the engines for which the bulk limiters granted slots.
#[derive(Debug)]
pub(super) struct EngineRunner {
    state: Arc<SharedState>,
    next_run: AtomicU64,
}

impl EngineRunner {
    pub(super) fn new(state: Arc<SharedState>) -> Self {
        EngineRunner {
            state,
            next_run: AtomicU64::new(0),
        }
    }

    /// Sends the item and reads its answer.
    async fn answer(&self, run: &mut ItemRun) -> Outcome {
        let Some(request) = run.request() else {
            return run.failed("invalid_body", "the body is not a JSON object");
        };
        let response = match self.state.client.send_within(MAX_GAP, request).await {
            Ok(response) => response,
            Err(error) => return self.call_failed(run, &error).await,
        };
        let server = &run.slot.server;
        server.note_report(response.headers());
        if let Some(report) = read_report(response.headers()) {
            let now = self.state.clock.now();
            self.state.bulk_limiters.note_report(server.id, report, now);
        }
        if !response.status().is_success() || !run.is_stream {
            return self.complete_answer(run, response).await;
        }
        self.streamed_answer(run, response.into_body()).await
    }

    async fn call_failed(&self, run: &ItemRun, error: &CallError) -> Outcome {
        let server = &run.slot.server;
        match error {
            CallError::NotSent(_) => server.note_outcome(ServerOutcome::ConnectFailed),
            CallError::Broken(_) | CallError::TimedOut(_) => {
                server.note_outcome(ServerOutcome::Broken);
            }
            CallError::OtherRequest | CallError::InvalidHead(_) => {
                server.note_refused_answer(&run.request_id, error);
            }
        }
        match error {
            CallError::Broken(_) => self.broken(run).await,
            CallError::NotSent(_) | CallError::OtherRequest => ItemOutcome::Inconclusive {
                message: error.to_string(),
            },
            CallError::TimedOut(_) | CallError::InvalidHead(_) => ItemOutcome::ServerFault {
                message: error.to_string(),
            },
        }
    }

    /// Classifies a connection that broke while the item ran. If the server is
    /// gone too, the item may have crashed it.
    async fn broken(&self, run: &ItemRun) -> Outcome {
        let server = &run.slot.server;
        let request = Request::builder()
            .uri(format!("http://{}/healthz", server.address))
            .body(MessageBody::empty());
        let message = format!("{} broke the connection", server.name);
        let Ok(request) = request else {
            return ItemOutcome::ServerFault { message };
        };
        match self
            .state
            .client
            .send_within(HEALTH_CHECK_TIMEOUT, request)
            .await
        {
            Err(CallError::NotSent(_)) => ItemOutcome::ServerCrash {
                message: format!("{} is gone", server.name),
            },
            _ => ItemOutcome::ServerFault { message },
        }
    }

    async fn complete_answer(&self, run: &ItemRun, response: Response<Incoming>) -> Outcome {
        let status = response.status();
        let body = collect_limited(response.into_body(), ANSWER_LIMIT);
        let Ok(Ok(body)) = tokio::time::timeout(MAX_GAP, body).await else {
            run.slot.server.note_outcome(ServerOutcome::Broken);
            return self.broken(run).await;
        };
        let fault = status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS;
        run.slot.server.note_outcome(match fault {
            true => ServerOutcome::Broken,
            false => ServerOutcome::Ok,
        });
        if is_rejected(status) {
            let message = format!("{} answered {status}", run.slot.server.name);
            return ItemOutcome::Inconclusive { message };
        }
        let text = String::from_utf8_lossy(&body).into_owned();
        let Ok(raw) = RawValue::from_string(text) else {
            let message = format!("{status} with a body that is not JSON");
            return ItemOutcome::ServerFault { message };
        };
        let tokens = serde_json::from_slice::<Value>(&body)
            .ok()
            .and_then(|it| it["usage"]["completion_tokens"].as_u64());
        ItemOutcome::Done {
            status: status.as_u16(),
            request_id: run.request_id.clone(),
            body: raw,
            tokens: tokens.and_then(|it| it.try_into().ok()).unwrap_or(0),
        }
    }

    async fn streamed_answer(&self, run: &mut ItemRun, mut body: Incoming) -> Outcome {
        let mut splitter = EventSplitter::default();
        loop {
            let frame = tokio::time::timeout(MAX_GAP, body.frame()).await;
            let Ok(Some(Ok(frame))) = frame else {
                run.slot.server.note_outcome(ServerOutcome::Broken);
                return self.broken(run).await;
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if splitter.push(&data).is_err() {
                return run.failed("answer_too_large", "an event of the answer is too long");
            }
            while let Some(event) = splitter.next_event() {
                match classify_event(&event) {
                    EventKind::Done => return run.finish(),
                    EventKind::Error => {
                        let message = "the engine reported an error".to_owned();
                        return ItemOutcome::ServerFault { message };
                    }
                    EventKind::Token | EventKind::Other => {
                        run.builder.take(event_data(&event).unwrap_or_default());
                    }
                }
            }
        }
    }
}

impl ItemRunner for EngineRunner {
    type Slot = BulkSlot;
    type Resume = AnswerBuilder;

    async fn run(
        &self,
        item_request: ItemRequest<AnswerBuilder>,
        slot: BulkSlot,
        stop: CancellationToken,
    ) -> Outcome {
        let started_at = self.state.clock.now();
        let customer = item_request.customer.clone();
        let preempt = slot.stop.clone();
        let number = self.next_run.fetch_add(1, Ordering::Relaxed);
        let mut run = ItemRun::new(item_request, slot, number);
        let outcome = tokio::select! {
            biased;
            () = stop.cancelled() => Some(ItemOutcome::Cancelled),
            () = preempt.cancelled() => None,
            outcome = self.answer(&mut run) => Some(outcome),
        };
        let whole = self.state.clock.now().since(started_at);
        self.state
            .metrics
            .observe_duration(&customer, ServedClass::Bulk, whole);
        outcome.unwrap_or_else(|| run.preempted())
    }
}

/// An item that is running.
struct ItemRun {
    item_request: ItemRequest<AnswerBuilder>,
    /// The id of the request. Each run has its own, so that a late answer to an earlier run, or
    /// to a probe in its place, isn't taken for the answer to this one.
    request_id: String,
    slot: BulkSlot,
    builder: AnswerBuilder,
    resumed_at: u32,
    is_stream: bool,
}

impl ItemRun {
    fn new(mut item_request: ItemRequest<AnswerBuilder>, slot: BulkSlot, number: u64) -> Self {
        let builder = item_request.resume.take().unwrap_or_default();
        ItemRun {
            request_id: format!("{}.{number}", item_request.id),
            resumed_at: builder.tokens,
            builder,
            item_request,
            slot,
            is_stream: true,
        }
    }

    fn request(&mut self) -> Option<Request<MessageBody>> {
        let body = self.body()?;
        let uri = format!(
            "http://{}{}",
            self.slot.server.address, self.item_request.endpoint
        );
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(uri)
            .body(MessageBody::from(body))
            .ok()?;
        let headers = request.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        headers.insert("x-request-id", self.request_id.parse().ok()?);
        Some(request)
    }

    /// Returns the item's body. It requests a stream where the answer can be
    /// assembled from one, since a stream can be stopped and resumed.
    fn body(&mut self) -> Option<Bytes> {
        let mut fields: Map<String, Value> =
            serde_json::from_slice(&self.item_request.body).ok()?;
        self.is_stream = !UNSTREAMABLE_FIELDS
            .iter()
            .any(|it| fields.contains_key(*it));
        if self.is_stream {
            fields.insert("stream".to_owned(), true.into());
            let options = json!({ "include_usage": true });
            fields.insert("stream_options".to_owned(), options);
            if self.resumed_at > 0 {
                fields.insert("resume_from".to_owned(), self.resumed_at.into());
            }
        }
        serde_json::to_vec(&fields).ok().map(Bytes::from)
    }

    fn tokens(&self) -> u32 {
        self.builder.tokens.saturating_sub(self.resumed_at)
    }

    fn finish(&mut self) -> Outcome {
        self.slot.server.note_outcome(ServerOutcome::Ok);
        let tokens = self.tokens();
        let builder = std::mem::take(&mut self.builder);
        match builder.finish(AnswerShape::of(&self.item_request.endpoint)) {
            Some(body) => ItemOutcome::Done {
                status: StatusCode::OK.as_u16(),
                request_id: self.request_id.clone(),
                body,
                tokens,
            },
            None => ItemOutcome::ServerFault {
                message: "the stream contained no answer".to_owned(),
            },
        }
    }

    fn failed(&self, code: &str, message: &str) -> Outcome {
        ItemOutcome::Failed {
            code: code.to_owned(),
            message: message.to_owned(),
        }
    }

    fn preempted(self) -> Outcome {
        ItemOutcome::Preempted {
            tokens: self.tokens(),
            resume: self.is_stream.then_some(self.builder),
        }
    }
}
