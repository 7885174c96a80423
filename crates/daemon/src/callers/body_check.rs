//! What the body of a plain answer shows of being the server's.

use comfreyramp_http::{BodyFraming, ChunkScanner, EventScanner, HeaderMap, Method, header};
use http::response;

/// Checks a body while it is passed on. A body that fails must not end like a whole one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BodyCheck {
    /// Set only if the body is a stream of events.
    events: Option<EventScanner>,
    /// Set only if the body ends with its connection.
    chunks: Option<ChunkScanner>,
}

impl BodyCheck {
    /// Creates the check of the body of an answer to a request with this method.
    pub(super) fn new(method: &Method, head: &response::Parts) -> Self {
        let is_events = is_event_stream(&head.headers);
        let ends_with_connection =
            BodyFraming::of(method, head) == Ok(BodyFraming::ConnectionClose);
        BodyCheck {
            events: is_events.then(EventScanner::default),
            chunks: ends_with_connection.then(ChunkScanner::default),
        }
    }

    /// Appends received bytes. Returns what is wrong with the body, if anything is.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Option<&'static str> {
        let mut has_chunk = false;
        if let Some(events) = &mut self.events {
            events.push(bytes);
            has_chunk |= events.has_chunk_size();
        }
        if let Some(chunks) = &mut self.chunks {
            chunks.push(bytes);
            has_chunk |= chunks.has_chunk();
        }
        has_chunk.then_some("the backend server sent chunks that its head doesn't declare")
    }

    /// Returns what is wrong with a body that ends here, if anything is.
    pub(super) fn end(&self) -> Option<&'static str> {
        let is_cut = self.events.is_some_and(|it| it.is_inside_event());
        is_cut.then_some("the backend server broke off inside an event")
    }
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    let media_type = content_type.and_then(|it| it.to_str().ok()?.split(';').next());
    media_type.is_some_and(|it| it.trim().eq_ignore_ascii_case("text/event-stream"))
}
