//! Ids that callers and servers choose, with characters that have a meaning in a query or that
//! aren't ASCII.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use comfreyramp_http::StatusCode;
use fleet::{CallerRequest, Fleet, expected_output};
use serde_json::json;

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
