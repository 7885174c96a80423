//! Answers that the fleet gives itself, without a server.

use std::time::Duration;

/// Why a request isn't answered by a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalCause {
    /// No route takes the request.
    NoRoute,
    /// The API key is missing or belongs to no customer.
    UnknownKey,
    /// The request can't be parsed.
    BadRequest,
    /// The body exceeds the limit.
    BodyTooLong,
    /// The customer has exceeded its rate. The request hasn't run.
    RateExceeded,
    /// The lot would exceed the limit on the tokens of its customer's unfinished items.
    /// None of its items runs.
    TokenLimitExceeded,
    /// The daemon has no settings yet. The request hasn't run.
    NoSettings,
    /// No server of the service accepts requests. The request hasn't run.
    NoServer,
    /// No server of the version that began the stream accepts requests. It hasn't gone on.
    NoServerOfVersion,
    /// No daemon knows which version began the stream. It hasn't gone on.
    UnknownOrigin,
    /// All servers are full for longer than the request may wait. It hasn't run.
    Full,
    /// The daemon has no memory left for the request's body. It hasn't run.
    NoMemory,
    /// The daemon is being stopped, and would end before the request does. It hasn't run.
    Stopping,
    /// The request was sent to servers, and none of them ran it.
    RejectedByServers,
    /// The store doesn't answer. The request hasn't run.
    StoreUnavailable,
    /// Servers crashed while they ran this same request. It isn't sent any more.
    CrashesServers,
    /// The request was sent, and no complete answer was received: it may have run.
    AnswerLost,
    /// The caller's time is up: the request may have run.
    TimedOut,
    /// Whether the store has written the lot is unknown.
    OutcomeUnknown,
    /// There is no such lot, or no such item without a result.
    NoSuchLot,
}

impl RefusalCause {
    /// Returns the cause as it is written to metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalCause::NoRoute => "no_route",
            RefusalCause::UnknownKey => "unknown_key",
            RefusalCause::BadRequest => "bad_request",
            RefusalCause::BodyTooLong => "too_long",
            RefusalCause::RateExceeded => "over_rate",
            RefusalCause::TokenLimitExceeded => "over_bound",
            RefusalCause::NoSettings => "no_settings",
            RefusalCause::NoServer => "no_server",
            RefusalCause::NoServerOfVersion => "no_server_of_version",
            RefusalCause::UnknownOrigin => "unknown_origin",
            RefusalCause::Full => "full",
            RefusalCause::NoMemory => "no_memory",
            RefusalCause::Stopping => "stopping",
            RefusalCause::RejectedByServers => "turned_away",
            RefusalCause::StoreUnavailable => "store_away",
            RefusalCause::CrashesServers => "crashes_servers",
            RefusalCause::AnswerLost => "answer_lost",
            RefusalCause::TimedOut => "timed_out",
            RefusalCause::OutcomeUnknown => "undecided",
            RefusalCause::NoSuchLot => "no_such_lot",
        }
    }
}

/// A refusal of a request: an answer without a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason of the refusal.
    pub cause: RefusalCause,
    /// The time after which the caller may retry, if one is known.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a time for a retry.
    pub fn new(cause: RefusalCause) -> Self {
        Refusal {
            cause,
            retry_after: None,
        }
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

impl From<RefusalCause> for Refusal {
    fn from(cause: RefusalCause) -> Self {
        Refusal::new(cause)
    }
}
