//! The outcome of one call.

use std::time::Duration;

/// The kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A generation request.
    Live,
    /// A call of a plain HTTP service.
    Plain,
}

/// A response that rejects a call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Refusal {
    /// The HTTP status; 200 for an error event in a stream that had begun.
    pub status: u16,
    /// The machine-readable code in the error's body, or empty.
    pub code: String,
    /// What the response states about whether the request ran, such as `no`,
    /// `partly` or `unknown`, or empty.
    pub ran: String,
    /// Whether the response states when to retry.
    pub retry_after: bool,
}

impl Refusal {
    /// Returns whether the request reached a backend server, or may have.
    pub fn may_have_run(&self) -> bool {
        self.status == 200 || matches!(self.ran.as_str(), "partly" | "unknown")
    }

    /// Returns whether the call was rejected for lack of capacity or for the
    /// customer's rate, rather than for an error in the request.
    pub fn is_for_capacity(&self) -> bool {
        self.status == 429 || self.status >= 500
    }
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The response is complete and correct.
    Done,
    /// The response is complete, but belongs to another request.
    WrongAnswer,
    /// The response ended properly, but has too few or too many tokens.
    WrongLength,
    /// The call was rejected, before or after the response had begun.
    Refused(Refusal),
    /// The response began and was cut off without an error.
    Cut,
    /// No response: the connection failed or the call timed out.
    NoAnswer,
}

/// The outcome of one call. All times are relative to the start of the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOutcome {
    /// The customer's index in the trace's header.
    pub customer: u32,
    /// Whether it is a generation request or a plain call.
    pub kind: CallKind,
    /// The send time in the trace. Latencies count from here, so that a fleet
    /// that slows the sender down doesn't appear faster (coordinated omission).
    pub intended: Duration,
    /// The time at which it was actually sent.
    pub sent: Duration,
    /// The time of the first token, or of the response head for plain calls.
    pub first: Option<Duration>,
    /// The time at which the call ended.
    pub ended: Duration,
    /// The intervals between successive tokens.
    pub gaps: Vec<Duration>,
    /// The number of tokens received.
    pub tokens: u32,
    /// The way in which the call ended.
    pub end: CallEnd,
}
