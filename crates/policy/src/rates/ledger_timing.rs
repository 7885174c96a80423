//! The time limits on which the safety of the ledger depends.

use std::time::Duration;

/// The time limits on which the safety of the ledger depends. All daemons use the
/// same values.
///
/// A daemon that requests tokens or slices counts their time on its own clock from before
/// it sent the request. The daemon that provides them counts on its own clock from the
/// arrival of the request, and for longer by [`LedgerTiming::with_margin`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerTiming {
    /// The maximum age of a daemon's view of roster and settings while it spends from
    /// its own slots.
    pub max_view_age: Duration,
    /// How long a slice is lent.
    pub slice_duration: Duration,
    /// How long tokens that were granted in advance may be spent; at least as long as
    /// the timeout of a request.
    pub grant_duration: Duration,
    /// The timeout of one request to another daemon.
    pub request_timeout: Duration,
    /// How long no request is sent to an unreachable daemon.
    pub down_duration: Duration,
    /// How long a member that is marked as expelled keeps its slots.
    pub expulsion_delay: Duration,
}

impl Default for LedgerTiming {
    fn default() -> Self {
        LedgerTiming {
            max_view_age: Duration::from_secs(4),
            slice_duration: Duration::from_secs(2),
            grant_duration: Duration::from_secs(1),
            request_timeout: Duration::from_millis(300),
            down_duration: Duration::from_secs(2),
            expulsion_delay: Duration::from_secs(60),
        }
    }
}

impl LedgerTiming {
    /// Returns `duration` lengthened for clocks that differ by up to 0.1 %, plus a
    /// millisecond for rounding.
    pub fn with_margin(duration: Duration) -> Duration {
        duration + duration / 1_000 + Duration::from_millis(1)
    }

    /// Returns how long `count` granted tokens may be spent. A single token is for a
    /// request that is waiting, so it is useless after the request's timeout.
    pub fn grant_lifetime(&self, count: u32) -> Duration {
        if count == 1 {
            self.request_timeout
        } else {
            self.grant_duration
        }
    }

    /// Returns how long the holder reserves capacity for granted tokens.
    pub fn grant_hold_duration(&self, count: u32) -> Duration {
        Self::with_margin(self.grant_lifetime(count))
    }

    /// Returns how long a lender counts a slice as lent: until the loan has expired at
    /// the borrower, and then the grants that the borrower issued from it.
    pub fn slice_hold_duration(&self) -> Duration {
        Self::with_margin(self.slice_duration + self.grant_duration)
    }

    /// Returns the time after which every grant and loan has ended that a daemon issued
    /// by an outdated view. New holders of a slot wait this long before they use it, and
    /// so do parts that grow when a customer's rate is divided differently.
    pub fn takeover_delay(&self) -> Duration {
        Self::with_margin(self.max_view_age) + self.slice_hold_duration()
    }
}
