//! The events of a trace.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use serde_with::{DurationMicroSeconds, serde_as};

/// One event, which is one line of a trace file.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceEvent {
    /// The time since the start of the trace, in microseconds in the file.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "at_us")]
    pub at: Duration,
    /// The kind of the event and its parameters.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// The kind of an event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EventKind {
    /// A customer sends a generation request.
    Live(LiveEvent),
    /// A customer calls a plain HTTP service.
    Plain(PlainEvent),
    /// A customer submits a lot.
    Lot(LotEvent),
    /// A process fails or recovers.
    Fault(FaultEvent),
}

impl EventKind {
    /// Returns the index of the customer, or none for a fault.
    pub fn customer(&self) -> Option<u32> {
        match self {
            EventKind::Live(live) => Some(live.customer),
            EventKind::Plain(plain) => Some(plain.customer),
            EventKind::Lot(lot) => Some(lot.customer),
            EventKind::Fault(_) => None,
        }
    }
}

/// A generation request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveEvent {
    /// The customer's index in the trace's header.
    pub customer: u32,
    /// A random number that makes the prompt unique.
    pub text: u64,
    /// The index of the shared prompt prefix, among those of the customer.
    pub prefix: u32,
    /// The length of the prefix in tokens.
    pub prefix_tokens: u32,
    /// The length of the rest of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The length of the response in tokens.
    pub max_tokens: u32,
    /// Whether the response is streamed.
    pub stream: bool,
    /// A special text in the prompt, such as one that crashes an engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub marker: Option<String>,
}

/// A call of a plain HTTP service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainEvent {
    /// The customer's index in the trace's header.
    pub customer: u32,
    /// A random number that makes the body unique.
    pub text: u64,
    /// The length of the body in bytes.
    pub body_bytes: u32,
    /// Whether the call must not be retried.
    pub once: bool,
}

/// The submission of a lot.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LotEvent {
    /// The customer's index in the trace's header.
    pub customer: u32,
    /// The caller's idempotency key for the job. A resent job has the same key and
    /// the same items.
    pub job: String,
    /// The number of items.
    pub items: u32,
    /// The length of each prompt in tokens.
    pub prompt_tokens: u32,
    /// The length of each response in tokens.
    pub max_tokens: u32,
    /// The deadline, relative to the submission; in seconds in the file.
    #[serde_as(as = "serde_with::DurationSeconds<u64>")]
    #[serde(rename = "due_s")]
    pub due: Duration,
    /// The number of items that contain the marker. These are the first items.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub marked_items: u32,
    /// A special text in the prompts of these items.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub marker: Option<String>,
    /// Whether the same job was already submitted before.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub resent: bool,
}

// Serde requires this signature.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// An injected fault, or the recovery from one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultEvent {
    /// The affected process.
    pub target: FaultTarget,
    /// The change to the process.
    pub action: FaultAction,
}

/// A process, by its index in the process lists of the run's targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultTarget {
    /// A daemon.
    Daemon(usize),
    /// An engine stand-in.
    Engine(usize),
}

/// A change to a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultAction {
    /// Requests termination (SIGTERM).
    Terminate,
    /// Kills the process (SIGKILL).
    Kill,
    /// Pauses the process (SIGSTOP).
    Freeze,
    /// Resumes a paused process (SIGCONT).
    Resume,
    /// Sets the fault switches of an engine stand-in.
    Switches(Map<String, Value>),
}
