//! Tests of the engine stand-in over HTTP.

// The lints exempt test functions, but not their helpers.
#![allow(clippy::panic, clippy::unwrap_used)]

mod common;

use std::{
    process::{Command, Stdio},
    sync::Arc,
    time::Duration,
};

use assert_matches::assert_matches;
use comfreyramp_http::{Bytes, Method};
use comfreyramp_standins::{
    engine::{EngineOptions, EngineServer, EngineSettings, answer_token},
    request_log::RequestEnd,
};
use serde_json::{Value, json};

use common::{StandIn, next_frame, read_to_end, wait_for_record};

async fn start() -> (Arc<EngineServer>, StandIn) {
    let options = EngineOptions {
        settings: EngineSettings::default().time_scale(0.1),
        models: vec!["m".to_owned()],
        ..EngineOptions::default()
    };
    let server = EngineServer::new(options);
    let stand_in = StandIn::start(|listener, stop| server.clone().run(listener, stop)).await;
    (server, stand_in)
}

fn chat(prompt: &str, more: &Value) -> Value {
    let mut body = json!({ "model": "m", "messages": [{ "role": "user", "content": prompt }] });
    for (name, value) in more.as_object().unwrap() {
        body[name] = value.clone();
    }
    body
}

/// Returns the texts of a stream's chunks and whether it ended with `[DONE]`.
fn chunk_texts(stream: &str) -> (Vec<String>, bool) {
    let mut texts = Vec::new();
    for event in stream.split_terminator("\n\n") {
        let data = event.strip_prefix("data: ").unwrap();
        if data == "[DONE]" {
            return (texts, true);
        }
        let chunk: Value = serde_json::from_str(data).unwrap();
        if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
            texts.push(text.to_owned());
        }
    }
    (texts, false)
}

fn expected(prompt: &str, tokens: std::ops::Range<u32>) -> Vec<String> {
    tokens.map(|it| answer_token(prompt, it)).collect()
}

#[tokio::test]
async fn a_stream_sends_one_token_an_event_and_ends_with_done() {
    let (server, stand_in) = start().await;
    let body = chat(
        "wording for a card",
        &json!({ "stream": true, "max_tokens": 5, "stream_options": { "include_usage": true } }),
    );
    let path = "/v1/chat/completions";
    let headers = [("x-request-id", "r1"), ("authorization", "none")];
    let response = stand_in
        .send(Method::POST, path, &headers, body.to_string())
        .await;
    assert_eq!(response.headers()["x-engine-batch"], "16");
    let (text, whole) = read_to_end(response.into_body()).await;
    let (texts, done) = chunk_texts(&text);
    assert!(whole && done);
    assert_eq!(texts, expected("wording for a card", 0..5));
    assert!(text.contains("\"completion_tokens\":5"));
    let record = wait_for_record(server.log(), |it| it.end == RequestEnd::Done).await;
    assert_eq!(
        (record.id.as_str(), record.tokens, record.runs),
        ("r1", 5, 1)
    );
    assert_eq!(record.headers["authorization"], "none");
}

#[tokio::test]
async fn whole_answers_models_and_errors_have_the_published_shapes() {
    let (_, stand_in) = start().await;
    let parts = json!([{ "type": "text", "text": "verse" }]);
    let body = json!({ "model": "m", "messages": [{ "role": "user", "content": parts }] });
    let (status, answer) = stand_in
        .call(Method::POST, "/v1/chat/completions", body)
        .await;
    assert_eq!(status, 200);
    let text = answer["choices"][0]["message"]["content"].as_str().unwrap();
    assert_eq!(text, expected("verse", 0..16).concat());
    let body = json!({ "model": "m", "prompt": "verse", "max_tokens": 2 });
    let (_, answer) = stand_in.call(Method::POST, "/v1/completions", body).await;
    assert_eq!(
        answer["choices"][0]["text"],
        expected("verse", 0..2).concat()
    );
    let (_, models) = stand_in.call(Method::GET, "/v1/models", json!(null)).await;
    assert_eq!(models["data"][0]["id"], "m");
    for (body, code) in [
        (json!({ "model": "other", "prompt": "verse" }), 404),
        (json!({ "model": "m" }), 400),
        (json!({ "model": "m", "prompt": 3 }), 400),
    ] {
        let (status, answer) = stand_in.call(Method::POST, "/v1/completions", body).await;
        assert_eq!(status, code);
        assert!(answer["error"]["message"].is_string());
    }
}

#[tokio::test]
async fn a_cut_answer_is_resumed_without_a_token_lost_or_repeated() {
    let (server, stand_in) = start().await;
    let (status, _) = stand_in
        .call(
            Method::PUT,
            "/stand-in/faults",
            json!({ "break_stream_after": 3 }),
        )
        .await;
    assert_eq!(status, 200);
    let path = "/v1/chat/completions";
    let body = chat("a", &json!({ "stream": true, "max_tokens": 8 })).to_string();
    let response = stand_in.send(Method::POST, path, &[], body).await;
    let (text, whole) = read_to_end(response.into_body()).await;
    let (mut texts, done) = chunk_texts(&text);
    assert!(!whole && !done);
    wait_for_record(server.log(), |it| it.end == RequestEnd::Broken).await;
    stand_in
        .call(Method::PUT, "/stand-in/faults", json!({}))
        .await;
    let more = json!({ "stream": true, "max_tokens": 8, "resume_from": texts.len() });
    let body = chat("a", &more).to_string();
    let response = stand_in.send(Method::POST, path, &[], body).await;
    let (text, _) = read_to_end(response.into_body()).await;
    texts.extend(chunk_texts(&text).0);
    assert_eq!(texts, expected("a", 0..8));
    let record = wait_for_record(server.log(), |it| it.end == RequestEnd::Done).await;
    assert_eq!(u64::from(record.resume_from) + record.tokens, 8);
    assert_eq!(record.runs, 2);
}

#[tokio::test]
async fn a_cancel_and_a_disconnect_free_the_batch() {
    let (server, stand_in) = start().await;
    let path = "/v1/chat/completions";
    let endless = chat("a", &json!({ "stream": true, "max_tokens": 1_000_000 })).to_string();
    let named = [("x-request-id", "long")];
    let mut response = stand_in
        .send(Method::POST, path, &named, endless.clone())
        .await;
    next_frame(response.body_mut()).await;
    let body = json!({ "request_id": "long" });
    let (_, answer) = stand_in.call(Method::POST, "/cancel", body).await;
    assert_eq!(answer["cancelled"], 1);
    let (_, whole) = read_to_end(response.into_body()).await;
    assert!(!whole, "a cancelled answer must not look complete");
    wait_for_record(server.log(), |it| it.end == RequestEnd::Cancelled).await;

    let mut response = stand_in
        .send(Method::POST, path, &[], endless.clone())
        .await;
    next_frame(response.body_mut()).await;
    drop(response);
    wait_for_record(server.log(), |it| {
        it.index == 1 && it.end == RequestEnd::Cancelled
    })
    .await;

    // A caller that waits for a complete, unstreamed answer and gives up.
    let whole = chat("a", &json!({ "max_tokens": 1_000_000 })).to_string();
    let call = stand_in.send(Method::POST, path, &[], whole);
    let given_up = tokio::time::timeout(Duration::from_millis(300), call).await;
    assert!(given_up.is_err());
    wait_for_record(server.log(), |it| {
        it.index == 2 && it.end == RequestEnd::Cancelled
    })
    .await;
    for _ in 0..500 {
        let (_, load) = stand_in.call(Method::GET, "/load", json!(null)).await;
        if load["tokens"] != 0 && load["running"] == 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the batch was not freed");
}

#[tokio::test]
async fn fault_switches_refuse_fail_and_hang() {
    let (server, stand_in) = start().await;
    let path = "/v1/completions";
    let body = json!({ "model": "m", "prompt": "a", "max_tokens": 1 });
    let faults = json!({ "fail_next": 1 });
    stand_in.call(Method::PUT, "/stand-in/faults", faults).await;
    assert_eq!(stand_in.call(Method::POST, path, body.clone()).await.0, 500);
    assert_eq!(stand_in.call(Method::POST, path, body.clone()).await.0, 200);
    let faults = json!({ "refuse": true });
    stand_in.call(Method::PUT, "/stand-in/faults", faults).await;
    assert_eq!(stand_in.call(Method::POST, path, body.clone()).await.0, 503);
    let ends: Vec<RequestEnd> = server.log().list().iter().map(|it| it.end).collect();
    let refused = RequestEnd::Refused;
    assert_eq!(ends, [RequestEnd::Broken, RequestEnd::Done, refused]);
    let faults = json!({ "hang": true });
    stand_in.call(Method::PUT, "/stand-in/faults", faults).await;
    let call = stand_in.call(Method::POST, path, body);
    let hung = tokio::time::timeout(Duration::from_millis(200), call).await;
    assert_matches!(hung, Err(_));
    let record = wait_for_record(server.log(), |it| it.end == RequestEnd::Cancelled).await;
    assert_eq!(record.runs, 3);
    let wrong = json!({ "slow": 0.0 });
    assert_eq!(
        stand_in
            .call(Method::PUT, "/stand-in/faults", wrong)
            .await
            .0,
        400
    );
}

#[tokio::test]
async fn orders_are_fenced_and_change_what_is_served() {
    let (_, stand_in) = start().await;
    let load = |fence: u64| json!({ "fence": fence, "kind": "load_adapter", "adapter": "style" });
    assert_eq!(stand_in.call(Method::POST, "/orders", load(7)).await.0, 200);
    assert_eq!(stand_in.call(Method::POST, "/orders", load(6)).await.0, 409);
    let body = json!({ "model": "style", "prompt": "a", "max_tokens": 1 });
    assert_eq!(
        stand_in.call(Method::POST, "/v1/completions", body).await.0,
        200
    );
    let (_, orders) = stand_in.call(Method::GET, "/orders", json!(null)).await;
    assert_eq!(orders["highest"], 7);
    assert_eq!(orders["applied"].as_array().unwrap().len(), 1);
}

/// A prompt that crashes the engine ends the whole process, so that the streams of all
/// its callers break, not only that of the caller with this prompt.
#[tokio::test]
async fn the_crashing_prompt_ends_the_process_and_cuts_all_streams() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("addresses");
    let mut child = Command::new(env!("CARGO_BIN_EXE_standin-engine"))
        .args(["--models", "m", "--addresses-file"])
        .arg(&file)
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    let mut address = None;
    for _ in 0..1000 {
        if let Ok(text) = std::fs::read_to_string(&file) {
            let value: Value = serde_json::from_str(&text).unwrap();
            address = Some(value["http"].as_str().unwrap().parse().unwrap());
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let stand_in = StandIn::at(address.unwrap());
    let path = "/v1/chat/completions";
    let body = chat("a", &json!({ "stream": true, "max_tokens": 1_000_000 })).to_string();
    let mut other_stream = stand_in.send(Method::POST, path, &[], body).await;
    assert_ne!(next_frame(other_stream.body_mut()).await, Bytes::new());
    let body = chat("CRASH-THE-ENGINE now", &json!({})).to_string();
    assert!(stand_in.try_send(Method::POST, path, body).await.is_err());
    assert!(!read_to_end(other_stream.into_body()).await.1);
    assert_eq!(child.wait().unwrap().code(), Some(70));
}
