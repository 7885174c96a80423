//! Requests that come while a daemon is being stopped.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::{net::SocketAddr, time::Duration};

use comfreyramp_http::StatusCode;
use fleet::{Fleet, HOST, KEY, item};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep_until},
};

/// The timeout of the routes, which exceeds the daemon's grace period of 8 s.
const TIMEOUT_MS: u64 = 20_000;
/// The longest time until a daemon that was asked to stop is gone.
const MAX_STOP_TIME: Duration = Duration::from_secs(9);

/// A caller that sends its request in two parts.
struct SlowCaller {
    id: String,
    address: SocketAddr,
    path: &'static str,
    body: String,
    /// When its connection is opened and the head sent, and when the body's end follows.
    head_at: Instant,
    body_at: Instant,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
enum CallEnd {
    /// No connection, or none that took the request.
    NotTaken,
    /// A complete answer.
    Answered(u16),
    /// The connection ended without a complete answer.
    Cut(String),
}

impl SlowCaller {
    async fn call(&self) -> CallEnd {
        sleep_until(self.head_at).await;
        let Ok(mut stream) = TcpStream::connect(self.address).await else {
            return CallEnd::NotTaken;
        };
        let (begin, end) = self.body.split_at(self.body.len() / 2);
        let head = format!(
            "POST {} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {}\r\nx-deadline-ms: {TIMEOUT_MS}\r\n\
             api-key: {KEY}\r\ncontent-length: {}\r\n\r\n{begin}",
            self.path,
            self.id,
            self.body.len()
        );
        if stream.write_all(head.as_bytes()).await.is_err() {
            return CallEnd::NotTaken;
        }
        let (mut reader, mut writer) = stream.split();
        let sending = async {
            sleep_until(self.body_at).await;
            // The daemon may have answered and closed the connection before.
            let _ = writer.write_all(end.as_bytes()).await;
            std::future::pending::<()>().await;
        };
        let mut answer = Vec::new();
        let reading = async {
            // An error may follow a complete answer.
            let _ = reader.read_to_end(&mut answer).await;
        };
        tokio::select! {
            () = reading => {}
            () = sending => {}
        }
        end_of(&answer)
    }
}

/// Returns whether the bytes are a complete answer.
fn end_of(answer: &[u8]) -> CallEnd {
    let text = String::from_utf8_lossy(answer).into_owned();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return CallEnd::Cut(text);
    };
    let head = head.to_lowercase();
    let length = head
        .lines()
        .find_map(|it| it.strip_prefix("content-length: "));
    let is_complete = match length {
        Some(length) => length.parse() == Ok(body.len()),
        None => body.ends_with("0\r\n\r\n"),
    };
    let status = head.split(' ').nth(1).and_then(|it| it.parse().ok());
    match (is_complete, status) {
        (true, Some(status)) => CallEnd::Answered(status),
        _ => CallEnd::Cut(text),
    }
}

/// Has callers call the first daemon, which is asked to stop at once. The callers are given by
/// their path, their body, and when their head and the end of their body are sent, in
/// milliseconds from then on. Returns how each request ended, and whether a server got it.
async fn calls_around_a_stop(calls: &[(&'static str, String, u64, u64)]) -> Vec<(CallEnd, bool)> {
    let mut fleet = Fleet::started().await;
    fleet.put_timeout(TIMEOUT_MS);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let begin = Instant::now();
    let mut calling = tokio::task::JoinSet::new();
    for (number, (path, body, head_ms, body_ms)) in calls.iter().enumerate() {
        let caller = SlowCaller {
            id: format!("late-{number}"),
            address: fleet.caller_address(0),
            path,
            body: body.clone(),
            head_at: begin + Duration::from_millis(*head_ms),
            body_at: begin + Duration::from_millis(*body_ms),
        };
        calling.spawn(async move { (number, caller.call().await) });
    }
    fleet.terminate(0);
    let mut ends = calling.join_all().await;
    ends.sort_by_key(|it| it.0);
    assert!(fleet.exits_cleanly(0).await);
    assert!(begin.elapsed() < MAX_STOP_TIME);
    let is_at_server = |number: usize| {
        let id = format!("late-{number}");
        let arrivals = fleet.servers.iter().flat_map(|it| it.arrivals());
        arrivals.into_iter().any(|it| it.request_id == id)
    };
    let ends = ends.into_iter();
    ends.map(|(number, end)| (end, is_at_server(number)))
        .collect()
}

fn takes(millis: u64) -> String {
    format!("takes {millis}")
}

/// Guards against requests that are read late in the grace period, passed on, and cut with no
/// answer at its end.
#[tokio::test(flavor = "multi_thread")]
async fn requests_whose_bodies_come_late_are_not_passed_on_to_be_cut() {
    let mut calls = Vec::new();
    for path in ["/drafts/1", "/once/1", "/proofs/1"] {
        for body_ms in [3_500, 5_000, 7_000] {
            calls.push((path, takes(9_000), 500, body_ms));
        }
    }
    for (call, end) in calls.iter().zip(calls_around_a_stop(&calls).await) {
        assert_eq!(end, (CallEnd::Answered(503), false), "{call:?}");
    }
}

/// Guards against requests that a planned stop ends without an answer: those that were read in
/// time and run beyond the grace period, and those whose bodies never come.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_outlast_the_grace_period_are_answered() {
    let calls = [
        ("/proofs/1", takes(9_000), 200, 300),
        ("/proofs/1", takes(9_000), 500, 60_000),
        ("/once/1", takes(9_000), 500, 60_000),
    ];
    for (call, end) in calls.iter().zip(calls_around_a_stop(&calls).await) {
        let is_answered = matches!(end.0, CallEnd::Answered(502..=504));
        assert!(is_answered, "{call:?}: {end:?}");
    }
}

/// Guards against requests that are cut around the moment in which the daemon closes its
/// listener and its idle connections.
#[tokio::test(flavor = "multi_thread")]
async fn requests_around_the_close_are_answered_or_not_passed_on() {
    let mut calls = Vec::new();
    for head_ms in (2_000..3_200).step_by(10) {
        let path = ["/drafts/1", "/once/1", "/proofs/1"][calls.len() % 3];
        calls.push((path, takes(600), head_ms, head_ms));
    }
    for (call, end) in calls.iter().zip(calls_around_a_stop(&calls).await) {
        match end {
            (CallEnd::Answered(200), true) | (CallEnd::Answered(503), false) => {}
            (CallEnd::NotTaken, false) => {}
            // The request crossed the close.
            (CallEnd::Cut(text), false) if text.is_empty() => {}
            end => panic!("{call:?}: {end:?}"),
        }
    }
}

/// Guards against lots that are uploaded during a stop and neither accepted nor refused.
#[tokio::test(flavor = "multi_thread")]
async fn lots_that_are_uploaded_during_a_stop_are_answered() {
    let lot = |number: usize| {
        let items = [item(&format!("late-{number}"), 0, "one")];
        json!({"items": items}).to_string()
    };
    let calls: Vec<(&str, String, u64, u64)> = [2_000, 3_500, 5_000, 7_000]
        .iter()
        .enumerate()
        .map(|(number, body_ms)| ("/lots/late", lot(number), 500, *body_ms))
        .collect();
    for (call, end) in calls.iter().zip(calls_around_a_stop(&calls).await) {
        let accepted = CallEnd::Answered(StatusCode::ACCEPTED.as_u16());
        assert_eq!(end.0, accepted, "{call:?}");
    }
}
