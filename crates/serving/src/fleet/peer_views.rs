//! Settings and directory from other daemons, where the store can't be asked.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use comfreyramp_http::{HttpClient, MessageBody};
use comfreyramp_store::KeyValue;
use http::Request;
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};
use tokio_util::sync::CancellationToken;

use super::{StoreView, ViewRevisions};
use crate::{dialect::Dialect, node::Node};

/// The path at which a daemon shows its views to others.
pub(super) const VIEWS_PATH: &str = "/views";
/// How often a daemon looks whether others are ahead of it. An order of an
/// operator has two seconds to be in force everywhere.
const LOOK_INTERVAL: Duration = Duration::from_millis(300);
/// How long another daemon may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// The longest answer that is read.
const ANSWER_LIMIT: usize = 16 << 20;

/// A daemon's copy of one prefix, as it shows it to others.
#[derive(Debug, Serialize, Deserialize)]
struct ShownView {
    revision: i64,
    pairs: Vec<ViewPair>,
}

/// A pair of the store, as daemons pass it on.
#[serde_as]
#[derive(Debug, Serialize, Deserialize)]
struct ViewPair {
    key: String,
    #[serde_as(as = "Base64")]
    value: Vec<u8>,
    modified: i64,
    created: i64,
}

/// The views that the one who asks doesn't have as new.
#[derive(Debug, Serialize, Deserialize)]
struct ShownViews {
    operators: Option<ShownView>,
    servers: Option<ShownView>,
    members: Option<ShownView>,
}

impl ShownView {
    /// Nothing, if whoever asks knows the view up to its last change already.
    fn if_newer(view: &StoreView, known: i64) -> Option<Self> {
        (view.changed_revision() > known).then(|| view.into())
    }
}

impl From<&StoreView> for ShownView {
    fn from(view: &StoreView) -> Self {
        let pairs = view.pairs().iter().map(|it| ViewPair {
            key: it.key.clone(),
            value: it.value.to_vec(),
            modified: it.modified,
            created: it.created,
        });
        ShownView {
            revision: view.revision(),
            pairs: pairs.collect(),
        }
    }
}

impl ShownView {
    fn into_pairs(self) -> Vec<KeyValue> {
        let pairs = self.pairs.into_iter().map(|it| KeyValue {
            key: it.key,
            value: it.value.into(),
            modified: it.modified,
            created: it.created,
            version: 0,
        });
        pairs.collect()
    }
}

/// What this daemon's views have beyond those that another daemon knows.
///
/// While a fleet restarts the list of daemons changes dozens of times a second. To
/// send all views each time, with settings of hundreds of customers and routes,
/// would keep the daemons that watch the store from their callers.
pub(super) fn show_views<D: Dialect>(node: &Node<D>, known: ViewRevisions) -> Bytes {
    let views = node.views.borrow();
    let shown = ShownViews {
        operators: ShownView::if_newer(&views.operators, known.operators),
        servers: ShownView::if_newer(&views.servers, known.servers),
        members: ShownView::if_newer(&views.members, known.members),
    };
    serde_json::to_vec(&shown).unwrap_or_default().into()
}

/// Looks for daemons that are ahead, and takes over what they know, until `stop`
/// is cancelled.
///
/// The store may turn single VMs away for long while it serves the others. They
/// would go on with settings in which withdrawn keys still work, and with
/// servers that have left. What others say of the revisions they act by shows it.
pub async fn follow_peers<D: Dialect>(node: Rc<Node<D>>, stop: CancellationToken) {
    let client = HttpClient::new(ANSWER_TIMEOUT);
    let mut was_behind = false;
    while !stop.is_cancelled() {
        tokio::select! {
            () = tokio::time::sleep(LOOK_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        let ahead = node.peer_ahead();
        // A watch needs a moment to bring what another daemon has already. Who
        // doesn't watch has no other source.
        let is_due = was_behind || !node.is_watcher();
        was_behind = ahead.is_some();
        let Some(peer) = ahead.filter(|_| is_due) else {
            continue;
        };
        let known = node.views.borrow().complete_up_to();
        match ask(&client, peer, known).await {
            Ok(views) => take_over(&node, peer, views),
            Err(error) => log::warn!(peer:% = peer, error:% = error; "peers: no views from a peer"),
        }
    }
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
    Ok(serde_json::from_slice(answer.body())?)
}

fn take_over<D: Dialect>(node: &Rc<Node<D>>, peer: SocketAddr, views: ShownViews) {
    let revision_of = |view: &Option<ShownView>| view.as_ref().map(|it| it.revision);
    log::info!(
        peer:% = peer, operators:? = revision_of(&views.operators),
        servers:? = revision_of(&views.servers), members:? = revision_of(&views.members);
        "peers: took over the views of a peer that is ahead"
    );
    if let Some(view) = views.operators {
        let revision = view.revision;
        node.take_operators(view.into_pairs(), revision);
    }
    if let Some(view) = views.servers {
        let revision = view.revision;
        node.take_servers(view.into_pairs(), revision);
    }
    if let Some(view) = views.members {
        let revision = view.revision;
        node.take_members(view.into_pairs(), revision);
    }
}
