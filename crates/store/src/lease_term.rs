//! How long a holder may act on its lease.

use std::time::Duration;

use comfreyramp_policy::Timestamp;

/// What part of a lease the holder leaves unused. The two clocks need not run
/// equally fast, and a check and the act that follows it take time.
const MARGIN_SHARE: u32 = 10;
/// How many renewals fit into the time a lease runs, so that two of them can
/// fail before it lapses.
const RENEWALS_PER_TERM: u32 = 3;

/// The time in which a holder may act, on the holder's own clock.
///
/// The platform counts a lease from when it handled the grant or the renewal,
/// the holder from before it sent that: whatever the call took, the holder
/// stops first. A holder that was paused finds out by asking here again after
/// the pause; it must therefore ask right before each act, not once per task.
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
    pub span: Duration,
    /// When the lease was last asked for with success.
    sent: Timestamp,
    /// From when on the holder may not act.
    ends: Timestamp,
}

impl LeaseTerm {
    /// A lease of `span` that was asked for at `sent`.
    pub fn new(sent: Timestamp, span: Duration) -> Self {
        LeaseTerm {
            span,
            sent,
            ends: sent + usable(span),
        }
    }

    /// Takes note that a renewal sent at `sent` left the lease `left` to run.
    ///
    /// A lease that the platform could still renew never lapsed there, so a
    /// holder that believed it over may act again.
    pub fn renew(&mut self, sent: Timestamp, left: Duration) {
        if sent < self.sent {
            // An answer overtaken by that of a later renewal says nothing new.
            return;
        }
        self.sent = sent;
        self.ends = sent + usable(left);
    }

    /// Takes note that the lease is over.
    pub fn end(&mut self) {
        self.ends = Timestamp::ZERO;
    }

    /// Whether the holder may act.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        now < self.ends
    }

    /// How long the holder may act still.
    pub fn left(&self, now: Timestamp) -> Duration {
        self.ends.since(now)
    }

    /// When to send the next renewal.
    pub fn renewal_due(&self) -> Timestamp {
        self.sent + self.span / RENEWALS_PER_TERM
    }
}

fn usable(span: Duration) -> Duration {
    span - span / MARGIN_SHARE
}
