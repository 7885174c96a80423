//! The outcome of one lot.

use std::time::Duration;

use super::call::Refusal;

/// How a lot ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LotEnd {
    /// The lot reached a final state and its results were downloaded.
    Ended {
        /// The final state in the API, such as `completed`.
        status: String,
    },
    /// The submission was rejected.
    Refused(Refusal),
    /// The submission failed: no response in time.
    NoAnswer,
    /// The lot was acknowledged, but had no final state at the end of the run.
    Unfinished,
}

/// The outcome of one lot. All times are relative to the start of the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LotOutcome {
    /// The customer's index in the trace's header.
    pub customer: u32,
    /// The caller's idempotency key for the job.
    pub job: String,
    /// The lot's id, once acknowledged.
    pub id: Option<String>,
    /// Whether the same job was already submitted before.
    pub resent: bool,
    /// The submission time in the trace.
    pub intended: Duration,
    /// The time at which the fleet acknowledged the lot.
    pub acknowledged: Option<Duration>,
    /// The time at which polling first returned a final state.
    pub ended: Option<Duration>,
    /// The deadline, relative to `intended`.
    pub due: Duration,
    /// The number of items in the lot.
    pub items: u32,
    /// Items with a correct response.
    pub done: u32,
    /// Items with a recorded error.
    pub failed: u32,
    /// Items with more than one result.
    pub repeated: u32,
    /// Items with the response of another item.
    pub wrong: u32,
    /// The way in which the lot ended.
    pub end: LotEnd,
}

impl LotOutcome {
    /// Returns the number of items without any result.
    pub fn missing(&self) -> u32 {
        self.items
            .saturating_sub(self.done + self.failed + self.wrong)
    }

    /// Returns whether all results were available before the deadline.
    pub fn is_on_time(&self) -> bool {
        let due = self.intended + self.due;
        self.ended.is_some_and(|it| it <= due) && self.missing() == 0
    }
}

/// Progress of a lot between two polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LotProgress {
    /// The time of the poll, relative to the start of the run.
    pub at: Duration,
    /// The number of items that ended since the last report on the same lot.
    pub items: u32,
}
