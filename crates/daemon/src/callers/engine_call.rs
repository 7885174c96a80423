//! Calls to models: `/v1/chat/completions` and `/v1/completions`.

use std::{sync::Arc, time::Duration};

use comfreyramp_http::{
    BodyFraming, Bytes, CallError, ErrorAnswer, HeaderMap, HeaderValue, Incoming, MessageBody,
    Method, Request, Response, RunState, StatusCode, collect_limited, header,
};
use comfreyramp_policy::{Fingerprint, ServerOutcome, Timestamp, Urgency};
use http::response;
use serde::{Deserialize, de::IgnoredAny};
use serde_json::value::RawValue;
use sha2::{Digest, Sha256};

use super::{
    Answer, Caller,
    caller::{key_withdrawn, withdrawn_answer},
    engine_stream,
    forwarded::{forwarded_headers, reject_contained_key, returned_headers},
    models::unknown_model,
    read_request::read_request_body,
    run_once::{ClaimStep, ClaimSubject, claim_call, runs_once},
};
use crate::{
    attempts::{AttemptFailure, AttemptLog, is_rejected},
    claims::{ClaimGrant, StoredAnswer},
    live_queue::CallRank,
    metrics::ServedClass,
    server_pool::ChosenServer,
    shared::SharedState,
    suspects::RunRequest,
    traces::TraceStep,
};

/// The maximum size of a request body in bytes. A prompt of a million tokens
/// fits.
const REQUEST_LIMIT: usize = 8 * 1024 * 1024;
/// The maximum size in bytes of an answer that isn't streamed.
const ANSWER_LIMIT: usize = 16 * 1024 * 1024;
/// The number of bytes at the beginning of the prompt whose hash decides which
/// server has it cached.
const PREFIX_BYTES: usize = 1024;

/// A validated request to a model.
#[derive(Debug)]
pub(super) struct EngineCall {
    pub(super) caller: Caller,
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) service: String,
    pub(super) group: String,
    pub(super) is_stream: bool,
    /// Whether a broken answer can be resumed on another server, which only
    /// works for an answer with a single choice.
    pub(super) can_resume: bool,
    /// Whether the request may run more than once.
    pub(super) idempotent: bool,
    /// Identifies equal requests of the same customer to the same service.
    pub(super) fingerprint: Fingerprint,
    pub(super) prefix: u64,
    pub(super) deadline: Timestamp,
    /// The right to send the request, if it must not run twice.
    pub(super) claim: Option<ClaimGrant>,
    /// How urgent the request is and what it is expected to cost.
    pub(super) rank: CallRank,
}

impl EngineCall {
    /// Creates the log of the request's attempts.
    pub(super) fn attempt_log(&self) -> AttemptLog {
        let trace = self.caller.trace.clone();
        AttemptLog::new(self.idempotent, self.fingerprint, self.deadline, trace)
    }

    /// Describes the request for the choice of a server.
    fn run_request<'a>(&'a self, log: &'a AttemptLog) -> RunRequest<'a> {
        RunRequest {
            fingerprint: self.fingerprint,
            group: &self.group,
            prefix: Some(self.prefix),
            tried: &log.tried,
            rank: &self.rank,
            deadline: self.deadline,
        }
    }

    /// Records that the complete answer was given. `answer` is called only if
    /// the request has a claim, with which the answer is stored.
    pub(super) fn finish(&self, answer: impl FnOnce() -> Option<StoredAnswer>) {
        if let Some(claim) = &self.claim {
            claim.finish(answer());
        }
    }
}

/// The fields of a request body that the daemon reads. All other fields are
/// forwarded unread.
#[derive(Deserialize)]
struct CallFields<'a> {
    #[serde(default)]
    model: Option<String>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    n: Option<u32>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
}

/// Handles a request to a model.
pub(super) async fn answer(
    state: &Arc<SharedState>,
    caller: Caller,
    request: Request<Incoming>,
) -> Answer {
    let mut call = read_call(state, caller, request).await?;
    let trace = call.caller.trace.clone();
    trace.add_step(class_of(&call), state.clock.now());
    state.admit(&call.caller).await?;
    trace.add_step(TraceStep::Admitted, state.clock.now());
    let mut log = call.attempt_log();
    if !call.idempotent {
        // The server is reserved before the call is claimed, since a claim
        // expires sooner than a call may wait for a server.
        let server = state.begin_run(call.run_request(&log)).await;
        log.reserved = Some(server.map_err(|it| state.refusal(&mut log, it))?);
    }
    let subject = ClaimSubject {
        service: &call.service,
        body: call.fingerprint,
        deadline: call.deadline,
    };
    match claim_call(state, &call.caller, &call.headers, subject).await? {
        ClaimStep::Unclaimed => {}
        ClaimStep::Granted(grant) => call.claim = Some(grant),
        ClaimStep::Answered(answer) => return Ok(answer),
    }
    if call.is_stream {
        return engine_stream::answer(state, call, log).await;
    }
    let customer = call.caller.customer.name.clone();
    let arrived = call.caller.arrived;
    let result = tokio::select! {
        result = complete_answer(state, &call, log) => result,
        () = key_withdrawn(state, &call.caller) => Err(withdrawn_answer().ran(RunState::Unknown)),
    };
    let whole = state.clock.now().since(arrived);
    state
        .metrics
        .observe_duration(&customer, ServedClass::Live, whole);
    result
}

/// Returns the class of a request and the reason for it, as operators see them.
fn class_of(call: &EngineCall) -> TraceStep {
    let (class, because) = match (call.rank.urgency, call.is_stream) {
        (Urgency::Person, true) => (
            "a person's",
            "it streams its answer, and its key sends no more than persons could cause",
        ),
        (Urgency::Person, false) => (
            "a person's",
            "its key sends no more than persons could cause",
        ),
        (Urgency::Bulk | Urgency::Lot, _) => (
            "bulk",
            "its key sends more at once than persons could cause",
        ),
    };
    TraceStep::Classed { class, because }
}

async fn read_call(
    state: &SharedState,
    caller: Caller,
    request: Request<Incoming>,
) -> Result<EngineCall, ErrorAnswer> {
    let (head, body) = request.into_parts();
    if let Some(query) = head.uri.query() {
        reject_contained_key(&caller, "query", query.as_bytes())?;
    }
    let body = read_request_body(body, REQUEST_LIMIT).await?;
    reject_contained_key(&caller, "body", &body)?;
    let fields = parse_fields(&body)?;
    let Some(model) = &fields.model else {
        let text = "The body names no model. Add \"model\": one that GET /v1/models lists.";
        let answer = ErrorAnswer::new(StatusCode::BAD_REQUEST, "missing_model", text);
        return Err(answer.param("model"));
    };
    let prompt = prompt_of(head.uri.path(), &fields)?;
    let snapshot = state.snapshot();
    let Some(service) = snapshot.service_of_model(model) else {
        return Err(unknown_model(model));
    };
    let is_stream = fields.stream.unwrap_or(false);
    let max_tokens = fields.max_completion_tokens.or(fields.max_tokens);
    let rank = state.urgency_ranks.rank_engine_call(
        &caller,
        is_stream,
        prompt.len(),
        max_tokens,
        state.clock,
    );
    let mut headers = forwarded_headers(&caller, &head.headers);
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    Ok(EngineCall {
        path: head.uri.path().to_owned(),
        headers,
        service: service.settings.name.clone(),
        group: service.settings.group.clone(),
        is_stream,
        rank,
        can_resume: fields.n.unwrap_or(1) == 1,
        idempotent: !runs_once(&head.headers),
        fingerprint: Fingerprint::of(&caller.customer.name, &service.settings.name, &body),
        prefix: hash_prefix(model, prompt),
        deadline: caller.arrived + Duration::from_millis(service.settings.timeout_ms),
        claim: None,
        body,
        caller,
    })
}

fn parse_fields(body: &Bytes) -> Result<CallFields<'_>, ErrorAnswer> {
    let broken = |problem: String| {
        let text = format!("The body is not a valid request: {problem}");
        ErrorAnswer::new(StatusCode::BAD_REQUEST, "broken_json", text)
    };
    // serde would accept an array as the fields in their order.
    if body.trim_ascii_start().first() != Some(&b'{') {
        return Err(broken("it is not a JSON object".to_owned()));
    }
    serde_json::from_slice(body).map_err(|it| broken(it.to_string()))
}

fn prompt_of<'a>(path: &str, fields: &CallFields<'a>) -> Result<&'a str, ErrorAnswer> {
    let (field, value) = match path {
        "/v1/completions" => ("prompt", fields.prompt),
        _ => ("messages", fields.messages),
    };
    value.map(RawValue::get).ok_or_else(|| {
        let text = format!("The body has no {field:?}. Add it.");
        ErrorAnswer::new(StatusCode::BAD_REQUEST, "missing_field", text).param(field)
    })
}

/// Hashes the model and the beginning of the prompt. Requests with equal hashes
/// prefer the server that has this beginning cached.
fn hash_prefix(model: &str, prompt: &str) -> u64 {
    let head = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    let digest = Sha256::new()
        .chain_update(model)
        .chain_update([0])
        .chain_update(head)
        .finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}

/// Requests an answer that isn't streamed, with retries on other servers.
async fn complete_answer(state: &SharedState, call: &EngineCall, mut log: AttemptLog) -> Answer {
    loop {
        match complete_attempt(state, call, &mut log).await {
            Ok(response) => return Ok(response),
            Err(failure) => state.after_failure(&mut log, failure)?,
        }
    }
}

async fn complete_attempt(
    state: &SharedState,
    call: &EngineCall,
    log: &mut AttemptLog,
) -> Result<Response<MessageBody>, AttemptFailure> {
    let (server, response) = send_attempt(state, call, call.body.clone(), log).await?;
    read_whole(state, call, &server, response).await
}

/// Reads an answer that isn't streamed to its end.
pub(super) async fn read_whole(
    state: &SharedState,
    call: &EngineCall,
    server: &ChosenServer,
    response: Response<Incoming>,
) -> Result<Response<MessageBody>, AttemptFailure> {
    let (head, body) = response.into_parts();
    let left = call.deadline.since(state.clock.now());
    let body = match tokio::time::timeout(left, collect_limited(body, ANSWER_LIMIT)).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => {
            server.note_broken().await;
            return Err(AttemptFailure::Broken);
        }
        Err(_) => return Err(AttemptFailure::TimedOut),
    };
    if is_cut_completion(&head, &body) {
        server.note_broken().await;
        return Err(AttemptFailure::Broken);
    }
    server.note_outcome(ServerOutcome::Ok);
    state.note_success();
    let headers = returned_headers(&head.headers);
    call.finish(|| StoredAnswer::of(head.status, &headers, body.clone()));
    let mut response = Response::new(body.into());
    *response.status_mut() = head.status;
    *response.headers_mut() = headers;
    Ok(response)
}

/// Returns whether an engine broke off its answer. Where only the end of the connection ends
/// the body, incomplete JSON is the one sign of that.
fn is_cut_completion(head: &response::Parts, body: &[u8]) -> bool {
    head.status.is_success()
        && BodyFraming::of(&Method::POST, head) == Ok(BodyFraming::ConnectionClose)
        && serde_json::from_slice::<IgnoredAny>(body).is_err()
}

/// Chooses a server, sends the request and waits for the head of the answer.
pub(super) async fn send_attempt(
    state: &SharedState,
    call: &EngineCall,
    body: Bytes,
    log: &mut AttemptLog,
) -> Result<(ChosenServer, Response<Incoming>), AttemptFailure> {
    let server = match log.reserved.take() {
        Some(server) => server,
        None => state.begin_run(call.run_request(log)).await?,
    };
    log.tried.push(server.id);
    let now = state.clock.now();
    let excluded = log.tried.len() - 1;
    log.trace
        .add_tried(&server.name, server.in_flight, excluded, now);
    state.bulk_limiters.note_arrival(server.id, now);
    state.announcer.queue_notice(server.id);
    if log.tried.len() == 1 {
        let wait = now.since(call.caller.arrived);
        state
            .metrics
            .observe_queue_wait(&call.caller.customer.name, ServedClass::Live, wait);
    }
    let Some(request) = build_request(call, &server, body) else {
        return Err(AttemptFailure::NoServer);
    };
    let left = call.deadline.since(now);
    if call.claim.as_ref().is_some_and(|it| !it.start()) {
        return Err(AttemptFailure::ClaimExpired);
    }
    let answer = state.client.send_within(left, request).await;
    log.bytes_sent |= !answer.as_ref().is_err_and(CallError::is_not_sent);
    match answer {
        Ok(response) if is_rejected(response.status()) => {
            server.note_report(response.headers());
            Err(AttemptFailure::Rejected)
        }
        Ok(response) if response.status().is_server_error() => {
            server.note_outcome(ServerOutcome::Broken);
            Err(AttemptFailure::Broken)
        }
        Ok(response) => {
            server.note_report(response.headers());
            Ok((server, response))
        }
        Err(CallError::NotSent(_)) => {
            server.note_not_sent();
            if let Some(claim) = &call.claim {
                claim.not_sent();
            }
            Err(AttemptFailure::NotSent)
        }
        Err(CallError::Broken(_)) => {
            server.note_broken().await;
            Err(AttemptFailure::Broken)
        }
        Err(CallError::TimedOut(_)) => {
            server.note_outcome(ServerOutcome::Broken);
            Err(AttemptFailure::TimedOut)
        }
        Err(error @ (CallError::OtherRequest | CallError::InvalidHead(_))) => {
            server.note_refused_answer(&call.caller.request_id, &error);
            Err(AttemptFailure::Broken)
        }
    }
}

fn build_request(
    call: &EngineCall,
    server: &ChosenServer,
    body: Bytes,
) -> Option<Request<MessageBody>> {
    let uri = format!("http://{}{}", server.address, call.path);
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(uri)
        .body(MessageBody::from(body))
        .ok()?;
    *request.headers_mut() = call.headers.clone();
    Some(request)
}
