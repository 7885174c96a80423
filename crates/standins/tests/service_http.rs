//! Tests of the plain service over HTTP.

// The lints exempt test functions, but not their helpers.
#![allow(clippy::panic, clippy::unwrap_used)]

mod common;

use comfreyramp_http::{MessageBody, Method};
use comfreyramp_standins::{
    request_log::{RequestEnd, hash_hex},
    service::{ServiceOptions, ServiceServer},
};
use serde_json::json;

use common::{StandIn, next_frame, wait_for_record};

#[tokio::test]
async fn the_service_describes_each_request_and_counts_runs() {
    let server = ServiceServer::new(ServiceOptions::default());
    let stand_in = StandIn::start(|listener, stop| server.clone().run(listener, stop)).await;
    let (status, answer) = stand_in
        .call(Method::PUT, "/proofs/1?copy=2", json!("x"))
        .await;
    assert_eq!(status, 200);
    assert_eq!(answer["method"], "PUT");
    assert_eq!(answer["path"], "/proofs/1");
    assert_eq!(answer["query"], "copy=2");
    assert_eq!(answer["body_hash"], hash_hex(b"\"x\""));
    assert_eq!(answer["runs"], 1);
    for body in ["first", "second"] {
        let key = [("idempotency-key", "k1")];
        stand_in
            .send(Method::POST, "/slow?ms=1", &key, body.to_owned())
            .await;
    }
    let records = server.log().list();
    let runs: Vec<u32> = records.iter().map(|it| it.runs).collect();
    assert_eq!(runs, [1, 2, 2]);
    assert!(records.iter().all(|it| it.end == RequestEnd::Done));
}

#[tokio::test]
async fn echo_streams_both_ways_at_once() {
    let server = ServiceServer::new(ServiceOptions::default());
    let stand_in = StandIn::start(|listener, stop| server.clone().run(listener, stop)).await;
    let (sender, body) = MessageBody::stream();
    sender.send("one").await;
    let mut response = stand_in.send(Method::POST, "/echo", &[], body).await;
    assert_eq!(next_frame(response.body_mut()).await, "one");
    // The first frame came back while the request was still open.
    assert_eq!(server.log().list()[0].end, RequestEnd::Running);
    sender.send("two").await;
    assert_eq!(next_frame(response.body_mut()).await, "two");
    drop(sender);
    let record = wait_for_record(server.log(), |it| it.end == RequestEnd::Done).await;
    assert_eq!((record.tokens, record.runs), (6, 1));
    assert_eq!(record.body_hash, hash_hex(b"onetwo"));
    let (sender, body) = MessageBody::stream();
    sender.send("half").await;
    let mut response = stand_in.send(Method::POST, "/echo", &[], body).await;
    next_frame(response.body_mut()).await;
    sender.abort("the caller gave up").await;
    wait_for_record(server.log(), |it| {
        it.index == 1 && it.end != RequestEnd::Running
    })
    .await;
}
