//! A reader of newline-separated JSON in a streamed response.

use bytes::{Bytes, BytesMut};
use comfreyramp_http::Incoming;
use http_body_util::BodyExt;

use crate::StoreError;

/// The maximum length of a line in bytes. A watch that catches up receives many values
/// in one line.
const MAX_LINE_BYTES: usize = 64_000_000;

/// Reads a response line by line. [`LineReader::next`] is cancel safe: no data is lost
/// when its future is dropped.
#[derive(Debug)]
pub(crate) struct LineReader {
    body: Incoming,
    buffer: BytesMut,
    /// The length of the buffer's prefix that is known to contain no line end.
    searched: usize,
}

impl LineReader {
    pub(crate) fn new(body: Incoming) -> Self {
        LineReader {
            body,
            buffer: BytesMut::new(),
            searched: 0,
        }
    }

    /// Returns the next line without its line end, or nothing after the last one.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, StoreError> {
        loop {
            if let Some(line) = self.take_line() {
                return Ok(Some(line));
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                let reason = format!("a line exceeds {MAX_LINE_BYTES} bytes");
                return Err(StoreError::AnswerLost(reason));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    self.buffer.extend_from_slice(&data);
                }
                Some(Err(error)) => return Err(StoreError::AnswerLost(error.to_string())),
                None if self.buffer.is_empty() => return Ok(None),
                None => return Ok(Some(self.take_rest())),
            }
        }
    }

    fn take_line(&mut self) -> Option<Bytes> {
        let unsearched = &self.buffer[self.searched..];
        let Some(place) = unsearched.iter().position(|it| *it == b'\n') else {
            self.searched = self.buffer.len();
            return None;
        };
        let mut line = self.buffer.split_to(self.searched + place + 1);
        line.truncate(line.len() - 1);
        self.searched = 0;
        Some(line.freeze())
    }

    fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }
}
