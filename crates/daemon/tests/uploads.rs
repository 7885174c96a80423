//! Tests of files and lots through the caller API, from the upload to the
//! results.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod lot_calls;
mod support;

use std::time::Duration;

use comfreyramp_http::{MessageBody, Method, StatusCode, header};
use lot_calls::{BOUNDARY, LotCaller, form, input};
use support::{FleetPlan, KEY, SECOND_KEY, TestFleet, WAIT_TIMEOUT};

/// Starts a fleet of two daemons and one engine.
async fn fleet() -> TestFleet {
    let plan = FleetPlan {
        daemons: vec!["zone-1", "zone-1"],
        ..FleetPlan::default()
    };
    TestFleet::start(plan).await
}

#[tokio::test]
async fn a_lot_goes_all_the_way_over_two_daemons() {
    let fleet = fleet().await;
    let (first, second) = (LotCaller::new(&fleet, 0), LotCaller::new(&fleet, 1));
    let content = input(30, 8);
    let file = first.upload(&content).await;
    let path = format!("/v1/files/{file}/content");
    let kept = second.send(Method::GET, &path, String::new()).await;
    assert_eq!(kept.text(), content);
    let lot = second.create(&file).await;
    let lot = first
        .wait_for(lot["id"].as_str().unwrap(), "completed")
        .await;
    assert_eq!(lot["request_counts"]["completed"], 30);
    second.check_results(&lot, 30).await;
    first.check_results(&lot, 30).await;
}

// A client's connection breaks after it created a lot, and it sends everything
// again to another daemon. With two lots, the work would be done and billed twice.
#[tokio::test]
async fn a_resent_job_is_the_same_lot() {
    let fleet = fleet().await;
    let first = LotCaller::new(&fleet, 0).idempotency_key("order-17");
    let second = LotCaller::new(&fleet, 1).idempotency_key("order-17");
    let content = input(12, 4);
    let file = first.upload(&content).await;
    let lot = first.create(&file).await;
    assert_eq!(second.upload(&content).await, file);
    assert_eq!(second.create(&file).await["id"], lot["id"]);
    let lot = second
        .wait_for(lot["id"].as_str().unwrap(), "completed")
        .await;
    first.check_results(&lot, 12).await;
    assert_eq!(second.create(&file).await["id"], lot["id"]);
    // The same key with a different request is an error that must be reported.
    let other = first.upload(&input(3, 4)).await;
    assert_eq!(
        second.request_lot(&other).await.status,
        StatusCode::CONFLICT
    );
    // Another key makes another lot of the same content.
    let third = LotCaller::new(&fleet, 0).idempotency_key("order-18");
    let again = third.upload(&content).await;
    assert_ne!(third.create(&again).await["id"], lot["id"]);
}

#[tokio::test]
async fn a_cancelled_upload_of_work_ends() {
    let fleet = fleet().await;
    let (first, second) = (LotCaller::new(&fleet, 0), LotCaller::new(&fleet, 1));
    let file = first.upload(&input(100, 2000)).await;
    let lot = first.create(&file).await;
    let id = lot["id"].as_str().unwrap();
    let path = format!("/v1/batches/{id}/cancel");
    let answer = second.send(Method::POST, &path, String::new()).await;
    assert_eq!(answer.status, StatusCode::OK);
    let lot = first.wait_for(id, "cancelled").await;
    let counts = &lot["request_counts"];
    let (completed, cancelled) = (&counts["completed"], &counts["cancelled"]);
    let ended = completed.as_u64().unwrap() + cancelled.as_u64().unwrap();
    assert_eq!(ended, 100, "{counts}");
}

// A customer guesses or learns the id of another customer's file or lot. Ids aren't
// secrets, so access must depend on the key.
#[tokio::test]
async fn nobody_reaches_another_customers_files_or_lots() {
    let fleet = fleet().await;
    let owner = LotCaller::new(&fleet, 0);
    let other = LotCaller::new(&fleet, 1).key(SECOND_KEY);
    let content = input(5, 4);
    let file = owner.upload(&content).await;
    let lot = owner.create(&file).await;
    let id = lot["id"].as_str().unwrap().to_owned();
    let lot = owner.wait_for(&id, "completed").await;
    let output = lot["output_file_id"].as_str().unwrap();
    let requests = [
        (Method::GET, format!("/v1/files/{file}")),
        (Method::GET, format!("/v1/files/{file}/content")),
        (Method::DELETE, format!("/v1/files/{file}")),
        (Method::GET, format!("/v1/files/{output}")),
        (Method::GET, format!("/v1/files/{output}/content")),
        (Method::GET, format!("/v1/batches/{id}")),
        (Method::POST, format!("/v1/batches/{id}/cancel")),
    ];
    for (method, path) in requests {
        let answer = other.send(method, &path, String::new()).await;
        assert_eq!(answer.status, StatusCode::NOT_FOUND, "{path}");
    }
    assert_eq!(other.request_lot(&file).await.status, StatusCode::NOT_FOUND);
    for path in ["/v1/files", "/v1/batches"] {
        let list = other.send(Method::GET, path, String::new()).await.json();
        assert_eq!(list["data"].as_array().unwrap().len(), 0, "{path}");
    }
    // The same content uploaded by another customer is another file.
    assert_ne!(other.upload(&content).await, file);
    owner.check_results(&lot, 5).await;
}

#[tokio::test]
async fn errors_in_a_file_are_reported_with_their_lines() {
    let fleet = fleet().await;
    let caller = LotCaller::new(&fleet, 0);
    let good = input(3, 4);
    let cases = [
        (good.clone() + "{\"custom_id\": \n", "line 4: "),
        (
            good.clone() + &input(1, 4),
            "line 4: custom_id was used in line 1",
        ),
        (String::new(), "the file has no items"),
    ];
    for (content, expected) in cases {
        let answer = caller.send_form(form(&content)).await;
        assert_eq!(answer.status, StatusCode::BAD_REQUEST);
        assert_eq!(answer.code(), "invalid_file");
        assert!(answer.text().contains(expected), "{}", answer.text());
        assert_eq!(answer.headers["x-comfreyramp-ran"], "no");
    }
    let list = caller.send(Method::GET, "/v1/files", String::new()).await;
    assert_eq!(list.json()["data"].as_array().unwrap().len(), 0);
}

#[tokio::test]
async fn a_broken_form_is_refused() {
    let fleet = fleet().await;
    let caller = LotCaller::new(&fleet, 0);
    let whole = form(&input(3, 4));
    let half = whole[..whole.len() - 8].to_owned();
    assert_eq!(caller.send_form(half).await.code(), "broken_multipart");
    let no_file = format!(
        "--{BOUNDARY}\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --{BOUNDARY}--\r\n"
    );
    let answer = caller.send_form(no_file).await;
    assert_eq!(answer.code(), "missing_field");
    assert_eq!(answer.json()["error"]["param"], "file");
    let answer = caller.send(Method::POST, "/v1/files", whole).await;
    assert_eq!(answer.code(), "invalid_content_type");
}

// A client announces a body that exceeds the limit of a file. It must be rejected
// before the client has sent all of it.
#[tokio::test]
async fn a_body_that_says_it_is_too_long_is_refused_at_once() {
    let fleet = fleet().await;
    let (sender, body) = MessageBody::stream();
    let mut request = fleet.request(0, Method::POST, "/v1/files", KEY, body);
    let headers = request.headers_mut();
    let kind = format!("multipart/form-data; boundary={BOUNDARY}");
    headers.insert(header::CONTENT_TYPE, kind.parse().unwrap());
    headers.insert(header::CONTENT_LENGTH, (300_u64 << 20).into());
    let answer = tokio::time::timeout(WAIT_TIMEOUT, fleet.fetch(request)).await;
    let answer = answer.unwrap();
    assert_eq!(answer.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(answer.code(), "body_too_long");
    drop(sender);
}

// A client disconnects in the middle of an upload. No part of the file may become
// visible, and the daemon must keep serving.
#[tokio::test]
async fn a_disconnected_client_leaves_no_file() {
    let fleet = fleet().await;
    let caller = LotCaller::new(&fleet, 0);
    let (sender, body) = MessageBody::stream();
    let mut request = fleet.request(0, Method::POST, "/v1/files", KEY, body);
    let kind = format!("multipart/form-data; boundary={BOUNDARY}");
    let headers = request.headers_mut();
    headers.insert(header::CONTENT_TYPE, kind.parse().unwrap());
    let whole = form(&input(600, 4));
    let part = whole[..whole.len() - 100].to_owned();
    assert!(sender.send(part).await);
    let sending = tokio::time::timeout(Duration::from_millis(300), fleet.fetch(request));
    assert!(sending.await.is_err(), "answered before the end");
    drop(sender);
    let list = caller.send(Method::GET, "/v1/files", String::new()).await;
    assert_eq!(list.json()["data"].as_array().unwrap().len(), 0);
    caller.upload(&input(600, 4)).await;
}
