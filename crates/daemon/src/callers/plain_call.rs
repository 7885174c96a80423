//! Calls to plain services, with the bodies streamed in both directions.

use std::{sync::Arc, time::Duration};

use comfreyramp_http::{
    BodyError, BodySender, Bytes, CallError, ErrorAnswer, HeaderMap, Incoming, MessageBody, Method,
    Request, Response, RunState, StatusCode,
};
use comfreyramp_policy::{Fingerprint, ServerOutcome};
use http_body_util::BodyExt;
use hyper::body::Body;

use super::{
    Answer, Caller,
    body_check::BodyCheck,
    caller::{key_withdrawn, withdrawn_answer},
    forwarded::{forwarded_headers, reject_contained_key, returned_headers},
    key_filter::KeyFilter,
    plain_path::reject_dot_segments,
    read_request::read_request_body,
    run_once::{ClaimStep, ClaimSubject, claim_call, runs_once},
    upload_progress::UploadProgress,
};
use crate::{
    attempts::{AttemptFailure, AttemptLog, BUSY_RETRY},
    claims::{AnswerCopy, ClaimGrant},
    live_queue::CallRank,
    metrics::ServedClass,
    server_pool::ChosenServer,
    shared::SharedState,
    suspects::RunRequest,
    traces::TraceStep,
};

/// The maximum size in bytes of a request body that is buffered while a call
/// runs, so that the call can be retried. A longer body is streamed, and its
/// call gets one attempt.
const MAX_REPLAYABLE_BODY: u64 = 64 * 1024;

/// The class that operators see for each call to a plain service.
const CLASS: TraceStep = TraceStep::Classed {
    class: "a call to a plain service",
    because: "its path lies under a service's prefix",
};

/// Handles a call to a plain service.
pub(super) async fn answer(
    state: &Arc<SharedState>,
    caller: Caller,
    request: Request<Incoming>,
) -> Answer {
    let target = request
        .uri()
        .path_and_query()
        .map_or("/", |it| it.as_str())
        .to_owned();
    reject_contained_key(&caller, "path", target.as_bytes())?;
    reject_dot_segments(request.uri().path())?;
    let snapshot = state.snapshot();
    let Some(service) = snapshot.service_of_path(request.uri().path()) else {
        let text = format!(
            "There is no service at {}. See docs/API.md.",
            request.uri().path()
        );
        return Err(ErrorAnswer::new(
            StatusCode::NOT_FOUND,
            "unknown_service",
            text,
        ));
    };
    caller.trace.add_step(CLASS, state.clock.now());
    state.admit(&caller).await?;
    caller
        .trace
        .add_step(TraceStep::Admitted, state.clock.now());
    let (head, body) = request.into_parts();
    let time_limit = Duration::from_millis(service.settings.timeout_ms);
    let idempotent = head.method.is_idempotent() && !runs_once(&head.headers);
    let mut call = PlainCall {
        log: AttemptLog::new(
            idempotent,
            Fingerprint::default(),
            caller.arrived + time_limit,
            caller.trace.clone(),
        ),
        headers: forwarded_headers(&caller, &head.headers),
        service: service.settings.name.clone(),
        group: service.settings.group.clone(),
        claim: None,
        rank: state.urgency_ranks.rank_plain_call(&caller, state.clock),
        method: head.method,
        state: state.clone(),
        upload: UploadProgress::default(),
        caller,
        target,
        time_limit,
    };
    let body = CallBody::read(&call.caller, body).await?;
    call.log.fingerprint = call.run_fingerprint(&body);
    if runs_once(&head.headers) {
        // The server is reserved before the call is claimed, since a claim
        // expires sooner than a call may wait for a server.
        let server = state.begin_run(call.run_request()).await;
        call.log.reserved = Some(server.map_err(|it| state.refusal(&mut call.log, it))?);
    }
    let subject = ClaimSubject {
        service: &call.service,
        body: call.fingerprint(&body),
        deadline: call.log.deadline,
    };
    match claim_call(state, &call.caller, &head.headers, subject).await? {
        ClaimStep::Unclaimed => {}
        ClaimStep::Granted(grant) => call.claim = Some(grant),
        ClaimStep::Answered(answer) => return Ok(answer),
    }
    call.run(body).await
}

/// The request body of a call.
enum CallBody {
    /// The complete body, which can be sent again.
    Buffered(Bytes),
    /// A body that is still arriving and is streamed to the server.
    Streamed(Incoming),
}

impl CallBody {
    async fn read(caller: &Caller, body: Incoming) -> Result<CallBody, ErrorAnswer> {
        let size = body.size_hint().upper();
        if size.is_none_or(|it| it > MAX_REPLAYABLE_BODY) {
            return Ok(CallBody::Streamed(body));
        }
        let bytes = read_request_body(body, MAX_REPLAYABLE_BODY as usize).await?;
        reject_contained_key(caller, "body", &bytes)?;
        Ok(CallBody::Buffered(bytes))
    }
}

/// One call and the state of its attempts.
struct PlainCall {
    state: Arc<SharedState>,
    caller: Caller,
    method: Method,
    target: String,
    upload: UploadProgress,
    headers: HeaderMap,
    service: String,
    group: String,
    /// The right to send the call, if it must not run twice.
    claim: Option<ClaimGrant>,
    rank: CallRank,
    time_limit: Duration,
    log: AttemptLog,
}

impl PlainCall {
    /// Describes the call for the choice of a server.
    fn run_request(&self) -> RunRequest<'_> {
        RunRequest {
            fingerprint: self.log.fingerprint,
            group: &self.group,
            prefix: None,
            tried: &self.log.tried,
            rank: &self.rank,
            deadline: self.log.deadline,
        }
    }

    /// Returns the fingerprint by which calls that kill servers are recognized.
    /// The content of a body that is still arriving isn't known, so each such
    /// call gets a fingerprint of its own: other calls of the same length must
    /// not be blocked with it.
    fn run_fingerprint(&self, body: &CallBody) -> Fingerprint {
        match body {
            CallBody::Buffered(_) => self.fingerprint(body),
            CallBody::Streamed(_) => Fingerprint(rand::random()),
        }
    }

    /// Returns the fingerprint by which a resent call is recognized. Of a body
    /// that is still arriving, only the length is known before the call is
    /// sent.
    fn fingerprint(&self, body: &CallBody) -> Fingerprint {
        let mut text = format!("{} {}\n", self.method, self.target).into_bytes();
        match body {
            CallBody::Buffered(bytes) => text.extend_from_slice(bytes),
            CallBody::Streamed(incoming) => {
                let length = format!("{:?}", incoming.size_hint().upper());
                text.extend_from_slice(length.as_bytes());
            }
        }
        Fingerprint::of(&self.caller.customer.name, &self.service, &text)
    }

    async fn run(mut self, mut body: CallBody) -> Answer {
        loop {
            let replay = match &body {
                CallBody::Buffered(bytes) => Some(CallBody::Buffered(bytes.clone())),
                CallBody::Streamed(_) => None,
            };
            let failure = match self.attempt(body).await? {
                Ok((server, upstream)) => return Ok(self.forward_response(server, upstream)),
                Err(failure) => failure,
            };
            self.state.after_failure(&mut self.log, failure)?;
            let Some(replay_body) = replay else {
                return Err(self.body_not_replayable());
            };
            body = replay_body;
        }
    }

    /// Sends the call once. The outer error is final; the inner one may be
    /// followed by another attempt.
    async fn attempt(
        &mut self,
        body: CallBody,
    ) -> Result<Result<(ChosenServer, Response<Incoming>), AttemptFailure>, ErrorAnswer> {
        let server = match self.log.reserved.take() {
            Some(server) => Ok(server),
            None => self.state.begin_run(self.run_request()).await,
        };
        let server = match server {
            Ok(server) => server,
            Err(failure) => return Ok(Err(failure)),
        };
        self.log.tried.push(server.id);
        let now = self.state.clock.now();
        let excluded = self.log.tried.len() - 1;
        let trace = &self.caller.trace;
        trace.add_tried(&server.name, server.in_flight, excluded, now);
        if self.log.tried.len() == 1 {
            let wait = now.since(self.caller.arrived);
            self.state.metrics.observe_queue_wait(
                &self.caller.customer.name,
                ServedClass::Plain,
                wait,
            );
        }
        let request = self.build_request(&server, body)?;
        if self.claim.as_ref().is_some_and(|it| !it.start()) {
            return Ok(Err(AttemptFailure::ClaimExpired));
        }
        let sent = tokio::select! {
            sent = self.state.client.send_within(self.log.deadline.since(now), request) => sent,
            () = key_withdrawn(&self.state, &self.caller) => {
                return Err(withdrawn_answer().ran(RunState::Unknown));
            }
        };
        self.log.bytes_sent |= !sent.as_ref().is_err_and(CallError::is_not_sent);
        Ok(match sent {
            Ok(upstream) => Ok((server, upstream)),
            Err(error) => {
                if let (CallError::NotSent(_), Some(claim)) = (&error, &self.claim) {
                    claim.not_sent();
                }
                if let Some(answer) = self.upload.caller_error(&error) {
                    return Err(answer);
                }
                Err(note_failure(&server, &error, &self.caller.request_id).await)
            }
        })
    }

    fn build_request(
        &self,
        server: &ChosenServer,
        body: CallBody,
    ) -> Result<Request<MessageBody>, ErrorAnswer> {
        let uri = format!("http://{}{}", server.address, self.target);
        let body = match body {
            CallBody::Buffered(bytes) => MessageBody::from(bytes),
            CallBody::Streamed(incoming) => {
                let (sender, upload) = MessageBody::stream();
                self.upload.begin();
                let progress = self.upload.clone();
                let caller = self.caller.clone();
                tokio::spawn(forward_request_body(caller, incoming, sender, progress));
                upload
            }
        };
        let built = Request::builder()
            .method(self.method.clone())
            .uri(uri)
            .body(body);
        let mut request = built.map_err(|error| {
            let text = format!("The path can't be forwarded: {error}");
            ErrorAnswer::new(StatusCode::BAD_REQUEST, "bad_path", text)
        })?;
        *request.headers_mut() = self.headers.clone();
        Ok(request)
    }

    /// The final error for a call that could be retried, except that its body
    /// was streamed and not buffered.
    fn body_not_replayable(&self) -> ErrorAnswer {
        let text = "The backend server gave no answer, and the body is too long to send again.";
        ErrorAnswer::new(StatusCode::BAD_GATEWAY, "no_answer", text)
            .ran(self.log.run_state())
            .retry_after(BUSY_RETRY)
    }

    fn forward_response(
        self,
        server: ChosenServer,
        upstream: Response<Incoming>,
    ) -> Response<MessageBody> {
        let (head, upstream) = upstream.into_parts();
        server.note_report(&head.headers);
        let (sender, body) = MessageBody::stream();
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = returned_headers(&head.headers);
        let copy = self.claim.as_ref().map(|_| {
            let headers = response.headers().clone();
            AnswerCopy::new(response.status(), headers)
        });
        let source = ResponseSource {
            server,
            body: upstream,
            check: BodyCheck::new(&self.method, &head),
        };
        tokio::spawn(self.forward_response_body(source, sender, copy));
        response
    }

    /// Forwards the answer's body to the caller. If the body breaks off, the
    /// caller's connection is broken off too instead of ended properly, so that
    /// the caller can't take the partial answer for the complete one.
    async fn forward_response_body(
        self,
        source: ResponseSource,
        sender: BodySender,
        copy: Option<AnswerCopy>,
    ) {
        let ResponseSource {
            server,
            mut body,
            mut check,
        } = source;
        let withdrawn = key_withdrawn(&self.state, &self.caller);
        tokio::pin!(withdrawn);
        let mut copy = copy;
        let problem = loop {
            let frame = tokio::select! {
                frame = tokio::time::timeout(self.time_limit, body.frame()) => frame,
                () = &mut withdrawn => break Some("key withdrawn"),
            };
            match frame {
                Ok(None) => break check.end(),
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    if let Some(problem) = check.push(&data) {
                        break Some(problem);
                    }
                    if let Some(copy) = &mut copy {
                        copy.push(&data);
                    }
                    if !sender.send(data).await {
                        return;
                    }
                }
                Ok(Some(Err(_))) => {
                    server.note_broken().await;
                    break Some("the backend server broke the connection");
                }
                Err(_) => break Some("the backend server stalled"),
            }
        };
        match problem {
            None => {
                server.note_outcome(ServerOutcome::Ok);
                self.state.note_success();
                if let Some(claim) = &self.claim {
                    claim.finish(copy.and_then(AnswerCopy::finish));
                }
            }
            Some(problem) => {
                server.note_outcome(ServerOutcome::Broken);
                sender.abort(problem).await;
            }
        }
        let now = self.state.clock.now();
        self.caller.trace.add_step(TraceStep::Ended, now);
        let whole = now.since(self.caller.arrived);
        self.state
            .metrics
            .observe_duration(&self.caller.customer.name, ServedClass::Plain, whole);
    }
}

/// The body of a server's answer.
struct ResponseSource {
    server: ChosenServer,
    body: Incoming,
    check: BodyCheck,
}

/// Records a failed attempt on its server.
async fn note_failure(
    server: &ChosenServer,
    error: &CallError,
    request_id: &str,
) -> AttemptFailure {
    match error {
        CallError::NotSent(_) => {
            server.note_not_sent();
            AttemptFailure::NotSent
        }
        CallError::Broken(_) => {
            server.note_broken().await;
            AttemptFailure::Broken
        }
        CallError::TimedOut(_) => {
            server.note_outcome(ServerOutcome::Broken);
            AttemptFailure::TimedOut
        }
        CallError::OtherRequest | CallError::InvalidHead(_) => {
            server.note_refused_answer(request_id, error);
            AttemptFailure::Broken
        }
    }
}

/// Streams the caller's body to the server, and breaks the stream off if the
/// body contains the key.
async fn forward_request_body(
    caller: Caller,
    mut body: Incoming,
    sender: BodySender,
    progress: UploadProgress,
) {
    let mut filter = KeyFilter::new(&caller.key);
    while let Some(frame) = body.frame().await {
        let data = match frame.map(hyper::body::Frame::into_data) {
            Ok(Ok(data)) => data,
            Ok(Err(_)) => continue,
            Err(error) => {
                progress.mark_broken();
                return sender.abort(BodyError::from(error).to_string()).await;
            }
        };
        let Ok(passed) = filter.push(&data) else {
            progress.mark_broken();
            return sender.abort("the body contains the caller's key").await;
        };
        if !passed.is_empty() && !sender.send(passed).await {
            return;
        }
    }
    progress.finish();
    sender.send(filter.finish()).await;
}
