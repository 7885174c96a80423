//! The errors of requests to peers.

/// The reason why a request to a peer got no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// No connection could be opened, so the peer didn't receive the request.
    #[error("the peer can't be reached: {0}")]
    Unreachable(String),
    /// The connection broke after the request was sent; the peer may have
    /// received it.
    #[error("the peer's answer was lost: {0}")]
    AnswerLost(String),
    /// No answer arrived in time; the peer may have received the request.
    #[error("the peer did not answer in time")]
    TimedOut,
    /// The peer's answer can't be decoded.
    #[error("the peer's answer is malformed: {0}")]
    Malformed(String),
    /// This daemon has too many pending requests. Nothing was sent.
    #[error("too many pending requests")]
    Busy,
    /// The link has stopped. Nothing was sent.
    #[error("the link has stopped")]
    Stopped,
}
