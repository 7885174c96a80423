//! Server-sent events.

use bytes::{Bytes, BytesMut};

/// The maximum length of an event in bytes. A token is far shorter, so a longer
/// event means that the engine's stream is broken.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

const ID_NAME: &[u8] = b"id:";

/// Splits a byte stream into complete events.
///
/// Callers receive only complete events. If a stream breaks within an event,
/// another engine can then continue it without a repeated or lost token.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

/// The stream has an event that exceeds the length limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event of the stream is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

impl EventSplitter {
    /// Appends received bytes. All complete events have to be taken before the next ones are
    /// appended.
    ///
    /// # Errors
    ///
    /// Fails if the first event in the buffer is too long, also if its end hasn't arrived.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() <= MAX_EVENT_BYTES {
            return Ok(());
        }
        match self.first_end() {
            Some(end) if end <= MAX_EVENT_BYTES => Ok(()),
            _ => Err(EventTooLong),
        }
    }

    /// Returns whether no incomplete event is buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the next complete event with its blank line, if one has arrived.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let Some(end) = self.first_end() else {
            self.scanned = self.buffer.len();
            return None;
        };
        self.scanned = 0;
        Some(self.buffer.split_to(end).freeze())
    }

    /// Returns the end of the first event in the buffer.
    fn first_end(&self) -> Option<usize> {
        // The bytes before may be the beginning of its blank line.
        let from = self.scanned.saturating_sub(3);
        event_end(&self.buffer[from..]).map(|it| from + it)
    }
}

/// Returns the end of the first event, which is after the first blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let lf = find(bytes, b"\n\n").map(|it| it + 2);
    // Looking beyond the first end would take time that grows with the square of the number of
    // events in the buffer.
    let before = &bytes[..lf.unwrap_or(bytes.len())];
    let crlf = find(before, b"\r\n\r\n").map(|it| it + 4);
    crlf.or(lf)
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|it| it == wanted)
}

/// Returns the data of an event's first `data` line.
pub fn event_data(event: &[u8]) -> Option<&[u8]> {
    let line = event
        .split(|&it| it == b'\n')
        .find(|it| it.starts_with(b"data:"))?;
    Some(line[b"data:".len()..].trim_ascii())
}

/// Returns the number in an event's `id` line, if it has one.
pub fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|&it| it == b'\n');
    line_id(lines.find(|it| it.starts_with(ID_NAME))?)
}

/// Returns the number in a line of an event, if it is an `id` line.
pub(crate) fn line_id(line: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(line.strip_prefix(ID_NAME)?.trim_ascii()).ok()?;
    text.parse().ok()
}

/// Returns the data of all `data` lines of an event, joined by line feeds, or
/// `None` if there are none. One space after the colon is part of the format.
pub fn event_text(event: &[u8]) -> Option<Vec<u8>> {
    let mut text: Option<Vec<u8>> = None;
    for line in event.split(|&it| it == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(data) = line.strip_prefix(b"data:") else {
            continue;
        };
        let data = data.strip_prefix(b" ").unwrap_or(data);
        match &mut text {
            Some(text) => {
                text.push(b'\n');
                text.extend_from_slice(data);
            }
            None => text = Some(data.to_vec()),
        }
    }
    text
}
