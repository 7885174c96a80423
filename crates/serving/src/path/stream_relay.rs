//! Relays a stream of events from a server to the caller.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use comfreyramp_http::{AnswerEnd, AnswerProgress, EventSplitter, MAX_EVENT_BYTES, event_id};
use comfreyramp_policy::{AnswerPace, PaceLimits, placement::ServerOutcomeKind};
use http::StatusCode;
use hyper::body::{Body, Incoming};
use tokio::time::Sleep;
use tokio_util::task::AbortOnDropHandle;

use super::{
    AttemptGuard, OpenAnswer, ServerConnection, front_body::AnswerBodyError,
    live_request::LiveRequest, server_attempt::AttemptFailure,
};
use crate::{
    dialect::Dialect,
    model::{RouteKind, ServerAnswer},
};

/// What a server may send without a further event. Callers abandon a stream after a gap of two
/// seconds, and by then another server has to have gone on.
const PACE_LIMITS: PaceLimits = PaceLimits {
    bytes: MAX_EVENT_BYTES,
    time: Duration::from_secs(1),
};
/// How long after the request's deadline bytes that are there already are still passed on.
const MAX_LATE_DELIVERY: Duration = Duration::from_millis(200);

/// Relays a stream of events from a server to the caller.
///
/// Of a resumable stream only complete events are passed on, so that another server can
/// continue after the last one without gaps or duplicates. Other streams are passed on
/// as the bytes arrive, and fail with their server. A stream that ends inside an event has
/// been broken off, however its end is determined.
///
/// Dropping the relay, as happens when the caller disconnects, also drops the connection to
/// the server, which makes the server stop the run.
#[derive(Debug)]
pub struct StreamRelay<D: Dialect> {
    state: RelayState<D>,
    deadline_timer: Pin<Box<Sleep>>,
}

#[derive(Debug)]
enum RelayState<D: Dialect> {
    Reading(Box<ReadingStream<D>>),
    Resuming(AbortOnDropHandle<Resumed<D>>),
    Ended,
}

#[derive(Debug)]
struct ReadingStream<D: Dialect> {
    request: LiveRequest<D>,
    guard: AttemptGuard<D>,
    connection: ServerConnection,
    answer: ServerAnswer,
    body: Incoming,
    first_bytes: Option<Bytes>,
    progress: AnswerProgress,
    pace: AnswerPace,
    /// Whether the body has ended, though bytes of it are still passed on.
    has_ended: bool,
    /// Set only for resumable streams.
    events: Option<EventTracker>,
}

/// Splits a stream into events and tracks the id of the last one.
#[derive(Debug, Default)]
struct EventTracker {
    splitter: EventSplitter,
    /// Complete events since the last one with an id. They are passed on with the next one:
    /// after them, no other server could go on.
    unnumbered: BytesMut,
    has_partial_event: bool,
    last_id: Option<u64>,
}

type Resumed<D> = Option<Box<ReadingStream<D>>>;
type Chunk = Option<Result<Bytes, AnswerBodyError>>;

/// The result of reading from the server's connection.
enum ReadStep {
    Bytes(Bytes),
    Ended,
    /// The stream can't go on at its server, which broke off or sends bytes that are no answer.
    Failed(AttemptFailure),
}

impl<D: Dialect> StreamRelay<D> {
    pub(super) fn new(request: LiveRequest<D>, open: OpenAnswer<D>) -> Self {
        let time_left = request.deadline.since(request.node.clock.now());
        let is_resumable = request.route.kind == RouteKind::Stream { resumable: true };
        let events = is_resumable.then(EventTracker::default);
        StreamRelay {
            state: RelayState::Reading(Box::new(ReadingStream::new(request, open, events))),
            deadline_timer: Box::pin(tokio::time::sleep(time_left)),
        }
    }

    pub(crate) fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Chunk> {
        let chunk = self.poll_stream(context);
        let may_be_late = chunk.is_ready() && !self.is_overdue();
        if !may_be_late && self.deadline_timer.as_mut().poll(context).is_ready() {
            if let RelayState::Reading(reading) = &mut self.state {
                let progress = reading.progress;
                reading
                    .request
                    .record_stream_end(progress, AnswerEnd::Silent);
                reading
                    .request
                    .record_end("stream timed out", StatusCode::GATEWAY_TIMEOUT);
            }
            self.state = RelayState::Ended;
            return Poll::Ready(Some(Err(AnswerBodyError::TimedOut)));
        }
        chunk
    }

    /// Returns whether the request's deadline passed so long ago that nothing is passed on any
    /// more. A server's bytes may come so fast that there are always some to pass on.
    fn is_overdue(&self) -> bool {
        let RelayState::Reading(reading) = &self.state else {
            return false;
        };
        let request = &reading.request;
        request.node.clock.now().since(request.deadline) > MAX_LATE_DELIVERY
    }

    fn poll_stream(&mut self, context: &mut Context<'_>) -> Poll<Chunk> {
        loop {
            let step = match &mut self.state {
                RelayState::Ended => return Poll::Ready(None),
                RelayState::Reading(reading) => ready!(reading.poll_read(context)),
                RelayState::Resuming(resuming) => {
                    let resumed = ready!(Pin::new(resuming).poll(context));
                    let Ok(Some(reading)) = resumed else {
                        self.state = RelayState::Ended;
                        return Poll::Ready(Some(Err(AnswerBodyError::ServerBrokeOff)));
                    };
                    self.state = RelayState::Reading(reading);
                    continue;
                }
            };
            match step {
                ReadStep::Bytes(bytes) if bytes.is_empty() => {}
                ReadStep::Bytes(bytes) => return Poll::Ready(Some(Ok(bytes))),
                ReadStep::Ended => {
                    self.finish();
                    return Poll::Ready(None);
                }
                ReadStep::Failed(failure) => {
                    if !self.resume(failure) {
                        return Poll::Ready(Some(Err(AnswerBodyError::ServerBrokeOff)));
                    }
                }
            }
        }
    }

    fn finish(&mut self) {
        let RelayState::Reading(reading) = std::mem::replace(&mut self.state, RelayState::Ended)
        else {
            return;
        };
        reading.guard.record_answered();
        reading.request.record_finished_run();
        let node = &reading.request.node;
        reading.request.record_end("streamed", StatusCode::OK);
        let now = node.clock.now();
        let keep_alive = reading.answer.keep_alive;
        node.connections
            .put_back(reading.connection, keep_alive, now);
    }

    /// Starts to resume the stream on another server after a failure of its server. Returns
    /// whether that is permitted.
    fn resume(&mut self, failure: AttemptFailure) -> bool {
        let RelayState::Reading(mut reading) =
            std::mem::replace(&mut self.state, RelayState::Ended)
        else {
            return false;
        };
        reading.guard.record_outcome(ServerOutcomeKind::Broken);
        if failure.is_broken_off() {
            let written_for = reading.request.written_for();
            let server = reading.guard.server;
            reading.request.record_broken_run(server, written_for);
            reading.request.note_late_break(server);
        }
        let ReadingStream {
            mut request,
            events,
            ..
        } = *reading;
        let last_id = events.as_ref().and_then(|it| it.last_id);
        let can_fail_over =
            request.check_failover(failure).is_ok() && request.knows_position(last_id);
        if events.is_none() || !can_fail_over {
            request.check_losses();
            request.record_end("stream broken", StatusCode::BAD_GATEWAY);
            return false;
        }
        let resuming = tokio::task::spawn_local(resume_stream(request, last_id));
        self.state = RelayState::Resuming(AbortOnDropHandle::new(resuming));
        true
    }
}

/// Requests the rest of a stream, after the event `last_id`, from another server.
async fn resume_stream<D: Dialect>(
    mut request: LiveRequest<D>,
    last_id: Option<u64>,
) -> Resumed<D> {
    let mut is_admitted = true;
    loop {
        let failure = match request.open_next(last_id, &mut is_admitted).await {
            Ok(Ok(open)) if open.head.status.is_success() => {
                request.log_resumption(last_id);
                let events = EventTracker {
                    last_id,
                    ..EventTracker::default()
                };
                return Some(Box::new(ReadingStream::new(request, open, Some(events))));
            }
            Ok(Ok(_)) => AttemptFailure::Broken,
            Ok(Err(failure)) => failure,
            Err(_) => break,
        };
        if request.check_failover(failure).is_err() {
            break;
        }
    }
    request.check_losses();
    request.record_end("stream broken", StatusCode::BAD_GATEWAY);
    None
}

impl<D: Dialect> ReadingStream<D> {
    fn new(request: LiveRequest<D>, open: OpenAnswer<D>, events: Option<EventTracker>) -> Self {
        ReadingStream {
            request,
            guard: open.guard,
            connection: open.connection,
            answer: open.answer,
            body: open.body,
            first_bytes: open.first,
            progress: open.progress,
            pace: AnswerPace::new(PACE_LIMITS),
            has_ended: false,
            events,
        }
    }

    fn poll_read(&mut self, context: &mut Context<'_>) -> Poll<ReadStep> {
        if let Some(first_bytes) = self.first_bytes.take() {
            return Poll::Ready(self.process_bytes(first_bytes));
        }
        if self.has_ended {
            return Poll::Ready(ReadStep::Ended);
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        Poll::Ready(match frame {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => self.process_bytes(data),
                Err(_) => ReadStep::Bytes(Bytes::new()),
            },
            Some(Err(_)) => {
                self.request
                    .record_stream_end(self.progress, AnswerEnd::ReadError);
                ReadStep::Failed(AttemptFailure::Broken)
            }
            None => self.process_end(),
        })
    }

    fn process_end(&mut self) -> ReadStep {
        let end = self.progress.end_of_body();
        self.request.record_stream_end(self.progress, end);
        let has_partial_event = self.events.as_ref().is_some_and(|it| it.has_partial_event);
        if has_partial_event || self.progress.is_broken_off() {
            return ReadStep::Failed(AttemptFailure::Broken);
        }
        let unnumbered = self.events.as_mut().map(|it| it.unnumbered.split());
        match unnumbered.filter(|it| !it.is_empty()) {
            Some(unnumbered) => {
                self.has_ended = true;
                ReadStep::Bytes(unnumbered.freeze())
            }
            None => ReadStep::Ended,
        }
    }

    fn process_bytes(&mut self, data: Bytes) -> ReadStep {
        let now = self.request.node.clock.now();
        let advances = self.progress.push_events(&data);
        let is_paced = self.pace.receive(data.len(), advances, now).is_ok();
        if !is_paced || self.progress.events.has_chunk_size() {
            self.request
                .record_stream_end(self.progress, AnswerEnd::NoAnswer);
            return ReadStep::Failed(AttemptFailure::NoAnswer);
        }
        match &mut self.events {
            None => ReadStep::Bytes(data),
            Some(events) => {
                let step = events.push(&data);
                if matches!(&step, ReadStep::Bytes(bytes) if !bytes.is_empty()) {
                    self.request.note_event_passed(self.guard.server);
                }
                step
            }
        }
    }
}

impl EventTracker {
    /// Adds bytes of the stream and returns the events that are now complete.
    fn push(&mut self, data: &[u8]) -> ReadStep {
        if self.splitter.push(data).is_err() {
            return ReadStep::Failed(AttemptFailure::NoAnswer);
        }
        self.has_partial_event = true;
        let mut numbered = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            self.unnumbered.extend_from_slice(&event);
            if let Some(id) = event_id(&event) {
                self.last_id = Some(id);
                numbered.unsplit(self.unnumbered.split());
            }
        }
        self.has_partial_event = !self.splitter.is_empty();
        ReadStep::Bytes(numbered.freeze())
    }
}
