//! Helpers for reading responses.

use comfreyramp_http::{BodyError, Incoming, Response, collect_limited};
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::outcome::Refusal;

/// The maximum size of a response body, in bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 512 << 20;

/// The header that states whether a rejected request ran.
const RAN_HEADER: &str = "x-comfreyramp-ran";

/// The number of hex digits of the prompt's hash at the start of a stand-in's
/// response.
const HASH_PREFIX_DIGITS: usize = 16;

/// Reads the response to a call that was rejected.
pub(crate) async fn read_refusal(response: Response<Incoming>) -> Refusal {
    let status = response.status().as_u16();
    let header_text = |name: &str| {
        let value = response.headers().get(name);
        value.and_then(|it| it.to_str().ok()).map(str::to_owned)
    };
    let ran = header_text(RAN_HEADER);
    let retry_after = header_text("retry-after").is_some();
    let body = collect_limited(response.into_body(), MAX_RESPONSE_BYTES).await;
    let error: Value = body
        .ok()
        .and_then(|it| serde_json::from_slice(&it).ok())
        .unwrap_or_default();
    let mut refusal = refusal_from_json(status, &error);
    refusal.ran = ran.unwrap_or(refusal.ran);
    refusal.retry_after |= retry_after;
    refusal
}

/// Reads an error object in the format of the API.
pub(crate) fn refusal_from_json(status: u16, error: &Value) -> Refusal {
    let text = |name: &str| {
        let text = error["error"][name].as_str();
        text.unwrap_or_default().to_owned()
    };
    Refusal {
        status,
        code: text("code"),
        ran: text("ran"),
        retry_after: error["error"]["retry_after"].is_number(),
    }
}

/// Reads a complete JSON response. Invalid JSON becomes `null`.
pub(crate) async fn read_json(response: Response<Incoming>) -> Result<Value, BodyError> {
    let body = collect_limited(response.into_body(), MAX_RESPONSE_BYTES).await?;
    Ok(serde_json::from_slice(&body).unwrap_or_default())
}

/// Returns whether a stand-in's response belongs to this prompt.
pub(crate) fn belongs_to(answer: &str, prompt: &str) -> bool {
    let mut hash_prefix = hex::encode(Sha256::digest(prompt.as_bytes()));
    hash_prefix.truncate(HASH_PREFIX_DIGITS);
    answer.starts_with(&hash_prefix)
}

/// Counts the tokens of a stand-in's response: words separated by single spaces.
pub(crate) fn token_count(answer: &str) -> u32 {
    if answer.is_empty() {
        return 0;
    }
    answer.split(' ').count() as u32
}
