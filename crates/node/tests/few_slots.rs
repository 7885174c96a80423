//! Items at servers that run one request at a time.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::time::Duration;

use comfreyramp_http::StatusCode;
use fleet::{CallerRequest, Fleet, expected_stream};
use serde_json::json;

/// Guards against items that never run, since a server's only slot is left free for live
/// requests.
#[tokio::test(flavor = "multi_thread")]
async fn items_run_at_servers_with_one_slot() {
    let fleet = Fleet::started().await;
    fleet.servers[1].register(&fleet.store, "draining");
    let entry = json!({
        "service": "drafts", "address": fleet.servers[0].address.to_string(), "zone": "zone-1",
        "version": "v1", "slots": 1, "state": "ready", "cold_left_ms": 0, "seq": 9, "born": 1,
    });
    fleet
        .store
        .put("servers/engine-1", entry.to_string().as_bytes());
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let status = fleet.submit_lot(0, "lot-1", &["one", "two"]).await;
    assert_eq!(status, Ok(StatusCode::ACCEPTED));
    // A live request that comes meanwhile still gets its answer.
    let call = CallerRequest::post("/drafts/1", "live", b"verse");
    let response = fleet.send(0, call).await.unwrap();
    assert_eq!(response.body(), &expected_stream());
    let page = fleet.read_finished_lot(0, "lot-1").await;
    assert_eq!(page["results"][0]["state"], "done");
    assert_eq!(page["results"][1]["state"], "done");
}
