//! Tests of the platform stand-in against literal JSON in the published format.

#![allow(
    clippy::panic,
    clippy::unwrap_used,
    reason = "helpers of tests fail the test"
)]

use std::{io::ErrorKind, process::Command, time::Duration};

use comfreyramp_http::{
    HttpClient, MessageBody, Method, Request, StatusCode, bind, collect_limited,
};
use comfreyramp_standins::platform::{SharedPlatform, serve_platform};
use http_body_util::BodyExt;
use serde_json::{Value, json};
use tokio_util::sync::{CancellationToken, DropGuard};

/// A stand-in inside the test process and a client for it.
struct StandIn {
    client: HttpClient,
    base_url: String,
    _stop: DropGuard,
}

impl StandIn {
    async fn start() -> Self {
        let listener = bind(([127, 0, 0, 1], 0).into()).await.unwrap();
        let base_url = format!("http://{}", listener.local_addr().unwrap());
        let stop = CancellationToken::new();
        let platform = SharedPlatform::default();
        tokio::spawn(serve_platform(listener, platform, stop.clone()));
        StandIn {
            client: HttpClient::default(),
            base_url,
            _stop: stop.drop_guard(),
        }
    }

    async fn send(&self, method: Method, path: &str, body: &str) -> (StatusCode, Value) {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base_url))
            .body(MessageBody::from(body.to_owned()))
            .unwrap();
        let response = self.client.send(request).await.unwrap();
        let status = response.status();
        let body = collect_limited(response.into_body(), 1 << 20)
            .await
            .unwrap();
        (status, serde_json::from_slice(&body).unwrap())
    }

    async fn post(&self, path: &str, body: Value) -> Value {
        let (status, answer) = self.send(Method::POST, path, &body.to_string()).await;
        assert_eq!(status, StatusCode::OK, "{answer}");
        answer
    }
}

fn header(revision: &str) -> Value {
    json!({ "cluster_id": "1", "member_id": "1", "revision": revision, "raft_term": "1" })
}

// In base64, "Zm9v" is foo, "YmFy" is bar and "Zm9w" is fop.
#[tokio::test]
async fn keys_are_written_read_and_deleted() {
    let stand_in = StandIn::start().await;
    let put = json!({ "key": "Zm9v", "value": "YmFy" });
    let answer = stand_in.post("/v3/kv/put", put).await;
    assert_eq!(answer, json!({ "header": header("2") }));

    let pair = json!({
        "key": "Zm9v",
        "create_revision": "2",
        "mod_revision": "2",
        "version": "1",
        "value": "YmFy",
    });
    let found = json!({ "header": header("2"), "kvs": [pair], "count": "1" });
    let one = json!({ "key": "Zm9v" });
    assert_eq!(stand_in.post("/v3/kv/range", one).await, found);
    let all = json!({ "key": "Zm9v", "range_end": "Zm9w", "limit": 5 });
    assert_eq!(stand_in.post("/v3/kv/range", all).await, found);
    let none = json!({ "key": "Zm9w" });
    let answer = stand_in.post("/v3/kv/range", none).await;
    assert_eq!(answer, json!({ "header": header("2") }));

    let delete = json!({ "key": "Zm9v" });
    let answer = stand_in.post("/v3/kv/deleterange", delete.clone()).await;
    assert_eq!(answer, json!({ "header": header("3"), "deleted": "1" }));
    let answer = stand_in.post("/v3/kv/deleterange", delete).await;
    assert_eq!(answer, json!({ "header": header("3") }));
}

#[tokio::test]
async fn transactions_compare_by_each_target() {
    let stand_in = StandIn::start().await;
    let put = json!({ "request_put": { "key": "Zm9v", "value": "YmFy" } });
    let create = json!({
        "compare": [{ "key": "Zm9v", "target": "CREATE", "result": "EQUAL", "create_revision": "0" }],
        "success": [put],
        "failure": [{ "request_range": { "key": "Zm9v" } }],
    });
    let answer = stand_in.post("/v3/kv/txn", create.clone()).await;
    let responses = json!([{ "response_put": { "header": header("2") } }]);
    let written = json!({ "header": header("2"), "succeeded": true, "responses": responses });
    assert_eq!(answer, written);
    let answer = stand_in.post("/v3/kv/txn", create).await;
    assert_eq!(answer.get("succeeded"), None);
    let read = &answer["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(read["mod_revision"], "2");

    for (compare, holds) in [
        (json!({ "target": "VERSION", "version": "1" }), true),
        (json!({ "target": "VERSION", "version": 1 }), true),
        (json!({ "version": "2" }), false),
        (json!({ "target": "MOD", "mod_revision": "2" }), true),
        (
            json!({ "target": "MOD", "result": "LESS", "mod_revision": "2" }),
            false,
        ),
        (
            json!({ "target": "MOD", "result": "GREATER", "mod_revision": "1" }),
            true,
        ),
        (
            json!({ "target": "CREATE", "result": "NOT_EQUAL", "create_revision": "2" }),
            false,
        ),
    ] {
        let mut compare = compare;
        compare["key"] = json!("Zm9v");
        let request = json!({ "compare": [compare] });
        let answer = stand_in.post("/v3/kv/txn", request).await;
        assert_eq!(answer.get("succeeded").is_some(), holds, "{compare}");
    }
}

#[tokio::test]
async fn leases_are_granted_renewed_and_revoked() {
    let stand_in = StandIn::start().await;
    let answer = stand_in
        .post("/v3/lease/grant", json!({ "TTL": "5" }))
        .await;
    assert_eq!(
        answer,
        json!({ "header": header("1"), "ID": "1", "TTL": "5" })
    );
    let renew = json!({ "ID": "1" });
    let answer = stand_in.post("/v3/lease/keepalive", renew).await;
    let renewed = json!({ "header": header("1"), "ID": "1", "TTL": "5" });
    assert_eq!(answer, json!({ "result": renewed }));
    let answer = stand_in
        .post("/v3/lease/keepalive", json!({ "ID": 9 }))
        .await;
    let expired = json!({ "header": header("1"), "ID": "9" });
    assert_eq!(answer, json!({ "result": expired }));
    let answer = stand_in
        .post("/v3/lease/revoke", json!({ "ID": "1" }))
        .await;
    assert_eq!(answer, json!({ "header": header("1") }));

    let (status, answer) = stand_in
        .send(Method::POST, "/v3/lease/revoke", r#"{"ID":"1"}"#)
        .await;
    let text = "etcdserver: requested lease not found";
    assert_eq!(status, StatusCode::NOT_FOUND);
    assert_eq!(answer, json!({ "error": text, "code": 5, "message": text }));
}

#[tokio::test]
async fn watches_stream_lines() {
    let stand_in = StandIn::start().await;
    let put = json!({ "key": "Zm9v", "value": "YmFy" });
    stand_in.post("/v3/kv/put", put).await;
    let delete = json!({ "key": "Zm9v" });
    stand_in.post("/v3/kv/deleterange", delete).await;

    let create = json!({ "create_request": { "key": "Zm9v", "start_revision": "2" } });
    let request = Request::post(format!("{}/v3/watch", stand_in.base_url))
        .body(MessageBody::from(create.to_string()))
        .unwrap();
    let mut body = stand_in.client.send(request).await.unwrap().into_body();
    let mut text = Vec::new();
    while text.iter().filter(|it| **it == b'\n').count() < 2 {
        let frame = body.frame().await.unwrap().unwrap();
        text.extend_from_slice(&frame.into_data().unwrap());
    }
    let lines: Vec<Value> = text
        .split(|it| *it == b'\n')
        .filter(|it| !it.is_empty())
        .map(|it| serde_json::from_slice(it).unwrap())
        .collect();
    let created = json!({ "header": header("3"), "created": true });
    assert_eq!(lines[0], json!({ "result": created }));
    let written = json!({
        "key": "Zm9v",
        "create_revision": "2",
        "mod_revision": "2",
        "version": "1",
        "value": "YmFy",
    });
    let deleted = json!({ "key": "Zm9v", "mod_revision": "3" });
    let events = json!([{ "kv": written }, { "type": "DELETE", "kv": deleted }]);
    let message = json!({ "header": header("3"), "events": events });
    assert_eq!(lines[1], json!({ "result": message }));
}

#[tokio::test]
async fn bad_calls_get_an_answer_that_says_why() {
    let stand_in = StandIn::start().await;
    for (path, body, status, part) in [
        ("/v3/kv/put", "{", 400, "EOF"),
        ("/v3/kv/put", "{}", 400, "key is not provided"),
        ("/v3/kv/put", r#"{"key":"?"}"#, 400, "Invalid"),
        ("/v3/kv/nothing", "{}", 404, "Not Found"),
        ("/v3/watch", "{}", 400, "create_request"),
    ] {
        let (actual, answer) = stand_in.send(Method::POST, path, body).await;
        assert_eq!(actual.as_u16(), status, "{path} {body}");
        let message = answer["message"].as_str().unwrap();
        assert!(message.contains(part), "{path} {body}: {message}");
    }
    let bad_fault = stand_in.send(Method::PUT, "/stand-in/faults", r#"{"slow":1}"#);
    assert_eq!(bad_fault.await.0, StatusCode::BAD_REQUEST);
}

#[tokio::test]
async fn switches_change_one_by_one() {
    let stand_in = StandIn::start().await;
    let off = json!({
        "outage": false,
        "slow_ms": 0,
        "lose_answers": false,
        "hold_watches": false,
        "vm_lag_ms": 0,
    });
    let (_, faults) = stand_in.send(Method::GET, "/stand-in/faults", "").await;
    assert_eq!(faults, off);
    for (change, name, value) in [
        (r#"{"lose_answers":2}"#, "lose_answers", json!(2)),
        (r#"{"vm_lag_ms":30}"#, "vm_lag_ms", json!(30)),
        (r#"{"lose_answers":true}"#, "lose_answers", json!(true)),
        (r#"{"outage":true}"#, "outage", json!(true)),
    ] {
        let answer = stand_in.send(Method::PUT, "/stand-in/faults", change).await;
        assert_eq!(answer.1[name], value);
    }
    let (status, answer) = stand_in.send(Method::POST, "/v3/kv/range", "{}").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer["code"], 14);
    let (_, calls) = stand_in.send(Method::GET, "/stand-in/calls", "").await;
    assert_eq!(
        (&calls["range"], &calls["bytes_in"]),
        (&json!(1), &json!(2))
    );
}

/// Runs the program as the demo does: it writes its address to the file, and it exits
/// successfully on SIGTERM.
#[test]
fn the_program_names_its_address_and_ends_on_a_signal() {
    let folder = std::env::temp_dir().join(format!("platform-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("addresses.json");
    let mut program = Command::new(env!("CARGO_BIN_EXE_standin-platform"))
        .arg("--addresses-file")
        .arg(&file)
        .spawn()
        .unwrap();
    let text = loop {
        match std::fs::read_to_string(&file) {
            Ok(text) => break text,
            Err(error) => assert_eq!(error.kind(), ErrorKind::NotFound),
        }
        assert_eq!(program.try_wait().unwrap(), None);
        std::thread::sleep(Duration::from_millis(5));
    };
    let addresses: Value = serde_json::from_str(&text).unwrap();
    std::net::TcpStream::connect(addresses["http"].as_str().unwrap()).unwrap();
    let signal = Command::new("kill").arg(program.id().to_string()).status();
    assert!(signal.unwrap().success());
    assert!(program.wait().unwrap().success());
    std::fs::remove_dir_all(&folder).unwrap();
}
