//! A stream of events on its way to the caller.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::{Bytes, BytesMut};
use comfreyramp_http::{EventSplitter, event_id};
use comfreyramp_policy::placement::ServerOutcomeKind;
use http::StatusCode;
use hyper::body::{Body, Incoming};
use tokio::time::Sleep;
use tokio_util::task::AbortOnDropHandle;

use super::{
    AttemptGuard, OpenAnswer, ServerConnection, front_body::FrontBodyError,
    live_request::LiveRequest, server_attempt::AttemptFailure,
};
use crate::{
    dialect::Dialect,
    model::{RouteKind, ServerAnswer},
};

/// A stream of events on its way to the caller.
///
/// Of a resumable stream only whole events are passed on, so that another server
/// can go on after the last one without a gap or a repeat. Other streams are
/// passed on byte by byte, and end with their server.
///
/// Dropping it, as happens when the caller leaves, drops the server's connection
/// with it, which stops the run there.
#[derive(Debug)]
pub struct StreamRelay<D: Dialect> {
    state: RelayState<D>,
    time_up: Pin<Box<Sleep>>,
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
    first: Option<Bytes>,
    /// Only of resumable streams.
    events: Option<EventTracker>,
}

/// Cuts a stream into events and remembers the last.
#[derive(Debug, Default)]
struct EventTracker {
    splitter: EventSplitter,
    has_part: bool,
    last_id: Option<u64>,
}

type Resumed<D> = Option<Box<ReadingStream<D>>>;
type Piece = Option<Result<Bytes, FrontBodyError>>;

/// What a look at the server's connection brought.
enum StreamStep {
    Bytes(Bytes),
    Ended,
    Broken,
}

impl<D: Dialect> StreamRelay<D> {
    pub(super) fn new(request: LiveRequest<D>, open: OpenAnswer<D>) -> Self {
        let left = request.deadline.since(request.node.clock.now());
        let is_resumable = request.route.kind == RouteKind::Stream { resumable: true };
        let events = is_resumable.then(EventTracker::default);
        StreamRelay {
            state: RelayState::Reading(Box::new(ReadingStream::new(request, open, events))),
            time_up: Box::pin(tokio::time::sleep(left)),
        }
    }

    pub(super) fn poll_piece(&mut self, context: &mut Context<'_>) -> Poll<Piece> {
        let piece = self.poll_stream(context);
        if piece.is_pending() && self.time_up.as_mut().poll(context).is_ready() {
            if let RelayState::Reading(reading) = &self.state {
                reading
                    .request
                    .note_end("stream timed out", StatusCode::GATEWAY_TIMEOUT);
            }
            self.state = RelayState::Ended;
            return Poll::Ready(Some(Err(FrontBodyError::TimedOut)));
        }
        piece
    }

    fn poll_stream(&mut self, context: &mut Context<'_>) -> Poll<Piece> {
        loop {
            let step = match &mut self.state {
                RelayState::Ended => return Poll::Ready(None),
                RelayState::Reading(reading) => ready!(reading.poll_step(context)),
                RelayState::Resuming(resuming) => {
                    let resumed = ready!(Pin::new(resuming).poll(context));
                    let Ok(Some(reading)) = resumed else {
                        self.state = RelayState::Ended;
                        return Poll::Ready(Some(Err(FrontBodyError::ServerBroke)));
                    };
                    self.state = RelayState::Reading(reading);
                    continue;
                }
            };
            match step {
                StreamStep::Bytes(bytes) if bytes.is_empty() => {}
                StreamStep::Bytes(bytes) => return Poll::Ready(Some(Ok(bytes))),
                StreamStep::Ended => {
                    self.finish();
                    return Poll::Ready(None);
                }
                StreamStep::Broken => {
                    if !self.resume() {
                        return Poll::Ready(Some(Err(FrontBodyError::ServerBroke)));
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
        reading.guard.note_answered();
        let node = &reading.request.node;
        reading.request.note_end("streamed", StatusCode::OK);
        let now = node.clock.now();
        let kept_for = reading.answer.kept_for;
        node.connections.put_back(reading.connection, kept_for, now);
    }

    /// Has another server go on with the stream. Returns whether one may.
    fn resume(&mut self) -> bool {
        let RelayState::Reading(reading) = std::mem::replace(&mut self.state, RelayState::Ended)
        else {
            return false;
        };
        reading.guard.note(ServerOutcomeKind::Broken);
        let ReadingStream {
            request, events, ..
        } = *reading;
        let may_go_on = request.may_go_on(AttemptFailure::Broken).is_ok();
        let Some(events) = events.filter(|_| may_go_on) else {
            request.note_end("stream broken", StatusCode::BAD_GATEWAY);
            return false;
        };
        let resuming = tokio::task::spawn_local(reopen(request, events.last_id));
        self.state = RelayState::Resuming(AbortOnDropHandle::new(resuming));
        true
    }
}

/// Has another server go on after an event.
async fn reopen<D: Dialect>(mut request: LiveRequest<D>, last_id: Option<u64>) -> Resumed<D> {
    let mut is_admitted = true;
    loop {
        let failure = match request.open_next(last_id, &mut is_admitted).await {
            Ok(Ok(open)) if open.head.status.is_success() => {
                log::info!(request = request.request_id, after:? = last_id; "callers: stream goes on elsewhere");
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
        if request.may_go_on(failure).is_err() {
            break;
        }
    }
    request.note_end("stream broken", StatusCode::BAD_GATEWAY);
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
            first: open.first,
            events,
        }
    }

    fn poll_step(&mut self, context: &mut Context<'_>) -> Poll<StreamStep> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(self.pass_on(first));
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        Poll::Ready(match frame {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => self.pass_on(data),
                Err(_) => StreamStep::Bytes(Bytes::new()),
            },
            Some(Err(_)) => StreamStep::Broken,
            // An end within an event is no end of the stream.
            None if self.events.as_ref().is_some_and(|it| it.has_part) => StreamStep::Broken,
            None => StreamStep::Ended,
        })
    }

    fn pass_on(&mut self, data: Bytes) -> StreamStep {
        match &mut self.events {
            None => StreamStep::Bytes(data),
            Some(events) => events.take(&data),
        }
    }
}

impl EventTracker {
    /// Takes bytes in, and gives out the events that are whole by now.
    fn take(&mut self, data: &[u8]) -> StreamStep {
        if self.splitter.push(data).is_err() {
            return StreamStep::Broken;
        }
        self.has_part = true;
        let mut whole = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            self.last_id = event_id(&event).or(self.last_id);
            whole.extend_from_slice(&event);
        }
        self.has_part = !self.splitter.is_empty();
        StreamStep::Bytes(whole.freeze())
    }
}
