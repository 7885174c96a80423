//! The parsed head of a caller's request.

use std::time::Duration;

/// The operation that a caller requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerAction {
    /// Forwards the request to a backend server or, on a route for lots, submits a
    /// lot.
    Forward,
    /// Reads a lot's results from a position on.
    ReadLot {
        /// The lot's id.
        lot: String,
        /// The position of the first result to return, counted from 0.
        after: usize,
        /// How long the answer may be delayed while there is no result (long polling).
        wait: Duration,
    },
    /// Reads the body of an item that has no result yet.
    ReadItem {
        /// The lot's id.
        lot: String,
        /// The item's id.
        item: String,
    },
    /// Ends a lot.
    EndLot {
        /// The lot's id.
        lot: String,
    },
}

/// The head of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerHead {
    /// The caller's id of this attempt; a lot's submission has the lot's id here.
    pub request_id: String,
    /// The API key of the caller's customer, if the request has one.
    pub key: Option<String>,
    /// How long the caller waits for the answer, if it says so.
    pub time_left: Option<Duration>,
    /// The host that the request is addressed to.
    pub host: String,
    /// The requested operation.
    pub ask: CallerAction,
    /// The stream that the request takes up, if it takes up one.
    pub resumed: Option<ResumedStream>,
}

/// A stream that broke off at the caller, which takes it up with a new request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumedStream {
    /// The id of the last event that the caller has received, as it states it.
    pub last_event: String,
    /// The id of the caller's request that received the stream's first event, if it states
    /// one.
    pub first_request: Option<String>,
}

/// Describes what is invalid in a request's head or in a lot's submission.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidRequest(pub String);
