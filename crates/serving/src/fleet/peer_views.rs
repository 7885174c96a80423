//! Takes over newer views of settings, servers and daemons from other daemons, where this
//! daemon doesn't get them from the store.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use comfreyramp_http::{HttpClient, MessageBody};
use comfreyramp_policy::PausedSources;
use http::Request;
use rand::Rng as _;
use tokio_util::sync::CancellationToken;

use super::{
    ViewRevisions,
    view_server::{PackedView, SentView, SentViews},
};
use crate::{dialect::Dialect, node::Node};

/// The path at which a daemon sends its views to others.
pub(super) const VIEWS_PATH: &str = "/packed-views";
/// How often a daemon checks whether others are ahead of it. An operator's change has two
/// seconds to be in force everywhere.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of a request to another daemon.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum delay before the next daemon is queried, after one that sent nothing.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum size in bytes of an answer that is read.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Returns, encoded, those views of this daemon that are newer than the revisions `known`
/// of another one.
pub(super) fn encode_newer_views<D: Dialect>(node: &Node<D>, known: ViewRevisions) -> Bytes {
    let now = node.clock.now();
    let views = node.views.borrow();
    node.view_server
        .borrow_mut()
        .encode_newer(&views, known, now)
}

/// Checks for daemons that are ahead, and takes over their views, until `stop` is cancelled.
///
/// The store may reject single VMs for a long time while it serves the others. Such a VM
/// would continue with settings in which withdrawn keys still work, and with servers that
/// have left. The view revisions in its peers' reports show that it is behind.
pub async fn follow_peers<D: Dialect>(node: Rc<Node<D>>, stop: CancellationToken) {
    let client = HttpClient::new(ANSWER_TIMEOUT);
    let mut paused = PausedSources::default();
    let mut was_behind = false;
    let mut delay = CHECK_INTERVAL;
    while !stop.is_cancelled() {
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = stop.cancelled() => return,
        }
        delay = CHECK_INTERVAL;
        node.update_lags();
        let ahead = node.peer_with_newer_views(&paused);
        // A watch needs a moment to deliver what another daemon has already, so a watcher
        // waits for one more check. A daemon that doesn't watch has no other source.
        let is_due = was_behind || !node.is_watcher();
        was_behind = ahead.is_some();
        let Some(peer) = ahead.filter(|_| is_due) else {
            continue;
        };
        let known = node.views.borrow().complete_up_to();
        let views = request_views(&client, peer, known).await;
        let now = node.clock.now();
        let is_busy = match views {
            Ok(views) => {
                let is_busy = views.is_busy;
                apply_views(&node, peer, views);
                is_busy
            }
            Err(error) => {
                log::warn!(peer:% = peer, error:% = error; "peers: no views from a peer");
                paused.note_silent(peer, now);
                delay = jittered(MAX_RETRY_DELAY);
                continue;
            }
        };
        if is_busy {
            log::info!(peer:% = peer; "peers: a peer shows its views to others just now");
            paused.note_busy(peer, now, &mut rand::rng());
            delay = jittered(MAX_RETRY_DELAY);
        }
    }
}

/// Returns a random fraction of a delay, so that daemons that were rejected at the same
/// time don't retry at the same time.
fn jittered(delay: Duration) -> Duration {
    delay.mul_f64(rand::rng().random_range(0.3..1.0))
}

async fn request_views(
    client: &HttpClient,
    peer: SocketAddr,
    known: ViewRevisions,
) -> anyhow::Result<SentViews> {
    let body = MessageBody::from(postcard::to_stdvec(&known)?);
    let request = Request::post(format!("http://{peer}{VIEWS_PATH}")).body(body)?;
    let answer = client
        .exchange(request, ANSWER_TIMEOUT, MAX_ANSWER_BYTES)
        .await?;
    Ok(postcard::from_bytes(answer.body())?)
}

fn apply_views<D: Dialect>(node: &Rc<Node<D>>, peer: SocketAddr, views: SentViews) {
    let unpack_view = |view: Option<PackedView>| match view?.unpack() {
        Ok(view) => Some(view),
        Err(error) => {
            log::warn!(peer:% = peer, error:% = error; "peers: failed to decode a view");
            None
        }
    };
    let operators = unpack_view(views.operators);
    let servers = unpack_view(views.servers);
    let members = unpack_view(views.members);
    let revision_of = |view: &Option<SentView>| view.as_ref().map(|it| it.revision);
    log::info!(
        peer:% = peer, operators:? = revision_of(&operators),
        servers:? = revision_of(&servers), members:? = revision_of(&members);
        "peers: took over the views of a peer that is ahead"
    );
    if let Some(view) = operators {
        node.replace_operators(view.into());
    }
    if let Some(view) = servers {
        node.replace_servers(view.into());
    }
    if let Some(view) = members {
        node.replace_members(view.into());
    }
}
