//! Settings and directory from other daemons, where the store can't be asked.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use comfreyramp_http::{HttpClient, MessageBody};
use comfreyramp_policy::PassedSources;
use http::Request;
use rand::Rng as _;
use tokio_util::sync::CancellationToken;

use super::{
    ViewRevisions,
    view_desk::{PackedView, ShownView, ShownViews},
};
use crate::{dialect::Dialect, node::Node};

/// The path at which a daemon shows its views to others.
pub(super) const VIEWS_PATH: &str = "/packed-views";
/// How often a daemon looks whether others are ahead of it. An order of an
/// operator has two seconds to be in force everywhere.
const LOOK_INTERVAL: Duration = Duration::from_millis(300);
/// How long another daemon may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// The next daemon is asked within this span where one gave nothing.
const RETRY_SPAN: Duration = Duration::from_millis(150);
/// The longest answer that is read.
const ANSWER_LIMIT: usize = 16 << 20;

/// What this daemon's views have beyond those that another daemon knows.
pub(super) fn show_views<D: Dialect>(node: &Node<D>, known: ViewRevisions) -> Bytes {
    let now = node.clock.now();
    let views = node.views.borrow();
    node.view_desk.borrow_mut().show(&views, known, now)
}

/// Looks for daemons that are ahead, and takes over what they know, until `stop`
/// is cancelled.
///
/// The store may turn single VMs away for long while it serves the others. They
/// would go on with settings in which withdrawn keys still work, and with
/// servers that have left. What others say of the revisions they act by shows it.
pub async fn follow_peers<D: Dialect>(node: Rc<Node<D>>, stop: CancellationToken) {
    let client = HttpClient::new(ANSWER_TIMEOUT);
    let mut passed = PassedSources::default();
    let mut was_behind = false;
    let mut pause = LOOK_INTERVAL;
    while !stop.is_cancelled() {
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = stop.cancelled() => return,
        }
        pause = LOOK_INTERVAL;
        node.note_lag();
        let ahead = node.peer_ahead(&passed);
        // A watch needs a moment to bring what another daemon has already. Who
        // doesn't watch has no other source.
        let is_due = was_behind || !node.is_watcher();
        was_behind = ahead.is_some();
        let Some(peer) = ahead.filter(|_| is_due) else {
            continue;
        };
        let known = node.views.borrow().complete_up_to();
        let views = ask(&client, peer, known).await;
        let now = node.clock.now();
        let is_busy = match views {
            Ok(views) => {
                let is_busy = views.is_busy;
                take_over(&node, peer, views);
                is_busy
            }
            Err(error) => {
                log::warn!(peer:% = peer, error:% = error; "peers: no views from a peer");
                passed.note_silent(peer, now);
                pause = drawn(RETRY_SPAN);
                continue;
            }
        };
        if is_busy {
            log::info!(peer:% = peer; "peers: a peer shows its views to others just now");
            passed.note_busy(peer, now, &mut rand::rng());
            pause = drawn(RETRY_SPAN);
        }
    }
}

/// A part of a span, drawn: daemons that were turned away together must not come back
/// together.
fn drawn(span: Duration) -> Duration {
    span.mul_f64(rand::rng().random_range(0.3..1.0))
}

async fn ask(
    client: &HttpClient,
    peer: SocketAddr,
    known: ViewRevisions,
) -> anyhow::Result<ShownViews> {
    let body = MessageBody::from(postcard::to_stdvec(&known)?);
    let request = Request::post(format!("http://{peer}{VIEWS_PATH}")).body(body)?;
    let answer = client
        .exchange(request, ANSWER_TIMEOUT, ANSWER_LIMIT)
        .await?;
    Ok(postcard::from_bytes(answer.body())?)
}

fn take_over<D: Dialect>(node: &Rc<Node<D>>, peer: SocketAddr, views: ShownViews) {
    let unpacked = |view: Option<PackedView>| match view?.unpack() {
        Ok(view) => Some(view),
        Err(error) => {
            log::warn!(peer:% = peer, error:% = error; "peers: a view can't be read");
            None
        }
    };
    let operators = unpacked(views.operators);
    let servers = unpacked(views.servers);
    let members = unpacked(views.members);
    let revision_of = |view: &Option<ShownView>| view.as_ref().map(|it| it.revision);
    log::info!(
        peer:% = peer, operators:? = revision_of(&operators),
        servers:? = revision_of(&servers), members:? = revision_of(&members);
        "peers: took over the views of a peer that is ahead"
    );
    if let Some(view) = operators {
        node.take_operators(view.into());
    }
    if let Some(view) = servers {
        node.take_servers(view.into());
    }
    if let Some(view) = members {
        node.take_members(view.into());
    }
}
