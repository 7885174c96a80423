//! Calls that must not run twice: their claims, and the answers to resends.

use std::{sync::Arc, time::Duration};

use comfreyramp_http::{ErrorAnswer, HeaderMap, MessageBody, Response, RunState, StatusCode};
use comfreyramp_policy::{AnswerRef, ClaimCause, ClaimKey, ClaimRefusal, Fingerprint, Timestamp};

use super::{Caller, forwarded::is_marked_once};
use crate::{
    claims::{ClaimGrant, ClaimOutcome, ClaimRecords},
    shared::SharedState,
};

/// The header by which a resend is recognized.
const KEY_HEADER: &str = "idempotency-key";
/// The maximum length of an `Idempotency-Key` in bytes.
const MAX_KEY_BYTES: usize = 256;
/// `retry_after` for a call that has run and whose answer can't be returned.
const ANSWER_RETRY: Duration = Duration::from_secs(5);

/// The call for which a claim is requested.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClaimSubject<'a> {
    pub(super) service: &'a str,
    pub(super) body: Fingerprint,
    pub(super) deadline: Timestamp,
}

/// How a call proceeds after the claim.
#[derive(Debug)]
pub(super) enum ClaimStep {
    /// The call may run more than once and needs no claim.
    Unclaimed,
    /// The call may be sent once.
    Granted(ClaimGrant),
    /// The call ran before; this is its stored answer.
    Answered(Response<MessageBody>),
}

/// Whether the headers say that the call must not run twice.
pub(super) fn runs_once(headers: &HeaderMap) -> bool {
    is_marked_once(headers) || headers.contains_key(KEY_HEADER)
}

/// Claims a call that must not run twice, before any byte of it is sent.
pub(super) async fn claim_call(
    state: &Arc<SharedState>,
    caller: &Caller,
    headers: &HeaderMap,
    subject: ClaimSubject<'_>,
) -> Result<ClaimStep, ErrorAnswer> {
    if !runs_once(headers) {
        return Ok(ClaimStep::Unclaimed);
    }
    let key = match idempotency_key(headers)? {
        Some(key) => ClaimKey::of(&caller.customer.name, subject.service, key),
        None => ClaimKey::unique(&mut rand::rng()),
    };
    let claim = state.claims.acquire(key, subject.body, subject.deadline);
    match claim.await {
        ClaimOutcome::Granted(grant) => Ok(ClaimStep::Granted(grant)),
        ClaimOutcome::Answered(location) => {
            let answer = read_answer(state, key, &location).await?;
            Ok(ClaimStep::Answered(answer))
        }
        ClaimOutcome::Refused(refusal) => Err(claim_error(&refusal)),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, ErrorAnswer> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().ok();
    let key = key.filter(|it| !it.is_empty() && it.len() <= MAX_KEY_BYTES);
    if key.is_some() {
        return Ok(key);
    }
    let text = format!("Idempotency-Key must be 1 to {MAX_KEY_BYTES} characters of ASCII text.");
    let answer = ErrorAnswer::new(StatusCode::BAD_REQUEST, "bad_idempotency_key", text);
    Err(answer.param("Idempotency-Key"))
}

async fn read_answer(
    state: &SharedState,
    key: ClaimKey,
    location: &AnswerRef,
) -> Result<Response<MessageBody>, ErrorAnswer> {
    if location.0.is_empty() {
        let text = "This call has run. Its answer was too long to be stored.";
        return Err(already_ran("already_ran", text));
    }
    if let Some(answer) = state.claims.pending_answer(key) {
        return Ok(answer.into_response());
    }
    let read = ClaimRecords::new(state.store.clone());
    match read.read_answer(&location.0).await {
        Ok(Some(answer)) => Ok(answer.into_response()),
        Ok(None) => {
            let text = "This call has run. Its answer is no longer stored.";
            Err(already_ran("already_ran", text))
        }
        Err(_) => {
            let text = "This call has run. Its answer can't be read at present.";
            Err(already_ran("answer_unreadable", text))
        }
    }
}

fn already_ran(code: &'static str, text: &str) -> ErrorAnswer {
    ErrorAnswer::new(StatusCode::CONFLICT, code, text)
        .ran(RunState::Yes)
        .retry_after(ANSWER_RETRY)
}

fn claim_error(refusal: &ClaimRefusal) -> ErrorAnswer {
    let (status, code, text) = match refusal.cause {
        ClaimCause::NoPlatform => (
            StatusCode::SERVICE_UNAVAILABLE,
            "claims_unavailable",
            "The platform can't be queried whether this call ran before, so it was not sent.",
        ),
        ClaimCause::Busy => (
            StatusCode::SERVICE_UNAVAILABLE,
            "claims_busy",
            "Too many calls that must not run twice are waiting at present.",
        ),
        ClaimCause::Late => (
            StatusCode::SERVICE_UNAVAILABLE,
            "claim_late",
            "The call could not be claimed in time, so it was not sent.",
        ),
        ClaimCause::Claimed => (
            StatusCode::CONFLICT,
            "already_claimed",
            "The same call is running, or ran and its answer was lost. It is not sent again.",
        ),
        ClaimCause::OtherBody => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "idempotency_key_reused",
            "Another call was made under this Idempotency-Key. Choose a new key.",
        ),
    };
    let ran = match refusal.run {
        comfreyramp_policy::RunState::No => RunState::No,
        comfreyramp_policy::RunState::Unknown => RunState::Unknown,
        comfreyramp_policy::RunState::Partly => RunState::Partly,
    };
    ErrorAnswer::new(status, code, text)
        .ran(ran)
        .retry_after(refusal.retry_after)
}
