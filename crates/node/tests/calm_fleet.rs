//! What a fleet serves while nothing fails.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use comfreyramp_http::{Method, StatusCode};
use fleet::{CallerRequest, Fleet, KEY, expected_output, expected_stream};

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_passed_on_event_by_event() {
    let fleet = Fleet::started().await;
    let response = fleet
        .send(0, CallerRequest::post("/drafts/1", "r1", b"verse"))
        .await
        .unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(response.body(), &expected_stream());
    assert_eq!(
        response.headers()["x-response-signature"],
        "engine-1",
        "the daemon's own zone is preferred"
    );
    assert_eq!(response.headers()["x-request-id"], "r1");
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_learn_the_customer_and_never_the_key() {
    let fleet = Fleet::started().await;
    let response = fleet
        .send(1, CallerRequest::post("/proofs/7", "r2", b"state of 7"))
        .await
        .unwrap();
    assert_eq!(response.body().as_ref(), b"state of 7");
    let arrivals = fleet.servers[2].arrivals();
    let [arrival] = arrivals.as_slice() else {
        panic!("expected one arrival, got {}", arrivals.len());
    };
    assert_eq!(arrival.headers["x-tenant"], "press");
    let has_key = |it: &comfreyramp_http::HeaderValue| it.as_bytes() == KEY.as_bytes();
    assert!(!arrival.headers.values().any(has_key));
    let remaining_ms: u64 = arrival.headers["x-deadline-ms"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!(
        (4_000..=5_000).contains(&remaining_ms),
        "remaining time: {remaining_ms} ms"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn what_no_route_or_key_allows_is_refused() {
    let fleet = Fleet::started().await;
    let unknown = fleet
        .send(0, CallerRequest::post("/nowhere/1", "r3", b""))
        .await
        .unwrap();
    assert_eq!(unknown.status(), StatusCode::NOT_FOUND);
    let keyless = fleet
        .send(
            0,
            CallerRequest::post("/drafts/1", "r4", b"").key("nobody's"),
        )
        .await
        .unwrap();
    assert_eq!(keyless.status(), StatusCode::UNAUTHORIZED);
    assert!(fleet.servers.iter().all(|it| it.arrivals().is_empty()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lot_is_accepted_run_and_read_from_any_daemon() {
    let fleet = Fleet::started().await;
    let status = fleet
        .submit_lot(0, "lot-a", &["one", "two", "impossible"])
        .await
        .unwrap();
    assert_eq!(status, StatusCode::ACCEPTED);
    let page = fleet.read_finished_lot(1, "lot-a").await;
    assert_eq!(page["total"], 3);
    for result in page["results"].as_array().unwrap() {
        match result["id"].as_str() {
            Some("lot-a-2") => assert_eq!(result["state"], "dead_letter"),
            _ => {
                assert_eq!(result["state"], "done");
                assert_eq!(result["output"], expected_output());
            }
        }
    }
    assert_eq!(
        fleet.read_finished_lot(0, "lot-a").await,
        page,
        "both daemons return the same positions"
    );
    let repeat = fleet
        .submit_lot(1, "lot-a", &["one", "two", "impossible"])
        .await
        .unwrap();
    assert_eq!(repeat, StatusCode::ACCEPTED);
    let runs = fleet.servers.iter().flat_map(|it| it.arrivals());
    let runs = runs
        .filter(|it| it.request_id == "lot-a-0" && it.ran)
        .count();
    assert_eq!(runs, 1, "a repeated submission doesn't run an item again");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lot_that_was_ended_runs_no_further() {
    let fleet = Fleet::started().await;
    let bodies = ["item"; 60];
    fleet.submit_lot(0, "lot-b", &bodies).await.unwrap();
    let body = fleet
        .send(1, CallerRequest::get("/-/items/lot-b?id=lot-b-59"))
        .await
        .unwrap();
    assert_eq!(body.body().as_ref(), b"item");
    let mut end = CallerRequest::get("/-/lots/lot-b");
    end.method = Method::DELETE;
    assert_eq!(fleet.send(1, end).await.unwrap().status(), StatusCode::OK);
    tokio::time::sleep(std::time::Duration::from_millis(1_000)).await;
    let arrival_count = || {
        fleet
            .servers
            .iter()
            .map(|it| it.arrivals().len())
            .sum::<usize>()
    };
    let arrivals_before = arrival_count();
    tokio::time::sleep(std::time::Duration::from_millis(1_000)).await;
    assert_eq!(
        arrival_count(),
        arrivals_before,
        "no item is sent after the end was acknowledged"
    );
    let missing = fleet
        .send(0, CallerRequest::get("/-/lots/no-such-lot?after=0"))
        .await
        .unwrap();
    assert_eq!(missing.status(), StatusCode::NOT_FOUND);
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_what_was_served() {
    let fleet = Fleet::started().await;
    fleet
        .send(0, CallerRequest::post("/drafts/1", "r5", b"verse"))
        .await
        .unwrap();
    let text = fleet.metrics(0).await;
    assert!(
        text.contains(r#"comfreyramp_first_byte_seconds_count{customer="press",kind="stream"} 1"#),
        "{text}"
    );
    assert!(text.contains("comfreyramp_store_calls_total"));
}

/// A plain service answers within milliseconds. More callers than it has slots arrive at
/// once, and all of them can be answered well within their objective. A daemon that
/// expected each call to take as long as a stream would refuse most of them.
#[tokio::test(flavor = "multi_thread")]
async fn calls_that_wait_for_moments_are_not_refused() {
    let fleet = Fleet::started().await;
    let work = b"takes 30";
    for number in 0..3 {
        let id = format!("first-{number}");
        let response = fleet
            .send(0, CallerRequest::post("/proofs/1", &id, work))
            .await;
        assert_eq!(response.unwrap().status(), StatusCode::OK);
    }
    let ids: Vec<String> = (0..32).map(|it| format!("burst-{it}")).collect();
    let calls = ids
        .iter()
        .map(|id| fleet.send(0, CallerRequest::post("/proofs/1", id, work)));
    let responses = futures::future::join_all(calls).await;
    let served = responses
        .iter()
        .filter(|it| it.as_ref().is_ok_and(|it| it.status() == StatusCode::OK));
    assert_eq!(served.count(), ids.len());
}
