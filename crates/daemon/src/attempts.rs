//! The attempts of one request at backend servers, and the decision after a
//! failed attempt.

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

/// `retry_after` for a caller whose request no backend server can take.
pub const BUSY_RETRY: Duration = Duration::from_secs(1);

/// Why an attempt at a server gave no answer that can be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No server is available.
    NoServer,
    /// No byte of the request was sent.
    NotSent,
    /// The server answered that it is full or starting, and did not run the
    /// request.
    Rejected,
    /// The request was sent, and no complete answer arrived.
    Broken,
    /// The request's deadline passed.
    TimedOut,
    /// The request's claim expired before any byte of the request was sent.
    ClaimExpired,
    /// All servers are full for longer than the request may wait. Holds the
    /// `retry_after` for the caller.
    QueueTooLong(Duration),
    /// A server died, or may have died, of this request, which can't run again
    /// for the given time.
    Suspected(Duration),
}

impl AttemptFailure {
    /// Returns the failure as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptFailure::NoServer => "no_server",
            AttemptFailure::NotSent => "not_sent",
            AttemptFailure::Rejected => "turned_away",
            AttemptFailure::Broken => "broken",
            AttemptFailure::TimedOut => "timed_out",
            AttemptFailure::ClaimExpired => "claim_lapsed",
            AttemptFailure::QueueTooLong(_) => "held_back",
            AttemptFailure::Suspected(_) => "suspected",
        }
    }
}

/// Returns whether a server answered that it has no room for the request.
pub fn is_rejected(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// The state of one request's attempts.
#[derive(Debug)]
pub struct AttemptLog {
    /// The servers to which attempts were made, in order.
    pub tried: Vec<ServerId>,
    /// The number of attempts in which no byte was sent.
    pub not_sent: u32,
    /// The number of attempts that broke off or timed out, in which the server
    /// may have run the request.
    pub lost: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Identifies equal requests of the same customer to the same service.
    pub fingerprint: Fingerprint,
    /// Whether any byte of the request was written to a connection.
    pub bytes_sent: bool,
    /// Whether the caller has received a part of an answer that no other server
    /// can resume.
    pub answer_begun: bool,
    /// The number of answer tokens that the caller has received.
    pub delivered: u32,
    /// The request's deadline.
    pub deadline: Timestamp,
    /// The server for the next attempt, if it has already been chosen.
    pub reserved: Option<ChosenServer>,
    /// The trace in which the attempts are recorded for operators.
    pub trace: RequestTrace,
}

impl AttemptLog {
    /// Creates the log of a request before its first attempt.
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

    /// Returns whether the request has run, as far as this daemon knows.
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
    /// Counts an answered request. Successful requests add to the retry budget.
    pub fn note_success(&self) {
        self.retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .success();
    }

    /// Returns the final error for a request that could not start on any
    /// server.
    pub fn refusal(&self, log: &mut AttemptLog, failure: AttemptFailure) -> ErrorAnswer {
        let answer = self.after_failure(log, failure);
        answer.err().unwrap_or_else(|| no_server(log))
    }

    /// Decides whether a failed attempt is followed by another. Returns the
    /// final error for the caller if it isn't.
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
        let verdict = self.retry_verdict(log, failure);
        let step = TraceStep::Failed {
            failure: failure.as_str(),
            again: verdict.is_ok(),
        };
        log.trace.add_step(step, self.clock.now());
        verdict
    }

    fn retry_verdict(&self, log: &AttemptLog, failure: AttemptFailure) -> Result<(), ErrorAnswer> {
        if failure == AttemptFailure::NoServer {
            return Err(no_server(log));
        }
        if failure == AttemptFailure::ClaimExpired {
            return Err(claim_expired());
        }
        if let AttemptFailure::QueueTooLong(retry_after) = failure {
            return Err(servers_busy(log, retry_after));
        }
        let is_blocked = self.suspects.is_blocked(log.fingerprint);
        if let AttemptFailure::Suspected(retry_after) = failure {
            return Err(suspected(log, is_blocked, retry_after));
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
                self.metrics.count_retry(failure.as_str());
                Ok(())
            }
            RetryDecision::Final(answer) if answer.cause == FinalCause::Blocked => {
                Err(suspected(log, is_blocked, answer.retry_after))
            }
            RetryDecision::Final(answer) => Err(final_error(log, failure, &answer)),
        }
    }
}

fn no_server(log: &AttemptLog) -> ErrorAnswer {
    let text = "No backend server can take this request now.";
    ErrorAnswer::new(StatusCode::SERVICE_UNAVAILABLE, "no_server", text)
        .ran(log.run_state())
        .retry_after(BUSY_RETRY)
}

/// The error for a call whose claim expired. It always says that the call did
/// not run: a call that was started has no second attempt in which its claim
/// could expire.
fn claim_expired() -> ErrorAnswer {
    let text = "The claim of this call expired before the call could be sent, so it was not sent.";
    ErrorAnswer::new(StatusCode::SERVICE_UNAVAILABLE, "claim_late", text).retry_after(BUSY_RETRY)
}

/// The final error for a request of which servers died or may have died.
fn suspected(log: &AttemptLog, is_blocked: bool, retry_after: Duration) -> ErrorAnswer {
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
        .retry_after(retry_after)
}

fn servers_busy(log: &AttemptLog, retry_after: Duration) -> ErrorAnswer {
    let text = "All backend servers will be full for longer than this request may wait.";
    ErrorAnswer::new(StatusCode::SERVICE_UNAVAILABLE, "servers_busy", text)
        .ran(log.run_state())
        .retry_after(retry_after)
}

fn final_error(log: &AttemptLog, failure: AttemptFailure, answer: &FinalAnswer) -> ErrorAnswer {
    let (status, code, text) = match answer.cause {
        FinalCause::NotIdempotent => (
            StatusCode::BAD_GATEWAY,
            "answer_lost",
            "The backend server gave no whole answer. The request may have run, so it is not \
             sent again.",
        ),
        FinalCause::Deadline => (
            StatusCode::GATEWAY_TIMEOUT,
            "timed_out",
            "The request's deadline has passed.",
        ),
        FinalCause::Attempts if failure == AttemptFailure::Rejected => (
            StatusCode::SERVICE_UNAVAILABLE,
            "servers_busy",
            "The backend servers that were tried are full.",
        ),
        FinalCause::Attempts => (
            StatusCode::BAD_GATEWAY,
            "no_answer",
            "None of the backend servers that were tried gave a complete answer.",
        ),
        FinalCause::Budget => (
            StatusCode::SERVICE_UNAVAILABLE,
            "too_many_failures",
            "Too many requests are failing at present for this one to be retried.",
        ),
        FinalCause::Blocked => return suspected(log, true, answer.retry_after),
        FinalCause::Begun => (
            StatusCode::BAD_GATEWAY,
            "stream_broken",
            "The answer broke off and can't be resumed on another backend server.",
        ),
    };
    ErrorAnswer::new(status, code, text)
        .ran(log.run_state())
        .retry_after(answer.retry_after)
}
