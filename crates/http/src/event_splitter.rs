//! Server-sent events.

use bytes::{Bytes, BytesMut};

/// An event longer than this is no token; the engine's stream is broken.
const LONGEST_EVENT: usize = 1024 * 1024;

/// Cuts a byte stream into whole events.
///
/// Only whole events are passed on to a caller. A stream that breaks within an
/// event can then go on from another engine without a repeated or lost token.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

/// The stream held an event beyond the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event of the stream is longer than {LONGEST_EVENT} bytes")]
pub struct EventTooLong;

impl EventSplitter {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() - self.scanned > LONGEST_EVENT {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// Whether no part of an event is left.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// The next whole event with its blank line, if one has arrived.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let from = self.scanned.saturating_sub(3);
        let Some(end) = event_end(&self.buffer[from..]) else {
            self.scanned = self.buffer.len();
            return None;
        };
        self.scanned = 0;
        Some(self.buffer.split_to(from + end).freeze())
    }
}

/// Where the first event ends: after the first blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let plain = find(bytes, b"\n\n").map(|it| it + 2);
    let windows = find(bytes, b"\r\n\r\n").map(|it| it + 4);
    match (plain, windows) {
        (Some(plain), Some(windows)) => Some(plain.min(windows)),
        (plain, windows) => plain.or(windows),
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|it| it == wanted)
}

/// The data of an event's first data line.
pub fn event_data(event: &[u8]) -> Option<&[u8]> {
    let line = event
        .split(|&it| it == b'\n')
        .find(|it| it.starts_with(b"data:"))?;
    Some(line[b"data:".len()..].trim_ascii())
}

/// The number in an event's id line, if it has one.
pub fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|&it| it == b'\n')
        .find(|it| it.starts_with(b"id:"))?;
    let text = std::str::from_utf8(line[b"id:".len()..].trim_ascii()).ok()?;
    text.parse().ok()
}

/// The data of all of an event's data lines, a line feed between two; nothing if
/// it has none. One space after the colon belongs to the format.
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
