//! The logs explain a failed request to an operator who has only its id.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use comfreyramp_http::StatusCode;
use fleet::{CallerRequest, Fleet, KEY};
use serde_json::Value;

/// Returns the fields of the first line with this message.
fn fields(lines: &[Value], message: &str) -> Value {
    let line = lines.iter().find(|it| it["message"] == message);
    line.unwrap_or_else(|| panic!("no log line with the message «{message}» in {lines:?}"))["kvs"]
        .clone()
}

/// A customer complains of a refusal. The refusal's log line has to name the exceeded rate
/// as its cause, and the line before it the rate and the tokens that were left.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_names_the_rate_and_what_was_left_of_it() {
    let mut fleet = Fleet::started().await;
    fleet.put_settings(&[KEY], 2.0);
    tokio::time::sleep(std::time::Duration::from_millis(1_800)).await;
    let mut refused = None;
    for number in 0..20 {
        let id = format!("refused-{number}");
        let response = fleet
            .send(0, CallerRequest::post("/proofs/1", &id, b"x"))
            .await;
        if response.unwrap().status() == StatusCode::TOO_MANY_REQUESTS {
            refused = Some(id);
            break;
        }
    }
    let lines = fleet.log_lines_with_id(&refused.unwrap()).await;
    let rate = fields(&lines, "rates: over the rate");
    assert_eq!(rate["customer"], "press");
    assert_eq!(rate["rate"], 2.0);
    assert!(rate["level"].as_f64().unwrap() < 2.0, "{rate}");
    assert_eq!(fields(&lines, "callers: refused")["cause"], "over_rate");
}

/// A caller's stream breaks off. The last log line of the request has to name the server
/// that was running it.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_names_its_server() {
    let fleet = Fleet::started().await;
    fleet.servers[0].cut_next_stream(4);
    let response = fleet
        .send(0, CallerRequest::post("/once/1", "broken-1", b"verse"))
        .await;
    assert!(response.is_err(), "a broken stream must not look complete");
    let lines = fleet.log_lines_with_id("broken-1").await;
    let end = fields(&lines, "callers: stream broken");
    assert_eq!(end["server"], "engine-1");
    assert_eq!(end["framing"], "chunked");
    assert_eq!(end["answer_end"], "read_error");
    assert_eq!(end["events"], 4);
    assert_eq!(end["tried"], 1);
}

/// A lot is returned with an item that was given up. The item's log line has to say why,
/// and the lot's lines which daemon ran it.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_that_was_given_up_says_why() {
    let fleet = Fleet::started().await;
    let status = fleet.submit_lot(0, "lot-x", &["one", "impossible"]).await;
    assert_eq!(status.unwrap(), StatusCode::ACCEPTED);
    let page = fleet.read_finished_lot(0, "lot-x").await;
    let results = page["results"].as_array().unwrap();
    let given_up = results.iter().find(|it| it["state"] != "done").unwrap();
    let lines = fleet
        .log_lines_with_id(given_up["id"].as_str().unwrap())
        .await;
    let line = fields(&lines, "lots: an item is given up");
    assert_eq!(line["lot"], "lot-x");
    assert_eq!(line["cause"], "impossible");
    let lot_lines = fleet.log_lines_with_id("lot-x").await;
    assert_eq!(fields(&lot_lines, "lots: claimed")["items"], 2);
}

/// The reader of a daemon's log stops reading. The daemon must keep serving at full speed,
/// and drop and count the lines that don't fit.
#[tokio::test(flavor = "multi_thread")]
async fn an_unread_log_does_not_block_its_daemon() {
    let mut fleet = Fleet::started().await;
    fleet.restart_with_unread_log(0);
    fleet.wait_ready().await;
    for number in 0..6_000 {
        let id = format!("unread-{number}");
        let response = fleet
            .send(0, CallerRequest::post("/nowhere/1", &id, b"x"))
            .await;
        assert_eq!(response.unwrap().status(), StatusCode::NOT_FOUND);
    }
    let response = fleet
        .send(0, CallerRequest::post("/proofs/1", "unread-last", b"x"))
        .await;
    assert_eq!(response.unwrap().status(), StatusCode::OK);
    let metrics = fleet.metrics(0).await;
    let dropped = metrics
        .lines()
        .find_map(|it| it.strip_prefix("comfreyramp_dropped_log_lines "));
    let dropped: u64 = dropped.unwrap().parse().unwrap();
    assert!(dropped > 0, "a pipe doesn't hold 6,000 lines");
}

/// Another process on the VM occupies the metrics port. The daemon must log that and still
/// serve its callers.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_without_its_metrics_port_serves_callers() {
    let mut fleet = Fleet::started().await;
    fleet.kill(0);
    let occupied = fleet.occupy_metrics_port(0);
    fleet.restart(0);
    fleet.wait_ready().await;
    let response = fleet
        .send(0, CallerRequest::post("/proofs/1", "no-metrics", b"x"))
        .await;
    assert_eq!(response.unwrap().status(), StatusCode::OK);
    let lines = fleet
        .log_lines_with_id(&occupied.local_addr().unwrap().to_string())
        .await;
    assert_eq!(lines[0]["message"], "node: metrics can't be shown");
}
