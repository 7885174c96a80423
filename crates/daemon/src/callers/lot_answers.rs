//! Parameters and errors that the file and lot handlers share.

use std::time::Duration;

use comfreyramp_http::{ErrorAnswer, HeaderMap, RunState, StatusCode};
use comfreyramp_lots::{LineFinding, LotError};
use comfreyramp_store::StoreError;

/// The header by which a resent request is recognized.
const JOB_KEY_HEADER: &str = "idempotency-key";
/// The maximum length of an idempotency key in bytes.
const MAX_JOB_KEY: usize = 255;
/// `retry_after` when the platform gave no answer.
const PLATFORM_RETRY: Duration = Duration::from_secs(5);
/// `retry_after` when the request itself is invalid and must be corrected
/// first.
const INVALID_REQUEST_RETRY: Duration = Duration::from_secs(1);
/// The maximum number of findings listed in an error message.
const MAX_LISTED_FINDINGS: usize = 20;
/// The page size if the caller gives none. [`MAX_LIMIT`] is the maximum.
const DEFAULT_LIMIT: usize = 20;
const MAX_LIMIT: usize = 100;

/// Returns the caller's idempotency key, if it sent one.
pub(super) fn job_key(headers: &HeaderMap) -> Result<Option<&str>, ErrorAnswer> {
    let Some(value) = headers.get(JOB_KEY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().ok().filter(|it| !it.is_empty());
    let key = key.filter(|it| it.len() <= MAX_JOB_KEY).ok_or_else(|| {
        let text = format!("The header must have 1 to {MAX_JOB_KEY} visible characters.");
        ErrorAnswer::new(StatusCode::BAD_REQUEST, "invalid_idempotency_key", text)
            .param(JOB_KEY_HEADER)
    })?;
    Ok(Some(key))
}

/// The page of a listing that a caller requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PageQuery {
    pub(super) after: Option<String>,
    pub(super) limit: usize,
}

impl PageQuery {
    /// Parses `after` and `limit` from a query string, ignoring other
    /// parameters.
    pub(super) fn parse(query: Option<&str>) -> Result<Self, ErrorAnswer> {
        let mut page = PageQuery {
            after: None,
            limit: DEFAULT_LIMIT,
        };
        for pair in query.unwrap_or_default().split('&') {
            match pair.split_once('=') {
                Some(("after", value)) if !value.is_empty() => page.after = Some(value.to_owned()),
                Some(("limit", value)) => page.limit = parse_limit(value)?,
                _ => {}
            }
        }
        Ok(page)
    }
}

fn parse_limit(value: &str) -> Result<usize, ErrorAnswer> {
    let limit = value.parse().ok().filter(|it| *it >= 1);
    let limit: usize = limit.ok_or_else(|| {
        let text = format!("`{value}` is not a valid limit; use a number from 1 to {MAX_LIMIT}.");
        ErrorAnswer::new(StatusCode::BAD_REQUEST, "invalid_limit", text).param("limit")
    })?;
    Ok(limit.min(MAX_LIMIT))
}

/// Converts an error of the lot store to the answer for the caller.
pub(crate) fn lot_error(error: LotError) -> ErrorAnswer {
    let answer = |status, code, text| ErrorAnswer::new(status, code, text);
    match error {
        LotError::Findings(findings) => {
            let text = format_findings(&findings);
            answer(StatusCode::BAD_REQUEST, "invalid_file", text).param("file")
        }
        LotError::Invalid { param, message } => {
            answer(StatusCode::BAD_REQUEST, "invalid_value", message).param(param)
        }
        LotError::NotFound(what) => {
            let text = format!("There is no such {what}.");
            answer(StatusCode::NOT_FOUND, "not_found", text)
        }
        LotError::KeyReused => {
            let text = "This idempotency key was used for a different request. Use a new one.";
            answer(
                StatusCode::CONFLICT,
                "idempotency_key_reused",
                text.to_owned(),
            )
        }
        LotError::Store(error) => platform_error(&error),
        LotError::Damaged { .. } => {
            log::error!("lots: {error}");
            let text = "A stored value can't be read. Tell your operator.".to_owned();
            answer(StatusCode::INTERNAL_SERVER_ERROR, "damaged", text).retry_after(PLATFORM_RETRY)
        }
    }
}

/// The error when the platform gave no answer. The request may have taken
/// effect; resending it unchanged finds out and creates nothing twice.
fn platform_error(error: &StoreError) -> ErrorAnswer {
    let (ran, text) = match error {
        StoreError::AnswerLost(_) => (
            RunState::Unknown,
            "It isn't known whether this request took effect. Send it again unchanged to find out.",
        ),
        _ => (RunState::No, "This request can't be accepted at present."),
    };
    log::warn!("lots: {error}");
    ErrorAnswer::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "platform_unavailable",
        text,
    )
    .ran(ran)
    .retry_after(PLATFORM_RETRY)
}

fn format_findings(findings: &[LineFinding]) -> String {
    let listed = findings.iter().take(MAX_LISTED_FINDINGS);
    let mut lines: Vec<String> = listed.map(LineFinding::to_string).collect();
    let more = findings.len().saturating_sub(MAX_LISTED_FINDINGS);
    if more > 0 {
        lines.push(format!("and {more} more"));
    }
    format!("Nothing of the file was kept. {}.", lines.join("; "))
}

/// The error for a request that is itself invalid.
pub(super) fn bad_request(code: &'static str, text: impl Into<String>) -> ErrorAnswer {
    ErrorAnswer::new(StatusCode::BAD_REQUEST, code, text).retry_after(INVALID_REQUEST_RETRY)
}
