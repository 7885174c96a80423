//! The handling of one generation request.

use std::{sync::Arc, time::Duration};

use comfreyramp_http::{BodySender, Bytes, HeaderValue, MessageBody, Response, StatusCode};
use serde_json::json;
use tokio::sync::mpsc;

use crate::{request_log::RequestEnd, response::json_response};

use super::{
    answer::answer_token,
    api::{AnswerWriter, GenerateRequest, TokenUsage},
    model::QueueFull,
    prompt::PromptBlocks,
    sequence::{EngineEventKind, EngineRequest, SequenceId},
    server::{EngineServer, error_response},
};

/// How long an answer that is to be cut stays open after its last chunk. A cut drops data
/// that isn't flushed yet, so that without this delay a caller would sometimes receive
/// fewer tokens than the fault switch says.
const CUT_DELAY: Duration = Duration::from_millis(20);

/// What the fault switches decide for a request.
enum FaultDecision {
    Serve { break_after: Option<u32> },
    Refuse,
    Fail,
    Hang,
}

/// Answers a request that was read and logged under the index `record`.
pub(crate) async fn answer(
    server: &Arc<EngineServer>,
    request: GenerateRequest,
    record: u64,
    request_id: String,
) -> Response<MessageBody> {
    let log = server.log();
    let break_after = match take_fault_decision(server) {
        FaultDecision::Serve { break_after } => break_after,
        FaultDecision::Refuse => {
            log.reject(record);
            return unavailable("the engine rejects requests");
        }
        FaultDecision::Fail => {
            log.update(record, |it| it.end = RequestEnd::Broken);
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return error_response(status, "engine_failure", "the engine failed");
        }
        FaultDecision::Hang => {
            let _guard = OpenSequence::unsubmitted(server, record);
            log.update(record, |it| it.end = RequestEnd::Running);
            return std::future::pending().await;
        }
    };
    if !server.lock().orders.serves(&request.model) {
        log.reject(record);
        let message = format!("the model {} is not loaded", request.model);
        return error_response(StatusCode::NOT_FOUND, "model_not_found", &message);
    }
    let Ok(sequence) = OpenSequence::submit(server, &request, record, request_id) else {
        log.reject(record);
        return unavailable("the queue is full");
    };
    let run = GenerationRun {
        writer: AnswerWriter::new(&request, record),
        usage: TokenUsage {
            prompt: PromptBlocks::new(&request.whole_prompt).tokens,
            ..TokenUsage::default()
        },
        request,
        sequence,
        break_after,
    };
    if run.request.stream {
        run.into_stream()
    } else {
        run.into_whole().await
    }
}

fn take_fault_decision(server: &EngineServer) -> FaultDecision {
    let mut state = server.lock();
    let faults = &mut state.faults;
    if faults.refuse {
        return FaultDecision::Refuse;
    }
    if faults.fail_next > 0 {
        faults.fail_next -= 1;
        return FaultDecision::Fail;
    }
    if faults.hang {
        return FaultDecision::Hang;
    }
    FaultDecision::Serve {
        break_after: faults.break_stream_after,
    }
}

fn unavailable(message: &str) -> Response<MessageBody> {
    error_response(StatusCode::SERVICE_UNAVAILABLE, "unavailable", message)
}

/// A request that was submitted to the model. Dropping it cancels the request, so that a
/// client that disconnects frees its slot in the batch.
struct OpenSequence {
    server: Arc<EngineServer>,
    record: u64,
    id: Option<SequenceId>,
    events: mpsc::UnboundedReceiver<EngineEventKind>,
}

impl OpenSequence {
    fn submit(
        server: &Arc<EngineServer>,
        request: &GenerateRequest,
        record: u64,
        request_id: String,
    ) -> Result<Self, QueueFull> {
        let id = server.next_id();
        let engine_request = EngineRequest {
            id,
            prompt: PromptBlocks::new(&request.whole_prompt),
            first_token: request.resume_from,
            max_tokens: request.max_tokens,
        };
        let now = server.now();
        let events = server.lock().submit(now, engine_request, request_id)?;
        server.wake();
        Ok(OpenSequence {
            server: server.clone(),
            record,
            id: Some(id),
            events,
        })
    }

    /// Creates a request that is not submitted to the model.
    fn unsubmitted(server: &Arc<EngineServer>, record: u64) -> Self {
        let (_, events) = mpsc::unbounded_channel();
        OpenSequence {
            server: server.clone(),
            record,
            id: None,
            events,
        }
    }

    /// Returns the next event and logs it; `None` if the request was cancelled.
    async fn next(&mut self) -> Option<EngineEventKind> {
        let kind = self.events.recv().await?;
        let log = self.server.log();
        match kind {
            EngineEventKind::Started { .. } => {
                log.update(self.record, |it| it.end = RequestEnd::Running);
            }
            EngineEventKind::Token { .. } => log.update(self.record, |it| it.tokens += 1),
            EngineEventKind::Finished => {}
        }
        Some(kind)
    }

    fn end(&self, end: RequestEnd) {
        self.server.log().update(self.record, |it| it.end = end);
    }
}

impl Drop for OpenSequence {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            let now = self.server.now();
            self.server.lock().cancel(now, id);
            self.server.wake();
        }
        self.server.log().update(self.record, |it| {
            if matches!(it.end, RequestEnd::Queued | RequestEnd::Running) {
                it.end = RequestEnd::Cancelled;
            }
        });
    }
}

/// How the stream of an answer ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RunEnd {
    Finished,
    Cancelled,
    Broken,
    ClientGone,
}

/// A request in progress and the state of its answer.
struct GenerationRun {
    request: GenerateRequest,
    writer: AnswerWriter,
    usage: TokenUsage,
    sequence: OpenSequence,
    break_after: Option<u32>,
}

impl GenerationRun {
    fn into_stream(self) -> Response<MessageBody> {
        let (sender, body) = MessageBody::stream();
        let mut response = Response::new(body);
        let headers = response.headers_mut();
        headers.insert(
            "content-type",
            HeaderValue::from_static("text/event-stream"),
        );
        headers.insert("cache-control", HeaderValue::from_static("no-cache"));
        tokio::spawn(self.write_stream(sender));
        response
    }

    async fn write_stream(mut self, sender: BodySender) {
        let end = self.write_tokens(&sender).await;
        match end {
            RunEnd::Finished => {
                if sender.send(self.closing_events()).await {
                    self.sequence.end(RequestEnd::Done);
                }
            }
            RunEnd::Broken => {
                self.sequence.end(RequestEnd::Broken);
                tokio::time::sleep(CUT_DELAY).await;
                sender.abort("broken by a fault switch").await;
            }
            RunEnd::Cancelled => sender.abort("cancelled").await,
            RunEnd::ClientGone => {}
        }
    }

    async fn write_tokens(&mut self, sender: &BodySender) -> RunEnd {
        loop {
            let event = tokio::select! {
                event = self.sequence.next() => event,
                () = sender.closed() => return RunEnd::ClientGone,
            };
            match event {
                None => return RunEnd::Cancelled,
                Some(EngineEventKind::Finished) => return RunEnd::Finished,
                Some(EngineEventKind::Started { cached_tokens }) => {
                    self.usage.cached = cached_tokens;
                }
                Some(EngineEventKind::Token { index }) => {
                    if self.is_break_due() {
                        return RunEnd::Broken;
                    }
                    let text = answer_token(&self.request.question, index);
                    let event = self.writer.token(&text, self.usage.answer == 0);
                    self.usage.answer += 1;
                    if !sender.send(event).await {
                        return RunEnd::ClientGone;
                    }
                }
            }
        }
    }

    fn closing_events(&self) -> String {
        let mut events = self.writer.end();
        if self.request.include_usage {
            events.push_str(&self.writer.usage(self.usage));
        }
        events.push_str("data: [DONE]\n\n");
        events
    }

    async fn into_whole(mut self) -> Response<MessageBody> {
        let mut text = String::new();
        while let Some(event) = self.sequence.next().await {
            match event {
                EngineEventKind::Started { cached_tokens } => self.usage.cached = cached_tokens,
                EngineEventKind::Token { index } => {
                    if self.is_break_due() {
                        return self.broken_whole(text);
                    }
                    text.push_str(&answer_token(&self.request.question, index));
                    self.usage.answer += 1;
                }
                EngineEventKind::Finished => {
                    self.sequence.end(RequestEnd::Done);
                    return json_response(StatusCode::OK, &self.writer.whole(&text, self.usage));
                }
            }
        }
        let body = json!({ "error": {
            "message": "the request was cancelled",
            "type": "engine_error",
            "param": null,
            "code": "cancelled",
        } });
        json_response(StatusCode::CONFLICT, &body)
    }

    /// Sends the text generated so far and cuts the response before its end.
    fn broken_whole(self, text: String) -> Response<MessageBody> {
        self.sequence.end(RequestEnd::Broken);
        let (sender, body) = MessageBody::stream();
        tokio::spawn(async move {
            sender.send(Bytes::from(text)).await;
            tokio::time::sleep(CUT_DELAY).await;
            sender.abort("broken by a fault switch").await;
        });
        Response::new(body)
    }

    fn is_break_due(&self) -> bool {
        self.break_after.is_some_and(|it| self.usage.answer >= it)
    }
}
