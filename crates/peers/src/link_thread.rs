//! The thread that runs the RPC system.

use std::{net::TcpListener, rc::Rc, sync::Arc, time::Duration};

use tokio::{
    runtime::Runtime,
    sync::mpsc,
    task::{LocalSet, spawn_local},
};
use tokio_util::sync::CancellationToken;

use crate::{
    LinkTiming, PeerError, PeerHandler, PeerTraffic, connection_pool::ConnectionPool,
    peer_link::QueuedRequest, peer_server,
};

/// How often idle connections are closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The state that all tasks of the link's thread share.
pub(crate) struct LinkContext<H> {
    pub(crate) handler: H,
    pub(crate) timing: LinkTiming,
    pub(crate) traffic: Arc<PeerTraffic>,
    pub(crate) stop: CancellationToken,
}

/// Runs the link until it is stopped or every [`PeerLink`](crate::PeerLink) is
/// dropped.
pub(crate) fn run<H: PeerHandler>(
    runtime: &Runtime,
    listener: TcpListener,
    requests: mpsc::Receiver<QueuedRequest>,
    context: LinkContext<H>,
) {
    let local = LocalSet::new();
    let context = Rc::new(context);
    runtime.block_on(local.run_until(serve(listener, requests, context)));
}

async fn serve<H: PeerHandler>(
    listener: TcpListener,
    mut requests: mpsc::Receiver<QueuedRequest>,
    context: Rc<LinkContext<H>>,
) {
    match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => {
            spawn_local(peer_server::accept(listener, context.clone()));
        }
        Err(error) => log::error!("peers: failed to listen: {error}"),
    }
    let pool = Rc::new(ConnectionPool::new(context.clone()));
    let mut idle_check =
        tokio::time::interval(IDLE_CHECK_INTERVAL.min(context.timing.idle_timeout));
    loop {
        tokio::select! {
            () = context.stop.cancelled() => return,
            _ = idle_check.tick() => pool.close_idle(),
            queued = requests.recv() => match queued {
                Some(queued) => drop(spawn_local(process(pool.clone(), queued))),
                None => return,
            },
        }
    }
}

async fn process<H: PeerHandler>(pool: Rc<ConnectionPool<H>>, mut queued: QueuedRequest) {
    let call = pool.send(queued.to, &queued.request);
    let answer = tokio::select! {
        () = queued.reply.closed() => return,
        answer = tokio::time::timeout(queued.timeout, call) => answer,
    };
    let answer = answer.unwrap_or_else(|_| {
        pool.record_timeout(queued.to);
        Err(PeerError::TimedOut)
    });
    // Sending fails if the caller no longer waits for the answer.
    let _ = queued.reply.send(answer);
}
