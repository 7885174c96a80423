//! The fleet's part of a request to a server, and the parsed head of the answer.

use std::time::Duration;

use comfreyramp_policy::placement::SlotReport;

/// A server's statement on whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// The request ran, or may have.
    Ran,
    /// The server states that it didn't run the request.
    NotRun,
    /// Another server now has the address. It didn't run the request.
    Misdirected,
}

/// The head of a server's answer, as far as the fleet evaluates it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerAnswer {
    /// The id of the answered request, if the answer names it.
    pub request_id: Option<String>,
    /// Whether the request ran.
    pub run: ExecutionStatus,
    /// The server's load, if the answer reports it.
    pub report: Option<SlotReport>,
    /// How long the server keeps an idle connection open, if it says so.
    pub keep_alive: Option<Duration>,
}

/// The values that the fleet adds to a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestMetadata<'a> {
    /// The server that the request is meant for; any other must reject it.
    pub server: &'a str,
    /// The customer's name, if one is known.
    pub customer: Option<&'a str>,
    /// How long the caller will still wait.
    pub time_left: Duration,
    /// The id of the last event that the caller has received, where a stream resumes.
    pub last_event: Option<u64>,
}
