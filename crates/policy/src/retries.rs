//! The decision whether a failed attempt is retried.
//!
//! [`decide_retry`] evaluates what is known of the attempt, and [`RetryBudget`] limits
//! the rate of retries to what the fleet can bear. See `docs/DESIGN.md`.

mod budget;
mod decision;

pub use budget::RetryBudget;
pub use decision::{
    AttemptReport, FinalAnswer, FinalCause, RetryDecision, RunState, SuspectVerdict, decide_retry,
};
