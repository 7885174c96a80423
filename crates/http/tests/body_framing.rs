//! How the end of a response's body is determined.

#![allow(clippy::unwrap_used, reason = "the heads are valid")]

use comfreyramp_http::{BodyFraming, Method, Response, StatusCode};

fn framing(method: &Method, status: StatusCode, headers: &[(&str, &str)]) -> BodyFraming {
    let mut head = Response::builder().status(status);
    for (name, value) in headers {
        head = head.header(*name, *value);
    }
    BodyFraming::of(method, &head.body(()).unwrap().into_parts().0)
}

#[test]
fn the_head_determines_the_framing() {
    let ok = StatusCode::OK;
    assert_eq!(
        framing(&Method::POST, ok, &[("content-length", "0")]),
        BodyFraming::Length
    );
    assert_eq!(
        framing(&Method::POST, ok, &[("transfer-encoding", "chunked")]),
        BodyFraming::Chunked
    );
    assert_eq!(
        framing(&Method::POST, ok, &[]),
        BodyFraming::ConnectionClose
    );
}

/// An answer without a body must not look like a body that ends with its connection.
#[test]
fn an_answer_that_has_no_body_has_a_known_length() {
    let chunked = [("transfer-encoding", "chunked")];
    let to_head = framing(&Method::HEAD, StatusCode::OK, &chunked);
    assert_eq!(to_head, BodyFraming::Length);
    let to_head = framing(&Method::HEAD, StatusCode::OK, &[]);
    assert_eq!(to_head, BodyFraming::Length);
    assert_eq!(
        framing(&Method::POST, StatusCode::NO_CONTENT, &[]),
        BodyFraming::Length
    );
    assert_eq!(
        framing(&Method::POST, StatusCode::NOT_MODIFIED, &[]),
        BodyFraming::Length
    );
}
