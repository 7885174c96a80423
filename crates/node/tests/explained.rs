//! What went wrong with a request is found in the logs by its id alone.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "tests end where something is missing"
)]

mod fleet;

use comfreyramp_http::StatusCode;
use fleet::{Ask, Fleet, KEY};
use serde_json::Value;

/// The fields of the first line with this message.
fn fields(lines: &[Value], message: &str) -> Value {
    let line = lines.iter().find(|it| it["message"] == message);
    line.unwrap_or_else(|| panic!("no line «{message}» in {lines:?}"))["kvs"].clone()
}

/// A customer complains of a refusal. The line of the refusal says that it was over
/// its rate, and the one before which rate that is and how many tokens were left.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_names_the_rate_and_what_was_left_of_it() {
    let mut fleet = Fleet::started().await;
    fleet.put_settings(&[KEY], 2.0);
    tokio::time::sleep(std::time::Duration::from_millis(1_800)).await;
    let mut refused = None;
    for number in 0..20 {
        let id = format!("refused-{number}");
        let answer = fleet.ask(0, Ask::post("/proofs/1", &id, b"x")).await;
        if answer.unwrap().status() == StatusCode::TOO_MANY_REQUESTS {
            refused = Some(id);
            break;
        }
    }
    let lines = fleet.logged(&refused.unwrap()).await;
    let rate = fields(&lines, "rates: over the rate");
    assert_eq!(rate["customer"], "press");
    assert_eq!(rate["rate"], 2.0);
    assert!(rate["level"].as_f64().unwrap() < 2.0, "{rate}");
    assert_eq!(fields(&lines, "callers: refused")["cause"], "over_rate");
}

/// A caller's stream ends in the middle. The last line of the request names the
/// server that it was on.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_names_its_server() {
    let fleet = Fleet::started().await;
    fleet.runners[0].break_next(4);
    let answer = fleet
        .ask(0, Ask::post("/once/1", "broken-1", b"verse"))
        .await;
    assert!(answer.is_err(), "it must not look whole");
    let lines = fleet.logged("broken-1").await;
    let end = fields(&lines, "callers: stream broken");
    assert_eq!(end["server"], "engine-1");
    assert_eq!(end["tried"], 1);
}

/// A lot comes back with an item given up. The item's line says why, and which
/// daemon ran its lot.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_that_was_given_up_says_why() {
    let fleet = Fleet::started().await;
    let status = fleet.hand_in(0, "lot-x", &["one", "impossible"]).await;
    assert_eq!(status.unwrap(), StatusCode::ACCEPTED);
    let page = fleet.whole_lot(0, "lot-x").await;
    let results = page["results"].as_array().unwrap();
    let given_up = results.iter().find(|it| it["state"] != "done").unwrap();
    let lines = fleet.logged(given_up["id"].as_str().unwrap()).await;
    let line = fields(&lines, "lots: an item is given up");
    assert_eq!(line["lot"], "lot-x");
    assert_eq!(line["cause"], "impossible");
    let of_lot = fleet.logged("lot-x").await;
    assert_eq!(fields(&of_lot, "lots: claimed")["items"], 2);
}

/// Whoever reads a daemon's log stops reading. The daemon serves on as fast as ever,
/// drops the lines that don't fit, and counts them.
#[tokio::test(flavor = "multi_thread")]
async fn a_log_that_nobody_reads_holds_nobody_up() {
    let mut fleet = Fleet::started().await;
    fleet.restart_unread(0);
    fleet.wait_ready().await;
    for number in 0..6_000 {
        let id = format!("unread-{number}");
        let answer = fleet.ask(0, Ask::post("/nowhere/1", &id, b"x")).await;
        assert_eq!(answer.unwrap().status(), StatusCode::NOT_FOUND);
    }
    let answer = fleet
        .ask(0, Ask::post("/proofs/1", "unread-last", b"x"))
        .await;
    assert_eq!(answer.unwrap().status(), StatusCode::OK);
    let metrics = fleet.metrics(0).await;
    let dropped = metrics
        .lines()
        .find_map(|it| it.strip_prefix("comfreyramp_dropped_log_lines "));
    let dropped: u64 = dropped.unwrap().parse().unwrap();
    assert!(dropped > 0, "a pipe doesn't take 6,000 lines");
}

/// Something else on the VM has the port of the metrics. The daemon says so in its log
/// and serves its callers all the same.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_without_its_metrics_port_serves_callers() {
    let mut fleet = Fleet::started().await;
    fleet.kill(0);
    let taken = fleet.take_metrics_port(0);
    fleet.restart(0);
    fleet.wait_ready().await;
    let answer = fleet
        .ask(0, Ask::post("/proofs/1", "no-metrics", b"x"))
        .await;
    assert_eq!(answer.unwrap().status(), StatusCode::OK);
    let lines = fleet.logged(&taken.local_addr().unwrap().to_string()).await;
    assert_eq!(lines[0]["message"], "node: metrics can't be shown");
}
