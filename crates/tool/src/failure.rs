//! Errors of commands and the exit codes that scripts rely on.

use std::process::ExitCode;

use comfreyramp_settings::FindingList;

/// The reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ToolFailure {
    /// The request is invalid, for example because the named object doesn't exist
    /// or already exists. Exit code 1.
    #[error("{0}")]
    Refused(String),
    /// The team or path doesn't exist. Exit code 1.
    #[error("{0}")]
    Missing(String),
    /// The settings failed validation. Exit code 3.
    #[error("the settings were not accepted:\n{0}")]
    Findings(FindingList),
    /// The settings were changed concurrently. Exit code 4.
    #[error("{0}")]
    Conflict(String),
    /// No daemon could be reached, or a daemon couldn't reach the platform.
    /// Exit code 5.
    #[error("{0}")]
    Unreachable(String),
    /// The change is accepted, but not every daemon has confirmed it. Exit code 6.
    #[error("{0}")]
    Unconfirmed(String),
}

impl ToolFailure {
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            ToolFailure::Refused(_) | ToolFailure::Missing(_) => 1,
            ToolFailure::Findings(_) => 3,
            ToolFailure::Conflict(_) => 4,
            ToolFailure::Unreachable(_) => 5,
            ToolFailure::Unconfirmed(_) => 6,
        })
    }
}
