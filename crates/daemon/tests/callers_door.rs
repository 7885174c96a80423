//! Tests of the caller API as callers see it.

mod support;

use std::time::Duration;

use comfreyramp_http::{MessageBody, Method, StatusCode};
use serde_json::json;
use support::{
    FleetPlan, KEY, SECOND_KEY, TestFleet,
    answers::{read_stream, start_of_answer},
    chat, quick_engine,
};

#[tokio::test]
async fn a_streamed_answer_is_whole_and_the_callers_own() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let answer = fleet.chat(0, KEY, &chat("a verse", 20, true)).await;
    assert_eq!(answer.status, StatusCode::OK);
    let (text, tokens, whole) = read_stream(&answer.text());
    assert!(whole, "{}", answer.text());
    assert_eq!(tokens, 20);
    assert!(text.starts_with(&start_of_answer("a verse")), "{text}");
}

#[tokio::test]
async fn many_callers_at_once_each_get_their_own_answer() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let calls = (0..24).map(|number| {
        let fleet = &fleet;
        async move {
            let prompt = format!("verse number {number}");
            let answer = fleet.chat(0, KEY, &chat(&prompt, 8, number % 2 == 0)).await;
            assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
            assert!(
                answer.text().contains(&start_of_answer(&prompt)),
                "{}",
                answer.text()
            );
        }
    });
    futures::future::join_all(calls).await;
}

#[tokio::test]
async fn models_are_listed_in_the_published_shape() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let list = fleet
        .fetch(fleet.request(0, Method::GET, "/v1/models", KEY, String::new()))
        .await;
    assert_eq!(list.json()["object"], "list");
    assert_eq!(list.json()["data"][0]["id"], "demo-model");
    let path = "/v1/models/demo-model";
    let one = fleet
        .fetch(fleet.request(0, Method::GET, path, KEY, String::new()))
        .await;
    assert_eq!(one.json()["object"], "model");
}

#[tokio::test]
async fn a_plain_call_is_passed_on_both_ways() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let body = "proof ".repeat(50_000);
    let request = fleet.request(0, Method::POST, "/proofs/echo?page=2", KEY, body);
    let answer = fleet.fetch(request).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    let seen = fleet.service.log().list();
    assert_eq!(seen[0].path, "/proofs/echo?page=2");
    assert_eq!(seen[0].tokens, 300_000);
}

/// A caller puts its key where a backend server would receive it: in a custom
/// header, in the query, in a prompt, or split across two chunks of a streamed
/// body. Without a check the customer's key would end up in the server's log.
#[tokio::test]
async fn no_backend_server_sees_the_key() {
    let fleet = TestFleet::start(FleetPlan::default()).await;

    let mut request = fleet.request(0, Method::POST, "/proofs/a", KEY, "text".to_owned());
    request
        .headers_mut()
        .insert("x-my-key", KEY.parse().expect("a header value"));
    request.headers_mut().insert(
        "cookie",
        format!("k={KEY}").parse().expect("a header value"),
    );
    assert_eq!(fleet.fetch(request).await.status, StatusCode::OK);

    let path = format!("/proofs/a?key={KEY}");
    let refused = fleet
        .fetch(fleet.request(0, Method::GET, &path, KEY, String::new()))
        .await;
    assert_eq!(refused.code(), "key_in_request");

    let refused = fleet
        .chat(0, KEY, &chat(&format!("my key is {KEY}"), 4, false))
        .await;
    assert_eq!(refused.code(), "key_in_request");
    assert_eq!(refused.headers["x-comfreyramp-ran"], "no");

    let (sender, body) = MessageBody::stream();
    let request = fleet.request(0, Method::POST, "/proofs/b", KEY, body);
    let (first, second) = KEY.split_at(11);
    sender.send(format!("before {first}")).await;
    sender.send(format!("{second} after")).await;
    drop(sender);
    let answer = fleet.fetch(request).await;
    assert!(!answer.status.is_success());

    let part_of_key = &KEY[..10];
    for record in fleet.service.log().list() {
        let shown = format!("{record:?}");
        assert!(!shown.contains(part_of_key), "{shown}");
    }
    assert!(fleet.engines[0].server.log().list().is_empty());
}

/// A key is withdrawn while its caller reads a long stream. Without a check of
/// open streams, the stream would continue to its end, minutes later.
#[tokio::test]
async fn a_withdrawn_key_ends_open_streams_and_leaves_others_alone() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let path = "/v1/chat/completions";
    let long = chat("a long booklet", 4000, true).to_string();
    let mut cut = fleet
        .open(fleet.request(0, Method::POST, path, KEY, long))
        .await
        .into_body();
    let brief = chat("a brief", 100, true);
    let other = fleet.chat(0, SECOND_KEY, &brief);
    let withdraw = async {
        let mut settings = json!(support::default_settings());
        settings["customers"][0]["keys"] = json!([]);
        let now = fleet
            .operators(0, Method::GET, "/settings/studio", String::new())
            .await;
        let revision = now.json()["revision"].as_i64().expect("a revision");
        let written = fleet.put_settings("studio", revision, &settings).await;
        assert_eq!(written.status, StatusCode::OK, "{}", written.text());
        let begun = std::time::Instant::now();
        let read = async {
            use http_body_util::BodyExt;
            let mut text = Vec::new();
            while let Some(Ok(frame)) = cut.frame().await {
                text.extend_from_slice(frame.data_ref().expect("data"));
            }
            String::from_utf8_lossy(&text).into_owned()
        };
        let text = tokio::time::timeout(Duration::from_secs(5), read)
            .await
            .expect("an end");
        (text, begun.elapsed())
    };
    let (other, (text, _)) = tokio::join!(other, withdraw);
    assert!(text.contains("key_withdrawn"), "{text}");
    assert!(!text.contains("[DONE]"));
    assert!(read_stream(&other.text()).2, "{}", other.text());
    let refused = fleet.chat(0, KEY, &chat("again", 4, false)).await;
    assert_eq!(refused.status, StatusCode::UNAUTHORIZED);
    assert!(refused.headers.contains_key("retry-after"));
}

/// An engine dies in the middle of a stream. Without resuming on another engine,
/// the caller would get half an answer; with a plain retry, the first half twice.
#[tokio::test]
async fn a_stream_whose_engine_dies_goes_on_elsewhere_without_a_repeat_or_a_gap() {
    let plan = FleetPlan {
        engines: vec![("zone-1", quick_engine()), ("zone-1", quick_engine())],
        ..FleetPlan::default()
    };
    let fleet = TestFleet::start(plan).await;
    let expected = fleet
        .chat(0, KEY, &chat("the order of service", 120, true))
        .await;
    let (expected, _, _) = read_stream(&expected.text());

    let order = chat("the order of service", 120, true);
    let call = fleet.chat(0, SECOND_KEY, &order);
    let kill = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let busy = fleet.engines.iter().find(|it| {
            it.server
                .log()
                .list()
                .iter()
                .any(|it| format!("{:?}", it.end) == "Running")
        });
        busy.expect("one engine runs the request").stop.cancel();
    };
    let (answer, ()) = tokio::join!(call, kill);
    let (text, tokens, whole) = read_stream(&answer.text());
    assert!(whole, "{}", answer.text());
    assert_eq!(tokens, 120);
    assert_eq!(text, expected);
    let resumed = fleet
        .engines
        .iter()
        .any(|it| it.server.log().list().iter().any(|it| it.resume_from > 0));
    assert!(resumed, "the second engine generated only the rest");
}

#[tokio::test]
async fn bad_input_is_rejected_with_its_code_and_runs_nothing() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let path = "/v1/chat/completions";
    let cases = [
        ("{\"model\": ", StatusCode::BAD_REQUEST, "broken_json"),
        ("[]", StatusCode::BAD_REQUEST, "broken_json"),
        (
            "{\"messages\": []}",
            StatusCode::BAD_REQUEST,
            "missing_model",
        ),
        (
            "{\"model\": \"demo-model\"}",
            StatusCode::BAD_REQUEST,
            "missing_field",
        ),
        (
            "{\"model\": \"m\", \"messages\": []}",
            StatusCode::NOT_FOUND,
            "model_not_found",
        ),
    ];
    for (body, status, code) in cases {
        let request = fleet.request(0, Method::POST, path, KEY, body.to_owned());
        let answer = fleet.fetch(request).await;
        assert_eq!(
            (answer.status, answer.code().as_str()),
            (status, code),
            "{body}"
        );
        assert_eq!(answer.headers["x-comfreyramp-ran"], "no");
    }
    let oversize = vec![b' '; 9 * 1024 * 1024];
    let request = fleet.request(0, Method::POST, path, KEY, oversize);
    assert_eq!(fleet.fetch(request).await.code(), "body_too_long");
    for path in ["/v1/nothing", "/elsewhere"] {
        let request = fleet.request(0, Method::GET, path, KEY, String::new());
        assert_eq!(fleet.fetch(request).await.status, StatusCode::NOT_FOUND);
    }
    let mut request = fleet.request(0, Method::GET, "/v1/models", KEY, String::new());
    request.headers_mut().remove("authorization");
    assert_eq!(fleet.fetch(request).await.code(), "missing_key");
    let request = fleet.request(0, Method::GET, "/v1/models", "cfr-wrong", String::new());
    assert_eq!(fleet.fetch(request).await.code(), "invalid_api_key");
    let answer = fleet.chat(0, KEY, &chat("still here", 4, false)).await;
    assert_eq!(answer.status, StatusCode::OK);
}

/// A caller disconnects in the middle of a stream. If the engine weren't
/// cancelled, it would generate the rest for nobody while other requests wait.
#[tokio::test]
async fn an_engine_stops_when_the_caller_is_gone() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let path = "/v1/chat/completions";
    let long = chat("a long booklet", 4000, true).to_string();
    let answer = fleet
        .open(fleet.request(0, Method::POST, path, KEY, long))
        .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(answer);
    let deadline = tokio::time::Instant::now() + support::WAIT_TIMEOUT;
    loop {
        let records = fleet.engines[0].server.log().list();
        if records
            .iter()
            .all(|it| format!("{:?}", it.end) == "Cancelled")
            && !records.is_empty()
        {
            break;
        }
        assert!(tokio::time::Instant::now() < deadline, "{records:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// During a rolling restart, a daemon receives SIGTERM while it streams. Exiting
/// immediately would cut off all its answers.
#[tokio::test]
async fn a_planned_stop_cuts_off_no_stream() {
    let mut fleet = TestFleet::start(FleetPlan::default()).await;
    let verse = chat("a verse before the stop", 150, true);
    let call = fleet.chat(0, KEY, &verse);
    let stop = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        fleet.daemons[0].stop.cancel();
    };
    let (answer, ()) = tokio::join!(call, stop);
    let (_, tokens, whole) = read_stream(&answer.text());
    assert!(whole, "{}", answer.text());
    assert_eq!(tokens, 150);
    let task = fleet.daemons.remove(0).task;
    let ended = tokio::time::timeout(support::WAIT_TIMEOUT, task).await;
    assert!(ended.expect("an end").expect("no panic").is_ok());
}
