//! What the body of a request asks of the stream that answers it.

use std::time::Duration;

/// A stream as a request's body asks for it: `takes 40` for one of 40 ms, and
/// `takes 40 as NAME` for one whose events name the request too.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestedStream {
    /// The duration of the whole stream, if the body sets it.
    pub duration: Option<Duration>,
    name: Option<String>,
}

impl RequestedStream {
    /// Reads a request's body. One of another form asks for nothing.
    pub fn parse(body: &[u8]) -> Self {
        let text = std::str::from_utf8(body).unwrap_or_default();
        let Some(text) = text.strip_prefix("takes ") else {
            return Self::default();
        };
        let (millis, name) = match text.split_once(" as ") {
            Some((millis, name)) => (millis, Some(name.to_owned())),
            None => (text, None),
        };
        RequestedStream {
            duration: millis.parse().ok().map(Duration::from_millis),
            name,
        }
    }

    /// Returns a stream whose events name a request.
    pub fn named(name: &str) -> Self {
        RequestedStream {
            duration: None,
            name: Some(name.to_owned()),
        }
    }

    /// Returns the event with this id.
    pub fn event(&self, id: u64) -> String {
        format!("id: {id}\ndata: {}\n\n", self.data(id))
    }

    /// Returns the data of the event with this id.
    pub fn data(&self, id: u64) -> String {
        match &self.name {
            Some(name) => format!("word {id} of {name}"),
            None => format!("word {id}"),
        }
    }
}
