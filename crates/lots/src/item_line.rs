//! Parsing and validation of one line of an uploaded file.

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::LineFinding;

/// The maximum size of a line in bytes.
pub(crate) const MAX_LINE_BYTES: usize = 768 << 10;
/// The maximum length of a `custom_id` in bytes.
const MAX_ID_BYTES: usize = 512;
/// The API endpoints that the items of a lot may use.
pub(crate) const ENDPOINTS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];

/// A line in the format of the OpenAI batch API.
#[derive(Debug, Deserialize)]
pub(crate) struct ItemLine<'a> {
    pub(crate) custom_id: String,
    #[serde(default)]
    method: Option<String>,
    pub(crate) url: String,
    #[serde(borrow)]
    pub(crate) body: &'a RawValue,
}

#[derive(Debug, Deserialize)]
struct ItemBody {
    #[serde(default)]
    model: Option<String>,
    #[serde(default)]
    stream: Option<bool>,
}

/// The endpoint and model of a line. All lines of a file must agree on both.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LineKind {
    pub(crate) url: String,
    pub(crate) model: String,
}

impl<'a> ItemLine<'a> {
    /// Parses a line and validates everything that doesn't depend on other
    /// lines.
    pub(crate) fn check(raw: &'a [u8], line: u64) -> Result<(Self, LineKind), LineFinding> {
        let finding = |code, message: String| LineFinding {
            line,
            code,
            message,
        };
        if raw.len() > MAX_LINE_BYTES {
            let message =
                format!("the line is longer than {MAX_LINE_BYTES} bytes; split the request");
            return Err(finding("line_too_long", message));
        }
        let item: ItemLine<'a> = serde_json::from_slice(raw).map_err(|error| {
            let message = format!(
                "{error}; each line must be a JSON object with custom_id, method, url and body"
            );
            finding("invalid_json", message)
        })?;
        if item.custom_id.is_empty() || item.custom_id.len() > MAX_ID_BYTES {
            let message = format!("custom_id must have 1 to {MAX_ID_BYTES} bytes");
            return Err(finding("invalid_custom_id", message));
        }
        if item.method.as_deref().is_some_and(|it| it != "POST") {
            let message = "method must be POST".to_owned();
            return Err(finding("invalid_method", message));
        }
        if !ENDPOINTS.contains(&item.url.as_str()) {
            let message = format!("url `{}` must be one of {}", item.url, ENDPOINTS.join(", "));
            return Err(finding("invalid_url", message));
        }
        let body: ItemBody = serde_json::from_str(item.body.get())
            .map_err(|error| finding("invalid_body", format!("body: {error}")))?;
        let Some(model) = body.model else {
            let message = "body.model is missing; specify a model".to_owned();
            return Err(finding("missing_model", message));
        };
        if body.stream == Some(true) {
            let message = "body.stream must be false or absent in a batch".to_owned();
            return Err(finding("invalid_stream", message));
        }
        let url = item.url.clone();
        Ok((item, LineKind { url, model }))
    }
}
