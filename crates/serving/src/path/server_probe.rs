//! Probes servers: whether their zone can be reached, and whether they were lost.

use std::{io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};

use comfreyramp_policy::ServerId;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use super::server_attempt::{CONFIRM_TIMEOUT, address_of, query_run, state_query};
use crate::{dialect::Dialect, node::Node};

/// How often a server of each zone without reports is asked for its state.
const ZONE_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// How long after it broke off an answer a server is probed: its connections may end before
/// the process does.
const LOSS_PROBE_DELAY: Duration = Duration::from_millis(100);

/// Asks servers of the zones none of whose daemons is heard for their state, until `stop` is
/// cancelled. Silence alone doesn't tell a cut from a zone whose daemons have all left, or
/// from a cut between daemons only, and a zone that is avoided gets hardly any request that
/// would show that it works.
pub async fn probe_silent_zones<D: Dialect>(node: Rc<Node<D>>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(ZONE_PROBE_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        for server in node.servers_of_unheard_zones() {
            // A server that doesn't answer must not delay the probes of other zones.
            tokio::task::spawn_local(probe_zone(node.clone(), server));
        }
    }
}

/// Asks a server for its state over a new connection. Any answer shows that its zone can be
/// reached.
async fn probe_zone<D: Dialect>(node: Rc<Node<D>>, server: ServerId) {
    let Ok(address) = address_of(&node, server) else {
        return;
    };
    let now = node.clock.now();
    let opening = node.connections.connect(address, "", Duration::ZERO, now);
    let is_answered = match opening.await {
        Ok(mut connection) => {
            let asking = connection.send(state_query::<D>(address));
            let answer = tokio::time::timeout(CONFIRM_TIMEOUT, asking).await;
            answer.is_ok_and(|it| it.is_ok())
        }
        Err(_) => false,
    };
    node.metrics.zone_probe(is_answered);
    if is_answered {
        node.record_server_answer(server);
    }
}

/// A process of a server, as it was listed when it broke off an answer. The id of a server
/// may be that of another one by the time at which the process is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ServerProcess {
    address: SocketAddr,
    run: u64,
}

impl ServerProcess {
    /// Returns the process of a server, if its address can be read.
    pub(super) fn of<D: Dialect>(node: &Node<D>, server: ServerId) -> Option<Self> {
        Some(ServerProcess {
            address: address_of(node, server).ok()?,
            run: node.servers.borrow().listing(server).incarnation,
        })
    }
}

/// Finds out whether a server that broke off its answer to a request was lost, and records
/// that the request crashed it then. A server that breaks off and works on is at fault itself,
/// and the request would be refused for nothing.
pub(super) async fn check_loss<D: Dialect>(
    node: Rc<Node<D>>,
    process: ServerProcess,
    fingerprint: u64,
) {
    tokio::time::sleep(LOSS_PROBE_DELAY).await;
    if is_lost(&node, process).await {
        log::info!(
            server:% = process.address, run = process.run, fingerprint = fingerprint;
            "suspects: a server was lost that had begun to answer a request"
        );
        node.record_crash(fingerprint);
    }
}

/// Returns whether the process of a server has certainly ended: nobody listens at its
/// address, or a later run does. Silence is no proof, since the server may be cut off.
async fn is_lost<D: Dialect>(node: &Node<D>, process: ServerProcess) -> bool {
    let ServerProcess { address, run } = process;
    match tokio::time::timeout(CONFIRM_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) => return error.kind() == ErrorKind::ConnectionRefused,
        Err(_) => return false,
    }
    let now = node.clock.now();
    let opening = node.connections.connect(address, "", Duration::ZERO, now);
    let Ok(mut connection) = opening.await else {
        return false;
    };
    // A directory without runs can't tell them apart.
    let stated = query_run::<D>(&mut connection, address).await;
    run > 0 && stated.is_some_and(|it| it != run)
}
