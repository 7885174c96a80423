//! Server-sent events.

/// An incremental parser of server-sent events.
#[derive(Debug, Default)]
pub struct EventStream {
    buffer: Vec<u8>,
}

impl EventStream {
    /// Appends received bytes. They may end anywhere within an event.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the data of the next complete event. Comments and other fields are
    /// ignored.
    pub fn next_event(&mut self) -> Option<String> {
        loop {
            let end = self.buffer.windows(2).position(|it| it == b"\n\n")?;
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let event = String::from_utf8_lossy(&event);
            let lines = event.lines().filter_map(|it| it.strip_prefix("data:"));
            let data: Vec<&str> = lines.map(str::trim_start).collect();
            if !data.is_empty() {
                return Some(data.join("\n"));
            }
        }
    }
}
