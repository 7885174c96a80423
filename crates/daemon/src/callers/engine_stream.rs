//! Streamed answers, which are resumed on another engine when their engine
//! fails.

use std::{sync::Arc, time::Duration};

use comfreyramp_http::{
    BodySender, Bytes, ErrorAnswer, EventScanner, EventSplitter, Incoming, MessageBody, Response,
    RunState, header,
};
use comfreyramp_policy::{ServerOutcome, Timestamp};
use http_body_util::BodyExt;

use super::{
    Answer,
    caller::{key_withdrawn, withdrawn_answer},
    engine_call::{EngineCall, read_whole, send_attempt},
    forwarded::returned_headers,
};
use crate::{
    attempts::{AttemptFailure, AttemptLog},
    claims::AnswerCopy,
    event_stream::{EventKind, classify_event},
    metrics::ServedClass,
    server_pool::ChosenServer,
    shared::SharedState,
    traces::TraceStep,
};

/// The maximum time between two tokens, after which an engine counts as hung.
const MAX_TOKEN_GAP: Duration = Duration::from_secs(5);

/// Handles a streamed request.
///
/// The head of an answer is awaited before the response begins, so that a
/// rejected request still gets a proper status. From then on a separate task
/// forwards the events.
pub(super) async fn answer(
    state: &Arc<SharedState>,
    call: EngineCall,
    mut log: AttemptLog,
) -> Answer {
    let (server, upstream) = loop {
        let failure = match send_attempt(state, &call, call.body.clone(), &mut log).await {
            Ok((server, upstream)) if upstream.status().is_success() => break (server, upstream),
            // A refusal isn't a stream of events.
            Ok((server, upstream)) => match read_whole(state, &call, &server, upstream).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            },
            Err(failure) => failure,
        };
        state.after_failure(&mut log, failure)?;
    };
    let (sender, body) = MessageBody::stream();
    let mut response = Response::new(body);
    *response.status_mut() = upstream.status();
    let mut headers = returned_headers(upstream.headers());
    // The stream may go on at another engine, and then has another length.
    headers.remove(header::CONTENT_LENGTH);
    *response.headers_mut() = headers;
    let copy = call.claim.as_ref().map(|_| {
        let headers = response.headers().clone();
        AnswerCopy::new(response.status(), headers)
    });
    let forwarder = StreamForwarder {
        state: state.clone(),
        copy,
        last_token: call.caller.arrived,
        call,
        log,
    };
    tokio::spawn(forwarder.run(server, upstream, sender));
    Ok(response)
}

/// Forwards the events of one answer to its caller.
#[derive(Debug)]
struct StreamForwarder {
    state: Arc<SharedState>,
    call: EngineCall,
    log: AttemptLog,
    /// A copy of what the caller received, if it must be stored for resends.
    copy: Option<AnswerCopy>,
    last_token: Timestamp,
}

/// How a stream from one engine ended.
enum StreamEnd {
    /// The complete answer was forwarded.
    Done,
    /// The caller disconnected.
    CallerGone,
    /// The connection broke, or the engine hung or reported an error.
    Broken,
    /// The request's deadline passed.
    TimedOut,
}

impl StreamForwarder {
    async fn run(mut self, server: ChosenServer, upstream: Response<Incoming>, sender: BodySender) {
        let state = self.state.clone();
        let caller = self.call.caller.clone();
        let withdrawn = key_withdrawn(&state, &caller);
        let problem = tokio::select! {
            problem = self.forward(server, upstream, &sender) => problem,
            () = withdrawn => Some(withdrawn_answer().ran(RunState::Partly)),
            () = sender.closed() => None,
        };
        let tokens = self.call.rank.prompt_tokens() + f64::from(self.log.delivered);
        state.charge_tokens(&self.call.group, &self.call.rank, tokens);
        if let Some(problem) = problem {
            caller.trace.add_refused(&problem, state.clock.now());
            state
                .metrics
                .count_refusal(&caller.customer.name, problem.code);
            // The stream ends without `[DONE]`, after an event that client
            // libraries raise as an error. Breaking the connection instead
            // would lose that event.
            sender
                .send(format!("data: {}\n\n", problem.to_json()))
                .await;
        }
        let now = state.clock.now();
        caller.trace.add_step(TraceStep::Ended, now);
        let whole = now.since(caller.arrived);
        state
            .metrics
            .observe_duration(&caller.customer.name, ServedClass::Live, whole);
    }

    /// Forwards events until the answer ends, resuming on other engines as
    /// often as needed. Returns the error for the caller if the answer can't be
    /// completed.
    async fn forward(
        &mut self,
        mut server: ChosenServer,
        mut upstream: Response<Incoming>,
        sender: &BodySender,
    ) -> Option<ErrorAnswer> {
        loop {
            match self.forward_events(&server, upstream, sender).await {
                StreamEnd::Done | StreamEnd::CallerGone => return None,
                StreamEnd::TimedOut => {
                    let failure = AttemptFailure::TimedOut;
                    return self.state.after_failure(&mut self.log, failure).err();
                }
                StreamEnd::Broken => {}
            }
            drop(server);
            (server, upstream) = match self.resume().await {
                Ok(opened) => opened,
                Err(answer) => return Some(answer),
            };
        }
    }

    async fn forward_events(
        &mut self,
        server: &ChosenServer,
        upstream: Response<Incoming>,
        sender: &BodySender,
    ) -> StreamEnd {
        let mut body = upstream.into_body();
        let mut splitter = EventSplitter::default();
        let mut scanner = EventScanner::default();
        loop {
            let frame = match tokio::time::timeout(self.event_timeout(), body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => {
                    server.note_broken().await;
                    return self.note_lost_stream(server);
                }
                Ok(None) => return self.broken(server),
                Err(_) if self.state.clock.now() < self.call.deadline => {
                    return self.broken(server);
                }
                Err(_) => return StreamEnd::TimedOut,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            scanner.push(&data);
            if scanner.has_chunk_size() || splitter.push(&data).is_err() {
                return self.broken(server);
            }
            while let Some(event) = splitter.next_event() {
                let kind = classify_event(&event);
                if kind == EventKind::Error {
                    return self.broken(server);
                }
                if let Some(copy) = &mut self.copy {
                    copy.push(&event);
                }
                if !sender.send(event).await {
                    return StreamEnd::CallerGone;
                }
                match kind {
                    EventKind::Token => self.note_token(server),
                    EventKind::Done => {
                        server.note_outcome(ServerOutcome::Ok);
                        self.state.note_success();
                        let trace = &self.call.caller.trace;
                        trace.add_step(TraceStep::Whole, self.state.clock.now());
                        self.finish();
                        return StreamEnd::Done;
                    }
                    EventKind::Other | EventKind::Error => {}
                }
            }
        }
    }

    fn finish(&mut self) {
        let copy = self.copy.take();
        self.call.finish(|| copy.and_then(AnswerCopy::finish));
    }

    /// Returns how long to wait for the next piece.
    ///
    /// An engine can hang with its connection open, and its callers would wait
    /// until their deadlines. A gap far longer than is typical between tokens
    /// reveals such an engine. The first token may take long, since other
    /// requests may be queued before this one.
    fn event_timeout(&self) -> Duration {
        let left = self.call.deadline.since(self.state.clock.now());
        if self.log.delivered == 0 {
            left
        } else {
            left.min(MAX_TOKEN_GAP)
        }
    }

    fn broken(&self, server: &ChosenServer) -> StreamEnd {
        server.note_outcome(ServerOutcome::Broken);
        self.note_lost_stream(server)
    }

    fn note_lost_stream(&self, server: &ChosenServer) -> StreamEnd {
        log::warn!(
            "callers: {} lost its stream from {} after {} tokens",
            self.call.caller.request_id,
            server.name,
            self.log.delivered
        );
        StreamEnd::Broken
    }

    fn note_token(&mut self, server: &ChosenServer) {
        let now = self.state.clock.now();
        let gap = now.since(self.last_token);
        let customer = &self.call.caller.customer.name;
        if self.log.delivered == 0 {
            self.state
                .metrics
                .observe_first_token(customer, ServedClass::Live, gap);
            server.note_first_token();
            self.call.caller.trace.add_step(TraceStep::FirstToken, now);
        } else {
            self.state
                .metrics
                .observe_token_gap(customer, ServedClass::Live, gap);
        }
        self.log.delivered += 1;
        self.last_token = now;
    }

    /// Requests the rest of the answer from another engine.
    async fn resume(&mut self) -> Result<(ChosenServer, Response<Incoming>), ErrorAnswer> {
        self.log.answer_begun |= self.log.delivered > 0 && !self.call.can_resume;
        let mut failure = AttemptFailure::Broken;
        loop {
            self.state.after_failure(&mut self.log, failure)?;
            let body = resumed_body(&self.call.body, self.log.delivered);
            match send_attempt(&self.state, &self.call, body, &mut self.log).await {
                Ok((server, upstream)) if upstream.status().is_success() => {
                    return Ok((server, upstream));
                }
                Ok(_) => failure = AttemptFailure::Broken,
                Err(error) => failure = error,
            }
        }
    }
}

/// Returns the request's body with the number of tokens that the caller has
/// already received.
fn resumed_body(body: &Bytes, delivered: u32) -> Bytes {
    if delivered == 0 {
        return body.clone();
    }
    // The body was parsed as an object before the first attempt.
    let mut fields: serde_json::Map<String, serde_json::Value> =
        serde_json::from_slice(body).unwrap_or_default();
    fields.insert("resume_from".to_owned(), delivered.into());
    serde_json::to_vec(&fields).unwrap_or_default().into()
}
