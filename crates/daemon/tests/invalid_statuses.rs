//! Answers whose status isn't one of a final answer in HTTP.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;

use comfreyramp_http::{Method, StatusCode};
use comfreyramp_standins::runner::{ScriptedAnswer, ScriptedRequest, ScriptedServer};
use support::{FleetPlan, KEY, TestFleet, WAIT_TIMEOUT, chat, vm};
use tokio_util::sync::CancellationToken;

/// Statuses that no final answer has: interim ones, and those of unknown classes.
const UNKNOWN_STATUSES: [&str; 5] = ["101", "199", "600", "700", "999"];
/// Numbers that are no statuses.
const NO_STATUSES: [&str; 5] = ["000", "001", "099", "0200", "2x0"];

/// Sends requests until one has reached a server that answers with a status, and returns the
/// status that its caller gets; nothing if the connection breaks.
async fn passed_status(status: &'static str, group: &str, path: &str) -> Option<StatusCode> {
    let plan = FleetPlan {
        engines: Vec::new(),
        ..FleetPlan::default()
    };
    let fleet = TestFleet::start(plan.with_plain_service("texts")).await;
    let script = move |it: &ScriptedRequest| {
        let id = it.request.id();
        let head = format!("HTTP/1.1 {status} Scripted\r\nx-request-id: {id}");
        let bytes = format!("{head}\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{{}}");
        ScriptedAnswer::cut_bytes(bytes.as_bytes(), false)
    };
    let stop = CancellationToken::new();
    let server = ScriptedServer::start("odd-1", script, stop.clone());
    let server = server.await.unwrap();
    fleet
        .platform
        .put_vm(vm("odd-1", "zone-1", group, server.address));
    let _stop = stop.drop_guard();
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    let is_live = |it: &ScriptedRequest| it.request.path == path;
    loop {
        let body = chat("a", 4, false).to_string();
        let request = fleet.request(0, Method::POST, path, KEY, body);
        let answered = fleet.client.send_within(WAIT_TIMEOUT, request).await;
        if server.requests().iter().any(is_live) {
            return answered.ok().map(|it| it.status());
        }
        assert!(tokio::time::Instant::now() < deadline, "{path} isn't used");
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

/// Guards against answers that callers can't understand, such as a change of protocols for
/// which nobody asked.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_statuses_are_not_passed_to_callers() {
    let mut sending = tokio::task::JoinSet::new();
    let completions = UNKNOWN_STATUSES.map(|it| (it, "engines", "/v1/chat/completions"));
    let statuses = UNKNOWN_STATUSES.iter().chain(&NO_STATUSES);
    let plain = statuses.map(|it| (*it, "texts", "/texts/a"));
    for (status, group, path) in completions.into_iter().chain(plain) {
        sending.spawn(async move { (status, path, passed_status(status, group, path).await) });
    }
    let answered = sending.join_all().await.into_iter();
    let is_passed = |it: &Option<StatusCode>| it.is_some_and(|it| !it.is_server_error());
    let passed: Vec<_> = answered.filter(|it| is_passed(&it.2)).collect();
    assert!(passed.is_empty(), "{passed:?}");
}
