//! Results of lots from the daemons that run them, which costs no call to the
//! store.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use comfreyramp_http::MessageBody;
use http::{Request, StatusCode};

use super::lot_cache::SentLot;
use crate::{dialect::Dialect, node::Node};

/// Under this path daemons show each other lots.
pub const LOT_PATH: &str = "/lots/";
/// How long the daemon that runs a lot may take. Then the store is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// The longest answer: the results of one lot.
const ANSWER_LIMIT: usize = 16 << 20;

/// Shows a lot to another daemon: `rest` is the lot, a slash, and the position
/// of the first result that is wanted.
///
/// The other daemon takes this for all there is. So nothing is shown where the store
/// may hold more, as after a claim that may be gone, or where the copy here doesn't
/// reach as far as this daemon wrote; the store is asked instead.
pub fn show_lot<D: Dialect>(node: &Node<D>, rest: &str) -> Option<Bytes> {
    let (lot, after) = rest.split_once('/')?;
    let cache = node.lot_cache.borrow();
    let known = cache.get(lot)?;
    // The copy may have been dropped, and read again while a result was written.
    let has_all = |confirmed: usize| known.results.len() >= confirmed;
    if !known.is_complete() && !node.vouched_results(lot).is_some_and(has_all) {
        return None;
    }
    let sent = cache.for_peer(lot, after.parse().ok()?)?;
    Some(serde_json::to_vec(&sent).unwrap_or_default().into())
}

/// Asks the daemon that runs a lot for what isn't known of it here. Returns
/// whether it answered.
///
/// What it shows is in the store already: it takes results into its own copy
/// only once they are written.
pub(super) async fn request_from_runner<D: Dialect>(node: &Rc<Node<D>>, lot: &str) -> bool {
    let Some(peer) = node.lot_runner(lot) else {
        return false;
    };
    let requested_at = node.clock.now();
    let after = node
        .lot_cache
        .borrow()
        .get(lot)
        .map_or(0, |it| it.results.len());
    let request = Request::get(format!("http://{peer}{LOT_PATH}{lot}/{after}"));
    let Ok(request) = request.body(MessageBody::empty()) else {
        return false;
    };
    let answer = node
        .peer_client
        .exchange(request, ANSWER_TIMEOUT, ANSWER_LIMIT)
        .await;
    let sent = match answer {
        Ok(answer) if answer.status() == StatusCode::OK => {
            serde_json::from_slice::<SentLot>(answer.body())
        }
        Ok(_) => return false,
        Err(error) => {
            log::info!(lot = lot, peer:% = peer, error:% = error; "lots: no results from the daemon that runs it");
            return false;
        }
    };
    let now = node.clock.now();
    match sent {
        Ok(sent) => node
            .lot_cache
            .borrow_mut()
            .add_sent(lot, sent, peer, requested_at, now),
        Err(error) => {
            log::warn!(lot = lot, error:% = error; "lots: a daemon shows what can't be read");
            false
        }
    }
}
