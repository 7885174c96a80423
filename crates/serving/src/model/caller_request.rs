//! A caller's request, as far as its head tells.

use std::time::Duration;

/// What a caller wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerAsk {
    /// To have the request answered by a backend server, or, on a route of
    /// lots, to hand a lot in.
    Forward,
    /// To read a lot's results from a position on.
    ReadLot {
        /// The lot.
        lot: String,
        /// The first position that is wanted, counted from 0.
        after: usize,
        /// How long the answer may be held back while there is no result.
        wait: Duration,
    },
    /// To read the body of an item that has no result yet.
    ReadItem {
        /// The lot.
        lot: String,
        /// The item.
        item: String,
    },
    /// To end a lot.
    EndLot {
        /// The lot.
        lot: String,
    },
}

/// The head of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerHead {
    /// The caller's id of this attempt.
    pub request_id: String,
    /// The key that was shown.
    pub key: Option<String>,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
    /// The host that was asked for.
    pub host: String,
    /// What is wanted.
    pub ask: CallerAsk,
}

/// What is wrong with a request's head.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct HeadFault(pub String);
