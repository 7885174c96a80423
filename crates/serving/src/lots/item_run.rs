//! Runs one item of a lot on a server.

use std::{cell::Cell, rc::Rc, time::Duration};

use comfreyramp_http::{
    AnswerEnd, AnswerProgress, BodyFraming, EventSplitter, MAX_EVENT_BYTES, event_id, event_text,
};
use comfreyramp_policy::{
    AnswerPace, PaceLimits, ServerId, Timestamp,
    lots::ItemFailureKind,
    name_hash,
    parts::PartKey,
    placement::{AnswerEvidence, ServerOutcomeKind, WorkKind},
    streams::SoftwareKey,
};
use http::StatusCode;
use http_body_util::{BodyExt, Full};
use tokio_util::sync::CancellationToken;

use crate::{
    dialect::{Dialect, ServerDialect},
    model::{LotItem, RequestMetadata},
    node::Node,
    path::{
        AnswerKind, AttemptFailure, AttemptGuard, AttemptTerms, OpenAnswer, has_server_succeeded,
        open_answer,
    },
};

/// Longest wait for the first event. It is longer than for live requests, because the item
/// may wait for a slot that a live request took meanwhile.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Longest silence between two events.
const EVENT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// What a server may send without a further event of an item's answer.
const PACE_LIMITS: PaceLimits = PaceLimits {
    bytes: MAX_EVENT_BYTES,
    time: EVENT_TIMEOUT,
};

/// How long after an item's failure its success at another server is proof against the first.
/// An item may wait long for its next run, and the server may have recovered since.
const MAX_PROOF_AGE: Duration = Duration::from_secs(2);

/// The server at which an item failed, and when, until it is known how the item fares at
/// another server.
pub(super) type ItemFailure = Rc<Cell<Option<(ServerId, Timestamp)>>>;

/// The server whose last answer to an item broke off, or that gave none. Another one may fare
/// better.
pub(super) type AvoidedServer = Rc<Cell<Option<ServerId>>>;

/// How far the output of an item goes with which it can be resumed.
#[derive(Clone, Copy, Debug, Default)]
struct ResumableOutput {
    /// Length in bytes.
    length: usize,
    /// Number of events.
    events: u32,
}

/// What was read of an item's event stream so far.
#[derive(Clone, Debug, Default)]
pub(super) struct ItemProgress {
    /// Id of the last event, from which a later run resumes.
    pub(super) last_event: Option<u64>,
    /// Data of all events so far, one line per event.
    pub(super) output: Vec<u8>,
    /// Number of events so far.
    pub(super) events: u32,
    /// The output up to the last event with an id.
    resumable: ResumableOutput,
    /// Software that wrote the events. No other may resume the item.
    pub(super) software: Option<SoftwareKey>,
    /// Whether the last run, which resumed, ended with its connection before any event.
    is_end_suspected: bool,
}

/// Parameters of one run of an item.
pub(super) struct ItemRun {
    pub(super) item: Rc<LotItem>,
    pub(super) host: String,
    pub(super) customer: String,
    pub(super) progress: ItemProgress,
    pub(super) failed_at: ItemFailure,
    pub(super) avoided: AvoidedServer,
    /// Time until the item is given up.
    pub(super) time_left: Duration,
    /// Cancelled when the item is preempted or its lot is closed.
    pub(super) stop: CancellationToken,
}

/// How a run of an item ended.
#[derive(Debug)]
pub(super) enum ItemOutcome {
    /// The whole answer was received.
    Done(ItemProgress),
    /// The server reports that the item can never succeed.
    Impossible,
    /// The server ran the item and failed, or reports one or the other in an answer that isn't
    /// known to be whole.
    Failed(ItemProgress, ItemFailureKind),
    /// The item wasn't run, so that nothing counts against it.
    NotRun(ItemProgress),
    /// No whole answer was received that says how the run ended: the connection broke, the
    /// server was silent for too long, or its status says nothing about the item.
    Broken(ItemProgress),
    /// The server sent bytes that are no answer, for too long or too many.
    NoAnswer(ItemProgress),
    /// The run was stopped by this daemon.
    Stopped(ItemProgress),
    /// The item wasn't sent, since a part of its prompt is suspected of crashing servers and
    /// its turn to try the part hasn't come.
    Blocked(ItemProgress),
}

/// Runs an item on the server whose slot `guard` occupies.
pub(super) async fn run_item<D: Dialect>(
    node: &Rc<Node<D>>,
    guard: AttemptGuard<D>,
    mut run: ItemRun,
) -> ItemOutcome {
    let (request, terms) = {
        let servers = node.servers.borrow();
        let incarnation = servers.listing(guard.server).incarnation;
        let must_confirm =
            run.progress.software.is_some() || servers.may_have_restarted(guard.server);
        let terms = AttemptTerms {
            kind: AnswerKind::Events,
            timeout: FIRST_EVENT_TIMEOUT,
            // A directory without runs can't tell them apart.
            run: (must_confirm && incarnation > 0).then_some(incarnation),
        };
        let ticket = RequestMetadata {
            server: &servers.listing(guard.server).name,
            customer: Some(&run.customer),
            time_left: run.time_left,
            last_event: run.progress.last_event,
        };
        let request = <D::Servers as ServerDialect>::item_request(&run.item, &run.host, &ticket);
        (request, terms)
    };
    let request = match request {
        Ok(request) => request.map(Full::new),
        Err(error) => {
            log::warn!(item = run.item.id, error:% = error; "lots: no valid request can be built from an item");
            return ItemOutcome::Broken(run.progress);
        }
    };
    let id = &run.item.id;
    let parts = <D::Servers as ServerDialect>::shared_parts(request.headers());
    if node.check_parts(id, &parts, WorkKind::Bulk).is_err() {
        return ItemOutcome::Blocked(run.progress);
    }
    let server = guard.server;
    let opening = open_answer(guard, request, id, terms);
    let opened = tokio::select! {
        opened = opening => opened,
        () = run.stop.cancelled() => return ItemOutcome::Stopped(run.progress),
    };
    let open = match opened {
        Ok(open) => open,
        Err(AttemptFailure::NoEvent) if run.progress.last_event.is_some() => {
            return run.progress.end_without_event();
        }
        Err(failure) if failure.may_have_run() => {
            run.avoided.set(Some(server));
            if failure.is_broken_off() {
                node.record_broken_run(id, &parts, server, None);
            }
            return match failure {
                AttemptFailure::NoAnswer => ItemOutcome::NoAnswer(run.progress),
                _ => ItemOutcome::Broken(run.progress),
            };
        }
        Err(_) => return ItemOutcome::NotRun(run.progress),
    };
    run.record_status(node, server, open.head.status);
    match open.head.status.is_success() {
        true => {
            let began_at = node.clock.now();
            let outcome = read_events(node, open, &mut run, &parts, began_at).await;
            match &outcome {
                ItemOutcome::Done(_) => node.record_finished_run(&run.item.id, &parts),
                ItemOutcome::Broken(_) => {
                    let written_for = node.clock.now().since(began_at);
                    node.record_broken_run(&run.item.id, &parts, server, Some(written_for));
                }
                _ => {}
            }
            outcome
        }
        false => read_failure(node, open, run).await,
    }
}

impl ItemRun {
    /// Takes what an unfinished run has read. The item can only be resumed after an event with
    /// an id, so that those after it would come twice.
    fn take_unfinished(&mut self) -> ItemProgress {
        let mut progress = std::mem::take(&mut self.progress);
        let resumable = progress.resumable;
        if resumable.events == 0 {
            return ItemProgress::default();
        }
        progress.output.truncate(resumable.length);
        progress.events = resumable.events;
        progress
    }

    /// Records the status with which a server answered. As for live requests, a failure counts
    /// once it is known how the item fares at another server.
    fn record_status<D: Dialect>(&self, node: &Node<D>, server: ServerId, status: StatusCode) {
        let Some(has_succeeded) = has_server_succeeded(status) else {
            return;
        };
        let customer = name_hash(&self.customer);
        let now = node.clock.now();
        let record = |server: ServerId, evidence: AnswerEvidence| {
            node.record_answer(&self.item.id, server, customer, evidence);
        };
        let is_recent = |at: Timestamp| now.since(at) < MAX_PROOF_AGE;
        let failed_at = self.failed_at.get().filter(|it| is_recent(it.1));
        let failed_elsewhere = failed_at.map(|it| it.0).filter(|it| *it != server);
        if has_succeeded {
            self.failed_at.set(None);
            record(server, AnswerEvidence::Succeeded);
            if let Some(former) = failed_elsewhere {
                record(former, AnswerEvidence::FailedAlone);
            }
        } else {
            self.failed_at.set(Some((server, now)));
            if let Some(former) = failed_elsewhere {
                self.failed_at.set(None);
                record(former, AnswerEvidence::FailedLikeOthers);
                record(server, AnswerEvidence::FailedLikeOthers);
            }
        }
    }
}

/// Reads an answer without success to its end. Only a whole one says anything about the
/// item, and its connection isn't used again: a server that answers twice would answer the
/// item's next run with the same failure.
async fn read_failure<D: Dialect>(
    node: &Node<D>,
    mut open: OpenAnswer<D>,
    run: ItemRun,
) -> ItemOutcome {
    // An ordinary close at the end of a body without a length may also be that of a server
    // that broke off.
    let is_delimited = open.progress.framing != BodyFraming::ConnectionClose;
    let reading = tokio::time::timeout(EVENT_TIMEOUT, open.skip_body());
    let has_ended = tokio::select! {
        read = reading => matches!(read, Ok(Ok(()))),
        () = run.stop.cancelled() => return ItemOutcome::Stopped(run.progress),
    };
    let is_whole = is_delimited && has_ended;
    log::info!(
        item = run.item.id, server = node.servers.borrow().listing(open.guard.server).name,
        status = open.head.status.as_u16(), framing = open.progress.framing.as_str(),
        is_whole = is_whole;
        "lots: a server answers an item with a failure"
    );
    match open.head.status {
        StatusCode::UNPROCESSABLE_ENTITY if is_whole => ItemOutcome::Impossible,
        // The next run begins anew.
        StatusCode::INTERNAL_SERVER_ERROR if is_whole => {
            ItemOutcome::Failed(ItemProgress::default(), ItemFailureKind::Failed)
        }
        StatusCode::UNPROCESSABLE_ENTITY if has_ended => {
            ItemOutcome::Failed(run.progress, ItemFailureKind::UndelimitedImpossible)
        }
        StatusCode::INTERNAL_SERVER_ERROR if has_ended => {
            ItemOutcome::Failed(run.progress, ItemFailureKind::UndelimitedFailed)
        }
        StatusCode::UNPROCESSABLE_ENTITY | StatusCode::INTERNAL_SERVER_ERROR => {
            ItemOutcome::Failed(run.progress, ItemFailureKind::CutOff)
        }
        _ => ItemOutcome::Broken(run.progress),
    }
}

async fn read_events<D: Dialect>(
    node: &Rc<Node<D>>,
    mut open: OpenAnswer<D>,
    run: &mut ItemRun,
    parts: &[PartKey],
    began_at: Timestamp,
) -> ItemOutcome {
    let mut is_begun = false;
    let mut splitter = EventSplitter::default();
    let mut progress = open.progress;
    let mut pace = AnswerPace::new(PACE_LIMITS);
    let max_output = node.settings.store.value_bytes;
    let software = node.servers.borrow().software(open.guard.server);
    let mut next = open.first.take();
    loop {
        if let Some(data) = next.take() {
            let now = node.clock.now();
            let advances = progress.push_events(&data);
            let is_paced = pace.receive(data.len(), advances, now).is_ok();
            let is_answer = is_paced && !progress.events.has_chunk_size();
            if !is_answer || splitter.push(&data).is_err() {
                return no_answer(&open, run, &progress);
            }
            while let Some(event) = splitter.next_event() {
                run.progress.add_event(&event);
                run.progress.software.get_or_insert(software);
            }
            // No value of the store holds it.
            if run.progress.output.len() > max_output {
                run.progress = ItemProgress::default();
                return no_answer(&open, run, &progress);
            }
            if !is_begun {
                let written_for = now.since(began_at);
                is_begun = node.record_begun_run(&run.item.id, parts, written_for);
            }
        }
        let reading = tokio::time::timeout(EVENT_TIMEOUT, open.body.frame());
        let frame = tokio::select! {
            frame = reading => frame,
            () = run.stop.cancelled() => {
                return ItemOutcome::Stopped(run.take_unfinished());
            }
        };
        match frame {
            Ok(Some(Ok(frame))) => next = frame.into_data().ok(),
            Ok(None) if splitter.is_empty() && !progress.is_broken_off() => break,
            Ok(None) => return broken(&open, run, &progress, progress.end_of_body()),
            Ok(Some(Err(_))) => return broken(&open, run, &progress, AnswerEnd::ReadError),
            Err(_) => return broken(&open, run, &progress, AnswerEnd::Silent),
        }
    }
    record_stream_end(node, &progress, progress.end_of_body());
    open.guard.record_answered();
    let now = node.clock.now();
    node.connections
        .put_back(open.connection, open.answer.keep_alive, now);
    ItemOutcome::Done(std::mem::take(&mut run.progress))
}

fn record_stream_end<D: Dialect>(node: &Node<D>, progress: &AnswerProgress, end: AnswerEnd) {
    let framing = progress.framing.as_str();
    node.metrics.stream_end(framing, end.as_str());
}

fn broken<D: Dialect>(
    open: &OpenAnswer<D>,
    run: &mut ItemRun,
    progress: &AnswerProgress,
    end: AnswerEnd,
) -> ItemOutcome {
    log_broken(open, run, progress, end);
    ItemOutcome::Broken(run.take_unfinished())
}

/// Ends a run whose server sends bytes that are no answer. It runs on, so that the parts of
/// the item's prompt aren't suspected.
fn no_answer<D: Dialect>(
    open: &OpenAnswer<D>,
    run: &mut ItemRun,
    progress: &AnswerProgress,
) -> ItemOutcome {
    log_broken(open, run, progress, AnswerEnd::NoAnswer);
    ItemOutcome::NoAnswer(run.take_unfinished())
}

fn log_broken<D: Dialect>(
    open: &OpenAnswer<D>,
    run: &ItemRun,
    progress: &AnswerProgress,
    end: AnswerEnd,
) {
    let node = open.guard.node();
    record_stream_end(node, progress, end);
    log::info!(
        item = run.item.id,
        server = node.servers.borrow().listing(open.guard.server).name,
        framing = progress.framing.as_str(),
        bytes = progress.bytes,
        events = progress.events.events(),
        answer_end = end.as_str();
        "lots: the answer to an item broke off"
    );
    open.guard.record_outcome(ServerOutcomeKind::Broken);
    run.avoided.set(Some(open.guard.server));
}

impl ItemProgress {
    /// Ends a run whose answer ended with its connection before any event. A run that
    /// resumes after the last event has none to send; only a second run that ends in the
    /// same way shows that nothing is missing.
    fn end_without_event(mut self) -> ItemOutcome {
        if self.is_end_suspected {
            return ItemOutcome::Done(self);
        }
        self.is_end_suspected = self.last_event.is_some();
        ItemOutcome::Broken(self)
    }

    fn add_event(&mut self, event: &[u8]) {
        self.is_end_suspected = false;
        let id = event_id(event);
        // Skips events that a server repeats, which would appear in the output twice.
        if id.is_some() && id <= self.last_event {
            return;
        }
        let Some(text) = event_text(event) else {
            return;
        };
        if self.events > 0 {
            self.output.push(b'\n');
        }
        self.output.extend_from_slice(&text);
        self.events += 1;
        if id.is_some() {
            self.last_event = id;
            self.resumable = ResumableOutput {
                length: self.output.len(),
                events: self.events,
            };
        }
    }
}

impl ItemOutcome {
    /// Returns the number of events that the item keeps after this run.
    pub(super) fn events(&self) -> u32 {
        match self {
            ItemOutcome::Done(progress)
            | ItemOutcome::Failed(progress, _)
            | ItemOutcome::NotRun(progress)
            | ItemOutcome::Broken(progress)
            | ItemOutcome::NoAnswer(progress)
            | ItemOutcome::Stopped(progress)
            | ItemOutcome::Blocked(progress) => progress.events,
            ItemOutcome::Impossible => 0,
        }
    }

    /// Returns the outcome as a label for logs and metrics.
    pub(super) fn as_str(&self) -> &'static str {
        match self {
            ItemOutcome::Done(_) => "done",
            ItemOutcome::Impossible => "impossible",
            ItemOutcome::Failed(_, ItemFailureKind::Failed) => "failed",
            ItemOutcome::Failed(..) => "failed_unproven",
            ItemOutcome::NotRun(_) => "not_run",
            ItemOutcome::Broken(_) => "broken",
            ItemOutcome::NoAnswer(_) => "no_answer",
            ItemOutcome::Stopped(_) => "stopped",
            ItemOutcome::Blocked(_) => "blocked",
        }
    }
}
