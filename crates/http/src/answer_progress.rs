//! What has been received of a server's answer.

use crate::{BodyFraming, EventScanner};

/// What has been received of the body of a server's answer.
#[derive(Clone, Copy, Debug)]
pub struct AnswerProgress {
    /// How the end of the body is determined.
    pub framing: BodyFraming,
    /// The number of bytes so far.
    pub bytes: u64,
    /// The events so far, if the body is a stream of events.
    pub events: EventScanner,
    /// How the body ended, if it is a stream of events that has ended.
    pub end: Option<AnswerEnd>,
}

/// How the body of a server's answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The body ended after a complete event.
    AfterEvent,
    /// The body ended inside an event.
    InsideEvent,
    /// The body ended before its first event.
    NoEvent,
    /// The connection broke before the end of the body.
    ReadError,
    /// The server was silent for too long.
    Silent,
    /// The server sent bytes that brought the answer no further, for too long or too many.
    NoAnswer,
}

impl AnswerProgress {
    /// Starts with an empty body.
    pub fn new(framing: BodyFraming) -> Self {
        AnswerProgress {
            framing,
            bytes: 0,
            events: EventScanner::default(),
            end: None,
        }
    }

    /// Adds bytes of a stream of events. Returns whether they bring the stream further, as
    /// [`EventScanner::advances`] counts it.
    pub fn push_events(&mut self, bytes: &[u8]) -> bool {
        let before = self.events.advances();
        self.bytes += bytes.len() as u64;
        self.events.push(bytes);
        self.events.advances() > before
    }

    /// Returns whether a stream of events whose body ended here without a read error has been
    /// broken off. The end of a connection doesn't show that an answer is complete.
    pub fn is_broken_off(&self) -> bool {
        match self.end_of_body() {
            AnswerEnd::InsideEvent => true,
            AnswerEnd::NoEvent => self.framing == BodyFraming::ConnectionClose,
            AnswerEnd::AfterEvent
            | AnswerEnd::ReadError
            | AnswerEnd::Silent
            | AnswerEnd::NoAnswer => false,
        }
    }

    /// Returns how a stream of events ended if its body ended here without a read error.
    pub fn end_of_body(&self) -> AnswerEnd {
        if self.events.is_inside_event() {
            AnswerEnd::InsideEvent
        } else if self.events.events() == 0 {
            AnswerEnd::NoEvent
        } else {
            AnswerEnd::AfterEvent
        }
    }
}

impl AnswerEnd {
    /// Returns the end as it is written to metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            AnswerEnd::AfterEvent => "after_event",
            AnswerEnd::InsideEvent => "inside_event",
            AnswerEnd::NoEvent => "no_event",
            AnswerEnd::ReadError => "read_error",
            AnswerEnd::Silent => "silent",
            AnswerEnd::NoAnswer => "no_answer",
        }
    }
}
