//! The decision that follows a failed attempt.

use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::RetryBudget;
use crate::Timestamp;

/// The number of attempts per request at servers that were reached.
const MAX_REACHED_ATTEMPTS: u32 = 3;

/// The maximum number of lost attempts that are compensated by an additional one. A
/// request that crashes servers gets two runs, and a request that was on the same
/// server both times must still be answered.
const MAX_COMPENSATED_LOSSES: u32 = 2;

/// The total number of attempts per request, including those that reached no server.
const MAX_TOTAL_ATTEMPTS: u32 = 8;

/// The default delay after which a caller may retry, before jitter.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Whether a request has run, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No byte of the request reached a backend server.
    No,
    /// The request may have run.
    Unknown,
    /// The caller has received a part of the answer.
    Partly,
}

/// What the table of suspects says about a request. A suspect is a request that was in
/// flight on a server that died.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// The request isn't a suspect.
    #[default]
    Clear,
    /// A server died while running the request. It may run once more after a trial has
    /// been granted, as the only suspect on its server.
    NeedsTrial,
    /// The request must not run for this long.
    Blocked(Duration),
}

/// What is known of a failed attempt and its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptReport {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether a byte of the request was written to a connection, in this or an earlier
    /// attempt.
    pub bytes_sent: bool,
    /// The number of tokens that the caller has received. Another server can continue
    /// after them.
    pub tokens_delivered: u32,
    /// Whether the caller has received a part of an answer that no other server can
    /// continue.
    pub answer_started: bool,
    /// The number of attempts so far, including this one.
    pub attempts: u32,
    /// The attempts of which no byte reached a server.
    pub not_sent: u32,
    /// The attempts that broke off while a server may have run the request.
    pub lost: u32,
    /// The deadline of the request.
    pub deadline: Timestamp,
    /// The minimum duration of another attempt.
    pub min_attempt_duration: Duration,
    /// What the table of suspects says about the request.
    pub suspect: SuspectVerdict,
}

/// Why a request isn't retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinalCause {
    /// The request may have run, and must not run twice.
    NotIdempotent,
    /// The deadline has passed, or is too near for another attempt.
    Deadline,
    /// The request has used up its attempts.
    Attempts,
    /// The retry budget is empty, since there are too many failures.
    Budget,
    /// Servers died while running the request, or a trial of it is pending.
    Blocked,
    /// The caller has received a part of an answer that no other server can continue.
    Begun,
}

/// The final answer to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinalAnswer {
    /// Whether the request has run.
    pub run: RunState,
    /// Why it isn't retried.
    pub cause: FinalCause,
    /// The delay after which the caller may retry.
    pub retry_after: Duration,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request is retried on another server.
    Retry {
        /// Whether a trial must be granted first.
        trial: bool,
    },
    /// Another server continues after the tokens that the caller has received.
    Resume {
        /// The number of tokens that the caller has received.
        from_token: u32,
        /// Whether a trial must be granted first.
        trial: bool,
    },
    /// The caller gets a final answer at once.
    Final(FinalAnswer),
}

/// Decides what follows a failed attempt.
///
/// The budget is checked last, so that it is charged only for retries that take place.
pub fn decide_retry(
    attempt: &AttemptReport,
    budget: &mut RetryBudget,
    now: Timestamp,
    rng: &mut impl Rng,
) -> RetryDecision {
    let cause = final_cause(attempt, now);
    let cause = cause.or_else(|| (!budget.take(now)).then_some(FinalCause::Budget));
    if let Some(cause) = cause {
        return RetryDecision::Final(FinalAnswer {
            run: attempt.run_state(),
            cause,
            retry_after: retry_after(attempt, rng),
        });
    }
    let trial = attempt.suspect == SuspectVerdict::NeedsTrial;
    match attempt.tokens_delivered {
        0 => RetryDecision::Retry { trial },
        from_token => RetryDecision::Resume { from_token, trial },
    }
}

impl AttemptReport {
    /// Returns whether the request has run, as far as this daemon can know.
    pub fn run_state(&self) -> RunState {
        if self.tokens_delivered > 0 || self.answer_started {
            RunState::Partly
        } else if self.bytes_sent {
            RunState::Unknown
        } else {
            RunState::No
        }
    }
}

fn final_cause(attempt: &AttemptReport, now: Timestamp) -> Option<FinalCause> {
    if matches!(attempt.suspect, SuspectVerdict::Blocked(_)) {
        return Some(FinalCause::Blocked);
    }
    // A server's answer that it rejected the request without starting it can be wrong,
    // since it may come from a proxy in front of the server. So only unsent requests
    // count as not run.
    if attempt.bytes_sent && !attempt.idempotent {
        return Some(FinalCause::NotIdempotent);
    }
    if attempt.answer_started {
        return Some(FinalCause::Begun);
    }
    if now + attempt.min_attempt_duration >= attempt.deadline {
        return Some(FinalCause::Deadline);
    }
    let reached = attempt.attempts.saturating_sub(attempt.not_sent);
    let is_used_up = reached >= MAX_REACHED_ATTEMPTS + attempt.lost.min(MAX_COMPENSATED_LOSSES);
    if is_used_up || attempt.lost >= MAX_REACHED_ATTEMPTS || attempt.attempts >= MAX_TOTAL_ATTEMPTS
    {
        return Some(FinalCause::Attempts);
    }
    None
}

/// Adds jitter, so that rejected callers don't all return at the same time.
fn retry_after(attempt: &AttemptReport, rng: &mut impl Rng) -> Duration {
    match attempt.suspect {
        SuspectVerdict::Blocked(span) => span,
        _ => DEFAULT_RETRY_AFTER.mul_f64(rng.random_range(0.5..1.5)),
    }
}
