//! One attempt: sends a request to one server and waits for the first bytes of its answer.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use comfreyramp_http::{
    AnswerProgress, BodyError, BodyFraming, ByteReservation, ChunkScanner, ReservedBodyError,
    collect_limited, collect_reserved,
};
use comfreyramp_policy::{
    ServerId, Timestamp,
    placement::{ServerOutcomeKind, WorkKind},
};
use http::{HeaderValue, Request, header, response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};

use super::{MAX_IDLE, SendFailure, ServerConnection};
use crate::{
    dialect::{Dialect, ServerDialect},
    memory::HeldBytes,
    model::{ExecutionStatus, ServerAnswer},
    node::Node,
};

/// The maximum idle time of a connection that is reused for an item of a lot. An idle
/// connection doesn't reveal a network partition: bytes sent into it wait and may reach the
/// server once the partition heals, long after the customer has ended the lot. Opening a
/// new connection shows within moments whether the server can be reached. A connection
/// that was in use within this time is ended by its unacknowledged bytes, before anything
/// else ends it without discarding them.
const ITEM_MAX_IDLE: Duration = Duration::from_millis(1_000);

/// The maximum size in bytes of an answer other than a stream. It is read completely before any
/// of it is passed on, so that an incomplete answer can be requested from another server.
const MAX_ANSWER_BYTES: usize = 256 << 10;
/// How long a server may take to report its state, for which it needs no slot.
pub(super) const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);
/// The maximum size in bytes of a server's report of its state.
const MAX_STATE_BYTES: usize = 64 << 10;

/// Counts a request as in flight on a server until it is dropped.
#[derive(Debug)]
pub struct AttemptGuard<D: Dialect> {
    pub(super) node: Rc<Node<D>>,
    /// The server that the request is sent to.
    pub server: ServerId,
    kind: WorkKind,
    pub(super) started_at: Timestamp,
    pub(super) has_slot: bool,
    /// The tokens of shared prompt parts that the server probably reads first.
    pub(super) reading_tokens: u32,
}

impl<D: Dialect> AttemptGuard<D> {
    /// Counts a request of a kind as in flight on a server.
    pub fn begin(node: Rc<Node<D>>, server: ServerId, kind: WorkKind) -> Self {
        let started_at = node.clock.now();
        let has_slot = node.servers.borrow_mut().begin(server, kind, started_at);
        node.metrics.in_flight(kind.as_str(), 1);
        node.load_changed.notify_one();
        AttemptGuard {
            node,
            server,
            kind,
            started_at,
            has_slot,
            reading_tokens: 0,
        }
    }

    /// Returns the node that sends the request.
    pub fn node(&self) -> &Rc<Node<D>> {
        &self.node
    }

    /// Records the outcome of the attempt.
    pub fn record_outcome(&self, outcome: ServerOutcomeKind) {
        let now = self.node.clock.now();
        self.node
            .servers
            .borrow_mut()
            .note(self.server, outcome, now);
    }

    /// Records that the server has answered completely.
    pub fn record_answered(&self) {
        self.record_outcome(ServerOutcomeKind::Answered);
        if self.has_slot && self.kind == WorkKind::Live {
            let slot_duration = self.node.clock.now().since(self.started_at);
            self.node
                .servers
                .borrow_mut()
                .record_hold_time(self.server, slot_duration);
        }
    }
}

impl<D: Dialect> Drop for AttemptGuard<D> {
    fn drop(&mut self) {
        self.node.servers.borrow_mut().end(self.server, self.kind);
        self.node.metrics.in_flight(self.kind.as_str(), -1);
        self.node.load_changed.notify_one();
        self.node.bulk_work_changed.notify_one();
        self.node.start_queues.slots_changed.notify_one();
    }
}

/// The reason why an attempt gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection to the server could be opened.
    Unreachable,
    /// The connection was closed before a byte of the request was sent.
    NotSent,
    /// The server states that it didn't run the request.
    NotRun,
    /// Another server now has the address. It didn't run the request.
    Misdirected,
    /// The server didn't confirm that it is in the run that the directory lists. The request
    /// wasn't sent.
    Unconfirmed,
    /// The request was sent, and no complete answer was received.
    Broken,
    /// An answer to another request was received in place of the expected one.
    ForeignAnswer,
    /// The server sent bytes that are no answer, for too long or too many, or an answer whose
    /// head says nothing: HTTP doesn't know its status, or the end of its body isn't
    /// determined. It didn't crash.
    NoAnswer,
    /// The answer ended with its connection before the first event.
    NoEvent,
    /// No answer was received in time.
    TimedOut,
}

impl AttemptFailure {
    /// Whether the request may have run.
    pub fn may_have_run(self) -> bool {
        self.is_broken_off()
            || matches!(
                self,
                AttemptFailure::ForeignAnswer | AttemptFailure::NoAnswer | AttemptFailure::TimedOut
            )
    }

    /// Whether the server broke off while it may have run the request.
    pub fn is_broken_off(self) -> bool {
        matches!(self, AttemptFailure::Broken | AttemptFailure::NoEvent)
    }

    /// Returns the failure as it is written to metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptFailure::Unreachable => "unreachable",
            AttemptFailure::NotSent => "not_sent",
            AttemptFailure::NotRun => "not_run",
            AttemptFailure::Misdirected => "misdirected",
            AttemptFailure::Unconfirmed => "unconfirmed",
            AttemptFailure::Broken => "broken",
            AttemptFailure::ForeignAnswer => "foreign_answer",
            AttemptFailure::NoAnswer => "no_answer",
            AttemptFailure::NoEvent => "no_event",
            AttemptFailure::TimedOut => "timed_out",
        }
    }

    fn outcome(self) -> Option<ServerOutcomeKind> {
        match self {
            AttemptFailure::Unreachable => Some(ServerOutcomeKind::Unreachable),
            AttemptFailure::NotSent
            | AttemptFailure::Broken
            | AttemptFailure::ForeignAnswer
            | AttemptFailure::NoAnswer
            | AttemptFailure::NoEvent => Some(ServerOutcomeKind::Broken),
            AttemptFailure::NotRun => Some(ServerOutcomeKind::Full),
            AttemptFailure::Misdirected => Some(ServerOutcomeKind::Replaced),
            // Neither says anything about the server's health: the request may just take long,
            // and a server in another run works.
            AttemptFailure::TimedOut | AttemptFailure::Unconfirmed => None,
        }
    }
}

/// The kind of body that a successful answer has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// A stream of at least one event.
    Events,
    /// Any bytes, or none.
    Plain,
}

/// What is required of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTerms {
    /// The kind of body that a successful answer has.
    pub kind: AnswerKind,
    /// The longest wait for the first bytes of the answer's body.
    pub timeout: Duration,
    /// The run of the server that has to be confirmed before the request is sent; `None` if
    /// any may run it.
    pub run: Option<u64>,
}

/// An answer whose first bytes have been received.
#[derive(Debug)]
pub struct OpenAnswer<D: Dialect> {
    /// Counts the request as in flight on the server.
    pub guard: AttemptGuard<D>,
    /// The connection, which can be reused once the body has been read.
    pub connection: ServerConnection,
    /// The head of the answer.
    pub head: response::Parts,
    /// The parsed head.
    pub answer: ServerAnswer,
    /// What has been received of the body, without `first`.
    pub progress: AnswerProgress,
    /// The rest of the body.
    pub body: Incoming,
    /// The first bytes of the body; `None` if it is empty.
    pub first: Option<Bytes>,
}

/// Sends a request to a server and waits, at most as `terms` say, for the first bytes of the
/// answer's body. Until they are passed on, another server can still take over without the
/// caller noticing; a head alone doesn't show that the server runs the request.
///
/// # Errors
///
/// The error says whether the request may have run.
pub async fn open_answer<D: Dialect>(
    guard: AttemptGuard<D>,
    request: Request<Full<Bytes>>,
    request_id: &str,
    terms: AttemptTerms,
) -> Result<OpenAnswer<D>, AttemptFailure> {
    let node = guard.node.clone();
    let server = guard.server;
    let exchanging = send_and_receive(guard, request, request_id, terms);
    let result = match tokio::time::timeout(terms.timeout, exchanging).await {
        Ok(result) => result,
        Err(_) => Err(AttemptFailure::TimedOut),
    };
    match &result {
        Ok(_) => node.metrics.attempt("opened"),
        Err(failure) => {
            node.metrics.attempt(failure.as_str());
            let now = node.clock.now();
            let mut servers = node.servers.borrow_mut();
            if let Some(outcome) = failure.outcome() {
                servers.note(server, outcome, now);
            }
            let name = &servers.listing(server).name;
            log::info!(request = request_id, server = name, outcome = failure.as_str(); "attempt: failed");
        }
    }
    result
}

async fn send_and_receive<D: Dialect>(
    guard: AttemptGuard<D>,
    request: Request<Full<Bytes>>,
    request_id: &str,
    terms: AttemptTerms,
) -> Result<OpenAnswer<D>, AttemptFailure> {
    let node = guard.node.clone();
    let address = address_of(&node, guard.server)?;
    let now = node.clock.now();
    let max_idle = match guard.kind {
        WorkKind::Live => MAX_IDLE,
        WorkKind::Bulk => ITEM_MAX_IDLE,
    };
    let connecting = node
        .connections
        .connect(address, request_id, max_idle, now)
        .await;
    let mut connection = connecting.map_err(|_| AttemptFailure::Unreachable)?;
    if let Some(run) = terms.run {
        confirm_run::<D>(&mut connection, address, run).await?;
        node.servers.borrow_mut().confirm_run(guard.server);
    }
    let sent_at = node.clock.now();
    let method = request.method().clone();
    let sending = connection.send(request).await;
    let response = sending.map_err(|failure| {
        let elapsed = node.clock.now().since(sent_at);
        log::info!(
            request = request_id,
            idle_ms = connection.idle().map(|it| it.as_millis() as u64),
            after_ms = elapsed.as_millis() as u64;
            "attempt: the connection broke before an answer"
        );
        to_attempt_failure(failure)
    })?;
    node.record_server_answer(guard.server);
    let (head, mut body) = response.into_parts();
    let answer = <D::Servers as ServerDialect>::read_answer(&head);
    // A late answer to an earlier request on the same connection may arrive in place of the
    // expected one. Nothing in it is about this request or this moment. The connection is
    // dropped, and with it whatever follows.
    if !is_answer_to(&answer, request_id, connection.is_reused()) {
        log::warn!(
            request = request_id, answered:? = answer.request_id, status = head.status.as_u16(),
            run:? = answer.run, reused = connection.is_reused();
            "attempt: an answer to another request"
        );
        return Err(AttemptFailure::ForeignAnswer);
    }
    let framing = BodyFraming::of(&method, &head).map_err(|error| {
        log::warn!(
            request = request_id, error:% = error;
            "attempt: an answer with an invalid head"
        );
        AttemptFailure::NoAnswer
    })?;
    if let Some(report) = answer.report {
        let now = node.clock.now();
        node.servers.borrow_mut().report(guard.server, report, now);
        node.start_queues.slots_changed.notify_one();
    }
    match answer.run {
        ExecutionStatus::NotRun => return Err(AttemptFailure::NotRun),
        ExecutionStatus::Misdirected => return Err(AttemptFailure::Misdirected),
        ExecutionStatus::Ran => {}
    }
    let progress = AnswerProgress::new(framing);
    let first = read_first_bytes(&mut body).await?;
    if head.status.is_success() {
        guard.record_first_event();
    }
    let has_events = terms.kind == AnswerKind::Events && head.status.is_success();
    if has_events && has_chunk_size(progress, first.as_deref()) {
        log::warn!(request = request_id; "attempt: a stream with sizes of chunks between its events");
        return Err(AttemptFailure::NoAnswer);
    }
    if has_events && first.is_none() && progress.is_broken_off() {
        let end = progress.end_of_body();
        let framing = progress.framing.as_str();
        node.metrics.stream_end(framing, end.as_str());
        return Err(AttemptFailure::NoEvent);
    }
    Ok(OpenAnswer {
        guard,
        connection,
        progress,
        head,
        answer,
        body,
        first,
    })
}

/// Asks a server, over the connection that the request is sent on next, whether it is still
/// in a run. The directory may be older than the server's process, and a connection doesn't
/// outlive one.
async fn confirm_run<D: Dialect>(
    connection: &mut ServerConnection,
    address: SocketAddr,
    run: u64,
) -> Result<(), AttemptFailure> {
    if query_run::<D>(connection, address).await != Some(run) {
        return Err(AttemptFailure::Unconfirmed);
    }
    let next = connection.next_request().await;
    next.map_err(|_| AttemptFailure::Unconfirmed)
}

/// Returns the number of the run that a server states in its report of its state, if it sends
/// one in time.
pub(super) async fn query_run<D: Dialect>(
    connection: &mut ServerConnection,
    address: SocketAddr,
) -> Option<u64> {
    let asking = async {
        let query = state_query::<D>(address);
        let method = query.method().clone();
        let (head, body) = connection.send(query).await.ok()?.into_parts();
        if !head.status.is_success() || BodyFraming::of(&method, &head).is_err() {
            return None;
        }
        let limited = collect_limited(body, MAX_STATE_BYTES);
        limited.await.ok()
    };
    let report = tokio::time::timeout(CONFIRM_TIMEOUT, asking).await;
    <D::Servers as ServerDialect>::read_run(&report.ok()??)
}

pub(super) fn state_query<D: Dialect>(address: SocketAddr) -> Request<Full<Bytes>> {
    let mut query = <D::Servers as ServerDialect>::state_query().map(Full::new);
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        query.headers_mut().insert(header::HOST, host);
    }
    query
}

/// Returns whether an answer belongs to a request. An answer without an id may be taken only
/// for a statement that the request wasn't run, and only on a connection that carried no
/// other request.
fn is_answer_to(answer: &ServerAnswer, request_id: &str, is_reused: bool) -> bool {
    match &answer.request_id {
        Some(id) => id == request_id,
        None => answer.run != ExecutionStatus::Ran && !is_reused,
    }
}

/// Returns whether the first bytes of a stream of events hold the size of a chunk.
fn has_chunk_size(mut progress: AnswerProgress, first: Option<&[u8]>) -> bool {
    progress.push_events(first.unwrap_or_default());
    progress.events.has_chunk_size()
}

pub(super) fn address_of<D: Dialect>(
    node: &Node<D>,
    server: ServerId,
) -> Result<SocketAddr, AttemptFailure> {
    let servers = node.servers.borrow();
    let address = servers.listing(server).address.parse();
    address.map_err(|_| AttemptFailure::NotSent)
}

async fn read_first_bytes(body: &mut Incoming) -> Result<Option<Bytes>, AttemptFailure> {
    if body.is_end_stream() {
        return Ok(None);
    }
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(_)) => return Err(AttemptFailure::Broken),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}

fn to_attempt_failure(failure: SendFailure) -> AttemptFailure {
    match failure {
        SendFailure::NotSent => AttemptFailure::NotSent,
        SendFailure::Broken => AttemptFailure::Broken,
        SendFailure::NoAnswer => AttemptFailure::NoAnswer,
    }
}

impl<D: Dialect> OpenAnswer<D> {
    /// Reads the rest of the body and drops it.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptFailure::Broken`] if the answer breaks off, and
    /// [`AttemptFailure::NoAnswer`] if it is too long.
    pub async fn skip_body(&mut self) -> Result<(), AttemptFailure> {
        let mut bytes = 0;
        while let Some(frame) = self.body.frame().await {
            let Ok(frame) = frame else {
                self.guard.record_outcome(ServerOutcomeKind::Broken);
                return Err(AttemptFailure::Broken);
            };
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > MAX_ANSWER_BYTES {
                self.guard.record_outcome(ServerOutcomeKind::Broken);
                return Err(AttemptFailure::NoAnswer);
            }
        }
        Ok(())
    }

    /// Reads the complete body, whose bytes are taken from the account by `held` before they
    /// are read.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptFailure::Broken`] if the answer breaks off, and
    /// [`AttemptFailure::NoAnswer`] if it is too long, or holds chunks that its head doesn't
    /// declare.
    pub async fn read_whole(
        mut self,
        held: &mut HeldBytes,
    ) -> Result<(response::Parts, Bytes), AttemptFailure> {
        let first = Vec::from(self.first.take().unwrap_or_default());
        let mut reservation = held.for_answer();
        // A request that has been sent is never refused for lack of memory.
        let Ok(()) = reservation.reserve(first.len()).await;
        let reading = collect_reserved(&mut self.body, first, MAX_ANSWER_BYTES, &mut reservation);
        let whole = match reading.await {
            Ok(whole) => whole,
            Err(ReservedBodyError::Body(BodyError::TooLong { .. })) => {
                return Err(AttemptFailure::NoAnswer);
            }
            Err(ReservedBodyError::Body(_)) => {
                self.guard.record_outcome(ServerOutcomeKind::Broken);
                return Err(AttemptFailure::Broken);
            }
            Err(ReservedBodyError::Refused(never)) => match never {},
        };
        if ChunkScanner::finds_chunk(self.progress.framing, &whole) {
            self.guard.record_outcome(ServerOutcomeKind::Broken);
            return Err(AttemptFailure::NoAnswer);
        }
        // A server that fails at once would seem to hold its slots for no time.
        if !self.head.status.is_server_error() {
            self.guard.record_answered();
        }
        let node = self.guard.node.clone();
        let now = node.clock.now();
        node.connections
            .put_back(self.connection, self.answer.keep_alive, now);
        Ok((self.head, whole))
    }
}
