//! Errors of file and lot operations.

use std::fmt;

use comfreyramp_store::StoreError;
use serde::Serialize;

/// One error in an uploaded file: where it is and how to correct it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LineFinding {
    /// The line number, starting at 1, or 0 for the file as a whole.
    pub line: u64,
    /// A stable identifier of the kind of error, for use by programs.
    pub code: &'static str,
    /// A description of the error and of what is valid instead.
    pub message: String,
}

impl fmt::Display for LineFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            return formatter.write_str(&self.message);
        }
        write!(formatter, "line {}: {}", self.line, self.message)
    }
}

/// Why a file or lot operation failed.
#[derive(Debug, thiserror::Error)]
pub enum LotError {
    /// The uploaded file contains invalid lines. Nothing of it was stored.
    #[error("the file is invalid: {}", join(.0))]
    Findings(Vec<LineFinding>),
    /// A field of the request is invalid.
    #[error("{param}: {message}")]
    Invalid {
        /// The name of the field.
        param: &'static str,
        /// A description of the error and of what is valid instead.
        message: String,
    },
    /// The customer has no file or lot with this id.
    #[error("{0} not found")]
    NotFound(&'static str),
    /// The idempotency key was used before with a different request.
    #[error("the idempotency key was already used for a different request")]
    KeyReused,
    /// The key-value store didn't answer, or answered with an error.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A stored value is missing or can't be decoded.
    #[error("the stored value of {key} is damaged: {reason}")]
    Damaged {
        /// The key of the value.
        key: String,
        /// Why the value can't be decoded.
        reason: String,
    },
}

impl LotError {
    /// Returns whether the request may have taken effect despite the error.
    pub fn may_have_run(&self) -> bool {
        matches!(self, LotError::Store(StoreError::AnswerLost(_)))
    }
}

fn join(findings: &[LineFinding]) -> String {
    let lines: Vec<String> = findings.iter().map(LineFinding::to_string).collect();
    lines.join("; ")
}
