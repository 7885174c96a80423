//! Answers of other daemons, or of the store, whose heads are malformed.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

use std::{sync::Arc, time::Duration};

use assert_matches::assert_matches;
use bytes::Bytes;
use comfreyramp_http::{CallError, HttpClient, MessageBody};
use comfreyramp_standins::runner::{
    MALFORMED_LENGTHS, NO_FIELDS, ScriptedAnswer, ScriptedRequest, ScriptedServer, UNKNOWN_CODINGS,
};
use http::{Request, Response};
use tokio_util::sync::CancellationToken;

const TIMEOUT: Duration = Duration::from_secs(2);
/// Framings of a body of one chunk, of which none is known to be right.
const FRAMINGS: [&str; 6] = [
    "transfer-encoding: chunke",
    "transfer-encoding: gzip, chunked",
    "transfer-encoding: ",
    "transfer-encoding: chunke\r\ncontent-length: 14",
    "transfer-encoding: chunked\r\ncontent-length: 4",
    "transfer-encoding: chunked\r\ncontent-length: 14",
];

/// Answers the path `/N` with the framing of that number, and others with a whole answer that
/// names the request before it on its connection.
fn framed_by_path(received: &ScriptedRequest) -> ScriptedAnswer {
    let request = &received.request;
    let Ok(number) = request.path[1..].parse::<usize>() else {
        let previous = received.previous_id.as_deref().unwrap_or("none");
        return ScriptedAnswer::whole(200, request.id(), previous.as_bytes());
    };
    let framing = FRAMINGS[number];
    let bytes = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n4\r\n1234\r\n0\r\n\r\n");
    ScriptedAnswer::raw(bytes.as_bytes())
}

async fn call(
    client: &HttpClient,
    server: &ScriptedServer,
    path: &str,
) -> Result<Response<Bytes>, CallError> {
    let request = Request::get(format!("http://{}/{path}", server.address));
    let request = request.header("x-request-id", path);
    let request = request.body(MessageBody::empty()).unwrap();
    client.exchange(request, TIMEOUT, 1_024).await
}

/// Guards against a body of another daemon that holds the sizes of its chunks, and against
/// what is left of it as the answer to the next call.
#[tokio::test]
async fn a_call_whose_answer_has_an_unknown_framing_is_refused_with_its_connection() {
    let stop = CancellationToken::new();
    let server = ScriptedServer::start("malformed-1", framed_by_path, stop.clone());
    let server = server.await.unwrap();
    let client = HttpClient::default();
    for (number, framing) in FRAMINGS.iter().enumerate() {
        // The second call uses the connection of the first again.
        for previous in ["none", "whole"] {
            let whole = call(&client, &server, "whole").await.unwrap();
            assert_eq!(whole.body(), previous, "before {framing}");
        }
        let refused = call(&client, &server, &number.to_string()).await;
        assert_matches!(refused, Err(CallError::InvalidHead(_)), "{framing}");
    }
    drop(stop.drop_guard());
}

/// Guards against a body of another daemon, or of the store, that isn't what was sent.
#[tokio::test]
async fn a_call_whose_answers_head_is_malformed_has_no_answer() {
    const BODY: &[u8] = b"a\r\n0123456789\r\n0\r\n\r\n";
    let line = |name: &str, value: &&str| format!("{name}: {value}").into_bytes();
    let codings = UNKNOWN_CODINGS
        .iter()
        .map(|it| line("transfer-encoding", it));
    let lengths = MALFORMED_LENGTHS
        .iter()
        .map(|it| line("content-length", it));
    let mut heads: Vec<_> = codings.chain(lengths).collect();
    for framing in [
        "content-length: 20",
        "transfer-encoding: chunked",
        "x-framing: none",
    ] {
        let framing = framing.as_bytes();
        for line in NO_FIELDS {
            heads.push([framing, b"\r\n", line].concat());
            heads.push([line, b"\r\n", framing].concat());
        }
    }
    heads.push(b"transfer-encodin: chunked".to_vec());
    let heads = Arc::new(heads);
    let shared = heads.clone();
    let script = move |it: &ScriptedRequest| {
        let head = &shared[it.request.path[1..].parse::<usize>().unwrap()];
        let bytes = [b"HTTP/1.1 200 OK\r\n", head.as_slice(), b"\r\n\r\n", BODY].concat();
        ScriptedAnswer::cut_bytes(&bytes, false)
    };
    let stop = CancellationToken::new();
    let server = ScriptedServer::start("malformed-1", script, stop.clone());
    let server = server.await.unwrap();
    let client = HttpClient::default();
    for (number, head) in heads.iter().enumerate() {
        let answer = call(&client, &server, &number.to_string()).await;
        assert!(answer.is_err(), "{}: {answer:?}", head.escape_ascii());
    }
    assert_eq!(server.requests().len(), heads.len());
    drop(stop.drop_guard());
}
