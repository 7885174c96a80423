//! Error answers in the format that OpenAI client libraries parse.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

use crate::{MessageBody, json_body};

/// The header of error answers that says whether the request ran.
const RAN_HEADER: &str = "x-comfreyramp-ran";

/// Whether a request that was answered with an error ran on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No byte of the request reached a backend server.
    No,
    /// The request may have run: its answer was lost.
    Unknown,
    /// The request started, and part of its answer was delivered.
    Partly,
    /// The request completed earlier, but its answer isn't available.
    Yes,
}

impl RunState {
    /// Returns the value used in headers and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            RunState::No => "no",
            RunState::Unknown => "unknown",
            RunState::Partly => "partly",
            RunState::Yes => "yes",
        }
    }
}

/// An error answer to a caller.
///
/// ```
/// use std::time::Duration;
/// use comfreyramp_http::{ErrorAnswer, RunState, StatusCode};
///
/// let answer = ErrorAnswer::new(StatusCode::TOO_MANY_REQUESTS, "rate_limited", "Over the rate.")
///     .retry_after(Duration::from_millis(1200));
/// assert_eq!(answer.into_response().headers()["retry-after"], "2");
/// ```
#[derive(Clone, Debug)]
pub struct ErrorAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// A stable error code for programs.
    pub code: &'static str,
    /// A message for people: what is wrong, where, and what would be valid.
    pub message: String,
    /// The request field that caused the error, if any.
    pub param: Option<String>,
    /// Whether the request ran.
    pub ran: RunState,
    /// How long the caller should wait before it retries.
    pub retry_after: Option<Duration>,
    /// The methods that the path supports, if the request used another one.
    pub allow: Option<&'static str>,
    /// An additional field for programs.
    pub detail: Option<Box<ErrorDetail>>,
}

/// An additional field of the error object.
#[derive(Clone, Debug, PartialEq)]
pub struct ErrorDetail {
    /// The field's name.
    pub field: &'static str,
    /// The field's value.
    pub value: serde_json::Value,
}

impl ErrorAnswer {
    /// Creates an answer to a request that didn't run.
    pub fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        let message = message.into();
        ErrorAnswer {
            status,
            code,
            message,
            param: None,
            ran: RunState::No,
            retry_after: None,
            allow: None,
            detail: None,
        }
    }

    /// Sets the request field that caused the error.
    pub fn param(mut self, param: impl Into<String>) -> Self {
        self.param = Some(param.into());
        self
    }

    /// Sets whether the request ran.
    pub fn ran(mut self, ran: RunState) -> Self {
        self.ran = ran;
        self
    }

    /// Sets how long the caller should wait before it retries.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Sets the methods that the path supports.
    pub fn allow(mut self, methods: &'static str) -> Self {
        self.allow = Some(methods);
        self
    }

    /// Sets the additional field of the error object.
    pub fn detail(mut self, field: &'static str, value: serde_json::Value) -> Self {
        self.detail = Some(Box::new(ErrorDetail { field, value }));
        self
    }

    /// Returns the JSON body, which is sent on its own or as an event of a stream.
    pub fn to_json(&self) -> serde_json::Value {
        let kind = if self.status.is_server_error() {
            "server_error"
        } else {
            "invalid_request_error"
        };
        let mut body = serde_json::json!({
            "error": {
                "message": self.message,
                "type": kind,
                "param": self.param,
                "code": self.code,
                "ran": self.ran,
                "retry_after": self.retry_after.map(whole_seconds),
            }
        });
        if let Some(detail) = &self.detail {
            body["error"][detail.field] = detail.value.clone();
        }
        body
    }

    /// Returns the complete HTTP response.
    pub fn into_response(self) -> Response<MessageBody> {
        let mut response = Response::new(json_body(&self.to_json()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        headers.insert(RAN_HEADER, HeaderValue::from_static(self.ran.as_str()));
        if let Some(methods) = self.allow {
            headers.insert(header::ALLOW, HeaderValue::from_static(methods));
        }
        if let Some(wait) = self.retry_after {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(whole_seconds(wait)));
        }
        response
    }
}

/// Rounds up to whole seconds, the unit of `Retry-After`, and to at least one. With a
/// value rounded down, callers would retry too early; with zero, immediately.
fn whole_seconds(wait: Duration) -> u64 {
    (wait.as_millis().div_ceil(1000) as u64).max(1)
}
