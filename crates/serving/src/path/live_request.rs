//! Handles a caller's live request, from its head to the answer.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use comfreyramp_http::AnswerProgress;
use comfreyramp_policy::{
    ServerId, Timestamp,
    memory::HolderKind,
    parts::PartKey,
    placement::{LoadShare, Placement, PlacementQuery, PlacementRefusal, PromptPart, WorkKind},
    streams::SoftwareKey,
};
use http::{HeaderMap, Method, Request, Response, StatusCode, header, request};
use http_body_util::Full;
use hyper::body::Incoming;

use super::{
    AnswerBody, AttemptGuard, OpenAnswer,
    server_attempt::{AnswerKind, AttemptFailure, AttemptTerms, open_answer},
    server_probe::ServerProcess,
    stream_relay::StreamRelay,
};
use crate::{
    dialect::{CallerDialect, Dialect, ServerDialect},
    fleet::{KnownCustomer, choose_service},
    lots,
    memory::{
        CallerConnection, HeldBody, HeldData, HeldStream, HolderLabel, read_lot_body,
        read_request_body,
    },
    model::{
        CallerAction, CallerHead, Refusal, RefusalCause, RequestMetadata, ResumedStream, RouteKind,
        RouteSettings,
    },
    node::Node,
    suspects::fingerprint,
};

/// The maximum number of servers to which one request is sent, including those that
/// rejected it. Each costs a round trip, and a full fleet stays full for longer than a few
/// round trips take.
const MAX_SERVERS: usize = 5;
/// The maximum number of servers that are tried, including those that can't be reached: a
/// whole zone may have failed, and a refused connection costs little.
const MAX_TRIED_SERVERS: usize = 12;
/// The fraction of the objective that may pass before a request starts on a server. The
/// rest is for its first token.
pub(super) const START_FRACTION: f64 = 0.7;
/// A request whose caller waits for less than this fraction of the route's timeout counts as
/// a retry: the caller has been refused before. It is served late rather than refused again.
const RETRY_TIMEOUT_FRACTION: f64 = 0.95;
/// The fraction of the remaining time for which a retried request may wait for a slot.
const RETRY_WAIT_FRACTION: f64 = 0.4;
/// If another server may take over, a server that has sent nothing for this many times the
/// objective is given up.
const FIRST_BYTE_OBJECTIVES: u32 = 3;
/// The minimum time after which a server that has sent nothing is given up.
const MIN_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(800);
/// The time after which a caller may retry if the daemon has no settings or a service has no
/// servers. Both usually change within a second or two.
pub(super) const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The state of a live request.
#[derive(Debug)]
pub(super) struct LiveRequest<D: Dialect> {
    pub(super) node: Rc<Node<D>>,
    pub(super) request_id: String,
    pub(super) customer: Option<Arc<KnownCustomer>>,
    pub(super) route: Arc<RouteSettings>,
    head: request::Parts,
    body: HeldBody,
    label: Rc<HolderLabel>,
    /// The stream of an earlier request that this one takes up.
    pub(super) resumed: Option<ResumedStream>,
    /// The software that began the stream, once the caller has an event of it. No other may
    /// go on with it.
    pub(super) software: Option<SoftwareKey>,
    /// The parts of its prompt that other requests have too.
    pub(super) parts: Vec<PartKey>,
    /// All parts of its prompt with their sizes.
    pub(super) prompt: Vec<PromptPart>,
    /// Whether the stream's software has been told to other daemons: the caller has an event
    /// of this answer.
    pub(super) has_told_origin: bool,
    pub(super) fingerprint: u64,
    /// Servers that broke off their answers soon after they had begun them.
    pub(super) late_breaks: Vec<ServerProcess>,
    pub(super) received_at: Timestamp,
    pub(super) deadline: Timestamp,
    pub(super) tried_servers: Vec<ServerId>,
    /// The server that failed the request, until another server has answered it.
    pub(super) failed_at: Option<ServerId>,
    /// The number of tried servers that couldn't be reached.
    unreachable_servers: usize,
    /// The number of servers that ran the request or may have run it.
    pub(super) runs: u32,
    is_retry: bool,
    /// The load of all daemons on the server that was chosen last.
    pub(super) load: LoadShare,
    /// When the first bytes of an answer were received.
    pub(super) first_byte_at: Option<Timestamp>,
    /// When the first bytes of the last server's answer were received.
    pub(super) run_began_at: Option<Timestamp>,
    /// What was received of the last answer, for the log.
    pub(super) progress: Option<AnswerProgress>,
}

type Answer<D> = Result<Response<AnswerBody<D>>, Refusal>;

/// Answers a caller's request.
pub async fn answer_caller<D: Dialect>(
    node: Rc<Node<D>>,
    request: Request<Incoming>,
) -> Response<AnswerBody<D>> {
    let received_at = node.clock.now();
    let (mut head, body) = request.into_parts();
    let connection = head.extensions.remove::<CallerConnection>();
    let caller = match <D::Callers as CallerDialect>::read_head(&head) {
        Ok(caller) => caller,
        Err(fault) => {
            log::info!(fault:% = fault; "callers: a request's head is invalid");
            return refuse(&Refusal::new(RefusalCause::BadRequest));
        }
    };
    let request_id = caller.request_id.clone();
    let dispatching = dispatch(&node, caller, head, body, received_at, connection);
    let answer = tokio::select! {
        biased;
        answer = dispatching => answer,
        () = node.last_answers.cancelled() => Err(RefusalCause::AnswerLost.into()),
    };
    answer.unwrap_or_else(|refusal| {
        let span = node.clock.now().since(received_at);
        // `Node` counts refusals of customers over their rate itself, by customer.
        if refusal.cause != RefusalCause::RateExceeded {
            node.metrics.refusal("", refusal.cause.as_str());
        }
        log::info!(
            request = request_id,
            cause = refusal.cause.as_str(),
            held_ms = span.as_millis() as u64,
            retry_ms = refusal.retry_after.unwrap_or_default().as_millis() as u64;
            "callers: refused"
        );
        refuse(&refusal)
    })
}

fn refuse<D: Dialect>(refusal: &Refusal) -> Response<AnswerBody<D>> {
    <D::Callers as CallerDialect>::refuse(refusal).map(AnswerBody::whole)
}

async fn dispatch<D: Dialect>(
    node: &Rc<Node<D>>,
    caller: CallerHead,
    head: request::Parts,
    body: Incoming,
    received_at: Timestamp,
    connection: Option<CallerConnection>,
) -> Answer<D> {
    let no_settings =
        || Refusal::new(RefusalCause::NoSettings).retry_after(UNAVAILABLE_RETRY_AFTER);
    let fleet = node.fleet().ok_or_else(no_settings)?;
    let limit = fleet.settings.limits.body_bytes;
    if caller.ask != CallerAction::Forward {
        let customer = known_customer(&fleet, &caller)?;
        let former_host = (!fleet.knows_host(&caller.host)).then_some(caller.host.as_str());
        let reader = lots::LotReader {
            customer: customer.settings.name.as_str(),
            request: &caller.request_id,
            former_host,
        };
        let label = holder_label(Some(&customer), &caller, connection);
        return lots::answer_lot_request(node, reader, caller.ask, &label).await;
    }
    let route = fleet.route(&caller.host, head.uri.path());
    let route = route.ok_or(RefusalCause::NoRoute)?;
    let customer = match route.is_public || !fleet.requires_keys() {
        true => None,
        false => Some(known_customer(&fleet, &caller)?),
    };
    drop(fleet);
    let time_left = caller.time_left.unwrap_or(route.timeout).min(route.timeout);
    let deadline = received_at + time_left;
    if let RouteKind::Lot(terms) = route.kind {
        let customer = customer.ok_or(RefusalCause::UnknownKey)?;
        let label = holder_label(Some(&customer), &caller, connection);
        let reading = read_lot_body(&node.memory, &label, body, limit, time_left);
        let body = unless_stopped(node, reading).await?;
        let submission = lots::Submission {
            lot: caller.request_id,
            customer,
            route,
            terms,
            deadline,
        };
        return lots::accept_lot(node, submission, &body.bytes).await;
    }
    if let Some(customer) = &customer {
        node.confirm_peer_usage(customer).await;
        node.check_rate(customer, &caller.request_id)?;
    }
    let label = holder_label(customer.as_ref(), &caller, connection);
    let reading = read_request_body(&node.memory, &label, body, limit, time_left);
    let body = unless_stopped(node, reading).await?;
    let is_retry = time_left < route.timeout.mul_f64(RETRY_TIMEOUT_FRACTION);
    let name = customer.as_ref().map_or("", |it| it.settings.name.as_str());
    let request = LiveRequest {
        node: node.clone(),
        request_id: caller.request_id,
        fingerprint: fingerprint(name, head.uri.path(), &body.bytes),
        parts: <D::Servers as ServerDialect>::shared_parts(&head.headers),
        prompt: <D::Servers as ServerDialect>::prompt_parts(&head.headers),
        customer,
        route,
        head,
        body,
        label,
        resumed: caller.resumed,
        software: None,
        has_told_origin: false,
        late_breaks: Vec::new(),
        received_at,
        deadline,
        tried_servers: Vec::new(),
        failed_at: None,
        unreachable_servers: 0,
        runs: 0,
        is_retry,
        load: LoadShare::default(),
        first_byte_at: None,
        run_began_at: None,
        progress: None,
    };
    request.run().await
}

/// Reads a body, unless the daemon ends before: nothing of the request has run then.
async fn unless_stopped<D: Dialect, T>(
    node: &Node<D>,
    reading: impl Future<Output = Result<T, Refusal>>,
) -> Result<T, Refusal> {
    tokio::select! {
        biased;
        read = reading => read,
        () = node.last_answers.cancelled() => Err(stopping()),
    }
}

fn stopping() -> Refusal {
    Refusal::new(RefusalCause::Stopping).retry_after(UNAVAILABLE_RETRY_AFTER)
}

fn holder_label(
    customer: Option<&Arc<KnownCustomer>>,
    caller: &CallerHead,
    connection: Option<CallerConnection>,
) -> Rc<HolderLabel> {
    Rc::new(HolderLabel {
        request_id: caller.request_id.clone(),
        customer: customer.map_or_else(String::new, |it| it.settings.name.clone()),
        connection: connection.unwrap_or_default(),
    })
}

fn known_customer(
    fleet: &crate::fleet::FleetView,
    caller: &CallerHead,
) -> Result<Arc<KnownCustomer>, Refusal> {
    let key = caller.key.as_deref().ok_or(RefusalCause::UnknownKey)?;
    let customer = fleet.customer_of_key(key);
    customer.ok_or(RefusalCause::UnknownKey.into())
}

impl<D: Dialect> LiveRequest<D> {
    async fn run(mut self) -> Answer<D> {
        if self.node.is_suspect(self.fingerprint) {
            return Err(RefusalCause::CrashesServers.into());
        }
        self.check_parts()?;
        if self.is_resumable() {
            self.software = self.find_origin().await?;
        }
        let mut is_admitted = false;
        loop {
            let open = match self.open_next(None, &mut is_admitted).await? {
                Ok(open) => open,
                Err(failure) => {
                    self.check_failover(failure)?;
                    continue;
                }
            };
            let status = open.head.status;
            let server = open.guard.server;
            if status.is_success() && matches!(self.route.kind, RouteKind::Stream { .. }) {
                return Ok(self.relay(open));
            }
            let is_retryable_error = status.is_server_error() && self.route.kind.is_idempotent();
            let limit = self.body_timeout(self.node.clock.now());
            let mut held = self.node.memory.open(&self.label, HolderKind::Answer);
            let reading = open.read_whole(&mut held);
            let reading = tokio::time::timeout(limit, reading).await;
            let whole = reading.unwrap_or(Err(AttemptFailure::TimedOut));
            if matches!(whole, Err(failure) if failure.is_broken_off()) {
                self.record_broken_run(server, self.written_for());
                self.note_late_break(server);
            }
            match whole {
                Ok(_)
                    if is_retryable_error
                        && self.check_failover(AttemptFailure::Broken).is_ok() => {}
                Ok((head, _)) if self.is_false_promise(head.status) => {
                    log::info!(
                        request = self.request_id, status = head.status.as_u16();
                        "callers: the server's status would promise that the request hasn't run"
                    );
                    return Err(RefusalCause::AnswerLost.into());
                }
                Ok((head, body)) => {
                    if let Some(progress) = &mut self.progress {
                        progress.bytes = body.len() as u64;
                    }
                    if head.status.is_success() {
                        self.record_finished_run();
                    }
                    return Ok(self.return_answer(head, HeldData::whole(body, held)));
                }
                Err(failure) => {
                    if let Err(refusal) = self.check_failover(failure) {
                        self.check_losses();
                        return Err(refusal);
                    }
                }
            }
        }
    }

    fn check_parts(&self) -> Result<(), Refusal> {
        self.node
            .check_parts(&self.request_id, &self.parts, WorkKind::Live)
    }

    /// Returns whether a server's status would promise a caller that its request hasn't run,
    /// although it may have and mustn't run again.
    fn is_false_promise(&self, status: StatusCode) -> bool {
        let may_run_again = self.route.kind.is_idempotent();
        !may_run_again && <D::Callers as CallerDialect>::promises_not_run(status)
    }

    /// Chooses a server and sends the request to it.
    ///
    /// The outer error is the final refusal. After an inner error, another server may be
    /// tried.
    pub(super) async fn open_next(
        &mut self,
        last_event: Option<u64>,
        is_admitted: &mut bool,
    ) -> Result<Result<OpenAnswer<D>, AttemptFailure>, Refusal> {
        let (placement, attempt) = self.find_slot().await?;
        let now = self.node.clock.now();
        let stop = self.node.planned_stop.get();
        if self.runs == 0 && stop.is_some_and(|it| !it.may_begin(self.deadline, now)) {
            return Err(stopping());
        }
        let server = placement.server;
        self.load = placement.load;
        if !*is_admitted {
            if let Some(customer) = &self.customer {
                self.node.admit(customer, &self.request_id)?;
            }
            *is_admitted = true;
        }
        self.tried_servers.push(server);
        let request = self.build_request(server, last_event, now);
        let begin = || AttemptGuard::begin(self.node.clone(), server, WorkKind::Live);
        let mut guard = attempt.unwrap_or_else(begin);
        guard.begin_prompt(&self.request_id, &self.prompt);
        self.node.report_placement(server);
        let terms = AttemptTerms {
            kind: match self.route.kind {
                RouteKind::Stream { .. } => AnswerKind::Events,
                _ => AnswerKind::Plain,
            },
            timeout: self.first_byte_timeout(now),
            run: self.run_to_confirm(server),
        };
        let result = open_answer(guard, request, &self.request_id, terms).await;
        if matches!(result, Err(failure) if failure.is_broken_off()) {
            self.node.record_crash(self.fingerprint);
            self.record_broken_run(server, None);
        }
        if matches!(result, Err(AttemptFailure::Unreachable)) {
            self.unreachable_servers += 1;
        }
        if !matches!(&result, Err(failure) if !failure.may_have_run()) {
            self.runs += 1;
        }
        if let Ok(open) = &result {
            let now = self.node.clock.now();
            self.progress = Some(open.progress);
            self.first_byte_at.get_or_insert(now);
            self.run_began_at = Some(now);
            let status = open.head.status;
            self.record_status(server, status);
        }
        Ok(result)
    }

    pub(super) fn choose_server(&self, now: Timestamp) -> Result<Placement, Refusal> {
        let servers = self.node.servers.borrow();
        let mut random = rand::rng();
        let has_server = |service: &str| match self.software {
            Some(software) => servers.has_software(service, software),
            None => servers.has_server(service),
        };
        let service = choose_service(&self.route, has_server, &mut random);
        let Some(service) = service else {
            let cause = match self.software {
                Some(_) => RefusalCause::NoServerOfVersion,
                None => RefusalCause::NoServer,
            };
            return Err(self.final_refusal(cause, UNAVAILABLE_RETRY_AFTER));
        };
        let query = PlacementQuery {
            service,
            zone: &self.node.settings.zone,
            exclude: &self.tried_servers,
            max_wait: self.max_slot_wait(now),
            software: self.software,
            parts: &self.prompt,
        };
        drop(servers);
        if let Some(placement) = self.choose_trial(query, now) {
            return Ok(placement);
        }
        let servers = self.node.servers.borrow();
        match servers.choose_live(query, now, &mut random) {
            Ok(placement) => Ok(placement),
            Err(PlacementRefusal::NoServer) => {
                Err(self.final_refusal(RefusalCause::RejectedByServers, UNAVAILABLE_RETRY_AFTER))
            }
            Err(PlacementRefusal::Full { retry_after, best }) => {
                log::info!(
                    request = self.request_id, route = self.route.name,
                    server = servers.listing(best.server).name,
                    is_home = servers.is_home(best.server),
                    live = best.load.live, bulk = best.load.bulk,
                    pace_percent = servers.pace_percent(best.server, now),
                    expected_ms = best.expected_wait.as_millis() as u64,
                    max_ms = query.max_wait.as_millis() as u64;
                    "placement: all servers are full"
                );
                Err(self.final_refusal(RefusalCause::Full, retry_after))
            }
        }
    }

    /// Returns the final refusal of a request that no server takes. If the request may have
    /// run, the cause is always [`RefusalCause::AnswerLost`], because the given cause would
    /// state that it hasn't run.
    pub(super) fn final_refusal(&self, cause: RefusalCause, retry_after: Duration) -> Refusal {
        match self.runs {
            0 => Refusal::new(cause).retry_after(retry_after),
            _ => RefusalCause::AnswerLost.into(),
        }
    }

    /// Returns how long the request may wait for a slot on a server.
    pub(super) fn max_slot_wait(&self, now: Timestamp) -> Duration {
        let passed = now.since(self.received_at);
        if self.is_retry || self.runs > 0 {
            return self.deadline.since(now).mul_f64(RETRY_WAIT_FRACTION);
        }
        self.route
            .objective
            .mul_f64(START_FRACTION)
            .saturating_sub(passed)
    }

    /// Returns how long a server may take until the first bytes of its answer.
    fn first_byte_timeout(&self, now: Timestamp) -> Duration {
        let left = self.deadline.since(now);
        let is_last_attempt =
            !self.route.kind.is_idempotent() || self.runs + 1 >= self.route.attempts;
        if is_last_attempt {
            return left;
        }
        left.min(self.failover_timeout())
    }

    /// Returns how long a server may take from the first bytes of its answer to the end, if
    /// the answer isn't a stream. Its bytes may come without end.
    fn body_timeout(&self, now: Timestamp) -> Duration {
        let left = self.deadline.since(now);
        match self.may_run_again() {
            true => left.min(self.failover_timeout()),
            false => left,
        }
    }

    /// Returns how long a server may take for a step of its answer if another server may take
    /// over.
    fn failover_timeout(&self) -> Duration {
        let timeout = self.route.objective * FIRST_BYTE_OBJECTIVES;
        timeout.max(MIN_FIRST_BYTE_TIMEOUT)
    }

    fn build_request(
        &self,
        server: ServerId,
        last_event: Option<u64>,
        now: Timestamp,
    ) -> Request<Full<Bytes>> {
        let servers = self.node.servers.borrow();
        let metadata = RequestMetadata {
            server: &servers.listing(server).name,
            customer: self.customer.as_ref().map(|it| it.settings.name.as_str()),
            time_left: self.deadline.since(now),
            last_event,
        };
        let mut request = Request::new(Full::new(self.body.bytes.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = origin_form(&self.head.uri);
        *request.headers_mut() =
            <D::Servers as ServerDialect>::forwarded(&self.head.headers, &metadata);
        request
    }

    /// Checks whether another server may be tried after a failed attempt.
    ///
    /// # Errors
    ///
    /// Returns the final refusal if not.
    pub(super) fn check_failover(&self, failure: AttemptFailure) -> Result<(), Refusal> {
        let now = self.node.clock.now();
        if now >= self.deadline {
            return Err(match self.runs {
                0 => self.final_refusal(RefusalCause::RejectedByServers, UNAVAILABLE_RETRY_AFTER),
                _ => RefusalCause::TimedOut.into(),
            });
        }
        if failure.may_have_run() {
            let is_suspect = self.node.is_suspect(self.fingerprint) || self.check_parts().is_err();
            if !self.may_run_again() || is_suspect {
                return Err(RefusalCause::AnswerLost.into());
            }
        }
        let tried = self.tried_servers.len();
        if tried - self.unreachable_servers >= MAX_SERVERS || tried >= MAX_TRIED_SERVERS {
            return Err(
                self.final_refusal(RefusalCause::RejectedByServers, UNAVAILABLE_RETRY_AFTER)
            );
        }
        Ok(())
    }

    fn return_answer(
        &self,
        head: http::response::Parts,
        body: HeldData,
    ) -> Response<AnswerBody<D>> {
        let mut answer = Response::new(AnswerBody::held(body));
        *answer.status_mut() = head.status;
        *answer.headers_mut() = self.returned_headers(head.headers);
        self.record_end("passed_back", head.status);
        answer
    }

    fn relay(mut self, open: OpenAnswer<D>) -> Response<AnswerBody<D>> {
        if !self.route.kind.is_idempotent() {
            self.body.release();
        }
        let status = open.head.status;
        let headers = self.returned_headers(open.head.headers.clone());
        let span = self.node.clock.now().since(self.received_at);
        self.node
            .metrics
            .first_byte(self.customer_name(), "stream", span);
        let node = self.node.clone();
        let held = node.memory.open(&self.label, HolderKind::Answer);
        let deadline = self.deadline;
        let relay = StreamRelay::new(self, open);
        let stream = HeldStream::new(relay, held, deadline, node.clock);
        let mut answer = Response::new(AnswerBody::Streaming(Box::new(stream)));
        *answer.status_mut() = status;
        *answer.headers_mut() = headers;
        answer
    }

    /// Returns the headers of a server's answer as the caller gets them. The server's length
    /// isn't among them, as the daemon determines the length of the body itself: where a stream
    /// goes on at another server, the two differ. Only an answer to HEAD stands for a body that
    /// isn't sent.
    fn returned_headers(&self, headers: HeaderMap) -> HeaderMap {
        let mut returned = <D::Servers as ServerDialect>::returned(headers);
        if self.head.method != Method::HEAD {
            returned.remove(header::CONTENT_LENGTH);
        }
        returned
    }

    pub(super) fn customer_name(&self) -> &str {
        self.customer.as_ref().map_or("", |it| &it.settings.name)
    }
}

/// Reduces a URI to path and query, the form of a request to a server.
fn origin_form(uri: &http::Uri) -> http::Uri {
    let target = uri.path_and_query().cloned();
    target.map(http::Uri::from).unwrap_or_default()
}
