//! How the end of a response's body is determined.

#![allow(clippy::unwrap_used, reason = "the heads are valid")]

use comfreyramp_http::{BodyFraming, Response, StatusCode};

fn framing(status: StatusCode, headers: &[(&str, &str)]) -> BodyFraming {
    let mut head = Response::builder().status(status);
    for (name, value) in headers {
        head = head.header(*name, *value);
    }
    BodyFraming::of(&head.body(()).unwrap().into_parts().0)
}

#[test]
fn the_head_determines_the_framing() {
    let ok = StatusCode::OK;
    assert_eq!(framing(ok, &[("content-length", "0")]), BodyFraming::Length);
    assert_eq!(
        framing(ok, &[("transfer-encoding", "chunked")]),
        BodyFraming::Chunked
    );
    assert_eq!(framing(ok, &[]), BodyFraming::ConnectionClose);
}

/// A status without a body must not look like a body that ends with its connection.
#[test]
fn a_status_without_a_body_has_a_known_length() {
    assert_eq!(framing(StatusCode::NO_CONTENT, &[]), BodyFraming::Length);
    assert_eq!(framing(StatusCode::NOT_MODIFIED, &[]), BodyFraming::Length);
}
