//! Starting and stopping a daemon.

use std::{rc::Rc, time::Duration};

use anyhow::Context as _;
use bytes::Bytes;
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
        FollowNews, FollowedStore, MEMBERS, SETTLE_SPAN, answer_peer, follow_peers, follow_store,
        keep_membership, listen_to_peers, probe_store, run_announcer, run_prompt_words,
    },
    lots::{follow_retire, run_lots, sweep_lots},
    node::Node,
    path::{FrontBody, LoopLimits, answer_caller, serve_connections},
};

/// How long a daemon that stops still takes new connections. The balancer asks
/// once a second whether it is ready, and needs two misses to leave it out.
const NOTICE_SPAN: Duration = Duration::from_millis(2_600);
/// Before the process is killed, this much is left to write the last log lines.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// The longest head of a request, unless the operators' settings say less.
const HEAD_BYTES: usize = 64 << 10;
/// How long a connection may stay without a whole head. Callers use connections
/// again that were idle for most of the operators' limit, which is below this.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs a daemon until `stop` is cancelled and all open requests have ended, or
/// the time for that is up.
///
/// # Errors
///
/// Fails if an address can't be listened on.
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
    let limits = LoopLimits {
        head_bytes: HEAD_BYTES,
        idle_timeout: IDLE_TIMEOUT,
        closing: closing.clone(),
        closed: closed.clone(),
    };
    let inner_limits = LoopLimits {
        closed: background.clone(),
        ..limits.clone()
    };
    open_inner(&node, &inner_limits).await?;
    let socket = UdpSocket::bind(settings.peers)
        .await
        .context("the peers' address")?;
    follow_all(&node, Rc::new(socket), &background);
    let membership = spawn_membership(&node, &background);
    let lots_stop = CancellationToken::new();
    let lots = settings.runs_lots.then(|| spawn_lots(&node, &lots_stop));
    let mut callers = None;
    if let Some(address) = settings.callers {
        let listener = TcpListener::bind(address)
            .await
            .context("the callers' address")?;
        let shared = node.clone();
        let serving = serve_connections(listener, limits, move |request| {
            answer_caller(shared.clone(), request)
        });
        callers = Some(tokio::task::spawn_local(serving));
    }
    stop.cancelled().await;
    log::info!("node: a planned stop begins");
    node.is_stopping.set(true);
    closing.cancel();
    lots_stop.cancel();
    let grace = settings.stop_grace_s.saturating_sub(KILL_MARGIN);
    let ending = end_work(callers, lots, &closed);
    if tokio::time::timeout(grace, ending).await.is_err() {
        log::warn!("node: work was still open when the time to stop was up");
    }
    background.cancel();
    // The entry in the store is given up; should this take long, its lease lapses.
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
        tokio::time::sleep(NOTICE_SPAN).await;
        closed.cancel();
        // A panic in it has been reported already.
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
    tokio::task::spawn_local(follow_retire(node.clone(), stop.clone()));
    tokio::task::spawn_local(run_lots(node.clone(), stop.clone()))
}

/// Opens the addresses for other daemons, the balancer and metrics.
async fn open_inner<D: Dialect>(node: &Rc<Node<D>>, limits: &LoopLimits) -> anyhow::Result<()> {
    let settings = &node.settings;
    let listener = TcpListener::bind(settings.peers)
        .await
        .context("the peers' address")?;
    let shared = node.clone();
    tokio::task::spawn_local(serve_connections(
        listener,
        limits.clone(),
        move |request| answer_peer(shared.clone(), request),
    ));
    open_metrics(node, limits).await;
    if let Some(address) = settings.health {
        let listener = TcpListener::bind(address)
            .await
            .context("the health address")?;
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

/// Shows what is counted. A daemon serves callers also where something else has the
/// port, and says so.
async fn open_metrics<D: Dialect>(node: &Rc<Node<D>>, limits: &LoopLimits) {
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
) -> Response<FrontBody<D>> {
    let is_asked = request.uri().path() == <D::Callers as CallerDialect>::READY_PATH;
    let mut answer = Response::new(FrontBody::empty());
    *answer.status_mut() = match (is_asked, node.is_ready()) {
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        (false, _) => StatusCode::NOT_FOUND,
    };
    answer
}

fn answer_metrics<D: Dialect>(
    node: &Node<D>,
    request: &Request<Incoming>,
) -> Response<FrontBody<D>> {
    if request.uri().path() != "/metrics" {
        let mut answer = Response::new(FrontBody::empty());
        *answer.status_mut() = StatusCode::NOT_FOUND;
        return answer;
    }
    Response::new(FrontBody::whole(Bytes::from(node.metrics.render())))
}

/// How often the calls to the store are logged: they are billed.
const CALLS_LOGGED: Duration = Duration::from_secs(20);

async fn log_calls<D: Dialect>(node: Rc<Node<D>>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(CALLS_LOGGED) => {}
            () = stop.cancelled() => return,
        }
        log::info!(calls = node.metrics.store_calls(); "store: calls since the start");
    }
}

/// Follows the store and the other daemons.
fn follow_all<D: Dialect>(node: &Rc<Node<D>>, socket: Rc<UdpSocket>, stop: &CancellationToken) {
    let shared = node.clone();
    let operators = <D::Records as FleetRecords>::OPERATORS;
    spawn_follow(node, operators, stop, move |news| match news {
        FollowNews::Whole(list) => shared.take_operators(list),
        FollowNews::Changed(batch) => shared.change_operators(batch),
        FollowNews::Lost { .. } => {}
    });
    let shared = node.clone();
    let servers = <D::Records as FleetRecords>::SERVERS;
    spawn_follow(node, servers, stop, move |news| match news {
        FollowNews::Whole(list) => shared.take_servers(list),
        FollowNews::Changed(batch) => shared.change_servers(batch),
        FollowNews::Lost { .. } => {}
    });
    let shared = node.clone();
    spawn_follow(node, MEMBERS, stop, move |news| match news {
        FollowNews::Whole(list) => shared.take_members(list),
        FollowNews::Changed(batch) => shared.change_members(batch),
        FollowNews::Lost { .. } => {}
    });
    tokio::task::spawn_local(listen_to_peers(node.clone(), socket.clone(), stop.clone()));
    tokio::task::spawn_local(run_prompt_words(node.clone(), socket.clone(), stop.clone()));
    tokio::task::spawn_local(run_announcer(node.clone(), socket, stop.clone()));
    tokio::task::spawn_local(follow_peers(node.clone(), stop.clone()));
    tokio::task::spawn_local(probe_store(node.clone(), stop.clone()));
    tokio::task::spawn_local(log_calls(node.clone(), stop.clone()));
}

fn spawn_follow<D: Dialect>(
    node: &Rc<Node<D>>,
    prefix: &'static str,
    stop: &CancellationToken,
    mut take: impl FnMut(FollowNews) + 'static,
) {
    let shared = node.clone();
    let mut is_lost = false;
    let sink = move |news: FollowNews| {
        match &news {
            // The store answers; only what it kept of the past doesn't reach back far
            // enough. Taken for an outage, lots were refused, and servers that left
            // a moment later were used on.
            FollowNews::Lost {
                error: StoreError::Compacted(revision),
                ..
            } => {
                shared.note_store_answer();
                log::info!(prefix = prefix, revision = *revision; "store: history dropped, listed anew");
            }
            FollowNews::Lost { error, waited } => {
                shared.note_store_trouble();
                shared.store.note_failed();
                if !is_lost {
                    log::warn!(
                        prefix = prefix, error:% = error, waited_ms = waited.as_millis() as u64,
                        answered_ms_ago = shared.store_answered_ago().map(|it| it.as_millis() as u64);
                        "store: lost"
                    );
                }
                is_lost = true;
            }
            FollowNews::Whole(..) | FollowNews::Changed(_) => {
                shared.note_store_answer();
                if is_lost {
                    log::info!(prefix = prefix; "store: regained");
                }
                is_lost = false;
            }
        }
        take(news);
        shared.note_lag();
    };
    let watching = node.clone();
    let is_watcher = move || watching.is_watcher_of(prefix);
    let followed = FollowedStore {
        store: node.store.direct().clone(),
        contact: node.store.contact().clone(),
    };
    let settle = match prefix {
        MEMBERS => Duration::ZERO,
        _ => SETTLE_SPAN,
    };
    let following = follow_store(followed, prefix, sink, is_watcher, settle, stop.clone());
    tokio::task::spawn_local(following);
}
