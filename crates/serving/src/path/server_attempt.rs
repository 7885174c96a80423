//! One attempt: a request sent to one server, up to the first bytes of its answer.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use comfreyramp_policy::{
    ServerId, Timestamp,
    placement::{ServerOutcomeKind, WorkKind},
};
use http::{Request, response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};

use super::{LONGEST_IDLE, SendFailure, ServerConnection};
use crate::{
    dialect::{Dialect, ServerDialect},
    model::{RunClaim, ServerAnswer},
    node::Node,
};

/// An item of a lot goes over a connection that has been idle for no longer than this. A cut doesn't show on an idle connection: what is
/// sent into it waits there, and may reach the server once the cut heals, when the
/// customer has ended the lot long since. A new connection proves its path within
/// moments; one that was in use so lately fails by its unacknowledged bytes, before
/// anything else ends it that leaves them on their way.
const ITEM_LONGEST_IDLE: Duration = Duration::from_millis(1_000);

/// A request's place on a server, given back when it is dropped.
#[derive(Debug)]
pub struct AttemptGuard<D: Dialect> {
    node: Rc<Node<D>>,
    /// The server.
    pub server: ServerId,
    kind: WorkKind,
    begun: Timestamp,
    has_slot: bool,
}

impl<D: Dialect> AttemptGuard<D> {
    /// Takes a place on a server.
    pub fn begin(node: Rc<Node<D>>, server: ServerId, kind: WorkKind) -> Self {
        let begun = node.clock.now();
        let has_slot = node.servers.borrow_mut().begin(server, kind, begun);
        node.metrics.in_flight(kind.as_str(), 1);
        node.load_changed.notify_one();
        AttemptGuard {
            node,
            server,
            kind,
            begun,
            has_slot,
        }
    }

    /// Takes note of how the attempt went.
    pub fn note(&self, outcome: ServerOutcomeKind) {
        let now = self.node.clock.now();
        self.node
            .servers
            .borrow_mut()
            .note(self.server, outcome, now);
    }

    /// Takes note that the server has answered to the end.
    pub fn note_answered(&self) {
        self.note(ServerOutcomeKind::Answered);
        if self.has_slot && self.kind == WorkKind::Live {
            let held = self.node.clock.now().since(self.begun);
            self.node.servers.borrow_mut().note_span(self.server, held);
        }
    }
}

impl<D: Dialect> Drop for AttemptGuard<D> {
    fn drop(&mut self) {
        self.node.servers.borrow_mut().end(self.server, self.kind);
        self.node.metrics.in_flight(self.kind.as_str(), -1);
        self.node.load_changed.notify_one();
        self.node.bulk_wake.notify_one();
    }
}

/// Why an attempt brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte reached the server.
    NotSent,
    /// The server says that it didn't run the request.
    NotRun,
    /// Another server has the address now, and didn't run the request.
    Misdirected,
    /// It was sent, and no whole answer came.
    Broken,
    /// No answer came in time.
    TimedOut,
}

impl AttemptFailure {
    /// Whether the request may have run.
    pub fn may_have_run(self) -> bool {
        matches!(self, AttemptFailure::Broken | AttemptFailure::TimedOut)
    }

    /// The failure as a label.
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptFailure::NotSent => "not_sent",
            AttemptFailure::NotRun => "not_run",
            AttemptFailure::Misdirected => "misdirected",
            AttemptFailure::Broken => "broken",
            AttemptFailure::TimedOut => "timed_out",
        }
    }

    fn outcome(self) -> Option<ServerOutcomeKind> {
        match self {
            AttemptFailure::NotSent | AttemptFailure::Broken => Some(ServerOutcomeKind::Broken),
            AttemptFailure::NotRun => Some(ServerOutcomeKind::Full),
            AttemptFailure::Misdirected => Some(ServerOutcomeKind::Replaced),
            // The request may simply take long.
            AttemptFailure::TimedOut => None,
        }
    }
}

/// An answer whose first bytes are here.
#[derive(Debug)]
pub struct OpenAnswer<D: Dialect> {
    /// The place on the server.
    pub guard: AttemptGuard<D>,
    /// The connection, to be used again once the body is read.
    pub connection: ServerConnection,
    /// The head.
    pub head: response::Parts,
    /// What the head tells.
    pub answer: ServerAnswer,
    /// The rest of the body.
    pub body: Incoming,
    /// The first bytes of the body; nothing if it is empty.
    pub first: Option<Bytes>,
}

/// Sends a request to a server and reads up to the first bytes of the answer's
/// body. Until then another server can still take over without the caller
/// noticing; a head alone is no sign that the server gets to work.
///
/// # Errors
///
/// Tells what is known of whether the request ran.
pub async fn open_answer<D: Dialect>(
    guard: AttemptGuard<D>,
    request: Request<Full<Bytes>>,
    request_id: &str,
    within: Duration,
) -> Result<OpenAnswer<D>, AttemptFailure> {
    let node = guard.node.clone();
    let server = guard.server;
    let opening = tokio::time::timeout(within, exchange(guard, request, request_id));
    let result = match opening.await {
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

async fn exchange<D: Dialect>(
    guard: AttemptGuard<D>,
    request: Request<Full<Bytes>>,
    request_id: &str,
) -> Result<OpenAnswer<D>, AttemptFailure> {
    let node = guard.node.clone();
    let address = address_of(&node, guard.server)?;
    let now = node.clock.now();
    let longest_idle = match guard.kind {
        WorkKind::Live => LONGEST_IDLE,
        WorkKind::Bulk => ITEM_LONGEST_IDLE,
    };
    let connecting = node.connections.connect(address, longest_idle, now).await;
    let mut connection = connecting.map_err(failure_of)?;
    let sent = node.clock.now();
    let sending = connection.send(request).await;
    let response = sending.map_err(|failure| {
        let after = node.clock.now().since(sent);
        log::info!(
            request = request_id,
            idle_ms = connection.idle().map(|it| it.as_millis() as u64),
            after_ms = after.as_millis() as u64;
            "attempt: the connection broke before an answer"
        );
        failure_of(failure)
    })?;
    let (head, mut body) = response.into_parts();
    let answer = <D::Servers as ServerDialect>::read_answer(&head);
    if let Some(report) = answer.report {
        let now = node.clock.now();
        node.servers.borrow_mut().report(guard.server, report, now);
    }
    match answer.run {
        RunClaim::NotRun => return Err(AttemptFailure::NotRun),
        RunClaim::Misdirected => return Err(AttemptFailure::Misdirected),
        RunClaim::Ran => {}
    }
    // A late answer to an earlier request may stand where this one's is due; the
    // connection is dropped with whatever follows on it.
    if answer.request_id.as_deref() != Some(request_id) {
        log::warn!(
            request = request_id, answered:? = answer.request_id, reused = connection.is_reused();
            "attempt: an answer to another request"
        );
        return Err(AttemptFailure::Broken);
    }
    let first = first_bytes(&mut body).await?;
    Ok(OpenAnswer {
        guard,
        connection,
        head,
        answer,
        body,
        first,
    })
}

fn address_of<D: Dialect>(node: &Node<D>, server: ServerId) -> Result<SocketAddr, AttemptFailure> {
    let servers = node.servers.borrow();
    let address = servers.listing(server).address.parse();
    address.map_err(|_| AttemptFailure::NotSent)
}

async fn first_bytes(body: &mut Incoming) -> Result<Option<Bytes>, AttemptFailure> {
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

fn failure_of(failure: SendFailure) -> AttemptFailure {
    match failure {
        SendFailure::NotSent => AttemptFailure::NotSent,
        SendFailure::Broken => AttemptFailure::Broken,
    }
}

impl<D: Dialect> OpenAnswer<D> {
    /// Reads the rest of the body, no more than `limit` bytes in whole.
    ///
    /// # Errors
    ///
    /// An answer that breaks off, or is longer, isn't whole.
    pub async fn read_whole(
        mut self,
        limit: usize,
    ) -> Result<(response::Parts, Bytes), AttemptFailure> {
        let mut whole = Vec::from(self.first.take().unwrap_or_default());
        while let Some(frame) = self.body.frame().await {
            let Ok(frame) = frame else {
                self.guard.note(ServerOutcomeKind::Broken);
                return Err(AttemptFailure::Broken);
            };
            if let Ok(data) = frame.into_data() {
                whole.extend_from_slice(&data);
            }
            if whole.len() > limit {
                return Err(AttemptFailure::Broken);
            }
        }
        self.guard.note_answered();
        let node = self.guard.node.clone();
        let now = node.clock.now();
        node.connections
            .put_back(self.connection, self.answer.kept_for, now);
        Ok((self.head, whole.into()))
    }
}
