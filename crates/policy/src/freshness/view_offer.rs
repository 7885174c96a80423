//! What daemons report to each other about their views.

use std::time::Duration;

/// The header of a peer's answer to a request for its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewOffer {
    /// The answer contains all changes after this revision; 0 for a complete view.
    pub base: i64,
    /// The revision up to which the view contains all changes.
    pub revision: i64,
    /// The age of the view when the answer was sent.
    pub age: Duration,
    /// Whether the daemon received the view from the platform itself. Without this
    /// flag, daemons that pass views on to each other would take them as evidence that
    /// some daemon still follows the platform, and eventually none would.
    pub direct: bool,
}

/// What to do with an offered view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferDecision {
    /// Apply its changes, which lead from the own revision to the offered one.
    Apply,
    /// Changes between the own view and the offered ones are missing: request the
    /// complete view.
    Gap,
    /// Ignore the offered view, which is older than the own one.
    Outdated,
}
