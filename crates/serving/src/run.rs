//! Startup and shutdown of a daemon.

use std::{rc::Rc, time::Duration};

use anyhow::Context as _;
use bytes::Bytes;
use comfreyramp_policy::PlannedStop;
use comfreyramp_store::StoreError;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::{
    net::{TcpListener, UdpSocket},
    task::JoinHandle,
};
use tokio_util::sync::CancellationToken;

use crate::{
    dialect::{CallerDialect, Dialect, FleetRecords},
    fleet::{
        FollowUpdate, FollowedStore, INITIAL_WATCH_DELAY, MEMBERS, follow_peers, follow_store,
        handle_peer_request, keep_membership, probe_store, receive_reports, run_announcer,
        send_origins, send_urgent_reports,
    },
    lots::{follow_retire_orders, run_lots, sweep_lots},
    node::Node,
    path::{
        AnswerBody, CONNECTION_BUFFER_BYTES, ConnectionLimits, answer_caller, probe_silent_zones,
        run_start_queues, serve_connections,
    },
};

/// How long a stopping daemon still accepts new connections. The balancer checks
/// readiness once a second and takes a daemon out of rotation after two failed checks.
const DRAIN_DELAY: Duration = Duration::from_millis(2_600);
/// The part of the grace period that is reserved for writing the last log lines before
/// the process is killed.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// How long before the end of the grace period requests that are still open are answered, so
/// that their callers don't have to guess from a closed connection.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// The maximum size of a request's head in bytes, unless the operators' settings say less.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// How long a connection may take until a whole head is received. Callers reuse
/// connections that were idle for most of the operators' limit, which is below this.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs a daemon until `stop` is cancelled and then until all open requests have ended or
/// the grace period is over.
///
/// # Errors
///
/// Fails if the daemon can't listen on one of its addresses, except that for metrics.
pub async fn run_node<D: Dialect>(
    node: Rc<Node<D>>,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    let settings = &node.settings;
    log::info!(
        name = settings.name, zone = settings.zone, runs_lots = settings.runs_lots,
        incarnation = node.incarnation;
        "node: starts"
    );
    let background = CancellationToken::new();
    let closing = CancellationToken::new();
    let closed = CancellationToken::new();
    let is_bounded = node.memory.is_bounded();
    let limits = ConnectionLimits {
        head_bytes: match is_bounded {
            true => CONNECTION_BUFFER_BYTES,
            false => MAX_HEAD_BYTES,
        },
        limits_unsent: is_bounded,
        idle_timeout: IDLE_TIMEOUT,
        closing: closing.clone(),
        closed: closed.clone(),
    };
    let internal_limits = ConnectionLimits {
        head_bytes: MAX_HEAD_BYTES,
        limits_unsent: false,
        closed: background.clone(),
        ..limits.clone()
    };
    open_internal_listeners(&node, &internal_limits).await?;
    let socket = UdpSocket::bind(settings.peers)
        .await
        .context("binding the UDP address for peers")?;
    follow_store_and_peers(&node, Rc::new(socket), &background);
    let membership = spawn_membership(&node, &background);
    let lots_stop = CancellationToken::new();
    let lots = settings.runs_lots.then(|| spawn_lots(&node, &lots_stop));
    let mut callers = None;
    if let Some(address) = settings.callers {
        let listener = TcpListener::bind(address)
            .await
            .context("binding the address for callers")?;
        let shared = node.clone();
        let serving = serve_connections(listener, limits, move |request| {
            answer_caller(shared.clone(), request)
        });
        callers = Some(tokio::task::spawn_local(serving));
    }
    stop.cancelled().await;
    log::info!("node: a planned stop begins");
    let grace = settings.stop_grace_s.saturating_sub(KILL_MARGIN);
    let now = node.clock.now();
    node.planned_stop.set(Some(PlannedStop {
        closes_at: now + DRAIN_DELAY,
        ends_at: now + grace.saturating_sub(LAST_ANSWER_MARGIN),
    }));
    closing.cancel();
    lots_stop.cancel();
    let last_answers = node.last_answers.clone();
    tokio::task::spawn_local(async move {
        tokio::time::sleep(grace.saturating_sub(LAST_ANSWER_MARGIN)).await;
        last_answers.cancel();
    });
    let work_ended = end_work(callers, lots, &closed);
    if tokio::time::timeout(grace, work_ended).await.is_err() {
        log::warn!("node: the grace period ended with work still open");
    }
    background.cancel();
    // Removes the daemon's entry from the store. If that takes too long, the entry goes
    // when its lease expires.
    let _ = tokio::time::timeout(KILL_MARGIN / 2, membership).await;
    log::info!("node: stopped");
    Ok(())
}

async fn end_work(
    callers: Option<JoinHandle<()>>,
    lots: Option<JoinHandle<()>>,
    closed: &CancellationToken,
) {
    if let Some(callers) = callers {
        tokio::time::sleep(DRAIN_DELAY).await;
        closed.cancel();
        // A panic of the task has already been logged.
        let _ = callers.await;
    }
    if let Some(lots) = lots {
        let _ = lots.await;
    }
}

fn spawn_membership<D: Dialect>(node: &Rc<Node<D>>, stop: &CancellationToken) -> JoinHandle<()> {
    tokio::task::spawn_local(keep_membership(node.clone(), stop.clone()))
}

fn spawn_lots<D: Dialect>(node: &Rc<Node<D>>, stop: &CancellationToken) -> JoinHandle<()> {
    tokio::task::spawn_local(sweep_lots(node.clone(), stop.clone()));
    tokio::task::spawn_local(follow_retire_orders(node.clone(), stop.clone()));
    tokio::task::spawn_local(run_lots(node.clone(), stop.clone()))
}

/// Starts to serve peers, metrics and the balancer's health checks.
async fn open_internal_listeners<D: Dialect>(
    node: &Rc<Node<D>>,
    limits: &ConnectionLimits,
) -> anyhow::Result<()> {
    let settings = &node.settings;
    let listener = TcpListener::bind(settings.peers)
        .await
        .context("binding the TCP address for peers")?;
    let shared = node.clone();
    tokio::task::spawn_local(serve_connections(
        listener,
        limits.clone(),
        move |request| handle_peer_request(shared.clone(), request),
    ));
    open_metrics(node, limits).await;
    if let Some(address) = settings.health {
        let listener = TcpListener::bind(address)
            .await
            .context("binding the address for health checks")?;
        let shared = node.clone();
        tokio::task::spawn_local(serve_connections(
            listener,
            limits.clone(),
            move |request| {
                let answer = answer_health(&shared, &request);
                async move { answer }
            },
        ));
    }
    Ok(())
}

/// Starts to serve metrics. If the port is taken, the daemon logs an error and serves
/// callers nevertheless.
async fn open_metrics<D: Dialect>(node: &Rc<Node<D>>, limits: &ConnectionLimits) {
    let address = node.settings.metrics;
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(address:% = address, error:% = error; "node: metrics can't be shown");
            return;
        }
    };
    let shared = node.clone();
    tokio::task::spawn_local(serve_connections(
        listener,
        limits.clone(),
        move |request| {
            let answer = answer_metrics(&shared, &request);
            async move { answer }
        },
    ));
}

fn answer_health<D: Dialect>(
    node: &Node<D>,
    request: &Request<Incoming>,
) -> Response<AnswerBody<D>> {
    let is_ready_path = request.uri().path() == <D::Callers as CallerDialect>::READY_PATH;
    let mut answer = Response::new(AnswerBody::empty());
    *answer.status_mut() = match (is_ready_path, node.is_ready()) {
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        (false, _) => StatusCode::NOT_FOUND,
    };
    answer
}

fn answer_metrics<D: Dialect>(
    node: &Node<D>,
    request: &Request<Incoming>,
) -> Response<AnswerBody<D>> {
    if request.uri().path() != "/metrics" {
        let mut answer = Response::new(AnswerBody::empty());
        *answer.status_mut() = StatusCode::NOT_FOUND;
        return answer;
    }
    Response::new(AnswerBody::whole(Bytes::from(node.metrics.render())))
}

/// The interval at which the number of calls to the store is logged. Calls are billed.
const CALL_LOG_INTERVAL: Duration = Duration::from_secs(20);

async fn log_store_calls<D: Dialect>(node: Rc<Node<D>>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(CALL_LOG_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        log::info!(calls = node.metrics.store_calls(); "store: calls since the start");
    }
}

/// Starts the tasks that follow the store and exchange reports with the peers.
fn follow_store_and_peers<D: Dialect>(
    node: &Rc<Node<D>>,
    socket: Rc<UdpSocket>,
    stop: &CancellationToken,
) {
    let shared = node.clone();
    let operators = <D::Records as FleetRecords>::OPERATORS;
    spawn_store_follower(node, operators, stop, move |update| match update {
        FollowUpdate::Listed(list) => shared.replace_operators(list),
        FollowUpdate::Changed(batch) => shared.apply_operator_changes(batch),
        FollowUpdate::Failed { .. } => {}
    });
    let shared = node.clone();
    let servers = <D::Records as FleetRecords>::SERVERS;
    spawn_store_follower(node, servers, stop, move |update| match update {
        FollowUpdate::Listed(list) => shared.replace_servers(list),
        FollowUpdate::Changed(batch) => shared.apply_server_changes(batch),
        FollowUpdate::Failed { .. } => {}
    });
    let shared = node.clone();
    spawn_store_follower(node, MEMBERS, stop, move |update| match update {
        FollowUpdate::Listed(list) => shared.replace_members(list),
        FollowUpdate::Changed(batch) => shared.apply_member_changes(batch),
        FollowUpdate::Failed { .. } => {}
    });
    tokio::task::spawn_local(receive_reports(node.clone(), socket.clone(), stop.clone()));
    tokio::task::spawn_local(send_urgent_reports(
        node.clone(),
        socket.clone(),
        stop.clone(),
    ));
    tokio::task::spawn_local(send_origins(node.clone(), socket.clone(), stop.clone()));
    tokio::task::spawn_local(run_announcer(node.clone(), socket, stop.clone()));
    tokio::task::spawn_local(follow_peers(node.clone(), stop.clone()));
    tokio::task::spawn_local(probe_store(node.clone(), stop.clone()));
    tokio::task::spawn_local(probe_silent_zones(node.clone(), stop.clone()));
    tokio::task::spawn_local(run_start_queues(node.clone(), stop.clone()));
    tokio::task::spawn_local(log_store_calls(node.clone(), stop.clone()));
}

fn spawn_store_follower<D: Dialect>(
    node: &Rc<Node<D>>,
    prefix: &'static str,
    stop: &CancellationToken,
    mut apply: impl FnMut(FollowUpdate) + 'static,
) {
    let shared = node.clone();
    let mut is_lost = false;
    let handle_update = move |update: FollowUpdate| {
        match &update {
            // The store answers, but its history no longer reaches back to the revision
            // that was requested. When this counted as an outage, lots were refused, and
            // servers that left a moment later were still used.
            FollowUpdate::Failed {
                error: StoreError::Compacted(revision),
                ..
            } => {
                shared.record_store_answer();
                log::info!(prefix = prefix, revision = *revision; "store: history was compacted, listing the prefix again");
            }
            FollowUpdate::Failed { error, waited } => {
                shared.record_store_failure();
                shared.store.note_failed();
                if !is_lost {
                    log::warn!(
                        prefix = prefix, error:% = error, waited_ms = waited.as_millis() as u64,
                        answered_ms_ago = shared.time_since_store_answer().map(|it| it.as_millis() as u64);
                        "store: lost"
                    );
                }
                is_lost = true;
            }
            FollowUpdate::Listed(..) | FollowUpdate::Changed(_) => {
                shared.record_store_answer();
                if is_lost {
                    log::info!(prefix = prefix; "store: regained");
                }
                is_lost = false;
            }
        }
        apply(update);
        shared.update_lags();
    };
    let watching_node = node.clone();
    let is_watcher = move || watching_node.is_watcher_of(prefix);
    let followed_store = FollowedStore {
        store: node.store.direct().clone(),
        contact: node.store.contact().clone(),
    };
    let settle_delay = match prefix {
        MEMBERS => Duration::ZERO,
        _ => INITIAL_WATCH_DELAY,
    };
    let following = follow_store(
        followed_store,
        prefix,
        handle_update,
        is_watcher,
        settle_delay,
        stop.clone(),
    );
    tokio::task::spawn_local(following);
}
