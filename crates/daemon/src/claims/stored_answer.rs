//! Answers that are stored for resends.

use comfreyramp_http::{Bytes, HeaderMap, HeaderValue, MessageBody, Response, StatusCode, header};
use http::HeaderName;
use serde::{Deserialize, Serialize};

/// The maximum size in bytes of an answer that is stored. An answer is written
/// together with the end of its call, so this bounds the load of such calls on
/// the platform.
pub const MAX_STORED_ANSWER: usize = 64 * 1024;

/// The header that marks an answer as the stored one of an earlier call.
const REPLAYED_HEADER: &str = "idempotent-replayed";

/// An answer as the caller received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    head: AnswerHead,
    body: Bytes,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct AnswerHead {
    status: u16,
    headers: Vec<(String, String)>,
}

impl StoredAnswer {
    /// Creates the stored form of an answer, or `None` if the body is longer
    /// than [`MAX_STORED_ANSWER`].
    pub fn of(status: StatusCode, headers: &HeaderMap, body: Bytes) -> Option<Self> {
        if body.len() > MAX_STORED_ANSWER {
            return None;
        }
        let kept = headers
            .iter()
            .filter(|(name, _)| ![header::CONTENT_LENGTH, header::DATE].contains(*name));
        let kept = kept.filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            Some((name.as_str().to_owned(), value.to_owned()))
        });
        let head = AnswerHead {
            status: status.as_u16(),
            headers: kept.collect(),
        };
        Some(StoredAnswer { head, body })
    }

    /// Encodes the answer as one value: the head as a line of JSON, then the
    /// body.
    pub fn encode(&self) -> serde_json::Result<Bytes> {
        let mut value = serde_json::to_vec(&self.head)?;
        value.push(b'\n');
        value.extend_from_slice(&self.body);
        Ok(value.into())
    }

    /// Decodes a value written by [`encode`](Self::encode).
    pub fn decode(value: &Bytes) -> Option<Self> {
        let end = value.iter().position(|it| *it == b'\n')?;
        let head = serde_json::from_slice(&value[..end]).ok()?;
        let body = value.slice(end + 1..);
        Some(StoredAnswer { head, body })
    }

    /// Converts the answer to the response to a resend, with a header that
    /// marks it as replayed.
    pub fn into_response(self) -> Response<MessageBody> {
        let mut response = Response::new(MessageBody::from(self.body));
        *response.status_mut() = StatusCode::from_u16(self.head.status).unwrap_or_default();
        let headers = response.headers_mut();
        for (name, value) in &self.head.headers {
            let name = name.parse::<HeaderName>();
            if let (Ok(name), Ok(value)) = (name, value.parse()) {
                headers.append(name, value);
            }
        }
        headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
        response
    }
}

/// A copy of an answer that is forwarded in pieces.
#[derive(Clone, Debug)]
pub struct AnswerCopy {
    status: StatusCode,
    headers: HeaderMap,
    body: Vec<u8>,
    is_too_long: bool,
}

impl AnswerCopy {
    /// Starts the copy of an answer whose body is yet to arrive.
    pub fn new(status: StatusCode, headers: HeaderMap) -> Self {
        AnswerCopy {
            status,
            headers,
            body: Vec::new(),
            is_too_long: false,
        }
    }

    /// Appends the next piece of the body.
    pub fn push(&mut self, piece: &[u8]) {
        self.is_too_long |= self.body.len() + piece.len() > MAX_STORED_ANSWER;
        if self.is_too_long {
            self.body = Vec::new();
        } else {
            self.body.extend_from_slice(piece);
        }
    }

    /// Returns the complete answer, or `None` if it is too long to be stored.
    pub fn finish(self) -> Option<StoredAnswer> {
        if self.is_too_long {
            return None;
        }
        StoredAnswer::of(self.status, &self.headers, self.body.into())
    }
}
