//! How the end of an HTTP/1.1 message body is determined.

use http::{Method, StatusCode, header, response};

/// How the end of a response's body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The head states the length, or the method or the status doesn't allow a body.
    Length,
    /// The body is sent in chunks, the last of which is empty.
    Chunked,
    /// The body ends with its connection. A sender that breaks off and closes the
    /// connection in the ordinary way can't be told from one that has finished.
    ConnectionClose,
}

impl BodyFraming {
    /// Returns the framing of a response to a request with this method.
    pub fn of(method: &Method, head: &response::Parts) -> Self {
        let has_no_body = method == Method::HEAD
            || matches!(
                head.status,
                StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
            );
        if has_no_body {
            BodyFraming::Length
        } else if head.headers.contains_key(header::TRANSFER_ENCODING) {
            BodyFraming::Chunked
        } else if head.headers.contains_key(header::CONTENT_LENGTH) {
            BodyFraming::Length
        } else {
            BodyFraming::ConnectionClose
        }
    }

    /// Returns the framing as it is written to metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            BodyFraming::Length => "length",
            BodyFraming::Chunked => "chunked",
            BodyFraming::ConnectionClose => "connection_close",
        }
    }
}
