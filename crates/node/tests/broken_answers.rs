//! Answers without a length or chunks, which end with their connections, and answers that
//! are broken off.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::{io::ErrorKind, sync::Arc, time::Duration};

use comfreyramp_http::{Bytes, Response, StatusCode};
use comfreyramp_standins::runner::{ClosingAnswer, ClosingServer};
use fleet::{CallerRequest, Fleet, HOST, KEY, expected_output, expected_stream};
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use tokio_util::sync::{CancellationToken, DropGuard};

const LF_STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const CRLF_STREAM: &[u8] = b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n";

/// A fleet with a server in the first daemon's zone whose answers end with their
/// connections.
struct ClosingFleet {
    fleet: Fleet,
    server: Arc<ClosingServer>,
    sent: usize,
    _stop: DropGuard,
}

impl ClosingFleet {
    /// Starts the fleet. The engine in the first daemon's zone is drained, and the other one
    /// too if `is_alone`.
    async fn start(default: ClosingAnswer, is_alone: bool) -> ClosingFleet {
        let fleet = Fleet::started().await;
        let stop = CancellationToken::new();
        let starting = ClosingServer::start("closing-1", default, stop.clone());
        let server = starting.await.unwrap();
        server.register("drafts", "zone-1", &fleet.store);
        fleet.servers[0].register(&fleet.store, "draining");
        if is_alone {
            fleet.servers[1].register(&fleet.store, "draining");
        }
        // All daemons follow the list of servers.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        ClosingFleet {
            fleet,
            server,
            sent: 0,
            _stop: stop.drop_guard(),
        }
    }

    /// Sends a request to the first daemon.
    async fn send(&mut self, path: &str) -> Result<Response<Bytes>, String> {
        self.sent += 1;
        let id = format!("request-{}", self.sent);
        let request = CallerRequest::post(path, &id, b"verse");
        self.fleet.send(0, request).await
    }

    /// Returns the fields of the line that the daemons logged on a request's end.
    async fn end_line(&self, message: &str) -> Value {
        let id = format!("request-{}", self.sent);
        let lines = self.fleet.log_lines_with_id(&id).await;
        let line = lines.iter().find(|it| it["message"] == message);
        line.unwrap_or_else(|| panic!("no line «{message}» in {lines:?}"))["kvs"].clone()
    }
}

/// Returns the places inside an event.
fn places_inside_events(stream: &[u8], boundary: usize) -> Vec<usize> {
    (1..stream.len()).filter(|it| *it != boundary).collect()
}

/// A stream whose server closes its connection inside an event must reach the caller as a
/// broken connection, not as a complete answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_cut_inside_an_event_is_not_framed_as_complete() {
    let whole = ClosingAnswer::whole(LF_STREAM);
    let mut fleet = ClosingFleet::start(whole, true).await;
    let mut framed_complete = Vec::new();
    for (name, stream, boundary) in [("LF", LF_STREAM, 15), ("CRLF", CRLF_STREAM, 18)] {
        for place in places_inside_events(stream, boundary) {
            let requests = fleet.server.requests();
            fleet.server.queue(ClosingAnswer::whole(&stream[..place]));
            if fleet.send("/once/1").await.is_ok() {
                framed_complete.push((name, place));
            }
            assert_eq!(fleet.server.requests(), requests + 1);
            // A complete answer in between, so that the server isn't ejected.
            let response = fleet.send("/once/1").await.unwrap();
            assert_eq!(response.body().as_ref(), LF_STREAM);
        }
    }
    assert_eq!(
        framed_complete,
        [],
        "framed as complete, by line end and place"
    );
}

/// A stream whose server closes its connection before the first event is no answer: where
/// the request may not run again, the caller must get an error.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_any_event_is_no_complete_answer() {
    let mut fleet = ClosingFleet::start(ClosingAnswer::whole(b""), true).await;
    let response = fleet.send("/once/1").await.unwrap();
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    assert!(!response.headers().contains_key("x-response-signature"));
}

/// A stream whose server closes its connection before the first event is no answer: where
/// the request may run again, another server must answer it.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_without_any_event_is_answered_by_another_server() {
    let mut fleet = ClosingFleet::start(ClosingAnswer::whole(b""), false).await;
    let response = fleet.send("/drafts/1").await.unwrap();
    assert_eq!(response.body(), expected_stream().as_bytes());
    assert!(
        fleet.server.requests() > 0,
        "the closing server wasn't used"
    );
}

/// An item whose server closes its connection before the first event must run again instead
/// of being listed with an empty output.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_without_any_event_runs_again() {
    let fleet = ClosingFleet::start(ClosingAnswer::whole(b""), false).await;
    let status = fleet.fleet.submit_lot(0, "lot-e", &["one"]).await;
    assert_eq!(status.unwrap(), StatusCode::ACCEPTED);
    let page = fleet.fleet.read_finished_lot(0, "lot-e").await;
    assert_eq!(page["results"][0]["state"], "done");
    assert_eq!(page["results"][0]["output"], expected_output());
    assert!(
        fleet.server.requests() > 0,
        "the closing server wasn't used"
    );
}

/// Where a run broke off after an item's last event, the next one has no event to send. It
/// looks like a run that broke off, so only a second one may end the item.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_ends_after_two_resumed_runs_without_any_event() {
    let fleet = ClosingFleet::start(ClosingAnswer::whole(b""), true).await;
    let cut = [LF_STREAM, b"id: 3\nda"].concat();
    fleet.server.queue(ClosingAnswer::whole(&cut));
    let status = fleet.fleet.submit_lot(0, "lot-2", &["one"]).await;
    assert_eq!(status.unwrap(), StatusCode::ACCEPTED);
    let page = fleet.fleet.read_finished_lot(0, "lot-2").await;
    assert_eq!(page["results"][0]["output"], "a\nb");
    assert_eq!(fleet.server.requests(), 3);
}

/// A resumed run that broke off before its first event must not end the item.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_goes_on_after_one_resumed_run_without_any_event() {
    let rest = ClosingAnswer::whole(b"id: 3\ndata: c\n\n");
    let fleet = ClosingFleet::start(rest, true).await;
    let cut = [LF_STREAM, b"id: 3\nda"].concat();
    fleet.server.queue(ClosingAnswer::whole(&cut));
    fleet.server.queue(ClosingAnswer::whole(b""));
    let status = fleet.fleet.submit_lot(0, "lot-3", &["one"]).await;
    assert_eq!(status.unwrap(), StatusCode::ACCEPTED);
    let page = fleet.fleet.read_finished_lot(0, "lot-3").await;
    assert_eq!(page["results"][0]["output"], "a\nb\nc");
    assert_eq!(fleet.server.requests(), 3);
}

/// A server that breaks off answer after answer must count as failing, so that other
/// servers get its requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_closes_inside_events_is_ejected() {
    let cut = ClosingAnswer::whole(&LF_STREAM[..20]);
    let mut fleet = ClosingFleet::start(cut, false).await;
    let mut whole = 0;
    for _ in 0..12 {
        let response = fleet.send("/once/1").await;
        let is_whole = |it: &Response<Bytes>| it.body() == expected_stream().as_bytes();
        whole += usize::from(response.as_ref().is_ok_and(is_whole));
    }
    let at_failing = fleet.server.requests();
    assert!(at_failing > 0, "the closing server wasn't used");
    assert!(
        at_failing <= 6,
        "{at_failing} of 12 requests at the failing server"
    );
    assert_eq!(whole, 12 - at_failing);
}

/// A caller of HTTP/1.0 gets no chunks: only a reset distinguishes a broken stream from a
/// complete one.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_without_chunks_sees_a_reset_after_a_broken_stream() {
    let fleet = Fleet::started().await;
    let (body, end) = send_without_chunks(&fleet, "whole-1").await;
    assert!(body.ends_with(&expected_stream()), "{body}");
    assert_eq!(end, None);
    fleet.servers[0].cut_next_stream(4);
    let (body, end) = send_without_chunks(&fleet, "broken-1").await;
    assert!(!body.contains("word 12"), "{body}");
    assert_eq!(end, Some(ErrorKind::ConnectionReset));
}

/// A caller of HTTP/1.0 must not take the end of a killed daemon's connection for the end of
/// its answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_without_chunks_sees_a_reset_of_a_killed_daemon() {
    let mut fleet = Fleet::started().await;
    let mut stream = send_request_without_chunks(&fleet, "killed-1", "takes 3000").await;
    let mut answer = [0; 1024];
    assert!(stream.read(&mut answer).await.unwrap() > 0);
    fleet.kill(0);
    let end = stream.read_to_end(&mut Vec::new()).await;
    assert_eq!(end.unwrap_err().kind(), ErrorKind::ConnectionReset);
}

/// Answers that end with their connections and are whole must arrive whole, in pieces of
/// any size.
#[tokio::test(flavor = "multi_thread")]
async fn whole_answers_without_a_length_arrive_whole() {
    let default = ClosingAnswer::in_pieces(CRLF_STREAM, 3);
    let mut fleet = ClosingFleet::start(default, true).await;
    for path in ["/once/1", "/drafts/1"] {
        let response = fleet.send(path).await.unwrap();
        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(response.body().as_ref(), CRLF_STREAM, "{path}");
        let line = fleet.end_line("callers: streamed").await;
        assert_eq!(line["framing"], "connection_close");
        assert_eq!(line["answer_end"], "after_event");
    }
    let status = fleet.fleet.submit_lot(0, "lot-w", &["one"]).await;
    assert_eq!(status.unwrap(), StatusCode::ACCEPTED);
    let page = fleet.fleet.read_finished_lot(0, "lot-w").await;
    assert_eq!(page["results"][0]["output"], "a\nb");
}

/// Sends a request in HTTP/1.0 to the first daemon. Returns the answer and the error at
/// its end, if any.
async fn send_without_chunks(fleet: &Fleet, id: &str) -> (String, Option<ErrorKind>) {
    let mut stream = send_request_without_chunks(fleet, id, "verse").await;
    let mut answer = Vec::new();
    let end = stream.read_to_end(&mut answer).await;
    let text = String::from_utf8_lossy(&answer).into_owned();
    (text, end.err().map(|it| it.kind()))
}

async fn send_request_without_chunks(fleet: &Fleet, id: &str, body: &str) -> TcpStream {
    let address = fleet.caller_address(0);
    let mut stream = TcpStream::connect(address).await.unwrap();
    let length = body.len();
    let request = format!(
        "POST /once/1 HTTP/1.0\r\nhost: {HOST}\r\nx-request-id: {id}\r\nx-deadline-ms: 5000\r\n\
         api-key: {KEY}\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}
