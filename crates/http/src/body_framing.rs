//! How the end of an HTTP/1.1 message body is determined.

use http::{HeaderMap, Method, StatusCode, header, response};

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

/// The reason why a head isn't one of a final response, or doesn't determine the end of its
/// body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The status is one of an interim response, or of no class that HTTP knows.
    #[error("no final answer has the status {0}")]
    UnknownStatus(u16),
    /// The transfer coding isn't `chunked`, the only one that is decoded. The body would hold
    /// bytes of the coding.
    #[error("the transfer coding of the body is unknown")]
    UnknownCoding,
    /// The head states a length beside a transfer coding, and nothing says which one is wrong.
    #[error("a length is stated beside the transfer coding")]
    LengthBesideCoding,
    /// The body begins with a chunk, and the head declares none.
    #[error("the body holds chunks that the head doesn't declare")]
    UndeclaredChunks,
}

impl BodyFraming {
    /// Returns the framing of a response to a request with this method, by section 6.3 of
    /// RFC 9112. The HTTP library doesn't refuse what is an error here: it takes a body with an
    /// unknown transfer coding for one that ends with its connection, and ignores a length
    /// beside chunks.
    ///
    /// # Errors
    ///
    /// Fails if no final response has such a head, or if it doesn't say how the end of the body
    /// is determined. Nothing in such a response can be relied on.
    pub fn of(method: &Method, head: &response::Parts) -> Result<Self, HeadError> {
        if !(200..600).contains(&head.status.as_u16()) {
            return Err(HeadError::UnknownStatus(head.status.as_u16()));
        }
        let has_coding = head.headers.contains_key(header::TRANSFER_ENCODING);
        let has_length = head.headers.contains_key(header::CONTENT_LENGTH);
        if has_coding && !is_chunked(&head.headers) {
            return Err(HeadError::UnknownCoding);
        }
        if has_coding && has_length {
            return Err(HeadError::LengthBesideCoding);
        }
        let has_no_body = method == Method::HEAD
            || matches!(
                head.status,
                StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
            );
        Ok(if has_no_body || has_length {
            BodyFraming::Length
        } else if has_coding {
            BodyFraming::Chunked
        } else {
            BodyFraming::ConnectionClose
        })
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

/// Returns whether a body has no transfer coding but `chunked`. Elements of the list may be
/// empty, but not the last one: the HTTP library doesn't look for the coding before it.
fn is_chunked(headers: &HeaderMap) -> bool {
    let fields = headers.get_all(header::TRANSFER_ENCODING).iter();
    let codings = fields.flat_map(|it| it.as_bytes().split(|byte| *byte == b','));
    let mut is_last_chunked = false;
    for coding in codings.map(<[u8]>::trim_ascii) {
        is_last_chunked = coding.eq_ignore_ascii_case(b"chunked");
        if !is_last_chunked && !coding.is_empty() {
            return false;
        }
    }
    is_last_chunked
}
