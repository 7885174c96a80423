//! Outcomes of single requests and the result of a whole run.

mod call;
mod collector;
mod latency;
mod lot;
mod rate_reference;
mod result;
mod timeline;

pub use call::{CallEnd, CallKind, CallOutcome, Refusal};
pub use collector::OutcomeCollector;
pub use latency::{LatencyHistogram, LatencySummary, QUANTILES};
pub use lot::{LotEnd, LotOutcome, LotProgress};
pub use rate_reference::{RateDecision, RateReference};
pub use result::{
    CallResult, CustomerResult, EngineResult, FaultResult, LotResult, RefusalCount, RunResult,
    TimelineRow,
};
