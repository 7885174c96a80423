//! Finds the ends of server-sent events in a stream that is passed on unchanged.

use crate::{chunk_scanner::chunk_size, event_splitter::line_id, short_line::ShortLine};

/// Counts the complete events of a stream, without buffering it. Lines end with LF or CRLF.
///
/// ```
/// use comfreyramp_http::EventScanner;
///
/// let mut scanner = EventScanner::default();
/// scanner.push(b"id: 1\ndata: a\n\n: a comment\n\ndata: b");
/// assert_eq!(scanner.events(), 2);
/// assert_eq!(scanner.advances(), 1);
/// assert!(scanner.is_inside_event());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct EventScanner {
    events: u64,
    is_inside_event: bool,
    is_inside_line: bool,
    /// The line that is being read.
    line: ShortLine,
    /// The id of the event so far.
    event_id: Option<u64>,
    /// The highest id of a complete event.
    last_id: Option<u64>,
    advances: u64,
    /// Whether a line of the event so far has ended.
    has_line: bool,
    /// Whether the last byte is a carriage return.
    follows_return: bool,
    has_chunk_size: bool,
}

impl EventScanner {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                b'\n' if self.is_inside_line => self.end_line(),
                b'\n' if self.is_inside_event => self.end_event(),
                b'\n' | b'\r' => {}
                _ => {
                    self.is_inside_line = true;
                    self.is_inside_event = true;
                    self.line.push(*byte);
                }
            }
            self.follows_return = *byte == b'\r';
        }
    }

    fn end_line(&mut self) {
        self.is_inside_line = false;
        let line = std::mem::take(&mut self.line);
        self.event_id = self.event_id.or(line.text().and_then(line_id));
        // A size ends with both bytes of a line end, other than text with bare line feeds in it.
        if !self.has_line && self.follows_return {
            self.has_chunk_size |= line.text().and_then(chunk_size).is_some();
        }
        self.has_line = true;
    }

    fn end_event(&mut self) {
        self.is_inside_event = false;
        self.has_line = false;
        self.events += 1;
        let id = self.event_id.take();
        if id > self.last_id {
            self.last_id = id;
            self.advances += 1;
        }
    }

    /// Returns the number of complete events so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns the number of complete events whose ids were higher than those of all before
    /// them. Only such an event brings a stream further, and can be resumed after.
    pub fn advances(&self) -> u64 {
        self.advances
    }

    /// Returns whether an event begins with the size of a chunk in place of a field: the body is
    /// sent in chunks that weren't decoded.
    pub fn has_chunk_size(&self) -> bool {
        self.has_chunk_size
    }

    /// Returns whether an event has begun and isn't complete. A stream that ends here has
    /// been broken off.
    pub fn is_inside_event(&self) -> bool {
        self.is_inside_event
    }
}
