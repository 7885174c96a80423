//! Probes servers of zones whose daemons are silent.

use std::{rc::Rc, time::Duration};

use tokio_util::sync::CancellationToken;

use super::server_attempt::probe_server;
use crate::{dialect::Dialect, node::Node};

/// How often a server of each zone without reports is asked for its state.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Asks servers of the zones none of whose daemons is heard for their state, until `stop` is
/// cancelled. Silence alone doesn't tell a cut from a zone whose daemons have all left, or
/// from a cut between daemons only, and a zone that is avoided gets hardly any request that
/// would show that it works.
pub async fn probe_silent_zones<D: Dialect>(node: Rc<Node<D>>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(PROBE_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        for server in node.servers_of_unheard_zones() {
            // A server that doesn't answer must not delay the probes of other zones.
            tokio::task::spawn_local(probe_server(node.clone(), server));
        }
    }
}
