//! Refusals of streamed requests by engines.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;

use std::time::Duration;

use comfreyramp_http::{Method, StatusCode};
use comfreyramp_standins::runner::{ScriptedAnswer, ScriptedRequest, ScriptedServer};
use support::{FleetPlan, KEY, TestFleet, WAIT_TIMEOUT, chat, vm};
use tokio_util::sync::CancellationToken;

const REFUSAL: &str = r#"{"error":{"code":"prompt_too_long"}}"#;

/// An engine that refuses a streamed request as wrong has answered it. Its caller must get the
/// refusal, and a customer that repeats the request must not have healthy engines ejected.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_of_a_streamed_request_is_no_failure_of_its_engine() {
    let plan = FleetPlan {
        engines: Vec::new(),
        ..FleetPlan::default()
    };
    let fleet = TestFleet::start(plan).await;
    let stop = CancellationToken::new();
    let _stopped = stop.clone().drop_guard();
    let script =
        |it: &ScriptedRequest| ScriptedAnswer::whole(400, it.request.id(), REFUSAL.as_bytes());
    let server = ScriptedServer::start("refusing-1", script, stop)
        .await
        .unwrap();
    let listed = vm("refusing-1", "zone-1", "engines", server.address);
    fleet.platform.put_vm(listed);
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while server.requests().len() < 4 {
        assert!(
            tokio::time::Instant::now() < deadline,
            "the server isn't used"
        );
        let earlier = server.requests().len();
        let answer = fleet.chat(0, KEY, &chat("a", 4, true)).await;
        if server.requests().len() > earlier {
            assert_eq!(answer.status, StatusCode::BAD_REQUEST);
            assert_eq!(answer.text(), REFUSAL);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let status = fleet.operators(0, Method::GET, "/status", String::new());
    let status = status.await.json();
    let servers = status["servers"].as_array().unwrap();
    let refusing = servers.iter().find(|it| it["name"] == "refusing-1");
    assert_eq!(refusing.unwrap()["weight"], 1.0, "{status}");
}
