//! Finds the ends of server-sent events in a stream that is passed on unchanged.

/// Counts the complete events of a stream, without buffering it. Lines end with LF or CRLF.
///
/// ```
/// use comfreyramp_http::EventScanner;
///
/// let mut scanner = EventScanner::default();
/// scanner.push(b"data: a\n\ndata: b");
/// assert_eq!(scanner.events(), 1);
/// assert!(scanner.is_inside_event());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct EventScanner {
    events: u64,
    is_inside_event: bool,
    is_inside_line: bool,
}

impl EventScanner {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                b'\n' if self.is_inside_line => self.is_inside_line = false,
                b'\n' if self.is_inside_event => {
                    self.is_inside_event = false;
                    self.events += 1;
                }
                b'\n' | b'\r' => {}
                _ => {
                    self.is_inside_line = true;
                    self.is_inside_event = true;
                }
            }
        }
    }

    /// Returns the number of complete events so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether an event has begun and isn't complete. A stream that ends here has
    /// been broken off.
    pub fn is_inside_event(&self) -> bool {
        self.is_inside_event
    }
}
