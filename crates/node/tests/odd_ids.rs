//! Ids that callers and servers choose, with characters that have a meaning in a query or that
//! aren't ASCII.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::time::Duration;

use comfreyramp_http::StatusCode;
use fleet::{CallerRequest, Fleet, expected_output};
use serde_json::json;

/// How long daemons may take to follow a change.
const APPLY_TIME: Duration = Duration::from_millis(1_500);
/// Ids of items, and how callers escape them in a query.
const ODD_ITEMS: [(&str, &str); 8] = [
    ("a&b", "a%26b"),
    ("a+b", "a%2Bb"),
    ("a#b", "a%23b"),
    ("a%b", "a%25b"),
    ("a%26b", "a%2526b"),
    ("a b", "a+b"),
    ("b c", "b%20c"),
    ("b=c", "b%3dc"),
];

/// Submits a lot with items of these ids, each with its own id as its body.
async fn submit_items(fleet: &Fleet, lot: &str, ids: &[&str]) -> StatusCode {
    use base64::Engine as _;
    let items = ids.iter().map(|id| {
        let body = base64::engine::general_purpose::STANDARD.encode(id);
        json!({
            "id": id, "path": format!("/lots/{lot}/item"), "headers": {"X-Model": "m"},
            "body": body, "tokens": 10,
        })
    });
    let items: Vec<_> = items.collect();
    let body = json!({"items": items}).to_string();
    let path = format!("/lots/{lot}");
    let call = CallerRequest::post(&path, lot, body.as_bytes());
    fleet.send(0, call).await.unwrap().status()
}

/// Guards against items whose bodies can't be read, since their ids are escaped in the query.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_items_with_escaped_ids_are_returned() {
    let fleet = Fleet::started().await;
    let ids = ODD_ITEMS.map(|it| it.0);
    let submitted = submit_items(&fleet, "lot-1", &ids).await;
    assert_eq!(submitted, StatusCode::ACCEPTED);
    for (id, escaped) in ODD_ITEMS {
        let path = format!("/-/items/lot-1?other=x&id={escaped}");
        let body = fleet.send(1, CallerRequest::get(&path)).await.unwrap();
        assert_eq!(body.status(), StatusCode::OK, "{id}");
        assert_eq!(body.body(), id.as_bytes());
    }
    let page = fleet.read_finished_lot(0, "lot-1").await;
    for result in page["results"].as_array().unwrap() {
        assert_eq!(result["output"], expected_output());
    }
}

/// Guards against requests that are sent to a server without its name, run without an answer,
/// or never run, because an id isn't ASCII.
#[tokio::test(flavor = "multi_thread")]
async fn ids_beyond_ascii_are_sent_and_recognized() {
    let mut fleet = Fleet::started().await;
    fleet.add_engine("двигател-1", "zone-1", "v1").await;
    fleet.servers[0].register(&fleet.store, "draining");
    fleet.servers[1].register(&fleet.store, "draining");
    tokio::time::sleep(APPLY_TIME).await;
    let call = CallerRequest::post("/once/1", "requête-1", b"verse");
    let response = fleet.send(0, call).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(response.headers()["x-request-id"], "requête-1".as_bytes());
    let submitted = submit_items(&fleet, "lot-1", &["élément-1"]).await;
    assert_eq!(submitted, StatusCode::ACCEPTED);
    let page = fleet.read_finished_lot(0, "lot-1").await;
    assert_eq!(page["results"][0]["id"], "élément-1");
    assert_eq!(page["results"][0]["output"], expected_output());
    for arrival in fleet.servers.last().unwrap().arrivals() {
        let expected = arrival.headers.get("x-expect-instance");
        assert_eq!(expected.unwrap(), "двигател-1".as_bytes());
    }
}

/// Guards against items that are accepted although servers can't get their ids, and so run
/// them never or without a mark of which item it is.
#[tokio::test(flavor = "multi_thread")]
async fn items_whose_ids_no_header_can_hold_are_refused() {
    let fleet = Fleet::started().await;
    for (number, id) in ["", " ", "a\nb", "a\0b", " a", "a "]
        .into_iter()
        .enumerate()
    {
        let lot = format!("lot-{number}");
        let submitted = submit_items(&fleet, &lot, &["plain", id]).await;
        assert_eq!(submitted, StatusCode::BAD_REQUEST, "{id:?}");
    }
}
