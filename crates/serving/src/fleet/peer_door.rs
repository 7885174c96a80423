//! Handles the HTTP requests of other daemons.

use std::rc::Rc;

use bytes::Bytes;
use comfreyramp_http::collect_limited;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use super::{
    peer_views::{VIEWS_PATH, encode_newer_views},
    store_relay::RELAY_PATH,
    stream_notice::{STREAMS_PATH, encode_software, stream_of_path},
};
use crate::{
    dialect::Dialect,
    lots::{LOT_PATH, lot_for_peer},
    node::Node,
    path::AnswerBody,
};

/// Maximum size in bytes of a relayed store call: a lot with all its request bodies.
const MAX_CALL_BYTES: usize = 12 << 20;

/// Answers a request of another daemon: for newer views, for a store call on behalf of a
/// daemon that can't reach the store, for the results of a lot that a caller reads there, or
/// for the software that began a stream.
pub async fn handle_peer_request<D: Dialect>(
    node: Rc<Node<D>>,
    request: Request<Incoming>,
) -> Response<AnswerBody<D>> {
    let path = request.uri().path();
    if let Some(rest) = path.strip_prefix(LOT_PATH) {
        return match lot_for_peer(&node, rest) {
            Some(results) => Response::new(AnswerBody::whole(results)),
            None => empty_response(StatusCode::NOT_FOUND),
        };
    }
    if let Some(rest) = path.strip_prefix(STREAMS_PATH) {
        let software = stream_of_path(rest).and_then(|it| node.known_origin(it));
        return match software {
            Some(software) => Response::new(AnswerBody::whole(encode_software(software))),
            None => empty_response(StatusCode::NOT_FOUND),
        };
    }
    let is_view = path == VIEWS_PATH;
    if !is_view && path != RELAY_PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let call = match collect_limited(request.into_body(), MAX_CALL_BYTES).await {
        Ok(call) => call,
        Err(error) => {
            log::warn!(error:% = error; "peers: failed to read a request body");
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    if !is_view {
        return node.store.serve_call(&call).await.map(AnswerBody::whole);
    }
    match postcard::from_bytes(&call) {
        Ok(known) => Response::new(AnswerBody::whole(encode_newer_views(&node, known))),
        Err(error) => {
            log::warn!(error:% = error; "peers: failed to decode a request for views");
            empty_response(StatusCode::BAD_REQUEST)
        }
    }
}

fn empty_response<D: Dialect>(status: StatusCode) -> Response<AnswerBody<D>> {
    let mut response = Response::new(AnswerBody::whole(Bytes::new()));
    *response.status_mut() = status;
    response
}
