//! Servers that answer twice, the second time late, where the answer to the next request on the
//! same connection is expected.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod lot_calls;
mod support;

use std::{sync::Arc, time::Duration};

use comfreyramp_http::Method;
use comfreyramp_standins::runner::{ScriptedAnswer, ScriptedRequest, ScriptedServer};
use lot_calls::{LotCaller, input};
use serde_json::json;
use support::{FleetPlan, KEY, TestFleet, WAIT_TIMEOUT, WholeAnswer, chat, vm};
use tokio_util::sync::{CancellationToken, DropGuard};

/// How many requests a test sends, one after the other.
const ROUNDS: usize = 12;

/// The kinds of requests that are answered by different code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallKind {
    Completion,
    Stream,
    Plain,
}

const KINDS: [CallKind; 3] = [CallKind::Completion, CallKind::Stream, CallKind::Plain];

/// Which id an answer bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerId {
    /// That of its request.
    Own,
    /// One that the server makes up.
    Unrelated,
    None,
}

/// Returns the whole answer to the request with this id, whose text contains the id.
fn answer_to(kind: CallKind, request: &str, id: AnswerId) -> ScriptedAnswer {
    let id = match id {
        AnswerId::Own => request,
        AnswerId::Unrelated => "unrelated",
        AnswerId::None => "",
    };
    let text = format!("answer to {request}.");
    match kind {
        CallKind::Completion => {
            let body = json!({ "choices": [{ "message": { "content": text } }] });
            ScriptedAnswer::whole(200, id, body.to_string().as_bytes())
        }
        CallKind::Stream => {
            let event = json!({
                "id": "c", "created": 0, "model": "demo-model",
                "choices": [{ "delta": { "content": text } }],
            });
            let events = format!("data: {event}\n\ndata: [DONE]\n\n");
            ScriptedAnswer::stream(id, events.as_bytes())
        }
        CallKind::Plain => ScriptedAnswer::whole(200, id, text.as_bytes()),
    }
}

/// Returns an answer by which the server is idle.
fn idle_load() -> ScriptedAnswer {
    ScriptedAnswer::whole(200, "", b"{}")
        .header("x-engine-running", "0")
        .header("x-engine-waiting", "0")
        .header("x-engine-batch", "16")
}

/// Returns the answer to a request, after a late second one to the request before.
fn late_then_own(kind: CallKind, id: AnswerId, it: &ScriptedRequest) -> ScriptedAnswer {
    let own = answer_to(kind, it.request.id(), id);
    match it.previous_id.as_deref() {
        None | Some("") => own,
        Some(previous) => answer_to(kind, previous, id).then(&own),
    }
}

/// A fleet with one daemon whose only server answers by a script.
struct LateFleet {
    fleet: TestFleet,
    server: Arc<ScriptedServer>,
    kind: CallKind,
    _stop: DropGuard,
}

impl LateFleet {
    async fn start(
        kind: CallKind,
        script: impl Fn(&ScriptedRequest) -> ScriptedAnswer + Send + Sync + 'static,
    ) -> LateFleet {
        let plan = FleetPlan {
            engines: Vec::new(),
            ..FleetPlan::default()
        };
        let fleet = TestFleet::start(plan.with_plain_service("late")).await;
        let stop = CancellationToken::new();
        let server = ScriptedServer::start("late-1", script, stop.clone())
            .await
            .unwrap();
        let group = match kind {
            CallKind::Plain => "late",
            CallKind::Completion | CallKind::Stream => "engines",
        };
        fleet
            .platform
            .put_vm(vm("late-1", "zone-1", group, server.address));
        let fleet = LateFleet {
            fleet,
            server,
            kind,
            _stop: stop.drop_guard(),
        };
        fleet.wait_until_used().await;
        fleet
    }

    async fn wait_until_used(&self) {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        while self.server.requests().is_empty() {
            assert!(
                tokio::time::Instant::now() < deadline,
                "the server isn't used"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
            self.send().await;
        }
    }

    async fn send(&self) -> WholeAnswer {
        let (path, body) = match self.kind {
            CallKind::Completion => ("/v1/chat/completions", chat("a", 4, false).to_string()),
            CallKind::Stream => ("/v1/chat/completions", chat("a", 4, true).to_string()),
            CallKind::Plain => ("/late/a", String::new()),
        };
        let request = self.fleet.request(0, Method::POST, path, KEY, body);
        self.fleet.fetch(request).await
    }

    /// Sends requests, and returns which were answered. Fails where an answer isn't the
    /// request's.
    async fn answered(&self) -> Vec<bool> {
        let mut answered = Vec::with_capacity(ROUNDS);
        for _ in 0..ROUNDS {
            let answer = self.send().await;
            let own = format!(
                "answer to {}.",
                answer.headers["x-request-id"].to_str().unwrap()
            );
            let text = answer.text();
            let is_own = text.contains(&own);
            assert_eq!(text.contains("answer to"), is_own, "{own} {text}");
            answered.push(is_own);
        }
        answered
    }

    /// Returns how many requests came over a connection that had carried another.
    fn reused(&self) -> usize {
        let requests = self.server.requests();
        requests
            .iter()
            .filter(|it| it.previous_id.is_some())
            .count()
    }
}

/// A late second answer that names its request must not reach the caller of another.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_does_not_reach_the_caller_of_the_next_request() {
    for kind in KINDS {
        let script = move |it: &ScriptedRequest| late_then_own(kind, AnswerId::Own, it);
        let fleet = LateFleet::start(kind, script).await;
        fleet.answered().await;
        assert!(fleet.reused() > 0, "{kind:?}: no connection was reused");
    }
}

/// The late second answer of a server that names no requests can't be told from the expected
/// one, and must not reach another caller either.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_without_an_id_does_not_reach_the_caller_of_the_next_request() {
    for kind in KINDS {
        let script = move |it: &ScriptedRequest| late_then_own(kind, AnswerId::None, it);
        let fleet = LateFleet::start(kind, script).await;
        assert_eq!(fleet.answered().await, [true; ROUNDS], "{kind:?}");
    }
}

/// The late answer to an item of a lot must not become the result of another item, nor count
/// against that item.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_is_not_recorded_as_the_result_of_another_item() {
    for id in [AnswerId::Own, AnswerId::None] {
        let kind = CallKind::Stream;
        let script = move |it: &ScriptedRequest| match it.request.path.as_str() {
            "/load" => idle_load(),
            _ => late_then_own(kind, id, it),
        };
        let late = LateFleet::start(kind, script).await;
        let caller = LotCaller::new(&late.fleet, 0);
        let file = caller.upload(&input(20, 4)).await;
        let lot = caller.create(&file).await;
        let lot = caller
            .wait_for(lot["id"].as_str().unwrap(), "completed")
            .await;
        let output = lot["output_file_id"].as_str().unwrap();
        let path = format!("/v1/files/{output}/content");
        let output = caller.send(Method::GET, &path, String::new()).await.text();
        assert_eq!(output.lines().count(), 20, "{lot}");
        for line in output.lines() {
            let line: serde_json::Value = serde_json::from_str(line).unwrap();
            let request = line["response"]["request_id"].as_str().unwrap();
            let body = line["response"]["body"].to_string();
            assert!(body.contains(&format!("answer to {request}.")), "{line}");
        }
    }
}

/// Servers that make up the ids of their answers, or give none, must not be refused for it.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_names_no_requests_is_served() {
    for kind in KINDS {
        for id in [AnswerId::Unrelated, AnswerId::None] {
            let script = move |it: &ScriptedRequest| answer_to(kind, it.request.id(), id);
            let fleet = LateFleet::start(kind, script).await;
            assert_eq!(fleet.answered().await, [true; ROUNDS], "{kind:?} {id:?}");
        }
    }
}

/// Connections to servers that name the request in each answer must be used again: a new one
/// for each request would cost servers and callers time.
#[tokio::test(flavor = "multi_thread")]
async fn connections_to_a_server_that_names_requests_are_used_again() {
    for kind in KINDS {
        let script = move |it: &ScriptedRequest| answer_to(kind, it.request.id(), AnswerId::Own);
        let fleet = LateFleet::start(kind, script).await;
        assert_eq!(fleet.answered().await, [true; ROUNDS], "{kind:?}");
        assert!(fleet.reused() > ROUNDS / 2, "{kind:?}: {}", fleet.reused());
    }
}

/// A server that begins to name requests, or ceases to, as when another takes its address over,
/// must not be lost to its callers.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_ceases_to_name_requests_is_served_on() {
    let kind = CallKind::Plain;
    let script = move |it: &ScriptedRequest| {
        let id = match it.previous_id {
            Some(_) => AnswerId::None,
            None => AnswerId::Own,
        };
        answer_to(kind, it.request.id(), id)
    };
    let fleet = LateFleet::start(kind, script).await;
    let answered = fleet.answered().await;
    let fails_twice = answered.windows(2).any(|it| it == [false, false]);
    assert!(!fails_twice, "{answered:?}");
}
