//! Answers of the fleet's own.

use std::time::Duration;

/// Why a request isn't answered by a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalCause {
    /// No route takes it.
    NoRoute,
    /// Its key belongs to nobody, or none was shown.
    UnknownKey,
    /// It can't be understood.
    BadRequest,
    /// Its body is too long.
    TooLong,
    /// Its customer is over its rate. It hasn't run.
    OverRate,
    /// Too many tokens of its customer's lots wait. Nothing of it runs.
    OverBound,
    /// The daemon has no settings yet. It hasn't run.
    NoSettings,
    /// No server of its service takes requests. It hasn't run.
    NoServer,
    /// All servers are full for longer than it may wait. It hasn't run.
    Full,
    /// It was offered to servers, and none ran it.
    TurnedAway,
    /// The store can't be asked. It hasn't run.
    StoreAway,
    /// Servers crashed while they ran this same request. It isn't sent any more.
    CrashesServers,
    /// It was sent, and no whole answer came: it may have run.
    AnswerLost,
    /// Its time is up: it may have run.
    TimedOut,
    /// The store may or may not have taken it.
    Undecided,
    /// There is no such lot, or item without a result.
    NoSuchLot,
}

impl RefusalCause {
    /// The cause as a label.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalCause::NoRoute => "no_route",
            RefusalCause::UnknownKey => "unknown_key",
            RefusalCause::BadRequest => "bad_request",
            RefusalCause::TooLong => "too_long",
            RefusalCause::OverRate => "over_rate",
            RefusalCause::OverBound => "over_bound",
            RefusalCause::NoSettings => "no_settings",
            RefusalCause::NoServer => "no_server",
            RefusalCause::Full => "full",
            RefusalCause::TurnedAway => "turned_away",
            RefusalCause::StoreAway => "store_away",
            RefusalCause::CrashesServers => "crashes_servers",
            RefusalCause::AnswerLost => "answer_lost",
            RefusalCause::TimedOut => "timed_out",
            RefusalCause::Undecided => "undecided",
            RefusalCause::NoSuchLot => "no_such_lot",
        }
    }
}

/// An answer of the fleet's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: RefusalCause,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal without a time to come back.
    pub fn new(cause: RefusalCause) -> Self {
        Refusal {
            cause,
            retry_after: None,
        }
    }

    /// Sets when the caller may come back.
    pub fn retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }
}

impl From<RefusalCause> for Refusal {
    fn from(cause: RefusalCause) -> Self {
        Refusal::new(cause)
    }
}
