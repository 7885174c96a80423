//! The time in which a holder may act on its lease.

use std::time::Duration;

use comfreyramp_policy::Timestamp;

/// The divisor of the safety margin: the holder leaves a tenth of each lease unused,
/// since the two clocks may not run equally fast, and since a check and the action
/// after it take time.
const MARGIN_DIVISOR: u32 = 10;
/// How many renewals fit into the duration of a lease: two of them can fail before it
/// expires.
const RENEWALS_PER_TERM: u32 = 3;

/// The time in which a holder may act, on the holder's own clock.
///
/// The platform counts a lease from when it handled the grant or the renewal, the
/// holder from before it sent the request: however long the call took, the holder
/// stops first. A holder that was paused only notices the end of its lease when it
/// checks this term after the pause, so it must check right before each action, not
/// once per task.
///
/// ```
/// use std::time::Duration;
/// use comfreyramp_store::LeaseTerm;
/// use comfreyramp_policy::Timestamp;
///
/// let sent = Timestamp::ZERO;
/// let term = LeaseTerm::new(sent, Duration::from_secs(10));
/// assert!(term.is_valid(sent + Duration::from_millis(8_999)));
/// assert!(!term.is_valid(sent + Duration::from_secs(9)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerm {
    /// How long the platform keeps the lease after a renewal.
    pub ttl: Duration,
    /// When the last successful grant or renewal was sent.
    sent: Timestamp,
    /// From when on the holder may no longer act.
    valid_until: Timestamp,
}

impl LeaseTerm {
    /// Creates the term of a lease of `ttl` whose request was sent at `sent`.
    pub fn new(sent: Timestamp, ttl: Duration) -> Self {
        LeaseTerm {
            ttl,
            sent,
            valid_until: sent + usable_duration(ttl),
        }
    }

    /// Extends the term after a renewal that was sent at `sent` and left the lease
    /// `left` to run.
    ///
    /// A lease that the platform could renew never expired there, so a holder that
    /// considered it expired may act again.
    pub fn renew(&mut self, sent: Timestamp, left: Duration) {
        if sent < self.sent {
            // The answer to a later renewal has already arrived.
            return;
        }
        self.sent = sent;
        self.valid_until = sent + usable_duration(left);
    }

    /// Ends the term when the lease is lost.
    pub fn end(&mut self) {
        self.valid_until = Timestamp::ZERO;
    }

    /// Returns whether the holder may act.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        now < self.valid_until
    }

    /// Returns how much longer the holder may act.
    pub fn left(&self, now: Timestamp) -> Duration {
        self.valid_until.since(now)
    }

    /// Returns when to send the next renewal.
    pub fn renewal_due(&self) -> Timestamp {
        self.sent + self.ttl / RENEWALS_PER_TERM
    }
}

fn usable_duration(ttl: Duration) -> Duration {
    ttl - ttl / MARGIN_DIVISOR
}
