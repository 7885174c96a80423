//! Settings and directory from other daemons, where the store can't be asked.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use comfreyramp_http::{HttpClient, MessageBody};
use comfreyramp_store::KeyValue;
use http::Request;
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};
use tokio_util::sync::CancellationToken;

use super::StoreView;
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

#[derive(Debug, Serialize, Deserialize)]
struct ShownViews {
    operators: ShownView,
    servers: ShownView,
    members: ShownView,
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

/// This daemon's views, as it shows them to others.
pub(super) fn show_views<D: Dialect>(node: &Node<D>) -> Bytes {
    let views = node.views.borrow();
    let shown = ShownViews {
        operators: (&views.operators).into(),
        servers: (&views.servers).into(),
        members: (&views.members).into(),
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
        match ask(&client, peer).await {
            Ok(views) => take_over(&node, peer, views),
            Err(error) => log::warn!(peer:% = peer, error:% = error; "peers: no views from a peer"),
        }
    }
}

async fn ask(client: &HttpClient, peer: SocketAddr) -> anyhow::Result<ShownViews> {
    let request = Request::get(format!("http://{peer}{VIEWS_PATH}")).body(MessageBody::empty())?;
    let answer = client
        .exchange(request, ANSWER_TIMEOUT, ANSWER_LIMIT)
        .await?;
    Ok(serde_json::from_slice(answer.body())?)
}

fn take_over<D: Dialect>(node: &Rc<Node<D>>, peer: SocketAddr, views: ShownViews) {
    log::info!(
        peer:% = peer, operators = views.operators.revision, servers = views.servers.revision;
        "peers: took over the views of a peer that is ahead"
    );
    let revision = views.operators.revision;
    node.take_operators(views.operators.into_pairs(), revision);
    let revision = views.servers.revision;
    node.take_servers(views.servers.into_pairs(), revision);
    let revision = views.members.revision;
    node.take_members(views.members.into_pairs(), revision);
}
