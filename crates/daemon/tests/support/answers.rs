//! Answers as callers receive them.

use comfreyramp_http::{Bytes, HeaderMap, StatusCode};
use serde_json::Value;
use sha2::{Digest, Sha256};

/// An answer whose body was read to its end.
#[derive(Debug)]
pub(crate) struct WholeAnswer {
    /// The HTTP status.
    pub(crate) status: StatusCode,
    /// The headers.
    pub(crate) headers: HeaderMap,
    /// The complete body.
    pub(crate) body: Bytes,
}

impl WholeAnswer {
    /// Parses the body as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }

    /// Returns the body as text.
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the error code in the body, or an empty string if there is none.
    pub(crate) fn code(&self) -> String {
        self.json()["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

/// Returns the text with which the engine stand-in starts its answer to a
/// prompt.
pub(crate) fn start_of_answer(prompt: &str) -> String {
    hex::encode(&Sha256::digest(prompt.as_bytes())[..8])
}

/// Returns the text of a stream, its number of tokens, and whether the stream is
/// complete.
pub(crate) fn read_stream(body: &str) -> (String, usize, bool) {
    let events: Vec<&str> = body
        .lines()
        .filter_map(|it| it.strip_prefix("data: "))
        .collect();
    let mut text = String::new();
    let mut tokens = 0;
    for event in &events {
        let chunk: Value = serde_json::from_str(event).unwrap_or_default();
        let piece = chunk["choices"][0]["delta"]["content"]
            .as_str()
            .unwrap_or_default();
        if !piece.is_empty() {
            text.push_str(piece);
            tokens += 1;
        }
    }
    (text, tokens, events.last() == Some(&"[DONE]"))
}
