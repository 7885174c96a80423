//! Tests of lots through the caller API, run by real daemons on engine
//! stand-ins.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod lot_calls;
mod support;

use std::time::Duration;

use comfreyramp_http::{Method, StatusCode};
use comfreyramp_standins::{
    engine::answer_token,
    request_log::{RequestEnd, RequestRecord},
};
use lot_calls::{LotCaller, input};
use support::{FleetPlan, KEY, SECOND_KEY, TestFleet, WAIT_TIMEOUT, chat};

/// Starts a fleet of two daemons and one engine.
async fn fleet() -> TestFleet {
    let plan = FleetPlan {
        daemons: vec!["zone-1", "zone-1"],
        ..FleetPlan::default()
    };
    TestFleet::start(plan).await
}

/// Returns the number of open requests of an engine: those of lots, and others.
fn running(fleet: &TestFleet, engine: usize) -> (usize, usize) {
    let entries = fleet.engines[engine].server.log().list();
    let open = |it: &&RequestRecord| matches!(it.end, RequestEnd::Running | RequestEnd::Queued);
    let (bulk, live): (Vec<_>, Vec<_>) = entries
        .iter()
        .filter(open)
        .partition(|it| it.id.starts_with("batch_req_"));
    (bulk.len(), live.len())
}

/// Returns the complete answer of the engine to a prompt.
fn whole_answer(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|it| answer_token(prompt, it)).collect()
}

#[tokio::test]
async fn a_lot_runs_and_its_results_are_read_from_another_daemon() {
    let fleet = fleet().await;
    let (first, second) = (LotCaller::new(&fleet, 0), LotCaller::new(&fleet, 1));
    let file = first.upload(&input(40, 8)).await;
    let lot = first.create(&file).await;
    let again = first.create(&file).await;
    assert_eq!(again["id"], lot["id"]);
    let lot = second
        .wait_for(lot["id"].as_str().unwrap(), "completed")
        .await;
    assert_eq!(lot["request_counts"]["completed"], 40);
    second.check_results(&lot, 40).await;
    for (_, body) in second.results(&lot).await {
        assert_eq!(body["object"], "chat.completion");
        assert_eq!(body["usage"]["completion_tokens"], 8);
    }
    let output = lot["output_file_id"].as_str().unwrap();
    let path = format!("/v1/files/{output}/content");
    // With another customer's key, neither the lot nor its files can be read.
    for path in [path, format!("/v1/batches/{}", lot["id"].as_str().unwrap())] {
        let request = fleet.request(0, Method::GET, &path, SECOND_KEY, String::new());
        assert_eq!(fleet.fetch(request).await.status, StatusCode::NOT_FOUND);
    }
}

#[tokio::test]
async fn a_cancelled_lot_leaves_nothing_running() {
    let fleet = fleet().await;
    let (first, second) = (LotCaller::new(&fleet, 0), LotCaller::new(&fleet, 1));
    let file = first.upload(&input(200, 2000)).await;
    let lot = first.create(&file).await;
    let id = lot["id"].as_str().unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(running(&fleet, 0).0 > 0, "no item runs");
    let path = format!("/v1/batches/{id}/cancel");
    let answer = second.send(Method::POST, &path, String::new()).await;
    assert_eq!(answer.status, StatusCode::OK);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(running(&fleet, 0), (0, 0));
    let lot = first.wait_for(id, "cancelled").await;
    assert_eq!(lot["request_counts"]["cancelled"], 200);
}

// A burst of live requests arrives while a lot fills the engine. Engines have no
// priorities: unless the streams of the lot are stopped, the live requests wait
// behind them. The stopped items must resume later and be complete.
#[tokio::test]
async fn a_lot_is_preempted_for_a_live_burst_and_resumes() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let caller = LotCaller::new(&fleet, 0);
    let file = caller.upload(&input(24, 200)).await;
    let lot = caller.create(&file).await;
    let until = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while running(&fleet, 0).0 <= 4 {
        assert!(tokio::time::Instant::now() < until, "the lot got no slots");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // More than the engine's batch of 16 holds.
    let calls = (0..20).map(|it| {
        let body = chat(&format!("at the counter {it}"), 20, true);
        let fleet = &fleet;
        async move { fleet.chat(0, KEY, &body).await.status }
    });
    let burst = futures::future::join_all(calls);
    let watching = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        running(&fleet, 0)
    };
    let (statuses, (bulk, live)) = tokio::join!(burst, watching);
    assert!(statuses.iter().all(|it| *it == StatusCode::OK));
    assert!(live >= 16, "the burst ended before it was observed");
    assert_eq!(bulk, 0);
    let lot = caller
        .wait_for(lot["id"].as_str().unwrap(), "completed")
        .await;
    assert_eq!(lot["request_counts"]["completed"], 24);
    for (number, body) in caller.results(&lot).await {
        let text = &body["choices"][0]["message"]["content"];
        let whole = whole_answer(&format!("verse {number}"), 200);
        assert_eq!(text.as_str().unwrap(), whole);
    }
}

/// Waits for the daemon that runs bulk work on the first engine: its home daemon.
async fn home_of_engine(fleet: &TestFleet) -> usize {
    let until = tokio::time::Instant::now() + WAIT_TIMEOUT;
    loop {
        for daemon in 0..fleet.daemons.len() {
            let status = fleet.operators(daemon, Method::GET, "/status", String::new());
            let status = status.await.json();
            let servers = status["servers"].as_array().unwrap();
            let is_home = |it: &&serde_json::Value| {
                it["name"] == "engine-1" && it["bulk"]["open"].as_u64() > Some(4)
            };
            if servers.iter().any(|it| is_home(&it)) {
                return daemon;
            }
        }
        assert!(tokio::time::Instant::now() < until, "the lot got no slots");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

// The burst arrives at a daemon that isn't the engine's home. Without an
// announcement, the home would learn of it only from the engine's report, which is
// 200 ms old and read four times a second; until then the live requests would wait
// behind the streams of the lot.
#[tokio::test]
async fn a_lot_is_preempted_for_a_burst_at_another_daemon() {
    let fleet = fleet().await;
    let caller = LotCaller::new(&fleet, 0);
    let file = caller.upload(&input(60, 400)).await;
    caller.create(&file).await;
    let other = 1 - home_of_engine(&fleet).await;
    let calls = (0..16).map(|it| {
        let body = chat(&format!("at the other counter {it}"), 20, true);
        let fleet = &fleet;
        async move { fleet.chat(other, SECOND_KEY, &body).await.status }
    });
    let burst = futures::future::join_all(calls);
    let watching = async {
        tokio::time::sleep(Duration::from_millis(120)).await;
        running(&fleet, 0)
    };
    let (statuses, (bulk, live)) = tokio::join!(burst, watching);
    assert!(
        statuses.iter().all(|it| *it == StatusCode::OK),
        "{statuses:?}"
    );
    assert!(live >= 12, "the burst ended before it was observed");
    assert!(
        bulk + live <= 16,
        "{bulk} bulk streams beside {live} live ones"
    );
}
