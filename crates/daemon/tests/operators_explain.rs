//! Tests of the explanations of single requests that operators can read.

mod support;

use comfreyramp_daemon::traces::{MAX_TRACES, RequestTrace, TraceRing, TraceStep};
use comfreyramp_http::{Method, StatusCode};
use comfreyramp_policy::Timestamp;
use comfreyramp_standins::engine::EngineOptions;
use serde_json::Value;
use support::{
    FleetPlan, KEY, TestFleet,
    answers::{WholeAnswer, read_stream},
    chat,
};

const MAX_TRACE_BYTES: usize = 2_000_000;

async fn explain(fleet: &TestFleet, answer: &WholeAnswer) -> Value {
    let id = answer.headers["x-request-id"].to_str().expect("an id");
    let path = format!("/explain/{id}");
    let explanation = fleet.operators(0, Method::GET, &path, String::new()).await;
    assert_eq!(explanation.status, StatusCode::OK, "{}", explanation.text());
    explanation.json()
}

fn steps(explanation: &Value) -> Vec<&str> {
    let steps = explanation["steps"].as_array().expect("steps");
    steps.iter().filter_map(|it| it["step"].as_str()).collect()
}

/// A caller complains about an answer, of which the operator has only the id. The
/// explanation must contain neither the caller's text nor its key.
#[tokio::test]
async fn a_streamed_request_is_explained_step_by_step() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let answer = fleet
        .chat(0, KEY, &chat("for Amina and Joseph", 5, true))
        .await;
    assert!(read_stream(&answer.text()).2, "{}", answer.text());
    let explanation = explain(&fleet, &answer).await;
    let expected = [
        "recognised",
        "classed",
        "admitted",
        "tried",
        "answered",
        "first_token",
        "whole",
        "ended",
    ];
    let mut seen = steps(&explanation);
    // Two tasks send the head and the first token, so their order varies.
    seen.sort_unstable();
    let mut expected = expected.to_vec();
    expected.sort_unstable();
    assert_eq!(seen, expected, "{explanation}");
    assert_eq!(explanation["daemon"], "daemon-1");
    let text = explanation.to_string();
    assert!(text.contains("customer press"), "{text}");
    assert!(text.contains("engine-1"), "{text}");
    for secret in ["Amina", "Joseph", KEY] {
        assert!(!text.contains(secret), "{text}");
    }
}

/// One of two servers is gone. The explanation must name it, say that nothing was
/// sent to it, and name the server that answered.
#[tokio::test]
async fn a_retried_request_names_each_server() {
    let options = EngineOptions::default;
    let plan = FleetPlan {
        engines: vec![("zone-1", options()), ("zone-1", options())],
        ..FleetPlan::default()
    };
    let fleet = TestFleet::start(plan).await;
    fleet.engines[0].stop.cancel();
    for _ in 0..50 {
        let answer = fleet.chat(0, KEY, &chat("a verse", 1, false)).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
        let explanation = explain(&fleet, &answer).await;
        if steps(&explanation).contains(&"failed") {
            let text = explanation.to_string();
            assert!(
                text.contains("engine-1") && text.contains("engine-2"),
                "{text}"
            );
            assert!(text.contains("tried again elsewhere"), "{text}");
            return;
        }
    }
    panic!("no request was routed to the server that is gone");
}

/// Requests are refused for a wrong key, for an unknown model, and because no
/// server is available. The explanation must give the reason.
#[tokio::test]
async fn a_refused_request_is_explained_with_the_reason() {
    let plan = FleetPlan {
        engines: Vec::new(),
        ..FleetPlan::default()
    };
    let fleet = TestFleet::start(plan).await;
    let secret = "cfr-a-key-that-nobody-was-given";
    let answer = fleet.chat(0, secret, &chat("a verse", 1, false)).await;
    let explanation = explain(&fleet, &answer).await;
    assert_eq!(
        explanation["steps"][0]["code"], "invalid_api_key",
        "{explanation}"
    );
    assert!(!explanation.to_string().contains(secret), "{explanation}");

    let mut body = chat("a verse", 1, false);
    body["model"] = "a-model-of-nobody".into();
    let answer = fleet.chat(0, KEY, &body).await;
    let explanation = explain(&fleet, &answer).await;
    assert_eq!(
        steps(&explanation).last(),
        Some(&"refused"),
        "{explanation}"
    );
    assert!(
        !explanation.to_string().contains("a-model-of-nobody"),
        "{explanation}"
    );

    let answer = fleet.chat(0, KEY, &chat("a verse", 1, false)).await;
    let explanation = explain(&fleet, &answer).await;
    assert_eq!(
        steps(&explanation)[3..],
        ["failed", "refused"],
        "{explanation}"
    );
    assert_eq!(explanation["steps"][4]["ran"], "no");
    assert_eq!(explanation["steps"][4]["retry_after"], 1);
}

#[tokio::test]
async fn an_unknown_request_is_not_found() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    for id in ["", "daemon-1-0-0", "..%2fsettings", "a/b"] {
        let path = format!("/explain/{id}");
        let explanation = fleet.operators(0, Method::GET, &path, String::new()).await;
        assert_eq!(explanation.status, StatusCode::NOT_FOUND, "{id}");
    }
}

/// Requests with long names and many steps arrive for weeks. The memory for their
/// traces must stay bounded.
#[test]
fn traces_are_bounded_in_number_and_size() {
    let ring = TraceRing::default();
    let now = Timestamp::ZERO;
    let long = "é".repeat(100);
    for number in 0..MAX_TRACES * 2 {
        let trace = RequestTrace::new(&format!("entry-{number:090}"), 0, now);
        ring.push(trace.clone());
        trace.add_recognised(&long, now);
        for _ in 0..100 {
            trace.add_tried(&long, 1, 0, now);
        }
        trace.add_step(TraceStep::Ended, now);
    }
    let (count, bytes) = ring.size();
    assert_eq!(count, MAX_TRACES);
    assert!(bytes <= MAX_TRACE_BYTES, "{bytes} bytes");
    println!("{count} traces take {bytes} bytes at most");
    assert!(ring.find(&format!("entry-{:090}", 0)).is_none());
    let newest = ring.find(&format!("entry-{:090}", MAX_TRACES * 2 - 1));
    let view = newest.expect("the newest request").to_json();
    assert_eq!(view["steps_not_kept"], 90, "{view}");
    assert_eq!(steps(&view).last(), Some(&"ended"));
}
