//! The steps that a trace can record.

use comfreyramp_http::RunState;
use serde::Serialize;

/// An event in the handling of a request. Its texts are constants of the daemon and
/// names that operators chose, never text from a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum TraceStep {
    /// The key was recognised.
    Recognised {
        /// The customer it belongs to.
        customer: Box<str>,
    },
    /// The request was assigned to a class of urgency.
    Classed {
        /// The class.
        class: &'static str,
        /// What the class was inferred from.
        because: &'static str,
    },
    /// The customer's rate admitted the request.
    Admitted,
    /// It was sent to a backend server.
    Tried {
        /// The server.
        server: Box<str>,
        /// How many requests this daemon had in flight there, including this one.
        in_flight: u32,
        /// How many servers were excluded because they were tried before.
        left_out: u32,
    },
    /// An attempt failed.
    Failed {
        /// The kind of failure.
        failure: &'static str,
        /// Whether another attempt follows.
        again: bool,
    },
    /// The first token of a stream went to the caller.
    FirstToken,
    /// The head of an answer went to the caller.
    Answered {
        /// The HTTP status.
        status: u16,
    },
    /// The request was refused, or its answer broken off.
    Refused {
        /// The error's code.
        code: &'static str,
        /// Whether the request ran.
        ran: RunState,
        /// The time after which the caller may retry, in seconds.
        retry_after: Option<u64>,
    },
    /// The complete stream was delivered.
    Whole,
    /// The daemon finished handling the request.
    Ended,
}

/// A step with its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TimedStep {
    /// Microseconds after the request arrived, at most a little over an hour.
    pub after_us: u32,
    /// The step itself.
    #[serde(flatten)]
    pub step: TraceStep,
}

impl TraceStep {
    /// Returns the size of the step's heap-allocated texts in bytes.
    pub(super) fn text_bytes(&self) -> usize {
        match self {
            TraceStep::Recognised { customer } => customer.len(),
            TraceStep::Tried { server, .. } => server.len(),
            _ => 0,
        }
    }
}
