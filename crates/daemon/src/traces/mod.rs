//! Traces of recent requests, which show operators how a request was handled.
//!
//! Each daemon keeps the steps of its most recent requests in memory, bounded in
//! number and size. A step never contains text from a caller or a key. See
//! docs/OPERATIONS.md.

mod request_trace;
mod story;
mod trace_ring;
mod trace_step;

pub use request_trace::RequestTrace;
pub use trace_ring::{MAX_TRACES, TraceRing};
pub use trace_step::{TimedStep, TraceStep};
