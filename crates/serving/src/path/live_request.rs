//! A caller's request, from its head to the answer.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use comfreyramp_http::{BodyError, collect_limited};
use comfreyramp_policy::{
    ServerId, Timestamp,
    placement::{LoadShare, Placement, PlacementQuery, PlacementRefusal, WorkKind},
};
use http::{Request, Response, StatusCode, request};
use http_body_util::Full;
use hyper::body::Incoming;

use super::{
    AttemptGuard, FrontBody, OpenAnswer,
    server_attempt::{AttemptFailure, open_answer},
    stream_relay::StreamRelay,
};
use crate::{
    dialect::{CallerDialect, Dialect, ServerDialect},
    fleet::{KnownCustomer, draw_service},
    lots,
    model::{CallerAsk, CallerHead, Refusal, RefusalCause, RouteKind, RouteSettings, SendTicket},
    node::Node,
    suspects::fingerprint,
};

/// Servers that are asked for one request at most, those that turned it away
/// included. Each costs a round trip, and a fleet that is full stays full for
/// longer than a few of them take.
const MOST_SERVERS: usize = 5;
/// Of the objective, the part that may pass before a request starts at a server;
/// the rest is for its first token.
const START_PART: f64 = 0.7;
/// Who has less than this part of the route's timeout left has been refused
/// before. They are served late rather than refused again.
const COMEBACK_PART: f64 = 0.95;
/// Of the time left, how long a caller who came back may wait for a slot.
const COMEBACK_WAIT: f64 = 0.4;
/// A server that sent nothing for so many objectives is given up where another
/// may take over.
const SILENT_OBJECTIVES: u32 = 3;
/// The least patience with a silent server.
const LEAST_PATIENCE: Duration = Duration::from_millis(800);
/// Answers up to this size are read whole before a byte of them is passed on, so
/// that one which breaks off can be had from another server.
const WHOLE_ANSWER: usize = 256 << 10;
/// When a caller may come back to a daemon without settings, or a service
/// without servers: both change within a second or two.
const UNKNOWN_RETRY: Duration = Duration::from_millis(500);

/// A caller's request on its way.
#[derive(Debug)]
pub(super) struct LiveRequest<D: Dialect> {
    pub(super) node: Rc<Node<D>>,
    pub(super) request_id: String,
    pub(super) customer: Option<Arc<KnownCustomer>>,
    pub(super) route: Arc<RouteSettings>,
    head: request::Parts,
    body: Bytes,
    fingerprint: u64,
    pub(super) arrived: Timestamp,
    pub(super) deadline: Timestamp,
    tried: Vec<ServerId>,
    /// Servers that ran it, or may have.
    pub(super) runs: u32,
    is_comeback: bool,
    /// What all daemons had on the server that was chosen last.
    load: LoadShare,
    /// When the first bytes of the answer were here.
    first_at: Option<Timestamp>,
}

type Answer<D> = Result<Response<FrontBody<D>>, Refusal>;

/// Answers a caller.
pub async fn answer_caller<D: Dialect>(
    node: Rc<Node<D>>,
    request: Request<Incoming>,
) -> Response<FrontBody<D>> {
    let arrived = node.clock.now();
    let (head, body) = request.into_parts();
    let caller = match <D::Callers as CallerDialect>::read_head(&head) {
        Ok(caller) => caller,
        Err(fault) => {
            log::info!(fault:% = fault; "callers: a head can't be read");
            return refuse(&Refusal::new(RefusalCause::BadRequest));
        }
    };
    let request_id = caller.request_id.clone();
    let answer = dispatch(&node, caller, head, body, arrived).await;
    answer.unwrap_or_else(|refusal| {
        let span = node.clock.now().since(arrived);
        // Refusals over a rate are counted by customer where they are decided.
        if refusal.cause != RefusalCause::OverRate {
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

fn refuse<D: Dialect>(refusal: &Refusal) -> Response<FrontBody<D>> {
    <D::Callers as CallerDialect>::refuse(refusal).map(FrontBody::whole)
}

async fn dispatch<D: Dialect>(
    node: &Rc<Node<D>>,
    caller: CallerHead,
    head: request::Parts,
    body: Incoming,
    arrived: Timestamp,
) -> Answer<D> {
    let unknown = || Refusal::new(RefusalCause::NoSettings).retry_after(UNKNOWN_RETRY);
    let fleet = node.fleet().ok_or_else(unknown)?;
    let limit = fleet.settings.limits.body_bytes;
    if caller.ask != CallerAsk::Forward {
        if !fleet.knows_host(&caller.host) {
            return Err(RefusalCause::NoRoute.into());
        }
        let customer = known_customer(&fleet, &caller)?;
        return lots::answer_reader(node, &customer, &caller.request_id, caller.ask).await;
    }
    let route = fleet.route(&caller.host, head.uri.path());
    let route = route.ok_or(RefusalCause::NoRoute)?;
    let customer = match route.is_public || !fleet.asks_for_keys() {
        true => None,
        false => Some(known_customer(&fleet, &caller)?),
    };
    drop(fleet);
    let time_left = caller.time_left.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + time_left;
    if let RouteKind::Lot(terms) = route.kind {
        let customer = customer.ok_or(RefusalCause::UnknownKey)?;
        let body = read_body(body, limit).await?;
        let submission = lots::Submission {
            lot: caller.request_id,
            customer,
            route,
            terms,
            deadline,
        };
        return lots::accept_lot(node, submission, &body).await;
    }
    if let Some(customer) = &customer {
        node.settle_doubt(customer).await;
        node.check_rate(customer, &caller.request_id)?;
    }
    let body = read_body(body, limit).await?;
    let is_comeback = time_left < route.timeout.mul_f64(COMEBACK_PART);
    let name = customer.as_ref().map_or("", |it| it.settings.name.as_str());
    let request = LiveRequest {
        node: node.clone(),
        request_id: caller.request_id,
        fingerprint: fingerprint(name, head.uri.path(), &body),
        customer,
        route,
        head,
        body,
        arrived,
        deadline,
        tried: Vec::new(),
        runs: 0,
        is_comeback,
        load: LoadShare::default(),
        first_at: None,
    };
    request.run().await
}

fn known_customer(
    fleet: &crate::fleet::FleetView,
    caller: &CallerHead,
) -> Result<Arc<KnownCustomer>, Refusal> {
    let key = caller.key.as_deref().ok_or(RefusalCause::UnknownKey)?;
    let customer = fleet.customer_of_key(key);
    customer.ok_or(RefusalCause::UnknownKey.into())
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    collect_limited(body, limit)
        .await
        .map_err(|error| match error {
            BodyError::TooLong { .. } => RefusalCause::TooLong.into(),
            BodyError::Connection(_) | BodyError::CutShort(_) => RefusalCause::BadRequest.into(),
        })
}

impl<D: Dialect> LiveRequest<D> {
    async fn run(mut self) -> Answer<D> {
        if self.node.is_suspect(self.fingerprint) {
            return Err(RefusalCause::CrashesServers.into());
        }
        let mut is_admitted = false;
        loop {
            let open = match self.open_next(None, &mut is_admitted).await? {
                Ok(open) => open,
                Err(failure) => {
                    self.may_go_on(failure)?;
                    continue;
                }
            };
            let status = open.head.status;
            if status.is_success() && matches!(self.route.kind, RouteKind::Stream { .. }) {
                return Ok(self.relay(open));
            }
            let is_fault = status.is_server_error() && self.route.kind.is_idempotent();
            let left = self.deadline.since(self.node.clock.now());
            let reading = tokio::time::timeout(left, open.read_whole(WHOLE_ANSWER)).await;
            let whole = reading.unwrap_or(Err(AttemptFailure::TimedOut));
            match whole {
                Ok(_) if is_fault && self.may_go_on(AttemptFailure::Broken).is_ok() => {}
                Ok((head, body)) => return Ok(self.pass_back(head, body)),
                Err(failure) => self.may_go_on(failure)?,
            }
        }
    }

    /// Chooses a server and sends the request there.
    ///
    /// The outer error is the last word; the inner one may be followed by
    /// another server.
    pub(super) async fn open_next(
        &mut self,
        last_event: Option<u64>,
        is_admitted: &mut bool,
    ) -> Result<Result<OpenAnswer<D>, AttemptFailure>, Refusal> {
        let now = self.node.clock.now();
        let placement = self.place(now)?;
        let server = placement.server;
        self.load = placement.load;
        if !*is_admitted {
            if let Some(customer) = &self.customer {
                self.node.admit(customer, &self.request_id)?;
            }
            *is_admitted = true;
        }
        self.tried.push(server);
        let request = self.build(server, last_event, now);
        let guard = AttemptGuard::begin(self.node.clone(), server, WorkKind::Live);
        self.node.ask_to_yield(server);
        let within = self.patience(now);
        let opened = open_answer(guard, request, &self.request_id, within).await;
        if matches!(opened, Err(AttemptFailure::Broken)) {
            self.node.note_crash(self.fingerprint);
        }
        if !matches!(&opened, Err(failure) if !failure.may_have_run()) {
            self.runs += 1;
        }
        if opened.is_ok() {
            self.first_at.get_or_insert(self.node.clock.now());
        }
        Ok(opened)
    }

    fn place(&self, now: Timestamp) -> Result<Placement, Refusal> {
        let servers = self.node.servers.borrow();
        let mut random = rand::rng();
        let service = draw_service(&self.route, |it| servers.has_server(it), &mut random);
        let Some(service) = service else {
            return Err(self.turned_away(RefusalCause::NoServer, UNKNOWN_RETRY));
        };
        let query = PlacementQuery {
            service,
            zone: &self.node.settings.zone,
            exclude: &self.tried,
            longest_wait: self.longest_wait(now),
        };
        match servers.choose_live(query, now, &mut random) {
            Ok(placement) => Ok(placement),
            Err(PlacementRefusal::NoServer) => {
                Err(self.turned_away(RefusalCause::TurnedAway, UNKNOWN_RETRY))
            }
            Err(PlacementRefusal::Full { retry_after }) => {
                Err(self.turned_away(RefusalCause::Full, retry_after))
            }
        }
    }

    /// The last word where no server takes the request. Once it may have run, it
    /// can't be said any more that it hasn't.
    fn turned_away(&self, cause: RefusalCause, retry_after: Duration) -> Refusal {
        match self.runs {
            0 => Refusal::new(cause).retry_after(retry_after),
            _ => RefusalCause::AnswerLost.into(),
        }
    }

    /// How long the request may wait for a slot.
    fn longest_wait(&self, now: Timestamp) -> Duration {
        let passed = now.since(self.arrived);
        if self.is_comeback || self.runs > 0 {
            return self.deadline.since(now).mul_f64(COMEBACK_WAIT);
        }
        self.route
            .objective
            .mul_f64(START_PART)
            .saturating_sub(passed)
    }

    /// How long a server may take up to the first bytes of its answer.
    fn patience(&self, now: Timestamp) -> Duration {
        let left = self.deadline.since(now);
        let is_last = !self.route.kind.is_idempotent() || self.runs + 1 >= self.route.attempts;
        if is_last {
            return left;
        }
        let patience = self.route.objective * SILENT_OBJECTIVES;
        left.min(patience.max(LEAST_PATIENCE))
    }

    fn build(
        &self,
        server: ServerId,
        last_event: Option<u64>,
        now: Timestamp,
    ) -> Request<Full<Bytes>> {
        let servers = self.node.servers.borrow();
        let ticket = SendTicket {
            server: &servers.listing(server).name,
            customer: self.customer.as_ref().map(|it| it.settings.name.as_str()),
            time_left: self.deadline.since(now),
            last_event,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = origin_form(&self.head.uri);
        *request.headers_mut() =
            <D::Servers as ServerDialect>::forwarded(&self.head.headers, &ticket);
        request
    }

    /// Decides whether another server is tried after a failed attempt.
    ///
    /// # Errors
    ///
    /// Gives the last word if not.
    pub(super) fn may_go_on(&self, failure: AttemptFailure) -> Result<(), Refusal> {
        let now = self.node.clock.now();
        if now >= self.deadline {
            return Err(match self.runs {
                0 => self.turned_away(RefusalCause::TurnedAway, UNKNOWN_RETRY),
                _ => RefusalCause::TimedOut.into(),
            });
        }
        if failure.may_have_run() {
            let may_run_again = self.route.kind.is_idempotent() && self.runs < self.route.attempts;
            if !may_run_again || self.node.is_suspect(self.fingerprint) {
                return Err(RefusalCause::AnswerLost.into());
            }
        }
        if self.tried.len() >= MOST_SERVERS {
            return Err(self.turned_away(RefusalCause::TurnedAway, UNKNOWN_RETRY));
        }
        Ok(())
    }

    fn pass_back(&self, head: http::response::Parts, body: Bytes) -> Response<FrontBody<D>> {
        let mut answer = Response::new(FrontBody::whole(body));
        *answer.status_mut() = head.status;
        *answer.headers_mut() = <D::Servers as ServerDialect>::returned(head.headers);
        self.note_end("passed_back", head.status);
        answer
    }

    fn relay(self, open: OpenAnswer<D>) -> Response<FrontBody<D>> {
        let status = open.head.status;
        let headers = <D::Servers as ServerDialect>::returned(open.head.headers.clone());
        let span = self.node.clock.now().since(self.arrived);
        self.node
            .metrics
            .first_byte(self.customer_name(), "stream", span);
        let relay = StreamRelay::new(self, open);
        let mut answer = Response::new(FrontBody::Relayed(Box::new(relay)));
        *answer.status_mut() = status;
        *answer.headers_mut() = headers;
        answer
    }

    pub(super) fn customer_name(&self) -> &str {
        self.customer.as_ref().map_or("", |it| &it.settings.name)
    }

    /// Writes the request's last line.
    pub(super) fn note_end(&self, outcome: &str, status: StatusCode) {
        let now = self.node.clock.now();
        let span = now.since(self.arrived);
        let first = self.first_at.map_or(span, |it| it.since(self.arrived));
        self.node.metrics.whole(self.customer_name(), "live", span);
        let servers = self.node.servers.borrow();
        let server = self
            .tried
            .last()
            .map_or("", |it| &servers.listing(*it).name);
        log::info!(
            request = self.request_id,
            customer = self.customer_name(),
            route = self.route.name,
            server = server,
            tried = self.tried.len(),
            status = status.as_u16(),
            live = self.load.live,
            bulk = self.load.bulk,
            first_ms = first.as_millis() as u64,
            span_ms = span.as_millis() as u64;
            "callers: {outcome}"
        );
    }
}

/// The target as a server is asked for it: path and query alone.
fn origin_form(uri: &http::Uri) -> http::Uri {
    let target = uri.path_and_query().cloned();
    target.map(http::Uri::from).unwrap_or_default()
}
