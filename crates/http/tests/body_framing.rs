//! How the end of a response's body is determined.

#![allow(clippy::unwrap_used, reason = "the heads are valid")]

use comfreyramp_http::{BodyFraming, HeadError, Method, Response, StatusCode};

type Framing = Result<BodyFraming, HeadError>;

fn framing(method: &Method, status: StatusCode, headers: &[(&str, &str)]) -> Framing {
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
        Ok(BodyFraming::Length)
    );
    assert_eq!(
        framing(&Method::POST, ok, &[("transfer-encoding", "chunked")]),
        Ok(BodyFraming::Chunked)
    );
    assert_eq!(
        framing(&Method::POST, ok, &[]),
        Ok(BodyFraming::ConnectionClose)
    );
}

/// An answer without a body must not look like a body that ends with its connection.
#[test]
fn an_answer_that_has_no_body_has_a_known_length() {
    let chunked = [("transfer-encoding", "chunked")];
    let to_head = framing(&Method::HEAD, StatusCode::OK, &chunked);
    assert_eq!(to_head, Ok(BodyFraming::Length));
    let to_head = framing(&Method::HEAD, StatusCode::OK, &[]);
    assert_eq!(to_head, Ok(BodyFraming::Length));
    assert_eq!(
        framing(&Method::POST, StatusCode::NO_CONTENT, &[]),
        Ok(BodyFraming::Length)
    );
    assert_eq!(
        framing(&Method::POST, StatusCode::NOT_MODIFIED, &[]),
        Ok(BodyFraming::Length)
    );
}

/// Forms of a coding that HTTP allows must not be taken for an unknown one.
#[test]
fn chunks_are_known_in_all_forms_of_their_name() {
    for codings in [
        &["CHUNKED"][..],
        &[" chunked\t"],
        &[", ,chunked"],
        &["", "chunked"],
        &["chunked", "chunked"],
    ] {
        let headers: Vec<_> = codings
            .iter()
            .map(|it| ("transfer-encoding", *it))
            .collect();
        let known = framing(&Method::POST, StatusCode::OK, &headers);
        assert_eq!(known, Ok(BodyFraming::Chunked), "{codings:?}");
    }
}

/// A coding that isn't decoded must not be taken for chunks: the body would hold its bytes.
#[test]
fn other_codings_determine_no_framing() {
    for codings in [
        &["chunke"][..],
        &["chunked x"],
        &["chunked;q=1"],
        &["gzip, chunked"],
        &["chunked, gzip"],
        &["chunked,"],
        &[""],
        &["chunked", "gzip"],
        &["gzip", "chunked"],
    ] {
        let mut headers: Vec<_> = codings
            .iter()
            .map(|it| ("transfer-encoding", *it))
            .collect();
        for _ in 0..2 {
            for method in [Method::POST, Method::HEAD] {
                let unknown = framing(&method, StatusCode::OK, &headers);
                assert_eq!(unknown, Err(HeadError::UnknownCoding), "{headers:?}");
            }
            headers.push(("content-length", "30"));
        }
    }
}

/// Of a length and chunks, neither is known to be the right one.
#[test]
fn a_length_beside_chunks_determines_no_framing() {
    let headers = [("transfer-encoding", "chunked"), ("content-length", "30")];
    let both = framing(&Method::POST, StatusCode::OK, &headers);
    assert_eq!(both, Err(HeadError::LengthBesideCoding));
}

/// A change of protocols, or a status of no class that HTTP knows, must not be passed on.
#[test]
fn a_status_of_no_final_response_determines_no_framing() {
    for number in [100, 101, 199, 600, 700, 999] {
        let status = StatusCode::from_u16(number).unwrap();
        let unknown = framing(&Method::GET, status, &[("content-length", "0")]);
        assert_eq!(unknown, Err(HeadError::UnknownStatus(number)));
    }
}
