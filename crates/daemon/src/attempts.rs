//! The attempts of one request, and what follows a failed one.

use std::{sync::PoisonError, time::Duration};

use comfreyramp_http::{ErrorAnswer, RunState, StatusCode};
use comfreyramp_policy::{
    AttemptReport, FinalAnswer, FinalCause, Fingerprint, RetryDecision, ServerId, Timestamp,
    decide_retry,
};

use crate::{
    server_pool::ChosenServer,
    shared::SharedState,
    traces::{RequestTrace, TraceStep},
};

/// When a caller may come back if no backend server can take its request.
pub const BUSY_RETRY: Duration = Duration::from_secs(1);

/// Why an attempt at a server gave no answer to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// There is no server to try.
    NoServer,
    /// Nothing was sent.
    NotSent,
    /// The server is full or starting, and said that it did not run the request.
    TurnedAway,
    /// It was sent, and no whole answer came.
    Broken,
    /// The request's time is over.
    TimedOut,
    /// Its claim lapsed before a byte of it left.
    ClaimLapsed,
    /// All servers are full for longer than it may wait. This is when to come
    /// back.
    HeldBack(Duration),
    /// A server died of it, or may have, and it can't run for this long.
    Suspected(Duration),
}

impl AttemptFailure {
    /// The failure as a label.
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptFailure::NoServer => "no_server",
            AttemptFailure::NotSent => "not_sent",
            AttemptFailure::TurnedAway => "turned_away",
            AttemptFailure::Broken => "broken",
            AttemptFailure::TimedOut => "timed_out",
            AttemptFailure::ClaimLapsed => "claim_lapsed",
            AttemptFailure::HeldBack(_) => "held_back",
            AttemptFailure::Suspected(_) => "suspected",
        }
    }
}

/// What is known of one request's attempts.
#[derive(Debug)]
pub struct AttemptLog {
    /// The servers that were tried.
    pub tried: Vec<ServerId>,
    /// How many of these it didn't reach.
    pub not_sent: u32,
    /// How many of these broke off, and may have run it.
    pub lost: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// What makes it the same request as another.
    pub fingerprint: Fingerprint,
    /// Whether a byte of it was handed to a connection.
    pub bytes_sent: bool,
    /// Whether the caller has a part that can't be taken up from elsewhere.
    pub answer_begun: bool,
    /// Tokens that the caller has.
    pub delivered: u32,
    /// When the request's time is up.
    pub deadline: Timestamp,
    /// The server that was chosen for the next attempt, if one was already.
    pub reserved: Option<ChosenServer>,
    /// Where the attempts are noted for operators.
    pub trace: RequestTrace,
}

impl AttemptLog {
    /// A request without an attempt.
    pub fn new(
        idempotent: bool,
        fingerprint: Fingerprint,
        deadline: Timestamp,
        trace: RequestTrace,
    ) -> Self {
        AttemptLog {
            tried: Vec::new(),
            not_sent: 0,
            lost: 0,
            idempotent,
            fingerprint,
            bytes_sent: false,
            answer_begun: false,
            delivered: 0,
            deadline,
            reserved: None,
            trace,
        }
    }

    /// Whether the request has run, as far as this daemon can know.
    pub fn run_state(&self) -> RunState {
        if self.delivered > 0 || self.answer_begun {
            RunState::Partly
        } else if self.bytes_sent {
            RunState::Unknown
        } else {
            RunState::No
        }
    }
}

impl SharedState {
    /// Counts a request that was answered; successes pay for retries.
    pub fn note_success(&self) {
        self.retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .success();
    }

    /// The last word on a request that found no server.
    pub fn refusal(&self, log: &mut AttemptLog, failure: AttemptFailure) -> ErrorAnswer {
        let answer = self.after_failure(log, failure);
        answer.err().unwrap_or_else(|| no_server(log))
    }

    /// Decides whether a failed attempt is followed by another, or gives the
    /// caller its last word.
    pub fn after_failure(
        &self,
        log: &mut AttemptLog,
        failure: AttemptFailure,
    ) -> Result<(), ErrorAnswer> {
        match failure {
            AttemptFailure::NotSent => log.not_sent += 1,
            AttemptFailure::Broken | AttemptFailure::TimedOut => log.lost += 1,
            _ => {}
        }
        let verdict = self.judge_failure(log, failure);
        let step = TraceStep::Failed {
            failure: failure.as_str(),
            again: verdict.is_ok(),
        };
        log.trace.note(step, self.clock.now());
        verdict
    }

    fn judge_failure(&self, log: &AttemptLog, failure: AttemptFailure) -> Result<(), ErrorAnswer> {
        if failure == AttemptFailure::NoServer {
            return Err(no_server(log));
        }
        if failure == AttemptFailure::ClaimLapsed {
            return Err(claim_lapsed());
        }
        if let AttemptFailure::HeldBack(span) = failure {
            return Err(held_back(log, span));
        }
        let is_blocked = self.suspects.is_blocked(log.fingerprint);
        if let AttemptFailure::Suspected(span) = failure {
            return Err(suspected(log, is_blocked, span));
        }
        let report = AttemptReport {
            idempotent: log.idempotent,
            bytes_sent: log.bytes_sent,
            tokens_delivered: log.delivered,
            answer_started: log.answer_begun,
            attempts: u32::try_from(log.tried.len()).unwrap_or(u32::MAX),
            not_sent: log.not_sent,
            lost: log.lost,
            deadline: log.deadline,
            min_attempt_duration: Duration::ZERO,
            suspect: self.suspects.verdict(log.fingerprint),
        };
        let decision = {
            let mut budget = self
                .retry_budget
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            decide_retry(&report, &mut budget, self.clock.now(), &mut rand::rng())
        };
        match decision {
            RetryDecision::Retry { .. } | RetryDecision::Resume { .. } => {
                self.metrics.retry(failure.as_str());
                Ok(())
            }
            RetryDecision::Final(answer) if answer.cause == FinalCause::Blocked => {
                Err(suspected(log, is_blocked, answer.retry_after))
            }
            RetryDecision::Final(answer) => Err(last_word(log, failure, &answer)),
        }
    }
}

fn no_server(log: &AttemptLog) -> ErrorAnswer {
    let text = "No backend server can take this request now.";
    ErrorAnswer::new(StatusCode::SERVICE_UNAVAILABLE, "no_server", text)
        .ran(log.run_state())
        .retry_after(BUSY_RETRY)
}

/// Said only of a call that was never started: one that was has no second
/// attempt in which its claim could lapse.
fn claim_lapsed() -> ErrorAnswer {
    let text = "The call could not be sent soon enough after it was claimed, so it was not sent.";
    ErrorAnswer::new(StatusCode::SERVICE_UNAVAILABLE, "claim_late", text).retry_after(BUSY_RETRY)
}

/// The last word on a request that servers died of, or may have.
fn suspected(log: &AttemptLog, is_blocked: bool, span: Duration) -> ErrorAnswer {
    let (status, code, text) = match is_blocked {
        true => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "request_blocked",
            "Backend servers died while they ran this request, so it is not run any more.",
        ),
        false => (
            StatusCode::SERVICE_UNAVAILABLE,
            "request_suspected",
            "A backend server died while it ran this request, and it can't be run again now.",
        ),
    };
    ErrorAnswer::new(status, code, text)
        .ran(log.run_state())
        .retry_after(span)
}

fn held_back(log: &AttemptLog, span: Duration) -> ErrorAnswer {
    let text = "All backend servers are full for longer than this request may wait.";
    ErrorAnswer::new(StatusCode::SERVICE_UNAVAILABLE, "servers_busy", text)
        .ran(log.run_state())
        .retry_after(span)
}

fn last_word(log: &AttemptLog, failure: AttemptFailure, last: &FinalAnswer) -> ErrorAnswer {
    let (status, code, text) = match last.cause {
        FinalCause::NotIdempotent => (
            StatusCode::BAD_GATEWAY,
            "answer_lost",
            "The backend server gave no whole answer. The request may have run, so it is not \
             sent again.",
        ),
        FinalCause::Deadline => (
            StatusCode::GATEWAY_TIMEOUT,
            "timed_out",
            "The request's time is over.",
        ),
        FinalCause::Attempts if failure == AttemptFailure::TurnedAway => (
            StatusCode::SERVICE_UNAVAILABLE,
            "servers_busy",
            "The backend servers that were tried are full.",
        ),
        FinalCause::Attempts => (
            StatusCode::BAD_GATEWAY,
            "no_answer",
            "The backend servers that were tried gave no whole answer.",
        ),
        FinalCause::Budget => (
            StatusCode::SERVICE_UNAVAILABLE,
            "too_many_failures",
            "Too many requests fail at present for this one to be tried again.",
        ),
        FinalCause::Blocked => return suspected(log, true, last.retry_after),
        FinalCause::Begun => (
            StatusCode::BAD_GATEWAY,
            "stream_broken",
            "The answer broke off and can't go on from another backend server.",
        ),
    };
    ErrorAnswer::new(status, code, text)
        .ran(log.run_state())
        .retry_after(last.retry_after)
}
