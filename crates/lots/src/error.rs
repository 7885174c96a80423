//! What can go wrong at the callers' side of files and lots.

use std::fmt;

use comfreyramp_store::StoreError;
use serde::Serialize;

/// One fault of an uploaded file, with its place and what would be right.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LineFinding {
    /// The line, counted from 1; 0 for the file as a whole.
    pub line: u64,
    /// A stable word for programs.
    pub code: &'static str,
    /// What is wrong and what would be right.
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
    /// The uploaded file has faults; nothing of it was kept.
    #[error("the file has faults: {}", join(.0))]
    Findings(Vec<LineFinding>),
    /// A field of the request is wrong.
    #[error("{param}: {message}")]
    Invalid {
        /// The field.
        param: &'static str,
        /// What is wrong and what would be right.
        message: String,
    },
    /// The customer has no such file or lot.
    #[error("no such {0}")]
    NotFound(&'static str),
    /// The idempotency key already names a different request.
    #[error("this idempotency key was used for a different request")]
    KeyReused,
    /// The platform gave no or no good answer.
    #[error(transparent)]
    Platform(#[from] StoreError),
    /// A stored value can't be read.
    #[error("the stored value of {key} is damaged: {reason}")]
    Damaged {
        /// Its key.
        key: String,
        /// Why it can't be read.
        reason: String,
    },
}

impl LotError {
    /// Whether the request may have taken effect all the same.
    pub fn may_have_run(&self) -> bool {
        matches!(self, LotError::Platform(StoreError::AnswerLost(_)))
    }
}

fn join(findings: &[LineFinding]) -> String {
    let lines: Vec<String> = findings.iter().map(LineFinding::to_string).collect();
    lines.join("; ")
}
