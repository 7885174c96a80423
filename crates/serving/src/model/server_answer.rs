//! What servers are told, and what the head of their answer tells.

use std::time::Duration;

use comfreyramp_policy::placement::SlotReport;

/// What an answer says of whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunClaim {
    /// It ran, or may have.
    Ran,
    /// The server says that it didn't run it.
    NotRun,
    /// Another server has the address; it didn't run it.
    Misdirected,
}

/// What the head of a server's answer tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerAnswer {
    /// The id of the request that it answers, if it names one.
    pub request_id: Option<String>,
    /// Whether the request ran.
    pub run: RunClaim,
    /// The server's load.
    pub report: Option<SlotReport>,
    /// How long the server keeps the connection without a request.
    pub kept_for: Option<Duration>,
}

/// What goes with a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendTicket<'a> {
    /// The server that must be the one to run it.
    pub server: &'a str,
    /// The customer, if one is known.
    pub customer: Option<&'a str>,
    /// How long the caller still waits.
    pub time_left: Duration,
    /// The id of the last event that the caller has.
    pub last_event: Option<u64>,
}
