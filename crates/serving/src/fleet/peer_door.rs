//! What other daemons ask for.

use std::rc::Rc;

use bytes::Bytes;
use comfreyramp_http::collect_limited;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use super::{
    peer_views::{VIEWS_PATH, show_views},
    store_relay::RELAY_PATH,
};
use crate::{
    dialect::Dialect,
    lots::{LOT_PATH, show_lot},
    node::Node,
    path::FrontBody,
};

/// The longest call that is made for another daemon: a lot with all its bodies.
const CALL_LIMIT: usize = 12 << 20;

/// Answers other daemons: views for those behind, calls to the store for those
/// that don't reach it, results of lots for those that callers ask.
pub async fn answer_peer<D: Dialect>(
    node: Rc<Node<D>>,
    request: Request<Incoming>,
) -> Response<FrontBody<D>> {
    let path = request.uri().path();
    if let Some(rest) = path.strip_prefix(LOT_PATH) {
        return match show_lot(&node, rest) {
            Some(shown) => Response::new(FrontBody::whole(shown)),
            None => with_status(StatusCode::NOT_FOUND),
        };
    }
    let is_view = path == VIEWS_PATH;
    if !is_view && path != RELAY_PATH {
        return with_status(StatusCode::NOT_FOUND);
    }
    let call = match collect_limited(request.into_body(), CALL_LIMIT).await {
        Ok(call) => call,
        Err(error) => {
            log::warn!(error:% = error; "peers: a call can't be read");
            return with_status(StatusCode::BAD_REQUEST);
        }
    };
    if !is_view {
        return node.store.answer(&call).await.map(FrontBody::whole);
    }
    match postcard::from_bytes(&call) {
        Ok(known) => Response::new(FrontBody::whole(show_views(&node, known))),
        Err(error) => {
            log::warn!(error:% = error; "peers: a question for views can't be read");
            with_status(StatusCode::BAD_REQUEST)
        }
    }
}

fn with_status<D: Dialect>(status: StatusCode) -> Response<FrontBody<D>> {
    let mut answer = Response::new(FrontBody::whole(Bytes::new()));
    *answer.status_mut() = status;
    answer
}
