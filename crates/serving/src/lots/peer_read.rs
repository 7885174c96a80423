//! Reads results from the daemon that runs their lot, which saves a call to the store.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use comfreyramp_http::MessageBody;
use http::{Request, StatusCode};

use super::lot_cache::SentLot;
use crate::{dialect::Dialect, node::Node};

/// Path under which daemons send lots to each other.
pub const LOT_PATH: &str = "/lots/";
/// Time limit for the daemon that runs a lot. After it the store is queried.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest answer in bytes. It holds the results of one lot.
const ANSWER_LIMIT: usize = 16 << 20;

/// Answers another daemon's request for a lot. `rest` is the id of the lot, a slash, and
/// the position of the first result wanted.
///
/// The other daemon takes the answer as complete. So this returns `None` where the store
/// may hold more, either because the claim may be lost or because the copy here lacks
/// results that this daemon wrote; the other daemon then queries the store.
pub fn lot_for_peer<D: Dialect>(node: &Node<D>, rest: &str) -> Option<Bytes> {
    let (lot, after) = rest.split_once('/')?;
    let cache = node.lot_cache.borrow();
    let known = cache.get(lot)?;
    // The copy may have been evicted, and read again while a result was being written.
    let has_all = |confirmed: usize| known.results.len() >= confirmed;
    if !known.is_complete() && !node.confirmed_results(lot).is_some_and(has_all) {
        return None;
    }
    let sent = cache.for_peer(lot, after.parse().ok()?)?;
    Some(serde_json::to_vec(&sent).unwrap_or_default().into())
}

/// What became of a request to the daemon that runs a lot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunnerAnswer {
    /// The copy here now has all results that the other daemon knew of.
    Received,
    /// The daemon has no complete copy, or one that doesn't fit the copy here.
    Refused,
    /// The daemon didn't answer.
    Silent,
}

/// Requests the results that are missing here from the daemon that runs a lot, or from the
/// one that is remembered for it if none reports it. Returns whether they were received.
///
/// All results received are in the store already: that daemon adds results to its own copy
/// only once they are written.
pub(super) async fn request_from_runner<D: Dialect>(node: &Rc<Node<D>>, lot: &str) -> bool {
    if let Some(peer) = node.lot_runner(lot) {
        return request_from(node, lot, peer).await == RunnerAnswer::Received;
    }
    let Some(peer) = node.remembered_runner(lot) else {
        return false;
    };
    let answer = request_from(node, lot, peer).await;
    let event = match answer {
        RunnerAnswer::Received => "remembered_runner_answered",
        RunnerAnswer::Refused => {
            node.note_refusing_runner(lot);
            "remembered_runner_refused"
        }
        RunnerAnswer::Silent => {
            node.note_silent_runner(lot);
            "remembered_runner_silent"
        }
    };
    node.metrics.lot(event, 1);
    answer == RunnerAnswer::Received
}

async fn request_from<D: Dialect>(node: &Rc<Node<D>>, lot: &str, peer: SocketAddr) -> RunnerAnswer {
    let requested_at = node.clock.now();
    let after = node
        .lot_cache
        .borrow()
        .get(lot)
        .map_or(0, |it| it.results.len());
    let request = Request::get(format!("http://{peer}{LOT_PATH}{lot}/{after}"));
    let Ok(request) = request.body(MessageBody::empty()) else {
        return RunnerAnswer::Refused;
    };
    let answer = node
        .peer_client
        .exchange(request, ANSWER_TIMEOUT, ANSWER_LIMIT)
        .await;
    let sent = match answer {
        Ok(answer) if answer.status() == StatusCode::OK => {
            serde_json::from_slice::<SentLot>(answer.body())
        }
        Ok(_) => return RunnerAnswer::Refused,
        Err(error) => {
            log::info!(lot = lot, peer:% = peer, error:% = error; "lots: no answer from the daemon that runs the lot");
            return RunnerAnswer::Silent;
        }
    };
    let now = node.clock.now();
    let is_received = match sent {
        Ok(sent) => node
            .lot_cache
            .borrow_mut()
            .add_sent(lot, sent, peer, requested_at, now),
        Err(error) => {
            log::warn!(lot = lot, error:% = error; "lots: the answer of the daemon that runs the lot can't be parsed");
            false
        }
    };
    match is_received {
        true => RunnerAnswer::Received,
        false => RunnerAnswer::Refused,
    }
}
