//! A client of one daemon, and helpers for its requests and responses.

use std::time::Duration;

use anyhow::{Context as _, ensure};
use comfreyramp_http::{
    Bytes, HeaderMap, HttpClient, Incoming, MessageBody, Method, Request, Response, StatusCode,
    collect_limited, header,
};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// The timeout of one request, and of reading its response.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// A client that calls one daemon with a key.
#[derive(Debug)]
pub(crate) struct DemoCaller {
    pub(crate) base_url: String,
    pub(crate) key: String,
    client: HttpClient,
}

/// A complete response.
#[derive(Debug)]
pub(crate) struct CompleteResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl CompleteResponse {
    pub(crate) fn json(&self) -> anyhow::Result<Value> {
        serde_json::from_slice(&self.body).context("the response is not valid JSON")
    }
}

impl DemoCaller {
    pub(crate) fn new(base_url: String, key: String) -> Self {
        DemoCaller {
            base_url,
            key,
            client: HttpClient::default(),
        }
    }

    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        content_type: &str,
        body: impl Into<MessageBody>,
    ) -> anyhow::Result<Response<Incoming>> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base_url))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(header::CONTENT_TYPE, content_type)
            .body(body.into())?;
        Ok(self.client.send_within(STEP_TIMEOUT, request).await?)
    }

    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        content_type: &str,
        body: impl Into<MessageBody>,
    ) -> anyhow::Result<CompleteResponse> {
        let (head, body) = self
            .send(method, path, content_type, body)
            .await?
            .into_parts();
        let body =
            tokio::time::timeout(STEP_TIMEOUT, collect_limited(body, MAX_RESPONSE_BYTES)).await??;
        Ok(CompleteResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}

/// Returns the body of a chat request.
pub(crate) fn chat_body(model: &str, prompt: &str, tokens: u32, stream: bool) -> Value {
    json!({
        "model": model,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": stream,
    })
}

/// Returns the start of the engine stand-in's response to a prompt, which is a hash
/// of the prompt.
pub(crate) fn expected_start(prompt: &str) -> String {
    hex::encode(&Sha256::digest(prompt.as_bytes())[..8])
}

/// Returns the text and the number of tokens of a streamed response. Fails if the
/// stream has no end marker.
pub(crate) fn read_events(body: &Bytes) -> anyhow::Result<(String, usize)> {
    let text = std::str::from_utf8(body)?;
    let events: Vec<&str> = text
        .lines()
        .filter_map(|it| it.strip_prefix("data: "))
        .collect();
    ensure!(
        events.last() == Some(&"[DONE]"),
        "the stream did not end in [DONE]: {text}"
    );
    let mut answer = String::new();
    let mut tokens = 0;
    for event in &events[..events.len() - 1] {
        let chunk: Value = serde_json::from_str(event)?;
        if let Some(piece) = chunk["choices"][0]["delta"]["content"].as_str()
            && !piece.is_empty()
        {
            answer.push_str(piece);
            tokens += 1;
        }
    }
    Ok((answer, tokens))
}
